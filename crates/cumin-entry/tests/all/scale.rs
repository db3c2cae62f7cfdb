//! Orders of engines.

use cumin_entry::document::ScaleLimits;
use cumin_entry::engine::{Demand, EngineModel};
use cumin_entry::fleet::Endpoint;
use cumin_entry::platform::Order;
use cumin_entry::scale::{ScaleOptions, Scaler};
use cumin_types::{Millis, Place};

use crate::{endpoint, engines};

fn limits() -> ScaleLimits {
    let prices = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
    ScaleLimits {
        min: 1,
        max: 6,
        boot_time: Millis(4000),
        spot_price: Some(0.2),
        prices: prices
            .map(|(place, price)| (Place::from(place), price))
            .to_vec(),
    }
}

const MODEL: EngineModel = EngineModel {
    prefill_rate: 36.7,
    step_ms: 4.34,
    request_ms: 0.15,
    chunk_tokens: 4096.0,
    first_ms: 25.0,
};

/// Demand that keeps a number of engines busy, most of it prefilling.
fn demand(busy: f64) -> Demand {
    Demand {
        prefilling: busy * 0.8,
        output_rate: busy * 0.4,
    }
}

fn engine(place: &str, spot: bool, number: u32) -> Endpoint {
    Endpoint {
        place: Place::from(place),
        spot,
        ..endpoint(&format!("{place}{spot}{number}"))
    }
}

/// A platform that fulfils all orders, except for more reclaimable engines while `exhausted`.
struct Platform {
    engines: Vec<Endpoint>,
    exhausted: bool,
    /// Maximum number of engines in a place.
    max: u32,
    /// Fractions of all requests that engines with a limit take.
    limited: Vec<f64>,
    next: u32,
}

impl Platform {
    fn new() -> Self {
        let mut engines = Vec::new();
        for place in ["a", "b", "c"] {
            engines.extend((0..3).map(|number| engine(place, false, number)));
        }
        Self {
            engines,
            exhausted: false,
            max: limits().max,
            limited: Vec::new(),
            next: 100,
        }
    }

    fn count(&self, spot: bool) -> u32 {
        u32::try_from(self.engines.iter().filter(|e| e.spot == spot).count()).unwrap()
    }

    fn step(&mut self, scaler: &mut Scaler, busy: f64, now: Millis) -> Vec<Order> {
        let seen: Vec<&Endpoint> = self.engines.iter().collect();
        let limits = ScaleLimits {
            max: self.max,
            ..limits()
        };
        let load = demand(busy);
        let orders = scaler.plan(&limits, &seen, (&MODEL, 64), load, &self.limited, now);
        for order in &orders {
            let place = order.place.as_str();
            let here = |e: &&Endpoint| e.spot == order.spot && e.place.as_str() == place;
            let have = u32::try_from(self.engines.iter().filter(here).count()).unwrap();
            if order.spot && self.exhausted && order.count > have {
                scaler.order_refused(order, now);
                continue;
            }
            scaler.order_accepted(order, now);
            for _ in have..order.count {
                self.next += 1;
                self.engines.push(engine(place, order.spot, self.next));
            }
            let mut surplus = have.saturating_sub(order.count);
            self.engines.retain(|e| {
                let drop = surplus > 0 && e.spot == order.spot && e.place.as_str() == place;
                surplus -= u32::from(drop);
                !drop
            });
        }
        orders
    }
}

fn run(platform: &mut Platform, scaler: &mut Scaler, busy: f64, from: u64, to: u64) {
    for second in from..to {
        platform.step(scaler, busy, Millis(second * 1000));
    }
}

fn scaler() -> Scaler {
    Scaler::new(ScaleOptions::default(), engines(), Millis(0))
}

/// Under steady demand, reclaimable engines carry most of the load and few on-demand ones stay.
#[test]
fn cheap_when_steady() {
    let (mut platform, mut scaler) = (Platform::new(), scaler());
    run(&mut platform, &mut scaler, 3.0, 0, 60);
    assert!(platform.count(true) >= 5, "{}", platform.count(true));
    assert!(platform.count(false) <= 3, "{}", platform.count(false));
}

