//! The endpoints that a policy knows, and the load of each as estimated from late reports and
//! from what this node has sent.

use std::collections::HashMap;

use cumin_types::{AttemptId, EndpointName, Millis, Model, Priority, Service};
use cumin_wire::engine::Load;

use crate::{Dispatch, EndpointInfo, Finish, NoEndpoint, OwnLoad, Query, Rates, RouterOptions};

/// Names of left endpoints kept so that a late listing does not bring them back.
const LEFT: usize = 4096;

/// Weight of a new measurement in a moving average.
const BLEND: f64 = 0.2;

/// Decay of the mix of priorities with each request sent.
const MIX: f64 = 0.99;

#[derive(Clone, Debug)]
pub(crate) struct Own {
    pub attempt: AttemptId,
    /// Uncached tokens of the prompt.
    pub tokens: u64,
    pub priority: Priority,
    pub sent: Millis,
    /// Blocks that the index holds only because of this attempt.
    pub fresh: Vec<u64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub info: EndpointInfo,
    pub leaving: Option<Millis>,
    pub rates: Rates,
    pub own: Vec<Own>,
    report: Option<(Load, Millis)>,
    /// Attempts of this node that the report counts and that have finished since.
    gone: u64,
    /// When a request of each priority sent now would begin its prefill, milliseconds.
    pub ready: [f64; 3],
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
            gone: 0,
            ready: [0.0; 3],
            active: 0,
        }
    }

    pub(crate) fn serves(&self, model: Option<&Model>) -> bool {
        model.is_none_or(|model| self.info.models.contains(model))
    }

    /// Returns the requests that run at once, at least one; none is unbounded.
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

    /// Recomputes the estimate from the last report and the own attempts sent after it.
    fn refresh(&mut self, context: Context, now: Millis) {
        let (load, cut) = self.report.map_or((Load::default(), None), |(load, at)| {
            (load, Some(Millis(at.since(context.lag))))
        });
        let later = |own: &&Own| cut.is_none_or(|cut| own.sent >= cut);
        let seen = (load.queued + load.running).saturating_sub(self.gone);
        let fresh = self.own.iter().filter(later).count() as u64;
        self.active = (seen + fresh).max(self.own.len() as u64);
        let per = 1000.0 / self.rates.prefill.max(1.0);
        for level in LEVELS {
            let share = context.shares[level as usize];
            let mut ready = cut.map_or(0.0, |cut| ms(cut) + real(load.backlog) * share * per);
            for own in self.own.iter().filter(later) {
                if own.priority <= level {
                    ready = ready.max(ms(own.sent)) + real(own.tokens) * per;
                }
            }
            if let Some(slots) = self.slots() {
                let over = (self.active + 1).saturating_sub(slots);
                if over > 0 {
                    // Running requests keep their slots; only those that wait are passed over.
                    let ahead = 1.0 + real(over - 1) * share;
                    ready = ready.max(ms(now) + ahead * self.rates.run_ms / real(slots));
                }
            }
            self.ready[level as usize] = ready;
        }
    }

    /// Returns when a request of this priority sent now would begin its prefill, milliseconds.
    pub(crate) fn ready(&self, priority: Priority) -> f64 {
        self.ready[priority as usize]
    }
}

const LEVELS: [Priority; 3] = [Priority::Live, Priority::Normal, Priority::Batch];

/// What an estimate needs beside the endpoint itself.
#[derive(Clone, Copy, Debug)]
struct Context {
    lag: Millis,
    /// Share of waiting work that is at least as urgent as each priority.
    shares: [f64; 3],
}

/// Endpoints by slot number, name and service.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub options: RouterOptions,
    slots: Vec<Option<Endpoint>>,
    free: Vec<usize>,
    names: HashMap<EndpointName, usize>,
    services: HashMap<Service, Vec<usize>>,
    left: HashMap<EndpointName, Millis>,
    /// Uncached tokens sent by priority, decaying. Load reports do not tell priorities apart, so
    /// the node's own mix stands for that of all.
    mix: [f64; 3],
}

