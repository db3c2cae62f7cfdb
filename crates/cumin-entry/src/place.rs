//! Chooses an endpoint, or refuses a request that no endpoint can answer in time.
//!
//! Each rule answers a load pattern:
//!
//! * Few large prompts among many small ones: an engine is judged by the tokens that it still has
//!   to read, not by its number of requests.
//! * Many requests about one subject: a prompt goes where its parts are cached, unless the
//!   tokens ahead of it there take longer than reading the parts elsewhere.
//! * Many nodes that see the same idle engine until they hear of each other's requests: what peers
//!   have sent counts, and each request is placed among a few endpoints only, drawn at random,
//!   fewer the more nodes there are.
//! * More work than the engines can take: a request whose first event would come after its goal
//!   is refused at once, with the time after which the tokens ahead will have been read.
//! * An endpoint that swallows requests: one that has said nothing for longer than expected, with
//!   requests unanswered, comes last.

use std::collections::{BTreeMap, HashMap, VecDeque};

use cumin_types::{EndpointName, Millis, Place, Service, score};
use serde::{Deserialize, Serialize};

use crate::engine::EngineModel;
use crate::fleet::{Endpoint, Fleet};

/// A part of a prompt that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Identifier.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a request needs of an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Need {
    /// Prompt tokens; zero for a plain service.
    pub prompt: u64,
    /// Output tokens that are expected.
    pub output: u64,
    /// Parts of the prompt.
    pub parts: Vec<Part>,
    /// Time left until the goal.
    pub goal: Millis,
    /// Time left until the deadline.
    pub left: Millis,
    /// Whether an engine runs it.
    pub engine: bool,
}

/// Settings of [`Placement`].
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceOptions {
    /// The engine's figures.
    pub model: EngineModel,
    /// Place of this node.
    pub place: Place,
    /// Name of this node, for ranks.
    pub node: String,
    /// Penalty for another place, milliseconds: its delay both ways.
    pub far: f64,
    /// Fewest endpoints drawn at random for a request.
    pub least: usize,
    /// An endpoint that says nothing for this long beyond its estimate comes last.
    pub silence: Millis,
    /// Time that an endpoint is left out after a connection failed; doubles up to `longest`.
    pub rest: Millis,
    /// Longest time that an endpoint is left out.
    pub longest: Millis,
    /// Part of the goal that an estimate may take before a request is refused.
    pub patience: f64,
    /// Time a plain service takes, before any was measured, milliseconds.
    pub plain: f64,
    /// Part of the memory of an engine that is expected to hold cached parts.
    pub cached: f64,
}

impl Default for PlaceOptions {
    fn default() -> Self {
        Self {
            model: EngineModel::default(),
            place: Place::from("place"),
            node: "node".into(),
            far: 2.0,
            least: 3,
            silence: Millis(800),
            rest: Millis(500),
            longest: Millis(4000),
            patience: 1.0,
            plain: 50.0,
            cached: 0.6,
        }
    }
}

/// Number of an attempt that this node has in flight.
pub type FlightId = u64;

#[derive(Clone, Debug)]
struct Flight {
    sent: Millis,
    /// Uncached prompt tokens, until the first event.
    unread: f64,
    output: f64,
    /// Whether the answer has begun.
    begun: bool,
    estimate: f64,
}

/// Load of one endpoint as a peer states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerLoad {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens still to be read.
    pub unread: u32,
}

/// Parts that an endpoint is taken to hold, oldest first.
#[derive(Debug, Default)]
struct Cache {
    parts: HashMap<u64, (u32, u64)>,
    order: VecDeque<(u64, u64)>,
    tokens: u64,
    stamp: u64,
}

impl Cache {
    fn touch(&mut self, part: Part, room: u64) {
        self.stamp += 1;
        let old = self.parts.insert(part.id, (part.tokens, self.stamp));
        if old.is_none() {
            self.tokens += u64::from(part.tokens);
        }
        self.order.push_back((part.id, self.stamp));
        while self.tokens > room || self.order.len() > 4 * self.parts.len() + 16 {
            let Some((id, stamp)) = self.order.pop_front() else {
                break;
            };
            if self
                .parts
                .get(&id)
                .is_some_and(|(_, newest)| *newest == stamp)
                && let Some((tokens, _)) = self.parts.remove(&id)
            {
                self.tokens -= u64::from(tokens);
            }
        }
    }

    fn covered(&self, parts: &[Part]) -> u64 {
        let held = parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        held.map(|part| u64::from(part.tokens)).sum()
    }
}

