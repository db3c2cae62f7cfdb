//! Table of the other members, with the hashes by which nodes compare their tables.

use std::collections::BTreeMap;

use cumin_types::{Millis, NodeName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Record, Status};

/// Number of buckets of a comparison: 330 members and a few hundred items give some 20 entries
/// in each, which fit one message.
pub(crate) const BUCKET_COUNT: usize = 32;

/// A member other than this node.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: Record,
    pub(crate) bytes: usize,
    /// When the record last changed.
    pub(crate) changed_at: Millis,
    /// When an unresponsive member is declared dead or left.
    pub(crate) deadline: Option<Millis>,
    /// Whether this node's own probes failed, in which case it keeps probing the member.
    pub(crate) own_suspicion: bool,
}

/// Members by name, and the hash of each bucket of members and items.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<NodeName, Entry>,
    buckets: [u64; BUCKET_COUNT],
    /// Number of members that are not gone.
    present: usize,
}

/// Returns the key hash of a member.
pub(crate) fn member_key(name: &NodeName) -> u32 {
    low_bits(xxh3_64(name.as_str().as_bytes()))
}

/// Returns the key hash of an item; the seed keeps it apart from the hash of a member.
pub(crate) fn item_key(key: &str) -> u32 {
    low_bits(xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), 1))
}

/// Returns the hash of a member's state. Suspicion is left out because it is short-lived and must
/// not cause exchanges.
pub(crate) fn member_state(record: &Record) -> u32 {
    let class = match record.status {
        Status::Alive | Status::Suspect => 0,
        Status::Leaving => 1,
        Status::Dead | Status::Left => 2,
    };
    let number = record.member.incarnation.0;
    low_bits(xxh3_64(&[&number.to_le_bytes()[..], &[class]].concat()))
}

pub(crate) fn low_bits(hash: u64) -> u32 {
    u32::try_from(hash & u64::from(u32::MAX)).expect("masked to 32 bits")
}

pub(crate) fn bucket_of(key: u32) -> usize {
    usize::try_from(key).map_or(0, |key| key % BUCKET_COUNT)
}

impl Table {
    /// Adds an entry to the hash of its bucket, or removes it if it is part of the hash.
    pub(crate) fn toggle(&mut self, key: u32, state: u32) {
        let pair = (u64::from(key) << 32) | u64::from(state);
        self.buckets[bucket_of(key)] ^= xxh3_64(&pair.to_le_bytes());
    }

    /// Adds a member to the hash of its bucket, or removes it. Members that are gone are not part
    /// of the hash, so that removing them from the table does not change the digest.
    pub(crate) fn toggle_record(&mut self, record: &Record) {
        if !record.status.is_gone() {
            self.toggle(member_key(&record.member.name), member_state(record));
        }
    }

    pub(crate) fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self
            .buckets
            .iter()
            .flat_map(|hash| hash.to_le_bytes())
            .collect();
        xxh3_64(&bytes)
    }

    pub(crate) fn buckets(&self) -> Vec<u32> {
        self.buckets.iter().map(|hash| low_bits(*hash)).collect()
    }

    pub(crate) fn get(&self, name: &NodeName) -> Option<&Entry> {
        self.entries.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &NodeName) -> Option<&mut Entry> {
        self.entries.get_mut(name)
    }

    pub(crate) const fn present(&self) -> usize {
        self.present
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
        self.entries.values_mut()
    }

    pub(crate) fn set(&mut self, record: Record, now: Millis, deadline: Option<Millis>) {
        let name = record.member.name.clone();
        let own_suspicion =
            deadline.is_some() && self.entries.get(&name).is_some_and(|old| old.own_suspicion);
        self.toggle_record(&record);
        self.present += usize::from(!record.status.is_gone());
        let entry = Entry {
            bytes: record.bytes(),
            record,
            changed_at: now,
            deadline,
            own_suspicion,
        };
        if let Some(old) = self.entries.insert(name, entry) {
            self.toggle_record(&old.record);
            self.present -= usize::from(!old.record.status.is_gone());
        }
    }

    pub(crate) fn forget(&mut self, name: &NodeName) {
        if let Some(old) = self.entries.remove(name) {
            self.toggle_record(&old.record);
            self.present -= usize::from(!old.record.status.is_gone());
        }
    }
}
