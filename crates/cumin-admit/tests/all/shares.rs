use cumin_admit::{Amounts, DemandReport, Quota, ShareOptions, Shares};
use cumin_types::{Millis, NodeName, Organisation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LIMIT: f64 = 1000.0;

struct Cluster {
    names: Vec<NodeName>,
    shares: Vec<Shares>,
    /// Reports in flight: arrival time, receiver, sender and report.
    in_flight: Vec<(u64, usize, usize, DemandReport)>,
    org: Organisation,
    quota: Quota,
}

impl Cluster {
    fn new(nodes: usize) -> Self {
        let names: Vec<NodeName> = (0..nodes).map(|i| format!("n{i}").into()).collect();
        let make = |name: &NodeName| Shares::new(ShareOptions::default(), name.clone(), 1000);
        Self {
            shares: names.iter().map(make).collect(),
            names,
            in_flight: Vec::new(),
            org: Organisation::from("bakers"),
            quota: Quota {
                rate: Some(LIMIT),
                ..Quota::default()
            },
        }
    }

    fn report(&mut self, node: usize, wanted: f64) -> DemandReport {
        let wanted = Amounts {
            requests: wanted,
            ..Amounts::default()
        };
        self.shares[node].next_report([(&self.org, &self.quota, wanted)])
    }

    fn deliver(&mut self, live: &[Vec<NodeName>], now: u64) {
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = rest;
        let due: Vec<(u64, usize, usize, DemandReport)> = due;
        for (node, live) in live.iter().enumerate() {
            let reports: Vec<(NodeName, DemandReport)> = due
                .iter()
                .filter(|(_, to, ..)| *to == node)
                .map(|(_, _, from, report)| (self.names[*from].clone(), report.clone()))
                .collect();
            self.shares[node].rebalance(&reports, live, Millis(now));
        }
    }

    fn grant(&self, node: usize) -> f64 {
        let grant = self.shares[node].grant(&self.org, &self.quota);
        grant.requests.expect("a limit")
    }

    fn sum(&self) -> f64 {
        (0..self.names.len()).map(|node| self.grant(node)).sum()
    }
}

fn exchange(cluster: &mut Cluster, wanted: &[f64], rounds: u64, from: u64) {
    let live = vec![cluster.names.clone(); wanted.len()];
    for round in 0..rounds {
        for (node, want) in wanted.iter().enumerate() {
            let report = cluster.report(node, *want);
            for to in (0..wanted.len()).filter(|to| *to != node) {
                cluster.in_flight.push((0, to, node, report.clone()));
            }
        }
        cluster.deliver(&live, from + round);
    }
}

/// Guards against shares that sum to more than the limit when reports are delayed, lost,
/// duplicated or reordered and nodes restart, while all nodes agree on the live nodes.
#[test]
fn shares_within_limit() {
    let mut highest = 0.0_f64;
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = rng.random_range(2..=6);
        let mut cluster = Cluster::new(nodes);
        let loss = rng.random_range(0.0..0.9);
        let delay = rng.random_range(1..=40_u64);
        let live = vec![cluster.names.clone(); nodes];
        cluster.deliver(&live, 0);
        for now in 1..=200_u64 {
            for from in 0..nodes {
                if rng.random_bool(0.5) {
                    continue;
                }
                let wanted = [0.0, 1.0, 100.0, 10_000.0][rng.random_range(0..4)];
                let report = cluster.report(from, wanted);
                for to in (0..nodes).filter(|to| *to != from) {
                    for _ in 0..rng.random_range(1..=2) {
                        if !rng.random_bool(loss) {
                            let at = now + rng.random_range(0..=delay);
                            cluster.in_flight.push((at, to, from, report.clone()));
                        }
                    }
                }
            }
            if rng.random_bool(0.005) {
                let node = rng.random_range(0..nodes);
                let name = cluster.names[node].clone();
                cluster.shares[node] =
                    Shares::new(ShareOptions::default(), name, 1000 + now * 1000);
            }
            cluster.deliver(&live, now * 100);
            cluster
                .in_flight
                .iter_mut()
                .for_each(|report| report.0 += 99);
            let sum = cluster.sum();
            highest = highest.max(sum);
            assert!(sum <= LIMIT * (1.0 + 1e-9), "seed {seed} at {now}: {sum}");
        }
    }
    println!("highest sum of shares: {highest:.3} of {LIMIT}");
    assert!(highest > LIMIT * 0.9, "the schedules never used the limit");
}

/// Guards against a node that keeps a share it does not need while another node needs it.
#[test]
fn shares_follow_demand() {
    let mut cluster = Cluster::new(4);
    exchange(&mut cluster, &[0.0; 4], 5, 0);
    let even = cluster.grant(0);
    exchange(&mut cluster, &[10_000.0, 0.0, 0.0, 0.0], 5, 10);
    println!(
        "even share {even:.0}, share of the busy node {:.0}",
        cluster.grant(0)
    );
    assert!((even - LIMIT / 4.0).abs() < 1.0);
    assert!(cluster.grant(0) > 0.9 * LIMIT);
    exchange(&mut cluster, &[0.0, 10_000.0, 0.0, 0.0], 5, 20);
    assert!(cluster.grant(1) > 0.9 * LIMIT);
    assert!(cluster.grant(0) < 0.1 * LIMIT);
}

