//! Comparison of a version with the old one at the same time on the same route.
//!
//! The statistic is the logarithm of the likelihood ratio of "the two sides have different rates of
//! bad answers" to "both have the same rate". Answers are not independent: one crash or one slow
//! spell of an endpoint makes many answers bad at the same moment. The windows with most bad
//! answers are therefore left out; a fault of the version goes on after them.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use cumin_types::Millis;

use super::evidence::{BUCKETS, Counts, Sides, Tally, add_counts};

/// Length of a window. Slow spells of endpoints last about 600 ms, so that two windows cover most
/// of one.
const WINDOW: Millis = Millis(500);

/// Windows that are taken together for the variance of slow answers: a slow spell spans two or three.
const BLOCK: usize = 3;

/// Counts of a window without requests of a route.
static EMPTY: Sides = Sides {
    old: EMPTY_TALLY,
    new: EMPTY_TALLY,
};

const EMPTY_TALLY: Tally = Tally {
    sent: 0,
    answers: 0,
    failures: 0,
    broken: 0,
    first: [0; BUCKETS],
    pace: [0; BUCKETS],
};

/// Number of windows kept by themselves; older ones are summed.
const MAX_WINDOWS: usize = 64;

/// Windows with most incomplete answers that do not count: those of the crash of an endpoint.
const EXCUSED_BROKEN: usize = 2;

/// The same for slow answers. One in a slow spell is seldom as slow as those that count.
const EXCUSED_SLOW: usize = 1;

/// Numbers of the latest windows that are judged besides all of them: a version that turns bad late
/// must not be excused by its earlier answers.
const SPANS: [usize; 4] = [6, 12, 24, 64];

/// Least logarithm of the likelihood ratio at which a version is bad. A value of 11 occurs by chance
/// once in 10^6 looks at independent answers. A roll-out has some hundred looks, most of them at
/// almost the same answers.
const MIN_EVIDENCE: f64 = 11.0;

/// Part of the least evidence that is enough at the single look before the traffic moves.
const LAST_LOOK: f64 = 0.6;

/// The same for slow answers, whose number depends on the load.
const LAST_LOOK_SLOW: f64 = 0.85;

/// Share of slow answers of a bad version, relative to the old one; a part of it is in each level.
const MIN_SLOW_RATIO: f64 = 2.0;

/// Number of windows with slow answers: two slow spells of an endpoint have fewer.
const MIN_SLOW_WINDOWS: usize = 5;

/// From which times answers count as slow, and the evidence that is needed.
#[derive(Clone, Copy, Debug)]
struct SlowLevel {
    /// Number of buckets above the one of the old version's median.
    above: usize,
    least: f64,
    /// Least share of slow answers beyond that of the old version.
    share: f64,
}

/// Levels where the old version's slow answers come in bursts. An endpoint in a slow spell, up to
/// 2.5 times slower, answers few requests in more than 4 times the median.
const BURST_LEVELS: [SlowLevel; 1] = [SlowLevel {
    above: 5,
    least: 26.0,
    share: 0.06,
}];

/// Levels where they are independent.
const STEADY_LEVELS: [SlowLevel; 2] = [
    SlowLevel {
        above: 3,
        least: 18.0,
        share: 0.1,
    },
    SlowLevel {
        above: 5,
        least: 18.0,
        share: 0.05,
    },
];

/// Variance of slow answers, relative to independent ones, from which they come in bursts.
const BURST_SPREAD: f64 = 1.4;

/// Windows until that variance is known.
const MIN_SPREAD_WINDOWS: usize = 20;

/// Buckets above the old version's median from which answers count as slow in the sum over windows.
const NEAR_BUCKETS: usize = 3;

/// Rate of slow answers of a bad version that the sum over windows is tuned to: this much above the
/// old one's, and at least so many times it.
const BAD_RATE_ABOVE: f64 = 0.2;
const BAD_RATE_RATIO: f64 = 2.5;

/// Limits of the sum over windows. Slow spells of endpoints give single windows with many slow
/// answers, a bad version many windows with some.
#[derive(Clone, Copy, Debug)]
struct SumLimits {
    /// Most that one window adds.
    window: f64,
    /// Sum at which a version is bad.
    least: f64,
}

const STEADY_SUM: SumLimits = SumLimits {
    window: 1.5,
    least: 17.0,
};

const BURST_SUM: SumLimits = SumLimits {
    window: 1.3,
    least: 16.0,
};

/// Fewest answers of the old version in a span; with fewer, all of its answers are compared.
const MIN_OLD_ANSWERS: u32 = 50;

