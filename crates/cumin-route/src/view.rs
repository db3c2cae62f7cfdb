//! The endpoints known to a policy, with the load of each as estimated from delayed reports and
//! from the attempts of this node.
//!
//! Endpoints are kept in a table; their index in it is the endpoint id that the other modules use.

use std::collections::HashMap;

use cumin_types::{AttemptId, EndpointName, Millis, Model, Priority, Service};
use cumin_wire::engine::Load;

use crate::{Dispatch, EndpointInfo, Finish, NoEndpoint, OwnLoad, Query, Rates, RouterOptions};

/// Names of leaving endpoints that are remembered, so that a late listing does not add them again.
const MAX_DEPARTED_NAMES: usize = 4096;

/// Weight of a new measurement in an exponential moving average.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Factor by which the priority mix decays with each attempt sent.
const MIX_DECAY: f64 = 0.99;

/// An attempt of this node that has not finished.
#[derive(Clone, Debug)]
pub(crate) struct OwnAttempt {
    pub attempt: AttemptId,
    /// Tokens of the prompt that the endpoint has to prefill.
    pub tokens: u64,
    pub priority: Priority,
    pub sent_at: Millis,
    /// Blocks that are in the index only because of this attempt.
    pub added_blocks: Vec<u64>,
}

/// An endpoint with its measured rates and estimated load.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub info: EndpointInfo,
    /// When the endpoint is reclaimed, once it is leaving.
    pub leaving: Option<Millis>,
    pub rates: Rates,
    pub own: Vec<OwnAttempt>,
    /// The last load report and when it arrived.
    report: Option<(Load, Millis)>,
    /// Attempts of this node that are included in the report and have finished since.
    finished_since: u64,
    /// For each priority, when the prefill of a request sent now would begin, in milliseconds.
    pub ready_ms: [f64; 3],
    /// Requests queued or running.
    pub active: u64,
}

impl Endpoint {
    fn new(info: EndpointInfo, leaving: Option<Millis>, rates: Rates) -> Self {
        Self {
            info,
            leaving,
            rates,
            own: Vec::new(),
            report: None,
            finished_since: 0,
            ready_ms: [0.0; 3],
            active: 0,
        }
    }

    pub(crate) fn serves(&self, model: Option<&Model>) -> bool {
        model.is_none_or(|model| self.info.models.contains(model))
    }

    /// Returns how many requests the endpoint runs at once, at least one. None means that the
    /// number is not known and no limit is assumed.
    pub(crate) fn slots(&self) -> Option<u64> {
        let reported = self.report.map_or(0, |(load, _)| load.slots);
        Some(if reported > 0 {
            reported
        } else {
            self.info.slots
        })
        .filter(|slots| *slots > 0)
    }

    pub(crate) fn load(&self) -> OwnLoad {
        OwnLoad {
            requests: self.own.len() as u64,
            tokens: self.own.iter().map(|own| own.tokens).sum(),
        }
    }

    /// Recomputes the load estimate from the last report and the own attempts that are not in it.
    fn refresh(&mut self, context: LoadContext, now: Millis) {
        let (load, described_at) = self.report.map_or((Load::default(), None), |(load, at)| {
            (load, Some(Millis(at.since(context.report_lag))))
        });
        let after_report = |own: &&OwnAttempt| described_at.is_none_or(|at| own.sent_at >= at);
        let counted = (load.queued + load.running).saturating_sub(self.finished_since);
        let sent_since = self.own.iter().filter(after_report).count() as u64;
        self.active = (counted + sent_since).max(self.own.len() as u64);
        let token_ms = 1000.0 / self.rates.prefill.max(1.0);
        for priority in PRIORITIES {
            let share = context.urgent_shares[priority as usize];
            let mut ready_ms = described_at.map_or(0.0, |at| {
                millis_f64(at) + to_f64(load.backlog_tokens) * share * token_ms
            });
            for own in self.own.iter().filter(after_report) {
                if own.priority <= priority {
                    ready_ms =
                        ready_ms.max(millis_f64(own.sent_at)) + to_f64(own.tokens) * token_ms;
                }
            }
            if let Some(slots) = self.slots() {
                let excess = (self.active + 1).saturating_sub(slots);
                if excess > 0 {
                    // Running requests keep their slots; more urgent requests overtake only those
                    // that wait.
                    let ahead = 1.0 + to_f64(excess - 1) * share;
                    ready_ms =
                        ready_ms.max(millis_f64(now) + ahead * self.rates.run_ms / to_f64(slots));
                }
            }
            self.ready_ms[priority as usize] = ready_ms;
        }
    }

