//! Retry budget, exponential back-off and hedging for the attempts of one service.

use std::fmt;

use cumin_types::{EndpointName, Millis, RequestId, Service};
use derive_more::Display;
use rand::Rng;

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection was refused, so nothing was sent.
    #[display("refused")]
    Refused,
    /// The endpoint answered that it did not start the attempt.
    #[display("not_started")]
    NotStarted,
    /// The connection broke, or the endpoint died, after the first byte was sent.
    #[display("broken")]
    Broken,
    /// No frame arrived within the stall timeout.
    #[display("stalled")]
    Stalled,
    /// The endpoint answered with this HTTP status.
    #[display("status_{_0}")]
    Status(u16),
    /// The attempt continues at another endpoint, without cost to the retry budget, because this
    /// one no longer takes load, as when it leaves on notice.
    #[display("moved")]
    Moved,
}

impl Fault {
    /// Returns whether the endpoint cannot have run any part of the attempt.
    #[must_use]
    pub const fn nothing_ran(self) -> bool {
        matches!(self, Self::Refused | Self::NotStarted)
    }
}

/// A failed attempt, for which [`RetryPolicy::decide`] decides on a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// ID of the request.
    pub request: RequestId,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Cause of the failure.
    pub fault: Fault,
    /// Endpoint at which the attempt failed.
    pub endpoint: EndpointName,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// Endpoints tried so far, including that of this attempt.
    pub tried: Vec<EndpointName>,
    /// Endpoints that may be used now.
    pub candidates: Vec<EndpointName>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Estimated duration of a new attempt.
    pub estimated_duration: Millis,
}

/// Reason why no further attempt is made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum GiveUpReason {
    /// The call may have taken effect and must not run twice.
    #[display("not_idempotent")]
    NotIdempotent,
    /// A new attempt cannot complete before the deadline.
    #[display("deadline")]
    Deadline,
    /// The retry budget does not cover a further attempt in time for the deadline.
    #[display("budget")]
    Budget,
    /// No endpoint is available.
    #[display("no_endpoint")]
    NoEndpoint,
}

/// Whether a failed attempt is retried.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryDecision {
    /// Make another attempt.
    Retry {
        /// ID of the request.
        request: RequestId,
        /// Cause of the last failure.
        fault: Fault,
        /// Time to wait before the next attempt.
        delay: Millis,
        /// Endpoints that the next attempt must not use.
        exclude: Vec<EndpointName>,
        /// Number of the next attempt; the first attempt is 1.
        attempt: u32,
        /// Retries left in the budget; negative when future budget is already reserved.
        budget: f64,
    },
    /// Make no further attempt.
    GiveUp {
        /// ID of the request.
        request: RequestId,
        /// Cause of the last failure.
        fault: Fault,
        /// Reason of the decision.
        reason: GiveUpReason,
        /// Number of attempts made.
        attempts: u32,
        /// Retries left in the budget; negative when future budget is already reserved.
        budget: f64,
    },
}

impl fmt::Display for RetryDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Retry {
                request,
                fault,
                delay,
                exclude,
                attempt,
                budget,
            } => write!(
                f,
                "decision=retry request={request} fault={fault} after_ms={delay} \
                 attempt={attempt} budget={budget:.1} exclude={}",
                join_names(exclude)
            ),
            Self::GiveUp {
                request,
                fault,
                reason,
                attempts,
                budget,
            } => write!(
                f,
                "decision=give_up request={request} fault={fault} reason={reason} \
                 attempts={attempts} budget={budget:.1}"
            ),
        }
    }
}

/// An attempt without an answer yet, for which [`RetryPolicy::hedge`] decides on a hedge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingAttempt {
    /// ID of the request.
    pub request: RequestId,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time since the attempt was sent.
    pub elapsed: Millis,
    /// Time within which most attempts answer, such as the 95th percentile of the time to the
    /// first token.
    pub expected_latency: Millis,
    /// Endpoints tried so far, including that of this attempt.
    pub tried: Vec<EndpointName>,
    /// Endpoints that may be used now.
    pub candidates: Vec<EndpointName>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Estimated duration of a new attempt.
    pub estimated_duration: Millis,
}

