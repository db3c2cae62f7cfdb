//! A performance model of an engine: time to the first event, and engine time of a request.
//!
//! An engine prefills prompts in chunks between the decode steps of running requests. A prompt
//! therefore waits for all tokens queued before it, and each chunk takes a further decode step.

use cumin_types::Millis;

/// Parameters of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Prompt tokens prefilled per millisecond, from the users' sheet.
    pub prefill_rate: f64,
    /// Duration of a decode step without requests, from the users' sheet.
    pub step_ms: f64,
    /// Increase of a decode step for each running request, fitted to the gaps between events.
    pub request_ms: f64,
    /// Tokens of a prefill chunk; the default of common engines.
    pub chunk_tokens: f64,
    /// Time from the end of the prefill to the first event.
    pub first_ms: f64,
    /// Engine time of one output token: the step of a usual batch of 12 requests, divided among
    /// them.
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
    /// Returns the milliseconds to the first event of a prompt with `uncached` tokens to prefill,
    /// when `ahead` tokens are queued before it and `running` requests run.
    #[must_use]
    pub fn first_event_ms(&self, uncached: f64, ahead: f64, running: f64) -> f64 {
        let tokens = uncached + ahead;
        let steps = (tokens / self.chunk_tokens).ceil().max(1.0);
        self.first_ms
            + tokens / self.prefill_rate
            + steps * (self.step_ms + self.request_ms * running)
    }

    /// Returns the engine time of a request, in milliseconds.
    #[must_use]
    pub fn work_ms(&self, uncached: f64, output: f64) -> f64 {
        uncached / self.prefill_rate + output * self.token_ms
    }

    /// Returns the time to prefill `tokens`.
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
