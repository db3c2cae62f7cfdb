//! Requests, and parts of prompts, that crash the endpoints that run them.
//!
//! Load pattern: a request that crashes its endpoint is sent again, with the same path, caller and
//! body, to any node. A request whose attempt broke off is a suspect of a crash if its endpoint
//! cannot be reached soon after. Nodes tell each other which crashes each suspect was involved in,
//! so that a crash seen by several nodes counts once.
//!
//! Load pattern: requests that share one part of their prompts crash every endpoint that begins to
//! answer them, and no two of them are alike. Besides the request itself, each part that other
//! prompts may share is therefore a suspect. Sound requests share the other parts, so a part is
//! blamed together with the parts that it occurred with at every crash: a request that holds only
//! some of them runs, and either clears those or leaves a shorter list.
//!
//! Load pattern: many sound requests, some of which are in progress at every endpoint that crashes.
//! Once one of them completes at any node, all nodes clear its suspects of the crashes known at that
//! time. Only requests that had not begun long before the crash are suspects. The quarantine of
//! `cumin-retry` isolates suspects from each other instead; callers here wait for a few seconds
//! only, and a third crash costs less than that wait.

mod quarantine;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use cumin_types::{EndpointName, Millis, score};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::selection::{Part, shared_parts};

pub use quarantine::{Admission, CRASH_LIMIT, Quarantined};

/// Time after an attempt broke off within which its endpoint counts as crashed if it cannot be
/// reached.
const CRASH_WINDOW: Millis = Millis(2000);

/// Time from the first event of a stream within which a crash may be due to it: a request that
/// crashes endpoints does so when its answer begins.
pub const BEGIN_WINDOW: Millis = Millis(1000);

/// Time after which a suspicion without news expires; callers retry within seconds.
const SUSPECT_TTL: Millis = Millis(120_000);

/// Time for which a request or a part counts as sound after it completed.
const SOUND_TTL: Millis = Millis(30_000);

/// Maximum number of requests and parts that are remembered as sound.
const MAX_SOUND: usize = 4096;

/// Time for which a digest states what is new of a suspect: tens of digests. What is enough for a
/// quarantine is stated as long as it is known, for nodes that start.
const NEWS_TIME: Millis = Millis(10_000);

/// Time for which every digest states what is new of a suspect.
const FRESH_TIME: Millis = Millis(1000);

/// Maximum number of suspects of each kind in a digest: half of them those of the most crashes,
/// the others those that changed last.
const MAX_STATED: usize = 32;

/// Maximum number of crashes that are kept and stated for a suspect, newest first.
const MAX_CRASHES: usize = 64;
const MAX_STATED_CRASHES: usize = 16;

/// Maximum number of parts of a prompt that become suspects, from the first on.
const MAX_PARTS: usize = 16;

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

/// What may cause a crash.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A request, and those equal to it.
    #[display("{_0:?}")]
    Request(Fingerprint),
    /// A part of prompts, by its identifier.
    #[display("part:{_0:x}")]
    Part(u64),
}

/// The suspects that one request stands for if its endpoint crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The request itself.
    pub fingerprint: Fingerprint,
    /// Identifiers of the parts of its prompt that others may share.
    pub parts: Vec<u64>,
}

impl Suspicion {
    /// Returns the suspects of a request with the parts `parts`, of which the last is its own.
    #[must_use]
    pub fn new(fingerprint: Fingerprint, parts: &[Part]) -> Self {
        let shared = shared_parts(parts).iter().take(MAX_PARTS);
        Self {
            fingerprint,
            parts: shared.map(|part| part.id).collect(),
        }
    }

    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.parts.iter().map(|part| Suspect::Part(*part));
        std::iter::once(Suspect::Request(self.fingerprint)).chain(parts)
    }
}

/// A request as stated in a digest.
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

/// A part of prompts as stated in a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedPart {
    /// Identifier of the part.
    pub part: u64,
    /// Crashes that it was involved in, each with the other parts that it occurred with.
    pub crashes: Vec<(CrashId, Vec<u64>)>,
    /// Crashes that the part is cleared of.
    pub cleared: Vec<CrashId>,
    /// Time since either list grew.
    pub age: Millis,
}

