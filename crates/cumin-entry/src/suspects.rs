//! Requests that crash the endpoints that run them.
//!
//! Load pattern: a request that crashes its endpoint is sent again, with the same path, caller and
//! body, to any node. A request whose attempt broke off is a suspect of a crash if its endpoint
//! cannot be reached soon after. Nodes tell each other which crashes each suspect was involved in,
//! so that a crash seen by several nodes counts once. A suspect of three crashes is refused.
//!
//! Load pattern: many identical requests, some of which are in progress at every endpoint that
//! crashes. Once one of them completes at any node, all nodes clear the request of the crashes known
//! at that time. The quarantine of `cumin-retry` isolates suspects from each other instead; callers
//! here wait for a few seconds only, and a third crash costs less than that wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use cumin_types::{EndpointName, Millis, score};
use serde::{Deserialize, Serialize};

/// Number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 3;

/// Time after an attempt broke off within which its endpoint counts as crashed if it cannot be
/// reached.
const CRASH_WINDOW: Millis = Millis(2000);

/// Time after which a suspicion without news expires; callers retry within seconds.
const SUSPECT_TTL: Millis = Millis(120_000);

/// Maximum number of suspects in a digest; those of the most crashes go first.
const MAX_STATED: usize = 32;

/// Fingerprint of a request: a hash of its organisation, path and body.
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

/// Identifier of a crash: a hash of the endpoint and its start, and so the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(u64);

impl CrashId {
    /// Computes the identifier from the endpoint and the time of its start.
    fn new(endpoint: &EndpointName, started_ms: u64) -> Self {
        Self(score(&started_ms.to_le_bytes(), endpoint.as_str()))
    }
}

/// A suspect as stated in a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedSuspect {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Crashes that the request was involved in.
    pub crashes: Vec<CrashId>,
    /// Crashes that the request is cleared of.
    pub cleared: Vec<CrashId>,
    /// Time since either list grew.
    pub age: Millis,
}

/// The crashes of one suspected request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: BTreeSet<CrashId>,
    cleared: BTreeSet<CrashId>,
    /// Time at which either set last grew.
    changed: Millis,
}

impl Suspect {
    fn age(&self, now: Millis) -> Millis {
        Millis(now.since(self.changed))
    }

    /// Returns the number of crashes that the request is not cleared of.
    fn open_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// The suspects that one node knows.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Attempts that broke off recently, by endpoint.
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
                    .insert(CrashId::new(endpoint, broken.started_ms));
                suspect.changed = now;
                fingerprints.insert(broken.fingerprint);
            }
        }
        fingerprints
    }

    /// Records that a request completed, which clears it of the crashes known so far.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Millis) {
        if let Some(suspect) = self.known.get_mut(&fingerprint)
            && suspect.open_crashes() > 0
        {
            suspect.cleared.extend(&suspect.crashes);
            suspect.changed = now;
        }
    }

    /// Returns the number of crashes that a request was involved in and is not cleared of.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint, now: Millis) -> usize {
        let suspect = self.known.get(&fingerprint);
        let suspect = suspect.filter(|suspect| suspect.age(now) < SUSPECT_TTL);
        suspect.map_or(0, Suspect::open_crashes)
    }

    /// Returns the number of suspects that this node knows.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        let known = self.known.values();
        known
            .filter(|suspect| suspect.age(now) < SUSPECT_TTL)
            .count()
    }

    /// Returns the suspects to state in a digest.
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

    /// Merges the suspects that a peer states. Merging twice or late is harmless.
    pub fn merge_peer(&mut self, stated: &[StatedSuspect], now: Millis) {
        for item in stated.iter().filter(|item| item.age < SUSPECT_TTL) {
            let suspect = self.known.entry(item.fingerprint).or_default();
            suspect.crashes.extend(&item.crashes);
            suspect.cleared.extend(&item.cleared);
            // The stated age counts, so that nodes do not keep a suspect alive by repeating it.
            suspect.changed = suspect.changed.max(Millis(now.since(item.age)));
        }
    }
}
