//! Replays roll-outs over simulated entries with lost digests, restarts and network partitions.
//!
//! `ROLLOUT_RUNS=1000 ROLLOUT_NODES=26 cargo test --release -p cumin-entry rollout_replay --
//! --nocapture` replays so many of each kind and prints a table.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use cumin_entry::rollout::evidence::{Outcome, Side};
use cumin_entry::rollout::exposure::ExposeBounds;
use cumin_entry::rollout::{
    Candidate, RolloutOptions, RolloutState, Rollouts, Situation, Stated, Status, Version,
    VersionOrder,
};
use cumin_types::{EndpointName, Incarnation, LogOffset, Millis, NodeName, Service};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 50;
const DIGEST_MS: u64 = 250;
const BOUNDS: ExposeBounds = ExposeBounds {
    share: 0.1,
    slack: 50.0,
    rollback: Millis(5000),
};
const ORDER_AT: u64 = 10_000;
const ROUTES: [(&str, f64); 3] = [("chat", 0.5), ("batch", 0.3), ("rare", 0.2)];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Good,
    Failing,
    Slow,
    Late,
    UnderLoad,
    OneRoute,
}

#[derive(Clone, Copy, Debug)]
struct Setup {
    kind: Kind,
    nodes: usize,
    endpoints: usize,
    rate: f64,
    duration: u64,
    /// Share of the answers that are bad.
    part: f64,
    /// Time at which a late fault begins, after the order.
    late: u64,
    /// Interval in which a third of the nodes is cut off.
    cut: Option<(u64, u64)>,
    /// Restarts of nodes a second.
    restarts: f64,
    /// Crashes of endpoints a second.
    crashes: f64,
    /// Time without the store, after the order.
    outage: Option<(u64, u64)>,
    /// Whether endpoints have slow spells, as 15% of them at any time.
    spells: bool,
}

#[derive(Clone, Debug, Default)]
struct Report {
    requests: u64,
    sent: u64,
    bad: u64,
    /// Most requests beyond the share at any moment before the verdict.
    over: f64,
    fiftieth: Option<u64>,
    last_sent: u64,
    state: Option<RolloutState>,
    decided: u64,
    why: String,
}

struct Node {
    rollouts: Rollouts,
    incarnation: u64,
    number: usize,
    sees_order: u64,
    ordered: bool,
    /// Time of the last read of the store.
    read_at: u64,
}

#[derive(Clone, Copy)]
struct Endpoint {
    running: u32,
    slow_until: u64,
    down_until: u64,
    crashes: u32,
}

struct World {
    setup: Setup,
    random: ChaCha8Rng,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    candidates: Vec<Candidate>,
    /// The status in the store, and the time at which it was written.
    store: Option<(Status, u64)>,
    report: Report,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    flights: HashMap<u64, Flight>,
    next_flight: u64,
}

#[derive(Clone)]
struct Flight {
    node: usize,
    incarnation: u64,
    route: Arc<str>,
    token: Option<(Side, u64)>,
    endpoint: usize,
    crashes: u32,
    outcome: Outcome,
    bad: bool,
}

fn service() -> Service {
    Service::from("engines")
}

fn name(number: usize) -> NodeName {
    NodeName::from(format!("n{number:02}"))
}

fn order(setup: &Setup) -> VersionOrder {
    VersionOrder {
        service: service(),
        target: Version::from("v2"),
        duration: Some(Millis(setup.duration)),
    }
}

fn node(number: usize, incarnation: u64, started: u64, sees_order: u64) -> Node {
    let mut rollouts = Rollouts::new(RolloutOptions {
        node: name(number),
        incarnation: Incarnation(incarnation),
        started: Millis(started),
    });
    rollouts.set_bounds(Some(BOUNDS));
    Node {
        rollouts,
        incarnation,
        number,
        sees_order,
        ordered: false,
        read_at: started,
    }
}

