//! What a recorder is asked, what it answers, and what it exchanges with the log.

use cumin_types::{LogOffset, RecordId};
use cumin_wire::log::Records;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::batch::Stream;
use crate::claim::{Claim, HeldClaim, Refusal, Settle};
use crate::writer;

/// What one record of a submission asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A key.
    Claim(Claim),
    /// To record an ending.
    Settle(Settle),
}

/// Why nothing reached the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unsent {
    /// As many submissions wait as may.
    #[display("the recorder's queue is full")]
    Full,
    /// The deadline passed first.
    #[display("the deadline passed before the log could be reached")]
    Deadline,
    /// This node is not the shard's recorder.
    #[display("this node does not record the shard")]
    #[serde(rename = "off_duty")]
    NotRecorder,
}

/// The answer to an [`Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The claim holds the key; its author may dispatch once.
    Granted,
    /// The key is held; see [`HeldClaim::effective_stage`].
    Exists(HeldClaim),
    /// The ending is on record.
    Recorded,
    /// No effect, now or later.
    Refused(Refusal),
    /// Nothing reached the log, and nothing will.
    Unsent(Unsent),
    /// It may be in the log, or land later; a claim's author that does not dispatch records
    /// `not_run`.
    Uncertain,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Append, as [`writer::Effect::Append`].
    Append {
        /// Where.
        stream: Stream,
        /// Id of the batch.
        batch: RecordId,
        /// Number of this send.
        attempt: u64,
        /// What to append.
        body: serde_json::Value,
    },
    /// Read a page and give it back with the same purpose.
    Read {
        /// Where.
        stream: Stream,
        /// First offset.
        from: LogOffset,
        /// Most records.
        limit: u32,
        /// Who asked.
        purpose: Purpose,
    },
    /// Answer a submission.
    Answer {
        /// The submission.
        ticket: Ticket,
        /// The answer.
        verdict: Verdict,
    },
}

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To find an append whose answer was lost.
    ConfirmAppend,
    /// To move the fold on.
    Fold,
}

/// Names a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the log answered.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Answer to an append.
    Append(writer::Input<'a>),
    /// A page.
    Read {
        /// As in the effect.
        purpose: Purpose,
        /// As in the effect.
        from: LogOffset,
        /// What was read.
        page: &'a Records,
    },
    /// The page could not be read.
    ReadFailed {
        /// As in the effect.
        purpose: Purpose,
    },
}
