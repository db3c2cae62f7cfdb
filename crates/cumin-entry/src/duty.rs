//! The lease of the duties, by conditional appends to a stream of the store.
//!
//! Every record of the stream is appended only where its author knows the stream to end. A holder
//! renews by appending, so an append that succeeds a lease's length after its author read the
//! end proves that the lease before it has run out: no clocks of two nodes are compared. The
//! offset of a claim is the lease's fencing token. A holder counts its lease from before it sent
//! its last append, by a clock that counts suspension, and stops a margin earlier.

use std::collections::BTreeMap;

use cumin_types::{FencingToken, Incarnation, LogOffset, Millis, NodeName};
use serde::{Deserialize, Serialize};

use crate::usage::Counts;

/// A record of the stream.
#[derive(Clone, derive_more::Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// Takes the lease.
    #[debug("Claim {{ node: {node:?}, life: {incarnation:?} }}")]
    Claim {
        /// The node.
        node: NodeName,
        /// Its life.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Extends the lease.
    #[debug("Renew {{ node: {node:?}, life: {incarnation:?} }}")]
    Renew {
        /// The node.
        node: NodeName,
        /// Its life.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Extends the lease and fixes what is reported for a window.
    #[debug(
        "Report {{ node: {node:?}, life: {incarnation:?}, window: {window:?}, counts: {counts:?} }}"
    )]
    Report {
        /// The node.
        node: NodeName,
        /// Its life.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Number of the window.
        window: u64,
        /// Requests that began in it.
        counts: Counts,
    },
    /// Gives the lease back.
    #[debug("Release {{ node: {node:?}, life: {incarnation:?} }}")]
    Release {
        /// The node.
        node: NodeName,
        /// Its life.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
}

/// Settings of [`DutyLease`].
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseOptions {
    /// This node.
    pub node: NodeName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Length of a lease. Engines that are reclaimed are replaced only by a holder, so a lost one
    /// is followed within the notice that the platform gives.
    pub length: Millis,
    /// The holder stops this long before the end: a call to the cloud in flight, and drift.
    pub margin: Millis,
    /// Time from one renewal to the next.
    pub renew_interval: Millis,
    /// Time between reads while nobody is heard to hold the lease.
    pub poll_interval: Millis,
    /// Delay for each node that comes before this one, so that they do not race.
    pub stagger: Millis,
}

impl Default for LeaseOptions {
    fn default() -> Self {
        Self {
            node: NodeName::from("node"),
            incarnation: Incarnation(0),
            length: Millis(2500),
            margin: Millis(700),
            renew_interval: Millis(900),
            poll_interval: Millis(500),
            stagger: Millis(300),
        }
    }
}

/// The next call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// None now.
    Idle,
    /// Read on from here.
    Read(LogOffset),
    /// Append a claim where the stream ends.
    Claim(LogOffset),
    /// Append a renewal where the stream ends.
    Renew(LogOffset),
}

/// The lease as this node knows it.
#[derive(Debug)]
pub struct DutyLease {
    options: LeaseOptions,
    /// End of the stream, when it was first known to end there.
    end: Option<(LogOffset, Millis)>,
    /// Offset of the first record that was not read.
    next_offset: LogOffset,
    /// The last record gave the lease back, or there is none.
    vacant: bool,
    /// Whether the stream must be read before anything else.
    stale: bool,
    last_read: Option<Millis>,
    /// Token of this node's lease, and when its last append was sent.
    held: Option<(FencingToken, Millis)>,
    /// Counts fixed for a window, by window number.
    reports: BTreeMap<u64, Counts>,
    /// Windows that this node has delivered.
    delivered: BTreeMap<u64, Millis>,
}

/// Returns the token of a claim at `offset`; tokens start at 1.
const fn token(offset: LogOffset) -> FencingToken {
    FencingToken(offset.0 + 1)
}

/// Reports of this many windows are kept.
const MAX_REPORTS: usize = 16;

impl DutyLease {
    /// Makes the state of a node that has read nothing.
    #[must_use]
    pub const fn new(options: LeaseOptions) -> Self {
        Self {
            options,
            end: None,
            next_offset: LogOffset(0),
            vacant: false,
            stale: true,
            last_read: None,
            held: None,
            reports: BTreeMap::new(),
            delivered: BTreeMap::new(),
        }
    }

    /// Returns the token while this node may act.
    ///
    /// It may not before it has read what earlier holders did.
    #[must_use]
    pub fn may_act(&self, now: Millis) -> Option<FencingToken> {
        let (token, sent) = self.held?;
        let ends = self.options.length.since(self.options.margin);
        (now.since(sent) < ends && !self.stale && self.caught_up()).then_some(token)
    }

    fn caught_up(&self) -> bool {
        self.end.is_some_and(|(end, _)| self.next_offset >= end)
    }

    /// Returns the token while the lease runs, also when an append is uncertain.
    #[must_use]
    pub fn held(&self, now: Millis) -> Option<FencingToken> {
        let (token, sent) = self.held?;
        (now.since(sent) < self.options.length.0).then_some(token)
    }

