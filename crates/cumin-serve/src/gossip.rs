//! Gossip between nodes: digests in UDP datagrams.
//!
//! A digest is sent to every node several times a second and is not acknowledged, so it needs
//! neither connections nor replies. jsonrpsee, which `cumin-node` uses between nodes, would add
//! both.

mod rounds;

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use bytes::Bytes;
use cumin_entry::era::{Era, StatedEra};
use cumin_entry::leaving::StatedLeaving;
use cumin_entry::limits::StatedLimit;
use cumin_entry::outage::StatedSpan;
use cumin_entry::peer::{Digest, DigestOrder, Extension};
use cumin_entry::platform::{Page, Stream};
use cumin_entry::relay::Proof;
use cumin_entry::rollout::Stated;
use cumin_entry::selection::Placement;
use cumin_entry::suspects::StatedPart;
use cumin_entry::usage;
use cumin_entry::waiting::StatedPressure;
use cumin_types::Millis;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

pub(crate) use self::rounds::send;
use crate::crash;
use crate::era;
use crate::feed;
use crate::leaving;
use crate::limit;
use crate::metrics::SpeedLabel;
use crate::node::{Node, Phase, saturating_i64};
use crate::request::seconds;
use crate::rollout;
use crate::waiting;

/// Time between two digests, multiplied by the number of nodes. The loads by which endpoints are
/// selected are up to this old; until the maximum is reached, a node sends fewer than 100 messages
/// a second.
const INTERVAL_PER_NODE_MS: u64 = 25;
const MIN_INTERVAL_MS: u64 = 100;
const MAX_INTERVAL_MS: u64 = 250;

/// One round of digests in this many states the counts of all kept usage windows.
const FULL_USAGE_PERIOD: u64 = 4;

/// Time within which a digest of an older version, which does not state its usage window, is taken
/// to arrive.
const MAX_DIGEST_DELAY: Millis = Millis(500);

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Record by which a node announces itself in the store, for nodes that start later.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// Address for traffic between nodes.
    address: IpAddr,
}

/// Binds the socket for digests.
pub(crate) async fn bind(node: &Node) -> std::io::Result<UdpSocket> {
    UdpSocket::bind(SocketAddr::new(
        node.settings.address,
        node.settings.base_port,
    ))
    .await
}

/// Content of a datagram. Each field was added later than the one before it.
struct Message {
    digest: Digest,
    extension: Extension,
    parts: Vec<StatedPart>,
    limits: Vec<StatedLimit>,
    reads: Option<StatedSpan>,
    leaving: Vec<StatedLeaving>,
    era: Option<StatedEra>,
    /// Usage windows that the digest states.
    span: Option<usage::StatedSpan>,
    placement: Placement,
    pressure: Vec<StatedPressure>,
    rollouts: Vec<Stated>,
}

impl Message {
    fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let payload = postcard::to_stdvec(&self.digest)?;
        let payload = postcard::to_extend(&self.extension, payload)?;
        let payload = postcard::to_extend(&self.parts, payload)?;
        let payload = postcard::to_extend(&self.limits, payload)?;
        let payload = postcard::to_extend(&self.reads, payload)?;
        let payload = postcard::to_extend(&self.leaving, payload)?;
        let payload = postcard::to_extend(&self.era, payload)?;
        let payload = postcard::to_extend(&self.span, payload)?;
        let payload = postcard::to_extend(&self.placement, payload)?;
        let payload = postcard::to_extend(&self.pressure, payload)?;
        postcard::to_extend(&self.rollouts, payload)
    }

    /// Decodes a datagram; one of an older version lacks the last fields.
    fn decode(payload: &[u8]) -> Result<Self, postcard::Error> {
        let (digest, rest) = postcard::take_from_bytes(payload)?;
        let (extension, rest) = take_or_default(rest)?;
        let (parts, rest) = take_or_default(rest)?;
        let (limits, rest) = take_or_default(rest)?;
        let (reads, rest) = take_or_default(rest)?;
        let (leaving, rest) = take_or_default(rest)?;
        let (era, rest) = take_or_default(rest)?;
        let (span, rest) = take_or_default(rest)?;
        let (placement, rest) = take_or_default(rest)?;
        let (pressure, rest) = take_or_default(rest)?;
        let (rollouts, _) = take_or_default(rest)?;
        Ok(Self {
            digest,
            extension,
            parts,
            limits,
            reads,
            leaving,
            era,
            span,
            placement,
            pressure,
            rollouts,
        })
    }
}

