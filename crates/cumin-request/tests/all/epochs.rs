//! Sequences of steps of the state machine that once broke a promise.

use crate::machine::{Kind, Step};
use crate::world::World;

/// Guards against a taker that shows tokens while the former owner's second takes over as well.
#[test]
fn old_copy_taken() {
    World::replay(&[
        Step::Pause { node: 2 },
        Step::Die { node: 3 },
        Step::Accept { call: 0, at: 0 },
        Step::Accept { call: 1, at: 4 },
        Step::Wake { node: 0 },
        Step::Accept { call: 2, at: 4 },
        Step::Wake { node: 2 },
        Step::Nap { run: 7 },
        Step::Send { run: 15 },
        Step::Begin { run: 16 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Send { run: 31 },
        Step::Restart { node: 3 },
        Step::Resume {
            call: 2,
            at: 1,
            lost: false,
        },
        Step::Frame {
            run: 1,
            kind: Kind::Right,
        },
        Step::Nap { run: 15 },
        Step::Send { run: 4 },
        Step::Resume {
            call: 1,
            at: 3,
            lost: false,
        },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Place { run: 16, lost: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::Nap { run: 6 },
        Step::Accept { call: 3, at: 4 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Send { run: 15 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Pause { node: 0 },
        Step::Nap { run: 18 },
        Step::Die { node: 4 },
        Step::Resume {
            call: 0,
            at: 3,
            lost: true,
        },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Place { run: 8, lost: 12 },
        Step::Place { run: 8, lost: 0 },
        Step::Restart { node: 4 },
        Step::Place { run: 1, lost: 8 },
    ]);
}

/// Guards against a taker that shows tokens while the node that gave the request takes it back.
#[test]
fn giver_takes_back() {
    World::replay(&[
        Step::Accept { call: 1, at: 0 },
        Step::Send { run: 0 },
        Step::Begin { run: 0 },
        Step::Accept { call: 0, at: 1 },
        Step::Send { run: 0 },
        Step::Send { run: 0 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Begin { run: 0 },
        Step::Begin { run: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Send { run: 7 },
        Step::Nap { run: 19 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Send { run: 20 },
        Step::Send { run: 0 },
        Step::Deliver {
            message: 2,
            repeat: false,
        },
        Step::Send { run: 1 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Nap { run: 5 },
        Step::Resume {
            call: 0,
            at: 0,
            lost: false,
        },
        Step::Deliver {
            message: 2,
            repeat: false,
        },
        Step::Begin { run: 21 },
        Step::Deliver {
            message: 8,
            repeat: false,
        },
        Step::Pause { node: 0 },
        Step::Send { run: 0 },
        Step::Restart { node: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::Nap { run: 0 },
        Step::Deliver {
            message: 42,
            repeat: false,
        },
        Step::Pause { node: 1 },
        Step::Wake { node: 0 },
        Step::Frame {
            run: 8,
            kind: Kind::Right,
        },
        Step::Send { run: 14 },
    ]);
}

/// Guards against a taker that does not know whose agreement the taker before it still lacked.
#[test]
fn takers_in_chain() {
    World::replay(&[
        Step::Accept { call: 1, at: 0 },
        Step::Accept { call: 3, at: 2 },
        Step::Resume {
            call: 1,
            at: 4,
            lost: false,
        },
        Step::Resume {
            call: 1,
            at: 2,
            lost: false,
        },
        Step::Nap { run: 5 },
        Step::Resume {
            call: 1,
            at: 1,
            lost: false,
        },
        Step::Accept { call: 0, at: 0 },
        Step::Die { node: 1 },
        Step::Pause { node: 4 },
        Step::Resume {
            call: 1,
            at: 0,
            lost: false,
        },
        Step::Begin { run: 19 },
        Step::Frame {
            run: 16,
            kind: Kind::Right,
        },
        Step::Cancel { run: 0 },
        Step::Send { run: 7 },
        Step::Place { run: 3, lost: 0 },
        Step::Wake { node: 4 },
        Step::Nap { run: 31 },
        Step::Accept { call: 0, at: 0 },
        Step::Place { run: 13, lost: 0 },
        Step::Inherit { node: 0 },
        Step::Send { run: 19 },
    ]);
}

/// Guards against an attempt that begins after the deadline, when other copies have expired.
#[test]
fn run_past_deadline() {
    World::replay(&[
        Step::Accept { call: 1, at: 2 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Place { run: 0, lost: 8 },
        Step::Accept { call: 3, at: 0 },
        Step::Pause { node: 3 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Pause { node: 2 },
        Step::Inherit { node: 4 },
        Step::Send { run: 1 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Begin { run: 0 },
        Step::Accept { call: 2, at: 0 },
        Step::Send { run: 2 },
        Step::Place { run: 0, lost: 0 },
        Step::Place { run: 0, lost: 0 },
        Step::Nap { run: 11 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Accept { call: 0, at: 0 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Accept { call: 0, at: 0 },
        Step::Pause { node: 0 },
        Step::Advance { millis: 40000 },
        Step::Accept { call: 0, at: 0 },
        Step::Wake { node: 3 },
        Step::Resume {
            call: 1,
            at: 1,
            lost: false,
        },
        Step::Begin { run: 0 },
        Step::Frame {
            run: 0,
            kind: Kind::Right,
        },
        Step::Send { run: 0 },
    ]);
}

/// Guards against `not_run` for a request that a second node ran before it was lost.
#[test]
fn lost_second_ran() {
    World::replay(&[
        Step::Accept { call: 0, at: 1 },
        Step::Wake { node: 0 },
        Step::Wake { node: 0 },
        Step::Send { run: 0 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Begin { run: 0 },
        Step::Begin { run: 0 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Inherit { node: 0 },
        Step::Begin { run: 0 },
        Step::Begin { run: 0 },
        Step::Wake { node: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::Nap { run: 0 },
        Step::Wake { node: 0 },
        Step::Place { run: 0, lost: 0 },
        Step::Wake { node: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::Accept { call: 2, at: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::Nap { run: 0 },
        Step::Cancel { run: 3 },
        Step::Wake { node: 0 },
        Step::Begin { run: 2 },
        Step::Die { node: 3 },
        Step::Place { run: 8, lost: 0 },
    ]);
}
