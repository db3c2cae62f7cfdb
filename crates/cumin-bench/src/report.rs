//! Results of the simulations, as a table and as JSON.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::workload::{Kind, Micros, User};

/// Counters of one simulation.
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
    first_tokens: Vec<(Kind, Micros)>,
}

impl Tally {
    /// Records the time to the first token of a request.
    pub(crate) fn record_first_token(&mut self, kind: Kind, time: Micros) {
        self.first_tokens.push((kind, time));
    }

    /// Returns the 95th percentile of the time to the first token, milliseconds; `None` covers all
    /// kinds.
    fn first_token_p95(&self, kind: Option<Kind>) -> f64 {
        let of = |(one, _): &&(Kind, Micros)| kind.is_none_or(|kind| kind == *one);
        let mut times: Vec<Micros> = self
            .first_tokens
            .iter()
            .filter(of)
            .map(|(_, at)| *at)
            .collect();
        times.sort_unstable();
        let index = (times.len() * 95).div_ceil(100).max(1) - 1;
        times
            .get(index)
            .map_or(0.0, |time| crate::workload::to_f64(*time) / 1000.0)
    }

    pub(crate) fn row(&self, user: User, policy: &str) -> Row {
        Row {
            user,
            policy: policy.to_owned(),
            requests: self.requests,
            lost: self.lost,
            misses: self.misses,
            first: self.first_token_p95(None),
            kinds: Kind::ALL
                .map(|kind| (kind, self.first_token_p95(Some(kind))))
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

/// Result of one policy on one workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Operator whose workload it is.
    pub user: User,
    /// Name of the policy.
    pub policy: String,
    /// Requests sent.
    pub requests: u64,
    /// Requests without a complete answer at the end.
    pub lost: u64,
    /// Answers that ended after their deadline.
    pub misses: u64,
    /// 95th percentile of the time to the first token, milliseconds.
    pub first: f64,
    /// The same for each kind of request, milliseconds.
    pub kinds: Vec<(Kind, f64)>,
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Prefilled tokens that some engine had computed before.
    pub recomputed: u64,
    /// Those of the recomputed tokens that belong to requests moved by a reclaim.
    pub resumed: u64,
    /// Moves of requests.
    pub moves: u64,
    /// Gaps detected in cache events.
    pub gaps: u64,
    /// Cost of the engine time used, currency units.
    pub cost: f64,
}

/// A target and the measured value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Operator whose workload it is.
    pub user: User,
    /// Description of the target.
    pub target: String,
    /// The measured value.
    pub seen: f64,
    /// Whether the target is met.
    pub held: bool,
}

/// Result of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the workloads and the simulations.
    pub seed: u64,
    /// Simulated time during which callers arrive, seconds.
    pub seconds: u64,
    /// Notice before a place is reclaimed, seconds.
    pub notice: u64,
    /// Time between two reclaims, seconds.
    pub every: u64,
    /// Bandwidth out of one instance, bytes a second.
    pub bandwidth: u64,
    /// One row for each user and policy.
    pub rows: Vec<Row>,
    /// One verdict for each user and target.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Returns the row of a policy.
    #[must_use]
    pub fn row(&self, user: User, policy: &str) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|row| row.user == user && row.policy == policy)
    }

    /// Returns whether every target is met.
    #[must_use]
    pub fn all_held(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.held)
    }

    /// Adds the verdicts on the targets for one user.
    pub(crate) fn check_targets(&mut self, user: User) {
        let find = |policy: &str| self.row(user, policy).expect("each policy has a row");
        let (estimate, drain, least) = (
            find("estimate"),
            find("estimate-no-export"),
            find("least-loaded"),
        );
        let to_f64 = crate::workload::to_f64;
        let recompute_ratio = to_f64(least.recomputed) / to_f64(estimate.recomputed.max(1));
        let first_ratio = estimate.first / least.first;
        let export_ratio = to_f64(estimate.resumed) / to_f64(drain.resumed.max(1));
        let lost = to_f64(estimate.lost);
        let verdicts = [
            (
                "recomputed tokens of least-loaded over ours, at least 2",
                recompute_ratio,
                recompute_ratio >= 2.0,
            ),
            (
                "p95 time to first token over that of least-loaded, at most 1",
                first_ratio,
                first_ratio <= 1.0,
            ),
            (
                "recomputed tokens of moved requests over those without export, at most 0.25",
                export_ratio,
                export_ratio <= 0.25,
            ),
            ("requests lost, none", lost, estimate.lost == 0),
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
