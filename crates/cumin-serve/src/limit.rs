//! Records the request rates that endpoints state as their limits and the times for which they want
//! nothing, and logs what changed.

use actix_http::ResponseHead;
use cumin_entry::fleet::Endpoint;
use cumin_entry::limits::{AnswerLimit, LimitChange, StatedLimit};
use cumin_entry::peer::Digest;
use cumin_entry::platform::AnswerWait;
use cumin_types::Millis;

use crate::node::Node;

/// Records the limit that the answer to the request `id` states, or that it states none.
pub(crate) fn answer_heard(node: &Node, stated: &AnswerLimit, id: &str) {
    let change = node.limits.borrow_mut().answer_heard(stated, node.now());
    if let Some(change) = change {
        log_change(&change, "answer", id);
    }
}

/// Records for how long the endpoint of an answer wants nothing.
///
/// The request `id` was sent to it at `sent`. The answer may be one to another request; only one to
/// that request (`is_own`) ends a wait.
pub(crate) fn wait_heard(
    node: &Node,
    endpoint: &Endpoint,
    head: &ResponseHead,
    (id, sent): (&str, Millis),
    is_own: bool,
) {
    let (name, started_ms, now) = (&endpoint.name, endpoint.started_ms, node.now());
    let wait = match node.platform.dialect.parse_wait(head) {
        AnswerWait::None => {
            if is_own {
                let mut limits = node.limits.borrow_mut();
                limits.wait_ended(name, started_ms, sent);
            }
            return;
        }
        AnswerWait::For(wait) => wait,
        AnswerWait::Until(end) => Millis(end.since(node.wall())),
        AnswerWait::Unreadable(value) => {
            log::warn!("event=wait_ignored endpoint={name} answer={id} value={value:?}");
            return;
        }
    };
    if wait == Millis(0) {
        log::warn!("event=wait_ignored endpoint={name} answer={id} value=past");
        return;
    }
    let until = now.plus(wait.0);
    let mut limits = node.limits.borrow_mut();
    if limits.wait_stated(name, started_ms, until, now) {
        log::info!("event=endpoint_wait endpoint={name} wait_ms={wait} answer={id}");
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
