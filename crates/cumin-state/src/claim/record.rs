//! What a shard's batches carry.

use cumin_types::{ClaimKey, Digest, Fingerprint, RecordId};
use serde::{Deserialize, Serialize};

use super::Slot;
use crate::batch::Author;

/// The body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// The whole body.
    Whole(String),
    /// The body was longer than the bound.
    Digest {
        /// Digest of the body.
        digest: Digest,
        /// Its length in bytes.
        bytes: u64,
    },
}

/// An endpoint's answer as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    #[serde(rename = "content")]
    pub content_type: Option<String>,
    /// Body as text, in the shell's encoding.
    pub body: RecordedBody,
}

impl Answer {
    /// Keeps `body` whole when it has at most `bound` bytes.
    #[must_use]
    pub fn new(status: u16, content_type: Option<String>, body: String, bound: usize) -> Self {
        let body = if body.len() <= bound {
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

/// Asks for a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Same for each submission of one claim.
    pub id: RecordId,
    /// What is claimed.
    pub key: ClaimKey,
    /// The only one who may dispatch the call.
    pub author: Author,
    /// What the call carries, to detect another call under the same key.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ending")]
pub enum Ending {
    /// The endpoint answered.
    Done {
        /// Its answer.
        answer: Answer,
    },
    /// It was not dispatched, or the endpoint said that it did not start.
    NotRun,
    /// It may have taken effect.
    Unknown,
}

/// Records how a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The claim.
    pub claim: RecordId,
    /// Its key.
    pub key: ClaimKey,
    /// Who says so.
    pub author: Author,
    /// How it ended.
    #[serde(flatten)]
    pub ending: Ending,
}

/// A key's state carried over from another log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExportedKey {
    /// The key.
    pub key: ClaimKey,
    /// Its state there.
    pub slot: Slot,
}

/// What the stream's batches carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// Asks for a key.
    Claim(Claim),
    /// Says how a claimed call ended.
    Settle(Settle),
    /// Carries keys over from another log.
    #[serde(rename = "carry")]
    Import {
        /// The keys.
        keys: Vec<ExportedKey>,
    },
}