/// Decodes a value, or returns the default if no bytes are left.
fn take_or_default<T: Default + DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

fn own_extension(node: &Node) -> Extension {
    let selector = node.selector.borrow();
    let demand = selector.demand(node.now()).into_iter();
    #[expect(clippy::cast_possible_truncation, reason = "digests carry few digits")]
    let output = demand.map(|(service, demand)| (service, demand.output_rate as f32));
    Extension {
        fits: selector.own_fits(node.now()),
        output: output.collect(),
        store_age: node.store_age(),
        reader: node.reader.get(),
    }
}

fn digest_interval(node: &Node) -> Millis {
    let nodes = node.peers.borrow().live(node.now()).count() as u64 + 1;
    Millis((INTERVAL_PER_NODE_MS * nodes).clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
}

/// Returns the digest of this node and the usage windows that it states.
fn own_digest(node: &Node, sequence: u64, round: u64) -> (Digest, usage::StatedSpan) {
    let now = node.now();
    let full = round.is_multiple_of(FULL_USAGE_PERIOD);
    let stopping = matches!(node.phase.get(), Phase::Stopping(_));
    let usage = node.usage.borrow();
    let (windows, span) = usage.stated(node.usage_window(), full, stopping);
    drop(usage);
    let selector = node.selector.borrow();
    let digest = Digest {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
        sequence,
        place: node.settings.place.clone(),
        address: node
            .settings
            .caller_address
            .unwrap_or(SocketAddr::new(node.settings.address, 0)),
        ready: node.ready(),
        revision: node
            .table()
            .map(|table| table.document().revision)
            .unwrap_or_default(),
        wall: node.steady_wall(),
        loads: selector.own_loads(),
        sent: Vec::new(),
        usage: windows,
        taken: node.quotas.borrow().taken().clone(),
        suspects: Vec::new(),
        lease: node.lease.get(),
        busy: selector
            .demand(now)
            .into_iter()
            .map(|(service, demand)| (service, demand.prefilling))
            .collect(),
    };
    (digest, span)
}

/// Applies the number of live peers to quotas and selection, and the wall clocks of all to the drift.
fn update_from_peers(node: &Node) {
    let now = node.now();
    let peers = node.peers.borrow();
    let sharing = saturating_u32(peers.sharing(now).len() + 1);
    let heard = saturating_u32(peers.live(now).count() + 1);
    node.quotas
        .borrow_mut()
        .set_nodes(sharing, heard, digest_interval(node), now);
    node.limits
        .borrow_mut()
        .set_nodes(sharing, heard, digest_interval(node), now);
    let live = peers.live(now).count() + 1;
    let mut selector = node.selector.borrow_mut();
    selector.set_nodes(live);
    selector.combine_fits(now);
    selector.combine_speeds(&node.fleet.borrow(), now);
    drop(selector);
    node.drift_ms
        .set(peers.clock_drift(node.steady_wall(), now));
    let bounds = node.bounds.get();
    let mut usage = node.usage.borrow_mut();
    usage.set_times(bounds.usage_window, bounds.usage_due);
    usage.trim(node.usage_window(), now);
    drop(usage);
    node.stamps.borrow_mut().trim(&peers, now);
}

fn saturating_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Receives the digests of other nodes; does not return.
pub(crate) async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=digest_unread error={error}");
                tokio::time::sleep(Millis(MAX_INTERVAL_MS).duration()).await;
                continue;
            }
        };
        match Message::decode(&buffer[..length]) {
            Ok(message) if message.digest.node != node.settings.node => {
                merge(&node, &message, from.ip());
            }
            Ok(_) => {}
            Err(error) => log::warn!("event=digest_unreadable from={from} error={error}"),
        }
    }
}

