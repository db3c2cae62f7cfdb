use std::collections::BTreeSet;
use std::time::Duration;

use actix_http::StatusCode;
use cumin_standin::engine::{Engine, answer};
use cumin_wire::completion::Answer;
use cumin_wire::engine::{CacheChange, CacheEvents, CacheList, Exported, Imported, block_hashes};
use serde_json::json;

use crate::calls::{engine, ok, status, stream, until};

fn words(name: &str, count: usize) -> String {
    let words: Vec<String> = (0..count).map(|index| format!("{name}{index} ")).collect();
    words.concat()
}

async fn cached(engine: &Engine, prompt: &str) -> u64 {
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": 1});
    let answer: Answer = ok(engine.address(), "POST", "/v1/completions", body).await;
    answer.usage.cached_tokens
}

async fn list(engine: &Engine) -> CacheList {
    ok(engine.address(), "GET", "/v1/cache", ()).await
}

async fn events(engine: &Engine, after: u64) -> CacheEvents {
    let path = format!("/v1/cache/events?after={after}");
    ok(engine.address(), "GET", &path, ()).await
}

/// Guards against a cache that matches anything but the whole blocks of a common prefix.
#[actix_rt::test]
async fn common_prefix_is_cached() {
    let engine = engine(|_| {});
    let (long, short) = (words("a", 40), words("a", 20));
    assert_eq!(cached(&engine, &long).await, 0);
    assert_eq!(engine.stats().prefilled, 40);
    assert_eq!(cached(&engine, &long).await, 32);
    assert_eq!(cached(&engine, &(short + &words("b", 40))).await, 16);
    assert_eq!(engine.stats().prefilled, 40 + 8 + 44);
    let blocks = list(&engine).await.blocks;
    let hashes = block_hashes("m", &long);
    assert!(hashes.len() == 2 && hashes.iter().all(|hash| blocks.contains(hash)));
    assert_ne!(hashes, block_hashes("another", &long));
}

/// Guards against a cache that exceeds its capacity or evicts a prompt that was used recently.
#[actix_rt::test]
async fn least_recent_evicted() {
    let engine = engine(|options| options.cache_blocks = 4);
    for name in ["a", "b", "a", "c"] {
        cached(&engine, &words(name, 32)).await;
    }
    assert_eq!(list(&engine).await.blocks.len(), 4);
    assert_eq!(cached(&engine, &words("a", 32)).await, 32);
    assert_eq!(cached(&engine, &words("b", 32)).await, 0);
}

/// Guards against events that don't reproduce the cache, and against lost or delayed events that
/// are reported.
#[actix_rt::test]
async fn events_follow_cache() {
    let full = engine(|options| options.cache_blocks = 8);
    let gaps =
        engine(|options| (options.cache_blocks, options.event_loss, options.seed) = (8, 0.3, 5));
    let late = engine(|options| options.event_lag = Duration::from_mins(1));
    for engine in [&full, &gaps, &late] {
        for name in ["a", "b", "c", "d"] {
            cached(engine, &words(name, 64)).await;
        }
    }
    let mut blocks = BTreeSet::new();
    let told = events(&full, 0).await.events;
    for event in &told {
        match event.change {
            CacheChange::Added(hash) => assert!(blocks.insert(hash)),
            CacheChange::Removed(hash) => assert!(blocks.remove(&hash)),
        }
    }
    let now = list(&full).await;
    assert_eq!(blocks, now.blocks.into_iter().collect());
    assert_eq!(told.len() as u64, now.seq);
    let last = events(&full, now.seq - 1).await.events;
    assert_eq!(last, told[told.len() - 1..]);
    let gappy = events(&gaps, 0).await.events;
    assert!(gappy.len() < told.len() && gappy.iter().all(|event| told.contains(event)));
    assert!(events(&late, 0).await.events.is_empty() && !list(&late).await.blocks.is_empty());
}

/// Guards against a resume that prefills blocks again that were transferred.
#[actix_rt::test]
async fn transfer_saves_prefill() {
    let from = engine(|_| {});
    let to = engine(|options| options.import_bandwidth = 1 << 30);
    let prompt = words("a", 64);
    let mut body = json!({"messages": [{"role": "user", "content": prompt}], "stream": true});
    from.fault(|faults| faults.stall_after = Some(20));
    let run = stream(from.address(), "a", "live", body.clone());
    let export = async {
        until(async || from.stats().generated == 20).await;
        let call = json!({"attempt": "a"});
        let export: Exported = ok(from.address(), "POST", "/v1/kv/export", call).await;
        status(from.address(), "DELETE", "/v1/attempts/a", ()).await;
        export
    };
    let (got, export) = futures_util::future::join(run, export).await;
    // `user:`, 64 words, the end of the line and 20 tokens of the answer, in whole blocks.
    assert_eq!((export.tokens, export.bytes), (80, 80 * (128 << 10)));
    let source = format!("http://{}", from.address());
    let call = json!({"handle": export.handle, "from": source});
    let import: Imported = ok(to.address(), "POST", "/v1/kv/import", call.clone()).await;
    assert_eq!(import.tokens, 80);
    body["resume"] = json!({"text": got.text("a"), "position": 20});
    let rest = stream(to.address(), "b", "live", body).await;
    let whole = answer(&format!("user: {prompt}\n"), 32).concat();
    assert_eq!(got.text("a") + &rest.text("b"), whole);
    assert_eq!(to.stats().recomputed, 6);
    assert_eq!((from.stats().exports, to.stats().imports), (1, 1));
    from.crash();
    let lost = status(to.address(), "POST", "/v1/kv/import", call).await;
    assert_eq!(lost, StatusCode::BAD_GATEWAY);
}