/// What an answer was bad for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It was a server error.
    Failed,
    /// It was a server error, or not complete.
    Broken,
    /// Its first event or its whole was slow.
    Slow,
    /// The events of its stream were slow.
    SlowPace,
}

/// Why a version is bad.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// The route.
    pub route: Arc<str>,
    /// What its answers were bad for.
    pub fault: Fault,
    /// Bad answers and all answers of the target version.
    pub new: (u32, u32),
    /// The same of the old version.
    pub old: (u32, u32),
    /// Logarithm of the likelihood ratio.
    pub evidence: f64,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "route={} fault={:?} new={}/{} old={}/{} evidence={:.1}",
            self.route, self.fault, self.new.0, self.new.1, self.old.0, self.old.1, self.evidence
        )
    }
}

/// Counts over time.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    /// Sum that was last observed.
    last: Counts,
    /// Changes by window, the newest last.
    windows: VecDeque<Counts>,
    /// Changes before these windows.
    older: Counts,
    /// Start of the newest window.
    window_start: Millis,
}

impl Watch {
    /// Adds what has changed in the sum of all counts.
    pub fn observe(&mut self, total: &Counts, now: Millis) {
        if self.windows.is_empty() || now.since(self.window_start) >= WINDOW.0 {
            self.windows.push_back(Counts::new());
            self.window_start = now;
        }
        if self.windows.len() > MAX_WINDOWS
            && let Some(oldest) = self.windows.pop_front()
        {
            add_counts(&mut self.older, &oldest);
        }
        let Some(newest) = self.windows.back_mut() else {
            return;
        };
        for (route, sides) in total {
            let last = self.last.entry(route.clone()).or_default();
            let mut change = sides.clone();
            change.subtract(last);
            newest.entry(route.clone()).or_default().add(&change);
            *last = sides.clone();
        }
    }

    /// Returns why the version is bad, if it is. Less evidence is enough at the last look.
    #[must_use]
    pub fn bad(&self, is_last: bool) -> Option<Evidence> {
        let part = if is_last { LAST_LOOK } else { 1.0 };
        let lengths = SPANS.iter().filter(|span| **span < self.windows.len());
        let starts = lengths.map(|span| (self.windows.len() - span, false));
        starts.chain([(0, true)]).find_map(|(start, all)| {
            let spans: Vec<Span<'_>> = self
                .last
                .iter()
                .filter(|(_, total)| total.new.answers > 0)
                .map(|(route, total)| self.span(route, total, start, all))
                .collect();
            let judge = |spans: &[Span<'_>]| judge(spans, part, all);
            let single = spans
                .iter()
                .find_map(|span| judge(std::slice::from_ref(span)));
            single.or_else(|| judge(&spans))
        })
    }

    /// Returns the counts of a route in the windows from `start` on, and before them if `all`.
    fn span<'a>(&'a self, route: &'a Arc<str>, total: &Sides, start: usize, all: bool) -> Span<'a> {
        let all_windows = self.windows.iter();
        let all_windows: Vec<&Sides> = all_windows
            .map(|window| window.get(route).unwrap_or(&EMPTY))
            .collect();
        let windows = self.windows.iter().skip(start);
        let windows: Vec<&Sides> = windows.filter_map(|window| window.get(route)).collect();
        let older = self.older.get(route).filter(|_| all);
        let mut sum = older.cloned().unwrap_or_default();
        let before = sum.new.clone();
        for window in &windows {
            sum.add(window);
        }
        let is_enough = sum.old.answers >= MIN_OLD_ANSWERS;
        Span {
            route,
            all_windows,
            windows,
            before,
            old: if is_enough {
                sum.old
            } else {
                total.old.clone()
            },
        }
    }
}

/// Counts of one route in some windows.
struct Span<'a> {
    route: &'a Arc<str>,
    windows: Vec<&'a Sides>,
    /// These and the windows before them.
    all_windows: Vec<&'a Sides>,
    /// Answers of the target version before the windows.
    before: Tally,
    /// Answers of the old version.
    old: Tally,
}

/// Name of the routes that are judged together, in log lines.
const ALL_ROUTES: &str = "*";

