//! Divides a global limit between nodes without coordination.
//!
//! Each node publishes versioned reports with its claim on every limit and, for each live peer,
//! the latest report version that it has received from that peer. The share of a node is a small
//! equal floor plus a part of the remaining pool:
//!
//! ```text
//! share = floor · limit / nodes + (1 − floor) · limit · own / (own + Σ claims of live peers)
//! ```
//!
//! `own` is the lowest claim in the node's reports, from the oldest one that a live peer still
//! uses up to the latest. A raised claim therefore takes effect only after every live peer has
//! confirmed it, and a lowered claim takes effect at once. No peer ever uses a claim of this node
//! that is lower than `own`, so the denominator at every node is at least the sum of all `own`,
//! and the shares sum to at most the limit, however many reports are delayed or lost. The scheme
//! does not depend on synchronised clocks.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use cumin_types::{Millis, NodeName, Organisation};
use serde::{Deserialize, Serialize};

use crate::Quota;

/// An amount of each limited resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// Requests per second.
    pub requests: f64,
    /// Concurrent requests.
    pub concurrent: f64,
    /// Tokens per minute.
    pub tokens: f64,
}

impl Amounts {
    fn zip_with(self, other: Self, combine: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            requests: combine(self.requests, other.requests),
            concurrent: combine(self.concurrent, other.concurrent),
            tokens: combine(self.tokens, other.tokens),
        }
    }
}

type Claims = BTreeMap<Organisation, Amounts>;

/// The demand of one node, as published to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Version of this report; it increases with each report of a node, also across restarts.
    pub version: u64,
    /// Claims of the node on the limits of each organisation.
    pub orgs: BTreeMap<Organisation, Amounts>,
    /// Version of the latest report received from each live node.
    pub heard: BTreeMap<NodeName, u64>,
}

/// Settings of [`Shares`].
#[derive(Clone, Debug, PartialEq)]
pub struct ShareOptions {
    /// Part of each limit that is divided equally. A node whose reports reach no peer gets only
    /// its part of this.
    pub floor_fraction: f64,
    /// Claim of an idle node, as a fraction of an equal share.
    pub idle_fraction: f64,
    /// Time for which a node that has joined does not need to confirm the reports of the others.
    pub join_grace: Millis,
    /// Number of own reports kept to compute the effective claim; older ones are merged.
    pub history_length: usize,
}

impl Default for ShareOptions {
    fn default() -> Self {
        Self {
            floor_fraction: 0.1,
            idle_fraction: 0.05,
            join_grace: Millis(2000),
            history_length: 64,
        }
    }
}

/// This node's share of the limits of one organisation; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Requests per second.
    pub requests: Option<f64>,
    /// Concurrent requests.
    pub concurrent: Option<f64>,
    /// Tokens per minute.
    pub tokens: Option<f64>,
}

impl fmt::Display for Grant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |value: Option<f64>| value.map_or("none".into(), |v| format!("{v:.2}"));
        write!(
            f,
            "share_requests={} share_concurrent={} share_tokens={}",
            show(self.requests),
            show(self.concurrent),
            show(self.tokens)
        )
    }
}

#[derive(Debug)]
struct LivePeer {
    /// When this node first saw the peer as live.
    live_since: Millis,
    /// Whether this node already held a part of the pool at that time.
    joined_later: bool,
}

/// The claims of all nodes, as known to one node.
#[derive(Debug)]
pub struct Shares {
    options: ShareOptions,
    own_name: NodeName,
    version: u64,
    /// Claims and versions of the reports of this node, oldest first. Confirmed ones are kept: a peer
    /// that joins later may confirm an older one than the others.
    history: VecDeque<(u64, Claims)>,
    /// Latest report of each peer and when it was received.
    reports: BTreeMap<NodeName, (DemandReport, Millis)>,
    live: BTreeMap<NodeName, LivePeer>,
    /// Whether all live peers have confirmed a report of this node at any time.
    confirmed_once: bool,
    /// Whether [`Self::rebalance`] has been called.
    rebalanced: bool,
    now: Millis,
}

/// How long the report of a node that is no longer live is kept, so that a node that was wrongly
/// considered dead counts again as soon as it is live.
const REPORT_RETENTION_MS: u64 = 60_000;

impl Shares {
    /// Creates the state of node `own_name`, whose report versions start after `first_version`.
    #[must_use]
    pub fn new(options: ShareOptions, own_name: NodeName, first_version: u64) -> Self {
        Self {
            options,
            own_name,
            version: first_version,
            history: VecDeque::new(),
            reports: BTreeMap::new(),
            live: BTreeMap::new(),
            confirmed_once: false,
            rebalanced: false,
            now: Millis(0),
        }
    }

