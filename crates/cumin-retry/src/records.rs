//! Store of the crash and quarantine records of all nodes.
//!
//! Each record has the key (author, number, fingerprint). Any node may clear a record, and a
//! cleared record is never restored, so merging is commutative and idempotent.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use cumin_types::{EndpointName, Fingerprint, Millis, NodeName};
use serde::{Deserialize, Serialize};

/// What a record states about the request with its fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum RecordState {
    /// The request was in flight at the endpoint when the endpoint crashed.
    Suspect {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
    /// The endpoint is reserved to run the request alone.
    Reserved {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
    /// The request is not run.
    Quarantined {
        /// Number of crashes that the request was suspected of.
        crashes: u32,
    },
    /// The record was cleared and no longer applies.
    Cleared,
}

/// A record in the form that nodes exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Node that created the record.
    pub author: NodeName,
    /// Number of the event at its author; one crash gives several records the same number.
    pub number: u64,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// What the record states.
    #[serde(flatten)]
    pub state: RecordState,
    /// Time until the record expires.
    pub left: Millis,
}

type RecordKey = (NodeName, u64, Fingerprint);

#[derive(Debug)]
struct StoredRecord {
    state: RecordState,
    /// Crash that a suspect belongs to; `u64::MAX` for other records.
    crash_id: u64,
    received_at: Millis,
    expires_at: Millis,
    /// Number of times that `gossip` returned the record.
    send_count: u32,
}

/// One crash of an endpoint, merged from the suspect records of all nodes.
#[derive(Debug)]
struct Crash {
    id: u64,
    endpoint: EndpointName,
    detected_at: Millis,
    /// Keys of the suspect records.
    suspects: BTreeSet<RecordKey>,
    /// Whether it is one of many simultaneous crashes without a common request, which no single
    /// request can have caused.
    outage: bool,
}

/// Limits and time windows of [`RecordStore`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub max_records: usize,
    pub max_crashes: usize,
    /// Suspect records of one endpoint within this time belong to one crash.
    pub crash_window: Millis,
    /// Number of crashes within `outage_window`, without a common request, that are an outage.
    pub outage_crashes: usize,
    pub outage_window: Millis,
    /// Number of times that `gossip` returns a record. Quarantines take turns beyond that.
    pub max_sends: u32,
}

/// How long an expired record, whether cleared or not, is kept so that a copy still in transit does
/// not restore it.
const RETENTION_MS: u64 = 60_000;

/// Store of the records of all nodes.
#[derive(Debug)]
pub(crate) struct RecordStore {
    limits: Limits,
    records: BTreeMap<RecordKey, StoredRecord>,
    by_fingerprint: HashMap<Fingerprint, BTreeSet<RecordKey>>,
    crashes: VecDeque<Crash>,
    next_id: u64,
}

