//! Log lines that name what an endpoint or a caller sent wrongly.

use std::cell::RefCell;

use crate::support::{Endpoint, Entry, Step, answer, body, request, run, send};

/// Keeps the lines of each thread, and so of each test.
struct Lines;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

fn collect() {
    // Another test may have set it.
    let _ = log::set_logger(&Lines);
    log::set_max_level(log::LevelFilter::Info);
}

/// Returns the lines of an event.
fn lines(event: &str) -> Vec<String> {
    let start = format!("event={event} ");
    LINES.with_borrow(|lines| {
        let lines = lines.iter().filter(|line| line.starts_with(&start));
        lines.cloned().collect()
    })
}

/// Without the identifiers of both requests nobody can tell where a stray answer came from.
#[test]
fn stray_answer() {
    collect();
    run(async {
        let long = "o".repeat(100);
        for (ids, named) in [
            (format!("X-Attempt-Id: {long}\r\n"), &long[..64]),
            (String::new(), ""),
        ] {
            let stray = format!(
                "HTTP/1.1 200 OK\r\n{ids}X-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong"
            );
            let script = vec![Step::Write(stray), answer(200, "mine")];
            let endpoint = Endpoint::start(vec![script]).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            let got = entry.call("POST", "/unsafe/x", "", "book").await;
            assert_eq!(body(&got), "mine", "{got}");
            let line = lines("stray_answer").pop().unwrap();
            let expected = format!(
                "event=stray_answer id=abc123 endpoint=plain-0 status=200 answered={named:?}"
            );
            assert_eq!(line, expected);
        }
    });
}

/// Bytes after an answer are named with the request that was answered, whether they come at once or
/// while the connection is idle.
#[test]
fn trailing_bytes() {
    collect();
    run(async {
        for wait in [0, 50] {
            let script = vec![
                answer(200, "first"),
                Step::Wait(wait),
                Step::Write("junk".into()),
            ];
            let endpoint = Endpoint::start(vec![script, vec![answer(200, "second")]]).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            entry.call("POST", "/unsafe/x", "", "book").await;
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            entry.call("POST", "/unsafe/x", "", "book").await;
            let found = lines("trailing_bytes");
            let expected = "event=trailing_bytes id=abc123 endpoint=plain-0 bytes=4";
            assert_eq!(
                found.last().map(String::as_str),
                Some(expected),
                "{wait}: {found:?}"
            );
        }
    });
}

/// A refusal of the reader is logged, with the request's identifier once its head was read.
#[test]
fn unreadable_request() {
    collect();
    run(async {
        let entry = Entry::start(&[], &[]).await;
        let large = request("POST", "/unsafe/x", "", &"x".repeat(100_001));
        let chunked = "Transfer-Encoding: chunked\r\n";
        let broken = request("POST", "/unsafe/x", chunked, "") + "4\r\nbook\r\nzz\r\n";
        let long = format!("GET /x HTTP/1.1\r\nX-Long: {}", "y".repeat(20_000));
        for (text, status, id) in [
            (large, "413", "abc123"),
            (broken, "400", "abc123"),
            ("no request\r\n\r\n".to_owned(), "400", ""),
            (long, "431", ""),
            ("GET /safe/x HTTP/1.1\r\nHost:".to_owned(), "408", ""),
        ] {
            let got = send(entry.callers, &text).await;
            assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{got}");
            let line = lines("unreadable_request").pop().unwrap();
            let start = format!("event=unreadable_request id={id} status={status} ");
            assert!(line.starts_with(&start), "{line}");
        }
    });
}
