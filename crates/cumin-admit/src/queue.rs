//! The queue of one service: strict priorities with a starvation guard, and start-time fair
//! queueing between organisations inside a priority.

use std::collections::{BTreeMap, HashMap};

use cumin_types::{Millis, Organisation, Priority, Service};

use crate::{Ask, Capacity};

/// Virtual time in tokens, scaled so that division by a weight keeps its precision.
type Tag = u128;

const SCALE: Tag = 1 << 20;

/// The first place in the order of all requests.
pub(crate) const FIRST: (Priority, Key) = (Priority::Live, (0, 0));

/// Place in the order of one priority: start tag, then arrival.
pub(crate) type Key = (Tag, u64);

/// Priorities in the order they are served.
pub(crate) const ORDER: [Priority; 3] = [Priority::Live, Priority::Normal, Priority::Batch];

#[derive(Debug)]
pub(crate) struct Entry {
    pub ask: Ask,
    pub since: Millis,
}

#[derive(Debug, Default)]
struct Class {
    order: BTreeMap<Key, Entry>,
    /// Highest start tag of the requests served.
    virt: Tag,
    /// Finish tag of the last queued request of each organisation.
    finish: HashMap<Organisation, Tag>,
    tokens: u64,
}

impl Class {
    /// Returns the start tag of a new request. An organisation that used less than its part
    /// goes ahead of the others by up to `credit`.
    fn start(&self, org: &Organisation, credit: Tag) -> Tag {
        let earliest = self.virt.saturating_sub(credit);
        self.finish.get(org).copied().unwrap_or(0).max(earliest)
    }

    fn remove(&mut self, key: Key) -> Option<Entry> {
        let entry = self.order.remove(&key)?;
        self.tokens -= entry.ask.tokens.0;
        Some(entry)
    }
}

/// When a lower priority is served before a higher one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guard {
    /// A request that waits longer is starved.
    pub patience: Millis,
    /// One starved request is served for this many others.
    pub every: u32,
}

/// Work that is served before a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ahead {
    pub key: Key,
    pub entries: usize,
    pub tokens: u64,
}

#[derive(Debug)]
pub(crate) struct Lane {
    pub service: Service,
    pub capacity: Capacity,
    /// How far an organisation may go ahead, as time at the service's rate.
    pub credit: Millis,
    pub running: usize,
    classes: [Class; 3],
    arrivals: u64,
    /// Requests served since a starved one was.
    passed: u32,
}

impl Lane {
    pub fn new(service: Service, credit: Millis) -> Self {
        Self {
            service,
            capacity: Capacity::default(),
            credit,
            running: 0,
            classes: Default::default(),
            arrivals: 0,
            passed: 0,
        }
    }

    pub fn free(&self) -> bool {
        self.running < self.capacity.slots
    }

    pub fn queued(&self) -> usize {
        self.classes.iter().map(|class| class.order.len()).sum()
    }

    /// Forgets the past use of all organisations: nobody waits and a slot is free.
    pub fn idle(&mut self) {
        for class in &mut self.classes {
            class.finish.clear();
            class.virt = 0;
        }
    }

