//! Event streams: only complete events are forwarded, and resumable streams are resumed.

use crate::support::{Endpoint, Entry, Step, answer, body, chunk, last_chunk, run, stream_head};

fn event(id: u32) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

/// Returns the identifiers of the events in an answer.
fn events(answer: &str) -> Vec<u32> {
    let lines = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.trim().parse().unwrap()).collect()
}

fn is_terminated(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

/// Events arrive unchanged, even if a chunk ends within an event.
#[test]
fn whole_stream() {
    run(async {
        let text: String = (1..=5).map(event).collect();
        let (first, second) = text.split_at(23);
        let script = vec![
            stream_head(),
            chunk(first),
            Step::Wait(20),
            chunk(second),
            last_chunk(),
        ];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[], &[&endpoint]).await;
        let got = entry.call("POST", "/stream/x", "", "prompt").await;
        assert_eq!(events(&got), [1, 2, 3, 4, 5], "{got}");
        assert!(is_terminated(&got));
    });
}

/// A broken stream must not look complete, and its incomplete event must not be forwarded.
#[test]
fn broken_stream() {
    run(async {
        let half = format!("{}{}", event(1), "id: 2\nda");
        let script = vec![stream_head(), chunk(&half), Step::Wait(20), Step::Close];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[], &[&endpoint]).await;
        let got = entry.call("POST", "/stream/x", "", "prompt").await;
        assert_eq!(events(&got), [1], "{got}");
        assert!(!is_terminated(&got));
        assert_eq!(endpoint.count(), 1);
    });
}

/// A stream that ends properly but within an event must not look complete.
#[test]
fn ends_within_event() {
    run(async {
        let half = format!("{}{}", event(1), "id: 2\nda");
        let script = vec![stream_head(), chunk(&half), last_chunk()];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[], &[&endpoint]).await;
        let got = entry.call("POST", "/stream/x", "", "prompt").await;
        assert!(!is_terminated(&got), "{got}");
    });
}

/// A broken stream of a resumable route continues at another endpoint after the last forwarded
/// event, in the same answer and under the signature of the first endpoint.
#[test]
fn resumed() {
    run(async {
        let half = format!("{}{}{}", event(1), event(2), "id: 3\nda");
        let broken = vec![stream_head(), chunk(&half), Step::Wait(20), Step::Reset];
        let rest = format!("{}{}{}", event(2), event(3), event(4));
        let continuing = vec![stream_head(), chunk(&rest), last_chunk()];
        let first = Endpoint::start(vec![broken]).await;
        let second = Endpoint::start(vec![continuing]).await;
        let entry = Entry::start(&[], &[&first, &second]).await;
        let mut resumed = 0;
        // The endpoint that is chosen first varies between requests.
        for _ in 0..12 {
            let before = first.count();
            let got = entry.call("POST", "/resume/x", "", "prompt").await;
            assert!(is_terminated(&got), "{got}");
            if first.count() > before {
                resumed += 1;
                assert_eq!(events(&got), [1, 2, 3, 4], "{got}");
                let received = second.received.borrow();
                let after = received.last().unwrap().header("last-event-id");
                assert_eq!(after.as_deref(), Some("2"));
            }
        }
        assert!(resumed > 0);
    });
}

/// An endpoint's error must not be written into the chunked answer that another endpoint began
/// (hackbrett and umura-ovens-grown with failing engines and reset connections).
#[test]
fn failed_resumption() {
    run(async {
        for status in [400, 404, 500, 504] {
            let broken = vec![stream_head(), chunk(&event(1)), Step::Wait(20), Step::Reset];
            let first = Endpoint::start(vec![broken]).await;
            let second = Endpoint::start(vec![vec![answer(status, "the run failed")]]).await;
            let entry = Entry::start(&[], &[&first, &second]).await;
            let mut resumed = 0;
            // The endpoint that is chosen first varies between requests.
            for _ in 0..12 {
                let before = first.count();
                let got = entry.call("POST", "/resume/x", "", "prompt").await;
                if first.count() == before || !got.starts_with("HTTP/1.1 200") {
                    continue;
                }
                resumed += 1;
                let (_, body) = got.split_once("\r\n\r\n").unwrap();
                let text = event(1);
                let expected = format!("{:X}\r\n{text}\r\n", text.len());
                assert_eq!(body, expected, "{status}");
            }
            assert!(resumed > 0);
        }
    });
}

