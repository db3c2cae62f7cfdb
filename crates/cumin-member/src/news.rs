//! What is still to be told, how often it was told, and in which order it is told.

use std::collections::BTreeMap;

/// Subject of a piece of news.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Member(cumin_types::NodeName),
    Item(String),
}

/// How many sends ahead of the least important class a class is. A strict order would let the
/// deaths of a whole place hold back refutations for longer than the suspicion time.
pub(crate) const LEAVING: u32 = 8;
pub(crate) const REFUTED: u32 = 5;
pub(crate) const DEAD: u32 = 4;
pub(crate) const SUSPECT: u32 = 2;
pub(crate) const JOINED: u32 = 0;

#[derive(Clone, Copy, Debug)]
struct Piece {
    lead: u32,
    sends: u32,
    /// Order of arrival, newer is higher.
    serial: u64,
}

/// News by subject.
#[derive(Debug, Default)]
pub(crate) struct News {
    pieces: BTreeMap<Subject, Piece>,
    serial: u64,
}

impl News {
    pub(crate) fn add(&mut self, subject: Subject, lead: u32) {
        self.serial += 1;
        self.pieces.insert(
            subject,
            Piece {
                lead,
                sends: 0,
                serial: self.serial,
            },
        );
    }

    pub(crate) fn remove(&mut self, subject: &Subject) {
        self.pieces.remove(subject);
    }

    /// Returns the subjects, next to be told first.
    pub(crate) fn order(&self) -> Vec<Subject> {
        let mut order: Vec<_> = self.pieces.iter().collect();
        order.sort_unstable_by_key(|(_, piece)| {
            (
                i64::from(piece.sends) - i64::from(piece.lead),
                u64::MAX - piece.serial,
            )
        });
        order
            .into_iter()
            .map(|(subject, _)| subject.clone())
            .collect()
    }

    /// Counts one send, and drops the piece after `limit` of them.
    pub(crate) fn sent(&mut self, subject: &Subject, limit: u32) {
        if let Some(piece) = self.pieces.get_mut(subject) {
            piece.sends += 1;
            if piece.sends >= limit {
                self.pieces.remove(subject);
            }
        }
    }

    /// Counts a quarter of the sends of joins, because a peer's equal digest shows that they have
    /// come that far. Urgent news is not cut short: items were late by seconds when it was.
    pub(crate) fn known(&mut self, limit: u32) {
        self.pieces.retain(|_, piece| {
            if piece.lead == JOINED {
                piece.sends += limit.div_ceil(4);
            }
            piece.sends < limit
        });
    }
}
