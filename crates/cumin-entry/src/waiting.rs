//! Waiting of requests for which there is no capacity at present.
//!
//! A request waits in the queue of its service if it is expected to be served in time; otherwise it
//! is refused at once, with the time when capacity is expected. Both follow from one estimate. Each
//! rule handles a load pattern:
//!
//! * Long requests of a less urgent rank that would take every slot: requests wait here instead of
//!   in the queues of endpoints, and a few slots are kept for more urgent ranks seen lately.
//! * Many entries that see the same free slots: each uses the slots that its own requests free, and
//!   its part of those that digests show as free.
//! * More urgent work at other entries: an entry yields to it, for one digest interval at a time.
//! * A rank or an organisation that asks for much more than usual: within a rank, organisations are
//!   served in proportion to their usual work, so that the surplus waits or is refused first.
//! * A rank that alone exceeds the capacity: less urgent ranks are served now and then, so that none
//!   is starved.
//! * Callers that retry at once: a refused request keeps its turn at this entry.

mod estimate;
mod pressure;
mod rates;
mod service;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

pub use cumin_admit::Position;
use cumin_admit::Queueable;
use cumin_types::{Millis, NodeName, Organisation, Service, score};

pub use self::pressure::{OrgPressure, RankPressure, StatedPressure};
use self::service::ServiceWait;
use crate::document::Document;
use crate::suspects::Fingerprint;

/// Number of ranks; 0 is the most urgent.
pub const RANKS: usize = 10;

/// Identifies a waiting request.
pub type WaitNumber = u64;

/// By when the first event of a waiting request must be expected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WaitLimit {
    /// The goal of the route, or the deadline if that is earlier.
    #[default]
    Goal,
    /// The deadline.
    Deadline,
}

/// Settings of [`Waiting`].
#[derive(Clone, Debug, PartialEq)]
pub struct WaitOptions {
    /// By when the first event must be expected.
    pub limit: WaitLimit,
    /// Maximum number of waiting requests of a service.
    pub max_requests: usize,
    /// Maximum work of the waiting requests of a service, as time until its endpoints have begun it.
    pub max_wait: Millis,
    /// Maximum time that the entry yields to others at a time: a digest interval.
    pub max_yield: Millis,
    /// Time for which a peer's pressure counts: two digests may be lost.
    pub peer_ttl: Millis,
    /// How far an organisation may be scheduled ahead of the others.
    pub credit: Millis,
    /// Waiting time after which a request counts as starved.
    pub starved: Millis,
    /// A rank counts as starved while the share of its requests that is served is less than this
    /// part of the share of all requests. Callers need a quarter.
    pub relief: f64,
    /// Number of other requests served between two starved ones.
    pub relief_interval: u32,
    /// Time for which a refused request keeps its turn.
    pub turn_ttl: Millis,
    /// Maximum number of refused requests that keep their turn.
    pub max_turns: usize,
}

impl Default for WaitOptions {
    fn default() -> Self {
        Self {
            limit: WaitLimit::Goal,
            max_requests: 1024,
            max_wait: Millis(10_000),
            max_yield: Millis(250),
            peer_ttl: Millis(750),
            credit: Millis(100),
            starved: Millis(1000),
            relief: 0.4,
            relief_interval: 2,
            turn_ttl: Millis(5000),
            max_turns: 4096,
        }
    }
}

/// A request for which capacity is needed.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitRequest {
    /// Organisation; empty without one.
    pub org: Organisation,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Estimated time that it occupies a slot, in microseconds.
    pub work_us: u64,
    /// Estimated time from its dispatch to its first event, at an endpoint with a free slot.
    pub first: Millis,
    /// Time of the goal of its route.
    pub goal: Millis,
    /// Time at which its caller leaves or its route's timeout expires.
    pub deadline: Millis,
    /// Fingerprint by which a retry is recognised.
    pub fingerprint: Fingerprint,
}

/// A request in the queue.
#[derive(Clone, Debug)]
struct Item {
    number: WaitNumber,
    request: WaitRequest,
    /// Time by which the first event must be expected.
    latest: Millis,
    /// Whether it is one of the largest of its rank.
    is_large: bool,
}

impl Queueable for Item {
    fn org(&self) -> &Organisation {
        &self.request.org
    }

    fn rank(&self) -> usize {
        rank_index(self.request.rank)
    }

    fn work(&self) -> u64 {
        self.request.work_us
    }

    fn duration(&self) -> Millis {
        self.request.first
    }

    fn deadline(&self) -> Millis {
        self.latest
    }
}

