//! Clocks of a lease's holder and observers.

use std::collections::{BTreeMap, VecDeque};

use cumin_types::{FencingToken, LogOffset, Millis, RecordId, WallMillis};
use derive_more::Display;
use rand::Rng;

use super::{Leases, Record};
use crate::batch::{Author, new_id};

/// Durations of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Duration of a grant or renewal.
    pub ttl_ms: u64,
    /// Longest time that an order of the holder takes.
    pub order_ms: u64,
    /// Largest difference in rate between two clocks, in parts per thousand.
    pub drift_permille: u64,
    /// How far the wall clock may run ahead of the monotonic clock between two ticks before the
    /// process counts as paused.
    pub pause_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ttl_ms: 15_000,
            order_ms: 2_000,
            drift_permille: 10,
            pause_ms: 2_000,
        }
    }
}

impl Options {
    /// Returns how long before the end of the lease the holder stops acting, in milliseconds.
    #[must_use]
    pub const fn margin_ms(&self) -> u64 {
        self.order_ms + self.drift_ms()
    }

    const fn drift_ms(&self) -> u64 {
        (self.ttl_ms * self.drift_permille).div_ceil(1000) + 1
    }
}

/// Observer's clock for all leases.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    /// Offset of the last record of each lease and when it was first read.
    first_read: BTreeMap<String, (LogOffset, Millis)>,
    /// Last time at which the fold held every record of the log.
    current_at: Option<Millis>,
}

impl Observer {
    /// Records the leases that the fold holds after a page. `current` is true when the fold holds
    /// every record of the log.
    pub fn observe(&mut self, now: Millis, leases: &Leases, current: bool) {
        self.first_read
            .retain(|name, _| leases.table.contains_key(name));
        for (name, lease) in &leases.table {
            let seen = self
                .first_read
                .entry(name.clone())
                .or_insert((lease.last, now));
            if seen.0 != lease.last {
                *seen = (lease.last, now);
            }
        }
        if current {
            self.current_at = Some(now);
        }
    }

    /// Returns true when the lease has expired by this clock, was released, or was never held.
    #[must_use]
    pub fn is_vacant(&self, now: Millis, name: &str, leases: &Leases, options: &Options) -> bool {
        let Some(lease) = leases.get(name) else {
            return self.current_at.is_some();
        };
        let Some((last, read)) = self.first_read.get(name) else {
            return false;
        };
        let drift = (lease.ttl_ms * options.drift_permille).div_ceil(1000) + 1;
        lease.released || (*last == lease.last && now.since(*read) >= lease.ttl_ms + drift)
    }
}

/// Reason that a holder must not act.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopReason {
    /// The lease is not held.
    #[display("the lease is not held")]
    NotHeld,
    /// No more than the margin is left.
    #[display("{left} ms of the lease are left, the margin is {margin} ms")]
    Margin {
        /// Time left, in milliseconds.
        left: u64,
        /// The margin, in milliseconds.
        margin: u64,
    },
    /// The process was paused.
    #[display("the process was paused for {late} ms")]
    Paused {
        /// Length of the pause, in milliseconds.
        late: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    token: FencingToken,
    /// End of the lease by the monotonic clock.
    end: Millis,
    /// End of the lease by the wall clock.
    wall_end: WallMillis,
    /// Id of the last record of the lease.
    last_id: RecordId,
}

/// Most proposals that a holder remembers.
const MAX_PROPOSALS: usize = 16;

/// State machine of one node as candidate for and holder of one lease.
#[derive(Clone, Debug)]
pub struct Holder {
    options: Options,
    name: String,
    author: Author,
    /// Ids of proposed records, with the monotonic and wall time before they were sent.
    proposals: VecDeque<(RecordId, Millis, WallMillis)>,
    held: Option<HeldLease>,
    /// Monotonic and wall time of the last tick.
    tick: Option<(Millis, WallMillis)>,
    next_proposal: Millis,
}

impl Holder {
    /// Creates a candidate that holds no lease.
    #[must_use]
    pub fn new(options: Options, name: &str, author: Author) -> Self {
        let proposals = VecDeque::new();
        Self {
            options,
            name: name.into(),
            author,
            proposals,
            held: None,
            tick: None,
            next_proposal: Millis(0),
        }
    }