    fn credit(&self) -> Tag {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a cast from float saturates, and the value is not negative"
        )]
        let tokens = (self.capacity.rate * self.credit.0 as f64 / 1000.0) as u64;
        Tag::from(tokens) * SCALE
    }

    /// Returns what would be served before a new request of `org`.
    pub fn ahead(&self, org: &Organisation, priority: Priority) -> Ahead {
        let class = &self.classes[priority as usize];
        let key = (class.start(org, self.credit()), self.arrivals);
        let higher = &self.classes[..priority as usize];
        let mut ahead = Ahead {
            key,
            entries: higher.iter().map(|class| class.order.len()).sum(),
            tokens: higher.iter().map(|class| class.tokens).sum(),
        };
        for (_, entry) in class.order.range(..key) {
            ahead.entries += 1;
            ahead.tokens += entry.ask.tokens.0;
        }
        ahead
    }

    /// Returns the time that `tokens` need at the service's rate; zero when it is unknown.
    pub fn time(&self, tokens: u64) -> Millis {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let seconds = tokens as f64 / self.capacity.rate;
        if self.capacity.rate > 0.0 {
            Millis(crate::quota::to_millis(seconds * 1000.0))
        } else {
            Millis(0)
        }
    }

    /// Queues a request under the key that `ahead` returned for it.
    pub fn push(&mut self, ask: Ask, weight: u32, now: Millis) -> Key {
        let credit = self.credit();
        let class = &mut self.classes[ask.priority as usize];
        let key = (class.start(&ask.org, credit), self.arrivals);
        self.arrivals += 1;
        let cost = Tag::from(ask.tokens.0) * SCALE / Tag::from(weight.max(1));
        class.finish.insert(ask.org.clone(), key.0 + cost);
        class.tokens += ask.tokens.0;
        class.order.insert(key, Entry { ask, since: now });
        key
    }

    /// Takes a request out of the queue without serving it.
    pub fn remove(&mut self, priority: Priority, key: Key) -> Option<Entry> {
        let class = &mut self.classes[priority as usize];
        let entry = class.remove(key)?;
        // The last queued request of an organisation gives its virtual time back, so a
        // cancelled or dropped request does not delay the ones that follow.
        let last = class
            .order
            .range(key..)
            .all(|(_, later)| later.ask.org != entry.ask.org);
        if last {
            class.finish.insert(entry.ask.org.clone(), key.0);
        }
        Some(entry)
    }

    /// Takes the next request to serve.
    pub fn pop(&mut self, guard: Guard, now: Millis) -> Option<Entry> {
        let first = self
            .classes
            .iter()
            .position(|class| !class.order.is_empty())?;
        let starved = (first + 1..self.classes.len())
            .filter_map(|index| {
                let (_, head) = self.classes[index].order.first_key_value()?;
                let waited = now.since(head.since);
                (waited >= guard.patience.0).then_some((waited, index))
            })
            .max_by_key(|(waited, index)| (*waited, usize::MAX - index));
        let index = match starved {
            Some((_, index)) if self.passed >= guard.every => {
                self.passed = 0;
                index
            }
            Some(_) => {
                self.passed += 1;
                first
            }
            None => first,
        };
        let credit = self.credit();
        let class = &mut self.classes[index];
        let key = *class.order.first_key_value()?.0;
        class.virt = class.virt.max(key.0);
        let earliest = class.virt.saturating_sub(credit);
        class.finish.retain(|_, finish| *finish > earliest);
        class.remove(key)
    }

    /// Returns the last request in the order that is served after one of `priority` with
    /// `key`.
    pub fn last_after(&self, priority: Priority, key: Key) -> Option<(Priority, Key)> {
        ORDER.into_iter().rev().find_map(|other| {
            let (last, _) = self.classes[other as usize].order.last_key_value()?;
            (other > priority || (other == priority && *last > key)).then_some((other, *last))
        })
    }

    /// Returns the requests from `from` on that can not be completed before their deadline at
    /// the service's rate, when `tokens` are ahead of them. The work of those returned is not
    /// counted, so nothing is returned because of work that is itself shed.
    pub fn late(
        &self,
        from: (Priority, Key),
        mut tokens: u64,
        now: Millis,
    ) -> Vec<(Priority, Key)> {
        let mut late = Vec::new();
        if self.capacity.rate <= 0.0 {
            return late;
        }
        for priority in ORDER.into_iter().skip(from.0 as usize) {
            let first = if priority == from.0 { from.1 } else { (0, 0) };
            for (key, Entry { ask, .. }) in self.classes[priority as usize].order.range(first..) {
                let end = now.plus(self.time(tokens).0).plus(ask.estimate.0);
                if end > ask.deadline {
                    late.push((priority, *key));
                } else {
                    tokens += ask.tokens.0;
                }
            }
        }
        late
    }
}
