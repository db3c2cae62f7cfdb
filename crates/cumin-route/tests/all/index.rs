//! The prefix-cache index.

use cumin_route::{Finish, Router, RouterOptions, Trust};
use cumin_types::Millis;
use cumin_wire::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, CacheList, block_hashes};

use crate::setup::{dispatch, document, endpoint, query};

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

/// Guards against different block hashes for a common prefix, and against equal hashes of blocks
/// that follow different prefixes.
#[test]
fn chained_hashes() {
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

/// Guards against counting indexed blocks after a missed event.
#[test]
fn gap_untrusted() {
    let mut router = router();
    let name = "a".into();
    let blocks = document(1, 4);
    let trust = router.apply_cache_events(&name, &[added(1, blocks[0]), added(2, blocks[1])]);
    assert_eq!(trust, Some(Trust::Trusted { seq: 2 }));
    assert_eq!(router.cached_tokens(&blocks), [(name.clone(), 32)]);
    let trust = router.apply_cache_events(&name, &[added(4, blocks[3])]);
    assert_eq!(
        trust,
        Some(Trust::Untrusted {
            expected: 3,
            got: 4
        })
    );
    assert!(router.cached_tokens(&blocks).is_empty());
    let list = CacheList {
        seq: 4,
        blocks: blocks.clone(),
    };
    router.replace_cache(&name, &list);
    assert_eq!(router.cached_tokens(&blocks), [(name, 64)]);
}

/// Guards against a late cache list that reverts newer events.
#[test]
fn old_list() {
    let mut router = router();
    let name = "a".into();
    let blocks = document(1, 2);
    router.apply_cache_events(&name, &[added(1, blocks[0]), added(2, blocks[1])]);
    let list = CacheList {
        seq: 1,
        blocks: vec![blocks[0]],
    };
    let trust = router.replace_cache(&name, &list);
    assert_eq!(trust, Some(Trust::Trusted { seq: 2 }));
    assert_eq!(router.cached_tokens(&blocks), [(name, 32)]);
}

/// Guards against counting the blocks of a request that the endpoint refused.
#[test]
fn refused_send() {
    let mut router = router();
    let name = "a".into();
    let query = query(document(1, 4));
    let dispatch = dispatch(1, &query);
    router.record_sent(&name, &dispatch, Millis(0));
    assert_eq!(router.cached_tokens(&query.blocks).len(), 1);
    router.record_finished(&name, dispatch.attempt, Finish::NotStarted, Millis(1));
    assert!(router.cached_tokens(&query.blocks).is_empty());
}

/// Guards against an index of one endpoint that grows without bound.
#[test]
fn block_limit() {
    let mut router = Router::new(RouterOptions {
        blocks: 10,
        ..RouterOptions::default()
    });
    router.upsert(endpoint("a"));
    let query = query(document(1, 40));
    router.record_sent(&"a".into(), &dispatch(1, &query), Millis(0));
    assert_eq!(router.cached_tokens(&query.blocks), [("a".into(), 160)]);
}
