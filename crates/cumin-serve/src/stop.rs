//! A planned stop: callers are sent elsewhere, requests in progress end, then the process does.

use std::rc::Rc;

use cumin_entry::stop::Stop;
use cumin_types::Millis;

use crate::node::{Node, Phase};

/// Time between two looks at what is left.
const LOOK: Millis = Millis(50);

/// Returns whether idle connections of callers are to be closed.
pub(crate) fn closes_idle(node: &Node) -> bool {
    match node.phase.get() {
        Phase::Serving => false,
        Phase::Stopping(stop) => stop.closes_idle(node.now()),
    }
}

/// Returns whether a request that was read now is taken.
pub(crate) fn takes(node: &Node) -> bool {
    match node.phase.get() {
        Phase::Serving => true,
        Phase::Stopping(stop) => stop.accepts(node.now()),
    }
}

/// Starts the stop and returns when nothing is left to do, or no time.
pub(crate) async fn stop(node: &Rc<Node>) {
    let stop = Stop {
        since: node.now(),
        grace: node.bounds.get().grace,
    };
    node.phase.set(Phase::Stopping(stop));
    log::info!("event=stopping active={}", node.active.get());
    node.stopped.notify_waiters();
    let mut told = false;
    while !stop.exits(node.active.get(), node.now()) {
        tokio::time::sleep(LOOK.duration()).await;
        if !told && stop.closes_idle(node.now()) {
            told = true;
            node.stopped.notify_waiters();
        }
    }
    let passed = node.now().since(stop.since);
    log::info!(
        "event=stopped active={} after_ms={passed}",
        node.active.get()
    );
}