/// Whether a second attempt is started in parallel to a slow one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Start a second attempt at another endpoint.
    Start {
        /// ID of the request.
        request: RequestId,
        /// Endpoints that the next attempt must not use.
        exclude: Vec<EndpointName>,
    },
    /// Decide again later, as the attempt is not slow yet.
    Wait {
        /// ID of the request.
        request: RequestId,
        /// Time until the attempt counts as slow.
        recheck_after: Millis,
    },
    /// Start no second attempt.
    Skip {
        /// ID of the request.
        request: RequestId,
        /// Reason of the decision.
        reason: GiveUpReason,
    },
}

impl fmt::Display for HedgeDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start { request, exclude } => {
                write!(
                    f,
                    "decision=hedge request={request} exclude={}",
                    join_names(exclude)
                )
            }
            Self::Wait {
                request,
                recheck_after,
            } => {
                write!(
                    f,
                    "decision=hedge_wait request={request} after_ms={recheck_after}"
                )
            }
            Self::Skip { request, reason } => {
                write!(f, "decision=hedge_none request={request} reason={reason}")
            }
        }
    }
}

/// Settings of [`RetryPolicy`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryOptions {
    /// Name of the service.
    pub service: Service,
    /// Retries that each first attempt adds to the budget.
    pub retry_ratio: f64,
    /// Retries per second that are added to the budget without any first attempt.
    pub minimum_rate: f64,
    /// Largest number of retries that the budget holds, and that may be reserved ahead of it.
    pub capacity: f64,
    /// Upper bound of the back-off before the second attempt; doubles with each further one.
    pub base_backoff: Millis,
    /// Upper bound of the back-off before any attempt.
    pub max_backoff: Millis,
    /// Time constant of the exponential smoothing of the rate of first attempts.
    pub smoothing_time: Millis,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            service: Service::from("service"),
            retry_ratio: 0.1,
            minimum_rate: 0.05,
            capacity: 20.0,
            base_backoff: Millis(50),
            max_backoff: Millis(2000),
            smoothing_time: Millis(10_000),
        }
    }
}

/// Retry budget, back-off and hedging policy of one service.
#[derive(Debug)]
pub struct RetryPolicy {
    options: RetryOptions,
    /// Retries left in the budget; negative when future budget is already reserved.
    budget: f64,
    /// First attempts per second, exponentially smoothed.
    first_rate: f64,
    refilled_at: Millis,
}

impl RetryPolicy {
    /// Creates a policy whose budget is a quarter full.
    #[must_use]
    pub fn new(options: RetryOptions) -> Self {
        Self {
            budget: options.capacity / 4.0,
            options,
            first_rate: 0.0,
            refilled_at: Millis(0),
        }
    }

