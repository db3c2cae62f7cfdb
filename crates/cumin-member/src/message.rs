//! Messages between nodes, and the calls that the driver has to make.

use std::net::SocketAddr;

use cumin_types::NodeName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Item, Record};

/// Number of a call, under which the driver reports its answer or failure.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Body of a call and of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Record of the sender.
    pub from: Record,
    /// Hash of the sender's table of members and items.
    pub digest: u64,
    /// Gossiped records of members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Gossiped items.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Item>,
    /// Step of the anti-entropy exchange, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repair: Option<Repair>,
}

/// Step of the anti-entropy exchange, in which two nodes compare their tables. Entries are
/// identified by the hashes of their key and state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repair {
    /// Requests the part of the table from this key hash on.
    Page(u32),
    /// Answers `Page` with the key hash at which the next page begins; none after the last page.
    Next(Option<u32>),
    /// Requests the hash of each bucket if the digests differ.
    Compare,
    /// Answers `Compare` with the hash of each bucket.
    Buckets(Vec<u32>),
    /// Lists the sender's entries of a bucket whose key hash is in `from..=to`.
    Brief {
        /// Bucket number.
        bucket: u32,
        /// Lowest key hash covered.
        from: u32,
        /// Highest key hash covered.
        to: u32,
        /// Hashes of the key and the state of each entry.
        entries: Vec<(u32, u32)>,
    },
    /// Answers `Brief` with the key hashes of the entries that the answering node lacks.
    Want(Vec<u32>),
}

/// A call that the driver has to make.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Calls `member_probe`.
    Probe {
        /// Identifies the call in `handle_answer` and `handle_failure`.
        call: CallId,
        /// RPC address to call.
        to: SocketAddr,
        /// Body of the call.
        message: Message,
    },
    /// Calls `member_relay` at `via`, which calls `member_probe` at `target` and returns the
    /// answer unchanged.
    Relay {
        /// Identifies the call in `handle_answer` and `handle_failure`.
        call: CallId,
        /// RPC address to call.
        via: SocketAddr,
        /// Member to be probed.
        target: NodeName,
        /// RPC address of the target.
        address: SocketAddr,
        /// Body of the call to the target.
        message: Message,
    },
    /// Calls `member_push`, which the receiver handles like a probe.
    Push {
        /// Identifies the call in `handle_answer` and `handle_failure`.
        call: CallId,
        /// RPC address to call.
        to: SocketAddr,
        /// Body of the call.
        message: Message,
    },
}

impl Effect {
    /// Returns the number of the call.
    #[must_use]
    pub const fn call(&self) -> CallId {
        match self {
            Self::Probe { call, .. } | Self::Relay { call, .. } | Self::Push { call, .. } => *call,
        }
    }
}
