//! The text of event streams: what an engine may send is forwarded as it came, and what is no event
//! ends the stream.

use crate::support::{Endpoint, Entry, Step, body, chunk, last_chunk, run, stream_head};

fn event(id: u32) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

fn is_terminated(answer: &str) -> bool {
    answer.ends_with("0\r\n\r\n")
}

/// Returns the decoded body of an answer in chunks.
fn decoded(answer: &str) -> String {
    let mut rest = body(answer);
    let mut text = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap_or_else(|_| panic!("{answer:?}"));
        text += &tail[..size];
        rest = &tail[size + 2..];
    }
    text
}

async fn stream_answer(path: &str, script: Vec<Step>) -> String {
    let endpoint = Endpoint::start(vec![script]).await;
    let entry = Entry::start(&[], &[&endpoint]).await;
    entry.call("POST", path, "", "prompt").await
}

/// Comments, versions of weights, fields without a value and lines that end in CRLF are forwarded
/// unchanged, also in pieces.
#[test]
fn sound_events() {
    run(async {
        for text in [
            ": comment\n\nid: 1\ndata: t1\n\n".to_owned(),
            "x-weight-versions: 4\nid: 1\ndata: t1\n\n".to_owned(),
            "id: 1\nevent: token\nretry: 10\ndata\ndata: HTTP/1.1 200 OK\n\n".to_owned(),
            "id: 1\r\ndata: t1\r\n\r\nid: 2\r\ndata: t2\r\n\r\n".to_owned(),
            event(3) + &event(7) + &event(8),
        ] {
            for size in [1, 3, text.len()] {
                let mut script = vec![stream_head()];
                for piece in text.as_bytes().chunks(size) {
                    script.push(chunk(std::str::from_utf8(piece).unwrap()));
                }
                script.push(last_chunk());
                let got = stream_answer("/stream/x", script).await;
                assert!(is_terminated(&got), "{text:?} {size}: {got:?}");
                assert_eq!(decoded(&got), text, "{size}");
            }
        }
    });
}

/// Text that is no event must not be forwarded as one, and the answer must not look complete.
#[test]
fn no_event() {
    run(async {
        for junk in [
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 4\r\n\r\njunk",
            "HTTP/1.1 200 OK\nX-Attempt-Id: other\n\njunk\n\n",
            "\0\0junk\n\n",
            "junk\n\n",
        ] {
            let script = vec![stream_head(), chunk(&event(1)), chunk(junk), last_chunk()];
            let got = stream_answer("/stream/x", script).await;
            assert!(!is_terminated(&got), "{junk:?}: {got:?}");
            assert_eq!(decoded(&got), event(1), "{junk:?}");
        }
    });
}

/// Another answer after a stream without a length must not become part of it.
#[test]
fn second_answer() {
    run(async {
        let head =
            Step::Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\n".into());
        for second in [
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\nid: 2\ndata: other\n\n",
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 4\r\n\r\njunk",
        ] {
            let script = vec![
                head.clone(),
                Step::Write(event(1)),
                Step::Wait(20),
                Step::Write(second.into()),
                Step::Close,
            ];
            let got = stream_answer("/stream/x", script).await;
            assert!(!is_terminated(&got), "{got:?}");
            assert_eq!(decoded(&got), event(1));
        }
    });
}

/// Identifiers increase within one run; where one goes back, pieces of another run follow, which
/// must not be joined to the first.
#[test]
fn other_run() {
    run(async {
        let text = event(1) + &event(2) + &event(3) + &event(1) + &event(2) + &event(9);
        let script = vec![stream_head(), chunk(&text), last_chunk()];
        let got = stream_answer("/stream/x", script).await;
        assert!(!is_terminated(&got), "{got:?}");
        assert_eq!(decoded(&got), event(1) + &event(2) + &event(3));
    });
}

/// A stream whose events have no identifiers must not be resumed: its events would come twice.
#[test]
fn without_identifiers() {
    run(async {
        let text = "data: a\n\ndata: b\n\n";
        let broken = vec![stream_head(), chunk(text), Step::Wait(20), Step::Reset];
        let whole = vec![stream_head(), chunk(text), last_chunk()];
        let first = Endpoint::start(vec![broken]).await;
        let second = Endpoint::start(vec![whole]).await;
        let entry = Entry::start(&[], &[&first, &second]).await;
        let mut cut = 0;
        // The endpoint that is chosen first varies between requests.
        for _ in 0..12 {
            let got = entry.call("POST", "/resume/x", "", "prompt").await;
            assert_eq!(decoded(&got), text, "{got:?}");
            cut += u32::from(!is_terminated(&got));
        }
        assert!(cut > 0);
    });
}

/// An event without an identifier after one that has it is forwarded, but a resumption would repeat
/// it.
#[test]
fn missing_identifier() {
    run(async {
        let sent = event(1) + "data: a\n\n";
        let broken = vec![stream_head(), chunk(&sent), Step::Wait(20), Step::Reset];
        let rest = "data: a\n\n".to_owned() + &event(2);
        let first = Endpoint::start(vec![broken]).await;
        let second = Endpoint::start(vec![vec![stream_head(), chunk(&rest), last_chunk()]]).await;
        let entry = Entry::start(&[], &[&first, &second]).await;
        let mut cut = 0;
        // The endpoint that is chosen first varies between requests.
        for _ in 0..12 {
            let before = first.count();
            let got = entry.call("POST", "/resume/x", "", "prompt").await;
            let expected = if first.count() > before { &sent } else { &rest };
            assert_eq!(decoded(&got), *expected, "{got:?}");
            cut += u32::from(!is_terminated(&got));
        }
        assert!(cut > 0);
    });
}

/// A resumption that starts over, or that has another text for the event that the caller has last,
/// is another run: its events must not be joined to those of the first.
#[test]
fn starts_over() {
    run(async {
        let sent = event(1) + &event(2) + &event(3);
        for rest in [
            sent.clone() + &event(4) + &event(5),
            event(2) + &event(3) + &event(4),
            "id: 3\ndata: other\n\n".to_owned() + &event(4),
        ] {
            let broken = vec![stream_head(), chunk(&sent), Step::Wait(20), Step::Reset];
            let other = vec![stream_head(), chunk(&rest), last_chunk()];
            let first = Endpoint::start(vec![broken]).await;
            let second = Endpoint::start(vec![other]).await;
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
                assert_eq!(decoded(&got), sent, "{rest:?}: {got:?}");
                assert!(!is_terminated(&got), "{rest:?}: {got:?}");
            }
            assert!(resumed > 0, "{rest:?}");
        }
    });
}
