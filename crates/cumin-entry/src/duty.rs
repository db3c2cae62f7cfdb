//! A lease for singleton duties, held by conditional appends to a stream of the store.
//!
//! Duties are tasks that one node does for all: reports of usage and orders of endpoints.
//!
//! Every append is conditional on the end of the stream that its author last saw. A holder renews
//! by appending, so an append that succeeds one lease length after its author read the end proves
//! that the previous lease has expired; no clocks of two nodes are compared. The fencing token is
//! derived from the offset of the claim. A holder counts its lease from before it sent its last
//! append, on a clock that counts suspension, and stops acting a margin before the lease expires.
//!
//! In a new era of the store the stream is read from its start, and the lease is claimed again by
//! its holder, or one lease length after the era was noticed by another node: by then the lease that
//! was held in the old era has expired. A record of an older era that arrives in the new one has no
//! effect on the lease.

use std::collections::BTreeMap;

use cumin_types::{FencingToken, Incarnation, LogOffset, Millis, NodeName};
use serde::{Deserialize, Serialize};

use crate::era::Era;
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

/// A record as the stream holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The record.
    #[serde(flatten)]
    pub record: Record,
    /// Era in which the author appended it, as far as the author knew.
    #[serde(default, skip_serializing_if = "Era::is_unknown")]
    pub era: Era,
    /// Fencing token of a claim, if it is not that of its era and offset.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<FencingToken>,
    /// First window that a claim's author may report without a record of its counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_window: Option<u64>,
}

impl From<Record> for StoredRecord {
    fn from(record: Record) -> Self {
        Self {
            record,
            era: Era::default(),
            token: None,
            first_window: None,
        }
    }
}

impl StoredRecord {
    /// Returns the fencing token of a claim at `offset`.
    fn token_at(&self, offset: LogOffset) -> FencingToken {
        self.token.unwrap_or(self.era.token(offset))
    }
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
    held: Option<Held>,
    /// Era of the store to which the offsets belong.
    era: Era,
    /// Time at which the last append of a lease was sent that this node held when the era began.
    previous: Option<Millis>,
    /// Whether this node also held the lease when the era began.
    continued: bool,
    /// Highest token that is known to be in use.
    highest: FencingToken,
    /// First window that may be reported without a record of its counts: earlier ones may have been
    /// reported from records that the store has lost.
    first_window: u64,
    /// Counts fixed for a window, by window number.
    reports: BTreeMap<u64, FixedCounts>,
    /// Windows whose reports the platform took from this node, or of which different counts are
    /// known, so that none are sent.
    delivered: BTreeMap<u64, Millis>,
}

/// The lease of this node.
#[derive(Clone, Copy, Debug)]
struct Held {
    token: FencingToken,
    /// Offset of the claim.
    at: LogOffset,
    /// Time at which its last append was sent.
    sent: Millis,
}

