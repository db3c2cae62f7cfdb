//! Sends pages of the store to the other nodes of a place, in UDP datagrams, and applies received
//! ones.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use cumin_entry::era::Era;
use cumin_entry::platform::{Page, Stream};
use cumin_entry::relay::{PageFit, Proof, RelayedPage, RelayedRecord};
use cumin_entry::settings::Settings;
use cumin_types::{Millis, WallMillis};
use tokio::net::UdpSocket;

use crate::era;
use crate::feed;
use crate::node::{Node, saturating_i64, saturating_u64};

/// Offset of the port for pages from the first internal port. Digests use that port, and metrics
/// the one after it.
const PORT_OFFSET: u16 = 2;

/// Maximum size of a datagram; larger pages are relayed without their records.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Pause after a failed receive.
const RECEIVE_PAUSE: Millis = Millis(250);

/// Binds the socket for pages.
pub(crate) async fn bind(settings: &Settings) -> Result<UdpSocket, (SocketAddr, io::Error)> {
    let address = SocketAddr::new(settings.address, settings.base_port + PORT_OFFSET);
    let socket = UdpSocket::bind(address).await;
    socket.map_err(|error| (address, error))
}

/// Returns whether this node reads the store for its place, and logs changes.
pub(crate) fn is_reader(node: &Node) -> bool {
    let now = node.now();
    let peers = node.peers.borrow();
    let settings = &node.settings;
    let age = node.store_age();
    let reader = cumin_entry::relay::is_reader(&settings.node, &settings.place, age, &peers, now);
    if reader != node.reader.replace(reader) {
        log::info!(
            "event=store_reader reader={reader} place={} age_ms={} peers={}",
            settings.place,
            age.unwrap_or_default(),
            peers.live(now).count()
        );
    }
    reader
}

/// Sends a page to the other nodes of the place, with the proof of its age for each.
pub(crate) async fn send(node: &Node, page: RelayedPage, as_of: Millis) {
    let now = node.now();
    let era = page.era;
    let payload = match encode(page) {
        Ok(payload) => payload,
        Err(error) => {
            log::error!("event=page_unwritten error={error}");
            return;
        }
    };
    let receivers: Vec<(IpAddr, Proof)> = {
        let peers = node.peers.borrow();
        let stamps = node.stamps.borrow();
        let in_place = peers
            .live(now)
            .filter(|peer| peer.digest.place == node.settings.place);
        let with_proof = in_place.filter_map(|peer| {
            let proof = stamps.proof(&peer.digest.node, as_of)?;
            Some((peer.digest.address.ip(), proof))
        });
        with_proof.collect()
    };
    let port = node.settings.base_port + PORT_OFFSET;
    for (address, proof) in receivers {
        let datagram = match postcard::to_extend(&proof, payload.clone())
            .and_then(|datagram| extend_era(era, datagram))
        {
            Ok(datagram) => datagram,
            Err(error) => {
                log::error!("event=page_unwritten error={error}");
                return;
            }
        };
        let to = SocketAddr::new(address, port);
        if let Err(error) = node.page_socket.send_to(&datagram, to).await {
            log::debug!("event=page_unsent to={to} error={error}");
        }
    }
}

fn encode(mut page: RelayedPage) -> Result<Vec<u8>, postcard::Error> {
    let payload = postcard::to_stdvec(&page)?;
    if payload.len() <= MAX_DATAGRAM_BYTES {
        return Ok(payload);
    }
    page.records.clear();
    page.partial = true;
    postcard::to_stdvec(&page)
}

/// Appends the era after the proof, where older versions do not read it; nothing in era zero.
fn extend_era(era: Era, datagram: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
    if era.is_unknown() {
        return Ok(datagram);
    }
    postcard::to_extend(&era, datagram)
}

fn decode(datagram: &[u8]) -> Result<(RelayedPage, Proof), postcard::Error> {
    let (mut page, rest): (RelayedPage, _) = postcard::take_from_bytes(datagram)?;
    let (proof, rest) = postcard::take_from_bytes(rest)?;
    if !rest.is_empty() {
        page.era = postcard::from_bytes(rest)?;
    }
    Ok((page, proof))
}

/// Receives pages; does not return.
pub(crate) async fn receive(node: Rc<Node>) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match node.page_socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=page_unread error={error}");
                tokio::time::sleep(RECEIVE_PAUSE.duration()).await;
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok((page, proof)) => apply(&node, page, proof),
            Err(error) => log::warn!("event=page_unreadable from={from} error={error}"),
        }
    }
}

/// Applies a relayed page, or asks this node's own reader to fill a gap.
fn apply(node: &Rc<Node>, page: RelayedPage, proof: Proof) {
    if proof.incarnation != node.incarnation {
        return;
    }
    let stream = page.stream();
    let feed = node.feed(stream);
    let fit = page.fit_in(feed.era.get(), feed.at.get());
    log::debug!(
        "event=relayed_page stream={stream} fit={fit:?} from={} end={} records={}",
        page.from,
        page.end,
        page.records.len()
    );
    match fit {
        PageFit::Old => return,
        PageFit::Gap => {
            feed.wanted.set(true);
            feed.notify.notify_one();
            return;
        }
        PageFit::Next => {}
    }
    let now = node.now();
    let state = feed.freshness.get();
    if let Some(since) = page.outage_end(state.lost_since) {
        let at = Millis(now.since(since));
        node.fleet.borrow_mut().store_regained(at);
    }
    if stream == Stream::Endpoints {
        node.registrations_read();
    }
    if let Some(since) = state.lost_since {
        log::info!(
            "event=dependency_regained name=store stream={stream} after_ms={} source=peer",
            now.since(since)
        );
    }
    feed.before.set(state.as_of);
    let relayed = Page {
        records: page
            .records
            .into_iter()
            .map(RelayedRecord::into_record)
            .collect(),
        end: page.end,
        era: page.era,
    };
    feed::apply_page(node, stream, relayed, false);
    let mut current = feed.freshness.get();
    let as_of = node.local_time(proof.wall).min(now);
    current.answered(as_of, era::proves(node, stream));
    feed.freshness.set(current);
    feed.notify.notify_one();
}

impl Node {
    /// Returns the time on the monotonic clock that a stated time of this incarnation stands for.
    fn local_time(&self, wall: WallMillis) -> Millis {
        Millis(saturating_u64(saturating_i64(wall.0) - self.origin_ms))
    }
}
