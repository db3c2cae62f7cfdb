//! Counts of the requests that began in each usage window, summed over all nodes.
//!
//! A node counts its own requests and states the counts of the last windows in each digest. A peer
//! keeps the highest count stated by each incarnation of each node, so that counts survive the node
//! that made them.
//!
//! The counts of a window are complete once every node that is expected to have served in it has
//! stated them since its end. A node that was heard lately is expected until it stops, is replaced
//! by its next incarnation, or has been silent for [`EXPECTED_TIMEOUT`]: a silent node may be cut
//! off by a network partition and still serve. A report that lacks nodes waits for them until
//! shortly before it is due.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use cumin_types::{Incarnation, Millis, NodeName, Organisation};
use serde::{Deserialize, Serialize};

use crate::peer::{EXPECTED_TIMEOUT, LIVE_TIMEOUT};

/// Time from the end of a usage window until it is summed at the earliest: the digests of nodes
/// that this one has not heard yet have arrived by then.
pub const SETTLE_TIME: Millis = Millis(1500);

/// Time before a report is due at which it no longer waits for missing counts. It covers an append
/// to the store and some attempts to send the report.
const REPORT_MARGIN: Millis = Millis(2000);

/// Limit on the windows kept, so that short windows with late reports do not fill the digests.
const MAX_KEPT: u64 = 32;

/// Returns the number of windows to keep, the current one included: those whose reports may still
/// be outstanding, and two more for a change of the lease holder.
#[must_use]
pub fn kept_windows(length: Millis, due: Millis) -> u64 {
    (due.0.div_ceil(length.0.max(1)) + 3).min(MAX_KEPT)
}

/// Requests in one window, by organisation.
pub type Counts = BTreeMap<Organisation, u64>;

/// Counts of the last windows of one node, by window number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Windows(pub BTreeMap<u64, Counts>);

impl Windows {
    fn add(&mut self, window: u64, org: &Organisation) {
        let counts = self.0.entry(window).or_default();
        *counts.entry(org.clone()).or_default() += 1;
    }

    fn trim(&mut self, newest: u64, kept: u64) {
        self.0.retain(|window, _| window + kept > newest);
    }

    fn merge(&mut self, other: &Self, kept: u64) {
        for (window, counts) in &other.0 {
            let own = self.0.entry(*window).or_default();
            for (org, count) in counts {
                let old = own.entry(org.clone()).or_default();
                *old = (*old).max(*count);
            }
        }
        if let Some(newest) = self.0.keys().next_back().copied() {
            self.trim(newest, kept);
        }
    }
}

/// Which windows a digest states, and whether its sender is stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedSpan {
    /// First window that the digest states.
    pub first: u64,
    /// Current window of the sender. The counts of earlier ones no longer change.
    pub current: u64,
    /// Whether the sender stops, after which its silence is no partition.
    pub stopping: bool,
}

impl StatedSpan {
    /// Returns the span of a digest that does not state it, as those of older versions. `current`
    /// is the current window of the receiver, with an allowance for the delay of the digest.
    #[must_use]
    pub const fn assumed(current: u64) -> Self {
        Self {
            first: current.saturating_sub(1),
            current,
            stopping: false,
        }
    }
}

/// A node whose digests are heard.
#[derive(Debug)]
struct Sender {
    incarnation: Incarnation,
    heard: Millis,
    stopping: bool,
    /// Past windows whose final counts it has stated.
    stated: BTreeSet<u64>,
}

/// Whether the counts of a window are reported now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// Every expected node has stated its counts.
    Complete,
    /// The report waits for these nodes.
    Waiting(Vec<NodeName>),
    /// The report can wait no longer for these nodes.
    Incomplete(Vec<NodeName>),
}

/// Counts of all nodes, as one node knows them.
#[derive(Debug)]
pub struct Usage {
    own: Windows,
    peers: BTreeMap<(NodeName, Incarnation), Windows>,
    senders: BTreeMap<NodeName, Sender>,
    /// Number of windows kept.
    kept: u64,
}

impl Usage {
    /// Creates the counts of a node whose windows have this length and whose reports are due this
    /// time after the end of their window.
    #[must_use]
    pub fn new(length: Millis, due: Millis) -> Self {
        Self {
            own: Windows::default(),
            peers: BTreeMap::new(),
            senders: BTreeMap::new(),
            kept: kept_windows(length, due),
        }
    }