    /// Returns the next report of this node, with at least the idle claim on each limit.
    pub fn next_report<'a>(
        &mut self,
        quotas: impl IntoIterator<Item = (&'a Organisation, &'a Quota, Amounts)>,
    ) -> DemandReport {
        let part = self.options.idle_fraction / node_count(self.live.len());
        let claims: Claims = quotas
            .into_iter()
            .map(|(org, quota, wanted)| {
                (
                    org.clone(),
                    wanted.zip_with(limits(quota), |want, limit| want.max(limit * part)),
                )
            })
            .collect();
        self.version += 1;
        self.history.push_back((self.version, claims.clone()));
        if self.history.len() > self.options.history_length.max(2) {
            self.merge_oldest();
        }
        DemandReport {
            version: self.version,
            orgs: claims,
            heard: self
                .live
                .keys()
                .filter_map(|name| Some((name.clone(), self.reports.get(name)?.0.version)))
                .collect(),
        }
    }

    /// Applies the latest known reports and the set of live nodes.
    pub fn rebalance(
        &mut self,
        reports: &[(NodeName, DemandReport)],
        live: &[NodeName],
        now: Millis,
    ) {
        self.now = self.now.max(now);
        self.rebalanced = true;
        for (name, report) in reports {
            let newer = |(old, _): &(DemandReport, Millis)| old.version < report.version;
            if *name != self.own_name && self.reports.get(name).is_none_or(newer) {
                self.reports.insert(name.clone(), (report.clone(), now));
            }
        }
        self.live.retain(|name, _| live.contains(name));
        for name in live.iter().filter(|name| **name != self.own_name) {
            let joined_later = self.confirmed_once;
            self.live.entry(name.clone()).or_insert(LivePeer {
                live_since: now,
                joined_later,
            });
        }
        let live_peers = &self.live;
        self.reports.retain(|name, (_, at)| {
            live_peers.contains_key(name) || now.since(*at) < REPORT_RETENTION_MS
        });
        self.confirmed_once |= self.oldest_confirmed().is_some();
    }

    /// Returns this node's share of the limits in `quota`, the quota of `org`.
    #[must_use]
    pub fn grant(&self, org: &Organisation, quota: &Quota) -> Grant {
        let limit = limits(quota);
        let share = if self.rebalanced && !self.live.is_empty() {
            let own = self.effective_claim(org);
            let all = self
                .live
                .keys()
                .filter_map(|name| self.reports.get(name)?.0.orgs.get(org))
                .fold(own, |sum, claim| sum.zip_with(*claim, |a, b| a + b));
            let part = own.zip_with(all, |own, all| if own > 0.0 { own / all } else { 0.0 });
            let floor = self.options.floor_fraction;
            let equal = floor / node_count(self.live.len());
            limit.zip_with(part, |limit, part| limit * (equal + (1.0 - floor) * part))
        } else {
            limit
        };
        Grant {
            requests: quota.rate.map(|_| share.requests),
            concurrent: quota.concurrent.map(|_| share.concurrent),
            tokens: quota.tokens.map(|_| share.tokens),
        }
    }

    /// Returns true while each peer in `live` has confirmed a report of this node. Otherwise this node
    /// may have no more than its part of the floor.
    #[must_use]
    pub fn is_settled<'a>(&self, live: impl IntoIterator<Item = &'a NodeName>) -> bool {
        let first = self.history.front().map(|(version, _)| *version);
        let has_confirmed = |name: &NodeName| {
            let report = self.reports.get(name);
            let heard = report.and_then(|(report, _)| report.heard.get(&self.own_name));
            heard.is_some_and(|heard| first.is_some_and(|first| first <= *heard))
        };
        self.rebalanced
            && live
                .into_iter()
                .all(|name| *name == self.own_name || has_confirmed(name))
    }

    /// Returns [`Self::is_settled`] for the peers at the last [`Self::rebalance`].
    pub(crate) fn is_confirmed(&self) -> bool {
        !self.rebalanced || self.is_settled(self.live.keys())
    }

    /// Returns the version of the oldest report of this node that a live peer uses, or `None` if a
    /// peer has confirmed none. A peer without a confirmation is ignored for the join grace if
    /// it joined after this node held a part of the pool.
    fn oldest_confirmed(&self) -> Option<u64> {
        let mut oldest = u64::MAX;
        for (name, peer) in &self.live {
            let heard = self
                .reports
                .get(name)
                .and_then(|(report, _)| report.heard.get(&self.own_name));
            match heard {
                Some(version) => oldest = oldest.min(*version),
                None if peer.joined_later
                    && self.now.since(peer.live_since) < self.options.join_grace.0 => {}
                None => return None,
            }
        }
        Some(oldest)
    }

    /// Returns the lowest claim of this node that any live peer may use.
    fn effective_claim(&self, org: &Organisation) -> Amounts {
        let Some(oldest) = self.oldest_confirmed() else {
            return Amounts::default();
        };
        let first = self
            .history
            .partition_point(|(version, _)| *version <= oldest);
        if first == 0 {
            return Amounts::default();
        }
        self.history
            .iter()
            .skip(first - 1)
            .map(|(_, claims)| claims.get(org).copied().unwrap_or_default())
            .reduce(|a, b| a.zip_with(b, f64::min))
            .unwrap_or_default()
    }

    fn merge_oldest(&mut self) {
        let (version, old) = self.history.pop_front().expect("two reports");
        let (_, next) = self.history.front_mut().expect("two reports");
        next.retain(|org, _| old.contains_key(org));
        for (org, claim) in next.iter_mut() {
            *claim = claim.zip_with(old[org], f64::min);
        }
        self.history.front_mut().expect("two reports").0 = version;
    }
}

fn limits(quota: &Quota) -> Amounts {
    Amounts {
        requests: quota.rate.unwrap_or(0.0),
        concurrent: quota.concurrent.map_or(0.0, f64::from),
        #[expect(clippy::cast_precision_loss, reason = "limits are far below 2^53")]
        tokens: quota.tokens.unwrap_or(0) as f64,
    }
}

/// Returns the number of nodes, given the number of peers of this node.
fn node_count(peers: usize) -> f64 {
    f64::from(u32::try_from(peers).unwrap_or(u32::MAX)) + 1.0
}
