//! One non-idempotent call at the entry that owns it: claim, at most one dispatch, ending.
//!
//! The entry is the author of the claim. It dispatches only on `Granted` while it waits for
//! that verdict; once it has given up, a late grant changes nothing, and the claim is freed
//! by a `not_run` record that is submitted until a recorder has it on record.

use cumin_types::{Millis, Outcome};

use crate::batch::Author;
use crate::claim::{Answer, Claim, Ending, HeldClaim, Refusal, Settle, Stage};
use crate::recorder::{Command, Verdict};

/// Milliseconds between two submissions of one claim.
pub const RESUBMIT_MS: u64 = 500;
/// Milliseconds between two submissions of one ending at most; the time doubles up to it, so
/// that endings left over from an outage do not fill the recorder's queue.
pub const RESUBMIT_MAX_MS: u64 = 8_000;

/// What the entry does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this to the shard's recorder.
    Submit(Command),
    /// Send the call to an endpoint, now and never again.
    Dispatch,
    /// Answer the caller with what is on record.
    Replay(Answer),
    /// The key was used for another call.
    Mismatch,
    /// Tell the caller how the call ended.
    Report(Outcome, Option<Refusal>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// No verdict yet. `sent` when a submission may have reached a recorder.
    Claiming { sent: bool },
    /// Another claim holds the key and is in flight.
    Blocked,
    /// Dispatched.
    Running,
    /// The ending is to be recorded.
    Recording(Ending),
    /// Nothing is left to do.
    Finished,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    claim: Claim,
    deadline: Millis,
    state: State,
    submit_at: Millis,
    /// Submissions of the ending.
    submissions: u32,
}

impl Call {
    /// A call that must be claimed by `deadline`.
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

    /// The claim.
    #[must_use]
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// True when nothing is left to record or to tell.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// True from the dispatch to its ending.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == State::Running
    }

    /// When [`Self::poll`] has something to do without an input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        match self.state {
            State::Claiming { .. } | State::Blocked => Some(self.submit_at.min(self.deadline)),
            State::Recording(_) => Some(self.submit_at),
            State::Running | State::Finished => None,
        }
    }

    /// Returns what there is to do at `now`.
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

    /// Ends the wait at the deadline. The claim may be in the log or land later, unless it was
    /// never sent, so it is freed.
    fn give_up(&mut self, now: Millis) -> Step {
        let blocked = self.state == State::Blocked;
        let sent = self.state != State::Claiming { sent: false };
        self.state = if sent {
            State::Recording(Ending::NotRun)
        } else {
            State::Finished
        };
        self.submit_at = now;
        // While another claim is in flight the action may take effect.
        let outcome = if blocked {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        Step::Report(outcome, None)
    }

    /// Takes a recorder's verdict on an command of this call. Verdicts may be late or repeated;
    /// `gone` says whether an incarnation is known to have ended.
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
            // Another submission may succeed before the deadline.
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

    /// Frees this claim, a copy of which may land once the key's present holder is gone.
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

    /// The dispatched call ended; records it. `NotRun` only on the endpoint's guarantee that
    /// nothing ran, or when it was never sent.
    pub fn record_ending(&mut self, now: Millis, ending: Ending) {
        if self.state == State::Running {
            self.state = State::Recording(ending);
            self.submit_at = now;
        }
    }
}
