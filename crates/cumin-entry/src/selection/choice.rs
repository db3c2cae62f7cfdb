//! Choice of an endpoint among those of a service.

use cumin_types::{EndpointName, Millis, Service, score};

use super::cost::Rating;
use super::{Need, Room, Selector, millis, to_millis};
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
            .filter(|endpoint| need.room == Room::Any || self.free_slots(endpoint, now) >= 1.0)
            .collect();
        let all_cooling = candidates
            .iter()
            .all(|endpoint| self.cooling_down(&endpoint.name, now));
        let open = candidates
            .into_iter()
            .filter(|endpoint| all_cooling || !self.cooling_down(&endpoint.name, now));
        let (leaving, staying): (Vec<_>, Vec<_>) =
            open.partition(|endpoint| fleet.is_leaving(endpoint));
        let choice = self.choose_among(&staying, need, now);
        if matches!(choice, Choice::Use { .. }) || leaving.is_empty() {
            return choice;
        }
        let last = self.choose_among(&leaving, need, now);
        let is_full = matches!(choice, Choice::Full { .. });
        if is_full && !matches!(last, Choice::Use { .. }) {
            return choice;
        }
        last
    }

    fn choose_among(&mut self, open: &[&Endpoint], need: &Need, now: Millis) -> Choice {
        let mut sampled = self.sample(open, need);
        if !need.engine && self.nodes >= MIN_RANDOM_NODES {
            self.keep_random(&mut sampled, now);
        }
        let mut best = self.best(&sampled, need, now);
        let is_late = best.is_some_and(|(_, rating)| rating.late);
        if is_late && sampled.len() < open.len() {
            best = self.best(open, need, now);
        }
        let Some((endpoint, rating)) = best else {
            return Choice::NoEndpoint;
        };
        let estimate_ms = rating.estimate_ms;
        if rating.late && !self.take_trial(endpoint, need, now) {
            let limit = millis(need.goal_left) * self.options.goal_share;
            return Choice::Full {
                estimate_ms,
                retry_after: to_millis(estimate_ms - limit),
            };
        }
        Choice::Use {
            endpoint: endpoint.name.clone(),
            estimate_ms,
            cached: rating.cached,
        }
    }

    /// Returns the endpoint that suits best.
    fn best<'a>(
        &self,
        open: &[&'a Endpoint],
        need: &Need,
        now: Millis,
    ) -> Option<(&'a Endpoint, Rating)> {
        let rated = open
            .iter()
            .map(|endpoint| (*endpoint, self.rate(endpoint, need, now)));
        rated.min_by(|(_, a), (_, b)| a.compare(b))
    }

    /// Returns the home endpoints of the prompt's prefix and a random sample.
    fn sample<'a>(&mut self, open: &[&'a Endpoint], need: &Need) -> Vec<&'a Endpoint> {
        let random = (2 * open.len())
            .div_ceil(self.nodes)
            .max(self.options.min_sample);
        self.draws += 1;
        let mut open = open.to_vec();
        if open.len() <= random + HOME_ENDPOINTS {
            return open;
        }
        let prefix = need.parts.iter().rev().nth(1);
        let homes = prefix.map_or(0, |_| HOME_ENDPOINTS);
        if let Some(part) = prefix {
            move_highest(&mut open, homes, &part.id.to_le_bytes());
        }
        let key = format!("{}{}", self.options.node, self.draws);
        move_highest(&mut open[homes..], random, key.as_bytes());
        open.truncate(homes + random);
        open
    }
}

/// Moves the `count` endpoints with the highest hashes to the front, in any order; fewer than all.
fn move_highest(endpoints: &mut [&Endpoint], count: usize, key: &[u8]) {
    let mut hashed: Vec<(u64, &Endpoint)> = endpoints
        .iter()
        .map(|endpoint| (score(key, endpoint.name.as_str()), *endpoint))
        .collect();
    hashed.select_nth_unstable_by_key(count, |(hash, _)| std::cmp::Reverse(*hash));
    for (place, (_, endpoint)) in endpoints.iter_mut().zip(hashed) {
        *place = endpoint;
    }
}
