//! Digests between nodes, by datagram.
//!
//! A digest is sent to every node a few times a second and answers nothing, so it needs no
//! connection and no reply: jsonrpsee, which calls between nodes use elsewhere, would add both.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use bytes::Bytes;
use cumin_entry::peer::{Digest, DigestOrder};
use cumin_entry::platform::{Page, Stream};
use cumin_types::Millis;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::feed;
use crate::node::{Node, Phase, signed};
use crate::request::seconds;

/// Time between digests, for each node that they go to: loads that requests are placed by are
/// this old, and the messages of a node stay below 100 a second up to this bound.
const PERIOD_PER_NODE: u64 = 25;
const PERIOD_LEAST: u64 = 100;
const PERIOD_MOST: u64 = 250;

/// Largest datagram that is read.
const DATAGRAM: usize = 64 * 1024;

/// What a node writes of itself to the store, for nodes that start later.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// Address for other nodes.
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

/// Sends digests for ever.
pub(crate) async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let now = node.now();
    for seed in &node.settings.seeds {
        node.peers.borrow_mut().add_contact(*seed, now);
    }
    let mut number = 0;
    loop {
        tokio::select! {
            () = tokio::time::sleep(period(&node).duration()) => {}
            () = stops(&node, number) => {}
        }
        number += 1;
        share(&node);
        let digest = digest(&node, number);
        let text = match postcard::to_stdvec(&digest) {
            Ok(text) => text,
            Err(error) => {
                log::error!("event=digest_unwritten error={error}");
                continue;
            }
        };
        let contacts = node.peers.borrow_mut().contacts(node.now());
        for contact in contacts {
            if contact == node.settings.address {
                continue;
            }
            let to = SocketAddr::new(contact, node.settings.base_port);
            if let Err(error) = socket.send_to(&text, to).await {
                log::debug!("event=digest_unsent to={to} error={error}");
            }
        }
    }
}

fn period(node: &Node) -> Millis {
    let nodes = node.peers.borrow().live(node.now()).count() as u64 + 1;
    Millis((PERIOD_PER_NODE * nodes).clamp(PERIOD_LEAST, PERIOD_MOST))
}

/// Ends when the node starts to stop, so that its peers hear of it at once.
async fn stops(node: &Node, number: u64) {
    loop {
        let changed = node.stopped.notified();
        if let Phase::Stopping(stop) = node.phase.get()
            && number > 0
            && node.now().since(stop.since) < 2
        {
            // One digest right after the signal; the next ones at the usual pace.
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            return;
        }
        changed.await;
    }
}

fn digest(node: &Node, number: u64) -> Digest {
    let now = node.now();
    let mut placement = node.placement.borrow_mut();
    Digest {
        node: node.settings.node.clone(),
        incarnation: node.life,
        sequence: number,
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
        loads: placement.own_loads(),
        sent: placement.take_sent_parts(),
        usage: node.usage.borrow().own().clone(),
        taken: node.quotas.borrow().taken().clone(),
        suspects: node.suspects.borrow().stated(now),
        lease: node.lease.get(),
        busy: placement.demand(now).into_iter().collect(),
    }
}

/// Takes how many nodes share the quotas and corrects the time of day.
fn share(node: &Node) {
    let now = node.now();
    let peers = node.peers.borrow();
    let nodes = count(peers.sharing(now).len() + 1);
    let heard = count(peers.live(now).count() + 1);
    node.quotas
        .borrow_mut()
        .set_nodes(nodes, heard, period(node), now);
    let placing = peers.live(now).count() + 1;
    node.placement.borrow_mut().set_nodes(placing);
    let own = signed(node.steady_wall().0);
    let mut drifts: Vec<i64> = peers
        .live(now)
        .map(|peer| signed(peer.digest.wall.0) + signed(now.since(peer.heard)) - own)
        .chain([0])
        .collect();
    drifts.sort_unstable();
    node.drift.set(drifts[drifts.len() / 2]);
    node.usage.borrow_mut().trim(node.window());
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

/// Takes digests for ever.
pub(crate) async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=digest_unread error={error}");
                tokio::time::sleep(Millis(PERIOD_MOST).duration()).await;
                continue;
            }
        };
        match postcard::from_bytes::<Digest>(&buffer[..length]) {
            Ok(digest) if digest.node != node.settings.node => hear(&node, &digest, from.ip()),
            Ok(_) => {}
            Err(error) => log::warn!("event=digest_unreadable from={from} error={error}"),
        }
    }
}

