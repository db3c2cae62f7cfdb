//! Guards against two holders of one lease that both act, and against fencing tokens that decrease,
//! with drifting clocks, paused processes and records that are appended late.

use cumin_state::batch::{Stream, encode};
use cumin_state::lease::{Holder, Leases, Observer, Options};
use cumin_types::{FencingToken, Millis, WallMillis};
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::claim_fuzz::fate;
use crate::claim_world::Fate;
use crate::model::{START, author, fuzz_config};
use crate::net::{Clock, Net};

const PEERS: usize = 3;
const LEASE: &str = "planner/oven-desk/waikato";
/// Rate by which the clocks of each peer run fast, in parts per thousand.
const DRIFT_PERMILLE: [i64; PEERS] = [-4, 0, 4];

#[derive(Clone, Copy, Debug)]
enum Action {
    Advance {
        ms: u64,
    },
    Read {
        peer: usize,
    },
    Deliver {
        index: usize,
        fate: Fate,
    },
    AppendLate {
        index: usize,
    },
    /// Pauses or resumes a process; with `frozen` its monotonic clock stops during the pause.
    Pause {
        peer: usize,
        on: bool,
        frozen: bool,
    },
    Restart {
        peer: usize,
    },
    Release {
        peer: usize,
    },
    /// Serves all requests and lets every peer read, `count` times at intervals of `ms`; peers that
    /// are cut off get no response.
    Rounds {
        count: u64,
        ms: u64,
    },
    /// Cuts a peer off from the log; it can still send orders.
    Cut {
        peer: usize,
        on: bool,
    },
    /// Sets the clock of the log forward.
    Jump {
        ms: u64,
    },
}

#[derive(Clone, Debug)]
struct Order {
    at: u64,
    peer: usize,
    incarnation: u64,
    token: FencingToken,
}

struct Reference;

impl ReferenceStateMachine for Reference {
    type State = Vec<Action>;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Vec<Action>> {
        Just(Vec::new()).boxed()
    }

    fn transitions(_: &Vec<Action>) -> BoxedStrategy<Action> {
        let peer = 0..PEERS;
        let ms = prop_oneof![2 => 1..100u64, 4 => 500..2_500u64, 1 => 8_000..16_000u64];
        prop_oneof![
            10 => ms.prop_map(|ms| Action::Advance { ms }),
            8 => peer.clone().prop_map(|peer| Action::Read { peer }),
            8 => (0..4usize, fate()).prop_map(|(index, fate)| Action::Deliver { index, fate }),
            1 => (0..4usize).prop_map(|index| Action::AppendLate { index }),
            2 => (peer.clone(), any::<bool>(), any::<bool>())
                .prop_map(|(peer, on, frozen)| Action::Pause { peer, on, frozen }),
            1 => peer.clone().prop_map(|peer| Action::Restart { peer }),
            8 => (1..40u64, 50..800u64).prop_map(|(count, ms)| Action::Rounds { count, ms }),
            2 => (peer.clone(), any::<bool>()).prop_map(|(peer, on)| Action::Cut { peer, on }),
            1 => (1..20_000u64).prop_map(|ms| Action::Jump { ms }),
            1 => peer.prop_map(|peer| Action::Release { peer }),
        ]
        .boxed()
    }

    fn apply(mut actions: Vec<Action>, step: &Action) -> Vec<Action> {
        actions.push(*step);
        actions
    }
}

struct System {
    net: Net<Leases>,
    holders: Vec<Holder>,
    observers: Vec<Observer>,
    /// True time.
    now: u64,
    /// Time at which each peer's monotonic clock stopped, `None` while it runs.
    frozen: [Option<u64>; PEERS],
    /// Total time for which each peer's monotonic clock was stopped before.
    hidden: [u64; PEERS],
    orders: Vec<Order>,
    cut: [bool; PEERS],
    sent: u64,
    jumped: u64,
}

fn options() -> Options {
    Options::default()
}

impl System {
    fn clock(&self, peer: usize) -> Clock {
        let ran = |time: u64| {
            let extra = i64::try_from(time).expect("small") * DRIFT_PERMILLE[peer] / 1_000;
            time.saturating_add_signed(extra)
        };
        let monotonic = self.frozen[peer].unwrap_or(self.now) - self.hidden[peer];
        // The wall clocks also differ by a constant offset.
        let wall = START + ran(self.now) + 700 * peer as u64;
        Clock {
            now: Millis(ran(monotonic)),
            wall: WallMillis(wall),
        }
    }

