//! Rules by which received records and expired deadlines change the table.

use cumin_types::{Incarnation, Millis, NodeName};

use crate::gossip::{self, Subject};
use crate::items::HeldItem;
use crate::membership::Membership;
use crate::table::{Entry, item_key, low_bits};
use crate::{Event, Message, Reason, Record, Status};

/// Highest incarnation accepted from a message. Wall-clock milliseconds stay below it for 285,000
/// years; a higher one could not be refuted.
const MAX_INCARNATION: Incarnation = Incarnation(1 << 53);

impl Membership {
    /// Merges the records and items of a message. Returns the names of members of which the sender
    /// has an older record than this node.
    pub(crate) fn apply_message(
        &mut self,
        from: &Record,
        message: &Message,
        now: Millis,
    ) -> Vec<NodeName> {
        let by = from.member.name.clone();
        let mut stale = Vec::new();
        self.merge_record(from, &Reason::Contact, now);
        for record in &message.records {
            if self.merge_record(record, &Reason::Told { by: by.clone() }, now) {
                stale.push(record.member.name.clone());
            }
        }
        for item in &message.items {
            let new = HeldItem::new(item.clone(), now);
            let fits = new.bytes <= self.max_item_bytes() + 32;
            let full = self.items.is_full(&new.item.key, self.options.max_items);
            if item.ttl > 0 && fits && !full && self.items.is_newer(&new) {
                let (key, version) = (item.key.clone(), item.version);
                self.events.push(Event::Item { key, version });
                self.set_item(new);
            }
        }
        if message.digest == self.table.digest() {
            self.gossip.advance_joins(self.max_sends());
        }
        stale
    }

    /// Merges one record. Returns whether it is older than this node's.
    fn merge_record(&mut self, new: &Record, reason: &Reason, now: Millis) -> bool {
        let name = &new.member.name;
        if new.member.incarnation > MAX_INCARNATION {
            return false;
        }
        if *name == self.local.member.name {
            self.refute(new, reason);
            return false;
        }
        let Some(old) = self.table.get(name).map(|entry| entry.record.clone()) else {
            self.set_record(new.clone(), None, reason, now);
            return false;
        };
        let (older, newer) = (old.precedence(), new.precedence());
        if newer == older {
            return false;
        }
        let same = newer.0 == older.0;
        if newer.0 < older.0 {
            return true;
        }
        match (old.status, new.status) {
            // One node has the member as dead, the other as alive: probe the member, which refutes.
            (Status::Alive, Status::Dead) | (Status::Dead, Status::Alive | Status::Suspect)
                if same =>
            {
                let dead = if old.status == Status::Dead {
                    old
                } else {
                    new.clone()
                };
                self.contested.insert(name.clone(), dead);
                false
            }
            // A refutation may still arrive before this node's own suspicion time ends.
            (Status::Suspect, Status::Dead) if same => false,
            _ if same && new.status < old.status => true,
            (Status::Alive | Status::Suspect, Status::Dead) => {
                let suspect = Record {
                    status: Status::Suspect,
                    ..new.clone()
                };
                self.contested.insert(name.clone(), new.clone());
                self.set_record(suspect, Some(&old), reason, now);
                false
            }
            _ => {
                self.set_record(new.clone(), Some(&old), reason, now);
                false
            }
        }
    }

    /// Refutes a false record of this node by raising its incarnation.
    fn refute(&mut self, new: &Record, reason: &Reason) {
        let (ours, theirs) = (self.local.member.incarnation, new.member.incarnation);
        let leaving = self.local.status == Status::Leaving;
        let denied = match new.status {
            Status::Alive => *new != self.local && !leaving,
            Status::Suspect | Status::Dead | Status::Leaving | Status::Left => !leaving,
        };
        if theirs > ours || (theirs == ours && denied) {
            let mut local = self.local.clone();
            local.member.incarnation = theirs.plus(1);
            self.set_local(local);
            let (member, accused) = (self.local.member.clone(), new.status);
            self.events.push(Event::Refuted {
                member,
                accused,
                reason: reason.clone(),
            });
        }
    }

