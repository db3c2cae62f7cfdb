//! Budget for further attempts at a service, of which every node has a part.
//!
//! All nodes together may send a service a stated part of its requests again, plus a constant,
//! in any window. A node counts only its own requests, so the sum keeps the part without any
//! message; the constant is divided by the number of nodes.

use std::collections::VecDeque;

use cumin_types::Millis;

/// Settings of [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Further attempts for each request.
    pub ratio: f64,
    /// Span over which both are counted.
    pub window: Millis,
    /// Further attempts allowed to all nodes without any request.
    pub slack: f64,
    /// Part of both that is used; the rest covers attempts that are counted elsewhere.
    pub used_share: f64,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window: Millis(10_000),
            slack: 50.0,
            used_share: 0.6,
        }
    }
}

/// The budget of one service at one node.
#[derive(Debug)]
pub struct RetryBudget {
    options: BudgetOptions,
    /// Times of first attempts.
    first_attempts: VecDeque<Millis>,
    /// Times of retries.
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Makes a budget that nothing was taken from.
    #[must_use]
    pub const fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request's first attempt.
    pub fn count_first(&mut self, now: Millis) {
        self.trim(now);
        self.first_attempts.push_back(now);
    }

    /// Returns how many further attempts are left, with `nodes` nodes.
    pub fn remaining(&mut self, nodes: usize, now: Millis) -> f64 {
        self.trim(now);
        let earned = count(self.first_attempts.len()) * self.options.ratio;
        let slack = self.options.slack / count(nodes.max(1));
        (earned + slack) * self.options.used_share - count(self.retries.len())
    }

    /// Takes a further attempt if one is left.
    pub fn try_take(&mut self, nodes: usize, now: Millis) -> bool {
        let allowed = self.remaining(nodes, now) >= 1.0;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    fn trim(&mut self, now: Millis) {
        let window = self.options.window.0;
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}

fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
