//! Quotas of organisations, enforced jointly by all nodes.
//!
//! Load patterns: an organisation within its quota that sends few large requests, so that an equal
//! share of the quota at each node is smaller than one request; and an organisation that sends
//! several times its quota through all nodes at once.
//!
//! Every node states in its digests the units that it has taken since its start, so each node knows
//! the level of the whole quota except for what peers took since their last digest. Requests draw
//! on that shared level while it is above a reserve for the unknown part, and otherwise on a small
//! share that belongs to the node alone. The shared level is refilled only in proportion to the
//! nodes that are heard, so that the refills on both sides of a network partition add up to the
//! quota. A node starts with an empty level, so that a burst is not handed out twice.
//!
//! Load pattern: an organisation that asks for all of its quota and more. What the reserve holds
//! back is then refused although it lies within the quota, so the levels are raised by a part of
//! what the operator tolerates beyond the quota; the rest covers what nodes take unheard.

use std::collections::BTreeMap;

use cumin_admit::TokenBucket;
use cumin_types::{Incarnation, Millis, NodeName, Organisation};
use serde::{Deserialize, Serialize};

use crate::document::{OrgSpec, Unit};
use crate::peer::LIVE_TIMEOUT;

/// Fraction of a quota that is divided equally among the nodes and used without coordination.
const OWN_SHARE: f64 = 0.5;

/// Reserve, in digest intervals: what peers take is known after one interval, and one digest may be
/// lost.
const RESERVE_INTERVALS: f64 = 2.0;

/// Digest interval assumed until the actual one is set: the maximum.
const MAX_DIGEST_INTERVAL: Millis = Millis(250);

/// Minimum number of nodes assumed, so that a node that starts alone does not hand out the whole
/// quota.
const MIN_NODES: u32 = 2;

/// Fraction of the tolerance that is handed out.
const USED_TOLERANCE: f64 = 0.5;

/// Units beyond a quota that the operator tolerates in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Fraction of rate and burst.
    pub overage: f64,
    /// Units in addition.
    pub slack: f64,
}

/// Units that a node has taken since its start, by organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TakenUnits(pub BTreeMap<Organisation, f64>);

#[derive(Debug)]
struct Account {
    /// Level of the whole quota, as far as this node knows.
    shared: TokenBucket,
    /// This node's own share.
    own: TokenBucket,
    rate: f64,
    burst: f64,
}

/// Outcome of taking units from a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request is within the quota; its units were taken.
    Within,
    /// The request exceeds the quota.
    Over {
        /// Time until the quota has room for the request.
        retry_after: Millis,
        /// Fraction of the quota that is refilled at this node.
        heard_share: f64,
        /// Units of the request.
        units: f64,
        /// Units left of the whole quota, as far as this node knows.
        level: f64,
        /// Rate of the quota.
        rate: f64,
    },
}

/// Quotas as enforced by one node.
#[derive(Debug)]
pub struct Quotas {
    accounts: BTreeMap<Organisation, Account>,
    taken: TakenUnits,
    /// What peers stated last, and when.
    peers: BTreeMap<NodeName, (Incarnation, TakenUnits, Millis)>,
    /// Nodes that share the quotas, including this one.
    nodes: u32,
    /// How many of them are heard, including this one.
    heard: u32,
    /// Time between digests.
    digest_interval: Millis,
    tolerance: Tolerance,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            taken: TakenUnits::default(),
            peers: BTreeMap::new(),
            nodes: MIN_NODES,
            heard: 1,
            digest_interval: MAX_DIGEST_INTERVAL,
            tolerance: Tolerance::default(),
        }
    }
}

impl Quotas {
    /// Replaces the organisations by those of a new document, keeping current levels.
    pub fn set_organisations(&mut self, orgs: &[OrgSpec], now: Millis) {
        let mut old = std::mem::take(&mut self.accounts);
        for org in orgs {
            let Some(rate) = org.rate else { continue };
            let (shared, own) = match old.remove(&org.name) {
                Some(account) => (account.shared, account.own),
                None => (
                    TokenBucket::new(0.0, 0.0, now),
                    TokenBucket::new(0.0, 0.0, now),
                ),
            };
            let account = Account {
                shared,
                own,
                rate,
                burst: org.burst,
            };
            self.accounts.insert(org.name.clone(), account);
        }
        self.update_buckets(now);
    }

    /// Sets what the operator tolerates beyond the quotas.
    pub fn set_tolerance(&mut self, tolerance: Tolerance, now: Millis) {
        if tolerance != self.tolerance {
            self.tolerance = tolerance;
            self.update_buckets(now);
        }
    }