impl RecordStore {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            by_fingerprint: HashMap::new(),
            crashes: VecDeque::new(),
            next_id: 0,
        }
    }

    /// Inserts a record. If its key is held already, only clears the held record when the new one
    /// is cleared.
    pub fn insert(&mut self, item: QuarantineRecord, now: Millis) {
        let key = (item.author, item.number, item.fingerprint);
        let expires_at = now.plus(item.left.0);
        if let Some(record) = self.records.get_mut(&key) {
            if item.state == RecordState::Cleared && record.state != RecordState::Cleared {
                record.state = RecordState::Cleared;
                record.expires_at = record.expires_at.max(expires_at);
                record.send_count = 0;
            }
            return;
        }
        let crash_id = match &item.state {
            RecordState::Suspect { endpoint } => self.assign_crash(endpoint, key.clone(), now),
            _ => u64::MAX,
        };
        let record = StoredRecord {
            state: item.state,
            crash_id,
            received_at: now,
            expires_at,
            send_count: 0,
        };
        self.by_fingerprint
            .entry(key.2)
            .or_default()
            .insert(key.clone());
        self.records.insert(key, record);
        if crash_id != u64::MAX {
            self.mark_outage(now);
        }
        self.evict(now);
    }

    /// Returns whether any record of a fingerprint is held.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.by_fingerprint.contains_key(fingerprint)
    }

    /// Returns the times and IDs of the crashes that a fingerprint is suspected of, oldest first.
    /// Leaves out crashes that are attributed to another fingerprint, which is quarantined.
    ///
    /// Records by two nodes about one endpoint can belong to one crash however late one of them
    /// arrives. So the crashes of an endpoint are limited to the number that any single node
    /// recorded there.
    pub fn suspected_crashes(&self, fingerprint: &Fingerprint, now: Millis) -> Vec<(Millis, u64)> {
        let mut found = BTreeSet::new();
        let mut counts = BTreeMap::<(&EndpointName, &NodeName), usize>::new();
        for (key, record) in self.unexpired(fingerprint, now) {
            let crash = self
                .crashes
                .iter()
                .find(|crash| crash.id == record.crash_id);
            let Some(crash) = crash.filter(|crash| !crash.outage) else {
                continue;
            };
            let attributed = crash
                .suspects
                .iter()
                .any(|key| key.2 != *fingerprint && self.quarantine(&key.2, now).is_some());
            if !attributed && matches!(record.state, RecordState::Suspect { .. }) {
                found.insert((crash.detected_at, crash.id, &crash.endpoint));
                *counts.entry((&crash.endpoint, &key.0)).or_default() += 1;
            }
        }
        let mut limits = BTreeMap::<&EndpointName, usize>::new();
        for ((endpoint, _), count) in counts {
            let limit = limits.entry(endpoint).or_default();
            *limit = count.max(*limit);
        }
        let mut crashes = Vec::with_capacity(found.len());
        for (at, id, endpoint) in found.into_iter().rev() {
            if let Some(left) = limits.get_mut(endpoint).filter(|left| **left > 0) {
                *left -= 1;
                crashes.push((at, id));
            }
        }
        crashes.reverse();
        crashes
    }

    /// Returns the fingerprints that are still suspected of a crash.
    pub fn suspects(&self, crash_id: u64, now: Millis) -> BTreeSet<Fingerprint> {
        self.crashes
            .iter()
            .filter(|crash| crash.id == crash_id)
            .flat_map(|crash| &crash.suspects)
            .filter(|key| {
                self.records.get(*key).is_some_and(|record| {
                    record.expires_at > now && matches!(record.state, RecordState::Suspect { .. })
                })
            })
            .map(|key| key.2)
            .collect()
    }

    /// Returns whether `node` itself reported the fingerprint as a suspect.
    pub fn reported_by(&self, fingerprint: &Fingerprint, node: &NodeName, now: Millis) -> bool {
        self.unexpired(fingerprint, now).any(|(key, record)| {
            key.0 == *node && matches!(record.state, RecordState::Suspect { .. })
        })
    }

    /// Returns the end of the quarantine of a fingerprint, and its number of crashes.
    pub fn quarantine(&self, fingerprint: &Fingerprint, now: Millis) -> Option<(Millis, u32)> {
        self.unexpired(fingerprint, now)
            .filter_map(|(_, record)| match record.state {
                RecordState::Quarantined { crashes } => Some((record.expires_at, crashes)),
                _ => None,
            })
            .max()
    }

    /// Returns the endpoints that are reserved by nodes other than `node`, each with the first of
    /// these nodes by name.
    pub fn reserved_by_others(
        &self,
        node: &NodeName,
        now: Millis,
    ) -> BTreeMap<EndpointName, NodeName> {
        let mut reserved = BTreeMap::new();
        for (key, record) in &self.records {
            if let RecordState::Reserved { endpoint } = &record.state
                && key.0 != *node
                && record.expires_at > now
            {
                // Records are ordered by author, so the first node by name stays.
                reserved
                    .entry(endpoint.clone())
                    .or_insert_with(|| key.0.clone());
            }
        }
        reserved
    }

    /// Clears the records of a fingerprint whose state matches a predicate.
    pub fn clear(
        &mut self,
        fingerprint: &Fingerprint,
        now: Millis,
        matches: impl Fn(&RecordState) -> bool,
    ) {
        for key in self.by_fingerprint.get(fingerprint).into_iter().flatten() {
            if let Some(record) = self.records.get_mut(key)
                && record.expires_at > now
                && record.state != RecordState::Cleared
                && matches(&record.state)
            {
                record.state = RecordState::Cleared;
                record.send_count = 0;
            }
        }
    }

    /// Returns up to `count` records to send, those sent least often first, then the newest.
    ///
    /// Of the quarantines that were sent `max_sends` times, each call returns one, for nodes that
    /// joined later. Returning all of them would add 8 KB to each message.
    pub fn gossip(&mut self, count: usize, now: Millis) -> Vec<QuarantineRecord> {
        self.purge(now);
        let max_sends = self.limits.max_sends;
        let mut order: Vec<(u32, std::cmp::Reverse<Millis>, RecordKey)> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at > now)
            .filter(|(_, record)| {
                record.send_count < max_sends
                    || matches!(record.state, RecordState::Quarantined { .. })
            })
            .map(|(key, record)| {
                (
                    record.send_count,
                    std::cmp::Reverse(record.received_at),
                    key.clone(),
                )
            })
            .collect();
        order.sort_unstable();
        let unfinished = order.partition_point(|(send_count, ..)| *send_count < max_sends);
        order.truncate(count.min(unfinished + 1));
        let mut items = Vec::with_capacity(order.len());
        for (.., key) in order {
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            record.send_count = record.send_count.saturating_add(1);
            items.push(QuarantineRecord {
                author: key.0,
                number: key.1,
                fingerprint: key.2,
                state: record.state.clone(),
                left: Millis(record.expires_at.since(now)),
            });
        }
        items
    }

    /// Returns the quarantined fingerprints, with their number of crashes and the time until the
    /// quarantine ends.
    pub fn quarantines(&self, now: Millis) -> Vec<(Fingerprint, u32, Millis)> {
        self.records
            .iter()
            .filter(|(_, record)| record.expires_at > now)
            .filter_map(|(key, record)| match record.state {
                RecordState::Quarantined { crashes } => {
                    Some((key.2, crashes, Millis(record.expires_at.since(now))))
                }
                _ => None,
            })
            .collect()
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the unexpired records of a fingerprint.
    fn unexpired(
        &self,
        fingerprint: &Fingerprint,
        now: Millis,
    ) -> impl Iterator<Item = (&RecordKey, &StoredRecord)> {
        self.by_fingerprint
            .get(fingerprint)
            .into_iter()
            .flatten()
            .filter_map(|key| self.records.get_key_value(key))
            .filter(move |(_, record)| record.expires_at > now)
    }

    /// Adds a suspect record to the crash of `endpoint` that it belongs to, which is created if
    /// none is recent. Returns the ID of the crash.
    fn assign_crash(&mut self, endpoint: &EndpointName, key: RecordKey, now: Millis) -> u64 {
        let window = self.limits.crash_window.0;
        let recent =
            self.crashes.iter_mut().rev().find(|crash| {
                crash.endpoint == *endpoint && now.since(crash.detected_at) <= window
            });
        if let Some(crash) = recent {
            crash.suspects.insert(key);
            return crash.id;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.crashes.push_back(Crash {
            id,
            endpoint: endpoint.clone(),
            detected_at: now,
            suspects: BTreeSet::from([key]),
            outage: false,
        });
        if self.crashes.len() > self.limits.max_crashes
            && let Some(crash) = self.crashes.pop_front()
        {
            for key in crash.suspects {
                self.remove(&key);
            }
        }
        id
    }

    /// Marks the latest crashes as an outage when many endpoints crashed at once and no request
    /// was in flight at two of them.
    fn mark_outage(&mut self, now: Millis) {
        let window = self.limits.outage_window.0;
        let mut crash_ids = HashMap::<Fingerprint, u64>::new();
        let mut count = 0;
        for crash in self
            .crashes
            .iter()
            .filter(|crash| now.since(crash.detected_at) <= window)
        {
            count += 1;
            for key in &crash.suspects {
                if *crash_ids.entry(key.2).or_insert(crash.id) != crash.id {
                    return;
                }
            }
        }
        if count >= self.limits.outage_crashes {
            for crash in &mut self.crashes {
                crash.outage |= now.since(crash.detected_at) <= window;
            }
        }
    }

    /// Removes records that expired more than [`RETENTION_MS`] ago.
    fn purge(&mut self, now: Millis) {
        let outdated = |record: &StoredRecord| record.expires_at.plus(RETENTION_MS) <= now;
        let keys: Vec<RecordKey> = self
            .records
            .iter()
            .filter(|(_, record)| outdated(record))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Evicts records beyond the limit: cleared ones first, quarantines last, and among equals
    /// those that expire first.
    fn evict(&mut self, now: Millis) {
        if self.records.len() > self.limits.max_records {
            self.purge(now);
        }
        let priority = |state: &RecordState| match state {
            RecordState::Cleared => 0,
            RecordState::Reserved { .. } => 1,
            RecordState::Suspect { .. } => 2,
            RecordState::Quarantined { .. } => 3,
        };
        while self.records.len() > self.limits.max_records {
            let first = self
                .records
                .iter()
                .min_by_key(|(_, record)| (priority(&record.state), record.expires_at))
                .map(|(key, _)| key.clone());
            let Some(key) = first else { return };
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &RecordKey) {
        self.records.remove(key);
        if let Some(keys) = self.by_fingerprint.get_mut(&key.2) {
            keys.remove(key);
            if keys.is_empty() {
                self.by_fingerprint.remove(&key.2);
            }
        }
        for crash in &mut self.crashes {
            crash.suspects.remove(key);
        }
    }
}
