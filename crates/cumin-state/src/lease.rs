//! Leases: their fold, the holder's clock and an observer's clock.
//!
//! A grant or renewal names the record it follows, so that a renewal that lands between an
//! observer's read and its grant makes the grant void. The holder counts from before its
//! append was sent, on its monotonic and its wall clock, whichever leaves less; an observer
//! counts from when it read the record, on its monotonic clock; besides, the fold checks expiry
//! against the log's time. The offset of the grant is the fencing token.

use std::collections::BTreeMap;

use cumin_types::{FencingToken, LogOffset, RecordId, WallMillis};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fold::{LogPosition, State};
use crate::pairs;

mod clock;

pub use clock::{Holder, Observer, Options, Stop};

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
        /// The candidate's fold lost records and cannot name the last one.
        #[serde(default)]
        lost: bool,
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

    /// True when records were lost once, so that a lease may be missing here.
    #[must_use]
    pub fn forgot(&self) -> bool {
        self.unknown > WallMillis(0)
    }

    fn grant(
        &self,
        lease: &str,
        holder: &Author,
        after: Option<LogOffset>,
        lost: bool,
    ) -> Result<(), Refusal> {
        let Some(held) = self.table.get(lease) else {
            let known = self.time >= self.unknown;
            return known.then_some(()).ok_or(Refusal::Forgotten);
        };
        let expired = held.expired(self.time);
        // For a candidate that cannot name the last record the log's time alone decides.
        if after != Some(held.last) && !(lost && expired) {
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

    fn step(&mut self, at: LogPosition, record: Record) -> Result<Event, Refusal> {
        match record {
            Record::Grant {
                id,
                lease,
                holder,
                after,
                lost,
                ttl,
            } => {
                check_ttl(ttl)?;
                self.grant(&lease, &holder, after, lost)?;
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

    fn advance(&mut self, at: LogPosition) {
        self.time = self.time.max(at.wall);
    }

    fn apply(&mut self, at: LogPosition, _: &Author, record: Record) -> Event {
        self.step(at, record).unwrap_or_else(Event::Refused)
    }

    fn mark_lost(&mut self, at: LogPosition) {
        self.table.clear();
        self.unknown = self.unknown.max(at.wall.plus(MAX_TTL));
    }
}
