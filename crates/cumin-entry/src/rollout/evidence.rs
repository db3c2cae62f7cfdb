//! Counts of requests and answers by route and version side, as digests carry them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of buckets of a histogram of times: eight octaves around the expected time.
pub const BUCKETS: usize = 16;

/// Buckets for each doubling of the time.
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// Returns the bucket of a time relative to the expected one.
#[must_use]
pub fn bucket(ratio: f64) -> usize {
    let place = ratio.max(f64::MIN_POSITIVE).log2() * BUCKETS_PER_OCTAVE + 8.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the number of buckets"
    )]
    let index = place.clamp(0.0, 15.0) as usize;
    index
}

/// The side of a version in a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Any other version than the target.
    Old,
    /// The target of the order.
    New,
}

/// Result of an attempt that was sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// Whether the answer was a server error.
    pub failed: bool,
    /// Whether no complete answer arrived.
    pub broken: bool,
    /// Time until the first event or the answer, relative to the expected one.
    pub first: Option<f64>,
    /// Time of an event of a stream, relative to the expected one.
    pub pace: Option<f64>,
}

/// Counts of one route and side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// Attempts that were sent.
    pub sent: u32,
    /// Attempts that ended, with an answer or without.
    pub answers: u32,
    /// Of these, server errors.
    pub failures: u32,
    /// Of these, those without a complete answer.
    pub broken: u32,
    /// Histogram of the times until the first event or the answer.
    pub first: [u32; BUCKETS],
    /// Histogram of the times of events of streams.
    pub pace: [u32; BUCKETS],
}

impl Tally {
    /// Counts the end of an attempt.
    pub fn ended(&mut self, outcome: Outcome) {
        self.answers = self.answers.saturating_add(1);
        self.failures = self.failures.saturating_add(u32::from(outcome.failed));
        self.broken = self.broken.saturating_add(u32::from(outcome.broken));
        for (histogram, ratio) in [
            (&mut self.first, outcome.first),
            (&mut self.pace, outcome.pace),
        ] {
            if let Some(ratio) = ratio {
                let count = &mut histogram[bucket(ratio)];
                *count = count.saturating_add(1);
            }
        }
    }

    fn combine(&mut self, other: &Self, f: impl Fn(u32, u32) -> u32) {
        self.sent = f(self.sent, other.sent);
        self.answers = f(self.answers, other.answers);
        self.failures = f(self.failures, other.failures);
        self.broken = f(self.broken, other.broken);
        for (own, other) in self.first.iter_mut().zip(other.first) {
            *own = f(*own, other);
        }
        for (own, other) in self.pace.iter_mut().zip(other.pace) {
            *own = f(*own, other);
        }
    }
}

/// Counts of both sides of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sides {
    /// The old versions.
    pub old: Tally,
    /// The target version.
    pub new: Tally,
}

impl Sides {
    /// Returns the counts of a side.
    pub const fn side(&mut self, side: Side) -> &mut Tally {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.old.combine(&other.old, u32::saturating_add);
        self.new.combine(&other.new, u32::saturating_add);
    }

    /// Subtracts the counts of `other`.
    pub fn subtract(&mut self, other: &Self) {
        self.old.combine(&other.old, u32::saturating_sub);
        self.new.combine(&other.new, u32::saturating_sub);
    }
}

/// Counts by route.
pub type Counts = BTreeMap<Arc<str>, Sides>;

/// Adds counts to a sum.
pub fn add_counts(sum: &mut Counts, counts: &Counts) {
    for (route, sides) in counts {
        sum.entry(route.clone()).or_default().add(sides);
    }
}
