use std::time::Duration;

use actix_http::StatusCode;
use cumin_standin::weights::{Options, Weights};
use cumin_wire::weights::LoadState;
use serde_json::json;

use crate::calls::{call, ok, status};

/// Guards against concurrent loads, and against a client token that is loaded twice.
#[actix_rt::test]
async fn loads_are_queued() {
    let time = Duration::from_millis(300);
    let weights = Weights::start(Options {
        load_time: time,
        ..Options::default()
    })
    .expect("a free port");
    let body = |token: &str, model: &str| json!({"token": token, "model": model, "version": "1"});
    weights.fault(|faults| faults.lost_answers = 1);
    let lost = call(weights.address(), "POST", "/v1/loads", &[], body("a", "m")).await;
    assert!(lost.is_none());
    for (token, ahead) in [("a", 0), ("b", 1), ("c", 2)] {
        let state: LoadState = ok(weights.address(), "POST", "/v1/loads", body(token, "m")).await;
        assert_eq!(state, LoadState { ahead, done: false });
    }
    let other = status(weights.address(), "POST", "/v1/loads", body("a", "other")).await;
    assert_eq!(other, StatusCode::CONFLICT);
    actix_rt::time::sleep(time * 3).await;
    let state: LoadState = ok(weights.address(), "GET", "/v1/loads/c", ()).await;
    assert_eq!(
        state,
        LoadState {
            ahead: 0,
            done: true
        }
    );
    let stats = weights.stats();
    assert_eq!(
        (stats.loads, stats.repeats, stats.conflicts, stats.lost),
        (3, 1, 1, 1)
    );
}