fn hear(node: &Node, digest: &Digest, from: IpAddr) {
    let now = node.now();
    let mut peers = node.peers.borrow_mut();
    let before = peers.live(now).count();
    let heard = peers.receive(digest.clone(), from, now);
    if heard == DigestOrder::Old {
        return;
    }
    if heard == DigestOrder::New {
        log::info!(
            "event=peer node={} life={} address={from} state=heard live={}",
            digest.node,
            digest.incarnation,
            before + 1
        );
    }
    drop(peers);
    node.usage
        .borrow_mut()
        .merge(&digest.node, digest.incarnation, &digest.usage);
    node.suspects.borrow_mut().merge_peer(&digest.suspects, now);
    node.quotas
        .borrow_mut()
        .merge_peer(&digest.node, digest.incarnation, &digest.taken, now);
    let memory = node.table().map_or(0, |table| {
        let services = table.document().services.iter();
        let memories = services.filter_map(|spec| Some(spec.engine.as_ref()?.memory_tokens));
        memories.max().unwrap_or(0)
    });
    node.placement.borrow_mut().merge_peer(
        digest.node.as_str(),
        &digest.loads,
        &digest.sent,
        memory,
        now,
    );
}

/// Writes this node to the store, then learns of the others there, again and again.
///
/// A node lists after its own record is acknowledged, so of any two nodes one learns of the
/// other, whose digests the other then hears.
pub(crate) async fn introduce(node: Rc<Node>) {
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
        feed::count(&node, Stream::Entries, "append", &appended);
        if appended.is_ok() {
            break;
        }
        tokio::time::sleep(INTRODUCE_AGAIN.duration()).await;
    }
    loop {
        let listed = store.newest(Stream::Entries).await;
        feed::count(&node, Stream::Entries, "newest", &listed);
        let pause = match listed {
            Ok(page) => {
                learn(&node, &page);
                LIST_AGAIN
            }
            Err(_) => INTRODUCE_AGAIN,
        };
        tokio::time::sleep(pause.duration()).await;
    }
}

fn learn(node: &Node, page: &Page) {
    let now = node.now();
    for record in &page.records {
        let Some(value) = &record.value else { continue };
        match serde_json::from_slice::<Entry>(value) {
            Ok(entry) => node.peers.borrow_mut().add_contact(entry.address, now),
            Err(error) => log::warn!("event=entry_unreadable key={:?} error={error}", record.key),
        }
    }
}

/// Time between two listings of the nodes, which find those that never heard of each other.
const LIST_AGAIN: Millis = Millis(20_000);

/// Pause after a failed introduction.
const INTRODUCE_AGAIN: Millis = Millis(300);

/// Sets the gauges that are read with the metrics.
pub(crate) fn gauge(node: &Node) {
    let now = node.now();
    let metrics = &node.metrics;
    let age = |age: Option<u64>| age.map_or(f64::NAN, seconds);
    metrics.document_age.set(age(node.document.get().age(now)));
    metrics.registry_age.set(age(node.registry.get().age(now)));
    let token = node.lease.get().map_or(0, |(token, _)| token.0);
    metrics.lease.set(signed(token));
    let endpoints = node.fleet.borrow().all().count();
    metrics
        .endpoints
        .set(i64::try_from(endpoints).unwrap_or(i64::MAX));
    let peers = node.peers.borrow().live(now).count();
    metrics.peers.set(i64::try_from(peers).unwrap_or(i64::MAX));
}
