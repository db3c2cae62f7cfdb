//! Share of the requests that measured times would refuse which run as trials.

/// Share of the requests that would be refused by measured times that run as trials, and the maximum
/// number of trials that are saved up.
const TRIAL_SHARE: f64 = 0.1;
const MAX_TRIALS: f64 = 2.0;

/// Trials that may still run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trials {
    saved: f64,
}

impl Trials {
    /// Counts a request that would be refused.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + TRIAL_SHARE).min(MAX_TRIALS);
    }

    /// Takes a trial if one is saved up; one that may run once only takes two.
    pub(crate) fn take(&mut self, once: bool) -> bool {
        let needed = if once { 2.0 } else { 1.0 };
        let allowed = self.saved >= needed;
        if allowed {
            self.saved -= needed;
        }
        allowed
    }
}
