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
pub const CRASHES: usize = 3;

/// An endpoint that can't be reached this long after an attempt broke off has crashed.
const SOON: Millis = Millis(2000);

/// A suspicion that is not confirmed lapses after this time; callers come back within seconds.
const LAPSE: Millis = Millis(120_000);

/// Most suspects that a digest states, those of most crashes first.
const MOST: usize = 32;

/// A request by its organisation, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Print(u64);

impl Print {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(org: &str, path: &str, body: &[u8]) -> Self {
        Self(score(body, &format!("{org} {path}")))
    }
}

/// One crash, by the endpoint and its start: all nodes name it alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Crash(u64);

impl Crash {
    /// Names the end of a start of an endpoint.
    fn of(endpoint: &EndpointName, born: u64) -> Self {
        Self(score(&born.to_le_bytes(), endpoint.as_str()))
    }
}

/// A suspect as a digest states it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stated {
    /// The request.
    pub print: Print,
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
    fn open(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// Suspects as one node knows them.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Attempts that broke off, by endpoint.
    broken: HashMap<EndpointName, Vec<Broken>>,
    /// Suspects of this node and of its peers.
    known: BTreeMap<Print, Suspect>,
}

/// An attempt that broke off, perhaps because its endpoint crashed.
#[derive(Clone, Copy, Debug)]
struct Broken {
    print: Print,
    born: u64,
    at: Millis,
}

impl Suspects {
    /// Notes that an attempt at an endpoint broke off; `born` tells the endpoint's starts apart.
    pub fn broke(&mut self, endpoint: &EndpointName, born: u64, print: Print, now: Millis) {
        let attempts = self.broken.entry(endpoint.clone()).or_default();
        attempts.retain(|broken| now.since(broken.at) < SOON.0);
        attempts.push(Broken {
            print,
            born,
            at: now,
        });
    }

    /// Notes that an endpoint can't be reached; returns the suspects of its crash.
    pub fn unreachable(&mut self, endpoint: &EndpointName, now: Millis) -> BTreeSet<Print> {
        let attempts = self.broken.remove(endpoint).unwrap_or_default();
        self.known.retain(|_, suspect| suspect.age(now) < LAPSE);
        let mut prints = BTreeSet::new();
        for broken in attempts {
            if now.since(broken.at) < SOON.0 {
                let suspect = self.known.entry(broken.print).or_default();
                suspect.crashes.insert(Crash::of(endpoint, broken.born));
                suspect.changed = now;
                prints.insert(broken.print);
            }
        }
        prints
    }

    /// Notes that a request was completed.
    pub fn done(&mut self, print: Print, now: Millis) {
        if let Some(suspect) = self.known.get_mut(&print)
            && suspect.open() > 0
        {
            suspect.cleared.extend(&suspect.crashes);
            suspect.changed = now;
        }
    }

    /// Returns the crashes that a request was in and is not cleared of.
    #[must_use]
    pub fn crashes(&self, print: Print, now: Millis) -> usize {
        let suspect = self.known.get(&print);
        let suspect = suspect.filter(|suspect| suspect.age(now) < LAPSE);
        suspect.map_or(0, Suspect::open)
    }

    /// Returns what this node tells its peers.
    #[must_use]
    pub fn stated(&self, now: Millis) -> Vec<Stated> {
        let known = self.known.iter();
        let mut known: Vec<_> = known.filter(|(_, s)| s.age(now) < LAPSE).collect();
        known.sort_by_key(|(_, suspect)| Reverse((suspect.open(), suspect.changed)));
        let stated = known.into_iter().take(MOST).map(|(print, suspect)| Stated {
            print: *print,
            crashes: suspect.crashes.iter().copied().collect(),
            cleared: suspect.cleared.iter().copied().collect(),
            age: suspect.age(now),
        });
        stated.collect()
    }

    /// Takes what a peer states; taking it twice or late is harmless.
    pub fn peer(&mut self, stated: &[Stated], now: Millis) {
        for item in stated.iter().filter(|item| item.age < LAPSE) {
            let suspect = self.known.entry(item.print).or_default();
            suspect.crashes.extend(&item.crashes);
            suspect.cleared.extend(&item.cleared);
            // By the age at its author, so that nodes don't keep a suspect alive for each other.
            suspect.changed = suspect.changed.max(Millis(now.since(item.age)));
        }
    }
}
