//! Replicates requests to their second nodes, before callers see the tokens.
//!
//! There is one queue per second node. While a batch is in flight the next one accumulates, so
//! batches grow with load and no timer is needed. A second node that does not answer is replaced by
//! the next node in the request's order, which receives the whole request.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use cumin_request::{Ack, Progress};
use cumin_types::{Millis, NodeName, RequestId};

use super::ActiveRequest;
use super::takeover::store_acked;
use crate::member::Member;
use crate::node::Ctx;
use crate::peer::PeerClient;

/// Maximum number of nodes that are asked to be the second node; if none of them accepts, the
/// request runs without one.
const MAX_SECOND_CANDIDATES: usize = 3;

/// Replication queues to other nodes.
#[derive(Default)]
pub(crate) struct Replicator {
    queues: RefCell<HashMap<NodeName, Rc<ReplicationQueue>>>,
}

struct ReplicationQueue {
    node: Member,
    pending: RefCell<BTreeSet<RequestId>>,
    flushing: Cell<bool>,
}

impl Replicator {
    /// Schedules the new tokens of a request to be sent to its second node.
    pub(crate) fn mark_dirty(&self, ctx: &Rc<Ctx>, active: &ActiveRequest) {
        let Some(second) = active.second() else {
            let run = active.run.borrow();
            active.record_ack(run.transcript().position(), run.finish().is_some());
            return;
        };
        let queue = self.queue(second);
        queue.pending.borrow_mut().insert(active.id);
        if !queue.flushing.replace(true) {
            let ctx = Rc::clone(ctx);
            let tasks = ctx.tasks.clone();
            tasks.spawn(async move {
                flush(&ctx, &queue).await;
                queue.flushing.set(false);
            });
        }
    }

    fn queue(&self, node: Member) -> Rc<ReplicationQueue> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(node.name.clone()).or_insert_with(|| {
            Rc::new(ReplicationQueue {
                node: node.clone(),
                pending: RefCell::default(),
                flushing: Cell::default(),
            })
        });
        if queue.node.rpc != node.rpc {
            *queue = Rc::new(ReplicationQueue {
                node,
                pending: RefCell::default(),
                flushing: Cell::default(),
            });
        }
        Rc::clone(queue)
    }
}

async fn flush(ctx: &Rc<Ctx>, queue: &ReplicationQueue) {
    loop {
        let ids = std::mem::take(&mut *queue.pending.borrow_mut());
        if ids.is_empty() {
            return;
        }
        let requests: Vec<_> = ids
            .into_iter()
            .filter_map(|id| ctx.table.get(id))
            .filter(|active| !active.is_superseded())
            .filter(|active| {
                active
                    .second()
                    .is_some_and(|second| second.name == queue.node.name)
            })
            .collect();
        let batch: Vec<_> = requests.iter().map(|active| progress(active)).collect();
        if batch.is_empty() {
            continue;
        }
        ctx.metrics.replica_batches.inc();
        let finish_acked: Vec<_> = batch
            .iter()
            .map(|progress| progress.finish.is_some())
            .collect();
        let response = match ctx.peer_clients.get(queue.node.rpc) {
            Ok(client) => client.progress(batch).await,
            Err(error) => Err(error),
        };
        match response {
            Ok(acks) => {
                for ((active, finish_acked), ack) in requests.iter().zip(finish_acked).zip(acks) {
                    handle_ack(ctx, queue, active, finish_acked, ack).await;
                }
            }
            Err(error) => {
                log::warn!(
                    "event=second_unreachable node={} error={error:?}",
                    queue.node.name
                );
                for active in &requests {
                    replace_second(ctx, active, &queue.node, "unreachable").await;
                }
            }
        }
    }
}

fn progress(active: &ActiveRequest) -> Progress {
    let run = active.run.borrow();
    let from = active.acked();
    let tokens = run
        .transcript()
        .tokens_from(from)
        .map(|tokens| tokens.map(str::to_owned).collect());
    Progress {
        id: active.id,
        epoch: run.descriptor().epoch,
        from,
        tokens: tokens.unwrap_or_default(),
        finish: run.finish().cloned(),
    }
}

async fn handle_ack(
    ctx: &Rc<Ctx>,
    queue: &ReplicationQueue,
    active: &ActiveRequest,
    finish_acked: bool,
    ack: Ack,
) {
    match ack {
        Ack::Stored(position) => active.record_ack(position, finish_acked),
        Ack::Superseded(epoch) => {
            let reasons = format!("by={} epoch={epoch}", queue.node.name);
            ctx.decisions.record("superseded", &active.id, &reasons);
            supersede(ctx, active);
        }
        Ack::Resend(_) | Ack::Missing => replace_second(ctx, active, &queue.node, "lost").await,
    }
}

