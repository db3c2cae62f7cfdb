//! Request rates that endpoints state as the most they take from all nodes together, and times for
//! which they want nothing from this node.
//!
//! [`RateLimits::blocked`] answers for both which endpoints may get a request now, and when the
//! others may.
//!
//! Every node states in its digests what it heard from endpoints, the requests that it sent to
//! those with a limit, and the requests that it wanted to send. Each rule handles a load pattern:
//!
//! * An endpoint with a limit that gets requests through all nodes at once: a node deducts its own
//!   requests and those that peers state from a shared level, which is refilled at the stated rate.
//!   In a network partition each side refills its part.
//! * Few requests from many nodes, so that an equal share of the rate is much less than one request:
//!   a node may use the shared level, except for what peers may have sent since their last digest.
//! * Many requests from many nodes, of which most would use the shared level at the same time:
//!   each node keeps a share of the rate, which grows only while the shared level is used up. The
//!   shares start at different levels, so that they do not become due together.
//! * An endpoint whose limit is close to zero: it still gets a request now and then, since only its
//!   answers tell that the limit has ended.
//! * Many requests that wait for the time of an endpoint that wanted nothing: a few of them try
//!   first, and the rest follows when one is answered.

use std::collections::BTreeMap;

use cumin_retry::Wait;
use cumin_types::{EndpointName, Incarnation, Millis, NodeName, score};
use serde::{Deserialize, Serialize};

use crate::fleet::{Endpoint, Fleet};

/// Minimum rate in requests a second at which answers are asked for.
const MIN_RATE: f64 = 0.25;

/// Requests that an endpoint may get at once, in addition to those of [`BURST_SECONDS`].
const BURST_REQUESTS: f64 = 2.0;

/// Time in seconds in which a burst is what the endpoint's rate allows.
const BURST_SECONDS: f64 = 0.5;

/// Time after which what peers sent is known, in digest intervals: one digest may be lost.
const UNKNOWN_INTERVALS: f64 = 2.0;

/// Time constant of the mean rate of wanted requests, in milliseconds.
const WANTED_SPAN_MS: f64 = 1000.0;

/// Time for which what a peer wants counts.
const WANTED_TTL: Millis = Millis(1500);

/// Age at which a statement no longer counts, and time for which the end of a limit is stated.
const STATEMENT_TTL: Millis = Millis(10_000);

/// Time for which what an endpoint without a registration wanted is kept. An outage of the store
/// hides live endpoints for minutes.
const WAIT_KEEP_TIME: Millis = Millis(600_000);

/// What a node states of an endpoint with a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedLimit {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Start of its incarnation.
    pub started_ms: u64,
    /// Limit in the last answer that the node got, in requests a second.
    pub rate: Option<f64>,
    /// Age of that answer; `None` if the node got none.
    pub age: Option<Millis>,
    /// Requests that the node sent to the endpoint since it knows of the limit.
    pub sent: u64,
    /// Requests a second that the node wanted to send.
    pub wanted: f32,
}

/// What an answer to this node states.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerLimit {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Start of its incarnation.
    pub started_ms: u64,
    /// Limit in requests a second, if it states one.
    pub rate: Option<f64>,
    /// Time at which the request was sent.
    pub sent: Millis,
}

/// Endpoints that may get no request at present because of their limits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blocked {
    /// The endpoints.
    pub endpoints: Vec<EndpointName>,
    /// Time until the first of them may get one.
    pub wait: Millis,
    /// How many of them want nothing for a time.
    pub waiting: usize,
}

/// A limit that was stated or has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The limit in requests a second; `None` if it has ended.
    pub rate: Option<f64>,
    /// Requests that this node sent to the endpoint since it knows of a limit.
    pub sent: u64,
}

/// Exponentially decayed mean rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct MeanRate {
    per_second: f64,
    updated: Millis,
}

