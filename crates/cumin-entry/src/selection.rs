//! Selection of an endpoint for a request, or refusal if no endpoint can answer in time.
//!
//! Each rule handles a load pattern:
//!
//! * Few large prompts among many small ones: the load of an engine is the number of tokens that it
//!   still has to prefill, not its number of requests.
//! * Many requests that share a prefix: a prompt goes to an engine that has the prefix cached,
//!   unless the tokens queued there take longer than prefilling the prefix elsewhere.
//! * Thundering herd, when many nodes see the same idle engine before they hear of each other's
//!   requests: requests of peers count as load, and each request considers only a small random
//!   sample of the endpoints, the smaller the more nodes there are.
//! * Many short requests of a plain service with few endpoints, from many nodes: thousands end
//!   between two digests, so stated loads are out of date. A random choice weighted by speed and
//!   load keeps the nodes from using the same endpoint at the same time.
//! * Overload: a request whose first event would come after its goal is refused at once, with the
//!   time after which it may be retried.
//! * A slow spell of all endpoints of a service: its measured times lead to refusals, and only
//!   answers bring new ones. A small share of the requests that would be refused therefore runs as
//!   trials. For a plain service, a time that was measured long ago does not count; for engines, a
//!   trial that is answered in time refutes what was measured.
//! * An endpoint that accepts requests but does not answer: it is ranked last if it has
//!   unanswered requests and was silent for longer than expected.

mod capacity;
mod mean_time;
mod models;
mod trials;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;

use cumin_types::{EndpointName, Millis, Place, Service, score};
use serde::{Deserialize, Serialize};

use self::mean_time::MeanTime;
use crate::engine::{Demand, EngineModel};
use crate::fleet::{Endpoint, Fleet};
use crate::learn::{LearnOptions, Learner, Queue};
use crate::trials::Trials;

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Identifier of the content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Returns the parts that other prompts may share: all but the last one.
#[must_use]
pub fn shared_parts(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Formats the identifiers of parts for a log line.
#[derive(Clone, Copy, Debug)]
pub struct PartList<'a>(pub &'a [Part]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (index, part) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{:x}", part.id)?;
        }
        Ok(())
    }
}

/// Properties of a request that the selection depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Need {
    /// Number of prompt tokens; zero for a plain service.
    pub prompt_tokens: u64,
    /// Expected number of output tokens.
    pub output_tokens: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Time left until the target latency of the route is exceeded.
    pub goal_left: Millis,
    /// Time left until the deadline.
    pub time_left: Millis,
    /// Whether the request runs on a model engine.
    pub engine: bool,
    /// Whether it was sent before: its time then says little of the engine.
    pub retry: bool,
    /// Whether it may run once only.
    pub once: bool,
    /// Room that an endpoint must have for it.
    pub room: Room,
}

/// Room that an endpoint must have for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Room {
    /// Any; the request may wait at the endpoint.
    #[default]
    Any,
    /// A free slot.
    FreeSlot,
}

/// Settings of [`Selector`].
#[derive(Clone, Debug, PartialEq)]
pub struct SelectorOptions {
    /// How the performance model of the engines is learned.
    pub learn: LearnOptions,
    /// Place of this node.
    pub place: Place,
    /// Name of this node, which seeds the random samples.
    pub node: String,
    /// Penalty for an endpoint in another place: the round trip to it.
    pub remote_ms: f64,
    /// Minimum number of endpoints in a random sample.
    pub min_sample: usize,
    /// Time beyond the estimate after which an endpoint that stays silent is ranked last.
    pub silence_limit: Millis,
    /// Time that an endpoint is left out after a failed connection. It doubles with each failure, up
    /// to `max_cooldown`.
    pub cooldown: Millis,
    /// Maximum time that an endpoint is left out.
    pub max_cooldown: Millis,
    /// Fraction of the time left until the goal above which an estimate leads to refusal.
    pub goal_share: f64,
    /// Assumed duration of a plain request before one was measured.
    pub plain_ms: f64,
    /// Fraction of an engine's memory that is assumed to hold cached parts.
    pub cached_share: f64,
}

