//! Learns the performance model of a service's engines from their answers.
//!
//! Two lines are fitted: the time to the first event against the tokens that were to be prefilled
//! before it, and the time of an output token against the number of running requests. Both fits are
//! quantile regressions, which few slow engines, lost answers and suspended nodes hardly move. The
//! quantiles lie below the median because errors are one-sided: requests that this node has not
//! heard of and prefill chunks between two events only ever delay an event.
//!
//! A node states its fit in its digests. Every node uses the median of the stated fits, weighted by
//! their samples, so a node that starts does not need samples of its own.
//!
//! Load pattern: all engines are slow for a while. The fits then lead to refusals, and refused
//! requests bring no samples. A fit without a recent sample of an admitted request is therefore in
//! doubt: it is not stated, and yields to fresh fits of peers. If there are none, a small share of
//! the refused requests runs as trials. One that is answered in time refutes the fit.

use std::collections::{BTreeMap, VecDeque};

use cumin_types::Millis;
use serde::{Deserialize, Serialize};

use crate::engine::EngineModel;
use crate::trials::Trials;

/// Settings of [`Learner`].
#[derive(Clone, Debug, PartialEq)]
pub struct LearnOptions {
    /// Model that is used until enough samples were seen.
    pub prior: EngineModel,
    /// Samples of each kind that are kept.
    pub max_samples: usize,
    /// Samples, over all nodes, from which the fit replaces the prior.
    pub min_samples: u32,
    /// Samples after which the lines are fitted again.
    pub refit_samples: u32,
    /// Quantile of the times to the first event.
    pub first_quantile: f64,
    /// Quantile of the times of a token.
    pub gap_quantile: f64,
    /// Maximum time of a valid sample.
    pub max_time: Millis,
    /// Time for which a peer's fit counts.
    pub peer_ttl: Millis,
    /// Time after the last sample of an admitted request from which fits are in doubt, and time
    /// between trials in any case.
    pub max_age: Millis,
    /// Age from which samples are dropped if `min_samples` newer ones are left.
    pub sample_ttl: Millis,
}

impl Default for LearnOptions {
    fn default() -> Self {
        Self {
            prior: EngineModel::default(),
            max_samples: 192,
            min_samples: 24,
            refit_samples: 16,
            first_quantile: 0.4,
            gap_quantile: 0.3,
            max_time: Millis(30_000),
            peer_ttl: Millis(10_000),
            max_age: Millis(10_000),
            sample_ttl: Millis(300_000),
        }
    }
}

/// Fit of one node, as stated to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fit {
    /// Samples of first events behind the fit.
    pub firsts: u32,
    /// Samples of gaps behind the fit.
    pub gaps: u32,
    /// Milliseconds to prefill 1,000 tokens.
    pub prefill_ms: f32,
    /// Milliseconds from the end of the prefill to the first event.
    pub first_ms: f32,
    /// Milliseconds of a decode step without other requests.
    pub step_ms: f32,
    /// Increase of a step for each running request, in milliseconds.
    pub request_ms: f32,
}

impl Fit {
    /// Returns whether the values are possible; peers may state anything.
    fn is_valid(&self) -> bool {
        let within = |value: f32, max: f32| value.is_finite() && (0.0..=max).contains(&value);
        within(self.prefill_ms, MAX_PREFILL_MS)
            && within(self.first_ms, MAX_FIRST_MS)
            && within(self.step_ms, MAX_STEP_MS)
            && within(self.request_ms, MAX_STEP_MS)
    }
}

/// Slowest prefill that is taken for a measurement, in milliseconds for 1,000 tokens.
const MAX_PREFILL_MS: f32 = 1000.0;
const MAX_FIRST_MS: f32 = 5000.0;
const MAX_STEP_MS: f32 = 500.0;

/// Fastest prefill that a fit yields, in milliseconds for a token.
const MIN_TOKEN_MS: f64 = 0.001;

/// Shortest decode step that a fit yields, in milliseconds.
const MIN_STEP_MS: f64 = 0.1;