    /// Returns when the prefill of a request of this priority sent now would begin, in
    /// milliseconds.
    pub(crate) fn ready_ms(&self, priority: Priority) -> f64 {
        self.ready_ms[priority as usize]
    }
}

const PRIORITIES: [Priority; 3] = [Priority::Live, Priority::Normal, Priority::Batch];

/// Inputs of a load estimate that are common to all endpoints.
#[derive(Clone, Copy, Debug)]
struct LoadContext {
    report_lag: Millis,
    /// For each priority, the share of waiting tokens that are at least as urgent.
    urgent_shares: [f64; 3],
}

/// The known endpoints by id, name and service.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub options: RouterOptions,
    endpoints: Vec<Option<Endpoint>>,
    free_ids: Vec<usize>,
    ids: HashMap<EndpointName, usize>,
    service_ids: HashMap<Service, Vec<usize>>,
    /// Names of endpoints that are or were leaving, with the time of the reclaim.
    departed: HashMap<EndpointName, Millis>,
    /// Uncached tokens sent for each priority, with exponential decay. Load reports do not tell
    /// priorities apart, so the mix of this node stands for the mix of all nodes.
    priority_mix: [f64; 3],
}

impl View {
    pub(crate) fn new(options: RouterOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    fn context(&self) -> LoadContext {
        let sum: f64 = self.priority_mix.iter().sum();
        let mut ahead = 0.0;
        LoadContext {
            report_lag: self.options.lag,
            urgent_shares: self.priority_mix.map(|tokens| {
                ahead += tokens;
                if sum > 0.0 { ahead / sum } else { 1.0 }
            }),
        }
    }

    pub(crate) fn id(&self, name: &EndpointName) -> Option<usize> {
        self.ids.get(name).copied()
    }

    pub(crate) fn get(&self, id: usize) -> &Endpoint {
        self.endpoints[id]
            .as_ref()
            .expect("a known id has an endpoint")
    }

    fn get_mut(&mut self, id: usize) -> &mut Endpoint {
        self.endpoints[id]
            .as_mut()
            .expect("a known id has an endpoint")
    }

    pub(crate) fn in_service(&self, service: &Service) -> &[usize] {
        self.service_ids.get(service).map_or(&[], Vec::as_slice)
    }

    /// Adds an endpoint or replaces its description. Returns its id and whether it is a new
    /// process.
    pub(crate) fn upsert(&mut self, info: EndpointInfo) -> (usize, bool) {
        if let Some(id) = self.id(&info.name) {
            let old = self.get(id);
            let new_process = old.info.address != info.address;
            if old.info.service != info.service {
                let service = old.info.service.clone();
                self.remove_from_service(&service, id);
                self.service_ids
                    .entry(info.service.clone())
                    .or_default()
                    .push(id);
            }
            let endpoint = self.get_mut(id);
            endpoint.info = info;
            if new_process {
                endpoint.report = None;
                endpoint.finished_since = 0;
            }
            return (id, new_process);
        }
        let leaving = self.departed.get(&info.name).copied();
        let id = self.free_ids.pop().unwrap_or_else(|| {
            self.endpoints.push(None);
            self.endpoints.len() - 1
        });
        self.ids.insert(info.name.clone(), id);
        self.service_ids
            .entry(info.service.clone())
            .or_default()
            .push(id);
        self.endpoints[id] = Some(Endpoint::new(info, leaving, self.options.rates));
        (id, true)
    }

    pub(crate) fn remove(&mut self, name: &EndpointName) -> Option<usize> {
        let id = self.ids.remove(name)?;
        let old = self.endpoints[id]
            .take()
            .expect("a known id has an endpoint");
        self.remove_from_service(&old.info.service, id);
        self.free_ids.push(id);
        Some(id)
    }

    fn remove_from_service(&mut self, service: &Service, id: usize) {
        if let Some(list) = self.service_ids.get_mut(service) {
            list.retain(|other| *other != id);
            if list.is_empty() {
                self.service_ids.remove(service);
            }
        }
    }

    /// Marks an endpoint as leaving, also one that is not known yet.
    pub(crate) fn mark_leaving(&mut self, name: &EndpointName, until: Millis) -> Option<usize> {
        if self.departed.len() >= MAX_DEPARTED_NAMES && !self.departed.contains_key(name) {
            let oldest = self.departed.iter().min_by_key(|(_, until)| **until);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.departed.remove(&oldest);
            }
        }
        let until = *self
            .departed
            .entry(name.clone())
            .and_modify(|old| *old = until.min(*old))
            .or_insert(until);
        let id = self.id(name)?;
        self.get_mut(id).leaving = Some(until);
        Some(id)
    }

