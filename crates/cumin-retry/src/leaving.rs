//! Endpoints that have stated that they leave.
//!
//! An endpoint states it in an answer to this node or to a peer, or in its registration. The time
//! until which it may get requests counts from the first statement, by this node's clock, and later
//! ones can only shorten it. A statement holds for one start of the endpoint: a registration that
//! is renewed, or a listing that is behind, does not take it back.

use std::collections::{BTreeMap, BTreeSet};

use cumin_types::{EndpointName, Millis};

/// Time for which the statement of an endpoint that is not listed is kept. An outage of the store
/// hides live endpoints for minutes.
pub(crate) const KEEP_TIME: Millis = Millis(600_000);

#[derive(Clone, Copy, Debug)]
struct Statement {
    started_ms: u64,
    until: Millis,
    /// Time at which the endpoint was last registered.
    registered: Millis,
}

/// Statements of endpoints that leave, as known to one node. An endpoint's start is a number that
/// is higher for each new process.
#[derive(Debug, Default)]
pub struct Leaving {
    statements: BTreeMap<EndpointName, Statement>,
    /// Endpoints whose unreadable statements were logged.
    unreadable: BTreeSet<EndpointName>,
}

impl Leaving {
    /// Records a statement; returns whether it is the first one or shortens the time.
    pub fn stated(
        &mut self,
        name: &EndpointName,
        started_ms: u64,
        until: Millis,
        now: Millis,
    ) -> bool {
        let known = self.statements.get(name);
        if known.is_some_and(|old| {
            old.started_ms > started_ms || (old.started_ms == started_ms && old.until <= until)
        }) {
            return false;
        }
        let statement = Statement {
            started_ms,
            until,
            registered: now,
        };
        self.statements.insert(name.clone(), statement);
        true
    }

    /// Returns the time until which an endpoint that leaves may get requests.
    #[must_use]
    pub fn until(&self, name: &EndpointName, started_ms: u64) -> Option<Millis> {
        let known = self.statements.get(name)?;
        (known.started_ms == started_ms).then_some(known.until)
    }

    /// Returns the endpoints of which a statement is known, of whichever start.
    pub fn names(&self) -> impl Iterator<Item = &EndpointName> {
        self.statements.keys()
    }

    /// Records an unreadable statement; returns whether it is the endpoint's first one.
    pub fn unreadable(&mut self, name: &EndpointName) -> bool {
        self.unreadable.insert(name.clone())
    }

    /// Removes what is known of endpoints that have not been registered for long.
    pub fn trim(&mut self, registered: impl Fn(&EndpointName) -> bool, now: Millis) {
        self.statements.retain(|name, known| {
            if registered(name) {
                known.registered = now;
            }
            now.since(known.registered) < KEEP_TIME.0
        });
        self.unreadable.retain(|name| registered(name));
    }
}
