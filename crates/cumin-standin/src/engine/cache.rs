//! The prefix cache: blocks in limited memory, the least recently used leave first.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use actix_rt::time::Instant;
use cumin_wire::engine::{CacheChange, CacheEvent, CacheEvents, CacheList};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Events that the engine keeps; a reader that is further behind sees a gap.
const EVENTS: usize = 65_536;

/// Events in one answer.
const EVENT_LIMIT: usize = 4096;

/// Blocks by hash, and the events that tell of their changes.
pub struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    gap: f64,
    rng: ChaCha8Rng,
}

impl Cache {
    /// Makes an empty cache of `capacity` blocks that loses events with chance `gap`.
    pub fn new(capacity: usize, gap: f64, seed: u64) -> Self {
        Self {
            capacity,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            seq: 0,
            events: VecDeque::new(),
            gap: gap.clamp(0.0, 1.0),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the number of free blocks.
    pub fn free(&self) -> u64 {
        (self.capacity - self.used.len()) as u64
    }

    /// Returns how many of the first blocks are cached.
    pub fn prefix(&self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|hash| self.used.contains_key(hash));
        cached.count()
    }

    /// Adds blocks, first block first, or marks them as used.
    pub fn add(&mut self, blocks: &[u64]) {
        // The first block is marked last: without it, the blocks after it are of no use.
        for &hash in blocks.iter().take(self.capacity).rev() {
            self.clock += 1;
            match self.used.insert(hash, self.clock) {
                Some(old) => {
                    self.order.remove(&old);
                }
                None => self.event(CacheChange::Added(hash)),
            }
            self.order.insert(self.clock, hash);
        }
        while self.used.len() > self.capacity
            && let Some((_, hash)) = self.order.pop_first()
        {
            self.used.remove(&hash);
            self.event(CacheChange::Removed(hash));
        }
    }

    /// Drops all blocks.
    pub fn clear(&mut self) {
        self.order.clear();
        let mut blocks: Vec<u64> = self.used.drain().map(|(hash, _)| hash).collect();
        blocks.sort_unstable();
        for hash in blocks {
            self.event(CacheChange::Removed(hash));
        }
    }

    fn event(&mut self, change: CacheChange) {
        self.seq += 1;
        if self.gap > 0.0 && self.rng.random_bool(self.gap) {
            return;
        }
        let event = CacheEvent {
            seq: self.seq,
            change,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns events after `after` that are at least `lag` old.
    pub fn events(&self, after: u64, lag: Duration) -> CacheEvents {
        let begin = self.events.partition_point(|(_, event)| event.seq <= after);
        let events = self.events.range(begin..);
        let events = events
            .take_while(|(at, _)| at.elapsed() >= lag)
            .take(EVENT_LIMIT)
            .map(|(_, event)| *event);
        CacheEvents {
            events: events.collect(),
        }
    }

    /// Returns all blocks as they are.
    pub fn list(&self) -> CacheList {
        CacheList {
            seq: self.seq,
            blocks: self.order.values().copied().collect(),
        }
    }
}