    pub(crate) fn record_load(
        &mut self,
        name: &EndpointName,
        load: &Load,
        now: Millis,
    ) -> Option<usize> {
        let (id, context) = (self.id(name)?, self.context());
        let endpoint = self.get_mut(id);
        if endpoint.report.is_some_and(|(old, _)| old.seq > load.seq) {
            return None;
        }
        endpoint.report = Some((*load, now));
        endpoint.finished_since = 0;
        endpoint.refresh(context, now);
        Some(id)
    }

    pub(crate) fn record_sent(
        &mut self,
        name: &EndpointName,
        dispatch: &Dispatch,
        added_blocks: Vec<u64>,
        now: Millis,
    ) -> Option<usize> {
        let (id, context) = (self.id(name)?, self.context());
        let tokens = dispatch
            .prompt_tokens
            .saturating_sub(dispatch.cached_tokens);
        self.priority_mix = self.priority_mix.map(|old| old * MIX_DECAY);
        self.priority_mix[dispatch.priority as usize] += to_f64(tokens);
        let endpoint = self.get_mut(id);
        endpoint.own.retain(|own| own.attempt != dispatch.attempt);
        endpoint.own.push(OwnAttempt {
            attempt: dispatch.attempt,
            tokens,
            priority: dispatch.priority,
            sent_at: now,
            added_blocks,
        });
        endpoint.refresh(context, now);
        Some(id)
    }

    /// Removes a finished attempt; a second call for the same attempt has no effect.
    pub(crate) fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    ) -> Option<(usize, OwnAttempt)> {
        let (id, context) = (self.id(name)?, self.context());
        let endpoint = self.get_mut(id);
        let index = endpoint.own.iter().position(|own| own.attempt == attempt)?;
        let own = endpoint.own.remove(index);
        if finish == Finish::Ran {
            let run_ms = to_f64(now.since(own.sent_at));
            endpoint.rates.run_ms += (run_ms - endpoint.rates.run_ms) * AVERAGE_WEIGHT;
            if endpoint
                .report
                .is_some_and(|(_, at)| own.sent_at < Millis(at.since(context.report_lag)))
            {
                endpoint.finished_since += 1;
            }
        }
        endpoint.refresh(context, now);
        Some((id, own))
    }

    pub(crate) fn record_rates(
        &mut self,
        name: &EndpointName,
        rates: &Rates,
        now: Millis,
    ) -> Option<usize> {
        let (id, context) = (self.id(name)?, self.context());
        let endpoint = self.get_mut(id);
        for (old, new) in [
            (&mut endpoint.rates.prefill, rates.prefill),
            (&mut endpoint.rates.decode, rates.decode),
            (&mut endpoint.rates.run_ms, rates.run_ms),
        ] {
            if new.is_finite() && new > 0.0 {
                *old += (new - *old) * AVERAGE_WEIGHT;
            }
        }
        endpoint.refresh(context, now);
        Some(id)
    }

    /// Counts the reasons why no endpoint can take the request.
    pub(crate) fn no_endpoint(&self, query: &Query) -> NoEndpoint {
        let mut counts = NoEndpoint {
            service: query.service.clone(),
            known: 0,
            leaving: 0,
            other_model: 0,
            excluded: 0,
        };
        for id in self.in_service(&query.service) {
            let endpoint = self.get(*id);
            counts.known += 1;
            if endpoint.leaving.is_some() {
                counts.leaving += 1;
            } else if !endpoint.serves(query.model.as_ref()) {
                counts.other_model += 1;
            } else if query.exclude.contains(&endpoint.info.name) {
                counts.excluded += 1;
            }
        }
        counts
    }

    /// Returns the ids of the endpoints that can take the request.
    pub(crate) fn eligible(&self, query: &Query) -> Vec<usize> {
        self.in_service(&query.service)
            .iter()
            .copied()
            .filter(|id| {
                let endpoint = self.get(*id);
                endpoint.leaving.is_none()
                    && endpoint.serves(query.model.as_ref())
                    && !query.exclude.contains(&endpoint.info.name)
            })
            .collect()
    }
}

pub(crate) fn millis_f64(at: Millis) -> f64 {
    to_f64(at.0)
}

/// Converts a count without loss, since the counts in this crate are far below 2^53.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}
