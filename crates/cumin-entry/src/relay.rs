//! Relays of what a few nodes read from the store to the other nodes of their place.
//!
//! Load pattern: if every node reads documents and registrations by itself, the calls to the store
//! grow with the number of nodes. Instead, one node of each place reads and sends each page to the
//! others there. A node whose copy becomes too old reads by itself, so a lost datagram or a lost
//! reader costs time, but nothing is believed beyond its bound.
//!
//! A page carries a proof of its age that needs no synchronised clocks and no assumption on the
//! network: the receiver's own time, as stated in its last digest that the reader had received
//! before it sent the read. The receiver may have been suspended, or the datagram delayed; its copy
//! is at least as new as that time.

use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

use cumin_types::{Incarnation, LogOffset, Millis, NodeName, Place, WallMillis, score};
use serde::{Deserialize, Serialize};

use crate::era::Era;
use crate::peer::Peers;
use crate::platform::{Record, Stream};

/// Age of its copies beyond which a node is not chosen as reader: it may have lost the store.
pub const MAX_READER_AGE: Millis = Millis(2500);

/// Maximum age of a copy at which a node reads by itself.
const MAX_SELF_READ_AGE: Millis = Millis(1200);

/// Returns the age of a copy at which a node reads by itself, if what the copy shows must be acted
/// on within `bound`.
///
/// Half of the bound is left for the read and for a repetition of it. Nodes differ a little, so that
/// the loss of a reader does not make all nodes of its place read at the same moment.
#[must_use]
pub fn self_read_age(node: &NodeName, bound: Millis) -> Millis {
    let age = MAX_SELF_READ_AGE.0.min(bound.0 / 2);
    let spread = score(b"self read", node.as_str()) % (age / 10).max(1);
    Millis(age - spread)
}

/// Returns whether this node reads the store for its place.
///
/// `age` is the age of its own copies; `None` before the first read. If no node of the place has
/// fresh copies, each is a reader.
#[must_use]
pub fn is_reader(
    node: &NodeName,
    place: &Place,
    age: Option<Millis>,
    peers: &Peers,
    now: Millis,
) -> bool {
    let weight = |name: &NodeName| score(place.as_str().as_bytes(), name.as_str());
    if age.is_none_or(|age| age > MAX_READER_AGE) {
        return true;
    }
    let own = weight(node);
    let others = peers.live(now).filter(|peer| {
        let stated = peer.extension.store_age;
        peer.digest.place == *place && stated.is_some_and(|age| age <= MAX_READER_AGE)
    });
    others
        .map(|peer| weight(&peer.digest.node))
        .all(|other| other < own)
}

/// Records and position of a page that is relayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayedPage {
    /// Whether the stream is that of the documents; otherwise it is that of the endpoints.
    pub documents: bool,
    /// Offset from which the page was read.
    pub from: LogOffset,
    /// Offset to continue from.
    pub end: LogOffset,
    /// The records that changed the reader's copy. Most registrations only repeat the last one.
    pub records: Vec<RelayedRecord>,
    /// Whether records that matter are missing because they take too many bytes.
    pub partial: bool,
    /// Time since the reader regained the store after an outage, if that is recent.
    pub regained: Option<Millis>,
    /// Era of the store to which the offsets belong. It follows the proof in the datagram, because
    /// older versions read the proof right after the page.
    #[serde(skip)]
    pub era: Era,
}

/// A record of a relayed page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelayedRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Key of the record.
    pub key: String,
    /// Content; `None` deletes the key.
    pub value: Option<Vec<u8>>,
}

impl RelayedRecord {
    /// Copies a record of the store; `None` for one without a key.
    #[must_use]
    pub fn from_record(record: &Record) -> Option<Self> {
        Some(Self {
            offset: record.offset,
            key: record.key.clone()?,
            value: record.value.as_ref().map(|value| value.to_vec()),
        })
    }

    /// Returns the record as the store holds it.
    #[must_use]
    pub fn into_record(self) -> Record {
        Record {
            offset: self.offset,
            key: Some(self.key),
            value: self.value.map(Into::into),
        }
    }
}

/// Proof of a page's age for one receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proof {
    /// Incarnation of the receiver that stated the time.
    pub incarnation: Incarnation,
    /// Time at the receiver that the reader knew before it sent the read.
    pub wall: WallMillis,
}

impl RelayedPage {
    /// Returns the stream of the page.
    #[must_use]
    pub const fn stream(&self) -> Stream {
        if self.documents {
            Stream::Document
        } else {
            Stream::Endpoints
        }
    }

    /// Returns the time since the end of an outage of the store, for a node that lost the store at
    /// `lost_since`.
    ///
    /// A reader that was suspended takes its own absence for an outage. Only a node that could not
    /// read either keeps endpoints whose registrations end.
    #[must_use]
    pub fn outage_end(&self, lost_since: Option<Millis>) -> Option<Millis> {
        self.regained.filter(|_| lost_since.is_some())
    }

    /// Returns what a node does with the page that has read up to `at` in the era `era`.
    ///
    /// Offsets of two eras are not compared: a node reads a new era by itself.
    #[must_use]
    pub fn fit_in(&self, era: Era, at: Option<LogOffset>) -> PageFit {
        match self.era.cmp(&era) {
            Ordering::Less => PageFit::Old,
            Ordering::Equal => self.fit(at),
            Ordering::Greater => PageFit::Gap,
        }
    }

    /// Returns what a node does with the page that has read up to `at`, in the same era.
    #[must_use]
    pub fn fit(&self, at: Option<LogOffset>) -> PageFit {
        match at {
            Some(at) if at > self.end => PageFit::Old,
            Some(at) if at >= self.from && (!self.partial || at == self.end) => PageFit::Next,
            _ => PageFit::Gap,
        }
    }
}

/// How a relayed page relates to what a node has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageFit {
    /// Its records from the node's offset on can be applied.
    Next,
    /// The node has read further.
    Old,
    /// Records in between are missing; the node must read by itself.
    Gap,
}

/// Times that peers stated, with the times at which they were heard.
#[derive(Debug, Default)]
pub struct Stamps {
    heard: BTreeMap<NodeName, VecDeque<(Millis, Proof)>>,
}

/// Stamps kept for each peer. A read that waits ends within the time of so many digests.
const MAX_STAMPS: usize = 16;

impl Stamps {
    /// Records a digest of a peer.
    pub fn heard(&mut self, node: &NodeName, proof: Proof, now: Millis) {
        let stamps = self.heard.entry(node.clone()).or_default();
        if stamps.len() >= MAX_STAMPS {
            stamps.pop_front();
        }
        stamps.push_back((now, proof));
    }

    /// Returns the newest stamp of a peer that was heard by `as_of`.
    #[must_use]
    pub fn proof(&self, node: &NodeName, as_of: Millis) -> Option<Proof> {
        let stamps = self.heard.get(node)?;
        let known = stamps.iter().rev().find(|(heard, _)| *heard <= as_of);
        known.map(|(_, proof)| *proof)
    }

    /// Drops peers that are not live.
    pub fn trim(&mut self, peers: &Peers, now: Millis) {
        let live: Vec<&NodeName> = peers.live(now).map(|peer| &peer.digest.node).collect();
        self.heard.retain(|node, _| live.contains(&node));
    }
}
