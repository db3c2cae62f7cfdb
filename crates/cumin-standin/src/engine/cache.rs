//! The prefix cache: a limited number of blocks with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use actix_rt::time::Instant;
use cumin_wire::engine::{CacheChange, CacheEvent, CacheEvents, CacheList};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Events that the engine keeps; a reader that falls further behind sees a gap.
const KEPT_EVENTS: usize = 65_536;

/// Most events in one answer.
const ANSWER_EVENTS: usize = 4096;

/// Cached blocks by hash, and the events of their changes.
pub struct Cache {
    capacity: usize,
    clock: u64,
    /// Time of the last use of each block.
    last_use: HashMap<u64, u64>,
    /// Blocks by the time of their last use.
    by_use: BTreeMap<u64, u64>,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    event_loss: f64,
    rng: ChaCha8Rng,
}

impl Cache {
    /// Returns an empty cache of `capacity` blocks that loses each event with probability
    /// `event_loss`.
    pub fn new(capacity: usize, event_loss: f64, seed: u64) -> Self {
        Self {
            capacity,
            clock: 0,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            seq: 0,
            events: VecDeque::new(),
            event_loss: event_loss.clamp(0.0, 1.0),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the number of free blocks.
    pub fn free(&self) -> u64 {
        (self.capacity - self.last_use.len()) as u64
    }

    /// Returns the number of leading blocks that are cached.
    pub fn cached_prefix(&self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash));
        cached.count()
    }

    /// Adds consecutive blocks of a prompt, or marks those that are cached as used.
    pub fn add(&mut self, blocks: &[u64]) {
        // The first block is marked as used last, so that it is evicted last: the blocks after it
        // can't be used without it.
        for &hash in blocks.iter().take(self.capacity).rev() {
            self.clock += 1;
            match self.last_use.insert(hash, self.clock) {
                Some(old) => {
                    self.by_use.remove(&old);
                }
                None => self.record_event(CacheChange::Added(hash)),
            }
            self.by_use.insert(self.clock, hash);
        }
        while self.last_use.len() > self.capacity
            && let Some((_, hash)) = self.by_use.pop_first()
        {
            self.last_use.remove(&hash);
            self.record_event(CacheChange::Removed(hash));
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.by_use.clear();
        let mut blocks: Vec<u64> = self.last_use.drain().map(|(hash, _)| hash).collect();
        blocks.sort_unstable();
        for hash in blocks {
            self.record_event(CacheChange::Removed(hash));
        }
    }

    fn record_event(&mut self, change: CacheChange) {
        self.seq += 1;
        if self.event_loss > 0.0 && self.rng.random_bool(self.event_loss) {
            return;
        }
        let event = CacheEvent {
            seq: self.seq,
            change,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after` that are at least `lag` old.
    pub fn events(&self, after: u64, lag: Duration) -> CacheEvents {
        let begin = self.events.partition_point(|(_, event)| event.seq <= after);
        let events = self.events.range(begin..);
        let events = events
            .take_while(|(at, _)| at.elapsed() >= lag)
            .take(ANSWER_EVENTS)
            .map(|(_, event)| *event);
        CacheEvents {
            events: events.collect(),
        }
    }

    /// Returns the current blocks.
    pub fn list(&self) -> CacheList {
        CacheList {
            seq: self.seq,
            blocks: self.by_use.values().copied().collect(),
        }
    }
}