/// The suspects that a digest, or a record of the store, states.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stated {
    /// Requests.
    pub requests: Vec<StatedSuspect>,
    /// Parts of prompts.
    pub parts: Vec<StatedPart>,
}

/// A crash in the record of a suspect.
#[derive(Clone, Debug)]
struct Involvement {
    /// Time at which this node learned of it.
    since: Millis,
    /// Other parts that were in all requests with the suspect at this crash.
    with: BTreeSet<u64>,
}

/// The crashes of one suspect.
#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    crashes: BTreeMap<CrashId, Involvement>,
    cleared: BTreeSet<CrashId>,
    /// Time at which either set last grew.
    changed: Millis,
    /// Time at which this node last let a request run in spite of its quarantine.
    tried: Option<Millis>,
}

impl SuspectRecord {
    fn age(&self, now: Millis) -> Millis {
        Millis(now.since(self.changed))
    }

    /// Returns whether a digest states the suspect.
    fn is_stated(&self, now: Millis) -> bool {
        let age = self.age(now);
        age < NEWS_TIME || (age < SUSPECT_TTL && self.open_count() >= CRASH_LIMIT)
    }

    /// Returns the crashes that the suspect is not cleared of.
    fn open(&self) -> impl Iterator<Item = (&CrashId, &Involvement)> {
        let crashes = self.crashes.iter();
        crashes.filter(|(id, _)| !self.cleared.contains(id))
    }

    fn open_count(&self) -> usize {
        self.open().count()
    }

    /// Adds a crash, and returns whether this changed the record.
    fn involve(&mut self, id: CrashId, with: &[u64], now: Millis) -> bool {
        if let Some(known) = self.crashes.get_mut(&id) {
            let before = known.with.len();
            known.with.retain(|part| with.contains(part));
            return known.with.len() < before;
        }
        let involvement = Involvement {
            since: now,
            with: with.iter().copied().collect(),
        };
        self.crashes.insert(id, involvement);
        if self.crashes.len() > MAX_CRASHES
            && let Some(oldest) = self.newest_crashes().last().copied()
        {
            self.crashes.remove(&oldest);
            self.cleared.remove(&oldest);
        }
        true
    }

    fn state(&self, suspect: Suspect, now: Millis, stated: &mut Stated) {
        let mut ids = self.newest_crashes();
        ids.truncate(MAX_STATED_CRASHES);
        let cleared = ids.iter().filter(|id| self.cleared.contains(id));
        let cleared = cleared.copied().collect();
        let age = self.age(now);
        match suspect {
            Suspect::Request(fingerprint) => stated.requests.push(StatedSuspect {
                fingerprint,
                crashes: ids,
                cleared,
                age,
            }),
            Suspect::Part(part) => {
                let with = |id: CrashId| {
                    let crash = self.crashes.get(&id)?;
                    Some((id, crash.with.iter().copied().collect()))
                };
                stated.parts.push(StatedPart {
                    part,
                    crashes: ids.into_iter().filter_map(with).collect(),
                    cleared,
                    age,
                });
            }
        }
    }

    fn newest_crashes(&self) -> Vec<CrashId> {
        let mut ids: Vec<_> = self.crashes.keys().copied().collect();
        ids.sort_by_key(|id| Reverse(self.crashes.get(id).map(|crash| crash.since)));
        ids
    }
}

/// An attempt that broke off, perhaps because its endpoint crashed.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    suspicion: Suspicion,
    started_ms: u64,
    at: Millis,
    /// Whether the endpoint accepted a connection afterwards.
    alive: bool,
}

/// The suspects that one node knows.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Attempts that broke off recently, by endpoint.
    broken: HashMap<EndpointName, Vec<BrokenAttempt>>,
    /// Suspects of this node and of its peers.
    known: BTreeMap<Suspect, SuspectRecord>,
    /// Suspects with which requests completed at this node, and when the last one did.
    sound: HashMap<Suspect, Millis>,
    /// What is refused, as of the last review.
    quarantined: Vec<Quarantined>,
}

