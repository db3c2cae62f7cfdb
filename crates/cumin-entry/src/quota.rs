//! Quotas of organisations over all nodes.
//!
//! Load patterns: an organisation within its quota whose requests are few and large, so that a
//! node's part of the quota is smaller than one request; and one that sends several times its
//! quota through all nodes at once.
//!
//! Every node states in its digests how much it has taken in its life, so each knows the level of
//! the whole quota but for what the others took since their last digest. A request is taken from
//! that level while it is above a reserve that covers the unknown part; below it, from a small
//! part of the quota that is the node's own. Of a quota, only the part of the nodes that are
//! heard refills the level: on two sides of a cut the parts add up to the whole. A node that
//! starts has an empty level, so a burst is not handed out twice.

use std::collections::BTreeMap;

use cumin_admit::TokenBucket;
use cumin_types::{Incarnation, Millis, NodeName, Organisation};
use serde::{Deserialize, Serialize};

use crate::document::{OrgSpec, Unit};

/// Part of a quota that is divided equally and taken without regard to the others.
const OWN_PART: f64 = 0.5;

/// Level kept back, in periods of digests: what peers take is known after one, and one digest
/// may be lost.
const RESERVE_PERIODS: f64 = 2.0;

/// Period assumed before the first is known: the longest.
const LONGEST_PERIOD: Millis = Millis(250);

/// Nodes assumed before any other is known, so that a node that starts alone does not hand out
/// the whole quota.
const FEWEST_NODES: u32 = 2;

/// Units that a node has taken in its life, by organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Taken(pub BTreeMap<Organisation, f64>);

#[derive(Debug)]
struct Account {
    /// The whole quota, as far as it is known here.
    level: TokenBucket,
    /// This node's own part.
    own: TokenBucket,
    rate: f64,
    burst: f64,
}

/// Whether a request is within its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It is, and its units are taken.
    Within,
    /// It is not.
    Over {
        /// Time until there is room for it.
        wait: Millis,
        /// Part of the quota that is refilled here.
        part: f64,
    },
}

/// Quotas at one node.
#[derive(Debug)]
pub struct Quotas {
    accounts: BTreeMap<Organisation, Account>,
    taken: Taken,
    peers: BTreeMap<NodeName, (Incarnation, Taken)>,
    nodes: u32,
    heard: u32,
    /// Time between digests.
    period: Millis,
}

impl Default for Quotas {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            taken: Taken::default(),
            peers: BTreeMap::new(),
            nodes: FEWEST_NODES,
            heard: 1,
            period: LONGEST_PERIOD,
        }
    }
}

impl Quotas {
    /// Takes the organisations of a new document.
    pub fn set(&mut self, orgs: &[OrgSpec], now: Millis) {
        let mut old = std::mem::take(&mut self.accounts);
        for org in orgs {
            let Some(rate) = org.rate else { continue };
            let (level, own) = match old.remove(&org.name) {
                Some(account) => (account.level, account.own),
                None => (
                    TokenBucket::new(0.0, 0.0, now),
                    TokenBucket::new(0.0, 0.0, now),
                ),
            };
            let account = Account {
                level,
                own,
                rate,
                burst: org.burst,
            };
            self.accounts.insert(org.name.clone(), account);
        }
        self.apply(now);
    }

    /// Takes a request's units if they are within the quota.
    pub fn take(&mut self, org: &OrgSpec, tokens: Option<(u64, u64)>, now: Millis) -> Verdict {
        let part = self.part();
        let Some(account) = self.accounts.get_mut(&org.name) else {
            return Verdict::Within;
        };
        let units = units(org.unit, tokens);
        let span = self.period.duration().as_secs_f64() * RESERVE_PERIODS;
        let reserve = (account.rate * span).min(account.burst / 2.0);
        let pooled = account
            .level
            .wait_time(units.min(account.burst / 2.0) + reserve, now);
        let alone = account.own.wait_time(units, now);
        if pooled > Millis(0) && alone > Millis(0) {
            let wait = pooled.min(alone);
            return Verdict::Over { wait, part };
        }
        if pooled > Millis(0) {
            account.own.take(units, now);
        }
        account.level.take(units, now);
        *self.taken.0.entry(org.name.clone()).or_default() += units;
        Verdict::Within
    }

    /// Gives back the units of a request that did not run.
    pub fn give_back(&mut self, org: &OrgSpec, tokens: Option<(u64, u64)>, now: Millis) {
        if let Some(account) = self.accounts.get_mut(&org.name) {
            let units = units(org.unit, tokens);
            account.level.take(-units, now);
            *self.taken.0.entry(org.name.clone()).or_default() -= units;
        }
    }

    /// Returns what this node has taken.
    #[must_use]
    pub const fn taken(&self) -> &Taken {
        &self.taken
    }

    /// Takes what a peer states; taking it twice or late is harmless.
    pub fn peer(&mut self, node: &NodeName, life: Incarnation, taken: &Taken, now: Millis) {
        let old = self.peers.get(node).filter(|(at, _)| *at == life);
        for (org, units) in &taken.0 {
            let before = old.and_then(|(_, old)| old.0.get(org)).copied();
            // What a peer took before this node first heard of it is in no level here: a level
            // starts empty.
            let more = before.map_or(0.0, |before| units - before);
            if let Some(account) = self.accounts.get_mut(org) {
                account.level.take(more, now);
            }
        }
        self.peers.insert(node.clone(), (life, taken.clone()));
    }

    /// Takes how many nodes share the quotas and how many of them are heard, with this one, and
    /// the time between their digests.
    pub fn share(&mut self, nodes: u32, heard: u32, period: Millis, now: Millis) {
        self.period = period;
        let nodes = nodes.max(FEWEST_NODES);
        if (nodes, heard) != (self.nodes, self.heard) {
            (self.nodes, self.heard) = (nodes, heard.min(nodes));
            self.apply(now);
        }
    }

    fn part(&self) -> f64 {
        f64::from(self.heard) / f64::from(self.nodes)
    }

    fn apply(&mut self, now: Millis) {
        let part = self.part();
        let own = OWN_PART / f64::from(self.nodes);
        for account in self.accounts.values_mut() {
            let (rate, burst) = (account.rate, account.burst);
            refill(&mut account.level, rate * part, burst, now);
            refill(&mut account.own, rate * own, burst * own, now);
        }
    }
}

/// Changes rate and depth, and leaves the level where it is: units are not made by a change.
fn refill(bucket: &mut TokenBucket, rate: f64, depth: f64, now: Millis) {
    let level = bucket.level(now).min(depth);
    bucket.resize(rate, depth, now);
    let changed = bucket.level(now);
    bucket.take(changed - level, now);
}

/// Returns the units that a request counts as.
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
