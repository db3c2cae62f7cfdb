//! How many engines of which kind are ordered in which place.
//!
//! Load pattern: demand that swings over tens of seconds, while the reclaimable engines of a
//! whole place can go at once with none to be had for a while. Reclaimable engines are cheap, so
//! more than enough are ordered, spread over the places: without one place they still cover most
//! of the demand. Engines at list price are a small part of the demand, and whatever is missing
//! as soon as reclaimable ones are told to go. Orders rise at once and fall only after the lower
//! need has lasted.
//!
//! Load pattern: traffic that starts at its full rate after a quiet start of the nodes, with
//! nothing cached. The engines that run at the start are what operators planned for, so their
//! number is kept until requests have been seen for a while; reclaimable ones replace most of
//! them before the traffic starts.

use std::collections::BTreeMap;

use cumin_types::{Millis, Place, Service};

use crate::border::Order;
use crate::document::ScaleLimits;
use crate::fleet::Endpoint;

/// Settings of [`Scaler`].
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOptions {
    /// Part of an engine's time that is planned for.
    pub busy: f64,
    /// Engines beyond the demand.
    pub spare: f64,
    /// Part of the engines at the start that is taken to be needed before demand is known.
    pub start: f64,
    /// Part of the need that is always ordered at list price.
    pub base: f64,
    /// Reclaimable engines ordered, as a multiple of the need.
    pub spot: f64,
    /// A lower need counts after this time.
    pub fall: Millis,
    /// An order that was refused is not repeated for this long.
    pub again: Millis,
    /// Time in which all endpoints are heard after a start. They start with the nodes, and
    /// write their first heartbeat within three seconds.
    pub listen: Millis,
    /// Time from the first requests until the demand is known: caches are full by then, and
    /// callers that came back have been seen.
    pub warm: Millis,
    /// Time after a start in which requests are waited for.
    pub blind: Millis,
}

impl Default for ScaleOptions {
    fn default() -> Self {
        Self {
            busy: 0.8,
            spare: 1.0,
            start: 1.0,
            base: 0.25,
            spot: 1.3,
            fall: Millis(4000),
            again: Millis(5000),
            listen: Millis(4500),
            warm: Millis(2000),
            blind: Millis(30_000),
        }
    }
}

/// A place, and whether its engines can be reclaimed.
type Key = (Place, bool);

/// A value that rises at once and falls to the highest value of a while.
#[derive(Debug, Default)]
struct Damped {
    value: u32,
    lower: Option<(u32, Millis)>,
}

impl Damped {
    fn update(&mut self, value: u32, fall: Millis, now: Millis) -> u32 {
        if value >= self.value {
            self.value = value;
            self.lower = None;
            return value;
        }
        let (most, since) = self.lower.get_or_insert((value, now));
        *most = (*most).max(value);
        if now.since(*since) >= fall.0 {
            self.value = *most;
            self.lower = None;
        }
        self.value
    }
}

/// Orders of one service.
#[derive(Debug)]
pub struct Scaler {
    options: ScaleOptions,
    service: Service,
    started: Millis,
    /// Most engines seen while listening.
    first: u32,
    /// When requests were first seen.
    loaded: Option<Millis>,
    /// What was ordered last, and when.
    ordered: BTreeMap<Key, (u32, Millis)>,
    refused: BTreeMap<Key, Millis>,
    need: Damped,
    list: Damped,
}

impl Scaler {
    /// Makes the state of a service without orders at a node that started at `now`.
    #[must_use]
    pub fn new(options: ScaleOptions, service: Service, now: Millis) -> Self {
        Self {
            options,
            service,
            started: now,
            first: 0,
            loaded: None,
            ordered: BTreeMap::new(),
            refused: BTreeMap::new(),
            need: Damped::default(),
            list: Damped::default(),
        }
    }

