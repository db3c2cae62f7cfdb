//! Commands and verdicts of a recorder, and the messages that it exchanges with the log.

use cumin_types::{LogOffset, RecordId};
use cumin_wire::log::Records;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::batch::Stream;
use crate::claim::{Claim, HeldClaim, Refusal, Settle};
use crate::writer;

/// Command to a recorder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Claim a key.
    Claim(Claim),
    /// Record the ending of a claimed call.
    Settle(Settle),
}

/// Reason that a command was not sent to the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unsent {
    /// The recorder has as many pending submissions as it may have.
    #[display("the recorder's queue is full")]
    Full,
    /// The deadline passed before the record could be sent.
    #[display("the deadline passed before the log could be reached")]
    Deadline,
    /// This node is not the recorder of the shard.
    #[display("this node does not record the shard")]
    #[serde(rename = "off_duty")]
    NotRecorder,
}

/// Response to a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The claim holds the key; its author may dispatch the call once.
    Granted,
    /// Another claim holds the key, or this one has ended; see [`HeldClaim::effective_stage`].
    Exists(HeldClaim),
    /// The ending has been recorded.
    Recorded,
    /// The command has no effect, now or later.
    Refused(Refusal),
    /// The command did not reach the log and never will.
    Unsent(Unsent),
    /// The record may be in the log or be appended later. The author of a claim that does not
    /// dispatch the call records `not_run`.
    Uncertain,
}

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append a batch, as in [`writer::Effect::Append`].
    Append {
        /// Target stream.
        stream: Stream,
        /// Id of the batch.
        batch: RecordId,
        /// Number of this attempt.
        attempt: u64,
        /// Encoded batch.
        body: serde_json::Value,
    },
    /// Read a page and return it as an input with the same purpose.
    Read {
        /// Stream to read.
        stream: Stream,
        /// First offset to read.
        from: LogOffset,
        /// Most records to return.
        limit: u32,
        /// Purpose of the read.
        purpose: Purpose,
    },
    /// Respond to a submission.
    Answer {
        /// The submission.
        ticket: Ticket,
        /// The verdict.
        verdict: Verdict,
    },
}

/// Purpose of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To find an append whose response was lost.
    ConfirmAppend,
    /// To advance the fold.
    Fold,
}

/// Identifies a submission to one recorder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Response of the log.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Response to an append.
    Append(writer::Input<'a>),
    /// A page that was read.
    Read {
        /// Purpose of the read, as in the effect.
        purpose: Purpose,
        /// First offset of the read, as in the effect.
        from: LogOffset,
        /// Records of the page.
        page: &'a Records,
    },
    /// The read failed.
    ReadFailed {
        /// Purpose of the read, as in the effect.
        purpose: Purpose,
    },
}
