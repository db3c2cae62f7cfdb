//! Request rates that endpoints state as their limits for all nodes together.

use std::collections::VecDeque;

use cumin_entry::fleet::{Endpoint, Fleet};
use cumin_entry::limits::{AnswerLimit, Blocked, RateLimits, StatedLimit};
use cumin_types::{EndpointName, Incarnation, Millis, NodeName};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::endpoint;

/// The users' bound on the time in which all nodes must know of a limit.
const CONTACT_MS: u64 = 3000;

/// Window in which the users count requests.
const WINDOW_MS: u64 = 4000;

/// Multiple of a limit that an endpoint may get in a window, and requests that it may get beyond.
const ALLOWED_SHARE: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

const STEP_MS: u64 = 5;

/// Time from a request to the head of its answer.
const ANSWER_MS: u64 = 40;

/// Time that a digest travels.
const DIGEST_TRAVEL_MS: u64 = 15;

/// Nodes that send requests to one endpoint with a limit, and exchange digests.
struct Nodes {
    limits: Vec<RateLimits>,
    endpoint: Endpoint,
    rng: ChaCha8Rng,
    /// How many nodes hear each other.
    heard: u32,
    digest_interval: u64,
    /// Whether nodes with even and odd numbers do not reach each other.
    parted: bool,
    /// Share of digests that are lost.
    loss: f64,
    /// Limit that answers state.
    rate: Option<f64>,
    now: u64,
    /// Answers and digests on their way: time of arrival and receiver.
    answers: VecDeque<(u64, usize, Millis, Option<f64>)>,
    digests: VecDeque<(u64, usize, usize, Vec<StatedLimit>)>,
    /// Times at which requests were sent.
    sent: Vec<u64>,
}

impl Nodes {
    fn new(count: usize, rate: f64, seed: u64) -> Self {
        let name = |number| NodeName::from(format!("n{number}"));
        Self {
            limits: (0..count)
                .map(|number| RateLimits::new(name(number)))
                .collect(),
            endpoint: endpoint("e"),
            rng: ChaCha8Rng::seed_from_u64(seed),
            heard: u32::try_from(count).unwrap(),
            digest_interval: (25 * count as u64).clamp(100, 250),
            parted: false,
            loss: 0.0,
            rate: Some(rate),
            now: 1000,
            answers: VecDeque::new(),
            digests: VecDeque::new(),
            sent: Vec::new(),
        }
    }

    /// Runs for a time in which the node `n` wants `demand(n)` requests a second.
    fn run(&mut self, millis: u64, demand: impl Fn(usize) -> f64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver();
            for node in 0..self.limits.len() {
                let digest_due = (self.now + node as u64 * 7) % self.digest_interval < STEP_MS;
                if digest_due {
                    self.send_digest(node);
                }
                let chance = demand(node) * f64::from(u32::try_from(STEP_MS).unwrap()) / 1000.0;
                for _ in 0..8 {
                    if self.rng.random_bool((chance / 8.0).min(1.0)) {
                        self.request(node);
                    }
                }
            }
        }
    }

    fn request(&mut self, node: usize) {
        let now = Millis(self.now);
        let limits = &mut self.limits[node];
        let blocked = limits.blocked(std::iter::once(&self.endpoint), now);
        if blocked.endpoints.is_empty() {
            limits.request_sent(&self.endpoint.name, now);
            self.sent.push(self.now);
            self.answers
                .push_back((self.now + ANSWER_MS, node, now, self.rate));
        } else {
            assert!(blocked.wait > Millis(0), "the time to come back is known");
        }
    }

    fn send_digest(&mut self, from: usize) {
        let now = Millis(self.now);
        let nodes = u32::try_from(self.limits.len()).unwrap();
        self.limits[from].set_nodes(nodes, self.heard, Millis(self.digest_interval), now);
        let stated = self.limits[from].stated(now);
        for to in 0..self.limits.len() {
            let reached = !self.parted || to % 2 == from % 2;
            if to != from && reached && !self.rng.random_bool(self.loss) {
                let at = self.now + DIGEST_TRAVEL_MS;
                self.digests.push_back((at, from, to, stated.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = Millis(self.now);
        while self.answers.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, node, sent, rate)) = self.answers.pop_front() else {
                break;
            };
            let answer = answer(self.endpoint.started_ms, rate, sent.0);
            self.limits[node].answer_heard(&answer, now);
        }
        while self.digests.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, stated)) = self.digests.pop_front() else {
                break;
            };
            let name = NodeName::from(format!("n{from}"));
            self.limits[to].merge_peer(&name, Incarnation(1), &stated, now);
        }
    }

    fn count(&self, from: u64, to: u64) -> f64 {
        let sent = self.sent.iter().filter(|at| **at >= from && **at < to);
        f64::from(u32::try_from(sent.count()).unwrap())
    }

    /// Returns the most requests of any window that begins at `from` or later.
    fn most(&self, from: u64) -> f64 {
        let starts = self.sent.iter().filter(|at| **at >= from);
        let counts = starts.map(|at| self.count(*at, at + WINDOW_MS));
        counts.fold(0.0, f64::max)
    }
}

