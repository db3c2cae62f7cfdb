//! Sends tokens to second nodes before callers see them.
//!
//! One lane a second node: while a batch is under way the next collects, so batches grow with
//! load and no timer is needed. A second that does not answer is replaced by the next node in
//! the request's order, which gets the whole request.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use cumin_request::{Ack, Progress};
use cumin_types::{Millis, NodeName, RequestId};

use super::Live;
use super::takeover::keep_seen;
use crate::member::Member;
use crate::node::Ctx;
use crate::peer::PeerClient;

/// Nodes asked to be the second of a request before it goes on without one.
const SECOND_TRIES: usize = 3;

/// Replication to other nodes, by node.
#[derive(Default)]
pub(crate) struct Replicas {
    lanes: RefCell<HashMap<NodeName, Rc<Lane>>>,
}

struct Lane {
    to: Member,
    dirty: RefCell<BTreeSet<RequestId>>,
    busy: Cell<bool>,
}

impl Replicas {
    /// Has the new tokens of `live` sent to its second.
    pub(crate) fn dirty(&self, ctx: &Rc<Ctx>, live: &Live) {
        let Some(second) = live.second() else {
            let run = live.run.borrow();
            live.confirm(run.transcript().position(), run.finish().is_some());
            return;
        };
        let lane = self.lane(second);
        lane.dirty.borrow_mut().insert(live.id);
        if !lane.busy.replace(true) {
            let ctx = Rc::clone(ctx);
            let tasks = ctx.tasks.clone();
            tasks.spawn(async move {
                flush(&ctx, &lane).await;
                lane.busy.set(false);
            });
        }
    }

    fn lane(&self, to: Member) -> Rc<Lane> {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.entry(to.name.clone()).or_insert_with(|| {
            Rc::new(Lane {
                to: to.clone(),
                dirty: RefCell::default(),
                busy: Cell::default(),
            })
        });
        if lane.to.rpc != to.rpc {
            *lane = Rc::new(Lane {
                to,
                dirty: RefCell::default(),
                busy: Cell::default(),
            });
        }
        Rc::clone(lane)
    }
}

async fn flush(ctx: &Rc<Ctx>, lane: &Lane) {
    loop {
        let ids = std::mem::take(&mut *lane.dirty.borrow_mut());
        if ids.is_empty() {
            return;
        }
        let lives: Vec<_> = ids
            .into_iter()
            .filter_map(|id| ctx.table.get(id))
            .filter(|live| !live.superseded())
            .filter(|live| {
                live.second()
                    .is_some_and(|second| second.name == lane.to.name)
            })
            .collect();
        let batch: Vec<_> = lives.iter().map(|live| progress(live)).collect();
        if batch.is_empty() {
            continue;
        }
        ctx.metrics.replica_batches.inc();
        let sealed: Vec<_> = batch
            .iter()
            .map(|progress| progress.finish.is_some())
            .collect();
        let answer = match ctx.client.to(lane.to.rpc) {
            Ok(client) => client.progress(batch).await,
            Err(error) => Err(error),
        };
        match answer {
            Ok(acks) => {
                for ((live, sealed), ack) in lives.iter().zip(sealed).zip(acks) {
                    settle(ctx, lane, live, sealed, ack).await;
                }
            }
            Err(error) => {
                log::warn!(
                    "event=second_unreachable node={} error={error:?}",
                    lane.to.name
                );
                for live in &lives {
                    replace(ctx, live, &lane.to, "unreachable").await;
                }
            }
        }
    }
}

fn progress(live: &Live) -> Progress {
    let run = live.run.borrow();
    let from = live.acked();
    let tokens = run
        .transcript()
        .tokens_from(from)
        .map(|tokens| tokens.map(str::to_owned).collect());
    Progress {
        id: live.id,
        epoch: run.descriptor().epoch,
        from,
        tokens: tokens.unwrap_or_default(),
        finish: run.finish().cloned(),
    }
}

async fn settle(ctx: &Rc<Ctx>, lane: &Lane, live: &Live, sealed: bool, ack: Ack) {
    match ack {
        Ack::Stored(position) => live.confirm(position, sealed),
        Ack::Superseded(epoch) => {
            let reasons = format!("by={} epoch={epoch}", lane.to.name);
            ctx.decisions.note("superseded", &live.id, &reasons);
            supersede(ctx, live);
        }
        Ack::Resend(_) | Ack::Missing => replace(ctx, live, &lane.to, "lost").await,
    }
}

