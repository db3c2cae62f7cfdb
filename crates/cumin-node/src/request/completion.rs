//! Runs a completion: makes attempts one after another until the answer is complete.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use cumin_request::{AttemptFailure, Finish, FrameResult, NextStep};
use cumin_retry::{RetryDecision, Selection, Verdict};
use cumin_types::{AttemptId, Call, Millis, Outcome};

use super::engine::{self, Event, EventStream};
use super::{ActiveRequest, Command, replica};
use crate::fleet::SelectedEndpoint;
use crate::node::Ctx;
use crate::statement;

/// Longest answer, in bytes; bounds the memory of a request whose engine never stops.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Error code of a request that was rejected because it crashes endpoints.
pub(crate) const QUARANTINED: &str = "quarantined";

/// Reason of the end of a request whose possible endpoints all want nothing for a time.
pub(crate) const ENDPOINTS_WAIT: &str = "endpoints_wait";

/// How an attempt ended.
enum AttemptResult {
    Completed(Finish),
    Failed(AttemptFailure),
    Command(Command),
    Deadline,
}

/// Runs the request to its end.
pub(super) async fn run(ctx: &Rc<Ctx>, active: &Rc<ActiveRequest>) {
    let service = active.run.borrow().descriptor().service.clone();
    let mut preferred = None;
    loop {
        let is_retry = !active.run.borrow().tried().is_empty();
        if is_retry && !replica::confirm_owner(ctx, active).await {
            give_up(ctx, active, "superseded");
            return;
        }
        let Some(selected) = select_endpoint(ctx, active, preferred.take()).await else {
            return;
        };
        let attempt = AttemptId::now();
        active
            .run
            .borrow_mut()
            .begin_attempt(attempt, selected.name.clone());
        ctx.metrics.attempts.inc();
        ctx.fleet
            .attempt_started(ctx, &selected, active, attempt, ctx.clock.now());
        ctx.health
            .attempt_started(&service, active, &selected.name, ctx.clock.now());
        let result = run_attempt(ctx, active, &selected, attempt).await;
        let failure = failure_of(&result);
        let completed = matches!(result, AttemptResult::Completed(_));
        ctx.fleet
            .attempt_ended(ctx, &selected, attempt, failure.as_ref());
        ctx.health
            .attempt_ended(
                ctx,
                &service,
                active,
                &selected,
                completed,
                failure.as_ref(),
            )
            .await;
        match result {
            AttemptResult::Completed(finish) => {
                active.run.borrow_mut().complete(attempt, finish);
                return;
            }
            AttemptResult::Deadline => {
                cancel(ctx, &selected, attempt);
                give_up(ctx, active, "deadline");
                return;
            }
            AttemptResult::Command(Command::Move { to, .. }) => {
                cancel(ctx, &selected, attempt);
                active
                    .run
                    .borrow_mut()
                    .fail_attempt(attempt, &AttemptFailure::Moved);
                preferred = to;
            }
            AttemptResult::Command(command) => {
                cancel(ctx, &selected, attempt);
                give_up(
                    ctx,
                    active,
                    if command == Command::Cancel {
                        "cancelled"
                    } else {
                        "superseded"
                    },
                );
                return;
            }
            AttemptResult::Failed(cause) => {
                if !was_turned_away(ctx, &selected, &cause) {
                    cancel(ctx, &selected, attempt);
                }
                if !retry(ctx, active, &selected, attempt, &cause).await {
                    return;
                }
            }
        }
    }
}

/// Returns whether an endpoint refused an attempt and wants nothing more, not even a cancellation.
fn was_turned_away(ctx: &Ctx, selected: &SelectedEndpoint, cause: &AttemptFailure) -> bool {
    matches!(
        cause,
        AttemptFailure::NotStarted | AttemptFailure::ErrorStatus { status: 503 }
    ) && ctx.statements.is_waiting(&selected.name, ctx.clock.now())
}

fn failure_of(result: &AttemptResult) -> Option<AttemptFailure> {
    match result {
        AttemptResult::Failed(cause) => Some(cause.clone()),
        AttemptResult::Command(Command::Move { .. }) => Some(AttemptFailure::Moved),
        _ => None,
    }
}

