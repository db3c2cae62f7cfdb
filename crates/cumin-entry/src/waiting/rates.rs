//! Decayed counts of what was asked for and served, from which rates, relief and weights follow.

use std::collections::HashMap;

use cumin_types::{Millis, Organisation};

use super::RANKS;

/// Time constant of the counts by rank, in milliseconds. Capacity is short for 3 to 6 s at a time.
const RANK_SPAN_MS: f64 = 4000.0;

/// Time constant of the rate of work that arrives, in milliseconds. At
/// many entries each sees few requests a second, and a mean over 1 s varies by half.
const ARRIVAL_SPAN_MS: f64 = 3000.0;

/// Time constant of the usual work of an organisation, in milliseconds. It is long against a rise of
/// 9 s, so that such a rise does not count as usual.
const USUAL_SPAN_MS: f64 = 60_000.0;

/// Requests of a rank below which its shares say nothing.
const MIN_OFFERED: f64 = 4.0;

/// Number of organisations from which those without recent work are forgotten.
const MAX_ORGS: usize = 256;

/// Weight of an organisation to which all of the work belongs.
const WEIGHT_SCALE: f64 = 10_000.0;

/// A sum that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    sum: f64,
    updated: Millis,
}

impl Decayed {
    fn add(&mut self, value: f64, span_ms: f64, now: Millis) {
        self.sum = (self.get(span_ms, now) + value).max(0.0);
        self.updated = self.updated.max(now);
    }

    fn get(self, span_ms: f64, now: Millis) -> f64 {
        self.sum * (-super::service::float(now.since(self.updated)) / span_ms).exp()
    }
}

/// Minimum weight of a new value in a moving mean.
const MEAN_WEIGHT: f64 = 0.02;

/// A moving mean; the first values count equally.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    value: f64,
    count: f64,
}

impl Mean {
    pub(super) fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.value += (value - self.value) * MEAN_WEIGHT.max(1.0 / self.count);
    }

    /// Returns the mean; `None` without values.
    pub(super) fn get(self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }
}

/// Part of the requests of a rank whose time to the first event is at most the usual one.
const USUAL_PART: f64 = 0.97;

/// Part of the requests of a rank that are not among the largest.
const LARGE_PART: f64 = 0.9;

/// Part of the share of a rank below which its largest requests are preferred. Callers need a half.
const LARGE_RELIEF: f64 = 0.75;

/// Step of the estimate of the usual time, as part of its value.
const USUAL_STEP: f64 = 0.3;

/// A quantile of values, estimated in steps.
#[derive(Clone, Copy, Debug, Default)]
struct Quantile {
    value: f64,
}

impl Quantile {
    fn add(&mut self, value: f64, part: f64) {
        let step = if value > self.value { part } else { part - 1.0 };
        self.value = (self.value * (1.0 + USUAL_STEP * step)).max(1.0);
        if value < self.value && step > 0.0 {
            self.value = value;
        }
    }
}

/// Counts of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankRates {
    offered: Decayed,
    served: Decayed,
    arrivals: Decayed,
    /// Time to the first event that almost all requests have.
    first: Quantile,
    /// Time to the first event from which a prompt is one of the largest tenth.
    large: Quantile,
    large_offered: Decayed,
    large_served: Decayed,
}

/// Counts of one service at one entry.
#[derive(Debug, Default)]
pub(super) struct Rates {
    ranks: [RankRates; RANKS],
    usual: HashMap<Organisation, Decayed>,
    /// Usual work of all organisations.
    all: Decayed,
    /// Time of the first request.
    since: Option<Millis>,
}

impl Rates {
    /// Counts a new request.
    pub(super) fn offered(&mut self, org: &Organisation, rank: usize, work_us: u64, now: Millis) {
        self.since.get_or_insert(now);
        let work = super::service::float(work_us);
        let rates = &mut self.ranks[rank];
        rates.offered.add(1.0, RANK_SPAN_MS, now);
        rates.arrivals.add(1.0, ARRIVAL_SPAN_MS, now);
        if self.usual.len() >= MAX_ORGS && !self.usual.contains_key(org) {
            self.usual
                .retain(|_, usual| usual.get(USUAL_SPAN_MS, now) > work);
        }
        let usual = self.usual.entry(org.clone()).or_default();
        usual.add(work, USUAL_SPAN_MS, now);
        self.all.add(work, USUAL_SPAN_MS, now);
    }

