//! Records of a shard's claim stream.

use cumin_types::{ClaimKey, Digest, Fingerprint, RecordId};
use serde::{Deserialize, Serialize};

use super::Slot;
use crate::batch::Author;

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// The body itself.
    Whole(String),
    /// Stands for a body that exceeded the size limit.
    Digest {
        /// Digest of the body.
        digest: Digest,
        /// Length of the body.
        bytes: u64,
    },
}

/// Recorded answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    #[serde(rename = "content")]
    pub content_type: Option<String>,
    /// Body as text; the node chooses the encoding.
    pub body: RecordedBody,
}

impl Answer {
    /// Creates an answer that keeps `body` whole when it has at most `max_bytes`.
    #[must_use]
    pub fn new(status: u16, content_type: Option<String>, body: String, max_bytes: usize) -> Self {
        let body = if body.len() <= max_bytes {
            RecordedBody::Whole(body)
        } else {
            digest_body(&body)
        };
        Self {
            status,
            content_type,
            body,
        }
    }
}

pub(super) fn digest_body(body: &str) -> RecordedBody {
    RecordedBody::Digest {
        digest: Digest::of(body.as_bytes()),
        bytes: body.len() as u64,
    }
}

/// Claim on an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the claim, the same in each submission of it.
    pub id: RecordId,
    /// The claimed key.
    pub key: ClaimKey,
    /// Node incarnation that made the claim; no other may dispatch the call.
    pub author: Author,
    /// Fingerprint of the call, to detect a different call under the same key.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
}

/// Ending of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ending")]
pub enum Ending {
    /// The endpoint answered.
    Done {
        /// The answer.
        answer: Answer,
    },
    /// The call was not dispatched, or the endpoint reported that it did not start.
    NotRun,
    /// The call may have taken effect.
    Unknown,
}

/// Record of the ending of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// Id of the claim.
    pub claim: RecordId,
    /// The claimed key.
    pub key: ClaimKey,
    /// Node incarnation that recorded the ending.
    pub author: Author,
    /// How the call ended.
    #[serde(flatten)]
    pub ending: Ending,
}

/// State of a key, exported from one log for import into another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportedKey {
    /// The key.
    pub key: ClaimKey,
    /// State of the key in the exporting log.
    pub slot: Slot,
}

/// Record of a shard's claim stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// Claims a key.
    Claim(Claim),
    /// Records the ending of a claimed call.
    Settle(Settle),
    /// Imports keys from another log.
    #[serde(rename = "carry")]
    Import {
        /// The exported keys.
        keys: Vec<ExportedKey>,
    },
}
