//! Settings of an entry.

use std::net::{IpAddr, SocketAddr};

use cumin_types::{Millis, NodeName, Place, Region};

use crate::quota::Tolerance;
use crate::rollout::exposure::ExposeBounds;

/// Bounds on times and retries that the operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which an accepted document must be in force.
    pub apply_limit: Millis,
    /// Time after which a removed key must be refused.
    pub revoke_limit: Millis,
    /// Whether `revoke_limit` also holds for nodes that cannot reach the store.
    pub strict_revoke: bool,
    /// Time from the stop signal until the process must have exited.
    pub grace: Millis,
    /// Time within which a draining endpoint must get no more requests.
    pub drain: Millis,
    /// Retries for each request, over `budget_window`.
    pub budget_ratio: f64,
    /// Window of the retry budget.
    pub budget_window: Millis,
    /// Retries allowed in addition to the ratio.
    pub budget_slack: f64,
    /// Interval at which endpoints renew their registrations.
    pub heartbeat: Millis,
    /// Length of a usage window.
    pub usage_window: Millis,
    /// Time from the end of a usage window until its report is due.
    pub usage_due: Millis,
    /// Time during which an earlier holder of the lease must not act again.
    pub lease: Millis,
    /// What is tolerated beyond a quota.
    pub quota: Tolerance,
    /// Maximum time that callers cache an answer of the directory.
    pub directory_ttl: Millis,
    /// Bounds on roll-outs; without them orders of roll-outs are ignored.
    pub expose: Option<ExposeBounds>,
}

/// Settings of an entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub node: NodeName,
    /// Place of the node.
    pub place: Place,
    /// Region of the node.
    pub region: Region,
    /// Address of the node, for traffic between nodes.
    pub address: IpAddr,
    /// Address that callers connect to.
    pub caller_address: Option<SocketAddr>,
    /// Address of the readiness probe.
    pub readiness_address: Option<SocketAddr>,
    /// Address of the directory, where callers look up entries.
    pub directory_address: Option<SocketAddr>,
    /// First of the ports for internal use, the same on all nodes.
    pub base_port: u16,
    /// Addresses of other nodes; some may be stale.
    pub seeds: Vec<IpAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the cloud's API.
    pub cloud_address: Option<SocketAddr>,
    /// Maximum size of a record in the store.
    pub record_bytes: usize,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Memory of the process.
    pub memory_mb: u64,
    /// Bounds set by the operator.
    pub bounds: Bounds,
}