/// However the resumption of a stream ends, its caller gets the events so far and nothing else: no
/// second head, no refusal, no end that makes the answer look complete.
#[test]
fn resumption_ends() {
    run(async {
        let head = |text: &str| Step::Write(format!("HTTP/1.1 {text}\r\nX-Attempt-Id: ID\r\n"));
        let tail = |text: &str| Step::Write(format!("{text}\r\n\r\n"));
        let bare = |status: &str| vec![head(status), tail("Content-Length: 0")];
        let unrun =
            |status: &str| vec![head(status), tail("X-Not-Executed: 1\r\nContent-Length: 0")];
        let sealed = "X-Response-Seal: s\r\nContent-Length: 0";
        let ends = [
            ("error", vec![answer(500, "the run failed")]),
            ("error without seal", bare("500 X")),
            ("success without seal", bare("200 X")),
            (
                "success without events",
                vec![head("200 X"), tail("X-Response-Seal: s"), Step::Close],
            ),
            ("redirect", vec![head("302 X"), tail(sealed)]),
            (
                "no content",
                vec![head("204 X"), tail("X-Response-Seal: s")],
            ),
            ("reset content", vec![head("205 X"), tail(sealed)]),
            ("unmodified", vec![head("304 X"), tail(sealed)]),
            ("full", unrun("503 X")),
            ("too many", unrun("429 X")),
            ("misdirected", unrun("421 X")),
            ("reset", vec![Step::Reset]),
            ("closed", vec![Step::Close]),
            ("no answer", vec![Step::Hold]),
            (
                "no HTTP",
                vec![Step::Write("\x01\x02 not http\r\n\r\n".into())],
            ),
            ("head only", vec![stream_head(), Step::Hold]),
            (
                "half an event",
                vec![stream_head(), chunk("id: 2\nda"), Step::Reset],
            ),
            (
                "an event's half",
                vec![stream_head(), chunk("id: 2\nda"), last_chunk()],
            ),
            (
                "no chunk",
                vec![stream_head(), Step::Write("HTTP/1.1 200 OK\r\n\r\n".into())],
            ),
        ];
        for (name, end) in ends {
            let broken = vec![stream_head(), chunk(&event(1)), Step::Wait(20), Step::Reset];
            let first = Endpoint::start(vec![broken]).await;
            let second = Endpoint::start(vec![end]).await;
            let entry = Entry::start(&[], &[&first, &second]).await;
            let mut resumed = 0;
            // The endpoint that is chosen first varies between requests.
            for _ in 0..12 {
                let before = (first.count(), second.count());
                let got = entry.call("POST", "/resume/x", "", "prompt").await;
                if first.count() == before.0 || !got.starts_with("HTTP/1.1 200") {
                    continue;
                }
                resumed += second.count() - before.1;
                let text = event(1);
                let expected = format!("{:X}\r\n{text}\r\n", text.len());
                assert_eq!(body(&got), expected, "{name}");
                if name == "no answer" || name == "head only" {
                    break;
                }
            }
            assert!(resumed > 0, "{name}");
        }
    });
}