fn merge(node: &Rc<Node>, message: &Message, from: IpAddr) {
    let Message {
        digest,
        extension,
        parts,
        limits,
        reads,
        leaving: stated_leaving,
        era: stated_era,
        span,
        placement,
        pressure,
        rollouts,
    } = message;
    let now = node.now();
    let mut peers = node.peers.borrow_mut();
    let live_before = peers.live(now).count();
    let order = peers.receive(digest.clone(), extension.clone(), from, now);
    if order == DigestOrder::Old {
        return;
    }
    if order == DigestOrder::New {
        log::info!(
            "event=peer node={} life={} address={from} state=heard live={}",
            digest.node,
            digest.incarnation,
            live_before + 1
        );
    }
    drop(peers);
    if let Some(span) = reads {
        feed::peer_reads(node, &digest.node, *span);
    }
    let proof = Proof {
        incarnation: digest.incarnation,
        wall: digest.wall,
    };
    node.stamps.borrow_mut().heard(&digest.node, proof, now);
    let span = span.unwrap_or_else(|| {
        let bounds = node.bounds.get();
        let sent = node.wall().0.saturating_sub(MAX_DIGEST_DELAY.0);
        usage::StatedSpan::assumed(sent / bounds.usage_window.0.max(1))
    });
    let author = (&digest.node, digest.incarnation);
    node.usage
        .borrow_mut()
        .merge(author, &digest.usage, span, now);
    if !(digest.suspects.is_empty() && parts.is_empty()) {
        let mut suspects = node.suspects.borrow_mut();
        suspects.merge_peer(&digest.suspects, parts, now);
        drop(suspects);
        crash::review(node);
    }
    node.quotas
        .borrow_mut()
        .merge_peer(&digest.node, digest.incarnation, &digest.taken, now);
    limit::merge_peer(node, digest, limits);
    leaving::merge_peer(node, &digest.node, stated_leaving);
    era::merge_peer(node, digest, *stated_era);
    if !rollouts.is_empty() {
        let mut own = node.rollouts.borrow_mut();
        own.merge_peer(&digest.node, digest.incarnation, rollouts, now);
        drop(own);
        rollout::log_events(node);
    }
    let max_memory = node.table().map_or(0, |table| {
        let services = table.document().services.iter();
        let memories = services.filter_map(|spec| Some(spec.engine.as_ref()?.memory_tokens));
        memories.max().unwrap_or(0)
    });
    let mut selector = node.selector.borrow_mut();
    let name = digest.node.as_str();
    selector.merge_peer(name, &digest.loads, &digest.sent, max_memory, now);
    selector.merge_fits(name, &extension.fits, now);
    selector.merge_placement(name, &digest.loads, placement, now);
    drop(selector);
    node.waiting.merge_peer(&digest.node, pressure, now);
}

/// Announces this node in the store, then lists the other nodes periodically; does not return.
///
/// A node lists the others after its own record was acknowledged. Of any two nodes, at least one
/// therefore finds the other, which learns of it from its digests.
pub(crate) async fn announce(node: Rc<Node>) {
    let entry = Entry {
        address: node.settings.address,
    };
    let value = match serde_json::to_vec(&entry) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            log::error!("event=entry_unwritten error={error}");
            return;
        }
    };
    let store = &node.platform.store;
    let name = node.settings.node.as_str();
    loop {
        let appended = store
            .append(Stream::Entries, Some(name), value.clone(), None)
            .await;
        feed::count_call(&node, Stream::Entries, "append", &appended);
        match era::checked(&node, appended) {
            // A restored store may have lost the record, so it is written again.
            Ok(appended) => list_others(&node, appended.era).await,
            Err(_) => tokio::time::sleep(ANNOUNCE_RETRY_PAUSE.duration()).await,
        }
    }
}

