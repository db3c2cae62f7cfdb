//! Settings of a router, and its inputs about endpoints and attempts.

use std::net::SocketAddr;

use cumin_types::{AttemptId, Cost, EndpointName, Millis, Model, Place, Priority, Service};
use cumin_wire::cloud::Market;
use serde::{Deserialize, Serialize};

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterOptions {
    /// Milliseconds of time to the first token that one millisecond of engine time at the mean
    /// price is worth.
    #[serde(rename = "cost")]
    pub price_weight: f64,
    /// Milliseconds of time to the first token that one millisecond of repeated prefill is worth.
    #[serde(rename = "recompute")]
    pub recompute_weight: f64,
    /// Age of a load report on arrival: how long ago its figures were taken.
    pub lag: Millis,
    /// One-way network delay to another place.
    #[serde(rename = "hop")]
    pub hop_ms: f64,
    /// Rates assumed for an endpoint before its first measurement.
    pub rates: Rates,
    /// Share of the expected life of an endpoint that one request may take; beyond it the endpoint
    /// is used only when no other can be.
    #[serde(rename = "life")]
    pub life_share: f64,
    /// Maximum number of endpoints scored for a choice.
    pub candidates: usize,
    /// Maximum number of alternatives reported with a choice.
    pub alternatives: usize,
    /// Maximum number of blocks indexed for an endpoint.
    pub blocks: usize,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            price_weight: 1.0,
            recompute_weight: 1.0,
            lag: Millis(200),
            hop_ms: 0.5,
            rates: Rates::default(),
            life_share: 0.1,
            candidates: 64,
            alternatives: 3,
            blocks: 16_384,
        }
    }
}

/// Description of an endpoint from the platform's instance list and the configuration document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Name, unique to one life of the instance.
    pub name: EndpointName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: Service,
    /// Models that it serves; empty for a plain service.
    pub models: Vec<Model>,
    /// Its place.
    pub place: Place,
    /// Price of its instance.
    pub price: Cost,
    /// Contract of its instance.
    pub market: Market,
    /// Requests that it runs at once, or zero when not known; a load report overrides it.
    pub slots: u64,
    /// Expected time until it is reclaimed; none when no reclaim is expected.
    pub life: Option<Millis>,
}

/// Measured speeds of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rates {
    /// Prefill, in tokens per second.
    pub prefill: f64,
    /// Generation of one stream, in tokens per second.
    #[serde(rename = "token")]
    pub decode: f64,
    /// Time that a request occupies its slot.
    #[serde(rename = "run")]
    pub run_ms: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self {
            prefill: 8000.0,
            decode: 40.0,
            run_ms: 1000.0,
        }
    }
}

/// An attempt that this node sends to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// Hashes of the whole blocks of the prompt.
    pub blocks: Vec<u64>,
    /// Length of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Leading tokens of the prompt expected in the prefix cache of the endpoint, from
    /// [`Choice::cached_tokens`](crate::Choice::cached_tokens).
    #[serde(rename = "cached")]
    pub cached_tokens: u64,
    /// Priority; engines run more urgent requests first.
    pub priority: Priority,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The endpoint ran it, completely or in part.
    Ran,
    /// The endpoint did not start it.
    NotStarted,
}

/// Load of this node at an endpoint: attempts sent that have not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnLoad {
    /// Number of unfinished attempts.
    pub requests: u64,
    /// Uncached tokens in their prompts.
    pub tokens: u64,
}
