//! What a node keeps of a request so that another node can go on with it.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{Digest, Millis, Model, NodeName, Organisation, RequestId, Service};

/// How a request ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was produced.
    #[display("done")]
    Done,
    /// It ran or could have run, and gives no answer; it may be sent again.
    #[display("failed")]
    Failed,
    /// No endpoint ran any part of it.
    #[display("not_run")]
    NotRun,
    /// It may have taken effect.
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
    /// Somebody waits for each token.
    #[display("live")]
    Live,
    /// Somebody waits for the answer.
    #[default]
    #[display("normal")]
    Normal,
    /// Long work that nobody watches.
    #[display("batch")]
    Batch,
}

/// Whether a call may be sent to an endpoint more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Any number of runs has the effect of one.
    Idempotent,
    /// At most one dispatch, under a claim on this key.
    Once(Uuid),
}

/// Number of times a request changed its holder; a higher one supersedes a lower one.
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

/// What is called.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Call {
    /// A completion by a model engine.
    Completion {
        /// The model asked for.
        model: Model,
        /// True for `/v1/chat/completions`, false for `/v1/completions`.
        chat: bool,
        /// True when the caller reads the answer as a stream.
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
        /// True when the descriptor's body is base 16, because it is not UTF-8.
        binary: bool,
        /// Whether it may be repeated.
        repeat: Repeat,
    },
}

/// Everything a second node needs to go on with a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    /// The request.
    pub id: RequestId,
    /// Whose request it is.
    pub org: Organisation,
    /// The service that answers it.
    pub service: Service,
    /// What is called.
    pub call: Call,
    /// The caller's body.
    pub body: String,
    /// Urgency.
    pub priority: Priority,
    /// Time left to the deadline when this was written.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// Number of holders so far.
    pub epoch: Epoch,
    /// The node that runs it.
    pub owner: NodeName,
}

/// What is the same in two sendings of one request: organisation, model and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub Digest);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(org: &Organisation, target: &str, body: &[u8]) -> Self {
        let mut text = Vec::with_capacity(body.len() + 64);
        for part in [org.as_str().as_bytes(), target.as_bytes(), body] {
            text.extend_from_slice(&(part.len() as u64).to_le_bytes());
            text.extend_from_slice(part);
        }
        Self(Digest::of(&text))
    }
}
