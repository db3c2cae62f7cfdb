//! Nodes on a simulated network: seeded loss, delay, crash, pause and partition.
#![allow(dead_code, missing_docs)] // the example uses another part of it than the tests

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cumin_member::{Call, Effect, Event, Item, Member, Membership, Message, Options, Seed, Status};
use cumin_types::{Incarnation, Millis, NodeName};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Wall clock at the start of the simulation.
const WALL: u64 = 1_796_000_000_000;
/// Time between ticks.
const TICK: u64 = 50;
/// The shell gives a call up after this time.
const GIVE_UP: u64 = 1_000;

pub struct Node {
    pub machine: Membership,
    pub up: bool,
    /// Which side of a partition it is on.
    pub side: u8,
    pub events: Vec<(u64, Event)>,
    born: u64,
    life: u64,
    paused: u64,
    rng: ChaCha8Rng,
}

#[derive(Clone)]
enum Step {
    Tick {
        node: usize,
        life: u64,
    },
    Request {
        path: Vec<(usize, u64)>,
        to: SocketAddr,
        relay: Option<SocketAddr>,
        call: Call,
        message: Message,
    },
    Answer {
        path: Vec<(usize, u64)>,
        by: usize,
        call: Call,
        message: Message,
    },
    Fail {
        node: usize,
        life: u64,
        call: Call,
    },
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Share of messages lost.
    pub loss: f64,
    /// Longest one-way delay.
    pub delay: u64,
    /// A process also starts with the platform's list, which has every node there ever was.
    pub listed: bool,
    /// Deaths declared of nodes that ran and could be reached.
    pub wrong: usize,
    pub messages: u64,
    pub bytes: u64,
    pub largest: usize,
    /// Counts the bytes of messages as JSON.
    pub sized: bool,
    /// Sends every message through JSON and counts the processor time of machines and JSON.
    pub measured: bool,
    pub busy: Duration,
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
        panic!("the net uses IPv4")
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

/// Six places in two regions.
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
    /// Starts `count` nodes that know the first three addresses.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            now: 0,
            nodes: Vec::new(),
            loss: 0.0,
            delay: 2,
            listed: false,
            wrong: 0,
            messages: 0,
            bytes: 0,
            largest: 0,
            sized: false,
            measured: false,
            busy: Duration::ZERO,
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

