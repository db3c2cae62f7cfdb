//! Graceful stop: the directory sends callers to other nodes, requests in progress finish, then the
//! process exits.

use std::rc::Rc;

use cumin_entry::stop::Stop;
use cumin_types::Millis;

use crate::node::{Node, Phase};

/// Time between two checks of the requests in progress.
const POLL_INTERVAL: Millis = Millis(50);

/// Returns whether idle connections of callers are to be closed.
pub(crate) fn closes_idle(node: &Node) -> bool {
    match node.phase.get() {
        Phase::Serving => false,
        Phase::Stopping(stop) => stop.closes_idle(node.now()),
    }
}

/// Returns whether a request that was just read is accepted.
pub(crate) fn accepts(node: &Node) -> bool {
    match node.phase.get() {
        Phase::Serving => true,
        Phase::Stopping(stop) => stop.accepts(node.now()),
    }
}

/// Starts a graceful stop and returns when the process is to exit: no requests are in progress, or
/// the grace period ends.
pub(crate) async fn stop(node: &Rc<Node>) {
    let stop = Stop {
        since: node.now(),
        grace: node.bounds.get().grace,
    };
    node.phase.set(Phase::Stopping(stop));
    log::info!("event=stopping active={}", node.active.get());
    node.waiting.stop();
    node.stop_notify.notify_waiters();
    let mut idle_notified = false;
    while !stop.exits(node.active.get(), node.now()) {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
        if !idle_notified && stop.closes_idle(node.now()) {
            idle_notified = true;
            node.stop_notify.notify_waiters();
        }
    }
    let after_ms = node.now().since(stop.since);
    log::info!(
        "event=stopped active={} after_ms={after_ms}",
        node.active.get()
    );
}
