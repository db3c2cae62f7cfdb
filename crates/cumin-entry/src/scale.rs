//! Autoscaling: how many reclaimable and on-demand engines to order in each place.
//!
//! Load pattern: demand varies over tens of seconds, and all reclaimable engines of a place can be
//! reclaimed at once, with no replacements available for a while. Reclaimable engines are cheap, so
//! more than needed are ordered and spread over the places: without any one place, the rest still
//! covers most of the demand. On-demand engines, at list price, cover a small base share of the
//! need, and any shortfall as soon as reclaimable engines are told to leave. Orders increase at once
//! and decrease only after the need has been lower for a while.
//!
//! Load pattern: the places are reclaimed one after the other, seconds apart, and a replacement takes
//! longer to boot than a reclaimed engine stays. For a while after a reclaim, on-demand engines
//! therefore also cover the loss of the place with the most reclaimable ones.
//!
//! Load pattern: engines state limits on the requests that they take, far below what they usually
//! take. Until the limits end, others are ordered in their place.
//!
//! Load pattern: after the nodes start, there is no traffic at first; then it starts at its full
//! rate with cold caches. The engines that run at the start are what the operators planned for, so
//! their number is kept until requests have been seen for a while; reclaimable engines replace most
//! of them before the traffic starts.

use std::collections::BTreeMap;

use cumin_types::{Millis, Place, Service};

use crate::document::ScaleLimits;
use crate::engine::{Demand, EngineModel};
use crate::fleet::Endpoint;
use crate::platform::Order;

/// Settings of [`Scaler`].
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOptions {
    /// Maximum fraction of an engine's time that prefilling takes; the rest absorbs bursts.
    pub utilisation: f64,
    /// Maximum fraction of an engine's slots that are taken on average.
    pub slot_share: f64,
    /// Engines needed in addition to the demand.
    pub spare_engines: f64,
    /// Fraction of the initial engines that counts as needed until the demand is known.
    pub initial_share: f64,
    /// Fraction of the need that is always ordered on demand.
    pub base_share: f64,
    /// Reclaimable engines to order, as a multiple of the need.
    pub spot_factor: f64,
    /// Time after a reclaim for which the loss of another place is covered.
    pub risk_time: Millis,
    /// Time that a need must have been lower before orders decrease.
    pub fall_delay: Millis,
    /// Time until an order is repeated if it was refused, or if its engines are missing.
    pub reorder_delay: Millis,
    /// Time after a start within which all endpoints are known. They start together with the nodes
    /// and write their first heartbeat within three seconds.
    pub listen_time: Millis,
    /// Time from the first request until the demand is known: by then caches are full and callers
    /// that retry have been seen.
    pub warm_time: Millis,
    /// Time after a start to wait for requests before their absence counts as no demand.
    pub idle_time: Millis,
}

impl Default for ScaleOptions {
    fn default() -> Self {
        Self {
            utilisation: 0.65,
            slot_share: 0.6,
            spare_engines: 1.0,
            initial_share: 1.0,
            base_share: 0.25,
            spot_factor: 1.3,
            risk_time: Millis(12_000),
            fall_delay: Millis(4000),
            reorder_delay: Millis(5000),
            listen_time: Millis(4500),
            warm_time: Millis(2000),
            idle_time: Millis(30_000),
        }
    }
}

impl ScaleOptions {
    /// Returns the least number of engines whose time and slots suffice for a demand.
    #[must_use]
    pub fn engines_needed(&self, engine: (&EngineModel, u32), demand: Demand) -> u32 {
        let (model, slots) = engine;
        let max_running = f64::from(slots.max(1)) * self.slot_share;
        let by_time = ceil(demand.prefilling / self.utilisation).max(1);
        let enough = |engines: u32| {
            let running = model.running(demand, f64::from(engines));
            running.is_some_and(|running| running <= max_running)
        };
        let most = by_time.saturating_mul(MAX_SLOT_FACTOR);
        let needed = (by_time..most).find(|engines| enough(*engines));
        ceil(f64::from(needed.unwrap_or(most)) + self.spare_engines)
    }
}

/// Limits what slots can add to a need, in case the model of the engines is far off.
const MAX_SLOT_FACTOR: u32 = 4;

/// A place, and whether the order is for reclaimable engines.
type OrderKey = (Place, bool);

/// A value that rises at once, and falls only after it was lower for a while, to the maximum of
/// that time.
#[derive(Debug, Default)]
struct Damped {
    value: u32,
    /// Maximum since the value was first lower, and that time.
    lower: Option<(u32, Millis)>,
}

impl Damped {
    fn update(&mut self, value: u32, fall_delay: Millis, now: Millis) -> u32 {
        if value >= self.value {
            self.value = value;
            self.lower = None;
            return value;
        }
        let (most, since) = self.lower.get_or_insert((value, now));
        *most = (*most).max(value);
        if now.since(*since) >= fall_delay.0 {
            self.value = *most;
            self.lower = None;
        }
        self.value
    }
}

/// Decides the orders of one service.
#[derive(Debug)]
pub struct Scaler {
    options: ScaleOptions,
    service: Service,
    started: Millis,
    /// Maximum number of engines seen during the listen time.
    initial: u32,
    /// Time at which requests were first seen.
    first_load: Option<Millis>,
    /// Count and time of the last accepted order.
    ordered: BTreeMap<OrderKey, (u32, Millis)>,
    /// Time of the last refused order.
    refused: BTreeMap<OrderKey, Millis>,
    /// Time at which a place was last seen to be reclaimed.
    reclaimed: Option<Millis>,
    /// Engines needed.
    need: Damped,
    /// On-demand engines wanted.
    on_demand: Damped,
}

