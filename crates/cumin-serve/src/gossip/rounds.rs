//! Rounds in which all nodes get a digest.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use cumin_entry::selection::{SentPart, StatedSpeed};
use cumin_types::{Millis, score};
use tokio::net::UdpSocket;

use super::{
    MIN_INTERVAL_MS, Message, digest_interval, own_digest, own_extension, update_from_peers,
};
use crate::crash;
use crate::era;
use crate::node::{Node, Phase};
use crate::rollout;

/// Number of nodes that get a digest at the same time.
const GROUP_SIZE: usize = 4;

/// One round in this many states all suspects, the others only those with news: most digests would
/// otherwise consist of suspects that every node knows.
const FULL_SUSPECTS_PERIOD: u64 = 4;

/// One round in this many is preceded by a log line on each roll-out that goes on.
const SUMMARY_PERIOD: u64 = 8;

/// Maximum number of sent parts that wait for the next digest to a group.
const MAX_UNSENT_PARTS: usize = 64;

/// Sends digests to all known nodes; does not return.
///
/// Load pattern: many nodes with slow links. A digest to all of them at once occupies the link for
/// longer than a request takes, and what callers send and get waits behind it. The nodes are
/// therefore divided into groups that get their digests one after the other, each with current
/// content. Only the one that announces a stop goes to all groups at once.
pub(crate) async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let now = node.now();
    for seed in &node.settings.seeds {
        node.peers.borrow_mut().add_contact(*seed, now);
    }
    let mut rounds = Rounds::new(&node);
    let mut at_once = false;
    let mut hurried: usize = 0;
    'rounds: loop {
        update_from_peers(&node);
        crash::review(&node);
        rollout::review(&node, rounds.round.is_multiple_of(SUMMARY_PERIOD));
        let contacts = other_contacts(&node);
        let groups: Vec<&[IpAddr]> = contacts.chunks(GROUP_SIZE).collect();
        let steps = (groups.len() as u64).max(1);
        let interval = digest_interval(&node);
        rounds.begin(&node, groups.len());
        for (index, group) in groups.iter().enumerate() {
            if let Some(payload) = rounds.payload(&node, index) {
                send_to(&node, &socket, &payload, group).await;
            }
            if at_once {
                continue;
            }
            let time = if hurried > 0 {
                MIN_INTERVAL_MS.min(interval.0)
            } else {
                interval.0
            };
            hurried = hurried.saturating_sub(1);
            let step = Millis((time / steps).max(1));
            match wait(&node, step, rounds.round, hurried == 0).await {
                Wake::Due => {}
                Wake::LargePrompt => hurried = groups.len(),
                Wake::Stop => {
                    at_once = true;
                    continue 'rounds;
                }
            }
        }
        let is_pause = at_once || groups.is_empty();
        at_once = is_pause && wait(&node, interval, rounds.round, false).await == Wake::Stop;
    }
}

/// Progress of the rounds in which all groups of nodes get a digest.
struct Rounds {
    round: u64,
    /// Number of the last digest.
    sequence: u64,
    /// Offset of this node's rounds with all suspects, so that nodes which start together do not
    /// send their largest digests together.
    offset: u64,
    /// Prompt parts that were sent to endpoints and not yet stated, by group.
    unsent: Vec<Vec<SentPart>>,
    /// Speeds of endpoints that all digests of the round state.
    speeds: Vec<StatedSpeed>,
}

impl Rounds {
    fn new(node: &Node) -> Self {
        let name = node.settings.node.as_str();
        Self {
            round: 0,
            sequence: 0,
            offset: score(name.as_bytes(), "suspects") % FULL_SUSPECTS_PERIOD,
            unsent: Vec::new(),
            speeds: Vec::new(),
        }
    }

    fn begin(&mut self, node: &Node, groups: usize) {
        self.round += 1;
        self.speeds = node.selector.borrow_mut().next_speeds(node.now());
        self.unsent.resize(groups, Vec::new());
    }

    /// Returns the next digest for a group; `None` if it cannot be encoded.
    fn payload(&mut self, node: &Node, group: usize) -> Option<Vec<u8>> {
        self.sequence += 1;
        let sent = node.selector.borrow_mut().take_sent_parts();
        for list in &mut self.unsent {
            let room = MAX_UNSENT_PARTS.saturating_sub(list.len());
            list.extend(sent.iter().take(room).cloned());
        }
        let unsent = self.unsent.get_mut(group).map(std::mem::take);
        let full = (self.round + self.offset).is_multiple_of(FULL_SUSPECTS_PERIOD);
        let (mut digest, span) = own_digest(node, self.sequence, self.round);
        digest.sent = unsent.unwrap_or_default();
        let stated = {
            let suspects = node.suspects.borrow();
            let now = node.now();
            if full {
                suspects.stated(now)
            } else {
                suspects.news(now)
            }
        };
        digest.suspects = stated.requests;
        let message = Message {
            digest,
            extension: own_extension(node),
            parts: stated.parts,
            limits: node.limits.borrow().stated(node.now()),
            reads: node.reads.get().span().map(|span| span.stated(node.now())),
            leaving: node.fleet.borrow().stated_leaving(node.now()),
            era: era::stated(node),
            span: Some(span),
            placement: node
                .selector
                .borrow_mut()
                .own_placement(self.speeds.clone(), node.now()),
            pressure: node.waiting.stated(),
            rollouts: node.rollouts.borrow().stated(node.now()),
        };
        match message.encode() {
            Ok(payload) => Some(payload),
            Err(error) => {
                log::error!("event=digest_unwritten error={error}");
                None
            }
        }
    }
}

/// Returns the addresses to send digests to.
fn other_contacts(node: &Node) -> Vec<IpAddr> {
    let mut contacts = node.peers.borrow_mut().contacts(node.now());
    contacts.retain(|contact| *contact != node.settings.address);
    contacts
}

async fn send_to(node: &Node, socket: &UdpSocket, payload: &[u8], group: &[IpAddr]) {
    for contact in group {
        let to = SocketAddr::new(*contact, node.settings.base_port);
        if let Err(error) = socket.send_to(payload, to).await {
            log::debug!("event=digest_unsent to={to} error={error}");
        }
    }
}

/// Why the next digest is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wake {
    /// It is due.
    Due,
    /// A large prompt was sent, of which each group should learn within the minimum interval.
    LargePrompt,
    /// A graceful stop begins, of which all nodes should learn at once.
    Stop,
}

async fn wait(node: &Node, time: Millis, round: u64, early: bool) -> Wake {
    tokio::select! {
        () = tokio::time::sleep(time.duration()) => Wake::Due,
        () = stop_begins(node, round) => Wake::Stop,
        () = node.urgent_notify.notified(), if early => Wake::LargePrompt,
    }
}

/// Completes when a graceful stop begins, so that peers learn of it at once.
async fn stop_begins(node: &Node, round: u64) {
    loop {
        let changed = node.stop_notify.notified();
        if let Phase::Stopping(stop) = node.phase.get()
            && round > 0
            && node.now().since(stop.since) < 2
        {
            // Only one digest is sent right after the signal; further ones at the usual interval.
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            return;
        }
        changed.await;
    }
}