    /// Returns the service that the policy is for.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.options.service
    }

    /// Returns the retries left in the budget; negative when future budget is already reserved.
    #[must_use]
    pub const fn budget(&self) -> f64 {
        self.budget
    }

    /// Records the first attempt of a request, which adds to the budget.
    pub fn record_first(&mut self, now: Millis) {
        self.refill(now);
        self.budget = (self.budget + self.options.retry_ratio).min(self.options.capacity);
        self.first_rate += 1000.0 / to_f64(self.options.smoothing_time.0.max(1));
    }

    /// Decides whether a failed attempt is retried, and when.
    pub fn decide(
        &mut self,
        failed: &FailedAttempt,
        now: Millis,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        self.refill(now);
        let give_up = |reason, budget| RetryDecision::GiveUp {
            request: failed.request,
            fault: failed.fault,
            reason,
            attempts: failed.attempts,
            budget,
        };
        if !failed.idempotent && !failed.fault.nothing_ran() {
            return give_up(GiveUpReason::NotIdempotent, self.budget);
        }
        if failed.candidates.is_empty() {
            return give_up(GiveUpReason::NoEndpoint, self.budget);
        }
        let left = failed.deadline.since(now);
        let backoff = self.backoff(failed.attempts, rng);
        if backoff.plus(failed.estimated_duration.0).0 > left || left == 0 {
            return give_up(GiveUpReason::Deadline, self.budget);
        }
        let mut delay = backoff;
        if failed.fault == Fault::Moved {
            delay = Millis(0);
        } else {
            let wait = self.budget_wait();
            if wait.is_none_or(|wait| wait.plus(failed.estimated_duration.0).0 > left) {
                return give_up(GiveUpReason::Budget, self.budget);
            }
            delay = delay.max(wait.unwrap_or_default());
            self.budget -= 1.0;
        }
        RetryDecision::Retry {
            request: failed.request,
            fault: failed.fault,
            delay,
            exclude: excluded_endpoints(&failed.tried, &failed.candidates, &failed.endpoint),
            attempt: failed.attempts.saturating_add(1),
            budget: self.budget,
        }
    }

    /// Decides whether a second attempt is started in parallel to one without an answer. Unlike
    /// retries, hedges never reserve future budget.
    pub fn hedge(&mut self, pending: &PendingAttempt, now: Millis) -> HedgeDecision {
        self.refill(now);
        let request = pending.request;
        let skip = |reason| HedgeDecision::Skip { request, reason };
        if !pending.idempotent {
            return skip(GiveUpReason::NotIdempotent);
        }
        if pending
            .candidates
            .iter()
            .all(|name| pending.tried.contains(name))
        {
            return skip(GiveUpReason::NoEndpoint);
        }
        if pending.elapsed < pending.expected_latency {
            let recheck_after = Millis(pending.expected_latency.since(pending.elapsed));
            return HedgeDecision::Wait {
                request,
                recheck_after,
            };
        }
        if now.plus(pending.estimated_duration.0) > pending.deadline {
            return skip(GiveUpReason::Deadline);
        }
        // Leaves a part of the budget for retries, as a failed request has no other attempt.
        if self.budget < 1.0 + self.options.capacity / 8.0 {
            return skip(GiveUpReason::Budget);
        }
        self.budget -= 1.0;
        HedgeDecision::Start {
            request,
            exclude: pending.tried.clone(),
        }
    }

    /// Returns a random back-off, with full jitter, before attempt `attempts + 1`.
    fn backoff(&self, attempts: u32, rng: &mut impl Rng) -> Millis {
        let doubled = 1_u64
            .checked_shl(attempts.saturating_sub(1))
            .unwrap_or(u64::MAX);
        let ceiling = self.options.base_backoff.0.saturating_mul(doubled);
        Millis(rng.random_range(0..=ceiling.min(self.options.max_backoff.0)))
    }

    /// Returns the time until the budget covers one more retry, or `None` when too much future
    /// budget is already reserved.
    fn budget_wait(&self) -> Option<Millis> {
        if self.budget >= 1.0 {
            return Some(Millis(0));
        }
        if self.budget - 1.0 < -self.options.capacity {
            return None;
        }
        let rate = self.options.minimum_rate + self.options.retry_ratio * self.first_rate;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates, and the value is not negative"
        )]
        let wait = ((1.0 - self.budget) / rate * 1000.0).ceil() as u64;
        Some(Millis(wait))
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = to_f64(now.since(self.refilled_at));
        let refilled = self.budget + elapsed * self.options.minimum_rate / 1000.0;
        self.budget = refilled.min(self.options.capacity);
        self.first_rate *= (-elapsed / to_f64(self.options.smoothing_time.0.max(1))).exp();
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Returns the endpoints that the next attempt must not use: all tried ones while an untried one
/// is available, else the last one, and none if that is the only candidate.
fn excluded_endpoints(
    tried: &[EndpointName],
    candidates: &[EndpointName],
    last: &EndpointName,
) -> Vec<EndpointName> {
    if candidates.iter().any(|name| !tried.contains(name)) {
        return tried.to_vec();
    }
    if candidates.iter().any(|name| name != last) {
        return vec![last.clone()];
    }
    Vec::new()
}

fn join_names(names: &[EndpointName]) -> String {
    let names: Vec<&str> = names.iter().map(EndpointName::as_str).collect();
    names.join(",")
}

#[expect(clippy::cast_precision_loss, reason = "2^53 ms is longer than any run")]
const fn to_f64(millis: u64) -> f64 {
    millis as f64
}
