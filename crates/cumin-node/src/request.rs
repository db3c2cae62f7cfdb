//! Requests on this node: the table of those it runs, replication to second nodes, attempts.

mod completion;
mod engine;
mod live;
mod plain;
mod replica;
mod takeover;

pub(crate) use completion::QUARANTINED;
pub(crate) use live::{Command, Live, Reader, Table};
pub(crate) use replica::{Replicas, place_second};
pub(crate) use takeover::{find, hand_over, release, start, take_over};
