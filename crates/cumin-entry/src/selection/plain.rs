//! Shares of the endpoints of a plain service, by remaining work and speed.
//!
//! All nodes draw from shares that fill up the endpoints evenly: those with the least work get what
//! brings them up to the level of the others, and none gets all of it.

use cumin_types::{Millis, Service, score};

use super::Selector;
use super::cost::MeanDemand;
use super::mean_time::MeanTime;
use crate::fleet::Endpoint;

/// Time between two digests of a peer, whose requests since the last one are unknown.
const DIGEST_MS: f64 = 250.0;

/// Requests and times of a plain service at this node.
#[derive(Debug)]
pub(super) struct Plain {
    /// Requests sent.
    pub(super) requests: MeanDemand,
    /// Time of a request in a slot, over all endpoints.
    pub(super) whole: MeanTime,
}

impl Plain {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            requests: MeanDemand::new(now),
            whole: MeanTime::default(),
        }
    }

    /// Returns the requests a millisecond of this node.
    pub(super) fn rate(&self, now: Millis) -> f64 {
        self.requests.mean(now).output_rate
    }
}

impl Selector {
    /// Returns the time of a request in a slot of an endpoint of a plain service.
    pub(super) fn slot_ms(&self, endpoint: &Endpoint, now: Millis) -> f64 {
        let plain = self.plain.get(&endpoint.service);
        let mean_ms = plain.and_then(|plain| plain.whole.get(now));
        let mean_ms = mean_ms.unwrap_or(self.options.plain_ms).max(1.0);
        mean_ms * self.time_factor(endpoint)
    }

    /// Reduces the endpoints of a plain service to a random one, by its share.
    ///
    /// Silent endpoints are left out unless all are.
    pub(super) fn keep_random(&mut self, open: &mut Vec<&Endpoint>, now: Millis) {
        let limit = self.options.silence_limit;
        let silent = |endpoint: &Endpoint| {
            let load = self.loads.get(&endpoint.name);
            load.is_some_and(|load| load.silent(limit, now))
        };
        if !open.iter().all(|endpoint| silent(endpoint)) {
            open.retain(|endpoint| !silent(endpoint));
        }
        let Some(first) = open.first() else {
            return;
        };
        let loads: Vec<(f64, f64)> = open
            .iter()
            .map(|endpoint| {
                let slots = f64::from(endpoint.slots.max(1));
                let slot_ms = self.slot_ms(endpoint, now);
                let load = self.loads.get(&endpoint.name);
                let running = load.map_or(0.0, |load| load.plain_running(slot_ms, slots, now));
                let rate = slots / slot_ms;
                (running / rate, rate)
            })
            .collect();
        let capacity: f64 = loads.iter().map(|(_, rate)| rate).sum();
        let demand = self.plain_rate(&first.service, now);
        // Without a known demand, the endpoints are taken to be busy for the whole time.
        let rate = if demand > 0.0 { demand } else { capacity };
        // A level below one request for each endpoint would leave out those with a single one.
        let fewest = f64::from(u32::try_from(open.len()).unwrap_or(u32::MAX));
        let weights = fill_shares(&loads, (rate * DIGEST_MS).max(fewest));
        let key = format!("{}{}", self.options.node, self.draws);
        let mut point = unit(score(key.as_bytes(), "plain")) * weights.iter().sum::<f64>();
        let chosen = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        if let Some(endpoint) = chosen.and_then(|index| open.get(index).copied()) {
            *open = vec![endpoint];
        }
    }

    pub(super) fn plain(&mut self, service: &Service, now: Millis) -> &mut Plain {
        self.plain
            .entry(service.clone())
            .or_insert_with(|| Plain::new(now))
    }
}

/// Returns the part of `work` requests that each endpoint gets if all are filled to one level.
/// `loads` holds the backlog in milliseconds and the requests a millisecond of each endpoint.
fn fill_shares(loads: &[(f64, f64)], work: f64) -> Vec<f64> {
    let mut order: Vec<(f64, f64)> = loads.to_vec();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut rates, mut filled, mut level) = (0.0, 0.0, 0.0);
    for (backlog, rate) in order {
        if rates > 0.0 && level <= backlog {
            break;
        }
        rates += rate;
        filled += backlog * rate;
        level = (work + filled) / rates;
    }
    let share = |(backlog, rate): &(f64, f64)| (level - backlog).max(0.0) * rate;
    loads.iter().map(share).collect()
}

/// Converts a hash to a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

/// Returns the requests that each slot of an endpoint serves in turn until a further one has ended.
pub(super) fn rounds(running: f64, slots: u32) -> f64 {
    ((running + 1.0) / f64::from(slots.max(1))).max(1.0)
}
