//! A lease for singleton duties, held by conditional appends to a stream of the store.
//!
//! Duties are tasks that one node does for all: reports of usage and orders of endpoints.
//!
//! Every append is conditional on the end of the stream that its author last saw. A holder renews
//! by appending, so an append that succeeds one lease length after its author read the end proves
//! that the previous lease has expired; no clocks of two nodes are compared. The fencing token is
//! derived from the offset of the claim. A holder counts its lease from before it sent its last
//! append, on a clock that counts suspension, and stops acting a margin before the lease expires.

use std::collections::BTreeMap;

use cumin_types::{FencingToken, Incarnation, LogOffset, Millis, NodeName};
use serde::{Deserialize, Serialize};

use crate::usage::Counts;

/// A record of the stream.
#[derive(Clone, derive_more::Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// Acquires the lease.
    #[debug("Claim {{ node: {node:?}, life: {incarnation:?} }}")]
    Claim {
        /// Author of the record.
        node: NodeName,
        /// Incarnation of the author.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Extends the lease.
    #[debug("Renew {{ node: {node:?}, life: {incarnation:?} }}")]
    Renew {
        /// Author of the record.
        node: NodeName,
        /// Incarnation of the author.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// Extends the lease and fixes the counts that are reported for a window.
    #[debug(
        "Report {{ node: {node:?}, life: {incarnation:?}, window: {window:?}, counts: {counts:?} }}"
    )]
    Report {
        /// Author of the record.
        node: NodeName,
        /// Incarnation of the author.
        #[serde(rename = "life")]
        incarnation: Incarnation,
        /// Window number.
        window: u64,
        /// Requests that began in the window.
        counts: Counts,
    },
    /// Releases the lease.
    #[debug("Release {{ node: {node:?}, life: {incarnation:?} }}")]
    Release {
        /// Author of the record.
        node: NodeName,
        /// Incarnation of the author.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
}

/// Settings of [`DutyLease`].
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseOptions {
    /// This node.
    pub node: NodeName,
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Length of a lease. Only a holder replaces reclaimed engines, so the lease of a lost holder
    /// must expire within the notice that the platform gives.
    pub length: Millis,
    /// Time before expiry at which the holder stops acting. It covers a call to the cloud in
    /// flight and clock drift.
    pub margin: Millis,
    /// Time between two renewals.
    pub renew_interval: Millis,
    /// Time between two reads while no holder is known.
    pub poll_interval: Millis,
    /// Delay of a claim for each live node with a smaller name, so that claims do not race.
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

/// The next call to the store that the lease needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// No call for now.
    Idle,
    /// Read from this offset.
    Read(LogOffset),
    /// Append a claim at this offset, the end of the stream.
    Claim(LogOffset),
    /// Append a renewal at this offset, the end of the stream.
    Renew(LogOffset),
}

/// State of the lease as one node knows it.
#[derive(Debug)]
pub struct DutyLease {
    options: LeaseOptions,
    /// End of the stream, and the time at which it was first known to end there.
    end: Option<(LogOffset, Millis)>,
    /// Offset of the first unread record.
    next_offset: LogOffset,
    /// Whether the last record released the lease, or the stream is empty.
    vacant: bool,
    /// Whether the known end is out of date, so that the stream must be read first.
    stale: bool,
    last_read: Option<Millis>,
    /// Token of this node's lease, and the time at which its last append was sent.
    held: Option<(FencingToken, Millis)>,
    /// Counts fixed for a window, by window number.
    reports: BTreeMap<u64, Counts>,
    /// Windows whose reports the platform took from this node.
    delivered: BTreeMap<u64, Millis>,
}

/// Returns the fencing token of a claim at `offset`. Tokens start at 1.
const fn token(offset: LogOffset) -> FencingToken {
    FencingToken(offset.0 + 1)
}

/// Number of windows whose reports are kept.
const MAX_REPORTS: usize = 16;

impl DutyLease {
    /// Creates the state of a node that has read nothing.
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

    /// Returns the token while this node may act as the holder.
    ///
    /// A holder may not act before it has read the reports of earlier holders.
    #[must_use]
    pub fn may_act(&self, now: Millis) -> Option<FencingToken> {
        let (token, sent) = self.held?;
        let ends = self.options.length.since(self.options.margin);
        (now.since(sent) < ends && !self.stale && self.caught_up()).then_some(token)
    }

    fn caught_up(&self) -> bool {
        self.end.is_some_and(|(end, _)| self.next_offset >= end)
    }

    /// Returns the token until the lease expires, even if the outcome of an append is unknown.
    #[must_use]
    pub fn held(&self, now: Millis) -> Option<FencingToken> {
        let (token, sent) = self.held?;
        (now.since(sent) < self.options.length.0).then_some(token)
    }

    /// Returns the next call to the store.
    ///
    /// `held_elsewhere` says whether a live peer states that it holds the lease, and
    /// `nodes_before` is the number of live nodes with a smaller name.
    #[must_use]
    pub fn next(&self, held_elsewhere: bool, nodes_before: u64, now: Millis) -> Step {
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
        let stagger = self.options.stagger.0 * nodes_before;
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

    /// Records that a read was sent.
    pub fn read_sent(&mut self, now: Millis) {
        self.last_read = Some(now);
    }

    /// Records the end of the stream as stated by the holder.
    ///
    /// The statement is as good as a read: a claim at that offset fails if the holder has renewed
    /// since.
    pub fn observe_end(&mut self, end: LogOffset, now: Millis) {
        if self.held.is_some() {
            return;
        }
        self.vacant = false;
        self.stale = false;
        self.end = Some((end, now));
    }

    /// Applies the result of a read: unread records and the end of the stream.
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
        // Records older than this node's claim may be read after it.
        let later = |(held, _): (FencingToken, Millis)| token(offset) > held;
        if !mine && self.held.is_some_and(later) {
            self.held = None;
        }
        match record {
            // The time of a claim whose answer was lost is unknown, so it counts as expired and
            // must be renewed before the node may act.
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

    /// Applies this node's successful append at `offset`, which was sent at `sent`.
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

    /// Records that an append failed or got no answer. The stream is read before the next append.
    pub fn mark_stale(&mut self) {
        self.stale = true;
    }

    /// Returns the counts that were fixed for a window.
    #[must_use]
    pub fn report(&self, window: u64) -> Option<&Counts> {
        self.reports.get(&window)
    }

    /// Returns whether this node has delivered the report of a window.
    #[must_use]
    pub fn delivered(&self, window: u64) -> bool {
        self.delivered.contains_key(&window)
    }

    /// Records that the platform accepted the report of a window.
    pub fn mark_delivered(&mut self, window: u64, now: Millis) {
        self.delivered.insert(window, now);
        while self.delivered.len() > MAX_REPORTS {
            self.delivered.pop_first();
        }
    }

    /// Returns the last known end of the stream, to be stated to peers. It may be out of date: a
    /// claim at another offset than the end fails.
    #[must_use]
    pub fn last_end(&self) -> Option<LogOffset> {
        self.end.map(|(end, _)| end)
    }

    /// Returns the end of the stream if it is up to date.
    #[must_use]
    pub fn end(&self) -> Option<LogOffset> {
        self.end.filter(|_| !self.stale).map(|(end, _)| end)
    }

    /// Skips unread records that were trimmed from the stream.
    pub fn skip_trimmed(&mut self, first: LogOffset) {
        self.next_offset = self.next_offset.max(first);
        self.stale = true;
    }
}
