//! The interface that the router and the baselines implement, and the baselines.

use cumin_types::{AttemptId, EndpointName, Millis, score};
use cumin_wire::engine::{CacheEvent, CacheList, Load};
use rand::RngCore;

use crate::view::{View, to_f64};
use crate::{
    Candidate, Choice, Dispatch, EndpointInfo, Finish, NoEndpoint, Query, Rates, Router,
    RouterOptions, Terms, Trust,
};

/// Chooses endpoints from recorded events and reports.
pub trait Policy {
    /// Returns the name of the policy in log lines and tables.
    fn name(&self) -> &'static str;
    /// Adds an endpoint or replaces its description.
    fn upsert(&mut self, info: EndpointInfo);
    /// Removes an endpoint.
    fn remove(&mut self, name: &EndpointName);
    /// Stops the selection of an endpoint for good.
    fn mark_leaving(&mut self, name: &EndpointName, until: Millis);
    /// Records a load report.
    fn record_load(&mut self, name: &EndpointName, load: &Load, now: Millis);
    /// Records an attempt that this node sends.
    fn record_sent(&mut self, name: &EndpointName, dispatch: &Dispatch, now: Millis);
    /// Removes a finished attempt.
    fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    );
    /// Applies cache events. Returns none when the policy keeps no index.
    fn apply_cache_events(&mut self, name: &EndpointName, events: &[CacheEvent]) -> Option<Trust>;
    /// Replaces the cache index of an endpoint. Returns none when the policy keeps no index.
    fn replace_cache(&mut self, name: &EndpointName, list: &CacheList) -> Option<Trust>;
    /// Records measured rates.
    fn record_rates(&mut self, name: &EndpointName, rates: &Rates, now: Millis);
    /// Chooses an endpoint.
    ///
    /// # Errors
    /// Returns [`NoEndpoint`] when no endpoint can take the request.
    fn choose(
        &mut self,
        query: &Query,
        now: Millis,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoEndpoint>;
}

impl Policy for Router {
    fn name(&self) -> &'static str {
        "estimate"
    }

    fn upsert(&mut self, info: EndpointInfo) {
        Router::upsert(self, info);
    }

    fn remove(&mut self, name: &EndpointName) {
        Router::remove(self, name);
    }

    fn mark_leaving(&mut self, name: &EndpointName, until: Millis) {
        Router::mark_leaving(self, name, until);
    }

    fn record_load(&mut self, name: &EndpointName, load: &Load, now: Millis) {
        Router::record_load(self, name, load, now);
    }

    fn record_sent(&mut self, name: &EndpointName, dispatch: &Dispatch, now: Millis) {
        Router::record_sent(self, name, dispatch, now);
    }

    fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    ) {
        Router::record_finished(self, name, attempt, finish, now);
    }

    fn apply_cache_events(&mut self, name: &EndpointName, events: &[CacheEvent]) -> Option<Trust> {
        Router::apply_cache_events(self, name, events)
    }

    fn replace_cache(&mut self, name: &EndpointName, list: &CacheList) -> Option<Trust> {
        Router::replace_cache(self, name, list)
    }

    fn record_rates(&mut self, name: &EndpointName, rates: &Rates, now: Millis) {
        Router::record_rates(self, name, rates, now);
    }

    fn choose(
        &mut self,
        query: &Query,
        now: Millis,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoEndpoint> {
        Router::choose(self, query, now, rng)
    }
}

/// How a baseline selects among the endpoints that can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Selects each in turn.
    RoundRobin,
    /// Selects the lowest number of requests per slot, at random among equals.
    LeastLoaded,
    /// Applies rendezvous hashing to this many leading blocks of the prompt. The number must exceed
    /// the length of the instructions that different documents share; otherwise all of these
    /// documents go to one endpoint.
    PrefixHash(usize),
}

/// A simple policy that the router is compared with.
#[derive(Clone, Debug)]
pub struct Baseline {
    view: View,
    strategy: Strategy,
    counter: usize,
}

impl Baseline {
    /// Creates a baseline that knows no endpoints.
    #[must_use]
    pub fn new(strategy: Strategy, options: RouterOptions) -> Self {
        Self {
            view: View::new(options),
            strategy,
            counter: 0,
        }
    }

    fn occupancy(&self, id: usize) -> f64 {
        let endpoint = self.view.get(id);
        to_f64(endpoint.active) / endpoint.slots().map_or(1.0, to_f64)
    }

    fn select(&mut self, ids: &[usize], query: &Query, rng: &mut dyn RngCore) -> Option<usize> {
        match self.strategy {
            Strategy::RoundRobin => {
                self.counter = self.counter.wrapping_add(1);
                (!ids.is_empty()).then(|| ids[self.counter % ids.len()])
            }
            Strategy::LeastLoaded => {
                let start = rng.next_u32() as usize % ids.len().max(1);
                (0..ids.len())
                    .map(|offset| ids[(start + offset) % ids.len()])
                    .min_by(|a, b| self.occupancy(*a).total_cmp(&self.occupancy(*b)))
            }
            Strategy::PrefixHash(depth) => {
                let last = query.blocks.iter().take(depth).next_back();
                let key = last.map_or_else(|| rng.next_u64(), |hash| *hash);
                ids.iter().copied().max_by_key(|id| {
                    score(&key.to_le_bytes(), self.view.get(*id).info.name.as_str())
                })
            }
        }
    }
}

impl Policy for Baseline {
    fn name(&self) -> &'static str {
        match self.strategy {
            Strategy::RoundRobin => "round-robin",
            Strategy::LeastLoaded => "least-loaded",
            Strategy::PrefixHash(_) => "prefix-hash",
        }
    }

    fn upsert(&mut self, info: EndpointInfo) {
        self.view.upsert(info);
    }

    fn remove(&mut self, name: &EndpointName) {
        self.view.remove(name);
    }

    fn mark_leaving(&mut self, name: &EndpointName, until: Millis) {
        self.view.mark_leaving(name, until);
    }

    fn record_load(&mut self, name: &EndpointName, load: &Load, now: Millis) {
        self.view.record_load(name, load, now);
    }

    fn record_sent(&mut self, name: &EndpointName, dispatch: &Dispatch, now: Millis) {
        self.view.record_sent(name, dispatch, Vec::new(), now);
    }

    fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    ) {
        self.view.record_finished(name, attempt, finish, now);
    }

    fn apply_cache_events(&mut self, _: &EndpointName, _: &[CacheEvent]) -> Option<Trust> {
        None
    }

    fn replace_cache(&mut self, _: &EndpointName, _: &CacheList) -> Option<Trust> {
        None
    }

    fn record_rates(&mut self, name: &EndpointName, rates: &Rates, now: Millis) {
        self.view.record_rates(name, rates, now);
    }

    fn choose(
        &mut self,
        query: &Query,
        _: Millis,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoEndpoint> {
        let ids = self.view.eligible(query);
        let Some(id) = self.select(&ids, query, rng) else {
            return Err(self.view.no_endpoint(query));
        };
        let info = &self.view.get(id).info;
        Ok(Choice {
            policy: self.name(),
            service: query.service.clone(),
            address: info.address,
            best: Candidate {
                endpoint: info.name.clone(),
                place: info.place.clone(),
                cached_tokens: 0,
                short: false,
                late: false,
                terms: Terms::default(),
            },
            others: Vec::new(),
            eligible: ids.len(),
            scored: ids.len(),
        })
    }
}
