//! Guards against an item that is appended after it was reported as not sent, one that takes effect
//! twice, and one that never gets a fate, under random faults of the log.

use std::collections::{BTreeMap, BTreeSet};

use cumin_state::batch::{Batch, Stream};
use cumin_state::writer::{Fate as Settled, Ticket};
use cumin_types::{LogOffset, Millis, RecordId};
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::json;

use crate::claim_fuzz::fate;
use crate::claim_world::Fate;
use crate::fold_fuzz::List;
use crate::model::{fuzz_config, wall};
use crate::net::{Clock, Net};

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Submit {
        peer: usize,
        left: u64,
    },
    Advance {
        ms: u64,
    },
    Deliver {
        index: usize,
        fate: Fate,
    },
    /// Every request has the given fate for this long.
    Outage {
        ms: u64,
        fate: Fate,
    },
    AppendLate {
        index: usize,
    },
    Expire {
        keep: u64,
    },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    /// Number of submitted items.
    type State = usize;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<usize> {
        Just(0).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Action> {
        let left = prop_oneof![Just(5u64), Just(200), Just(5_000), Just(FAR_MS)];
        let failing = prop_oneof![Just(Fate::Refused), Just(Fate::Dropped), Just(Fate::Late)];
        prop_oneof![
            8 => (0..2usize, left).prop_map(|(peer, left)| Action::Submit { peer, left }),
            6 => (1..400u64).prop_map(|ms| Action::Advance { ms }),
            14 => (0..4usize, fate()).prop_map(|(index, fate)| Action::Deliver { index, fate }),
            1 => (1_000..60_000u64, failing).prop_map(|(ms, fate)| Action::Outage { ms, fate }),
            2 => (0..4usize).prop_map(|index| Action::AppendLate { index }),
            1 => (0..4u64).prop_map(|keep| Action::Expire { keep }),
        ]
        .boxed()
    }

    fn apply(count: usize, step: &Action) -> usize {
        count + usize::from(matches!(step, Action::Submit { .. }))
    }
}

const FAR_MS: u64 = u64::MAX / 2;

struct System {
    net: Net<List>,
    now: Millis,
    numbers: u64,
    /// Peer, ticket and time to the deadline of each item, by the number in its record.
    items: BTreeMap<u64, (usize, Ticket, u64)>,
}

impl System {
    fn step(&mut self, step: Action) {
        match step {
            Action::Submit { peer, left } => {
                self.numbers += 1;
                let deadline = self.now.plus(left);
                let records = vec![json!({"kind": "item", "number": self.numbers})];
                let ticket = self.net.peers[peer]
                    .writer
                    .submit(self.now, records, deadline);
                if let Ok(ticket) = ticket {
                    self.items.insert(self.numbers, (peer, ticket, left));
                }
            }
            Action::Advance { ms } => self.now = self.now.plus(ms),
            Action::Deliver { index, fate } => self.deliver(index, fate),
            Action::Outage { ms, fate } => {
                let end = self.now.plus(ms);
                while self.now < end {
                    self.now = self.now.plus(500);
                    self.deliver(0, fate);
                    self.poll();
                }
            }
            Action::AppendLate { index } => self.net.append_late(index, wall(self.now)),
            Action::Expire { keep } => {
                let first = self.net.log.next(STREAM).saturating_sub(keep);
                self.net.log.trim(STREAM, first);
            }
        }
        self.poll();
    }

    fn deliver(&mut self, index: usize, fate: Fate) {
        let clock = Clock {
            now: self.now,
            wall: wall(self.now),
        };
        self.net.deliver(index, fate, clock.wall, |_| clock);
    }

    fn poll(&mut self) {
        for peer in 0..2 {
            self.net.poll(
                peer,
                Clock {
                    now: self.now,
                    wall: wall(self.now),
                },
            );
        }
    }

    /// Returns, for each item in the log, the offset of its first copy and the ids of its batches.
    fn appended(&self) -> BTreeMap<u64, (LogOffset, BTreeSet<RecordId>)> {
        let mut appended = BTreeMap::new();
        for record in self.net.log.streams.get(&STREAM).into_iter().flatten() {
            let batch = Batch::read(&record.body).expect("a batch");
            for value in &batch.records {
                let number = value["number"].as_u64().expect("a number");
                let item = appended
                    .entry(number)
                    .or_insert_with(|| (LogOffset(record.offset), BTreeSet::new()));
                item.1.insert(batch.id);
            }
        }
        appended
    }
}

const STREAM: Stream = Stream::Record(3);

struct Writers;

impl StateMachineTest for Writers {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &usize) -> System {
        let net = Net::new(STREAM, 2, List::default());
        System {
            net,
            now: Millis(0),
            numbers: 0,
            items: BTreeMap::new(),
        }
    }

    fn apply(mut system: System, _: &usize, step: Action) -> System {
        system.step(step);
        system
    }

    fn teardown(mut system: System, _: usize) {
        for _ in 0..300 {
            system.step(Action::Deliver {
                index: 0,
                fate: Fate::Served,
            });
            system.step(Action::AppendLate { index: 0 });
            system.step(Action::Advance { ms: 100 });
        }
        let appended = system.appended();
        for (number, (peer, ticket, left)) in &system.items {
            let fates: Vec<Settled> = system.net.peers[*peer]
                .fates
                .iter()
                .filter(|(one, _)| one == ticket)
                .map(|(_, fate)| *fate)
                .collect();
            let [fate] = fates[..] else {
                panic!("item {number} has the fates {fates:?}")
            };
            let copies = appended.get(number);
            assert!(
                copies.is_none_or(|(_, ids)| ids.len() == 1),
                "item {number} takes effect twice"
            );
            match fate {
                Settled::Appended { offset } => {
                    let (first, _) = copies.expect("an appended item is in the log");
                    assert!(
                        *first <= offset,
                        "item {number} is first at {first}, after {offset}"
                    );
                }
                Settled::NotSent => assert!(copies.is_none(), "item {number} is in the log"),
                Settled::Uncertain => assert!(*left < FAR_MS, "item {number} had time left"),
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn fates_hold(sequential 10..150 => Writers);
}