impl MeanRate {
    fn add(&mut self, now: Millis) {
        self.per_second = self.at(now) + 1000.0 / WANTED_SPAN_MS;
        self.updated = now;
    }

    fn at(&self, now: Millis) -> f64 {
        let elapsed_ms = seconds(now.since(self.updated)) * 1000.0;
        self.per_second * (-elapsed_ms / WANTED_SPAN_MS).exp()
    }
}

/// Last statement of a peer on an endpoint.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    incarnation: Incarnation,
    sent: u64,
    wanted: f64,
    heard: Millis,
}

/// What is known of an endpoint that states or stated a limit.
#[derive(Debug)]
struct Account {
    started_ms: u64,
    /// Limit in the newest answer that any node got.
    rate: Option<f64>,
    /// Time of that answer.
    heard: Millis,
    /// Limit in the newest answer that this node got, and its time.
    own: Option<(Option<f64>, Millis)>,
    /// Requests that this node sent to the endpoint while it had a limit.
    sent: u64,
    /// Time for which it wants nothing, until a later request is answered.
    pause: Option<Wait>,
    /// Requests that this node wanted to send.
    wanted: MeanRate,
    peers: BTreeMap<NodeName, PeerUse>,
    /// Requests that all nodes together may send at once; negative if they sent too many.
    level: f64,
    /// Requests that this node may send whether or not the level suffices.
    own_level: f64,
    refilled: Millis,
}

/// How this node shares the limits with others.
#[derive(Clone, Debug, PartialEq)]
struct Sharing {
    nodes: f64,
    /// How many of the nodes are heard, including this one.
    heard: f64,
    /// Time between digests, in seconds.
    interval: f64,
}

impl Account {
    fn new(started_ms: u64, own_level: f64, now: Millis) -> Self {
        Self {
            started_ms,
            rate: None,
            heard: Millis(0),
            own: None,
            sent: 0,
            pause: None,
            wanted: MeanRate::default(),
            peers: BTreeMap::new(),
            level: 0.0,
            own_level,
            refilled: now,
        }
    }

    /// Raises the levels by what the limit allows since they were last raised.
    fn refill(&mut self, sharing: &Sharing, now: Millis) {
        let Some(rate) = self.rate.map(|rate| rate.max(MIN_RATE)) else {
            return;
        };
        let elapsed = seconds(now.since(self.refilled));
        self.refilled = self.refilled.max(now);
        let per_second = rate * sharing.heard / sharing.nodes;
        // This node's share grows only while it can't use the level of all nodes.
        let needed = self.needed(sharing, now);
        let short = if needed > burst(rate) {
            elapsed
        } else {
            ((needed - self.level) / per_second).clamp(0.0, elapsed)
        };
        let share = self.share(now);
        self.own_level = (self.own_level + short * per_second * share).min(1.0);
        // Each node may have sent one request of its share and a burst. A debt beyond that is from
        // a higher limit, and would stop all requests for minutes at a much lower one.
        let level = self.level.max(-burst(rate) - sharing.nodes);
        self.level = (level + elapsed * per_second).min(burst(rate));
    }

    /// Returns the requests a second that peers want to send.
    fn wanted_by_peers(&self, now: Millis) -> f64 {
        let fresh = |peer: &&PeerUse| now.since(peer.heard) < WANTED_TTL.0;
        self.peers.values().filter(fresh).map(|p| p.wanted).sum()
    }

    /// Returns the fraction of the wanted requests that are this node's.
    fn share(&self, now: Millis) -> f64 {
        let own = self.wanted.at(now);
        if own > 0.0 {
            own / (own + self.wanted_by_peers(now))
        } else {
            0.0
        }
    }

    /// Returns the level from which a request may be sent: one request and those that peers may
    /// have sent since their last digests.
    fn needed(&self, sharing: &Sharing, now: Millis) -> f64 {
        1.0 + self.wanted_by_peers(now) * sharing.interval * UNKNOWN_INTERVALS
    }

