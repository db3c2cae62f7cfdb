use cumin_request::{Ack, Refused, ReplicaStore};
use cumin_types::{Epoch, Millis, Position};

use crate::machine::{FrameKind, Step};
use crate::replicas::progress;
use crate::world::World;
use crate::{done, id, node, replica};

const NOW: Millis = Millis(0);

/// Guards against a paused owner whose tokens become visible after a takeover.
#[test]
fn old_owner_superseded() {
    let mut store = ReplicaStore::default();
    store.store(replica(1, 0, 0, &["a"]), NOW).unwrap();
    let taken = store.take_over(id(1), &node(1), NOW).unwrap();
    assert_eq!(taken.descriptor.epoch, Epoch(1));
    assert_eq!(taken.descriptor.owner, node(1));
    let superseded = Ack::Superseded(Epoch(1));
    assert_eq!(store.append(progress(1, 0, 1, &["x"]), NOW), superseded);
    let epoch = Epoch(1);
    assert_eq!(
        store.store(replica(1, 0, 0, &["a", "x"]), NOW),
        Err(Refused::Superseded { epoch })
    );
    assert_eq!(store.snapshot(id(1), NOW).unwrap().transcript.text(), "a");
}

/// Guards against two nodes that both continue after taking over from one store: the later wins.
#[test]
fn two_owners_one_store() {
    let mut store = ReplicaStore::default();
    store.store(replica(1, 0, 0, &["a"]), NOW).unwrap();
    let first = store.take_over(id(1), &node(1), NOW).unwrap();
    let second = store.take_over(id(1), &node(2), NOW).unwrap();
    assert!(store.store(first, NOW).is_err());
    store.store(second, NOW).unwrap();
}

/// Guards against mixing the tokens of two nodes that took over from two stores with one epoch.
/// The second was answered `Ok`, and its tokens were appended after those of the first.
#[test]
fn equal_epochs_separate() {
    let mut store = ReplicaStore::default();
    store.store(replica(1, 1, 1, &["a", "b"]), NOW).unwrap();
    let epoch = Epoch(1);
    for tokens in [&["a"][..], &["a", "x", "y"]] {
        assert_eq!(
            store.store(replica(1, 1, 2, tokens), NOW),
            Err(Refused::Superseded { epoch })
        );
    }
    assert_eq!(store.snapshot(id(1), NOW).unwrap().transcript.text(), "ab");
}

/// Guards against appending tokens of a new owner to those of the previous one, which may differ.
#[test]
fn higher_epoch_resends() {
    let mut store = ReplicaStore::default();
    store.store(replica(1, 0, 0, &["a", "b"]), NOW).unwrap();
    let ack = store.append(progress(1, 1, 1, &["x", "y"]), NOW);
    assert_eq!(ack, Ack::Missing);
    store
        .store(replica(1, 1, 1, &["a", "x", "y"]), NOW)
        .unwrap();
    assert_eq!(store.snapshot(id(1), NOW).unwrap().transcript.text(), "axy");
    assert_eq!(
        store.append(progress(1, 1, 3, &["z"]), NOW),
        Ack::Stored(Position(4))
    );
}

/// Guards against a new owner that runs a finished request again and shows a second answer.
#[test]
fn finished_request_kept() {
    let mut store = ReplicaStore::default();
    let mut ended = replica(1, 0, 0, &["a"]);
    ended.finish = Some(done());
    store.store(ended, NOW).unwrap();
    assert!(store.store(replica(1, 1, 2, &[]), NOW).is_err());
    let taken = store.take_over(id(1), &node(2), NOW).unwrap();
    assert_eq!(taken.descriptor.epoch, Epoch(0));
    assert!(taken.finish.is_some());
}

/// Guards against acknowledging a position that a copy never sent. An owner whose takeover was
/// repeated after a lost response has two copies of one epoch.
#[test]
fn one_owner_two_copies() {
    let mut store = ReplicaStore::default();
    let epoch = Epoch(1);
    store.store(replica(1, 1, 1, &["a", "b"]), NOW).unwrap();
    store.store(replica(1, 1, 1, &["a"]), NOW).unwrap();
    let ack = store.append(progress(1, 1, 0, &["a"]), NOW);
    assert_eq!(ack, Ack::Stored(Position(1)));
    let ack = store.append(progress(1, 1, 1, &["x"]), NOW);
    assert_eq!(ack, Ack::Superseded(epoch));
    let other = store.store(replica(1, 1, 1, &["a", "x", "y"]), NOW);
    assert_eq!(other, Err(Refused::Superseded { epoch }));
}

/// Guards against a new owner that reports an end before its second node has stored it. The second
/// node then ran the request after its caller was told `not_run`.
#[test]
fn unstored_end_hidden() {
    let (run, call) = (0, 1);
    World::replay(&[
        Step::Accept { call, at: 1 },
        Step::Cancel { run },
        Step::Resume {
            call,
            at: 0,
            lost: false,
        },
        Step::Pause { node: 1 },
        Step::Begin { run },
        Step::TakeOver { node: 2 },
        Step::Begin { run },
    ]);
}

/// Guards against losing a request when its new owner crashes without a second node, because the
/// previous owner, still alive, dropped its copy when it was superseded.
#[test]
fn owner_crash_unreplicated() {
    let (run, call, message, repeat) = (0, 1, 0, false);
    World::replay(&[
        Step::Accept { call, at: 0 },
        Step::Send { run },
        Step::Pause { node: 0 },
        Step::TakeOver { node: 2 },
        Step::Deliver { message, repeat },
        Step::Wake { node: 0 },
        Step::Deliver { message, repeat },
        Step::Crash { node: 2 },
    ]);
}

/// Guards against an owner that was paused and replaces its silent second node, and so shows
/// tokens, although the silent node has taken the request over.
#[test]
fn silent_second_kept() {
    let (run, call) = (0, 1);
    World::replay(&[
        Step::Accept { call, at: 0 },
        Step::PauseOwner { run },
        Step::Begin { run },
        Step::Frame {
            run,
            kind: FrameKind::Expected,
        },
        Step::Pause { node: 2 },
        Step::Replicate { run, unanswered: 0 },
    ]);
}
