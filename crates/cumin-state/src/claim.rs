//! Claims on idempotency keys and the outcomes of the claimed calls, for one shard.
//!
//! The first claim for a key holds it. Only the author of that claim can free the key again, by
//! recording `not_run`. The id of a freed claim is kept until the key expires, so that a copy of
//! the claim that is appended later has no effect. A key expires when the log's time passes the
//! key's own creation time plus the retention window. The floor below which keys are refused
//! never decreases, so execution stays at most once with bounded state.

use std::collections::{BTreeMap, BTreeSet};

use cumin_types::{ClaimKey, Fingerprint, LogOffset, RecordId, WallMillis};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::batch::Author;
use crate::fold::{LogPosition, State};
use crate::pairs;

mod record;

use record::digest_body;
pub use record::{Answer, Claim, Ending, ExportedKey, Record, RecordedBody, Settle};

/// Most freed claims that are kept for one key; after that the key accepts no further claim.
pub const MAX_FREED: usize = 64;

/// Limits of [`Claims`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Options {
    /// Retention window: how long after its creation a key is accepted.
    #[serde(rename = "window")]
    pub window_ms: u64,
    /// Clock skew: how far in the future the creation time of a key may be.
    #[serde(rename = "ahead")]
    pub ahead_ms: u64,
    /// Longest body of an answer that is recorded whole; of a longer one only the digest is kept.
    #[serde(rename = "answer")]
    pub answer_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window_ms: 24 * 3_600_000,
            ahead_ms: 60_000,
            answer_bytes: 16 * 1024,
        }
    }
}

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldClaim {
    /// Id of the claim, see [`Claim::id`].
    pub claim: RecordId,
    /// Node incarnation that made the claim.
    pub author: Author,
    /// Fingerprint of the claimed call.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Offset of the claim in the log.
    pub offset: LogOffset,
    /// Progress of the claimed call.
    pub stage: Stage,
}

/// Progress of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "stage")]
pub enum Stage {
    /// The author may dispatch the call or has dispatched it.
    InFlight,
    /// The endpoint answered.
    Done {
        /// The recorded answer.
        answer: Answer,
    },
    /// The call may have taken effect.
    Unknown,
}

impl HeldClaim {
    fn is_open(&self, claim: RecordId, author: &Author) -> bool {
        self.claim == claim && self.author == *author && self.stage == Stage::InFlight
    }

    /// Returns the stage to report to a caller: [`Stage::Unknown`] for a claim in flight whose
    /// author is no longer alive, else the recorded stage.
    #[must_use]
    pub fn effective_stage(&self, is_gone: impl FnOnce(&Author) -> bool) -> Stage {
        match &self.stage {
            Stage::InFlight if is_gone(&self.author) => Stage::Unknown,
            stage => stage.clone(),
        }
    }
}

/// State of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The claim that holds the key.
    pub held: Option<HeldClaim>,
    /// Freed claims with their authors; a copy of one that is appended later has no effect.
    pub freed: BTreeSet<(RecordId, Author)>,
}

impl Slot {
    fn has_freed(&self, claim: RecordId, author: &Author) -> bool {
        self.freed
            .iter()
            .any(|(id, by)| *id == claim && by == author)
    }
}

/// Reason that a record has no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The key is not a UUIDv7, so it carries no creation time.
    #[display("the key is not a UUIDv7")]
    Untimed,
    /// The key is older than the retention window.
    #[display("the key is older than the retention window")]
    Expired,
    /// The creation time of the key is further in the future than the allowed clock skew.
    #[display("the key's time is in the future")]
    Future,
    /// The author freed this claim.
    #[display("the claim was recorded as not run")]
    Freed,
    /// The key was freed [`MAX_FREED`] times.
    #[display("the key was freed too often")]
    Closed,
    /// Records from the time of the key were lost, so an earlier claim may exist.
    #[display("records of the key's time were lost")]
    Forgotten,
    /// Only the author of the claim may record this ending.
    #[display("only the claim's author may record this")]
    NotAuthor,
    /// The claim does not hold the key, or another ending is already recorded.
    #[display("the claim does not hold the key")]
    Superseded,
}

/// Effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The claim holds the key.
    Granted,
    /// Another claim holds the key.
    Taken,
    /// The ending was recorded.
    Settled,
    /// This many keys were imported.
    Imported(usize),
    /// The record had no effect.
    Refused(Refusal),
}

/// Result of looking up a claim's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// No claim holds the key.
    Free,
    /// The claim itself holds the key and is in flight.
    Own,
    /// The key is held by another claim, or by this one after it has ended.
    Held(HeldClaim),
    /// The claim would have no effect.
    Refused(Refusal),
}

