use std::collections::BTreeMap;

use cumin_retry::{
    AttemptEnd, Candidate, Quarantine, QuarantineOptions, QuarantineRecord, Verdict,
};
use cumin_types::{Fingerprint, Millis, NodeName};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{endpoint, fingerprint};

const NODES: usize = 4;
const ENDPOINTS: usize = 20;
const HARMLESS_COUNT: u64 = 200;
const POISON_SENDS: u32 = 20;
const TICK_MS: u64 = 10;
const POISON_ID: u64 = 1_000_000;
const DEADLINE_MS: u64 = 60_000;

#[derive(Clone, Copy)]
enum JobState {
    /// Selects an endpoint at this time.
    Waiting(u64),
    /// Runs at an endpoint until this time.
    Running(usize, u64),
}

struct Job {
    fingerprint: Fingerprint,
    node: usize,
    state: JobState,
    duration: u64,
    deadline: u64,
}

struct Cluster {
    rng: ChaCha8Rng,
    nodes: Vec<Quarantine>,
    alive: Vec<bool>,
    /// Running requests per endpoint at the last load report.
    reported: Vec<u32>,
    jobs: BTreeMap<u64, Job>,
    in_transit: Vec<(u64, usize, Vec<QuarantineRecord>)>,
    now: u64,
    crashes: u32,
    done: u64,
    failed: Vec<u64>,
    rejected: u32,
}

impl Cluster {
    fn new(seed: u64) -> Self {
        let node = |index| {
            Quarantine::new(QuarantineOptions {
                node: NodeName::from(format!("n{index}")),
                ..QuarantineOptions::default()
            })
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..NODES).map(node).collect(),
            alive: vec![true; ENDPOINTS],
            reported: vec![0; ENDPOINTS],
            jobs: BTreeMap::new(),
            in_transit: Vec::new(),
            now: 0,
            crashes: 0,
            done: 0,
            failed: Vec::new(),
            rejected: 0,
        }
    }

    fn send(&mut self, id: u64, fingerprint: Fingerprint, duration: u64) {
        let job = Job {
            fingerprint,
            node: self.rng.random_range(0..NODES),
            state: JobState::Waiting(self.now),
            duration,
            deadline: self.now + DEADLINE_MS,
        };
        self.jobs.insert(id, job);
    }

    /// Returns the number of requests at an endpoint as known to the node: the larger of the last
    /// report and its own count.
    fn running(&self, node: usize, index: usize) -> u32 {
        let own = self
            .jobs
            .values()
            .filter(|job| job.node == node)
            .filter(|job| matches!(job.state, JobState::Running(at, _) if at == index))
            .count();
        self.reported[index].max(u32::try_from(own).expect("small"))
    }

    fn select(&mut self, node: usize, fingerprint: &Fingerprint, left: u64) -> Option<usize> {
        let now = Millis(self.now);
        let live: Vec<usize> = (0..ENDPOINTS).filter(|index| self.alive[*index]).collect();
        match self.nodes[node].check(fingerprint, now) {
            Verdict::Clear => {
                let reserved = self.nodes[node].reserved_endpoints(now);
                let free: Vec<usize> = live
                    .into_iter()
                    .filter(|index| !reserved.contains(&endpoint(*index)))
                    .collect();
                let pair: Vec<&usize> = free.choose_multiple(&mut self.rng, 2).collect();
                pair.into_iter()
                    .copied()
                    .min_by_key(|index| self.running(node, *index))
            }
            Verdict::Suspect { .. } => {
                let candidates: Vec<Candidate> = live
                    .iter()
                    .map(|index| Candidate {
                        endpoint: endpoint(*index),
                        running: self.running(node, *index),
                    })
                    .collect();
                let (left, estimate) = (Millis(left), Millis(1500));
                let selection =
                    self.nodes[node].select_endpoint(fingerprint, &candidates, left, estimate, now);
                let chosen = selection.endpoint()?;
                live.into_iter().find(|index| endpoint(*index) == *chosen)
            }
            Verdict::Hold { .. } => None,
            Verdict::Rejected(_) => unreachable!("dispatch checks for rejections first"),
        }
    }

    fn dispatch(&mut self, id: u64) {
        let now = self.now;
        let Job {
            fingerprint,
            node,
            duration,
            deadline,
            ..
        } = self.jobs[&id];
        if now >= deadline {
            self.jobs.remove(&id);
            self.failed.push(id);
            return;
        }
        if let Verdict::Rejected(_) = self.nodes[node].check(&fingerprint, Millis(now)) {
            self.jobs.remove(&id);
            if id >= POISON_ID {
                self.rejected += 1;
            } else {
                self.failed.push(id);
            }
            return;
        }
        let state = match self.select(node, &fingerprint, deadline - now) {
            Some(index) => {
                self.nodes[node].attempt_started(&fingerprint, &endpoint(index));
                JobState::Running(index, now + duration)
            }
            None => JobState::Waiting(now + 50),
        };
        self.jobs.get_mut(&id).expect("a job").state = state;
    }

    fn crash(&mut self, index: usize) {
        self.alive[index] = false;
        self.crashes += 1;
        for node in 0..NODES {
            let interrupted: Vec<u64> = self
                .jobs
                .iter()
                .filter(|(_, job)| job.node == node)
                .filter(|(_, job)| matches!(job.state, JobState::Running(at, _) if at == index))
                .map(|(id, _)| *id)
                .collect();
            if !interrupted.is_empty() {
                self.nodes[node].endpoint_crashed(&endpoint(index), Millis(self.now));
            }
            for id in interrupted {
                self.jobs.get_mut(&id).expect("a job").state = JobState::Waiting(self.now + 20);
            }
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        let now = self.now;
        if now.is_multiple_of(200) {
            for index in 0..ENDPOINTS {
                let at = |job: &&Job| matches!(job.state, JobState::Running(at, _) if at == index);
                let count = self.jobs.values().filter(at).count();
                self.reported[index] = u32::try_from(count).expect("small");
            }
            for from in 0..NODES {
                let to = (from + self.rng.random_range(1..NODES)) % NODES;
                let records = self.nodes[from].gossip(Millis(now));
                if self.rng.random_bool(0.8) {
                    let at = now + self.rng.random_range(10..200);
                    self.in_transit.push((at, to, records));
                }
            }
        }
        for (_, to, records) in self.in_transit.extract_if(.., |(at, ..)| *at <= now) {
            self.nodes[to].merge(&records, Millis(now));
        }
        for id in self.jobs.keys().copied().collect::<Vec<u64>>() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            match job.state {
                JobState::Waiting(until) if until <= now => self.dispatch(id),
                JobState::Running(index, until) if until <= now => {
                    if id >= POISON_ID {
                        self.crash(index);
                    } else {
                        let (node, fingerprint) = (job.node, job.fingerprint);
                        self.nodes[node].attempt_ended(
                            &fingerprint,
                            &endpoint(index),
                            AttemptEnd::Done,
                            Millis(now),
                        );
                        self.jobs.remove(&id);
                        self.done += 1;
                    }
                }
                _ => {}
            }
        }
    }
}