impl Scaler {
    /// Creates the scaler of a service, for a node that started at `now`.
    #[must_use]
    pub fn new(options: ScaleOptions, service: Service, now: Millis) -> Self {
        Self {
            options,
            service,
            started: now,
            initial: 0,
            first_load: None,
            ordered: BTreeMap::new(),
            refused: BTreeMap::new(),
            reclaimed: None,
            need: Damped::default(),
            on_demand: Damped::default(),
        }
    }

    /// Returns the orders that differ from the last ones.
    ///
    /// `engine` is the model of the service's engines, with their number of slots. `limited` has
    /// the fraction of the service's requests that each engine with a limit takes.
    pub fn plan(
        &mut self,
        limits: &ScaleLimits,
        endpoints: &[&Endpoint],
        engine: (&EngineModel, u32),
        demand: Demand,
        limited: &[f64],
        now: Millis,
    ) -> Vec<Order> {
        let working: Vec<&Endpoint> = endpoints.iter().copied().filter(|e| !e.draining).collect();
        if demand.output_rate > 0.0 || demand.prefilling > 0.0 {
            self.first_load.get_or_insert(now);
        }
        if now.since(self.started) < self.options.listen_time.0 {
            self.initial = self.initial.max(count(working.len()));
            return Vec::new();
        }
        let options = &self.options;
        let mut need = options.engines_needed(engine, demand);
        if !self.demand_known(now) {
            need = need.max(ceil(f64::from(self.initial) * options.initial_share));
        }
        let need = need.saturating_add(replacements(limited, need));
        let need = self.need.update(need, options.fall_delay, now);
        let spot = count(working.iter().filter(|e| e.spot).count());
        let base = ceil(f64::from(need) * options.base_share).max(1);
        if any_reclaimed(endpoints) {
            self.reclaimed = Some(now);
        }
        let risky = self
            .reclaimed
            .is_some_and(|at| now.since(at) < options.risk_time.0);
        let at_risk = if risky { largest_place(&working) } else { 0 };
        let on_demand = need.saturating_sub(spot - at_risk).max(base);
        let on_demand = self.on_demand.update(on_demand, options.fall_delay, now);
        let reclaimable = match limits.spot_price {
            Some(_) => ceil(f64::from(need) * options.spot_factor),
            None => 0,
        };
        // Only engines that are present use up a place's limit. If reclaimable engines that were
        // merely ordered did, they would block on-demand ones while none are available.
        let here = |place: &Place, spot: bool| {
            let same = working
                .iter()
                .filter(|e| e.spot == spot && e.place == *place);
            count(same.count())
        };
        let room = |place: &Place| limits.max.saturating_sub(here(place, true));
        let on_demand = self.spread(limits, false, on_demand, here, room);
        let room = |place: &Place| {
            let taken = on_demand.get(place).copied().unwrap_or(0);
            limits.max.saturating_sub(taken)
        };
        let reclaimable = self.spread(limits, true, reclaimable, here, room);
        let mut orders = Vec::new();
        for (place, count) in &reclaimable {
            // Engines that were reclaimed are ordered again after a while.
            let missing = here(place, true) < *count;
            orders.extend(self.order(place, true, *count, missing, now));
        }
        for (place, count) in on_demand {
            let spot = reclaimable.get(&place).copied().unwrap_or(0);
            let count = count.max(limits.min.saturating_sub(spot));
            orders.extend(self.order(&place, false, count, false, now));
        }
        orders
    }

    /// Returns whether the observed demand determines how many engines are needed.
    fn demand_known(&self, now: Millis) -> bool {
        let options = &self.options;
        match self.first_load {
            Some(at) => now.since(at) >= options.warm_time.0,
            None => now.since(self.started) >= options.idle_time.0,
        }
    }

    /// Distributes `total` engines of one market over the places, with as few changes to the last
    /// order as possible.
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
        let recent = |at: &Millis| now.since(*at) < self.options.reorder_delay.0;
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

    /// Records that an order was accepted.
    pub fn order_accepted(&mut self, order: &Order, now: Millis) {
        let key = (order.place.clone(), order.spot);
        self.ordered.insert(key, (order.count, now));
    }

    /// Records that an order was refused.
    pub fn order_refused(&mut self, order: &Order, now: Millis) {
        self.refused.insert((order.place.clone(), order.spot), now);
    }

    /// Returns the number of engines needed.
    #[must_use]
    pub const fn need(&self) -> u32 {
        self.need.value
    }
}

/// Returns the number of engines that take the requests which engines with limits do not take.
fn replacements(limited: &[f64], need: u32) -> u32 {
    let need = f64::from(need);
    let lost = limited.iter().map(|share| 1.0 - (share * need).min(1.0));
    ceil(lost.sum::<f64>().min(need))
}

/// Returns whether most reclaimable engines of some place drain: those that this system gives back
/// are few at a time.
fn any_reclaimed(endpoints: &[&Endpoint]) -> bool {
    let mut places: BTreeMap<&Place, (u32, u32)> = BTreeMap::new();
    for endpoint in endpoints.iter().filter(|e| e.spot) {
        let (draining, all) = places.entry(&endpoint.place).or_default();
        *draining += u32::from(endpoint.draining);
        *all += 1;
    }
    let mut counts = places.into_values();
    counts.any(|(draining, all)| draining > 1 && 2 * draining > all)
}

/// Returns the number of reclaimable engines in the place that has the most.
fn largest_place(working: &[&Endpoint]) -> u32 {
    let mut counts: BTreeMap<&Place, u32> = BTreeMap::new();
    for endpoint in working.iter().filter(|e| e.spot) {
        *counts.entry(&endpoint.place).or_default() += 1;
    }
    counts.into_values().max().unwrap_or(0)
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