    /// Returns the orders that differ from the last ones. `busy` is the number of engines that
    /// requests keep busy.
    pub fn plan(
        &mut self,
        limits: &ScaleLimits,
        endpoints: &[&Endpoint],
        busy: f64,
        now: Millis,
    ) -> Vec<Order> {
        let working: Vec<&Endpoint> = endpoints.iter().copied().filter(|e| !e.draining).collect();
        if busy > 0.0 {
            self.loaded.get_or_insert(now);
        }
        if now.since(self.started) < self.options.listen.0 {
            self.first = self.first.max(count(working.len()));
            return Vec::new();
        }
        let options = &self.options;
        let mut need = ceil(busy / options.busy + options.spare);
        if !self.known(now) {
            need = need.max(ceil(f64::from(self.first) * options.start));
        }
        let need = self.need.update(need, options.fall, now);
        let spot = count(working.iter().filter(|e| e.spot).count());
        let base = ceil(f64::from(need) * options.base).max(1);
        let list = need.saturating_sub(spot).max(base);
        let list = self.list.update(list, options.fall, now);
        let cheap = match limits.spot {
            Some(_) => ceil(f64::from(need) * options.spot),
            None => 0,
        };
        // What is there takes room, not what is only wanted: engines that are not to be had must
        // not keep out those at list price.
        let here = |place: &Place, spot: bool| {
            let same = working
                .iter()
                .filter(|e| e.spot == spot && e.place == *place);
            count(same.count())
        };
        let room = |place: &Place| limits.most.saturating_sub(here(place, true));
        let listed = self.spread(limits, false, list, here, room);
        let room = |place: &Place| {
            let taken = listed.get(place).copied().unwrap_or(0);
            limits.most.saturating_sub(taken)
        };
        let spots = self.spread(limits, true, cheap, here, room);
        let mut orders = Vec::new();
        for (place, count) in &spots {
            // Those that went are asked for again after a while.
            let missing = here(place, true) < *count;
            orders.extend(self.order(place, true, *count, missing, now));
        }
        for (place, count) in listed {
            let spot = spots.get(&place).copied().unwrap_or(0);
            let count = count.max(limits.least.saturating_sub(spot));
            orders.extend(self.order(&place, false, count, false, now));
        }
        orders
    }

    /// Returns whether the demand says how many engines are needed.
    fn known(&self, now: Millis) -> bool {
        let options = &self.options;
        match self.loaded {
            Some(at) => now.since(at) >= options.warm.0,
            None => now.since(self.started) >= options.blind.0,
        }
    }

    /// Returns the engines of one kind in each place, changing as few of the last order as
    /// possible.
    fn spread(
        &self,
        limits: &ScaleLimits,
        spot: bool,
        total: u32,
        here: impl Fn(&Place, bool) -> u32,
        room: impl Fn(&Place) -> u32,
    ) -> BTreeMap<Place, u32> {
        let price = |place: &Place| {
            let known = limits.prices.iter().find(|(name, _)| name == place);
            known.map_or(1.0, |(_, price)| *price)
        };
        let mut counts: BTreeMap<Place, u32> = limits
            .prices
            .iter()
            .map(|(place, _)| {
                let last = self.ordered.get(&(place.clone(), spot));
                let last = last.map_or_else(|| here(place, spot), |(count, _)| *count);
                (place.clone(), last.min(room(place)))
            })
            .collect();
        loop {
            let sum: u32 = counts.values().sum();
            if sum == total {
                return counts;
            }
            let order = |a: &(Place, u32), b: &(Place, u32)| {
                a.1.cmp(&b.1).then(price(&a.0).total_cmp(&price(&b.0)))
            };
            let all = counts.iter().map(|(place, count)| (place.clone(), *count));
            let next = if sum < total {
                all.filter(|(place, count)| *count < room(place))
                    .min_by(order)
            } else {
                all.max_by(order)
            };
            let Some((place, count)) = next else {
                return counts;
            };
            let count = if sum < total { count + 1 } else { count - 1 };
            counts.insert(place, count);
        }
    }

    fn order(
        &self,
        place: &Place,
        spot: bool,
        count: u32,
        missing: bool,
        now: Millis,
    ) -> Option<Order> {
        let key = (place.clone(), spot);
        let recent = |at: &Millis| now.since(*at) < self.options.again.0;
        let refused = self.refused.get(&key).is_some_and(recent);
        let same = self.ordered.get(&key);
        let same = same.is_some_and(|(last, at)| *last == count && (!missing || recent(at)));
        (!refused && !same).then(|| Order {
            service: self.service.clone(),
            place: place.clone(),
            spot,
            count,
        })
    }

    /// Notes that an order was taken.
    pub fn taken(&mut self, order: &Order, now: Millis) {
        let key = (order.place.clone(), order.spot);
        self.ordered.insert(key, (order.count, now));
    }

    /// Notes that an order was refused.
    pub fn refused(&mut self, order: &Order, now: Millis) {
        self.refused.insert((order.place.clone(), order.spot), now);
    }

    /// Returns the engines needed.
    #[must_use]
    pub const fn need(&self) -> u32 {
        self.need.value
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn ceil(value: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast from float saturates, and counts are not negative"
    )]
    let whole = value.ceil() as u32;
    whole
}
