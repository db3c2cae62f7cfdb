//! Summary of the samples of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::send::Sample;
use super::{Kind, Mix, Options};
use crate::Terminal;

/// Percentiles of a latency curve, denser towards the tail.
const CURVE_PERCENTILES: [f64; 17] = [
    0.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 90.0, 95.0, 97.5, 99.0, 99.5, 99.75, 99.9,
    99.99,
];

/// Highest latency that a histogram records, 1 h.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requested calls per second.
    pub rate: f64,
    /// Time in which calls began, in seconds.
    pub seconds: u64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Weights of the kinds of calls.
    pub mix: Mix,
    /// Calls sent.
    pub calls: u64,
    /// Results of each kind of calls.
    pub kinds: BTreeMap<Kind, KindReport>,
    /// Time to the first token of completions.
    pub first: Latency,
    /// Time from one token to the next.
    pub between: Latency,
    /// Time to the end of a call, over all kinds.
    pub total: Latency,
    /// Delay from when a call was due until the generator sent it; the latencies include it.
    pub lag: Latency,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received more than once.
    pub repeated: u64,
    /// Tokens of a stream that were not received.
    pub skipped: u64,
    /// Number of times that a stream was resumed at another entry.
    pub resumes: u64,
    /// Calls by outcome, for each second in which they were due.
    pub timeline: Vec<BTreeMap<&'static str, u64>>,
}

/// Results of one kind of calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindReport {
    /// Calls sent.
    pub calls: u64,
    /// Calls by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Time to the first token.
    pub first: Latency,
    /// Time to the end of a call.
    pub total: Latency,
}

/// Distribution of latencies, in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Latency {
    /// Number of measurements.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
    /// Pairs of percentile and latency, for plots.
    pub curve: Vec<(f64, f64)>,
}

impl Latency {
    pub(super) fn new(times: impl IntoIterator<Item = Duration>) -> Self {
        // Latencies above the bound are recorded as the bound. A histogram without bounds is no
        // alternative: `saturating_record` does not resize it, so that its initial size would be
        // the limit.
        let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, 3);
        let mut histogram = histogram.expect("the bounds are in order");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            histogram.saturating_record(micros.max(1));
        }
        let count = histogram.len();
        if count == 0 {
            return Self::default();
        }
        let at = |percentile: f64| {
            let micros = histogram.value_at_percentile(percentile);
            Duration::from_micros(micros).as_secs_f64() * 1e3
        };
        Self {
            count,
            p50: at(50.0),
            p95: at(95.0),
            p99: at(99.0),
            max: at(100.0),
            curve: CURVE_PERCENTILES
                .iter()
                .map(|&percentile| (percentile, at(percentile)))
                .collect(),
        }
    }

    fn summary(&self) -> String {
        if self.count == 0 {
            return "-".into();
        }
        let Self {
            p50, p95, p99, max, ..
        } = self;
        format!(
            "p50 {p50:.2}  p95 {p95:.2}  p99 {p99:.2}  max {max:.2} ms  ({})",
            self.count
        )
    }
}

impl Report {
    pub(super) fn new(options: &Options, samples: &[Sample]) -> Self {
        let mut kinds = BTreeMap::<Kind, KindReport>::new();
        let length = usize::try_from(options.seconds).unwrap_or_default();
        let mut timeline = vec![BTreeMap::new(); length];
        for sample in samples {
            let kind = kinds.entry(sample.arrival.kind).or_default();
            kind.calls += 1;
            *kind.outcomes.entry(sample.outcome).or_default() += 1;
            let second = usize::try_from(sample.arrival.at.as_secs()).unwrap_or_default();
            if let Some(second) = timeline.get_mut(second) {
                *second.entry(sample.outcome).or_default() += 1;
            }
        }
        for (name, kind) in &mut kinds {
            let of_kind = || samples.iter().filter(|sample| sample.arrival.kind == *name);
            kind.first = Latency::new(of_kind().filter_map(|sample| sample.first_token));
            kind.total = Latency::new(of_kind().map(|sample| sample.total));
        }
        let sum = |of: fn(&Sample) -> u64| samples.iter().map(of).sum();
        Self {
            rate: options.rate,
            seconds: options.seconds,
            seed: options.seed,
            mix: options.mix.clone(),
            calls: samples.len() as u64,
            kinds,
            first: Latency::new(samples.iter().filter_map(|sample| sample.first_token)),
            between: Latency::new(
                samples
                    .iter()
                    .flat_map(|sample| sample.token_gaps.iter().copied()),
            ),
            total: Latency::new(samples.iter().map(|sample| sample.total)),
            lag: Latency::new(samples.iter().map(|sample| sample.lag)),
            tokens: sum(|sample| sample.tokens),
            repeated: sum(|sample| sample.repeated),
            skipped: sum(|sample| sample.skipped),
            resumes: sum(|sample| u64::from(sample.resumes)),
            timeline,
        }
    }

    pub(super) fn print(&self, terminal: &mut Terminal<'_>) {
        for (name, kind) in &self.kinds {
            let outcomes: Vec<_> = kind
                .outcomes
                .iter()
                .map(|(outcome, count)| format!("{outcome} {count}"))
                .collect();
            terminal.print(format!(
                "{name}: {}  total {}",
                outcomes.join(", "),
                kind.total.summary()
            ));
        }
        for (title, latency) in [
            ("first token", &self.first),
            ("between tokens", &self.between),
            ("total", &self.total),
            ("sent late by", &self.lag),
        ] {
            terminal.print(format!("{title:15} {}", latency.summary()));
        }
        terminal.print(format!(
            "calls {}  tokens {}  repeated {}  skipped {}  resumes {}",
            self.calls, self.tokens, self.repeated, self.skipped, self.resumes
        ));
    }
}
