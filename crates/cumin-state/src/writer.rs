//! Log writer of one stream: group commit, and resolution of appends with an unknown result.
//!
//! One append is in flight at a time; items that are submitted meanwhile form the next batch. An
//! append whose response was lost may be in the log, or may reach it later. The writer reads the
//! log from an offset that is not past any copy of the batch, and sends the batch again with the
//! same id if it is not there; a fold applies the first of the copies. An item whose deadline
//! passes is [`Fate::NotSent`] only when no append that contains it can ever take effect; else it
//! is [`Fate::Uncertain`].

use std::collections::VecDeque;

use cumin_types::{LogOffset, Millis, RecordId, WallMillis};
use cumin_wire::log::Records;
use rand::Rng;
use serde_json::Value;

use crate::batch::{Author, Batch, Stream, new_id};
use crate::pace::Pace;

mod message;

pub use message::{Effect, Fate, Input, QueueFull, Ticket};

/// Settings of a [`Writer`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most records in a batch.
    pub batch_records: usize,
    /// Most bytes of record JSON in a batch; a larger item is sent in a batch of its own.
    pub batch_bytes: usize,
    /// Most items that may wait to be sent.
    pub max_pending: usize,
    /// Longest delay after the first failure; the delay doubles with each further one.
    pub retry_ms: u64,
    /// Longest delay after any failure.
    pub retry_max_ms: u64,
    /// Most records in one read.
    pub page_records: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            batch_records: 512,
            batch_bytes: 512 * 1024,
            max_pending: 10_000,
            retry_ms: 20,
            retry_max_ms: 2_000,
            page_records: 500,
        }
    }
}

/// Counters of a [`Writer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Appends sent, including repeated ones.
    pub attempts: u64,
    /// Batches known to be in the log.
    pub appended: u64,
    /// Batches found in the log by reading.
    pub found: u64,
    /// Appends whose response was lost.
    pub lost: u64,
    /// Appends that the log refused.
    pub refused: u64,
    /// Batches given up because the deadline of every item had passed.
    pub abandoned: u64,
    /// Records of the batches known to be in the log.
    pub records: u64,
}

#[derive(Clone, Debug)]
struct Item {
    ticket: Ticket,
    records: Vec<Value>,
    bytes: usize,
    deadline: Millis,
    since: Millis,
    reported: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// An append is in flight.
    Sent { attempt: u64 },
    /// Waiting after a failure.
    Backoff { until: Millis },
    /// A read is in flight.
    Reading,
    /// The next page is due to be read.
    ReadNext,
    /// The batch is not in the log and is due to be sent again.
    Resend,
}

/// Whether the log has responded since the last batch was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogAccess {
    Confirmed,
    Unconfirmed { until: Millis, failures: u32 },
    Probing { failures: u32 },
}

#[derive(Clone, Debug)]
struct InFlight {
    batch: RecordId,
    body: Value,
    items: Vec<Item>,
    records: u64,
    phase: Phase,
    /// An attempt to append this batch may have taken effect, or may do so later.
    uncertain: bool,
    failures: u32,
}

/// Log writer of one stream.
#[derive(Clone, Debug)]
pub struct Writer {
    options: Options,
    stream: Stream,
    author: Author,
    /// No copy of the batch in flight is below this offset.
    search_from: LogOffset,
    queue: VecDeque<Item>,
    flight: Option<InFlight>,
    last_ticket: u64,
    last_attempt: u64,
    send_at: Option<Millis>,
    access: LogAccess,
    counts: Counts,
    effects: Vec<Effect>,
}

impl Writer {
    /// Creates an idle writer.
    #[must_use]
    pub fn new(options: Options, stream: Stream, author: Author) -> Self {
        Self {
            options,
            stream,
            author,
            search_from: LogOffset(0),
            queue: VecDeque::new(),
            flight: None,
            last_ticket: 0,
            last_attempt: 0,
            send_at: None,
            access: LogAccess::Confirmed,
            counts: Counts::default(),
            effects: Vec::new(),
        }
    }

    /// Queues records that are appended together in one batch, and settles them by `deadline`.
    ///
    /// # Errors
    /// Returns [`QueueFull`] when [`Options::max_pending`] items are waiting.
    pub fn submit(
        &mut self,
        now: Millis,
        records: Vec<Value>,
        deadline: Millis,
    ) -> Result<Ticket, QueueFull> {
        if self.queue.len() >= self.options.max_pending {
            return Err(QueueFull {
                waiting: self.queue.len(),
            });
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let bytes = records.iter().map(|record| record.to_string().len()).sum();
        self.queue.push_back(Item {
            ticket,
            records,
            bytes,
            deadline,
            since: now,
            reported: false,
        });
        Ok(ticket)
    }

    /// Tells the writer that the log was read up to `offset`, so that a batch which is sent later
    /// need not be searched below it.
    pub fn read_to(&mut self, offset: LogOffset) {
        if self.flight.is_none() {
            self.search_from = self.search_from.max(offset);
        }
    }

    /// Returns the time since which the oldest item has waited. Writers that share a [`Pace`] are
    /// polled in this order.
    #[must_use]
    pub fn waiting_since(&self) -> Option<Millis> {
        let flight = self.flight.as_ref().and_then(|flight| flight.items.first());
        flight.or_else(|| self.queue.front()).map(|item| item.since)
    }

    /// Returns true when no item is waiting or in flight and no effect is pending.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.flight.is_none() && self.queue.is_empty() && self.effects.is_empty()
    }