#[derive(Debug, Default)]
struct Load {
    born: u64,
    flights: HashMap<FlightId, Flight>,
    peers: BTreeMap<String, (PeerLoad, Millis)>,
    cache: Cache,
    /// When it last said anything to this node.
    heard: Millis,
    /// When it may be used again after failed connections, and how often they failed.
    out: Option<(Millis, u32)>,
    /// Mean time of a plain request, milliseconds.
    mean: Option<f64>,
}

/// What was decided for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// It goes to an endpoint.
    Use {
        /// The endpoint.
        endpoint: EndpointName,
        /// Estimate of the first event or of the answer, milliseconds.
        estimate: f64,
        /// Prompt tokens taken to be cached there.
        cached: u64,
    },
    /// No endpoint can answer in time.
    Full {
        /// Best estimate, milliseconds.
        estimate: f64,
        /// When to come back.
        again: Millis,
    },
    /// No endpoint takes work.
    Empty,
}

/// A part that was sent to an endpoint, for peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sent {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The part.
    pub part: Part,
}

/// Load and caches of all endpoints, as one node knows them.
#[derive(Debug)]
pub struct Placement {
    options: PlaceOptions,
    loads: BTreeMap<EndpointName, Load>,
    next: FlightId,
    nodes: usize,
    /// Random draws made.
    draws: u64,
    sent: Vec<Sent>,
    /// Engine time asked for, by service.
    asked: BTreeMap<Service, Asked>,
}

/// Engine time that requests ask for, as an exponentially decayed mean.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// Milliseconds, decayed.
    sum: f64,
    /// When the sum was last brought up to date.
    at: Millis,
    /// When the first request came.
    since: Millis,
}

impl Asked {
    fn add(&mut self, work: f64, now: Millis) {
        self.sum = self.sum * decay(self.at, now) + work;
        self.at = now;
    }

    /// Engines kept busy. Soon after the first request, the mean is of the time since then.
    fn rate(&self, now: Millis) -> f64 {
        let seen = now.since(self.since).max(LEAST_DEMAND.0);
        let weight = 1.0 - decay(Millis(0), Millis(seen));
        self.sum * decay(self.at, now) / (DEMAND_SPAN_MS * weight)
    }
}

/// Shortest time over which the demand is taken; a mean over less would follow single requests.
const LEAST_DEMAND: Millis = Millis(1000);

/// Span over which the demand for engine time is measured.
const DEMAND_SPAN_MS: f64 = 5000.0;

/// A peer's statement of load counts for this long: four of its messages.
const PEER_AGE: Millis = Millis(1000);

/// Most parts that wait to be told to peers.
const MOST_SENT: usize = 64;