impl Suspects {
    /// Records that an attempt at an endpoint broke off before, or soon after, its answer began.
    /// `started_ms` is the endpoint's start.
    pub fn attempt_broke(
        &mut self,
        endpoint: &EndpointName,
        started_ms: u64,
        suspicion: Suspicion,
        now: Millis,
    ) {
        let attempts = self.broken.entry(endpoint.clone()).or_default();
        attempts.retain(|broken| now.since(broken.at) < CRASH_WINDOW.0);
        attempts.push(BrokenAttempt {
            suspicion,
            started_ms,
            at: now,
            alive: false,
        });
    }

    /// Records that an endpoint cannot be reached, and returns the suspicions of its crash.
    pub fn endpoint_unreachable(&mut self, endpoint: &EndpointName, now: Millis) -> Vec<Suspicion> {
        if let Some(attempts) = self.broken.get_mut(endpoint) {
            attempts.retain(|broken| !broken.alive);
        }
        self.endpoint_restarted(endpoint, now)
    }

    /// Records that an endpoint has started again, and returns the suspicions of its crash.
    pub fn endpoint_restarted(&mut self, endpoint: &EndpointName, now: Millis) -> Vec<Suspicion> {
        let attempts = self.broken.remove(endpoint).unwrap_or_default();
        self.known.retain(|_, record| record.age(now) < SUSPECT_TTL);
        let mut suspicions = Vec::new();
        for broken in attempts {
            if now.since(broken.at) < CRASH_WINDOW.0 {
                let id = CrashId::new(endpoint, broken.started_ms);
                self.involve(&broken.suspicion, id, now);
                suspicions.push(broken.suspicion);
            }
        }
        suspicions
    }

    fn involve(&mut self, suspicion: &Suspicion, id: CrashId, now: Millis) {
        for suspect in suspicion.suspects() {
            let with: Vec<u64> = match suspect {
                Suspect::Request(_) => Vec::new(),
                Suspect::Part(own) => {
                    let others = suspicion.parts.iter().copied();
                    others.filter(|part| *part != own).collect()
                }
            };
            let record = self.known.entry(suspect).or_default();
            if record.involve(id, &with, now) {
                record.changed = now;
            }
        }
    }

    /// Records that an endpoint accepts connections: what broke off there was no crash, unless the
    /// endpoint turns out to have started again.
    pub fn endpoint_reachable(&mut self, endpoint: &EndpointName) {
        for broken in self.broken.get_mut(endpoint).into_iter().flatten() {
            broken.alive = true;
        }
    }

    /// Records that a request completed, or ran well past its beginning, which clears its suspects
    /// of the crashes known so far.
    pub fn ran(&mut self, suspicion: &Suspicion, now: Millis) {
        for suspect in suspicion.suspects() {
            if let Some(record) = self.known.get_mut(&suspect)
                && record.open_count() > 0
            {
                record.cleared.extend(record.crashes.keys());
                record.changed = now;
            }
        }
        // A request with a prompt is hardly ever sent again; its parts are.
        let has_parts = !suspicion.parts.is_empty();
        let kept = suspicion.suspects().skip(usize::from(has_parts));
        for suspect in kept {
            if self.sound.len() >= MAX_SOUND {
                self.sound.retain(|_, at| now.since(*at) < SOUND_TTL.0);
            }
            if self.sound.len() < MAX_SOUND || self.sound.contains_key(&suspect) {
                self.sound.insert(suspect, now);
            }
        }
    }

    /// Returns the number of crashes that a suspect was involved in and is not cleared of.
    #[must_use]
    pub fn crashes(&self, suspect: Suspect, now: Millis) -> usize {
        let record = self.known.get(&suspect);
        let record = record.filter(|record| record.age(now) < SUSPECT_TTL);
        record.map_or(0, SuspectRecord::open_count)
    }

    /// Returns the number of suspects that this node knows.
    #[must_use]
    pub fn count(&self, now: Millis) -> usize {
        let known = self.known.values();
        known.filter(|record| record.age(now) < SUSPECT_TTL).count()
    }

