//! The registered endpoints.
//!
//! Registrations also expire because the store was unavailable. One that ends soon after the store
//! is back is kept for [`LAPSE_GRACE`], within which a live endpoint registers again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_retry::Leaving;
use cumin_types::{EndpointName, Millis, Place, Service};
use serde::{Deserialize, Serialize};

use crate::leaving::StatedLeaving;

/// Time for endpoints to register again after an outage of the store: the users state about two
/// seconds.
pub const LAPSE_GRACE: Millis = Millis(2200);

/// Time for which the end of a registration is remembered. The copies from which a store is restored
/// are some seconds old.
const GONE_TIME: Millis = Millis(60_000);

/// Pause between two reads of registrations, multiplied by the number of nodes that read, so that
/// the rate of calls does not depend on that number: all nodes together make 12 calls a second, of
/// the 2,000 that the users' smallest store allows.
const READ_PAUSE_PER_NODE_MS: u64 = 80;
const MIN_READ_PAUSE_MS: u64 = 200;
/// A reclaim leaves about 3 s to send work elsewhere.
const MAX_READ_PAUSE_MS: u64 = 800;

/// Pauses are limited to this fraction (1/n) of the time within which a draining endpoint must get
/// no more work.
const DRAIN_DIVISOR: u64 = 3;

/// Returns the pause between two reads of registrations when `nodes` nodes read them.
///
/// The pause also batches changes, so that many at once take few calls.
#[must_use]
pub fn read_pause(nodes: usize, drain: Millis) -> Millis {
    let wanted =
        (READ_PAUSE_PER_NODE_MS * nodes as u64).clamp(MIN_READ_PAUSE_MS, MAX_READ_PAUSE_MS);
    Millis(wanted.min(drain.0 / DRAIN_DIVISOR))
}

/// End of the time in which an endpoint may get requests, if its registration says that it drains:
/// the bound counts from the record, which this node may have read late.
const AT_ONCE: Millis = Millis(0);

/// A registered endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name. A later start under the same name has another `started_ms`.
    pub name: EndpointName,
    /// Service that it runs.
    pub service: Service,
    /// Address for requests.
    pub address: SocketAddr,
    /// Place of its instance.
    pub place: Place,
    /// Number of requests that run at once.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub draining: bool,
    /// Time at which it will be gone, if it states one.
    #[serde(rename = "leaves")]
    pub leaves_at: Option<Millis>,
    /// Whether its instance can be reclaimed.
    pub spot: bool,
    /// Time of its start, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Version of its software, if it states one.
    #[serde(default)]
    pub version: Option<crate::rollout::Version>,
}

/// Effect of a registration record on the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing changed.
    None,
    /// An endpoint is new or was restarted.
    New(EndpointName),
    /// An endpoint began to drain.
    Draining(EndpointName),
    /// An endpoint's registration ended.
    Gone(EndpointName),
    /// A registration ended soon after an outage; the endpoint is kept for now.
    Lapsed(EndpointName),
    /// A lapsed endpoint registered again.
    Returned(EndpointName),
}

#[derive(Clone, Debug)]
struct Registration {
    endpoint: Endpoint,
    /// Time at which a lapsed registration counts as gone.
    expires: Option<Millis>,
}

/// The known endpoints.
#[derive(Debug, Default)]
pub struct Fleet {
    registrations: BTreeMap<EndpointName, Registration>,
    /// Endpoints that have stated that they leave, also while they are not registered.
    leaving: Leaving,
    /// Starts of endpoints whose registrations have ended, and when.
    gone: BTreeMap<EndpointName, (u64, Millis)>,
    /// Time at which the store was last reached again after an outage.
    store_regained: Option<Millis>,
    /// Increases with each change of an endpoint or of the set.
    version: u64,
}

impl Fleet {
    /// Records that the store answers again after an outage.
    pub fn store_regained(&mut self, now: Millis) {
        self.store_regained = Some(now);
    }

    /// Records that there was no outage: lapsed endpoints are gone at `now`.
    pub fn outage_refuted(&mut self, now: Millis) {
        self.store_regained = None;
        for known in self.registrations.values_mut() {
            known.expires = known.expires.map(|at| at.min(now));
        }
    }

    /// Returns the time since the store was regained after an outage, if endpoints may still
    /// register again because of it.
    #[must_use]
    pub fn recently_regained(&self, now: Millis) -> Option<Millis> {
        let since = now.since(self.store_regained?);
        (since < LAPSE_GRACE.0).then_some(Millis(since))
    }

