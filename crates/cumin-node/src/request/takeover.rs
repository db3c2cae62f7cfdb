//! Starts requests, finds them on other nodes, and takes them over.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_request::{Refused, Replica, Transcript};
use cumin_types::{Call, Epoch, Millis, NodeName, Position, RequestId};
use futures_util::future::join_all;

use super::{Live, completion, plain, replica};
use crate::member::Member;
use crate::node::Ctx;
use crate::peer::{Found, PeerClient};

/// Nodes asked first for a request that is not here.
const FIRST_ASKED: usize = 3;
/// Time that the last tokens may take to the second node before the request is given to it whole.
const SEAL_WAIT: Duration = Duration::from_secs(5);

/// Runs a request that its second node holds.
pub(crate) fn start(ctx: &Rc<Ctx>, live: Rc<Live>) {
    ctx.table.insert(Rc::clone(&live));
    ctx.metrics.running.inc();
    let ctx = Rc::clone(ctx);
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        let finished = live.run.borrow().finish().is_some();
        if !finished {
            let plain = matches!(live.run.borrow().descriptor().call, Call::Plain { .. });
            if plain {
                plain::run(&ctx, &live).await;
            } else {
                completion::run(&ctx, &live).await;
            }
        }
        if let Some((ticket, used)) = live.release() {
            ctx.gate.leave(&ctx, ticket, used);
        }
        seal(&ctx, &live).await;
        ctx.metrics.running.dec();
        ctx.table.remove(live.id);
    });
}

/// Has the end held by the second node, then keeps the result here too.
async fn seal(ctx: &Rc<Ctx>, live: &Rc<Live>) {
    if live.superseded() {
        return;
    }
    ctx.replicas.dirty(ctx, live);
    let sealed = async {
        loop {
            let changed = live.changed();
            if live.sealed().is_some() || live.superseded() {
                return;
            }
            changed.await;
        }
    };
    if actix_rt::time::timeout(SEAL_WAIT, sealed).await.is_err() {
        replica::place_second(ctx, live, None).await;
    }
    if live.superseded() {
        return;
    }
    if let Some(finish) = live.run.borrow().finish() {
        ctx.metrics.request_ended(finish.outcome);
        log::info!(
            "event=request_ended request={} outcome={} reason={} tokens={}",
            live.id,
            finish.outcome,
            finish.reason,
            live.run.borrow().transcript().position()
        );
    }
    let now = ctx.clock.now();
    if let Err(error) = ctx.replica_store.borrow_mut().store(live.given(now), now) {
        log::warn!("event=result_not_kept request={} error={error:?}", live.id);
    }
}

/// Looks for a request: in the nodes that its order names first, then in all others.
pub(crate) async fn find(ctx: &Rc<Ctx>, id: RequestId) -> Option<(Member, Found)> {
    let order = ctx.members.ranked_peers(id);
    let (first, rest) = order.split_at(order.len().min(FIRST_ASKED));
    for group in [first, rest] {
        let best = ask(ctx, id, group)
            .await
            .into_iter()
            .max_by_key(|(_, found)| (found.done, found.epoch, found.position, found.owner));
        if best.is_some() {
            return best;
        }
    }
    None
}

async fn ask(ctx: &Rc<Ctx>, id: RequestId, group: &[Member]) -> Vec<(Member, Found)> {
    let answers = group.iter().map(|member| async move {
        let client = ctx.client.to(member.rpc).ok()?;
        let found = client.find(id).await.ok()??;
        Some((member.clone(), found))
    });
    join_all(answers).await.into_iter().flatten().collect()
}

