//! Quota state of one organisation on one node.

use cumin_types::{Millis, TokenCount};

use crate::quota::Bucket;
use crate::{Amounts, Ask, Grant, Quota, Resource};

/// State of one organisation on this node.
#[derive(Debug)]
pub(crate) struct Org {
    /// `None` once the document no longer names it.
    pub quota: Option<Quota>,
    pub grant: Grant,
    requests: Bucket,
    tokens: Bucket,
    /// Requests queued or running.
    pub active: u32,
    /// Since the last report: requests and tokens asked for, most requests at once.
    seen: Amounts,
    /// Smoothed demand.
    pub demand: Amounts,
}

impl Org {
    /// Makes the state of an organisation without any grant yet.
    pub fn new(quota: Quota, now: Millis) -> Self {
        Self {
            quota: Some(quota),
            grant: Grant::default(),
            requests: Bucket::new(0.0, f64::INFINITY, now),
            tokens: Bucket::new(0.0, f64::INFINITY, now),
            active: 0,
            seen: Amounts::default(),
            demand: Amounts::default(),
        }
    }

    /// Counts a request that was asked for, run or not.
    pub fn count(&mut self, ask: &Ask) {
        self.seen.requests += 1.0;
        self.seen.tokens += units(ask.tokens);
        let at_once = f64::from(self.active) + 1.0;
        self.seen.concurrent = self.seen.concurrent.max(at_once);
    }

    /// Returns the quota that does not allow the request, and when it may.
    pub fn short(&mut self, ask: &Ask, now: Millis) -> Option<(Resource, Millis)> {
        let at_once = self
            .grant
            .concurrent
            .is_some_and(|share| f64::from(self.active) >= share.floor().max(1.0));
        // A slot becomes free after a part of one request's duration.
        let slot = Millis(ask.estimate.0 / u64::from(self.active.max(1))).max(Millis(1));
        let waits = [
            (Resource::Concurrent, if at_once { slot } else { Millis(0) }),
            (
                Resource::Requests,
                self.grant
                    .requests
                    .map_or(Millis(0), |_| self.requests.wait(1.0, now)),
            ),
            (
                Resource::Tokens,
                self.grant
                    .tokens
                    .map_or(Millis(0), |_| self.tokens.wait(units(ask.tokens), now)),
            ),
        ];
        waits
            .into_iter()
            .max_by_key(|(_, wait)| *wait)
            .filter(|(_, wait)| *wait > Millis(0))
    }

    pub fn take(&mut self, ask: &Ask, now: Millis) {
        self.active += 1;
        if self.grant.requests.is_some() {
            self.requests.take(1.0, now);
        }
        if self.grant.tokens.is_some() {
            self.tokens.take(units(ask.tokens), now);
        }
    }

    /// Ends one request and corrects its estimate.
    pub fn give(&mut self, estimate: TokenCount, used: TokenCount, now: Millis) {
        self.active = self.active.saturating_sub(1);
        if self.grant.tokens.is_some() {
            self.tokens.take(units(used) - units(estimate), now);
        }
    }

    pub fn set(&mut self, grant: Grant, burst: Millis, token_burst: Millis, now: Millis) {
        if let Some(rate) = grant.requests {
            let depth = (rate * units(TokenCount(burst.0)) / 1000.0).max(1.0);
            refit(
                &mut self.requests,
                self.grant.requests.is_some(),
                rate,
                depth,
                now,
            );
        }
        if let Some(minute) = grant.tokens {
            let rate = minute / 60.0;
            let depth = (rate * units(TokenCount(token_burst.0)) / 1000.0).max(1.0);
            refit(
                &mut self.tokens,
                self.grant.tokens.is_some(),
                rate,
                depth,
                now,
            );
        }
        self.grant = grant;
    }

    pub fn smooth(&mut self, passed: f64, keep: f64) {
        let mix = |old: f64, new: f64| old * keep + new * (1.0 - keep);
        let seen = std::mem::take(&mut self.seen);
        self.demand = Amounts {
            requests: mix(self.demand.requests, seen.requests * 1000.0 / passed),
            concurrent: mix(
                self.demand.concurrent,
                seen.concurrent.max(f64::from(self.active)),
            ),
            tokens: mix(self.demand.tokens, seen.tokens * 60_000.0 / passed),
        };
    }
}

/// Changes a bucket, or makes a full one where there was no limit.
fn refit(bucket: &mut Bucket, limited: bool, rate: f64, depth: f64, now: Millis) {
    if limited {
        bucket.set(rate, depth, now);
    } else {
        *bucket = Bucket::new(rate, depth, now);
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
fn units(count: TokenCount) -> f64 {
    count.0 as f64
}