/// Asks the second node whether this node still owns the request. To a node that was paused, its
/// own pause looks like a stalled endpoint; without this check it would retry a request that
/// another node has taken over in the meantime.
pub(super) async fn confirm_owner(ctx: &Rc<Ctx>, active: &ActiveRequest) -> bool {
    if let Some(second) = active.second()
        && let Ok(client) = ctx.peer_clients.get(second.rpc)
    {
        let batch = vec![progress(active)];
        if let Ok(acks) = client.progress(batch).await
            && let Some(Ack::Superseded(epoch)) = acks.first()
        {
            let reasons = format!("by={} epoch={epoch}", second.name);
            ctx.decisions.record("superseded", &active.id, &reasons);
            supersede(ctx, active);
        }
    }
    !active.is_superseded()
}

/// Stops a request that another node has taken over, and stores the acknowledged tokens.
fn supersede(ctx: &Ctx, active: &ActiveRequest) {
    active.supersede();
    store_acked(ctx, active);
}

/// Replaces the second node `old`, which does not have the request.
async fn replace_second(ctx: &Rc<Ctx>, active: &ActiveRequest, old: &Member, reason: &str) {
    // A node that lost the replica, for example in a restart, can store it again.
    let avoid = if reason == "lost" {
        None
    } else {
        Some(&old.name)
    };
    assign_second(ctx, active, avoid).await;
    if !active.is_superseded() {
        ctx.replicator.mark_dirty(ctx, active);
    }
}

/// Result of offering a replica to a node.
enum HoldResult {
    /// The node stored the replica.
    Stored,
    /// Another node has taken the request over.
    Superseded,
    /// The node did not store the replica.
    Refused,
    /// The node did not answer and may have stored the replica.
    NoAnswer,
}

/// Asks a node to store a replica of the request.
async fn offer_replica(ctx: &Rc<Ctx>, active: &ActiveRequest, member: &Member) -> HoldResult {
    let replica = active.to_replica(ctx.clock.now());
    let response = match ctx.peer_clients.get(member.rpc) {
        Ok(client) => client.hold(replica).await,
        Err(error) => Err(error),
    };
    match response {
        Ok(Ok(())) => HoldResult::Stored,
        Ok(Err(cumin_request::Refused::Superseded { epoch })) => {
            let reasons = format!("by={} epoch={epoch}", member.name);
            ctx.decisions.record("superseded", &active.id, &reasons);
            active.supersede();
            HoldResult::Superseded
        }
        Ok(Err(refused)) => {
            log::warn!(
                "event=second_refused node={} error={refused:?}",
                member.name
            );
            HoldResult::Refused
        }
        Err(error) => {
            log::warn!(
                "event=second_unreachable node={} error={error:?}",
                member.name
            );
            HoldResult::NoAnswer
        }
    }
}

/// Delay before a node that did not answer is asked again; it takes seconds until membership
/// declares it dead.
const CONFIRM_RETRY_DELAY: Millis = Millis(100);

/// Sends a replica to each node that may also take the request over, until each has agreed to this
/// node or is dead. Callers see no token before that.
pub(super) async fn confirm_takeover(ctx: &Rc<Ctx>, active: &ActiveRequest) {
    while let Some(name) = active.next_contender() {
        let Some(member) = ctx.members.peer(&name) else {
            active.remove_contender(&name);
            continue;
        };
        match offer_replica(ctx, active, &member).await {
            HoldResult::Superseded => return,
            // A node that refuses the replica for lack of room has none, so it can't take over.
            HoldResult::Stored | HoldResult::Refused => active.remove_contender(&name),
            HoldResult::NoAnswer if ctx.clock.now() >= active.deadline => return,
            HoldResult::NoAnswer => actix_rt::time::sleep(CONFIRM_RETRY_DELAY.duration()).await,
        }
    }
}

/// Replicates the request to a second node: the first in the request's order that accepts it.
pub(crate) async fn assign_second(ctx: &Rc<Ctx>, active: &ActiveRequest, avoid: Option<&NodeName>) {
    // The node that is replaced may have taken the request over and run it.
    if active.second().is_some() {
        active.run.borrow_mut().replica_lost();
    }
    let order = ctx.members.replica_candidates(active.id);
    let candidates = order
        .iter()
        .filter(|member| Some(&member.name) != avoid)
        .take(MAX_SECOND_CANDIDATES);
    for member in candidates {
        if active.is_superseded() {
            return;
        }
        let (position, finish_acked) = active.run_progress();
        match offer_replica(ctx, active, member).await {
            HoldResult::Stored => {
                let reasons = format!(
                    "node={} place={} held={position}",
                    member.name, member.place
                );
                ctx.decisions.record("second", &active.id, &reasons);
                active.set_second(Some(member.clone()), position, finish_acked);
                return;
            }
            HoldResult::Superseded => return,
            HoldResult::Refused | HoldResult::NoAnswer => {}
        }
    }
    ctx.decisions.record(
        "second",
        &active.id,
        &format!("node=none candidates={}", order.len()),
    );
    ctx.metrics.unreplicated.inc();
    let (position, finish_acked) = active.run_progress();
    active.set_second(None, position, finish_acked);
}
