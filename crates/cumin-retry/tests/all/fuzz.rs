use std::collections::{BTreeMap, BTreeSet};

use cumin_retry::{
    Candidate, Choice, EjectOptions, Ejector, End, Quarantine, QuarantineOptions, Quarantined,
    Report, Usable, Verdict,
};
use cumin_types::{Millis, NodeName};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::{endpoint, print};

const NODES: usize = 3;
const PRINTS: u64 = 6;
const ENDPOINTS: usize = 6;

#[derive(Clone, Debug)]
enum Step {
    /// A node checks a request and, if it may, runs it at the endpoint or where it is placed.
    Send {
        node: usize,
        print: u64,
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
        print: u64,
    },
    Advance {
        millis: u64,
    },
    /// All nodes exchange everything.
    Sync,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        prop_oneof![
            8 => (node.clone(), 0..PRINTS, 0..ENDPOINTS, 0..60_000_u64)
                .prop_map(|(node, print, endpoint, left)| Step::Send { node, print, endpoint, left }),
            3 => (node.clone(), 0..8_usize, any::<bool>())
                .prop_map(|(node, index, done)| Step::End { node, index, done }),
            2 => (0..ENDPOINTS).prop_map(|endpoint| Step::Crash { endpoint }),
            4 => (node.clone(), node.clone(), any::<bool>())
                .prop_map(|(from, to, lost)| Step::Gossip { from, to, lost }),
            4 => (0..8_usize, any::<bool>())
                .prop_map(|(index, twice)| Step::Deliver { index, twice }),
            1 => (node, 0..PRINTS).prop_map(|(node, print)| Step::Release { node, print }),
            6 => (0..4000_u64).prop_map(|millis| Step::Advance { millis }),
            1 => Just(Step::Sync),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The real nodes, and plain lists of what happened.
struct Model {
    nodes: Vec<Quarantine>,
    now: u64,
    /// Node, fingerprint, endpoint.
    flights: Vec<(usize, u64, usize)>,
    /// Crashes that a fingerprint was in.
    crashes: BTreeMap<u64, u32>,
    /// Fingerprints that were ever in a crash.
    ever: BTreeSet<u64>,
    flying: Vec<(usize, Vec<Quarantined>)>,
}

impl Model {
    fn at(&self, node: usize, index: usize) -> usize {
        let there = |flight: &&(usize, u64, usize)| flight.0 == node && flight.2 == index;
        self.flights.iter().filter(there).count()
    }

    fn send(&mut self, node: usize, id: u64, index: usize, left: u64) {
        let now = Millis(self.now);
        let index = match self.nodes[node].check(&print(id), now) {
            Verdict::Clear => Some(index),
            Verdict::Hold { until } => {
                assert!(until > now, "held without an end");
                None
            }
            Verdict::Rejected(rejection) => {
                assert!(rejection.left > Millis(0));
                None
            }
            Verdict::Suspect { .. } => self.place(node, id, left),
        };
        if let Some(index) = index {
            self.nodes[node].started(&print(id), &endpoint(index));
            self.flights.push((node, id, index));
        }
    }

    fn place(&mut self, node: usize, id: u64, left: u64) -> Option<usize> {
        let now = Millis(self.now);
        assert!(self.ever.contains(&id), "suspected without a crash");
        let count = |index| {
            self.flights
                .iter()
                .filter(|flight| flight.2 == index)
                .count()
        };
        let candidates: Vec<Candidate> = (0..ENDPOINTS)
            .map(|index| Candidate {
                endpoint: endpoint(index),
                running: u32::try_from(count(index)).expect("small"),
            })
            .collect();
        let estimate = Millis(1000);
        let choice =
            self.nodes[node].place_suspect(&print(id), &candidates, Millis(left), estimate, now);
        let chosen = choice.endpoint()?;
        let index = (0..ENDPOINTS)
            .find(|index| endpoint(*index) == *chosen)
            .expect("a candidate");
        let again = self
            .flights
            .iter()
            .any(|flight| flight.0 == node && flight.1 == id);
        assert!(!again, "a suspect runs twice at one node");
        match choice {
            Choice::Alone { .. } => assert_eq!(count(index), 0, "not alone"),
            Choice::Beside { .. } => {
                assert_eq!(
                    count(index),
                    self.at(node, index),
                    "beside work of other nodes"
                );
                for flight in self.flights.iter().filter(|flight| flight.2 == index) {
                    assert!(
                        self.ever.contains(&flight.1),
                        "beside a request of no crash"
                    );
                }
            }
            Choice::Exposed { .. } => assert!(left < 2 * estimate.0 + 100, "it had time to wait"),
            Choice::Wait { .. } | Choice::None => unreachable!("no endpoint"),
        }
        Some(index)
    }

    fn crash(&mut self, index: usize) {
        let mut aboard = BTreeSet::new();
        for node in 0..NODES {
            let own: BTreeSet<u64> = self
                .flights
                .iter()
                .filter(|flight| flight.0 == node && flight.2 == index)
                .map(|flight| flight.1)
                .collect();
            let crash = self.nodes[node].crashed(&endpoint(index), Millis(self.now));
            assert_eq!(crash.suspects.len(), own.len(), "suspects of node {node}");
            aboard.extend(own);
        }
        for id in aboard {
            *self.crashes.entry(id).or_default() += 1;
            self.ever.insert(id);
        }
        self.flights.retain(|flight| flight.2 != index);
    }

    fn sync(&mut self) {
        let now = Millis(self.now);
        self.flying.clear();
        // One gossip repeats a single old quarantine.
        for _ in 0..2 * PRINTS {
            for from in 0..NODES {
                let records = self.nodes[from].gossip(now);
                for to in (0..NODES).filter(|to| *to != from) {
                    self.nodes[to].merge(&records, now);
                }
            }
        }
        let mut lists: Vec<BTreeSet<String>> = Vec::new();
        for node in &self.nodes {
            let prints = node
                .list(now)
                .into_iter()
                .map(|one| one.fingerprint.0.to_string());
            lists.push(prints.collect());
        }
        assert!(
            lists.iter().all(|list| *list == lists[0]),
            "nodes disagree: {lists:?}"
        );
    }
}

/// Guards against suspects that are placed wrongly, innocent requests that are suspected, and
/// nodes that disagree, over any sequence of crashes and late, lost or repeated gossip.
impl StateMachineTest for Model {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        let node = |index| {
            Quarantine::new(QuarantineOptions {
                node: NodeName::from(format!("n{index}")),
                items: 1000,
                ..QuarantineOptions::default()
            })
        };
        Self {
            nodes: (0..NODES).map(node).collect(),
            now: 0,
            flights: Vec::new(),
            crashes: BTreeMap::new(),
            ever: BTreeSet::new(),
            flying: Vec::new(),
        }
    }

    fn apply(mut model: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Send {
                node,
                print,
                endpoint,
                left,
            } => model.send(node, print, endpoint, left),
            Step::End { node, index, done } => {
                let mut own = (0..model.flights.len()).filter(|i| model.flights[*i].0 == node);
                if let Some(at) = own.nth(index) {
                    let (_, id, index) = model.flights.remove(at);
                    let end = if done { End::Done } else { End::Stopped };
                    let now = Millis(model.now);
                    model.nodes[node].ended(&print(id), &endpoint(index), end, now);
                    if done {
                        let verdict = model.nodes[node].check(&print(id), now);
                        let known = matches!(verdict, Verdict::Clear | Verdict::Rejected(_));
                        assert!(known, "completed and still suspected: {verdict}");
                    }
                }
            }
            Step::Crash { endpoint } => model.crash(endpoint),
            Step::Gossip { from, to, lost } => {
                let records = model.nodes[from].gossip(Millis(model.now));
                if !lost && from != to {
                    model.flying.push((to, records));
                }
            }
            Step::Deliver { index, twice } => {
                if index < model.flying.len() {
                    let (to, records) = model.flying[index].clone();
                    model.nodes[to].merge(&records, Millis(model.now));
                    if !twice {
                        model.flying.remove(index);
                    }
                }
            }
            Step::Release { node, print: id } => {
                let now = Millis(model.now);
                model.nodes[node].release(&print(id), now);
                assert_eq!(model.nodes[node].check(&print(id), now), Verdict::Clear);
            }
            Step::Advance { millis } => model.now += millis,
            Step::Sync => model.sync(),
        }
        model
    }

