//! Records endpoints that state that they leave, and closes the connections to them.

use std::rc::Rc;

use actix_http::ResponseHead;
use cumin_entry::fleet::Endpoint;
use cumin_entry::leaving::StatedLeaving;
use cumin_entry::platform::AnswerLeaving;
use cumin_types::{EndpointName, Millis, NodeName};

use crate::node::Node;

/// Records what the head of an answer states that arrived on a connection to an endpoint.
///
/// The request `id` was sent on it; the answer may be one to another request.
pub(crate) fn answer_heard(node: &Rc<Node>, endpoint: &Endpoint, head: &ResponseHead, id: &str) {
    match node.platform.dialect.parse_leaving(head) {
        AnswerLeaving::No => {}
        AnswerLeaving::Leaves => {
            let left = node.bounds.get().drain;
            record(
                node,
                &endpoint.name,
                endpoint.started_ms,
                left,
                "answer",
                id,
            );
        }
        AnswerLeaving::Unreadable(value) => {
            if node.fleet.borrow_mut().leaving_unreadable(&endpoint.name) {
                log::warn!(
                    "event=leaving_ignored endpoint={} answer={id} value={value:?}",
                    endpoint.name
                );
            }
        }
    }
}

/// Merges what a peer states of endpoints that leave.
pub(crate) fn merge_peer(node: &Rc<Node>, peer: &NodeName, stated: &[StatedLeaving]) {
    let drain = node.bounds.get().drain;
    for item in stated {
        let left = item.left.min(drain);
        let (name, started_ms) = (&item.endpoint, item.started_ms);
        record(node, name, started_ms, left, "peer", peer.as_str());
    }
}

fn record(
    node: &Rc<Node>,
    name: &EndpointName,
    started_ms: u64,
    left: Millis,
    source: &str,
    from: &str,
) {
    let now = node.now();
    let until = now.plus(left.0);
    let mut fleet = node.fleet.borrow_mut();
    let known = fleet.get(name);
    let is_first = known.is_none_or(|known| !fleet.is_leaving(known));
    if !fleet.leaving_stated(name, started_ms, until, now) {
        return;
    }
    drop(fleet);
    if is_first {
        log::info!("event=endpoint endpoint={name} state=leaving left_ms={left} {source}={from}");
    }
    let (node, name) = (node.clone(), name.clone());
    actix_rt::spawn(async move {
        tokio::time::sleep(left.duration()).await;
        close_idle(&node, &name);
    });
}

/// Closes the idle connections to an endpoint that may get no requests.
pub(crate) fn close_idle(node: &Node, name: &EndpointName) {
    if !node.fleet.borrow().accepts(name, node.now()) {
        node.idle_connections.borrow_mut().remove(name);
    }
}
