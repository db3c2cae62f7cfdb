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

mod cache;
mod capacity;
mod choice;
mod cost;
mod digest;
mod load;
mod mean_time;
mod models;
mod plain;
mod speed;
mod trials;

use std::collections::BTreeMap;

use cumin_types::{EndpointName, Millis, Place, Service};

pub use self::cache::{Part, PartList, SentPart, shared_parts};
pub use self::choice::Choice;
pub use self::cost::Inputs;
use self::cost::{Lengths, MeanDemand, slot_wait};
pub use self::digest::Placement;
pub use self::load::NodeLoad;
use self::load::{ActiveAttempt, Load};
use self::plain::{Plain, rounds};
use self::speed::Anchor;
pub use self::speed::StatedSpeed;
use crate::engine::EngineModel;
use crate::fleet::{Endpoint, Fleet};
use crate::learn::{LearnOptions, Learner, Queue};

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
    /// Lengths of answers, by service of engines.
    lengths: BTreeMap<Service, Lengths>,
    /// Differences between the models and the means of samples, by service.
    anchors: BTreeMap<Service, Anchor>,
    /// Requests to plain services.
    plain: BTreeMap<Service, Plain>,
    /// Requests a millisecond of each peer to plain services.
    peer_rates: BTreeMap<String, (BTreeMap<Service, f64>, Millis)>,
    /// Last endpoint whose speed was stated.
    stated_speed: Option<EndpointName>,
    /// Whether peers should learn of a sent prompt before the next digest is due.
    is_urgent: bool,
}

/// Prefill time of a prompt of which peers learn at once. Requests that come after it wait for it, and
/// for most of the time between two digests, peers would take the endpoint for idle.
const URGENT_PREFILL_MS: f64 = 125.0;

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
            lengths: BTreeMap::new(),
            anchors: BTreeMap::new(),
            plain: BTreeMap::new(),
            peer_rates: BTreeMap::new(),
            stated_speed: None,
            is_urgent: false,
        }
    }

    /// Sets the number of nodes that send requests to the endpoints, including this one.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Returns whether an endpoint is in the cooldown after a failed connection.
    #[must_use]
    pub fn cooling_down(&self, name: &EndpointName, now: Millis) -> bool {
        let cooldown = self.loads.get(name).and_then(|load| load.cooldown);
        cooldown.is_some_and(|(until, _)| now < until)
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
        let hint = tokens(need.output_tokens);
        let output = self.expected_output(&endpoint.service, hint);
        let pace = self.pace(endpoint);
        let load = self.loads.entry(endpoint.name.clone()).or_default();
        if load.started_ms == 0 {
            // Only what peers stated is known of it.
            load.started_ms = endpoint.started_ms;
            load.last_heard = now;
        }
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
        let backlog = load.backlog(pace, now);
        let queue = Queue {
            tokens: backlog.prefill_tokens + prefill_tokens,
            running: backlog.running,
        };
        let (running, _) = load.total(now);
        load.attempts.insert(
            self.next,
            ActiveAttempt {
                service: endpoint.service.clone(),
                sent: now,
                prefill_tokens,
                output,
                output_hint: hint,
                heard: (0.0, 0),
                last_event: None,
                estimate_ms,
                wait: if need.engine {
                    slot_wait(backlog, endpoint.slots, pace.output_ms)
                } else {
                    rounds(running, endpoint.slots)
                },
                engine: need.engine,
                queue: (need.engine && !need.retry).then_some(queue),
                trial_goal,
            },
        );
        if need.engine {
            self.is_urgent |= prefill_tokens * pace.prefill_ms >= URGENT_PREFILL_MS;
            let factor = self.time_factor(endpoint);
            let work = (prefill_tokens * factor, output * factor);
            self.add_demand(&endpoint.service, work.0, work.1, now);
        } else {
            let plain = self.plain(&endpoint.service, now);
            plain.requests.add(0.0, 1.0, now);
        }
        self.next
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
        if answered {
            self.learn_end(endpoint, &attempt, now);
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

    /// Removes the load of endpoints that are not registered and have no attempts in flight.
    pub fn trim(&mut self, fleet: &Fleet) {
        self.loads
            .retain(|name, load| fleet.get(name).is_some() || !load.attempts.is_empty());
    }
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
