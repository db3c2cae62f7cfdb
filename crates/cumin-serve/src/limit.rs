//! Records the request rates that endpoints state as their limits, and logs what changed.

use cumin_entry::limits::{AnswerLimit, LimitChange, StatedLimit};
use cumin_entry::peer::Digest;

use crate::node::Node;

/// Records the limit that the answer to the request `id` states, or that it states none.
pub(crate) fn answer_heard(node: &Node, stated: &AnswerLimit, id: &str) {
    let change = node.limits.borrow_mut().answer_heard(stated, node.now());
    if let Some(change) = change {
        log_change(&change, "answer", id);
    }
}

/// Merges the limits that follow a peer's digest.
pub(crate) fn merge_peer(node: &Node, digest: &Digest, stated: &[StatedLimit]) {
    let (name, now) = (&digest.node, node.now());
    let mut limits = node.limits.borrow_mut();
    for change in limits.merge_peer(name, digest.incarnation, stated, now) {
        log_change(&change, "peer", name.as_str());
    }
}

/// Logs a change with the request or the peer that it was learned from.
fn log_change(change: &LimitChange, source: &str, from: &str) {
    let LimitChange {
        endpoint,
        rate,
        sent,
    } = change;
    let state = if rate.is_some() { "stated" } else { "ended" };
    log::info!(
        "event=endpoint_limit endpoint={endpoint} state={state} rate={} sent={sent} {source}={from}",
        rate.map_or("-".into(), |rate| rate.to_string())
    );
}
