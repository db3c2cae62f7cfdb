//! A performance model of an engine: time to the first event, and engine time of a request.
//!
//! An engine prefills prompts in chunks between the decode steps of running requests. A prompt
//! therefore waits for all tokens queued before it, and each chunk takes a further decode step.
//! [`Learner`](crate::learn::Learner) replaces the default values by measured ones.

/// Parameters of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Prompt tokens prefilled per millisecond.
    pub prefill_rate: f64,
    /// Duration of a decode step without requests.
    pub step_ms: f64,
    /// Increase of a decode step for each running request.
    pub request_ms: f64,
    /// Tokens of a prefill chunk; the default of common engines.
    pub chunk_tokens: f64,
    /// Time from the end of the prefill to the first event.
    pub first_ms: f64,
}

/// Demand of requests for engines of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Engines that prefill all of the time.
    pub prefilling: f64,
    /// Output tokens per millisecond.
    pub output_rate: f64,
}

impl Demand {
    /// Returns the sum of two demands.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefilling: self.prefilling + other.prefilling,
            output_rate: self.output_rate + other.output_rate,
        }
    }
}

/// Requests among which a decode step is divided when its cost for one of them is estimated.
const USUAL_BATCH: f64 = 12.0;

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            prefill_rate: 40.0,
            step_ms: 4.0,
            request_ms: 0.1,
            chunk_tokens: 4096.0,
            first_ms: 20.0,
        }
    }
}

impl EngineModel {
    /// Returns the milliseconds to the first event of a prompt with `uncached` tokens to prefill,
    /// when `ahead` tokens are queued before it and `running` requests run.
    #[must_use]
    pub fn first_event_ms(&self, uncached: f64, ahead: f64, running: f64) -> f64 {
        let tokens = uncached + ahead;
        self.first_ms + tokens / self.prefill_rate + self.step_time_ms(tokens, running)
    }

    /// Returns the time of the decode steps between the chunks of `tokens`, in milliseconds.
    #[must_use]
    pub fn step_time_ms(&self, tokens: f64, running: f64) -> f64 {
        let steps = (tokens / self.chunk_tokens).ceil().max(1.0);
        steps * (self.step_ms + self.request_ms * running)
    }

    /// Returns the requests that run at once on each of `engines` engines that share a demand, or
    /// `None` if they cannot keep up with it.
    ///
    /// An engine decodes only in the time that prefilling leaves, so every token takes longer the
    /// more of its time is spent on prompts.
    #[must_use]
    pub fn running(&self, demand: Demand, engines: f64) -> Option<f64> {
        let output_rate = demand.output_rate / engines;
        let decoding = 1.0 - demand.prefilling / engines;
        let left = decoding - output_rate * self.request_ms;
        (left > 0.0).then(|| output_rate * self.step_ms / left)
    }

    /// Returns the engine time of one output token: the step of a usual batch, divided among its
    /// requests.
    #[must_use]
    pub fn token_ms(&self) -> f64 {
        self.step_ms / USUAL_BATCH + self.request_ms
    }

    /// Returns the engine time of a request, in milliseconds.
    #[must_use]
    pub fn work_ms(&self, uncached: f64, output: f64) -> f64 {
        uncached / self.prefill_rate + output * self.token_ms()
    }
}
