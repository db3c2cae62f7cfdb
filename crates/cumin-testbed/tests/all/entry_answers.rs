//! Answers of entries that end early, as the client sees them.

use std::rc::Rc;
use std::time::Duration;

use cumin_client::{Client, Options, PlainCall};
use cumin_types::Outcome;
use cumin_wire::completion::Chunk;
use uuid::Uuid;

use crate::scripted::{Script, Scripted, Step, answer, chunk, chunked_head};
use crate::support::{KEY, chat};

fn client(entries: &[&Scripted]) -> Client {
    Client::new(Options {
        key: KEY.into(),
        entries: entries.iter().map(|entry| entry.address).collect(),
        retry_delay: Duration::from_millis(10),
        max_tries: 5,
        ..Options::default()
    })
}

fn booking() -> PlainCall {
    PlainCall {
        method: "POST".into(),
        service: "oven-desk".into(),
        path: "bookings".into(),
        key: Some(Uuid::now_v7()),
        body: "{}".into(),
    }
}

/// Guards against an answer that ends early, as when its entry is killed, and is taken for a
/// complete one.
#[actix_rt::test]
async fn closed_early() {
    let whole = answer(200, "whole answer");
    let sized = vec![Step::Send(whole[..whole.len() - 7].to_vec()), Step::Close];
    let parts = vec![
        Step::Send(chunked_head()),
        Step::Send(chunk("whole")),
        Step::Close,
    ];
    for steps in [sized, parts] {
        let script: Script = Rc::new(move |_, count| match count {
            0 => steps.clone(),
            _ => vec![Step::Send(answer(200, "whole answer"))],
        });
        let entry = Scripted::start(script);
        let client = client(&[&entry]);
        let once = client.call_once(&booking()).await;
        assert!(once.is_err(), "{once:?}");
    }
}

/// Returns the events of tokens from position `from` to `to`.
fn tokens(from: u64, to: u64) -> String {
    let event = |position| {
        let text = format!("t{position} ");
        let chunk = Chunk::text("e", "crumb-8b", true, &text);
        let data = serde_json::to_string(&chunk).expect("JSON");
        format!("id: {position}\ndata: {data}\n\n")
    };
    (from..=to).map(event).collect()
}

const END: &str = concat!(
    r#"data: {"id":"e","object":"o","model":"m","choices":[{"index":0,"finish_reason":"stop"}]}"#,
    "\n\ndata: [DONE]\n\n"
);

fn head(id: &str) -> Vec<u8> {
    let start = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\nx-request-id: ";
    format!("{start}{id}\r\n\r\n").into_bytes()
}

/// Guards against tokens that are repeated or missing, and against error bytes in the text, when a
/// stream breaks and is resumed at the last event id.
#[actix_rt::test]
async fn resumed_at_position() {
    let error = answer(500, "worker failed");
    let endings = [
        Vec::new(),
        vec![Step::Send(error.clone())],
        vec![Step::Send(chunk(
            std::str::from_utf8(&error).expect("text"),
        ))],
        vec![Step::Send(chunk("id: 4\ndata: {\"id\""))],
    ];
    for ending in endings {
        let script: Script = Rc::new(move |request, count| {
            if count == 0 {
                let begun = vec![Step::Send(head("r1")), Step::Send(chunk(&tokens(1, 3)))];
                return [begun, ending.clone(), vec![Step::Close]].concat();
            }
            if count == 1 {
                return vec![Step::Send(answer(404, "no node holds the request"))];
            }
            let request = request.to_lowercase();
            assert!(request.starts_with("get /v1/requests/r1 "), "{request}");
            assert!(request.contains("last-event-id: 3\r\n"), "{request}");
            let rest = tokens(4, 6) + END;
            vec![Step::Send([head("r1"), chunk(&rest), chunk("")].concat())]
        });
        let entry = Scripted::start(script);
        let client = client(&[&entry]);
        let streamed = client.chat(&chat("rye", 6)).await.expect("an answer");
        assert_eq!(streamed.text(), "t1 t2 t3 t4 t5 t6 ");
        assert_eq!(streamed.outcome, Some(Outcome::Done));
        assert_eq!((streamed.repeated, streamed.skipped), (0, 0));
    }
}

/// Guards against a stream that ends after its finish reason or between two events and is taken for
/// a complete one.
#[actix_rt::test]
async fn ended_early() {
    let script: Script = Rc::new(|_, count| match count {
        0 => vec![
            Step::Send(head("r1")),
            Step::Send(chunk(&tokens(1, 3))),
            Step::Send(chunk("")),
        ],
        _ => vec![Step::Send(answer(404, ""))],
    });
    let entry = Scripted::start(script);
    let streamed = client(&[&entry]).chat(&chat("rye", 6)).await;
    assert!(streamed.is_err(), "{streamed:?}");
}