impl View {
    pub(crate) fn new(options: RouterOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    fn context(&self) -> Context {
        let sum: f64 = self.mix.iter().sum();
        let mut ahead = 0.0;
        Context {
            lag: self.options.lag,
            shares: self.mix.map(|tokens| {
                ahead += tokens;
                if sum > 0.0 { ahead / sum } else { 1.0 }
            }),
        }
    }

    pub(crate) fn id(&self, name: &EndpointName) -> Option<usize> {
        self.names.get(name).copied()
    }

    pub(crate) fn get(&self, id: usize) -> &Endpoint {
        self.slots[id].as_ref().expect("a known slot is filled")
    }

    fn get_mut(&mut self, id: usize) -> &mut Endpoint {
        self.slots[id].as_mut().expect("a known slot is filled")
    }

    pub(crate) fn of(&self, service: &Service) -> &[usize] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Adds or replaces an endpoint; returns its slot and whether it is another process than
    /// before.
    pub(crate) fn upsert(&mut self, info: EndpointInfo) -> (usize, bool) {
        if let Some(id) = self.id(&info.name) {
            let old = self.get(id);
            let fresh = old.info.address != info.address;
            if old.info.service != info.service {
                let service = old.info.service.clone();
                self.unlist(&service, id);
                self.services
                    .entry(info.service.clone())
                    .or_default()
                    .push(id);
            }
            let endpoint = self.get_mut(id);
            endpoint.info = info;
            if fresh {
                endpoint.report = None;
                endpoint.gone = 0;
            }
            return (id, fresh);
        }
        let leaving = self.left.get(&info.name).copied();
        let id = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.names.insert(info.name.clone(), id);
        self.services
            .entry(info.service.clone())
            .or_default()
            .push(id);
        self.slots[id] = Some(Endpoint::new(info, leaving, self.options.rates));
        (id, true)
    }

    pub(crate) fn remove(&mut self, name: &EndpointName) -> Option<usize> {
        let id = self.names.remove(name)?;
        let old = self.slots[id].take().expect("a known slot is filled");
        self.unlist(&old.info.service, id);
        self.free.push(id);
        Some(id)
    }

    fn unlist(&mut self, service: &Service, id: usize) {
        if let Some(list) = self.services.get_mut(service) {
            list.retain(|other| *other != id);
            if list.is_empty() {
                self.services.remove(service);
            }
        }
    }

    /// Marks an endpoint, known or not yet, as leaving.
    pub(crate) fn leaving(&mut self, name: &EndpointName, until: Millis) -> Option<usize> {
        if self.left.len() >= LEFT && !self.left.contains_key(name) {
            let oldest = self.left.iter().min_by_key(|(_, until)| **until);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.left.remove(&oldest);
            }
        }
        let until = *self
            .left
            .entry(name.clone())
            .and_modify(|old| *old = until.min(*old))
            .or_insert(until);
        let id = self.id(name)?;
        self.get_mut(id).leaving = Some(until);
        Some(id)
    }

    pub(crate) fn report(
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
        endpoint.gone = 0;
        endpoint.refresh(context, now);
        Some(id)
    }

    pub(crate) fn sent(
        &mut self,
        name: &EndpointName,
        work: &Dispatch,
        fresh: Vec<u64>,
        now: Millis,
    ) -> Option<usize> {
        let (id, context) = (self.id(name)?, self.context());
        let tokens = work.prompt_tokens.saturating_sub(work.cached_tokens);
        self.mix = self.mix.map(|old| old * MIX);
        self.mix[work.priority as usize] += real(tokens);
        let endpoint = self.get_mut(id);
        endpoint.own.retain(|own| own.attempt != work.attempt);
        endpoint.own.push(Own {
            attempt: work.attempt,
            tokens,
            priority: work.priority,
            sent: now,
            fresh,
        });
        endpoint.refresh(context, now);
        Some(id)
    }

    /// Takes an attempt off; a second call for it has no effect.
    pub(crate) fn finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    ) -> Option<(usize, Own)> {
        let (id, context) = (self.id(name)?, self.context());
        let endpoint = self.get_mut(id);
        let index = endpoint.own.iter().position(|own| own.attempt == attempt)?;
        let own = endpoint.own.remove(index);
        if finish == Finish::Ran {
            let run = real(now.since(own.sent));
            endpoint.rates.run_ms += (run - endpoint.rates.run_ms) * BLEND;
            if endpoint
                .report
                .is_some_and(|(_, at)| own.sent < Millis(at.since(context.lag)))
            {
                endpoint.gone += 1;
            }
        }
        endpoint.refresh(context, now);
        Some((id, own))
    }

    pub(crate) fn observe(
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
                *old += (new - *old) * BLEND;
            }
        }
        endpoint.refresh(context, now);
        Some(id)
    }

    /// Counts why no endpoint can take the request.
    pub(crate) fn none(&self, query: &Query) -> NoEndpoint {
        let mut counts = NoEndpoint {
            service: query.service.clone(),
            known: 0,
            leaving: 0,
            other_model: 0,
            excluded: 0,
        };
        for id in self.of(&query.service) {
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

    /// Returns the endpoints that can take the request, in slot order.
    pub(crate) fn eligible(&self, query: &Query) -> Vec<usize> {
        self.of(&query.service)
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

pub(crate) fn ms(at: Millis) -> f64 {
    real(at.0)
}

/// Converts a count; those met here are far below 2^53.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn real(count: u64) -> f64 {
    count as f64
}
