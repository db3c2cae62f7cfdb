//! Cost of a request at an endpoint, and the demand of all requests for engine time.

use std::collections::BTreeMap;

use cumin_types::{Millis, Service};

use super::load::Load;
use super::{Need, Selector, millis, tokens};
use crate::engine::Demand;
use crate::fleet::Endpoint;

/// Added to the score of a silent endpoint, so that it is ranked last.
const SILENT_PENALTY_MS: f64 = 10_000.0;

/// Demand for engines, as an exponentially decayed mean.
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
    /// Returns the score (lower is better), the estimate in milliseconds and the cached tokens.
    pub(super) fn score(&self, endpoint: &Endpoint, need: &Need, now: Millis) -> (f64, f64, u64) {
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

    pub(super) fn add_demand(
        &mut self,
        service: &Service,
        prefill_tokens: f64,
        output: f64,
        now: Millis,
    ) {
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
