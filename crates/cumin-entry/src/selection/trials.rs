//! Trials: few of the requests that measured times would refuse, whose answers bring new ones.

use cumin_types::Millis;

use super::{Need, Selector};
use crate::fleet::Endpoint;

/// Share of the requests that would be refused by measured times that run as trials, and the maximum
/// number of trials that are saved up.
const TRIAL_SHARE: f64 = 0.1;
const MAX_TRIALS: f64 = 2.0;

impl Selector {
    /// Decides whether a plain request that would be refused by measured times runs as a trial.
    ///
    /// Trials are at most [`TRIAL_SHARE`] of such requests, half of that for requests that may run
    /// once only, and run alone at an endpoint, so that they take no place from other requests.
    pub(super) fn take_trial(&mut self, endpoint: &Endpoint, need: &Need, now: Millis) -> bool {
        let load = self.loads.entry(endpoint.name.clone()).or_default();
        let needed = if need.once { 2.0 } else { 1.0 };
        load.trials = (load.trials + TRIAL_SHARE).min(MAX_TRIALS);
        if load.trials < needed || load.total(now).0 > 0.0 {
            return false;
        }
        load.trials -= needed;
        true
    }
}