impl Placement {
    /// Makes a state without load.
    #[must_use]
    pub const fn new(options: PlaceOptions) -> Self {
        Self {
            options,
            loads: BTreeMap::new(),
            next: 0,
            nodes: 1,
            draws: 0,
            sent: Vec::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Chooses among the endpoints of a service, without those in `avoid`.
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        service: &Service,
        need: &Need,
        avoid: &[EndpointName],
        now: Millis,
    ) -> Choice {
        let candidates: Vec<&Endpoint> = fleet
            .usable(service, now)
            .filter(|endpoint| !avoid.contains(&endpoint.name))
            .collect();
        let resting = candidates
            .iter()
            .all(|endpoint| self.resting(&endpoint.name, now));
        let mut open: Vec<&Endpoint> = candidates
            .into_iter()
            .filter(|endpoint| resting || !self.resting(&endpoint.name, now))
            .collect();
        self.sample(&mut open, need);
        let scored = open.iter().map(|endpoint| {
            let (score, estimate, cached) = self.score(endpoint, need, now);
            (score, estimate, cached, *endpoint)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, estimate, cached, endpoint)) = best else {
            return Choice::Empty;
        };
        let limit = millis(need.goal) * self.options.patience;
        if estimate > limit {
            let over = estimate - limit;
            return Choice::Full {
                estimate,
                again: to_millis(over),
            };
        }
        Choice::Use {
            endpoint: endpoint.name.clone(),
            estimate,
            cached,
        }
    }

    /// Takes the number of nodes that place requests, this one included.
    pub fn share(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Leaves a few endpoints to choose from: those that the prompt's subject belongs to, and
    /// others at random.
    fn sample(&mut self, open: &mut Vec<&Endpoint>, need: &Need) {
        let random = (2 * open.len())
            .div_ceil(self.nodes)
            .max(self.options.least);
        self.draws += 1;
        if open.len() <= random + HOMES {
            return;
        }
        let homes = need.parts.iter().rev().nth(1).map_or(0, |_| HOMES);
        if let Some(part) = need.parts.iter().rev().nth(1) {
            let key = part.id.to_le_bytes();
            open.sort_by_cached_key(|e| std::cmp::Reverse(score(&key, e.name.as_str())));
        }
        let key = format!("{}{}", self.options.node, self.draws);
        open[homes..]
            .sort_by_cached_key(|e| std::cmp::Reverse(score(key.as_bytes(), e.name.as_str())));
        open.truncate(homes + random);
    }

    fn resting(&self, name: &EndpointName, now: Millis) -> bool {
        let out = self.loads.get(name).and_then(|load| load.out);
        out.is_some_and(|(until, _)| now < until)
    }

    /// Returns score, estimate and cached tokens.
    fn score(&self, endpoint: &Endpoint, need: &Need, now: Millis) -> (f64, f64, u64) {
        let options = &self.options;
        let empty = Load::default();
        let load = self.loads.get(&endpoint.name).unwrap_or(&empty);
        let (running, unread) = load.total(now);
        let far = if endpoint.place == options.place {
            0.0
        } else {
            options.far
        };
        let (estimate, work, cached) = if need.engine {
            let cached = load.cache.covered(&need.parts).min(need.prompt);
            let own = tokens(need.prompt - cached);
            let wait = slot_wait(running, endpoint.slots, options.model.step);
            let first = options.model.first_event(own, unread, running) + wait;
            (first, own / options.model.read + running, cached)
        } else {
            let mean = load.mean.unwrap_or(options.plain);
            let rounds = ((running + 1.0) / f64::from(endpoint.slots.max(1))).max(1.0);
            (mean * rounds, mean * running / 100.0, 0)
        };
        let silent = if load.silent(options.silence, now) {
            SILENT_PENALTY_MS
        } else {
            0.0
        };
        (estimate + work + far + silent, estimate, cached)
    }

    /// Counts an attempt that is sent.
    pub fn sent(
        &mut self,
        endpoint: &Endpoint,
        need: &Need,
        memory: u64,
        estimate: f64,
        now: Millis,
    ) -> FlightId {
        self.next += 1;
        let model = &self.options.model;
        let room = tokens(memory) * self.options.cached;
        let load = self.loads.entry(endpoint.name.clone()).or_default();
        if load.born != endpoint.born {
            *load = Load {
                born: endpoint.born,
                heard: now,
                ..Load::default()
            };
        }
        let cached = load.cache.covered(&need.parts).min(need.prompt);
        let unread = tokens(need.prompt - cached);
        for part in &need.parts {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a part of a token count"
            )]
            load.cache.touch(*part, room as u64);
        }
        let shared = need.parts.len().saturating_sub(1);
        for part in need.parts.iter().take(shared) {
            if self.sent.len() < MOST_SENT {
                let endpoint = endpoint.name.clone();
                self.sent.push(Sent {
                    endpoint,
                    part: *part,
                });
            }
        }
        let output = tokens(need.output);
        load.flights.insert(
            self.next,
            Flight {
                sent: now,
                unread,
                output,
                begun: false,
                estimate,
            },
        );
        if need.engine {
            let work = model.work(unread, output);
            self.count(&endpoint.service.clone(), work, now);
        }
        self.next
    }

    /// Counts engine time that is asked for, also by a request that is refused.
    pub fn count(&mut self, service: &Service, work: f64, now: Millis) {
        let first = Asked {
            sum: 0.0,
            at: now,
            since: now,
        };
        let asked = self.asked.entry(service.clone()).or_insert(first);
        asked.add(work, now);
    }

    /// Returns the engine time that a service's requests ask for, in engines kept busy.
    #[must_use]
    pub fn demand(&self, now: Millis) -> BTreeMap<Service, f64> {
        let asked = self.asked.iter();
        asked
            .map(|(name, asked)| (name.clone(), asked.rate(now)))
            .collect()
    }

    /// Returns the engine time of a request of which nothing is cached.
    #[must_use]
    pub fn work(&self, need: &Need) -> f64 {
        let model = &self.options.model;
        model.work(tokens(need.prompt) / 2.0, tokens(need.output))
    }