    /// Returns the suspects to state in a digest.
    #[must_use]
    pub fn stated(&self, now: Millis) -> Stated {
        let known = self.known.iter();
        state_all(known.filter(|(_, record)| record.is_stated(now)), now)
    }

    /// Returns the suspects that changed within the last second, to state in a digest.
    ///
    /// A second covers several digests of every node that knows of the change, so that all nodes
    /// learn of it at once although digests are lost.
    #[must_use]
    pub fn news(&self, now: Millis) -> Stated {
        let known = self.known.iter();
        state_all(
            known.filter(|(_, record)| record.age(now) < FRESH_TIME),
            now,
        )
    }

    /// Returns one suspect as it is stated; nothing if it is not known.
    #[must_use]
    pub fn stated_suspect(&self, suspect: Suspect, now: Millis) -> Stated {
        let mut stated = Stated::default();
        if let Some(record) = self.known.get(&suspect) {
            record.state(suspect, now, &mut stated);
        }
        stated
    }

    /// Merges a suspect that was stated `since` ago.
    pub fn merge_stored(&mut self, stated: &Stated, since: Millis, now: Millis) {
        let mut stated = stated.clone();
        for item in &mut stated.requests {
            item.age = item.age.plus(since.0);
        }
        for item in &mut stated.parts {
            item.age = item.age.plus(since.0);
        }
        self.merge_peer(&stated.requests, &stated.parts, now);
    }

    /// Merges the suspects that a peer states. Merging twice or late is harmless.
    pub fn merge_peer(&mut self, requests: &[StatedSuspect], parts: &[StatedPart], now: Millis) {
        for item in requests.iter().filter(|item| item.age < SUSPECT_TTL) {
            let crashes = item.crashes.iter().map(|id| (*id, [].as_slice()));
            let suspect = Suspect::Request(item.fingerprint);
            self.merge(suspect, crashes, &item.cleared, item.age, now);
        }
        for item in parts.iter().filter(|item| item.age < SUSPECT_TTL) {
            let crashes = item.crashes.iter();
            let crashes = crashes.map(|(id, with)| (*id, with.as_slice()));
            let suspect = Suspect::Part(item.part);
            self.merge(suspect, crashes, &item.cleared, item.age, now);
        }
    }

    fn merge<'a>(
        &mut self,
        suspect: Suspect,
        crashes: impl Iterator<Item = (CrashId, &'a [u64])>,
        cleared: &[CrashId],
        age: Millis,
        now: Millis,
    ) {
        let record = self.known.entry(suspect).or_default();
        for (id, with) in crashes {
            record.involve(id, with, now);
        }
        let crashes = &record.crashes;
        let known = cleared.iter().filter(|id| crashes.contains_key(id));
        record.cleared.extend(known);
        // The stated age counts, so that nodes do not keep a suspect alive by repeating it.
        record.changed = record.changed.max(Millis(now.since(age)));
    }
}

/// States the most relevant of the chosen suspects.
fn state_all<'a>(
    chosen: impl Iterator<Item = (&'a Suspect, &'a SuspectRecord)>,
    now: Millis,
) -> Stated {
    let mut stated = Stated::default();
    let (requests, parts): (Vec<_>, Vec<_>) =
        chosen.partition(|(suspect, _)| matches!(suspect, Suspect::Request(_)));
    for (suspect, record) in most_relevant(requests)
        .into_iter()
        .chain(most_relevant(parts))
    {
        record.state(*suspect, now, &mut stated);
    }
    stated
}

/// Returns the suspects of the most crashes, and those that changed last.
fn most_relevant<'a>(
    mut known: Vec<(&'a Suspect, &'a SuspectRecord)>,
) -> Vec<(&'a Suspect, &'a SuspectRecord)> {
    if known.len() > MAX_STATED {
        known.sort_by_cached_key(|(_, record)| Reverse((record.open_count(), record.changed)));
        let rest = &mut known[MAX_STATED / 2..];
        rest.sort_by_key(|(_, record)| Reverse(record.changed));
        known.truncate(MAX_STATED);
    }
    known
}
