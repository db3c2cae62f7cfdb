//! One non-idempotent call at the entry that owns it: claim, at most one dispatch, ending.
//!
//! The entry is the author of the claim. It dispatches only on `Granted` while it waits for
//! that verdict; once it has given up, a late grant changes nothing, and the claim is freed
//! by a `not_run` record that is submitted until a recorder has it on record.

use cumin_types::{Millis, Outcome};

use crate::batch::Author;
use crate::claim::{Answer, Claim, Ending, Refusal, Settle, Stage, Standing};
use crate::recorder::{Ask, Verdict};

/// Milliseconds between two submissions of one claim.
pub const RESUBMIT: u64 = 500;
/// Milliseconds between two submissions of one ending at most; the time doubles up to it, so
/// that endings left over from an outage do not fill the recorder's queue.
pub const RESUBMIT_MAX: u64 = 8_000;

/// What the entry does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this to the shard's recorder.
    Submit(Ask),
    /// Send the call to an endpoint, now and never again.
    Dispatch,
    /// Answer the caller with what is on record.
    Replay(Answer),
    /// The key was used for another call.
    Mismatch,
    /// Tell the caller how the call ended.
    Tell(Outcome, Option<Refusal>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// No verdict yet. `sent` when a submission may have reached a recorder.
    Claiming { sent: bool },
    /// Another claim holds the key and is in flight.
    Watching,
    /// Dispatched.
    Running,
    /// The ending is to be recorded.
    Recording(Ending),
    /// Nothing is left to do.
    Over,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    claim: Claim,
    deadline: Millis,
    state: State,
    next: Millis,
    /// Submissions of the ending.
    tries: u32,
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
            next: Millis(0),
            tries: 0,
        }
    }

    /// The claim.
    #[must_use]
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// True when nothing is left to record or to tell.
    #[must_use]
    pub fn over(&self) -> bool {
        self.state == State::Over
    }

    /// True from the dispatch to its ending.
    #[must_use]
    pub fn running(&self) -> bool {
        self.state == State::Running
    }

    /// When [`Self::poll`] has something to do without an input.
    #[must_use]
    pub fn wake(&self) -> Option<Millis> {
        match self.state {
            State::Claiming { .. } | State::Watching => Some(self.next.min(self.deadline)),
            State::Recording(_) => Some(self.next),
            State::Running | State::Over => None,
        }
    }

    /// Returns what there is to do at `now`.
    pub fn poll(&mut self, now: Millis) -> Option<Step> {
        let waits = matches!(self.state, State::Claiming { .. } | State::Watching);
        if waits && now >= self.deadline {
            return Some(self.give_up(now));
        }
        if self.next > now {
            return None;
        }
        let ask = match &mut self.state {
            State::Claiming { sent } => {
                *sent = true;
                Ask::Claim(self.claim.clone())
            }
            State::Watching => Ask::Claim(self.claim.clone()),
            State::Recording(ending) => Ask::Settle(Settle {
                claim: self.claim.id,
                key: self.claim.key.clone(),
                author: self.claim.author.clone(),
                ending: ending.clone(),
            }),
            State::Running | State::Over => return None,
        };
        let ending = matches!(self.state, State::Recording(_));
        self.next = now.plus((RESUBMIT << self.tries.min(8)).min(RESUBMIT_MAX));
        self.tries += u32::from(ending);
        Some(Step::Submit(ask))
    }

    /// Ends the wait at the deadline. The claim may be in the log or land later, unless it was
    /// never sent, so it is freed.
    fn give_up(&mut self, now: Millis) -> Step {
        let watching = self.state == State::Watching;
        let sent = self.state != State::Claiming { sent: false };
        self.state = if sent {
            State::Recording(Ending::NotRun)
        } else {
            State::Over
        };
        self.next = now;
        // While another claim is in flight the action may take effect.
        let outcome = if watching {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        Step::Tell(outcome, None)
    }

    /// Takes a recorder's verdict on an ask of this call. Verdicts may be late or repeated;
    /// `gone` says whether an incarnation is known to have ended.
    pub fn verdict(
        &mut self,
        now: Millis,
        ask: &Ask,
        verdict: &Verdict,
        gone: impl FnOnce(&Author) -> bool,
    ) -> Option<Step> {
        match (ask, &self.state) {
            (Ask::Claim(claim), State::Claiming { .. } | State::Watching)
                if claim.id == self.claim.id =>
            {
                self.claimed(now, verdict, gone)
            }
            (Ask::Settle(settle), State::Recording(ending))
                if settle.claim == self.claim.id && settle.ending == *ending =>
            {
                if matches!(verdict, Verdict::Recorded | Verdict::Refused(_)) {
                    self.state = State::Over;
                }
                None
            }
            _ => None,
        }
    }

    fn claimed(
        &mut self,
        now: Millis,
        verdict: &Verdict,
        gone: impl FnOnce(&Author) -> bool,
    ) -> Option<Step> {
        match verdict {
            Verdict::Granted if now < self.deadline => {
                self.state = State::Running;
                Some(Step::Dispatch)
            }
            Verdict::Granted => Some(self.give_up(now)),
            Verdict::Exists(held) => self.exists(now, held, gone),
            Verdict::Refused(refusal) => Some(self.refused(now, *refusal)),
            // Another submission may succeed before the deadline.
            Verdict::Unsent(_) | Verdict::Uncertain | Verdict::Recorded => None,
        }
    }

    fn refused(&mut self, now: Millis, refusal: Refusal) -> Step {
        let outcome = match refusal {
            Refusal::Forgotten => Outcome::Unknown,
            _ => Outcome::NotRun,
        };
        match refusal {
            Refusal::Forgotten | Refusal::Future => self.leave(now),
            _ => self.state = State::Over,
        }
        Step::Tell(outcome, Some(refusal))
    }

    /// Frees this claim, a copy of which may land once the key's present holder is gone.
    fn leave(&mut self, now: Millis) {
        self.state = State::Recording(Ending::NotRun);
        self.next = now;
    }

    fn exists(
        &mut self,
        now: Millis,
        held: &Standing,
        gone: impl FnOnce(&Author) -> bool,
    ) -> Option<Step> {
        if held.print != self.claim.print {
            self.leave(now);
            return Some(Step::Mismatch);
        }
        match held.seen(gone) {
            Stage::InFlight => {
                self.state = State::Watching;
                None
            }
            Stage::Done { answer } => {
                self.state = State::Over;
                Some(Step::Replay(answer))
            }
            Stage::Unknown => {
                self.leave(now);
                Some(Step::Tell(Outcome::Unknown, None))
            }
        }
    }

    /// The dispatched call ended; records it. `NotRun` only on the endpoint's guarantee that
    /// nothing ran, or when it was never sent.
    pub fn ended(&mut self, now: Millis, ending: Ending) {
        if self.state == State::Running {
            self.state = State::Recording(ending);
            self.next = now;
        }
    }
}