    /// Replaces the record of a member, reports the change and queues it for gossip.
    pub(crate) fn set_record(
        &mut self,
        new: Record,
        old: Option<&Record>,
        reason: &Reason,
        now: Millis,
    ) {
        let (member, reason) = (new.member.clone(), reason.clone());
        let known = old.filter(|old| old.started == new.started && !old.status.is_gone());
        let (event, head_start) = match new.status {
            Status::Alive => match known.map(|old| old.status) {
                None => (
                    Some(Event::Joined { member, reason }),
                    gossip::JOINED_HEAD_START,
                ),
                Some(Status::Alive) => (None, gossip::JOINED_HEAD_START),
                Some(accused) => (
                    Some(Event::Refuted {
                        member,
                        accused,
                        reason,
                    }),
                    gossip::REFUTED_HEAD_START,
                ),
            },
            Status::Suspect => {
                if known.is_none() {
                    let joined = Event::Joined {
                        member: member.clone(),
                        reason: reason.clone(),
                    };
                    self.events.push(joined);
                }
                (
                    Some(Event::Suspected { member, reason }),
                    gossip::SUSPECT_HEAD_START,
                )
            }
            Status::Dead => (
                old.map(|_| Event::Dead { member, reason }),
                gossip::DEAD_HEAD_START,
            ),
            Status::Leaving => (
                Some(Event::Leaving { member, reason }),
                gossip::LEAVING_HEAD_START,
            ),
            Status::Left => (
                old.map(|_| Event::Left { member, reason }),
                gossip::DEAD_HEAD_START,
            ),
        };
        self.events.extend(event);
        let name = new.member.name.clone();
        // A member that is first heard of when it is already gone is stored but not gossiped.
        // A death is gossiped only by nodes whose own probes failed: the suspicion times of the
        // other nodes end as well.
        let spread = new.status != Status::Dead
            || self
                .table
                .get(&name)
                .is_some_and(|entry| entry.own_suspicion);
        if spread && (old.is_some() || !new.status.is_gone()) {
            self.gossip.add(Subject::Member(name.clone()), head_start);
        } else {
            self.gossip.remove(&Subject::Member(name.clone()));
        }
        self.push_now |= new.status == Status::Leaving;
        if new.status != Status::Suspect {
            self.active_probes.remove(&name);
        }
        let deadline = (new.status == Status::Suspect).then(|| now.plus(self.suspicion_ms()));
        self.table.set(new, now, deadline);
    }

    /// Applies expired deadlines: suspects are dead and silent leaving members are left, and items
    /// and members past their retention are removed.
    pub(crate) fn expire(&mut self, now: Millis) {
        let after = self.suspicion_ms();
        let due = |entry: &&Entry| entry.deadline.is_some_and(|deadline| deadline <= now);
        let expired: Vec<Record> = self
            .table
            .iter()
            .filter(due)
            .map(|entry| entry.record.clone())
            .collect();
        for old in expired {
            let status = if old.status == Status::Leaving {
                Status::Left
            } else {
                Status::Dead
            };
            let new = Record {
                status,
                ..old.clone()
            };
            self.set_record(new, Some(&old), &Reason::Expired { after }, now);
        }
        let (dead, left) = (self.options.dead_retention, self.options.left_retention);
        let forgotten: Vec<NodeName> = (self.table.iter())
            .filter(|entry| match entry.record.status {
                Status::Dead => now.since(entry.changed_at) > dead,
                Status::Left => now.since(entry.changed_at) > left,
                Status::Alive | Status::Suspect | Status::Leaving => false,
            })
            .map(|entry| entry.record.member.name.clone())
            .collect();
        for name in forgotten {
            self.table.forget(&name);
            self.contested.remove(&name);
            self.gossip.remove(&Subject::Member(name));
        }
        for held in self.items.expire(now, now.plus(left)) {
            self.table
                .toggle(item_key(&held.item.key), low_bits(held.hash));
            self.gossip.remove(&Subject::Item(held.item.key));
        }
    }
}
