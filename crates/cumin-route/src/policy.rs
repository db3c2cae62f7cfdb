//! The interface that the router shares with the baselines, and the baselines.

use cumin_types::{AttemptId, EndpointName, Millis, score};
use cumin_wire::engine::{CacheEvent, CacheList, Load};
use rand::RngCore;

use crate::view::{View, real};
use crate::{
    Candidate, Choice, Dispatch, EndpointInfo, Finish, NoEndpoint, Query, Rates, Router,
    RouterOptions, Terms, Trust,
};

/// Chooses endpoints from what it is told about them.
pub trait Policy {
    /// Name in log lines and tables.
    fn name(&self) -> &'static str;
    /// Adds an endpoint or replaces its description.
    fn upsert(&mut self, info: EndpointInfo);
    /// Forgets an endpoint.
    fn remove(&mut self, name: &EndpointName);
    /// Stops new work to an endpoint, for good.
    fn mark_leaving(&mut self, name: &EndpointName, until: Millis);
    /// Takes in a load report.
    fn record_load(&mut self, name: &EndpointName, load: &Load, now: Millis);
    /// Counts an attempt that this node sends.
    fn record_sent(&mut self, name: &EndpointName, work: &Dispatch, now: Millis);
    /// Takes an attempt off.
    fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    );
    /// Applies cache events; none where the policy keeps no index.
    fn apply_cache_events(&mut self, name: &EndpointName, events: &[CacheEvent]) -> Option<Trust>;
    /// Replaces an endpoint's cache index; none where the policy keeps no index.
    fn replace_cache(&mut self, name: &EndpointName, list: &CacheList) -> Option<Trust>;
    /// Takes in measured rates.
    fn record_rates(&mut self, name: &EndpointName, rates: &Rates, now: Millis);
    /// Chooses an endpoint.
    ///
    /// # Errors
    /// [`NoEndpoint`] when none can take the request.
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

    fn record_sent(&mut self, name: &EndpointName, work: &Dispatch, now: Millis) {
        Router::record_sent(self, name, work, now);
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

/// How a baseline picks among the endpoints that can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each in turn.
    RoundRobin,
    /// Fewest requests for its slots; ties at random.
    LeastLoaded,
    /// Rendezvous hashing of this many first blocks of the prompt: more than the instructions
    /// that different documents share, else all of them go to one endpoint.
    PrefixHash(usize),
}

/// A policy without estimates.
#[derive(Clone, Debug)]
pub struct Baseline {
    view: View,
    rule: Strategy,
    turn: usize,
}

impl Baseline {
    /// Makes a baseline that knows no endpoint.
    #[must_use]
    pub fn new(rule: Strategy, options: RouterOptions) -> Self {
        Self {
            view: View::new(options),
            rule,
            turn: 0,
        }
    }

    fn share(&self, id: usize) -> f64 {
        let endpoint = self.view.get(id);
        real(endpoint.active) / endpoint.slots().map_or(1.0, real)
    }

    fn pick(&mut self, ids: &[usize], query: &Query, rng: &mut dyn RngCore) -> Option<usize> {
        match self.rule {
            Strategy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                (!ids.is_empty()).then(|| ids[self.turn % ids.len()])
            }
            Strategy::LeastLoaded => {
                let start = rng.next_u32() as usize % ids.len().max(1);
                (0..ids.len())
                    .map(|turn| ids[(start + turn) % ids.len()])
                    .min_by(|a, b| self.share(*a).total_cmp(&self.share(*b)))
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
        match self.rule {
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
        self.view.leaving(name, until);
    }

    fn record_load(&mut self, name: &EndpointName, load: &Load, now: Millis) {
        self.view.report(name, load, now);
    }

    fn record_sent(&mut self, name: &EndpointName, work: &Dispatch, now: Millis) {
        self.view.sent(name, work, Vec::new(), now);
    }

    fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    ) {
        self.view.finished(name, attempt, finish, now);
    }

    fn apply_cache_events(&mut self, _: &EndpointName, _: &[CacheEvent]) -> Option<Trust> {
        None
    }

    fn replace_cache(&mut self, _: &EndpointName, _: &CacheList) -> Option<Trust> {
        None
    }

    fn record_rates(&mut self, name: &EndpointName, rates: &Rates, now: Millis) {
        self.view.observe(name, rates, now);
    }

    fn choose(
        &mut self,
        query: &Query,
        _: Millis,
        rng: &mut dyn RngCore,
    ) -> Result<Choice, NoEndpoint> {
        let ids = self.view.eligible(query);
        let Some(id) = self.pick(&ids, query, rng) else {
            return Err(self.view.none(query));
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
