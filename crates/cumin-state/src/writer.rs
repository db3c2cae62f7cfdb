//! An append machine for one stream: group commit, and settlement of uncertain appends.
//!
//! One append is under way at a time; what is submitted meanwhile forms the next batch. An
//! append whose answer was lost may have landed, or may land later. The machine reads on from
//! an offset that is not past any landing, and repeats with the same id when it finds nothing;
//! a fold takes the first of the copies. An item whose deadline passes is `NotSent` only when
//! no append that carried it can ever land; else it is `Uncertain`.

use std::collections::VecDeque;

use cumin_types::{LogOffset, Millis, RecordId, WallMillis};
use cumin_wire::log::Records;
use rand::Rng;
use serde_json::Value;

use crate::batch::{Author, Batch, Stream, new_id};
use crate::pace::Pace;

mod message;

pub use message::{Effect, Fate, Full, Input, Ticket};

/// Bounds of a [`Writer`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Records in a batch.
    pub records: usize,
    /// Bytes of record JSON in a batch; one larger item travels alone.
    pub bytes: usize,
    /// Items that wait.
    pub max_pending: usize,
    /// Milliseconds before the first repetition.
    pub retry_ms: u64,
    /// Milliseconds between repetitions at most.
    pub retry_max_ms: u64,
    /// Records in one read.
    pub page_records: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            records: 512,
            bytes: 512 * 1024,
            max_pending: 10_000,
            retry_ms: 20,
            retry_max_ms: 2_000,
            page_records: 500,
        }
    }
}

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Appends sent, repetitions included.
    pub sends: u64,
    /// Batches that are in the log.
    pub landed: u64,
    /// Batches found by reading on.
    pub found: u64,
    /// Answers that were lost.
    pub lost: u64,
    /// Appends that were refused.
    pub refused: u64,
    /// Batches given up after every item's deadline.
    pub abandoned: u64,
    /// Records in landed batches.
    pub records: u64,
}

#[derive(Clone, Debug)]
struct Item {
    ticket: Ticket,
    records: Vec<Value>,
    bytes: usize,
    deadline: Millis,
    since: Millis,
    told: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// An append is at the log.
    Sent { attempt: u64 },
    /// Waits to continue.
    Backoff { until: Millis },
    /// A read is at the log.
    Reading,
    /// The next page is to be read.
    ReadOn,
    /// Not found: to be sent again.
    Repeat,
}

/// Whether the log was reached since the last batch was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    Known,
    Unknown { until: Millis, failures: u32 },
    Reading { failures: u32 },
}

#[derive(Clone, Debug)]
struct Flight {
    batch: RecordId,
    body: Value,
    items: Vec<Item>,
    records: u64,
    phase: Phase,
    /// A send of this batch may have taken effect.
    uncertain: bool,
    failures: u32,
}

/// The append machine of one stream.
#[derive(Clone, Debug)]
pub struct Writer {
    options: Options,
    stream: Stream,
    author: Author,
    /// No copy of the batch under way is below this offset.
    known: LogOffset,
    queue: VecDeque<Item>,
    flight: Option<Flight>,
    tickets: u64,
    attempts: u64,
    pace_at: Option<Millis>,
    reach: Reach,
    counts: Counts,
    out: Vec<Effect>,
}

impl Writer {
    /// An idle machine.
    #[must_use]
    pub fn new(options: Options, stream: Stream, author: Author) -> Self {
        Self {
            options,
            stream,
            author,
            known: LogOffset(0),
            queue: VecDeque::new(),
            flight: None,
            tickets: 0,
            attempts: 0,
            pace_at: None,
            reach: Reach::Known,
            counts: Counts::default(),
            out: Vec::new(),
        }
    }

    /// Takes records that travel in one batch, for no longer than `deadline`.
    ///
    /// # Errors
    /// When as many items wait as may.
    pub fn submit(
        &mut self,
        now: Millis,
        records: Vec<Value>,
        deadline: Millis,
    ) -> Result<Ticket, Full> {
        if self.queue.len() >= self.options.max_pending {
            return Err(Full {
                waiting: self.queue.len(),
            });
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let bytes = records.iter().map(|record| record.to_string().len()).sum();
        self.queue.push_back(Item {
            ticket,
            records,
            bytes,
            deadline,
            since: now,
            told: false,
        });
        Ok(ticket)
    }

    /// Everything below `offset` was read before the next append is sent.
    pub fn read_to(&mut self, offset: LogOffset) {
        if self.flight.is_none() {
            self.known = self.known.max(offset);
        }
    }

    /// Since when the oldest item has waited to be sent; writers that share a [`Pace`] are
    /// polled in this order.
    #[must_use]
    pub fn waiting_since(&self) -> Option<Millis> {
        let flight = self.flight.as_ref().and_then(|flight| flight.items.first());
        flight.or_else(|| self.queue.front()).map(|item| item.since)
    }

    /// True when nothing waits and nothing is under way.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.flight.is_none() && self.queue.is_empty() && self.out.is_empty()
    }

