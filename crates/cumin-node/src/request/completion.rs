//! Runs a completion: attempts one after the other until the whole answer is there.

use std::rc::Rc;
use std::time::Duration;

use cumin_request::{Broke, Finish, Frame, Next};
use cumin_types::{AttemptId, Call, Outcome};

use super::engine::{self, Event, Events};
use super::{Command, Live};
use crate::fleet::Picked;
use crate::node::Ctx;

/// Longest answer, bytes; bounds the memory of a request whose engine never ends.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// How an attempt ended.
enum Ended {
    Whole(Finish),
    Broke(Broke),
    Command(Command),
    Deadline,
}

/// Runs `live` to its end.
pub(super) async fn run(ctx: &Rc<Ctx>, live: &Rc<Live>) {
    let mut prefer = None;
    loop {
        let Some(picked) = pick(ctx, live, prefer.take()).await else {
            return;
        };
        let attempt = AttemptId::now();
        live.run.borrow_mut().begin(attempt, picked.name.clone());
        ctx.metrics.attempts.inc();
        ctx.fleet.started(&picked, live, attempt, ctx.clock.now());
        let ended = follow(ctx, live, &picked, attempt).await;
        ctx.fleet
            .ended(ctx, &picked, attempt, broke_of(&ended).as_ref());
        match ended {
            Ended::Whole(finish) => {
                live.run.borrow_mut().complete(attempt, finish);
                return;
            }
            Ended::Deadline => {
                cancel(ctx, &picked, attempt);
                give_up(ctx, live, "deadline");
                return;
            }
            Ended::Command(Command::Move { to, .. }) => {
                cancel(ctx, &picked, attempt);
                live.run.borrow_mut().broke(attempt, &Broke::Moved);
                prefer = to;
            }
            Ended::Command(command) => {
                cancel(ctx, &picked, attempt);
                give_up(
                    ctx,
                    live,
                    if command == Command::Cancel {
                        "cancelled"
                    } else {
                        "superseded"
                    },
                );
                return;
            }
            Ended::Broke(cause) => {
                cancel(ctx, &picked, attempt);
                if !retry(ctx, live, &picked, attempt, &cause).await {
                    return;
                }
            }
        }
    }
}

fn broke_of(ended: &Ended) -> Option<Broke> {
    match ended {
        Ended::Broke(cause) => Some(cause.clone()),
        Ended::Command(Command::Move { .. }) => Some(Broke::Moved),
        _ => None,
    }
}

/// Chooses an endpoint, waiting for one until the deadline; ends the request when there is none.
async fn pick(
    ctx: &Rc<Ctx>,
    live: &Rc<Live>,
    prefer: Option<cumin_types::EndpointName>,
) -> Option<Picked> {
    loop {
        let now = ctx.clock.now();
        if now >= live.deadline {
            give_up(ctx, live, "deadline");
            return None;
        }
        match ctx.fleet.pick(ctx, live, prefer.as_ref(), now) {
            Ok(picked) => return Some(picked),
            Err(reason) => ctx.decisions.note("wait", &live.id, &reason),
        }
        let left = Duration::from_millis(live.deadline.since(now));
        tokio::select! {
            () = ctx.fleet.changed() => {}
            () = actix_rt::time::sleep(left.min(Duration::from_millis(250))) => {}
            command = live.commanded() => {
                if !matches!(command, Command::Move { .. }) {
                    give_up(ctx, live, "cancelled");
                    return None;
                }
            }
        }
    }
}

/// Reads one attempt until it ends.
async fn follow(ctx: &Rc<Ctx>, live: &Rc<Live>, picked: &Picked, attempt: AttemptId) -> Ended {
    let left = Duration::from_millis(live.deadline.since(ctx.clock.now()));
    let deadline = actix_rt::time::sleep(left);
    let read = read(ctx, live, picked, attempt);
    tokio::pin!(deadline, read);
    loop {
        tokio::select! {
            ended = &mut read => return ended,
            command = live.commanded() => match command {
                Command::Move { from, .. } if from != picked.name => {}
                command => return Ended::Command(command),
            },
            () = &mut deadline => return Ended::Deadline,
        }
    }
}

