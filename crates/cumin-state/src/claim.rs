//! Claims and outcomes of one shard, by key.
//!
//! The first claim for a key wins. Only its author frees the key again with `not_run`, and the
//! freed claim's id stays on record until the key expires, so that a late copy of the claim
//! has no effect. A key expires by its own time against the log's time, and the floor below
//! which keys are refused never falls; at most once therefore holds with finite state.

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

/// Freed claims that a key may have; it is closed beyond them.
pub const MAX_FREED: usize = 64;

/// Bounds of [`Claims`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Options {
    /// Milliseconds after its creation that a key is accepted.
    #[serde(rename = "window")]
    pub window_ms: u64,
    /// Milliseconds that a key's creation may be in the future.
    #[serde(rename = "ahead")]
    pub ahead_ms: u64,
    /// Bytes of a recorded answer; a longer one is kept as a digest.
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
    /// Id of the claim.
    pub claim: RecordId,
    /// Who made it.
    pub author: Author,
    /// What its call carries.
    #[serde(rename = "print")]
    pub fingerprint: Fingerprint,
    /// Where the log put it.
    pub offset: LogOffset,
    /// How far it is.
    pub stage: Stage,
}

/// How far a claim is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "stage")]
pub enum Stage {
    /// Its author may dispatch it or has done so.
    InFlight,
    /// The endpoint answered.
    Done {
        /// Its answer.
        answer: Answer,
    },
    /// It may have taken effect.
    Unknown,
}

impl HeldClaim {
    fn is_open(&self, claim: RecordId, author: &Author) -> bool {
        self.claim == claim && self.author == *author && self.stage == Stage::InFlight
    }

    /// What a caller is told: a claim in flight whose author is gone is unknown.
    #[must_use]
    pub fn effective_stage(&self, is_gone: impl FnOnce(&Author) -> bool) -> Stage {
        match &self.stage {
            Stage::InFlight if is_gone(&self.author) => Stage::Unknown,
            stage => stage.clone(),
        }
    }
}

/// All that is known of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The claim that holds it.
    pub held: Option<HeldClaim>,
    /// Claims that were freed, by whom; a late copy of one has no effect.
    pub freed: BTreeSet<(RecordId, Author)>,
}

impl Slot {
    fn has_freed(&self, claim: RecordId, author: &Author) -> bool {
        self.freed
            .iter()
            .any(|(id, by)| *id == claim && by == author)
    }
}

/// Why a record has no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The key is not a UUIDv7.
    #[display("the key is not a UUIDv7")]
    Untimed,
    /// The key is older than the window.
    #[display("the key is older than the retention window")]
    Expired,
    /// The key's time is too far in the future.
    #[display("the key's time is in the future")]
    Future,
    /// Its author freed this claim.
    #[display("the claim was recorded as not run")]
    Freed,
    /// The key was freed as often as the bound allows.
    #[display("the key was freed too often")]
    Closed,
    /// The key is from a time of which records were lost.
    #[display("records of the key's time were lost")]
    Forgotten,
    /// Only the claim's author may say so.
    #[display("only the claim's author may record this")]
    NotAuthor,
    /// The claim does not hold the key, or ended otherwise.
    #[display("the claim does not hold the key")]
    Superseded,
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The claim holds the key.
    Granted,
    /// Another claim holds the key.
    Taken,
    /// The ending is on record.
    Settled,
    /// So many keys were carried over.
    Imported(usize),
    /// No effect.
    Refused(Refusal),
}

/// What a claim would find.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nobody holds the key.
    Free,
    /// This claim holds the key and is in flight.
    Own,
    /// The key is held; also by this claim once it has ended.
    Held(HeldClaim),
    /// The claim can have no effect.
    Refused(Refusal),
}

/// The creation time that a key carries, for a UUIDv7.
#[must_use]
pub fn key_time(key: &Uuid) -> Option<WallMillis> {
    (key.get_version_num() == 7).then(|| {
        let millis = key.as_u128() >> 80;
        WallMillis(u64::try_from(millis).unwrap_or(u64::MAX))
    })
}

/// State of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claims {
    options: Options,
    /// The log's latest time.
    time: WallMillis,
    /// Keys made before this are refused; never falls.
    floor: WallMillis,
    /// Records about keys made before this may be lost.
    #[serde(rename = "forgotten")]
    lost_before: WallMillis,
    #[serde(with = "pairs")]
    keys: BTreeMap<ClaimKey, Slot>,
    #[serde(with = "pairs")]
    expiry: BTreeMap<WallMillis, BTreeSet<ClaimKey>>,
}

impl Claims {
    /// No claim.
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

