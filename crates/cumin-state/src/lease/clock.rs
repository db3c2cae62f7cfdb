//! The holder's and the observer's clocks.

use std::collections::{BTreeMap, VecDeque};

use cumin_types::{FencingToken, LogOffset, Millis, RecordId, WallMillis};
use derive_more::Display;
use rand::Rng;

use super::{Leases, Record};
use crate::batch::{Author, new_id};

/// Times of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Milliseconds that a grant or renewal lasts.
    pub ttl: u64,
    /// Milliseconds of the longest order.
    pub order: u64,
    /// Parts in a thousand by which two clocks may differ in rate.
    pub drift: u64,
    /// Milliseconds by which a timer may be late before the process counts as paused.
    pub late: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ttl: 15_000,
            order: 2_000,
            drift: 10,
            late: 2_000,
        }
    }
}

impl Options {
    /// Milliseconds by which the holder stops before the lease's end.
    #[must_use]
    pub const fn margin(&self) -> u64 {
        self.order + self.slack()
    }

    const fn slack(&self) -> u64 {
        (self.ttl * self.drift).div_ceil(1000) + 1
    }
}

/// An observer's clock for every lease.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    seen: BTreeMap<String, (LogOffset, Millis)>,
    fresh: Option<Millis>,
}

impl Observer {
    /// Notes what the fold holds after a page; `current` when it held everything.
    pub fn note(&mut self, now: Millis, leases: &Leases, current: bool) {
        self.seen.retain(|name, _| leases.table.contains_key(name));
        for (name, lease) in &leases.table {
            let seen = self.seen.entry(name.clone()).or_insert((lease.last, now));
            if seen.0 != lease.last {
                *seen = (lease.last, now);
            }
        }
        if current {
            self.fresh = Some(now);
        }
    }

    /// True when the lease has run out by this clock, or nobody ever held it.
    #[must_use]
    pub fn vacant(&self, now: Millis, name: &str, leases: &Leases, options: &Options) -> bool {
        let Some(lease) = leases.get(name) else {
            return self.fresh.is_some();
        };
        let Some((last, read)) = self.seen.get(name) else {
            return false;
        };
        let drift = (lease.ttl * options.drift).div_ceil(1000) + 1;
        lease.released || (*last == lease.last && now.since(*read) >= lease.ttl + drift)
    }
}

