//! The rate-limited weight store.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/loads`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadCall {
    /// Client token; the same one asks once.
    pub token: String,
    /// Name of the model.
    pub model: String,
    /// Its version.
    pub version: String,
}

/// Answer of `POST /v1/loads` and `GET /v1/loads/{token}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadState {
    /// Loads ahead of this one; 0 when it is under way.
    pub ahead: u64,
    /// True when the weights have arrived.
    pub done: bool,
}
