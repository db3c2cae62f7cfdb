//! Answers of endpoints: complete, truncated, stray, invalid, without a length, or not run.

use crate::support::{Endpoint, Entry, Step, answer, body, run};

/// The status, body and signature of an answer are forwarded unchanged.
#[test]
fn forwarded_unchanged() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "slots: 3")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        assert!(got.to_lowercase().contains("x-response-seal: seal-200"));
        assert_eq!(body(&got), "slots: 3");
    });
}

/// A request that may run only once must not be retried after a truncated answer.
#[test]
fn truncated_once() {
    run(async {
        let truncated = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\
                    Content-Length: 100\r\n\r\nhalf";
        let script = vec![Step::Write(truncated.into()), Step::Close];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
        assert_eq!(endpoint.count(), 1);
    });
}

/// An idempotent request is retried at another endpoint after a truncated answer.
#[test]
fn truncated_retried() {
    run(async {
        let truncated = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\
                    Content-Length: 100\r\n\r\nhalf";
        let script = vec![Step::Write(truncated.into()), Step::Close];
        let first = Endpoint::start(vec![script.clone()]).await;
        let second = Endpoint::start(vec![vec![answer(200, "whole")]]).await;
        let entry = Entry::start(&[&first, &second], &[]).await;
        for _ in 0..4 {
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert_eq!(body(&got), "whole", "{got}");
        }
    });
}

/// An answer to another request, received before the expected one, must not be forwarded.
#[test]
fn stray_answer() {
    run(async {
        let stray = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: s\r\n\
                     Content-Length: 5\r\n\r\nwrong";
        let script = vec![Step::Write(stray.into()), answer(200, "mine")];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert_eq!(body(&got), "mine", "{got}");
    });
}

/// A second copy of an earlier answer must not be taken for the next one, whatever identifiers it
/// bears, and a connection on which one came is not used again.
#[test]
fn second_copy() {
    run(async {
        let copy = |ids: &str| {
            Step::Write(format!(
                "HTTP/1.1 200 OK\r\n{ids}X-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
            ))
        };
        let earlier = "X-Attempt-Id: earlier\r\n";
        let both = "X-Attempt-Id: ID\r\nX-Attempt-Id: earlier\r\n";
        for ids in [earlier, "", both] {
            let first = vec![answer(200, "first")];
            // The copy comes after the next request was sent, in two parts.
            let second = vec![copy(ids), Step::Wait(30), answer(200, "second")];
            let third = vec![answer(200, "third")];
            let endpoint = Endpoint::start(vec![first, second, third]).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            for expected in ["first", "second", "third"] {
                let got = entry.call("POST", "/unsafe/x", "", "book").await;
                assert_eq!(body(&got), expected, "{ids}: {got}");
            }
        }
    });
}

/// A connection with bytes after a complete answer must not be reused: the next request would take
/// them for its answer.
#[test]
fn bytes_after() {
    run(async {
        let script = vec![answer(200, "first"), Step::Write("junk junk".into())];
        let endpoint = Endpoint::start(vec![script, vec![answer(200, "second")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert_eq!(body(&got), "first");
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert_eq!(body(&got), "second", "{got}");
    });
}

/// An answer without a length ends with the close of its connection; a reset must not count as its
/// end.
#[test]
fn without_length() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\nall of it";
        let whole = vec![Step::Write(head.into()), Step::Close];
        let reset = vec![Step::Write(head.into()), Step::Wait(50), Step::Reset];
        let endpoint = Endpoint::start(vec![whole, reset]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert_eq!(body(&got), "all of it", "{got}");
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
    });
}

/// Bytes that are not HTTP result in a 502.
#[test]
fn not_http() {
    run(async {
        let script = vec![Step::Write("\x01\x02 not http\r\n\r\n".into())];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
    });
}

/// An answer without a signature does not come from the endpoint, so it must not be forwarded.
#[test]
fn unsigned() {
    run(async {
        let bare = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 2\r\n\r\nok";
        let endpoint = Endpoint::start(vec![vec![Step::Write(bare.into())]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
    });
}

/// A request that an endpoint did not run is retried at another endpoint, or refused with
/// `retry-after` if there is none.
#[test]
fn not_run() {
    run(async {
        let full = "HTTP/1.1 503 Full\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\
                    Content-Length: 0\r\n\r\n";
        let full = Endpoint::start(vec![vec![Step::Write(full.into())]]).await;
        let entry = Entry::start(&[&full], &[]).await;
        let got = entry.call("POST", "/unsafe/x", "", "book").await;
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        assert!(got.to_lowercase().contains("retry-after: "), "{got}");
        let free = Endpoint::start(vec![vec![answer(200, "ran")]]).await;
        entry.register("plain-9", "plain", free.address);
        for _ in 0..4 {
            tokio::time::sleep(std::time::Duration::from_millis(200)).await;
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert_eq!(body(&got), "ran", "{got}");
        }
    });
}

/// A server error is forwarded unchanged if no other endpoint can be tried.
#[test]
fn failure_forwarded() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(500, "broke")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 500"), "{got}");
        assert!(got.to_lowercase().contains("x-response-seal: seal-500"));
        assert_eq!(body(&got), "broke");
    });
}

/// Statuses that promise that the request has not run. Only `X-Not-Executed` or 421 says so for an
/// endpoint; a seal does not.
const PROMISES: [u16; 3] = [408, 429, 503];

/// A request that may run only once may have run at an endpoint that refuses it without saying
/// otherwise; its caller must not be promised that it has not.
#[test]
fn unproven_refusal() {
    run(async {
        for status in PROMISES {
            let endpoint = Endpoint::start(vec![vec![answer(status, "refused")]]).await;
            let entry = Entry::start(&[&endpoint], &[&endpoint]).await;
            for path in ["/unsafe/x", "/stream/x"] {
                let got = entry.call("POST", path, "", "book").await;
                assert!(got.starts_with("HTTP/1.1 502"), "{path} {status}: {got}");
                assert!(!got.to_lowercase().contains("x-response-seal"), "{got}");
            }
            assert_eq!(endpoint.count(), 2, "{status}");
        }
    });
}

/// A request that may run again is sent to another endpoint after such a refusal, which is forwarded
/// unchanged if there is none.
#[test]
fn unproven_refusal_retried() {
    run(async {
        for status in PROMISES {
            let refusing = Endpoint::start(vec![vec![answer(status, "refused")]]).await;
            let entry = Entry::start(&[&refusing], &[]).await;
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{got}");
            assert!(got.to_lowercase().contains("x-response-seal"), "{got}");
            let sound = Endpoint::start(vec![vec![answer(200, "ran")]]).await;
            let entry = Entry::start(&[&refusing, &sound], &[]).await;
            for _ in 0..4 {
                let got = entry.call("GET", "/safe/x", "", "").await;
                assert_eq!(body(&got), "ran", "{status}: {got}");
            }
        }
    });
}

/// A failed connection sends nothing, so even a request that may run only once is retried at
/// another endpoint.
#[test]
fn unreachable() {
    run(async {
        let dead = Endpoint::start(vec![vec![]]).await;
        let refusing = Endpoint {
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            ..dead
        };
        let live = Endpoint::start(vec![vec![answer(200, "ran")]]).await;
        let entry = Entry::start(&[&refusing, &live], &[]).await;
        for _ in 0..4 {
            let got = entry.call("POST", "/unsafe/x", "", "book").await;
            assert_eq!(body(&got), "ran", "{got}");
        }
    });
}
