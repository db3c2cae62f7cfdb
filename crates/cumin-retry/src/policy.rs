//! Retry budget, back-off and hedging of one service.

use std::fmt;

use cumin_types::{EndpointName, Millis, RequestId, Service};
use derive_more::Display;
use rand::Rng;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection was refused: nothing was sent.
    #[display("refused")]
    Refused,
    /// The endpoint answered that it did not start.
    #[display("not_started")]
    NotStarted,
    /// The connection broke, or the endpoint died, after the first byte was sent.
    #[display("broken")]
    Broken,
    /// No frame arrived for the stall time.
    #[display("stalled")]
    Stalled,
    /// The endpoint answered with this HTTP status.
    #[display("status_{_0}")]
    Status(u16),
    /// The endpoint is leaving as announced; the attempt is moved and takes no budget.
    #[display("moved")]
    Moved,
}

impl Fault {
    /// Returns whether the endpoint can not have run any part of the attempt.
    #[must_use]
    pub const fn nothing_ran(self) -> bool {
        matches!(self, Self::Refused | Self::NotStarted)
    }
}

/// A failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The request.
    pub request: RequestId,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// How it failed.
    pub fault: Fault,
    /// Where it failed.
    pub endpoint: EndpointName,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Endpoints tried so far, this one included.
    pub tried: Vec<EndpointName>,
    /// Endpoints that may be used now.
    pub candidates: Vec<EndpointName>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Estimated duration of a new attempt.
    pub estimate: Millis,
}

/// Why there is no further attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum GiveUp {
    /// The call may have taken effect and must not run twice.
    #[display("not_idempotent")]
    NotIdempotent,
    /// A new attempt can not complete before the deadline.
    #[display("deadline")]
    Deadline,
    /// The budget allows no attempt before the deadline.
    #[display("budget")]
    Budget,
    /// No endpoint may be used.
    #[display("no_endpoint")]
    NoEndpoint,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Try again.
    Retry {
        /// The request.
        request: RequestId,
        /// How the last attempt failed.
        fault: Fault,
        /// Time to wait before the attempt.
        after: Millis,
        /// Endpoints not to use.
        exclude: Vec<EndpointName>,
        /// Number of the attempt to come.
        attempt: u32,
        /// Attempts left in the budget; below zero when future ones are promised.
        budget: f64,
    },
    /// No further attempt.
    GiveUp {
        /// The request.
        request: RequestId,
        /// How the last attempt failed.
        fault: Fault,
        /// Why.
        reason: GiveUp,
        /// Attempts made.
        attempts: u32,
        /// Attempts left in the budget.
        budget: f64,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Retry {
                request,
                fault,
                after,
                exclude,
                attempt,
                budget,
            } => write!(
                f,
                "decision=retry request={request} fault={fault} after_ms={after} \
                 attempt={attempt} budget={budget:.1} exclude={}",
                join(exclude)
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

/// An attempt that has not answered yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hedge {
    /// The request.
    pub request: RequestId,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time since the attempt was sent.
    pub waited: Millis,
    /// Time by which most attempts have answered, such as the p95 to the first token.
    pub expected: Millis,
    /// Endpoints tried so far, this one included.
    pub tried: Vec<EndpointName>,
    /// Endpoints that may be used now.
    pub candidates: Vec<EndpointName>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Estimated duration of a new attempt.
    pub estimate: Millis,
}

/// Whether a second attempt is started beside a slow one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Start one elsewhere.
    Start {
        /// The request.
        request: RequestId,
        /// Endpoints not to use.
        exclude: Vec<EndpointName>,
    },
    /// Too early; ask again.
    Wait {
        /// The request.
        request: RequestId,
        /// Time until the attempt is slow.
        after: Millis,
    },
    /// None.
    No {
        /// The request.
        request: RequestId,
        /// Why.
        reason: GiveUp,
    },
}

impl fmt::Display for HedgeDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start { request, exclude } => {
                write!(
                    f,
                    "decision=hedge request={request} exclude={}",
                    join(exclude)
                )
            }
            Self::Wait { request, after } => {
                write!(f, "decision=hedge_wait request={request} after_ms={after}")
            }
            Self::No { request, reason } => {
                write!(f, "decision=hedge_none request={request} reason={reason}")
            }
        }
    }
}

/// Settings of [`RetryPolicy`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryOptions {
    /// The service.
    pub service: Service,
    /// Further attempts allowed for each first attempt.
    pub ratio: f64,
    /// Further attempts allowed a second without any first attempt.
    pub minimum: f64,
    /// Most attempts saved up, and most promised ahead of the budget.
    pub depth: f64,
    /// Longest back-off before the second attempt; it doubles with each further one.
    pub base: Millis,
    /// Longest back-off.
    pub longest: Millis,
    /// Time constant of the rate of first attempts.
    pub smoothing: Millis,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            service: Service::from("service"),
            ratio: 0.1,
            minimum: 0.05,
            depth: 20.0,
            base: Millis(50),
            longest: Millis(2000),
            smoothing: Millis(10_000),
        }
    }
}

/// Retry budget and back-off of one service.
#[derive(Debug)]
pub struct RetryPolicy {
    options: RetryOptions,
    /// Attempts that may be made; below zero when future ones are promised.
    level: f64,
    /// First attempts a second, smoothed.
    rate: f64,
    at: Millis,
}

