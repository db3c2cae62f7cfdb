//! The state of a request at its owner: attempts and their frames.

use cumin_types::{AttemptId, Call, Descriptor, EndpointName, Outcome, Position, Repeat};
use derive_more::Display;

use crate::{Finish, TokenCounts, Transcript};

/// A request that this node owns and runs.
#[derive(Clone, Debug)]
pub struct Run {
    descriptor: Descriptor,
    transcript: Transcript,
    attempt: Option<Attempt>,
    tried: Vec<EndpointName>,
    dropped_frames: DroppedFrames,
    // Whether an endpoint may have received a byte of any attempt (`maybe_sent`), or of any attempt
    // before the current one (`sent_before`).
    maybe_sent: bool,
    sent_before: bool,
    // Whether this run holds the claim of its call, so that no other run can have dispatched it.
    has_claim: bool,
    finish: Option<Finish>,
}

#[derive(Clone, Debug)]
struct Attempt {
    id: AttemptId,
    endpoint: EndpointName,
}

/// Numbers of frames that did not become part of the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DroppedFrames {
    /// Frames of an attempt that is not the current one.
    pub stale: u64,
    /// Frames whose token is already part of the answer.
    pub duplicate: u64,
    /// Frames whose token is not the next one, because tokens before it are missing.
    pub gap: u64,
}

/// The result of [`Run::receive_frame`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameResult {
    /// The token was appended to the answer.
    Accepted,
    /// The frame belongs to another attempt and was dropped.
    Stale,
    /// The token is already part of the answer, and the frame was dropped.
    Duplicate,
    /// Tokens before this one are missing; the attempt cannot continue.
    Gap,
}

/// Why an attempt ended without a complete answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was made, so no byte was sent.
    #[display("not_connected")]
    NotConnected,
    /// The endpoint reported that it did not start the request.
    #[display("not_started")]
    NotStarted,
    /// The endpoint rejected the request with a client error.
    #[display("rejected_{status}")]
    Rejected {
        /// HTTP status code: 4xx other than 429.
        status: u16,
    },
    /// The endpoint responded with an error that does not blame the request.
    #[display("status_{status}")]
    ErrorStatus {
        /// HTTP status code: 5xx, or 429.
        status: u16,
    },
    /// The connection was lost after the first byte was sent.
    #[display("broken")]
    ConnectionLost,
    /// No frame arrived within the stall timeout.
    #[display("stalled")]
    Stalled,
    /// The endpoint is shutting down and the request moves to another one.
    #[display("moved")]
    Moved,
    /// Frames are missing.
    #[display("gap")]
    Gap,
}

impl AttemptFailure {
    /// Returns true if the endpoint cannot have run any part of the request.
    #[must_use]
    pub fn never_started(&self) -> bool {
        matches!(self, Self::NotConnected | Self::NotStarted)
    }
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request may continue at another endpoint, if the retry budget allows it.
    Retry,
    /// The request has ended.
    Finish(Finish),
    /// The attempt is not the current one.
    Ignore,
}

impl Run {
    /// Creates a run that continues after `transcript`, which is empty for a new request.
    #[must_use]
    pub fn new(descriptor: Descriptor, transcript: Transcript) -> Self {
        // After a takeover it is not known what the previous owner sent.
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

    /// Returns the descriptor of the request.
    #[must_use]
    pub fn descriptor(&self) -> &Descriptor {
        &self.descriptor
    }

    /// Returns the tokens generated so far.
    #[must_use]
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Returns the endpoint of each attempt, oldest first.
    #[must_use]
    pub fn tried(&self) -> &[EndpointName] {
        &self.tried
    }

    /// Returns the endpoint of the current attempt.
    #[must_use]
    pub fn endpoint(&self) -> Option<&EndpointName> {
        self.attempt.as_ref().map(|attempt| &attempt.endpoint)
    }

    /// Returns the id of the current attempt.
    #[must_use]
    pub fn attempt(&self) -> Option<AttemptId> {
        self.attempt.as_ref().map(|attempt| attempt.id)
    }

    /// Returns the numbers of dropped frames.
    #[must_use]
    pub fn dropped_frames(&self) -> DroppedFrames {
        self.dropped_frames
    }

    /// Returns the end of the request, if it has ended.
    #[must_use]
    pub fn finish(&self) -> Option<&Finish> {
        self.finish.as_ref()
    }

    /// Returns true if the call may be dispatched at most once.
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

    /// Starts an attempt and returns the position at which it continues.
    ///
    /// # Panics
    /// Panics if the request has ended, or if a call that may be dispatched at most once may have
    /// been dispatched before.
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

    /// Processes the frame whose token ends at position `end`.
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
        // A token proves that the endpoint ran the request, whatever it reports later.
        self.sent_before = true;
        self.transcript.push(token);
        FrameResult::Accepted
    }

    /// Ends the request with the complete answer of `attempt`.
    ///
    /// Returns false if that is not the current attempt or the request has already ended.
    pub fn complete(&mut self, attempt: AttemptId, finish: Finish) -> bool {
        if self.attempt() != Some(attempt) || self.finish.is_some() {
            self.dropped_frames.stale += 1;
            return false;
        }
        self.attempt = None;
        self.finish = Some(finish);
        true
    }

    /// Ends an attempt that failed to give a complete answer.
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

    /// Records that the claim of this call was granted, which proves that no other run has sent a
    /// byte of it to an endpoint.
    ///
    /// The grant proves nothing about the attempts of this run itself, so after an attempt the
    /// record of what may have been sent is kept.
    pub fn claim_granted(&mut self) {
        self.has_claim = true;
        if self.tried.is_empty() {
            self.maybe_sent = false;
        }
    }

    /// Records that the second node was lost, which may have taken the request over and run it.
    ///
    /// An end with outcome `NotRun` is corrected. This is safe because no caller sees an end before
    /// a second node holds it.
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

    /// Ends the request with an answer that is already recorded, of this call or an earlier one.
    pub fn finish_with(&mut self, finish: Finish) {
        self.attempt = None;
        self.finish.get_or_insert(finish);
    }

    /// Ends the request without a complete answer, with the strongest outcome that is certain.
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
