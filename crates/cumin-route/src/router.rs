//! The policy that nodes use: endpoint selection by estimated time to the first token.

use std::cmp::Ordering;

use cumin_types::{AttemptId, EndpointName, Millis, Model, Service};
use cumin_wire::engine::{CacheEvent, CacheList, Load};
use rand::Rng;

use crate::index::{Index, tokens_in_blocks};
use crate::pool::{Pools, ServicePools};
use crate::view::{Endpoint, View, millis_f64, to_f64};
use crate::{
    Candidate, Choice, Dispatch, EndpointInfo, Finish, MoveTarget, NoEndpoint, OwnLoad, Policy,
    Query, Rates, RouterOptions, Terms, Trust,
};

/// Candidates whose score is this close to the best are chosen among at random, so that nodes that
/// have the same delayed reports do not all choose the same endpoint.
const TIE_MARGIN_MS: f64 = 1.0;

/// Slots assumed for an endpoint that does not report them.
const ASSUMED_SLOTS: f64 = 16.0;

/// Upper bound of the occupancy in the crowding term; beyond it the queue term has the wait for a
/// slot.
const MAX_OCCUPANCY: f64 = 0.95;

/// Chooses the endpoint with the lowest weighted estimate of the time to the first token.
#[derive(Clone, Debug)]
pub struct Router {
    view: View,
    index: Index,
    pools: Pools,
    /// Leading blocks of the prompt that each endpoint caches, by endpoint id; zero outside of
    /// `choose`.
    cached_blocks: Vec<usize>,
    /// Endpoints with cached blocks, longest prefix first; empty outside of `choose`.
    cache_hits: Vec<usize>,
    /// Ids of the candidates of the last choice, kept to reuse the allocation.
    candidates: Vec<usize>,
}

/// The score of a candidate, by endpoint id.
#[derive(Clone, Copy, Debug)]
struct Evaluation {
    id: usize,
    cached: u64,
    short: bool,
    late: bool,
    score: f64,
    terms: Terms,
}

impl Evaluation {
    fn order(&self, other: &Self) -> Ordering {
        (self.late, self.short)
            .cmp(&(other.late, other.short))
            .then(self.score.total_cmp(&other.score))
            .then(self.id.cmp(&other.id))
    }
}

