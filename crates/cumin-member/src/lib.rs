//! Cluster membership of nodes: failure detection by probes and gossip in the manner of SWIM.
//!
//! [`Membership`] is a state machine without I/O. It decides which members to probe, which to
//! suspect and which changes to send. The driver sends each [`Effect`] as one call and passes the
//! answer or the failure back under the effect's [`CallId`]. Changes and [`Item`]s are piggybacked
//! on the calls in both directions; a digest in each message reveals what gossip missed.
//! `docs/design/membership.md` specifies the protocol.

mod event;
mod gossip;
mod items;
mod member;
mod membership;
mod merge;
mod message;
mod probe;
mod repair;
mod table;

pub use event::{Event, Reason};
pub use items::{Item, ItemError};
pub use member::{Member, Record, Status};
pub use membership::{Membership, Options, Seed};
pub use message::{CallId, Effect, Message, Repair};