    fn step(&mut self, step: Action) {
        let at = WallMillis(START + self.now + self.jumped);
        match step {
            Action::Advance { ms } => self.now += ms,
            Action::Read { peer } if !self.net.peers[peer].paused && !self.cut[peer] => {
                self.read(peer);
            }
            Action::Deliver { index, fate } => {
                let clocks: Vec<Clock> = (0..PEERS).map(|peer| self.clock(peer)).collect();
                let from = self
                    .net
                    .requests
                    .get(index % self.net.requests.len().max(1));
                let cut = from.is_some_and(|request| self.cut[request.peer()]);
                let fate = if cut { Fate::Dropped } else { fate };
                self.net.deliver(index, fate, at, |peer| clocks[peer]);
            }
            Action::Rounds { count, ms } => {
                for _ in 0..count {
                    for _ in 0..self.net.requests.len() {
                        let fate = Fate::Served;
                        self.step(Action::Deliver { index: 0, fate });
                    }
                    for peer in 0..PEERS {
                        self.step(Action::Read { peer });
                    }
                    self.step(Action::Advance { ms });
                }
            }
            Action::Cut { peer, on } => self.cut[peer] = on,
            Action::Jump { ms } => self.jumped += ms,
            Action::AppendLate { index } => self.net.append_late(index, at),
            Action::Pause { peer, on, frozen } => {
                if let Some(since) = self.frozen[peer].take() {
                    self.hidden[peer] += self.now - since;
                }
                self.net.peers[peer].paused = on;
                self.frozen[peer] = (on && frozen).then_some(self.now);
            }
            Action::Restart { peer } => {
                self.step(Action::Pause {
                    peer,
                    on: false,
                    frozen: false,
                });
                self.net.restart(peer);
                self.holders[peer] = holder(peer, self.net.peers[peer].incarnation);
                self.observers[peer] = Observer::default();
            }
            Action::Release { peer } if !self.net.peers[peer].paused => {
                // A holder releases the lease only after its last order has ended.
                let busy = self
                    .orders
                    .iter()
                    .any(|order| order.peer == peer && order.at + options().order_ms > self.now);
                let clock = self.clock(peer);
                if !busy
                    && let Some(record) = self.holders[peer].release(clock.wall, &mut self.net.rng)
                {
                    self.submit(peer, clock, encode(&record));
                }
            }
            Action::Read { .. } | Action::Release { .. } => {}
        }
        self.poll();
    }

    fn submit(&mut self, peer: usize, clock: Clock, record: serde_json::Value) {
        let deadline = clock.now.plus(options().ttl_ms);
        let _ = self.net.peers[peer]
            .writer
            .submit(clock.now, vec![record], deadline);
    }

    fn read(&mut self, peer: usize) {
        let current = self.net.read(peer, 4);
        let clock = self.clock(peer);
        let fold = &self.net.peers[peer].fold;
        self.observers[peer].observe(clock.now, fold.state(), current);
        self.holders[peer].observe(fold.state());
    }

    fn poll(&mut self) {
        for peer in 0..PEERS {
            if self.net.peers[peer].paused {
                continue;
            }
            let clock = self.clock(peer);
            let state = self.net.peers[peer].fold.state();
            let record = self.holders[peer].poll(
                clock.now,
                clock.wall,
                state,
                &self.observers[peer],
                &mut self.net.rng,
            );
            if let Some(record) = record {
                self.submit(peer, clock, encode(&record));
            }
            self.net.poll(peer, clock);
            self.order(peer);
        }
    }

    fn order(&mut self, peer: usize) {
        let clock = self.clock(peer);
        let Ok(token) = self.holders[peer].may_act(clock.now, clock.wall) else {
            return;
        };
        let new = Order {
            at: self.now,
            peer,
            incarnation: self.net.peers[peer].incarnation,
            token,
        };
        // Only the last order of each holder may still be in progress.
        for old in &self.orders {
            let same = old.peer == new.peer && old.incarnation == new.incarnation;
            assert!(
                same || old.at + options().order_ms <= new.at,
                "{old:?} overlaps {new:?}"
            );
            assert!(
                old.token <= new.token,
                "{new:?} has an older token than {old:?}"
            );
        }
        self.orders
            .retain(|old| old.peer != new.peer || old.incarnation != new.incarnation);
        self.orders.push(new);
        self.sent += 1;
    }
}

fn holder(peer: usize, incarnation: u64) -> Holder {
    Holder::new(options(), LEASE, author(peer as u64, incarnation))
}

struct Clocks;

impl StateMachineTest for Clocks {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &Vec<Action>) -> System {
        System {
            net: Net::new(Stream::Lease, PEERS, Leases::default()),
            holders: (0..PEERS).map(|peer| holder(peer, 1)).collect(),
            observers: vec![Observer::default(); PEERS],
            now: 0,
            frozen: [None; PEERS],
            hidden: [0; PEERS],
            orders: Vec::new(),
            cut: [false; PEERS],
            sent: 0,
            jumped: 0,
        }
    }

    fn apply(mut system: System, _: &Vec<Action>, step: Action) -> System {
        system.step(step);
        system
    }

    fn teardown(mut system: System, _: Vec<Action>) {
        for peer in 0..PEERS {
            system.step(Action::Pause {
                peer,
                on: false,
                frozen: false,
            });
            system.step(Action::Cut { peer, on: false });
        }
        while !system.net.late_appends.is_empty() {
            system.step(Action::AppendLate { index: 0 });
        }
        let before = system.sent;
        system.step(Action::Rounds {
            count: 120,
            ms: 500,
        });
        assert!(system.sent > before, "nobody acts after the faults ended");
        let next = system.net.log.next(Stream::Lease);
        let replay = system
            .net
            .log
            .replay(Stream::Lease, Leases::default(), next);
        for peer in 0..PEERS {
            while !system.net.read(peer, 4) {}
            assert_eq!(
                system.net.peers[peer].fold, replay,
                "two folds of one prefix differ"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn holders_never_overlap(sequential 20..200 => Clocks);
}
