//! Leases: their fold, the holder's clock and an observer's clock.
//!
//! A grant or renewal names the record it follows, so that a renewal that lands between an
//! observer's read and its grant makes the grant void. The holder counts from before its
//! append was sent, an observer from when it read it, both on monotonic clocks; besides, the
//! fold checks expiry against the log's time. The offset of the grant is the fencing token.

use std::collections::{BTreeMap, VecDeque};

use cumin_types::{FencingToken, LogOffset, Millis, RecordId, WallMillis};
use derive_more::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::batch::{Author, new_id};
use crate::fold::{At, State};
use crate::pairs;

/// Milliseconds of the longest lease.
pub const MAX_TTL: u64 = 120_000;

/// What the `lease` stream's batches carry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// Takes a lease that is vacant.
    Grant {
        /// Names the record.
        id: RecordId,
        /// The lease.
        lease: String,
        /// Who takes it.
        holder: Author,
        /// The lease's last record, `None` when there is none.
        after: Option<LogOffset>,
        /// Milliseconds.
        ttl: u64,
    },
    /// Extends a lease.
    Renew {
        /// Names the record.
        id: RecordId,
        /// The lease.
        lease: String,
        /// The grant.
        token: FencingToken,
        /// Milliseconds.
        ttl: u64,
    },
    /// Gives a lease back.
    Release {
        /// Names the record.
        id: RecordId,
        /// The lease.
        lease: String,
        /// The grant.
        token: FencingToken,
    },
}

/// One lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds or held it.
    pub holder: Author,
    /// Offset of the grant.
    pub token: FencingToken,
    /// Offset of the last record that had an effect.
    pub last: LogOffset,
    /// Id of that record.
    pub by: RecordId,
    /// Milliseconds from that record.
    pub ttl: u64,
    /// The log's time of that record.
    pub wall: WallMillis,
    /// Given back.
    pub released: bool,
}

impl Lease {
    fn expired(&self, wall: WallMillis) -> bool {
        self.released || wall.since(self.wall) >= self.ttl
    }
}

/// Why a record has no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// Another record came between.
    #[display("another record of the lease came first")]
    Overtaken,
    /// Somebody holds it by the log's time.
    #[display("the lease has not expired")]
    Held,
    /// The token is not the present one.
    #[display("the token is not the present one")]
    Stale,
    /// Longer than [`MAX_TTL`].
    #[display("the lease is longer than {MAX_TTL} ms")]
    TooLong,
    /// Records were lost; a lease may be held that is not known here.
    #[display("records were lost less than {MAX_TTL} ms ago")]
    Forgotten,
}

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The lease has a new holder.
    Granted {
        /// The lease.
        lease: String,
        /// Its token.
        token: FencingToken,
    },
    /// The lease goes on.
    Renewed {
        /// The lease.
        lease: String,
    },
    /// The lease is vacant.
    Released {
        /// The lease.
        lease: String,
    },
    /// No effect.
    Refused(Refusal),
}

/// State of the `lease` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    #[serde(with = "pairs")]
    table: BTreeMap<String, Lease>,
    /// The log's latest time.
    time: WallMillis,
    /// The log's time before which unknown leases may be held.
    unknown: WallMillis,
}

impl Leases {
    /// One lease.
    #[must_use]
    pub fn get(&self, lease: &str) -> Option<&Lease> {
        self.table.get(lease)
    }

    fn grant(
        &self,
        wall: WallMillis,
        lease: &str,
        holder: &Author,
        after: Option<LogOffset>,
    ) -> Result<(), Refusal> {
        let Some(held) = self.table.get(lease) else {
            return if wall < self.unknown {
                Err(Refusal::Forgotten)
            } else {
                Ok(())
            };
        };
        let expired = held.expired(wall);
        // A candidate whose fold lost records names none; the log's time alone decides.
        if after != Some(held.last) && !(after.is_none() && expired) {
            return Err(Refusal::Overtaken);
        }
        if expired || held.holder == *holder {
            Ok(())
        } else {
            Err(Refusal::Held)
        }
    }

    fn held(&mut self, lease: &str, token: FencingToken) -> Result<&mut Lease, Refusal> {
        self.table
            .get_mut(lease)
            .filter(|held| held.token == token && !held.released)
            .ok_or(Refusal::Stale)
    }

    fn step(&mut self, at: At, record: Record) -> Result<Event, Refusal> {
        match record {
            Record::Grant {
                id,
                lease,
                holder,
                after,
                ttl,
            } => {
                check_ttl(ttl)?;
                self.grant(self.time, &lease, &holder, after)?;
                let token = FencingToken(at.offset.0);
                let (last, wall) = (at.offset, self.time);
                let held = Lease {
                    holder,
                    token,
                    last,
                    by: id,
                    ttl,
                    wall,
                    released: false,
                };
                self.table.insert(lease.clone(), held);
                Ok(Event::Granted { lease, token })
            }
            Record::Renew {
                id,
                lease,
                token,
                ttl,
            } => {
                check_ttl(ttl)?;
                let wall = self.time;
                let held = self.held(&lease, token)?;
                *held = Lease {
                    last: at.offset,
                    by: id,
                    ttl,
                    wall,
                    ..held.clone()
                };
                Ok(Event::Renewed { lease })
            }
            Record::Release { id, lease, token } => {
                let held = self.held(&lease, token)?;
                held.released = true;
                held.last = at.offset;
                held.by = id;
                Ok(Event::Released { lease })
            }
        }
    }
}

fn check_ttl(ttl: u64) -> Result<(), Refusal> {
    if ttl > MAX_TTL {
        Err(Refusal::TooLong)
    } else {
        Ok(())
    }
}

impl State for Leases {
    type Record = Record;
    type Event = Event;

    fn advance(&mut self, at: At) {
        self.time = self.time.max(at.wall);
    }

    fn apply(&mut self, at: At, _: &Author, record: Record) -> Event {
        self.step(at, record).unwrap_or_else(Event::Refused)
    }

    fn forget(&mut self, at: At) {
        self.table.clear();
        self.unknown = self.unknown.max(at.wall.plus(MAX_TTL));
    }
}

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
    /// End of the lease by this clock.
    end: Millis,
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
    /// Proposed records with the time before they were sent.
    sent: VecDeque<(RecordId, Millis)>,
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

    fn propose(&mut self, now: Millis, id: RecordId) {
        if self.sent.len() == PROPOSALS {
            self.sent.pop_front();
        }
        self.sent.push_back((id, now));
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
            self.propose(now, id);
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
        self.propose(now, id);
        let after = known.map(|lease| lease.last);
        Some(Record::Grant {
            id,
            lease,
            holder: self.me.clone(),
            after,
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
        let sent = self.sent.iter().find(|(id, _)| *id == lease.by);
        self.held = sent.map(|(_, sent)| Held {
            token: lease.token,
            end: sent.plus(lease.ttl),
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
        let (left, margin) = (held.end.since(now), self.options.margin());
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
