//! Requests that are refused, cut or left while a part of them is still arriving: exactly one
//! answer, and no answer to the bytes of a body.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::{
    Endpoint, Entry, LIMIT, Step, answer, body, chunk, request, run, send, stream_head,
};

fn kept(method: &str, path: &str, extra: &str, body: &str) -> String {
    request(method, path, extra, body).replace("Connection: close\r\n", "")
}

/// A request that must never reach an endpoint.
fn hidden() -> String {
    request("POST", "/unsafe/hidden", "", "hidden")
}

/// Sends pieces one by one and reads until the connection ends.
async fn send_pieces(address: SocketAddr, pieces: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for piece in pieces {
        if stream.write_all(piece).await.is_err() {
            break;
        }
        sleep(Duration::from_millis(1)).await;
    }
    let mut bytes = Vec::new();
    let _ = timeout(LIMIT, stream.read_to_end(&mut bytes)).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

fn answers(got: &str) -> usize {
    got.matches("HTTP/1.1 ").count()
}

/// A refusal while the body is still arriving is the only answer; the rest of the body is no
/// request.
#[test]
fn one_refusal() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let chunked = "Transfer-Encoding: chunked\r\n";
        let large = "x".repeat(60_000);
        let chunks = format!("{:x}\r\n{large}\r\n", large.len());
        let sized = "Content-Length: 200000\r\n";
        for (extra, first, second, status) in [
            (chunked, chunks.clone(), chunks.clone(), "413"),
            (sized, large.clone(), large.clone(), "413"),
            (chunked, "4\r\nbook\r\n".into(), "zz\r\n".into(), "400"),
            (chunked, "4\r\nbook!\r\n".into(), String::new(), "400"),
            (
                "Transfer-Encoding: gzip, chunked\r\n",
                String::new(),
                String::new(),
                "400",
            ),
        ] {
            for expect in ["", "Expect: 100-continue\r\n"] {
                let head = kept("POST", "/unsafe/x", &(extra.to_owned() + expect), "");
                let pieces = [head, first.clone(), second.clone(), hidden()];
                let pieces: Vec<&[u8]> = pieces.iter().map(String::as_bytes).collect();
                let got = send_pieces(entry.callers, &pieces).await;
                let last = got.replace("HTTP/1.1 100 Continue\r\n\r\n", "");
                assert_eq!(answers(&last), 1, "{extra:?} {expect:?}: {got:?}");
                assert!(
                    last.starts_with(&format!("HTTP/1.1 {status}")),
                    "{extra:?}: {got:?}"
                );
            }
        }
        assert_eq!(endpoint.count(), 0);
    });
}

/// A body in chunks with extensions and trailers that arrives byte by byte is one request, and the
/// next one on the connection is another.
#[test]
fn byte_by_byte() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let chunked = "Transfer-Encoding: chunked\r\n";
        let text = kept("POST", "/unsafe/x", chunked, "")
            + "3;name=value\r\nboo\r\n01\r\nk\r\n0\r\nX-Trailer: 1\r\n\r\n"
            + &request("POST", "/unsafe/y", "", "page");
        for size in [1, 2, 7, text.len()] {
            let pieces: Vec<&[u8]> = text.as_bytes().chunks(size).collect();
            let got = send_pieces(entry.callers, &pieces).await;
            assert_eq!(got.matches("HTTP/1.1 200").count(), 2, "{size}: {got:?}");
            assert_eq!(answers(&got), 2, "{size}: {got:?}");
        }
        let received = endpoint.received.borrow();
        assert_eq!(received.len(), 8);
        for pair in received.chunks(2) {
            assert_eq!(
                (&*pair[0].body, &*pair[1].body),
                (&b"book"[..], &b"page"[..])
            );
            assert!(pair[0].header("x-trailer").is_none());
        }
    });
}

/// The interim answer comes before the body, and the final answer once after it.
#[test]
fn expected_continue() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let extra = "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n";
        let head = request("POST", "/unsafe/x", extra, "");
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut interim = [0; 25];
        timeout(LIMIT, stream.read_exact(&mut interim))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"4\r\nbook\r\n0\r\n\r\n").await.unwrap();
        let mut rest = String::new();
        timeout(LIMIT, stream.read_to_string(&mut rest))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(answers(&rest), 1, "{rest:?}");
        assert_eq!(body(&rest), "ok");
        assert!(endpoint.received.borrow()[0].header("expect").is_none());
    });
}

