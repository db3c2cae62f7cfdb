use std::cell::RefCell;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use cumin_standin::engine::{Engine, Options};
use cumin_wire::engine::Load;
use futures_util::future::{join, join3};
use serde_json::json;

use crate::calls::{ok, status, stream, until};

const SILENCE: Duration = Duration::from_secs(4);

fn prompt(word: &str, max: u64) -> serde_json::Value {
    json!({"messages": [{"role": "user", "content": word}], "stream": true, "max_tokens": max})
}

async fn load(engine: &Engine) -> Load {
    ok(engine.address(), "GET", "/v1/load", ()).await
}

fn engine(options: Options) -> Engine {
    let engine = Engine::start(options).expect("a free port");
    engine.fault(|faults| faults.stall = Some(0));
    engine
}

/// Guards against a queue that serves batch work before somebody who waits for each token.
#[actix_rt::test]
async fn urgent_requests_go_first() {
    let engine = engine(Options {
        slots: 1,
        ..Options::default()
    });
    let order = RefCell::new(Vec::new());
    let run = async |name: &'static str, before: usize, priority| {
        until(async || engine.attempts().len() == before).await;
        let got = stream(engine.address(), name, priority, prompt(name, 10), SILENCE).await;
        assert!(got.done);
        order.borrow_mut().push(name);
    };
    let watch = async {
        until(async || engine.attempts().len() == 3).await;
        let seen = load(&engine).await;
        engine.fault(|faults| faults.stall = None);
        seen
    };
    let others = join3(run("batch", 1, "batch"), run("live", 2, "live"), watch);
    let ((), ((), (), seen)) = join(run("first", 0, "batch"), others).await;
    assert_eq!(*order.borrow(), ["first", "live", "batch"]);
    assert_eq!((seen.running, seen.queued, seen.slots), (1, 2, 1));
    assert_eq!(seen.backlog, 4);
    let idle = load(&engine).await;
    assert_eq!((idle.running, idle.queued, idle.backlog), (0, 0, 0));
}

/// Guards against load reports that show the present, or a lie that is not told.
#[actix_rt::test]
async fn reports_lag_and_lie() {
    let load_lag = Duration::from_millis(200);
    let engine = engine(Options {
        load_lag,
        queue: 0,
        slots: 1,
        ..Options::default()
    });
    let began = Instant::now();
    let watch = async {
        until(async || load(&engine).await.running == 1).await;
        assert!(began.elapsed() >= load_lag);
        engine.fault(|faults| faults.stall = None);
    };
    let run = stream(engine.address(), "a", "live", prompt("a", 5), SILENCE);
    let (got, ()) = join(run, watch).await;
    assert!(got.done, "a lifted stall goes on");
    let lie = Load {
        free: 7,
        ..Load::default()
    };
    engine.fault(|faults| faults.lie = Some(lie));
    assert_eq!(load(&engine).await, lie);
}

/// Guards against an unbounded queue, and against slots kept by broken connections.
#[actix_rt::test]
async fn queue_is_bounded() {
    let engine = engine(Options {
        queue: 1,
        slots: 1,
        ..Options::default()
    });
    let run = |id| stream(engine.address(), id, "live", prompt(id, 5), SILENCE);
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
    engine.fault(|faults| faults.stall = None);
    engine.restart().await.expect("the same port");
    assert!(run("d").await.done);
}