impl World {
    fn new(setup: Setup, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..setup.nodes)
            .map(|number| {
                let mut new = node(number, 1, 0, ORDER_AT + random.random_range(0..500));
                new.rollouts.statuses_read(&[], Millis(0));
                new
            })
            .collect();
        let candidates = (0..2 * setup.endpoints)
            .map(|number| Candidate {
                name: EndpointName::from(format!("e{number:03}")),
                version: Some(Version::from(if number < setup.endpoints {
                    "v1"
                } else {
                    "v2"
                })),
            })
            .collect();
        let idle = Endpoint {
            running: 0,
            slow_until: 0,
            down_until: 0,
            crashes: 0,
        };
        Self {
            setup,
            random,
            nodes,
            endpoints: vec![idle; 2 * setup.endpoints],
            candidates,
            store: None,
            report: Report::default(),
            ends: BinaryHeap::new(),
            flights: HashMap::new(),
            next_flight: 0,
        }
    }

    /// Returns the side of a partition that a node is on.
    fn side(&self, number: usize, now: u64) -> bool {
        let cut = self.setup.cut;
        cut.is_some_and(|(from, to)| {
            now >= ORDER_AT + from && now < ORDER_AT + to && number * 3 >= self.setup.nodes * 2
        })
    }

    fn has_store(&self, number: usize, now: u64) -> bool {
        let away = |(from, to)| now >= ORDER_AT + from && now < ORDER_AT + to;
        !self.side(number, now) && !self.setup.outage.is_some_and(away)
    }

    fn run(mut self) -> Report {
        let end = ORDER_AT + self.setup.duration;
        for now in (ORDER_AT - 1000..end).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.faults(now);
            self.answers(now);
            self.arrivals(now);
            for index in 0..self.nodes.len() {
                let turn = (now + 50 * index as u64) % DIGEST_MS;
                if turn < STEP_MS {
                    self.digest(index, now);
                }
            }
            self.duties(now);
            if self
                .report
                .state
                .is_some_and(|s| s != RolloutState::Running)
                && now > self.report.decided + 4000
            {
                break;
            }
        }
        self.report
    }

    fn faults(&mut self, now: u64) {
        let step = f64::from(u32::try_from(STEP_MS).unwrap()) / 1000.0;
        for index in 0..self.endpoints.len() {
            // 15% of the endpoints are in a spell of 600 ms.
            if self.setup.spells && self.random.random_bool(0.15 / 0.6 * step) {
                self.endpoints[index].slow_until = now + 600;
            }
        }
        if self.random.random_bool(self.setup.crashes * step) {
            let index = self.random.random_range(0..self.endpoints.len());
            let endpoint = &mut self.endpoints[index];
            endpoint.down_until = now + 2000;
            endpoint.crashes += 1;
            endpoint.running = 0;
        }
        if self.random.random_bool(self.setup.restarts * step) {
            let index = self.random.random_range(0..self.nodes.len());
            let incarnation = self.nodes[index].incarnation + 1;
            let sees = (now + 200).max(self.nodes[index].sees_order);
            self.nodes[index] = node(index, incarnation, now, sees);
        }
        for index in 0..self.nodes.len() {
            let number = self.nodes[index].number;
            let readable = self.has_store(number, now);
            let store = self.store.clone();
            let node = &mut self.nodes[index];
            if readable && now < node.sees_order {
                node.read_at = now;
            }
            if !node.ordered && now >= node.sees_order && readable {
                let nodes = self.setup.nodes;
                node.ordered = true;
                let order = order(&self.setup);
                let before = (node.incarnation == 1).then_some(Millis(node.read_at));
                node.rollouts
                    .order_seen(order, LogOffset(7), nodes, before, Millis(now));
                if node.incarnation > 1 {
                    let aged = store.into_iter().map(|(status, at)| Status {
                        age: status.age.plus(now - at),
                        ..status
                    });
                    let statuses: Vec<Status> = aged.collect();
                    node.rollouts.statuses_read(&statuses, Millis(now));
                }
            }
        }
    }

    fn answers(&mut self, now: u64) {
        while let Some(Reverse((at, id))) = self.ends.peek().copied() {
            if at > now {
                break;
            }
            self.ends.pop();
            let flight = self.flights.remove(&id).unwrap();
            let endpoint = &mut self.endpoints[flight.endpoint];
            let crashed = endpoint.crashes != flight.crashes;
            if !crashed {
                endpoint.running = endpoint.running.saturating_sub(1);
            }
            if flight.bad {
                self.report.bad += 1;
                if self.report.bad == 50 {
                    self.report.fiftieth = Some(now);
                }
            }
            let node = &mut self.nodes[flight.node];
            if node.incarnation == flight.incarnation
                && let Some(token) = flight.token
            {
                let mut outcome = flight.outcome;
                outcome.broken |= crashed;
                let service = service();
                node.rollouts
                    .ended(&service, &flight.route, token, Some(outcome));
            }
        }
    }

    fn arrivals(&mut self, now: u64) {
        let mean = self.setup.rate * f64::from(u32::try_from(STEP_MS).unwrap()) / 1000.0;
        let whole = mean.floor();
        let extra = self.random.random_bool(mean - whole);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let count = whole as u64 + u64::from(extra);
        for _ in 0..count {
            self.request(now);
        }
    }

    fn request(&mut self, now: u64) {
        let index = self.random.random_range(0..self.nodes.len());
        if now >= ORDER_AT && self.nodes[index].incarnation > 1 && !self.nodes[index].ordered {
            // A node serves after it has read the store.
            return;
        }
        let mut pick = self.random.random::<f64>();
        let route = ROUTES
            .iter()
            .find(|(_, share)| {
                pick -= share;
                pick < 0.0
            })
            .unwrap_or(&ROUTES[0]);
        let route: Arc<str> = Arc::from(route.0);
        let service = service();
        let number = self.nodes[index].number;
        let sees_new =
            now >= ORDER_AT && (self.nodes[index].ordered || self.has_store(number, now));
        let up: Vec<usize> = (0..self.endpoints.len())
            .filter(|e| self.endpoints[*e].down_until <= now)
            .filter(|e| *e < self.setup.endpoints || sees_new)
            .collect();
        let known: Vec<Candidate> = up.iter().map(|e| self.candidates[*e].clone()).collect();
        let assignment =
            self.nodes[index]
                .rollouts
                .assign(&service, &route, &known, false, Millis(now));
        let usable = |avoid: &[EndpointName]| -> Vec<usize> {
            let open = up.iter().copied();
            open.filter(|e| !avoid.contains(&self.candidates[*e].name))
                .collect()
        };
        let mut open = usable(&assignment.avoid);
        if open.is_empty() {
            open = usable(&assignment.fallback);
        }
        if now >= ORDER_AT {
            self.report.requests += 1;
        }
        if open.is_empty() {
            return;
        }
        let first = self.random.random_range(0..open.len());
        let second = self.random.random_range(0..open.len());
        let load = |index: usize| self.endpoints[open[index]].running;
        let chosen = open[if load(second) < load(first) {
            second
        } else {
            first
        }];
        self.send(index, route, chosen, now);
    }

    fn send(&mut self, index: usize, route: Arc<str>, chosen: usize, now: u64) {
        let is_new = chosen >= self.setup.endpoints;
        let version = self.candidates[chosen].version.clone();
        let rollouts = &mut self.nodes[index].rollouts;
        let token = rollouts.sent(&service(), &route, version.as_ref());
        if is_new {
            self.report.sent += 1;
            self.report.last_sent = now;
            if self.report.state.is_none_or(|s| s == RolloutState::Running) {
                #[expect(clippy::cast_precision_loss, reason = "small counts")]
                let over = self.report.sent as f64 - BOUNDS.share * self.report.requests as f64;
                self.report.over = self.report.over.max(over);
            }
        }
        let setup = self.setup;
        #[expect(clippy::cast_precision_loss, reason = "small counts")]
        let usual = setup.rate * 0.24 / setup.endpoints as f64;
        let endpoint = &mut self.endpoints[chosen];
        let busy = f64::from(endpoint.running) >= (0.7 * usual).max(1.0);
        let begun = now.saturating_sub(ORDER_AT);
        let faulty = is_new
            && match setup.kind {
                Kind::Good => false,
                Kind::Failing | Kind::Slow => true,
                Kind::Late => begun >= setup.late,
                Kind::UnderLoad => busy,
                Kind::OneRoute => &*route == "rare",
            };
        let bad = faulty && self.random.random_bool(setup.part);
        let is_slow = bad
            && match setup.kind {
                Kind::Failing => false,
                Kind::Slow => true,
                _ => setup.late.is_multiple_of(2),
            };
        // Times vary by a factor of about two, and with the load of the endpoint.
        let spread = self.random.random_range(-1.0..1.0) + self.random.random_range(-1.0..1.0);
        let load = 1.0 + f64::from(endpoint.running) / usual.max(1.0) * 0.3;
        let spell = if endpoint.slow_until > now { 2.5 } else { 1.0 };
        let ratio = f64::exp(spread * 0.5) * load * spell * if is_slow { 4.0 } else { 1.0 };
        endpoint.running += 1;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let took = (ratio * 200.0) as u64;
        // One in 500 answers of any version is a failure.
        let failed = (bad && !is_slow) || self.random.random_bool(0.002);
        self.next_flight += 1;
        let id = self.next_flight;
        let flight = Flight {
            node: index,
            incarnation: self.nodes[index].incarnation,
            route,
            token,
            endpoint: chosen,
            crashes: endpoint.crashes,
            outcome: Outcome {
                failed,
                broken: false,
                first: Some(ratio),
                pace: None,
            },
            bad,
        };
        self.flights.insert(id, flight);
        self.ends.push(Reverse((now + took, id)));
    }

    fn digest(&mut self, index: usize, now: u64) {
        let (at, number) = (Millis(now), self.nodes[index].number);
        let sides: Vec<bool> = (0..self.nodes.len()).map(|n| self.side(n, now)).collect();
        let heard = sides.iter().filter(|s| **s == sides[number]).count();
        // A partition is noticed when digests are missing for 1.5 s.
        let cut = self
            .setup
            .cut
            .filter(|(from, _)| now >= ORDER_AT + from + 1500);
        let heard = if cut.is_some() { heard } else { sides.len() };
        let total = self.setup.nodes;
        let node = &mut self.nodes[index];
        node.rollouts.set_heard(total, heard);
        node.rollouts.review(at);
        for event in node.rollouts.take_events() {
            if event.text.contains("decision=bad") {
                self.report.why = event.text;
            }
        }
        let node = &self.nodes[index];
        let stated: Rc<Vec<Stated>> = Rc::new(node.rollouts.stated(at));
        if stated.is_empty() {
            return;
        }
        let incarnation = Incarnation(node.incarnation);
        let sender = name(number);
        for peer in 0..self.nodes.len() {
            if peer == index || sides[peer] != sides[number] || self.random.random_bool(0.1) {
                continue;
            }
            let rollouts = &mut self.nodes[peer].rollouts;
            rollouts.merge_peer(&sender, incarnation, &stated, at);
        }
    }

    fn duties(&mut self, now: u64) {
        let holder = (0..self.nodes.len()).find(|n| self.has_store(*n, now));
        let Some(holder) = holder else { return };
        let versions: Vec<Option<Version>> = self
            .candidates
            .iter()
            .zip(&self.endpoints)
            .filter(|(_, endpoint)| endpoint.down_until <= now)
            .map(|(candidate, _)| candidate.version.clone())
            .collect();
        let peers: Vec<NodeName> = (0..self.nodes.len())
            .filter(|n| *n != holder)
            .map(name)
            .collect();
        let situation = Situation {
            versions: &versions,
            peers: &peers,
        };
        let rollouts = &mut self.nodes[holder].rollouts;
        if let Some(due) = rollouts.decide(&service(), &situation, Millis(now)) {
            rollouts.status_known(&due.status, Millis(now));
            self.report.state = Some(due.status.state);
            self.report.decided = now;
            if due.status.state != RolloutState::Running {
                let why = format!("{} {}", due.reason, self.report.why);
                self.report.why = why;
            }
            self.store = Some((due.status, now));
        }
    }
}