    /// Starts `count` nodes and lets them find each other.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut net = Self::new(count, seed);
        assert!(
            net.until(60_000, Self::agree).is_some(),
            "no agreement: {}",
            net.state()
        );
        net
    }

    pub fn add(&mut self) -> usize {
        let index = self.nodes.len();
        let machine = Membership::new(member(index, WALL + self.now), Options::default());
        let rng = ChaCha8Rng::seed_from_u64(self.seed ^ (index as u64) << 20);
        let (born, events) = (self.now, Vec::new());
        self.nodes.push(Node {
            machine,
            up: false,
            side: 0,
            events,
            born,
            life: 0,
            paused: 0,
            rng,
        });
        self.restart(index, 0);
        index
    }

    /// Starts a new process of a node, whose wall clock is `slow` milliseconds late.
    pub fn restart(&mut self, index: usize, slow: u64) {
        let count = self.nodes.len();
        let node = &mut self.nodes[index];
        node.machine = Membership::new(member(index, WALL + self.now - slow), Options::default());
        let mut seeds: Vec<Seed> = (0..3).map(|seed| Seed::Address(address(seed))).collect();
        if self.listed {
            seeds.extend((0..count).map(|other| Seed::Member(member(other, WALL))));
        }
        node.machine.seeded(seeds, Millis(0));
        (node.up, node.born, node.paused) = (true, self.now, 0);
        node.life += 1;
        node.events.clear();
        let step = Step::Tick {
            node: index,
            life: node.life,
        };
        let phase = self.rng.random_range(0..TICK);
        self.at(phase, step);
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    pub fn pause(&mut self, index: usize, time: u64) {
        self.nodes[index].paused = self.now + time;
    }

    pub fn leave(&mut self, index: usize) {
        let now = self.time(index);
        let effects = self.nodes[index].machine.leave(now);
        self.send(index, effects);
    }

    pub fn publish(&mut self, index: usize, item: Item) {
        let now = self.time(index);
        self.nodes[index]
            .machine
            .publish(item, now)
            .expect("small and new");
    }

    pub fn time(&self, index: usize) -> Millis {
        Millis(self.now - self.nodes[index].born)
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

    /// Runs until `done`, and returns how long that took; none after `limit`.
    pub fn until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= limit {
                return None;
            }
            self.run(20);
        }
        Some(self.now - start)
    }

    fn at(&mut self, delay: u64, step: Step) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), step);
    }

    fn lost(&mut self, from: usize, to: usize) -> bool {
        self.nodes[from].side != self.nodes[to].side || self.rng.random_bool(self.loss)
    }

    fn way(&mut self) -> u64 {
        self.rng.random_range(0..=self.delay)
    }

    fn count(&mut self, message: Message) -> Message {
        self.messages += 1;
        if !self.sized && !self.measured {
            return message;
        }
        let start = Instant::now();
        let text = serde_json::to_vec(&message).expect("serialises");
        self.bytes += text.len() as u64;
        self.largest = self.largest.max(text.len());
        if !self.measured {
            return message;
        }
        let message = serde_json::from_slice(&text).expect("parses");
        self.busy += start.elapsed();
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
            let life = self.nodes[from].life;
            self.at(
                GIVE_UP,
                Step::Fail {
                    node: from,
                    life,
                    call,
                },
            );
            self.request(vec![(from, life)], to, relay, call, message);
        }
    }

    fn request(
        &mut self,
        path: Vec<(usize, u64)>,
        to: SocketAddr,
        relay: Option<SocketAddr>,
        call: Call,
        message: Message,
    ) {
        let message = self.count(message);
        let (from, life) = path[path.len() - 1];
        let known = index(to) < self.nodes.len();
        if !known || self.lost(from, index(to)) {
            return;
        }
        let way = self.way();
        if self.nodes[index(to)].up {
            self.at(
                way,
                Step::Request {
                    path,
                    to,
                    relay,
                    call,
                    message,
                },
            );
        } else if path.len() == 1 {
            self.at(
                way,
                Step::Fail {
                    node: from,
                    life,
                    call,
                },
            ); // refused
        }
    }

    fn answer(&mut self, mut path: Vec<(usize, u64)>, by: usize, call: Call, message: Message) {
        let message = self.count(message);
        if path.is_empty() || self.lost(by, path[path.len() - 1].0) {
            return;
        }
        let way = self.way();
        path.shrink_to_fit();
        self.at(
            way,
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
        // A paused process handles what arrived meanwhile when it runs again.
        if self.nodes[node].paused > self.now {
            let wait = self.nodes[node].paused - self.now;
            return self.at(wait, step);
        }
        if !self.nodes[node].up {
            return;
        }
        let now = self.time(node);
        let current = self.nodes[node].life;
        let start = Instant::now();
        match step {
            Step::Tick { node, life } if life == current => {
                let each = &mut self.nodes[node];
                let effects = each.machine.tick(now, &mut each.rng);
                self.busy += start.elapsed();
                self.send(node, effects);
                self.at(TICK, Step::Tick { node, life });
            }
            Step::Fail { node, life, call } if life == current => {
                self.nodes[node].machine.failed(call, now);
            }
            Step::Request {
                mut path,
                relay: Some(target),
                call,
                message,
                ..
            } => {
                self.nodes[node].machine.relay_asked(&message, now);
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
                let reply = self.nodes[node].machine.probed(message, now);
                self.busy += start.elapsed();
                self.answer(path, node, call, reply);
            }
            Step::Answer {
                mut path,
                call,
                message,
                ..
            } => {
                let (_, life) = path.pop().expect("checked above");
                if life != current {
                    return;
                }
                if path.is_empty() {
                    let effects = self.nodes[node].machine.answered(call, &message, now);
                    self.busy += start.elapsed();
                    self.send(node, effects);
                } else {
                    self.answer(path, node, call, message);
                }
            }
            Step::Tick { .. } | Step::Fail { .. } => {}
        }
        let at = self.now;
        let each = &mut self.nodes[node];
        each.events
            .extend(each.machine.events().into_iter().map(|event| (at, event)));
    }

    /// Nodes that run and are not leaving.
    pub fn serving(&self) -> Vec<usize> {
        let serves = |index: &usize| {
            let node = &self.nodes[*index];
            let status = node
                .machine
                .record(&name(*index))
                .map(|record| record.status);
            node.up && status == Some(Status::Alive)
        };
        (0..self.nodes.len()).filter(serves).collect()
    }

    /// Whether all serving nodes hold the same table, of exactly the serving nodes as live.
    pub fn agree(&self) -> bool {
        let serving = self.serving();
        self.agree_among(&serving)
    }

    pub fn agree_among(&self, group: &[usize]) -> bool {
        let digest = self.nodes[group[0]].machine.digest();
        group.iter().all(|index| {
            let machine = &self.nodes[*index].machine;
            let suspects = machine
                .records()
                .any(|record| record.status == Status::Suspect);
            machine.digest() == digest
                && !suspects
                && machine.trusted(self.time(*index))
                && machine.live().count() == group.len()
                && group
                    .iter()
                    .all(|other| self.holds(*index, *other) == Some(Status::Alive))
        })
    }

    /// What one node believes of another.
    pub fn holds(&self, by: usize, of: usize) -> Option<Status> {
        self.nodes[by]
            .machine
            .record(&name(of))
            .map(|record| record.status)
    }

    /// Whether all other serving nodes believe `wanted` of a node.
    pub fn all_hold(&self, of: usize, wanted: impl Fn(Option<Status>) -> bool) -> bool {
        self.serving()
            .iter()
            .filter(|by| **by != of)
            .all(|by| wanted(self.holds(*by, of)))
    }

    pub fn all_have(&self, key: &str, version: u64) -> bool {
        let has = |machine: &Membership| {
            machine
                .item(key)
                .is_some_and(|item| item.version >= version)
        };
        self.serving()
            .iter()
            .all(|index| has(&self.nodes[*index].machine))
    }

    pub fn deaths(&self, by: usize) -> usize {
        let dead = |(_, event): &&(u64, Event)| matches!(event, Event::Dead { .. });
        self.nodes[by].events.iter().filter(dead).count()
    }

    /// What each serving node believes of whom it does not hold for alive, for failure messages.
    pub fn state(&self) -> String {
        let mut text = format!("at {} ms, {} serving", self.now, self.serving().len());
        for index in self.serving() {
            let machine = &self.nodes[index].machine;
            let odd = machine
                .records()
                .filter(|record| record.status != Status::Alive);
            let odd: Vec<String> = odd
                .map(|record| format!("{} {}", record.member.name, record.status))
                .collect();
            let (live, trusted) = (machine.live().count(), machine.trusted(self.time(index)));
            let digest = machine.digest();
            write!(
                text,
                "\n{index}: live={live} trusted={trusted} digest={digest:x} {odd:?}"
            )
            .expect("a string takes all");
        }
        text.chars().take(6_000).collect()
    }
}