/// Asks the second node whether this one still owns the request. A node that was paused takes its
/// own pause for a stalled endpoint, and would dispatch again what another node has taken over.
pub(super) async fn confirm_owner(ctx: &Rc<Ctx>, live: &Live) -> bool {
    if let Some(second) = live.second()
        && let Ok(client) = ctx.client.to(second.rpc)
    {
        let batch = vec![progress(live)];
        if let Ok(acks) = client.progress(batch).await
            && let Some(Ack::Superseded(epoch)) = acks.first()
        {
            let reasons = format!("by={} epoch={epoch}", second.name);
            ctx.decisions.note("superseded", &live.id, &reasons);
            supersede(ctx, live);
        }
    }
    !live.superseded()
}

/// Stops a request that another node has taken over.
fn supersede(ctx: &Ctx, live: &Live) {
    live.supersede();
    keep_seen(ctx, live);
}

/// Finds a new second after `old` failed to hold the request.
async fn replace(ctx: &Rc<Ctx>, live: &Live, old: &Member, why: &str) {
    // A node that lost the request, as after a restart, can hold it again.
    let avoid = if why == "lost" { None } else { Some(&old.name) };
    place_second(ctx, live, avoid).await;
    if !live.superseded() {
        ctx.replicas.dirty(ctx, live);
    }
}

/// What a node did with a request that it was asked to hold.
enum Offer {
    /// It holds the request.
    Held,
    /// Another node took the request over.
    Superseded,
    /// It does not hold the request.
    Refused,
    /// It may hold the request.
    Unanswered,
}

/// Asks a node to be the second of a request.
async fn offer(ctx: &Rc<Ctx>, live: &Live, member: &Member) -> Offer {
    let given = live.given(ctx.clock.now());
    let answer = match ctx.client.to(member.rpc) {
        Ok(client) => client.hold(given).await,
        Err(error) => Err(error),
    };
    match answer {
        Ok(Ok(())) => Offer::Held,
        Ok(Err(cumin_request::Refused::Superseded { epoch })) => {
            let reasons = format!("by={} epoch={epoch}", member.name);
            ctx.decisions.note("superseded", &live.id, &reasons);
            live.supersede();
            Offer::Superseded
        }
        Ok(Err(refused)) => {
            log::warn!(
                "event=second_refused node={} error={refused:?}",
                member.name
            );
            Offer::Refused
        }
        Err(error) => {
            log::warn!(
                "event=second_unreachable node={} error={error:?}",
                member.name
            );
            Offer::Unanswered
        }
    }
}

/// Pause between two questions to a node that does not answer; membership takes seconds to
/// find it dead.
const ASK_AGAIN: Millis = Millis(100);

/// Has the request held by the nodes that may take it over as well: no token is shown before each
/// of them agrees or is dead.
pub(super) async fn agree(ctx: &Rc<Ctx>, live: &Live) {
    while let Some(name) = live.unsettled() {
        let Some(member) = ctx.members.peer(&name) else {
            live.agreed(&name);
            continue;
        };
        match offer(ctx, live, &member).await {
            Offer::Superseded => return,
            // A node that has no room for the request does not hold it.
            Offer::Held | Offer::Refused => live.agreed(&name),
            Offer::Unanswered if ctx.clock.now() >= live.deadline => return,
            Offer::Unanswered => actix_rt::time::sleep(ASK_AGAIN.duration()).await,
        }
    }
}

/// Has the request held by a second node, the first in its order that takes it.
pub(crate) async fn place_second(ctx: &Rc<Ctx>, live: &Live, avoid: Option<&NodeName>) {
    // The second that is replaced may have run the request.
    if live.second().is_some() {
        live.run.borrow_mut().replica_lost();
    }
    let order = ctx.members.replica_candidates(live.id);
    let tried = order
        .iter()
        .filter(|member| Some(&member.name) != avoid)
        .take(SECOND_TRIES);
    for member in tried {
        if live.superseded() {
            return;
        }
        let (held, sealed) = live.reached();
        match offer(ctx, live, member).await {
            Offer::Held => {
                let reasons = format!("node={} place={} held={held}", member.name, member.place);
                ctx.decisions.note("second", &live.id, &reasons);
                live.set_second(Some(member.clone()), held, sealed);
                return;
            }
            Offer::Superseded => return,
            Offer::Refused | Offer::Unanswered => {}
        }
    }
    ctx.decisions.note(
        "second",
        &live.id,
        &format!("node=none candidates={}", order.len()),
    );
    ctx.metrics.unreplicated.inc();
    let (position, sealed) = live.reached();
    live.set_second(None, position, sealed);
}
