//! Answers that callers must not get as complete or at all: those cut off by a reset while a long
//! request is still being sent, and those whose status is none.
//!
//! A node opens a connection for each call of an endpoint, so only fresh ones are tried.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use cumin_testbed::{Options, Testbed};
use cumin_types::Outcome;
use cumin_wire::cloud::Kind;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use uuid::Uuid;

use crate::engine_answers::{tokens, without_engines};
use crate::scripted::{Script, Scripted, Step, register, support_answer};
use crate::support::{KEY, bare_desk, chat};

/// Near the limit on bodies, and far more than the endpoint's socket takes.
const LONG: usize = 4_000_000;

const STATUSES: [&str; 6] = ["000", "099", "1000", "+20", "", "20"];

/// How an endpoint ends the connection of its answer.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    /// By closing it with unread input, which the system turns into a reset.
    Close,
    /// With a regular end of its output, and a reset some milliseconds later.
    Shutdown,
}

const ENDS: [End; 3] = [End::Reset, End::Close, End::Shutdown];

/// Starts an endpoint that answers the first bytes of each request and ends its connection.
fn start_early(answer: String, end: End) -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    // The rest of a request stays with its sender.
    socket.set_recv_buffer_size(16 * 1024).expect("an option");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1024).expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, answer.clone(), end));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answer: String, end: End) {
    let mut input = vec![0; 1000];
    loop {
        let read = stream.read(&mut input).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        let request = String::from_utf8_lossy(&input[..read]);
        let Some(support) = support_answer(&request) else {
            break;
        };
        if stream.write_all(&support).await.is_err() {
            return;
        }
    }
    let _ = stream.write_all(answer.as_bytes()).await;
    if matches!(end, End::Shutdown) {
        let _ = stream.shutdown().await;
    }
    sleep(Duration::from_millis(50)).await;
    if !matches!(end, End::Close) {
        let _ = stream.set_zero_linger();
    }
}

/// Starts an endpoint that gives the same answer to each request that it has read.
fn start_scripted(answer: String) -> SocketAddr {
    let steps = vec![Step::Send(answer.into_bytes()), Step::Close];
    let script: Script = Rc::new(move |_, _| steps.clone());
    Scripted::start(script).address
}

/// Returns the answer of the first entry to a call whose body has a length, or comes in chunks.
async fn upload(bed: &Testbed, path: &str, chunked: bool, body: &str) -> String {
    let framing = if chunked {
        "transfer-encoding: chunked".to_owned()
    } else {
        format!("content-length: {}", body.len())
    };
    let body = if chunked {
        format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
    } else {
        body.to_owned()
    };
    let key = Uuid::now_v7();
    let request = format!(
        "POST /v1/{path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-type: application/json\r\nidempotency-key: {key}\r\nconnection: close\r\n\
         x-deadline-ms: 2000\r\n\
         {framing}\r\n\r\n{body}"
    );
    let exchange = async {
        let mut stream = TcpStream::connect(bed.entries()[0]).await.expect("a port");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        String::from_utf8_lossy(&bytes).into_owned()
    };
    let answer = timeout(Duration::from_secs(10), exchange).await;
    answer.expect("the connection ends")
}

const PLAIN: [&str; 2] = ["services/oven-desk/quotes", "services/oven-desk/bookings"];

/// Guards against a part of an answer without a length that passes for a complete one, if the end of
/// the endpoint's output is read before the reset.
#[actix_rt::test]
async fn plain_cut_off() {
    for end in ENDS {
        for path in PLAIN {
            for chunked in [false, true] {
                let bed = bare_desk(Options::default()).await;
                let address = start_early("HTTP/1.1 200 X\r\n\r\nhalf".into(), end);
                register(&bed, address, Kind::Plain, "oven-desk", "hamilton");
                let got = upload(&bed, path, chunked, &"b".repeat(LONG)).await;
                let case = format!("{path} {end:?} chunked {chunked}");
                assert!(!got.starts_with("HTTP/1.1 2"), "{case}: {got}");
                assert!(got.starts_with("HTTP/1.1 5"), "{case}: {got}");
                assert!(!got.contains("half"), "{case}: {got}");
            }
        }
    }
}

/// Guards against an answer whose status is not one of three digits from 100 on.
#[actix_rt::test]
async fn plain_statuses() {
    for status in STATUSES {
        for rest in ["content-length: 4\r\n\r\nnone", "\r\nnone"] {
            let address = start_scripted(format!("HTTP/1.1 {status} X\r\n{rest}"));
            let bed = bare_desk(Options::default()).await;
            register(&bed, address, Kind::Plain, "oven-desk", "hamilton");
            for path in PLAIN {
                for chunked in [false, true] {
                    let got = upload(&bed, path, chunked, "{}").await;
                    let case = format!("{path} {status:?} chunked {chunked}");
                    assert!(got.starts_with("HTTP/1.1 5"), "{case}: {got}");
                    assert!(!got.contains("none"), "{case}: {got}");
                }
            }
        }
    }
}

/// Guards against a stream that is complete although its engine ended it early or gave no valid
/// status.
#[actix_rt::test]
async fn streams() {
    let head = "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\n";
    let mut answers: Vec<(String, Option<End>)> = ENDS
        .map(|end| (head.to_owned() + &tokens("p", 0, 2), Some(end)))
        .to_vec();
    for status in STATUSES {
        let head = head.replace("200", status);
        answers.push((head + &tokens("p", 0, 2) + "data: [DONE]\n\n", None));
    }
    for (answer, end) in answers {
        for chunked in [false, true] {
            let (bed, service) = without_engines().await;
            let address = match end {
                Some(end) => start_early(answer.clone(), end),
                None => start_scripted(answer.clone()),
            };
            register(&bed, address, Kind::Engine, &service, "hamilton");
            let length = if end.is_some() { 90_000 } else { 10 };
            let mut request = chat(&"b".repeat(length), 6);
            request.stream = true;
            let body = serde_json::to_string(&request).expect("JSON");
            let got = upload(&bed, "chat/completions", chunked, &body).await;
            let case = format!("{answer:?} {end:?} chunked {chunked}");
            assert!(!got.contains("\"finish_reason\":\"stop\""), "{case}: {got}");
            assert!(
                !got.contains(&format!("outcome: {}", Outcome::Done)),
                "{case}: {got}"
            );
        }
    }
}
