//! Gossip between entries: the digests they exchange, and which of them are live.
//!
//! Each digest states everything that a peer needs, so a lost or duplicated one is harmless.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use cumin_types::{
    EndpointName, FencingToken, Incarnation, LogOffset, Millis, NodeName, Place, Revision, Service,
    WallMillis, score,
};
use serde::{Deserialize, Serialize};

use crate::engine::Demand;
use crate::learn::Fit;
use crate::quota::TakenUnits;
use crate::selection::{NodeLoad, SentPart};
use crate::suspects::StatedSuspect;
use crate::usage::Windows;

/// Orders the addresses that an entry's directory returns.
///
/// Load pattern: an answer holds fewer addresses than there are entries. If all directories left
/// out the same ones, those would get no callers; here each directory leaves out others.
pub fn spread_addresses(node: &NodeName, addresses: &mut [SocketAddr]) {
    addresses.sort_by_cached_key(|address| score(node.as_str().as_bytes(), &address.to_string()));
}

/// State that one entry sends to the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The sender.
    pub node: NodeName,
    /// Incarnation of the sender, which increases with each start.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Number of this digest within the incarnation.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Place of the sender.
    pub place: Place,
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether callers should use the sender.
    pub ready: bool,
    /// Revision of the document in force.
    pub revision: Revision,
    /// Wall-clock time at the sender.
    pub wall: WallMillis,
    /// Load of its requests, by endpoint.
    pub loads: Vec<(EndpointName, NodeLoad)>,
    /// Prompt parts that it sent to endpoints since its last digest.
    pub sent: Vec<SentPart>,
    /// Requests that began in the last usage windows.
    pub usage: Windows,
    /// Quota units that it has taken since its start.
    pub taken: TakenUnits,
    /// Requests suspected of crashing endpoints.
    pub suspects: Vec<StatedSuspect>,
    /// Fencing token of the lease that it holds, and the last known end of the lease stream.
    pub lease: Option<(FencingToken, LogOffset)>,
    /// Number of engines that its requests keep prefilling, by service.
    pub busy: Vec<(Service, f64)>,
}

/// State that follows the digest in its datagram. An older version reads the digest without it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Extension {
    /// Fits of the engines' models, by service.
    pub fits: Vec<(Service, Fit)>,
    /// Output tokens per millisecond of its requests, by service.
    pub output: Vec<(Service, f32)>,
    /// Age of the sender's copies of the store's streams; `None` before it has read them.
    pub store_age: Option<Millis>,
    /// Whether the sender reads the store for its place.
    pub reader: bool,
}

/// Time after its last digest until an entry no longer counts as live: six digests.
pub const LIVE_TIMEOUT: Millis = Millis(1500);

/// Time that a silent entry keeps its share of the quotas while most others are heard.
pub const SHARE_TIMEOUT: Millis = Millis(8000);

/// Time that a silent entry is still expected to return. A network partition may last as long; no
/// digests are sent to an address that was not confirmed for longer.
pub const EXPECTED_TIMEOUT: Millis = Millis(60_000);

/// Time that the clock of a silent entry is still used. Two clocks that are off by 100 parts in a
/// million diverge by 60 ms in it.
const CLOCK_TIMEOUT: Millis = Millis(600_000);

/// A peer and its last digest.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last digest.
    pub digest: Digest,
    /// What followed that digest.
    pub extension: Extension,
    /// Time at which the digest was received.
    pub heard: Millis,
}

/// How a received digest relates to the peer's previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DigestOrder {
    /// The first digest of a peer or of its new incarnation.
    New,
    /// A newer digest of the same incarnation.
    Next,
    /// An old or duplicate digest, which was ignored.
    Old,
}

/// The other entries that this node knows.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<NodeName, Peer>,
    /// Addresses to send digests to, with the time at which each was last confirmed.
    contacts: BTreeMap<IpAddr, Millis>,
}

/// Time without confirmation after which a contact is dropped.
const CONTACT_TTL: Millis = EXPECTED_TIMEOUT;

impl Peers {
    /// Processes a digest received from the address `from`.
    pub fn receive(
        &mut self,
        digest: Digest,
        extension: Extension,
        from: IpAddr,
        now: Millis,
    ) -> DigestOrder {
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
        let peer = Peer {
            digest,
            extension,
            heard: now,
        };
        self.peers.insert(node, peer);
        order
    }

    /// Adds an address at which an entry may be reached.
    pub fn add_contact(&mut self, address: IpAddr, now: Millis) {
        self.contacts.insert(address, now);
    }

    /// Returns the addresses to send digests to, dropping those that were not confirmed lately.
    pub fn contacts(&mut self, now: Millis) -> Vec<IpAddr> {
        self.contacts.retain(|_, at| now.since(*at) < CONTACT_TTL.0);
        self.contacts.keys().copied().collect()
    }

    /// Returns the live entries, without this one.
    pub fn live(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| now.since(peer.heard) < LIVE_TIMEOUT.0)
    }

    /// Returns the median difference of the entries' wall clocks to this one's, which reads `wall`,
    /// in milliseconds.
    ///
    /// Silent entries count too: their clocks go on. If only live ones counted, a partition would
    /// move the clocks of its sides apart, and the windows of their counts with them.
    #[must_use]
    pub fn clock_drift(&self, wall: WallMillis, now: Millis) -> i64 {
        let used = self
            .peers
            .values()
            .map(|peer| (peer, now.since(peer.heard)));
        let used = used.filter(|(_, silence)| *silence < CLOCK_TIMEOUT.0);
        let mut drifts: Vec<i64> = used
            .map(|(peer, silence)| {
                let theirs = peer.digest.wall.0.saturating_add(silence);
                theirs.cast_signed().saturating_sub(wall.0.cast_signed())
            })
            .chain([0])
            .collect();
        drifts.sort_unstable();
        drifts[drifts.len() / 2]
    }

    /// Returns the other entries that hold a share of the quotas.
    ///
    /// A silent entry is dropped only while at least as many other entries are heard as are silent:
    /// in a network partition, the smaller side must not take over the share of the larger one.
    #[must_use]
    pub fn sharing(&self, now: Millis) -> Vec<NodeName> {
        let heard = self.live(now).count() + 1;
        let silent = self.peers.len() + 1 - heard;
        let keep = |peer: &Peer| heard <= silent || now.since(peer.heard) < SHARE_TIMEOUT.0;
        let kept = self.peers.iter().filter(|(_, peer)| keep(peer));
        kept.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the demand for engines of a service that the live peers state.
    #[must_use]
    pub fn demand(&self, service: &Service, now: Millis) -> Demand {
        fn stated<T: Copy + Default>(values: &[(Service, T)], service: &Service) -> T {
            let found = values.iter().find(|(name, _)| name == service);
            found.map(|(_, value)| *value).unwrap_or_default()
        }
        let demands = self.live(now).map(|peer| Demand {
            prefilling: stated(&peer.digest.busy, service),
            output_rate: f64::from(stated(&peer.extension.output, service)),
        });
        demands.fold(Demand::default(), Demand::plus)
    }

    /// Returns the live peer that states it holds the lease; if several do, the one with the newest
    /// token.
    #[must_use]
    pub fn holder(&self, now: Millis) -> Option<&Peer> {
        self.live(now)
            .filter(|peer| peer.digest.lease.is_some())
            .max_by_key(|peer| peer.digest.lease)
    }
}
