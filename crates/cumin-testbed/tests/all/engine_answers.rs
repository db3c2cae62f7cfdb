//! Answers of engines that fail, end early or come twice while a completion is streamed.

use std::rc::Rc;

use cumin_client::Streamed;
use cumin_testbed::{Options, Testbed};
use cumin_types::Outcome;
use cumin_wire::cloud::Kind;
use serde_json::{Value, json};

use crate::scripted::{Script, Scripted, Step, answer, chunk, chunked_head};
use crate::support::{KEY, chat, document, start};

/// Starts one node without engines of the model, and returns the name of its service.
pub async fn without_engines() -> (Testbed, String) {
    let mut document = document();
    let name = document
        .service_of_model(&"crumb-8b".into())
        .expect("a service")
        .0
        .clone();
    document
        .services
        .get_mut(&name)
        .expect("a spec")
        .workers
        .clear();
    let options = Options {
        node_count: 1,
        engine_count: None,
        ..Options::default()
    };
    (start(document, options).await, name.to_string())
}

/// Starts one node with the scripted engine as the only endpoint of the model.
pub async fn scripted(script: Script) -> (Testbed, Scripted) {
    let (bed, name) = without_engines().await;
    let engine = Scripted::start(script);
    engine.register(&bed, Kind::Engine, &name, "hamilton");
    (bed, engine)
}

pub async fn stream(bed: &Testbed, prompt: &str) -> Streamed {
    let answer = bed.client(KEY).chat(&chat(prompt, 6)).await;
    answer.expect("an answer of the entry")
}

/// Returns the position after which the engine is asked to continue, and the prompt.
pub fn asked(request: &str) -> (u64, String) {
    let body = request.split_once("\r\n\r\n").expect("a body").1;
    let body: Value = serde_json::from_str(body).expect("JSON");
    let position = body["resume"]["position"].as_u64().unwrap_or(0);
    let prompt = body["messages"][0]["content"].as_str().expect("a prompt");
    (position, prompt.to_owned())
}

fn token(prompt: &str, position: u64) -> String {
    format!("{prompt}-{position} ")
}

