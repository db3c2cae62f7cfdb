use actix_http::StatusCode;
use cumin_standin::engine::Engine;
use cumin_wire::engine::Served;
use serde_json::json;

use crate::calls::{call, engine, ok, status};

async fn order(engine: &Engine, token: u64, generation: u64, role: &str) -> StatusCode {
    let body = json!({"token": token, "generation": generation, "order": {"role": role}});
    status(engine.address(), "POST", "/v1/orders", body).await
}

/// Guards against a stale order that is applied by an engine that checks tokens, or refused by one
/// that does not.
#[actix_rt::test]
async fn stale_tokens() {
    for check_tokens in [true, false] {
        let engine = engine(|options| options.check_tokens = check_tokens);
        assert_eq!(order(&engine, 5, 1, "prefill").await, StatusCode::OK);
        let stale = order(&engine, 4, 2, "decode").await;
        let served: Served = ok(engine.address(), "GET", "/v1/orders", ()).await;
        assert_eq!(engine.stats().stale_orders, 1);
        assert_eq!(served, engine.served());
        if check_tokens {
            assert_eq!((stale, &*served.role), (StatusCode::CONFLICT, "prefill"));
            assert_eq!(order(&engine, 5, 1, "prefill").await, StatusCode::OK);
            assert_eq!(order(&engine, 5, 0, "decode").await, StatusCode::CONFLICT);
        } else {
            assert_eq!((stale, &*served.role), (StatusCode::OK, "decode"));
        }
    }
}

/// Guards against attempts for a model that an order has replaced, and orders without the key.
#[actix_rt::test]
async fn loads_and_keys() {
    let engine = engine(|options| {
        options.model = "old".into();
        options.order_key = Some("secret".into());
    });
    assert_eq!(order(&engine, 1, 1, "both").await, StatusCode::UNAUTHORIZED);
    let load = json!({"token": 1, "generation": 1,
        "order": {"load": {"model": "new", "version": "2"}}});
    let key = [("authorization", "Bearer secret")];
    let answer = call(engine.address(), "POST", "/v1/orders", &key, load).await;
    assert_eq!(answer.expect("an answer").0, StatusCode::OK);
    for (model, expected) in [("old", StatusCode::NOT_FOUND), ("new", StatusCode::OK)] {
        let body = json!({"model": model, "prompt": "p", "max_tokens": 2});
        let got = status(engine.address(), "POST", "/v1/completions", body).await;
        assert_eq!(got, expected, "{model}");
    }
    assert_eq!((engine.stats().orders, engine.stats().unauthorised), (1, 1));
}
