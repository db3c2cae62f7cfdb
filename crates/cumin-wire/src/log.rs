//! The platform's append-only log service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Answer of `POST /v1/streams/{stream}/append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: u64,
}

/// One record as it is read back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place in the stream.
    pub offset: u64,
    /// When the log took it, milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub appended_ms: u64,
    /// What was appended.
    pub body: Value,
}

/// Answer of `GET /v1/streams/{stream}/records?from=offset&limit=n`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// Oldest offset that is still kept.
    pub first: u64,
    /// Offset that the next record will get.
    pub next: u64,
    /// Records from the asked offset on, at most the limit.
    pub records: Vec<Record>,
}
