//! A stream's state, appended again as records so that retention loses nothing.
//!
//! The state is written as JSON text and cut into parts, because a large state does not fit
//! in one append. A reader uses a snapshot only when it has every part and the digest matches.

use cumin_types::{Digest, LogOffset, RecordId};
use serde::{Deserialize, Serialize};

/// Bytes of text in one part.
pub const PART_BYTES: usize = 128 * 1024;

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename = "snapshot")]
pub struct Part {
    /// The snapshot.
    pub id: RecordId,
    /// The state holds every record below this offset.
    pub covers: LogOffset,
    /// Number of this part, from zero.
    #[serde(rename = "part")]
    pub index: u32,
    /// Number of parts.
    pub parts: u32,
    /// Digest of the whole text.
    pub digest: Digest,
    /// This part of the text.
    pub text: String,
}

/// Cuts `text` into parts.
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

/// Snapshots that a reader collects at once; the oldest is dropped beyond it.
const MAX_OPEN: usize = 4;
/// Parts that a snapshot may have.
const MAX_PARTS: u32 = 65_536;

/// A snapshot with every part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The state holds every record below this offset.
    pub covers: LogOffset,
    /// The state as JSON text.
    pub text: String,
}

/// Collects parts that may arrive interleaved or twice.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    open: Vec<(RecordId, Vec<Option<Part>>)>,
}

impl Collector {
    /// Takes a part; returns the snapshot that it completes.
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
