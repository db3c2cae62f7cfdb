//! Members, their status and the precedence of records.

use std::net::SocketAddr;

use cumin_types::{Incarnation, NodeName, Place, Region};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identity and addresses of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name in the cluster.
    pub name: NodeName,
    /// Data centre in which the node runs.
    pub place: Place,
    /// Region of the place.
    pub region: Region,
    /// Address to which callers connect.
    pub caller: SocketAddr,
    /// Address to which other nodes connect.
    pub rpc: SocketAddr,
    /// Wall clock in milliseconds at the start of the process, raised by each refutation.
    pub incarnation: Incarnation,
}

impl AsRef<str> for Member {
    fn as_ref(&self) -> &str {
        self.name.as_str()
    }
}

/// Status of one incarnation of a member; a later variant overrides an earlier one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Answered neither direct nor indirect probes; still counts as live.
    Suspect,
    /// Did not refute the suspicion within the suspicion time.
    Dead,
    /// Announced that it leaves; still answers until it stops.
    Leaving,
    /// Left, and no longer answers.
    Left,
}

impl Status {
    /// Returns whether duties may be assigned to the member.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Returns whether the member no longer answers.
    #[must_use]
    pub const fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

/// Status of a member, as gossiped between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Record {
    /// The member, with the incarnation to which the status applies.
    pub member: Member,
    /// Incarnation at the start of the member's process, which refutations do not change.
    pub started: Incarnation,
    /// Status of this incarnation.
    pub status: Status,
}

/// Serialised form of a record: an array takes a third fewer bytes than an object.
type Wire = (
    NodeName,
    Place,
    Region,
    SocketAddr,
    SocketAddr,
    Incarnation,
    Incarnation,
    Status,
);

impl From<Wire> for Record {
    fn from((name, place, region, caller, rpc, incarnation, started, status): Wire) -> Self {
        let member = Member {
            name,
            place,
            region,
            caller,
            rpc,
            incarnation,
        };
        Self {
            member,
            started,
            status,
        }
    }
}

impl From<Record> for Wire {
    fn from(
        Record {
            member,
            started,
            status,
        }: Record,
    ) -> Self {
        let Member {
            name,
            place,
            region,
            caller,
            rpc,
            incarnation,
        } = member;
        (
            name,
            place,
            region,
            caller,
            rpc,
            incarnation,
            started,
            status,
        )
    }
}

impl Record {
    /// Returns the sort key of records: a record overrides those with a lower one.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, Status) {
        (self.member.incarnation, self.status)
    }

    /// Returns the length as JSON.
    pub(crate) fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |text| text.len())
    }
}
