//! Retry budget of a service, shared by all nodes.
//!
//! In any window, all nodes together may retry a given fraction of the requests to a service, plus
//! a constant. Each node applies the fraction to its own requests, so the sum holds without any
//! messages; the constant is divided by the number of nodes.

use std::collections::VecDeque;

use cumin_types::Millis;

/// Settings of [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Retries for each request.
    pub ratio: f64,
    /// Window over which requests and retries are counted.
    pub window: Millis,
    /// Retries that all nodes together may make in addition to the ratio.
    pub slack: f64,
    /// Fraction of the budget that is used; the rest covers attempts that are counted elsewhere.
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

/// The retry budget of one service at one node.
#[derive(Debug)]
pub struct RetryBudget {
    options: BudgetOptions,
    /// Times of first attempts.
    first_attempts: VecDeque<Millis>,
    /// Times of retries.
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub const fn new(options: BudgetOptions) -> Self {
        Self {
            options,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn count_first(&mut self, now: Millis) {
        self.trim(now);
        self.first_attempts.push_back(now);
    }

    /// Returns how many retries are left when `nodes` nodes share the budget.
    pub fn remaining(&mut self, nodes: usize, now: Millis) -> f64 {
        self.trim(now);
        let earned = count(self.first_attempts.len()) * self.options.ratio;
        let slack = self.options.slack / count(nodes.max(1));
        (earned + slack) * self.options.used_share - count(self.retries.len())
    }

    /// Takes a retry from the budget and returns whether one was left.
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