/// Why a holder must not act.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Stop {
    /// The lease is not held.
    #[display("the lease is not held")]
    NotHeld,
    /// Less than the margin is left.
    #[display("{left} ms of the lease are left, the margin is {margin} ms")]
    Margin {
        /// Milliseconds left.
        left: u64,
        /// The margin.
        margin: u64,
    },
    /// The process was paused.
    #[display("the process was paused for {late} ms")]
    Paused {
        /// Milliseconds beyond the expected time.
        late: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Held {
    token: FencingToken,
    /// End of the lease by the monotonic clock.
    end: Millis,
    /// End of the lease by the wall clock.
    wall: WallMillis,
    by: RecordId,
}

/// Proposals that a holder remembers.
const PROPOSALS: usize = 16;

/// One node's side of one lease.
#[derive(Clone, Debug)]
pub struct Holder {
    options: Options,
    name: String,
    me: Author,
    /// Proposed records with the times before they were sent.
    sent: VecDeque<(RecordId, Millis, WallMillis)>,
    held: Option<Held>,
    /// Monotonic and wall time of the last tick.
    tick: Option<(Millis, WallMillis)>,
    next: Millis,
}

impl Holder {
    /// Holds nothing.
    #[must_use]
    pub fn new(options: Options, name: &str, me: Author) -> Self {
        let sent = VecDeque::new();
        Self {
            options,
            name: name.into(),
            me,
            sent,
            held: None,
            tick: None,
            next: Millis(0),
        }
    }

    fn propose(&mut self, now: Millis, wall: WallMillis, id: RecordId) {
        if self.sent.len() == PROPOSALS {
            self.sent.pop_front();
        }
        self.sent.push_back((id, now, wall));
        self.next = now.plus(self.options.ttl / 3);
    }

    /// Returns the record to append next, if any: a grant when the lease is vacant, a renewal
    /// when a third of it has passed. The record is void for timing unless it is sent after
    /// this call.
    pub fn poll(
        &mut self,
        now: Millis,
        wall: WallMillis,
        leases: &Leases,
        observer: &Observer,
        rng: &mut impl Rng,
    ) -> Option<Record> {
        if now < self.next {
            return None;
        }
        let (lease, ttl) = (self.name.clone(), self.options.ttl);
        if let Some(held) = self.held.filter(|held| held.end > now) {
            let id = new_id(wall, rng);
            self.propose(now, wall, id);
            return Some(Record::Renew {
                id,
                lease,
                token: held.token,
                ttl,
            });
        }
        let known = leases.get(&self.name);
        let mine = known.is_some_and(|lease| lease.holder == self.me && !lease.released);
        if !mine && !observer.vacant(now, &self.name, leases, &self.options) {
            return None;
        }
        let id = new_id(wall, rng);
        self.propose(now, wall, id);
        let after = known.map(|lease| lease.last);
        let (holder, lost) = (self.me.clone(), known.is_none() && leases.forgot());
        Some(Record::Grant {
            id,
            lease,
            holder,
            after,
            lost,
            ttl,
        })
    }

    /// Notes what the fold holds after a page.
    pub fn folded(&mut self, leases: &Leases) {
        let mine = leases
            .get(&self.name)
            .filter(|lease| lease.holder == self.me && !lease.released);
        let Some(lease) = mine else {
            self.held = None;
            return;
        };
        if self.held.is_some_and(|held| held.by == lease.by) {
            return;
        }
        // A record of this holder that it does not remember sending gives it no time.
        let sent = self.sent.iter().find(|(id, ..)| *id == lease.by);
        self.held = sent.map(|(_, sent, wall)| Held {
            token: lease.token,
            end: sent.plus(lease.ttl),
            wall: wall.plus(lease.ttl),
            by: lease.by,
        });
    }

    /// Says whether an order may be sent at `now`, and with which token. To be called
    /// immediately before each order.
    ///
    /// # Errors
    /// Why not.
    pub fn may_act(&mut self, now: Millis, wall: WallMillis) -> Result<FencingToken, Stop> {
        self.tick(now, wall).map_err(|late| Stop::Paused { late })?;
        let held = self.held.ok_or(Stop::NotHeld)?;
        // A suspended machine's monotonic clock may stand still; its wall clock does not.
        let left = held.end.since(now).min(held.wall.since(wall));
        let margin = self.options.margin();
        if left <= margin {
            return Err(Stop::Margin { left, margin });
        }
        Ok(held.token)
    }

    /// Compares the two clocks; a wall clock that ran ahead shows a pause that the monotonic
    /// clock did not count. A paused holder holds nothing until it has a new record.
    ///
    /// # Errors
    /// Milliseconds of the pause.
    pub fn tick(&mut self, now: Millis, wall: WallMillis) -> Result<(), u64> {
        let Some((last, last_wall)) = self.tick.replace((now, wall)) else {
            return Ok(());
        };
        let late = wall.since(last_wall).saturating_sub(now.since(last));
        if late <= self.options.late {
            return Ok(());
        }
        self.drop_held();
        Err(late)
    }

    /// Forgets the lease and every proposal, so that only a record sent from now on counts.
    pub fn drop_held(&mut self) {
        self.held = None;
        self.sent.clear();
        self.next = Millis(0);
    }

    /// Stops acting and returns the record that gives the lease back.
    pub fn release(&mut self, wall: WallMillis, rng: &mut impl Rng) -> Option<Record> {
        let held = self.held?;
        self.drop_held();
        let (id, lease) = (new_id(wall, rng), self.name.clone());
        Some(Record::Release {
            id,
            lease,
            token: held.token,
        })
    }
}