/// Counts that a record fixes.
#[derive(Clone, Debug)]
struct FixedCounts {
    counts: Counts,
    /// Era in which this node last knew that the store holds the record.
    era: Era,
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
            era: Era(0),
            previous: None,
            continued: false,
            highest: FencingToken(0),
            first_window: 0,
            reports: BTreeMap::new(),
            delivered: BTreeMap::new(),
        }
    }

    /// Returns the token while this node may act as the holder.
    ///
    /// A holder may not act before it has read the reports of earlier holders.
    #[must_use]
    pub fn may_act(&self, now: Millis) -> Option<FencingToken> {
        let held = self.held?;
        let current = now.since(held.sent) < self.acting_time();
        (current && !self.stale && self.caught_up()).then_some(held.token)
    }

    /// Returns the time from an append for which the holder may act, in milliseconds.
    const fn acting_time(&self) -> u64 {
        self.options.length.since(self.options.margin)
    }

    fn caught_up(&self) -> bool {
        self.end.is_some_and(|(end, _)| self.next_offset >= end)
    }

    /// Returns the token until the lease expires, even if the outcome of an append is unknown.
    #[must_use]
    pub fn held(&self, now: Millis) -> Option<FencingToken> {
        let held = self.held?;
        (now.since(held.sent) < self.options.length.0).then_some(held.token)
    }

    /// Returns the next call to the store.
    ///
    /// `held_elsewhere` says whether a live peer states that it holds the lease, and
    /// `nodes_before` is the number of live nodes with a smaller name.
    #[must_use]
    pub fn next(&self, held_elsewhere: bool, nodes_before: u64, now: Millis) -> Step {
        let read = self.end.filter(|_| !self.stale && self.caught_up());
        if let Some(held) = self.held {
            let Some((end, _)) = read else {
                return Step::Read(self.next_offset);
            };
            if now.since(held.sent) >= self.options.renew_interval.0 {
                return Step::Renew(end);
            }
            return Step::Idle;
        }
        // The holder of the old era claims at once: no other node may claim before its lease
        // expires.
        if self.may_continue(now) {
            return match read {
                Some((end, _)) => Step::Claim(end),
                None => Step::Read(self.next_offset),
            };
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
    pub fn apply_read(
        &mut self,
        records: &[(LogOffset, StoredRecord)],
        end: LogOffset,
        now: Millis,
    ) {
        let before = self.end.map(|(end, _)| end);
        self.next_offset = self.next_offset.max(end);
        if before.is_none() && records.is_empty() {
            self.vacant = end == LogOffset(0) && self.era.is_unknown();
        }
        for (offset, record) in records {
            self.apply(*offset, record);
        }
        if before != Some(end) || self.stale {
            self.end = Some((end, now));
        }
        self.stale = false;
    }

    fn apply(&mut self, offset: LogOffset, stored: &StoredRecord) {
        let record = &stored.record;
        let (node, incarnation) = match record {
            Record::Claim { node, incarnation }
            | Record::Renew { node, incarnation }
            | Record::Report {
                node, incarnation, ..
            }
            | Record::Release { node, incarnation } => (node, *incarnation),
        };
        let mine = *node == self.options.node && incarnation == self.options.incarnation;
        let current = stored.era == self.era;
        // Another node may hold the lease that was released in the part that the store has lost.
        self.vacant = matches!(record, Record::Release { .. }) && current;
        // Authors that know no era wrote with the version before this one.
        let effective = stored.era >= self.era || stored.era.is_unknown();
        // Records older than this node's claim may be read after it.
        if !mine && effective && self.held.is_some_and(|held| offset > held.at) {
            self.held = None;
        }
        if !mine && current && !self.era.is_unknown() {
            self.previous = None;
        }
        match record {
            // The time of a claim whose answer was lost is unknown, so it counts as expired and
            // must be renewed before the node may act.
            Record::Claim { .. } => {
                let token = stored.token_at(offset);
                self.highest = self.highest.max(token);
                if current && let Some(first) = stored.first_window {
                    self.first_window = self.first_window.min(first);
                }
                if mine && current && self.held.is_none() {
                    self.hold(token, offset, Millis(0));
                } else if !mine && self.held.is_some_and(|held| token >= held.token) {
                    // The token of this node's claim was chosen before this one was read.
                    self.held = None;
                }
            }
            Record::Report { window, counts, .. } => self.fix(*window, counts),
            _ => {}
        }
    }

    /// Acquires the lease by a claim that was sent at `sent`.
    fn hold(&mut self, token: FencingToken, at: LogOffset, sent: Millis) {
        self.held = Some(Held { token, at, sent });
        self.continued = self.previous.take().is_some();
    }

    /// Records counts that the store holds for a window.
    fn fix(&mut self, window: u64, counts: &Counts) {
        let known = self.reports.get(&window);
        if known.is_some_and(|known| known.era < self.era && known.counts != *counts) {
            // Either count may have been sent.
            self.mark_delivered(window, Millis(0));
        }
        let fixed = FixedCounts {
            counts: counts.clone(),
            era: self.era,
        };
        self.reports.insert(window, fixed);
        while self.reports.len() > MAX_REPORTS {
            self.reports.pop_first();
        }
    }

    /// Applies this node's successful append at `offset`, which was sent at `sent`.
    pub fn appended(
        &mut self,
        record: &StoredRecord,
        offset: LogOffset,
        sent: Millis,
        now: Millis,
    ) {
        self.apply(offset, record);
        match record.record {
            Record::Claim { .. } => {
                let token = record.token_at(offset);
                self.held = Some(Held {
                    token,
                    at: offset,
                    sent,
                });
            }
            Record::Release { .. } => self.held = None,
            Record::Renew { .. } | Record::Report { .. } => {
                if let Some(held) = &mut self.held {
                    held.sent = sent;
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
        let fixed = self.reports.get(&window)?;
        (fixed.era == self.era).then_some(&fixed.counts)
    }

    /// Returns the counts that were ever fixed for a window, also by a record that the store has
    /// lost. They may have been sent.
    #[must_use]
    pub fn remembered(&self, window: u64) -> Option<&Counts> {
        self.reports.get(&window).map(|fixed| &fixed.counts)
    }

    /// Returns whether counts may be fixed for a window for which none are known.
    ///
    /// `reported` is the highest window of which a report may have been sent, as far as live nodes
    /// know. A node that has held the lease since before the era began knows what was sent; for
    /// another one, windows that ended before it noticed the era may have been reported from
    /// records that are lost.
    #[must_use]
    pub fn may_fix(&self, window: u64, reported: Option<u64>) -> bool {
        self.era.is_unknown()
            || (reported.is_none_or(|reported| window > reported)
                && (self.continued || window >= self.first_window))
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

    /// Returns the era to which the offsets belong.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.era
    }

    /// Returns whether this node has held the lease since before the era began.
    #[must_use]
    pub const fn continued(&self) -> bool {
        self.continued
    }

    /// Begins an era of the store, in which the stream must be read from its start. `window` is the
    /// current usage window.
    pub fn enter_era(&mut self, era: Era, window: u64, now: Millis) {
        if let Some(held) = self.held.take() {
            self.previous = Some(held.sent);
        }
        if !self.may_continue(now) {
            self.previous = None;
        }
        self.era = era;
        self.first_window = window;
        self.continued = false;
        self.end = None;
        self.next_offset = LogOffset(0);
        self.last_read = None;
        self.vacant = false;
        self.stale = true;
    }

    /// Returns whether a lease that this node held when the era began has not expired yet.
    fn may_continue(&self, now: Millis) -> bool {
        let lasts = |sent| now.since(sent) < self.acting_time();
        self.previous.is_some_and(lasts)
    }

    /// Takes into account a token that is in use, so that a claim of this node gets a higher one.
    pub fn observe_token(&mut self, token: FencingToken) {
        self.highest = self.highest.max(token);
    }

    /// Returns a record as it is appended at `at`.
    #[must_use]
    pub fn stored(&self, record: Record, at: LogOffset) -> StoredRecord {
        let is_claim = matches!(record, Record::Claim { .. });
        let derived = self.era.token(at);
        let higher = FencingToken(self.highest.0 + 1);
        StoredRecord {
            era: self.era,
            token: (is_claim && higher > derived).then_some(higher),
            first_window: (is_claim && !self.era.is_unknown()).then_some(self.first_window),
            ..StoredRecord::from(record)
        }
    }

    /// Skips unread records that were trimmed from the stream.
    pub fn skip_trimmed(&mut self, first: LogOffset) {
        self.next_offset = self.next_offset.max(first);
        self.stale = true;
    }
}