    /// Applies changed settings.
    pub fn set_times(&mut self, length: Millis, due: Millis) {
        self.kept = kept_windows(length, due);
    }

    /// Returns the past windows that may be reported when `current` is the current one.
    #[must_use]
    pub const fn past(&self, current: u64) -> Range<u64> {
        (current + 1).saturating_sub(self.kept)..current
    }

    /// Counts a request at this node.
    pub fn add(&mut self, window: u64, org: &Organisation) {
        self.own.add(window, org);
        self.own.trim(window, self.kept);
    }

    /// Returns this node's counts.
    #[must_use]
    pub const fn own(&self) -> &Windows {
        &self.own
    }

    /// Returns the counts for a digest and which windows they span: all kept windows if `full`, else
    /// the window `current` and the one before.
    ///
    /// Older windows change no more; they are stated in some digests only, for peers that missed
    /// one.
    #[must_use]
    pub fn stated(&self, current: u64, full: bool, stopping: bool) -> (Windows, StatedSpan) {
        let first = if full {
            (current + 1).saturating_sub(self.kept)
        } else {
            current.saturating_sub(1)
        };
        let stated = self.own.0.range(first..);
        let windows = Windows(stated.map(|(w, counts)| (*w, counts.clone())).collect());
        let span = StatedSpan {
            first,
            current,
            stopping,
        };
        (windows, span)
    }

    /// Merges the counts that a peer states. Merging twice or late is harmless.
    pub fn merge(
        &mut self,
        (node, incarnation): (&NodeName, Incarnation),
        windows: &Windows,
        span: StatedSpan,
        now: Millis,
    ) {
        self.peers
            .entry((node.clone(), incarnation))
            .or_default()
            .merge(windows, self.kept);
        let unheard = || Sender {
            incarnation,
            heard: now,
            stopping: false,
            stated: BTreeSet::new(),
        };
        let sender = self
            .senders
            .entry(node.clone())
            .and_modify(|sender| {
                if sender.incarnation < incarnation {
                    *sender = unheard();
                }
            })
            .or_insert_with(unheard);
        if sender.incarnation != incarnation {
            return;
        }
        sender.heard = sender.heard.max(now);
        sender.stopping = span.stopping;
        let oldest = (span.current + 1).saturating_sub(self.kept);
        sender.stated.extend(span.first.max(oldest)..span.current);
        // A sender whose clock was corrected backwards may still count in windows that it stated.
        let past = oldest..span.current;
        sender.stated.retain(|window| past.contains(window));
    }

    /// Returns whether the counts of a window are reported now. `since_end` is the time since its
    /// end, and `due` the time from its end until its report is due.
    #[must_use]
    pub fn settle(&self, window: u64, since_end: Millis, due: Millis, now: Millis) -> Settled {
        let missing = self.senders.iter().filter(|(_, sender)| {
            let silence = now.since(sender.heard);
            let gone =
                silence >= EXPECTED_TIMEOUT.0 || (sender.stopping && silence >= LIVE_TIMEOUT.0);
            !gone && !sender.stated.contains(&window)
        });
        let missing: Vec<NodeName> = missing.map(|(node, _)| node.clone()).collect();
        let latest = due.since(REPORT_MARGIN).max(SETTLE_TIME.0);
        if since_end < SETTLE_TIME {
            Settled::Waiting(missing)
        } else if missing.is_empty() {
            Settled::Complete
        } else if since_end.0 < latest {
            Settled::Waiting(missing)
        } else {
            Settled::Incomplete(missing)
        }
    }

    /// Returns the counts of a window, summed over all nodes.
    #[must_use]
    pub fn total(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        for windows in self.peers.values().chain([&self.own]) {
            for (org, count) in windows.0.get(&window).into_iter().flatten() {
                *sum.entry(org.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Drops counts that are too old to be reported when `window` is the current one, and nodes that
    /// are no longer expected.
    pub fn trim(&mut self, window: u64, now: Millis) {
        self.own.trim(window, self.kept);
        self.peers.retain(|_, windows| {
            let newest = windows.0.keys().next_back();
            newest.is_some_and(|newest| newest + self.kept > window)
        });
        self.senders
            .retain(|_, sender| now.since(sender.heard) < EXPECTED_TIMEOUT.0);
    }
}