    /// Adds or updates a registration.
    ///
    /// An endpoint that has begun to drain does so until it starts again, even if a later record
    /// says otherwise.
    pub fn register(&mut self, mut endpoint: Endpoint) -> Change {
        let name = endpoint.name.clone();
        if endpoint.draining {
            let started_ms = endpoint.started_ms;
            self.leaving.stated(&name, started_ms, AT_ONCE, AT_ONCE);
        }
        endpoint.draining |=
            self.leaving.until(&endpoint.name, endpoint.started_ms) == Some(AT_ONCE);
        let known = self.registrations.get(&name);
        let lapsed = known.is_some_and(|known| known.expires.is_some());
        let old = known.map(|known| &known.endpoint);
        let change = match old {
            Some(old)
                if old.started_ms == endpoint.started_ms && old.address == endpoint.address =>
            {
                if endpoint.draining && !old.draining {
                    Change::Draining(name.clone())
                } else if lapsed {
                    Change::Returned(name.clone())
                } else {
                    Change::None
                }
            }
            _ => Change::New(name.clone()),
        };
        if old != Some(&endpoint) {
            self.version += 1;
        }
        self.gone.remove(&name);
        self.registrations.insert(
            name,
            Registration {
                endpoint,
                expires: None,
            },
        );
        change
    }

    /// Removes a registration that has ended, or marks it as lapsed soon after an outage.
    pub fn unregister(&mut self, name: &EndpointName, now: Millis) -> Change {
        let after_outage = self
            .store_regained
            .is_some_and(|at| now.since(at) < LAPSE_GRACE.0);
        let Some(known) = self.registrations.get_mut(name) else {
            return Change::None;
        };
        if after_outage && !known.endpoint.draining {
            let expires = self.store_regained.unwrap_or(now).plus(LAPSE_GRACE.0);
            known.expires = Some(expires);
            return Change::Lapsed(name.clone());
        }
        self.remove(name, now);
        Change::Gone(name.clone())
    }

    fn remove(&mut self, name: &EndpointName, now: Millis) {
        if let Some(known) = self.registrations.remove(name) {
            let gone = (known.endpoint.started_ms, now);
            self.gone.insert(name.clone(), gone);
        }
        self.version += 1;
    }

    /// Applies a full listing; endpoints that it lacks are unregistered.
    pub fn apply_listing(&mut self, listed: Vec<Endpoint>, now: Millis) -> Vec<Change> {
        let missing: Vec<EndpointName> = self
            .registrations
            .keys()
            .filter(|name| !listed.iter().any(|endpoint| endpoint.name == **name))
            .cloned()
            .collect();
        let mut changes: Vec<Change> = listed.into_iter().map(|e| self.register(e)).collect();
        changes.extend(missing.iter().map(|name| self.unregister(name, now)));
        changes.retain(|change| *change != Change::None);
        changes
    }

    /// Applies a full listing of a store that was restored from an older copy.
    ///
    /// Endpoints that it lacks, or lists with an earlier start than is known, are kept for
    /// [`LAPSE_GRACE`], within which live endpoints register again. Endpoints that it lists although
    /// their registrations had ended are left out until they register again. Further restores do not
    /// extend the time, and a registration that is removed meanwhile ends at once: the endpoint
    /// leaves.
    pub fn apply_restored(&mut self, mut listed: Vec<Endpoint>, now: Millis) -> Vec<Change> {
        listed.retain(|endpoint| {
            let known = self.get(&endpoint.name);
            let gone = self.gone.get(&endpoint.name);
            known.is_none_or(|known| known.started_ms <= endpoint.started_ms)
                && gone.is_none_or(|(started_ms, _)| *started_ms < endpoint.started_ms)
        });
        let is_missing = |name: &&EndpointName| !listed.iter().any(|known| known.name == **name);
        let missing: Vec<EndpointName> = self
            .registrations
            .keys()
            .filter(is_missing)
            .cloned()
            .collect();
        let mut changes: Vec<Change> = listed.into_iter().map(|e| self.register(e)).collect();
        changes.extend(missing.into_iter().map(|name| self.lapse(name, now)));
        changes.retain(|change| *change != Change::None);
        changes
    }

