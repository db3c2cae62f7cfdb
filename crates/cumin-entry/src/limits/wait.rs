//! The time for which an endpoint wants nothing from this node, and the requests that try it first
//! after that.

use cumin_types::Millis;

/// Requests that an endpoint which wanted nothing gets until one of them is answered. The users allow
/// two to arrive early.
const TRIALS: u32 = 2;

/// Time after which as many more may be sent if none was answered.
const TRIAL_TIME: Millis = Millis(500);

/// Time for which an endpoint wants nothing from this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wait {
    pub(super) until: Millis,
    /// Time of the answer that stated it.
    pub(super) heard: Millis,
    /// Requests sent since its end, and the time of the last one.
    trials: (u32, Millis),
}

impl Wait {
    /// Creates a wait until `until` that an answer stated at `heard`.
    pub(super) const fn new(until: Millis, heard: Millis) -> Self {
        Self {
            until,
            heard,
            trials: (0, Millis(0)),
        }
    }

    /// Returns the time until a request may be sent; zero if it may now.
    pub(super) fn left(&self, now: Millis) -> Millis {
        let (sent, last) = self.trials;
        if now >= self.until && sent < TRIALS {
            return Millis(0);
        }
        Millis(self.until.max(last.plus(TRIAL_TIME.0)).since(now))
    }

    /// Counts a request.
    pub(super) fn take(&mut self, now: Millis) {
        let (sent, last) = self.trials;
        let is_due = now.since(last) >= TRIAL_TIME.0;
        if now >= self.until {
            self.trials = (if is_due { 1 } else { sent + 1 }, now);
        }
    }
}