    fn propose(&mut self, now: Millis, wall: WallMillis, id: RecordId) {
        if self.proposals.len() == MAX_PROPOSALS {
            self.proposals.pop_front();
        }
        self.proposals.push_back((id, now, wall));
        self.next_proposal = now.plus(self.options.ttl_ms / 3);
    }

    /// Returns the next record to append, if any: a grant when the lease is vacant, a renewal when
    /// a third of the lease has passed. The lease is measured from this call, so the record must
    /// be sent after it.
    pub fn poll(
        &mut self,
        now: Millis,
        wall: WallMillis,
        leases: &Leases,
        observer: &Observer,
        rng: &mut impl Rng,
    ) -> Option<Record> {
        if now < self.next_proposal {
            return None;
        }
        let (lease, ttl_ms) = (self.name.clone(), self.options.ttl_ms);
        if let Some(held) = self.held.filter(|held| held.end > now) {
            let id = new_id(wall, rng);
            self.propose(now, wall, id);
            return Some(Record::Renew {
                id,
                lease,
                token: held.token,
                ttl_ms,
            });
        }
        let known = leases.get(&self.name);
        let own = known.is_some_and(|lease| lease.holder == self.author && !lease.released);
        if !own && !observer.is_vacant(now, &self.name, leases, &self.options) {
            return None;
        }
        let id = new_id(wall, rng);
        self.propose(now, wall, id);
        let after = known.map(|lease| lease.last);
        let (holder, lost) = (
            self.author.clone(),
            known.is_none() && leases.has_lost_records(),
        );
        Some(Record::Grant {
            id,
            lease,
            holder,
            after,
            lost,
            ttl_ms,
        })
    }

    /// Updates the held lease from the fold after a page.
    pub fn observe(&mut self, leases: &Leases) {
        let own = leases
            .get(&self.name)
            .filter(|lease| lease.holder == self.author && !lease.released);
        let Some(lease) = own else {
            self.held = None;
            return;
        };
        if self.held.is_some_and(|held| held.last_id == lease.last_id) {
            return;
        }
        // A record that this holder does not remember sending gives it no time.
        let sent = self.proposals.iter().find(|(id, ..)| *id == lease.last_id);
        self.held = sent.map(|(_, sent, wall)| HeldLease {
            token: lease.token,
            end: sent.plus(lease.ttl_ms),
            wall_end: wall.plus(lease.ttl_ms),
            last_id: lease.last_id,
        });
    }

    /// Returns the fencing token for an order that is sent at `now`. Call it immediately before
    /// each order.
    ///
    /// # Errors
    /// Returns the reason when no order may be sent.
    pub fn may_act(&mut self, now: Millis, wall: WallMillis) -> Result<FencingToken, StopReason> {
        self.tick(now, wall)
            .map_err(|late| StopReason::Paused { late })?;
        let held = self.held.ok_or(StopReason::NotHeld)?;
        // The monotonic clock of a suspended machine may stop; its wall clock does not.
        let left = held.end.since(now).min(held.wall_end.since(wall));
        let margin = self.options.margin_ms();
        if left <= margin {
            return Err(StopReason::Margin { left, margin });
        }
        Ok(held.token)
    }

    /// Compares the two clocks. A wall clock that ran ahead reveals a pause that the monotonic
    /// clock did not count. A holder that was paused holds nothing until it has a new record.
    ///
    /// # Errors
    /// Returns the length of the pause in milliseconds.
    pub fn tick(&mut self, now: Millis, wall: WallMillis) -> Result<(), u64> {
        let Some((last, last_wall)) = self.tick.replace((now, wall)) else {
            return Ok(());
        };
        let late = wall.since(last_wall).saturating_sub(now.since(last));
        if late <= self.options.pause_ms {
            return Ok(());
        }
        self.discard_lease();
        Err(late)
    }

    /// Discards the lease and all proposals, so that only a record that is proposed from now on
    /// counts.
    pub fn discard_lease(&mut self) {
        self.held = None;
        self.proposals.clear();
        self.next_proposal = Millis(0);
    }

    /// Stops acting and returns the record that releases the lease.
    pub fn release(&mut self, wall: WallMillis, rng: &mut impl Rng) -> Option<Record> {
        let held = self.held?;
        self.discard_lease();
        let (id, lease) = (new_id(wall, rng), self.name.clone());
        Some(Record::Release {
            id,
            lease,
            token: held.token,
        })
    }
}
