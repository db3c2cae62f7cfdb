//! The prefix-cache index.

use cumin_route::{Finish, Router, RouterOptions, Trust};
use cumin_types::Millis;
use cumin_wire::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, CacheList, block_hashes};

use crate::setup::{document, endpoint, query, work};

fn router() -> Router {
    let mut router = Router::new(RouterOptions::default());
    router.upsert(endpoint("a"));
    router
}

fn added(seq: u64, block: u64) -> CacheEvent {
    CacheEvent {
        seq,
        change: CacheChange::Added(block),
    }
}

/// Guards against two texts with the same start whose blocks do not agree, and against equal
/// blocks after different starts.
#[test]
fn chained() {
    let text = |first: &str| format!("{first} {}", "word ".repeat(3 * BLOCK_TOKENS));
    let (one, other) = (
        block_hashes("referee", &text("one")),
        block_hashes("referee", &text("other")),
    );
    assert_eq!(one.len(), 3);
    assert!(one.iter().all(|hash| !other.contains(hash)));
    let longer = block_hashes("referee", &format!("{}and more of it", text("one")));
    assert_eq!(longer[..3], one[..]);
    assert!(block_hashes("referee", "too short for a block").is_empty());
}

/// Guards against an index that counts blocks after a missed event.
#[test]
fn gap_untrusted() {
    let mut router = router();
    let name = "a".into();
    let doc = document(1, 4);
    let trust = router.apply_cache_events(&name, &[added(1, doc[0]), added(2, doc[1])]);
    assert_eq!(trust, Some(Trust::Trusted { seq: 2 }));
    assert_eq!(router.cached_tokens(&doc), [(name.clone(), 32)]);
    let trust = router.apply_cache_events(&name, &[added(4, doc[3])]);
    assert_eq!(
        trust,
        Some(Trust::Untrusted {
            expected: 3,
            got: 4
        })
    );
    assert!(router.cached_tokens(&doc).is_empty());
    let list = CacheList {
        seq: 4,
        blocks: doc.clone(),
    };
    router.replace_cache(&name, &list);
    assert_eq!(router.cached_tokens(&doc), [(name, 64)]);
}

/// Guards against a list that arrives after newer events and takes them back.
#[test]
fn old_list() {
    let mut router = router();
    let name = "a".into();
    let doc = document(1, 2);
    router.apply_cache_events(&name, &[added(1, doc[0]), added(2, doc[1])]);
    let list = CacheList {
        seq: 1,
        blocks: vec![doc[0]],
    };
    let trust = router.replace_cache(&name, &list);
    assert_eq!(trust, Some(Trust::Trusted { seq: 2 }));
    assert_eq!(router.cached_tokens(&doc), [(name, 32)]);
}

/// Guards against blocks counted for a request that the endpoint refused.
#[test]
fn refused_send() {
    let mut router = router();
    let name = "a".into();
    let query = query(document(1, 4));
    let work = work(1, &query);
    router.record_sent(&name, &work, Millis(0));
    assert_eq!(router.cached_tokens(&query.blocks).len(), 1);
    router.record_finished(&name, work.attempt, Finish::NotStarted, Millis(1));
    assert!(router.cached_tokens(&query.blocks).is_empty());
}

/// Guards against memory that grows with the events of one endpoint.
#[test]
fn block_limit() {
    let mut router = Router::new(RouterOptions {
        blocks: 10,
        ..RouterOptions::default()
    });
    router.upsert(endpoint("a"));
    let query = query(document(1, 40));
    router.record_sent(&"a".into(), &work(1, &query), Millis(0));
    assert_eq!(router.cached_tokens(&query.blocks), [("a".into(), 160)]);
}
