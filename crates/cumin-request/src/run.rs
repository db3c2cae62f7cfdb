//! The owner's side of a request: attempts and their frames.

use cumin_types::{AttemptId, Call, Descriptor, EndpointName, Outcome, Position, Repeat};
use derive_more::Display;

use crate::{Finish, TokenCounts, Transcript};

/// A request that this node runs.
#[derive(Clone, Debug)]
pub struct Run {
    descriptor: Descriptor,
    transcript: Transcript,
    attempt: Option<Attempt>,
    tried: Vec<EndpointName>,
    dropped_frames: DroppedFrames,
    // Whether a byte of any attempt, or of any before the current one, can have reached an endpoint.
    maybe_sent: bool,
    sent_before: bool,
    // Whether this run holds the claim of its call, so that nobody else can have run it.
    has_claim: bool,
    finish: Option<Finish>,
}

#[derive(Clone, Debug)]
struct Attempt {
    id: AttemptId,
    endpoint: EndpointName,
}

/// Frames that did not become part of the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedFrames {
    /// Frames of an attempt that is not the current one.
    pub stale: u64,
    /// Frames of tokens that are already in the answer.
    pub duplicate: u64,
    /// Frames past the next token.
    pub gap: u64,
}

/// What became of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameResult {
    /// The token is part of the answer.
    Accepted,
    /// Another attempt's frame, dropped.
    Stale,
    /// The token is already there, dropped.
    Duplicate,
    /// Tokens are missing before it; the attempt can't be continued.
    Gap,
}

/// Why an attempt ended without the whole answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection, so no byte left this node.
    #[display("not_connected")]
    NotConnected,
    /// The endpoint said that it did not start.
    #[display("not_started")]
    NotStarted,
    /// The endpoint answered that the request itself is wrong.
    #[display("rejected_{status}")]
    Rejected {
        /// HTTP status, 4xx.
        status: u16,
    },
    /// The endpoint answered with a server error.
    #[display("status_{status}")]
    ServerError {
        /// HTTP status, 5xx.
        status: u16,
    },
    /// The connection broke after the first byte was sent.
    #[display("broken")]
    ConnectionLost,
    /// No frame arrived for the stall time.
    #[display("stalled")]
    Stalled,
    /// The endpoint is leaving and the request moves.
    #[display("moved")]
    Moved,
    /// Frames were missing.
    #[display("gap")]
    Gap,
}

impl AttemptFailure {
    /// Returns true when nothing of the attempt can have run.
    #[must_use]
    pub fn never_started(&self) -> bool {
        matches!(self, Self::NotConnected | Self::NotStarted)
    }
}

/// What follows the end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request may go on at another endpoint, if the retry budget allows.
    Retry,
    /// The request ends so.
    Finish(Finish),
    /// The attempt was not the current one.
    Ignore,
}

impl Run {
    /// Makes a run that starts, or goes on after `transcript`.
    #[must_use]
    pub fn new(descriptor: Descriptor, transcript: Transcript) -> Self {
        // A run that took over can't know what its predecessor sent.
        let maybe_sent = descriptor.epoch.0 > 0;
        Self {
            descriptor,
            transcript,
            attempt: None,
            tried: Vec::new(),
            dropped_frames: DroppedFrames::default(),
            maybe_sent,
            sent_before: maybe_sent,
            has_claim: false,
            finish: None,
        }
    }

    /// Returns the descriptor.
    #[must_use]
    pub fn descriptor(&self) -> &Descriptor {
        &self.descriptor
    }

    /// Returns the tokens so far.
    #[must_use]
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Returns the endpoints tried, oldest first.
    #[must_use]
    pub fn tried(&self) -> &[EndpointName] {
        &self.tried
    }

    /// Returns the endpoint of the current attempt.
    #[must_use]
    pub fn endpoint(&self) -> Option<&EndpointName> {
        self.attempt.as_ref().map(|attempt| &attempt.endpoint)
    }

