//! Replicated items: the last version of each key until its time to live ends.

use std::collections::BTreeMap;

use cumin_types::Millis;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// An opaque value that is replicated to all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key of the item, `kind/name` by convention.
    pub key: String,
    /// Version of the value; the highest version of a key wins.
    pub version: u64,
    /// Value of the item.
    pub value: serde_json::Value,
    /// Remaining time to live in milliseconds.
    pub ttl: u64,
}

/// Reason why an item was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ItemError {
    /// The item does not fit a message.
    #[display("item {key:?} has {bytes} bytes as JSON; at most {limit} are accepted")]
    Large {
        /// Key of the item.
        key: String,
        /// Length of the item as JSON.
        bytes: usize,
        /// Maximum length.
        limit: usize,
    },
    /// The same version or a newer one is held.
    #[display("item {key:?} version {version} is not above the held version {held}")]
    Old {
        /// Key of the item.
        key: String,
        /// Version of the rejected item.
        version: u64,
        /// Version that is held.
        held: u64,
    },
    /// The table is full.
    #[display("item {key:?}: {limit} items are held already")]
    Full {
        /// Key of the item.
        key: String,
        /// Maximum number of items.
        limit: usize,
    },
}

/// An item in the table.
#[derive(Clone, Debug)]
pub(crate) struct HeldItem {
    pub(crate) item: Item,
    /// Hash of value and version: the tie-breaker between equal versions, and the state of the
    /// entry in comparisons.
    pub(crate) hash: u64,
    pub(crate) expires: Millis,
    pub(crate) bytes: usize,
}

impl HeldItem {
    pub(crate) fn new(item: Item, now: Millis) -> Self {
        let value = item.value.to_string();
        let mut hashed = value.into_bytes();
        hashed.extend_from_slice(&item.version.to_le_bytes());
        let bytes = serde_json::to_vec(&item).map_or(0, |text| text.len());
        Self {
            hash: xxh3_64(&hashed),
            expires: now.plus(item.ttl),
            bytes,
            item,
        }
    }

    /// Returns the sort key of items: an item overrides those with a lower one.
    pub(crate) const fn precedence(&self) -> (u64, u64) {
        (self.item.version, self.hash)
    }

    /// Returns a copy of the item whose `ttl` is the time that remains.
    pub(crate) fn with_remaining_ttl(&self, now: Millis) -> Item {
        Item {
            ttl: self.expires.since(now),
            ..self.item.clone()
        }
    }
}

/// Items by key, with tombstones of expired ones.
#[derive(Debug, Default)]
pub(crate) struct Items {
    pub(crate) held: BTreeMap<String, HeldItem>,
    /// Tombstones: the precedence of expired items, and when the tombstone is removed. Without
    /// them, a copy that was in flight at expiry would revive the item.
    tombstones: BTreeMap<String, ((u64, u64), Millis)>,
}

impl Items {
    /// Returns whether `new` overrides the item that is held and the one that expired.
    pub(crate) fn is_newer(&self, new: &HeldItem) -> bool {
        let held = self.held.get(&new.item.key).map(HeldItem::precedence);
        let tombstone = self
            .tombstones
            .get(&new.item.key)
            .map(|(precedence, _)| *precedence);
        held.max(tombstone)
            .is_none_or(|precedence| new.precedence() > precedence)
    }

    /// Returns the version held, or that of an expired item.
    pub(crate) fn last_version(&self, key: &str) -> Option<u64> {
        let tombstone = self.tombstones.get(key).map(|(precedence, _)| precedence.0);
        self.held
            .get(key)
            .map(|held| held.item.version)
            .max(tombstone)
    }

    /// Returns whether there is no room for `key`.
    pub(crate) fn is_full(&self, key: &str, limit: usize) -> bool {
        self.held.len() >= limit && !self.held.contains_key(key)
    }

    pub(crate) fn insert(&mut self, new: HeldItem) -> Option<HeldItem> {
        self.tombstones.remove(&new.item.key);
        self.held.insert(new.item.key.clone(), new)
    }

    /// Removes and returns the expired items, and keeps their tombstones until `until`.
    pub(crate) fn expire(&mut self, now: Millis, until: Millis) -> Vec<HeldItem> {
        self.tombstones.retain(|_, (_, forget)| *forget > now);
        let expired: Vec<HeldItem> = self
            .held
            .extract_if(.., |_, held| held.expires <= now)
            .map(|(_, held)| held)
            .collect();
        for held in &expired {
            self.tombstones
                .insert(held.item.key.clone(), (held.precedence(), until));
        }
        expired
    }
}
