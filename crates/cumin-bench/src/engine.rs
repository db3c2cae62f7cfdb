//! A queue model of an engine: slots, prefill of one chunk at a time by priority, streams of
//! constant speed, and a prefix cache that evicts the least recently used chain from its end.

use std::collections::{HashMap, VecDeque};

use cumin_types::{EndpointName, Priority};
use cumin_wire::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, CacheList, Load};

use crate::workload::{EngineSpec, Micros, micros, to_f64, tokens};

/// Blocks in one prefill chunk.
const CHUNK_BLOCKS: usize = 32;

/// Fixed time of a chunk, in addition to the time of its tokens.
const CHUNK_OVERHEAD: Micros = 2000;

/// The cached blocks of an engine, and the events of their changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    capacity: usize,
    /// Logical time of the latest use of any block.
    stamp: u64,
    /// Stamps and blocks in order of use; a pair is stale when its block has a later stamp.
    uses: VecDeque<(u64, u64)>,
    /// Stamp of the last use of each block.
    blocks: HashMap<u64, u64>,
    pub events: Vec<CacheEvent>,
}

impl Cache {
    fn record_event(&mut self, change: CacheChange) {
        let seq = self.events.len() as u64 + 1;
        self.events.push(CacheEvent { seq, change });
    }

    /// Returns the number of leading blocks that are cached.
    pub(crate) fn cached_prefix(&self, blocks: &[u64]) -> usize {
        let is_cached = |block: &&u64| self.blocks.contains_key(block);
        blocks.iter().take_while(is_cached).count()
    }

    /// Marks `blocks` as the most recently used, the first block last, so that it is evicted last.
    pub(crate) fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.stamp += 1;
            self.blocks.insert(*block, self.stamp);
            self.uses.push_back((self.stamp, *block));
        }
    }

    /// Adds consecutive blocks, then evicts down to the capacity.
    pub(crate) fn add(&mut self, blocks: &[u64]) {
        for block in blocks {
            if !self.blocks.contains_key(block) {
                self.record_event(CacheChange::Added(*block));
            }
        }
        self.touch(blocks);
        while self.blocks.len() > self.capacity {
            let (stamp, block) = self.uses.pop_front().expect("a use for each block");
            if self.blocks.get(&block) == Some(&stamp) {
                self.blocks.remove(&block);
                self.record_event(CacheChange::Removed(block));
            }
        }
    }

    pub(crate) fn list(&self) -> CacheList {
        let mut blocks: Vec<u64> = self.blocks.keys().copied().collect();
        blocks.sort_unstable();
        CacheList {
            seq: self.events.len() as u64,
            blocks,
        }
    }
}

/// An attempt of a request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub attempt: u64,
    pub request: usize,
    pub priority: Priority,
    /// Blocks of the prompt and of the answer so far.
    pub blocks: Vec<u64>,
    /// Number of tokens after the last whole block, prefilled with the last chunk.
    pub tail_tokens: u64,
    /// Number of prefilled blocks; `None` before the first chunk.
    pub prefilled_blocks: Option<usize>,
    /// Number of tokens of the answer at the start of this attempt.
    pub generated: u64,
    /// Time at which the stream started.
    pub stream_start: Option<Micros>,
}

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub name: EndpointName,
    pub spec: EngineSpec,
    pub cache: Cache,
    pub waiting: Vec<Job>,
    pub running: Vec<Job>,
    /// Attempt whose chunk is being computed, and the number of blocks in the chunk.
    pub current_chunk: Option<(u64, usize)>,
    pub leaving: bool,
    pub stopped: bool,
    report_count: u64,
}

impl Engine {
    pub(crate) fn new(name: EndpointName, spec: EngineSpec) -> Self {
        Self {
            name,
            cache: Cache {
                capacity: spec.cache_blocks,
                ..Cache::default()
            },
            spec,
            waiting: Vec::new(),
            running: Vec::new(),
            current_chunk: None,
            leaving: false,
            stopped: false,
            report_count: 0,
        }
    }

    pub(crate) fn load(&mut self) -> Load {
        self.report_count += 1;
        let backlog = |job: &Job| self.uncached(job);
        Load {
            seq: self.report_count,
            queued: self.waiting.len() as u64,
            backlog_tokens: self.waiting.iter().chain(&self.running).map(backlog).sum(),
            running: self.running.len() as u64,
            slots: self.spec.slots as u64,
            free_blocks: (self.spec.cache_blocks - self.cache.blocks.len()) as u64,
        }
    }

    /// Returns the number of tokens that a job still has to prefill.
    fn uncached(&self, job: &Job) -> u64 {
        let done = job
            .prefilled_blocks
            .unwrap_or_else(|| self.cache.cached_prefix(&job.blocks));
        tokens(job.blocks.len() - done)
    }

    /// Returns the time until a job's prefill ends, including that of jobs of the same or a higher
    /// priority.
    pub(crate) fn prefill_wait(&self, job: &Job) -> Micros {
        if job.stream_start.is_some() {
            return 0;
        }
        let all = self.waiting.iter().chain(&self.running);
        let urgent = all.filter(|other| other.priority <= job.priority);
        let count: u64 = urgent.map(|other| self.uncached(other)).sum();
        micros(to_f64(count) / self.spec.prefill_rate)
    }

    /// Moves waiting jobs to free slots by priority, then by arrival.
    pub(crate) fn admit(&mut self) {
        while self.running.len() < self.spec.slots && !self.waiting.is_empty() {
            let index = (0..self.waiting.len())
                .min_by_key(|index| (self.waiting[*index].priority, self.waiting[*index].attempt))
                .expect("not empty");
            let job = self.waiting.remove(index);
            self.running.push(job);
        }
    }

    /// Starts the next prefill chunk; returns its duration.
    pub(crate) fn start_chunk(&mut self) -> Option<Micros> {
        if self.current_chunk.is_some() || self.stopped {
            return None;
        }
        let job = self
            .running
            .iter_mut()
            .filter(|job| job.stream_start.is_none())
            .min_by_key(|job| (job.priority, job.attempt))?;
        let done = match job.prefilled_blocks {
            Some(done) => done,
            None => self.cache.cached_prefix(&job.blocks),
        };
        if job.prefilled_blocks.is_none() {
            self.cache.touch(&job.blocks[..done]);
            job.prefilled_blocks = Some(done);
        }
        let blocks = CHUNK_BLOCKS.min(job.blocks.len() - done);
        let last = done + blocks == job.blocks.len();
        let count = tokens(blocks) + if last { job.tail_tokens } else { 0 };
        self.current_chunk = Some((job.attempt, blocks));
        Some(CHUNK_OVERHEAD + micros(to_f64(count) / self.spec.prefill_rate))
    }

    /// Removes an attempt that waits or runs.
    pub(crate) fn remove(&mut self, attempt: u64) -> Option<Job> {
        for jobs in [&mut self.waiting, &mut self.running] {
            if let Some(index) = jobs.iter().position(|job| job.attempt == attempt) {
                return Some(jobs.remove(index));
            }
        }
        None
    }

    /// Returns the number of tokens that a job has generated by `now`, at most `output`.
    pub(crate) fn generated(&self, job: &Job, output: u64, now: Micros) -> u64 {
        let more = job
            .stream_start
            .map_or(0, |since| (now - since) / self.spec.token_time);
        (job.generated + more).min(output)
    }
}

/// Returns the number of whole blocks in `count` tokens.
pub(crate) fn whole_blocks(count: u64) -> usize {
    usize::try_from(count).expect("a token count fits") / BLOCK_TOKENS
}
