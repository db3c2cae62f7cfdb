//! Simulated network with seeded loss, delay, crashes, pauses and partitions.
#![allow(dead_code, missing_docs)] // the example and the tests each use only a part

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cumin_member::{
    CallId, Effect, Event, Item, Member, Membership, Message, Options, Seed, Status,
};
use cumin_types::{Incarnation, Millis, NodeName};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Wall clock at the start of the simulation.
const WALL_START_MS: u64 = 1_796_000_000_000;
const TICK_MS: u64 = 50;
/// Time after which the driver reports an unanswered call as failed.
const CALL_TIMEOUT_MS: u64 = 1_000;

pub struct Node {
    pub membership: Membership,
    pub up: bool,
    /// Side of the partition; nodes reach only those on the same side.
    pub side: u8,
    pub events: Vec<(u64, Event)>,
    started_at: u64,
    starts: u64,
    paused_until: u64,
    rng: ChaCha8Rng,
}

#[derive(Clone)]
enum Step {
    Tick {
        node: usize,
        starts: u64,
    },
    Request {
        path: Vec<(usize, u64)>,
        to: SocketAddr,
        relay: Option<SocketAddr>,
        call: CallId,
        message: Message,
    },
    Answer {
        path: Vec<(usize, u64)>,
        by: usize,
        call: CallId,
        message: Message,
    },
    Fail {
        node: usize,
        starts: u64,
        call: CallId,
    },
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Maximum one-way delay in milliseconds.
    pub max_delay: u64,
    /// Whether processes start with the platform's list too, which has every node that ever ran.
    pub platform_list: bool,
    /// Number of reachable nodes that were declared dead.
    pub wrong_deaths: usize,
    pub messages: u64,
    pub bytes: u64,
    pub largest: usize,
    /// Whether to count the bytes of messages as JSON.
    pub count_bytes: bool,
    /// Whether to encode and decode messages, and to measure the processor time of that and of the
    /// state machines.
    pub measure_cpu: bool,
    pub cpu_time: Duration,
    queue: BTreeMap<(u64, u64), Step>,
    serial: u64,
    rng: ChaCha8Rng,
    seed: u64,
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(index).expect("few nodes").to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7001))
}

fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("simulated addresses are IPv4")
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

pub fn name(index: usize) -> NodeName {
    NodeName::from(format!("entry-{index:03}"))
}

pub fn item(key: &str, version: u64) -> Item {
    Item {
        key: key.into(),
        version,
        value: serde_json::json!({"state": "leaving"}),
        ttl: 600_000,
    }
}

/// Returns a member in one of six places in two regions.
pub fn member(index: usize, wall: u64) -> Member {
    let region = if index % 6 < 3 {
        "waikato"
    } else {
        "steiermark"
    };
    let caller = SocketAddr::new(address(index).ip(), 7000);
    Member {
        name: name(index),
        place: format!("place-{}", index % 6).into(),
        region: region.into(),
        caller,
        rpc: address(index),
        incarnation: Incarnation(wall),
    }
}

