//! What entries tell each other, and who of them is there.
//!
//! A digest states all that a peer needs, so that losing one, or hearing one twice, is harmless.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use cumin_types::{
    EndpointName, FencingToken, Incarnation, LogOffset, Millis, NodeName, Place, Revision, Service,
    WallMillis,
};
use serde::{Deserialize, Serialize};

use crate::quota::TakenUnits;
use crate::selection::{PeerLoad, SentPart};
use crate::suspects::StatedSuspect;
use crate::usage::Windows;

/// What one entry tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The sender.
    pub node: NodeName,
    /// Its life; a restarted entry has a higher one.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Number of this digest within its life.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Its place.
    pub place: Place,
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether callers should use it.
    pub ready: bool,
    /// Revision in force.
    pub revision: Revision,
    /// Time of day at the sender.
    pub wall: WallMillis,
    /// Load of its own requests.
    pub loads: Vec<(EndpointName, PeerLoad)>,
    /// Parts that it sent to endpoints since its last digest.
    pub sent: Vec<SentPart>,
    /// Requests that began in the last windows.
    pub usage: Windows,
    /// Units of quotas that it has taken in its life.
    pub taken: TakenUnits,
    /// Requests that it suspects of crashing endpoints.
    pub suspects: Vec<StatedSuspect>,
    /// Token of the lease that it holds, and where the stream of leases ended then.
    pub lease: Option<(FencingToken, LogOffset)>,
    /// Engines that its requests keep busy, by service.
    pub busy: Vec<(Service, f64)>,
}

/// Entries that were heard within this time are there: six digests.
pub const LIVE_TIMEOUT: Millis = Millis(1500);

/// A silent entry keeps its share of quotas for this long, if most others are heard.
pub const SHARE_TIMEOUT: Millis = Millis(8000);

/// A peer as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last digest.
    pub digest: Digest,
    /// When it was heard.
    pub heard: Millis,
}

/// What a digest was to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestOrder {
    /// The first of a peer, or of its new life.
    New,
    /// The next one.
    Next,
    /// An old one; nothing was taken from it.
    Old,
}

/// The other entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<NodeName, Peer>,
    /// Addresses to send digests to, with the time when each was last learnt.
    contacts: BTreeMap<IpAddr, Millis>,
}

/// A contact that is not confirmed for this long is dropped.
const CONTACT_TTL: Millis = Millis(60_000);

impl Peers {
    /// Takes a digest from `from`.
    pub fn receive(&mut self, digest: Digest, from: IpAddr, now: Millis) -> DigestOrder {
        self.contacts.insert(from, now);
        let old = self.peers.get(&digest.node).map(|peer| &peer.digest);
        let order = match old {
            Some(old)
                if (old.incarnation, old.sequence) >= (digest.incarnation, digest.sequence) =>
            {
                return DigestOrder::Old;
            }
            Some(old) if old.incarnation == digest.incarnation => DigestOrder::Next,
            _ => DigestOrder::New,
        };
        let node = digest.node.clone();
        self.peers.insert(node, Peer { digest, heard: now });
        order
    }

    /// Notes an address at which an entry may be.
    pub fn add_contact(&mut self, address: IpAddr, now: Millis) {
        self.contacts.insert(address, now);
    }

    /// Returns where digests go.
    pub fn contacts(&mut self, now: Millis) -> Vec<IpAddr> {
        self.contacts.retain(|_, at| now.since(*at) < CONTACT_TTL.0);
        self.contacts.keys().copied().collect()
    }

    /// Returns the entries that are there, without this one.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| now.since(peer.heard) < LIVE_TIMEOUT.0)
    }

    /// Returns the entries that hold a share of quotas.
    ///
    /// A silent one is dropped only while at least as many others are heard as are silent:
    /// behind a cut, the smaller side must not take the share of the larger one.
    #[must_use]
    pub fn sharing(&self, now: Millis) -> Vec<NodeName> {
        let heard = self.live(now).count() + 1;
        let silent = self.peers.len() + 1 - heard;
        let keep = |peer: &Peer| heard <= silent || now.since(peer.heard) < SHARE_TIMEOUT.0;
        let kept = self.peers.iter().filter(|(_, peer)| keep(peer));
        kept.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the peer that says it holds the lease.
    #[must_use]
    pub fn holder(&self, now: Millis) -> Option<&Peer> {
        self.live(now)
            .filter(|peer| peer.digest.lease.is_some())
            .max_by_key(|peer| peer.digest.lease)
    }
}
