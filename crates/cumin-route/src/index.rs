//! Which endpoint holds which block of the prefix caches.
//!
//! A block's hash covers the whole prefix up to its end, so a hash table from block to the set of
//! its holders answers how deep each endpoint's cache goes into a prompt. A lookup bisects the
//! prompt: where the first and last block of a stretch have the same holders, so does what is
//! between, because an engine evicts a chain from its end.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, Hasher};

use cumin_wire::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, CacheList};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an endpoint's index is counted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trust {
    /// All events up to `seq` are applied.
    #[display("trusted seq={seq}")]
    Trusted {
        /// The last event applied; ask for events after it.
        seq: u64,
    },
    /// Events were missed; list the cache.
    #[display("untrusted expected={expected} got={got}")]
    Untrusted {
        /// The event that should have come.
        expected: u64,
        /// The event that came.
        got: u64,
    },
}

/// Passes block hashes through, which are uniform already.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Through(u64);

impl Hasher for Through {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxhash_rust::xxh3::xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

type Build = BuildHasherDefault<Through>;

/// A set of endpoint slots.
#[derive(Clone, Debug)]
enum Holders {
    One(usize),
    Many(Bits),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Bits(Vec<u64>);

impl Bits {
    fn set(&mut self, id: usize) {
        if self.0.len() <= id / 64 {
            self.0.resize(id / 64 + 1, 0);
        }
        self.0[id / 64] |= 1 << (id % 64);
    }

    fn clear(&mut self, id: usize) {
        if let Some(word) = self.0.get_mut(id / 64) {
            *word &= !(1 << (id % 64));
        }
    }

    fn has(&self, id: usize) -> bool {
        self.0
            .get(id / 64)
            .is_some_and(|word| word & (1 << (id % 64)) != 0)
    }

    fn join(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (word, more) in self.0.iter_mut().zip(&other.0) {
            *word |= more;
        }
    }

    fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    fn ids(&self) -> impl Iterator<Item = usize> {
        self.0.iter().enumerate().flat_map(|(index, word)| {
            let mut word = *word;
            std::iter::from_fn(move || {
                (word != 0).then(|| {
                    let bit = word.trailing_zeros() as usize;
                    word &= word - 1;
                    index * 64 + bit
                })
            })
        })
    }
}

#[derive(Clone, Debug, Default)]
struct Cache {
    gap: Option<(u64, u64)>,
    seq: u64,
    blocks: HashSet<u64, Build>,
}

/// The index of all endpoints, by slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    limit: usize,
    caches: Vec<Cache>,
    trusted: Bits,
    holders: HashMap<u64, Holders, Build>,
}

impl Index {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Starts an endpoint with an empty cache.
    pub(crate) fn reset(&mut self, id: usize) {
        self.forget(id);
        if self.caches.len() <= id {
            self.caches.resize_with(id + 1, Cache::default);
        }
        self.trusted.set(id);
    }

    pub(crate) fn forget(&mut self, id: usize) {
        self.trusted.clear(id);
        if let Some(cache) = self.caches.get_mut(id) {
            for block in std::mem::take(cache).blocks {
                drop_holder(&mut self.holders, block, id);
            }
        }
    }

    pub(crate) fn trust(&self, id: usize) -> Trust {
        let cache = &self.caches[id];
        match cache.gap {
            None => Trust::Trusted { seq: cache.seq },
            Some((expected, got)) => Trust::Untrusted { expected, got },
        }
    }

    /// Adds a block; returns whether it is new and within the limit.
    pub(crate) fn add(&mut self, id: usize, block: u64) -> bool {
        let cache = &mut self.caches[id];
        if cache.blocks.len() >= self.limit || !cache.blocks.insert(block) {
            return false;
        }
        self.holders
            .entry(block)
            .and_modify(|holders| match holders {
                Holders::Many(bits) => bits.set(id),
                Holders::One(other) => {
                    let mut bits = Bits::default();
                    bits.set(*other);
                    bits.set(id);
                    *holders = Holders::Many(bits);
                }
            })
            .or_insert(Holders::One(id));
        true
    }

    pub(crate) fn take(&mut self, id: usize, block: u64) {
        if self.caches[id].blocks.remove(&block) {
            drop_holder(&mut self.holders, block, id);
        }
    }

    pub(crate) fn events(&mut self, id: usize, events: &[CacheEvent]) {
        for event in events {
            let cache = &mut self.caches[id];
            if cache.gap.is_some() {
                return;
            }
            if event.seq <= cache.seq {
                continue;
            }
            if event.seq != cache.seq + 1 {
                cache.gap = Some((cache.seq + 1, event.seq));
                self.trusted.clear(id);
                return;
            }
            cache.seq = event.seq;
            match event.change {
                CacheChange::Added(block) => {
                    self.add(id, block);
                }
                CacheChange::Removed(block) => self.take(id, block),
            }
        }
    }

    /// Replaces an endpoint's blocks; a list older than the events applied is ignored.
    pub(crate) fn list(&mut self, id: usize, list: &CacheList) -> bool {
        let cache = &self.caches[id];
        if cache.gap.is_none() && list.seq < cache.seq {
            return false;
        }
        self.forget(id);
        for block in &list.blocks {
            self.add(id, *block);
        }
        self.caches[id].seq = list.seq;
        self.trusted.set(id);
        true
    }

    /// Calls `found` with each trusted endpoint that holds the first block and the number of
    /// leading blocks that it holds, deepest first.
    pub(crate) fn lookup(&self, blocks: &[u64], mut found: impl FnMut(usize, usize)) {
        let Some(first) = blocks.first() else { return };
        let mut root = Bits::default();
        self.and(&self.trusted, *first, &mut root);
        if root.is_empty() {
            return;
        }
        let end = blocks.len();
        self.bisect(blocks, 0, &root, end, &Bits::default(), &mut found);
    }

    /// Reports the endpoints of `above` that are not in `below`: `above` holds block `low`,
    /// `below` is a subset that holds block `high`.
    fn bisect(
        &self,
        blocks: &[u64],
        low: usize,
        above: &Bits,
        high: usize,
        below: &Bits,
        found: &mut impl FnMut(usize, usize),
    ) {
        let same = above.ids().all(|id| below.has(id));
        if same {
            return;
        }
        if high - low == 1 {
            for id in above.ids().filter(|id| !below.has(*id)) {
                found(id, high);
            }
            return;
        }
        let middle = low + (high - low) / 2;
        let mut bits = Bits::default();
        self.and(above, blocks[middle], &mut bits);
        bits.join(below);
        self.bisect(blocks, middle, &bits, high, below, found);
        self.bisect(blocks, low, above, middle, &bits, found);
    }

    fn and(&self, set: &Bits, block: u64, out: &mut Bits) {
        match self.holders.get(&block) {
            Some(Holders::One(id)) if set.has(*id) => out.set(*id),
            None | Some(Holders::One(_)) => {}
            Some(Holders::Many(bits)) => {
                out.0.extend(set.0.iter().zip(&bits.0).map(|(a, b)| a & b));
            }
        }
    }
}

fn drop_holder(holders: &mut HashMap<u64, Holders, Build>, block: u64, id: usize) {
    let empty = match holders.get_mut(&block) {
        None => return,
        Some(Holders::One(other)) => *other == id,
        Some(Holders::Many(bits)) => {
            bits.clear(id);
            bits.is_empty()
        }
    };
    if empty {
        holders.remove(&block);
    }
}

/// Returns the tokens in `blocks` whole blocks.
pub(crate) fn tokens(blocks: usize) -> u64 {
    (blocks * BLOCK_TOKENS) as u64
}