impl Default for SelectorOptions {
    fn default() -> Self {
        Self {
            learn: LearnOptions::default(),
            place: Place::from("place"),
            node: "node".into(),
            remote_ms: 2.0,
            min_sample: 3,
            silence_limit: Millis(800),
            cooldown: Millis(500),
            max_cooldown: Millis(4000),
            goal_share: 1.0,
            plain_ms: 50.0,
            cached_share: 0.6,
        }
    }
}

/// Identifies an attempt that this node has in flight.
pub type AttemptNumber = u64;

#[derive(Clone, Debug)]
struct ActiveAttempt {
    sent: Millis,
    /// Uncached prompt tokens; zero once the answer has begun.
    prefill_tokens: f64,
    output: f64,
    /// Time of the last event, once the answer has begun.
    last_event: Option<Millis>,
    estimate_ms: f64,
    /// Whether it runs on a model engine.
    engine: bool,
    /// What it found at the engine, unless its times are no sample.
    queue: Option<Queue>,
    /// Time to the goal if it is a trial.
    trial_goal: Option<f64>,
}

/// Load that one node puts on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeLoad {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens still to be prefilled.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
}

/// Prompt parts that an endpoint is assumed to have cached, evicted in least recently used order.
#[derive(Debug, Default)]
struct Cache {
    /// Token count and latest stamp of each part, by its identifier.
    parts: HashMap<u64, (u32, u64)>,
    /// Identifier and stamp of each use, oldest first.
    order: VecDeque<(u64, u64)>,
    tokens: u64,
    stamp: u64,
}

impl Cache {
    fn touch(&mut self, part: Part, capacity: u64) {
        self.stamp += 1;
        let old = self.parts.insert(part.id, (part.tokens, self.stamp));
        if old.is_none() {
            self.tokens += u64::from(part.tokens);
        }
        self.order.push_back((part.id, self.stamp));
        while self.tokens > capacity || self.order.len() > 4 * self.parts.len() + 16 {
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

    /// Returns the tokens of the longest cached prefix.
    fn cached_prefix(&self, parts: &[Part]) -> u64 {
        let cached = parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        cached.map(|part| u64::from(part.tokens)).sum()
    }
}

#[derive(Debug, Default)]
struct Load {
    started_ms: u64,
    attempts: HashMap<AttemptNumber, ActiveAttempt>,
    peers: BTreeMap<String, (NodeLoad, Millis)>,
    cache: Cache,
    /// Time of the last data from the endpoint to this node.
    last_heard: Millis,
    /// End of the cooldown, and the number of failed connections in a row.
    cooldown: Option<(Millis, u32)>,
    /// Time of a plain request until its answer begins.
    first: MeanTime,
    /// Time of a plain request until its end.
    whole: MeanTime,
    /// Requests that may still run as trials: a share of those that would have been refused.
    trials: Trials,
}

/// Outcome of a selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to an endpoint.
    Use {
        /// The chosen endpoint.
        endpoint: EndpointName,
        /// Estimated time to the first event or the answer.
        estimate_ms: f64,
        /// Prompt tokens assumed to be cached there.
        cached: u64,
    },
    /// No endpoint can answer in time.
    Full {
        /// Best estimate among the endpoints.
        estimate_ms: f64,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// No endpoint accepts work.
    NoEndpoint,
}

/// A prompt part that was sent to an endpoint, as stated to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SentPart {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The part.
    pub part: Part,
}

/// Selects endpoints by their load and caches, as far as one node knows them.
#[derive(Debug)]
pub struct Selector {
    options: SelectorOptions,
    loads: BTreeMap<EndpointName, Load>,
    next: AttemptNumber,
    nodes: usize,
    /// Number of random samples drawn.
    draws: u64,
    sent_parts: Vec<SentPart>,
    /// Demand for engines, by service.
    demand: BTreeMap<Service, MeanDemand>,
    /// Models of the engines, by service.
    learners: BTreeMap<Service, Learner>,
    /// Model of a service of which nothing was heard.
    prior: EngineModel,
    /// Gaps between events that were seen.
    gaps_seen: u32,
}

/// Demand for engines, as an exponentially decayed mean.
#[derive(Clone, Copy, Debug)]
struct MeanDemand {
    /// Decayed sum of the time to prefill.
    prefill_ms: f64,
    /// Decayed sum of output tokens.
    output: f64,
    /// Time at which the sum was last decayed.
    updated: Millis,
    /// Time of the first request.
    since: Millis,
}

impl MeanDemand {
    fn add(&mut self, prefill_ms: f64, output: f64, now: Millis) {
        let kept = decay(self.updated, now);
        self.prefill_ms = self.prefill_ms * kept + prefill_ms;
        self.output = self.output * kept + output;
        self.updated = now;
    }

