//! Bound on the requests that one entry sends to a version that is not judged yet.
//!
//! Each entry is bounded by its own requests and its own part of the slack. The sum over all entries
//! is then bounded without any message between them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cumin_types::{Millis, score};

/// Bounds on the exposure of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposeBounds {
    /// Share of a service's requests that a bad version may receive.
    pub share: f64,
    /// Requests that it may receive in addition.
    pub slack: f64,
    /// Time after its 50th bad answer from which it may receive nothing.
    pub rollback: Millis,
}

/// Part of the share that is aimed at. It may be the whole, as each attempt is checked against the
/// bound and second attempts use the old version.
const AIMED_SHARE: f64 = 1.0;

/// Part of the slack that is used.
const USED_SLACK: f64 = 0.5;

/// Duration and part of the share of each step of the growth.
const STEPS: [(Millis, f64); 2] = [(Millis(1000), 0.25), (Millis(2000), 0.5)];

/// Time in which a share for a few endpoints is sent in one go, so that each of them carries the
/// load of an old one for a part of it: the last one, when the bound has room for it.
const PERIOD: Millis = Millis(5000);

/// Load of an endpoint in this time, relative to an old one: faults that show under load only must
/// show before the traffic moves.
const BURST_LOAD: f64 = 1.15;

/// What this entry has sent.
#[derive(Clone, Debug, Default)]
pub struct Exposure {
    /// Requests of the service since the order was seen.
    pub requests: u64,
    /// Attempts at the target version.
    pub sent: u64,
    /// This entry's part of the slack.
    part: f64,
    routes: BTreeMap<Arc<str>, RouteCredit>,
}

#[derive(Clone, Copy, Debug)]
struct RouteCredit {
    /// Part of the next request for the target version that the route has earned.
    credit: f64,
    /// Requests of the route, and some at the start.
    requests: f64,
}

/// Requests that each route counts at the start, so that the first few do not decide.
const INITIAL_REQUESTS: f64 = 4.0;

/// Power of a route's share of the requests by which its share of the exposure falls: a rare route
/// needs almost as many answers as others until a fault on it shows.
const ROUTE_POWER: f64 = -0.75;

/// Most that a route's share of the exposure may exceed the mean.
const MAX_ROUTE_FACTOR: f64 = 4.0;

/// Share at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Share of the requests now.
    pub now: f64,
    /// Number of the target version's endpoints that are used.
    pub endpoints: usize,
}

/// Returns the share and the number of endpoints in use, for an order of a certain age.
#[must_use]
pub fn share_at(bounds: &ExposeBounds, age: Millis, old: usize, new: usize) -> Share {
    let step = STEPS.iter().find(|(end, _)| age < *end);
    let aimed = bounds.share * AIMED_SHARE * step.map_or(1.0, |(_, part)| *part);
    if old == 0 || new == 0 {
        return Share {
            now: aimed,
            endpoints: new,
        };
    }
    // Each of `count` endpoints carries as much as an old one at this share.
    let even = |count: f64| (BURST_LOAD * count / (count + number(old))).min(0.5);
    let full = bounds.share.min(0.5) * AIMED_SHARE;
    let wanted = (full / (1.0 - full) * number(old)).floor().max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    let endpoints = (wanted as usize).min(new);
    let burst = even(number(endpoints)).max(aimed);
    let on = aimed / burst * number_ms(PERIOD.0);
    let phase = number_ms(age.0 % PERIOD.0);
    Share {
        now: if phase >= number_ms(PERIOD.0) - on {
            burst
        } else {
            0.0
        },
        endpoints,
    }
}

impl Exposure {
    /// Starts with the entry's part of the slack: an even one of `nodes`, or none for an entry that
    /// started during the roll-out, because the entry before it may have used that part.
    #[must_use]
    pub fn new(bounds: &ExposeBounds, nodes: Option<usize>) -> Self {
        let part = nodes.map_or(0.0, |nodes| {
            bounds.slack * USED_SLACK / number(nodes.max(1))
        });
        Self {
            part,
            ..Self::default()
        }
    }

    /// Returns whether one more attempt at the target version stays within the bound. A node that
    /// does not hear most of the others has only its part of the slack.
    #[must_use]
    pub fn has_room(&self, bounds: &ExposeBounds, hears_most: bool) -> bool {
        let share = if hears_most { bounds.share } else { 0.0 };
        number_ms(self.sent + 1) <= share * number_ms(self.requests) + self.part
    }

    /// Returns whether a request of a route is one of the `share`, and counts the request.
    ///
    /// Requests are taken at even distances, with another start at each entry: each route is
    /// reached as soon as it has enough requests.
    pub fn take(&mut self, route: &Arc<str>, node: &str, share: f64) -> bool {
        let known = self.routes.entry(route.clone()).or_insert_with(|| {
            let start = score(route.as_bytes(), node) % 1000;
            RouteCredit {
                credit: number_ms(start) / 1000.0,
                requests: INITIAL_REQUESTS,
            }
        });
        known.requests += 1.0;
        let factor = if share < 1.0 { self.factor(route) } else { 1.0 };
        let Some(known) = self.routes.get_mut(route) else {
            return false;
        };
        known.credit += (share * factor).min(1.0);
        if known.credit < 1.0 {
            return false;
        }
        // Requests without room do not add up to a burst.
        known.credit = (known.credit - 1.0).min(1.0);
        true
    }

    /// Returns the exposure of a route relative to the mean of all requests.
    fn factor(&self, route: &Arc<str>) -> f64 {
        let all: f64 = self.routes.values().map(|known| known.requests).sum();
        let weight = |known: &RouteCredit| (known.requests / all).powf(ROUTE_POWER);
        let parts = self.routes.values().map(|k| k.requests / all * weight(k));
        let own = self.routes.get(route).map_or(1.0, weight);
        (own / parts.sum::<f64>()).min(MAX_ROUTE_FACTOR)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn number(count: usize) -> f64 {
    count as f64
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn number_ms(count: u64) -> f64 {
    count as f64
}
