//! The product's policy.

use std::cmp::Ordering;

use cumin_types::{AttemptId, EndpointName, Millis, Model, Service};
use cumin_wire::engine::{CacheEvent, CacheList, Load};
use rand::Rng;

use crate::index::{Index, tokens};
use crate::pool::{Group, Pools};
use crate::view::{Endpoint, View, ms, real};
use crate::{
    Candidate, Choice, Dispatch, EndpointInfo, Finish, MoveTarget, NoEndpoint, OwnLoad, Policy,
    Query, Rates, RouterOptions, Terms, Trust,
};

/// Scores this close to the best, in milliseconds, are chosen among at random, so that nodes with
/// the same late reports do not all choose the same endpoint.
const SPREAD: f64 = 1.0;

/// Slots assumed of an endpoint that does not tell.
const SLOTS: f64 = 16.0;

/// Occupancy past which the wait for a slot is in the queue term.
const FULL: f64 = 0.95;

/// Chooses the endpoint with the lowest weighted estimate of the time to the first token.
#[derive(Clone, Debug)]
pub struct Router {
    view: View,
    index: Index,
    pools: Pools,
    /// Cached blocks by slot, zero outside of a choice.
    depth: Vec<usize>,
    holders: Vec<usize>,
    picks: Vec<usize>,
}

/// A candidate's score, without names.
#[derive(Clone, Copy, Debug)]
struct Rated {
    id: usize,
    cached: u64,
    short: bool,
    late: bool,
    score: f64,
    terms: Terms,
}

impl Rated {
    fn order(&self, other: &Self) -> Ordering {
        (self.late, self.short)
            .cmp(&(other.late, other.short))
            .then(self.score.total_cmp(&other.score))
            .then(self.id.cmp(&other.id))
    }
}

impl Router {
    /// Makes a router that knows no endpoint.
    #[must_use]
    pub fn new(options: RouterOptions) -> Self {
        Self {
            index: Index::new(options.blocks),
            view: View::new(options),
            pools: Pools::default(),
            depth: Vec::new(),
            holders: Vec::new(),
            picks: Vec::new(),
        }
    }

    /// Replaces the two objective weights.
    pub fn set_weights(&mut self, cost: f64, recompute: f64) {
        self.view.options.price_weight = cost;
        self.view.options.recompute_weight = recompute;
    }

    /// Adds an endpoint or replaces its description. A new address is a new process with an
    /// empty cache.
    pub fn upsert(&mut self, info: EndpointInfo) {
        let (id, fresh) = self.view.upsert(info);
        if fresh {
            self.index.reset(id);
        }
        if self.depth.len() <= id {
            self.depth.resize(id + 1, 0);
        }
        self.pools.update(&self.view, id);
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, name: &EndpointName) {
        if let Some(id) = self.view.remove(name) {
            self.index.forget(id);
            self.pools.remove(id);
        }
    }

    /// Stops new work to an endpoint that is reclaimed at `until`; final, also for a later
    /// [`upsert`](Self::upsert) of the same name.
    pub fn mark_leaving(&mut self, name: &EndpointName, until: Millis) {
        if let Some(id) = self.view.leaving(name, until) {
            self.pools.remove(id);
        }
    }

    /// Takes in a load report; one older than the last is ignored.
    pub fn record_load(&mut self, name: &EndpointName, load: &Load, now: Millis) {
        if let Some(id) = self.view.report(name, load, now) {
            self.pools.update(&self.view, id);
        }
    }

    /// Counts an attempt that this node sends, and its prompt's blocks as cached there.
    pub fn record_sent(&mut self, name: &EndpointName, work: &Dispatch, now: Millis) {
        let Some(id) = self.view.id(name) else { return };
        let mut fresh = work.blocks.clone();
        fresh.retain(|block| self.index.add(id, *block));
        self.view.sent(name, work, fresh, now);
        self.pools.update(&self.view, id);
    }

