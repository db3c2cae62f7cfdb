//! Guards against a revision that decreases at a reader, two documents with one revision number, a
//! conflict that is not reported, and an accepted document of a former operator.

use std::collections::BTreeMap;

use cumin_state::batch::{Batch, Stream, encode, new_id};
use cumin_state::config::{ActiveRevision, Change, ChangeKind, Config, Record, Verdict};
use cumin_state::fleet::{Accept, Finish, FirstTerm, Offer, Operator};
use cumin_types::{Digest, Millis, RecordId, Revision, WallMillis};
use ed25519_dalek::SigningKey;
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::claim_fuzz::fate;
use crate::claim_world::Fate;
use crate::model::{START, fuzz_config};
use crate::net::{Clock, Net};

const PEERS: usize = 3;
const ENVIRONMENT: &str = "production";

#[derive(Clone, Copy, Debug)]
enum Action {
    Advance {
        ms: u64,
    },
    Read {
        peer: usize,
        limit: u32,
    },
    Deliver {
        index: usize,
        fate: Fate,
    },
    AppendLate {
        index: usize,
    },
    /// Change by one of the two operators, based on the revision that the peer knows and signed
    /// for the given term, which may be stale.
    Change {
        peer: usize,
        operator: usize,
        term: u64,
    },
    Rollback {
        peer: usize,
        operator: usize,
        back: u64,
    },
    Finish {
        peer: usize,
    },
    Gossip {
        from: usize,
        to: usize,
    },
    Restart {
        peer: usize,
    },
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
        prop_oneof![
            4 => (1..400u64).prop_map(|ms| Action::Advance { ms }),
            8 => (peer.clone(), 1..5u32).prop_map(|(peer, limit)| Action::Read { peer, limit }),
            10 => (0..4usize, fate()).prop_map(|(index, fate)| Action::Deliver { index, fate }),
            1 => (0..4usize).prop_map(|index| Action::AppendLate { index }),
            6 => (peer.clone(), 0..2usize, 1..3u64)
                .prop_map(|(peer, operator, term)| Action::Change { peer, operator, term }),
            1 => (peer.clone(), 0..2usize, 0..4u64)
                .prop_map(|(peer, operator, back)| Action::Rollback { peer, operator, back }),
            1 => peer.clone().prop_map(|peer| Action::Finish { peer }),
            4 => (peer.clone(), peer.clone()).prop_map(|(from, to)| Action::Gossip { from, to }),
            1 => peer.prop_map(|peer| Action::Restart { peer }),
        ]
        .boxed()
    }

    fn apply(mut actions: Vec<Action>, step: &Action) -> Vec<Action> {
        actions.push(*step);
        actions
    }
}

struct System {
    net: Net<Config>,
    running: Vec<ActiveRevision>,
    keys: [SigningKey; 2],
    finish: Finish,
    now: u64,
    /// Text of each proposed change with the operator that signed it.
    proposed: BTreeMap<RecordId, (String, usize)>,
    digests: BTreeMap<Revision, Digest>,
}

impl System {
    fn clock(&self) -> Clock {
        Clock {
            now: Millis(self.now),
            wall: WallMillis(START + self.now),
        }
    }

    fn submit(&mut self, peer: usize, record: &Record) {
        let now = Millis(self.now);
        let _ = self.net.peers[peer]
            .writer
            .submit(now, vec![encode(record)], now.plus(2_000));
    }

    fn change(&mut self, peer: usize, operator: usize, term: u64, text: String, way: ChangeKind) {
        let id = new_id(self.clock().wall, &mut self.net.rng);
        let base = self.net.peers[peer].fold.state().revision();
        self.proposed.insert(id, (text.clone(), operator));
        let change = Change::new(id, base, text, &format!("operator {operator}"), way).sign(
            ENVIRONMENT,
            term,
            &self.keys[operator],
        );
        self.submit(peer, &Record::Change(change));
    }

    fn step(&mut self, step: Action) {
        let clock = self.clock();
        match step {
            Action::Advance { ms } => self.now += ms,
            Action::Read { peer, limit } => {
                self.net.read(peer, limit);
                self.adopt(peer);
            }
            Action::Deliver { index, fate } => self.net.deliver(index, fate, clock.wall, |_| clock),
            Action::AppendLate { index } => self.net.append_late(index, clock.wall),
            Action::Change {
                peer,
                operator,
                term,
            } => {
                let text = format!("by {operator} number {}", self.proposed.len());
                self.change(peer, operator, term, text, ChangeKind::Apply);
            }
            Action::Rollback {
                peer,
                operator,
                back,
            } => {
                let state = self.net.peers[peer].fold.state();
                let to = Revision(state.revision().0.saturating_sub(back));
                let Some(text) = state.text(to).map(String::from) else {
                    return;
                };
                let term = state.terms().term;
                self.change(peer, operator, term, text, ChangeKind::Rollback { to });
            }
            Action::Finish { peer } => {
                let finish = self.finish.clone();
                self.submit(peer, &Record::Finish(finish));
            }
            Action::Gossip { from, to } => self.gossip(from, to),
            Action::Restart { peer } => {
                self.net.restart(peer);
                self.running[peer] = ActiveRevision::default();
            }
        }
        for peer in 0..PEERS {
            self.net.poll(peer, self.clock());
        }
    }