    /// Returns the current attempt.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        self.attempt.as_ref().map(|attempt| attempt.id)
    }

    /// Returns how many frames were dropped.
    #[must_use]
    pub fn dropped_frames(&self) -> DroppedFrames {
        self.dropped_frames
    }

    /// Returns how the request ended, when it did.
    #[must_use]
    pub fn finish(&self) -> Option<&Finish> {
        self.finish.as_ref()
    }

    /// Returns true when the call may be dispatched at most once.
    #[must_use]
    pub fn at_most_once(&self) -> bool {
        matches!(
            self.descriptor.call,
            Call::Plain {
                repeat: Repeat::Once(_),
                ..
            }
        )
    }

    /// Begins an attempt and returns the position that it starts from.
    ///
    /// # Panics
    /// When the request has ended, or a call that may run once was already dispatched.
    pub fn begin_attempt(&mut self, id: AttemptId, endpoint: EndpointName) -> Position {
        assert!(
            self.finish.is_none(),
            "an attempt after the end of request {}",
            self.descriptor.id
        );
        assert!(
            !(self.at_most_once() && self.maybe_sent),
            "a second dispatch of the non-idempotent request {}",
            self.descriptor.id
        );
        self.tried.push(endpoint.clone());
        self.attempt = Some(Attempt { id, endpoint });
        self.sent_before = self.maybe_sent;
        self.maybe_sent = true;
        self.transcript.position()
    }

    /// Takes the frame that ends at position `end`.
    pub fn receive_frame(&mut self, attempt: AttemptId, end: Position, token: &str) -> FrameResult {
        if self.attempt() != Some(attempt) {
            self.dropped_frames.stale += 1;
            return FrameResult::Stale;
        }
        let position = self.transcript.position();
        if end <= position {
            self.dropped_frames.duplicate += 1;
            return FrameResult::Duplicate;
        }
        if end > position.plus(1) {
            self.dropped_frames.gap += 1;
            return FrameResult::Gap;
        }
        // A token proves that the endpoint ran, whatever it says later.
        self.sent_before = true;
        self.transcript.push(token);
        FrameResult::Accepted
    }

    /// Ends the request with the whole answer of `attempt`; false when it is not the current one.
    pub fn complete(&mut self, attempt: AttemptId, finish: Finish) -> bool {
        if self.attempt() != Some(attempt) || self.finish.is_some() {
            self.dropped_frames.stale += 1;
            return false;
        }
        self.attempt = None;
        self.finish = Some(finish);
        true
    }

    /// Ends an attempt that gave no whole answer.
    pub fn fail_attempt(&mut self, attempt: AttemptId, failure: &AttemptFailure) -> NextStep {
        if self.attempt() != Some(attempt) {
            return NextStep::Ignore;
        }
        self.attempt = None;
        if failure.never_started() {
            self.maybe_sent = self.sent_before;
        }
        match failure {
            AttemptFailure::Rejected { .. } => self.finish_failed(&failure.to_string()),
            _ if self.at_most_once() && self.maybe_sent => self.finish_failed(&failure.to_string()),
            _ => NextStep::Retry,
        }
    }

    fn finish_failed(&mut self, reason: &str) -> NextStep {
        NextStep::Finish(self.give_up(reason))
    }

    /// Records that a claim was granted, which proves that no byte reached an endpoint so far.
    ///
    /// After an attempt of this run it has no effect, because the grant says nothing about that.
    pub fn claim_granted(&mut self) {
        self.has_claim = true;
        if self.tried.is_empty() {
            self.maybe_sent = false;
        }
    }

    /// Records that the second node was lost, which may have run the request before.
    ///
    /// An end that said otherwise is corrected: no caller has it before a second holds it.
    pub fn replica_lost(&mut self) {
        if self.has_claim {
            return;
        }
        self.sent_before = true;
        self.maybe_sent = true;
        let at_most_once = self.at_most_once();
        if let Some(finish) = &mut self.finish
            && finish.outcome == Outcome::NotRun
        {
            finish.outcome = if at_most_once {
                Outcome::Unknown
            } else {
                Outcome::Failed
            };
        }
    }

    /// Ends the request with an answer that was recorded before, of this call or an earlier one.
    pub fn finish_with(&mut self, finish: Finish) {
        self.attempt = None;
        self.finish.get_or_insert(finish);
    }

    /// Ends the request without the whole answer, with the outcome that is certain.
    pub fn give_up(&mut self, reason: &str) -> Finish {
        if let Some(finish) = &self.finish {
            return finish.clone();
        }
        let outcome = if !self.maybe_sent {
            Outcome::NotRun
        } else if self.at_most_once() {
            Outcome::Unknown
        } else {
            Outcome::Failed
        };
        let mut finish = Finish::without_answer(outcome, reason);
        finish.counts = TokenCounts {
            completion: self.transcript.position().0,
            ..TokenCounts::default()
        };
        self.attempt = None;
        self.finish = Some(finish.clone());
        finish
    }
}