/// Selects an endpoint, and waits for one until the deadline. When there is none, ends the request
/// and returns `None`.
async fn select_endpoint(
    ctx: &Rc<Ctx>,
    active: &Rc<ActiveRequest>,
    preferred: Option<cumin_types::EndpointName>,
) -> Option<SelectedEndpoint> {
    loop {
        let now = ctx.clock.now();
        if now >= active.deadline {
            give_up(ctx, active, "deadline");
            return None;
        }
        let wait = match ctx.health.check(&active.fingerprint, now) {
            Verdict::Clear => match ctx.fleet.select(ctx, active, preferred.as_ref(), now) {
                Ok(selected) => return Some(selected),
                Err(_) if refuse_all_waiting(ctx, active) => return None,
                Err(reason) => {
                    ctx.decisions.record("wait", &active.id, &reason);
                    Millis(250)
                }
            },
            Verdict::Suspect { .. } => match select_for_suspect(ctx, active, now) {
                Ok(selected) => return Some(selected),
                Err(_) if refuse_all_waiting(ctx, active) => return None,
                Err(wait) => wait,
            },
            Verdict::Hold { until } => Millis(until.since(now)),
            Verdict::Rejected(rejection) => {
                ctx.decisions.record("quarantine", &active.id, &rejection);
                active
                    .run
                    .borrow_mut()
                    .finish_with(Finish::without_answer(Outcome::Failed, QUARANTINED));
                return None;
            }
        };
        let left = Millis(active.deadline.since(now));
        tokio::select! {
            () = ctx.fleet.changed() => {}
            () = actix_rt::time::sleep(left.min(wait).max(Millis(1)).duration()) => {}
            command = active.next_command() => {
                if !matches!(command, Command::Move { .. }) {
                    give_up(ctx, active, "cancelled");
                    return None;
                }
            }
        }
    }
}

/// Selects an endpoint where a suspect runs apart from other suspects, or returns the time after
/// which to try again.
fn select_for_suspect(
    ctx: &Ctx,
    active: &ActiveRequest,
    now: Millis,
) -> Result<SelectedEndpoint, Millis> {
    let candidates = ctx.fleet.suspect_candidates(ctx, active);
    let left = Millis(active.deadline.since(now));
    let choice = ctx.health.select_for_suspect(
        &active.fingerprint,
        &candidates,
        left,
        // Assumes 10 ms per output token.
        Millis(active.prompt.output_tokens * 10),
        now,
    );
    ctx.decisions.record("suspect", &active.id, &choice);
    if let Selection::Wait { recheck_after, .. } = &choice {
        return Err(*recheck_after);
    }
    let selected = choice
        .endpoint()
        .and_then(|name| ctx.fleet.endpoint(ctx, name, 0));
    selected.ok_or(Millis(250))
}

/// Runs one attempt until it ends, a command stops it or the deadline passes.
async fn run_attempt(
    ctx: &Rc<Ctx>,
    active: &Rc<ActiveRequest>,
    selected: &SelectedEndpoint,
    attempt: AttemptId,
) -> AttemptResult {
    let left = Duration::from_millis(active.deadline.since(ctx.clock.now()));
    let deadline = actix_rt::time::sleep(left);
    let reading = read_events(ctx, active, selected, attempt);
    tokio::pin!(deadline, reading);
    loop {
        tokio::select! {
            result = &mut reading => return result,
            command = active.next_command() => match command {
                Command::Move { from, .. } if from != selected.name => {}
                command => return AttemptResult::Command(command),
            },
            () = &mut deadline => return AttemptResult::Deadline,
        }
    }
}

async fn read_events(
    ctx: &Rc<Ctx>,
    active: &Rc<ActiveRequest>,
    selected: &SelectedEndpoint,
    attempt: AttemptId,
) -> AttemptResult {
    let opened = actix_rt::time::timeout(
        selected.start_timeout,
        open_events(ctx, active, selected, attempt),
    )
    .await;
    let mut events = match opened {
        Ok(Ok(events)) => events,
        Ok(Err(cause)) => return AttemptResult::Failed(cause),
        Err(_) => return AttemptResult::Failed(AttemptFailure::Stalled),
    };
    let mut timeout = selected.start_timeout;
    loop {
        match actix_rt::time::timeout(timeout, events.next()).await {
            Ok(Ok(event)) => {
                timeout = ctx.options.stall_timeout;
                if let Some(result) = handle_event(ctx, active, attempt, event) {
                    return result;
                }
            }
            Ok(Err(cause)) => return AttemptResult::Failed(cause),
            Err(_) => return AttemptResult::Failed(AttemptFailure::Stalled),
        }
    }
}

