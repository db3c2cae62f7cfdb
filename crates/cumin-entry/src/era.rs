//! Eras of the store: the times between which it was restored from an older copy.
//!
//! A restored store has lost acknowledged records, and uses their offsets again. An offset is
//! therefore only valid within its era, and a number that must never decrease, such as a fencing
//! token, is ordered by its era first. A store that states no era is in era zero for ever.

use cumin_types::{FencingToken, LogOffset, Millis, Revision};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of an era; zero as long as the store has stated none.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Number of bits of a fencing token that hold the offset.
const OFFSET_BITS: u32 = 32;

impl Era {
    /// Largest era. Fencing tokens remain below 2^53, up to which readers of JSON that use floating
    /// point numbers are exact.
    pub const MAX: Self = Self((1 << 20) - 1);

    /// Returns whether the store has not stated an era.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        self.0 == 0
    }

    /// Returns the fencing token of a claim at `offset`, whose order is that of era and offset.
    /// Tokens start at 1.
    #[must_use]
    pub const fn token(self, offset: LogOffset) -> FencingToken {
        FencingToken((self.0 << OFFSET_BITS) + offset.0 + 1)
    }

    /// Returns the position of a record among the records of all eras.
    #[must_use]
    pub const fn position(self, offset: LogOffset) -> LogOffset {
        LogOffset((self.0 << OFFSET_BITS) + offset.0)
    }

    /// Returns the era of a position.
    #[must_use]
    pub const fn of_position(position: LogOffset) -> Self {
        Self(position.0 >> OFFSET_BITS)
    }

    /// Returns the era of a fencing token.
    #[must_use]
    pub const fn of_token(token: FencingToken) -> Self {
        Self(token.0 >> OFFSET_BITS)
    }
}

/// How the era of an answer relates to the newest one known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraOrder {
    /// The answer belongs to the newest era.
    Same,
    /// The store was restored: what was read before belongs to an older era.
    New,
    /// The answer belongs to an older era and counts as lost.
    Old,
}

/// The newest era that a node has seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Eras {
    newest: Option<Era>,
    noticed: Millis,
}

impl Eras {
    /// Records the era of an answer. The first one that a node sees is not a new era.
    pub fn observe(&mut self, era: Era, now: Millis) -> EraOrder {
        let order = match self.newest {
            Some(newest) if era < newest => return EraOrder::Old,
            Some(newest) if era == newest => return EraOrder::Same,
            Some(_) => EraOrder::New,
            None => EraOrder::Same,
        };
        self.newest = Some(era);
        self.noticed = now;
        order
    }

    /// Returns the newest era.
    #[must_use]
    pub fn newest(&self) -> Era {
        self.newest.unwrap_or_default()
    }

    /// Returns the time at which the newest era was noticed.
    #[must_use]
    pub const fn noticed(&self) -> Millis {
        self.noticed
    }
}

/// Numbers that must not be used again after the store has lost their records. Nodes state them to
/// each other, so that they outlive the node that used them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Marks {
    /// Highest fencing token seen.
    pub token: FencingToken,
    /// Highest usage window of which a report may have been sent.
    pub window: Option<u64>,
}

impl Marks {
    /// Takes over the higher numbers of `other`.
    pub fn merge(&mut self, other: Self) {
        self.token = self.token.max(other.token);
        self.window = self.window.max(other.window);
    }
}

/// What a digest states of the store's era; absent in era zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedEra {
    /// Newest era that the sender has seen.
    pub era: Era,
    /// Numbers that are in use.
    pub marks: Marks,
}

/// What is known of the revision of the document that the store holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyRevision {
    /// Revision that the store has shown in this era.
    pub stored: Revision,
    /// Highest revision in force at this node or at a live peer.
    pub highest: Revision,
    /// Whether peers have been heard, or would have been if there were any.
    pub heard: bool,
}

impl CopyRevision {
    /// Returns whether a read of the store proves that the copy of the document is up to date.
    ///
    /// A restored store may hold an older document than the newest one, whose removed keys must
    /// not become valid again. In era zero every read is a proof.
    #[must_use]
    pub fn proves(self, era: Era) -> bool {
        era.is_unknown() || (self.heard && self.stored >= self.highest)
    }
}