    /// Returns the time until this node may send a request; zero if it may now.
    fn wait(&mut self, sharing: &Sharing, now: Millis) -> Millis {
        let Some(rate) = self.rate.map(|rate| rate.max(MIN_RATE)) else {
            return Millis(0);
        };
        self.refill(sharing, now);
        let per_second = rate * sharing.heard / sharing.nodes;
        let own = refill_seconds(1.0 - self.own_level, per_second * self.share(now))
            .max(refill_seconds(-self.level, per_second));
        let needed = self.needed(sharing, now);
        let shared = if needed <= burst(rate) {
            refill_seconds(needed - self.level, per_second)
        } else {
            f64::INFINITY
        };
        millis(own.min(shared))
    }

    fn take(&mut self, sharing: &Sharing, now: Millis) {
        self.refill(sharing, now);
        if self.own_level >= 1.0 {
            self.own_level -= 1.0;
        }
        self.level -= 1.0;
        self.sent += 1;
    }
}

/// Limits of endpoints, as kept by one of the nodes that share them.
#[derive(Debug)]
pub struct RateLimits {
    accounts: BTreeMap<EndpointName, Account>,
    sharing: Sharing,
    /// Name of this node, which determines the level at which its shares start.
    node: NodeName,
}

impl RateLimits {
    /// Creates the limits of a node that knows of no others.
    #[must_use]
    pub fn new(node: NodeName) -> Self {
        Self {
            accounts: BTreeMap::new(),
            sharing: Sharing {
                nodes: 1.0,
                heard: 1.0,
                interval: 0.0,
            },
            node,
        }
    }

    /// Sets the number of nodes that share the limits, how many of them are heard, both including
    /// this one, and the time between their digests.
    pub fn set_nodes(&mut self, nodes: u32, heard: u32, digest_interval: Millis, now: Millis) {
        let nodes = nodes.max(1);
        for account in self.accounts.values_mut() {
            account.refill(&self.sharing, now);
        }
        self.sharing = Sharing {
            nodes: f64::from(nodes),
            heard: f64::from(heard.clamp(1, nodes)),
            interval: seconds(digest_interval.0),
        };
    }

    /// Records the limit that an answer states, or that it states none. Returns what changed.
    ///
    /// Answers may overtake each other, so a limit ends only with the answer to a request that was
    /// sent after the limit was last stated.
    pub fn answer_heard(&mut self, stated: &AnswerLimit, now: Millis) -> Option<LimitChange> {
        let AnswerLimit { endpoint, rate, .. } = stated;
        let rate = *rate;
        if rate.is_none() && !self.accounts.contains_key(endpoint) {
            return None;
        }
        let account = self.account(endpoint, stated.started_ms, now)?;
        if rate.is_none() && account.rate.is_some() && stated.sent < account.heard {
            return None;
        }
        account.own = Some((rate, now));
        self.set_rate(endpoint, rate, now, now)
    }

    /// Records that an endpoint wants nothing from this node until `until`.
    ///
    /// Returns whether that is later than was known.
    pub fn wait_stated(
        &mut self,
        endpoint: &EndpointName,
        started_ms: u64,
        until: Millis,
        now: Millis,
    ) -> bool {
        let Some(account) = self.account(endpoint, started_ms, now) else {
            return false;
        };
        if account.pause.is_some_and(|known| known.until >= until) {
            return false;
        }
        account.pause = Some(Wait::new(until, now));
        true
    }

    /// Records an answer that asks for no wait, to a request sent at `sent`.
    ///
    /// A wait is over when a request that was sent after its end is answered. Answers to earlier
    /// ones, which were on their way, say nothing.
    pub fn wait_ended(&mut self, endpoint: &EndpointName, started_ms: u64, sent: Millis) {
        if let Some(account) = self.accounts.get_mut(endpoint)
            && account.started_ms == started_ms
        {
            account.pause = account.pause.filter(|known| !known.is_ended_by(sent));
        }
    }