    /// Items that wait or are under way.
    #[must_use]
    pub fn depth(&self) -> usize {
        self.queue.len() + self.flight.as_ref().map_or(0, |flight| flight.items.len())
    }

    /// What happened so far.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// When [`Self::poll`] has something to do without an input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let phase = self.flight.as_ref().and_then(|flight| match flight.phase {
            Phase::Backoff { until } => Some(until),
            Phase::ReadOn => Some(Millis(0)),
            Phase::Repeat => Some(self.pace_at.unwrap_or_default()),
            Phase::Sent { .. } | Phase::Reading => None,
        });
        let start = match self.reach {
            Reach::Known => Some(self.pace_at.unwrap_or_default()),
            Reach::Unknown { until, .. } => Some(until),
            Reach::Reading { .. } => None,
        };
        let start = start.filter(|_| self.flight.is_none() && !self.queue.is_empty());
        let flying = self
            .flight
            .iter()
            .flat_map(|flight| flight.items.iter().filter(|item| !item.told));
        let deadline = self
            .queue
            .iter()
            .chain(flying)
            .map(|item| item.deadline)
            .min();
        let out = (!self.out.is_empty()).then_some(Millis(0));
        [phase, start, deadline, out].into_iter().flatten().min()
    }

    /// Takes an answer of the log.
    pub fn handle_input(&mut self, now: Millis, input: Input<'_>, rng: &mut impl Rng) {
        let Some(flight) = self.flight.as_mut() else {
            match (input, self.reach) {
                (Input::Read { .. }, _) => self.reach = Reach::Known,
                (Input::ReadFailed, Reach::Reading { failures }) => {
                    let until = now.plus(wait(&self.options, failures, rng));
                    let failures = failures + 1;
                    self.reach = Reach::Unknown { until, failures };
                }
                _ => {}
            }
            return;
        };
        match input {
            Input::Appended { batch, offset } if batch == flight.batch => self.landed(offset),
            Input::Lost { batch, attempt } if batch == flight.batch => {
                self.counts.lost += 1;
                flight.uncertain = true;
                if flight.phase == (Phase::Sent { attempt }) {
                    self.back_off(now, rng);
                }
            }
            Input::Refused { batch, attempt }
                if batch == flight.batch && flight.phase == (Phase::Sent { attempt }) =>
            {
                self.counts.refused += 1;
                self.back_off(now, rng);
            }
            Input::Read { from, page } if flight.phase == Phase::Reading => self.read(from, page),
            Input::ReadFailed if flight.phase == Phase::Reading => self.back_off(now, rng),
            _ => {}
        }
    }

    fn landed(&mut self, offset: LogOffset) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.counts.landed += 1;
        self.counts.records += flight.records;
        self.known = self.known.max(offset.plus(1));
        for item in flight.items.into_iter().filter(|item| !item.told) {
            self.out.push(Effect::Settled {
                ticket: item.ticket,
                fate: Fate::Appended { offset },
            });
        }
    }

    fn back_off(&mut self, now: Millis, rng: &mut impl Rng) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        let until = now.plus(wait(&self.options, flight.failures, rng));
        flight.failures += 1;
        flight.phase = Phase::Backoff { until };
    }

    fn read(&mut self, from: LogOffset, page: &Records) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        flight.phase = Phase::ReadOn;
        if from > self.known {
            return;
        }
        let mut end = self.known.max(LogOffset(page.first));
        for record in page
            .records
            .iter()
            .filter(|record| record.offset >= self.known.0)
        {
            if Batch::id_of(&record.body) == Some(flight.batch) {
                self.counts.found += 1;
                self.landed(LogOffset(record.offset));
                return;
            }
            end = end.max(LogOffset(record.offset + 1));
        }
        self.known = end;
        if end.0 >= page.next {
            flight.phase = Phase::Repeat;
        }
    }

    /// Returns what there is to do at `now`.
    pub fn poll(
        &mut self,
        now: Millis,
        wall: WallMillis,
        pace: &mut Pace,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        self.expire(now);
        self.proceed(now, pace);
        self.probe(now);
        let may = self.flight.is_none() && self.reach == Reach::Known;
        if may && !self.queue.is_empty() && self.may_send(now, pace) {
            self.start(wall, rng);
        }
        std::mem::take(&mut self.out)
    }

    /// Reads before a new batch is sent after one was given up, so that what is submitted
    /// during an outage stays unsent and can be reported so.
    fn probe(&mut self, now: Millis) {
        let Reach::Unknown { until, failures } = self.reach else {
            return;
        };
        if self.flight.is_none() && !self.queue.is_empty() && until <= now {
            self.reach = Reach::Reading { failures };
            self.out.push(Effect::Read {
                stream: self.stream,
                from: self.known,
                limit: 1,
            });
        }
    }

    fn expire(&mut self, now: Millis) {
        let out = &mut self.out;
        self.queue.retain(|item| {
            let keep = item.deadline > now;
            if !keep {
                out.push(Effect::Settled {
                    ticket: item.ticket,
                    fate: Fate::NotSent,
                });
            }
            keep
        });
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        let at_log = matches!(flight.phase, Phase::Sent { .. });
        if !flight.uncertain && !at_log {
            // Every send was refused, so nothing of this batch can land: compose it anew.
            return;
        }
        for item in flight
            .items
            .iter_mut()
            .filter(|item| !item.told && item.deadline <= now)
        {
            item.told = true;
            out.push(Effect::Settled {
                ticket: item.ticket,
                fate: Fate::Uncertain,
            });
        }
        if !at_log && flight.items.iter().all(|item| item.told) {
            self.counts.abandoned += 1;
            let until = match flight.phase {
                Phase::Backoff { until } => until,
                _ => now,
            };
            self.reach = Reach::Unknown {
                until,
                failures: flight.failures,
            };
            self.flight = None;
        }
    }

    fn may_send(&mut self, now: Millis, pace: &mut Pace) -> bool {
        self.pace_at = pace.take(now).err();
        self.pace_at.is_none()
    }

    fn proceed(&mut self, now: Millis, pace: &mut Pace) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        if !flight.uncertain && !matches!(flight.phase, Phase::Sent { .. }) {
            self.requeue(now);
            return;
        }
        match flight.phase {
            Phase::Sent { .. } | Phase::Reading => {}
            Phase::Backoff { until } if until > now => {}
            Phase::Backoff { .. } | Phase::ReadOn => {
                flight.phase = Phase::Reading;
                let (stream, from, limit) = (self.stream, self.known, self.options.page_records);
                self.out.push(Effect::Read {
                    stream,
                    from,
                    limit,
                });
            }
            Phase::Repeat => {
                if self.may_send(now, pace) {
                    self.send();
                }
            }
        }
    }

    /// Puts the items of a batch that can never land back into the queue, once its back-off
    /// is over or an item's deadline has passed.
    fn requeue(&mut self, now: Millis) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        let (expired, kept): (Vec<Item>, Vec<Item>) = std::mem::take(&mut flight.items)
            .into_iter()
            .partition(|item| item.deadline <= now);
        // An item that was told `Uncertain` while the send was at the log has its fate.
        for item in expired.into_iter().filter(|item| !item.told) {
            self.out.push(Effect::Settled {
                ticket: item.ticket,
                fate: Fate::NotSent,
            });
        }
        flight.items = kept;
        let over = match flight.phase {
            Phase::Backoff { until } => until <= now,
            _ => true,
        };
        if over || flight.items.is_empty() {
            let Some(flight) = self.flight.take() else {
                return;
            };
            for item in flight.items.into_iter().rev() {
                self.queue.push_front(item);
            }
        }
    }

    fn start(&mut self, wall: WallMillis, rng: &mut impl Rng) {
        let (mut items, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(item) = self.queue.front() {
            let fits = records.len() + item.records.len() <= self.options.records
                && bytes + item.bytes <= self.options.bytes;
            if !fits && !items.is_empty() {
                break;
            }
            let Some(item) = self.queue.pop_front() else {
                break;
            };
            bytes += item.bytes;
            records.extend(item.records.iter().cloned());
            items.push(item);
        }
        let count = records.len() as u64;
        let batch = Batch {
            version: crate::batch::VERSION,
            id: new_id(wall, rng),
            author: self.author.clone(),
            records,
        };
        self.flight = Some(Flight {
            batch: batch.id,
            body: batch.body(),
            items,
            records: count,
            phase: Phase::Repeat,
            uncertain: false,
            failures: 0,
        });
        self.send();
    }

    fn send(&mut self) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        self.attempts += 1;
        self.counts.sends += 1;
        flight.phase = Phase::Sent {
            attempt: self.attempts,
        };
        self.out.push(Effect::Append {
            stream: self.stream,
            batch: flight.batch,
            attempt: self.attempts,
            body: flight.body.clone(),
        });
    }
}

/// Milliseconds to wait after so many failures: doubling up to the bound, upper half at random.
fn wait(options: &Options, failures: u32, rng: &mut impl Rng) -> u64 {
    let ceiling = options
        .retry_ms
        .saturating_mul(1 << failures.min(16))
        .min(options.retry_max_ms)
        .max(1);
    rng.random_range(ceiling.div_ceil(2)..=ceiling)
}
