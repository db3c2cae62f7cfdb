//! Payload items: the last version of each key, for as long as it lives.

use std::collections::BTreeMap;

use cumin_types::Millis;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// One opaque value that all nodes come to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Names the item, `kind/name` by convention.
    pub key: String,
    /// The highest version of a key wins.
    pub version: u64,
    /// Content.
    pub value: serde_json::Value,
    /// Remaining life in milliseconds.
    pub ttl: u64,
}

/// An item was not taken.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ItemError {
    /// It does not fit a message.
    #[display("item {key:?} has {bytes} bytes as JSON; at most {limit} are accepted")]
    Large {
        /// Its key.
        key: String,
        /// Its length as JSON.
        bytes: usize,
        /// The longest accepted.
        limit: usize,
    },
    /// The same or a newer version is held.
    #[display("item {key:?} version {version} is not above the held version {held}")]
    Old {
        /// Its key.
        key: String,
        /// Its version.
        version: u64,
        /// The version held.
        held: u64,
    },
    /// The table is full.
    #[display("item {key:?}: {limit} items are held already")]
    Full {
        /// Its key.
        key: String,
        /// The most items held.
        limit: usize,
    },
}

/// An item as held.
#[derive(Clone, Debug)]
pub(crate) struct HeldItem {
    pub(crate) item: Item,
    /// Order between equal versions, and part of the entry's hash.
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

    pub(crate) const fn precedence(&self) -> (u64, u64) {
        (self.item.version, self.hash)
    }

    /// Returns the item with its remaining life.
    pub(crate) fn with_remaining_ttl(&self, now: Millis) -> Item {
        Item {
            ttl: self.expires.since(now),
            ..self.item.clone()
        }
    }
}

/// Items by key, and the versions of expired ones.
#[derive(Debug, Default)]
pub(crate) struct Items {
    pub(crate) held: BTreeMap<String, HeldItem>,
    /// Version and value hash of expired items, and when they are forgotten. Without them a copy
    /// that was under way at expiry would start a second life.
    expired: BTreeMap<String, ((u64, u64), Millis)>,
}

impl Items {
    /// Whether `new` overrides what is held or was held.
    pub(crate) fn is_newer(&self, new: &HeldItem) -> bool {
        let held = self.held.get(&new.item.key).map(HeldItem::precedence);
        let expired = self
            .expired
            .get(&new.item.key)
            .map(|(precedence, _)| *precedence);
        held.max(expired)
            .is_none_or(|precedence| new.precedence() > precedence)
    }

    /// Returns the version held, or that of an expired item.
    pub(crate) fn last_version(&self, key: &str) -> Option<u64> {
        let expired = self.expired.get(key).map(|(precedence, _)| precedence.0);
        self.held
            .get(key)
            .map(|held| held.item.version)
            .max(expired)
    }

    /// Whether there is no room for `key`.
    pub(crate) fn is_full(&self, key: &str, limit: usize) -> bool {
        self.held.len() >= limit && !self.held.contains_key(key)
    }

    pub(crate) fn insert(&mut self, new: HeldItem) -> Option<HeldItem> {
        self.expired.remove(&new.item.key);
        self.held.insert(new.item.key.clone(), new)
    }

    /// Removes and returns the items whose life is over; remembers their versions until `until`.
    pub(crate) fn expire(&mut self, now: Millis, until: Millis) -> Vec<HeldItem> {
        self.expired.retain(|_, (_, forget)| *forget > now);
        let expired: Vec<HeldItem> = self
            .held
            .extract_if(.., |_, held| held.expires <= now)
            .map(|(_, held)| held)
            .collect();
        for held in &expired {
            self.expired
                .insert(held.item.key.clone(), (held.precedence(), until));
        }
        expired
    }
}