/// All reclaimable engines were reclaimed, place after place, and no others were available; those
/// that were only ordered used up the limits and blocked on-demand ones (umura-ovens scale-1).
#[test]
fn exhausted_places() {
    let (mut platform, mut scaler) = (Platform::new(), scaler());
    run(&mut platform, &mut scaler, 6.0, 0, 30);
    platform.exhausted = true;
    for (index, place) in ["c", "b", "a"].into_iter().enumerate() {
        platform
            .engines
            .retain(|e| !e.spot || e.place.as_str() != place);
        let from = 30 + 3 * index as u64;
        run(&mut platform, &mut scaler, 6.0, from, from + 3);
    }
    let need = scaler.need();
    assert!(
        platform.count(false) >= need,
        "{} of {need}",
        platform.count(false)
    );
}

/// While the demand is constant, on-demand engines that were just ordered are not given back.
#[test]
fn no_flapping() {
    let (mut platform, mut scaler) = (Platform::new(), scaler());
    run(&mut platform, &mut scaler, 4.0, 0, 40);
    platform.exhausted = true;
    platform.engines.retain(|e| !e.spot);
    let mut last = 0;
    for second in 40..60 {
        platform.step(&mut scaler, 4.0, Millis(second * 1000));
        assert!(platform.count(false) >= last, "at {second} s");
        last = platform.count(false);
    }
}

/// A node that starts must not order before it has heard of all engines.
#[test]
fn listens_first() {
    let mut scaler = scaler();
    let few = [endpoint("only")];
    let seen: Vec<&Endpoint> = few.iter().collect();
    assert!(
        scaler
            .plan(
                &limits(),
                &seen,
                (&MODEL, 64),
                demand(0.0),
                &[],
                Millis(500)
            )
            .is_empty()
    );
}

/// Reclaimable and on-demand engines together keep the limit of each place.
#[test]
fn place_limits() {
    let (mut platform, mut scaler) = (Platform::new(), scaler());
    for second in 0..60 {
        let orders = platform.step(&mut scaler, 40.0, Millis(second * 1000));
        assert!(orders.iter().all(|order| order.count <= 6));
    }
    for place in ["a", "b", "c"] {
        let here = platform
            .engines
            .iter()
            .filter(|e| e.place.as_str() == place);
        assert!(here.count() <= 6);
    }
}

/// Half of the engines were given back before the traffic started at its full rate, and it took
/// seconds until new ones had booted (hackbrett-grown scale-1).
#[test]
fn full_at_start() {
    let (mut platform, mut scaler) = (Platform::new(), scaler());
    let start = platform.engines.len();
    run(&mut platform, &mut scaler, 0.0, 0, 14);
    assert!(platform.engines.len() >= start);
    assert!(platform.count(false) < 5, "{}", platform.count(false));
    for second in 14..18 {
        platform.step(&mut scaler, 0.5, Millis(second * 1000));
        assert!(platform.engines.len() >= start, "at {second} s");
    }
    run(&mut platform, &mut scaler, 0.5, 18, 40);
    assert!(platform.engines.len() < start);
}

/// All engines stated limits far below the demand, and no others were ordered, so that most callers
/// were refused (second play of the LIMIT incident).
#[test]
fn limited_engines() {
    let (mut platform, mut scaler) = (Platform::new(), scaler());
    platform.max = 12;
    run(&mut platform, &mut scaler, 6.0, 0, 30);
    let (need, before) = (scaler.need(), platform.engines.len());
    platform.limited = vec![0.01; before];
    run(&mut platform, &mut scaler, 6.0, 30, 32);
    let new = platform.engines.len() - before;
    assert!(
        new >= need as usize,
        "{new} engines without a limit of {need}"
    );
    platform.limited = vec![0.9; before];
    run(&mut platform, &mut scaler, 6.0, 32, 60);
    let after = platform.engines.len();
    assert!(
        after <= before,
        "{after} engines, {before} before the limits"
    );
}

