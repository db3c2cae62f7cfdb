//! Input that arrives in pieces must be read like the same input in one piece: answers of endpoints
//! and requests of callers, with valid and arbitrary bytes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::support::{Entry, LIMIT, read_request, request, send};

/// Input and the places at which it is cut, as shares of its length.
type Case = (Vec<u8>, Vec<f64>);

/// Input made of a few messages of a start, some headers, and a body, with arbitrary bytes in place
/// of some of these parts.
fn input(
    starts: &'static [&'static str],
    headers: &'static [&'static str],
    bodies: &'static [&'static str],
) -> impl Strategy<Value = Case> {
    let pick = |parts: &'static [&'static str]| {
        prop_oneof![
            30 => (0..parts.len()).prop_map(|index| parts[index].as_bytes().to_vec()),
            1 => vec(any::<u8>(), 1..6),
        ]
    };
    let message = (
        pick(starts),
        vec(pick(headers), 0..3),
        vec(pick(bodies), 0..5),
    );
    let message = message
        .prop_map(|(start, headers, bodies)| [start, headers.concat(), bodies.concat()].concat());
    let bytes = vec(message, 1..4).prop_map(|messages| messages.concat());
    (bytes, vec(0.0..1.0, 0..6))
}

/// Returns the input in pieces.
fn pieces((bytes, cuts): &Case) -> Vec<Vec<u8>> {
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    #[expect(clippy::cast_precision_loss)]
    let place = |cut: &f64| (cut * bytes.len() as f64) as usize;
    let mut places: Vec<usize> = cuts.iter().map(place).collect();
    places.sort_unstable();
    let mut pieces = Vec::new();
    let mut from = 0;
    for place in places {
        pieces.push(bytes[from..place].to_vec());
        from = place;
    }
    pieces.push(bytes[from..].to_vec());
    pieces
}

/// Writes pieces so that the reader on this thread reads each by itself.
async fn write_pieces(stream: &mut TcpStream, pieces: &[Vec<u8>]) {
    for piece in pieces {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        let_others_read().await;
    }
}

/// Lets the other tasks of this thread read their input.
async fn let_others_read() {
    for _ in 0..4 {
        tokio::task::yield_now().await;
    }
}

fn check(cases: u32, strategy: impl Strategy<Value = Case>, test: impl Fn(&Case)) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let run = TestRunner::new(config).run(&strategy, |case| {
        test(&case);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

/// Endpoint that sends the same pieces in answer to each request and then closes.
async fn start_endpoint(
    answer: Rc<RefCell<Vec<Vec<u8>>>>,
    answering: Rc<Cell<bool>>,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (answer, answering) = (answer.clone(), answering.clone());
            actix_rt::spawn(async move {
                stream.set_nodelay(true).unwrap();
                if read_request(&mut stream).await.is_some() {
                    answering.set(true);
                    let pieces = answer.borrow().clone();
                    write_pieces(&mut stream, &pieces).await;
                    drop(stream);
                    answering.set(false);
                }
            });
        }
    });
    address
}

/// Returns the parts before and after the first CRLF.
fn split_line(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let at = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    Some((std::str::from_utf8(&bytes[..at]).ok()?, &bytes[at + 2..]))
}

/// Returns what the caller makes of an answer: the status line and the body, without the sizes of
/// chunks, which depend on the pieces, and whether it is complete.
fn reading(answer: &[u8]) -> (String, Vec<u8>, bool) {
    let shown = answer.escape_ascii().to_string();
    let head_end = answer.windows(4).position(|end| end == b"\r\n\r\n");
    let (head, mut rest) = answer.split_at(head_end.expect(&shown) + 4);
    let head = String::from_utf8_lossy(head);
    let status = head.lines().next().unwrap_or_default().to_owned();
    let header = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    };
    if header("transfer-encoding") != Some("chunked") {
        let length = header("content-length").map_or(0, |length| length.parse().unwrap());
        assert_eq!(rest.len(), length, "{shown}");
        return (status, rest.to_vec(), true);
    }
    let mut text = Vec::new();
    while let Some((size, tail)) = split_line(rest) {
        let size = usize::from_str_radix(size, 16).expect(&shown);
        if size == 0 {
            assert_eq!(tail, b"\r\n", "{shown}");
            return (status, text, true);
        }
        text.extend_from_slice(tail.get(..size).expect(&shown));
        rest = tail[size..].strip_prefix(b"\r\n").expect(&shown);
    }
    assert!(rest.is_empty(), "{shown}");
    (status, text, false)
}

/// Sends text on a new connection and reads until it is closed.
async fn exchange(address: std::net::SocketAddr, text: &str) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let end = timeout(LIMIT, stream.read_to_end(&mut bytes)).await;
    end.expect("the connection ends").unwrap();
    bytes
}

const ANSWER_STARTS: &[&str] = &[
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: abc123\r\nX-Response-Seal: s\r\n",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: abc123\r\nX-Response-Seal: s\r\n",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\n",
    "HTTP/1.1 204 X\r\nX-Attempt-Id: abc123\r\nX-Response-Seal: s\r\n",
    "HTTP/1.1 500 X\r\nX-Attempt-Id: abc123\r\nX-Response-Seal: s\r\n",
    "HTTP/1.1 103 X\r\n",
    "HTTP/1.0 200 OK\r\n",
];