    /// The bounds.
    #[must_use]
    pub const fn options(&self) -> Options {
        self.options
    }

    /// Keys on record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// True when no key is on record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The log's latest time.
    #[must_use]
    pub const fn time(&self) -> WallMillis {
        self.time
    }

    /// All that is known of `key`.
    #[must_use]
    pub fn slot(&self, key: &ClaimKey) -> Option<&Slot> {
        self.keys.get(key)
    }

    /// Every key on record, to carry it to another log.
    pub fn export(&self) -> impl Iterator<Item = ExportedKey> + '_ {
        self.keys.iter().map(|(key, slot)| ExportedKey {
            key: key.clone(),
            slot: slot.clone(),
        })
    }

    /// Says whether `key` may be claimed by its age alone, at `wall`.
    ///
    /// # Errors
    /// Why it may not.
    pub fn check_age(&self, key: &ClaimKey, wall: WallMillis) -> Result<(), Refusal> {
        let made = key_time(&key.key).ok_or(Refusal::Untimed)?;
        if made < self.floor || made.plus(self.options.window_ms) <= wall {
            return Err(Refusal::Expired);
        }
        if made > wall.plus(self.options.ahead_ms) {
            return Err(Refusal::Future);
        }
        Ok(())
    }

    /// Says what `claim` finds at the fold's position.
    #[must_use]
    pub fn lookup(&self, claim: &Claim) -> Lookup {
        let Some(made) = key_time(&claim.key.key) else {
            return Lookup::Refused(Refusal::Untimed);
        };
        let slot = self.keys.get(&claim.key);
        if slot.is_some_and(|slot| slot.has_freed(claim.id, &claim.author)) {
            return Lookup::Refused(Refusal::Freed);
        }
        match slot.and_then(|slot| slot.held.as_ref()) {
            Some(held) if held.is_open(claim.id, &claim.author) => Lookup::Own,
            Some(held) => Lookup::Held(held.clone()),
            None if made < self.floor => Lookup::Refused(Refusal::Expired),
            None if made < self.lost_before => Lookup::Refused(Refusal::Forgotten),
            None if slot.is_some_and(|slot| slot.freed.len() >= MAX_FREED) => {
                Lookup::Refused(Refusal::Closed)
            }
            None => Lookup::Free,
        }
    }

    /// Says whether `settle` is on record.
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

    fn slot_mut(&mut self, key: &ClaimKey, made: WallMillis) -> &mut Slot {
        self.expiry.entry(made).or_default().insert(key.clone());
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
                let Some(made) = key_time(&claim.key.key) else {
                    return Event::Refused(Refusal::Untimed);
                };
                self.slot_mut(&claim.key, made).held = Some(HeldClaim {
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
        let bound = self.options.answer_bytes;
        let Some(made) = key_time(&settle.key.key) else {
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
            // The claim has not landed, or was freed before: a later copy has no effect.
            (Ending::NotRun, None) => self.free(&settle.key, made, (settle.claim, settle.author)),
            (Ending::NotRun, Some((Stage::InFlight, true))) => {
                self.slot_mut(&settle.key, made).held = None;
                self.free(&settle.key, made, (settle.claim, settle.author))
            }
            (Ending::Unknown, Some((Stage::InFlight, true))) => {
                self.set_stage(&settle.key, Stage::Unknown)
            }
            // Whoever has the endpoint's answer may record it: it settles the question.
            (Ending::Done { mut answer }, Some((Stage::InFlight | Stage::Unknown, _))) => {
                if let RecordedBody::Whole(body) = &answer.body
                    && body.len() > bound
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

    /// Beyond the bound the key itself is closed, which no claim can pass.
    fn free(&mut self, key: &ClaimKey, made: WallMillis, freed: (RecordId, Author)) -> Event {
        let slot = self.slot_mut(key, made);
        if slot.freed.len() < MAX_FREED {
            slot.freed.insert(freed);
        }
        Event::Settled
    }

    fn import(&mut self, at: LogPosition, keys: Vec<ExportedKey>) -> Event {
        let mut count = 0;
        for ExportedKey { key, slot } in keys {
            let Some(made) = key_time(&key.key).filter(|made| *made >= self.floor) else {
                continue;
            };
            let here = self.slot_mut(&key, made);
            here.freed.extend(slot.freed);
            let open = |held: &HeldClaim| held.stage != Stage::Unknown;
            match (&mut here.held, slot.held) {
                (here, Some(mut held)) if here.is_none() => {
                    held.offset = at.offset;
                    *here = Some(held);
                }
                (Some(here), Some(held))
                    if here.claim == held.claim
                        && open(&held)
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
