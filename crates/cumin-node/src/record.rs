//! Claims of non-idempotent calls, stored in the platform's log.
//!
//! An entry claims an idempotency key through the recorder of the key's shard, dispatches the call
//! once if the claim is granted, and has the ending recorded. The recorder of a shard follows from
//! the member list; when two nodes both act as the recorder of a shard, the order of the log
//! decides.

mod call;
mod shard;

pub(crate) use call::{ClaimResult, Records};
pub(crate) use shard::{Recorders, Submission};

/// Number of shards of the record stream.
pub(crate) const SHARDS: u32 = 16;