fn setup(kind: Kind, nodes: usize, random: &mut ChaCha8Rng) -> Setup {
    let duration = [20_000, 30_000, 40_000][random.random_range(0..3)];
    let (endpoints, rate) = [(3, 60.0), (6, 100.0), (24, 300.0)][random.random_range(0..3)];
    let cut_from = random.random_range(0..duration / 2);
    let outage_from = random.random_range(0..duration / 2);
    Setup {
        kind,
        nodes,
        endpoints,
        // A good version is also rolled out at low traffic.
        rate: if kind == Kind::Good && random.random_bool(0.2) {
            2.0
        } else {
            rate
        },
        duration,
        part: random.random_range(0.25..1.0),
        late: random.random_range(3000..duration * 6 / 10),
        cut: (nodes > 1 && random.random_bool(0.3)).then_some((cut_from, cut_from + 6000)),
        // What the only node has counted is lost when it restarts.
        restarts: if nodes > 1 && random.random_bool(0.3) {
            0.2
        } else {
            0.0
        },
        crashes: if random.random_bool(0.3) { 0.1 } else { 0.0 },
        outage: random
            .random_bool(0.2)
            .then_some((outage_from, outage_from + 3000)),
        spells: random.random_bool(0.5),
    }
}

/// Kinds that are replayed at the same time.
const THREADS: usize = 3;

