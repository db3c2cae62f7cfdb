//! Which suspects are refused.
//!
//! The suspect of the most crashes that it is not cleared of comes first, and explains those
//! crashes; the others are suspected only of what is left. A bystander of every crash is in no more
//! of them than the culprit, so it is not refused beside it.
//!
//! Load pattern: all endpoints of a service fail at once, for another reason. Everything in frequent
//! use is then involved in enough crashes, and as it is refused, nothing clears it. One node
//! therefore lets a single request run from time to time, with pauses that grow with the time for
//! which the suspect has crashed endpoints.
//!
//! Load pattern: several bad parts share a first part with all sound prompts, which is then in more
//! crashes than each of them. The trial is therefore made with a request of which no other part is
//! suspected of an open crash, if there is one.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use cumin_types::Millis;

use super::{CrashId, SOUND_TTL, SUSPECT_TTL, Suspect, SuspectRecord, Suspects, Suspicion};

/// Number of crashes after which a suspect is refused.
pub const CRASH_LIMIT: usize = 3;

/// Time without a completed request after which a suspect that was sound before is refused, from
/// the crash with which it reached the limit. Several endpoints that fail at once involve everything
/// that is in frequent use; what runs elsewhere is cleared within this time.
const SETTLE_TIME: Millis = Millis(1000);

/// Minimum time from the last crash, or the last trial, until a single request runs as a trial; the
/// first for suspects that were sound before.
const MIN_SOUND_PAUSE: Millis = Millis(1000);
const MIN_TRIAL_PAUSE: Millis = Millis(8000);

/// The same as a multiple of the time between the first and the last crash.
const PAUSE_FACTOR: u64 = 2;

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Nothing that it holds is quarantined.
    Free,
    /// It is let through to find out whether its suspects still crash endpoints.
    Trial,
    /// It is refused.
    Refused(Quarantined),
}

/// A suspect that is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantined {
    /// The suspect.
    pub suspect: Suspect,
    /// Parts that a request with the suspect must hold as well to be refused.
    pub with: BTreeSet<u64>,
    /// Crashes that the suspect is not cleared of.
    pub crashes: usize,
    /// Time at which a request may run as a trial.
    pub trial_at: Millis,
    /// Pause until the next trial.
    pause: Millis,
}

impl Quarantined {
    /// Returns whether a part is the suspect or one of those that it is refused with.
    fn holds(&self, part: u64) -> bool {
        self.suspect == Suspect::Part(part) || self.with.contains(&part)
    }

    fn concerns(&self, suspicion: &Suspicion) -> bool {
        match self.suspect {
            Suspect::Request(fingerprint) => fingerprint == suspicion.fingerprint,
            Suspect::Part(part) => {
                let mut needed = self.with.iter().chain([&part]);
                needed.all(|part| suspicion.parts.contains(part))
            }
        }
    }
}

/// A suspect of enough crashes to be refused.
struct Candidate {
    suspect: Suspect,
    open: BTreeSet<CrashId>,
    with: BTreeSet<u64>,
    /// Whether requests with it completed lately.
    was_sound: bool,
    trial_at: Millis,
    pause: Millis,
}

impl Candidate {
    fn unexplained(&self, explained: &BTreeSet<CrashId>) -> usize {
        self.open.difference(explained).count()
    }

    /// Among suspects of the same number of crashes, one that is refused with fewer others, and
    /// was not sound before, comes first.
    fn rank(&self, explained: &BTreeSet<CrashId>) -> (usize, bool, bool, usize, Reverse<Suspect>) {
        (
            self.unexplained(explained),
            matches!(self.suspect, Suspect::Request(_)),
            !self.was_sound,
            self.with.len(),
            Reverse(self.suspect),
        )
    }
}

impl Suspects {
    /// Returns the suspect because of which a request is refused.
    #[must_use]
    pub fn refused(&self, suspicion: &Suspicion) -> Option<&Quarantined> {
        let mut quarantined = self.quarantined.iter();
        quarantined.find(|item| item.concerns(suspicion))
    }