    /// Decides the next call. `heard` says whether another node is heard to hold the lease,
    /// `before` how many live nodes come before this one.
    #[must_use]
    pub fn next(&self, held_elsewhere: bool, before: u64, now: Millis) -> Step {
        if let Some((_, sent)) = self.held {
            let Some((end, _)) = self.end.filter(|_| !self.stale && self.caught_up()) else {
                return Step::Read(self.next_offset);
            };
            if now.since(sent) >= self.options.renew_interval.0 {
                return Step::Renew(end);
            }
            return Step::Idle;
        }
        if held_elsewhere {
            return Step::Idle;
        }
        let Some((end, since)) = self.end.filter(|_| !self.stale) else {
            return self.poll(now);
        };
        let wait = if self.vacant {
            0
        } else {
            self.options.length.0
        };
        let stagger = self.options.stagger.0 * before;
        if now.since(since) >= wait + stagger {
            return Step::Claim(end);
        }
        Step::Idle
    }

    fn poll(&self, now: Millis) -> Step {
        let pause = self.options.poll_interval.0;
        let due = self.last_read.is_none_or(|at| now.since(at) >= pause);
        if due {
            Step::Read(self.next_offset)
        } else {
            Step::Idle
        }
    }

    /// Notes that a read was sent.
    pub fn read_sent(&mut self, now: Millis) {
        self.last_read = Some(now);
    }

    /// Takes the end of the stream as the holder states it. Its statement is as good as a read:
    /// a claim there fails if the holder has renewed since.
    pub fn observe_end(&mut self, end: LogOffset, now: Millis) {
        if self.held.is_some() {
            return;
        }
        self.vacant = false;
        self.stale = false;
        self.end = Some((end, now));
    }

    /// Takes what a read returned: records that were not read, and the end of the stream.
    pub fn apply_read(&mut self, records: &[(LogOffset, Record)], end: LogOffset, now: Millis) {
        let before = self.end.map(|(end, _)| end);
        self.next_offset = self.next_offset.max(end);
        if before.is_none() && records.is_empty() {
            self.vacant = end == LogOffset(0);
        }
        for (offset, record) in records {
            self.apply(*offset, record);
        }
        if before != Some(end) || self.stale {
            self.end = Some((end, now));
        }
        self.stale = false;
    }

    fn apply(&mut self, offset: LogOffset, record: &Record) {
        let (node, incarnation) = match record {
            Record::Claim { node, incarnation }
            | Record::Renew { node, incarnation }
            | Record::Report {
                node, incarnation, ..
            }
            | Record::Release { node, incarnation } => (node, *incarnation),
        };
        let mine = *node == self.options.node && incarnation == self.options.incarnation;
        self.vacant = matches!(record, Record::Release { .. });
        // Records from before the own claim are read after it.
        let later = |(held, _): (FencingToken, Millis)| token(offset) > held;
        if !mine && self.held.is_some_and(later) {
            self.held = None;
        }
        match record {
            // An own claim whose answer was lost counts from nothing: it can't be acted on.
            Record::Claim { .. } if mine && self.held.is_none() => {
                self.held = Some((token(offset), Millis(0)));
            }
            Record::Report { window, counts, .. } => {
                self.reports.insert(*window, counts.clone());
                while self.reports.len() > MAX_REPORTS {
                    self.reports.pop_first();
                }
            }
            _ => {}
        }
    }

    /// Takes an append of this node at `offset`, sent at `sent`.
    pub fn appended(&mut self, record: &Record, offset: LogOffset, sent: Millis, now: Millis) {
        self.apply(offset, record);
        match record {
            Record::Claim { .. } => self.held = Some((token(offset), sent)),
            Record::Release { .. } => self.held = None,
            Record::Renew { .. } | Record::Report { .. } => {
                if let Some((_, at)) = &mut self.held {
                    *at = sent;
                }
            }
        }
        if self.next_offset == offset {
            self.next_offset = offset.plus(1);
        }
        self.end = Some((offset.plus(1), now));
    }

    /// Notes that an append failed or has no answer: the stream is read before the next.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Returns what was fixed for a window.
    #[must_use]
    pub fn report(&self, window: u64) -> Option<&Counts> {
        self.reports.get(&window)
    }

    /// Returns whether this node has delivered a window.
    #[must_use]
    pub fn delivered(&self, window: u64) -> bool {
        self.delivered.contains_key(&window)
    }

    /// Notes that the platform took the report of a window.
    pub fn mark_delivered(&mut self, window: u64, now: Millis) {
        self.delivered.insert(window, now);
        while self.delivered.len() > MAX_REPORTS {
            self.delivered.pop_first();
        }
    }

    /// Returns where the stream ended when that was last certain, for peers: a claim at another
    /// end fails.
    #[must_use]
    pub fn last_end(&self) -> Option<LogOffset> {
        self.end.map(|(end, _)| end)
    }

    /// Returns where the stream ends, if that is certain.
    #[must_use]
    pub fn end(&self) -> Option<LogOffset> {
        self.end.filter(|_| !self.stale).map(|(end, _)| end)
    }

    /// Forgets the stream, which lost records that were not read.
    pub fn skip_trimmed(&mut self, first: LogOffset) {
        self.next_offset = self.next_offset.max(first);
        self.stale = true;
    }
}
