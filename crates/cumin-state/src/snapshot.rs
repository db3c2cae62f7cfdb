//! Snapshots of a stream's state, appended to the stream itself so that retention loses nothing.
//!
//! The state is serialised to JSON text and split into parts, because a large state does not fit
//! into one append. A reader uses a snapshot only when it has every part and the digest matches.

use cumin_types::{Digest, LogOffset, RecordId};
use serde::{Deserialize, Serialize};

/// Longest text of one part.
pub const PART_BYTES: usize = 128 * 1024;

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename = "snapshot")]
pub struct Part {
    /// Id of the snapshot.
    pub id: RecordId,
    /// The snapshot includes every record below this offset.
    pub covers: LogOffset,
    /// Index of this part, starting at zero.
    #[serde(rename = "part")]
    pub index: u32,
    /// Number of parts.
    pub parts: u32,
    /// Digest of the text of all parts.
    pub digest: Digest,
    /// Text of this part.
    pub text: String,
}

/// Splits `text` into parts.
#[must_use]
pub fn split(id: RecordId, covers: LogOffset, text: &str) -> Vec<Part> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > PART_BYTES {
        let (head, tail) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
        pieces.push(head);
        rest = tail;
    }
    pieces.push(rest);
    let digest = Digest::of(text.as_bytes());
    let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    (0..parts)
        .zip(pieces)
        .map(|(index, piece)| Part {
            id,
            covers,
            index,
            parts,
            digest,
            text: piece.into(),
        })
        .collect()
}

/// Most snapshots that are collected at the same time; beyond it the oldest is dropped.
const MAX_OPEN: usize = 4;
/// Most parts of a snapshot.
const MAX_PARTS: u32 = 65_536;

/// Complete snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The snapshot includes every record below this offset.
    pub covers: LogOffset,
    /// The state as JSON text.
    pub text: String,
}

/// Assembles snapshots from parts, which may arrive interleaved or repeatedly.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    open: Vec<(RecordId, Vec<Option<Part>>)>,
}

impl Collector {
    /// Adds a part; returns the snapshot if the part completes it.
    pub fn add(&mut self, part: Part) -> Option<Snapshot> {
        if part.index >= part.parts || part.parts > MAX_PARTS {
            return None;
        }
        let id = part.id;
        if !self.open.iter().any(|(open, _)| *open == id) {
            if self.open.len() == MAX_OPEN {
                self.open.remove(0);
            }
            self.open.push((id, vec![None; part.parts as usize]));
        }
        let index = self.open.iter().position(|(open, _)| *open == id)?;
        let slot = self.open[index].1.get_mut(part.index as usize)?;
        *slot = Some(part);
        if self.open[index].1.iter().any(Option::is_none) {
            return None;
        }
        let parts: Vec<Part> = self.open.remove(index).1.into_iter().flatten().collect();
        let text: String = parts.iter().map(|part| part.text.as_str()).collect();
        let first = parts.first()?;
        (Digest::of(text.as_bytes()) == first.digest).then_some(Snapshot {
            covers: first.covers,
            text,
        })
    }
}
