//! Choice of an endpoint among those of a service.

use cumin_types::{EndpointName, Millis, Service, score};

use super::{Need, Selector, millis, to_millis};
use crate::fleet::{Endpoint, Fleet};

/// Outcome of a selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to an endpoint.
    Use {
        /// The chosen endpoint.
        endpoint: EndpointName,
        /// Estimated time to the first event or the answer.
        estimate_ms: f64,
        /// Prompt tokens assumed to be cached there.
        cached: u64,
    },
    /// No endpoint can answer in time.
    Full {
        /// Best estimate among the endpoints.
        estimate_ms: f64,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// No endpoint accepts work.
    NoEndpoint,
}

/// Number of nodes from which endpoints of plain services are chosen at random.
const MIN_RANDOM_NODES: usize = 8;

/// Number of home endpoints of a prefix: the second takes over when the first is busy or gone.
const HOME_ENDPOINTS: usize = 2;

impl Selector {
    /// Chooses an endpoint of a service, leaving out those in `avoid`.
    ///
    /// Endpoints in their cooldown are left out unless all are. Those that leave are considered only
    /// if no other one can be used.
    pub fn choose(
        &mut self,
        fleet: &Fleet,
        service: &Service,
        need: &Need,
        avoid: &[EndpointName],
        now: Millis,
    ) -> Choice {
        let candidates: Vec<&Endpoint> = fleet
            .usable(service, now)
            .filter(|endpoint| !avoid.contains(&endpoint.name))
            .collect();
        let all_cooling = candidates
            .iter()
            .all(|endpoint| self.cooling_down(&endpoint.name, now));
        let open = candidates
            .into_iter()
            .filter(|endpoint| all_cooling || !self.cooling_down(&endpoint.name, now));
        let (leaving, staying): (Vec<_>, Vec<_>) =
            open.partition(|endpoint| fleet.is_leaving(endpoint));
        let choice = self.choose_among(staying, need, now);
        if matches!(choice, Choice::Use { .. }) || leaving.is_empty() {
            return choice;
        }
        let last = self.choose_among(leaving, need, now);
        let is_full = matches!(choice, Choice::Full { .. });
        if is_full && !matches!(last, Choice::Use { .. }) {
            return choice;
        }
        last
    }

    fn choose_among(&mut self, mut open: Vec<&Endpoint>, need: &Need, now: Millis) -> Choice {
        self.sample(&mut open, need);
        if !need.engine && self.nodes >= MIN_RANDOM_NODES {
            self.keep_random(&mut open, now);
        }
        let scored = open.iter().map(|endpoint| {
            let (score, estimate_ms, cached) = self.score(endpoint, need, now);
            (score, estimate_ms, cached, *endpoint)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, estimate_ms, cached, endpoint)) = best else {
            return Choice::NoEndpoint;
        };
        let limit = millis(need.goal_left) * self.options.goal_share;
        if estimate_ms > limit && !self.take_trial(endpoint, need, now) {
            let over = estimate_ms - limit;
            return Choice::Full {
                estimate_ms,
                retry_after: to_millis(over),
            };
        }
        Choice::Use {
            endpoint: endpoint.name.clone(),
            estimate_ms,
            cached,
        }
    }

    /// Reduces the endpoints to the home endpoints of the prompt's prefix and a random sample.
    fn sample(&mut self, open: &mut Vec<&Endpoint>, need: &Need) {
        let random = (2 * open.len())
            .div_ceil(self.nodes)
            .max(self.options.min_sample);
        self.draws += 1;
        if open.len() <= random + HOME_ENDPOINTS {
            return;
        }
        let homes = need.parts.iter().rev().nth(1).map_or(0, |_| HOME_ENDPOINTS);
        if let Some(part) = need.parts.iter().rev().nth(1) {
            let key = part.id.to_le_bytes();
            open.sort_by_cached_key(|e| std::cmp::Reverse(score(&key, e.name.as_str())));
        }
        let key = format!("{}{}", self.options.node, self.draws);
        open[homes..]
            .sort_by_cached_key(|e| std::cmp::Reverse(score(key.as_bytes(), e.name.as_str())));
        open.truncate(homes + random);
    }

    /// Reduces the endpoints of a plain service to a random one, weighted by speed and load.
    ///
    /// Silent endpoints are left out unless all are.
    fn keep_random(&mut self, open: &mut Vec<&Endpoint>, now: Millis) {
        let limit = self.options.silence_limit;
        let silent = |endpoint: &Endpoint| {
            let load = self.loads.get(&endpoint.name);
            load.is_some_and(|load| load.silent(limit, now))
        };
        if !open.iter().all(|endpoint| silent(endpoint)) {
            open.retain(|endpoint| !silent(endpoint));
        }
        let weight = |endpoint: &Endpoint| {
            let load = self.loads.get(&endpoint.name);
            let running = load.map_or(0.0, |load| load.total(now).0);
            let mean_ms = load.and_then(|load| load.whole.get(now));
            let slots = f64::from(endpoint.slots.max(1));
            let mean_ms = mean_ms.unwrap_or(self.options.plain_ms).max(1.0);
            slots / (mean_ms * (1.0 + running / slots))
        };
        let weights: Vec<f64> = open.iter().map(|endpoint| weight(endpoint)).collect();
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
}

/// Converts a hash to a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}
