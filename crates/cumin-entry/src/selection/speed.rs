//! Speed of an endpoint: a factor on the times that the model of its service yields.
//!
//! Samples are ratios of measured to expected time, in the log domain. A node keeps a robust mean
//! of its own samples and states it to its peers; each node uses the mean over all statements,
//! weighted by samples and shrunk towards no difference while they are few.
//!
//! The model of engines is a fit of quantiles below the median, whereas statements are means. The
//! [`Anchor`] is the difference between the two for equal endpoints, and is added to each mean, so
//! that the factors of equal endpoints are near 1.

use std::collections::{BTreeMap, VecDeque};

use cumin_types::{EndpointName, Millis};
use serde::{Deserialize, Serialize};

use super::millis;
use crate::learn::LearnOptions;

/// Bound of the base-2 logarithm of samples and factors: a wrong factor is 4 at most.
const MAX_LOG: f64 = 2.0;

/// Largest distance from the mean with which a sample counts, once the mean has settled: prompts
/// that are prefilled between two events delay single events by far more than the endpoint's speed.
const MAX_STEP: f64 = 1.0;

/// Samples after which a mean has settled.
const SETTLED_SAMPLES: f64 = 4.0;

/// Samples that a mean keeps; older ones lose weight.
const MAX_SAMPLES: f64 = 48.0;

/// Time constant with which samples lose weight, so that an endpoint that gets no requests because
/// of its factor gets some again.
const SAMPLE_SPAN_MS: f64 = 60_000.0;

/// Samples without difference that are assumed of each endpoint.
const PRIOR_SAMPLES: f64 = 8.0;

/// Fewest samples that a node states.
const MIN_STATED: f64 = 1.0;

/// Steps of the fixed-point logarithm in statements.
const LOG_STEPS: f64 = 32.0;

/// Time for which a peer's statement counts.
const SPEED_TTL: Millis = Millis(10_000);

/// Residuals that an anchor keeps.
const MAX_RESIDUALS: usize = 128;

/// Residuals from which an anchor is used.
const MIN_RESIDUALS: usize = 24;

/// Speed of one endpoint as a node measured it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedSpeed {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Hash of the time of its start: a statement holds for one start.
    pub start: u8,
    /// Base-2 logarithm of the ratio of measured to expected time, in 1/32.
    pub log: i8,
    /// Samples behind it.
    pub samples: u8,
}

/// Returns a hash of the time of an endpoint's start.
pub(super) fn start_hash(started_ms: u64) -> u8 {
    started_ms.to_le_bytes().iter().fold(0, |hash: u8, byte| {
        hash.wrapping_mul(31).wrapping_add(*byte)
    })
}

/// Robust mean of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct LogMean {
    mean: f64,
    count: f64,
    updated: Millis,
}

impl LogMean {
    fn count(&self, now: Millis) -> f64 {
        let age_ms = millis(Millis(now.since(self.updated)));
        self.count * (-age_ms / SAMPLE_SPAN_MS).exp()
    }

    fn add(&mut self, log: f64, now: Millis) {
        self.count = (self.count(now) + 1.0).min(MAX_SAMPLES);
        self.updated = now;
        let mut step = log - self.mean;
        if self.count > SETTLED_SAMPLES {
            step = step.clamp(-MAX_STEP, MAX_STEP);
        }
        self.mean += step / self.count;
    }
}

/// Speed of an endpoint, as far as this node and its peers know it.
#[derive(Debug)]
pub(super) struct Speed {
    own: LogMean,
    /// Start, mean and samples that each peer stated.
    stated: BTreeMap<String, (u8, LogMean)>,
    /// Start to which `factor` applies.
    start: u8,
    /// Mean over all statements, before the anchor is added, and its samples.
    merged: (f64, f64),
    factor: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            own: LogMean::default(),
            stated: BTreeMap::new(),
            start: 0,
            merged: (0.0, 0.0),
            factor: 1.0,
        }
    }
}

impl Speed {
    /// Returns the factor on times at the endpoint since the given start.
    pub(super) fn factor(&self, started_ms: u64) -> f64 {
        if self.start == start_hash(started_ms) {
            self.factor
        } else {
            1.0
        }
    }