    /// Returns the mean.
    ///
    /// Until the span has passed, the mean covers only the time since the first request.
    fn mean(&self, now: Millis) -> Demand {
        let seen = now.since(self.since).max(MIN_DEMAND_SPAN.0);
        let weight = 1.0 - decay(Millis(0), Millis(seen));
        let scale = decay(self.updated, now) / (DEMAND_SPAN_MS * weight);
        Demand {
            prefilling: self.prefill_ms * scale,
            output_rate: self.output * scale,
        }
    }
}

/// Minimum time that a demand covers; a mean over less would follow single requests.
const MIN_DEMAND_SPAN: Millis = Millis(1000);

/// Time constant of the mean demand for engine time.
const DEMAND_SPAN_MS: f64 = 5000.0;

/// Time for which the load stated by a peer counts: four of its digests.
const PEER_LOAD_TTL: Millis = Millis(1000);

/// Maximum number of parts that wait for the next digest.
const MAX_SENT_PARTS: usize = 64;

impl Selector {
    /// Creates a selector that knows of no load.
    #[must_use]
    pub fn new(options: SelectorOptions) -> Self {
        Self {
            prior: options.learn.prior.clone(),
            learners: BTreeMap::new(),
            gaps_seen: 0,
            options,
            loads: BTreeMap::new(),
            next: 0,
            nodes: 1,
            draws: 0,
            sent_parts: Vec::new(),
            demand: BTreeMap::new(),
        }
    }

    /// Chooses an endpoint of a service, leaving out those in `avoid`.
    ///
    /// Endpoints in their cooldown are left out unless all are. Those that leave are considered only
    /// if no other one can be used.
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
            .filter(|endpoint| need.room == Room::Any || self.free_slots(endpoint, now) >= 1.0)
            .collect();
        let all_cooling = candidates
            .iter()
            .all(|endpoint| self.cooling_down(&endpoint.name, now));
        let open = candidates
            .into_iter()
            .filter(|endpoint| all_cooling || !self.cooling_down(&endpoint.name, now));
        let (leaving, staying): (Vec<_>, Vec<_>) =
            open.partition(|endpoint| fleet.is_leaving(endpoint));
        let choice = self.choose_among(staying, need, now);
        if matches!(choice, Choice::Use { .. }) || leaving.is_empty() {
            return choice;
        }
        let last = self.choose_among(leaving, need, now);
        let is_full = matches!(choice, Choice::Full { .. });
        if is_full && !matches!(last, Choice::Use { .. }) {
            return choice;
        }
        last
    }

    fn choose_among(&mut self, mut open: Vec<&Endpoint>, need: &Need, now: Millis) -> Choice {
        self.sample(&mut open, need);
        if !need.engine && self.nodes >= MIN_RANDOM_NODES {
            self.keep_random(&mut open, now);
        }
        let scored = open.iter().map(|endpoint| {
            let (score, estimate_ms, cached) = self.score(endpoint, need, now);
            (score, estimate_ms, cached, *endpoint)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, estimate_ms, cached, endpoint)) = best else {
            return Choice::NoEndpoint;
        };
        let limit = millis(need.goal_left) * self.options.goal_share;
        if estimate_ms > limit && !self.take_trial(endpoint, need, now) {
            let over = estimate_ms - limit;
            return Choice::Full {
                estimate_ms,
                retry_after: to_millis(over),
            };
        }
        Choice::Use {
            endpoint: endpoint.name.clone(),
            estimate_ms,
            cached,
        }
    }

