//! Tells an outage of the store from the loss of this node's own way to it.
//!
//! Disruption pattern: the connections of a node go silent, or it is cut off, suspended or turned
//! away, while the store serves everyone else and endpoints leave as usual. For the node this looks
//! like an outage of the store, in which registrations expire although their endpoints live. If it
//! kept these endpoints until they register again, those that have left would get requests for too
//! long.
//!
//! Registrations expire only after several missed heartbeats, and nodes that have read the store
//! meanwhile, if only by turns, show that there was no outage.

use cumin_types::Millis;
use serde::{Deserialize, Serialize};

/// Missed heartbeats after which a registration expires.
const EXPIRY_BEATS: u64 = 3;

/// Heartbeats between two reads in which no outage that ends registrations fits: those whose last
/// heartbeat came just before it still miss two.
const GAP_BEATS: u64 = 2;

/// Maximum number of separate spans that are remembered.
const MAX_SPANS: usize = 16;

/// Returns the time without reads in which registrations of live endpoints can expire; `heartbeat`
/// is the interval at which they are renewed.
#[must_use]
pub const fn expiry(heartbeat: Millis) -> Millis {
    Millis(heartbeat.0 * EXPIRY_BEATS)
}

/// Span of time in which a node's reads of the registrations were answered.
///
/// Gaps in which no registration can expire do not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSpan {
    /// Time of its first read.
    pub first: Millis,
    /// Time of its last read.
    pub last: Millis,
}

/// A [`ReadSpan`] as stated to peers, whose clocks differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedSpan {
    /// Age of the first read.
    #[serde(rename = "first")]
    first_age: Millis,
    /// Age of the last read.
    #[serde(rename = "last")]
    last_age: Millis,
}

impl ReadSpan {
    /// Returns the span as ages at `now`.
    #[must_use]
    pub const fn stated(self, now: Millis) -> StatedSpan {
        StatedSpan {
            first_age: Millis(now.since(self.first)),
            last_age: Millis(now.since(self.last)),
        }
    }
}

impl StatedSpan {
    /// Returns the span on the clock of a node that heard of it at `heard`.
    #[must_use]
    pub const fn heard(self, heard: Millis) -> ReadSpan {
        ReadSpan {
            first: Millis(heard.since(self.first_age)),
            last: Millis(heard.since(self.last_age)),
        }
    }
}

/// A time in which a node's reads were not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Time of the last read before.
    pub from: Millis,
    /// Time of the first read after.
    pub to: Millis,
}

/// Times at which the reads of any peer were answered.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Spans with gaps in between, in order.
    spans: Vec<ReadSpan>,
}

impl Timeline {
    /// Adds the reads of a peer.
    pub fn add(&mut self, span: ReadSpan, heartbeat: Millis) {
        self.spans.push(span);
        self.spans.sort_unstable_by_key(|span| span.first);
        self.spans.dedup_by(|next, span| {
            let joined = is_joined(span.last, next.first, heartbeat);
            if joined {
                span.last = span.last.max(next.last);
            }
            joined
        });
        let excess = self.spans.len().saturating_sub(MAX_SPANS);
        self.spans.drain(..excess);
    }

    /// Returns whether peers read the store during an absence, so that there was no outage.
    #[must_use]
    pub fn covers(&self, absence: Absence, heartbeat: Millis) -> bool {
        self.spans.iter().any(|span| {
            is_joined(absence.from, span.first, heartbeat)
                && is_joined(span.last, absence.to, heartbeat)
        })
    }
}

/// Returns whether no outage that ends registrations fits between two reads.
const fn is_joined(earlier: Millis, later: Millis, heartbeat: Millis) -> bool {
    later.since(earlier) < heartbeat.0 * GAP_BEATS
}

/// Reads of the registrations by one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reads {
    span: Option<ReadSpan>,
}

impl Reads {
    /// Records an answered read. Returns the time without reads before it if registrations can have
    /// expired in it.
    pub fn answered(&mut self, heartbeat: Millis, now: Millis) -> Option<Absence> {
        let Some(span) = &mut self.span else {
            self.span = Some(ReadSpan {
                first: now,
                last: now,
            });
            return None;
        };
        let from = std::mem::replace(&mut span.last, now);
        if now.since(from) < expiry(heartbeat).0 {
            return None;
        }
        span.first = now;
        Some(Absence { from, to: now })
    }

    /// Returns the span of the reads; `None` before the first one.
    #[must_use]
    pub const fn span(&self) -> Option<ReadSpan> {
        self.span
    }
}
