//! How a request ended.

use cumin_types::Outcome;
use serde::{Deserialize, Serialize};

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens generated.
    pub completion: u64,
    /// Tokens of the prompt that a prefix cache held.
    pub cached: u64,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content: Option<String>,
    /// The body, base 16 when `binary`.
    pub text: String,
    /// True when the body was not UTF-8.
    pub binary: bool,
}

/// How a request ended and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// What the caller is told.
    pub outcome: Outcome,
    /// `stop` or `length` for a whole completion, else an error code.
    pub reason: String,
    /// Token counts of a completion.
    pub counts: TokenCounts,
    /// The answer of a plain service.
    pub body: Option<PlainResponse>,
}

impl Finish {
    /// Makes a finish without an answer.
    #[must_use]
    pub fn without_answer(outcome: Outcome, reason: &str) -> Self {
        Self {
            outcome,
            reason: reason.into(),
            counts: TokenCounts::default(),
            body: None,
        }
    }

    /// Returns the memory in use, bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.reason.len() + self.body.as_ref().map_or(0, |body| body.text.len())
    }
}
