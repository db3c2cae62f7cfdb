//! A model of the engine that estimates first events and the time that a request takes from it.
//!
//! An engine reads prompts in chunks between the steps of running requests, so a prompt waits
//! for all tokens that are to be read before it, and each chunk is stretched by a step.

use cumin_types::Millis;

/// Figures of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Prompt tokens read in a millisecond; the users' sheet.
    pub prefill_rate: f64,
    /// Time of a step without requests, milliseconds; the users' sheet.
    pub step_ms: f64,
    /// Further time of a step for each running request, milliseconds; fitted to event gaps.
    pub request_ms: f64,
    /// Tokens in a chunk; the default of common engines.
    pub chunk_tokens: f64,
    /// Time from a prompt's last token to its first event, milliseconds.
    pub first_ms: f64,
    /// Time of one output token at a usual batch, milliseconds: a step at 12 requests, shared.
    pub token_ms: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_rate: 36.7,
            step_ms: 4.34,
            request_ms: 0.15,
            chunk_tokens: 4096.0,
            first_ms: 25.0,
            token_ms: 0.5,
        }
    }
}

impl EngineModel {
    /// Time to the first event of a prompt of `own` uncached tokens, when `ahead` tokens are to
    /// be read before it and `running` requests run.
    #[must_use]
    pub fn first_event_ms(&self, uncached: f64, ahead: f64, running: f64) -> f64 {
        let tokens = uncached + ahead;
        let steps = (tokens / self.chunk_tokens).ceil().max(1.0);
        self.first_ms
            + tokens / self.prefill_rate
            + steps * (self.step_ms + self.request_ms * running)
    }

    /// Time that a request takes from its engine.
    #[must_use]
    pub fn work_ms(&self, uncached: f64, output: f64) -> f64 {
        uncached / self.prefill_rate + output * self.token_ms
    }

    /// Time after which `tokens` have been read.
    #[must_use]
    pub fn prefill_time(&self, tokens: f64) -> Millis {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates, and counts are not negative"
        )]
        Millis((tokens / self.prefill_rate) as u64)
    }
}
