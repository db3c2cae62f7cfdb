//! Regression tests: step sequences of the state machine that violated an invariant in the past.

use crate::machine::{FrameKind, Step};
use crate::world::World;

/// Guards against a new owner that shows tokens while the second node of the previous owner takes
/// the request over as well.
#[test]
fn old_copy_taken() {
    World::replay(&[
        Step::Pause { node: 2 },
        Step::Crash { node: 3 },
        Step::Accept { call: 0, at: 0 },
        Step::Accept { call: 1, at: 4 },
        Step::Wake { node: 0 },
        Step::Accept { call: 2, at: 4 },
        Step::Wake { node: 2 },
        Step::PauseOwner { run: 7 },
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
            kind: FrameKind::Expected,
        },
        Step::PauseOwner { run: 15 },
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
        Step::Replicate {
            run: 16,
            unanswered: 0,
        },
        Step::Accept { call: 0, at: 0 },
        Step::PauseOwner { run: 6 },
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
        Step::PauseOwner { run: 18 },
        Step::Crash { node: 4 },
        Step::Resume {
            call: 0,
            at: 3,
            lost: true,
        },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Replicate {
            run: 8,
            unanswered: 12,
        },
        Step::Replicate {
            run: 8,
            unanswered: 0,
        },
        Step::Restart { node: 4 },
        Step::Replicate {
            run: 1,
            unanswered: 8,
        },
    ]);
}

/// Guards against a new owner that shows tokens while the node that sent the request takes it back.
#[test]
fn sender_takes_back() {
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
        Step::PauseOwner { run: 19 },
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
        Step::PauseOwner { run: 5 },
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
        Step::PauseOwner { run: 0 },
        Step::Deliver {
            message: 42,
            repeat: false,
        },
        Step::Pause { node: 1 },
        Step::Wake { node: 0 },
        Step::Frame {
            run: 8,
            kind: FrameKind::Expected,
        },
        Step::Send { run: 14 },
    ]);
}

/// Guards against a new owner that does not know which nodes had not yet agreed to the previous
/// owner.
#[test]
fn chained_takeovers() {
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
        Step::PauseOwner { run: 5 },
        Step::Resume {
            call: 1,
            at: 1,
            lost: false,
        },
        Step::Accept { call: 0, at: 0 },
        Step::Crash { node: 1 },
        Step::Pause { node: 4 },
        Step::Resume {
            call: 1,
            at: 0,
            lost: false,
        },
        Step::Begin { run: 19 },
        Step::Frame {
            run: 16,
            kind: FrameKind::Expected,
        },
        Step::Cancel { run: 0 },
        Step::Send { run: 7 },
        Step::Replicate {
            run: 3,
            unanswered: 0,
        },
        Step::Wake { node: 4 },
        Step::PauseOwner { run: 31 },
        Step::Accept { call: 0, at: 0 },
        Step::Replicate {
            run: 13,
            unanswered: 0,
        },
        Step::TakeOver { node: 0 },
        Step::Send { run: 19 },
    ]);
}

/// Guards against an attempt that starts after the deadline, when other copies have expired.
#[test]
fn run_past_deadline() {
    World::replay(&[
        Step::Accept { call: 1, at: 2 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Replicate {
            run: 0,
            unanswered: 8,
        },
        Step::Accept { call: 3, at: 0 },
        Step::Pause { node: 3 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Pause { node: 2 },
        Step::TakeOver { node: 4 },
        Step::Send { run: 1 },
        Step::Deliver {
            message: 0,
            repeat: false,
        },
        Step::Begin { run: 0 },
        Step::Accept { call: 2, at: 0 },
        Step::Send { run: 2 },
        Step::Replicate {
            run: 0,
            unanswered: 0,
        },
        Step::Replicate {
            run: 0,
            unanswered: 0,
        },
        Step::PauseOwner { run: 11 },
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
            kind: FrameKind::Expected,
        },
        Step::Send { run: 0 },
    ]);
}

/// Guards against reporting `not_run` for a request that a second node ran before it was lost.
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
        Step::TakeOver { node: 0 },
        Step::Begin { run: 0 },
        Step::Begin { run: 0 },
        Step::Wake { node: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::PauseOwner { run: 0 },
        Step::Wake { node: 0 },
        Step::Replicate {
            run: 0,
            unanswered: 0,
        },
        Step::Wake { node: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::Accept { call: 2, at: 0 },
        Step::Accept { call: 0, at: 0 },
        Step::PauseOwner { run: 0 },
        Step::Cancel { run: 3 },
        Step::Wake { node: 0 },
        Step::Begin { run: 2 },
        Step::Crash { node: 3 },
        Step::Replicate {
            run: 8,
            unanswered: 0,
        },
    ]);
}
