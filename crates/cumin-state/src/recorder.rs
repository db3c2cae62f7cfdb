//! The recorder: orders the claims and endings of one shard through the log.
//!
//! Every verdict is read from the fold at a position past the append of the submitted record.
//! The order of the log therefore decides between two nodes that both act as the recorder of the
//! shard, and a recorder that has lost the shard still returns correct verdicts for the records
//! that it has sent. A claim on a key that another claim holds according to the fold is answered
//! after a fresh read, without an append.

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

/// Settings of a [`Recorder`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limits of the claims.
    pub claims: claim::Options,
    /// Settings of the log writer.
    pub writer: writer::Options,
    /// Retention of the log.
    pub retention: Retention,
    /// Most submissions that may await a verdict.
    pub max_pending: usize,
    /// Most records in one read.
    pub page_records: u32,
    /// Longest delay before a failed read is repeated; the delay is drawn between half and all of
    /// it.
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
    /// Until the fold holds every record that the log had when read number `read` began.
    FreshRead { read: u64 },
    /// Until the log writer settles the append.
    Writing,
    /// Until the fold has applied this offset.
    Applied(LogOffset),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SnapshotState {
    Idle,
    /// The last part is at the log writer.
    Writing(writer::Ticket),
    /// The last part is in the log at this offset, which the fold has yet to apply.
    Appended(LogOffset),
}

#[derive(Clone, Debug)]
struct Pending {
    command: Command,
    deadline: Millis,
    wait: Wait,
}

/// State machine of the recorder of one shard.
#[derive(Clone, Debug)]
pub struct Recorder {
    options: Options,
    stream: Stream,
    fold: Fold<Claims>,
    writer: Writer,
    active: bool,
    pending: BTreeMap<Ticket, Pending>,
    writing: BTreeMap<writer::Ticket, Ticket>,
    last_ticket: u64,
    /// Number of the read in progress or, when there is none, of the last one.
    read_number: u64,
    reading: bool,
    /// The fold has reached the end of the log since it was last known to be behind.
    caught_up: bool,
    /// Reading continues until the fold reaches this position.
    target: LogOffset,
    next_read: Millis,
    snapshot: SnapshotState,
    effects: VecDeque<Effect>,
}

impl Recorder {
    /// Creates the active recorder of `shard`, which starts by folding the shard's stream.
    #[must_use]
    pub fn new(options: Options, shard: u32, author: Author) -> Self {
        let stream = Stream::Record(shard);
        Self {
            options,
            stream,
            fold: Fold::new(Claims::new(options.claims)),
            writer: Writer::new(options.writer, stream, author),
            active: true,
            pending: BTreeMap::new(),
            writing: BTreeMap::new(),
            last_ticket: 0,
            read_number: 0,
            reading: false,
            caught_up: false,
            target: LogOffset(0),
            next_read: Millis(0),
            snapshot: SnapshotState::Idle,
            effects: VecDeque::new(),
        }
    }

    /// Returns the fold of the shard.
    #[must_use]
    pub const fn fold(&self) -> &Fold<Claims> {
        &self.fold
    }

    /// Returns the counters of the log writer.
    #[must_use]
    pub const fn counts(&self) -> writer::Counts {
        self.writer.counts()
    }

