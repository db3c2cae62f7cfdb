//! The end of a request: its outcome, reason and answer.

use cumin_types::Outcome;
use serde::{Deserialize, Serialize};

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub completion: u64,
    /// Prompt tokens that were found in a prefix cache.
    pub cached: u64,
}

/// The response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content: Option<String>,
    /// The body, hex-encoded if `binary` is set.
    pub text: String,
    /// Whether the body is not valid UTF-8.
    pub binary: bool,
}

/// How a request ended and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// Outcome that is reported to the caller.
    pub outcome: Outcome,
    /// `stop` or `length` for a complete answer, otherwise an error code.
    pub reason: String,
    /// Token counts of a completion.
    pub counts: TokenCounts,
    /// Response of a plain service.
    pub body: Option<PlainResponse>,
}

impl Finish {
    /// Returns an end without an answer.
    #[must_use]
    pub fn without_answer(outcome: Outcome, reason: &str) -> Self {
        Self {
            outcome,
            reason: reason.into(),
            counts: TokenCounts::default(),
            body: None,
        }
    }

    /// Returns the memory in use, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.reason.len() + self.body.as_ref().map_or(0, |body| body.text.len())
    }
}