/// Compares the versions on some routes together.
fn judge(spans: &[Span<'_>], part: f64, all: bool) -> Option<Evidence> {
    let failed = |span: &Span<'_>| {
        let count = |tally: &Tally| (tally.failures, tally.answers);
        (span.new_counts(0, count), count(&span.old))
    };
    let broken = |span: &Span<'_>| {
        let count = |tally: &Tally| (tally.failures + tally.broken, tally.answers);
        (span.new_counts(EXCUSED_BROKEN, count), count(&span.old))
    };
    let found = [
        combine(spans, Fault::Failed, failed),
        combine(spans, Fault::Broken, broken),
    ];
    let is_bad = |found: &Evidence| found.evidence >= MIN_EVIDENCE * part;
    if let Some(found) = found.into_iter().find(is_bad) {
        return Some(found);
    }
    for (fault, histogram) in [
        (Fault::Slow, first as fn(&Tally) -> &[u32; BUCKETS]),
        (Fault::SlowPace, pace),
    ] {
        let known = spans
            .iter()
            .any(|span| span.all_windows.len() >= MIN_SPREAD_WINDOWS);
        let spread = spread_of(spans, histogram, STEADY_LEVELS[0].above);
        let is_steady = known && spread < BURST_SPREAD;
        let (levels, limits) = if is_steady {
            (&STEADY_LEVELS[..], STEADY_SUM)
        } else {
            (&BURST_LEVELS[..], BURST_SUM)
        };
        if all && let Some(found) = sum_of_windows(spans, fault, histogram, limits, part) {
            return Some(found);
        }
        for SlowLevel {
            above,
            least,
            share: more,
        } in levels.iter().copied()
        {
            let slow = |span: &Span<'_>| {
                let Some(median) = median(histogram(&span.old)) else {
                    return Default::default();
                };
                let start = (median + above).min(BUCKETS - 1);
                let count = |tally: &Tally| {
                    let histogram = histogram(tally);
                    (histogram[start..].iter().sum(), histogram.iter().sum())
                };
                (span.new_counts(EXCUSED_SLOW, count), count(&span.old))
            };
            let mut found = combine(spans, fault, slow);
            found.evidence /= spread_of(spans, histogram, above);
            let is_large = share(found.new) >= MIN_SLOW_RATIO * share(found.old) + more;
            let windows = slow_windows(spans, histogram, above);
            let is_large = is_large && windows >= MIN_SLOW_WINDOWS;
            if is_large && found.evidence >= least * part.max(LAST_LOOK_SLOW) {
                return Some(found);
            }
        }
    }
    None
}

