//! Simulation of entries that send requests to the engines of one service.
//!
//! Engines are one pool of slots. A request that is sent while no slot is free waits in front of
//! them, in order of arrival. Each entry knows its own requests and the last digest of each other.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::fmt;

use cumin_entry::suspects::Fingerprint;
use cumin_entry::waiting::{
    Capacity, WaitDecision, WaitEnd, WaitNumber, WaitOptions, WaitRequest, Waiting,
};
use cumin_types::{Millis, NodeName, Organisation};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::engines;

/// Number of organisations.
const ORGS: usize = 16;

/// Time between two digests, and for which what they state counts.
const DIGEST: Millis = Millis(250);
const DIGEST_TTL: Millis = Millis(1000);

/// Time between two releases of waiting requests.
const RELEASE: u64 = 25;

/// Requests a second at the usual load, mean time in a slot, goal and deadline of each rank.
const KINDS: [(f64, u64, u64, u64); 3] = [
    (32.0, 6000, 400, 15_000),
    (149.0, 1200, 500, 3000),
    (136.0, 1400, 1200, 5000),
];

/// Time to the first event from which a prompt counts as large, in milliseconds.
const LARGE_FIRST: u64 = 200;

/// Time until engines notice that a connection is closed, in milliseconds.
const NOTICE: u64 = 200;

/// Slots of all engines, and the part of them that the usual load occupies.
const SLOTS: u32 = 640;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct SimOptions {
    pub seed: u64,
    pub entries: usize,
    /// Factor of the whole demand, where 1.0 is the capacity.
    pub load: f64,
    /// Factor during a time.
    pub rise: Option<(f64, Millis, Millis)>,
    /// Time for which half of the engines are gone.
    pub half_gone: Option<(Millis, Millis)>,
    /// Organisations that ask for 7.5 times their usual from 5 s on.
    pub surges: Vec<usize>,
    pub rank_factors: [f64; 3],
    /// Part of the callers that retry at once, up to 3 times.
    pub retrying: f64,
    /// Part of the digests that are lost.
    pub loss: f64,
    pub restarts: bool,
    pub duration: Millis,
}

impl Default for SimOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 26,
            load: 0.9,
            rise: None,
            half_gone: None,
            surges: Vec::new(),
            rank_factors: [1.0; 3],
            retrying: 0.0,
            loss: 0.1,
            restarts: false,
            duration: Millis(12_000),
        }
    }
}

/// Requests of a rank or an organisation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub offered: u32,
    pub served: u32,
    pub late: u32,
}

impl Count {
    pub fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    pub all: Count,
    pub ranks: [Count; 3],
    pub orgs: [Count; ORGS],
    /// Requests of each rank with large prompts, about a tenth.
    pub large: [Count; 3],
    /// Mean part of the slots that were in use.
    pub used: f64,
    /// Requests that found no free slot at the engines.
    pub queued: u32,
}

impl Outcome {
    /// Returns the share of the served requests whose first event came after the goal.
    pub fn late_share(&self) -> f64 {
        f64::from(self.all.late) / f64::from(self.all.served.max(1))
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ranks = self.ranks.iter().enumerate();
        for (rank, count) in ranks {
            let large = self.large[rank].share();
            writeln!(
                f,
                "rank {rank}: {:.3} large {large:.3} {count:?}",
                count.share()
            )?;
        }
        let shares = self
            .orgs
            .iter()
            .map(|count| format!("{:.2}", count.share()));
        let shares: Vec<String> = shares.collect();
        writeln!(f, "organisations: {}", shares.join(" "))?;
        write!(
            f,
            "all: {:.3} {:?} used {:.3} queued {}",
            self.all.share(),
            self.all,
            self.used,
            self.queued
        )
    }
}

#[derive(Clone, Debug)]
struct Job {
    org: usize,
    rank: usize,
    hold: u64,
    first: u64,
    estimate_us: u64,
    arrived: u64,
    fingerprint: Fingerprint,
    tries: u32,
    entry: usize,
    /// Number of the entry's start.
    life: u32,
}

struct Entry {
    name: NodeName,
    life: u32,
    waiting: Waiting,
    jobs: HashMap<WaitNumber, Job>,
    running: u32,
    /// Running requests in the last digest of each peer.
    peers: BTreeMap<usize, (u32, u64)>,
}

enum Event {
    Arrival(Job),
    End(Job, u64),
}

pub struct Sim {
    options: SimOptions,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    contents: HashMap<u64, Event>,
    next: u64,
    /// Requests in slots, and those that wait in front of them.
    busy: u32,
    backlog: VecDeque<(Job, u64)>,
    outcome: Outcome,
    usage: f64,
}

