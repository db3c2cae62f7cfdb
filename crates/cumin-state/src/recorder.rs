//! The duty that answers `Submit` for one shard.
//!
//! Every verdict is read from the fold, at a position past the submitted record's own append.
//! The log's order therefore decides between two recorders that both believe in the duty, and
//! a recorder that lost the duty still answers rightly what it has already sent. A claim that
//! the fold knows to be held by another is answered after a fresh read, without an append.

use std::collections::{BTreeMap, VecDeque};

use cumin_types::{LogOffset, Millis, WallMillis};
use cumin_wire::log::Records;
use rand::Rng;

use crate::batch::{Author, Stream, encode};
use crate::claim::{self, Claims, Lookup, Record, Refusal, Stage};
use crate::fold::{Fold, Retention};
use crate::pace::Pace;
use crate::writer::{self, Fate, Writer};

mod message;

pub use message::{Command, Effect, Input, Purpose, Ticket, Unsent, Verdict};

/// Bounds of a [`Recorder`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The claims' bounds.
    pub claims: claim::Options,
    /// The append machine's bounds.
    pub writer: writer::Options,
    /// How long the log keeps records.
    pub retention: Retention,
    /// Submissions that wait.
    pub max_pending: usize,
    /// Records in one read.
    pub page_records: u32,
    /// Milliseconds after a failed read.
    pub retry_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            claims: claim::Options::default(),
            writer: writer::Options::default(),
            retention: Retention::default(),
            max_pending: 10_000,
            page_records: 500,
            retry_ms: 50,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// For the fold to hold what the log had when read number `read` began.
    Fresh { read: u64 },
    /// In the append machine.
    Writing,
    /// For the fold to pass an offset.
    Past(LogOffset),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Snapshot {
    Idle,
    /// The last part is in the append machine.
    Writing(writer::Ticket),
    /// The last part is in the log.
    Past(LogOffset),
}

#[derive(Clone, Debug)]
struct Pending {
    command: Command,
    deadline: Millis,
    wait: Wait,
}

/// The recorder of one shard.
#[derive(Clone, Debug)]
pub struct Recorder {
    options: Options,
    stream: Stream,
    fold: Fold<Claims>,
    writer: Writer,
    duty: bool,
    pending: BTreeMap<Ticket, Pending>,
    writing: BTreeMap<writer::Ticket, Ticket>,
    tickets: u64,
    /// Number of the read under way or, when none is, of the last one.
    reads: u64,
    reading: bool,
    /// The fold held everything the log had at the end of some read.
    caught: bool,
    /// The position that ends the present round of reads.
    target: LogOffset,
    read_at: Millis,
    snapshot: Snapshot,
    out: VecDeque<Effect>,
}

impl Recorder {
    /// Takes the duty for `shard`; begins by folding its stream.
    #[must_use]
    pub fn new(options: Options, shard: u32, author: Author) -> Self {
        let stream = Stream::Record(shard);
        Self {
            options,
            stream,
            fold: Fold::new(Claims::new(options.claims)),
            writer: Writer::new(options.writer, stream, author),
            duty: true,
            pending: BTreeMap::new(),
            writing: BTreeMap::new(),
            tickets: 0,
            reads: 0,
            reading: false,
            caught: false,
            target: LogOffset(0),
            read_at: Millis(0),
            snapshot: Snapshot::Idle,
            out: VecDeque::new(),
        }
    }

    /// The fold of the shard.
    #[must_use]
    pub const fn fold(&self) -> &Fold<Claims> {
        &self.fold
    }

    /// What the append machine did.
    #[must_use]
    pub const fn counts(&self) -> writer::Counts {
        self.writer.counts()
    }