const ANSWER_HEADERS: &[&str] = &[
    "Content-Length: 16\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n",
    "Connection: close\r\n",
    "\r\n",
];

const ANSWER_BODIES: &[&str] = &[
    "id: 1\ndata: t1\n\n",
    "id: 2\ndata: t2\n\n",
    ": comment\n\n",
    "10\r\nid: 3\ndata: t3\n\n\r\n",
    "10;x=y\r\nid: 4\ndata: t4\n\n\r\n",
    "12\r\nid: 5\r\ndata: t5\r\n\r\n\r\n",
    "0\r\n\r\n",
    "0\r\nX-Trailer: 1\r\n\r\n",
];

/// An answer is read alike wherever it is cut, and what the caller gets of it is always an answer.
#[test]
fn answers() {
    let system = actix_rt::System::new();
    let answer = Rc::new(RefCell::new(Vec::new()));
    let answering = Rc::new(Cell::new(false));
    let entry = system.block_on(async {
        let address = start_endpoint(answer.clone(), answering.clone()).await;
        let entry = Entry::start(&[], &[]).await;
        entry.register("plain-0", "plain", address);
        entry.register("engine-0", "engine", address);
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        entry
    });
    let succeeded = Cell::new(0);
    for path in ["/unsafe/x", "/stream/x"] {
        let call = async |pieces: Vec<Vec<u8>>| {
            answer.replace(pieces);
            let text = request("POST", path, "", "book");
            let got = reading(&exchange(entry.callers, &text).await);
            // The entry must not send the next request on a connection that is about to be closed.
            while answering.get() {
                let_others_read().await;
            }
            let_others_read().await;
            got
        };
        check(
            1500,
            input(ANSWER_STARTS, ANSWER_HEADERS, ANSWER_BODIES),
            |case| {
                system.block_on(async {
                    let whole = call(vec![case.0.clone()]).await;
                    let split = call(pieces(case)).await;
                    assert_eq!(
                        whole,
                        split,
                        "{path} {:?}",
                        case.0.escape_ascii().to_string()
                    );
                    succeeded.set(succeeded.get() + u32::from(whole.0.contains("200")));
                });
            },
        );
    }
    assert!(
        succeeded.get() > 150,
        "{succeeded:?} of 3000 answers are successes"
    );
}

const REQUEST_STARTS: &[&str] = &[
    "GET /nowhere/x HTTP/1.1\r\nHost: h.example\r\n",
    "POST /nowhere/x HTTP/1.1\r\nHost: h.example\r\n",
    "HEAD /nowhere/x HTTP/1.1\r\nHost: h.example\r\n",
    "POST /nowhere/x HTTP/1.0\r\n",
];

const REQUEST_HEADERS: &[&str] = &[
    "Connection: close\r\n",
    "Connection: keep-alive\r\n",
    "Expect: 100-continue\r\n",
    "X-Attempt-Id: abc123\r\n",
    "Content-Length: 4\r\n\r\nbook",
    "Content-Length: 0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n",
    "\r\n",
];

const REQUEST_BODIES: &[&str] = &[
    "4\r\nbook\r\n",
    "1;x=\"y\"\r\nb\r\n",
    "0\r\n\r\n",
    "0\r\nX-Trailer: 1\r\n\r\n",
];

/// Sends pieces, closes the sending side, and returns the status lines of all answers.
async fn statuses(entry: &Entry, pieces: &[Vec<u8>]) -> Vec<String> {
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    stream.set_nodelay(true).unwrap();
    write_pieces(&mut stream, pieces).await;
    stream.shutdown().await.unwrap();
    let mut bytes = Vec::new();
    let end = timeout(LIMIT, stream.read_to_end(&mut bytes)).await;
    end.expect("the connection ends").unwrap();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut found = Vec::new();
    for (at, _) in text.match_indices("HTTP/1.") {
        found.push(text[at..].lines().next().unwrap_or_default().to_owned());
    }
    found
}

/// Requests are told apart alike wherever the input is cut.
#[test]
fn requests() {
    let system = actix_rt::System::new();
    let entry = system.block_on(async { Entry::start(&[], &[]).await });
    let answered = Cell::new(0);
    check(
        3000,
        input(REQUEST_STARTS, REQUEST_HEADERS, REQUEST_BODIES),
        |case| {
            system.block_on(async {
                let whole = statuses(&entry, std::slice::from_ref(&case.0)).await;
                let split = statuses(&entry, &pieces(case)).await;
                assert_eq!(whole, split, "{:?}", case.0.escape_ascii().to_string());
                answered.set(
                    answered.get() + usize::from(whole.iter().any(|line| line.contains("404"))),
                );
            });
        },
    );
    assert!(
        answered.get() > 300,
        "{answered:?} of 3000 inputs hold a request"
    );
    // The entry still serves.
    let text = request("GET", "/nowhere", "", "");
    let got = system.block_on(send(entry.callers, &text));
    assert!(got.starts_with("HTTP/1.1 404"), "{got}");
}