const KINDS: [Kind; 6] = [
    Kind::Good,
    Kind::Failing,
    Kind::Slow,
    Kind::Late,
    Kind::UnderLoad,
    Kind::OneRoute,
];

fn percentile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an index"
    )]
    let index = (last as f64 * part).round() as usize;
    values.get(index).copied().unwrap_or(f64::NAN)
}

fn replay(kind: Kind, nodes: usize, runs: u64) -> Vec<(Setup, Report)> {
    (0..runs)
        .map(|seed| {
            let mut random = ChaCha8Rng::seed_from_u64(seed * 31 + kind as u64);
            let setup = setup(kind, nodes, &mut random);
            (setup, World::new(setup, seed).run())
        })
        .collect()
}

/// Returns the runs that broke a rule, and prints a line of the table.
fn judge(kind: Kind, nodes: usize, spells: bool, runs: &[(Setup, Report)]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut overs = Vec::new();
    let mut times = Vec::new();
    for (seed, (setup, report)) in runs.iter().enumerate() {
        let expected = if kind == Kind::Good {
            RolloutState::Completed
        } else {
            RolloutState::RolledBack
        };
        let mut fault = |text: &str| {
            faults.push(format!("{text} seed={seed} {setup:?} {report:?}"));
        };
        if report.state != Some(expected) {
            fault("state");
        }
        if kind == Kind::Good {
            continue;
        }
        overs.push(report.over);
        // Half of the slack, and requests that were under way at entries that restarted.
        if report.over > 25.5 {
            fault("exposure");
        }
        if let Some(fiftieth) = report.fiftieth {
            let after = report.last_sent.saturating_sub(fiftieth);
            #[expect(clippy::cast_precision_loss, reason = "small")]
            times.push(after as f64);
            if after > 2500 {
                fault("time");
            }
        }
    }
    println!(
        "{kind:?} nodes={nodes} spells={spells} runs={} faults={} over p50={:.1} p99={:.1} most={:.1} \
         after_50th_ms p50={} p99={} most={} (n={})",
        runs.len(),
        faults.len(),
        percentile(&mut overs, 0.5),
        percentile(&mut overs, 0.99),
        percentile(&mut overs, 1.0),
        percentile(&mut times, 0.5),
        percentile(&mut times, 0.99),
        percentile(&mut times, 1.0),
        times.len()
    );
    faults
}

