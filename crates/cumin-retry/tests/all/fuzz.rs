use std::collections::{BTreeMap, BTreeSet};

use cumin_retry::{
    AttemptEnd, Availability, Candidate, EjectionOptions, Ejector, HealthChange, Quarantine,
    QuarantineOptions, QuarantineRecord, Selection, Verdict,
};
use cumin_types::{Millis, NodeName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::{endpoint, fingerprint};

const NODES: usize = 3;
const REQUESTS: u64 = 6;
const ENDPOINTS: usize = 6;

#[derive(Clone, Debug)]
enum QuarantineStep {
    /// A node checks a request and, if it may run, sends it to the endpoint, or a suspect to the
    /// endpoint selected for it.
    Send {
        node: usize,
        request: u64,
        endpoint: usize,
        left: u64,
    },
    End {
        node: usize,
        index: usize,
        done: bool,
    },
    Crash {
        endpoint: usize,
    },
    Gossip {
        from: usize,
        to: usize,
        lost: bool,
    },
    Deliver {
        index: usize,
        twice: bool,
    },
    Release {
        node: usize,
        request: u64,
    },
    Advance {
        millis: u64,
    },
    /// All nodes exchange all records.
    Sync,
}

struct QuarantineSteps;

impl ReferenceStateMachine for QuarantineSteps {
    type State = ();
    type Transition = QuarantineStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<QuarantineStep> {
        let node = 0..NODES;
        prop_oneof![
            8 => (node.clone(), 0..REQUESTS, 0..ENDPOINTS, 0..60_000_u64)
                .prop_map(|(node, request, endpoint, left)| QuarantineStep::Send { node, request, endpoint, left }),
            3 => (node.clone(), 0..8_usize, any::<bool>())
                .prop_map(|(node, index, done)| QuarantineStep::End { node, index, done }),
            2 => (0..ENDPOINTS).prop_map(|endpoint| QuarantineStep::Crash { endpoint }),
            4 => (node.clone(), node.clone(), any::<bool>())
                .prop_map(|(from, to, lost)| QuarantineStep::Gossip { from, to, lost }),
            4 => (0..8_usize, any::<bool>())
                .prop_map(|(index, twice)| QuarantineStep::Deliver { index, twice }),
            1 => (node, 0..REQUESTS).prop_map(|(node, request)| QuarantineStep::Release { node, request }),
            6 => (0..4000_u64).prop_map(|millis| QuarantineStep::Advance { millis }),
            1 => Just(QuarantineStep::Sync),
        ]
        .boxed()
    }

    fn apply((): (), _: &QuarantineStep) {}
}

/// The quarantines under test, and the history of the events reported to them.
struct QuarantineTest {
    nodes: Vec<Quarantine>,
    now: u64,
    /// Node, request and endpoint of each attempt in flight.
    in_flight: Vec<(usize, u64, usize)>,
    /// Number of crashes that each request was in.
    crashes: BTreeMap<u64, u32>,
    /// Requests that were ever in a crash.
    crashed: BTreeSet<u64>,
    in_transit: Vec<(usize, Vec<QuarantineRecord>)>,
}

impl QuarantineTest {
    /// Returns the number of attempts of a node at an endpoint.
    fn at(&self, node: usize, index: usize) -> usize {
        let there = |attempt: &&(usize, u64, usize)| attempt.0 == node && attempt.2 == index;
        self.in_flight.iter().filter(there).count()
    }

    fn send(&mut self, node: usize, id: u64, index: usize, left: u64) {
        let now = Millis(self.now);
        let index = match self.nodes[node].check(&fingerprint(id), now) {
            Verdict::Clear => Some(index),
            Verdict::Hold { until } => {
                assert!(until > now, "the hold has no end");
                None
            }
            Verdict::Rejected(rejection) => {
                assert!(rejection.retry_after > Millis(0));
                None
            }
            Verdict::Suspect { .. } => self.select(node, id, left),
        };
        if let Some(index) = index {
            self.nodes[node].attempt_started(&fingerprint(id), &endpoint(index));
            self.in_flight.push((node, id, index));
        }
    }

    fn select(&mut self, node: usize, id: u64, left: u64) -> Option<usize> {
        let now = Millis(self.now);
        assert!(self.crashed.contains(&id), "suspected without a crash");
        let count = |index| {
            self.in_flight
                .iter()
                .filter(|attempt| attempt.2 == index)
                .count()
        };
        let candidates: Vec<Candidate> = (0..ENDPOINTS)
            .map(|index| Candidate {
                endpoint: endpoint(index),
                running: u32::try_from(count(index)).expect("small"),
            })
            .collect();
        let estimate = Millis(1000);
        let selection = self.nodes[node].select_endpoint(
            &fingerprint(id),
            &candidates,
            Millis(left),
            estimate,
            now,
        );
        let chosen = selection.endpoint()?;
        let index = (0..ENDPOINTS)
            .find(|index| endpoint(*index) == *chosen)
            .expect("a candidate");
        let again = self
            .in_flight
            .iter()
            .any(|attempt| attempt.0 == node && attempt.1 == id);
        assert!(!again, "a suspect runs twice at one node");
        match selection {
            Selection::Alone { .. } => assert_eq!(count(index), 0, "not alone"),
            Selection::Beside { .. } => {
                assert_eq!(
                    count(index),
                    self.at(node, index),
                    "beside requests of other nodes"
                );
                for attempt in self.in_flight.iter().filter(|attempt| attempt.2 == index) {
                    assert!(
                        self.crashed.contains(&attempt.1),
                        "beside a request of no crash"
                    );
                }
            }
            Selection::Exposed { .. } => assert!(
                left < 2 * estimate.0 + 100,
                "exposed although it had time to wait"
            ),
            Selection::Wait { .. } | Selection::None => unreachable!("no endpoint"),
        }
        Some(index)
    }

    fn crash(&mut self, index: usize) {
        let mut suspects = BTreeSet::new();
        for node in 0..NODES {
            let own: BTreeSet<u64> = self
                .in_flight
                .iter()
                .filter(|attempt| attempt.0 == node && attempt.2 == index)
                .map(|attempt| attempt.1)
                .collect();
            let crash = self.nodes[node].endpoint_crashed(&endpoint(index), Millis(self.now));
            assert_eq!(crash.suspects.len(), own.len(), "suspects of node {node}");
            suspects.extend(own);
        }
        for id in suspects {
            *self.crashes.entry(id).or_default() += 1;
            self.crashed.insert(id);
        }
        self.in_flight.retain(|attempt| attempt.2 != index);
    }

    fn sync(&mut self) {
        let now = Millis(self.now);
        self.in_transit.clear();
        // Each call of `gossip` repeats only one old quarantine.
        for _ in 0..2 * REQUESTS {
            for from in 0..NODES {
                let records = self.nodes[from].gossip(now);
                for to in (0..NODES).filter(|to| *to != from) {
                    self.nodes[to].merge(&records, now);
                }
            }
        }
        let mut lists: Vec<BTreeSet<String>> = Vec::new();
        for node in &self.nodes {
            let fingerprints = node
                .quarantined_requests(now)
                .into_iter()
                .map(|one| one.fingerprint.0.to_string());
            lists.push(fingerprints.collect());
        }
        assert!(
            lists.iter().all(|list| *list == lists[0]),
            "nodes disagree: {lists:?}"
        );
    }
}

/// Guards against suspects at a wrong endpoint, suspected requests that were in no crash, and
/// nodes that disagree, over any sequence of crashes and late, lost or repeated gossip.
impl StateMachineTest for QuarantineTest {
    type SystemUnderTest = Self;
    type Reference = QuarantineSteps;

    fn init_test((): &()) -> Self {
        let node = |index| {
            Quarantine::new(QuarantineOptions {
                node: NodeName::from(format!("n{index}")),
                gossip_batch: 1000,
                ..QuarantineOptions::default()
            })
        };
        Self {
            nodes: (0..NODES).map(node).collect(),
            now: 0,
            in_flight: Vec::new(),
            crashes: BTreeMap::new(),
            crashed: BTreeSet::new(),
            in_transit: Vec::new(),
        }
    }

    fn apply(mut model: Self, (): &(), step: QuarantineStep) -> Self {
        match step {
            QuarantineStep::Send {
                node,
                request,
                endpoint,
                left,
            } => model.send(node, request, endpoint, left),
            QuarantineStep::End { node, index, done } => {
                let mut own = (0..model.in_flight.len()).filter(|i| model.in_flight[*i].0 == node);
                if let Some(at) = own.nth(index) {
                    let (_, id, index) = model.in_flight.remove(at);
                    let end = if done {
                        AttemptEnd::Done
                    } else {
                        AttemptEnd::Stopped
                    };
                    let now = Millis(model.now);
                    model.nodes[node].attempt_ended(&fingerprint(id), &endpoint(index), end, now);
                    if done {
                        let verdict = model.nodes[node].check(&fingerprint(id), now);
                        let known = matches!(verdict, Verdict::Clear | Verdict::Rejected(_));
                        assert!(known, "completed and still suspected: {verdict}");
                    }
                }
            }
            QuarantineStep::Crash { endpoint } => model.crash(endpoint),
            QuarantineStep::Gossip { from, to, lost } => {
                let records = model.nodes[from].gossip(Millis(model.now));
                if !lost && from != to {
                    model.in_transit.push((to, records));
                }
            }
            QuarantineStep::Deliver { index, twice } => {
                if index < model.in_transit.len() {
                    let (to, records) = model.in_transit[index].clone();
                    model.nodes[to].merge(&records, Millis(model.now));
                    if !twice {
                        model.in_transit.remove(index);
                    }
                }
            }
            QuarantineStep::Release { node, request: id } => {
                let now = Millis(model.now);
                model.nodes[node].release(&fingerprint(id), now);
                assert_eq!(
                    model.nodes[node].check(&fingerprint(id), now),
                    Verdict::Clear
                );
            }
            QuarantineStep::Advance { millis } => model.now += millis,
            QuarantineStep::Sync => model.sync(),
        }
        model
    }

    fn check_invariants(model: &Self, (): &()) {
        for node in &model.nodes {
            for rejection in node.quarantined_requests(Millis(model.now)) {
                let of = |id: &u64| fingerprint(*id) == rejection.fingerprint;
                let id = (0..REQUESTS).find(of).expect("a known request");
                let crashes = model.crashes.get(&id).copied().unwrap_or(0);
                assert!(crashes >= 2, "quarantined after {crashes} crashes");
            }
            assert!(node.reserved_endpoints(Millis(model.now)).len() <= ENDPOINTS);
        }
    }
}

#[derive(Clone, Debug)]
enum EjectorStep {
    Result { endpoint: usize, ok: bool },
    Probe { endpoint: usize },
    Advance { millis: u64 },
    Members { count: usize },
}

struct EjectorSteps;

impl ReferenceStateMachine for EjectorSteps {
    type State = ();
    type Transition = EjectorStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<EjectorStep> {
        prop_oneof![
            20 => (0..ENDPOINTS, 0..4_u8)
                .prop_map(|(endpoint, luck)| EjectorStep::Result { endpoint, ok: luck == 0 }),
            2 => (0..ENDPOINTS).prop_map(|endpoint| EjectorStep::Probe { endpoint }),
            2 => (0..8000_u64).prop_map(|millis| EjectorStep::Advance { millis }),
            1 => (1..=ENDPOINTS).prop_map(|count| EjectorStep::Members { count }),
        ]
        .boxed()
    }

    fn apply((): (), _: &EjectorStep) {}
}

/// The ejector under test, and for each endpoint its results since it was last ejected and the end
/// of its cooldown.
struct EjectorTest {
    ejector: Ejector,
    now: u64,
    count: usize,
    results: BTreeMap<usize, Vec<(u64, bool)>>,
    ejected: BTreeMap<usize, u64>,
}

impl EjectorTest {
    fn result(&mut self, index: usize, ok: bool) {
        let change = self
            .ejector
            .record_result(&endpoint(index), ok, Millis(self.now));
        let limit = if self.count < 2 {
            0
        } else {
            (self.count * 3 / 10).max(1)
        };
        if index >= self.count {
            assert_eq!(
                change,
                HealthChange::Unchanged,
                "an unknown endpoint was counted"
            );
            return;
        }
        let was_ejected = self.ejected.contains_key(&index);
        if !was_ejected {
            self.results.entry(index).or_default().push((self.now, ok));
        }
        let own = self.results.get(&index).cloned().unwrap_or_default();
        let run = own.iter().rev().take_while(|(_, ok)| !ok).count();
        match change {
            HealthChange::Unchanged => {
                assert!(
                    was_ejected || run < 5,
                    "{run} failures in a row without an ejection"
                );
            }
            HealthChange::Capped { ejected, .. } => {
                assert!(
                    ejected >= limit && !was_ejected,
                    "capped at {ejected} of {limit}"
                );
            }
            HealthChange::Ejected { until, .. } => {
                let failed = own.iter().filter(|(_, ok)| !ok).count();
                assert!(
                    was_ejected || run >= 5 || failed * 10 > own.len() * 3,
                    "ejected too soon"
                );
                assert!(until.0 >= self.now + 5000, "the cooldown is too short");
                assert!(
                    was_ejected || self.ejected.len() < limit,
                    "too many endpoints are ejected"
                );
                self.ejected.insert(index, until.0);
                self.results.remove(&index);
            }
            HealthChange::Restored { .. } => {
                assert!(
                    ok && self
                        .ejected
                        .remove(&index)
                        .is_some_and(|until| until <= self.now)
                );
            }
        }
    }
}

/// Guards against ejections without cause, beyond the cap, or without an end, over any sequence of
/// results.
impl StateMachineTest for EjectorTest {
    type SystemUnderTest = Self;
    type Reference = EjectorSteps;

    fn init_test((): &()) -> Self {
        let mut ejector = Ejector::new(EjectionOptions::default());
        ejector.set_endpoints(&(0..ENDPOINTS).map(endpoint).collect::<Vec<_>>());
        let (results, ejected) = (BTreeMap::new(), BTreeMap::new());
        Self {
            ejector,
            now: 0,
            count: ENDPOINTS,
            results,
            ejected,
        }
    }

    fn apply(mut model: Self, (): &(), step: EjectorStep) -> Self {
        match step {
            EjectorStep::Result { endpoint, ok } => model.result(endpoint, ok),
            EjectorStep::Probe { endpoint: index } => {
                model
                    .ejector
                    .probe_started(&endpoint(index), Millis(model.now));
            }
            EjectorStep::Advance { millis } => model.now += millis,
            EjectorStep::Members { count } => {
                model.count = count;
                model
                    .ejector
                    .set_endpoints(&(0..count).map(endpoint).collect::<Vec<_>>());
                model.results.retain(|index, _| *index < count);
                model.ejected.retain(|index, _| *index < count);
            }
        }
        model
    }

    fn check_invariants(model: &Self, (): &()) {
        assert_eq!(model.ejector.ejected().len(), model.ejected.len());
        for index in 0..ENDPOINTS {
            let availability = model
                .ejector
                .availability(&endpoint(index), Millis(model.now));
            match model.ejected.get(&index) {
                None => assert_eq!(availability, Availability::Available),
                Some(until) if *until > model.now => {
                    assert_eq!(
                        availability,
                        Availability::Unavailable {
                            until: Millis(*until)
                        }
                    );
                }
                Some(_) => assert_ne!(
                    availability,
                    Availability::Available,
                    "returned without a probe"
                ),
            }
        }
    }
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn quarantine_matches_history(sequential 1..150 => QuarantineTest);

    #[test]
    fn ejection_matches_results(sequential 1..150 => EjectorTest);
}