    /// Sets the number of nodes that send requests to the endpoints, including this one.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Reduces the endpoints to the home endpoints of the prompt's prefix and a random sample.
    fn sample(&mut self, open: &mut Vec<&Endpoint>, need: &Need) {
        let random = (2 * open.len())
            .div_ceil(self.nodes)
            .max(self.options.min_sample);
        self.draws += 1;
        if open.len() <= random + HOME_ENDPOINTS {
            return;
        }
        let homes = need.parts.iter().rev().nth(1).map_or(0, |_| HOME_ENDPOINTS);
        if let Some(part) = need.parts.iter().rev().nth(1) {
            let key = part.id.to_le_bytes();
            open.sort_by_cached_key(|e| std::cmp::Reverse(score(&key, e.name.as_str())));
        }
        let key = format!("{}{}", self.options.node, self.draws);
        open[homes..]
            .sort_by_cached_key(|e| std::cmp::Reverse(score(key.as_bytes(), e.name.as_str())));
        open.truncate(homes + random);
    }

    /// Reduces the endpoints of a plain service to a random one, weighted by speed and load.
    ///
    /// Silent endpoints are left out unless all are.
    fn keep_random(&mut self, open: &mut Vec<&Endpoint>, now: Millis) {
        let limit = self.options.silence_limit;
        let silent = |endpoint: &Endpoint| {
            let load = self.loads.get(&endpoint.name);
            load.is_some_and(|load| load.silent(limit, now))
        };
        if !open.iter().all(|endpoint| silent(endpoint)) {
            open.retain(|endpoint| !silent(endpoint));
        }
        let weight = |endpoint: &Endpoint| {
            let load = self.loads.get(&endpoint.name);
            let running = load.map_or(0.0, |load| load.total(now).0);
            let mean_ms = load.and_then(|load| load.whole.get(now));
            let slots = f64::from(endpoint.slots.max(1));
            let mean_ms = mean_ms.unwrap_or(self.options.plain_ms).max(1.0);
            slots / (mean_ms * (1.0 + running / slots))
        };
        let weights: Vec<f64> = open.iter().map(|endpoint| weight(endpoint)).collect();
        let key = format!("{}{}", self.options.node, self.draws);
        let mut point = unit(score(key.as_bytes(), "plain")) * weights.iter().sum::<f64>();
        let chosen = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        if let Some(endpoint) = chosen.and_then(|index| open.get(index).copied()) {
            *open = vec![endpoint];
        }
    }

    /// Returns whether an endpoint is in the cooldown after a failed connection.
    #[must_use]
    pub fn cooling_down(&self, name: &EndpointName, now: Millis) -> bool {
        let cooldown = self.loads.get(name).and_then(|load| load.cooldown);
        cooldown.is_some_and(|(until, _)| now < until)
    }

    /// Returns the score (lower is better), the estimate in milliseconds and the cached tokens.
    fn score(&self, endpoint: &Endpoint, need: &Need, now: Millis) -> (f64, f64, u64) {
        let options = &self.options;
        let empty = Load::default();
        let load = self.loads.get(&endpoint.name).unwrap_or(&empty);
        let (running, prefill_tokens) = load.total(now);
        let remote = if endpoint.place == options.place {
            0.0
        } else {
            options.remote_ms
        };
        let (estimate_ms, work_ms, cached) = if need.engine {
            let cached = load
                .cache
                .cached_prefix(&need.parts)
                .min(need.prompt_tokens);
            let uncached = tokens(need.prompt_tokens - cached);
            let model = self.model(&endpoint.service);
            let wait = slot_wait(running, endpoint.slots, model.step_ms);
            let first = model.first_event_ms(uncached, prefill_tokens, running) + wait;
            (first, uncached / model.prefill_rate + running, cached)
        } else {
            let whole = load.whole.get(now).unwrap_or(options.plain_ms);
            let first = load.first.get(now).unwrap_or(options.plain_ms);
            let rounds = ((running + 1.0) / f64::from(endpoint.slots.max(1))).max(1.0);
            let wait = whole * (rounds - 1.0);
            (first + wait, whole * running / 100.0, 0)
        };
        let silent = if load.silent(options.silence_limit, now) {
            SILENT_PENALTY_MS
        } else {
            0.0
        };
        (estimate_ms + work_ms + remote + silent, estimate_ms, cached)
    }

