//! What nodes tell each other of endpoints that leave.

use cumin_types::{EndpointName, Millis};
use serde::{Deserialize, Serialize};

/// What a node states of an endpoint that leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedLeaving {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Start of its incarnation.
    pub started_ms: u64,
    /// Time for which it may still get requests.
    pub left: Millis,
}
