//! Pools of endpoints of a service that differ only in load.
//!
//! Among endpoints of one pool that do not cache the prompt, the score rises with the time at which
//! they are ready, then with the number of their requests. The first few of a pool therefore stand
//! for the whole pool, and the number of endpoints scored does not grow with the fleet.

use std::collections::{BTreeSet, HashMap};

use cumin_types::{Model, Place, Priority, Service};
use rand::Rng;

use crate::view::{Endpoint, View};

/// Properties that the endpoints of one pool have in common. Rates and expected life are rounded to
/// a quarter of an octave, so that jitter does not split pools.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PoolClass {
    models: Vec<Model>,
    place: Place,
    price: f64,
    slots: Option<u64>,
    life: Option<i32>,
    rates: [i32; 3],
}

impl PoolClass {
    fn from_endpoint(endpoint: &Endpoint) -> Self {
        let rates = endpoint.rates;
        Self {
            models: endpoint.info.models.clone(),
            place: endpoint.info.place.clone(),
            price: endpoint.info.price.0,
            slots: endpoint.slots(),
            life: endpoint
                .info
                .life
                .map(|life| quarter_octaves(crate::view::millis_f64(life))),
            rates: [
                quarter_octaves(rates.prefill),
                quarter_octaves(rates.decode),
                quarter_octaves(rates.run_ms),
            ],
        }
    }

    fn serves(&self, model: Option<&Model>) -> bool {
        model.is_none_or(|model| self.models.contains(model))
    }
}

/// Rounds a value to quarters of an octave above 1.
#[allow(clippy::cast_possible_truncation)]
fn quarter_octaves(value: f64) -> i32 {
    (value.max(1.0).log2() * 4.0).round() as i32
}

/// Maximum number of candidates from one pool.
const MAX_PER_POOL: usize = 8;

/// Position in a pool: ready time in milliseconds, load in thousandths of the slots, endpoint id.
type OrderKey = (u64, u64, usize);

/// Endpoints of one service with the same [`PoolClass`].
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    class: PoolClass,
    order: BTreeSet<OrderKey>,
    members: Vec<usize>,
}

/// The pools of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServicePools {
    pools: Vec<Pool>,
    /// Sum of the prices of all endpoints.
    price_sum: f64,
    count: u64,
}

impl ServicePools {
    /// Returns the mean price of the endpoints, or 1 when all are free.
    pub(crate) fn mean_price(&self) -> f64 {
        let mean = self.price_sum / crate::view::to_f64(self.count.max(1));
        if mean > f64::EPSILON { mean } else { 1.0 }
    }

    /// Returns the pools that serve a model.
    pub(crate) fn serving(&self, model: Option<&Model>) -> impl Iterator<Item = &Pool> {
        self.pools
            .iter()
            .filter(move |pool| pool.class.serves(model))
    }

    pub(crate) fn count(&self, model: Option<&Model>) -> usize {
        self.serving(model).map(|pool| pool.members.len()).sum()
    }

    pub(crate) fn members(&self, model: Option<&Model>) -> impl Iterator<Item = usize> {
        self.serving(model)
            .flat_map(|pool| pool.members.iter().copied())
    }

    /// Selects from each pool the endpoints that are ready first and some random ones, until there
    /// are `limit` candidates in all.
    pub(crate) fn select<R: Rng + ?Sized>(
        &self,
        model: Option<&Model>,
        excluded: &[usize],
        limit: usize,
        candidates: &mut Vec<usize>,
        rng: &mut R,
    ) {
        let serving: Vec<&Pool> = self.serving(model).collect();
        let room = limit - candidates.len();
        let per_pool = (room / serving.len().max(1)).clamp(1, MAX_PER_POOL);
        // When there are more pools than candidates to add, each call considers different pools.
        let start = if serving.len() > room {
            rng.random_range(0..serving.len())
        } else {
            0
        };
        let (before, after) = serving.split_at(start);
        for pool in after.iter().chain(before) {
            let mut remaining = per_pool.div_ceil(2);
            for (_, _, id) in &pool.order {
                if remaining == 0 || candidates.len() == limit {
                    break;
                }
                if !excluded.contains(id) && !candidates.contains(id) {
                    candidates.push(*id);
                    remaining -= 1;
                }
            }
            for _ in 0..per_pool / 2 {
                let id = pool.members[rng.random_range(0..pool.members.len())];
                if candidates.len() < limit && !excluded.contains(&id) && !candidates.contains(&id)
                {
                    candidates.push(id);
                }
            }
        }
    }
}