struct Outcome {
    crashes: u32,
    done: u64,
    failed: Vec<u64>,
    rejected: u32,
    longest: u64,
}

/// Runs 200 harmless requests that arrive within `span` ms, and one poison request whose caller
/// sends it again as soon as it gets an answer.
fn run(seed: u64, span: u64) -> Outcome {
    let mut cluster = Cluster::new(seed);
    let mut arrivals: Vec<u64> = (0..HARMLESS_COUNT)
        .map(|_| cluster.rng.random_range(0..span))
        .collect();
    arrivals.sort_unstable();
    let first = cluster.rng.random_range(0..span);
    let mut sent = 0;
    let mut next = 0;
    let mut longest = 0;
    while cluster.now < 200_000 {
        while next < arrivals.len() && arrivals[next] <= cluster.now {
            let duration = cluster.rng.random_range(300..1500);
            cluster.send(next as u64, fingerprint(next as u64), duration);
            next += 1;
        }
        let pending = cluster.jobs.keys().any(|id| *id >= POISON_ID);
        if cluster.now >= first && sent < POISON_SENDS && !pending {
            let duration = cluster.rng.random_range(50..300);
            cluster.send(
                POISON_ID + u64::from(sent),
                fingerprint(POISON_ID),
                duration,
            );
            sent += 1;
        }
        if next == arrivals.len() && sent == POISON_SENDS && cluster.jobs.is_empty() {
            break;
        }
        cluster.tick();
        let age = |job: &Job| cluster.now + DEADLINE_MS - job.deadline;
        longest = cluster
            .jobs
            .values()
            .map(age)
            .max()
            .unwrap_or(0)
            .max(longest);
    }
    Outcome {
        crashes: cluster.crashes,
        done: cluster.done,
        failed: cluster.failed,
        rejected: cluster.rejected,
        longest,
    }
}

/// Guards against a poison request that crashes the whole fleet: it crashes at most 3 of 20
/// endpoints, every harmless request completes, and every resent poison request gets an answer.
#[test]
fn poison_crashes_are_bounded() {
    for span in [500, 2000, 5000, 20_000] {
        let mut counts = BTreeMap::<u32, u32>::new();
        let mut longest = 0;
        for seed in 0..30 {
            let outcome = run(seed, span);
            *counts.entry(outcome.crashes).or_default() += 1;
            longest = outcome.longest.max(longest);
            assert!(
                outcome.crashes <= 3,
                "seed {seed}, span {span} ms: {} crashes",
                outcome.crashes
            );
            assert_eq!(outcome.failed, [0; 0], "seed {seed}, span {span} ms");
            assert_eq!(outcome.done, HARMLESS_COUNT, "seed {seed}, span {span} ms");
            assert_eq!(
                outcome.rejected, POISON_SENDS,
                "seed {seed}, span {span} ms"
            );
        }
        println!(
            "arrivals over {span} ms: runs by crashes {counts:?}, longest request {longest} ms"
        );
    }
}
