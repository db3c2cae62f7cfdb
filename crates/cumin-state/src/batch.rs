//! Batches, the unit of an append, and the names of the streams.
//!
//! The log orders whole batches. The records of a batch stay JSON until a fold decodes them, so
//! that a record of a kind unknown to this version is skipped and counted, and does not stop the
//! fold.

use std::str::FromStr;

use cumin_types::{Incarnation, NodeName, RecordId, WallMillis};
use derive_more::{Display, Error};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Layout version of the batches that this crate writes.
pub const VERSION: u32 = 1;

/// Incarnation of a node, as the author of batches.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{node}#{incarnation}")]
pub struct Author {
    /// Name of the node.
    pub node: NodeName,
    /// Number that tells two starts of the node apart.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Stream of the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// Revisions of the configuration document.
    #[display("config")]
    Config,
    /// Leases.
    #[display("lease")]
    Lease,
    /// Operator terms and plans.
    #[display("fleet")]
    Fleet,
    /// Claims and outcomes of one shard.
    #[display("record/{_0}")]
    Record(u32),
}

/// Error for text that does not name a stream.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("stream {text:?} is not config, lease, fleet or record/<shard>")]
pub struct StreamError {
    /// The rejected text.
    pub text: String,
}

impl FromStr for Stream {
    type Err = StreamError;

    fn from_str(text: &str) -> Result<Self, StreamError> {
        match text {
            "config" => Ok(Self::Config),
            "lease" => Ok(Self::Lease),
            "fleet" => Ok(Self::Fleet),
            _ => text
                .strip_prefix("record/")
                .and_then(|shard| shard.parse().ok())
                .map(Self::Record)
                .ok_or_else(|| StreamError { text: text.into() }),
        }
    }
}

/// Body of one append.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Layout version.
    #[serde(default)]
    pub version: u32,
    /// Id of the batch, the same for each attempt of one append; a fold applies the first copy.
    pub id: RecordId,
    /// Node incarnation that appended the batch.
    pub author: Author,
    /// Records, each tagged with its `kind`.
    pub records: Vec<Value>,
}

impl Batch {
    /// Decodes the body of a log record; returns `None` if it is not a batch.
    #[must_use]
    pub fn read(body: &Value) -> Option<Self> {
        Self::deserialize(body).ok()
    }

    /// Returns the body to append.
    ///
    /// # Panics
    /// Never: every part of a batch serialises to JSON.
    #[must_use]
    pub fn body(&self) -> Value {
        serde_json::to_value(self).expect("a batch serialises to JSON")
    }

    /// Returns the batch id in the body of a log record, without decoding the batch.
    #[must_use]
    pub fn id_of(body: &Value) -> Option<RecordId> {
        body.get("id")?.as_str()?.parse().ok()
    }
}

/// Encodes a record for a batch.
///
/// # Panics
/// If `record` cannot be serialised to JSON. Every record type of this crate can.
#[must_use]
pub fn encode(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("a record serialises to JSON")
}

/// Returns a new UUIDv7 id with `wall` as its creation time.
pub fn new_id(wall: WallMillis, rng: &mut impl Rng) -> RecordId {
    let bytes: [u8; 10] = rng.random();
    RecordId(uuid::Builder::from_unix_timestamp_millis(wall.0, &bytes).into_uuid())
}