/// The pool that an endpoint is in, and its position there.
#[derive(Clone, Debug)]
struct Membership {
    service: Service,
    class: PoolClass,
    order_key: OrderKey,
    price: f64,
}

/// Pools of all services; endpoints that are leaving are in none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools {
    services: HashMap<Service, ServicePools>,
    memberships: Vec<Option<Membership>>,
}

impl Pools {
    pub(crate) fn of_service(&self, service: &Service) -> Option<&ServicePools> {
        self.services.get(service)
    }

    pub(crate) fn contains(&self, id: usize) -> bool {
        self.memberships.get(id).is_some_and(Option::is_some)
    }

    /// Moves an endpoint to the pool and position that match its current state.
    pub(crate) fn update(&mut self, view: &View, id: usize) {
        let endpoint = view.get(id);
        if endpoint.leaving.is_some() {
            return self.remove(id);
        }
        let order_key = order_key(endpoint, id);
        let class = PoolClass::from_endpoint(endpoint);
        let service = &endpoint.info.service;
        if let Some(Some(membership)) = self.memberships.get_mut(id)
            && membership.class == class
            && membership.service == *service
        {
            if membership.order_key != order_key
                && let Some(pool) = self
                    .services
                    .get_mut(service)
                    .and_then(|pools| pools.pools.iter_mut().find(|pool| pool.class == class))
            {
                pool.order.remove(&membership.order_key);
                pool.order.insert(order_key);
                membership.order_key = order_key;
            }
            return;
        }
        self.remove(id);
        let service_pools = self.services.entry(service.clone()).or_default();
        let price = endpoint.info.price.0;
        service_pools.price_sum += price;
        service_pools.count += 1;
        let index = service_pools
            .pools
            .iter()
            .position(|pool| pool.class == class)
            .unwrap_or_else(|| {
                service_pools.pools.push(Pool {
                    class: class.clone(),
                    order: BTreeSet::new(),
                    members: Vec::new(),
                });
                service_pools.pools.len() - 1
            });
        service_pools.pools[index].order.insert(order_key);
        service_pools.pools[index].members.push(id);
        if self.memberships.len() <= id {
            self.memberships.resize_with(id + 1, || None);
        }
        self.memberships[id] = Some(Membership {
            service: service.clone(),
            class,
            order_key,
            price,
        });
    }

    pub(crate) fn remove(&mut self, id: usize) {
        let Some(membership) = self.memberships.get_mut(id).and_then(Option::take) else {
            return;
        };
        let Some(service_pools) = self.services.get_mut(&membership.service) else {
            return;
        };
        service_pools.price_sum -= membership.price;
        service_pools.count -= 1;
        if let Some(index) = service_pools
            .pools
            .iter()
            .position(|pool| pool.class == membership.class)
        {
            let pool = &mut service_pools.pools[index];
            pool.order.remove(&membership.order_key);
            pool.members.retain(|member| *member != id);
            if pool.members.is_empty() {
                service_pools.pools.swap_remove(index);
            }
        }
        if service_pools.count == 0 {
            self.services.remove(&membership.service);
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn order_key(endpoint: &Endpoint, id: usize) -> OrderKey {
    let slots = endpoint.slots().unwrap_or(1);
    (
        endpoint.ready_ms(Priority::Batch) as u64,
        endpoint.active.saturating_mul(1000) / slots,
        id,
    )
}
