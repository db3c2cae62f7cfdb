//! The platform's append-only log service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Answer of `POST /v1/streams/{stream}/append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: u64,
}

/// A record as read from the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Time at which the log appended the record, milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub appended_ms: u64,
    /// Content of the record.
    pub body: Value,
}

/// Answer of `GET /v1/streams/{stream}/records?from=offset&limit=n`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Records {
    /// Offset of the oldest record that is still kept.
    pub first: u64,
    /// Offset that the next appended record will have.
    pub next: u64,
    /// Records from the offset `from` on, at most `limit`.
    pub records: Vec<Record>,
}