    /// Decides whether a request may run. `is_chosen` returns whether this node makes the trials of
    /// a suspect.
    pub fn admit(
        &mut self,
        suspicion: &Suspicion,
        now: Millis,
        is_chosen: impl Fn(Suspect) -> bool,
    ) -> Admission {
        let suspected = self.suspected_parts(suspicion);
        let Self {
            known, quarantined, ..
        } = self;
        let concerned = quarantined
            .iter_mut()
            .filter(|item| item.concerns(suspicion));
        let mut concerned: Vec<_> = concerned.collect();
        let Some(first) = concerned.first() else {
            return Admission::Free;
        };
        let due = |item: &Quarantined| {
            let is_clean = suspected.iter().all(|part| item.holds(*part));
            // Without a request that is free of other suspects, one with them runs a pause later.
            let extra = if is_clean { 0 } else { item.pause.0 };
            item.trial_at.plus(extra) <= now && is_chosen(item.suspect)
        };
        if !concerned.iter().all(|item| due(item)) {
            return Admission::Refused((*first).clone());
        }
        for item in &mut concerned {
            item.trial_at = now.plus(item.pause.0);
            if let Some(record) = known.get_mut(&item.suspect) {
                record.tried = Some(now);
            }
        }
        Admission::Trial
    }

    /// Returns the parts of a request that are suspected of crashes.
    fn suspected_parts(&self, suspicion: &Suspicion) -> Vec<u64> {
        let parts = suspicion.parts.iter().copied();
        let is_suspected = |part: &u64| {
            let record = self.known.get(&Suspect::Part(*part));
            record.is_some_and(|record| record.open_count() > 0)
        };
        parts.filter(is_suspected).collect()
    }

    /// Records that a trial was refused for another reason before it was sent, so that the next
    /// request is one.
    pub fn trial_unsent(&mut self, suspicion: &Suspicion) {
        let quarantined = self.quarantined.iter_mut();
        for item in quarantined.filter(|item| item.concerns(suspicion)) {
            item.trial_at = Millis(0);
            if let Some(record) = self.known.get_mut(&item.suspect) {
                record.tried = None;
            }
        }
    }

    /// Returns what is refused, as of the last review.
    #[must_use]
    pub fn quarantined(&self) -> &[Quarantined] {
        &self.quarantined
    }

    /// Decides anew which suspects are refused, and returns those before.
    ///
    /// Called after each change and, as time alone may change the outcome, periodically.
    pub fn review(&mut self, now: Millis) -> Vec<Quarantined> {
        let known = self.known.iter();
        let candidates =
            known.filter_map(|(suspect, record)| self.candidate(*suspect, record, now));
        let candidates: Vec<Candidate> = candidates.collect();
        let mut explained = BTreeSet::new();
        let mut quarantined = Vec::new();
        while let Some(worst) = candidates.iter().max_by_key(|c| c.rank(&explained))
            && worst.unexplained(&explained) >= CRASH_LIMIT
        {
            quarantined.push(Quarantined {
                suspect: worst.suspect,
                with: worst.with.clone(),
                crashes: worst.open.len(),
                trial_at: worst.trial_at,
                pause: worst.pause,
            });
            explained.extend(worst.open.iter().copied());
        }
        std::mem::replace(&mut self.quarantined, quarantined)
    }

    fn candidate(
        &self,
        suspect: Suspect,
        record: &SuspectRecord,
        now: Millis,
    ) -> Option<Candidate> {
        if record.crashes.len() < CRASH_LIMIT || record.age(now) >= SUSPECT_TTL {
            return None;
        }
        let open: BTreeSet<CrashId> = record.open().map(|(id, _)| *id).collect();
        if open.len() < CRASH_LIMIT {
            return None;
        }
        let first = record.open().map(|(_, crash)| crash.since).min()?;
        let last = record.open().map(|(_, crash)| crash.since).max()?;
        let mut times: Vec<Millis> = record.open().map(|(_, crash)| crash.since).collect();
        times.sort_unstable();
        let reached = times.get(CRASH_LIMIT - 1).copied()?;
        let sound = self.sound.get(&suspect);
        let was_sound = sound.is_some_and(|sound| first.since(*sound) < SOUND_TTL.0);
        if was_sound && now.since(reached) < SETTLE_TIME.0 {
            return None;
        }
        let min_pause = if was_sound {
            MIN_SOUND_PAUSE
        } else {
            MIN_TRIAL_PAUSE
        };
        let pause = min_pause.max(Millis(PAUSE_FACTOR * last.since(first)));
        let trial_at = record.tried.map_or(last, |tried| tried.max(last));
        let mut involvements = record.open().map(|(_, crash)| &crash.with);
        let mut with = involvements.next()?.clone();
        for other in involvements {
            with.retain(|part| other.contains(part));
        }
        Some(Candidate {
            suspect,
            open,
            with,
            was_sound,
            trial_at: trial_at.plus(pause.0),
            pause,
        })
    }
}
