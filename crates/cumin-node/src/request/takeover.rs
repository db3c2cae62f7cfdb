//! Starts requests, finds them on other nodes, takes them over and hands them over.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_request::{Refused, Replica, Transcript};
use cumin_types::{Call, Epoch, Millis, NodeName, Position, RequestId};
use futures_util::future::join_all;

use super::{ActiveRequest, completion, plain, replica};
use crate::member::Member;
use crate::node::Ctx;
use crate::peer::{FoundRequest, PeerClient};

/// Number of nodes in the first group that is asked for a request unknown to this node.
const FIRST_GROUP_NODES: usize = 3;
/// Longest wait until the second node acknowledges the end of a request; then the whole request is
/// replicated again.
const FINISH_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the task that runs a request. Its second node must be assigned before.
pub(crate) fn start(ctx: &Rc<Ctx>, active: Rc<ActiveRequest>) {
    ctx.table.insert(Rc::clone(&active));
    ctx.metrics.running.inc();
    let ctx = Rc::clone(ctx);
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        let finished = active.run.borrow().finish().is_some();
        if !finished {
            let plain = matches!(active.run.borrow().descriptor().call, Call::Plain { .. });
            if plain {
                plain::run(&ctx, &active).await;
            } else {
                completion::run(&ctx, &active).await;
            }
        }
        if let Some((ticket, used)) = active.take_ticket() {
            ctx.admission.finish(&ctx, ticket, used);
        }
        finish_request(&ctx, &active).await;
        ctx.metrics.running.dec();
        ctx.table.remove(active.id);
    });
}

/// Replicates the end of the request to the second node, then stores the result at this node too.
async fn finish_request(ctx: &Rc<Ctx>, active: &Rc<ActiveRequest>) {
    if active.is_superseded() {
        return;
    }
    ctx.replicator.mark_dirty(ctx, active);
    let finish_acked = async {
        loop {
            let changed = active.changed();
            if active.acked_finish().is_some() || active.is_superseded() {
                return;
            }
            changed.await;
        }
    };
    if actix_rt::time::timeout(FINISH_ACK_TIMEOUT, finish_acked)
        .await
        .is_err()
    {
        replica::assign_second(ctx, active, None).await;
    }
    if active.is_superseded() {
        return;
    }
    if let Some(finish) = active.run.borrow().finish() {
        ctx.metrics.request_ended(finish.outcome);
        log::info!(
            "event=request_ended request={} outcome={} reason={} tokens={}",
            active.id,
            finish.outcome,
            finish.reason,
            active.run.borrow().transcript().position()
        );
    }
    let now = ctx.clock.now();
    if let Err(error) = ctx
        .replica_store
        .borrow_mut()
        .store(active.to_replica(now), now)
    {
        log::warn!(
            "event=result_not_kept request={} error={error:?}",
            active.id
        );
    }
}

/// Finds a request at other nodes: asks the first nodes in its order, then all the others.
pub(crate) async fn find(ctx: &Rc<Ctx>, id: RequestId) -> Option<(Member, FoundRequest)> {
    let order = ctx.members.ranked_peers(id);
    let (first, rest) = order.split_at(order.len().min(FIRST_GROUP_NODES));
    for group in [first, rest] {
        let best = query_nodes(ctx, id, group)
            .await
            .into_iter()
            .max_by_key(|(_, found)| (found.done, found.epoch, found.position, found.owner));
        if best.is_some() {
            return best;
        }
    }
    None
}

async fn query_nodes(
    ctx: &Rc<Ctx>,
    id: RequestId,
    group: &[Member],
) -> Vec<(Member, FoundRequest)> {
    let responses = group.iter().map(|member| async move {
        let client = ctx.peer_clients.get(member.rpc).ok()?;
        let found = client.find(id).await.ok()??;
        Some((member.clone(), found))
    });
    join_all(responses).await.into_iter().flatten().collect()
}

