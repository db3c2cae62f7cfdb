//! Requests that crash the endpoints that run them.
//!
//! Load pattern: a request that crashes its endpoint comes again, with the same path, caller and
//! body, at any node. A request whose attempt broke off is a suspect of the crash if its endpoint
//! can't be reached soon after. Nodes tell each other which crashes each of their suspects was
//! in, so that a crash that several nodes saw counts once; a suspect of three is not run any more.
//!
//! Load pattern: many equal look-ups, of which some are under way at each endpoint that crashes.
//! One that completes anywhere is cleared at all nodes of the crashes that are known then. The
//! quarantine of `cumin-retry` runs suspects apart from each other; here callers wait for a few
//! seconds only, and a third crash costs less than the wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use cumin_types::{EndpointName, Millis, score};
use serde::{Deserialize, Serialize};

/// Crashes after which a request is not run any more.
pub const CRASH_LIMIT: usize = 3;

/// An endpoint that can't be reached this long after an attempt broke off has crashed.
const CRASH_WINDOW: Millis = Millis(2000);

/// A suspicion that is not confirmed lapses after this time; callers come back within seconds.
const SUSPECT_TTL: Millis = Millis(120_000);

/// Most suspects that a digest states, those of most crashes first.
const MAX_STATED: usize = 32;

/// A request by its organisation, path and body.
#[derive(
    Clone, Copy, derive_more::Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[debug("Print({_0})")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn new(org: &str, path: &str, body: &[u8]) -> Self {
        Self(score(body, &format!("{org} {path}")))
    }
}

/// One crash, by the endpoint and its start: all nodes name it alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Crash(u64);

impl Crash {
    /// Names the end of a start of an endpoint.
    fn new(endpoint: &EndpointName, started_ms: u64) -> Self {
        Self(score(&started_ms.to_le_bytes(), endpoint.as_str()))
    }
}

/// A suspect as a digest states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedSuspect {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Crashes that it was in.
    pub crashes: Vec<Crash>,
    /// Crashes that it is cleared of.
    pub cleared: Vec<Crash>,
    /// Time since either grew.
    pub age: Millis,
}

/// What is known of a request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeSet<Crash>,
    cleared: BTreeSet<Crash>,
    /// When this last grew.
    changed: Millis,
}

impl Suspect {
    fn age(&self, now: Millis) -> Millis {
        Millis(now.since(self.changed))
    }

    /// Crashes that it is not cleared of.
    fn open_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// Suspects as one node knows them.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Attempts that broke off, by endpoint.
    broken: HashMap<EndpointName, Vec<BrokenAttempt>>,
    /// Suspects of this node and of its peers.
    known: BTreeMap<Fingerprint, Suspect>,
}

/// An attempt that broke off, perhaps because its endpoint crashed.
#[derive(Clone, Copy, Debug)]
struct BrokenAttempt {
    fingerprint: Fingerprint,
    started_ms: u64,
    at: Millis,
}

impl Suspects {
    /// Records that an attempt at an endpoint broke off. `started_ms` is the endpoint's start.
    pub fn attempt_broke(
        &mut self,
        endpoint: &EndpointName,
        started_ms: u64,
        fingerprint: Fingerprint,
        now: Millis,
    ) {
        let attempts = self.broken.entry(endpoint.clone()).or_default();
        attempts.retain(|broken| now.since(broken.at) < CRASH_WINDOW.0);
        attempts.push(BrokenAttempt {
            fingerprint,
            started_ms,
            at: now,
        });
    }

    /// Records that an endpoint cannot be reached, and returns the suspects of its crash.
    pub fn endpoint_unreachable(
        &mut self,
        endpoint: &EndpointName,
        now: Millis,
    ) -> BTreeSet<Fingerprint> {
        let attempts = self.broken.remove(endpoint).unwrap_or_default();
        self.known
            .retain(|_, suspect| suspect.age(now) < SUSPECT_TTL);
        let mut fingerprints = BTreeSet::new();
        for broken in attempts {
            if now.since(broken.at) < CRASH_WINDOW.0 {
                let suspect = self.known.entry(broken.fingerprint).or_default();
                suspect
                    .crashes
                    .insert(Crash::new(endpoint, broken.started_ms));
                suspect.changed = now;
                fingerprints.insert(broken.fingerprint);
            }
        }
        fingerprints
    }

    /// Notes that a request was completed.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Millis) {
        if let Some(suspect) = self.known.get_mut(&fingerprint)
            && suspect.open_crashes() > 0
        {
            suspect.cleared.extend(&suspect.crashes);
            suspect.changed = now;
        }
    }

    /// Returns the crashes that a request was in and is not cleared of.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint, now: Millis) -> usize {
        let suspect = self.known.get(&fingerprint);
        let suspect = suspect.filter(|suspect| suspect.age(now) < SUSPECT_TTL);
        suspect.map_or(0, Suspect::open_crashes)
    }

    /// Returns what this node tells its peers.
    #[must_use]
    pub fn stated(&self, now: Millis) -> Vec<StatedSuspect> {
        let known = self.known.iter();
        let mut known: Vec<_> = known.filter(|(_, s)| s.age(now) < SUSPECT_TTL).collect();
        known.sort_by_key(|(_, suspect)| Reverse((suspect.open_crashes(), suspect.changed)));
        let stated = known
            .into_iter()
            .take(MAX_STATED)
            .map(|(fingerprint, suspect)| StatedSuspect {
                fingerprint: *fingerprint,
                crashes: suspect.crashes.iter().copied().collect(),
                cleared: suspect.cleared.iter().copied().collect(),
                age: suspect.age(now),
            });
        stated.collect()
    }

    /// Takes what a peer states; taking it twice or late is harmless.
    pub fn merge_peer(&mut self, stated: &[StatedSuspect], now: Millis) {
        for item in stated.iter().filter(|item| item.age < SUSPECT_TTL) {
            let suspect = self.known.entry(item.fingerprint).or_default();
            suspect.crashes.extend(&item.crashes);
            suspect.cleared.extend(&item.cleared);
            // By the age at its author, so that nodes don't keep a suspect alive for each other.
            suspect.changed = suspect.changed.max(Millis(now.since(item.age)));
        }
    }
}