/// Returns the evidence of slow answers as a sum over windows that starts again whenever it falls
/// below zero, and counts each window up to a limit.
fn sum_of_windows(
    spans: &[Span<'_>],
    fault: Fault,
    histogram: fn(&Tally) -> &[u32; BUCKETS],
    limits: SumLimits,
    part: f64,
) -> Option<Evidence> {
    let mut windows = Vec::new();
    let mut found = combine(spans, fault, |_| Default::default());
    for span in spans {
        let Some(median) = median(histogram(&span.old)) else {
            continue;
        };
        let start = (median + NEAR_BUCKETS).min(BUCKETS - 1);
        let slow = |tally: &Tally| -> (u32, u32) {
            let histogram = histogram(tally);
            (histogram[start..].iter().sum(), histogram.iter().sum())
        };
        let old = slow(&span.old);
        if old.1 < MIN_OLD_ANSWERS {
            continue;
        }
        found.old = (found.old.0 + old.0, found.old.1 + old.1);
        let good = f64::from(old.0 + 1) / f64::from(old.1 + 2);
        let bad = f64::max(good * BAD_RATE_RATIO, good + BAD_RATE_ABOVE).min(0.95);
        windows.resize(windows.len().max(span.all_windows.len()), 0.0);
        for (sum, window) in windows.iter_mut().zip(&span.all_windows) {
            let (slow, all) = slow(&window.new);
            found.new = (found.new.0 + slow, found.new.1 + all);
            *sum += f64::from(slow) * (bad / good).ln()
                + f64::from(all - slow) * ((1.0 - bad) / (1.0 - good)).ln();
        }
    }
    for window in windows {
        let sum: f64 = found.evidence + f64::min(window, limits.window);
        found.evidence = sum.max(0.0);
    }
    (found.evidence >= limits.least * part.max(LAST_LOOK_SLOW)).then_some(found)
}

/// Returns the number of windows with slow answers of the target version.
fn slow_windows(
    spans: &[Span<'_>],
    histogram: fn(&Tally) -> &[u32; BUCKETS],
    above: usize,
) -> usize {
    let count = |span: &Span<'_>| {
        let start = median(histogram(&span.old)).map(|median| (median + above).min(BUCKETS - 1));
        let is_slow = |tally: &Tally| {
            start.is_some_and(|start| histogram(tally)[start..].iter().any(|count| *count > 0))
        };
        let before = if is_slow(&span.before) {
            MIN_SLOW_WINDOWS
        } else {
            0
        };
        before + span.windows.iter().filter(|w| is_slow(&w.new)).count()
    };
    spans.iter().map(count).max().unwrap_or(0)
}

/// Returns by how much the variance of the old version's slow answers exceeds that of independent
/// ones, at least 1. Slow spells make the answers of an endpoint slow together.
fn spread_of(spans: &[Span<'_>], histogram: fn(&Tally) -> &[u32; BUCKETS], above: usize) -> f64 {
    let slow = |tally: &Tally, start: usize| -> (f64, f64) {
        let histogram = histogram(tally);
        let bad: u32 = histogram[start..].iter().sum();
        let all: u32 = histogram.iter().sum();
        (f64::from(bad), f64::from(all))
    };
    let blocks = spans.iter().map(|span| span.all_windows.len()).max();
    let blocks = blocks.unwrap_or(0).div_ceil(BLOCK);
    let mut excess = vec![(0.0, 0.0); blocks];
    for span in spans {
        let Some(median) = median(histogram(&span.old)) else {
            continue;
        };
        let start = (median + above).min(BUCKETS - 1);
        let windows = span.all_windows.iter();
        let counts: Vec<(f64, f64)> = windows.map(|w| slow(&w.old, start)).collect();
        let sum = counts
            .iter()
            .fold((0.0, 0.0), |s, c| (s.0 + c.0, s.1 + c.1));
        let rate: f64 = sum.0 / f64::max(sum.1, 1.0);
        for (block, counts) in excess.iter_mut().zip(counts.chunks(BLOCK)) {
            for (bad, all) in counts {
                block.0 += bad - all * rate;
                block.1 += all * rate * (1.0 - rate);
            }
        }
    }
    let square: f64 = excess.iter().map(|block| block.0 * block.0).sum();
    let variance: f64 = excess.iter().map(|block| block.1).sum();
    if variance > 0.0 {
        (square / variance).max(1.0)
    } else {
        1.0
    }
}

/// Sums the evidence on routes: routes on which the new version is better count against it.
fn combine(
    spans: &[Span<'_>],
    fault: Fault,
    counts: impl Fn(&Span<'_>) -> ((u32, u32), (u32, u32)),
) -> Evidence {
    let mut sum = Evidence {
        route: match spans {
            [span] => span.route.clone(),
            _ => Arc::from(ALL_ROUTES),
        },
        fault,
        new: (0, 0),
        old: (0, 0),
        evidence: 0.0,
    };
    for span in spans {
        let (new, old) = counts(span);
        sum.evidence += evidence(new, old);
        sum.new = (sum.new.0 + new.0, sum.new.1 + new.1);
        sum.old = (sum.old.0 + old.0, sum.old.1 + old.1);
    }
    sum
}

impl Span<'_> {
    /// Returns the bad and all answers of the target version, without those of the worst windows.
    fn new_counts(&self, excused: usize, count: impl Fn(&Tally) -> (u32, u32)) -> (u32, u32) {
        let mut counts: Vec<(u32, u32)> = self.windows.iter().map(|w| count(&w.new)).collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let kept = counts.into_iter().skip(excused);
        kept.fold(count(&self.before), |sum, one| {
            (sum.0 + one.0, sum.1 + one.1)
        })
    }
}

const fn first(tally: &Tally) -> &[u32; BUCKETS] {
    &tally.first
}

const fn pace(tally: &Tally) -> &[u32; BUCKETS] {
    &tally.pace
}

/// Returns the first bucket at which half of the counts are reached.
fn median(histogram: &[u32; BUCKETS]) -> Option<usize> {
    let total: u32 = histogram.iter().sum();
    let mut sum = 0;
    histogram.iter().position(|count| {
        sum += count;
        total > 0 && sum * 2 >= total
    })
}

fn share((bad, all): (u32, u32)) -> f64 {
    f64::from(bad) / f64::from(all.max(1))
}

/// Returns the logarithm of the likelihood ratio of two rates to one, negative if the new one is
/// lower.
fn evidence(new: (u32, u32), old: (u32, u32)) -> f64 {
    if new.1 == 0 || old.1 == 0 {
        return 0.0;
    }
    let likelihood = |(bad, all): (u32, u32)| {
        let term = |count: u32| {
            let count = f64::from(count);
            if count > 0.0 {
                count * (count / f64::from(all)).ln()
            } else {
                0.0
            }
        };
        term(bad) + term(all - bad)
    };
    let ratio = likelihood(new) + likelihood(old) - likelihood((new.0 + old.0, new.1 + old.1));
    if share(new) > share(old) {
        ratio
    } else {
        -ratio
    }
}