/// Returns the creation time embedded in a UUIDv7 key, `None` for any other UUID.
#[must_use]
pub fn key_time(key: &Uuid) -> Option<WallMillis> {
    (key.get_version_num() == 7).then(|| {
        let millis = key.as_u128() >> 80;
        WallMillis(u64::try_from(millis).unwrap_or(u64::MAX))
    })
}

/// Claims of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    options: Options,
    /// Latest timestamp of the log.
    time: WallMillis,
    /// Keys created before this are refused; never decreases.
    floor: WallMillis,
    /// Records about keys created before this may have been lost.
    #[serde(rename = "forgotten")]
    lost_before: WallMillis,
    #[serde(with = "pairs")]
    keys: BTreeMap<ClaimKey, Slot>,
    #[serde(with = "pairs")]
    expiry: BTreeMap<WallMillis, BTreeSet<ClaimKey>>,
}

impl Claims {
    /// Returns a state without claims.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            time: WallMillis(0),
            floor: WallMillis(0),
            lost_before: WallMillis(0),
            keys: BTreeMap::new(),
            expiry: BTreeMap::new(),
        }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn options(&self) -> Options {
        self.options
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns true when there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the latest timestamp of the log.
    #[must_use]
    pub const fn time(&self) -> WallMillis {
        self.time
    }

    /// Returns the state of `key`.
    #[must_use]
    pub fn slot(&self, key: &ClaimKey) -> Option<&Slot> {
        self.keys.get(key)
    }

    /// Returns every key with its state, for import into another log.
    pub fn export(&self) -> impl Iterator<Item = ExportedKey> + '_ {
        self.keys.iter().map(|(key, slot)| ExportedKey {
            key: key.clone(),
            slot: slot.clone(),
        })
    }

    /// Checks the creation time of `key` against the retention window and the allowed skew at
    /// `wall`.
    ///
    /// # Errors
    /// Returns the refusal when the creation time is missing, too old or in the future.
    pub fn check_age(&self, key: &ClaimKey, wall: WallMillis) -> Result<(), Refusal> {
        let created = key_time(&key.key).ok_or(Refusal::Untimed)?;
        if created < self.floor || created.plus(self.options.window_ms) <= wall {
            return Err(Refusal::Expired);
        }
        if created > wall.plus(self.options.ahead_ms) {
            return Err(Refusal::Future);
        }
        Ok(())
    }

    /// Looks up the key of `claim` in the present state.
    #[must_use]
    pub fn lookup(&self, claim: &Claim) -> Lookup {
        let Some(created) = key_time(&claim.key.key) else {
            return Lookup::Refused(Refusal::Untimed);
        };
        let slot = self.keys.get(&claim.key);
        if slot.is_some_and(|slot| slot.has_freed(claim.id, &claim.author)) {
            return Lookup::Refused(Refusal::Freed);
        }
        match slot.and_then(|slot| slot.held.as_ref()) {
            Some(held) if held.is_open(claim.id, &claim.author) => Lookup::Own,
            Some(held) => Lookup::Held(held.clone()),
            None if created < self.floor => Lookup::Refused(Refusal::Expired),
            None if created < self.lost_before => Lookup::Refused(Refusal::Forgotten),
            None if slot.is_some_and(|slot| slot.freed.len() >= MAX_FREED) => {
                Lookup::Refused(Refusal::Closed)
            }
            None => Lookup::Free,
        }
    }

    /// Returns true when the ending in `settle` has been recorded.
    #[must_use]
    pub fn is_recorded(&self, settle: &Settle) -> bool {
        let Some(slot) = self.keys.get(&settle.key) else {
            return false;
        };
        let held = slot.held.as_ref().filter(|held| held.claim == settle.claim);
        match &settle.ending {
            Ending::NotRun => {
                slot.has_freed(settle.claim, &settle.author)
                    || (slot.freed.len() >= MAX_FREED && held.is_none())
            }
            Ending::Unknown => held.is_some_and(|held| held.stage == Stage::Unknown),
            Ending::Done { .. } => {
                held.is_some_and(|held| matches!(held.stage, Stage::Done { .. }))
            }
        }
    }

    fn slot_mut(&mut self, key: &ClaimKey, created: WallMillis) -> &mut Slot {
        self.expiry.entry(created).or_default().insert(key.clone());
        self.keys.entry(key.clone()).or_default()
    }

    fn claim(&mut self, at: LogPosition, claim: Claim) -> Event {
        if let Err(refusal) = self.check_age(&claim.key, self.time) {
            return Event::Refused(refusal);
        }
        match self.lookup(&claim) {
            Lookup::Own => Event::Granted,
            Lookup::Held(_) => Event::Taken,
            Lookup::Refused(refusal) => Event::Refused(refusal),
            Lookup::Free => {
                let Some(created) = key_time(&claim.key.key) else {
                    return Event::Refused(Refusal::Untimed);
                };
                self.slot_mut(&claim.key, created).held = Some(HeldClaim {
                    claim: claim.id,
                    author: claim.author,
                    fingerprint: claim.fingerprint,
                    offset: at.offset,
                    stage: Stage::InFlight,
                });
                Event::Granted
            }
        }
    }

    fn settle(&mut self, settle: Settle) -> Event {
        if let Err(refusal) = self.check_age(&settle.key, self.time) {
            return Event::Refused(refusal);
        }
        let max_bytes = self.options.answer_bytes;
        let Some(created) = key_time(&settle.key.key) else {
            return Event::Refused(Refusal::Untimed);
        };
        let held = self
            .keys
            .get(&settle.key)
            .and_then(|slot| slot.held.as_ref());
        let held = held.filter(|held| held.claim == settle.claim);
        match (
            settle.ending,
            held.map(|held| (&held.stage, held.author == settle.author)),
        ) {
            // The claim is not in the log yet, or was freed before. Recording the id makes a copy
            // that is appended later void.
            (Ending::NotRun, None) => {
                self.free(&settle.key, created, (settle.claim, settle.author))
            }
            (Ending::NotRun, Some((Stage::InFlight, true))) => {
                self.slot_mut(&settle.key, created).held = None;
                self.free(&settle.key, created, (settle.claim, settle.author))
            }
            (Ending::Unknown, Some((Stage::InFlight, true))) => {
                self.set_stage(&settle.key, Stage::Unknown)
            }
            // Any node that has the endpoint's answer may record it: the answer resolves an unknown
            // outcome.
            (Ending::Done { mut answer }, Some((Stage::InFlight | Stage::Unknown, _))) => {
                if let RecordedBody::Whole(body) = &answer.body
                    && body.len() > max_bytes
                {
                    answer.body = digest_body(body);
                }
                self.set_stage(&settle.key, Stage::Done { answer })
            }
            (_, Some((Stage::InFlight, false))) => Event::Refused(Refusal::NotAuthor),
            _ => Event::Refused(Refusal::Superseded),
        }
    }

    fn set_stage(&mut self, key: &ClaimKey, stage: Stage) -> Event {
        if let Some(held) = self.keys.get_mut(key).and_then(|slot| slot.held.as_mut()) {
            held.stage = stage;
        }
        Event::Settled
    }

    /// Records `freed` as a freed claim. Once the limit is reached the key refuses every claim, so
    /// further ids need not be kept.
    fn free(&mut self, key: &ClaimKey, created: WallMillis, freed: (RecordId, Author)) -> Event {
        let slot = self.slot_mut(key, created);
        if slot.freed.len() < MAX_FREED {
            slot.freed.insert(freed);
        }
        Event::Settled
    }

    fn import(&mut self, at: LogPosition, keys: Vec<ExportedKey>) -> Event {
        let mut count = 0;
        for ExportedKey { key, slot } in keys {
            let Some(created) = key_time(&key.key).filter(|created| *created >= self.floor) else {
                continue;
            };
            let here = self.slot_mut(&key, created);
            here.freed.extend(slot.freed);
            let is_known = |held: &HeldClaim| held.stage != Stage::Unknown;
            match (&mut here.held, slot.held) {
                (here, Some(mut held)) if here.is_none() => {
                    held.offset = at.offset;
                    *here = Some(held);
                }
                (Some(here), Some(held))
                    if here.claim == held.claim
                        && is_known(&held)
                        && !matches!(here.stage, Stage::Done { .. }) =>
                {
                    here.stage = held.stage;
                }
                _ => {}
            }
            count += 1;
        }
        Event::Imported(count)
    }
}

impl State for Claims {
    type Record = Record;
    type Event = Event;

    fn advance(&mut self, at: LogPosition) {
        self.time = self.time.max(at.wall);
        let floor = WallMillis(self.time.0.saturating_sub(self.options.window_ms)).plus(1);
        self.floor = self.floor.max(floor);
        let kept = self.expiry.split_off(&self.floor);
        for key in std::mem::replace(&mut self.expiry, kept)
            .into_values()
            .flatten()
        {
            self.keys.remove(&key);
        }
    }

    fn apply(&mut self, at: LogPosition, _: &Author, record: Record) -> Event {
        match record {
            Record::Claim(claim) => self.claim(at, claim),
            Record::Settle(settle) => self.settle(settle),
            Record::Import { keys } => self.import(at, keys),
        }
    }

    fn mark_lost(&mut self, at: LogPosition) {
        self.lost_before = self.lost_before.max(at.wall.plus(self.options.ahead_ms));
    }
}