/// Guards against a joining node that raises the sum by more than its floor share, and against a
/// join that suspends the shares of the others until the new node reports.
#[test]
fn joining_node_floor() {
    let mut cluster = Cluster::new(4);
    let wanted = [500.0, 500.0, 500.0];
    let names = cluster.names.clone();
    let old = vec![names[..3].to_vec(); 3];
    cluster.deliver(&old, 0);
    for round in 0..5 {
        for (node, want) in wanted.iter().enumerate() {
            let report = cluster.report(node, *want);
            for to in (0..3).filter(|to| *to != node) {
                cluster.in_flight.push((0, to, node, report.clone()));
            }
        }
        cluster.deliver(&old, round);
    }
    let before = cluster.grant(0);
    for live in [
        [&names[..3], &names[..3], &names[..3], &names[..]],
        [&names[..], &names[..3], &names[..], &names[..]],
        [&names[..], &names[..], &names[..], &names[..]],
    ] {
        let live: Vec<Vec<NodeName>> = live.iter().map(|names| names.to_vec()).collect();
        cluster.deliver(&live, 100);
        let floor = ShareOptions::default().floor_fraction;
        assert!(
            cluster.sum() <= LIMIT * (1.0 + floor / 4.0) + 1e-6,
            "{}",
            cluster.sum()
        );
        assert!(cluster.grant(0) > 0.9 * before);
    }
}

/// Guards against a share above the floor while no report of a peer arrives.
#[test]
fn unconfirmed_node_floor() {
    let mut cluster = Cluster::new(4);
    let live = vec![cluster.names.clone(); 4];
    for now in [0, 1000, 60_000] {
        cluster.report(0, 10_000.0);
        cluster.deliver(&live, now);
        let floor = LIMIT * ShareOptions::default().floor_fraction / 4.0;
        assert!((cluster.grant(0) - floor).abs() < 1e-6);
    }
}

/// Guards against shares that stay too high after a network partition. Each side uses the whole
/// limit while it considers the other dead. Once both have seen each other for the join grace, the
/// sum must be within the limit, whatever reports are lost.
#[test]
fn healed_partition_converges() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster::new(4);
        let names = cluster.names.clone();
        let all = vec![names.clone(); 4];
        let split: Vec<Vec<NodeName>> = (0..4)
            .map(|node| names[node / 2 * 2..][..2].to_vec())
            .collect();
        let wanted: [f64; 4] = rng.random();
        let mut halves = 0.0_f64;
        for now in 0..300_u64 {
            let apart = (50..150).contains(&now);
            for (from, part) in wanted.iter().enumerate() {
                let report = cluster.report(from, LIMIT * part);
                for to in (0..4).filter(|to| *to != from && (!apart || to / 2 == from / 2)) {
                    if rng.random_bool(0.5) {
                        let at = (now + rng.random_range(0..10)) * 100;
                        cluster.in_flight.push((at, to, from, report.clone()));
                    }
                }
            }
            cluster.deliver(if apart { &split } else { &all }, now * 100);
            let sum = cluster.sum();
            halves = halves.max(sum);
            let groups = if (50..170).contains(&now) { 2.0 } else { 1.0 };
            assert!(
                sum <= LIMIT * groups * (1.0 + 1e-9),
                "seed {seed} at {now}: {sum}"
            );
        }
        assert!(
            halves > 1.5 * LIMIT,
            "each half goes on with the limit: {halves}"
        );
        assert!(
            cluster.sum() > 0.9 * LIMIT,
            "the healed nodes share the limit again"
        );
    }
}

/// Guards against a share that falls to the floor when a node that has just joined confirms an
/// older report than the others have.
#[test]
fn older_confirmation() {
    let mut cluster = Cluster::new(4);
    let names = cluster.names.clone();
    let old = vec![names[..3].to_vec(); 3];
    let mut first = None;
    for round in 0..5 {
        for node in 0..3 {
            let report = cluster.report(node, 500.0);
            if node == 0 {
                first.get_or_insert(report.clone());
            }
            for to in (0..3).filter(|to| *to != node) {
                cluster.in_flight.push((0, to, node, report.clone()));
            }
        }
        cluster.deliver(&old, round);
    }
    let before = cluster.grant(0);
    let all = vec![names.clone(); 4];
    cluster
        .in_flight
        .push((0, 3, 0, first.expect("the first report")));
    cluster.deliver(&all, 100);
    assert!(!cluster.shares[0].is_settled(&names));
    let late = cluster.report(3, 0.0);
    assert_eq!(late.heard.len(), 1);
    cluster.in_flight.push((0, 0, 3, late));
    let after_grace = 100 + ShareOptions::default().join_grace.0;
    cluster.deliver(&all, after_grace);
    assert!(cluster.shares[0].is_settled(&names));
    assert!(cluster.grant(0) > 0.9 * before, "{}", cluster.grant(0));
}
