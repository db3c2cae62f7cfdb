//! Divides a global limit between nodes without coordination.
//!
//! Each node publishes numbered reports with its claim on every limit and, for each live peer,
//! the highest report number that it has received from it. A node's share is a small equal
//! floor plus a part of the remaining pool:
//!
//! ```text
//! share = floor · limit / nodes + (1 − floor) · limit · own / (own + Σ claims of live peers)
//! ```
//!
//! `own` is the lowest claim in all reports from the oldest one that some live peer still acts
//! on up to the newest. A raised claim therefore counts only after every live peer has
//! confirmed it, a lowered claim at once. No peer ever acts on a lower claim of this node than
//! `own`, so every node's denominator is at least the sum of all `own`, and the shares sum to
//! at most the limit however late reports are and however many are lost. No clock is compared.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use cumin_types::{Millis, NodeName, Organisation};
use serde::{Deserialize, Serialize};

use crate::Quota;

/// An amount of each limited resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amounts {
    /// Requests a second.
    pub requests: f64,
    /// Requests at once.
    pub concurrent: f64,
    /// Tokens a minute.
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

/// What a node reports to the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Number of this report; a node's later report has a higher one, also after a restart.
    pub version: u64,
    /// Claims of the node.
    pub orgs: BTreeMap<Organisation, Amounts>,
    /// The last report received from each live node.
    pub heard: BTreeMap<NodeName, u64>,
}

/// Settings of [`Shares`].
#[derive(Clone, Debug, PartialEq)]
pub struct ShareOptions {
    /// Part of each limit that is divided equally; a node that nobody hears has only this.
    pub floor_fraction: f64,
    /// Claim of an idle node, as a part of an equal share.
    pub idle_fraction: f64,
    /// A node that has been live for less does not hold back the others' shares.
    pub join_grace: Millis,
    /// Reports kept to find `own`; older ones are merged.
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

/// This node's share of one organisation's limits; `None` is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Requests a second.
    pub requests: Option<f64>,
    /// Requests at once.
    pub concurrent: Option<f64>,
    /// Tokens a minute.
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
    /// When it became live.
    live_since: Millis,
    /// Whether this node held part of the pool before it became live.
    joined_later: bool,
}

/// One node's view of all claims.
#[derive(Debug)]
pub struct Shares {
    options: ShareOptions,
    own_name: NodeName,
    version: u64,
    /// Own claims by report, oldest first.
    history: VecDeque<(u64, Claims)>,
    reports: BTreeMap<NodeName, (DemandReport, Millis)>,
    live: BTreeMap<NodeName, LivePeer>,
    /// Whether every live peer has confirmed a report of this node.
    confirmed_once: bool,
    /// Whether `rebalance` was ever called.
    rebalanced: bool,
    now: Millis,
}

/// Reports of nodes that are no longer live are kept for this long, so that a node that was
/// dropped by mistake is counted again at once.
const REPORT_RETENTION_MS: u64 = 60_000;

impl Shares {
    /// Makes the state of `node`; its reports are numbered from `first` on.
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

    /// Returns the next report, with at least the idle claim on each limit of `quotas`.
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

    /// Takes the last known reports and the live nodes.
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
        if let Some(oldest) = self.oldest_confirmed() {
            self.confirmed_once = true;
            while self
                .history
                .get(1)
                .is_some_and(|(version, _)| *version <= oldest)
            {
                self.history.pop_front();
            }
        }
    }

    /// Returns this node's share of the limits of `org`.
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

    /// Returns the oldest report of this node that a live peer acts on; `None` when a peer
    /// that matters has confirmed none.
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

    /// Returns the lowest claim that any live peer can hold for this node.
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

/// Number of nodes with `peers` peers.
fn node_count(peers: usize) -> f64 {
    f64::from(u32::try_from(peers).unwrap_or(u32::MAX)) + 1.0
}
