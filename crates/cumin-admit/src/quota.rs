//! Quotas of an organisation and the token bucket that enforces rate limits.

use cumin_types::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A resource limited by a quota.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Resource {
    /// Requests per second.
    #[display("requests")]
    Requests,
    /// Concurrent requests, queued or running.
    #[display("concurrent")]
    Concurrent,
    /// Tokens per minute.
    #[display("tokens")]
    Tokens,
}

/// Global limits of one organisation over all nodes; `None` means unlimited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quota {
    /// Requests per second.
    pub rate: Option<f64>,
    /// Concurrent requests, queued or running.
    pub concurrent: Option<u32>,
    /// Tokens per minute.
    pub tokens: Option<u64>,
    /// Weight in fair queueing, relative to other organisations; at least 1.
    pub weight: u32,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            rate: None,
            concurrent: None,
            tokens: None,
            weight: 1,
        }
    }
}

/// A token bucket whose level may fall below zero, by at most the size of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    units_per_ms: f64,
    depth: f64,
    level: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` units per second up to `depth`.
    #[must_use]
    pub fn new(rate: f64, depth: f64, now: Millis) -> Self {
        Self {
            units_per_ms: rate / 1000.0,
            depth,
            level: depth,
            refilled_at: now,
        }
    }

    /// Changes the rate and the depth. A positive level is scaled with the depth; a negative level
    /// is kept.
    ///
    /// Levels scale with shares, so that their sum over all nodes stays below the burst of the
    /// global limit. If only the refill raised the level, a node that had just received a larger
    /// share would still have the burst of its floor share.
    pub fn resize(&mut self, rate: f64, depth: f64, now: Millis) {
        self.refill(now);
        if self.level > 0.0 && self.depth > 0.0 && self.depth.is_finite() && depth.is_finite() {
            self.level *= depth / self.depth;
        }
        self.units_per_ms = rate / 1000.0;
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    /// Returns the time until `count` units can be taken; zero if they can be taken now.
    ///
    /// More units than the depth can be taken from a full bucket, whose level then is negative.
    pub fn wait_time(&mut self, count: f64, now: Millis) -> Millis {
        self.wait_behind(0.0, count, now)
    }

    /// Returns the time until `count` units can be taken after `ahead` units were taken by others.
    pub fn wait_behind(&mut self, ahead: f64, count: f64, now: Millis) -> Millis {
        self.refill(now);
        // Tolerates rounding errors of the refill.
        let missing = ahead + count.min(self.depth) - self.level - 1e-9 * self.depth.max(1.0);
        if missing <= 0.0 {
            return Millis(0);
        }
        if self.units_per_ms <= 0.0 {
            return Millis(u64::MAX);
        }
        Millis(round_up_millis(missing / self.units_per_ms).max(1))
    }

    /// Returns the available units; negative if more was taken than was available.
    pub fn level(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `count` units; a negative count returns units.
    pub fn take(&mut self, count: f64, now: Millis) {
        self.refill(now);
        self.level = (self.level - count).min(self.depth);
    }

    fn refill(&mut self, now: Millis) {
        #[expect(clippy::cast_precision_loss, reason = "2^53 ms is longer than any run")]
        let elapsed = now.since(self.refilled_at) as f64;
        self.level = (self.level + elapsed * self.units_per_ms).min(self.depth);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Rounds a duration up to milliseconds.
pub(crate) fn round_up_millis(millis: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast from float saturates, and the value is not negative"
    )]
    let whole = millis.max(0.0).ceil() as u64;
    whole
}
