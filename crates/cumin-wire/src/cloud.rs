//! The cloud API: offers, instances and notices.

use serde::{Deserialize, Serialize};

/// What kind of contract an instance has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Market {
    /// Cheap, taken back at any moment after a notice.
    Reclaimable,
    /// Kept until we stop it.
    OnDemand,
}

/// Something that the cloud will start, answer of `GET /v1/offers`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Names the offer.
    pub id: String,
    /// Place of the instance.
    pub place: String,
    /// Machine class.
    pub class: String,
    /// Kind of contract.
    pub market: Market,
    /// Currency units an hour.
    pub price: f64,
}

/// Body of `POST /v1/instances`; the same client token starts one instance at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Client token.
    pub token: String,
    /// The offer to take.
    pub offer: String,
    /// The service that the instance is for, or `entry`.
    pub service: String,
}

/// What runs on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A node of ours.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// State of an instance as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not reachable yet.
    Starting,
    /// In use.
    Live,
    /// Has had its notice.
    Leaving,
    /// Gone.
    Stopped,
}

/// One instance, in the answer of `GET /v1/instances`; the list lags.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Names the instance.
    pub id: String,
    /// Client token that started it.
    pub token: String,
    /// What runs on it.
    pub kind: Kind,
    /// The service that it is for, or `entry`.
    pub service: String,
    /// Place.
    pub place: String,
    /// Machine class.
    pub class: String,
    /// Kind of contract.
    pub market: Market,
    /// Currency units an hour.
    pub price: f64,
    /// State.
    pub state: State,
    /// `ip:port` of what runs on it, once live; of an entry, that for calls between nodes.
    pub address: Option<String>,
}

/// Answer of `GET /v1/instances`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Instances {
    /// All instances, stopped ones for a while.
    pub instances: Vec<Instance>,
}

/// The cloud takes an instance back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Number of the notice.
    pub seq: u64,
    /// The instance that goes.
    pub instance: String,
    /// Milliseconds from the notice's issue to the end of the instance.
    #[serde(rename = "left_ms")]
    pub grace_ms: u64,
    /// Milliseconds since the notice's issue, at the time of the answer.
    pub age_ms: u64,
}

/// Answer of `GET /v1/notices?after=seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notices {
    /// Notices after the asked one, oldest first.
    pub notices: Vec<Notice>,
}
