//! The cloud API: offers, instances and reclaim notices.

use serde::{Deserialize, Serialize};

/// Kind of contract of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Market {
    /// Cheaper; the cloud can reclaim the instance at any time, after a notice.
    Reclaimable,
    /// The instance runs until the operator stops it.
    OnDemand,
}

/// An instance that the cloud can start, one element of the answer of `GET /v1/offers`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Identifier of the offer.
    pub id: String,
    /// Place of the instance.
    pub place: String,
    /// Machine class.
    pub class: String,
    /// Kind of contract.
    pub market: Market,
    /// Price in currency units per hour.
    pub price: f64,
}

/// Body of `POST /v1/instances`; a client token starts at most one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Client token, which makes the call idempotent.
    pub token: String,
    /// Identifier of the offer to use.
    pub offer: String,
    /// Service that the instance runs, or `entry`.
    pub service: String,
}

/// Kind of process that runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry: a node of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Lifecycle state of an instance, as the list shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Started, but not reachable yet.
    Starting,
    /// Running and reachable.
    Live,
    /// Running; a reclaim notice was issued.
    Leaving,
    /// No longer running.
    Stopped,
}

/// One instance in the answer of `GET /v1/instances`; the list may lag behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Identifier of the instance.
    pub id: String,
    /// Client token that it was started with.
    pub token: String,
    /// Kind of process that runs on it.
    pub kind: Kind,
    /// Service that it runs, or `entry`.
    pub service: String,
    /// Place of the instance.
    pub place: String,
    /// Machine class.
    pub class: String,
    /// Kind of contract.
    pub market: Market,
    /// Price in currency units per hour.
    pub price: f64,
    /// Lifecycle state.
    pub state: State,
    /// Address of its process, `ip:port`, once live; for an entry, that for calls between nodes.
    pub address: Option<String>,
}

/// Answer of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Instances {
    /// All instances; stopped ones are listed for a limited time.
    pub instances: Vec<Instance>,
}

/// Notice that the cloud is about to reclaim an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Sequence number of the notice.
    pub seq: u64,
    /// Identifier of the instance to be reclaimed.
    pub instance: String,
    /// Milliseconds from the issue of the notice until the instance is stopped.
    #[serde(rename = "left_ms")]
    pub grace_ms: u64,
    /// Milliseconds from the issue of the notice until this answer was written.
    pub age_ms: u64,
}

/// Answer of `GET /v1/notices?after=seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// Notices with a higher sequence number than `after`, oldest first.
    pub notices: Vec<Notice>,
}
