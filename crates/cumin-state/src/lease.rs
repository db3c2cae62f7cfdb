//! Leases: the fold, and the clocks of holders and observers.
//!
//! A grant names the last record of the lease and a renewal names the grant, so that a renewal
//! that is appended between an observer's read and its grant voids the grant. The holder measures
//! the lease from before it sent the append, on its monotonic and its wall clock, whichever leaves
//! less time. An observer measures it from when it read the record, on its monotonic clock. The
//! fold also checks expiry against the log's time. The offset of the grant is the fencing token.

use std::collections::BTreeMap;

use cumin_types::{FencingToken, LogOffset, RecordId, WallMillis};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fold::{LogPosition, State};
use crate::pairs;

mod clock;

pub use clock::{Holder, Observer, Options, StopReason};

/// Longest lease.
pub const MAX_TTL_MS: u64 = 120_000;

/// Record of the `lease` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// Grants a vacant lease.
    Grant {
        /// Id of the record.
        id: RecordId,
        /// Name of the lease.
        lease: String,
        /// New holder.
        holder: Author,
        /// Offset of the last record of the lease, `None` if there is none.
        after: Option<LogOffset>,
        /// True when the candidate's fold lost records and cannot name the last one.
        #[serde(default)]
        lost: bool,
        /// Duration of the lease.
        #[serde(rename = "ttl")]
        ttl_ms: u64,
    },
    /// Extends a lease.
    Renew {
        /// Id of the record.
        id: RecordId,
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        token: FencingToken,
        /// Duration from this record on.
        #[serde(rename = "ttl")]
        ttl_ms: u64,
    },
    /// Releases a lease.
    Release {
        /// Id of the record.
        id: RecordId,
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        token: FencingToken,
    },
}

/// State of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Present or, after expiry or release, last holder.
    pub holder: Author,
    /// Fencing token: the offset of the grant.
    pub token: FencingToken,
    /// Offset of the last record that had an effect.
    pub last: LogOffset,
    /// Id of that record.
    #[serde(rename = "by")]
    pub last_id: RecordId,
    /// Duration from that record on.
    #[serde(rename = "ttl")]
    pub ttl_ms: u64,
    /// Time of the log at that record.
    pub wall: WallMillis,
    /// True when the holder has released the lease.
    pub released: bool,
}

impl Lease {
    fn is_expired(&self, wall: WallMillis) -> bool {
        self.released || wall.since(self.wall) >= self.ttl_ms
    }
}

/// Reason that a record has no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// Another record of the lease came first.
    #[display("another record of the lease came first")]
    Overtaken,
    /// The lease is held by the log's time.
    #[display("the lease has not expired")]
    Held,
    /// The token is not that of the current grant.
    #[display("the token is not the present one")]
    Stale,
    /// The lease is longer than [`MAX_TTL_MS`].
    #[display("the lease is longer than {MAX_TTL_MS} ms")]
    TooLong,
    /// Records were lost, so a lease that is unknown here may still be held.
    #[display("records were lost less than {MAX_TTL_MS} ms ago")]
    Forgotten,
}

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The lease has a new holder.
    Granted {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the grant.
        token: FencingToken,
    },
    /// The lease was extended.
    Renewed {
        /// Name of the lease.
        lease: String,
    },
    /// The lease is vacant.
    Released {
        /// Name of the lease.
        lease: String,
    },
    /// The record had no effect.
    Refused(Refusal),
}

/// State of the `lease` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    #[serde(with = "pairs")]
    table: BTreeMap<String, Lease>,
    /// Latest timestamp of the log.
    time: WallMillis,
    /// Until this time of the log, leases that are unknown here may be held.
    #[serde(rename = "unknown")]
    unknown_until: WallMillis,
}

impl Leases {
    /// Returns the state of `lease`.
    #[must_use]
    pub fn get(&self, lease: &str) -> Option<&Lease> {
        self.table.get(lease)
    }

    /// Returns true when records have been lost, so that a lease may be missing here.
    #[must_use]
    pub fn has_lost_records(&self) -> bool {
        self.unknown_until > WallMillis(0)
    }

    fn check_grant(
        &self,
        lease: &str,
        holder: &Author,
        after: Option<LogOffset>,
        lost: bool,
    ) -> Result<(), Refusal> {
        let Some(held) = self.table.get(lease) else {
            let known = self.time >= self.unknown_until;
            return known.then_some(()).ok_or(Refusal::Forgotten);
        };
        let expired = held.is_expired(self.time);
        // For a candidate that cannot name the last record, the log's time alone decides.
        if after != Some(held.last) && !(lost && expired) {
            return Err(Refusal::Overtaken);
        }
        if expired || held.holder == *holder {
            Ok(())
        } else {
            Err(Refusal::Held)
        }
    }

    fn held_mut(&mut self, lease: &str, token: FencingToken) -> Result<&mut Lease, Refusal> {
        self.table
            .get_mut(lease)
            .filter(|held| held.token == token && !held.released)
            .ok_or(Refusal::Stale)
    }

    fn try_apply(&mut self, at: LogPosition, record: Record) -> Result<Event, Refusal> {
        match record {
            Record::Grant {
                id,
                lease,
                holder,
                after,
                lost,
                ttl_ms,
            } => {
                check_ttl(ttl_ms)?;
                self.check_grant(&lease, &holder, after, lost)?;
                let token = FencingToken(at.offset.0);
                let (last, wall) = (at.offset, self.time);
                let held = Lease {
                    holder,
                    token,
                    last,
                    last_id: id,
                    ttl_ms,
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
                ttl_ms,
            } => {
                check_ttl(ttl_ms)?;
                let wall = self.time;
                let held = self.held_mut(&lease, token)?;
                *held = Lease {
                    last: at.offset,
                    last_id: id,
                    ttl_ms,
                    wall,
                    ..held.clone()
                };
                Ok(Event::Renewed { lease })
            }
            Record::Release { id, lease, token } => {
                let held = self.held_mut(&lease, token)?;
                held.released = true;
                held.last = at.offset;
                held.last_id = id;
                Ok(Event::Released { lease })
            }
        }
    }
}

fn check_ttl(ttl_ms: u64) -> Result<(), Refusal> {
    if ttl_ms > MAX_TTL_MS {
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
        self.try_apply(at, record).unwrap_or_else(Event::Refused)
    }

    fn mark_lost(&mut self, at: LogPosition) {
        self.table.clear();
        self.unknown_until = self.unknown_until.max(at.wall.plus(MAX_TTL_MS));
    }
}
