//! Members, their states and the order of records.

use std::net::SocketAddr;

use cumin_types::{Incarnation, NodeName, Place, Region};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A node as others address it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique in the cluster.
    pub name: NodeName,
    /// Its data centre.
    pub place: Place,
    /// The region of its place.
    pub region: Region,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where nodes connect.
    pub rpc: SocketAddr,
    /// Wall-clock milliseconds at the start, raised by each refutation.
    pub incarnation: Incarnation,
}

impl AsRef<str> for Member {
    fn as_ref(&self) -> &str {
        self.name.as_str()
    }
}

/// What is believed of one incarnation; a later variant overrides an earlier one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Answered neither directly nor through others; still counted as live.
    Suspect,
    /// Suspected for the whole suspicion time.
    Dead,
    /// Announced its end; answers until it stops.
    Leaving,
    /// Left and no longer answers.
    Left,
}

impl Status {
    /// Whether the member holds duties.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the member no longer answers.
    #[must_use]
    pub const fn is_gone(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

/// One statement about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Record {
    /// Who.
    pub member: Member,
    /// The incarnation at the start of its process, which refutations leave as it is.
    pub started: Incarnation,
    /// What is stated.
    pub status: Status,
}

/// An array instead of an object: a third fewer bytes for each record.
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
    /// A record overrides those with a lower key.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, Status) {
        (self.member.incarnation, self.status)
    }

    /// Length as JSON.
    pub(crate) fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(0, |text| text.len())
    }
}
