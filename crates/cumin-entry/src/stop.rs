//! Stages of a graceful stop.
//!
//! Load pattern: callers keep using an address for several seconds after the node has left the
//! directory, while long streams keep the process alive until its grace period ends. A late request
//! could not complete in time, so it is refused as not run.

use cumin_types::Millis;

/// Time after the signal during which requests are accepted: callers that query the directory as
/// they should have learnt of the stop by then.
const ACCEPT_TIME: Millis = Millis(2800);

/// Time after the signal at which idle connections of callers are closed: three times the time that
/// callers cache an answer of the directory.
const IDLE_CLOSE_DELAY: Millis = Millis(3200);

/// Time from the closing of idle connections to the earliest exit.
const SETTLE_TIME: Millis = Millis(200);

/// Time before the platform kills the process at which it exits in any case.
const EXIT_RESERVE: Millis = Millis(500);

/// A graceful stop in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time of the signal.
    pub since: Millis,
    /// Time from the signal until the platform kills the process.
    pub grace: Millis,
}

impl Stop {
    fn elapsed(&self, now: Millis) -> u64 {
        now.since(self.since)
    }

    /// Returns whether a request that was read at `now` is accepted.
    #[must_use]
    pub fn accepts(&self, now: Millis) -> bool {
        self.elapsed(now) < ACCEPT_TIME.0.min(self.grace.0 / 2)
    }

    /// Returns whether idle connections of callers are to be closed.
    #[must_use]
    pub fn closes_idle(&self, now: Millis) -> bool {
        self.elapsed(now) >= IDLE_CLOSE_DELAY.0.min(self.grace.0 / 2)
    }

    /// Returns whether the process is to exit, with `active` requests in progress.
    #[must_use]
    pub fn exits(&self, active: usize, now: Millis) -> bool {
        let settled = self.since.plus(SETTLE_TIME.0);
        let idle = active == 0 && self.closes_idle(now) && {
            let start = Self {
                since: settled,
                grace: self.grace,
            };
            start.closes_idle(now)
        };
        idle || self.elapsed(now) >= self.grace.since(EXIT_RESERVE)
    }
}