    /// Records that an attempt was sent, and returns its identifier.
    ///
    /// `memory_tokens` is the size of the engine's KV cache.
    pub fn attempt_sent(
        &mut self,
        endpoint: &Endpoint,
        need: &Need,
        memory_tokens: u64,
        estimate_ms: f64,
        now: Millis,
    ) -> AttemptNumber {
        self.next += 1;
        let trial_goal = self.trial_goal(need, estimate_ms);
        let capacity = tokens(memory_tokens) * self.options.cached_share;
        let load = self.loads.entry(endpoint.name.clone()).or_default();
        if load.started_ms != endpoint.started_ms {
            *load = Load {
                started_ms: endpoint.started_ms,
                last_heard: now,
                ..Load::default()
            };
        }
        let cached = load
            .cache
            .cached_prefix(&need.parts)
            .min(need.prompt_tokens);
        let prefill_tokens = tokens(need.prompt_tokens - cached);
        for part in &need.parts {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a fraction of a token count"
            )]
            load.cache.touch(*part, capacity as u64);
        }
        for part in shared_parts(&need.parts) {
            if self.sent_parts.len() < MAX_SENT_PARTS {
                let endpoint = endpoint.name.clone();
                self.sent_parts.push(SentPart {
                    endpoint,
                    part: *part,
                });
            }
        }
        let output = tokens(need.output_tokens);
        let (running, ahead) = load.total(now);
        let queue = Queue {
            tokens: ahead + prefill_tokens,
            running,
        };
        load.attempts.insert(
            self.next,
            ActiveAttempt {
                sent: now,
                prefill_tokens,
                output,
                last_event: None,
                estimate_ms,
                engine: need.engine,
                queue: (need.engine && !need.retry).then_some(queue),
                trial_goal,
            },
        );
        if need.engine {
            self.add_demand(&endpoint.service, prefill_tokens, output, now);
        }
        self.next
    }

    fn add_demand(&mut self, service: &Service, prefill_tokens: f64, output: f64, now: Millis) {
        let prefill_ms = prefill_tokens / self.model(service).prefill_rate;
        let first = MeanDemand {
            prefill_ms: 0.0,
            output: 0.0,
            updated: now,
            since: now,
        };
        let demand = self.demand.entry(service.clone()).or_insert(first);
        demand.add(prefill_ms, output, now);
    }

    /// Counts a refused request as demand, with half of its prompt cached.
    pub fn request_refused(&mut self, service: &Service, need: &Need, now: Millis) {
        let uncached = tokens(need.prompt_tokens) / 2.0;
        self.add_demand(service, uncached, tokens(need.output_tokens), now);
    }

    /// Returns the demand of this node's requests, by service.
    #[must_use]
    pub fn demand(&self, now: Millis) -> BTreeMap<Service, Demand> {
        let demand = self.demand.iter();
        demand
            .map(|(name, demand)| (name.clone(), demand.mean(now)))
            .collect()
    }

    /// Records that the endpoint sent data, which ends its cooldown.
    pub fn endpoint_heard(&mut self, endpoint: &EndpointName, now: Millis) {
        if let Some(load) = self.loads.get_mut(endpoint) {
            load.last_heard = now;
            load.cooldown = None;
        }
    }

    /// Records the first event or the answer of an attempt.
    pub fn answer_begun(&mut self, endpoint: &EndpointName, attempt: AttemptNumber, now: Millis) {
        self.endpoint_heard(endpoint, now);
        let load = self.loads.get_mut(endpoint);
        if let Some(attempt) = load.and_then(|load| load.attempts.get_mut(&attempt)) {
            let is_first = attempt.last_event.replace(now).is_none();
            attempt.prefill_tokens = 0.0;
            let took_ms = millis(Millis(now.since(attempt.sent)));
            let is_sample = is_first && !attempt.engine;
            if is_sample && let Some(load) = self.loads.get_mut(endpoint) {
                load.first.add(took_ms, now);
            }
        }
    }

    /// Removes an attempt that has ended; `answered` says whether it was answered in full.
    pub fn attempt_ended(
        &mut self,
        endpoint: &EndpointName,
        attempt: AttemptNumber,
        answered: bool,
        now: Millis,
    ) {
        let Some(load) = self.loads.get_mut(endpoint) else {
            return;
        };
        let Some(attempt) = load.attempts.remove(&attempt) else {
            return;
        };
        if answered && attempt.output == 0.0 {
            let took = millis(Millis(now.since(attempt.sent)));
            load.whole.add(took, now);
        }
    }

    /// Records that the endpoint could not be connected to, and returns its cooldown.
    pub fn connection_failed(&mut self, endpoint: &EndpointName, now: Millis) -> Millis {
        let load = self.loads.entry(endpoint.clone()).or_default();
        let failures = load.cooldown.map_or(0, |(_, failures)| failures).min(8);
        let cooldown = (self.options.cooldown.0 << failures).min(self.options.max_cooldown.0);
        load.cooldown = Some((now.plus(cooldown), failures + 1));
        Millis(cooldown)
    }

    /// Returns the load of this node's requests, by endpoint.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(EndpointName, NodeLoad)> {
        let loaded = self.loads.iter().filter(|(_, l)| !l.attempts.is_empty());
        loaded
            .map(|(name, load)| (name.clone(), load.own()))
            .collect()
    }

    /// Returns the parts sent since the last call, for the next digest.
    pub fn take_sent_parts(&mut self) -> Vec<SentPart> {
        std::mem::take(&mut self.sent_parts)
    }

    /// Merges a peer's loads and sent parts. Its loads replace those that it stated before.
    pub fn merge_peer(
        &mut self,
        node: &str,
        loads: &[(EndpointName, NodeLoad)],
        sent: &[SentPart],
        memory_tokens: u64,
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
            reason = "a fraction of a token count"
        )]
        let capacity = (tokens(memory_tokens) * self.options.cached_share) as u64;
        for item in sent {
            let load = self.loads.entry(item.endpoint.clone()).or_default();
            load.cache.touch(item.part, capacity);
        }
    }

    /// Removes the load of endpoints that are not registered and have no attempts in flight.
    pub fn trim(&mut self, fleet: &Fleet) {
        self.loads
            .retain(|name, load| fleet.get(name).is_some() || !load.attempts.is_empty());
    }
}

