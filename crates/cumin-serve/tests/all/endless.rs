//! Endpoints that send bytes without end, or so slowly that nothing is gained by waiting.

use std::time::{Duration, Instant};

use crate::support::{
    Endpoint, Entry, Step, answer, body, chunk, eventually, last_chunk, run, send, stream_head,
};

const SIGNED: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";

/// A caller that waits longer than any bound in these tests.
fn patient(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: abc123\r\n\
         X-Deadline-Ms: 9000\r\nAuthorization: Bearer key\r\nConnection: close\r\n\
         Content-Length: 4\r\n\r\nbook"
    )
}

/// Checks that a request fails well before its deadline, that the connection to the endpoint is
/// closed, and that the caller sees none of its bytes.
async fn assert_cut(what: &str, script: Vec<Step>) {
    let endpoint = Endpoint::start(vec![script]).await;
    let entry = Entry::start(&[&endpoint], &[]).await;
    let started = Instant::now();
    let got = entry.call("POST", "/unsafe/x", "", "book").await;
    assert!(got.starts_with("HTTP/1.1 502"), "{what}: {got:.200}");
    assert!(!got.contains("junk"), "{what}");
    assert!(started.elapsed() < Duration::from_secs(2), "{what}");
    assert_eq!(endpoint.count(), 1, "{what}");
    eventually(what, || endpoint.closed.get()).await;
}

/// A head that never ends.
#[test]
fn head() {
    run(async {
        let line = Step::Repeat("X-Junk: junk\r\n".into());
        let head = Step::Write("HTTP/1.1 200 OK\r\n".into());
        assert_cut("header lines", vec![head, line]).await;
        let head = Step::Write("HTTP/1.1 200 OK\r\nX-Junk: ".into());
        let line = Step::Repeat("junk".into());
        assert_cut("a header line", vec![head, line]).await;
        assert_cut("a status line", vec![Step::Repeat("junk".into())]).await;
    });
}

/// Informational answers without end.
#[test]
fn informational() {
    run(async {
        let text = "HTTP/1.1 103 junk\r\nLink: junk\r\n\r\n";
        assert_cut("1xx", vec![Step::Repeat(text.into())]).await;
    });
}

/// An answer to another request without end, and such answers one after the other.
#[test]
fn stray() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\n\r\n";
        let script = vec![Step::Write(head.into()), Step::Repeat("junk".into())];
        assert_cut("a stray body", script).await;
        let whole = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 4\r\n\r\njunk";
        assert_cut("stray answers", vec![Step::Repeat(whole.into())]).await;
    });
}

/// A body of the expected answer without end, framed in any way.
#[test]
fn own_body() {
    run(async {
        let until_close = Step::Write(format!("{SIGNED}\r\n"));
        assert_cut(
            "until close",
            vec![until_close, Step::Repeat("junk".into())],
        )
        .await;
        let chunked = Step::Write(format!("{SIGNED}Transfer-Encoding: chunked\r\n\r\n"));
        let chunks = Step::Repeat("4\r\njunk\r\n".into());
        assert_cut("chunks", vec![chunked.clone(), chunks]).await;
        let huge = Step::Write("fffffff\r\n".into());
        let bytes = Step::Repeat("junk".into());
        assert_cut("one chunk", vec![chunked, huge, bytes]).await;
        let length = Step::Write(format!("{SIGNED}Content-Length: 999999999999\r\n\r\n"));
        let bytes = Step::Repeat("junk".into());
        assert_cut("a length", vec![length, bytes]).await;
    });
}

/// The lines of the chunked framing without end: size, extension, trailers.
#[test]
fn framing() {
    run(async {
        let chunked = Step::Write(format!("{SIGNED}Transfer-Encoding: chunked\r\n\r\n"));
        for (what, start, text) in [
            ("a chunk size", "", "0"),
            ("an extension", "4;", "junk"),
            ("trailers", "0\r\n", "X-Junk: junk\r\n"),
        ] {
            let start = Step::Write(start.into());
            let script = vec![chunked.clone(), start, Step::Repeat(text.into())];
            assert_cut(what, script).await;
        }
    });
}

/// An event that never ends must not fill the memory of the entry.
#[test]
fn event() {
    run(async {
        let script = vec![
            stream_head(),
            chunk("id: 1\ndata: t1\n\n"),
            Step::Repeat("4\r\njunk\r\n".into()),
        ];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[], &[&endpoint]).await;
        let started = Instant::now();
        let got = entry.call("POST", "/stream/x", "", "prompt").await;
        assert!(got.contains("data: t1") && !got.contains("junk"));
        assert!(!got.ends_with("0\r\n\r\n"), "it must not look complete");
        assert!(started.elapsed() < Duration::from_secs(2));
        eventually("it is closed", || endpoint.closed.get()).await;
    });
}

