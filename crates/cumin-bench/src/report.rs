//! What a replay measured, as a table and as JSON.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::workload::{Kind, Micros, User};

/// Counts of one replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub requests: u64,
    pub lost: u64,
    pub misses: u64,
    pub prefilled: u64,
    pub recomputed: u64,
    pub resumed: u64,
    pub moves: u64,
    pub gaps: u64,
    pub cost: f64,
    firsts: Vec<(Kind, Micros)>,
}

impl Tally {
    pub(crate) fn first(&mut self, kind: Kind, time: Micros) {
        self.firsts.push((kind, time));
    }

    /// Returns the 95th percentile of the time to the first token, milliseconds.
    fn p95(&self, kind: Option<Kind>) -> f64 {
        let of = |(one, _): &&(Kind, Micros)| kind.is_none_or(|kind| kind == *one);
        let mut times: Vec<Micros> = self.firsts.iter().filter(of).map(|(_, at)| *at).collect();
        times.sort_unstable();
        let index = (times.len() * 95).div_ceil(100).max(1) - 1;
        times
            .get(index)
            .map_or(0.0, |time| crate::workload::real(*time) / 1000.0)
    }

    pub(crate) fn row(&self, user: User, policy: &str) -> Row {
        Row {
            user,
            policy: policy.to_owned(),
            requests: self.requests,
            lost: self.lost,
            misses: self.misses,
            first: self.p95(None),
            kinds: Kind::ALL
                .map(|kind| (kind, self.p95(Some(kind))))
                .into_iter()
                .collect(),
            prefilled: self.prefilled,
            recomputed: self.recomputed,
            resumed: self.resumed,
            moves: self.moves,
            gaps: self.gaps,
            cost: (self.cost * 1e6).round() / 1e6,
        }
    }
}

/// What one policy did with one workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Whose workload.
    pub user: User,
    /// Name of the policy.
    pub policy: String,
    /// Requests sent.
    pub requests: u64,
    /// Requests without an answer at the end.
    pub lost: u64,
    /// Answers that ended after their deadline.
    pub misses: u64,
    /// 95th percentile of the time to the first token, milliseconds.
    pub first: f64,
    /// The same for each kind of request.
    pub kinds: Vec<(Kind, f64)>,
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Tokens prefilled that some engine had computed before.
    pub recomputed: u64,
    /// Of these, tokens of requests that moved in a reclaim.
    pub resumed: u64,
    /// Requests that moved.
    pub moves: u64,
    /// Gaps found in cache events.
    pub gaps: u64,
    /// Price of the engine time used, currency units.
    pub cost: f64,
}

/// A target and what was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Whose workload.
    pub user: User,
    /// The target in words.
    pub target: String,
    /// The measured value.
    pub seen: f64,
    /// Whether it holds.
    pub held: bool,
}

/// Result of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The workloads' seed.
    pub seed: u64,
    /// Simulated time of arrivals, seconds.
    pub seconds: u64,
    /// Notice before a place is lost, seconds.
    pub notice: u64,
    /// Time between two losses, seconds.
    pub every: u64,
    /// Transfer out of one instance, bytes a second.
    pub bandwidth: u64,
    /// One row for each user and policy.
    pub rows: Vec<Row>,
    /// The targets.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Returns the row of a policy.
    #[must_use]
    pub fn row(&self, user: User, policy: &str) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|row| row.user == user && row.policy == policy)
    }

    /// Returns whether every target holds.
    #[must_use]
    pub fn held(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.held)
    }

    pub(crate) fn judge(&mut self, user: User) {
        let find = |policy: &str| self.row(user, policy).expect("each policy has a row");
        let (own, drain, least) = (
            find("estimate"),
            find("estimate-no-export"),
            find("least-loaded"),
        );
        let real = crate::workload::real;
        let fewer = real(least.recomputed) / real(own.recomputed.max(1));
        let first = own.first / least.first;
        let share = real(own.resumed) / real(drain.resumed.max(1));
        let lost = real(own.lost);
        let verdicts = [
            (
                "recomputed tokens of least-loaded over ours, at least 2",
                fewer,
                fewer >= 2.0,
            ),
            (
                "p95 time to first token over that of least-loaded, at most 1",
                first,
                first <= 1.0,
            ),
            (
                "recomputed tokens of moved requests over those without export, at most 0.25",
                share,
                share <= 0.25,
            ),
            ("requests lost, none", lost, own.lost == 0),
        ];
        self.verdicts
            .extend(verdicts.map(|(target, seen, held)| Verdict {
                user,
                target: target.to_owned(),
                seen,
                held,
            }));
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed={} seconds={} notice={} every={} bandwidth={}",
            self.seed, self.seconds, self.notice, self.every, self.bandwidth
        )?;
        writeln!(
            f,
            "{:<7} {:<19} {:>8} {:>5} {:>6} {:>8} {:>8} {:>8} {:>8} {:>11} {:>11} {:>8} {:>6} {:>8}",
            "user",
            "policy",
            "requests",
            "lost",
            "missed",
            "p95 ms",
            "review",
            "check",
            "chat",
            "prefilled",
            "recomputed",
            "resumed",
            "moves",
            "cost",
        )?;
        for row in &self.rows {
            write!(
                f,
                "{:<7} {:<19} {:>8} {:>5} {:>6} {:>8.1}",
                row.user.to_string(),
                row.policy,
                row.requests,
                row.lost,
                row.misses,
                row.first,
            )?;
            for (_, first) in &row.kinds {
                write!(f, " {first:>8.1}")?;
            }
            writeln!(
                f,
                " {:>11} {:>11} {:>8} {:>6} {:>8.3}",
                row.prefilled, row.recomputed, row.resumed, row.moves, row.cost
            )?;
        }
        for verdict in &self.verdicts {
            let held = if verdict.held { "held" } else { "missed" };
            writeln!(
                f,
                "{:<7} {held:<7} {:>8.3}  {}",
                verdict.user.to_string(),
                verdict.seen,
                verdict.target
            )?;
        }
        Ok(())
    }
}
