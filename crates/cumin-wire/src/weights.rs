//! API of the weight store, which limits the rate of loads.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/loads`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCall {
    /// Client token, which makes the call idempotent.
    pub token: String,
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
}

/// Answer of `POST /v1/loads` and `GET /v1/loads/{token}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadState {
    /// Number of loads queued before this one; 0 once it is in progress.
    pub ahead: u64,
    /// True when the weights are loaded.
    pub done: bool,
}
