use std::cell::RefCell;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use cumin_standin::engine::{Engine, Options};
use cumin_wire::engine::Load;
use futures_util::future::{join, join3};
use serde_json::json;

use crate::calls::{engine, ok, status, stream, until};

fn prompt(word: &str, max: u64) -> serde_json::Value {
    json!({"messages": [{"role": "user", "content": word}], "stream": true, "max_tokens": max})
}

async fn load(engine: &Engine) -> Load {
    ok(engine.address(), "GET", "/v1/load", ()).await
}

/// Starts an engine with one slot whose streams stall before the first token.
fn one_slot(change: impl FnOnce(&mut Options)) -> Engine {
    engine(|options| {
        (options.slots, options.faults.stall_after) = (1, Some(0));
        change(options);
    })
}

/// Guards against a queue that serves batch requests before live ones.
#[actix_rt::test]
async fn urgent_requests_go_first() {
    let engine = one_slot(|_| {});
    let order = RefCell::new(Vec::new());
    let run = async |name: &'static str, before: usize, priority| {
        until(async || engine.attempts().len() == before).await;
        let got = stream(engine.address(), name, priority, prompt(name, 10)).await;
        assert!(got.done);
        order.borrow_mut().push(name);
    };
    let watch = async {
        until(async || engine.attempts().len() == 3).await;
        let seen = load(&engine).await;
        engine.fault(|faults| faults.stall_after = None);
        seen
    };
    let others = join3(run("batch", 1, "batch"), run("live", 2, "live"), watch);
    let ((), ((), (), seen)) = join(run("first", 0, "batch"), others).await;
    assert_eq!(*order.borrow(), ["first", "live", "batch"]);
    assert_eq!((seen.running, seen.queued, seen.slots), (1, 2, 1));
    assert_eq!(seen.backlog_tokens, 4);
    let idle = load(&engine).await;
    assert_eq!((idle.running, idle.queued, idle.backlog_tokens), (0, 0, 0));
}

/// Guards against load reports without their lag, and a false load that is not reported.
#[actix_rt::test]
async fn delayed_false_reports() {
    let load_lag = Duration::from_millis(200);
    let engine = one_slot(|options| (options.load_lag, options.queue_limit) = (load_lag, 0));
    let began = Instant::now();
    let watch = async {
        until(async || load(&engine).await.running == 1).await;
        assert!(began.elapsed() >= load_lag);
        engine.fault(|faults| faults.stall_after = None);
    };
    let run = stream(engine.address(), "a", "live", prompt("a", 5));
    let (got, ()) = join(run, watch).await;
    assert!(got.done, "the stream continues after the stall");
    let false_load = Load::default();
    engine.fault(|faults| faults.false_load = Some(false_load));
    assert_eq!(load(&engine).await, false_load);
}

/// Guards against an unbounded queue, and against slots that broken connections keep.
#[actix_rt::test]
async fn queue_is_bounded() {
    let engine = one_slot(|options| options.queue_limit = 1);
    let run = |id| stream(engine.address(), id, "live", prompt(id, 5));
    let third = async {
        until(async || engine.attempts().len() == 2).await;
        let path = "/v1/chat/completions";
        let refused = status(engine.address(), "POST", path, prompt("c", 5)).await;
        engine.crash();
        refused
    };
    let (_, _, refused) = join3(run("a"), run("b"), third).await;
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    until(async || engine.attempts().is_empty()).await;
    engine.fault(|faults| faults.stall_after = None);
    engine.restart().await.expect("the same port");
    assert!(run("d").await.done);
}

/// Guards against a slot that is kept by a stream whose reader has disconnected.
#[actix_rt::test]
async fn disconnect_frees_slot() {
    let engine = one_slot(|_| {});
    let limit = Duration::from_millis(100);
    let gone = stream(engine.address(), "a", "live", prompt("a", 5));
    assert!(actix_rt::time::timeout(limit, gone).await.is_err());
    until(async || engine.attempts().is_empty()).await;
    assert_eq!(load(&engine).await.running, 0);
}

/// Guards against a delay factor without effect.
#[actix_rt::test]
async fn slow_engines_take_longer() {
    let engine = engine(|options| options.token_delay = Duration::from_millis(2));
    engine.fault(|faults| faults.delay_factor = 25.0);
    let began = Instant::now();
    assert!(
        stream(engine.address(), "a", "live", prompt("a", 4))
            .await
            .done
    );
    assert!(began.elapsed() >= Duration::from_millis(200));
}