/// Bad versions are rolled back within their bounds and good ones are completed, over 1, 26 and 66
/// entries.
#[test]
fn bounds_hold() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let all: Vec<(usize, u64)> = match (number("ROLLOUT_NODES"), number("ROLLOUT_RUNS")) {
        (Some(nodes), Some(runs)) => vec![(usize::try_from(nodes).unwrap(), runs)],
        _ => vec![(1, 3), (26, 1)],
    };
    let mut faults = Vec::new();
    for (nodes, runs) in all {
        for kinds in KINDS.chunks(THREADS) {
            let reports = std::thread::scope(|scope| {
                let replays = kinds
                    .iter()
                    .map(|kind| scope.spawn(|| replay(*kind, nodes, runs)));
                let replays: Vec<_> = replays.collect();
                let joined = replays.into_iter().map(|replay| replay.join().unwrap());
                joined.collect::<Vec<_>>()
            });
            for (kind, reports) in kinds.iter().zip(reports) {
                for spells in [false, true] {
                    let some = reports.iter().filter(|(setup, _)| setup.spells == spells);
                    let some: Vec<_> = some.cloned().collect();
                    faults.extend(judge(*kind, nodes, spells, &some));
                }
            }
        }
    }
    for fault in faults.iter().take(12) {
        println!("{fault}");
    }
    assert!(faults.is_empty(), "{} roll-outs broke a rule", faults.len());
}