    /// Takes the units of a request if they are within the quota.
    ///
    /// `tokens` are the prompt tokens and the maximum output tokens that the request states.
    pub fn take(&mut self, org: &OrgSpec, tokens: Option<(u64, u64)>, now: Millis) -> Verdict {
        let heard_share = self.heard_share();
        let Some(account) = self.accounts.get_mut(&org.name) else {
            return Verdict::Within;
        };
        let units = units(org.unit, tokens);
        let span = self.digest_interval.duration().as_secs_f64() * RESERVE_INTERVALS;
        let reserve = (account.rate * span).min(account.burst / 2.0);
        let shared_wait = account
            .shared
            .wait_time(units.min(account.burst / 2.0) + reserve, now);
        let own_wait = account.own.wait_time(units, now);
        if shared_wait > Millis(0) && own_wait > Millis(0) {
            let retry_after = shared_wait.min(own_wait);
            return Verdict::Over {
                retry_after,
                heard_share,
                units,
                level: account.shared.level(now),
                rate: account.rate,
            };
        }
        if shared_wait > Millis(0) {
            account.own.take(units, now);
        }
        account.shared.take(units, now);
        *self.taken.0.entry(org.name.clone()).or_default() += units;
        Verdict::Within
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, org: &OrgSpec, tokens: Option<(u64, u64)>, now: Millis) {
        if let Some(account) = self.accounts.get_mut(&org.name) {
            let units = units(org.unit, tokens);
            account.shared.take(-units, now);
            *self.taken.0.entry(org.name.clone()).or_default() -= units;
        }
    }

    /// Returns the units that this node has taken since its start.
    #[must_use]
    pub const fn taken(&self) -> &TakenUnits {
        &self.taken
    }

    /// Merges the units that a peer states. Merging twice or late is harmless.
    pub fn merge_peer(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        taken: &TakenUnits,
        now: Millis,
    ) {
        let old = self
            .peers
            .get(node)
            .filter(|(known, ..)| *known == incarnation);
        let was_absent = old.is_some_and(|(.., heard)| now.since(*heard) >= LIVE_TIMEOUT.0);
        for (org, units) in &taken.0 {
            let before = old.and_then(|(_, old, _)| old.0.get(org)).copied();
            // Levels start empty, so units that a peer took before this node first heard of it are
            // not deducted.
            let more = before.map_or(0.0, |before| units - before);
            if let Some(account) = self.accounts.get_mut(org) {
                // While the peer was not heard, this node refilled only its part of the quota, so
                // what the peer took of its own part is no debt.
                let room = (account.shared.level(now) + account.burst).max(0.0);
                let more = if was_absent { more.min(room) } else { more };
                account.shared.take(more, now);
            }
        }
        self.peers
            .insert(node.clone(), (incarnation, taken.clone(), now));
    }

    /// Sets the number of nodes that share the quotas, how many of them are heard, both including
    /// this one, and the time between their digests.
    pub fn set_nodes(&mut self, nodes: u32, heard: u32, digest_interval: Millis, now: Millis) {
        self.digest_interval = digest_interval;
        let nodes = nodes.max(MIN_NODES);
        if (nodes, heard) != (self.nodes, self.heard) {
            (self.nodes, self.heard) = (nodes, heard.min(nodes));
            self.update_buckets(now);
        }
    }

    fn heard_share(&self) -> f64 {
        f64::from(self.heard) / f64::from(self.nodes)
    }

    fn update_buckets(&mut self, now: Millis) {
        let heard_share = self.heard_share();
        let own_share = OWN_SHARE / f64::from(self.nodes);
        let factor = 1.0 + self.tolerance.overage * USED_TOLERANCE;
        let slack = self.tolerance.slack * USED_TOLERANCE;
        for account in self.accounts.values_mut() {
            let (rate, burst) = (account.rate * factor, account.burst * factor + slack);
            set_rate(&mut account.shared, rate * heard_share, burst, now);
            let own_burst = account.burst * own_share;
            set_rate(&mut account.own, account.rate * own_share, own_burst, now);
        }
    }
}

/// Sets the rate and depth of a bucket without adding units: the level changes only if it exceeds
/// the new depth.
fn set_rate(bucket: &mut TokenBucket, rate: f64, depth: f64, now: Millis) {
    let level = bucket.level(now).min(depth);
    bucket.resize(rate, depth, now);
    let changed = bucket.level(now);
    bucket.take(changed - level, now);
}

/// Returns the number of units that a request counts as.
#[must_use]
pub fn units(unit: Unit, tokens: Option<(u64, u64)>) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^53"
    )]
    match (unit, tokens) {
        (Unit::Requests, _) => 1.0,
        (Unit::Tokens { .. }, Some((prompt, output))) => (prompt + output) as f64,
        (Unit::Tokens { plain }, None) => plain as f64,
    }
}
