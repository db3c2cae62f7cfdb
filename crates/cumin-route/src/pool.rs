//! Endpoints of a service grouped by what does not change with load.
//!
//! Among endpoints of one group without the prompt in their caches, the score rises with the time
//! at which they are ready and then with the requests they have. The first few of each group
//! therefore stand for all of it, and the number of endpoints scored does not grow with the fleet.

use std::collections::{BTreeSet, HashMap};

use cumin_types::{Model, Place, Priority, Service};
use rand::Rng;

use crate::view::{Endpoint, View};

/// What endpoints of one group have in common. Rates and expected life are in steps of a quarter
/// of an octave, so that their jitter does not split groups.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Kind {
    models: Vec<Model>,
    place: Place,
    price: f64,
    slots: Option<u64>,
    life: Option<i32>,
    rates: [i32; 3],
}

impl Kind {
    fn of(endpoint: &Endpoint) -> Self {
        let rates = endpoint.rates;
        Self {
            models: endpoint.info.models.clone(),
            place: endpoint.info.place.clone(),
            price: endpoint.info.price.0,
            slots: endpoint.slots(),
            life: endpoint.info.life.map(|life| step(crate::view::ms(life))),
            rates: [step(rates.prefill), step(rates.decode), step(rates.run_ms)],
        }
    }

    fn serves(&self, model: Option<&Model>) -> bool {
        model.is_none_or(|model| self.models.contains(model))
    }
}

#[allow(clippy::cast_possible_truncation)]
fn step(value: f64) -> i32 {
    (value.max(1.0).log2() * 4.0).round() as i32
}

/// Endpoints picked from one group at most.
const EACH: usize = 8;

/// Position in a group: ready time, load in thousandths of the slots, slot number.
type Key = (u64, u64, usize);

#[derive(Clone, Debug)]
pub(crate) struct Pool {
    kind: Kind,
    order: BTreeSet<Key>,
    members: Vec<usize>,
}

/// The groups of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pools: Vec<Pool>,
    price: f64,
    count: u64,
}

impl Group {
    /// Returns the mean price of the endpoints, 1 where all are free.
    pub(crate) fn price(&self) -> f64 {
        let mean = self.price / crate::view::real(self.count.max(1));
        if mean > f64::EPSILON { mean } else { 1.0 }
    }

    /// Returns the groups that serve a model.
    pub(crate) fn serving(&self, model: Option<&Model>) -> impl Iterator<Item = &Pool> {
        self.pools
            .iter()
            .filter(move |pool| pool.kind.serves(model))
    }

    pub(crate) fn count(&self, model: Option<&Model>) -> usize {
        self.serving(model).map(|pool| pool.members.len()).sum()
    }

    pub(crate) fn all(&self, model: Option<&Model>) -> impl Iterator<Item = usize> {
        self.serving(model)
            .flat_map(|pool| pool.members.iter().copied())
    }

    /// Picks the first that are ready and some at random of each group, up to `limit` in all.
    pub(crate) fn fill<R: Rng + ?Sized>(
        &self,
        model: Option<&Model>,
        excluded: &[usize],
        limit: usize,
        picks: &mut Vec<usize>,
        rng: &mut R,
    ) {
        let serving: Vec<&Pool> = self.serving(model).collect();
        let room = limit - picks.len();
        let each = (room / serving.len().max(1)).clamp(1, EACH);
        // With more groups than room, a different part of them is looked at each time.
        let start = if serving.len() > room {
            rng.random_range(0..serving.len())
        } else {
            0
        };
        let (before, after) = serving.split_at(start);
        for pool in after.iter().chain(before) {
            let mut left = each.div_ceil(2);
            for (_, _, id) in &pool.order {
                if left == 0 || picks.len() == limit {
                    break;
                }
                if !excluded.contains(id) && !picks.contains(id) {
                    picks.push(*id);
                    left -= 1;
                }
            }
            for _ in 0..each / 2 {
                let id = pool.members[rng.random_range(0..pool.members.len())];
                if picks.len() < limit && !excluded.contains(&id) && !picks.contains(&id) {
                    picks.push(id);
                }
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    service: Service,
    kind: Kind,
    key: Key,
    price: f64,
}

/// Groups of all services; endpoints that are leaving are in none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools {
    groups: HashMap<Service, Group>,
    entries: Vec<Option<Entry>>,
}

impl Pools {
    pub(crate) fn group(&self, service: &Service) -> Option<&Group> {
        self.groups.get(service)
    }

    pub(crate) fn contains(&self, id: usize) -> bool {
        self.entries.get(id).is_some_and(Option::is_some)
    }

    /// Brings the place of an endpoint up to date.
    pub(crate) fn update(&mut self, view: &View, id: usize) {
        let endpoint = view.get(id);
        if endpoint.leaving.is_some() {
            return self.remove(id);
        }
        let key = key(endpoint, id);
        let kind = Kind::of(endpoint);
        let service = &endpoint.info.service;
        if let Some(Some(entry)) = self.entries.get_mut(id)
            && entry.kind == kind
            && entry.service == *service
        {
            if entry.key != key
                && let Some(pool) = self
                    .groups
                    .get_mut(service)
                    .and_then(|group| group.pools.iter_mut().find(|pool| pool.kind == kind))
            {
                pool.order.remove(&entry.key);
                pool.order.insert(key);
                entry.key = key;
            }
            return;
        }
        self.remove(id);
        let group = self.groups.entry(service.clone()).or_default();
        let price = endpoint.info.price.0;
        group.price += price;
        group.count += 1;
        let index = group
            .pools
            .iter()
            .position(|pool| pool.kind == kind)
            .unwrap_or_else(|| {
                group.pools.push(Pool {
                    kind: kind.clone(),
                    order: BTreeSet::new(),
                    members: Vec::new(),
                });
                group.pools.len() - 1
            });
        group.pools[index].order.insert(key);
        group.pools[index].members.push(id);
        if self.entries.len() <= id {
            self.entries.resize_with(id + 1, || None);
        }
        self.entries[id] = Some(Entry {
            service: service.clone(),
            kind,
            key,
            price,
        });
    }

    pub(crate) fn remove(&mut self, id: usize) {
        let Some(entry) = self.entries.get_mut(id).and_then(Option::take) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&entry.service) else {
            return;
        };
        group.price -= entry.price;
        group.count -= 1;
        if let Some(index) = group.pools.iter().position(|pool| pool.kind == entry.kind) {
            let pool = &mut group.pools[index];
            pool.order.remove(&entry.key);
            pool.members.retain(|member| *member != id);
            if pool.members.is_empty() {
                group.pools.swap_remove(index);
            }
        }
        if group.count == 0 {
            self.groups.remove(&entry.service);
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn key(endpoint: &Endpoint, id: usize) -> Key {
    let slots = endpoint.slots().unwrap_or(1);
    (
        endpoint.ready(Priority::Batch) as u64,
        endpoint.active.saturating_mul(1000) / slots,
        id,
    )
}
