//! Finds out whether an endpoint crashed, and whose requests may have caused it.
//!
//! When an attempt breaks off, a connection to its endpoint shows at once whether the endpoint is
//! still there. Waiting for the next request to be sent to it would miss endpoints that return
//! quickly or get little traffic.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_entry::suspects::{Quarantined, Suspect, Suspicion};
use cumin_http::connection::Connection;
use cumin_types::{EndpointName, score};
use tokio::sync::Notify;

use crate::idle::CONNECT_TIMEOUT;
use crate::node::Node;
use crate::quarantine;

/// Maximum time that a retry waits until it is known whether the last endpoint crashed. A refused
/// connection is known after a round trip.
const CHECK_WAIT: Duration = Duration::from_millis(50);

/// Time after which a new connection shows whether the endpoint is there: a proxy in front of it
/// accepts connections before it finds that the endpoint is gone.
const ACCEPT_TIME: Duration = Duration::from_millis(10);

/// A check of an endpoint in progress.
#[derive(Default)]
pub(crate) struct Check {
    done: Rc<Notify>,
    /// Requests whose answers ended with their connections; they ran if the endpoint is there.
    ended: Vec<Suspicion>,
}

/// Records an attempt that broke off, unless its endpoint had announced that it leaves.
pub(crate) fn attempt_broke(
    node: &Node,
    endpoint: &EndpointName,
    started_ms: u64,
    suspicion: &Suspicion,
) {
    let fleet = node.fleet.borrow();
    if fleet
        .get(endpoint)
        .is_some_and(|known| fleet.is_leaving(known))
    {
        return;
    }
    let mut suspects = node.suspects.borrow_mut();
    suspects.attempt_broke(endpoint, started_ms, suspicion.clone(), node.now());
}

/// Connects to an endpoint in the background to find out whether it crashed. `ended` is a request
/// whose answer ended with its connection.
pub(crate) fn check_endpoint(node: &Rc<Node>, endpoint: &EndpointName, ended: Option<&Suspicion>) {
    let Some(address) = node.fleet.borrow().get(endpoint).map(|known| known.address) else {
        return;
    };
    let mut checks = node.checks.borrow_mut();
    let running = checks.contains_key(endpoint);
    let check = checks.entry(endpoint.clone()).or_default();
    check.ended.extend(ended.cloned());
    drop(checks);
    if running {
        return;
    }
    let (node, endpoint) = (node.clone(), endpoint.clone());
    actix_rt::spawn(async move {
        node.metrics.connections.inc();
        let mut connected = connect(address).await;
        if connected.as_ref().is_err_and(is_closed) {
            // A connection that was reset is no crash if another one stays open.
            node.metrics.connections.inc();
            connected = connect(address).await;
        }
        let Some(check) = node.checks.borrow_mut().remove(&endpoint) else {
            return;
        };
        match connected {
            Ok(connection) => endpoint_reachable(&node, &endpoint, connection, &check.ended),
            Err(error) => endpoint_unreachable(&node, &endpoint, &error),
        }
        check.done.notify_waiters();
    });
}