impl Net {
    /// Starts `count` nodes with the first three addresses as seeds.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            now: 0,
            nodes: Vec::new(),
            loss: 0.0,
            max_delay: 2,
            platform_list: false,
            wrong_deaths: 0,
            messages: 0,
            bytes: 0,
            largest: 0,
            count_bytes: false,
            measure_cpu: false,
            cpu_time: Duration::ZERO,
            queue: BTreeMap::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seed,
        };
        for _ in 0..count {
            net.add();
        }
        net
    }

    /// Starts `count` nodes and runs until their tables agree.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut net = Self::new(count, seed);
        assert!(
            net.run_until(60_000, Self::agree).is_some(),
            "no agreement: {}",
            net.state()
        );
        net
    }

    pub fn add(&mut self) -> usize {
        let index = self.nodes.len();
        let membership =
            Membership::new(member(index, WALL_START_MS + self.now), Options::default());
        let rng = ChaCha8Rng::seed_from_u64(self.seed ^ (index as u64) << 20);
        let (started_at, events) = (self.now, Vec::new());
        self.nodes.push(Node {
            membership,
            up: false,
            side: 0,
            events,
            started_at,
            starts: 0,
            paused_until: 0,
            rng,
        });
        self.restart(index, 0);
        index
    }

    /// Starts a new process of a node, whose wall clock is `slow` milliseconds behind.
    pub fn restart(&mut self, index: usize, slow: u64) {
        let count = self.nodes.len();
        let node = &mut self.nodes[index];
        node.membership = Membership::new(
            member(index, WALL_START_MS + self.now - slow),
            Options::default(),
        );
        let mut seeds: Vec<Seed> = (0..3).map(|seed| Seed::Address(address(seed))).collect();
        if self.platform_list {
            seeds.extend((0..count).map(|other| Seed::Member(member(other, WALL_START_MS))));
        }
        node.membership.set_seeds(seeds, Millis(0));
        (node.up, node.started_at, node.paused_until) = (true, self.now, 0);
        node.starts += 1;
        node.events.clear();
        let step = Step::Tick {
            node: index,
            starts: node.starts,
        };
        let phase = self.rng.random_range(0..TICK_MS);
        self.schedule(phase, step);
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    pub fn pause(&mut self, index: usize, time: u64) {
        self.nodes[index].paused_until = self.now + time;
    }

    pub fn leave(&mut self, index: usize) {
        let now = self.time(index);
        let effects = self.nodes[index].membership.leave(now);
        self.send(index, effects);
    }

    pub fn publish(&mut self, index: usize, item: Item) {
        let now = self.time(index);
        self.nodes[index]
            .membership
            .publish(item, now)
            .expect("small and new");
    }

    pub fn time(&self, index: usize) -> Millis {
        Millis(self.now - self.nodes[index].started_at)
    }

    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), step) = entry.remove_entry();
            self.now = at;
            self.step(step);
        }
        self.now = end;
    }

    /// Runs until `done` and returns the time taken, or none after `limit`.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(20);
        }
        Some(self.now - start)
    }

    fn schedule(&mut self, delay: u64, step: Step) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), step);
    }

    fn lost(&mut self, from: usize, to: usize) -> bool {
        self.nodes[from].side != self.nodes[to].side || self.rng.random_bool(self.loss)
    }

    fn one_way_delay(&mut self) -> u64 {
        self.rng.random_range(0..=self.max_delay)
    }

    fn count_message(&mut self, message: Message) -> Message {
        self.messages += 1;
        if !self.count_bytes && !self.measure_cpu {
            return message;
        }
        let start = Instant::now();
        let text = serde_json::to_vec(&message).expect("serialises");
        self.bytes += text.len() as u64;
        self.largest = self.largest.max(text.len());
        if !self.measure_cpu {
            return message;
        }
        let message = serde_json::from_slice(&text).expect("parses");
        self.cpu_time += start.elapsed();
        message
    }

    fn send(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            let (call, to, relay, message) = match effect {
                Effect::Probe { call, to, message } | Effect::Push { call, to, message } => {
                    (call, to, None, message)
                }
                Effect::Relay {
                    call,
                    via,
                    address,
                    message,
                    ..
                } => (call, via, Some(address), message),
            };
            let starts = self.nodes[from].starts;
            self.schedule(
                CALL_TIMEOUT_MS,
                Step::Fail {
                    node: from,
                    starts,
                    call,
                },
            );
            self.request(vec![(from, starts)], to, relay, call, message);
        }
    }

    fn request(
        &mut self,
        path: Vec<(usize, u64)>,
        to: SocketAddr,
        relay: Option<SocketAddr>,
        call: CallId,
        message: Message,
    ) {
        let message = self.count_message(message);
        let (from, starts) = path[path.len() - 1];
        let known = index(to) < self.nodes.len();
        if !known || self.lost(from, index(to)) {
            return;
        }
        let delay = self.one_way_delay();
        if self.nodes[index(to)].up {
            self.schedule(
                delay,
                Step::Request {
                    path,
                    to,
                    relay,
                    call,
                    message,
                },
            );
        } else if path.len() == 1 {
            self.schedule(
                delay,
                Step::Fail {
                    node: from,
                    starts,
                    call,
                },
            ); // connection refused
        }
    }

    fn answer(&mut self, mut path: Vec<(usize, u64)>, by: usize, call: CallId, message: Message) {
        let message = self.count_message(message);
        if path.is_empty() || self.lost(by, path[path.len() - 1].0) {
            return;
        }
        let delay = self.one_way_delay();
        path.shrink_to_fit();
        self.schedule(
            delay,
            Step::Answer {
                path,
                by,
                call,
                message,
            },
        );
    }

    fn step(&mut self, step: Step) {
        let node = match &step {
            Step::Tick { node, .. } | Step::Fail { node, .. } => *node,
            Step::Request { to, .. } => index(*to),
            Step::Answer { path, .. } => path[path.len() - 1].0,
        };
        // A paused process handles pending input when it resumes.
        if self.nodes[node].paused_until > self.now {
            let wait = self.nodes[node].paused_until - self.now;
            return self.schedule(wait, step);
        }
        if !self.nodes[node].up {
            return;
        }
        let now = self.time(node);
        let current = self.nodes[node].starts;
        let start = Instant::now();
        match step {
            Step::Tick { node, starts } if starts == current => {
                let each = &mut self.nodes[node];
                let effects = each.membership.tick(now, &mut each.rng);
                self.cpu_time += start.elapsed();
                self.send(node, effects);
                self.schedule(TICK_MS, Step::Tick { node, starts });
            }
            Step::Fail { node, starts, call } if starts == current => {
                self.nodes[node].membership.handle_failure(call, now);
            }
            Step::Request {
                mut path,
                relay: Some(target),
                call,
                message,
                ..
            } => {
                self.nodes[node].membership.handle_relay(&message, now);
                path.push((node, current));
                self.request(path, target, None, call, message);
            }
            Step::Request {
                path,
                relay: None,
                call,
                message,
                ..
            } => {
                let reply = self.nodes[node].membership.handle_probe(message, now);
                self.cpu_time += start.elapsed();
                self.answer(path, node, call, reply);
            }
            Step::Answer {
                mut path,
                call,
                message,
                ..
            } => {
                let (_, starts) = path.pop().expect("checked above");
                if starts != current {
                    return;
                }
                if path.is_empty() {
                    let effects = self.nodes[node]
                        .membership
                        .handle_answer(call, &message, now);
                    self.cpu_time += start.elapsed();
                    self.send(node, effects);
                } else {
                    self.answer(path, node, call, message);
                }
            }
            Step::Tick { .. } | Step::Fail { .. } => {}
        }
        let at = self.now;
        let each = &mut self.nodes[node];
        each.events.extend(
            each.membership
                .take_events()
                .into_iter()
                .map(|event| (at, event)),
        );
    }

    /// Returns the nodes that run and are not leaving.
    pub fn serving(&self) -> Vec<usize> {
        let serves = |index: &usize| {
            let node = &self.nodes[*index];
            let status = node
                .membership
                .record(&name(*index))
                .map(|record| record.status);
            node.up && status == Some(Status::Alive)
        };
        (0..self.nodes.len()).filter(serves).collect()
    }

    /// Returns whether all serving nodes have the same table, in which exactly these nodes are live.
    pub fn agree(&self) -> bool {
        let serving = self.serving();
        self.agree_among(&serving)
    }

    pub fn agree_among(&self, group: &[usize]) -> bool {
        let digest = self.nodes[group[0]].membership.digest();
        group.iter().all(|index| {
            let membership = &self.nodes[*index].membership;
            let suspects = membership
                .records()
                .any(|record| record.status == Status::Suspect);
            membership.digest() == digest
                && !suspects
                && membership.trusted(self.time(*index))
                && membership.live().count() == group.len()
                && group
                    .iter()
                    .all(|other| self.seen_status(*index, *other) == Some(Status::Alive))
        })
    }

    /// Returns the status that node `by` has of node `of`.
    pub fn seen_status(&self, by: usize, of: usize) -> Option<Status> {
        self.nodes[by]
            .membership
            .record(&name(of))
            .map(|record| record.status)
    }

    /// Returns whether the status of a node satisfies `wanted` at all other serving nodes.
    pub fn all_see(&self, of: usize, wanted: impl Fn(Option<Status>) -> bool) -> bool {
        self.serving()
            .iter()
            .filter(|by| **by != of)
            .all(|by| wanted(self.seen_status(*by, of)))
    }

    pub fn all_have(&self, key: &str, version: u64) -> bool {
        let has = |membership: &Membership| {
            membership
                .item(key)
                .is_some_and(|item| item.version >= version)
        };
        self.serving()
            .iter()
            .all(|index| has(&self.nodes[*index].membership))
    }

    pub fn deaths(&self, by: usize) -> usize {
        let dead = |(_, event): &&(u64, Event)| matches!(event, Event::Dead { .. });
        self.nodes[by].events.iter().filter(dead).count()
    }

    /// Lists the members that are not alive in each serving node's view, for assertion messages.
    pub fn state(&self) -> String {
        let mut text = format!("at {} ms, {} serving", self.now, self.serving().len());
        for index in self.serving() {
            let membership = &self.nodes[index].membership;
            let not_alive = membership
                .records()
                .filter(|record| record.status != Status::Alive);
            let not_alive: Vec<String> = not_alive
                .map(|record| format!("{} {}", record.member.name, record.status))
                .collect();
            let (live, trusted) = (
                membership.live().count(),
                membership.trusted(self.time(index)),
            );
            let digest = membership.digest();
            write!(
                text,
                "\n{index}: live={live} trusted={trusted} digest={digest:x} {not_alive:?}"
            )
            .expect("writing to a string");
        }
        text.chars().take(6_000).collect()
    }
}
