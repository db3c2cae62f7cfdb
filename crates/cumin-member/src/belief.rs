//! The rules by which beliefs change.

use cumin_types::{Incarnation, Millis, NodeName};

use crate::items::Held;
use crate::membership::Membership;
use crate::news::{self, Subject};
use crate::table::{Entry, item_key, low};
use crate::{Event, Message, Reason, Record, Status};

/// Highest incarnation taken from a message. Wall-clock milliseconds stay below it for 285,000
/// years; a higher one could not be refuted.
const LAST_INCARNATION: Incarnation = Incarnation(1 << 53);

impl Membership {
    /// Takes what a message states. Returns the names of members of which the sender's statement
    /// is older than this node's.
    pub(crate) fn take(&mut self, from: &Record, message: &Message, now: Millis) -> Vec<NodeName> {
        let by = from.member.name.clone();
        let mut stale = Vec::new();
        self.merge(from, &Reason::Contact, now);
        for record in &message.records {
            if self.merge(record, &Reason::Told { by: by.clone() }, now) {
                stale.push(record.member.name.clone());
            }
        }
        for item in &message.items {
            let new = Held::new(item.clone(), now);
            let fits = new.bytes <= self.item_limit() + 32;
            let full = self.items.full(&new.item.key, self.options.items);
            if item.ttl > 0 && fits && !full && self.items.newer(&new) {
                let (key, version) = (item.key.clone(), item.version);
                self.events.push(Event::Item { key, version });
                self.set_item(new);
            }
        }
        if message.digest == self.table.digest() {
            self.news.known(self.sends());
        }
        stale
    }

    /// Takes one statement. Returns whether this node knows better.
    fn merge(&mut self, new: &Record, reason: &Reason, now: Millis) -> bool {
        let name = &new.member.name;
        if new.member.incarnation > LAST_INCARNATION {
            return false;
        }
        if *name == self.me.member.name {
            self.accused(new, reason);
            return false;
        }
        let Some(old) = self.table.get(name).map(|entry| entry.record.clone()) else {
            self.believe(new.clone(), None, reason, now);
            return false;
        };
        let (older, newer) = (old.order(), new.order());
        if newer == older {
            return false;
        }
        let same = newer.0 == older.0;
        if newer.0 < older.0 {
            return true;
        }
        match (old.status, new.status) {
            // One side holds it for dead, the other for alive: the member itself is asked.
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
            // The own suspicion time runs, in which a refutation may arrive.
            (Status::Suspect, Status::Dead) if same => false,
            _ if same && new.status < old.status => true,
            (Status::Alive | Status::Suspect, Status::Dead) => {
                let suspect = Record {
                    status: Status::Suspect,
                    ..new.clone()
                };
                self.contested.insert(name.clone(), new.clone());
                self.believe(suspect, Some(&old), reason, now);
                false
            }
            _ => {
                self.believe(new.clone(), Some(&old), reason, now);
                false
            }
        }
    }

    /// Takes a statement about this node.
    fn accused(&mut self, new: &Record, reason: &Reason) {
        let (mine, theirs) = (self.me.member.incarnation, new.member.incarnation);
        let leaving = self.me.status == Status::Leaving;
        let denied = match new.status {
            Status::Alive => *new != self.me && !leaving,
            Status::Suspect | Status::Dead | Status::Leaving | Status::Left => !leaving,
        };
        if theirs > mine || (theirs == mine && denied) {
            let mut me = self.me.clone();
            me.member.incarnation = theirs.plus(1);
            self.set_me(me);
            let (member, accused) = (self.me.member.clone(), new.status);
            self.events.push(Event::Refuted {
                member,
                accused,
                reason: reason.clone(),
            });
        }
    }

    /// Replaces what is believed of a member, reports it and has it told on.
    pub(crate) fn believe(
        &mut self,
        new: Record,
        old: Option<&Record>,
        reason: &Reason,
        now: Millis,
    ) {
        let (member, reason) = (new.member.clone(), reason.clone());
        let known = old.filter(|old| old.started == new.started && !old.status.gone());
        let (event, lead) = match new.status {
            Status::Alive => match known.map(|old| old.status) {
                None => (Some(Event::Joined { member, reason }), news::JOINED),
                Some(Status::Alive) => (None, news::JOINED),
                Some(accused) => (
                    Some(Event::Refuted {
                        member,
                        accused,
                        reason,
                    }),
                    news::REFUTED,
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
                (Some(Event::Suspected { member, reason }), news::SUSPECT)
            }
            Status::Dead => (old.map(|_| Event::Dead { member, reason }), news::DEAD),
            Status::Leaving => (Some(Event::Leaving { member, reason }), news::LEAVING),
            Status::Left => (old.map(|_| Event::Left { member, reason }), news::DEAD),
        };
        self.events.extend(event);
        let name = new.member.name.clone();
        // A member that was never known here and is gone is remembered, and is no news.
        // A death is told by those whose probes found it; the others' own suspicion times end too.
        let told =
            new.status != Status::Dead || self.table.get(&name).is_some_and(|entry| entry.own);
        if told && (old.is_some() || !new.status.gone()) {
            self.news.add(Subject::Member(name.clone()), lead);
        } else {
            self.news.remove(&Subject::Member(name.clone()));
        }
        self.eager |= new.status == Status::Leaving;
        if new.status != Status::Suspect {
            self.checks.remove(&name);
        }
        let deadline = (new.status == Status::Suspect).then(|| now.plus(self.suspicion()));
        self.table.set(new, now, deadline);
    }

    /// Ends suspicions, items and memories whose time is over.
    pub(crate) fn expire(&mut self, now: Millis) {
        let after = self.suspicion();
        let due = |entry: &&Entry| entry.deadline.is_some_and(|deadline| deadline <= now);
        let over: Vec<Record> = self
            .table
            .iter()
            .filter(due)
            .map(|entry| entry.record.clone())
            .collect();
        for old in over {
            let status = if old.status == Status::Leaving {
                Status::Left
            } else {
                Status::Dead
            };
            let new = Record {
                status,
                ..old.clone()
            };
            self.believe(new, Some(&old), &Reason::Expired { after }, now);
        }
        let (dead, left) = (self.options.dead, self.options.left);
        let forgotten: Vec<NodeName> = (self.table.iter())
            .filter(|entry| match entry.record.status {
                Status::Dead => now.since(entry.since) > dead,
                Status::Left => now.since(entry.since) > left,
                Status::Alive | Status::Suspect | Status::Leaving => false,
            })
            .map(|entry| entry.record.member.name.clone())
            .collect();
        for name in forgotten {
            self.table.forget(&name);
            self.contested.remove(&name);
            self.news.remove(&Subject::Member(name));
        }
        for held in self.items.expire(now, now.plus(left)) {
            self.table.toggle(item_key(&held.item.key), low(held.hash));
            self.news.remove(&Subject::Item(held.item.key));
        }
    }
}
