//! Settings of an entry.

use std::net::{IpAddr, SocketAddr};

use cumin_types::{Millis, NodeName, Place, Region};

/// Bounds that the operator sets, as the product uses them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from a document's acceptance to its being in force.
    pub apply: Millis,
    /// Time after which a removed key must not work, also at a node that is cut off.
    pub revoke: Millis,
    /// Whether that holds for nodes that are cut off.
    pub strict_revoke: bool,
    /// Time from a planned stop to its end.
    pub grace: Millis,
    /// Time from an endpoint's leaving to its last new request.
    pub drain: Millis,
    /// Further attempts for each request, over `budget_window`.
    pub budget_ratio: f64,
    /// Span of the retry budget.
    pub budget_window: Millis,
    /// Further attempts allowed besides.
    pub budget_slack: f64,
    /// Length of a window of usage.
    pub usage_window: Millis,
    /// Time from a window's end until its report is due.
    pub usage_due: Millis,
    /// Span in which an earlier holder of a duty must not act again.
    pub lease: Millis,
    /// Longest time that callers keep an answer of the directory.
    pub directory_ttl: Millis,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub node: NodeName,
    /// Its place.
    pub place: Place,
    /// Its region.
    pub region: Region,
    /// Its own address.
    pub address: IpAddr,
    /// Address for callers.
    pub caller_address: Option<SocketAddr>,
    /// Address for questions whether the node is ready.
    pub readiness_address: Option<SocketAddr>,
    /// Address for questions where to connect.
    pub directory_address: Option<SocketAddr>,
    /// First port that is free for traffic between nodes, on every machine.
    pub base_port: u16,
    /// Addresses at which other nodes may be; some can be stale.
    pub seeds: Vec<IpAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The cloud's interface.
    pub cloud_address: Option<SocketAddr>,
    /// Bytes of one record in the store.
    pub record_bytes: usize,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Bounds.
    pub bounds: Bounds,
}