fn allowed(rate: f64) -> f64 {
    let window = f64::from(u32::try_from(WINDOW_MS).unwrap()) / 1000.0;
    rate * window * ALLOWED_SHARE + ALLOWED_EXTRA
}

/// Runs nodes that want `demand` requests a second together, and checks the rule on limits and that
/// half of what it allows or more is used.
fn check(count: usize, rate: f64, demand: f64, one_node: bool, loss: f64, seed: u64) {
    let case = format!("{count} nodes, rate {rate}, demand {demand}, {one_node}, loss {loss}");
    let mut nodes = Nodes::new(count, rate, seed);
    nodes.loss = loss;
    let each = demand / f64::from(u32::try_from(count).unwrap());
    let wants = |node| match (one_node, node) {
        (false, _) => each,
        (true, 0) => demand,
        _ => 0.0,
    };
    nodes.run(25_000, wants);
    let from = 1000 + CONTACT_MS;
    let most = nodes.most(from);
    assert!(most <= allowed(rate), "{case}: {most} in a window");
    let expected = demand.min(rate) * 22.0;
    let used = nodes.count(from, 26_000);
    if expected >= 20.0 {
        assert!(used >= expected / 2.0, "{case}: {used} of {expected}");
    }
}

/// Four entries sent an endpoint that stated 1 request a second 20 in 4 s, where 11 were allowed.
#[test]
fn sum_of_nodes() {
    for rate in [0.3, 1.0, 5.0, 30.0] {
        for factor in [0.5, 1.0, 2.0, 10.0, 100.0] {
            check(4, rate, rate * factor, false, 0.0, 1);
            check(4, rate, rate * factor, true, 0.0, 1);
        }
    }
}

/// With a share of the rate for each of many nodes, an endpoint would get almost none of the few
/// requests that it could serve; with one level for all nodes, many would use it at the same time.
#[test]
fn many_nodes() {
    for factor in [1.0, 10.0, 100.0] {
        check(37, 1.0, factor, false, 0.0, 1);
        check(37, 8.0, 8.0 * factor, false, 0.0, 1);
    }
    check(78, 1.0, 100.0, false, 0.0, 1);
}

/// After a time with few requests, the nodes together must not send what each of them saved up.
#[test]
fn sudden_load() {
    let mut nodes = Nodes::new(37, 1.0, 1);
    nodes.run(5000, |_| 1.0);
    nodes.run(30_000, |_| 0.01);
    let from = nodes.now;
    nodes.run(10_000, |_| 10.0);
    let most = nodes.most(from - WINDOW_MS);
    assert!(most <= allowed(1.0), "{most} in a window");
}

/// Both sides of a network partition together keep the limit.
#[test]
fn partition() {
    let mut nodes = Nodes::new(4, 10.0, 1);
    nodes.run(5000, |_| 20.0);
    nodes.parted = true;
    nodes.heard = 2;
    let from = nodes.now;
    nodes.run(15_000, |_| 20.0);
    let most = nodes.most(from);
    assert!(most <= allowed(10.0), "{most} in a window");
    assert!(nodes.count(from, nodes.now) >= 75.0, "half is used");
}

/// What an endpoint with a limit takes of the requests that all nodes want to send is known to
/// each node, so that other engines can be ordered.
#[test]
fn taken_shares() {
    let mut nodes = Nodes::new(4, 2.0, 1);
    nodes.run(8000, |_| 10.0);
    let now = Millis(nodes.now);
    for limits in &nodes.limits {
        let endpoints = [nodes.endpoint.clone(), endpoint("other")];
        let shares = limits.taken_shares(endpoints.iter(), now);
        assert_eq!(shares.len(), 1);
        assert!((0.025..0.1).contains(&shares[0]), "{shares:?} of 1/20");
    }
    nodes.run(8000, |_| 0.1);
    let shares = nodes.limits[0].taken_shares(std::iter::once(&nodes.endpoint), Millis(nodes.now));
    assert_eq!(shares, [1.0]);
}

/// An endpoint whose limit has ended gets all requests again, also from nodes that did not hear it
/// themselves.
#[test]
fn limit_ends() {
    for rate in [0.0, 1.0] {
        let mut nodes = Nodes::new(12, rate, 1);
        nodes.run(8000, |_| 5.0);
        nodes.rate = None;
        // The next request may be due only after a while.
        nodes.run(8000, |_| 5.0);
        let from = nodes.now;
        nodes.run(2000, |_| 5.0);
        let sent = nodes.count(from, nodes.now);
        assert!(sent >= 90.0, "{sent} of about 120 after a limit of {rate}");
    }
}

