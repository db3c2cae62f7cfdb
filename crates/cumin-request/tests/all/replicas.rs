use cumin_request::{Ack, Progress, Refused, ReplicaStore, ReplicaStoreOptions};
use cumin_types::{Epoch, Millis, Position};

use crate::{descriptor, done, id, node, replica};

const NOW: Millis = Millis(0);

pub(crate) fn progress(number: u128, epoch: u32, from: u64, tokens: &[&str]) -> Progress {
    Progress {
        id: id(number),
        epoch: Epoch(epoch),
        from: Position(from),
        tokens: tokens.iter().map(|token| (*token).to_owned()).collect(),
        finish: None,
    }
}

fn end(number: u128, from: u64, tokens: &[&str]) -> Progress {
    Progress {
        finish: Some(done()),
        ..progress(number, 0, from, tokens)
    }
}

fn text(store: &ReplicaStore, number: u128) -> String {
    store
        .snapshot(id(number), NOW)
        .unwrap()
        .transcript
        .text()
        .into()
}

/// Guards against duplicated and reordered messages that repeat, skip or remove tokens.
#[test]
fn late_repeats_harmless() {
    let mut store = ReplicaStore::default();
    store.store(replica(1, 0, 0, &[]), NOW).unwrap();
    assert_eq!(
        store.append(progress(1, 0, 1, &["b"]), NOW),
        Ack::Resend(Position(0))
    );
    for _ in 0..2 {
        let ack = store.append(progress(1, 0, 0, &["a", "b"]), NOW);
        assert_eq!(ack, Ack::Stored(Position(2)));
    }
    let ack = store.append(progress(1, 0, 1, &["b", "c"]), NOW);
    assert_eq!(ack, Ack::Stored(Position(3)));
    store.store(replica(1, 0, 0, &["a"]), NOW).unwrap();
    assert_eq!(text(&store, 1), "abc");
    store.append(end(1, 3, &[]), NOW);
    store
        .store(replica(1, 0, 0, &["a", "b", "c"]), NOW)
        .unwrap();
    store.append(progress(1, 0, 3, &["d"]), NOW);
    assert_eq!(text(&store, 1), "abc");
    assert!(store.snapshot(id(1), NOW).unwrap().finish.is_some());
}

/// Guards against accepting progress of a request whose replica a restart of the node has lost.
#[test]
fn missing_request_told() {
    let ack = ReplicaStore::default().append(progress(1, 0, 0, &["a"]), NOW);
    assert_eq!(ack, Ack::Missing);
}

/// Guards against more replicas than the limit, and against results that keep out running requests.
#[test]
fn results_make_room() {
    let mut store = ReplicaStore::new(ReplicaStoreOptions {
        max_requests: 2,
        ..ReplicaStoreOptions::default()
    });
    store.store(replica(1, 0, 0, &[]), NOW).unwrap();
    store.store(replica(2, 0, 0, &[]), NOW).unwrap();
    let full = store.store(replica(3, 0, 0, &[]), NOW);
    assert_eq!(full, Err(Refused::Full { limit: 2 }));
    store.append(end(1, 0, &[]), NOW);
    store.store(replica(3, 0, 0, &[]), NOW).unwrap();
    assert!(store.snapshot(id(1), NOW).is_none());
    assert_eq!(store.len(), 2);
}

/// Guards against results that exceed their memory limit.
#[test]
fn result_memory_limit() {
    let mut store = ReplicaStore::new(ReplicaStoreOptions {
        result_bytes: 3_000,
        ..ReplicaStoreOptions::default()
    });
    let long = "x".repeat(1_000);
    for number in 0..10_u32 {
        let (at, number) = (Millis(number.into()), number.into());
        store.store(replica(number, 0, 0, &[]), NOW).unwrap();
        store.append(end(number, 0, &[&long]), at);
    }
    // Each result has 1,000 bytes of text, 4 of its end offset and 4 of the reason.
    assert_eq!(store.len(), 2);
    assert!(store.snapshot(id(9), NOW).is_some());
}

/// Guards against results or requests that are kept forever or removed too early.
#[test]
fn expiry_at_bounds() {
    let options = ReplicaStoreOptions::default();
    let mut store = ReplicaStore::new(options);
    store.store(replica(1, 0, 0, &[]), NOW).unwrap();
    store.store(replica(2, 0, 0, &[]), NOW).unwrap();
    store.append(end(2, 0, &[]), NOW);
    let unfinished = descriptor(1, false, 0, 0)
        .time_left
        .plus(options.deadline_grace.0);
    store.expire(Millis(unfinished.0 - 1));
    assert_eq!(store.len(), 2);
    store.expire(unfinished);
    assert!(store.snapshot(id(1), unfinished).is_none());
    store.expire(Millis(options.result_retention.0 - 1));
    assert_eq!(store.len(), 1);
    store.expire(options.result_retention);
    assert!(store.is_empty());
}

/// Guards against taking over finished requests, or those of other owners.
#[test]
fn owned_by_unfinished() {
    let mut store = ReplicaStore::default();
    for (number, owner) in [(1, 0), (2, 0), (3, 1)] {
        store.store(replica(number, 0, owner, &[]), NOW).unwrap();
    }
    store.append(end(2, 0, &[]), NOW);
    assert_eq!(store.owned_by(&node(0)), [id(1)]);
}
