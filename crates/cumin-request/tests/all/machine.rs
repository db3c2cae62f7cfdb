//! Random faults against a simulated cluster, with the caller of each request as the oracle.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::world::{CALLS, NODES, World};

/// A frame that an endpoint sends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FrameKind {
    /// The next frame of the current attempt.
    Expected,
    /// A frame of the previous attempt.
    Stale,
    /// A frame of an attempt of another call.
    OtherCall,
    /// A frame that was already received.
    Duplicate,
    /// A frame past the next one.
    Gap,
}

/// One step of the simulation. `run` is an index, modulo the number of runs on active nodes.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Accept {
        call: usize,
        at: usize,
    },
    Begin {
        run: usize,
    },
    Frame {
        run: usize,
        kind: FrameKind,
    },
    Fail {
        run: usize,
        failure: usize,
    },
    Complete {
        run: usize,
    },
    Cancel {
        run: usize,
    },
    Send {
        run: usize,
    },
    Deliver {
        message: usize,
        repeat: bool,
    },
    DropMessage {
        message: usize,
    },
    /// `unanswered` has a bit for each node whose responses are lost.
    Replicate {
        run: usize,
        unanswered: u8,
    },
    Crash {
        node: usize,
    },
    Restart {
        node: usize,
    },
    Pause {
        node: usize,
    },
    Wake {
        node: usize,
    },
    Resume {
        call: usize,
        at: usize,
        lost: bool,
    },
    TakeOver {
        node: usize,
    },
    /// Pauses the owner of a run until its second node has taken its requests over.
    PauseOwner {
        run: usize,
    },
    Advance {
        millis: u64,
    },
}

pub(crate) struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let run = || 0..32_usize;
        let kind = prop_oneof![
            8 => Just(FrameKind::Expected),
            1 => Just(FrameKind::Stale),
            1 => Just(FrameKind::OtherCall),
            1 => Just(FrameKind::Duplicate),
            1 => Just(FrameKind::Gap),
        ];
        prop_oneof![
            6 => (0..CALLS, 0..NODES).prop_map(|(call, at)| Step::Accept { call, at }),
            6 => run().prop_map(|run| Step::Begin { run }),
            24 => (run(), kind).prop_map(|(run, kind)| Step::Frame { run, kind }),
            2 => (run(), 0..7_usize).prop_map(|(run, failure)| Step::Fail { run, failure }),
            4 => run().prop_map(|run| Step::Complete { run }),
            1 => run().prop_map(|run| Step::Cancel { run }),
            12 => run().prop_map(|run| Step::Send { run }),
            30 => (0..64_usize, prop::bool::weighted(0.2))
                .prop_map(|(message, repeat)| Step::Deliver { message, repeat }),
            1 => (0..64_usize).prop_map(|message| Step::DropMessage { message }),
            6 => (run(), any::<u8>()).prop_map(|(run, lost)| {
                Step::Replicate { run, unanswered: lost & (lost >> 4) }
            }),
            1 => (0..NODES).prop_map(|node| Step::Crash { node }),
            2 => (0..NODES).prop_map(|node| Step::Restart { node }),
            2 => (0..NODES).prop_map(|node| Step::Pause { node }),
            4 => (0..NODES).prop_map(|node| Step::Wake { node }),
            6 => (0..CALLS, 0..NODES, prop::bool::weighted(0.2))
                .prop_map(|(call, at, lost)| Step::Resume { call, at, lost }),
            3 => (0..NODES).prop_map(|node| Step::TakeOver { node }),
            3 => run().prop_map(|run| Step::PauseOwner { run }),
            2 => prop_oneof![19 => 0..100_u64, 1 => 500..60_000_u64]
                .prop_map(|millis| Step::Advance { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, (): &(), step: Step) -> Self {
        world.step(&step);
        world.check();
        world
    }
}

/// Returns the seed in `PROPTEST_RNG_SEED`, or a fixed one so that CI always runs the same cases.
fn seed() -> RngSeed {
    match Config::default().rng_seed {
        RngSeed::Random => RngSeed::Fixed(1),
        given @ RngSeed::Fixed(_) => given,
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: seed(),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against answers that are mixed up, duplicated or truncated, and against dispatching a
    /// call twice.
    #[test]
    fn callers_get_their_text(sequential 100..300 => World);
}
