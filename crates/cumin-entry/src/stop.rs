//! What a node that is told to stop still does, and until when.
//!
//! Load pattern: callers that keep an address for several seconds after the node has left the
//! directory, while long streams keep the node alive until its time is over. A request that comes
//! late could not end in time, so it is refused as not run.

use cumin_types::Millis;

/// Time after the signal in which requests are taken: callers that ask the directory as they
/// should have learnt of the stop by then.
const ACCEPT_TIME: Millis = Millis(2800);

/// Time after which idle connections of callers are closed: three times the time that callers
/// keep an answer of the directory.
const IDLE_CLOSE_DELAY: Millis = Millis(3200);

/// Time from the closing of idle connections to the earliest end.
const SETTLE_TIME: Millis = Millis(200);

/// Time kept before the platform ends the process.
const EXIT_RESERVE: Millis = Millis(500);

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When the signal came.
    pub since: Millis,
    /// Time until the platform ends the process.
    pub grace: Millis,
}

impl Stop {
    fn elapsed(&self, now: Millis) -> u64 {
        now.since(self.since)
    }

    /// Returns whether a request that was read at `now` is taken.
    #[must_use]
    pub fn accepts(&self, now: Millis) -> bool {
        self.elapsed(now) < ACCEPT_TIME.0.min(self.grace.0 / 2)
    }

    /// Returns whether idle connections of callers are closed.
    #[must_use]
    pub fn closes_idle(&self, now: Millis) -> bool {
        self.elapsed(now) >= IDLE_CLOSE_DELAY.0.min(self.grace.0 / 2)
    }

    /// Returns whether the process ends, with `active` requests in progress.
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