    /// Takes an attempt off; a second call for it has no effect.
    pub fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    ) {
        if let Some((id, own)) = self.view.finished(name, attempt, finish, now) {
            if finish == Finish::NotStarted {
                for block in own.fresh {
                    self.index.take(id, block);
                }
            }
            self.pools.update(&self.view, id);
        }
    }

    /// Applies cache events; on a gap the endpoint's index is not counted until
    /// [`replace_cache`](Self::replace_cache). None for an unknown endpoint.
    pub fn apply_cache_events(
        &mut self,
        name: &EndpointName,
        events: &[CacheEvent],
    ) -> Option<Trust> {
        let id = self.view.id(name)?;
        self.index.events(id, events);
        Some(self.index.trust(id))
    }

    /// Replaces an endpoint's index and trusts it again; a list older than the events already
    /// applied is ignored. None for an unknown endpoint.
    pub fn replace_cache(&mut self, name: &EndpointName, list: &CacheList) -> Option<Trust> {
        let id = self.view.id(name)?;
        if self.index.list(id, list) {
            for own in &self.view.get(id).own {
                for block in &own.fresh {
                    self.index.add(id, *block);
                }
            }
        }
        Some(self.index.trust(id))
    }

    /// Returns whether an endpoint's index is counted.
    #[must_use]
    pub fn trust(&self, name: &EndpointName) -> Option<Trust> {
        self.view.id(name).map(|id| self.index.trust(id))
    }

    /// Blends measured rates into an endpoint's; rates that are not positive are left out.
    pub fn record_rates(&mut self, name: &EndpointName, rates: &Rates, now: Millis) {
        if let Some(id) = self.view.observe(name, rates, now) {
            self.pools.update(&self.view, id);
        }
    }

    /// Returns what this node has at an endpoint.
    #[must_use]
    pub fn own_load(&self, name: &EndpointName) -> Option<OwnLoad> {
        self.view.id(name).map(|id| self.view.get(id).load())
    }

    /// Returns the description of an endpoint.
    #[must_use]
    pub fn info(&self, name: &EndpointName) -> Option<&EndpointInfo> {
        self.view.id(name).map(|id| &self.view.get(id).info)
    }

    /// Returns the endpoints of a service that serve a model, as targets of a reclaim.
    #[must_use]
    pub fn reclaim_targets(&self, service: &Service, model: &Model) -> Vec<MoveTarget> {
        let known = self.view.of(service).iter().map(|id| self.view.get(*id));
        known
            .filter(|endpoint| endpoint.serves(Some(model)))
            .map(|endpoint| MoveTarget {
                endpoint: endpoint.info.name.clone(),
                place: endpoint.info.place.clone(),
                models: endpoint.info.models.clone(),
                free_slots: endpoint.slots().map_or(u64::from(u32::MAX), |slots| {
                    slots.saturating_sub(endpoint.active)
                }),
                leaving: endpoint.leaving.is_some(),
            })
            .collect()
    }

    /// Returns how many leading tokens of a prompt each trusted endpoint of a service that is
    /// not leaving caches, most first.
    #[must_use]
    pub fn cached_tokens(&self, blocks: &[u64]) -> Vec<(EndpointName, u64)> {
        let mut found = Vec::new();
        self.index.lookup(blocks, |id, depth| {
            let endpoint = self.view.get(id);
            if endpoint.leaving.is_none() {
                found.push((endpoint.info.name.clone(), tokens(depth)));
            }
        });
        found.sort_by(|(a, x), (b, y)| y.cmp(x).then_with(|| a.cmp(b)));
        found
    }

    /// Chooses an endpoint.
    ///
    /// Candidates are all endpoints where they are few, else those that cache most of the prompt,
    /// and of each group of alike endpoints the first that are ready and some at random.
    ///
    /// # Errors
    /// [`NoEndpoint`] when none can take the request.
    pub fn choose<R: Rng + ?Sized>(
        &mut self,
        query: &Query,
        now: Millis,
        rng: &mut R,
    ) -> Result<Choice, NoEndpoint> {
        let known = query.exclude.iter().filter_map(|name| self.view.id(name));
        let mut excluded: Vec<usize> = known.collect();
        excluded.sort_unstable();
        excluded.dedup();
        self.pick(query, &excluded, rng);
        let deepest = self.depths(&self.picks);
        let price = self.pools.group(&query.service).map_or(1.0, Group::price);
        let mut rated: Vec<Rated> = self
            .picks
            .iter()
            .map(|id| self.rate(*id, query, deepest, price, now))
            .collect();
        for id in self.holders.drain(..) {
            self.depth[id] = 0;
        }
        rated.sort_unstable_by(Rated::order);
        let Some(best) = rated.first().copied() else {
            return Err(self.view.none(query));
        };
        let near = rated.partition_point(|other| {
            (other.late, other.short) == (best.late, best.short)
                && other.score - best.score <= SPREAD
        });
        if near > 1 {
            rated.swap(0, rng.random_range(0..near));
        }
        let keep = (self.view.options.alternatives + 1).min(rated.len());
        Ok(Choice {
            policy: Policy::name(self),
            service: query.service.clone(),
            address: self.view.get(rated[0].id).info.address,
            best: self.scored(&rated[0]),
            others: rated[1..keep].iter().map(|r| self.scored(r)).collect(),
            eligible: self.eligible(query, &excluded),
            scored: rated.len(),
        })
    }

    fn eligible(&self, query: &Query, excluded: &[usize]) -> usize {
        let Some(group) = self.pools.group(&query.service) else {
            return 0;
        };
        let model = query.model.as_ref();
        let all = group.count(model);
        let out = excluded
            .iter()
            .filter(|id| {
                let endpoint = self.view.get(**id);
                self.pools.contains(**id)
                    && endpoint.info.service == query.service
                    && endpoint.serves(model)
            })
            .count();
        all.saturating_sub(out)
    }

    /// Fills `picks` with the candidates, `holders` and `depth` with the cached blocks.
    fn pick<R: Rng + ?Sized>(&mut self, query: &Query, excluded: &[usize], rng: &mut R) {
        let Self {
            view,
            index,
            pools,
            depth,
            holders,
            picks,
        } = self;
        picks.clear();
        let model = query.model.as_ref();
        let Some(group) = pools.group(&query.service) else {
            return;
        };
        if model.is_some() {
            index.lookup(&query.blocks, |id, blocks| {
                depth[id] = blocks;
                holders.push(id);
            });
        }
        let limit = view.options.candidates.max(2);
        if group.count(model) <= limit {
            picks.extend(group.all(model).filter(|id| !excluded.contains(id)));
            return;
        }
        let usable = |id: &usize| {
            let endpoint = view.get(*id);
            pools.contains(*id)
                && endpoint.info.service == query.service
                && endpoint.serves(model)
                && !excluded.contains(id)
        };
        deepest(holders, depth, limit / 2, usable, picks, rng);
        group.fill(model, excluded, limit, picks, rng);
    }

    fn depths(&self, ids: &[usize]) -> u64 {
        ids.iter()
            .map(|id| tokens(self.depth[*id]))
            .max()
            .unwrap_or(0)
    }

    fn rate(&self, id: usize, query: &Query, deepest: u64, price: f64, now: Millis) -> Rated {
        let endpoint = self.view.get(id);
        let options = &self.view.options;
        let cached = tokens(self.depth[id]).min(query.prompt_tokens);
        let deepest = deepest.min(query.prompt_tokens);
        let per = 1000.0 / endpoint.rates.prefill.max(1.0);
        let step = 1000.0 / endpoint.rates.decode.max(0.001);
        let slots = endpoint.slots().map_or(f64::INFINITY, real);
        let model = query.model.is_some();
        let far = query
            .place
            .as_ref()
            .is_some_and(|place| *place != endpoint.info.place);
        let mut terms = Terms {
            queue: (endpoint.ready(query.priority) - ms(now)).max(0.0),
            prefill: real(query.prompt_tokens - cached) * per,
            transfer: if far { 2.0 * options.hop_ms } else { 0.0 },
            ..Terms::default()
        };
        let run = if model {
            real(query.output_tokens) * step
        } else {
            endpoint.rates.run_ms
        };
        terms.crowd = crowd(endpoint, run);
        let busy = terms.prefill + if slots.is_finite() { run / slots } else { run };
        terms.price = options.price_weight * busy * endpoint.info.price.0 / price;
        terms.repeat = options.recompute_weight * real(deepest.saturating_sub(cached)) * per;
        let whole = terms.first_token_ms() + run;
        let mut short = false;
        if let Some(life) = endpoint.info.life {
            let share = whole / ms(life).max(1.0);
            short = share > options.life_share;
            let lost = real(query.prompt_tokens + query.output_tokens / 2) * per;
            terms.risk = options.recompute_weight * share.min(1.0) * lost;
        }
        Rated {
            id,
            cached,
            short,
            late: query.deadline.is_some_and(|at| ms(now) + whole > ms(at)),
            score: terms.score(),
            terms,
        }
    }

    fn scored(&self, rated: &Rated) -> Candidate {
        let info = &self.view.get(rated.id).info;
        Candidate {
            endpoint: info.name.clone(),
            place: info.place.clone(),
            cached_tokens: rated.cached,
            short: rated.short,
            late: rated.late,
            terms: rated.terms,
        }
    }
}