    /// Returns the time to the first event that almost all requests of a rank have, if `first` is that
    /// of a new one.
    pub(super) fn usual_first(&mut self, rank: usize, first: Millis) -> Millis {
        let quantile = &mut self.ranks[rank].first;
        quantile.add(super::service::float(first.0), USUAL_PART);
        super::service::millis(quantile.value)
    }

    /// Returns whether a request is one of the largest of its rank, and counts it if it is new.
    pub(super) fn is_large(
        &mut self,
        rank: usize,
        first: Millis,
        is_new: bool,
        now: Millis,
    ) -> bool {
        let value = super::service::float(first.0);
        let rates = &mut self.ranks[rank];
        if is_new {
            rates.large.add(value, LARGE_PART);
        }
        let is_large = value >= rates.large.value;
        if is_large && is_new {
            rates.large_offered.add(1.0, RANK_SPAN_MS, now);
        }
        is_large
    }

    /// Counts one of the largest requests that may be sent.
    pub(super) fn large_served(&mut self, rank: usize, now: Millis) {
        self.ranks[rank].large_served.add(1.0, RANK_SPAN_MS, now);
    }

    /// Returns whether too few of the largest requests of a rank are served.
    pub(super) fn prefers_large(&self, rank: usize, now: Millis) -> bool {
        let rates = &self.ranks[rank];
        let offered = rates.large_offered.get(RANK_SPAN_MS, now);
        let share = rates.large_served.get(RANK_SPAN_MS, now) / offered.max(1.0);
        let whole = self.share(rank, now);
        whole.is_some_and(|whole| share < whole * LARGE_RELIEF)
    }

    /// Counts a request that may be sent; `count` is negative for one that was not.
    pub(super) fn served(&mut self, rank: usize, count: f64, now: Millis) {
        self.ranks[rank].served.add(count, RANK_SPAN_MS, now);
    }

    /// Returns the weight of an organisation: its part of the usual work.
    pub(super) fn weight(&self, org: &Organisation, now: Millis) -> u32 {
        let usual = self.usual.get(org).copied().unwrap_or_default();
        let all = self.all.get(USUAL_SPAN_MS, now).max(1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates, and the value is not negative"
        )]
        let weight = (usual.get(USUAL_SPAN_MS, now) / all * WEIGHT_SCALE) as u32;
        weight.max(1)
    }

    /// Returns the requests per second that arrive here in ranks more urgent than `rank`.
    pub(super) fn urgent(&self, rank: usize, now: Millis) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let elapsed = super::service::float(now.since(since)).max(ARRIVAL_SPAN_MS / 4.0);
        let covered = ARRIVAL_SPAN_MS * (1.0 - (-elapsed / ARRIVAL_SPAN_MS).exp()) / 1000.0;
        let ranks = self.ranks[..rank].iter();
        let arrivals = ranks.map(|rates| rates.arrivals.get(ARRIVAL_SPAN_MS, now));
        arrivals.sum::<f64>() / covered
    }

    /// Returns the share of the requests of a rank that was served; `None` if there were few.
    fn share(&self, rank: usize, now: Millis) -> Option<f64> {
        let rates = &self.ranks[rank];
        let offered = rates.offered.get(RANK_SPAN_MS, now);
        let served = rates.served.get(RANK_SPAN_MS, now);
        (offered >= MIN_OFFERED).then(|| served / offered)
    }

    /// Returns the ranks of which a smaller share is served than `relief` of the share of all.
    pub(super) fn starved(&self, relief: f64, now: Millis) -> u64 {
        let ranks = self.ranks.iter();
        let (offered, served) = ranks.fold((0.0, 0.0), |(offered, served), rates| {
            (
                offered + rates.offered.get(RANK_SPAN_MS, now),
                served + rates.served.get(RANK_SPAN_MS, now),
            )
        });
        let limit = relief * served / f64::max(offered, 1.0);
        let is_starved = |rank: &usize| self.share(*rank, now).is_some_and(|share| share < limit);
        let starved = (0..RANKS).filter(is_starved);
        starved.fold(0, |set, rank| set | 1 << rank)
    }

    /// Returns whether a larger share of `rank` is served than of a more urgent rank, by more than
    /// `margin`.
    pub(super) fn is_inverted(&self, rank: usize, margin: f64, now: Millis) -> bool {
        let Some(share) = self.share(rank, now) else {
            return false;
        };
        let mut urgent = (0..rank).filter_map(|rank| self.share(rank, now));
        urgent.any(|other| other + margin < share)
    }
}