async fn open_events(
    ctx: &Rc<Ctx>,
    active: &Rc<ActiveRequest>,
    selected: &SelectedEndpoint,
    attempt: AttemptId,
) -> Result<EventStream, AttemptFailure> {
    let (descriptor, transcript) = {
        let run = active.run.borrow();
        (run.descriptor().clone(), run.transcript().clone())
    };
    let Call::Completion { chat, .. } = descriptor.call else {
        return Err(AttemptFailure::Rejected { status: 400 });
    };
    let left = Millis(active.deadline.since(ctx.clock.now()));
    let sent = ctx.clock.now();
    let heard = |head: &ResponseHead| {
        let source = (&active.id as &dyn Display, sent);
        let endpoint = selected.stated_by();
        statement::attempt_answered(ctx, endpoint, source, head.status, &head.headers);
    };
    engine::open(engine::Options {
        connect_timeout: ctx.options.connect_timeout,
        address: selected.address,
        descriptor: &descriptor,
        transcript: &transcript,
        attempt,
        time_left: left,
        chat,
        heard: &heard,
    })
    .await
}

/// Handles one event from the engine; returns a result when the attempt has ended.
fn handle_event(
    ctx: &Rc<Ctx>,
    active: &Rc<ActiveRequest>,
    attempt: AttemptId,
    event: Event,
) -> Option<AttemptResult> {
    match event {
        Event::Token {
            attempt: from,
            end,
            text,
        } => {
            let frame = active
                .run
                .borrow_mut()
                .receive_frame(from.unwrap_or(attempt), end, &text);
            match frame {
                FrameResult::Accepted => {
                    ctx.metrics.tokens.inc();
                    active.record_token(ctx.clock.now());
                    ctx.replicator.mark_dirty(ctx, active);
                    let bytes = active.run.borrow().transcript().memory_bytes();
                    (bytes > MAX_ANSWER_BYTES).then(|| {
                        AttemptResult::Completed(Finish {
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
                    Some(AttemptResult::Failed(AttemptFailure::Gap))
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
            Some(AttemptResult::Completed(Finish {
                outcome: Outcome::Done,
                reason,
                counts,
                body: None,
            }))
        }
    }
}

/// Decides whether to retry after a failed attempt, and waits for the delay. Returns false when the
/// request has ended.
pub(super) async fn retry(
    ctx: &Rc<Ctx>,
    active: &Rc<ActiveRequest>,
    selected: &SelectedEndpoint,
    attempt: AttemptId,
    cause: &AttemptFailure,
) -> bool {
    let next = active.run.borrow_mut().fail_attempt(attempt, cause);
    if next != NextStep::Retry {
        return false;
    }
    if refuse_all_waiting(ctx, active) {
        return false;
    }
    match ctx.health.retry(ctx, active, selected, cause) {
        RetryDecision::Retry { delay, .. } => {
            actix_rt::time::sleep(delay.duration()).await;
            true
        }
        RetryDecision::GiveUp { reason, .. } => {
            give_up(ctx, active, &format!("{cause}_{reason}"));
            false
        }
    }
}

/// Ends a request that has not begun if all endpoints that could run it want nothing. Returns
/// whether it did.
pub(super) fn refuse_all_waiting(ctx: &Rc<Ctx>, active: &ActiveRequest) -> bool {
    let Some(wait) = ctx.fleet.all_waiting(ctx, active, ctx.clock.now()) else {
        return false;
    };
    let reasons = format!("reason={ENDPOINTS_WAIT} wait_ms={wait}");
    ctx.decisions.record("refuse", &active.id, &reasons);
    give_up(ctx, active, ENDPOINTS_WAIT);
    true
}

/// Ends the request without a complete answer.
pub(super) fn give_up(ctx: &Rc<Ctx>, active: &ActiveRequest, reason: &str) {
    let finish = active.run.borrow_mut().give_up(reason);
    let reasons = format!("outcome={} reason={reason}", finish.outcome);
    ctx.decisions.record("give_up", &active.id, &reasons);
}

/// Asks the endpoint to cancel the attempt; a failure is only logged.
fn cancel(ctx: &Rc<Ctx>, selected: &SelectedEndpoint, attempt: AttemptId) {
    let call = ctx
        .pooled
        .delete(format!("http://{}/v1/attempts/{attempt}", selected.address));
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        if let Err(error) = call.timeout(Duration::from_secs(1)).send().await {
            log::debug!("event=cancel_failed attempt={attempt} error={error:?}");
        }
    });
}
