//! Trials: few of the requests that measured times would refuse, whose answers bring new ones.

use cumin_types::Millis;

use super::{Need, Selector, millis};
use crate::fleet::Endpoint;

impl Selector {
    /// Decides whether a request that would be refused by measured times runs as a trial.
    ///
    /// Trials take no place from other requests: one of a plain service runs alone at its endpoint,
    /// and one of an engine in a free slot while no other prompt is prefilled there.
    pub(super) fn take_trial(&mut self, endpoint: &Endpoint, need: &Need, now: Millis) -> bool {
        let load = self.loads.entry(endpoint.name.clone()).or_default();
        let (running, prefill_tokens) = load.total(now);
        if need.engine {
            let is_free = running < f64::from(endpoint.slots) && prefill_tokens == 0.0;
            let learner = self.learner(&endpoint.service);
            return is_free && !need.retry && learner.take_trial(need.once, now);
        }
        load.trials.earn();
        running == 0.0 && load.trials.take(need.once)
    }

    /// Returns the time until the goal of a request whose estimate exceeds it, which only a trial's
    /// does.
    pub(super) fn trial_goal(&self, need: &Need, estimate_ms: f64) -> Option<f64> {
        let goal_ms = millis(need.goal_left) * self.options.goal_share;
        (estimate_ms > goal_ms).then_some(goal_ms)
    }
}