/// Takes over a request that another node released, or whose owner is dead or does not answer.
pub(crate) async fn take_over(ctx: &Rc<Ctx>, replica: Replica, reason: &str) -> Rc<ActiveRequest> {
    let id = replica.descriptor.id;
    if let Some(active) = ctx.table.get(id) {
        return active;
    }
    let reasons = format!(
        "why={reason} epoch={} position={} from={}",
        replica.descriptor.epoch,
        replica.transcript.position(),
        replica.descriptor.owner
    );
    ctx.decisions.record("take_over", &id, &reasons);
    let mut contenders = replica.beside;
    contenders.retain(|name| *name != ctx.settings.name);
    let mut descriptor = replica.descriptor;
    descriptor.owner = ctx.settings.name.clone();
    let now = ctx.clock.now();
    let active = ActiveRequest::new(descriptor, replica.transcript, now);
    active.set_contenders(contenders);
    // Stored at once: the sender's copy has a lower epoch, and there is no second node yet.
    let stored = ctx
        .replica_store
        .borrow_mut()
        .store(active.to_replica(now), now);
    if let Err(Refused::Superseded { epoch }) = stored {
        ctx.decisions
            .record("superseded", &id, &format!("by=own_copy epoch={epoch}"));
        active.supersede();
        return active;
    }
    // Inserted before there is a second node, so that callers can already wait on the request.
    ctx.table.insert(Rc::clone(&active));
    replica::confirm_takeover(ctx, &active).await;
    replica::assign_second(ctx, &active, None).await;
    start(ctx, Rc::clone(&active));
    active
}

/// Stops running a request and returns it for its new owner, with the next epoch. Returns `None`
/// when this node no longer runs it.
///
/// An end that the second node has not acknowledged is left out: no caller has seen it, and a
/// second node that continues without it could produce a different one. This node stores a copy,
/// so that no tokens are lost if its response does not arrive.
pub(crate) fn release(ctx: &Rc<Ctx>, id: RequestId, new_owner: &NodeName) -> Option<Replica> {
    let active = ctx.table.get(id).filter(|active| !active.is_superseded())?;
    let now = ctx.clock.now();
    let mut replica = active.to_replica(now);
    if active.acked_finish().is_some() {
        return Some(replica);
    }
    replica.finish = None;
    replica.descriptor.epoch = Epoch(replica.descriptor.epoch.0 + 1);
    replica.descriptor.owner = new_owner.clone();
    replica.beside.push(ctx.settings.name.clone());
    ctx.decisions
        .record("release", &id, &format!("to={new_owner}"));
    active.supersede();
    store_copy(ctx, replica.clone(), now);
    Some(replica)
}

/// Stores the tokens that callers may have seen of a request that another node has taken over: the
/// new owner may fail before it has a second node.
pub(super) fn store_acked(ctx: &Ctx, active: &ActiveRequest) {
    let now = ctx.clock.now();
    let mut replica = active.to_replica(now);
    let acked = usize::try_from(active.acked().0).unwrap_or(usize::MAX);
    let mut transcript = Transcript::default();
    if let Ok(tokens) = replica.transcript.tokens_from(Position(0)) {
        tokens.take(acked).for_each(|token| transcript.push(token));
    }
    replica.transcript = transcript;
    replica.finish = None;
    store_copy(ctx, replica, now);
}

fn store_copy(ctx: &Ctx, replica: Replica, now: Millis) {
    let id = replica.descriptor.id;
    if let Err(error) = ctx.replica_store.borrow_mut().store(replica, now) {
        log::debug!("event=copy_not_kept request={id} error={error:?}");
    }
}

/// Hands the active requests over to their second nodes. Callers are told which entries to use
/// instead.
pub(crate) async fn hand_over(ctx: &Rc<Ctx>) {
    let mut batches: HashMap<SocketAddr, Vec<Replica>> = HashMap::new();
    for active in ctx.table.all() {
        // Only the author of a claim may settle it, so an at-most-once call stays here.
        let (once, ended) = {
            let run = active.run.borrow();
            (run.at_most_once(), run.finish().is_some())
        };
        let Some(second) = active.second().filter(|_| !once && !ended) else {
            log::warn!("event=not_handed_over request={}", active.id);
            continue;
        };
        if let Some(mut request) = release(ctx, active.id, &second.name) {
            // This node is stopping: it takes nothing over, and the new owner would wait for its
            // agreement in vain.
            let me = &ctx.settings.name;
            request.beside.retain(|name| name != me);
            batches.entry(second.rpc).or_default().push(request);
        }
    }
    let calls = batches.into_iter().map(|(address, requests)| async move {
        let Ok(client) = ctx.slow_clients.get(address) else {
            return;
        };
        if let Err(error) = client.hand_over(requests).await {
            // The second node has the replicas anyway and continues a request when its caller
            // reconnects.
            log::warn!("event=hand_over_failed node={address} error={error:?}");
        }
    });
    join_all(calls).await;
}
