//! Endpoints as they register themselves.
//!
//! A registration that lapses while the store is away, or soon after its return, says little
//! about its endpoint: it is kept for [`LAPSE_GRACE`], within which an endpoint that lives is
//! registered again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{EndpointName, Millis, Place, Service};
use serde::{Deserialize, Serialize};

/// Time for registrations to return after an outage of the store: the users state about two
/// seconds.
pub const LAPSE_GRACE: Millis = Millis(2200);

/// Pause between two reads of registrations for each node that reads them, so that the calls of
/// all nodes together stay the same, milliseconds: 20 calls a second, of the 2,000 that the users'
/// smallest store allows.
const READ_PAUSE_PER_NODE_MS: u64 = 50;
const MIN_READ_PAUSE_MS: u64 = 200;
/// Longest pause, milliseconds: a reclaim leaves about 3 s to send work elsewhere.
const MAX_READ_PAUSE_MS: u64 = 800;

/// Part of the time within which a leaving endpoint must get no more work that a pause may take.
const DRAIN_DIVISOR: u64 = 3;

/// Returns the pause between two reads of registrations, with `nodes` nodes that read them.
/// Many changes at once then take few calls.
#[must_use]
pub fn read_pause(nodes: usize, drain: Millis) -> Millis {
    let wanted =
        (READ_PAUSE_PER_NODE_MS * nodes as u64).clamp(MIN_READ_PAUSE_MS, MAX_READ_PAUSE_MS);
    Millis(wanted.min(drain.0 / DRAIN_DIVISOR))
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name; a later start under the same name has another `born`.
    pub name: EndpointName,
    /// Service.
    pub service: Service,
    /// Address.
    pub address: SocketAddr,
    /// Place.
    pub place: Place,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// When it will be gone, if it says so.
    #[serde(rename = "leaves")]
    pub leaves_at: Option<Millis>,
    /// Whether it can be reclaimed.
    pub spot: bool,
    /// Time of its start, Unix milliseconds.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// An endpoint is new, or started again.
    New(EndpointName),
    /// An endpoint is leaving.
    Draining(EndpointName),
    /// An endpoint's registration ended.
    Gone(EndpointName),
    /// A registration ended about an outage; the endpoint is kept for now.
    Lapsed(EndpointName),
    /// A lapsed registration is back.
    Returned(EndpointName),
}

#[derive(Clone, Debug)]
struct Registration {
    endpoint: Endpoint,
    /// When a lapsed registration counts as gone.
    expires: Option<Millis>,
}

/// The endpoints that are known.
#[derive(Debug, Default)]
pub struct Fleet {
    registrations: BTreeMap<EndpointName, Registration>,
    /// When the store was last reached again after an outage.
    store_regained: Option<Millis>,
    /// Grows with each change of the set or of a state.
    version: u64,
}

impl Fleet {
    /// Notes that the store answers again after an outage.
    pub fn store_regained(&mut self, now: Millis) {
        self.store_regained = Some(now);
    }

    /// Takes a registration.
    pub fn register(&mut self, endpoint: Endpoint) -> Change {
        let name = endpoint.name.clone();
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
        self.registrations.insert(
            name,
            Registration {
                endpoint,
                expires: None,
            },
        );
        change
    }

    /// Takes the end of a registration.
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
        self.registrations.remove(name);
        self.version += 1;
        Change::Gone(name.clone())
    }

    /// Takes a whole listing: endpoints that it lacks are removed.
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

    /// Removes lapsed registrations that did not return.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<Change> {
        let gone: Vec<EndpointName> = self
            .registrations
            .iter()
            .filter(|(_, known)| known.expires.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.registrations.remove(name);
            self.version += 1;
        }
        gone.into_iter().map(Change::Gone).collect()
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.registrations
            .get(name)
            .map(|registration| &registration.endpoint)
    }

    /// Returns all endpoints, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.registrations
            .values()
            .map(|registration| &registration.endpoint)
    }

    /// Returns the endpoints of a service that take new work at `now`.
    ///
    /// A lapsed registration ends here at its time, whenever it is swept: nothing may have been
    /// read from the store since.
    pub fn usable<'a>(
        &'a self,
        service: &'a Service,
        now: Millis,
    ) -> impl Iterator<Item = &'a Endpoint> {
        self.registrations
            .values()
            .filter(move |registration| registration.expires.is_none_or(|at| now < at))
            .map(|registration| &registration.endpoint)
            .filter(move |endpoint| endpoint.service == *service && !endpoint.draining)
    }

    /// Returns a number that grows with each change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }
}
