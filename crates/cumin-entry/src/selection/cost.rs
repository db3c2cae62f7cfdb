//! Cost of a request at an endpoint, and the demand of all requests for engine time.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;

use cumin_types::{Millis, Service};

use super::load::{Backlog, Load, Pace};
use super::plain::rounds;
use super::{Need, Selector, millis, tokens};
use crate::engine::Demand;
use crate::fleet::Endpoint;

/// Demand for endpoints, as an exponentially decayed mean.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeanDemand {
    /// Decayed sum of the time to prefill.
    pub(super) prefill_ms: f64,
    /// Decayed sum of output tokens.
    pub(super) output: f64,
    /// Time at which the sum was last decayed.
    pub(super) updated: Millis,
    /// Time of the first request.
    pub(super) since: Millis,
}

impl MeanDemand {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            prefill_ms: 0.0,
            output: 0.0,
            updated: now,
            since: now,
        }
    }

    pub(super) fn add(&mut self, prefill_ms: f64, output: f64, now: Millis) {
        let kept = decay(self.updated, now);
        self.prefill_ms = self.prefill_ms * kept + prefill_ms;
        self.output = self.output * kept + output;
        self.updated = now;
    }

    /// Returns the mean.
    ///
    /// Until the span has passed, the mean covers only the time since the first request.
    pub(super) fn mean(&self, now: Millis) -> Demand {
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
pub(super) const MIN_DEMAND_SPAN: Millis = Millis(1000);

/// Time constant of the mean demand for engine time.
pub(super) const DEMAND_SPAN_MS: f64 = 5000.0;

impl Selector {
    /// Returns the factor on times of a service's model that applies to an endpoint.
    #[must_use]
    pub fn time_factor(&self, endpoint: &Endpoint) -> f64 {
        let load = self.loads.get(&endpoint.name);
        load.map_or(1.0, |load| load.speed.factor(endpoint.started_ms))
    }

    /// Returns what is known of an endpoint, for the log line of a choice.
    #[must_use]
    pub fn inputs(&self, endpoint: &Endpoint, now: Millis) -> Inputs {
        let load = self.loads.get(&endpoint.name);
        let backlog = load.map(|load| load.backlog(self.pace(endpoint), now));
        let backlog = backlog.unwrap_or_default();
        Inputs {
            time_factor: self.time_factor(endpoint),
            running: backlog.running,
            prefill_tokens: backlog.prefill_tokens,
            output: backlog.output,
        }
    }

    /// Returns the times of an engine's work at its own speed.
    pub(super) fn pace(&self, endpoint: &Endpoint) -> Pace {
        let (factor, model) = (self.time_factor(endpoint), self.model(&endpoint.service));
        let batch = f64::from(endpoint.slots) / 2.0;
        Pace {
            prefill_ms: factor / model.prefill_rate,
            output_ms: factor * (model.step_ms + model.request_ms * batch),
        }
    }

    /// Returns the output tokens that a request of a service is expected to have, by the lengths of
    /// the answers before it.
    pub(super) fn expected_output(&self, service: &Service, hint: f64) -> f64 {
        let lengths = self.lengths.get(service);
        lengths.map_or(hint, |lengths| hint * lengths.ratio())
    }

    /// Rates an endpoint for a request.
    pub(super) fn rate(&self, endpoint: &Endpoint, need: &Need, now: Millis) -> Rating {
        let options = &self.options;
        let empty = Load::default();
        let load = self.loads.get(&endpoint.name).unwrap_or(&empty);
        let remote_ms = if endpoint.place == options.place {
            0.0
        } else {
            options.remote_ms
        };
        let (estimate_ms, work_ms, cached) = if need.engine {
            self.rate_engine(endpoint, load, need, now)
        } else {
            let (running, _) = load.total(now);
            let slot_ms = self.slot_ms(endpoint, now);
            let whole = load.whole.get(now).unwrap_or(slot_ms);
            let first = load.first.get(now).unwrap_or(slot_ms);
            let wait = whole * (rounds(running, endpoint.slots) - 1.0);
            (first + wait, whole * running / 100.0, 0)
        };
        Rating {
            silent: load.silent(options.silence_limit, now),
            late: estimate_ms > millis(need.goal_left) * options.goal_share,
            score: estimate_ms + work_ms + remote_ms,
            estimate_ms,
            cached,
        }
    }

    /// Returns the estimated time to the first event, the time by which the request delays others,
    /// and the cached tokens.
    fn rate_engine(
        &self,
        endpoint: &Endpoint,
        load: &Load,
        need: &Need,
        now: Millis,
    ) -> (f64, f64, u64) {
        let cached = load
            .cache
            .cached_prefix(&need.parts)
            .min(need.prompt_tokens);
        let uncached = tokens(need.prompt_tokens - cached);
        let pace = self.pace(endpoint);
        let backlog = load.backlog(pace, now);
        let factor = load.speed.factor(endpoint.started_ms);
        let model = self.model(&endpoint.service);
        let first = model.first_event_ms(uncached, backlog.prefill_tokens, backlog.running);
        let wait = slot_wait(backlog, endpoint.slots, pace.output_ms);
        let work = uncached * pace.prefill_ms + backlog.running * factor;
        (first * factor + wait, work, cached)
    }

    pub(super) fn add_demand(
        &mut self,
        service: &Service,
        prefill_tokens: f64,
        output: f64,
        now: Millis,
    ) {
        let prefill_ms = prefill_tokens / self.model(service).prefill_rate;
        let demand = self
            .demand
            .entry(service.clone())
            .or_insert_with(|| MeanDemand::new(now));
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
}

/// What a choice knows of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    time_factor: f64,
    running: f64,
    prefill_tokens: f64,
    output: f64,
}

impl fmt::Display for Inputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "time_factor={:.2} running={:.1} prefill_tokens={:.0} output_tokens={:.0}",
            self.time_factor, self.running, self.prefill_tokens, self.output
        )
    }
}