    /// Returns true while this node acts as the recorder of the shard.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        self.active
    }

    /// Returns true when the fold has caught up with the log.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.caught_up
    }

    /// Returns true when the shard is lost and no submission awaits a verdict.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        !self.active && self.pending.is_empty() && self.effects.is_empty()
    }

    /// Makes this node the recorder of the shard again. The fold catches up before it is used.
    pub fn take_shard(&mut self) {
        self.active = true;
        self.caught_up = false;
    }

    /// Gives up the shard. Submissions that were not sent to the log are answered with
    /// [`Unsent::NotRecorder`]; those that were sent still receive their verdict.
    pub fn lose_shard(&mut self) {
        self.active = false;
        let waiting = |pending: &Pending| matches!(pending.wait, Wait::FreshRead { .. });
        let unsent: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, pending)| waiting(pending))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in unsent {
            self.answer(ticket, Verdict::Unsent(Unsent::NotRecorder));
        }
    }

    /// Handles a pause of the process: no submission is answered before a fresh read.
    pub fn resume(&mut self) {
        self.caught_up = false;
    }

    /// Accepts a command whose append must be settled by `deadline`.
    pub fn submit(
        &mut self,
        now: Millis,
        wall: WallMillis,
        command: Command,
        deadline: Millis,
    ) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let refused = if !self.active {
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
            self.effects.push_back(Effect::Answer { ticket, verdict });
            return ticket;
        }
        let wait = Wait::FreshRead {
            read: self.read_number + 1,
        };
        self.pending.insert(
            ticket,
            Pending {
                command,
                deadline,
                wait,
            },
        );
        if self.caught_up {
            self.answer_or_append(now, ticket, false);
        }
        ticket
    }

    /// Answers from the fold when the answer is final, else submits the record to the log writer.
    /// `fresh` is true after a read that began after the submission.
    fn answer_or_append(&mut self, now: Millis, ticket: Ticket, fresh: bool) {
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
                // The key was held at the last read; its author may have freed it since.
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
            self.effects.push_back(Effect::Answer { ticket, verdict });
        }
    }

    /// Handles a response of the log.
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
                self.next_read =
                    now.plus(rng.random_range(self.options.retry_ms / 2..=self.options.retry_ms));
            }
            Input::Read {
                purpose: Purpose::Fold,
                page,
                ..
            } => self.apply_page(now, page),
        }
    }

    fn apply_page(&mut self, now: Millis, page: &Records) {
        self.reading = false;
        let read = self.read_number;
        let progress = self.fold.apply(page);
        self.writer.read_to(self.fold.position());
        self.target = self.target.max(LogOffset(page.next));
        if self.fold.is_scanning() {
            self.caught_up = false;
        }
        if progress.current {
            self.caught_up = true;
            let fresh: Vec<Ticket> = self
                .pending
                .iter()
                .filter(
                    |(_, item)| matches!(item.wait, Wait::FreshRead { read: need } if need <= read),
                )
                .map(|(ticket, _)| *ticket)
                .collect();
            for ticket in fresh {
                self.answer_or_append(now, ticket, true);
            }
        }
        self.answer_applied();
    }

    /// Answers the submissions whose append the fold has applied.
    fn answer_applied(&mut self) {
        if self.fold.is_scanning() {
            return;
        }
        let position = self.fold.position();
        let applied: Vec<Ticket> = self
            .pending
            .iter()
            .filter(
                |(_, pending)| matches!(pending.wait, Wait::Applied(offset) if offset < position),
            )
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in applied {
            let Some(pending) = self.pending.get(&ticket) else {
                continue;
            };
            let verdict = self.applied_verdict(&pending.command);
            self.answer(ticket, verdict);
        }
    }

    fn applied_verdict(&self, command: &Command) -> Verdict {
        let claims = self.fold.state();
        match command {
            Command::Claim(claim) => match claims.lookup(claim) {
                Lookup::Own => Verdict::Granted,
                Lookup::Held(held) => Verdict::Exists(held),
                Lookup::Refused(refusal) => Verdict::Refused(refusal),
                // The claim was refused by its creation time when it was applied, or its record was
                // lost.
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

    /// Returns the time since which the oldest record has waited for the log. Recorders that share
    /// a [`Pace`] are polled in this order.
    #[must_use]
    pub fn waiting_since(&self) -> Option<Millis> {
        self.writer.waiting_since()
    }

    /// Returns the time of the next [`Self::poll`] that is due without an input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let read = (!self.reading && self.wants_read()).then_some(self.next_read);
        let effects = (!self.effects.is_empty()).then_some(Millis(0));
        let deadline = self.pending.values().map(|pending| pending.deadline).min();
        [read, effects, deadline, self.writer.wake_at()]
            .into_iter()
            .flatten()
            .min()
    }

    fn wants_read(&self) -> bool {
        let waits = |pending: &Pending| !matches!(pending.wait, Wait::Writing);
        (self.active && !self.caught_up)
            || self.fold.position() < self.target
            || self.pending.values().any(waits)
    }

    /// Returns the effects that are due at `now`.
    pub fn poll(
        &mut self,
        now: Millis,
        wall: WallMillis,
        pace: &mut Pace,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        self.append_snapshot(now, wall, rng);
        for effect in self.writer.poll(now, wall, pace, rng) {
            self.handle_writer_effect(effect);
        }
        self.answer_applied();
        self.expire_pending(now);
        if !self.reading && self.wants_read() && self.next_read <= now {
            self.reading = true;
            self.read_number += 1;
            self.effects.push_back(Effect::Read {
                stream: self.stream,
                from: self.fold.read_from(),
                limit: self.options.page_records,
                purpose: Purpose::Fold,
            });
        }
        self.effects.drain(..).collect()
    }

    fn handle_writer_effect(&mut self, effect: writer::Effect) {
        match effect {
            writer::Effect::Append {
                stream,
                batch,
                attempt,
                body,
            } => {
                self.effects.push_back(Effect::Append {
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
                self.effects.push_back(Effect::Read {
                    stream,
                    from,
                    limit,
                    purpose: Purpose::ConfirmAppend,
                });
            }
            writer::Effect::Settled { ticket, fate } => {
                if self.snapshot == SnapshotState::Writing(ticket) {
                    self.snapshot = match fate {
                        Fate::Appended { offset } => SnapshotState::Appended(offset),
                        Fate::Uncertain | Fate::NotSent => SnapshotState::Idle,
                    };
                }
                let Some(ticket) = self.writing.remove(&ticket) else {
                    return;
                };
                match fate {
                    Fate::Appended { offset } => {
                        self.target = self.target.max(offset.plus(1));
                        if let Some(pending) = self.pending.get_mut(&ticket) {
                            pending.wait = Wait::Applied(offset);
                        }
                    }
                    Fate::Uncertain => self.answer(ticket, Verdict::Uncertain),
                    Fate::NotSent => self.answer(ticket, Verdict::Unsent(Unsent::Deadline)),
                }
            }
        }
    }

    fn expire_pending(&mut self, now: Millis) {
        let late: Vec<(Ticket, Wait)> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline <= now)
            .map(|(ticket, pending)| (*ticket, pending.wait))
            .collect();
        for (ticket, wait) in late {
            match wait {
                Wait::FreshRead { .. } => self.answer(ticket, Verdict::Unsent(Unsent::Deadline)),
                Wait::Applied(_) => self.answer(ticket, Verdict::Uncertain),
                // The log writer settles it in the same poll.
                Wait::Writing => {}
            }
        }
    }

    /// Appends a snapshot of the state when half of the retention has passed.
    fn append_snapshot(&mut self, now: Millis, wall: WallMillis, rng: &mut impl Rng) {
        if let SnapshotState::Appended(offset) = self.snapshot {
            // The snapshot must be read back before the next one can be due.
            self.target = self.target.max(offset.plus(1));
            if self.fold.position() > offset {
                self.snapshot = SnapshotState::Idle;
            }
        }
        let due = self.active
            && self.caught_up
            && self.snapshot == SnapshotState::Idle
            && self.fold.snapshot_due(wall, self.options.retention);
        if !due {
            return;
        }
        for record in self.fold.snapshot(wall, rng) {
            if let Ok(item) = self.writer.submit(now, vec![record], Millis(u64::MAX)) {
                self.snapshot = SnapshotState::Writing(item);
            }
        }
    }
}