/// Returns the wait that one more request of `run` milliseconds brings on those to come, as in a
/// queue of this occupancy: small while slots are free, steep before they run out.
fn crowd(endpoint: &Endpoint, run: f64) -> f64 {
    let slots = endpoint.slots().map_or(SLOTS, real);
    let used = (real(endpoint.active) / slots).min(FULL);
    run / slots * used / (1.0 - used)
}

/// Picks up to `limit` holders, deepest first. Of holders of equal depth that are too many for
/// the room left, it picks a part from a random place on: those that are ready first are likely
/// picked from their groups, too.
fn deepest<R: Rng + ?Sized>(
    holders: &[usize],
    depth: &[usize],
    limit: usize,
    usable: impl Fn(&usize) -> bool,
    picks: &mut Vec<usize>,
    rng: &mut R,
) {
    let mut rest = holders;
    while let Some(first) = rest.first()
        && picks.len() < limit
    {
        let alike = rest.iter().take_while(|id| depth[**id] == depth[*first]);
        let (class, others) = rest.split_at(alike.count());
        let room = (limit - picks.len()).min(class.len());
        let start = if room < class.len() {
            rng.random_range(0..class.len())
        } else {
            0
        };
        let part = class.iter().cycle().skip(start).take(room);
        picks.extend(part.copied().filter(&usable));
        rest = others;
    }
}
