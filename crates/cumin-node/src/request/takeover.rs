//! Starts requests, finds them on other nodes, and takes them over.

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

/// Nodes asked first for a request that is not here.
const FIRST_GROUP_NODES: usize = 3;
/// Time that the last tokens may take to the second node before the request is given to it whole.
const FINISH_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a request that its second node holds.
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

/// Has the end held by the second node, then keeps the result here too.
async fn finish_request(ctx: &Rc<Ctx>, active: &Rc<ActiveRequest>) {
    if active.is_superseded() {
        return;
    }
    ctx.replicas.mark_dirty(ctx, active);
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
        ctx.metrics.ended(finish.outcome);
        log::info!(
            "event=request_ended request={} outcome={} reason={} tokens={}",
            active.id,
            finish.outcome,
            finish.reason,
            active.run.borrow().transcript().position()
        );
    }
    let now = ctx.clock.now();
    if let Err(error) = ctx.holder.borrow_mut().store(active.to_replica(now), now) {
        log::warn!(
            "event=result_not_kept request={} error={error:?}",
            active.id
        );
    }
}

/// Looks for a request: in the nodes that its order names first, then in all others.
pub(crate) async fn find(ctx: &Rc<Ctx>, id: RequestId) -> Option<(Member, FoundRequest)> {
    let order = ctx.members.everyone(id);
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
    let answers = group.iter().map(|member| async move {
        let client = ctx.client.get(member.rpc).ok()?;
        let found = client.find(id).await.ok()??;
        Some((member.clone(), found))
    });
    join_all(answers).await.into_iter().flatten().collect()
}

/// Goes on with a request that another node gave up or lost.
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
    ctx.decisions.note("take_over", &id, &reasons);
    let mut contenders = replica.beside;
    contenders.retain(|name| *name != ctx.settings.name);
    let mut descriptor = replica.descriptor;
    descriptor.owner = ctx.settings.name.clone();
    let now = ctx.clock.now();
    let active = ActiveRequest::new(descriptor, replica.transcript, now);
    active.set_contenders(contenders);
    // Held here at once: the giver's copy is of a lower epoch, and a second is yet to be found.
    let stored = ctx.holder.borrow_mut().store(active.to_replica(now), now);
    if let Err(Refused::Superseded { epoch }) = stored {
        ctx.decisions
            .note("superseded", &id, &format!("by=own_copy epoch={epoch}"));
        active.supersede();
        return active;
    }
    // Callers may wait on this request from now on, before its second is found.
    ctx.table.insert(Rc::clone(&active));
    replica::confirm_takeover(ctx, &active).await;
    replica::assign_second(ctx, &active, None).await;
    start(ctx, Rc::clone(&active));
    active
}

/// Stops running a request and returns it for another node, with a raised epoch; none when this
/// node does not run it any more.
///
/// An end that the second node does not hold yet is left out: no caller was told of it, and a
/// second that goes on without it would answer otherwise. This node keeps a copy, so that an
/// answer that is lost on its way loses no tokens.
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
        .note("release", &id, &format!("to={new_owner}"));
    active.supersede();
    store_copy(ctx, replica.clone(), now);
    Some(replica)
}

/// Keeps the tokens of a request that another node took over, as far as callers may have seen
/// them: the new owner may end before it has a second.
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
    if let Err(error) = ctx.holder.borrow_mut().store(replica, now) {
        log::debug!("event=copy_not_kept request={id} error={error:?}");
    }
}

/// Hands the running requests over to their second nodes; their callers are told where to go on.
pub(crate) async fn hand_over(ctx: &Rc<Ctx>) {
    let mut batches: HashMap<SocketAddr, Vec<Replica>> = HashMap::new();
    for active in ctx.table.all() {
        // Only its author may end a claim, so a call that may run once stays here.
        let (once, ended) = {
            let run = active.run.borrow();
            (run.at_most_once(), run.finish().is_some())
        };
        let Some(second) = active.second().filter(|_| !once && !ended) else {
            log::warn!("event=not_handed_over request={}", active.id);
            continue;
        };
        if let Some(mut request) = release(ctx, active.id, &second.name) {
            // A node that stops takes nothing over, and would not answer for long.
            let me = &ctx.settings.name;
            request.beside.retain(|name| name != me);
            batches.entry(second.rpc).or_default().push(request);
        }
    }
    let calls = batches.into_iter().map(|(address, requests)| async move {
        let Ok(client) = ctx.slow_client.get(address) else {
            return;
        };
        if let Err(error) = client.hand_over(requests).await {
            // The second node holds the requests all the same and goes on when a caller comes.
            log::warn!("event=hand_over_failed node={address} error={error:?}");
        }
    });
    join_all(calls).await;
}
