//! Answers with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::support::{Endpoint, Entry, Step, body, run};

/// Head of an answer without a length.
fn head(status: u16) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\
         Content-Type: text/event-stream\r\n\r\n"
    ))
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u32>) -> Step {
    Step::Write(ids.map(event).collect())
}

fn is_terminated(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

/// Returns the answer of an entry to a request on `path` in front of one engine.
async fn stream_answer(path: &str, script: Vec<Step>) -> String {
    let endpoint = Endpoint::start(vec![script]).await;
    let entry = Entry::start(&[], &[&endpoint]).await;
    entry.call("POST", path, "", "prompt").await
}

/// A stream that ends after an event is complete.
#[test]
fn whole_stream() {
    run(async {
        let script = vec![head(200), events(1..=3), Step::Wait(20), Step::Close];
        let got = stream_answer("/stream/x", script).await;
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        assert!(got.contains("t3") && is_terminated(&got), "{got}");
    });
}

/// A stream that ends within an event was broken off and must not look complete.
#[test]
fn within_event() {
    run(async {
        let half = Step::Write("id: 2\nda".into());
        let script = vec![head(200), events(1..=1), half, Step::Wait(20), Step::Close];
        let got = stream_answer("/stream/x", script).await;
        assert!(got.contains("t1") && !got.contains("id: 2"), "{got}");
        assert!(!is_terminated(&got), "{got}");
    });
}

/// A stream that is reset after an event was broken off as well.
#[test]
fn reset() {
    run(async {
        let script = vec![head(200), events(1..=2), Step::Wait(20), Step::Reset];
        let got = stream_answer("/stream/x", script).await;
        assert!(!is_terminated(&got), "{got}");
    });
}

/// An engine that crashes before the first event ends the connection as a whole stream would; its
/// empty stream passed for a complete one.
#[test]
fn no_event() {
    run(async {
        let script = vec![head(200), Step::Wait(20), Step::Close];
        let got = stream_answer("/stream/x", script).await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
    });
}

/// A resumable stream that ends within an event goes on at another engine.
#[test]
fn goes_on() {
    run(async {
        let half = Step::Write("id: 3\nda".into());
        let broken = vec![head(200), events(1..=2), half, Step::Wait(20), Step::Close];
        let rest = vec![head(200), events(3..=4), Step::Close];
        let engine = Endpoint::start(vec![broken, rest.clone()]).await;
        let other = Endpoint::start(vec![rest]).await;
        let entry = Entry::start(&[], &[&engine, &other]).await;
        let mut resumed = false;
        for _ in 0..12 {
            let before = engine.count();
            let got = entry.call("POST", "/resume/x", "", "prompt").await;
            assert!(is_terminated(&got), "{got}");
            if before == 0 && engine.count() > 0 {
                resumed = true;
                let ids = got.matches("\nid: ").count();
                assert!(
                    ids == 4 && got.contains("t1") && got.contains("t4"),
                    "{got}"
                );
            }
        }
        assert!(resumed);
    });
}

/// A plain answer that is reset on the way is not complete.
#[test]
fn plain_reset() {
    run(async {
        let part = Step::Write("part".into());
        let broken = vec![head(200), part, Step::Wait(20), Step::Reset];
        let endpoint = Endpoint::start(vec![broken]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
        assert!(!body(&got).contains("part"), "{got}");
    });
}

/// The platform speaks HTTP/1.1 only. An answer in HTTP/1.0 must not reach the caller in part, or with
/// the framing of chunks, which that version does not have.
#[test]
fn older_version() {
    run(async {
        let head = "HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";
        for rest in [
            "\r\nhalf",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
        ] {
            let answer = Step::Write(format!("{head}{rest}"));
            let script = vec![answer, Step::Wait(20), Step::Close];
            let endpoint = Endpoint::start(vec![script]).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            let got = entry.call("POST", "/unsafe/x", "", "book").await;
            assert!(got.starts_with("HTTP/1.1 502"), "{rest:?}: {got}");
            assert!(!body(&got).contains("half"), "{rest:?}: {got}");
        }
    });
}

/// Answers the first bytes of a request with half a body, and resets the connection.
async fn reset_after_half(mut stream: TcpStream) {
    let mut part = vec![0; 300];
    if stream.read(&mut part).await.unwrap_or(0) == 0 {
        return;
    }
    let half = "HTTP/1.1 200 OK\r\nX-Attempt-Id: abc123\r\nX-Response-Seal: s\r\n\r\nhalf";
    let _ = stream.write_all(half.as_bytes()).await;
    sleep(Duration::from_millis(50)).await;
    let _ = stream.set_zero_linger();
}

/// A reset that fails the sending of a long request is reported to the write, after which a read
/// sees a regular end; the answer that it cut off passed for a complete one.
#[test]
fn reset_while_sending() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let entry = Entry::start(&[], &[]).await;
        entry.register("plain-1", "plain", listener.local_addr().unwrap());
        // More than the sockets buffer, so that a part is still to be sent when the reset arrives.
        let long = "b".repeat(9_000_000);
        entry.publish_limited(&["key"], long.len());
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(reset_after_half(stream));
            }
        });
        sleep(Duration::from_millis(200)).await;
        for _ in 0..5 {
            let got = entry.call("POST", "/unsafe/x", "", &long).await;
            assert!(got.starts_with("HTTP/1.1 502"), "{got}");
            assert!(!body(&got).contains("half"), "{got}");
        }
    });
}

/// The connection of such an answer is never used again.
#[test]
fn not_reused() {
    run(async {
        let script = vec![head(200), Step::Write("whole".into()), Step::Close];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        for _ in 0..3 {
            let got = entry.call("POST", "/unsafe/x", "", "book").await;
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
            assert_eq!(body(&got), "whole");
        }
    });
}
