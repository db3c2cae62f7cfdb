//! Claims of non-idempotent calls, kept in the platform's log.
//!
//! An entry claims a key through the recorder of the key's shard, dispatches once when the
//! claim is granted, and has the ending recorded. Recorders follow from the member list; the
//! log's order decides where two nodes both believe that they record a shard.

mod call;
mod shard;

pub(crate) use call::{ClaimResult, Records};
pub(crate) use shard::{Recorders, Submission};

/// Shards of the record stream.
pub(crate) const SHARDS: u32 = 16;