/// Number of nodes from which endpoints of plain services are chosen at random.
const MIN_RANDOM_NODES: usize = 8;

/// Number of home endpoints of a prefix: the second takes over when the first is busy or gone.
const HOME_ENDPOINTS: usize = 2;

/// Added to the score of a silent endpoint, so that it is ranked last.
const SILENT_PENALTY_MS: f64 = 10_000.0;

impl Load {
    fn own(&self) -> NodeLoad {
        let prefill_tokens: f64 = self
            .attempts
            .values()
            .map(|attempt| attempt.prefill_tokens)
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates"
        )]
        NodeLoad {
            running: u32::try_from(self.attempts.len()).unwrap_or(u32::MAX),
            prefill_tokens: prefill_tokens as u32,
        }
    }

    /// Returns the requests in flight and the tokens still to be prefilled, of all nodes.
    fn total(&self, now: Millis) -> (f64, f64) {
        let fresh = |at: Millis| now.since(at) < PEER_LOAD_TTL.0;
        let peers = self.peers.values().filter(|(_, at)| fresh(*at));
        let own = self.own();
        let start = (f64::from(own.running), f64::from(own.prefill_tokens));
        peers.fold(start, |(running, prefill_tokens), (load, _)| {
            (
                running + f64::from(load.running),
                prefill_tokens + f64::from(load.prefill_tokens),
            )
        })
    }

    fn silent(&self, limit: Millis, now: Millis) -> bool {
        let waiting = self
            .attempts
            .values()
            .filter(|attempt| attempt.last_event.is_none());
        let due = |attempt: &ActiveAttempt| {
            let since = attempt.sent.max(self.last_heard);
            millis(Millis(now.since(since))) > attempt.estimate_ms + millis(limit)
        };
        waiting.into_iter().any(due)
    }
}

/// Returns the wait for a slot, in milliseconds: running requests end one after the other.
fn slot_wait(running: f64, slots: u32, step_ms: f64) -> f64 {
    /// Decode steps of a usual request, divided by the slots that become free meanwhile.
    const STEPS_PER_SLOT: f64 = 2.0;
    (running - f64::from(slots) + 1.0).max(0.0) * step_ms * STEPS_PER_SLOT
}

fn decay(since: Millis, now: Millis) -> f64 {
    (-millis(Millis(now.since(since))) / DEMAND_SPAN_MS).exp()
}

/// Converts a hash to a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
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