    /// Returns the time until one of the endpoints may get a request, if all of them want nothing.
    pub fn all_waiting<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now: Millis,
    ) -> Option<Millis> {
        let mut soonest = None;
        for endpoint in endpoints {
            let account = self.accounts.get(&endpoint.name);
            let account = account.filter(|known| known.started_ms == endpoint.started_ms)?;
            let left = account.pause?.left(now);
            if left == Millis(0) {
                return None;
            }
            soonest = Some(soonest.map_or(left, |known: Millis| known.min(left)));
        }
        soonest
    }

    /// Merges what a peer states. Merging twice or late is harmless. Returns what changed.
    pub fn merge_peer(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        stated: &[StatedLimit],
        now: Millis,
    ) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for item in stated {
            let age = item.age.filter(|age| *age < STATEMENT_TTL);
            let known = self.accounts.contains_key(&item.endpoint);
            if !known && (age.is_none() || item.rate.is_none()) {
                continue;
            }
            let Some(account) = self.account(&item.endpoint, item.started_ms, now) else {
                continue;
            };
            let peer = PeerUse {
                incarnation,
                sent: item.sent,
                wanted: f64::from(item.wanted),
                heard: now,
            };
            let old = account.peers.insert(node.clone(), peer);
            // Requests that a peer sent before this node first heard of it are not deducted, since
            // the level starts empty.
            let old = old.filter(|old| old.incarnation == incarnation);
            account.level -= old.map_or(0.0, |old| number(item.sent.saturating_sub(old.sent)));
            if let Some(age) = age {
                let heard = Millis(now.since(age));
                changes.extend(self.set_rate(&item.endpoint, item.rate, heard, now));
            }
        }
        changes
    }

    /// Returns the account of an endpoint's incarnation; `None` if a later one is known.
    fn account(
        &mut self,
        endpoint: &EndpointName,
        started_ms: u64,
        now: Millis,
    ) -> Option<&mut Account> {
        let phase = score(endpoint.as_str().as_bytes(), self.node.as_str());
        let new = || Account::new(started_ms, unit(phase), now);
        let account = self.accounts.entry(endpoint.clone()).or_insert_with(new);
        if account.started_ms < started_ms {
            *account = new();
        }
        (account.started_ms == started_ms).then_some(account)
    }

    /// Sets the limit that an answer at the time `heard` stated, unless a later one is known.
    fn set_rate(
        &mut self,
        endpoint: &EndpointName,
        rate: Option<f64>,
        heard: Millis,
        now: Millis,
    ) -> Option<LimitChange> {
        let account = self.accounts.get_mut(endpoint)?;
        if heard < account.heard {
            return None;
        }
        account.heard = heard;
        if account.rate == rate {
            return None;
        }
        account.refill(&self.sharing, now);
        if account.rate.is_none() {
            account.level = 0.0;
            account.refilled = now;
        }
        account.rate = rate;
        Some(LimitChange {
            endpoint: endpoint.clone(),
            rate,
            sent: account.sent,
        })
    }

    /// Returns those of the endpoints that may get no request at present, and counts the request
    /// as one that each endpoint with a limit would have got.
    pub fn blocked<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now: Millis,
    ) -> Blocked {
        let mut blocked = Blocked::default();
        if self.accounts.is_empty() {
            return blocked;
        }
        for endpoint in endpoints {
            let account = self.accounts.get_mut(&endpoint.name);
            let Some(account) = account.filter(|known| known.started_ms == endpoint.started_ms)
            else {
                continue;
            };
            let pause = account.pause.map_or(Millis(0), |pause| pause.left(now));
            if account.rate.is_some() {
                account.refill(&self.sharing, now);
                account.wanted.add(now);
            }
            let wait = account.wait(&self.sharing, now).max(pause);
            blocked.waiting += usize::from(pause > Millis(0));
            if wait > Millis(0) {
                let first = blocked.endpoints.is_empty();
                blocked.wait = if first { wait } else { blocked.wait.min(wait) };
                blocked.endpoints.push(endpoint.name.clone());
            }
        }
        blocked
    }

    /// Returns the fraction of the wanted requests that each of the endpoints with a limit takes.
    ///
    /// The endpoints must be those of one service, whose requests each of them could have got.
    pub fn taken_shares<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now: Millis,
    ) -> Vec<f64> {
        let share = |endpoint: &Endpoint| {
            let account = self.accounts.get(&endpoint.name)?;
            let rate = account.rate?;
            let wanted = account.wanted.at(now) + account.wanted_by_peers(now);
            let share = if wanted > rate { rate / wanted } else { 1.0 };
            (account.started_ms == endpoint.started_ms).then_some(share)
        };
        endpoints.filter_map(share).collect()
    }

    /// Counts a request that is about to be sent.
    pub fn request_sent(&mut self, endpoint: &EndpointName, now: Millis) {
        let Some(account) = self.accounts.get_mut(endpoint) else {
            return;
        };
        if let Some(pause) = &mut account.pause {
            pause.take(now);
        }
        if account.rate.is_some() {
            account.take(&self.sharing, now);
        }
    }

    /// Returns what this node states to its peers.
    #[must_use]
    pub fn stated(&self, now: Millis) -> Vec<StatedLimit> {
        let is_news = |account: &Account| {
            account.rate.is_some() || now.since(account.heard) < STATEMENT_TTL.0
        };
        let accounts = self.accounts.iter().filter(|(_, account)| is_news(account));
        #[expect(clippy::cast_possible_truncation, reason = "digests carry few digits")]
        let stated = accounts.map(|(endpoint, account)| StatedLimit {
            endpoint: endpoint.clone(),
            started_ms: account.started_ms,
            rate: account.own.and_then(|(rate, _)| rate),
            age: account.own.map(|(_, heard)| Millis(now.since(heard))),
            sent: account.sent,
            wanted: account.wanted.at(now) as f32,
        });
        stated.collect()
    }

    /// Returns the number of endpoints that state a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let limited = self.accounts.values().filter(|known| known.rate.is_some());
        limited.count()
    }

    /// Returns the number of endpoints that want nothing from this node.
    #[must_use]
    pub fn waiting(&self, now: Millis) -> usize {
        let paused = |account: &&Account| account.pause.is_some_and(|p| p.left(now) > Millis(0));
        self.accounts.values().filter(paused).count()
    }

    /// Removes endpoints that are not registered or whose limits have ended, once peers know that.
    pub fn trim(&mut self, fleet: &Fleet, now: Millis) {
        self.accounts.retain(|name, account| {
            let registered = fleet.get(name).is_some();
            let pause = account.pause.filter(|pause| {
                now < pause.until && (registered || now.since(pause.heard) < WAIT_KEEP_TIME.0)
            });
            let kept = account.rate.is_some() && registered;
            kept || pause.is_some() || now.since(account.heard) < 2 * STATEMENT_TTL.0
        });
    }
}

/// Returns the number of requests that an endpoint may get at once.
fn burst(rate: f64) -> f64 {
    BURST_REQUESTS + rate * BURST_SECONDS
}

/// Returns the time in seconds until a level has risen by what is missing.
fn refill_seconds(missing: f64, per_second: f64) -> f64 {
    if missing > 0.0 {
        missing / per_second
    } else {
        0.0
    }
}

fn seconds(millis: u64) -> f64 {
    Millis(millis).duration().as_secs_f64()
}

fn millis(seconds: f64) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast from float saturates"
    )]
    Millis((seconds * 1000.0).ceil() as u64)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
fn number(count: u64) -> f64 {
    count as f64
}

/// Converts a hash to a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}
