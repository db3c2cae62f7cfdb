//! Quota use and demand of one organisation on one node.

use std::collections::VecDeque;

use cumin_types::{Millis, TokenCount};

use crate::quota::TokenBucket;
use crate::{AdmissionRequest, Amounts, Grant, Quota, Resource};

/// Quotas, current use and demand of one organisation on this node.
#[derive(Debug)]
pub(crate) struct OrganisationState {
    /// `None` once the document no longer names the organisation.
    pub quota: Option<Quota>,
    pub grant: Grant,
    request_bucket: TokenBucket,
    token_bucket: TokenBucket,
    /// Number of queued and running requests.
    pub active_requests: u32,
    /// Demand since the last report: requests and tokens submitted, and the peak concurrency.
    observed: Amounts,
    /// Exponentially smoothed demand rates.
    pub smoothed_demand: Amounts,
    /// Requests that wait for a quota, in order of arrival.
    pub waiting: VecDeque<WaitingRequest>,
}

/// A request that waits for a quota of its organisation.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    pub request: AdmissionRequest,
    pub since: Millis,
}

impl OrganisationState {
    /// Creates the state of an organisation that has no grant yet.
    pub fn new(quota: Quota, now: Millis) -> Self {
        Self {
            quota: Some(quota),
            grant: Grant::default(),
            request_bucket: TokenBucket::new(0.0, f64::INFINITY, now),
            token_bucket: TokenBucket::new(0.0, f64::INFINITY, now),
            active_requests: 0,
            observed: Amounts::default(),
            smoothed_demand: Amounts::default(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds a submitted request to the observed demand, whether it is admitted or not.
    pub fn record_demand(&mut self, request: &AdmissionRequest) {
        self.observed.requests += 1.0;
        self.observed.tokens += units(request.estimated_tokens);
        let waiting = self.waiting_work().requests;
        let concurrent = f64::from(self.active_requests) + f64::from(waiting) + 1.0;
        self.observed.concurrent = self.observed.concurrent.max(concurrent);
    }

    /// Returns the quota that the request would exceed for the longest time, and the time until it
    /// would not.
    pub fn exceeded_quota(
        &mut self,
        request: &AdmissionRequest,
        now: Millis,
    ) -> Option<(Resource, Millis)> {
        self.exceeded_behind(Ahead::default(), request, now)
    }

    /// Returns the same for a request that is served after all waiting ones. It never overtakes one
    /// of them.
    pub fn exceeded_at_end(
        &mut self,
        request: &AdmissionRequest,
        now: Millis,
    ) -> Option<(Resource, Millis)> {
        let exceeded = self.exceeded_behind(self.waiting_work(), request, now);
        let overtakes = !self.waiting.is_empty();
        exceeded.or_else(|| overtakes.then_some((Resource::Requests, Millis(1))))
    }

    /// Returns true while a request of the organisation waits, is queued or runs.
    pub fn is_in_use(&self) -> bool {
        self.active_requests > 0 || !self.waiting.is_empty()
    }

    fn waiting_work(&self) -> Ahead {
        Ahead {
            requests: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            tokens: TokenCount(
                self.waiting
                    .iter()
                    .map(|waiting| waiting.request.estimated_tokens.0)
                    .sum(),
            ),
        }
    }

    fn exceeded_behind(
        &mut self,
        ahead: Ahead,
        request: &AdmissionRequest,
        now: Millis,
    ) -> Option<(Resource, Millis)> {
        let active = self.active_requests.saturating_add(ahead.requests);
        let at_limit = self
            .grant
            .concurrent
            .is_some_and(|share| f64::from(active) >= share.floor().max(1.0));
        // With n active requests, one is expected to finish after 1/n of the duration of one.
        let slot_wait = Millis(
            request.estimated_duration.0 * (u64::from(ahead.requests) + 1)
                / u64::from(self.active_requests.max(1)),
        )
        .max(Millis(1));
        let requests = f64::from(ahead.requests);
        let waits = [
            (
                Resource::Concurrent,
                if at_limit { slot_wait } else { Millis(0) },
            ),
            (
                Resource::Requests,
                self.grant.requests.map_or(Millis(0), |_| {
                    self.request_bucket.wait_behind(requests, 1.0, now)
                }),
            ),
            (
                Resource::Tokens,
                self.grant.tokens.map_or(Millis(0), |_| {
                    self.token_bucket.wait_behind(
                        units(ahead.tokens),
                        units(request.estimated_tokens),
                        now,
                    )
                }),
            ),
        ];
        waits
            .into_iter()
            .max_by_key(|(_, wait)| *wait)
            .filter(|(_, wait)| *wait > Millis(0))
    }

    /// Counts an admitted request as active and charges its estimate to the quotas.
    pub fn charge(&mut self, request: &AdmissionRequest, now: Millis) {
        self.active_requests += 1;
        if self.grant.requests.is_some() {
            self.request_bucket.take(1.0, now);
        }
        if self.grant.tokens.is_some() {
            self.token_bucket.take(units(request.estimated_tokens), now);
        }
    }

    /// Ends an active request and charges the difference between its used and charged tokens.
    pub fn settle(&mut self, charged: TokenCount, used: TokenCount, now: Millis) {
        self.active_requests = self.active_requests.saturating_sub(1);
        if self.grant.tokens.is_some() {
            self.token_bucket.take(units(used) - units(charged), now);
        }
    }

    /// Applies a new grant to the buckets.
    pub fn set_grant(
        &mut self,
        grant: Grant,
        request_burst: Millis,
        token_burst: Millis,
        now: Millis,
    ) {
        if let Some(rate) = grant.requests {
            let depth = (rate * units(TokenCount(request_burst.0)) / 1000.0).max(1.0);
            resize_bucket(
                &mut self.request_bucket,
                self.grant.requests.is_some(),
                rate,
                depth,
                now,
            );
        }
        if let Some(per_minute) = grant.tokens {
            let rate = per_minute / 60.0;
            let depth = (rate * units(TokenCount(token_burst.0)) / 1000.0).max(1.0);
            resize_bucket(
                &mut self.token_bucket,
                self.grant.tokens.is_some(),
                rate,
                depth,
                now,
            );
        }
        self.grant = grant;
    }

    /// Merges the observed demand of the last `elapsed_ms` into the smoothed demand.
    pub fn update_demand(&mut self, elapsed_ms: f64, decay: f64) {
        let blend = |old: f64, new: f64| old * decay + new * (1.0 - decay);
        let observed = std::mem::take(&mut self.observed);
        self.smoothed_demand = Amounts {
            requests: blend(
                self.smoothed_demand.requests,
                observed.requests * 1000.0 / elapsed_ms,
            ),
            concurrent: blend(
                self.smoothed_demand.concurrent,
                observed.concurrent.max(f64::from(self.active_requests)),
            ),
            tokens: blend(
                self.smoothed_demand.tokens,
                observed.tokens * 60_000.0 / elapsed_ms,
            ),
        };
    }
}

/// Waiting requests that are served before another one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ahead {
    pub requests: u32,
    pub tokens: TokenCount,
}

/// Resizes a bucket, or replaces it with a full one if there was no limit before.
fn resize_bucket(bucket: &mut TokenBucket, was_limited: bool, rate: f64, depth: f64, now: Millis) {
    if was_limited {
        bucket.resize(rate, depth, now);
    } else {
        *bucket = TokenBucket::new(rate, depth, now);
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
fn units(count: TokenCount) -> f64 {
    count.0 as f64
}
