//! A queue model of an engine: slots, one prefill at a time in chunks by priority, streams of
//! constant speed, and a prefix cache that evicts the least recently used chain from its end.

use std::collections::{HashMap, VecDeque};

use cumin_types::{EndpointName, Priority};
use cumin_wire::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, CacheList, Load};

use crate::workload::{Machine, Micros, micros, real, tokens};

/// Blocks of one prefill chunk.
const CHUNK: usize = 32;

/// Time of a chunk beside its tokens.
const OVERHEAD: Micros = 2000;

/// The blocks that an engine holds, and the events that it has written.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    limit: usize,
    stamp: u64,
    /// Blocks in order of use; an entry is stale when its block has a later stamp.
    ages: VecDeque<(u64, u64)>,
    /// Stamp of the last use of each block.
    blocks: HashMap<u64, u64>,
    pub log: Vec<CacheEvent>,
}

impl Cache {
    fn write(&mut self, change: CacheChange) {
        let seq = self.log.len() as u64 + 1;
        self.log.push(CacheEvent { seq, change });
    }

    /// Returns the number of leading blocks held.
    pub(crate) fn depth(&self, blocks: &[u64]) -> usize {
        let held = |block: &&u64| self.blocks.contains_key(block);
        blocks.iter().take_while(held).count()
    }

    /// Holds `blocks` as the most recently used, the first block most recently.
    pub(crate) fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.stamp += 1;
            self.blocks.insert(*block, self.stamp);
            self.ages.push_back((self.stamp, *block));
        }
    }

    /// Adds blocks that follow each other, then evicts.
    pub(crate) fn add(&mut self, blocks: &[u64]) {
        for block in blocks {
            if !self.blocks.contains_key(block) {
                self.write(CacheChange::Added(*block));
            }
        }
        self.touch(blocks);
        while self.blocks.len() > self.limit {
            let (stamp, block) = self.ages.pop_front().expect("an age for each block");
            if self.blocks.get(&block) == Some(&stamp) {
                self.blocks.remove(&block);
                self.write(CacheChange::Removed(block));
            }
        }
    }

    pub(crate) fn list(&self) -> CacheList {
        let mut blocks: Vec<u64> = self.blocks.keys().copied().collect();
        blocks.sort_unstable();
        CacheList {
            seq: self.log.len() as u64,
            blocks,
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub attempt: u64,
    pub request: usize,
    pub priority: Priority,
    /// Blocks of prompt and answer so far.
    pub text: Vec<u64>,
    /// Tokens after the last whole block, prefilled with the last chunk.
    pub rest: u64,
    /// Blocks in the KV cache; none before the first chunk.
    pub done: Option<usize>,
    /// Tokens of the answer at the start of this attempt.
    pub generated: u64,
    /// Start of the stream.
    pub since: Option<Micros>,
}

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub name: EndpointName,
    pub machine: Machine,
    pub cache: Cache,
    pub waiting: Vec<Job>,
    pub running: Vec<Job>,
    /// Attempt whose chunk is computed, and its blocks.
    pub serving: Option<(u64, usize)>,
    pub leaving: bool,
    pub stopped: bool,
    reports: u64,
}

impl Engine {
    pub(crate) fn new(name: EndpointName, machine: Machine) -> Self {
        Self {
            name,
            cache: Cache {
                limit: machine.cache,
                ..Cache::default()
            },
            machine,
            waiting: Vec::new(),
            running: Vec::new(),
            serving: None,
            leaving: false,
            stopped: false,
            reports: 0,
        }
    }

    pub(crate) fn load(&mut self) -> Load {
        self.reports += 1;
        let backlog = |job: &Job| self.uncached(job);
        Load {
            seq: self.reports,
            queued: self.waiting.len() as u64,
            backlog_tokens: self.waiting.iter().chain(&self.running).map(backlog).sum(),
            running: self.running.len() as u64,
            slots: self.machine.slots as u64,
            free_blocks: (self.machine.cache - self.cache.blocks.len()) as u64,
        }
    }

    /// Returns the tokens that a job has still to prefill.
    fn uncached(&self, job: &Job) -> u64 {
        let done = job.done.unwrap_or_else(|| self.cache.depth(&job.text));
        tokens(job.text.len() - done)
    }

    /// Returns the time until a job streams, behind the prefill of those as urgent.
    pub(crate) fn ahead(&self, job: &Job) -> Micros {
        if job.since.is_some() {
            return 0;
        }
        let all = self.waiting.iter().chain(&self.running);
        let urgent = all.filter(|other| other.priority <= job.priority);
        let count: u64 = urgent.map(|other| self.uncached(other)).sum();
        micros(real(count) / self.machine.prefill)
    }

    /// Fills free slots by priority.
    pub(crate) fn admit(&mut self) {
        while self.running.len() < self.machine.slots && !self.waiting.is_empty() {
            let index = (0..self.waiting.len())
                .min_by_key(|index| (self.waiting[*index].priority, self.waiting[*index].attempt))
                .expect("not empty");
            let job = self.waiting.remove(index);
            self.running.push(job);
        }
    }

    /// Starts the next prefill chunk; returns its time.
    pub(crate) fn chunk(&mut self) -> Option<Micros> {
        if self.serving.is_some() || self.stopped {
            return None;
        }
        let job = self
            .running
            .iter_mut()
            .filter(|job| job.since.is_none())
            .min_by_key(|job| (job.priority, job.attempt))?;
        let done = match job.done {
            Some(done) => done,
            None => self.cache.depth(&job.text),
        };
        if job.done.is_none() {
            self.cache.touch(&job.text[..done]);
            job.done = Some(done);
        }
        let blocks = CHUNK.min(job.text.len() - done);
        let last = done + blocks == job.text.len();
        let count = tokens(blocks) + if last { job.rest } else { 0 };
        self.serving = Some((job.attempt, blocks));
        Some(OVERHEAD + micros(real(count) / self.machine.prefill))
    }

    pub(crate) fn take(&mut self, attempt: u64) -> Option<Job> {
        for jobs in [&mut self.waiting, &mut self.running] {
            if let Some(index) = jobs.iter().position(|job| job.attempt == attempt) {
                return Some(jobs.remove(index));
            }
        }
        None
    }

    /// Returns the tokens of the answer that a job has, of `output` in all.
    pub(crate) fn generated(&self, job: &Job, output: u64, now: Micros) -> u64 {
        let more = job
            .since
            .map_or(0, |since| (now - since) / self.machine.step);
        (job.generated + more).min(output)
    }
}

/// Returns the whole blocks in `count` tokens.
pub(crate) fn whole_blocks(count: u64) -> usize {
    usize::try_from(count).expect("a token count fits") / BLOCK_TOKENS
}
