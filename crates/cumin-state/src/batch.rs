//! What one append carries, and the names of the streams.
//!
//! A batch is the unit that the log orders. Its records stay JSON until a fold decodes them, so
//! that a record kind this version does not know is skipped and counted, and does not stop
//! the fold.

use std::str::FromStr;

use cumin_types::{Incarnation, NodeName, RecordId, WallMillis};
use derive_more::{Display, Error};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of the batch's layout that this crate writes.
pub const VERSION: u32 = 1;

/// One incarnation of a node.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{node}#{incarnation}")]
pub struct Author {
    /// The node.
    pub node: NodeName,
    /// Which of its incarnations.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// A stream of the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// Document revisions.
    #[display("config")]
    Config,
    /// Leases.
    #[display("lease")]
    Lease,
    /// Operator term and plans.
    #[display("fleet")]
    Fleet,
    /// Claims and outcomes of one shard.
    #[display("record/{_0}")]
    Record(u32),
}

/// The text names no stream.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("stream {text:?} is not config, lease, fleet or record/<shard>")]
pub struct StreamError {
    /// What was read.
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

/// What one append carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Version of the layout.
    #[serde(default)]
    pub version: u32,
    /// Same for each repetition of one append; the fold takes the first.
    pub id: RecordId,
    /// Who appended it.
    pub author: Author,
    /// Records with their `kind`.
    pub records: Vec<Value>,
}

impl Batch {
    /// Decodes a log record's body; `None` when it is no batch.
    #[must_use]
    pub fn read(body: &Value) -> Option<Self> {
        Self::deserialize(body).ok()
    }

    /// Returns the body to append.
    ///
    /// # Panics
    /// Never: every part of a batch has a JSON form.
    #[must_use]
    pub fn body(&self) -> Value {
        serde_json::to_value(self).expect("a batch has a JSON form")
    }

    /// Returns the id of a log record's body without decoding its records.
    #[must_use]
    pub fn id_of(body: &Value) -> Option<RecordId> {
        body.get("id")?.as_str()?.parse().ok()
    }
}

/// Encodes a record for a batch.
///
/// # Panics
/// When `record` has no JSON form, which no record type of this crate lacks.
#[must_use]
pub fn encode(record: &impl Serialize) -> Value {
    serde_json::to_value(record).expect("a record has a JSON form")
}

/// Makes an id that carries `wall`.
pub fn new_id(wall: WallMillis, rng: &mut impl Rng) -> RecordId {
    let bytes: [u8; 10] = rng.random();
    RecordId(uuid::Builder::from_unix_timestamp_millis(wall.0, &bytes).into_uuid())
}
