//! Life cycle of one non-idempotent call at its entry: claim, at most one dispatch, recorded
//! ending.
//!
//! The entry is the author of the claim. It dispatches the call only when it receives
//! [`Verdict::Granted`] while it waits for a verdict. After it has given up, a late grant has no
//! effect: the entry resubmits a `not_run` record that frees the claim until a recorder confirms
//! it.

use cumin_types::{Millis, Outcome};

use crate::batch::Author;
use crate::claim::{Answer, Claim, Ending, HeldClaim, Refusal, Settle, Stage};
use crate::recorder::{Command, Verdict};

/// Interval between two submissions of one claim.
pub const RESUBMIT_MS: u64 = 500;
/// Longest interval between two submissions of one ending. The interval doubles up to this
/// limit, so that endings that remain after an outage do not fill the recorder's queue.
pub const RESUBMIT_MAX_MS: u64 = 8_000;

/// Next action of the entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Submit the command to the shard's recorder.
    Submit(Command),
    /// Dispatch the call to an endpoint; returned at most once.
    Dispatch,
    /// Reply to the caller with the recorded answer.
    Replay(Answer),
    /// Reject the call: the key is in use by a different call.
    Mismatch,
    /// Report the outcome to the caller, with the refusal that caused it.
    Report(Outcome, Option<Refusal>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// No verdict yet; `sent` is true when a submission may have reached a recorder.
    Claiming { sent: bool },
    /// Another claim holds the key and is in flight.
    Blocked,
    /// The call has been dispatched.
    Running,
    /// The ending is being submitted to a recorder.
    Recording(Ending),
    /// Nothing remains to be done.
    Finished,
}

/// State machine of one claimed call.
#[derive(Clone, Debug)]
pub struct Call {
    claim: Claim,
    deadline: Millis,
    state: State,
    submit_at: Millis,
    /// Number of times that the ending has been submitted.
    submissions: u32,
}

impl Call {
    /// Creates a call whose claim must be granted by `deadline`.
    #[must_use]
    pub const fn new(claim: Claim, deadline: Millis) -> Self {
        let state = State::Claiming { sent: false };
        Self {
            claim,
            deadline,
            state,
            submit_at: Millis(0),
            submissions: 0,
        }
    }

    /// Returns the claim.
    #[must_use]
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns true when nothing remains to be recorded or reported.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Returns true from the dispatch until the ending is known.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == State::Running
    }

    /// Returns the time of the next [`Self::poll`] that is due without an input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        match self.state {
            State::Claiming { .. } | State::Blocked => Some(self.submit_at.min(self.deadline)),
            State::Recording(_) => Some(self.submit_at),
            State::Running | State::Finished => None,
        }
    }

    /// Returns the next step that is due at `now`.
    pub fn poll(&mut self, now: Millis) -> Option<Step> {
        let waits = matches!(self.state, State::Claiming { .. } | State::Blocked);
        if waits && now >= self.deadline {
            return Some(self.give_up(now));
        }
        if self.submit_at > now {
            return None;
        }
        let command = match &mut self.state {
            State::Claiming { sent } => {
                *sent = true;
                Command::Claim(self.claim.clone())
            }
            State::Blocked => Command::Claim(self.claim.clone()),
            State::Recording(ending) => Command::Settle(Settle {
                claim: self.claim.id,
                key: self.claim.key.clone(),
                author: self.claim.author.clone(),
                ending: ending.clone(),
            }),
            State::Running | State::Finished => return None,
        };
        let ending = matches!(self.state, State::Recording(_));
        self.submit_at = now.plus((RESUBMIT_MS << self.submissions.min(8)).min(RESUBMIT_MAX_MS));
        self.submissions += u32::from(ending);
        Some(Step::Submit(command))
    }

    /// Stops waiting at the deadline. Unless the claim was never sent, it may be in the log or be
    /// appended later, so it is freed.
    fn give_up(&mut self, now: Millis) -> Step {
        let blocked = self.state == State::Blocked;
        let sent = self.state != State::Claiming { sent: false };
        self.state = if sent {
            State::Recording(Ending::NotRun)
        } else {
            State::Finished
        };
        self.submit_at = now;
        // The call of the other claim in flight may still take effect.
        let outcome = if blocked {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        Step::Report(outcome, None)
    }

    /// Handles a recorder's verdict on a command of this call. Verdicts may be late or repeated;
    /// `is_gone` returns whether a node incarnation is known to have ended.
    pub fn verdict(
        &mut self,
        now: Millis,
        command: &Command,
        verdict: &Verdict,
        is_gone: impl FnOnce(&Author) -> bool,
    ) -> Option<Step> {
        match (command, &self.state) {
            (Command::Claim(claim), State::Claiming { .. } | State::Blocked)
                if claim.id == self.claim.id =>
            {
                self.handle_claim_verdict(now, verdict, is_gone)
            }
            (Command::Settle(settle), State::Recording(ending))
                if settle.claim == self.claim.id && settle.ending == *ending =>
            {
                if matches!(verdict, Verdict::Recorded | Verdict::Refused(_)) {
                    self.state = State::Finished;
                }
                None
            }
            _ => None,
        }
    }

    fn handle_claim_verdict(
        &mut self,
        now: Millis,
        verdict: &Verdict,
        is_gone: impl FnOnce(&Author) -> bool,
    ) -> Option<Step> {
        match verdict {
            Verdict::Granted if now < self.deadline => {
                self.state = State::Running;
                Some(Step::Dispatch)
            }
            Verdict::Granted => Some(self.give_up(now)),
            Verdict::Exists(held) => self.handle_held(now, held, is_gone),
            Verdict::Refused(refusal) => Some(self.handle_refusal(now, *refusal)),
            // A later submission may succeed before the deadline.
            Verdict::Unsent(_) | Verdict::Uncertain | Verdict::Recorded => None,
        }
    }

    fn handle_refusal(&mut self, now: Millis, refusal: Refusal) -> Step {
        let outcome = match refusal {
            Refusal::Forgotten => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        match refusal {
            Refusal::Forgotten | Refusal::Future => self.free_claim(now),
            _ => self.state = State::Finished,
        }
        Step::Report(outcome, Some(refusal))
    }

    /// Frees this claim: a copy of it may still be appended, and would hold the key once the
    /// present claim is freed.
    fn free_claim(&mut self, now: Millis) {
        self.state = State::Recording(Ending::NotRun);
        self.submit_at = now;
    }

    fn handle_held(
        &mut self,
        now: Millis,
        held: &HeldClaim,
        is_gone: impl FnOnce(&Author) -> bool,
    ) -> Option<Step> {
        if held.fingerprint != self.claim.fingerprint {
            self.free_claim(now);
            return Some(Step::Mismatch);
        }
        match held.effective_stage(is_gone) {
            Stage::InFlight => {
                self.state = State::Blocked;
                None
            }
            Stage::Done { answer } => {
                self.state = State::Finished;
                Some(Step::Replay(answer))
            }
            Stage::Unknown => {
                self.free_claim(now);
                Some(Step::Report(Outcome::Unknown, None))
            }
        }
    }

    /// Starts recording the ending of the dispatched call. [`Ending::NotRun`] requires the
    /// endpoint's guarantee that nothing ran, or that the call was never sent.
    pub fn record_ending(&mut self, now: Millis, ending: Ending) {
        if self.state == State::Running {
            self.state = State::Recording(ending);
            self.submit_at = now;
        }
    }
}