/// Line ends after a request, which some callers send, are no request: an idle connection must not
/// get an answer to them.
#[test]
fn line_ends_after() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let first = kept("POST", "/unsafe/x", "", "book") + "\r\n";
        let second = request("POST", "/unsafe/x", "", "page");
        let mut stream = TcpStream::connect(entry.callers).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        // Longer than the time limit of a head.
        sleep(Duration::from_millis(900)).await;
        stream.write_all(second.as_bytes()).await.unwrap();
        let mut got = String::new();
        timeout(LIMIT, stream.read_to_string(&mut got))
            .await
            .unwrap()
            .unwrap();
        assert_eq!(got.matches("HTTP/1.1 200").count(), 2, "{got:?}");
        assert_eq!(answers(&got), 2, "{got:?}");
    });
}

/// A deadline that passes while an answer is being written to a slow caller ends the connection;
/// no other answer follows the part that was written.
#[test]
fn cut_while_writing() {
    run(async {
        let large = "x".repeat(7_000_000);
        let plain = vec![answer(200, &large)];
        let event = format!("id: 1\ndata: {}\n\n", "x".repeat(900_000));
        let mut stream = vec![stream_head(), chunk(&event)];
        for id in 2..=8 {
            stream.push(chunk(&event.replace("id: 1", &format!("id: {id}"))));
        }
        stream.push(Step::Hold);
        let plain = Endpoint::start(vec![plain]).await;
        let engine = Endpoint::start(vec![stream]).await;
        let entry = Entry::start(&[&plain], &[&engine]).await;
        for path in ["/unsafe/x", "/stream/x"] {
            let mut caller = TcpStream::connect(entry.callers).await.unwrap();
            let text = kept("POST", path, "", "book").replace("2500", "700") + &hidden();
            caller.write_all(text.as_bytes()).await.unwrap();
            sleep(Duration::from_millis(1200)).await;
            let mut bytes = Vec::new();
            let _ = timeout(LIMIT, caller.read_to_end(&mut bytes))
                .await
                .expect("it ends");
            let got = String::from_utf8_lossy(&bytes);
            assert_eq!(answers(&got), 1, "{path}");
            assert!(
                got.len() < 7_000_000 && !got.ends_with("0\r\n\r\n"),
                "{path}"
            );
        }
    });
}

/// A caller that closes its sending side after the request cannot be told from one that left. It
/// gets no answer, or a whole one, and no part that looks complete.
#[test]
fn half_closed() {
    run(async {
        let slow = vec![Step::Wait(200), answer(200, "ok")];
        let events = "id: 1\ndata: t1\n\n";
        let stream = vec![stream_head(), chunk(events), Step::Hold];
        let plain = Endpoint::start(vec![slow]).await;
        let engine = Endpoint::start(vec![stream]).await;
        let entry = Entry::start(&[&plain], &[&engine]).await;
        for (path, wait) in [("/unsafe/x", 0), ("/stream/x", 0), ("/stream/x", 150)] {
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                let text = request("POST", path, "", "book").replace("HTTP/1.1", version);
                let mut caller = TcpStream::connect(entry.callers).await.unwrap();
                caller.write_all(text.as_bytes()).await.unwrap();
                sleep(Duration::from_millis(wait)).await;
                caller.shutdown().await.unwrap();
                let mut bytes = Vec::new();
                let end = timeout(LIMIT, caller.read_to_end(&mut bytes))
                    .await
                    .expect("it ends");
                let got = String::from_utf8_lossy(&bytes);
                let whole = got.ends_with("\r\n\r\nok");
                let looks_whole = got.ends_with("0\r\n\r\n")
                    || version == "HTTP/1.0" && path == "/stream/x" && wait > 0 && end.is_ok();
                assert!(
                    got.is_empty() || whole || !looks_whole,
                    "{path} {version}: {got:?}"
                );
                assert!(answers(&got) <= 1, "{got:?}");
            }
        }
    });
}

/// Requests that follow one another without waiting are answered in order, and nothing is answered
/// after the one that ends the connection.
#[test]
fn after_last() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let text = request("POST", "/unsafe/x", "", "book") + &hidden();
        let got = send(entry.callers, &text).await;
        assert_eq!(answers(&got), 1, "{got:?}");
        assert_eq!(endpoint.count(), 1);
    });
}