/// Converts a rank to an index; ranks above the maximum count as the least urgent.
fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}

/// Slots of a service that can be used at present, over all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Capacity {
    /// Slots of the endpoints that accept work.
    pub slots: f64,
    /// How many of them are free.
    pub free: f64,
}

/// What an estimate is based on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Expected time until the request is sent.
    pub wait: Millis,
    /// Estimated time from then to the first event.
    pub first: Millis,
    /// Time left until the first event must be expected.
    pub left: Millis,
    /// Waiting requests ahead of it at this entry.
    pub ahead: usize,
    /// Requests that wait at peers and are served before it.
    pub peers: f64,
    /// Slots of the service, and how many of them are free.
    pub capacity: Capacity,
    /// Slots of the service that become free in a second.
    pub rate: f64,
    /// Part of the rate that more urgent ranks leave.
    pub available: f64,
    /// Rank and organisation of the request at the head of the queue.
    pub head: Option<(u8, Organisation)>,
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "wait_ms={} first_ms={} left_ms={} ahead={} peers={:.0} slots={:.0} free={:.0} \
             rate={:.1} available={:.2} head=",
            self.wait,
            self.first,
            self.left,
            self.ahead,
            self.peers,
            self.capacity.slots,
            self.capacity.free,
            self.rate,
            self.available
        )?;
        match &self.head {
            Some((rank, org)) => write!(f, "{rank}/{org}"),
            None => f.write_str("-"),
        }
    }
}

/// What happens to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitDecision {
    /// It may be sent now. [`Waiting::sent`] or [`Waiting::unused`] must follow.
    Send {
        /// Its turn, in case no endpoint can be used.
        turn: Position,
    },
    /// It waits.
    Wait {
        /// Its number.
        number: WaitNumber,
        /// When it is expected to be sent.
        estimate: Estimate,
    },
    /// It is refused.
    Refuse {
        /// Why it would be late.
        estimate: Estimate,
        /// Time until capacity is expected.
        retry_after: Millis,
        /// Reason for logs.
        reason: &'static str,
    },
}

/// End of a wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The request may be sent now. [`Waiting::sent`] or [`Waiting::unused`] must follow.
    Send {
        /// Its turn, in case no endpoint can be used.
        turn: Position,
    },
    /// The request is refused.
    Refuse {
        /// Time until capacity is expected.
        retry_after: Millis,
        /// Reason for logs.
        reason: &'static str,
    },
}

/// Counts of a rank of a service, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankCount {
    /// Rank.
    pub rank: u8,
    /// Requests that wait.
    pub waiting: usize,
}

/// The waiting requests of an entry.
#[derive(Debug)]
pub struct Waiting {
    options: WaitOptions,
    /// Part of a slot with which the shares of free slots start. It differs between entries, so
    /// that their parts do not add up to whole slots at the same time.
    phase: f64,
    services: BTreeMap<Service, ServiceWait>,
    /// Service of each waiting request.
    numbers: BTreeMap<WaitNumber, Service>,
    next: WaitNumber,
}

impl Waiting {
    /// Creates the state of an entry where no service has waiting requests.
    #[must_use]
    pub fn new(node: &NodeName, options: WaitOptions) -> Self {
        let hash = score(node.as_str().as_bytes(), "waiting") >> 32;
        Self {
            options,
            phase: f64::from(u32::try_from(hash).unwrap_or_default()) / f64::from(u32::MAX),
            services: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next: 0,
        }
    }

    /// Sets the services whose requests may wait. Requests of others no longer do, and are returned.
    pub fn set_services(&mut self, services: &BTreeSet<Service>) -> Vec<WaitNumber> {
        self.services.retain(|name, _| services.contains(name));
        for name in services {
            let (options, phase) = (&self.options, self.phase);
            self.services
                .entry(name.clone())
                .or_insert_with(|| ServiceWait::new(options.clone(), phase));
        }
        let numbers = self.numbers.iter();
        let removed = numbers.filter(|(_, service)| !services.contains(*service));
        let removed: Vec<WaitNumber> = removed.map(|(number, _)| *number).collect();
        self.numbers
            .retain(|_, service| services.contains(&*service));
        removed
    }