/// How well an endpoint suits a request; the least one suits best.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rating {
    /// Whether it has not answered for longer than expected.
    silent: bool,
    /// Whether the estimate exceeds the goal.
    pub(super) late: bool,
    /// Estimate, with the delay of others.
    score: f64,
    pub(super) estimate_ms: f64,
    pub(super) cached: u64,
}

impl Rating {
    /// Orders by suitability. Silent endpoints come last, and late ones before them.
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        let flags = |rating: &Self| (rating.silent, rating.late);
        let by_score = self.score.total_cmp(&other.score);
        flags(self).cmp(&flags(other)).then(by_score)
    }
}

/// Lengths of answers compared with those that callers expect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lengths {
    /// Decayed sums of actual and of expected output tokens.
    actual: f64,
    hinted: f64,
}

impl Lengths {
    /// Answers that the sums cover.
    const SPAN: f64 = 200.0;

    /// Answers of the expected length that are assumed before the first one.
    const PRIOR: f64 = 10.0;

    pub(super) fn new(hint: f64) -> Self {
        Self {
            actual: hint * Self::PRIOR,
            hinted: hint * Self::PRIOR,
        }
    }

    pub(super) fn add(&mut self, actual: f64, hint: f64) {
        let kept = 1.0 - 1.0 / Self::SPAN;
        self.actual = self.actual * kept + actual;
        self.hinted = self.hinted * kept + hint;
    }

    fn ratio(&self) -> f64 {
        (self.actual / self.hinted.max(1.0)).clamp(0.25, 4.0)
    }
}

/// Returns the wait for a slot, in milliseconds: remaining lengths are taken as equally likely
/// between nothing and twice their mean.
pub(super) fn slot_wait(backlog: Backlog, slots: u32, output_ms: f64) -> f64 {
    let excess = (backlog.running - f64::from(slots) + 1.0).max(0.0);
    let length = 2.0 * backlog.output / backlog.running.max(1.0);
    excess / backlog.running.max(1.0) * length * output_ms
}

fn decay(since: Millis, now: Millis) -> f64 {
    (-millis(Millis(now.since(since))) / DEMAND_SPAN_MS).exp()
}