    fn adopt(&mut self, peer: usize) {
        let state = self.net.peers[peer].fold.state();
        let Some((digest, text)) = state.document() else {
            return;
        };
        let (revision, text) = (state.revision(), text.to_owned());
        self.offer(peer, revision, digest, &text);
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let state = self.net.peers[from].fold.state();
        let Some((digest, text)) = state.document() else {
            return;
        };
        let (revision, text) = (state.revision(), text.to_owned());
        assert_eq!(
            self.running[to].is_behind(revision),
            revision > self.running[to].current().0,
            "a node fetches a newer revision"
        );
        self.offer(to, revision, digest, &text);
    }

    fn offer(&mut self, peer: usize, revision: Revision, digest: Digest, text: &str) {
        let before = self.running[peer].current().0;
        self.running[peer].try_advance(revision, digest, text);
        let (present, digest) = self.running[peer].current();
        assert!(
            present >= before,
            "the revision of a reader decreased from {before} to {present}"
        );
        if let Some(digest) = digest {
            let known = *self.digests.entry(present).or_insert(digest);
            assert_eq!(known, digest, "two documents under revision {present}");
        }
    }

    /// Returns the accepted changes by a plain scan of the log.
    fn accepted(&self) -> Vec<RecordId> {
        let (mut accepted, mut term, mut seen) = (Vec::new(), 0, Vec::new());
        let mut batches = Vec::new();
        for record in &self.net.log.streams[&Stream::Config] {
            let batch = Batch::read(&record.body).expect("a batch");
            if batches.contains(&batch.id) {
                continue;
            }
            batches.push(batch.id);
            for value in batch.records {
                match serde_json::from_value(value).expect("a known record") {
                    Record::FirstTerm(_) => term = 1,
                    Record::Finish(_) => term = 2,
                    Record::Change(change) if !seen.contains(&change.id) => {
                        seen.push(change.id);
                        let operator = usize::try_from(term).expect("small") - 1;
                        let signed = change.clone().sign(ENVIRONMENT, term, &self.keys[operator]);
                        let based = change.base.0 == accepted.len() as u64;
                        if based && change.signature == signed.signature {
                            accepted.push(change.id);
                        }
                    }
                    _ => {}
                }
            }
        }
        accepted
    }
}

struct Readers;

impl StateMachineTest for Readers {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &Vec<Action>) -> System {
        let keys = [
            SigningKey::from_bytes(&[1; 32]),
            SigningKey::from_bytes(&[2; 32]),
        ];
        let offer = Offer::sign(ENVIRONMENT, 1, Operator::new("judges", &keys[1]), &keys[0]);
        let accept = Accept::sign(ENVIRONMENT, offer, &keys[1]);
        let finish = Finish::sign(ENVIRONMENT, accept, &keys[0]);
        let found = Record::FirstTerm(FirstTerm::sign(ENVIRONMENT, "bakers", &keys[0]));
        let mut net = Net::new(Stream::Config, PEERS, Config::new(false));
        let body = crate::model::body(1, crate::model::author(9, 1), vec![encode(&found)]);
        net.log.append(Stream::Config, body, WallMillis(START));
        System {
            net,
            running: vec![ActiveRevision::default(); PEERS],
            keys,
            finish,
            now: 0,
            proposed: BTreeMap::new(),
            digests: BTreeMap::new(),
        }
    }

    fn apply(mut system: System, _: &Vec<Action>, step: Action) -> System {
        system.step(step);
        system
    }

    fn teardown(mut system: System, _: Vec<Action>) {
        for _ in 0..60 {
            for _ in 0..system.net.requests.len() {
                system.step(Action::Deliver {
                    index: 0,
                    fate: Fate::Served,
                });
            }
            system.step(Action::AppendLate { index: 0 });
            system.step(Action::Advance { ms: 200 });
        }
        let accepted = system.accepted();
        let count = accepted.len() as u64;
        for peer in 0..PEERS {
            while !system.net.read(peer, 4) {}
            system.adopt(peer);
            assert_eq!(system.running[peer].current().0, Revision(count));
            let state = system.net.peers[peer].fold.state();
            assert!(
                state == system.net.peers[0].fold.state(),
                "two folds of one prefix differ"
            );
            for (id, (text, _)) in &system.proposed {
                let position = accepted.iter().position(|one| one == id);
                let verdict = state.verdict(*id, text, |winning, losing| {
                    vec![format!("{winning}/{losing}")]
                });
                match (position, verdict) {
                    (Some(position), Verdict::Accepted(revision)) => {
                        assert_eq!(revision.0, position as u64 + 1);
                    }
                    (None, Verdict::Conflict(conflict)) => {
                        assert!(conflict.winner.revision.0 <= count);
                        assert_ne!(conflict.winner.id, *id);
                    }
                    (None, Verdict::Refused(_) | Verdict::Unseen) => {}
                    (position, verdict) => panic!("{id} is at {position:?}, verdict {verdict:?}"),
                }
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn revision_never_decreases(sequential 20..120 => Readers);
}
