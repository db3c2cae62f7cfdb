//! What is known of crashes, merged from all nodes.
//!
//! Every fact is a record with the key (author, number, fingerprint). A record is cleared by
//! anybody and never comes back, so merging is the same in any order and any number of times.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use cumin_types::{EndpointName, Fingerprint, Millis, NodeName};
use serde::{Deserialize, Serialize};

/// What a record says of its fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum State {
    /// It was in flight at the endpoint when that crashed.
    Suspect {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// The endpoint is kept free to run it alone.
    Reserved {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// It is not run.
    Quarantined {
        /// Crashes it was in.
        crashes: u32,
    },
    /// The record with this key no longer holds.
    Cleared,
}

/// One record, as nodes exchange them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The node that made the record.
    pub author: NodeName,
    /// Number of the event at its author.
    pub number: u64,
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is known.
    #[serde(flatten)]
    pub state: State,
    /// Time left until it is forgotten.
    pub left: Millis,
}

type Key = (NodeName, u64, Fingerprint);

#[derive(Debug)]
struct Record {
    state: State,
    /// The crash of a suspect.
    crash: u64,
    at: Millis,
    expires: Millis,
    /// Times it was handed out by `gossip`.
    sent: u32,
}

/// One crash, from the notes of all nodes.
#[derive(Debug)]
struct Crash {
    id: u64,
    endpoint: EndpointName,
    at: Millis,
    aboard: BTreeSet<Key>,
    /// One of many at once without a common request: not the work of one.
    outage: bool,
}

/// Bounds and times of [`Evidence`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub records: usize,
    pub crashes: usize,
    /// Notes on one endpoint within this time are of one crash.
    pub same: Millis,
    /// This many crashes within `together` and without a common request are an outage.
    pub outage: usize,
    pub together: Millis,
    /// Times that a record other than a quarantine is handed out.
    pub sends: u32,
}

/// An expired or cleared record is remembered for this long, so that a copy that still
/// travels does not restore it.
const REMEMBER: u64 = 60_000;

/// Records of all nodes.
#[derive(Debug)]
pub(crate) struct Evidence {
    limits: Limits,
    records: BTreeMap<Key, Record>,
    prints: HashMap<Fingerprint, BTreeSet<Key>>,
    crashes: VecDeque<Crash>,
    next: u64,
}

