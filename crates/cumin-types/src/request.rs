//! State of a request that lets another node take it over.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{Digest, Millis, Model, NodeName, Organisation, RequestId, Service};

/// How a request ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was produced.
    #[display("done")]
    Done,
    /// The request ran or may have run, without an answer; it can safely be sent again.
    #[display("failed")]
    Failed,
    /// No endpoint ran any part of the request.
    #[display("not_run")]
    NotRun,
    /// The request may have taken effect, so sending it again could repeat the effect.
    #[display("unknown")]
    Unknown,
}

/// Urgency of a request, highest first.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Interactive: the caller waits for each token.
    #[display("live")]
    Live,
    /// The caller waits for the answer.
    #[default]
    #[display("normal")]
    Normal,
    /// Long-running background work.
    #[display("batch")]
    Batch,
}

/// Whether a call may be sent to an endpoint more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running the call several times has the same effect as running it once.
    Idempotent,
    /// The call is sent at most once, under a claim on this idempotency key.
    Once(Uuid),
}

/// Number of times a request was taken over by another node; a higher epoch supersedes a lower.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u32);

/// Target of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Call {
    /// A completion by a model engine.
    Completion {
        /// Requested model.
        model: Model,
        /// True for `/v1/chat/completions`, false for `/v1/completions`.
        chat: bool,
        /// True when the answer is streamed to the caller.
        stream: bool,
    },
    /// A call of a plain service.
    Plain {
        /// HTTP method.
        method: String,
        /// Path and query below the service.
        path: String,
        /// Media type of the body.
        #[serde(rename = "content")]
        content_type: Option<String>,
        /// True when the body in the descriptor is hex-encoded, because it is not UTF-8.
        binary: bool,
        /// Whether the call may be sent more than once.
        repeat: Repeat,
    },
}

/// Everything that another node needs to take over a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// Identifier of the request.
    pub id: RequestId,
    /// Organisation of the caller.
    pub org: Organisation,
    /// Service that answers the request.
    pub service: Service,
    /// Target of the request.
    pub call: Call,
    /// Request body as the caller sent it, hex-encoded for a binary plain call.
    pub body: String,
    /// Urgency.
    pub priority: Priority,
    /// Time to the deadline at the moment when the descriptor was written.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// Number of takeovers so far.
    pub epoch: Epoch,
    /// Node that runs the request.
    pub owner: NodeName,
}

/// Hash of organisation, target and body, which are the same whenever a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub Digest);

impl Fingerprint {
    /// Computes the fingerprint; `target` is the model, or the method and path of a plain call.
    #[must_use]
    pub fn of(org: &Organisation, target: &str, body: &[u8]) -> Self {
        let mut buffer = Vec::with_capacity(body.len() + 64);
        for part in [org.as_str().as_bytes(), target.as_bytes(), body] {
            buffer.extend_from_slice(&(part.len() as u64).to_le_bytes());
            buffer.extend_from_slice(part);
        }
        Self(Digest::of(&buffer))
    }
}
