//! Queue of changes to gossip, ordered by number of sends and urgency.

use std::collections::BTreeMap;

/// Subject of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    Member(cumin_types::NodeName),
    Item(String),
}

/// Head start of each class of changes over joins, in sends. With strict priorities instead, the
/// deaths of a whole place would delay refutations for longer than the suspicion time.
pub(crate) const LEAVING_HEAD_START: u32 = 8;
pub(crate) const REFUTED_HEAD_START: u32 = 5;
pub(crate) const DEAD_HEAD_START: u32 = 4;
pub(crate) const SUSPECT_HEAD_START: u32 = 2;
pub(crate) const JOINED_HEAD_START: u32 = 0;

#[derive(Clone, Copy, Debug)]
struct QueuedChange {
    head_start: u32,
    sends: u32,
    /// Insertion number; newer changes have a higher one.
    serial: u64,
}

/// Changes that are still to be sent, by subject.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    changes: BTreeMap<Subject, QueuedChange>,
    serial: u64,
}

impl GossipQueue {
    pub(crate) fn add(&mut self, subject: Subject, head_start: u32) {
        self.serial += 1;
        self.changes.insert(
            subject,
            QueuedChange {
                head_start,
                sends: 0,
                serial: self.serial,
            },
        );
    }

    pub(crate) fn remove(&mut self, subject: &Subject) {
        self.changes.remove(subject);
    }

    /// Returns the subjects in the order in which they are to be sent.
    pub(crate) fn send_order(&self) -> Vec<Subject> {
        let mut order: Vec<_> = self.changes.iter().collect();
        order.sort_unstable_by_key(|(_, change)| {
            (
                i64::from(change.sends) - i64::from(change.head_start),
                u64::MAX - change.serial,
            )
        });
        order
            .into_iter()
            .map(|(subject, _)| subject.clone())
            .collect()
    }

    /// Counts one send of a change, and removes the change after `limit` sends.
    pub(crate) fn count_send(&mut self, subject: &Subject, limit: u32) {
        if let Some(change) = self.changes.get_mut(subject) {
            change.sends += 1;
            if change.sends >= limit {
                self.changes.remove(subject);
            }
        }
    }

    /// Adds a quarter of `limit` to the sends of joins, because a peer with an equal digest shows
    /// that they have spread. Other changes are not cut short: when they were, items arrived
    /// seconds late.
    pub(crate) fn advance_joins(&mut self, limit: u32) {
        self.changes.retain(|_, change| {
            if change.head_start == JOINED_HEAD_START {
                change.sends += limit.div_ceil(4);
            }
            change.sends < limit
        });
    }
}