    /// True while the node believes in the duty.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        self.duty
    }

    /// True when the fold has been current once.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.caught
    }

    /// True when the duty is lost and nothing is left to answer.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        !self.duty && self.pending.is_empty() && self.out.is_empty()
    }

    /// Takes the duty again; the fold catches up before it is used.
    pub fn take_shard(&mut self) {
        self.duty = true;
        self.caught = false;
    }

    /// Loses the duty: what was not sent is answered `NotRecorder`, what was sent is followed up.
    pub fn lose_shard(&mut self) {
        self.duty = false;
        let waiting = |pending: &Pending| matches!(pending.wait, Wait::Fresh { .. });
        let unsent: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, one)| waiting(one))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in unsent {
            self.answer(ticket, Verdict::Unsent(Unsent::NotRecorder));
        }
    }

    /// After a pause of the process: nothing is answered before a fresh read.
    pub fn resume(&mut self) {
        self.caught = false;
    }

    /// Takes one record that must be settled by `deadline`.
    pub fn submit(
        &mut self,
        now: Millis,
        wall: WallMillis,
        command: Command,
        deadline: Millis,
    ) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let refused = if !self.duty {
            Some(Verdict::Unsent(Unsent::NotRecorder))
        } else if deadline <= now {
            Some(Verdict::Unsent(Unsent::Deadline))
        } else if self.pending.len() >= self.options.max_pending {
            Some(Verdict::Unsent(Unsent::Full))
        } else if let Command::Claim(claim) = &command {
            self.fold
                .state()
                .check_age(&claim.key, wall)
                .err()
                .map(Verdict::Refused)
        } else {
            None
        };
        if let Some(verdict) = refused {
            self.out.push_back(Effect::Answer { ticket, verdict });
            return ticket;
        }
        let wait = Wait::Fresh {
            read: self.reads + 1,
        };
        self.pending.insert(
            ticket,
            Pending {
                command,
                deadline,
                wait,
            },
        );
        if self.caught {
            self.consider(now, ticket, false);
        }
        ticket
    }

    /// Answers from the fold where that is final, else sends the record to the log.
    fn consider(&mut self, now: Millis, ticket: Ticket, fresh: bool) {
        let Some(pending) = self.pending.get(&ticket) else {
            return;
        };
        let verdict = match &pending.command {
            Command::Claim(claim) => match self.fold.state().lookup(claim) {
                Lookup::Free => None,
                Lookup::Own => Some(Verdict::Granted),
                Lookup::Held(held) if fresh || matches!(held.stage, Stage::Done { .. }) => {
                    Some(Verdict::Exists(held))
                }
                Lookup::Refused(refusal) => Some(Verdict::Refused(refusal)),
                // Held when last read; its author may have freed it since.
                Lookup::Held(_) => return,
            },
            Command::Settle(settle) => self
                .fold
                .state()
                .is_recorded(settle)
                .then_some(Verdict::Recorded),
        };
        if let Some(verdict) = verdict {
            self.answer(ticket, verdict);
            return;
        }
        let record = match pending.command.clone() {
            Command::Claim(claim) => Record::Claim(claim),
            Command::Settle(settle) => Record::Settle(settle),
        };
        let deadline = pending.deadline;
        match self.writer.submit(now, vec![encode(&record)], deadline) {
            Ok(item) => {
                self.writing.insert(item, ticket);
                if let Some(pending) = self.pending.get_mut(&ticket) {
                    pending.wait = Wait::Writing;
                }
            }
            Err(_) => self.answer(ticket, Verdict::Unsent(Unsent::Full)),
        }
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) {
        if self.pending.remove(&ticket).is_some() {
            self.out.push_back(Effect::Answer { ticket, verdict });
        }
    }

    /// Takes an answer of the log.
    pub fn handle_input(&mut self, now: Millis, input: Input<'_>, rng: &mut impl Rng) {
        match input {
            Input::Append(input) => self.writer.handle_input(now, input, rng),
            Input::Read {
                purpose: Purpose::ConfirmAppend,
                from,
                page,
            } => {
                self.writer
                    .handle_input(now, writer::Input::Read { from, page }, rng);
            }
            Input::ReadFailed {
                purpose: Purpose::ConfirmAppend,
            } => {
                self.writer
                    .handle_input(now, writer::Input::ReadFailed, rng);
            }
            Input::ReadFailed {
                purpose: Purpose::Fold,
            } => {
                self.reading = false;
                self.read_at =
                    now.plus(rng.random_range(self.options.retry_ms / 2..=self.options.retry_ms));
            }
            Input::Read {
                purpose: Purpose::Fold,
                page,
                ..
            } => self.folded(now, page),
        }
    }

    fn folded(&mut self, now: Millis, page: &Records) {
        self.reading = false;
        let read = self.reads;
        let progress = self.fold.apply(page);
        self.writer.read_to(self.fold.position());
        self.target = self.target.max(LogOffset(page.next));
        if self.fold.is_scanning() {
            self.caught = false;
        }
        if progress.current {
            self.caught = true;
            let fresh: Vec<Ticket> = self
                .pending
                .iter()
                .filter(|(_, one)| matches!(one.wait, Wait::Fresh { read: need } if need <= read))
                .map(|(ticket, _)| *ticket)
                .collect();
            for ticket in fresh {
                self.consider(now, ticket, true);
            }
        }
        self.conclude();
    }

    /// Answers what the fold has passed.
    fn conclude(&mut self) {
        if self.fold.is_scanning() {
            return;
        }
        let position = self.fold.position();
        let passed: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, one)| matches!(one.wait, Wait::Past(offset) if offset < position))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in passed {
            let Some(pending) = self.pending.get(&ticket) else {
                continue;
            };
            let verdict = self.verdict(&pending.command);
            self.answer(ticket, verdict);
        }
    }

    fn verdict(&self, command: &Command) -> Verdict {
        let claims = self.fold.state();
        match command {
            Command::Claim(claim) => match claims.lookup(claim) {
                Lookup::Own => Verdict::Granted,
                Lookup::Held(held) => Verdict::Exists(held),
                Lookup::Refused(refusal) => Verdict::Refused(refusal),
                // The fold refused it by its time when it was applied, or lost its record.
                Lookup::Free => claims
                    .check_age(&claim.key, claims.time())
                    .map_or_else(Verdict::Refused, |()| Verdict::Uncertain),
            },
            Command::Settle(settle) if claims.is_recorded(settle) => Verdict::Recorded,
            Command::Settle(settle) => Verdict::Refused(
                claims
                    .check_age(&settle.key, claims.time())
                    .err()
                    .unwrap_or(Refusal::Superseded),
            ),
        }
    }

    /// Since when the oldest record has waited for the log; recorders that share a [`Pace`]
    /// are polled in this order.
    #[must_use]
    pub fn waiting_since(&self) -> Option<Millis> {
        self.writer.waiting_since()
    }

    /// When [`Self::poll`] has something to do without an input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let read = (!self.reading && self.wants_read()).then_some(self.read_at);
        let out = (!self.out.is_empty()).then_some(Millis(0));
        let deadline = self.pending.values().map(|pending| pending.deadline).min();
        [read, out, deadline, self.writer.wake_at()]
            .into_iter()
            .flatten()
            .min()
    }

    fn wants_read(&self) -> bool {
        let waits = |one: &Pending| !matches!(one.wait, Wait::Writing);
        (self.duty && !self.caught)
            || self.fold.position() < self.target
            || self.pending.values().any(waits)
    }

    /// Returns what there is to do at `now`.
    pub fn poll(
        &mut self,
        now: Millis,
        wall: WallMillis,
        pace: &mut Pace,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        self.snapshot(now, wall, rng);
        for effect in self.writer.poll(now, wall, pace, rng) {
            self.write(effect);
        }
        self.conclude();
        self.expire(now);
        if !self.reading && self.wants_read() && self.read_at <= now {
            self.reading = true;
            self.reads += 1;
            self.out.push_back(Effect::Read {
                stream: self.stream,
                from: self.fold.read_from(),
                limit: self.options.page_records,
                purpose: Purpose::Fold,
            });
        }
        self.out.drain(..).collect()
    }

    fn write(&mut self, effect: writer::Effect) {
        match effect {
            writer::Effect::Append {
                stream,
                batch,
                attempt,
                body,
            } => {
                self.out.push_back(Effect::Append {
                    stream,
                    batch,
                    attempt,
                    body,
                });
            }
            writer::Effect::Read {
                stream,
                from,
                limit,
            } => {
                self.out.push_back(Effect::Read {
                    stream,
                    from,
                    limit,
                    purpose: Purpose::ConfirmAppend,
                });
            }
            writer::Effect::Settled { ticket, fate } => {
                if self.snapshot == Snapshot::Writing(ticket) {
                    self.snapshot = match fate {
                        Fate::Appended { offset } => Snapshot::Past(offset),
                        Fate::Uncertain | Fate::NotSent => Snapshot::Idle,
                    };
                }
                let Some(ticket) = self.writing.remove(&ticket) else {
                    return;
                };
                match fate {
                    Fate::Appended { offset } => {
                        self.target = self.target.max(offset.plus(1));
                        if let Some(pending) = self.pending.get_mut(&ticket) {
                            pending.wait = Wait::Past(offset);
                        }
                    }
                    Fate::Uncertain => self.answer(ticket, Verdict::Uncertain),
                    Fate::NotSent => self.answer(ticket, Verdict::Unsent(Unsent::Deadline)),
                }
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        let late: Vec<(Ticket, Wait)> = self
            .pending
            .iter()
            .filter(|(_, one)| one.deadline <= now)
            .map(|(ticket, one)| (*ticket, one.wait))
            .collect();
        for (ticket, wait) in late {
            match wait {
                Wait::Fresh { .. } => self.answer(ticket, Verdict::Unsent(Unsent::Deadline)),
                Wait::Past(_) => self.answer(ticket, Verdict::Uncertain),
                // The append machine settles it in the same poll.
                Wait::Writing => {}
            }
        }
    }

    /// Submits the state again when half of the retention has passed.
    fn snapshot(&mut self, now: Millis, wall: WallMillis, rng: &mut impl Rng) {
        if let Snapshot::Past(offset) = self.snapshot {
            // Reads its own snapshot back before it decides on the next.
            self.target = self.target.max(offset.plus(1));
            if self.fold.position() > offset {
                self.snapshot = Snapshot::Idle;
            }
        }
        let due = self.duty
            && self.caught
            && self.snapshot == Snapshot::Idle
            && self.fold.snapshot_due(wall, self.options.retention);
        if !due {
            return;
        }
        for record in self.fold.snapshot(wall, rng) {
            if let Ok(item) = self.writer.submit(now, vec![record], Millis(u64::MAX)) {
                self.snapshot = Snapshot::Writing(item);
            }
        }
    }
}