async fn read(ctx: &Rc<Ctx>, live: &Rc<Live>, picked: &Picked, attempt: AttemptId) -> Ended {
    let first = actix_rt::time::timeout(picked.patience, open(ctx, live, picked, attempt)).await;
    let mut events = match first {
        Ok(Ok(events)) => events,
        Ok(Err(cause)) => return Ended::Broke(cause),
        Err(_) => return Ended::Broke(Broke::Stalled),
    };
    let mut patience = picked.patience;
    loop {
        match actix_rt::time::timeout(patience, events.next()).await {
            Ok(Ok(event)) => {
                patience = ctx.options.stall;
                if let Some(ended) = take(ctx, live, attempt, event) {
                    return ended;
                }
            }
            Ok(Err(cause)) => return Ended::Broke(cause),
            Err(_) => return Ended::Broke(Broke::Stalled),
        }
    }
}

async fn open(
    ctx: &Rc<Ctx>,
    live: &Rc<Live>,
    picked: &Picked,
    attempt: AttemptId,
) -> Result<Events, Broke> {
    let (descriptor, transcript) = {
        let run = live.run.borrow();
        (run.descriptor().clone(), run.transcript().clone())
    };
    let Call::Completion { chat, .. } = descriptor.call else {
        return Err(Broke::Rejected { status: 400 });
    };
    let left = cumin_types::Millis(live.deadline.since(ctx.clock.now()));
    engine::open(engine::Options {
        client: &ctx.endpoints,
        address: picked.address,
        descriptor: &descriptor,
        transcript: &transcript,
        attempt,
        left,
        chat,
    })
    .await
}

/// Takes one event; returns how the attempt ended, when it did.
fn take(ctx: &Rc<Ctx>, live: &Rc<Live>, attempt: AttemptId, event: Event) -> Option<Ended> {
    match event {
        Event::Token {
            attempt: from,
            end,
            text,
        } => {
            let frame = live
                .run
                .borrow_mut()
                .frame(from.unwrap_or(attempt), end, &text);
            match frame {
                Frame::Accepted => {
                    ctx.metrics.tokens.inc();
                    ctx.replicas.dirty(ctx, live);
                    let bytes = live.run.borrow().transcript().bytes();
                    (bytes > MAX_ANSWER_BYTES).then(|| {
                        Ended::Whole(Finish {
                            outcome: Outcome::Done,
                            reason: "length".into(),
                            counts: cumin_request::Counts::default(),
                            body: None,
                        })
                    })
                }
                Frame::Stale | Frame::Duplicate => {
                    ctx.metrics.dropped.inc();
                    None
                }
                Frame::Gap => {
                    ctx.metrics.dropped.inc();
                    Some(Ended::Broke(Broke::Gap))
                }
            }
        }
        Event::End {
            attempt: from,
            reason,
            counts,
        } => {
            if from.is_some_and(|from| from != attempt) {
                ctx.metrics.dropped.inc();
                return None;
            }
            Some(Ended::Whole(Finish {
                outcome: Outcome::Done,
                reason,
                counts,
                body: None,
            }))
        }
    }
}

/// Decides after a broken attempt; true when the request goes on.
pub(super) async fn retry(
    ctx: &Rc<Ctx>,
    live: &Rc<Live>,
    picked: &Picked,
    attempt: AttemptId,
    cause: &Broke,
) -> bool {
    let next = live.run.borrow_mut().broke(attempt, cause);
    if next != Next::Retry {
        return false;
    }
    match ctx.fleet.retry(ctx, live, picked, cause) {
        Ok(delay) => {
            actix_rt::time::sleep(delay).await;
            true
        }
        Err(reason) => {
            give_up(ctx, live, &reason);
            false
        }
    }
}

/// Ends the request without the whole answer.
pub(super) fn give_up(ctx: &Rc<Ctx>, live: &Live, reason: &str) {
    let finish = live.run.borrow_mut().give_up(reason);
    let reasons = format!("outcome={} reason={reason}", finish.outcome);
    ctx.decisions.note("give_up", &live.id, &reasons);
}

/// Tells the endpoint that the attempt is not wanted any more; best effort.
fn cancel(ctx: &Rc<Ctx>, picked: &Picked, attempt: AttemptId) {
    let call = ctx
        .endpoints
        .delete(format!("http://{}/v1/attempts/{attempt}", picked.address));
    actix_rt::spawn(async move {
        if let Err(error) = call.timeout(Duration::from_secs(1)).send().await {
            log::debug!("event=cancel_failed attempt={attempt} error={error:?}");
        }
    });
}