impl Evidence {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            records: BTreeMap::new(),
            prints: HashMap::new(),
            crashes: VecDeque::new(),
            next: 0,
        }
    }

    /// Takes one record.
    pub fn put(&mut self, item: Quarantined, now: Millis) {
        let key = (item.author, item.number, item.fingerprint);
        let expires = now.plus(item.left.0);
        if let Some(record) = self.records.get_mut(&key) {
            if item.state == State::Cleared && record.state != State::Cleared {
                record.state = State::Cleared;
                record.expires = record.expires.max(expires);
                record.sent = 0;
            }
            return;
        }
        let crash = match &item.state {
            State::Suspect { endpoint } => self.crash(endpoint, key.clone(), now),
            _ => u64::MAX,
        };
        let record = Record {
            state: item.state,
            crash,
            at: now,
            expires,
            sent: 0,
        };
        self.prints.entry(key.2).or_default().insert(key.clone());
        self.records.insert(key, record);
        if crash != u64::MAX {
            self.find_outage(now);
        }
        self.trim(now);
    }

    /// Returns whether anything is known of a fingerprint.
    pub fn knows(&self, print: &Fingerprint) -> bool {
        self.prints.contains_key(print)
    }

    /// Returns the crashes that a fingerprint is suspected of, oldest first. A crash with
    /// another fingerprint aboard that is quarantined is explained by that one.
    ///
    /// The notes of two nodes on one endpoint can be of one crash however late one arrives, so
    /// an endpoint counts as often as the node with the most notes on it says.
    pub fn suspicions(&self, print: &Fingerprint, now: Millis) -> Vec<(Millis, u64)> {
        let mut found = BTreeSet::new();
        let mut notes = BTreeMap::<(&EndpointName, &NodeName), usize>::new();
        for (key, record) in self.of(print, now) {
            let crash = self.crashes.iter().find(|crash| crash.id == record.crash);
            let Some(crash) = crash.filter(|crash| !crash.outage) else {
                continue;
            };
            let explained = crash
                .aboard
                .iter()
                .any(|key| key.2 != *print && self.quarantined(&key.2, now).is_some());
            if !explained && matches!(record.state, State::Suspect { .. }) {
                found.insert((crash.at, crash.id, &crash.endpoint));
                *notes.entry((&crash.endpoint, &key.0)).or_default() += 1;
            }
        }
        let mut most = BTreeMap::<&EndpointName, usize>::new();
        for ((endpoint, _), count) in notes {
            let old = most.entry(endpoint).or_default();
            *old = count.max(*old);
        }
        let mut crashes = Vec::with_capacity(found.len());
        for (at, id, endpoint) in found.into_iter().rev() {
            if let Some(left) = most.get_mut(endpoint).filter(|left| **left > 0) {
                *left -= 1;
                crashes.push((at, id));
            }
        }
        crashes.reverse();
        crashes
    }

    /// Returns the fingerprints still suspected of a crash.
    pub fn aboard(&self, crash: u64, now: Millis) -> BTreeSet<Fingerprint> {
        self.crashes
            .iter()
            .filter(|other| other.id == crash)
            .flat_map(|crash| &crash.aboard)
            .filter(|key| {
                self.records.get(*key).is_some_and(|record| {
                    record.expires > now && matches!(record.state, State::Suspect { .. })
                })
            })
            .map(|key| key.2)
            .collect()
    }

    /// Returns whether `node` itself saw the fingerprint in a crash.
    pub fn own(&self, print: &Fingerprint, node: &NodeName, now: Millis) -> bool {
        self.of(print, now)
            .any(|(key, record)| key.0 == *node && matches!(record.state, State::Suspect { .. }))
    }

    /// Returns until when a fingerprint is quarantined, and its crashes.
    pub fn quarantined(&self, print: &Fingerprint, now: Millis) -> Option<(Millis, u32)> {
        self.of(print, now)
            .filter_map(|(_, record)| match record.state {
                State::Quarantined { crashes } => Some((record.expires, crashes)),
                _ => None,
            })
            .max()
    }

    /// Returns the endpoints kept free by other nodes than `node`, each with the first such
    /// node by name.
    pub fn reserved(&self, node: &NodeName, now: Millis) -> BTreeMap<EndpointName, NodeName> {
        let mut kept = BTreeMap::new();
        for (key, record) in &self.records {
            if let State::Reserved { endpoint } = &record.state
                && key.0 != *node
                && record.expires > now
            {
                // Records are ordered by author.
                kept.entry(endpoint.clone())
                    .or_insert_with(|| key.0.clone());
            }
        }
        kept
    }

    /// Clears the records of a fingerprint for which `which` is true.
    pub fn clear(&mut self, print: &Fingerprint, now: Millis, which: impl Fn(&State) -> bool) {
        for key in self.prints.get(print).into_iter().flatten() {
            if let Some(record) = self.records.get_mut(key)
                && record.expires > now
                && record.state != State::Cleared
                && which(&record.state)
            {
                record.state = State::Cleared;
                record.sent = 0;
            }
        }
    }

    /// Returns up to `count` records, those handed out least often first, then the newest. Of
    /// the quarantines that were handed out often enough there is one each time, for nodes
    /// that are new; all of them each time would cost 8 KB a message.
    pub fn gossip(&mut self, count: usize, now: Millis) -> Vec<Quarantined> {
        self.forget(now);
        let sends = self.limits.sends;
        let mut order: Vec<(u32, std::cmp::Reverse<Millis>, Key)> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires > now)
            .filter(|(_, record)| {
                record.sent < sends || matches!(record.state, State::Quarantined { .. })
            })
            .map(|(key, record)| (record.sent, std::cmp::Reverse(record.at), key.clone()))
            .collect();
        order.sort_unstable();
        let fresh = order.partition_point(|(sent, ..)| *sent < sends);
        order.truncate(count.min(fresh + 1));
        let mut items = Vec::with_capacity(order.len());
        for (.., key) in order {
            let Some(record) = self.records.get_mut(&key) else {
                continue;
            };
            record.sent = record.sent.saturating_add(1);
            items.push(Quarantined {
                author: key.0,
                number: key.1,
                fingerprint: key.2,
                state: record.state.clone(),
                left: Millis(record.expires.since(now)),
            });
        }
        items
    }

    /// Returns the fingerprints that are quarantined, with the time left.
    pub fn list(&self, now: Millis) -> Vec<(Fingerprint, u32, Millis)> {
        self.records
            .iter()
            .filter(|(_, record)| record.expires > now)
            .filter_map(|(key, record)| match record.state {
                State::Quarantined { crashes } => {
                    Some((key.2, crashes, Millis(record.expires.since(now))))
                }
                _ => None,
            })
            .collect()
    }

    /// Returns the number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    fn of(&self, print: &Fingerprint, now: Millis) -> impl Iterator<Item = (&Key, &Record)> {
        self.prints
            .get(print)
            .into_iter()
            .flatten()
            .filter_map(|key| self.records.get_key_value(key))
            .filter(move |(_, record)| record.expires > now)
    }

    /// Returns the crash that a note on `endpoint` belongs to.
    fn crash(&mut self, endpoint: &EndpointName, key: Key, now: Millis) -> u64 {
        let same = self.limits.same.0;
        let known = self
            .crashes
            .iter_mut()
            .rev()
            .find(|crash| crash.endpoint == *endpoint && now.since(crash.at) <= same);
        if let Some(crash) = known {
            crash.aboard.insert(key);
            return crash.id;
        }
        let id = self.next;
        self.next += 1;
        self.crashes.push_back(Crash {
            id,
            endpoint: endpoint.clone(),
            at: now,
            aboard: BTreeSet::from([key]),
            outage: false,
        });
        if self.crashes.len() > self.limits.crashes
            && let Some(crash) = self.crashes.pop_front()
        {
            for key in crash.aboard {
                self.remove(&key);
            }
        }
        id
    }

    /// Marks the latest crashes as an outage when many endpoints died together and no request
    /// was at two of them.
    fn find_outage(&mut self, now: Millis) {
        let since = self.limits.together.0;
        let mut prints = HashMap::<Fingerprint, u64>::new();
        let mut count = 0;
        for crash in self
            .crashes
            .iter()
            .filter(|crash| now.since(crash.at) <= since)
        {
            count += 1;
            for key in &crash.aboard {
                if *prints.entry(key.2).or_insert(crash.id) != crash.id {
                    return;
                }
            }
        }
        if count >= self.limits.outage {
            for crash in &mut self.crashes {
                crash.outage |= now.since(crash.at) <= since;
            }
        }
    }

    /// Removes records that expired long enough ago.
    fn forget(&mut self, now: Millis) {
        let old = |record: &Record| record.expires.plus(REMEMBER) <= now;
        let gone: Vec<Key> = self
            .records
            .iter()
            .filter(|(_, record)| old(record))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove(&key);
        }
    }

    /// Keeps the number of records bounded: cleared ones go first, quarantines last, and among
    /// equals the first to expire.
    fn trim(&mut self, now: Millis) {
        if self.records.len() > self.limits.records {
            self.forget(now);
        }
        let class = |state: &State| match state {
            State::Cleared => 0,
            State::Reserved { .. } => 1,
            State::Suspect { .. } => 2,
            State::Quarantined { .. } => 3,
        };
        while self.records.len() > self.limits.records {
            let first = self
                .records
                .iter()
                .min_by_key(|(_, record)| (class(&record.state), record.expires))
                .map(|(key, _)| key.clone());
            let Some(key) = first else { return };
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        self.records.remove(key);
        if let Some(keys) = self.prints.get_mut(&key.2) {
            keys.remove(key);
            if keys.is_empty() {
                self.prints.remove(&key.2);
            }
        }
        for crash in &mut self.crashes {
            crash.aboard.remove(key);
        }
    }
}