impl RetryPolicy {
    /// Makes a policy with a quarter of its budget saved up.
    #[must_use]
    pub fn new(options: RetryOptions) -> Self {
        Self {
            level: options.depth / 4.0,
            options,
            rate: 0.0,
            at: Millis(0),
        }
    }

    /// Returns the service it is for.
    #[must_use]
    pub fn service(&self) -> &Service {
        &self.options.service
    }

    /// Returns the attempts left in the budget; below zero when future ones are promised.
    #[must_use]
    pub const fn budget(&self) -> f64 {
        self.level
    }

    /// Counts the first attempt of a request.
    pub fn first(&mut self, now: Millis) {
        self.fill(now);
        self.level = (self.level + self.options.ratio).min(self.options.depth);
        self.rate += 1000.0 / float(self.options.smoothing.0.max(1));
    }

    /// Decides what follows a failed attempt.
    pub fn decide(&mut self, failure: &Failure, now: Millis, rng: &mut impl Rng) -> Decision {
        self.fill(now);
        let give_up = |reason, budget| Decision::GiveUp {
            request: failure.request,
            fault: failure.fault,
            reason,
            attempts: failure.attempts,
            budget,
        };
        if !failure.idempotent && !failure.fault.nothing_ran() {
            return give_up(GiveUp::NotIdempotent, self.level);
        }
        if failure.candidates.is_empty() {
            return give_up(GiveUp::NoEndpoint, self.level);
        }
        let left = failure.deadline.since(now);
        let back_off = self.back_off(failure.attempts, rng);
        if back_off.plus(failure.estimate.0).0 > left || left == 0 {
            return give_up(GiveUp::Deadline, self.level);
        }
        let mut after = back_off;
        if failure.fault == Fault::Moved {
            after = Millis(0);
        } else {
            let wait = self.wait();
            if wait.is_none_or(|wait| wait.plus(failure.estimate.0).0 > left) {
                return give_up(GiveUp::Budget, self.level);
            }
            after = after.max(wait.unwrap_or_default());
            self.level -= 1.0;
        }
        Decision::Retry {
            request: failure.request,
            fault: failure.fault,
            after,
            exclude: exclude(&failure.tried, &failure.candidates, &failure.endpoint),
            attempt: failure.attempts.saturating_add(1),
            budget: self.level,
        }
    }

    /// Decides whether a second attempt is started beside one that has not answered. Hedges
    /// use only budget that is saved up; they are never promised ahead of it.
    pub fn hedge(&mut self, hedge: &Hedge, now: Millis) -> HedgeDecision {
        self.fill(now);
        let request = hedge.request;
        let no = |reason| HedgeDecision::No { request, reason };
        if !hedge.idempotent {
            return no(GiveUp::NotIdempotent);
        }
        if hedge
            .candidates
            .iter()
            .all(|name| hedge.tried.contains(name))
        {
            return no(GiveUp::NoEndpoint);
        }
        if hedge.waited < hedge.expected {
            let after = Millis(hedge.expected.since(hedge.waited));
            return HedgeDecision::Wait { request, after };
        }
        if now.plus(hedge.estimate.0) > hedge.deadline {
            return no(GiveUp::Deadline);
        }
        // A part of the budget stays for failed attempts, which need it more.
        if self.level < 1.0 + self.options.depth / 8.0 {
            return no(GiveUp::Budget);
        }
        self.level -= 1.0;
        HedgeDecision::Start {
            request,
            exclude: hedge.tried.clone(),
        }
    }

    /// Draws a back-off with full jitter before attempt `attempts + 1`.
    fn back_off(&self, attempts: u32, rng: &mut impl Rng) -> Millis {
        let doubled = 1_u64
            .checked_shl(attempts.saturating_sub(1))
            .unwrap_or(u64::MAX);
        let most = self.options.base.0.saturating_mul(doubled);
        Millis(rng.random_range(0..=most.min(self.options.longest.0)))
    }

    /// Returns when the budget allows one more attempt; `None` when too many are promised.
    fn wait(&self) -> Option<Millis> {
        if self.level >= 1.0 {
            return Some(Millis(0));
        }
        if self.level - 1.0 < -self.options.depth {
            return None;
        }
        let rate = self.options.minimum + self.options.ratio * self.rate;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates, and the value is not negative"
        )]
        let wait = ((1.0 - self.level) / rate * 1000.0).ceil() as u64;
        Some(Millis(wait))
    }

    fn fill(&mut self, now: Millis) {
        let passed = float(now.since(self.at));
        let saved = self.level + passed * self.options.minimum / 1000.0;
        self.level = saved.min(self.options.depth);
        self.rate *= (-passed / float(self.options.smoothing.0.max(1))).exp();
        self.at = self.at.max(now);
    }
}

/// Returns the endpoints not to use: those tried while another is left, else the last one.
fn exclude(
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

fn join(names: &[EndpointName]) -> String {
    let names: Vec<&str> = names.iter().map(EndpointName::as_str).collect();
    names.join(",")
}

#[expect(clippy::cast_precision_loss, reason = "2^53 ms is longer than any run")]
const fn float(millis: u64) -> f64 {
    millis as f64
}