fn event(delta: &Value, finish: Option<&str>) -> String {
    let body = json!({
        "id": "e", "object": "chat.completion.chunk", "model": "crumb-8b",
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    format!("data: {body}\n\n")
}

/// Returns the events of the tokens after `from` up to `to`, without ids and attempts.
pub fn tokens(prompt: &str, from: u64, to: u64) -> String {
    (from + 1..=to)
        .map(|position| event(&json!({"content": token(prompt, position)}), None))
        .collect()
}

pub fn rest(request: &str) -> Vec<u8> {
    let (from, prompt) = asked(request);
    let events = tokens(&prompt, from, 6) + &event(&json!({}), Some("stop")) + "data: [DONE]\n\n";
    [chunked_head(), chunk(&events), chunk("")].concat()
}

pub fn expected(prompt: &str) -> Vec<String> {
    (1..=6).map(|position| token(prompt, position)).collect()
}

/// Guards against a late copy of a stream that is taken for the answer to the next request.
#[actix_rt::test]
async fn late_copy() {
    let script: Script = Rc::new(|request, _| {
        let sent = rest(request);
        vec![Step::Send(sent.clone()), Step::SendLate(sent)]
    });
    let (bed, _engine) = scripted(script).await;
    for prompt in ["rye", "spelt", "barley"] {
        let answer = stream(&bed, prompt).await;
        assert_eq!(answer.tokens, expected(prompt));
        assert_eq!(answer.outcome, Some(Outcome::Done));
    }
}

/// What an engine sends instead of the rest of a stream.
fn failures() -> Vec<(&'static str, Vec<Step>)> {
    let error = r#"{"error":{"message":"worker failed","type":"e","code":"e","outcome":"failed"}}"#;
    let event = format!("data: {error}\n\n");
    let steps = |bytes: Vec<u8>| vec![Step::Send(bytes), Step::Close];
    vec![
        ("closed", vec![Step::Close]),
        ("500", steps(answer(500, error))),
        ("503", steps(answer(503, error))),
        (
            "error event",
            steps([chunked_head(), chunk(&event), chunk("")].concat()),
        ),
        ("error body", steps(answer(200, error))),
        ("empty stream", steps([chunked_head(), chunk("")].concat())),
        ("garbage", steps(b"worker failed\r\n\r\n".to_vec())),
        ("half a head", steps(b"HTTP/1.1 200 X\r\ncont".to_vec())),
    ]
}

/// Guards against an error of an engine that reaches the text or ends it as complete, when it comes
/// first or at the resumption of a stream that another attempt began.
#[actix_rt::test]
async fn failed_attempts() {
    for begun in [0, 3] {
        for (name, steps) in failures() {
            let script: Script = Rc::new(move |request, count| {
                let (from, prompt) = asked(request);
                match count {
                    0 if begun > 0 => vec![
                        Step::Send(chunked_head()),
                        Step::Send(chunk(&tokens(&prompt, from, begun))),
                        Step::Close,
                    ],
                    0 | 1 if from == begun && count == usize::from(begun > 0) => steps.clone(),
                    _ => vec![Step::Send(rest(request))],
                }
            });
            let (bed, _engine) = scripted(script).await;
            let answer = stream(&bed, "rye").await;
            assert_eq!(answer.tokens, expected("rye"), "{name} after {begun}");
            assert_eq!(answer.outcome, Some(Outcome::Done), "{name} after {begun}");
            assert_eq!((answer.repeated, answer.skipped), (0, 0));
        }
    }
}

/// Guards against the bytes of an error that are read as a part of the stream they end.
#[actix_rt::test]
async fn error_within() {
    let error = String::from_utf8(answer(500, "worker failed")).expect("text");
    let half = event(&json!({"content": "half"}), None);
    let endings = [
        vec![Step::Send(error.clone().into_bytes()), Step::Close],
        vec![Step::Send(chunk(&error)), Step::Send(chunk(""))],
        vec![Step::Send(chunk(&half[..half.len() - 9])), Step::Close],
        vec![Step::Send(chunk(
            "data: {\"error\":{\"message\":\"m\"}}\n\n",
        ))],
        vec![Step::Send(chunk("data: [DONE]\n\n")), Step::Send(chunk(""))],
    ];
    for ending in endings {
        let sent = ending.clone();
        let script: Script = Rc::new(move |request, count| {
            let (from, prompt) = asked(request);
            if count > 0 {
                return vec![Step::Send(rest(request))];
            }
            let begun = [chunked_head(), chunk(&tokens(&prompt, from, 3))].concat();
            [vec![Step::Send(begun)], sent.clone()].concat()
        });
        let (bed, _engine) = scripted(script).await;
        let answer = stream(&bed, "rye").await;
        assert_eq!(answer.tokens, expected("rye"), "{ending:?}");
        assert_eq!(answer.outcome, Some(Outcome::Done), "{ending:?}");
    }
}

/// Guards against a stream that ends as complete, or with an error in its text, when the resumption
/// is rejected.
#[actix_rt::test]
async fn rejected_resumption() {
    for status in [400, 404, 422] {
        let script: Script = Rc::new(move |request, count| {
            let (from, prompt) = asked(request);
            if count > 0 {
                return vec![Step::Send(answer(status, "rejected"))];
            }
            let begun = [chunked_head(), chunk(&tokens(&prompt, from, 3))].concat();
            vec![Step::Send(begun), Step::Close]
        });
        let (bed, _engine) = scripted(script).await;
        let answer = stream(&bed, "rye").await;
        assert_eq!(answer.tokens, expected("rye")[..3]);
        assert_eq!(answer.outcome, Some(Outcome::Failed));
        assert_eq!(answer.finish_reason, format!("rejected_{status}"));
    }
}

/// Guards against an answer that begins with an informational one and is taken for a failure.
#[actix_rt::test]
async fn informational() {
    let script: Script = Rc::new(|request, _| {
        let early = b"HTTP/1.1 103 X\r\n\r\n".to_vec();
        vec![Step::Send(early), Step::Send(rest(request))]
    });
    let (bed, engine) = scripted(script).await;
    let answer = stream(&bed, "rye").await;
    assert_eq!(answer.tokens, expected("rye"));
    assert_eq!(engine.requests.borrow().len(), 1);
}