    /// Keeps an endpoint whose registration the store may have lost.
    fn lapse(&mut self, name: EndpointName, now: Millis) -> Change {
        let known = self.registrations.get_mut(&name);
        if let Some(known) = known.filter(|known| !known.endpoint.draining) {
            known.expires.get_or_insert(now.plus(LAPSE_GRACE.0));
            return Change::Lapsed(name);
        }
        self.remove(&name, now);
        Change::Gone(name)
    }

    /// Removes lapsed endpoints that did not register again in time.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<Change> {
        let gone: Vec<EndpointName> = self
            .registrations
            .iter()
            .filter(|(_, known)| known.expires.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.remove(name, now);
        }
        self.gone.retain(|_, (_, at)| now.since(*at) < GONE_TIME.0);
        let registrations = &self.registrations;
        self.leaving
            .trim(|name| registrations.contains_key(name), now);
        gone.into_iter().map(Change::Gone).collect()
    }

    /// Returns the endpoint with a name.
    #[must_use]
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.registrations
            .get(name)
            .map(|registration| &registration.endpoint)
    }

    /// Returns all endpoints, including draining ones.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.registrations
            .values()
            .map(|registration| &registration.endpoint)
    }

    /// Records that an endpoint states that it leaves, and may get requests until `until`.
    ///
    /// Returns whether this is the first statement of that incarnation or shortens the time.
    pub fn leaving_stated(
        &mut self,
        name: &EndpointName,
        started_ms: u64,
        until: Millis,
        now: Millis,
    ) -> bool {
        let changed = self.leaving.stated(name, started_ms, until, now);
        self.version += u64::from(changed);
        changed
    }

    /// Records a statement that can't be read; returns whether it is the endpoint's first one.
    pub fn leaving_unreadable(&mut self, name: &EndpointName) -> bool {
        self.leaving.unreadable(name)
    }

    /// Returns whether an endpoint drains or has stated that it leaves.
    #[must_use]
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        endpoint.draining
            || self
                .leaving
                .until(&endpoint.name, endpoint.started_ms)
                .is_some()
    }

    /// Returns the number of registered endpoints that drain or have stated that they leave.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        self.all()
            .filter(|endpoint| self.is_leaving(endpoint))
            .count()
    }

    /// Returns whether an endpoint is registered and may get a request at `now`.
    #[must_use]
    pub fn accepts(&self, name: &EndpointName, now: Millis) -> bool {
        self.get(name)
            .is_some_and(|known| self.may_get_request(known, now))
    }

    fn may_get_request(&self, endpoint: &Endpoint, now: Millis) -> bool {
        let until = self.leaving.until(&endpoint.name, endpoint.started_ms);
        !endpoint.draining && until.is_none_or(|until| now < until)
    }

    /// Returns what this node states to its peers of registered endpoints that leave.
    #[must_use]
    pub fn stated_leaving(&self, now: Millis) -> Vec<StatedLeaving> {
        let stated = self.all().filter(|endpoint| !endpoint.draining);
        let stated = stated.filter_map(|endpoint| {
            let until = self.leaving.until(&endpoint.name, endpoint.started_ms)?;
            Some(StatedLeaving {
                endpoint: endpoint.name.clone(),
                started_ms: endpoint.started_ms,
                left: Millis(until.since(now)),
            })
        });
        stated.collect()
    }

    /// Returns the endpoints of a service for the planning of engines: each that leaves is marked as
    /// draining, so that it is replaced at once.
    #[must_use]
    pub fn planned(&self, service: &Service) -> Vec<Endpoint> {
        let matching = self.all().filter(|endpoint| endpoint.service == *service);
        let marked = matching.map(|endpoint| Endpoint {
            draining: self.is_leaving(endpoint),
            ..endpoint.clone()
        });
        marked.collect()
    }

    /// Returns the endpoints of a service that accept new work at `now`, including those that leave
    /// but may still get requests.
    ///
    /// A lapsed endpoint is left out as soon as it expires, even if it was not removed yet:
    /// [`remove_expired`](Self::remove_expired) runs only when the store is read.
    pub fn usable<'a>(
        &'a self,
        service: &'a Service,
        now: Millis,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.registrations
            .values()
            .filter(move |registration| registration.expires.is_none_or(|at| now < at))
            .map(|registration| &registration.endpoint)
            .filter(move |endpoint| {
                endpoint.service == *service && self.may_get_request(endpoint, now)
            })
    }

    /// Returns a number that increases with each change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }
}