fn entry(index: usize, life: u32) -> Entry {
    let name = NodeName::from(format!("n{index}").as_str());
    let mut waiting = Waiting::new(&name, WaitOptions::default());
    waiting.set_services(&BTreeSet::from([engines()]));
    Entry {
        name,
        life,
        waiting,
        jobs: HashMap::new(),
        running: 0,
        peers: BTreeMap::new(),
    }
}

impl Sim {
    pub fn new(options: SimOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            entries: (0..options.entries).map(|index| entry(index, 0)).collect(),
            options,
            events: BinaryHeap::new(),
            contents: HashMap::new(),
            next: 0,
            busy: 0,
            backlog: VecDeque::new(),
            outcome: Outcome::default(),
            usage: 0.0,
        }
    }

    pub fn run(mut self) -> Outcome {
        self.arrivals();
        let mut next_restart = 2000;
        for now in 0..self.options.duration.0 {
            while let Some(Reverse((at, number))) = self.events.peek().copied() {
                if at > now {
                    break;
                }
                self.events.pop();
                match self.contents.remove(&number) {
                    Some(Event::Arrival(job)) => self.arrive(job, now),
                    Some(Event::End(job, sent)) => self.end(&job, sent, now),
                    None => {}
                }
            }
            for index in 0..self.entries.len() {
                let offset = index as u64 * 7;
                if (now + offset).is_multiple_of(DIGEST.0) {
                    self.send_digest(index, now);
                }
                if (now + offset).is_multiple_of(RELEASE) {
                    self.release(index, now);
                }
            }
            if self.options.restarts && now == next_restart {
                next_restart += 1500;
                let index = self.rng.random_range(0..self.entries.len());
                self.restart(index, now);
            }
            self.start_backlog(now);
            self.usage += f64::from(self.busy) / f64::from(SLOTS);
        }
        #[expect(clippy::cast_precision_loss, reason = "a short time")]
        let duration = self.options.duration.0 as f64;
        self.outcome.used = self.usage / duration;
        self.outcome
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.contents.insert(self.next, event);
    }

    /// Returns the demand for slots at a factor of 1.
    fn usual_slots() -> f64 {
        let kinds = KINDS.iter();
        kinds
            .map(|(rate, hold, ..)| rate * f64::from(u32::try_from(*hold).unwrap()) / 1000.0)
            .sum()
    }

    /// Draws all arrivals.
    fn arrivals(&mut self) {
        let scale = f64::from(SLOTS) / Self::usual_slots();
        let sizes: Vec<f64> = (0..ORGS)
            .map(|org| match org {
                0 => 5.0,
                1 | 2 => 3.0,
                _ => 1.0,
            })
            .collect();
        let total: f64 = sizes.iter().sum();
        for (rank, (rate, hold, ..)) in KINDS.iter().enumerate() {
            for (org, size) in sizes.iter().enumerate() {
                for now in 0..self.options.duration.0 {
                    let mut factor = self.options.load * self.options.rank_factors[rank];
                    if let Some((rise, from, until)) = self.options.rise
                        && (from.0..until.0).contains(&now)
                    {
                        factor *= rise;
                    }
                    if self.options.surges.contains(&org) && now >= 5000 {
                        factor *= 7.5;
                    }
                    let chance = rate * scale * factor * size / total / 1000.0;
                    if self.rng.random_bool(chance.min(1.0)) {
                        let job = self.job(org, rank, *hold, now);
                        self.push(now, Event::Arrival(job));
                    }
                }
            }
        }
    }

    fn job(&mut self, org: usize, rank: usize, hold: u64, now: u64) -> Job {
        let hold = self.rng.random_range(hold / 4..=hold * 7 / 4);
        let error = self.rng.random_range(60..=160);
        let body = self.rng.random::<[u8; 8]>();
        Job {
            org,
            rank,
            hold,
            first: if self.rng.random_bool(0.1) {
                self.rng.random_range(LARGE_FIRST..=300)
            } else {
                self.rng.random_range(30..=150)
            },
            estimate_us: hold * 10 * error,
            arrived: now,
            fingerprint: Fingerprint::new("", "", &body),
            tries: 0,
            entry: self.rng.random_range(0..self.entries.len()),
            life: 0,
        }
    }

    fn slots(&self, now: u64) -> u32 {
        match self.options.half_gone {
            Some((from, until)) if (from.0..until.0).contains(&now) => SLOTS / 2,
            _ => SLOTS,
        }
    }

    fn observe(&mut self, index: usize, now: u64) {
        let slots = f64::from(self.slots(now));
        let entry = &mut self.entries[index];
        if entry.waiting.needs_capacity(&engines(), Millis(now)) {
            let fresh = entry.peers.values();
            let fresh = fresh.filter(|(_, at)| now - at < DIGEST_TTL.0);
            let (nodes, running) = fresh.fold((1, entry.running), |(nodes, sum), (running, _)| {
                (nodes + 1, sum + running)
            });
            let free = (slots - f64::from(running)).max(0.0);
            let capacity = Capacity { slots, free };
            entry
                .waiting
                .observe(&engines(), capacity, nodes, Millis(now));
        }
    }

    fn arrive(&mut self, mut job: Job, now: u64) {
        let index = job.entry;
        job.life = self.entries[index].life;
        self.observe(index, now);
        if job.tries == 0 {
            self.outcome.all.offered += 1;
            self.outcome.ranks[job.rank].offered += 1;
            self.outcome.orgs[job.org].offered += 1;
            self.outcome.large[job.rank].offered += u32::from(job.first >= LARGE_FIRST);
        }
        let (_, _, goal, deadline) = KINDS[job.rank];
        let request = WaitRequest {
            org: Organisation::from(format!("org{}", job.org).as_str()),
            rank: u8::try_from(job.rank).unwrap(),
            work_us: job.estimate_us,
            first: Millis(job.first),
            goal: Millis(now + goal),
            deadline: Millis(now + deadline),
            fingerprint: job.fingerprint,
        };
        job.arrived = now;
        let waiting = &mut self.entries[index].waiting;
        match waiting.decide(&engines(), request, None, Millis(now)) {
            WaitDecision::Send { .. } => self.send(job, now),
            WaitDecision::Wait { number, .. } => {
                self.entries[index].jobs.insert(number, job);
            }
            WaitDecision::Refuse { .. } => self.refused(job, now),
        }
    }

    fn refused(&mut self, mut job: Job, now: u64) {
        let retries =
            u64::from(job.fingerprint_hash()) % 100 < retry_percent(self.options.retrying);
        if retries && job.tries < 3 {
            job.tries += 1;
            self.push(now + 5, Event::Arrival(job));
        }
    }

    fn send(&mut self, job: Job, now: u64) {
        let entry = &mut self.entries[job.entry];
        entry.waiting.sent(&engines());
        entry.running += 1;
        if self.busy >= self.slots(now) {
            self.outcome.queued += 1;
        }
        self.backlog.push_back((job, now));
        self.start_backlog(now);
    }

    fn start_backlog(&mut self, now: u64) {
        while self.busy < self.slots(now)
            && let Some((job, sent)) = self.backlog.pop_front()
        {
            self.busy += 1;
            let late = now + job.first > job.arrived + KINDS[job.rank].2;
            let counts = [
                &mut self.outcome.all,
                &mut self.outcome.ranks[job.rank],
                &mut self.outcome.orgs[job.org],
            ];
            for count in counts {
                count.served += 1;
                count.late += u32::from(late);
            }
            self.outcome.large[job.rank].served += u32::from(job.first >= LARGE_FIRST);
            self.push(now + job.hold, Event::End(job, sent));
        }
    }

    fn end(&mut self, job: &Job, sent: u64, now: u64) {
        self.busy -= 1;
        let entry = &mut self.entries[job.entry];
        if entry.life == job.life {
            entry.running -= 1;
            let held = Millis(now - sent);
            entry.waiting.ended(&engines(), held);
            self.release(job.entry, now);
        }
    }

    fn release(&mut self, index: usize, now: u64) {
        if self.entries[index].jobs.is_empty() {
            return;
        }
        self.observe(index, now);
        let ended = self.entries[index].waiting.release(Millis(now));
        for (number, end) in ended {
            let job = self.entries[index].jobs.remove(&number).unwrap();
            match end {
                WaitEnd::Send { .. } => self.send(job, now),
                WaitEnd::Refuse { .. } => self.refused(job, now),
            }
        }
    }

    fn send_digest(&mut self, index: usize, now: u64) {
        let entry = &self.entries[index];
        let (name, running) = (entry.name.clone(), entry.running);
        let stated = entry.waiting.stated();
        for other in 0..self.entries.len() {
            if other != index && !self.rng.random_bool(self.options.loss) {
                let peer = &mut self.entries[other];
                peer.peers.insert(index, (running, now));
                peer.waiting.merge_peer(&name, &stated, Millis(now));
            }
        }
    }

    /// Starts an entry again: its waiting requests have not run, and engines end its running ones
    /// when they notice that their connections are closed.
    fn restart(&mut self, index: usize, now: u64) {
        let life = self.entries[index].life + 1;
        self.entries[index] = entry(index, life);
        let is_its = |event: &Event| matches!(event, Event::End(job, _) if job.entry == index);
        let contents = self.contents.iter();
        let numbers = contents.filter(|(_, event)| is_its(event));
        let mut numbers: Vec<u64> = numbers.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        for number in numbers {
            if let Some(event) = self.contents.remove(&number) {
                self.push(now + NOTICE, event);
            }
        }
    }
}

impl Job {
    fn fingerprint_hash(&self) -> u32 {
        u32::try_from(self.estimate_us % 1_000_003).unwrap()
    }
}

fn retry_percent(part: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share from 0 to 1"
    )]
    let percent = (part * 100.0) as u64;
    percent
}