    /// Returns whether requests of a service may wait.
    #[must_use]
    pub fn is_on(&self, service: &Service) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the services with waiting requests.
    pub fn busy_services(&self) -> impl Iterator<Item = &Service> {
        let services = self.services.iter();
        let busy = services.filter(|(_, service)| service.count() > 0);
        busy.map(|(name, _)| name)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn count(&self) -> usize {
        self.numbers.len()
    }

    /// Returns the number of waiting requests by service and rank.
    #[must_use]
    pub fn counts(&self) -> Vec<(Service, RankCount)> {
        let services = self.services.iter();
        let counts = services.flat_map(|(name, service)| {
            let counts = service.counts().into_iter();
            counts.map(|count| (name.clone(), count))
        });
        counts.collect()
    }

    /// Records the capacity of a service, and the number of entries that use it.
    pub fn observe(&mut self, service: &Service, capacity: Capacity, nodes: usize, now: Millis) {
        if let Some(service) = self.services.get_mut(service) {
            service.observe(capacity, nodes, now);
        }
    }

    /// Returns whether the known capacity of a service is too old for a decision.
    #[must_use]
    pub fn needs_capacity(&self, service: &Service, now: Millis) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.needs_capacity(now))
    }

    /// Decides whether a request is sent, waits or is refused.
    ///
    /// `turn` is the turn of a request that was allowed before, and for which no endpoint could be
    /// used although capacity was expected. It is not sent at once.
    pub fn decide(
        &mut self,
        service: &Service,
        request: WaitRequest,
        turn: Option<Position>,
        now: Millis,
    ) -> WaitDecision {
        let Some(state) = self.services.get_mut(service) else {
            return WaitDecision::Send {
                turn: Position::FIRST,
            };
        };
        self.next += 1;
        let decision = state.decide(self.next, request, turn, now);
        if let WaitDecision::Wait { number, .. } = &decision {
            self.numbers.insert(*number, service.clone());
        }
        decision
    }

    /// Ends the waits of requests that may be sent or that are refused.
    pub fn release(&mut self, now: Millis) -> Vec<(WaitNumber, WaitEnd)> {
        let mut ended = Vec::new();
        for service in self.services.values_mut() {
            service.release(now, &mut ended);
        }
        for (number, _) in &ended {
            self.numbers.remove(number);
        }
        ended
    }

    /// Removes a waiting request; returns whether it waited.
    pub fn remove(&mut self, number: WaitNumber) -> bool {
        let service = self.numbers.remove(&number);
        let service = service.and_then(|service| self.services.get_mut(&service));
        service.is_some_and(|service| service.remove(number))
    }

    /// Removes all waiting requests and returns them.
    pub fn remove_all(&mut self) -> Vec<WaitNumber> {
        let numbers: Vec<WaitNumber> = self.numbers.keys().copied().collect();
        for number in &numbers {
            self.remove(*number);
        }
        numbers
    }

    /// Records that a request that was allowed was sent to an endpoint.
    pub fn sent(&mut self, service: &Service) {
        if let Some(service) = self.services.get_mut(service) {
            service.sent();
        }
    }

    /// Records that a request that was allowed was not sent.
    pub fn unused(&mut self, service: &Service, rank: u8, now: Millis) {
        if let Some(service) = self.services.get_mut(service) {
            service.unused(rank_index(rank), now);
        }
    }

    /// Records that a request that was sent has ended, after it occupied a slot for `held`.
    pub fn ended(&mut self, service: &Service, held: Millis) {
        if let Some(service) = self.services.get_mut(service) {
            service.ended(held);
        }
    }

    /// Returns what this entry states to its peers.
    #[must_use]
    pub fn stated(&self) -> Vec<StatedPressure> {
        let services = self.services.iter();
        let stated = services.filter_map(|(name, service)| service.stated(name));
        stated.collect()
    }

    /// Merges what a peer states; it replaces what the peer stated before.
    pub fn merge_peer(&mut self, node: &NodeName, stated: &[StatedPressure], now: Millis) {
        for (name, service) in &mut self.services {
            let pressure = stated.iter().find(|pressure| pressure.service == *name);
            service.merge_peer(node, pressure, now);
        }
    }
}

/// Returns the services whose requests may wait: those with engines and at least two ranks.
#[must_use]
pub fn ranked_services(document: &Document) -> BTreeSet<Service> {
    let engines = document.services.iter();
    let engines = engines.filter(|service| service.engine.is_some());
    let ranked = engines.filter(|service| {
        let mut ranks = BTreeSet::new();
        for route in &document.routes {
            if route.targets.iter().any(|(name, _)| *name == service.name) {
                if route.open || document.orgs.is_empty() {
                    ranks.insert(route.rank);
                } else {
                    let orgs = document.orgs.iter();
                    ranks.extend(orgs.map(|org| org.rank.unwrap_or(route.rank)));
                }
            }
        }
        ranks.len() > 1
    });
    ranked.map(|service| service.name.clone()).collect()
}
