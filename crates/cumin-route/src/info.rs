//! What a router knows of an endpoint, and its settings.

use std::net::SocketAddr;

use cumin_types::{AttemptId, Cost, EndpointName, Millis, Model, Place, Priority, Service};
use cumin_wire::cloud::Market;
use serde::{Deserialize, Serialize};

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterOptions {
    /// Weight of price: milliseconds of first-token time that one millisecond of engine time at
    /// the mean price is worth.
    #[serde(rename = "cost")]
    pub price_weight: f64,
    /// Weight of recomputed tokens: milliseconds of first-token time that one millisecond of
    /// repeated prefill is worth.
    #[serde(rename = "recompute")]
    pub recompute_weight: f64,
    /// Age of the state that a load report describes when it arrives.
    pub lag: Millis,
    /// Delay of one message to another place, milliseconds.
    #[serde(rename = "hop")]
    pub hop_ms: f64,
    /// Rates of an endpoint before the first measurement.
    pub rates: Rates,
    /// Share of an endpoint's expected life that one request may take.
    #[serde(rename = "life")]
    pub life_share: f64,
    /// Endpoints scored for one choice at most.
    pub candidates: usize,
    /// Alternatives that a choice keeps.
    pub alternatives: usize,
    /// Blocks indexed for one endpoint at most.
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

/// An endpoint as the platform's list and the document describe it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointInfo {
    /// Its name, unique to one life of the instance.
    pub name: EndpointName,
    /// Where it listens.
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
    /// Requests that it runs at once; a load report overrides it, zero is unknown.
    pub slots: u64,
    /// Expected time until it is reclaimed; none where no reclaim is expected.
    pub life: Option<Millis>,
}

/// Measured speeds of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rates {
    /// Prefill, tokens a second.
    pub prefill: f64,
    /// Generation of one stream, tokens a second.
    #[serde(rename = "token")]
    pub decode: f64,
    /// Time that a request holds its slot, milliseconds.
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
    /// Hashes of the prompt's whole blocks.
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Tokens expected from the endpoint's prefix cache, [`Choice::cached_tokens`](crate::Choice::cached_tokens).
    #[serde(rename = "cached")]
    pub cached_tokens: u64,
    /// Urgency; engines run a more urgent request first.
    pub priority: Priority,
}

/// How an attempt left its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// It ran, wholly or in part.
    Ran,
    /// The endpoint ran nothing of it.
    NotStarted,
}

/// What this node has sent to an endpoint and not seen finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnLoad {
    /// Attempts.
    pub requests: u64,
    /// Uncached tokens of their prompts.
    pub tokens: u64,
}
