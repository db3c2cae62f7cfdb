//! Request rates that endpoints state as the most they take from all nodes together.

use std::collections::BTreeMap;

use cumin_types::EndpointName;

/// Limits that endpoints stated in their last answers to this node.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// Start of each endpoint's current incarnation, and its limit in requests a second.
    limits: BTreeMap<EndpointName, (u64, f64)>,
}

impl RateLimits {
    /// Records the limit in an answer of an endpoint that started at `started_ms`, or that it
    /// states none, and returns whether that is new.
    pub fn answer_heard(
        &mut self,
        endpoint: &EndpointName,
        started_ms: u64,
        rate: Option<f64>,
    ) -> bool {
        let old = match rate {
            Some(rate) => self.limits.insert(endpoint.clone(), (started_ms, rate)),
            None => self.limits.remove(endpoint),
        };
        old != rate.map(|rate| (started_ms, rate))
    }

    /// Returns the number of endpoints that state a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        self.limits.len()
    }
}
