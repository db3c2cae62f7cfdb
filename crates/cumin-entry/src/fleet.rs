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
const PAUSE_PER_NODE: u64 = 50;
const PAUSE_LEAST: u64 = 200;
/// Longest pause, milliseconds: a reclaim leaves about 3 s to send work elsewhere.
const PAUSE_MOST: u64 = 800;

/// Part of the time within which a leaving endpoint must get no more work that a pause may take.
const DRAIN_PART: u64 = 3;

/// Returns the pause between two reads of registrations, with `nodes` nodes that read them.
/// Many changes at once then take few calls.
#[must_use]
pub fn read_pause(nodes: usize, drain: Millis) -> Millis {
    let wanted = (PAUSE_PER_NODE * nodes as u64).clamp(PAUSE_LEAST, PAUSE_MOST);
    Millis(wanted.min(drain.0 / DRAIN_PART))
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
    pub leaves: Option<Millis>,
    /// Whether it can be reclaimed.
    pub spot: bool,
    /// Time of its start, Unix milliseconds.
    pub born: u64,
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
struct Slot {
    endpoint: Endpoint,
    /// When a lapsed registration counts as gone.
    lapses: Option<Millis>,
}

/// The endpoints that are known.
#[derive(Debug, Default)]
pub struct Fleet {
    slots: BTreeMap<EndpointName, Slot>,
    /// When the store was last reached again after an outage.
    regained: Option<Millis>,
    /// Grows with each change of the set or of a state.
    version: u64,
}

impl Fleet {
    /// Notes that the store answers again after an outage.
    pub fn regained(&mut self, now: Millis) {
        self.regained = Some(now);
    }

    /// Takes a registration.
    pub fn put(&mut self, endpoint: Endpoint) -> Change {
        let name = endpoint.name.clone();
        let slot = self.slots.get(&name);
        let lapsed = slot.is_some_and(|slot| slot.lapses.is_some());
        let old = slot.map(|slot| &slot.endpoint);
        let change = match old {
            Some(old) if old.born == endpoint.born && old.address == endpoint.address => {
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
        self.slots.insert(
            name,
            Slot {
                endpoint,
                lapses: None,
            },
        );
        change
    }

    /// Takes the end of a registration.
    pub fn remove(&mut self, name: &EndpointName, now: Millis) -> Change {
        let back = self
            .regained
            .is_some_and(|at| now.since(at) < LAPSE_GRACE.0);
        let Some(slot) = self.slots.get_mut(name) else {
            return Change::None;
        };
        if back && !slot.endpoint.draining {
            let ends = self.regained.unwrap_or(now).plus(LAPSE_GRACE.0);
            slot.lapses = Some(ends);
            return Change::Lapsed(name.clone());
        }
        self.slots.remove(name);
        self.version += 1;
        Change::Gone(name.clone())
    }

    /// Takes a whole listing: endpoints that it lacks are removed.
    pub fn replace(&mut self, listed: Vec<Endpoint>, now: Millis) -> Vec<Change> {
        let missing: Vec<EndpointName> = self
            .slots
            .keys()
            .filter(|name| !listed.iter().any(|endpoint| endpoint.name == **name))
            .cloned()
            .collect();
        let mut changes: Vec<Change> = listed.into_iter().map(|e| self.put(e)).collect();
        changes.extend(missing.iter().map(|name| self.remove(name, now)));
        changes.retain(|change| *change != Change::None);
        changes
    }

    /// Removes lapsed registrations that did not return.
    pub fn sweep(&mut self, now: Millis) -> Vec<Change> {
        let gone: Vec<EndpointName> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.lapses.is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.slots.remove(name);
            self.version += 1;
        }
        gone.into_iter().map(Change::Gone).collect()
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.slots.get(name).map(|slot| &slot.endpoint)
    }

    /// Returns all endpoints, leaving ones included.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.slots.values().map(|slot| &slot.endpoint)
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
        self.slots
            .values()
            .filter(move |slot| slot.lapses.is_none_or(|at| now < at))
            .map(|slot| &slot.endpoint)
            .filter(move |endpoint| endpoint.service == *service && !endpoint.draining)
    }

    /// Returns a number that grows with each change.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }
}