/// All places were reclaimed within seconds of each other. New engines took longer to boot than the
/// reclaimed ones stayed, and half of the answers were late (ijwi-kigali-grown quiet-1).
#[test]
fn reclaims_in_series() {
    const BOOT_MS: u64 = 4000;
    const NOTICE_MS: u64 = 2600;
    let limits = ScaleLimits {
        max: 40,
        ..limits()
    };
    let mut scaler = scaler();
    let mut engines: Vec<(Endpoint, u64)> = Vec::new();
    for place in ["a", "b", "c"] {
        engines.extend((0..10).map(|number| (engine(place, false, number), 0)));
    }
    let mut next = 100;
    let mut worst = f64::MAX;
    let reclaims = [(30_000, "b"), (34_000, "c"), (36_000, "a")];
    for now in (0..60_000).step_by(250) {
        for (at, place) in reclaims {
            for (engine, _) in &mut engines {
                if engine.spot && engine.place.as_str() == place && now == at {
                    engine.draining = true;
                    engine.leaves_at = Some(Millis(now + NOTICE_MS));
                }
            }
        }
        engines.retain(|(engine, _)| engine.leaves_at.is_none_or(|at| Millis(now) < at));
        let booted = engines.iter().filter(|(_, ready)| *ready <= now);
        let seen: Vec<Endpoint> = booted.map(|(engine, _)| engine.clone()).collect();
        let seen: Vec<&Endpoint> = seen.iter().collect();
        let load = demand(20.0);
        let orders = scaler.plan(&limits, &seen, (&MODEL, 64), load, &[], Millis(now));
        if now >= 30_000 {
            let working = f64::from(u32::try_from(seen.len()).unwrap());
            worst = worst.min(working / load.prefilling);
        }
        for order in orders {
            let same = |e: &Endpoint| e.spot == order.spot && e.place == order.place;
            if order.spot && now >= 30_000 {
                scaler.order_refused(&order, Millis(now));
                continue;
            }
            scaler.order_accepted(&order, Millis(now));
            let have = engines
                .iter()
                .filter(|(e, _)| same(e) && !e.draining)
                .count();
            let wanted = usize::try_from(order.count).unwrap();
            for _ in have..wanted {
                next += 1;
                let new = engine(order.place.as_str(), order.spot, next);
                engines.push((new, now + BOOT_MS));
            }
            let mut surplus = have.saturating_sub(wanted);
            engines.retain(|(e, _)| {
                let drop = surplus > 0 && same(e) && !e.draining;
                surplus -= usize::from(drop);
                !drop
            });
        }
    }
    // Engines that prefill all of the time cannot answer in time.
    assert!(worst > 1.1, "{worst:.2} engines for each that is kept busy");
}

/// Orders that were refused for minutes are made again within 6 s of the end of the shortage, even
/// though all engines are gone and no request is answered or counted.
#[test]
fn after_shortage() {
    let (mut platform, mut scaler) = (Platform::new(), scaler());
    run(&mut platform, &mut scaler, 4.0, 0, 60);
    platform.engines.clear();
    let nothing: Vec<&Endpoint> = Vec::new();
    let plan = |scaler: &mut Scaler, now: Millis| {
        let load = Demand::default();
        scaler.plan(&limits(), &nothing, (&MODEL, 64), load, &[], now)
    };
    for now in (60_000..300_000).step_by(1000).map(Millis) {
        for order in plan(&mut scaler, now) {
            scaler.order_refused(&order, now);
        }
    }
    let times = (300_000..306_000).step_by(1000).map(Millis);
    let orders: Vec<Order> = times.flat_map(|now| plan(&mut scaler, now)).collect();
    let wanted = |spot: bool| {
        orders
            .iter()
            .any(|order| order.spot == spot && order.count > 0)
    };
    assert!(wanted(true), "{orders:?}");
}

/// Without any endpoint and any demand, as all requests are refused then, engines are still ordered.
#[test]
fn from_nothing() {
    let mut scaler = scaler();
    let mut orders = Vec::new();
    for now in (0..60_000).step_by(1000).map(Millis) {
        let load = Demand::default();
        let planned = scaler.plan(&limits(), &[], (&MODEL, 64), load, &[], now);
        for order in &planned {
            scaler.order_accepted(order, now);
        }
        orders.extend(planned);
    }
    let wanted = |spot: bool| {
        orders
            .iter()
            .any(|order| order.spot == spot && order.count > 0)
    };
    assert!(wanted(true) && wanted(false), "{orders:?}");
}
