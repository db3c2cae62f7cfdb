//! What an append machine exchanges with its caller and with the log.

use cumin_types::{LogOffset, RecordId};
use cumin_wire::log::Records;
use serde_json::Value;

use crate::batch::Stream;

/// Names a submitted item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What became of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is in the log; its first copy is at this offset or below.
    Appended {
        /// Offset of a copy of its batch.
        offset: LogOffset,
    },
    /// Its deadline passed; it may be in the log, or land later.
    Uncertain,
    /// Its deadline passed; it is not in the log and can never be.
    NotSent,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append `body`; answer with an input that names `batch` and `attempt`.
    Append {
        /// Where.
        stream: Stream,
        /// Id of the batch.
        batch: RecordId,
        /// Number of this send.
        attempt: u64,
        /// What to append.
        body: Value,
    },
    /// Read a page; answer with [`Input::Read`] or [`Input::ReadFailed`].
    Read {
        /// Where.
        stream: Stream,
        /// First offset.
        from: LogOffset,
        /// Most records.
        limit: u32,
    },
    /// An item is settled.
    Settled {
        /// The item.
        ticket: Ticket,
        /// What became of it.
        fate: Fate,
    },
}

/// What the log answered.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The batch is in the log.
    Appended {
        /// The batch.
        batch: RecordId,
        /// Its offset.
        offset: LogOffset,
    },
    /// No answer, or one that does not say whether the append took effect (503, broken
    /// connection, time-out).
    Lost {
        /// The batch.
        batch: RecordId,
        /// The send.
        attempt: u64,
    },
    /// The log refused the append before it took effect (429, connection refused).
    Refused {
        /// The batch.
        batch: RecordId,
        /// The send.
        attempt: u64,
    },
    /// A page that was read from `from`.
    Read {
        /// First offset asked for.
        from: LogOffset,
        /// What was read.
        page: &'a Records,
    },
    /// The page that was asked for last could not be read.
    ReadFailed,
}

/// There is no room for another item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{waiting} items wait for the log, which is the bound")]
pub struct Full {
    /// Items that wait.
    pub waiting: usize,
}
