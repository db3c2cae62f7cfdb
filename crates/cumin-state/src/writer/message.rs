//! Messages that a log writer exchanges with its user and with the log.

use cumin_types::{LogOffset, RecordId};
use cumin_wire::log::Records;
use serde_json::Value;

use crate::batch::Stream;

/// Identifies a submitted item to one writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Fate of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The item is in the log; its first copy is at this offset or below.
    Appended {
        /// Offset of a copy of the item's batch.
        offset: LogOffset,
    },
    /// The deadline has passed; the item may be in the log or be appended later.
    Uncertain,
    /// The deadline has passed; the item is not in the log and never will be.
    NotSent,
}

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append `body`, and respond with an input that names `batch` and `attempt`.
    Append {
        /// Target stream.
        stream: Stream,
        /// Id of the batch.
        batch: RecordId,
        /// Number of this attempt.
        attempt: u64,
        /// Encoded batch.
        body: Value,
    },
    /// Read a page, and respond with [`Input::Read`] or [`Input::ReadFailed`].
    Read {
        /// Stream to read.
        stream: Stream,
        /// First offset to read.
        from: LogOffset,
        /// Most records to return.
        limit: u32,
    },
    /// Report the fate of an item.
    Settled {
        /// Ticket of the item.
        ticket: Ticket,
        /// Fate of the item.
        fate: Fate,
    },
}

/// Response of the log.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The batch is in the log.
    Appended {
        /// Id of the batch.
        batch: RecordId,
        /// Offset of the batch.
        offset: LogOffset,
    },
    /// No response, or one that does not tell whether the append took effect (503, broken
    /// connection, timeout).
    Lost {
        /// Id of the batch.
        batch: RecordId,
        /// Number of the attempt.
        attempt: u64,
    },
    /// The log refused the append before it took effect (429, connection refused).
    Refused {
        /// Id of the batch.
        batch: RecordId,
        /// Number of the attempt.
        attempt: u64,
    },
    /// A page that was read.
    Read {
        /// First offset of the read.
        from: LogOffset,
        /// Records of the page.
        page: &'a Records,
    },
    /// The last read failed.
    ReadFailed,
}

/// Error for an item that exceeds the limit of waiting items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{waiting} items wait for the log, which is the bound")]
pub struct QueueFull {
    /// Number of waiting items.
    pub waiting: usize,
}