/// Many such endpoints at once must not stop sound ones from answering.
#[test]
fn many_at_once() {
    run(async {
        let bad = Endpoint::start(vec![vec![Step::Repeat("HTTP/1.1 103 x\r\n\r\n".into())]]).await;
        let good = Endpoint::start(vec![vec![stream_head(), last_chunk()]]).await;
        let entry = Entry::start(&[&bad], &[&good]).await;
        let calls: Vec<_> = (0..50)
            .map(|_| {
                let text = patient("/unsafe/x");
                actix_rt::spawn(async move { send(entry.callers, &text).await })
            })
            .collect();
        for _ in 0..10 {
            let started = Instant::now();
            let got = entry.call("POST", "/stream/x", "", "prompt").await;
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
            assert!(started.elapsed() < Duration::from_secs(1));
        }
        for call in calls {
            let got = call.await.unwrap();
            assert!(got.starts_with("HTTP/1.1 5"), "{got}");
        }
    });
}

/// A stalled stream that sends a comment, an old event or part of an event now and then ends when
/// its caller no longer waits for it, long before the deadline.
#[test]
fn stalled() {
    run(async {
        for text in ["5\r\n: x\n\n\r\n", "1\r\nx\r\n", "b\r\nid: 1\ndata\n\r\n"] {
            let script = vec![
                stream_head(),
                chunk("id: 1\ndata: t1\n\n"),
                Step::Trickle(text.into(), 100),
            ];
            let endpoint = Endpoint::start(vec![script]).await;
            let entry = Entry::start(&[], &[&endpoint]).await;
            let started = Instant::now();
            let got = send(entry.callers, &patient("/paced/x")).await;
            assert!(got.contains("data: t1"), "{got}");
            assert!(!got.ends_with("0\r\n\r\n"), "{got}");
            let took = started.elapsed();
            assert!(took > Duration::from_millis(1500), "{took:?}");
            assert!(took < Duration::from_secs(5), "{took:?}");
            eventually("it is closed", || endpoint.closed.get()).await;
        }
    });
}

/// A stalled stream that may be resumed goes on at another endpoint while its caller still waits.
#[test]
fn stalled_resumed() {
    run(async {
        let stalling = vec![
            stream_head(),
            chunk("id: 1\ndata: t1\n\n"),
            Step::Trickle("5\r\n: x\n\n\r\n".into(), 100),
        ];
        let rest = "id: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";
        let first = Endpoint::start(vec![stalling]).await;
        let second = Endpoint::start(vec![vec![stream_head(), chunk(rest), last_chunk()]]).await;
        let entry = Entry::start(&[], &[&first, &second]).await;
        let mut resumed = 0;
        for _ in 0..8 {
            let before = first.count();
            let started = Instant::now();
            let got = send(entry.callers, &patient("/paced/resume/x")).await;
            assert!(
                got.ends_with("0\r\n\r\n") && got.contains("data: t3"),
                "{got}"
            );
            assert!(started.elapsed() < Duration::from_secs(2));
            if first.count() > before {
                resumed += 1;
                break;
            }
        }
        assert!(resumed > 0);
    });
}

/// A stream whose events all come within the allowed pause is never cut, however long it takes.
#[test]
fn slow_but_sound() {
    run(async {
        let mut script = vec![stream_head()];
        for id in 1..=40 {
            script.push(chunk(&format!("id: {id}\ndata: t{id}\n\n")));
            script.push(Step::Wait(95));
        }
        script.push(last_chunk());
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[], &[&endpoint]).await;
        let got = send(entry.callers, &patient("/paced/x")).await;
        assert!(
            got.contains("data: t40") && got.ends_with("0\r\n\r\n"),
            "{got}"
        );
    });
}

/// A body that comes a byte at a time is given up in time for another endpoint.
#[test]
fn slow_body() {
    run(async {
        let head = Step::Write(format!("{SIGNED}Content-Length: 1000\r\n\r\n"));
        let slow = Endpoint::start(vec![vec![head, Step::Trickle("x".into(), 50)]]).await;
        let sound = Endpoint::start(vec![vec![answer(200, "whole")]]).await;
        let entry = Entry::start(&[&slow, &sound], &[]).await;
        for _ in 0..4 {
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert_eq!(body(&got), "whole", "{got}");
        }
    });
}
