//! Counts of the requests that began in each usage window, summed over all nodes.
//!
//! A node counts its own requests and states the counts of the last windows in each digest. A peer
//! keeps the highest count stated by each incarnation of each node, so that counts survive the node
//! that made them.

use std::collections::BTreeMap;

use cumin_types::{Incarnation, NodeName, Organisation};
use serde::{Deserialize, Serialize};

/// Number of windows kept: a report is due two windows after its own, and two more cover a change
/// of the lease holder.
pub const KEPT_WINDOWS: u64 = 5;

/// Requests in one window, by organisation.
pub type Counts = BTreeMap<Organisation, u64>;

/// Counts of the last windows of one node, by window number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Windows(pub BTreeMap<u64, Counts>);

impl Windows {
    /// Counts one request.
    pub fn add(&mut self, window: u64, org: &Organisation) {
        let counts = self.0.entry(window).or_default();
        *counts.entry(org.clone()).or_default() += 1;
        self.trim(window);
    }

    fn trim(&mut self, newest: u64) {
        self.0.retain(|window, _| window + KEPT_WINDOWS > newest);
    }

    fn merge(&mut self, other: &Self) {
        for (window, counts) in &other.0 {
            let own = self.0.entry(*window).or_default();
            for (org, count) in counts {
                let old = own.entry(org.clone()).or_default();
                *old = (*old).max(*count);
            }
        }
        if let Some(newest) = self.0.keys().next_back().copied() {
            self.trim(newest);
        }
    }
}

/// Counts of all nodes, as one node knows them.
#[derive(Debug, Default)]
pub struct Usage {
    own: Windows,
    peers: BTreeMap<(NodeName, Incarnation), Windows>,
}

impl Usage {
    /// Counts a request at this node.
    pub fn add(&mut self, window: u64, org: &Organisation) {
        self.own.add(window, org);
    }

    /// Returns this node's counts.
    #[must_use]
    pub const fn own(&self) -> &Windows {
        &self.own
    }

    /// Returns this node's counts of the window `current` and the one before.
    ///
    /// Older windows change no more; they are stated in some digests only, for peers that missed
    /// one.
    #[must_use]
    pub fn recent(&self, current: u64) -> Windows {
        let recent = self.own.0.range(current.saturating_sub(1)..);
        Windows(recent.map(|(w, counts)| (*w, counts.clone())).collect())
    }

    /// Merges the counts that a peer states. Merging twice or late is harmless.
    pub fn merge(&mut self, node: &NodeName, incarnation: Incarnation, windows: &Windows) {
        self.peers
            .entry((node.clone(), incarnation))
            .or_default()
            .merge(windows);
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

    /// Drops peers whose newest counts are too old to be reported when `window` is the current one.
    pub fn trim(&mut self, window: u64) {
        self.peers.retain(|_, windows| {
            windows
                .0
                .keys()
                .next_back()
                .is_some_and(|w| w + KEPT_WINDOWS > window)
        });
    }
}