    /// Returns the number of items that are waiting or in flight.
    #[must_use]
    pub fn depth(&self) -> usize {
        self.queue.len() + self.flight.as_ref().map_or(0, |flight| flight.items.len())
    }

    /// Returns the counters.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the time of the next [`Self::poll`] that is due without an input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let phase = self.flight.as_ref().and_then(|flight| match flight.phase {
            Phase::Backoff { until } => Some(until),
            Phase::ReadNext => Some(Millis(0)),
            Phase::Resend => Some(self.send_at.unwrap_or_default()),
            Phase::Sent { .. } | Phase::Reading => None,
        });
        let start = match self.access {
            LogAccess::Confirmed => Some(self.send_at.unwrap_or_default()),
            LogAccess::Unconfirmed { until, .. } => Some(until),
            LogAccess::Probing { .. } => None,
        };
        let start = start.filter(|_| self.flight.is_none() && !self.queue.is_empty());
        let in_flight = self
            .flight
            .iter()
            .flat_map(|flight| flight.items.iter().filter(|item| !item.reported));
        let deadline = self
            .queue
            .iter()
            .chain(in_flight)
            .map(|item| item.deadline)
            .min();
        let effects = (!self.effects.is_empty()).then_some(Millis(0));
        [phase, start, deadline, effects]
            .into_iter()
            .flatten()
            .min()
    }

    /// Handles a response of the log.
    pub fn handle_input(&mut self, now: Millis, input: Input<'_>, rng: &mut impl Rng) {
        let Some(flight) = self.flight.as_mut() else {
            match (input, self.access) {
                (Input::Read { .. }, _) => self.access = LogAccess::Confirmed,
                (Input::ReadFailed, LogAccess::Probing { failures }) => {
                    let until = now.plus(retry_delay_ms(&self.options, failures, rng));
                    let failures = failures + 1;
                    self.access = LogAccess::Unconfirmed { until, failures };
                }
                _ => {}
            }
            return;
        };
        match input {
            Input::Appended { batch, offset } if batch == flight.batch => self.complete(offset),
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
            Input::Read { from, page } if flight.phase == Phase::Reading => self.search(from, page),
            Input::ReadFailed if flight.phase == Phase::Reading => self.back_off(now, rng),
            _ => {}
        }
    }

    fn complete(&mut self, offset: LogOffset) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        self.counts.appended += 1;
        self.counts.records += flight.records;
        self.search_from = self.search_from.max(offset.plus(1));
        for item in flight.items.into_iter().filter(|item| !item.reported) {
            self.effects.push(Effect::Settled {
                ticket: item.ticket,
                fate: Fate::Appended { offset },
            });
        }
    }

    fn back_off(&mut self, now: Millis, rng: &mut impl Rng) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        let until = now.plus(retry_delay_ms(&self.options, flight.failures, rng));
        flight.failures += 1;
        flight.phase = Phase::Backoff { until };
    }

    fn search(&mut self, from: LogOffset, page: &Records) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        flight.phase = Phase::ReadNext;
        if from > self.search_from {
            return;
        }
        let mut end = self.search_from.max(LogOffset(page.first));
        for record in page
            .records
            .iter()
            .filter(|record| record.offset >= self.search_from.0)
        {
            if Batch::id_of(&record.body) == Some(flight.batch) {
                self.counts.found += 1;
                self.complete(LogOffset(record.offset));
                return;
            }
            end = end.max(LogOffset(record.offset + 1));
        }
        self.search_from = end;
        if end.0 >= page.next {
            flight.phase = Phase::Resend;
        }
    }

    /// Returns the effects that are due at `now`.
    pub fn poll(
        &mut self,
        now: Millis,
        wall: WallMillis,
        pace: &mut Pace,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        self.expire_items(now);
        self.advance_flight(now, pace);
        self.probe_log(now);
        let can_start = self.flight.is_none() && self.access == LogAccess::Confirmed;
        if can_start && !self.queue.is_empty() && self.take_token(now, pace) {
            self.start_batch(wall, rng);
        }
        std::mem::take(&mut self.effects)
    }

    /// Reads from the log before a new batch is sent after one was given up, so that items which
    /// are submitted during an outage stay unsent and can be reported as [`Fate::NotSent`].
    fn probe_log(&mut self, now: Millis) {
        let LogAccess::Unconfirmed { until, failures } = self.access else {
            return;
        };
        if self.flight.is_none() && !self.queue.is_empty() && until <= now {
            self.access = LogAccess::Probing { failures };
            self.effects.push(Effect::Read {
                stream: self.stream,
                from: self.search_from,
                limit: 1,
            });
        }
    }

    fn expire_items(&mut self, now: Millis) {
        let effects = &mut self.effects;
        self.queue.retain(|item| {
            let keep = item.deadline > now;
            if !keep {
                effects.push(Effect::Settled {
                    ticket: item.ticket,
                    fate: Fate::NotSent,
                });
            }
            keep
        });
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        let is_sent = matches!(flight.phase, Phase::Sent { .. });
        if !flight.uncertain && !is_sent {
            // Every attempt was refused, so this batch can never take effect; its items return to
            // the queue.
            return;
        }
        for item in flight
            .items
            .iter_mut()
            .filter(|item| !item.reported && item.deadline <= now)
        {
            item.reported = true;
            effects.push(Effect::Settled {
                ticket: item.ticket,
                fate: Fate::Uncertain,
            });
        }
        if !is_sent && flight.items.iter().all(|item| item.reported) {
            self.counts.abandoned += 1;
            let until = match flight.phase {
                Phase::Backoff { until } => until,
                _ => now,
            };
            self.access = LogAccess::Unconfirmed {
                until,
                failures: flight.failures,
            };
            self.flight = None;
        }
    }

    fn take_token(&mut self, now: Millis, pace: &mut Pace) -> bool {
        self.send_at = pace.take(now).err();
        self.send_at.is_none()
    }

    fn advance_flight(&mut self, now: Millis, pace: &mut Pace) {
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
            Phase::Backoff { .. } | Phase::ReadNext => {
                flight.phase = Phase::Reading;
                let (stream, from, limit) =
                    (self.stream, self.search_from, self.options.page_records);
                self.effects.push(Effect::Read {
                    stream,
                    from,
                    limit,
                });
            }
            Phase::Resend => {
                if self.take_token(now, pace) {
                    self.send_batch();
                }
            }
        }
    }

    /// Settles the expired items of a batch that can never take effect, and puts the others back
    /// into the queue once the delay after the failure is over.
    fn requeue(&mut self, now: Millis) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        let (expired, kept): (Vec<Item>, Vec<Item>) = std::mem::take(&mut flight.items)
            .into_iter()
            .partition(|item| item.deadline <= now);
        // An item that was reported `Uncertain` while the append was in flight keeps this fate.
        for item in expired.into_iter().filter(|item| !item.reported) {
            self.effects.push(Effect::Settled {
                ticket: item.ticket,
                fate: Fate::NotSent,
            });
        }
        flight.items = kept;
        let is_due = match flight.phase {
            Phase::Backoff { until } => until <= now,
            _ => true,
        };
        if is_due || flight.items.is_empty() {
            let Some(flight) = self.flight.take() else {
                return;
            };
            for item in flight.items.into_iter().rev() {
                self.queue.push_front(item);
            }
        }
    }

    fn start_batch(&mut self, wall: WallMillis, rng: &mut impl Rng) {
        let (mut items, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        while let Some(item) = self.queue.front() {
            let fits = records.len() + item.records.len() <= self.options.batch_records
                && bytes + item.bytes <= self.options.batch_bytes;
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
        self.flight = Some(InFlight {
            batch: batch.id,
            body: batch.body(),
            items,
            records: count,
            phase: Phase::Resend,
            uncertain: false,
            failures: 0,
        });
        self.send_batch();
    }

    fn send_batch(&mut self) {
        let Some(flight) = self.flight.as_mut() else {
            return;
        };
        self.last_attempt += 1;
        self.counts.attempts += 1;
        flight.phase = Phase::Sent {
            attempt: self.last_attempt,
        };
        self.effects.push(Effect::Append {
            stream: self.stream,
            batch: flight.batch,
            attempt: self.last_attempt,
            body: flight.body.clone(),
        });
    }
}

/// Returns the delay in milliseconds after `failures` earlier failures: it doubles up to the limit,
/// and is drawn at random from the upper half.
fn retry_delay_ms(options: &Options, failures: u32, rng: &mut impl Rng) -> u64 {
    let ceiling = options
        .retry_ms
        .saturating_mul(1 << failures.min(16))
        .min(options.retry_max_ms)
        .max(1);
    rng.random_range(ceiling.div_ceil(2)..=ceiling)
}
