//! Guards against two effects for one key, a false `not_run`, diverging folds and calls that never
//! end, under random schedules of faults.

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::claim_world::{Action, Fate, KEYS, NODES, World};
use crate::model::fuzz_config;

pub fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Served),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Dropped),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Late),
    ]
}

fn actions() -> impl Strategy<Value = Action> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Action::Call { node, key }),
        5 => prop_oneof![1..50u64, 200..900u64].prop_map(|ms| Action::Advance { ms }),
        20 => (0..8usize, fate()).prop_map(|(index, fate)| Action::Serve { index, fate }),
        2 => (0..4usize).prop_map(|index| Action::AppendLate { index }),
        14 => (0..8usize, 0..3u8).prop_map(|(index, copies)| Action::Deliver { index, copies }),
        4 => (0..4usize, 0..3u8).prop_map(|(index, ending)| Action::End { index, ending }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, on)| Action::SetRecorder { node, on }),
        1 => (node.clone(), any::<bool>()).prop_map(|(node, on)| Action::Pause { node, on }),
        1 => node.prop_map(|node| Action::Restart { node }),
        1 => any::<bool>().prop_map(|on| Action::Outage { on }),
        1 => Just(Action::Expire),
    ]
}

/// Random actions; with `LOSS`, retention also drops records that no snapshot covers.
pub struct Actions<const LOSS: bool>;

impl<const LOSS: bool> ReferenceStateMachine for Actions<LOSS> {
    type State = Vec<Action>;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(Vec::new()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Action> {
        if LOSS {
            let trim = (0..6u64).prop_map(|keep| Action::Trim { keep });
            return prop_oneof![40 => actions(), 1 => trim].boxed();
        }
        actions().boxed()
    }

    fn apply(mut state: Self::State, step: &Action) -> Self::State {
        state.push(*step);
        state
    }
}

struct Cluster<const LOSS: bool>;

impl<const LOSS: bool> StateMachineTest for Cluster<LOSS> {
    type SystemUnderTest = World;
    type Reference = Actions<LOSS>;

    fn init_test(_: &Vec<Action>) -> World {
        World::new(1)
    }

    fn apply(mut world: World, _: &Vec<Action>, step: Action) -> World {
        world.step(step);
        world
    }

    fn check_invariants(world: &World, _: &Vec<Action>) {
        world.check();
    }

    fn teardown(mut world: World, _: Vec<Action>) {
        world.recover();
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn one_effect_per_key(sequential 20..200 => Cluster<false>);

    #[test]
    fn one_effect_despite_lost_records(sequential 20..200 => Cluster<true>);
}