/// Lists the other nodes periodically, and returns when the era of the store is another one.
async fn list_others(node: &Rc<Node>, era: Era) {
    while node.eras.get().newest() == era {
        let listed = node.platform.store.newest(Stream::Entries).await;
        feed::count_call(node, Stream::Entries, "newest", &listed);
        let pause = match era::checked(node, listed) {
            Ok(page) => {
                add_contacts(node, &page);
                list_interval(node)
            }
            Err(error) => {
                log::warn!("event=entries_unlisted error={error}");
                ANNOUNCE_RETRY_PAUSE
            }
        };
        if node.eras.get().newest() == era {
            tokio::select! {
                () = tokio::time::sleep(pause.duration()) => {}
                () = node.era_notify.notified() => {}
            }
        }
    }
}

fn add_contacts(node: &Node, page: &Page) {
    let now = node.now();
    for record in &page.records {
        let Some(value) = &record.value else { continue };
        match serde_json::from_slice::<Entry>(value) {
            Ok(entry) => node.peers.borrow_mut().add_contact(entry.address, now),
            Err(error) => log::warn!("event=entry_unreadable key={:?} error={error}", record.key),
        }
    }
}

/// Returns the time between two listings of the nodes, which find nodes that never received a
/// digest of each other. All nodes together list them about once a second.
fn list_interval(node: &Node) -> Millis {
    let nodes = node.peers.borrow().live(node.now()).count() as u64 + 1;
    Millis((LIST_INTERVAL_PER_NODE_MS * nodes).max(MIN_LIST_INTERVAL_MS))
}

const LIST_INTERVAL_PER_NODE_MS: u64 = 1000;
const MIN_LIST_INTERVAL_MS: u64 = 20_000;

/// Pause after a failed announcement or listing.
const ANNOUNCE_RETRY_PAUSE: Millis = Millis(300);

/// States the least, median and greatest factor; one label an endpoint would have no bound.
fn set_time_factors(node: &Node) {
    let (fleet, selector) = (node.fleet.borrow(), node.selector.borrow());
    let mut factors: Vec<f64> = fleet
        .all()
        .map(|endpoint| selector.time_factor(endpoint))
        .collect();
    factors.sort_by(f64::total_cmp);
    let ranks = [
        ("least", 0),
        ("median", factors.len() / 2),
        ("greatest", factors.len().saturating_sub(1)),
    ];
    for (rank, index) in ranks {
        let factor = factors.get(index).copied().unwrap_or(f64::NAN);
        let gauge = node.metrics.time_factor.get_or_create(&SpeedLabel { rank });
        gauge.set(factor);
    }
}

/// Updates the gauges before the metrics are read.
pub(crate) fn update_gauges(node: &Node) {
    let now = node.now();
    let metrics = &node.metrics;
    let age_seconds = |age_ms: Option<u64>| age_ms.map_or(f64::NAN, seconds);
    metrics
        .document_age
        .set(age_seconds(node.documents.freshness.get().age_ms(now)));
    metrics
        .registry_age
        .set(age_seconds(node.registrations.freshness.get().age_ms(now)));
    let token = node.lease.get().map_or(0, |(token, _)| token.0);
    metrics.lease_token.set(saturating_i64(token));
    set_time_factors(node);
    let endpoints = node.fleet.borrow().all().count();
    metrics
        .endpoints
        .set(i64::try_from(endpoints).unwrap_or(i64::MAX));
    let peers = node.peers.borrow().live(now).count();
    metrics.peers.set(i64::try_from(peers).unwrap_or(i64::MAX));
    let suspects = node.suspects.borrow();
    let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    metrics.suspects.set(number(suspects.count(now)));
    let quarantined = suspects.quarantined().len();
    metrics.quarantined.set(number(quarantined));
    let rollouts = node.rollouts.borrow().running();
    metrics.rollouts.set(number(rollouts));
    metrics.limited.set(number(node.limits.borrow().count()));
    let paused = node.limits.borrow().waiting(now);
    metrics.waiting.set(number(paused));
    let leaving = node.fleet.borrow().leaving_count();
    metrics.leaving.set(number(leaving));
    let memory = node.memory.borrow();
    metrics.held_bytes.set(number(memory.held()));
    metrics.held_limit.set(number(memory.total()));
    waiting::update_gauges(node);
}
