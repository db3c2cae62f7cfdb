//! Requests on this node: the table of those it runs, replication to second nodes, attempts.

mod active;
mod completion;
mod engine;
mod plain;
mod replica;
mod takeover;

pub(crate) use active::{ActiveRequest, Command, ReaderGuard, RequestTable};
pub(crate) use completion::QUARANTINED;
pub(crate) use replica::{Replicator, assign_second};
pub(crate) use takeover::{find, hand_over, release, start, take_over};