impl Router {
    /// Creates a router that knows no endpoints.
    #[must_use]
    pub fn new(options: RouterOptions) -> Self {
        Self {
            index: Index::new(options.blocks),
            view: View::new(options),
            pools: Pools::default(),
            cached_blocks: Vec::new(),
            cache_hits: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Replaces the weights of price and of recomputed tokens.
    pub fn set_weights(&mut self, price_weight: f64, recompute_weight: f64) {
        self.view.options.price_weight = price_weight;
        self.view.options.recompute_weight = recompute_weight;
    }

    /// Adds an endpoint or replaces its description. A new address means a new process with an
    /// empty cache.
    pub fn upsert(&mut self, info: EndpointInfo) {
        let (id, new_process) = self.view.upsert(info);
        if new_process {
            self.index.reset(id);
        }
        if self.cached_blocks.len() <= id {
            self.cached_blocks.resize(id + 1, 0);
        }
        self.pools.update(&self.view, id);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, name: &EndpointName) {
        if let Some(id) = self.view.remove(name) {
            self.index.remove_endpoint(id);
            self.pools.remove(id);
        }
    }

    /// Stops the selection of an endpoint that is reclaimed at `until`. This is final: a later
    /// [`upsert`](Self::upsert) of the same name does not revoke it.
    pub fn mark_leaving(&mut self, name: &EndpointName, until: Millis) {
        if let Some(id) = self.view.mark_leaving(name, until) {
            self.pools.remove(id);
        }
    }

    /// Records a load report; one that is older than the last is ignored.
    pub fn record_load(&mut self, name: &EndpointName, load: &Load, now: Millis) {
        if let Some(id) = self.view.record_load(name, load, now) {
            self.pools.update(&self.view, id);
        }
    }

    /// Records an attempt that this node sends, and counts the blocks of its prompt as cached at
    /// the endpoint.
    pub fn record_sent(&mut self, name: &EndpointName, dispatch: &Dispatch, now: Millis) {
        let Some(id) = self.view.id(name) else { return };
        let mut added_blocks = dispatch.blocks.clone();
        added_blocks.retain(|block| self.index.add_block(id, *block));
        self.view.record_sent(name, dispatch, added_blocks, now);
        self.pools.update(&self.view, id);
    }

    /// Removes a finished attempt; a second call for the same attempt has no effect.
    pub fn record_finished(
        &mut self,
        name: &EndpointName,
        attempt: AttemptId,
        finish: Finish,
        now: Millis,
    ) {
        if let Some((id, own)) = self.view.record_finished(name, attempt, finish, now) {
            if finish == Finish::NotStarted {
                for block in own.added_blocks {
                    self.index.remove_block(id, block);
                }
            }
            self.pools.update(&self.view, id);
        }
    }

    /// Applies cache events. After a gap in their sequence the index of the endpoint is not used
    /// until [`replace_cache`](Self::replace_cache). Returns none for an unknown endpoint.
    pub fn apply_cache_events(
        &mut self,
        name: &EndpointName,
        events: &[CacheEvent],
    ) -> Option<Trust> {
        let id = self.view.id(name)?;
        self.index.apply_events(id, events);
        Some(self.index.trust(id))
    }

    /// Replaces the index of an endpoint and trusts it again; a list older than the events already
    /// applied is ignored. Returns none for an unknown endpoint.
    pub fn replace_cache(&mut self, name: &EndpointName, list: &CacheList) -> Option<Trust> {
        let id = self.view.id(name)?;
        if self.index.replace(id, list) {
            for own in &self.view.get(id).own {
                for block in &own.added_blocks {
                    self.index.add_block(id, *block);
                }
            }
        }
        Some(self.index.trust(id))
    }

    /// Returns whether the index of an endpoint is used for scoring.
    #[must_use]
    pub fn trust(&self, name: &EndpointName) -> Option<Trust> {
        self.view.id(name).map(|id| self.index.trust(id))
    }

    /// Updates the moving averages of an endpoint's rates; rates that are not positive are ignored.
    pub fn record_rates(&mut self, name: &EndpointName, rates: &Rates, now: Millis) {
        if let Some(id) = self.view.record_rates(name, rates, now) {
            self.pools.update(&self.view, id);
        }
    }

    /// Returns the load of this node at an endpoint.
    #[must_use]
    pub fn own_load(&self, name: &EndpointName) -> Option<OwnLoad> {
        self.view.id(name).map(|id| self.view.get(id).load())
    }

    /// Returns the description of an endpoint.
    #[must_use]
    pub fn info(&self, name: &EndpointName) -> Option<&EndpointInfo> {
        self.view.id(name).map(|id| &self.view.get(id).info)
    }

    /// Returns the endpoints that could take a request, other than those that it excludes.
    #[must_use]
    pub fn usable(&self, query: &Query) -> Vec<EndpointName> {
        let ids = self.view.eligible(query).into_iter();
        ids.map(|id| self.view.get(id).info.name.clone()).collect()
    }

    /// Returns the endpoints of a service that serve a model, as targets for moves in a reclaim.
    #[must_use]
    pub fn reclaim_targets(&self, service: &Service, model: &Model) -> Vec<MoveTarget> {
        let known = self
            .view
            .in_service(service)
            .iter()
            .map(|id| self.view.get(*id));
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

    /// Returns how many leading tokens of a prompt each trusted endpoint caches, most first.
    /// Endpoints that are leaving are left out.
    #[must_use]
    pub fn cached_tokens(&self, blocks: &[u64]) -> Vec<(EndpointName, u64)> {
        let mut found = Vec::new();
        self.index.lookup(blocks, |id, cached_blocks| {
            let endpoint = self.view.get(id);
            if endpoint.leaving.is_none() {
                found.push((endpoint.info.name.clone(), tokens_in_blocks(cached_blocks)));
            }
        });
        found.sort_by(|(a, x), (b, y)| y.cmp(x).then_with(|| a.cmp(b)));
        found
    }

    /// Chooses an endpoint.
    ///
    /// The candidates are all eligible endpoints if these are few. Otherwise they are the endpoints
    /// that cache most of the prompt and, from each pool of similar endpoints, the first that are
    /// ready and some random ones.
    ///
    /// # Errors
    /// Returns [`NoEndpoint`] when no endpoint can take the request.
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
        self.select_candidates(query, &excluded, rng);
        let deepest = self.deepest_cached_tokens(&self.candidates);
        let price = self
            .pools
            .of_service(&query.service)
            .map_or(1.0, ServicePools::mean_price);
        let mut evaluations: Vec<Evaluation> = self
            .candidates
            .iter()
            .map(|id| self.evaluate(*id, query, deepest, price, now))
            .collect();
        for id in self.cache_hits.drain(..) {
            self.cached_blocks[id] = 0;
        }
        evaluations.sort_unstable_by(Evaluation::order);
        let Some(best) = evaluations.first().copied() else {
            return Err(self.view.no_endpoint(query));
        };
        let tied = evaluations.partition_point(|other| {
            (other.late, other.short) == (best.late, best.short)
                && other.score - best.score <= TIE_MARGIN_MS
        });
        if tied > 1 {
            evaluations.swap(0, rng.random_range(0..tied));
        }
        let kept = (self.view.options.alternatives + 1).min(evaluations.len());
        Ok(Choice {
            policy: Policy::name(self),
            service: query.service.clone(),
            address: self.view.get(evaluations[0].id).info.address,
            best: self.candidate(&evaluations[0]),
            others: evaluations[1..kept]
                .iter()
                .map(|evaluation| self.candidate(evaluation))
                .collect(),
            eligible: self.eligible(query, &excluded),
            scored: evaluations.len(),
        })
    }

    fn eligible(&self, query: &Query, excluded: &[usize]) -> usize {
        let Some(service_pools) = self.pools.of_service(&query.service) else {
            return 0;
        };
        let model = query.model.as_ref();
        let all = service_pools.count(model);
        let excluded_count = excluded
            .iter()
            .filter(|id| {
                let endpoint = self.view.get(**id);
                self.pools.contains(**id)
                    && endpoint.info.service == query.service
                    && endpoint.serves(model)
            })
            .count();
        all.saturating_sub(excluded_count)
    }

    /// Fills `candidates`, and `cache_hits` and `cached_blocks` from the prefix-cache index.
    fn select_candidates<R: Rng + ?Sized>(
        &mut self,
        query: &Query,
        excluded: &[usize],
        rng: &mut R,
    ) {
        let Self {
            view,
            index,
            pools,
            cached_blocks,
            cache_hits,
            candidates,
        } = self;
        candidates.clear();
        let model = query.model.as_ref();
        let Some(service_pools) = pools.of_service(&query.service) else {
            return;
        };
        if model.is_some() {
            index.lookup(&query.blocks, |id, blocks| {
                cached_blocks[id] = blocks;
                cache_hits.push(id);
            });
        }
        let limit = view.options.candidates.max(2);
        if service_pools.count(model) <= limit {
            candidates.extend(
                service_pools
                    .members(model)
                    .filter(|id| !excluded.contains(id)),
            );
            return;
        }
        let is_eligible = |id: &usize| {
            let endpoint = view.get(*id);
            pools.contains(*id)
                && endpoint.info.service == query.service
                && endpoint.serves(model)
                && !excluded.contains(id)
        };
        select_cached(
            cache_hits,
            cached_blocks,
            limit / 2,
            is_eligible,
            candidates,
            rng,
        );
        service_pools.select(model, excluded, limit, candidates, rng);
    }

    fn deepest_cached_tokens(&self, ids: &[usize]) -> u64 {
        ids.iter()
            .map(|id| tokens_in_blocks(self.cached_blocks[*id]))
            .max()
            .unwrap_or(0)
    }

    fn evaluate(
        &self,
        id: usize,
        query: &Query,
        deepest: u64,
        price: f64,
        now: Millis,
    ) -> Evaluation {
        let endpoint = self.view.get(id);
        let options = &self.view.options;
        let cached = tokens_in_blocks(self.cached_blocks[id]).min(query.prompt_tokens);
        let deepest = deepest.min(query.prompt_tokens);
        let prefill_token_ms = 1000.0 / endpoint.rates.prefill.max(1.0);
        let decode_token_ms = 1000.0 / endpoint.rates.decode.max(0.001);
        let slots = endpoint.slots().map_or(f64::INFINITY, to_f64);
        let model = query.model.is_some();
        let remote = query
            .place
            .as_ref()
            .is_some_and(|place| *place != endpoint.info.place);
        let mut terms = Terms {
            queue: (endpoint.ready_ms(query.priority) - millis_f64(now)).max(0.0),
            prefill: to_f64(query.prompt_tokens - cached) * prefill_token_ms,
            transfer: if remote { 2.0 * options.hop_ms } else { 0.0 },
            ..Terms::default()
        };
        let run_ms = if model {
            to_f64(query.output_tokens) * decode_token_ms
        } else {
            endpoint.rates.run_ms
        };
        terms.crowd = crowding_ms(endpoint, run_ms);
        let busy_ms = terms.prefill
            + if slots.is_finite() {
                run_ms / slots
            } else {
                run_ms
            };
        terms.price = options.price_weight * busy_ms * endpoint.info.price.0 / price;
        terms.repeat =
            options.recompute_weight * to_f64(deepest.saturating_sub(cached)) * prefill_token_ms;
        let total_ms = terms.first_token_ms() + run_ms;
        let mut short = false;
        if let Some(life) = endpoint.info.life {
            let life_share = total_ms / millis_f64(life).max(1.0);
            short = life_share > options.life_share;
            let lost_ms = to_f64(query.prompt_tokens + query.output_tokens / 2) * prefill_token_ms;
            terms.risk = options.recompute_weight * life_share.min(1.0) * lost_ms;
        }
        Evaluation {
            id,
            cached,
            short,
            late: query
                .deadline
                .is_some_and(|at| millis_f64(now) + total_ms > millis_f64(at)),
            score: terms.score(),
            terms,
        }
    }

    fn candidate(&self, evaluation: &Evaluation) -> Candidate {
        let info = &self.view.get(evaluation.id).info;
        Candidate {
            endpoint: info.name.clone(),
            place: info.place.clone(),
            cached_tokens: evaluation.cached,
            short: evaluation.short,
            late: evaluation.late,
            terms: evaluation.terms,
        }
    }
}

/// Returns the wait, in milliseconds, that one more request of `run_ms` causes for later requests,
/// as in a queue of this occupancy: small while slots are free, steep before they run out.
fn crowding_ms(endpoint: &Endpoint, run_ms: f64) -> f64 {
    let slots = endpoint.slots().map_or(ASSUMED_SLOTS, to_f64);
    let occupancy = (to_f64(endpoint.active) / slots).min(MAX_OCCUPANCY);
    run_ms / slots * occupancy / (1.0 - occupancy)
}

/// Selects up to `limit` of the endpoints with cached blocks, longest prefix first. When more
/// endpoints cache a prefix of the same length than are wanted, a run of them from a random offset
/// is selected: those that are ready first are likely to be selected from their pools anyway.
fn select_cached<R: Rng + ?Sized>(
    cache_hits: &[usize],
    cached_blocks: &[usize],
    limit: usize,
    is_eligible: impl Fn(&usize) -> bool,
    candidates: &mut Vec<usize>,
    rng: &mut R,
) {
    let mut remaining = cache_hits;
    while let Some(first) = remaining.first()
        && candidates.len() < limit
    {
        let equal_depth = remaining
            .iter()
            .take_while(|id| cached_blocks[**id] == cached_blocks[*first]);
        let (group, others) = remaining.split_at(equal_depth.count());
        let wanted = (limit - candidates.len()).min(group.len());
        let start = if wanted < group.len() {
            rng.random_range(0..group.len())
        } else {
            0
        };
        let selected = group.iter().cycle().skip(start).take(wanted);
        candidates.extend(selected.copied().filter(&is_eligible));
        remaining = others;
    }
}
