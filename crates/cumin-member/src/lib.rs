//! Cluster membership of nodes, without input or output.
//!
//! [`Membership`] decides whom to probe, whom to suspect and what to tell whom. The shell sends
//! each [`Effect`] as one call and hands the answer or the failure back under the effect's
//! [`Call`] number. Changes and [`Item`]s ride on the calls in both directions; a digest on each
//! call finds what they missed. `docs/design/membership.md` states the protocol.

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