    /// Notes that the endpoint said something.
    pub fn heard(&mut self, endpoint: &EndpointName, now: Millis) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.heard = now;
            load.out = None;
        }
    }

    /// Notes the first event or the answer of an attempt.
    pub fn begun(&mut self, endpoint: &EndpointName, flight: FlightId, now: Millis) {
        self.heard(endpoint, now);
        let load = self.loads.get_mut(endpoint);
        if let Some(flight) = load.and_then(|load| load.flights.get_mut(&flight)) {
            flight.begun = true;
            flight.unread = 0.0;
        }
    }

    /// Takes the end of an attempt; `answered` is false where nothing came back.
    pub fn ended(
        &mut self,
        endpoint: &EndpointName,
        flight: FlightId,
        answered: bool,
        now: Millis,
    ) {
        let Some(load) = self.loads.get_mut(endpoint) else {
            return;
        };
        let Some(flight) = load.flights.remove(&flight) else {
            return;
        };
        if answered && flight.output == 0.0 {
            let took = millis(Millis(now.since(flight.sent)));
            let mean = load.mean.unwrap_or(took);
            load.mean = Some(mean + (took - mean) * MEAN_WEIGHT);
        }
    }

    /// Notes that no connection to the endpoint could be made. Returns how long it is left out.
    pub fn refused(&mut self, endpoint: &EndpointName, now: Millis) -> Millis {
        let load = self.loads.entry(endpoint.clone()).or_default();
        let times = load.out.map_or(0, |(_, times)| times).min(8);
        let rest = (self.options.rest.0 << times).min(self.options.longest.0);
        load.out = Some((now.plus(rest), times + 1));
        Millis(rest)
    }

    /// Returns the load of this node's own requests, by endpoint.
    #[must_use]
    pub fn own(&self) -> Vec<(EndpointName, PeerLoad)> {
        let stated = self.loads.iter().filter(|(_, l)| !l.flights.is_empty());
        stated
            .map(|(name, load)| (name.clone(), load.stated()))
            .collect()
    }

    /// Returns the parts sent since the last call.
    pub fn told(&mut self) -> Vec<Sent> {
        std::mem::take(&mut self.sent)
    }

    /// Takes what a peer states.
    pub fn peer(
        &mut self,
        node: &str,
        loads: &[(EndpointName, PeerLoad)],
        sent: &[Sent],
        memory: u64,
        now: Millis,
    ) {
        for load in self.loads.values_mut() {
            load.peers.remove(node);
        }
        for (name, stated) in loads {
            let load = self.loads.entry(name.clone()).or_default();
            load.peers.insert(node.to_owned(), (*stated, now));
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a token count"
        )]
        let room = (tokens(memory) * self.options.cached) as u64;
        for item in sent {
            let load = self.loads.entry(item.endpoint.clone()).or_default();
            load.cache.touch(item.part, room);
        }
    }

    /// Forgets endpoints that are not registered and have no requests.
    pub fn trim(&mut self, fleet: &Fleet) {
        self.loads
            .retain(|name, load| fleet.get(name).is_some() || !load.flights.is_empty());
    }
}

/// Endpoints that a subject belongs to: a second one takes over when the first is busy or goes.
const HOMES: usize = 2;

/// Weight of a new measurement in a mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Added to the score of an endpoint that has gone silent, so that it comes last.
const SILENT_PENALTY_MS: f64 = 10_000.0;

impl Load {
    fn stated(&self) -> PeerLoad {
        let unread: f64 = self.flights.values().map(|flight| flight.unread).sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates"
        )]
        PeerLoad {
            running: u32::try_from(self.flights.len()).unwrap_or(u32::MAX),
            unread: unread as u32,
        }
    }

    /// Requests and unread tokens of all nodes.
    fn total(&self, now: Millis) -> (f64, f64) {
        let fresh = |at: Millis| now.since(at) < PEER_AGE.0;
        let peers = self.peers.values().filter(|(_, at)| fresh(*at));
        let own = self.stated();
        let start = (f64::from(own.running), f64::from(own.unread));
        peers.fold(start, |(running, unread), (load, _)| {
            (
                running + f64::from(load.running),
                unread + f64::from(load.unread),
            )
        })
    }

    fn silent(&self, silence: Millis, now: Millis) -> bool {
        let waiting = self.flights.values().filter(|flight| !flight.begun);
        let due = |flight: &Flight| {
            let since = flight.sent.max(self.heard);
            millis(Millis(now.since(since))) > flight.estimate + millis(silence)
        };
        waiting.into_iter().any(due)
    }
}

/// Wait for a slot when all are taken: running requests end one after the other.
fn slot_wait(running: f64, slots: u32, step: f64) -> f64 {
    /// Steps of a usual request, shared by the slots that free up meanwhile.
    const STEPS: f64 = 2.0;
    (running - f64::from(slots) + 1.0).max(0.0) * step * STEPS
}

fn decay(at: Millis, now: Millis) -> f64 {
    (-millis(Millis(now.since(at))) / DEMAND_SPAN_MS).exp()
}

fn tokens(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn millis(value: Millis) -> f64 {
    f64::from(u32::try_from(value.0).unwrap_or(u32::MAX))
}

fn to_millis(value: f64) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast from float saturates"
    )]
    Millis(value.max(0.0) as u64)
}
