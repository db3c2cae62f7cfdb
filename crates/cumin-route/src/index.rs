//! The index of the blocks in the prefix caches of all endpoints.
//!
//! The hash of a block covers the whole prefix up to the end of the block, so a hash table from
//! block to the set of endpoints that cache it tells how many leading blocks of a prompt each
//! endpoint caches. A lookup bisects the prompt: when the first and the last block of a range are
//! cached at the same endpoints, so are the blocks between them, because an engine evicts a chain
//! of blocks from its end.

use std::collections::{HashMap, HashSet};
use std::hash::{BuildHasherDefault, Hasher};

use cumin_wire::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, CacheList};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether the index of an endpoint's prefix cache is complete and used for scoring.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trust {
    /// All cache events up to `seq` are applied.
    #[display("trusted seq={seq}")]
    Trusted {
        /// Sequence number of the last event applied; the next poll asks for later ones.
        seq: u64,
    },
    /// Events are missing; the whole cache has to be listed again.
    #[display("untrusted expected={expected} got={got}")]
    Untrusted {
        /// Sequence number that was expected next.
        expected: u64,
        /// Sequence number that was received.
        got: u64,
    },
}

/// Uses block hashes as they are, since they are uniformly distributed already.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
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

type BlockHasher = BuildHasherDefault<IdentityHasher>;

/// The endpoints that cache a block; a single one needs no allocation.
#[derive(Clone, Debug)]
enum EndpointSet {
    One(usize),
    Many(IdSet),
}

/// A bit set of endpoint ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct IdSet(Vec<u64>);

impl IdSet {
    fn insert(&mut self, id: usize) {
        if self.0.len() <= id / 64 {
            self.0.resize(id / 64 + 1, 0);
        }
        self.0[id / 64] |= 1 << (id % 64);
    }

    fn remove(&mut self, id: usize) {
        if let Some(word) = self.0.get_mut(id / 64) {
            *word &= !(1 << (id % 64));
        }
    }

    fn contains(&self, id: usize) -> bool {
        self.0
            .get(id / 64)
            .is_some_and(|word| word & (1 << (id % 64)) != 0)
    }

    fn union_with(&mut self, other: &Self) {
        if self.0.len() < other.0.len() {
            self.0.resize(other.0.len(), 0);
        }
        for (word, other_word) in self.0.iter_mut().zip(&other.0) {
            *word |= other_word;
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

/// The indexed blocks of one endpoint.
#[derive(Clone, Debug, Default)]
struct Cache {
    /// Sequence numbers expected and received at the first gap.
    gap: Option<(u64, u64)>,
    seq: u64,
    blocks: HashSet<u64, BlockHasher>,
}

/// The prefix-cache index of all endpoints, by endpoint id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    max_blocks: usize,
    caches: Vec<Cache>,
    trusted: IdSet,
    block_endpoints: HashMap<u64, EndpointSet, BlockHasher>,
}

impl Index {
    pub(crate) fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            ..Self::default()
        }
    }

    /// Adds an endpoint with an empty cache, or empties the cache of a known one.
    pub(crate) fn reset(&mut self, id: usize) {
        self.remove_endpoint(id);
        if self.caches.len() <= id {
            self.caches.resize_with(id + 1, Cache::default);
        }
        self.trusted.insert(id);
    }