    /// Adds a ratio of measured to expected time, and returns its logarithm and the distance to the
    /// mean before.
    pub(super) fn add(&mut self, ratio: f64, now: Millis) -> Option<f64> {
        if !(ratio.is_finite() && ratio > 0.0) {
            return None;
        }
        let log = ratio.log2().clamp(-MAX_LOG, MAX_LOG);
        let (mean, count) = self.merged;
        self.own.add(log, now);
        (count >= SETTLED_SAMPLES).then_some(log - mean)
    }

    /// Returns what is stated to peers.
    pub(super) fn stated(
        &self,
        endpoint: &EndpointName,
        started_ms: u64,
        now: Millis,
    ) -> Option<StatedSpeed> {
        let count = self.own.count(now);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates"
        )]
        let (log, samples) = ((self.own.mean * LOG_STEPS).round() as i8, count as u8);
        (count >= MIN_STATED).then(|| StatedSpeed {
            endpoint: endpoint.clone(),
            start: start_hash(started_ms),
            log,
            samples,
        })
    }

    /// Records the statement of a peer.
    pub(super) fn merge(&mut self, node: &str, stated: &StatedSpeed, now: Millis) {
        let mean = LogMean {
            mean: (f64::from(stated.log) / LOG_STEPS).clamp(-MAX_LOG, MAX_LOG),
            count: f64::from(stated.samples).min(MAX_SAMPLES),
            updated: now,
        };
        self.stated.insert(node.to_owned(), (stated.start, mean));
    }

    /// Computes the factor from all statements; `started_ms` is zero if this node has sent nothing
    /// to the endpoint.
    pub(super) fn combine(&mut self, started_ms: u64, anchor: f64, now: Millis) {
        self.stated
            .retain(|_, (_, mean)| now.since(mean.updated) < SPEED_TTL.0);
        let newest = self.stated.values().max_by_key(|(_, mean)| mean.updated);
        self.start = match newest {
            Some((start, _)) if started_ms == 0 => *start,
            _ => start_hash(started_ms),
        };
        let own = (self.own.mean, self.own.count(now));
        let (sum, count) = self
            .stated
            .values()
            .filter(|(start, _)| *start == self.start)
            .map(|(_, mean)| (mean.mean, mean.count))
            .chain([own])
            .fold((0.0, 0.0), |(sum, total), (mean, count)| {
                (sum + mean * count, total + count)
            });
        let mean = if count > 0.0 { sum / count } else { 0.0 };
        self.merged = (mean, count);
        let log = (mean + anchor) * count / (count + PRIOR_SAMPLES);
        self.factor = log.clamp(-MAX_LOG, MAX_LOG).exp2();
    }
}

/// Kind of a sample.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Kind {
    /// Time to the first event of a stream.
    First,
    /// Time of a token between events.
    Gap,
    /// Time of a whole answer of a plain service.
    Whole,
}

/// Difference between what the model of a service states and the mean of the samples, from the
/// distances of samples to the means of their endpoints.
#[derive(Debug, Default)]
pub(super) struct Anchor {
    residuals: VecDeque<(Kind, f64)>,
    value: f64,
}

impl Anchor {
    pub(super) fn add(&mut self, kind: Kind, residual: f64) {
        self.residuals.push_back((kind, residual));
        if self.residuals.len() > MAX_RESIDUALS {
            self.residuals.pop_front();
        }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Computes the difference anew.
    pub(super) fn combine(&mut self, options: &LearnOptions) {
        if self.residuals.len() < MIN_RESIDUALS {
            return;
        }
        let sum: f64 = [Kind::First, Kind::Gap, Kind::Whole]
            .into_iter()
            .map(|kind| {
                let of_kind = self.residuals.iter().filter(|(of, _)| *of == kind);
                let mut logs: Vec<f64> = of_kind.map(|(_, residual)| *residual).collect();
                if logs.is_empty() {
                    return 0.0;
                }
                let centre = match kind {
                    Kind::First => quantile(&mut logs, options.first_quantile),
                    Kind::Gap => quantile(&mut logs, options.gap_quantile),
                    Kind::Whole => {
                        let ratios: f64 = logs.iter().map(|log| log.exp2()).sum();
                        (ratios / number(logs.len())).log2()
                    }
                };
                centre * number(logs.len()) - logs.iter().sum::<f64>()
            })
            .sum();
        self.value = sum / number(self.residuals.len());
    }
}

fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index within the values"
    )]
    let index = (number(values.len()) * quantile) as usize;
    values.get(index).copied().unwrap_or_default()
}

fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
