//! Execution of requests: the table of active requests, their replication and their attempts.

mod active;
mod completion;
mod engine;
mod plain;
mod replica;
mod takeover;

pub(crate) use active::{ActiveRequest, Command, ReaderGuard, RequestTable};
pub(crate) use completion::{ENDPOINTS_WAIT, QUARANTINED};
pub(crate) use replica::{Replicator, assign_second};
pub(crate) use takeover::{find, hand_over, release, start, take_over};