    pub(crate) fn remove_endpoint(&mut self, id: usize) {
        self.trusted.remove(id);
        if let Some(cache) = self.caches.get_mut(id) {
            for block in std::mem::take(cache).blocks {
                remove_from_set(&mut self.block_endpoints, block, id);
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

    /// Adds a block. Returns false when it is indexed already or the endpoint is at the block
    /// limit.
    pub(crate) fn add_block(&mut self, id: usize, block: u64) -> bool {
        let cache = &mut self.caches[id];
        if cache.blocks.len() >= self.max_blocks || !cache.blocks.insert(block) {
            return false;
        }
        self.block_endpoints
            .entry(block)
            .and_modify(|endpoints| match endpoints {
                EndpointSet::Many(ids) => ids.insert(id),
                EndpointSet::One(other) => {
                    let mut ids = IdSet::default();
                    ids.insert(*other);
                    ids.insert(id);
                    *endpoints = EndpointSet::Many(ids);
                }
            })
            .or_insert(EndpointSet::One(id));
        true
    }

    pub(crate) fn remove_block(&mut self, id: usize, block: u64) {
        if self.caches[id].blocks.remove(&block) {
            remove_from_set(&mut self.block_endpoints, block, id);
        }
    }

    pub(crate) fn apply_events(&mut self, id: usize, events: &[CacheEvent]) {
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
                self.trusted.remove(id);
                return;
            }
            cache.seq = event.seq;
            match event.change {
                CacheChange::Added(block) => {
                    self.add_block(id, block);
                }
                CacheChange::Removed(block) => self.remove_block(id, block),
            }
        }
    }

    /// Replaces the blocks of an endpoint. Returns false and changes nothing when the list is older
    /// than the events applied.
    pub(crate) fn replace(&mut self, id: usize, list: &CacheList) -> bool {
        let cache = &self.caches[id];
        if cache.gap.is_none() && list.seq < cache.seq {
            return false;
        }
        self.remove_endpoint(id);
        for block in &list.blocks {
            self.add_block(id, *block);
        }
        self.caches[id].seq = list.seq;
        self.trusted.insert(id);
        true
    }

    /// Calls `visit` with the id of each trusted endpoint that caches the first block and with the
    /// number of leading blocks that it caches, longest prefix first.
    pub(crate) fn lookup(&self, blocks: &[u64], mut visit: impl FnMut(usize, usize)) {
        let Some(first) = blocks.first() else { return };
        let mut first_set = IdSet::default();
        self.intersect(&self.trusted, *first, &mut first_set);
        if first_set.is_empty() {
            return;
        }
        let end = blocks.len();
        self.bisect(blocks, 0, &first_set, end, &IdSet::default(), &mut visit);
    }

    /// Visits the endpoints of `low_set` that are not in `high_set`. The endpoints of `low_set`
    /// cache block `low`; `high_set` is the subset that also caches block `high`.
    fn bisect(
        &self,
        blocks: &[u64],
        low: usize,
        low_set: &IdSet,
        high: usize,
        high_set: &IdSet,
        visit: &mut impl FnMut(usize, usize),
    ) {
        let same_set = low_set.ids().all(|id| high_set.contains(id));
        if same_set {
            return;
        }
        if high - low == 1 {
            for id in low_set.ids().filter(|id| !high_set.contains(*id)) {
                visit(id, high);
            }
            return;
        }
        let middle = low + (high - low) / 2;
        let mut middle_set = IdSet::default();
        self.intersect(low_set, blocks[middle], &mut middle_set);
        middle_set.union_with(high_set);
        self.bisect(blocks, middle, &middle_set, high, high_set, visit);
        self.bisect(blocks, low, low_set, middle, &middle_set, visit);
    }

    fn intersect(&self, set: &IdSet, block: u64, out: &mut IdSet) {
        match self.block_endpoints.get(&block) {
            Some(EndpointSet::One(id)) if set.contains(*id) => out.insert(*id),
            None | Some(EndpointSet::One(_)) => {}
            Some(EndpointSet::Many(ids)) => {
                out.0.extend(set.0.iter().zip(&ids.0).map(|(a, b)| a & b));
            }
        }
    }
}

fn remove_from_set(
    block_endpoints: &mut HashMap<u64, EndpointSet, BlockHasher>,
    block: u64,
    id: usize,
) {
    let empty = match block_endpoints.get_mut(&block) {
        None => return,
        Some(EndpointSet::One(other)) => *other == id,
        Some(EndpointSet::Many(ids)) => {
            ids.remove(id);
            ids.is_empty()
        }
    };
    if empty {
        block_endpoints.remove(&block);
    }
}

/// Returns the number of tokens in `blocks` whole blocks.
pub(crate) fn tokens_in_blocks(blocks: usize) -> u64 {
    (blocks * BLOCK_TOKENS) as u64
}