/// Returns an answer to a request whose first run sends `sent` and breaks off, and whose resumption
/// ends properly without an event.
async fn empty_resumption(sent: &str) -> String {
    let broken = vec![stream_head(), chunk(sent), Step::Wait(20), Step::Reset];
    let first = Endpoint::start(vec![broken]).await;
    let second = Endpoint::start(vec![vec![stream_head(), last_chunk()]]).await;
    let entry = Entry::start(&[], &[&first, &second]).await;
    // The endpoint that is chosen first varies between requests.
    for _ in 0..12 {
        let before = (first.count(), second.count());
        let got = entry.call("POST", "/resume/x", "", "prompt").await;
        if first.count() > before.0 && second.count() > before.1 {
            return got;
        }
    }
    panic!("no stream was resumed");
}

/// A resumption without an event must not end a stream as complete if the first run had begun
/// another event: that one is missing.
#[test]
fn missing_last_event() {
    run(async {
        for half in ["id: 2\nda", "i", "id: 2\ndata: t2\n"] {
            let got = empty_resumption(&(event(1) + half)).await;
            assert_eq!(events(&got), [1], "{half:?}: {got}");
            assert!(!is_terminated(&got), "{half:?}: {got}");
            let got = empty_resumption(half).await;
            assert!(!got.starts_with("HTTP/1.1 200"), "{half:?}: {got}");
        }
    });
}

/// A stream that breaks off after its last event is complete if the resumption has nothing to add.
#[test]
fn broken_after_last() {
    run(async {
        for half in ["", ": comm"] {
            let got = empty_resumption(&(event(1) + &event(2) + half)).await;
            assert_eq!(events(&got), [1, 2], "{half:?}: {got}");
            assert!(is_terminated(&got), "{half:?}: {got}");
        }
    });
}

/// A resumption that breaks off within its copy of the last event owes nothing: the caller has that
/// event, and a stream that ends after it must not be truncated.
#[test]
fn broken_copy() {
    run(async {
        let first = vec![
            stream_head(),
            chunk(&(event(1) + &event(2))),
            Step::Wait(20),
            Step::Reset,
        ];
        let copy = vec![
            stream_head(),
            chunk("id: 2\nda"),
            Step::Wait(20),
            Step::Reset,
        ];
        let end = vec![stream_head(), chunk(&event(2)), last_chunk()];
        let first = Endpoint::start(vec![first]).await;
        let second = Endpoint::start(vec![copy]).await;
        let third = Endpoint::start(vec![end]).await;
        let entry = Entry::start(&[], &[&first, &second, &third]).await;
        let counts = || [first.count(), second.count(), third.count()];
        let mut broken_copies = 0;
        // The order in which endpoints are chosen varies between requests.
        for _ in 0..60 {
            let before = counts();
            let got = entry.call("POST", "/resume/thrice/x", "", "prompt").await;
            if counts()
                .iter()
                .zip(before)
                .any(|(now, before)| *now != before + 1)
            {
                continue;
            }
            assert_eq!(events(&got), [1, 2], "{got}");
            assert!(is_terminated(&got), "{got}");
            let received = second.received.borrow();
            let head = &received.last().expect("a request").head;
            broken_copies += usize::from(head.to_lowercase().contains("last-event-id"));
            if broken_copies == 2 {
                return;
            }
        }
        assert!(broken_copies > 0, "no resumption broke off");
    });
}

/// The request of a caller that disconnects is aborted at the endpoint within half a second.
#[test]
fn caller_disconnects() {
    use tokio::io::AsyncWriteExt as _;
    run(async {
        let script = vec![stream_head(), chunk(&event(1)), Step::Hold];
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Entry::start(&[], &[&endpoint]).await;
        let mut caller = tokio::net::TcpStream::connect(entry.callers).await.unwrap();
        let text = crate::support::request("POST", "/stream/x", "", "prompt");
        caller.write_all(text.as_bytes()).await.unwrap();
        crate::support::eventually("the request arrives", || endpoint.count() == 1).await;
        drop(caller);
        let end = async { crate::support::eventually("it ends", || endpoint.closed.get()).await };
        let limit = std::time::Duration::from_millis(500);
        tokio::time::timeout(limit, end)
            .await
            .expect("within half a second");
    });
}