/// State in which a request found its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Queue {
    /// Tokens to prefill up to the end of the request's prompt.
    pub tokens: f64,
    /// Requests in flight at the engine.
    pub running: f64,
}

#[derive(Clone, Copy, Debug)]
struct Sample<T> {
    found: T,
    took_ms: f64,
    at: Millis,
}

/// Learns the model of one service.
#[derive(Debug)]
pub struct Learner {
    options: LearnOptions,
    /// Tokens and running requests, with the milliseconds to the first event.
    firsts: VecDeque<Sample<Queue>>,
    /// Running requests, with the milliseconds of a token.
    gaps: VecDeque<Sample<f64>>,
    /// Samples since the last fit.
    fresh: u32,
    own: Fit,
    /// Time of the last first event of a request that was admitted by its estimate.
    confirmed: Option<Millis>,
    /// Whether a trial has refuted the samples before it, and none was confirmed since.
    refuted: bool,
    trials: Trials,
    /// Time of the last trial.
    tried: Option<Millis>,
    peers: BTreeMap<String, (Fit, Millis)>,
    model: EngineModel,
}

impl Learner {
    /// Creates a learner that uses its prior.
    #[must_use]
    pub fn new(options: LearnOptions) -> Self {
        Self {
            model: options.prior.clone(),
            options,
            firsts: VecDeque::new(),
            gaps: VecDeque::new(),
            fresh: 0,
            own: Fit::default(),
            confirmed: None,
            refuted: false,
            trials: Trials::default(),
            tried: None,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the model in use.
    #[must_use]
    pub const fn model(&self) -> &EngineModel {
        &self.model
    }

    /// Returns this node's own fit.
    #[must_use]
    pub const fn own(&self) -> Fit {
        self.own
    }

    /// Returns this node's own fit if it may be stated to peers: it has samples, and is not in doubt.
    #[must_use]
    pub fn stated(&self, now: Millis) -> Option<Fit> {
        let has_samples = self.own.firsts > 0 || self.own.gaps > 0;
        (has_samples && self.is_confirmed(now)).then_some(self.own)
    }

    fn is_confirmed(&self, now: Millis) -> bool {
        let max_age = self.options.max_age.0;
        self.confirmed.is_some_and(|at| now.since(at) < max_age)
    }

    /// Decides whether a request that the model alone refuses runs as a trial.
    ///
    /// None does while admitted requests are answered at this node or a peer. Otherwise trials are a
    /// share of the requests, and one for each [`LearnOptions::max_age`] in any case.
    pub fn take_trial(&mut self, once: bool, now: Millis) -> bool {
        let max_age = self.options.max_age.0;
        let mut peers = self.peers.values();
        if self.is_confirmed(now) || peers.any(|(_, heard)| now.since(*heard) < max_age) {
            return false;
        }
        self.trials.earn();
        let last = *self.tried.get_or_insert(now);
        let is_trial = self.trials.take(once) || now.since(last) >= max_age;
        if is_trial {
            self.tried = Some(now);
        }
        is_trial
    }

    /// Adds the time that a trial took to its first event, which came in time. The first one refutes
    /// all earlier samples.
    ///
    /// Late trials are no samples: they confirm the refusal, and prompts that are too long for any
    /// engine would say little of shorter ones.
    pub fn trial_in_time(&mut self, queue: Queue, took_ms: f64, now: Millis) {
        if !self.refuted {
            self.refuted = true;
            self.firsts.clear();
            self.gaps.clear();
            self.own = Fit::default();
            self.combine(now);
        }
        self.add_first(queue, took_ms, now);
    }

    /// Adds the time that a request took to its first event. Impossible samples are ignored.
    pub fn first_event(&mut self, queue: Queue, took_ms: f64, now: Millis) {
        if self.add_first(queue, took_ms, now) {
            self.confirmed = Some(now);
            self.refuted = false;
        }
    }

    /// Adds a sample and returns whether it is possible.
    fn add_first(&mut self, queue: Queue, took_ms: f64, now: Millis) -> bool {
        let is_valid = queue.tokens >= 1.0 && queue.running >= 0.0 && self.is_possible(took_ms);
        if is_valid {
            let sample = Sample {
                found: queue,
                took_ms,
                at: now,
            };
            push_bounded(&mut self.firsts, sample, &self.options);
            self.sampled(now);
        }
        is_valid
    }

    /// Adds the mean time of the tokens of one event. Impossible samples are ignored.
    pub fn event_gap(&mut self, running: f64, token_ms: f64, now: Millis) {
        if running >= 0.0 && self.is_possible(token_ms) {
            let sample = Sample {
                found: running,
                took_ms: token_ms,
                at: now,
            };
            push_bounded(&mut self.gaps, sample, &self.options);
            self.sampled(now);
        }
    }

    fn is_possible(&self, took_ms: f64) -> bool {
        took_ms.is_finite() && took_ms > 0.0 && took_ms <= millis(self.options.max_time)
    }

    fn sampled(&mut self, now: Millis) {
        self.fresh += 1;
        if self.fresh >= self.options.refit_samples {
            self.fresh = 0;
            self.fit();
            self.combine(now);
        }
    }

    /// Merges the fit that a peer states.
    pub fn merge_peer(&mut self, node: &str, fit: Fit, now: Millis) {
        if fit.is_valid() {
            self.peers.insert(node.to_owned(), (fit, now));
        }
    }

    /// Recomputes the model from the fits of all nodes.
    pub fn combine(&mut self, now: Millis) {
        let ttl = self.options.peer_ttl.0;
        self.peers.retain(|_, (_, heard)| now.since(*heard) < ttl);
        let confirmed = self.is_confirmed(now).then_some(&self.own);
        let peers = || self.peers.values().map(|(fit, _)| fit);
        let median = |weight: fn(&Fit) -> u32, value: fn(&Fit) -> f32| {
            let pair = |fit: &Fit| (f64::from(value(fit)), weight(fit));
            let fresh = peers().chain(confirmed).map(pair).collect();
            let min = self.options.min_samples;
            weighted_median(fresh, min).or_else(|| weighted_median(vec![pair(&self.own)], min))
        };
        let prior = &self.options.prior;
        let rate = median(|fit| fit.firsts, |fit| fit.prefill_ms).map(|ms| 1000.0 / ms);
        let first_ms = median(|fit| fit.firsts, |fit| fit.first_ms);
        let step_ms = median(|fit| fit.gaps, |fit| fit.step_ms);
        let request_ms = median(|fit| fit.gaps, |fit| fit.request_ms);
        self.model = EngineModel {
            prefill_rate: rate.unwrap_or(prior.prefill_rate),
            first_ms: first_ms.unwrap_or(prior.first_ms),
            step_ms: step_ms.unwrap_or(prior.step_ms),
            request_ms: request_ms.unwrap_or(prior.request_ms),
            ..prior.clone()
        };
    }

    fn fit(&mut self) {
        let options = &self.options;
        let min_fit = MIN_FIT_SAMPLES;
        if self.gaps.len() >= min_fit {
            let gaps = self.gaps.iter();
            let samples: Vec<(f64, f64)> = gaps.map(|gap| (gap.found, gap.took_ms)).collect();
            let line = quantile_line(&samples, options.gap_quantile);
            self.own.gaps = count(self.gaps.len());
            self.own.step_ms = single(line.0.max(MIN_STEP_MS));
            self.own.request_ms = single(line.1.max(0.0));
        }
        if self.firsts.len() >= min_fit {
            // Steps are subtracted with the model's own values, so the rate is that of the prefill.
            let samples: Vec<(f64, f64)> = self
                .firsts
                .iter()
                .map(|first| {
                    let queue = first.found;
                    let steps = self.model.step_time_ms(queue.tokens, queue.running);
                    (queue.tokens, first.took_ms - steps)
                })
                .collect();
            let line = quantile_line(&samples, options.first_quantile);
            self.own.firsts = count(self.firsts.len());
            self.own.first_ms = single(line.0.max(0.0));
            self.own.prefill_ms = single(line.1.max(MIN_TOKEN_MS) * 1000.0);
        }
    }
}

/// Samples below which a node fits no line.
const MIN_FIT_SAMPLES: usize = 12;

/// Adds a sample, and drops those beyond the maximum number and those that are too old.
fn push_bounded<T>(samples: &mut VecDeque<Sample<T>>, sample: Sample<T>, options: &LearnOptions) {
    let now = sample.at;
    samples.push_back(sample);
    let is_old = |sample: &Sample<T>| now.since(sample.at) >= options.sample_ttl.0;
    let min = usize::try_from(options.min_samples).unwrap_or(usize::MAX);
    while samples.len() > options.max_samples
        || (samples.len() > min && samples.front().is_some_and(is_old))
    {
        samples.pop_front();
    }
}

/// Returns the median of values by weight, or `None` if the weights sum to less than `min`.
fn weighted_median(mut pairs: Vec<(f64, u32)>, min: u32) -> Option<f64> {
    pairs.retain(|(_, weight)| *weight > 0);
    let total: u64 = pairs.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total < u64::from(min) {
        return None;
    }
    pairs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut sum = 0;
    pairs
        .iter()
        .find(|(_, weight)| {
            sum += u64::from(*weight);
            2 * sum >= total
        })
        .map(|(value, _)| *value)
}

/// Iterations of the reweighted least squares, enough for the weights to settle.
const FIT_ITERATIONS: usize = 12;

/// Fits the line `offset + slope * x` below which a fraction `quantile` of the samples lies, by
/// iteratively reweighted least squares. Neither value becomes negative.
fn quantile_line(samples: &[(f64, f64)], quantile: f64) -> (f64, f64) {
    /// Residuals below this one get the same weight; otherwise a sample on the line would fix it.
    const MIN_RESIDUAL_MS: f64 = 0.05;
    let mut line = (0.0, 0.0);
    let mut weights = vec![1.0; samples.len()];
    for _ in 0..FIT_ITERATIONS {
        line = weighted_line(samples, &weights);
        for ((x, y), weight) in samples.iter().zip(&mut weights) {
            let residual = y - line.0 - line.1 * x;
            let side = if residual > 0.0 {
                quantile
            } else {
                1.0 - quantile
            };
            *weight = side / residual.abs().max(MIN_RESIDUAL_MS);
        }
    }
    line
}

fn weighted_line(samples: &[(f64, f64)], weights: &[f64]) -> (f64, f64) {
    let pairs = || samples.iter().zip(weights);
    let total: f64 = weights.iter().sum();
    let mean_x = pairs().map(|((x, _), weight)| weight * x).sum::<f64>() / total;
    let mean_y = pairs().map(|((_, y), weight)| weight * y).sum::<f64>() / total;
    let (spread, product) = pairs().fold((0.0, 0.0), |(spread, product), ((x, y), weight)| {
        let dx = x - mean_x;
        (
            spread + weight * dx * dx,
            product + weight * dx * (y - mean_y),
        )
    });
    if spread <= f64::EPSILON * total * mean_x * mean_x || product <= 0.0 {
        return (mean_y.max(0.0), 0.0);
    }
    let slope = product / spread;
    let offset = mean_y - slope * mean_x;
    if offset < 0.0 {
        let squares: f64 = pairs().map(|((x, _), weight)| weight * x * x).sum();
        let products: f64 = pairs().map(|((x, y), weight)| weight * x * y).sum();
        return (0.0, (products / squares).max(0.0));
    }
    (offset, slope)
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

#[expect(clippy::cast_possible_truncation, reason = "digests carry few digits")]
const fn single(value: f64) -> f32 {
    value as f32
}

fn millis(value: Millis) -> f64 {
    f64::from(u32::try_from(value.0).unwrap_or(u32::MAX))
}