/// Goes on with a request that another node gave up or lost.
pub(crate) async fn take_over(ctx: &Rc<Ctx>, given: Replica, why: &str) -> Rc<Live> {
    let id = given.descriptor.id;
    if let Some(live) = ctx.table.get(id) {
        return live;
    }
    let reasons = format!(
        "why={why} epoch={} position={} from={}",
        given.descriptor.epoch,
        given.transcript.position(),
        given.descriptor.owner
    );
    ctx.decisions.note("take_over", &id, &reasons);
    let mut beside = given.beside;
    beside.retain(|name| *name != ctx.settings.name);
    let mut descriptor = given.descriptor;
    descriptor.owner = ctx.settings.name.clone();
    let now = ctx.clock.now();
    let live = Live::new(descriptor, given.transcript, now);
    live.set_beside(beside);
    // Held here at once: the giver's copy is of a lower epoch, and a second is yet to be found.
    let held = ctx.replica_store.borrow_mut().store(live.given(now), now);
    if let Err(Refused::Superseded { epoch }) = held {
        ctx.decisions
            .note("superseded", &id, &format!("by=own_copy epoch={epoch}"));
        live.supersede();
        return live;
    }
    // Callers may wait on this request from now on, before its second is found.
    ctx.table.insert(Rc::clone(&live));
    replica::agree(ctx, &live).await;
    replica::place_second(ctx, &live, None).await;
    start(ctx, Rc::clone(&live));
    live
}

/// Stops running a request and returns it for another node, with a raised epoch; none when this
/// node does not run it any more.
///
/// An end that the second node does not hold yet is left out: no caller was told of it, and a
/// second that goes on without it would answer otherwise. This node keeps a copy, so that an
/// answer that is lost on its way loses no tokens.
pub(crate) fn release(ctx: &Rc<Ctx>, id: RequestId, taker: &NodeName) -> Option<Replica> {
    let live = ctx.table.get(id).filter(|live| !live.superseded())?;
    let now = ctx.clock.now();
    let mut given = live.given(now);
    if live.sealed().is_some() {
        return Some(given);
    }
    given.finish = None;
    given.descriptor.epoch = Epoch(given.descriptor.epoch.0 + 1);
    given.descriptor.owner = taker.clone();
    given.beside.push(ctx.settings.name.clone());
    ctx.decisions.note("release", &id, &format!("to={taker}"));
    live.supersede();
    keep(ctx, given.clone(), now);
    Some(given)
}

/// Keeps the tokens of a request that another node took over, as far as callers may have seen
/// them: the new owner may end before it has a second.
pub(super) fn keep_seen(ctx: &Ctx, live: &Live) {
    let now = ctx.clock.now();
    let mut given = live.given(now);
    let seen = usize::try_from(live.acked().0).unwrap_or(usize::MAX);
    let mut transcript = Transcript::default();
    if let Ok(tokens) = given.transcript.tokens_from(Position(0)) {
        tokens.take(seen).for_each(|token| transcript.push(token));
    }
    given.transcript = transcript;
    given.finish = None;
    keep(ctx, given, now);
}

fn keep(ctx: &Ctx, given: Replica, now: Millis) {
    let id = given.descriptor.id;
    if let Err(error) = ctx.replica_store.borrow_mut().store(given, now) {
        log::debug!("event=copy_not_kept request={id} error={error:?}");
    }
}

/// Hands the running requests over to their second nodes; their callers are told where to go on.
pub(crate) async fn hand_over(ctx: &Rc<Ctx>) {
    let mut given: HashMap<SocketAddr, Vec<Replica>> = HashMap::new();
    for live in ctx.table.all() {
        // Only its author may end a claim, so a call that may run once stays here.
        let (once, ended) = {
            let run = live.run.borrow();
            (run.at_most_once(), run.finish().is_some())
        };
        let Some(second) = live.second().filter(|_| !once && !ended) else {
            log::warn!("event=not_handed_over request={}", live.id);
            continue;
        };
        if let Some(mut request) = release(ctx, live.id, &second.name) {
            // A node that stops takes nothing over, and would not answer for long.
            let me = &ctx.settings.name;
            request.beside.retain(|name| name != me);
            given.entry(second.rpc).or_default().push(request);
        }
    }
    let calls = given.into_iter().map(|(address, requests)| async move {
        let Ok(client) = ctx.slow_client.to(address) else {
            return;
        };
        if let Err(error) = client.give(requests).await {
            // The second node holds the requests all the same and goes on when a caller comes.
            log::warn!("event=hand_over_failed node={address} error={error:?}");
        }
    });
    join_all(calls).await;
}