/// Returns the answer of the endpoint `e` to a request that was sent at `sent_ms`.
fn answer(started_ms: u64, rate: Option<f64>, sent_ms: u64) -> AnswerLimit {
    AnswerLimit {
        endpoint: EndpointName::from("e"),
        started_ms,
        rate,
        sent: Millis(sent_ms),
    }
}

fn stated(limits: &RateLimits, now: u64) -> Vec<StatedLimit> {
    limits.stated(Millis(now))
}

/// Returns a node that knows a limit of 1 from an answer at the time 1000.
fn told() -> RateLimits {
    let mut limits = RateLimits::new(NodeName::from("told"));
    let change = limits.answer_heard(&answer(1, Some(1.0), 900), Millis(1000));
    assert_eq!(change.and_then(|change| change.rate), Some(1.0));
    limits
}

/// An answer without a limit that was overtaken by one with a limit does not end it.
#[test]
fn overtaken_answer() {
    let mut limits = told();
    let none = limits.answer_heard(&answer(1, None, 950), Millis(1010));
    assert_eq!((none, limits.count()), (None, 1));
    let ended = limits.answer_heard(&answer(1, None, 1001), Millis(1020));
    assert_eq!(
        (ended.map(|change| change.rate), limits.count()),
        (Some(None), 0)
    );
}

/// A limit belongs to one start of an endpoint: the next one under the same name is not limited,
/// and late answers of the previous one say nothing of it.
#[test]
fn restarted_endpoint() {
    let mut limits = told();
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("e")
    };
    let blocked = limits.blocked(std::iter::once(&restarted), Millis(1100));
    assert_eq!(blocked, Blocked::default());
    limits.answer_heard(&answer(2, Some(5.0), 1100), Millis(1200));
    let late = limits.answer_heard(&answer(1, Some(1.0), 900), Millis(1300));
    assert_eq!(late, None);
    let late = limits.merge_peer(
        &"p".into(),
        Incarnation(1),
        &stated(&told(), 1300),
        Millis(1300),
    );
    assert_eq!(late, []);
}

/// A node that starts learns of a limit from its peers. Once the limit has ended, a peer that does
/// not know it yet does not bring it back.
#[test]
fn stale_statement() {
    let old = told();
    let mut limits = RateLimits::new(NodeName::from("new"));
    let peer = NodeName::from("p");
    let known = limits.merge_peer(&peer, Incarnation(1), &stated(&old, 1200), Millis(5200));
    assert_eq!(known.len(), 1);
    limits.answer_heard(&answer(1, None, 5300), Millis(5400));
    let again = limits.merge_peer(&peer, Incarnation(1), &stated(&old, 1500), Millis(5500));
    assert_eq!((again.len(), limits.count()), (0, 0));
    // After the end is forgotten, the statement is too old to count.
    limits.trim(&Fleet::default(), Millis(60_000));
    let again = limits.merge_peer(&peer, Incarnation(1), &stated(&old, 56_000), Millis(60_000));
    assert_eq!((again.len(), limits.count()), (0, 0));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// The rule holds for any number of nodes, rate and demand, also if digests are lost.
    #[test]
    fn any_load(
        count in 1..16_usize,
        rate in 0.0..40.0_f64,
        factor in 0.2..60.0_f64,
        one_node in any::<bool>(),
        loss in 0.0..0.2_f64,
        seed in any::<u64>(),
    ) {
        check(count, rate, rate * factor, one_node, loss, seed);
    }
}

/// Two minutes without requests after a limit of zero had ended, requests were still blocked:
/// what the nodes had sent too much at a rate of 1,000 counted as a debt at the least rate.
#[test]
fn ends_without_traffic() {
    for (count, rate) in [(1, 0.0), (3, 0.0), (12, 0.0), (12, 1000.0)] {
        let mut nodes = Nodes::new(count, rate, 1);
        nodes.run(10_000, |_| 300.0);
        nodes.rate = Some(0.0);
        nodes.run(10_000, |_| 300.0);
        nodes.rate = None;
        nodes.run(120_000, |_| 0.0);
        nodes.run(10_000, |_| 5.0);
        let from = nodes.now;
        nodes.run(10_000, |_| 5.0);
        let (sent, asked) = (nodes.count(from, nodes.now), 50.0 * as_number(count));
        assert!(
            sent > 0.8 * asked,
            "{sent} of {asked}, {count} nodes, {rate}"
        );
    }
}

/// The same while only one node of twelve sends requests.
#[test]
fn ends_for_one_node() {
    let mut nodes = Nodes::new(12, 0.0, 1);
    nodes.run(10_000, |_| 5.0);
    nodes.rate = None;
    nodes.run(10_000, |node| if node == 3 { 5.0 } else { 0.0 });
    let from = nodes.now;
    nodes.run(10_000, |node| if node == 3 { 5.0 } else { 0.0 });
    let sent = nodes.count(from, nodes.now);
    assert!(sent > 35.0, "{sent} of about 50");
}

fn as_number(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}
