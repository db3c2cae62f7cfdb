use cumin_request::{Ack, Refused, ReplicaStore};
use cumin_types::{Epoch, Millis, Position};

use crate::machine::{Kind, Step};
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

/// Guards against two takers that both go on: the later take wins.
#[test]
fn two_takers_of_one_holder() {
    let mut store = ReplicaStore::default();
    store.store(replica(1, 0, 0, &["a"]), NOW).unwrap();
    let first = store.take_over(id(1), &node(1), NOW).unwrap();
    let second = store.take_over(id(1), &node(2), NOW).unwrap();
    assert!(store.store(first, NOW).is_err());
    store.store(second, NOW).unwrap();
}

/// Guards against two takers of one epoch, from two holders, whose tokens are mixed: the second
/// one was answered `Ok` and its tokens were added after those of the first.
#[test]
fn equal_epochs_not_mixed() {
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

/// Guards against tokens of a new owner after tokens of the old one, which may differ.
#[test]
fn higher_epoch_sends_whole() {
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

/// Guards against a taker that runs a finished request again and shows a second answer.
#[test]
fn finished_request_not_run_again() {
    let mut store = ReplicaStore::default();
    let mut ended = replica(1, 0, 0, &["a"]);
    ended.finish = Some(done());
    store.store(ended, NOW).unwrap();
    assert!(store.store(replica(1, 1, 2, &[]), NOW).is_err());
    let taken = store.take_over(id(1), &node(2), NOW).unwrap();
    assert_eq!(taken.descriptor.epoch, Epoch(0));
    assert!(taken.finish.is_some());
}

/// Guards against an owner that took one epoch twice, after a lost answer, whose second copy was
/// acknowledged up to a position that it never sent.
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

/// Guards against an end told by a taker before the second holds it: the second then runs the
/// request after its caller was told `not_run`.
#[test]
fn unsealed_end_not_told() {
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
        Step::Inherit { node: 2 },
        Step::Begin { run },
    ]);
}

/// Guards against a request that is lost with its taker, because the former owner, alive, dropped
/// its copy when it was superseded before the taker had a second.
#[test]
fn taker_dies_unplaced() {
    let (run, call, message, repeat) = (0, 1, 0, false);
    World::replay(&[
        Step::Accept { call, at: 0 },
        Step::Send { run },
        Step::Pause { node: 0 },
        Step::Inherit { node: 2 },
        Step::Deliver { message, repeat },
        Step::Wake { node: 0 },
        Step::Deliver { message, repeat },
        Step::Die { node: 2 },
    ]);
}

/// Guards against an owner that was paused, finds its second silent, and shows its tokens by way
/// of a new second, while the silent one has taken the request over.
#[test]
fn silent_taker_not_replaced() {
    let (run, call) = (0, 1);
    World::replay(&[
        Step::Accept { call, at: 0 },
        Step::Nap { run },
        Step::Begin { run },
        Step::Frame {
            run,
            kind: Kind::Right,
        },
        Step::Pause { node: 2 },
        Step::Place { run, lost: 0 },
    ]);
}
