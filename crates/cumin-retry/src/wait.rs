//! The time for which an endpoint wants nothing from this node, and the requests that try it first
//! after that.

use std::collections::BTreeMap;

use cumin_types::{EndpointName, Millis};

use crate::leaving::KEEP_TIME;

/// Requests that an endpoint which wanted nothing gets until one of them is answered. The users allow
/// two to arrive early.
const TRIALS: u32 = 2;

/// Time after which as many more may be sent if none was answered.
const TRIAL_TIME: Millis = Millis(500);

/// Time for which an endpoint wants nothing from this node.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Its end.
    pub until: Millis,
    /// Time of the answer that stated it.
    pub heard: Millis,
    /// Requests sent since its end, and the time of the last one.
    trials: (u32, Millis),
}

impl Wait {
    /// Creates a wait until `until` that an answer stated at `heard`.
    #[must_use]
    pub const fn new(until: Millis, heard: Millis) -> Self {
        Self {
            until,
            heard,
            trials: (0, Millis(0)),
        }
    }

    /// Returns the time until a request may be sent; zero if it may now.
    #[must_use]
    pub fn left(&self, now: Millis) -> Millis {
        let (sent, last) = self.trials;
        if now >= self.until && sent < TRIALS {
            return Millis(0);
        }
        Millis(self.until.max(last.plus(TRIAL_TIME.0)).since(now))
    }

    /// Returns whether the answer to a request that was sent at `sent` ends it.
    ///
    /// Answers to requests that were sent before its end, which were on their way, say nothing.
    #[must_use]
    pub fn is_ended_by(&self, sent: Millis) -> bool {
        sent >= self.until
    }

    /// Counts a request.
    pub fn take(&mut self, now: Millis) {
        let (sent, last) = self.trials;
        let is_due = now.since(last) >= TRIAL_TIME.0;
        if now >= self.until {
            self.trials = (if is_due { 1 } else { sent + 1 }, now);
        }
    }
}

/// The time for which a process of an endpoint wants nothing.
#[derive(Clone, Copy, Debug)]
struct EndpointWait {
    started_ms: u64,
    wait: Wait,
}

/// Times for which endpoints want nothing from one node.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    endpoints: BTreeMap<EndpointName, EndpointWait>,
}

impl Waits {
    /// Records that an endpoint wants nothing until `until`; returns whether that is later than was
    /// known. `started_ms` is higher for each new process of the endpoint.
    pub fn stated(
        &mut self,
        name: &EndpointName,
        started_ms: u64,
        until: Millis,
        now: Millis,
    ) -> bool {
        let known = self.endpoints.get(name);
        if known.is_some_and(|old| {
            old.started_ms > started_ms || (old.started_ms == started_ms && old.wait.until >= until)
        }) {
            return false;
        }
        let wait = Wait::new(until, now);
        let stated = EndpointWait { started_ms, wait };
        self.endpoints.insert(name.clone(), stated);
        true
    }

    /// Records an answer that asks for no wait, to a request sent at `sent`; returns whether it
    /// ends one.
    pub fn answered(&mut self, name: &EndpointName, started_ms: u64, sent: Millis) -> bool {
        let known = self.endpoints.get(name);
        let ends = known
            .is_some_and(|known| known.started_ms == started_ms && known.wait.is_ended_by(sent));
        if ends {
            self.endpoints.remove(name);
        }
        ends
    }

    /// Counts a request that is about to be sent.
    pub fn request_sent(&mut self, name: &EndpointName, now: Millis) {
        if let Some(known) = self.endpoints.get_mut(name) {
            known.wait.take(now);
        }
    }

    /// Returns the time until a request may be sent to an endpoint; zero if it may now.
    #[must_use]
    pub fn left(&self, name: &EndpointName, started_ms: u64, now: Millis) -> Millis {
        let wait = self.wait(name, started_ms);
        wait.map_or(Millis(0), |wait| wait.left(now))
    }

    /// Returns the time for which an endpoint still wants nothing, without the time in which other
    /// requests try it first.
    #[must_use]
    pub fn stated_left(&self, name: &EndpointName, started_ms: u64, now: Millis) -> Millis {
        let wait = self.wait(name, started_ms);
        wait.map_or(Millis(0), |wait| Millis(wait.until.since(now)))
    }

    /// Returns the endpoints of which a wait is known, whether or not it holds.
    pub fn names(&self) -> impl Iterator<Item = &EndpointName> {
        self.endpoints.keys()
    }

    fn wait(&self, name: &EndpointName, started_ms: u64) -> Option<Wait> {
        let known = self.endpoints.get(name)?;
        (known.started_ms == started_ms).then_some(known.wait)
    }

    /// Removes what is known of endpoints that are not listed, once it is over or old.
    pub fn trim(&mut self, listed: impl Fn(&EndpointName) -> bool, now: Millis) {
        self.endpoints.retain(|name, known| {
            let wait = known.wait;
            listed(name) || (now < wait.until && now.since(wait.heard) < KEEP_TIME.0)
        });
    }
}
