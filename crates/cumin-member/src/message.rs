//! Messages between nodes and what the shell is asked to send.

use std::net::SocketAddr;

use cumin_types::NodeName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Item, Record};

/// Number of a call, by which its answer or failure is reported.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Content of a call and of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Record,
    /// Hash of the sender's table of members and items.
    pub digest: u64,
    /// Statements about members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Payload.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Item>,
    /// One step of comparing tables.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repair: Option<Repair>,
}

/// One step of comparing tables. An entry is named by the hashes of its key and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repair {
    /// Asks for the part of the table whose key hash is not below this.
    Page(u32),
    /// Answers `Page`: where the next page begins; none when this was the last.
    Next(Option<u32>),
    /// Asks for the hash of each bucket if the digests differ.
    Compare,
    /// Answers `Compare`.
    Buckets(Vec<u32>),
    /// Lists the sender's entries of a bucket with a key hash in `from..=to`.
    Brief {
        /// Bucket number.
        bucket: u32,
        /// Lowest key hash covered.
        from: u32,
        /// Highest key hash covered.
        to: u32,
        /// Hashes of key and state.
        entries: Vec<(u32, u32)>,
    },
    /// Answers `Brief`: key hashes of entries that the answering node lacks.
    Want(Vec<u32>),
}

/// What the shell has to send, each as one call.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Calls `member_probe`.
    Probe {
        /// Names the call in `answered` or `failed`.
        call: CallId,
        /// The rpc address called.
        to: SocketAddr,
        /// Content.
        message: Message,
    },
    /// Calls `member_relay` at `via`, which calls `member_probe` at `target` and returns the
    /// answer unchanged.
    Relay {
        /// Names the call in `answered` or `failed`.
        call: CallId,
        /// The rpc address called.
        via: SocketAddr,
        /// The member that is probed.
        target: NodeName,
        /// Its rpc address.
        address: SocketAddr,
        /// Content for the target.
        message: Message,
    },
    /// Calls `member_push`; handled as a probe by the receiver.
    Push {
        /// Names the call in `answered` or `failed`.
        call: CallId,
        /// The rpc address called.
        to: SocketAddr,
        /// Content.
        message: Message,
    },
}

impl Effect {
    /// Returns the call's number.
    #[must_use]
    pub const fn call(&self) -> CallId {
        match self {
            Self::Probe { call, .. } | Self::Relay { call, .. } | Self::Push { call, .. } => *call,
        }
    }
}
