//! Runs a completion: attempts one after the other until the whole answer is there.

use std::rc::Rc;
use std::time::Duration;

use cumin_request::{AttemptFailure, Finish, FrameResult, NextStep};
use cumin_retry::{RetryDecision, Selection, Verdict};
use cumin_types::{AttemptId, Call, Millis, Outcome};

use super::engine::{self, Event, Events};
use super::{Command, Live, replica};
use crate::fleet::SelectedEndpoint;
use crate::node::Ctx;

/// Longest answer, bytes; bounds the memory of a request whose engine never ends.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Error code of a request that crashes endpoints.
pub(crate) const QUARANTINED: &str = "quarantined";

/// How an attempt ended.
enum Ended {
    Whole(Finish),
    Broke(AttemptFailure),
    Command(Command),
    Deadline,
}

/// Runs `live` to its end.
pub(super) async fn run(ctx: &Rc<Ctx>, live: &Rc<Live>) {
    let service = live.run.borrow().descriptor().service.clone();
    let mut prefer = None;
    loop {
        let again = !live.run.borrow().tried().is_empty();
        if again && !replica::confirm_owner(ctx, live).await {
            give_up(ctx, live, "superseded");
            return;
        }
        let Some(picked) = pick(ctx, live, prefer.take()).await else {
            return;
        };
        let attempt = AttemptId::now();
        live.run
            .borrow_mut()
            .begin_attempt(attempt, picked.name.clone());
        ctx.metrics.attempts.inc();
        ctx.fleet
            .attempt_started(&picked, live, attempt, ctx.clock.now());
        ctx.health
            .attempt_started(&service, live, &picked.name, ctx.clock.now());
        let ended = follow(ctx, live, &picked, attempt).await;
        let broke = broke_of(&ended);
        let whole = matches!(ended, Ended::Whole(_));
        ctx.fleet
            .attempt_ended(ctx, &picked, attempt, broke.as_ref());
        ctx.health
            .attempt_ended(ctx, &service, live, &picked, whole, broke.as_ref())
            .await;
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
                live.run
                    .borrow_mut()
                    .fail_attempt(attempt, &AttemptFailure::Moved);
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

fn broke_of(ended: &Ended) -> Option<AttemptFailure> {
    match ended {
        Ended::Broke(cause) => Some(cause.clone()),
        Ended::Command(Command::Move { .. }) => Some(AttemptFailure::Moved),
        _ => None,
    }
}

/// Chooses an endpoint, waiting for one until the deadline; ends the request when there is none.
async fn pick(
    ctx: &Rc<Ctx>,
    live: &Rc<Live>,
    prefer: Option<cumin_types::EndpointName>,
) -> Option<SelectedEndpoint> {
    loop {
        let now = ctx.clock.now();
        if now >= live.deadline {
            give_up(ctx, live, "deadline");
            return None;
        }
        let wait = match ctx.health.check(&live.print, now) {
            Verdict::Clear => match ctx.fleet.select(ctx, live, prefer.as_ref(), now) {
                Ok(picked) => return Some(picked),
                Err(reason) => {
                    ctx.decisions.note("wait", &live.id, &reason);
                    Millis(250)
                }
            },
            Verdict::Suspect { .. } => match place_suspect(ctx, live, now) {
                Ok(picked) => return Some(picked),
                Err(wait) => wait,
            },
            Verdict::Hold { until } => Millis(until.since(now)),
            Verdict::Rejected(rejection) => {
                ctx.decisions.note("quarantine", &live.id, &rejection);
                live.run
                    .borrow_mut()
                    .finish_with(Finish::without_answer(Outcome::Failed, QUARANTINED));
                return None;
            }
        };
        let left = Millis(live.deadline.since(now));
        tokio::select! {
            () = ctx.fleet.changed() => {}
            () = actix_rt::time::sleep(left.min(wait).max(Millis(1)).duration()) => {}
            command = live.commanded() => {
                if !matches!(command, Command::Move { .. }) {
                    give_up(ctx, live, "cancelled");
                    return None;
                }
            }
        }
    }
}

/// Chooses where a suspect runs apart from others; else the time after which to ask again.
fn place_suspect(ctx: &Ctx, live: &Live, now: Millis) -> Result<SelectedEndpoint, Millis> {
    let candidates = ctx.fleet.suspect_candidates(ctx, live);
    let left = Millis(live.deadline.since(now));
    let choice = ctx.health.select_for_suspect(
        &live.print,
        &candidates,
        left,
        Millis(live.prompt.output_tokens * 10),
        now,
    );
    ctx.decisions.note("suspect", &live.id, &choice);
    if let Selection::Wait {
        recheck_after: after,
        ..
    } = &choice
    {
        return Err(*after);
    }
    let picked = choice
        .endpoint()
        .and_then(|name| ctx.fleet.endpoint(ctx, name, 0));
    picked.ok_or(Millis(250))
}

/// Reads one attempt until it ends.
async fn follow(
    ctx: &Rc<Ctx>,
    live: &Rc<Live>,
    picked: &SelectedEndpoint,
    attempt: AttemptId,
) -> Ended {
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

async fn read(
    ctx: &Rc<Ctx>,
    live: &Rc<Live>,
    picked: &SelectedEndpoint,
    attempt: AttemptId,
) -> Ended {
    let first =
        actix_rt::time::timeout(picked.start_timeout, open(ctx, live, picked, attempt)).await;
    let mut events = match first {
        Ok(Ok(events)) => events,
        Ok(Err(cause)) => return Ended::Broke(cause),
        Err(_) => return Ended::Broke(AttemptFailure::Stalled),
    };
    let mut patience = picked.start_timeout;
    loop {
        match actix_rt::time::timeout(patience, events.next()).await {
            Ok(Ok(event)) => {
                patience = ctx.options.stall_timeout;
                if let Some(ended) = take(ctx, live, attempt, event) {
                    return ended;
                }
            }
            Ok(Err(cause)) => return Ended::Broke(cause),
            Err(_) => return Ended::Broke(AttemptFailure::Stalled),
        }
    }
}

async fn open(
    ctx: &Rc<Ctx>,
    live: &Rc<Live>,
    picked: &SelectedEndpoint,
    attempt: AttemptId,
) -> Result<Events, AttemptFailure> {
    let (descriptor, transcript) = {
        let run = live.run.borrow();
        (run.descriptor().clone(), run.transcript().clone())
    };
    let Call::Completion { chat, .. } = descriptor.call else {
        return Err(AttemptFailure::Rejected { status: 400 });
    };
    let left = Millis(live.deadline.since(ctx.clock.now()));
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
                .receive_frame(from.unwrap_or(attempt), end, &text);
            match frame {
                FrameResult::Accepted => {
                    ctx.metrics.tokens.inc();
                    live.beat(ctx.clock.now());
                    ctx.replicas.dirty(ctx, live);
                    let bytes = live.run.borrow().transcript().memory_bytes();
                    (bytes > MAX_ANSWER_BYTES).then(|| {
                        Ended::Whole(Finish {
                            outcome: Outcome::Done,
                            reason: "length".into(),
                            counts: cumin_request::TokenCounts::default(),
                            body: None,
                        })
                    })
                }
                FrameResult::Stale | FrameResult::Duplicate => {
                    ctx.metrics.dropped_frames.inc();
                    None
                }
                FrameResult::Gap => {
                    ctx.metrics.dropped_frames.inc();
                    Some(Ended::Broke(AttemptFailure::Gap))
                }
            }
        }
        Event::End {
            attempt: from,
            reason,
            counts,
        } => {
            if from.is_some_and(|from| from != attempt) {
                ctx.metrics.dropped_frames.inc();
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
    picked: &SelectedEndpoint,
    attempt: AttemptId,
    cause: &AttemptFailure,
) -> bool {
    let next = live.run.borrow_mut().fail_attempt(attempt, cause);
    if next != NextStep::Retry {
        return false;
    }
    match ctx.health.retry(ctx, live, picked, cause) {
        RetryDecision::Retry { delay: after, .. } => {
            actix_rt::time::sleep(after.duration()).await;
            true
        }
        RetryDecision::GiveUp { reason, .. } => {
            give_up(ctx, live, &format!("{cause}_{reason}"));
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
fn cancel(ctx: &Rc<Ctx>, picked: &SelectedEndpoint, attempt: AttemptId) {
    let call = ctx
        .endpoints
        .delete(format!("http://{}/v1/attempts/{attempt}", picked.address));
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        if let Err(error) = call.timeout(Duration::from_secs(1)).send().await {
            log::debug!("event=cancel_failed attempt={attempt} error={error:?}");
        }
    });
}