/// Opens a connection, and fails if it is closed at once.
async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let connection = Connection::connect(address, CONNECT_TIMEOUT).await?;
    tokio::time::sleep(ACCEPT_TIME).await;
    if connection.is_open() {
        Ok(connection)
    } else {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

/// Returns whether a connection was accepted and then closed.
fn is_closed(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionAborted
}

/// Waits for the check of an endpoint, if one is in progress.
pub(crate) async fn wait_for_check(node: &Node, endpoint: &EndpointName) {
    let done = {
        let checks = node.checks.borrow();
        checks.get(endpoint).map(|check| check.done.clone())
    };
    if let Some(done) = done
        && tokio::time::timeout(CHECK_WAIT, done.notified())
            .await
            .is_err()
    {
        log::debug!("event=check_unfinished endpoint={endpoint}");
    }
}

fn endpoint_reachable(
    node: &Node,
    endpoint: &EndpointName,
    mut connection: Connection,
    ended: &[Suspicion],
) {
    let now = node.now();
    let mut suspects = node.suspects.borrow_mut();
    suspects.endpoint_reachable(endpoint);
    for suspicion in ended {
        suspects.ran(suspicion, now);
    }
    drop(suspects);
    if !node.fleet.borrow().accepts(endpoint, now) {
        return;
    }
    connection.idle = (now, None);
    let mut idle_connections = node.idle_connections.borrow_mut();
    let idle = idle_connections.entry(endpoint.clone()).or_default();
    idle.push(connection);
}

/// Records that an endpoint refuses connections, and gives it a cooldown.
pub(crate) fn endpoint_unreachable(node: &Rc<Node>, endpoint: &EndpointName, error: &io::Error) {
    endpoint_lost(node, endpoint);
    let mut selector = node.selector.borrow_mut();
    let cooldown = selector.connection_failed(endpoint, node.now());
    log::info!("event=endpoint_unreachable endpoint={endpoint} error={error} rest_ms={cooldown}");
}

/// Records that an endpoint is gone.
pub(crate) fn endpoint_lost(node: &Rc<Node>, endpoint: &EndpointName) {
    let mut suspects = node.suspects.borrow_mut();
    let suspicions = suspects.endpoint_unreachable(endpoint, node.now());
    drop(suspects);
    log_suspicions(node, endpoint, suspicions);
}

/// Records that an endpoint was registered with another start.
pub(crate) fn endpoint_restarted(node: &Rc<Node>, endpoint: &EndpointName) {
    let mut suspects = node.suspects.borrow_mut();
    let suspicions = suspects.endpoint_restarted(endpoint, node.now());
    drop(suspects);
    log_suspicions(node, endpoint, suspicions);
}

/// Logs the requests suspected of a crash, and decides what is refused because of it.
fn log_suspicions(node: &Rc<Node>, endpoint: &EndpointName, suspicions: Vec<Suspicion>) {
    let now = node.now();
    let suspects = node.suspects.borrow();
    if suspicions.is_empty() {
        return;
    }
    for suspicion in suspicions {
        let request = Suspect::Request(suspicion.fingerprint);
        let parts = suspicion.parts.iter().map(|part| Suspect::Part(*part));
        let counted = std::iter::once(request).chain(parts).map(|suspect| {
            let crashes = suspects.crashes(suspect, now);
            format!("{suspect}={crashes}")
        });
        let counted: Vec<String> = counted.collect();
        log::info!(
            "event=suspect endpoint={endpoint} crashes={}",
            counted.join(",")
        );
    }
    drop(suspects);
    review(node);
}

/// Returns whether this node makes the trials of a quarantined suspect, and keeps its record: one of
/// the live nodes does, another one for each suspect.
pub(crate) fn makes_trials(node: &Node, suspect: Suspect) -> bool {
    rank(node, suspect) == 0
}

/// Returns the number of live nodes that come before this one in the order, by a hash, in which
/// nodes make the trials of a suspect and keep its record.
pub(crate) fn rank(node: &Node, suspect: Suspect) -> usize {
    let key = suspect.to_string();
    let weight = |name: &str| score(key.as_bytes(), name);
    let own = weight(node.settings.node.as_str());
    let peers = node.peers.borrow();
    peers
        .live(node.now())
        .filter(|peer| weight(peer.digest.node.as_str()) >= own)
        .count()
}

/// Decides anew which suspects are refused, and logs what changed.
pub(crate) fn review(node: &Rc<Node>) {
    let mut suspects = node.suspects.borrow_mut();
    let before = suspects.review(node.now());
    let (mut started, mut ended) = (Vec::new(), Vec::new());
    for item in suspects.quarantined() {
        let known = |old: &Quarantined| old.suspect == item.suspect && old.with == item.with;
        if !before.iter().any(known) {
            let with = item.with.iter().map(|part| format!("{part:x}"));
            let with: Vec<String> = with.collect();
            log::warn!(
                "event=quarantine suspect={} with={} crashes={}",
                item.suspect,
                if with.is_empty() {
                    "-".into()
                } else {
                    with.join(",")
                },
                item.crashes
            );
            started.push(item.suspect);
        }
    }
    for old in before {
        let quarantined = suspects.quarantined();
        if !quarantined.iter().any(|item| item.suspect == old.suspect) {
            log::info!("event=quarantine_ended suspect={}", old.suspect);
            ended.push(old.suspect);
        }
    }
    drop(suspects);
    started.retain(|suspect| makes_trials(node, *suspect));
    for suspect in started {
        quarantine::save(node, suspect);
    }
    ended.retain(|suspect| makes_trials(node, *suspect));
    for suspect in ended {
        quarantine::remove(node, suspect);
    }
}
