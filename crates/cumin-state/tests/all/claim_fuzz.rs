//! Guards against a second effect for one key, a wrong `not_run`, folds that differ, and calls
//! that never end, under any schedule of faults.

use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::claim_world::{Fate, KEYS, Move, NODES, World};
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

fn moves() -> impl Strategy<Value = Move> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), 0..KEYS).prop_map(|(node, key)| Move::Call { node, key }),
        5 => prop_oneof![1..50u64, 200..900u64].prop_map(|ms| Move::Advance { ms }),
        20 => (0..8usize, fate()).prop_map(|(index, fate)| Move::Deliver { index, fate }),
        2 => (0..4usize).prop_map(|index| Move::Land { index }),
        14 => (0..8usize, 0..3u8).prop_map(|(index, copies)| Move::Carry { index, copies }),
        4 => (0..4usize, 0..3u8).prop_map(|(index, ending)| Move::End { index, ending }),
        2 => (node.clone(), any::<bool>()).prop_map(|(node, on)| Move::Duty { node, on }),
        1 => (node.clone(), any::<bool>()).prop_map(|(node, on)| Move::Pause { node, on }),
        1 => node.prop_map(|node| Move::Restart { node }),
        1 => any::<bool>().prop_map(|on| Move::Outage { on }),
        1 => Just(Move::Expire),
    ]
}

/// Moves; with `LOSS` retention also drops records that no snapshot covers.
pub struct Moves<const LOSS: bool>;

impl<const LOSS: bool> ReferenceStateMachine for Moves<LOSS> {
    type State = Vec<Move>;
    type Transition = Move;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(Vec::new()).boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Move> {
        if LOSS {
            let trim = (0..6u64).prop_map(|keep| Move::Trim { keep });
            return prop_oneof![40 => moves(), 1 => trim].boxed();
        }
        moves().boxed()
    }

    fn apply(mut state: Self::State, step: &Move) -> Self::State {
        state.push(*step);
        state
    }
}

struct Cluster<const LOSS: bool>;

impl<const LOSS: bool> StateMachineTest for Cluster<LOSS> {
    type SystemUnderTest = World;
    type Reference = Moves<LOSS>;

    fn init_test(_: &Vec<Move>) -> World {
        World::new(1)
    }

    fn apply(mut world: World, _: &Vec<Move>, step: Move) -> World {
        world.step(step);
        world
    }

    fn check_invariants(world: &World, _: &Vec<Move>) {
        world.check();
    }

    fn teardown(mut world: World, _: Vec<Move>) {
        world.heal();
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
