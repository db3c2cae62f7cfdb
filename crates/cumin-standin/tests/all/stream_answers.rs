use actix_http::StatusCode;
use cumin_standin::engine::{Cross, Cut, Engine, answer};
use cumin_wire::completion::Answer;
use serde_json::json;

use crate::calls::{Streamed, call, engine, ok, status, stream, until};

const CHAT: &str = "/v1/chat/completions";

fn chat(max: u64) -> serde_json::Value {
    json!({"messages": [{"role": "user", "content": "my rye sinks"}], "stream": true,
        "max_tokens": max})
}

/// Returns the expected answer to [`chat`].
fn expected_text(max: u64) -> String {
    answer("user: my rye sinks\n", max).concat()
}

async fn run(engine: &Engine, max: u64) -> Streamed {
    stream(engine.address(), "a1", "live", chat(max)).await
}

/// Guards against a stream with the wrong text, positions, token counts or end.
#[actix_rt::test]
async fn whole_stream() {
    let engine = engine(|_| {});
    let got = run(&engine, 40).await;
    assert_eq!(got.text("a1"), expected_text(40));
    assert_eq!(got.positions(), (1..=40).chain([40]).collect::<Vec<_>>());
    let last = &got.chunks[40].1;
    assert_eq!(last.finish(), Some("length"));
    assert_eq!(last.usage.expect("counts").completion_tokens, 40);
    assert!(got.done);
    let body = json!({"prompt": "plain", "model": "m"});
    let whole: Answer = ok(engine.address(), "POST", "/v1/completions", body).await;
    let text = whole.choices[0].text.clone().expect("text");
    assert_eq!(text, answer("plain", 32).concat());
    assert_eq!(engine.stats().generated, 72);
}

/// Guards against equal tokens at two positions or for two prompts.
#[test]
fn tokens_differ() {
    let (one, two) = (answer("one", 500), answer("two", 500));
    assert!(one.iter().zip(&two).all(|(left, right)| left != right));
    let mut all = one.clone();
    all.sort();
    all.dedup();
    assert_eq!(all.len(), 500);
    assert_eq!(answer("one", 7), one[..7]);
}

/// Guards against an engine that resumes from a text that it would not have generated.
#[actix_rt::test]
async fn resumes_only_own_text() {
    let engine = engine(|_| {});
    let body = |text: String, position: u64| {
        let mut body = chat(20);
        body["resume"] = json!({"text": text, "position": position});
        body
    };
    let got = stream(engine.address(), "a1", "live", body(expected_text(12), 12)).await;
    assert_eq!(got.text("a1"), expected_text(20)[expected_text(12).len()..]);
    assert_eq!(got.chunks[0].0, 13);
    assert!(engine.stats().recomputed > 0);
    for (text, position) in [
        ("wrong ".into(), 1),
        (expected_text(12), 11),
        (expected_text(12), 13),
    ] {
        let got = status(engine.address(), "POST", CHAT, body(text, position)).await;
        assert_eq!(got, StatusCode::BAD_REQUEST);
    }
    assert_eq!(engine.stats().mismatches, 3);
    assert_eq!(engine.stats().generated, 8);
}

/// Guards against a cut that loses tokens that were to be sent before it.
#[actix_rt::test]
async fn cuts_once_or_always() {
    let cut = |after, once| Some(Cut { after, once });
    let engine = engine(|options| options.faults.cut = cut(5, true));
    let got = run(&engine, 20).await;
    assert_eq!((got.text("a1"), got.done), (expected_text(5), false));
    assert!(run(&engine, 20).await.done);
    engine.fault(|faults| faults.cut = cut(0, false));
    for _ in 0..2 {
        assert!(run(&engine, 20).await.chunks.is_empty());
    }
}

/// Guards against a stalled attempt that can't be cancelled.
#[actix_rt::test]
async fn stalls_until_cancelled() {
    let engine = engine(|options| options.faults.stall_after = Some(3));
    let stop = async {
        until(async || engine.stats().generated == 3).await;
        assert_eq!(engine.attempts(), ["a1"]);
        status(engine.address(), "DELETE", "/v1/attempts/a1", ()).await
    };
    let (got, stopped) = futures_util::future::join(run(&engine, 20), stop).await;
    assert_eq!(stopped, StatusCode::OK);
    assert_eq!(got.text("a1"), expected_text(3));
    assert_eq!(got.chunks[3].1.finish(), Some("cancelled"));
    assert!(engine.attempts().is_empty());
    assert_eq!(engine.stats().cancels, 1);
    let again = status(engine.address(), "DELETE", "/v1/attempts/a1", ()).await;
    assert_eq!(again, StatusCode::NOT_FOUND);
}

/// Guards against crossed or duplicate events that a reader can't tell from correct ones by attempt
/// id and position.
#[actix_rt::test]
async fn crossed_and_duplicate_events() {
    let engine = engine(|options| options.faults.cross = Cross::Insert);
    let got = run(&engine, 6).await;
    assert_eq!(got.text("a1"), expected_text(6));
    assert_eq!(got.chunks.len(), 13);
    engine.fault(|faults| faults.cross = Cross::Replace);
    assert_eq!(run(&engine, 6).await.text("a1"), "");
    engine.fault(|faults| (faults.cross, faults.duplicate) = (Cross::Never, true));
    assert_eq!(run(&engine, 2).await.positions(), [1, 1, 2, 2, 2]);
}

/// Guards against a poison request that does not crash the engine, and a refused attempt that
/// runs.
#[actix_rt::test]
async fn poison_and_refusal() {
    let poison = Some("sinks".into());
    let engine = engine(|options| options.faults.refuse = true);
    let refused = status(engine.address(), "POST", CHAT, chat(4)).await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((engine.stats().attempts, engine.stats().refused), (0, 1));
    engine.fault(|faults| (faults.refuse, faults.poison) = (false, poison));
    assert!(run(&engine, 4).await.chunks.is_empty());
    let health = call(engine.address(), "GET", "/health", &[], ()).await;
    assert!(health.is_none());
    engine.fault(|faults| faults.poison = None);
    engine.restart().await.expect("the same port");
    assert!(run(&engine, 4).await.done);
    engine.fault(|faults| faults.hang = true);
    assert!(run(&engine, 4).await.chunks.is_empty());
}
