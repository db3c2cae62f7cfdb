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