    fn check_invariants(model: &Self, (): &()) {
        for node in &model.nodes {
            for rejection in node.list(Millis(model.now)) {
                let of = |id: &u64| print(*id) == rejection.fingerprint;
                let id = (0..PRINTS).find(of).expect("a known request");
                let crashes = model.crashes.get(&id).copied().unwrap_or(0);
                assert!(crashes >= 2, "quarantined after {crashes} crashes");
            }
            assert!(node.reserved(Millis(model.now)).len() <= ENDPOINTS);
        }
    }
}

#[derive(Clone, Debug)]
enum Attempt {
    Result { endpoint: usize, ok: bool },
    Probe { endpoint: usize },
    Advance { millis: u64 },
    Members { count: usize },
}

struct Attempts;

impl ReferenceStateMachine for Attempts {
    type State = ();
    type Transition = Attempt;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Attempt> {
        prop_oneof![
            20 => (0..ENDPOINTS, 0..4_u8)
                .prop_map(|(endpoint, luck)| Attempt::Result { endpoint, ok: luck == 0 }),
            2 => (0..ENDPOINTS).prop_map(|endpoint| Attempt::Probe { endpoint }),
            2 => (0..8000_u64).prop_map(|millis| Attempt::Advance { millis }),
            1 => (1..=ENDPOINTS).prop_map(|count| Attempt::Members { count }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Attempt) {}
}

/// The real ejector, and for each endpoint its results since it was last in service and the
/// end of its ejection.
struct Service {
    real: Ejector,
    now: u64,
    count: usize,
    results: BTreeMap<usize, Vec<(u64, bool)>>,
    out: BTreeMap<usize, u64>,
}

impl Service {
    fn result(&mut self, index: usize, ok: bool) {
        let report = self.real.report(&endpoint(index), ok, Millis(self.now));
        let most = if self.count < 2 {
            0
        } else {
            (self.count * 3 / 10).max(1)
        };
        if index >= self.count {
            assert_eq!(report, Report::Same, "a stranger counts");
            return;
        }
        let was_out = self.out.contains_key(&index);
        if !was_out {
            self.results.entry(index).or_default().push((self.now, ok));
        }
        let own = self.results.get(&index).cloned().unwrap_or_default();
        let run = own.iter().rev().take_while(|(_, ok)| !ok).count();
        match report {
            Report::Same => {
                assert!(
                    was_out || run < 5,
                    "{run} failures in a row and still in service"
                );
            }
            Report::Capped { out, .. } => {
                assert!(out >= most && !was_out, "capped at {out} of {most}");
            }
            Report::Ejected { until, .. } => {
                let failed = own.iter().filter(|(_, ok)| !ok).count();
                assert!(
                    was_out || run >= 5 || failed * 10 > own.len() * 3,
                    "ejected too soon"
                );
                assert!(until.0 >= self.now + 5000, "out for too short a time");
                assert!(was_out || self.out.len() < most, "too many are out");
                self.out.insert(index, until.0);
                self.results.remove(&index);
            }
            Report::Returned { .. } => {
                assert!(
                    ok && self
                        .out
                        .remove(&index)
                        .is_some_and(|until| until <= self.now)
                );
            }
        }
    }
}

/// Guards against ejection without cause, beyond the cap, or without a way back, over any
/// sequence of results.
impl StateMachineTest for Service {
    type SystemUnderTest = Self;
    type Reference = Attempts;

    fn init_test((): &()) -> Self {
        let mut real = Ejector::new(EjectOptions::default());
        real.members(&(0..ENDPOINTS).map(endpoint).collect::<Vec<_>>());
        let (results, out) = (BTreeMap::new(), BTreeMap::new());
        Self {
            real,
            now: 0,
            count: ENDPOINTS,
            results,
            out,
        }
    }

    fn apply(mut model: Self, (): &(), step: Attempt) -> Self {
        match step {
            Attempt::Result { endpoint, ok } => model.result(endpoint, ok),
            Attempt::Probe { endpoint: index } => {
                model.real.probing(&endpoint(index), Millis(model.now));
            }
            Attempt::Advance { millis } => model.now += millis,
            Attempt::Members { count } => {
                model.count = count;
                model
                    .real
                    .members(&(0..count).map(endpoint).collect::<Vec<_>>());
                model.results.retain(|index, _| *index < count);
                model.out.retain(|index, _| *index < count);
            }
        }
        model
    }

    fn check_invariants(model: &Self, (): &()) {
        assert_eq!(model.real.ejected().len(), model.out.len());
        for index in 0..ENDPOINTS {
            let usable = model.real.usable(&endpoint(index), Millis(model.now));
            match model.out.get(&index) {
                None => assert_eq!(usable, Usable::Yes),
                Some(until) if *until > model.now => {
                    assert_eq!(
                        usable,
                        Usable::No {
                            until: Millis(*until)
                        }
                    );
                }
                Some(_) => assert_ne!(usable, Usable::Yes, "returned without a probe"),
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
    fn quarantine_agrees_with_history(sequential 1..150 => Model);

    #[test]
    fn ejection_agrees_with_results(sequential 1..150 => Service);
}
