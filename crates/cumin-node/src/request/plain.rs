//! Runs a call of a plain service. Idempotent calls are retried; others need a claim on their key
//! and run at most once.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use cumin_http::client;
use cumin_request::{AttemptFailure, Finish, PlainResponse, TokenCounts};
use cumin_types::{AttemptId, Call, Descriptor, Outcome, Repeat};
use cumin_wire::header;

use super::completion::{give_up, refuse_all_waiting, retry};
use super::{ActiveRequest, engine};
use crate::fleet::SelectedEndpoint;
use crate::node::Ctx;
use crate::record::ClaimResult;
use crate::statement;

/// Largest response body of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Runs the call to its end.
pub(super) async fn run(ctx: &Rc<Ctx>, active: &Rc<ActiveRequest>) {
    let descriptor = active.run.borrow().descriptor().clone();
    let Call::Plain { repeat, .. } = descriptor.call else {
        give_up(ctx, active, "not_a_plain_call");
        return;
    };
    if let Repeat::Once(key) = repeat {
        match ctx.records.claim(ctx, active, key).await {
            // The log has no other claim on the key, so the call has not been dispatched before.
            ClaimResult::Granted => active.run.borrow_mut().claim_granted(),
            ClaimResult::Ended(finish) => {
                active.run.borrow_mut().finish_with(finish);
                return;
            }
        }
        run_attempts(ctx, active, &descriptor).await;
        ctx.records.settle(ctx, active).await;
    } else {
        run_attempts(ctx, active, &descriptor).await;
    }
}

async fn run_attempts(ctx: &Rc<Ctx>, active: &Rc<ActiveRequest>, descriptor: &Descriptor) {
    loop {
        let now = ctx.clock.now();
        if now >= active.deadline {
            give_up(ctx, active, "deadline");
            return;
        }
        let selected = match ctx.fleet.select(ctx, active, None, now) {
            Ok(selected) => selected,
            Err(_) if refuse_all_waiting(ctx, active) => return,
            Err(reason) => {
                ctx.decisions.record("wait", &active.id, &reason);
                let left = Duration::from_millis(active.deadline.since(now));
                tokio::select! {
                    () = ctx.fleet.changed() => {}
                    () = actix_rt::time::sleep(left.min(Duration::from_millis(250))) => {}
                }
                continue;
            }
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
            .attempt_started(&descriptor.service, active, &selected.name, ctx.clock.now());
        let response = send_call(ctx, active, descriptor, &selected, attempt).await;
        let failure = response.as_ref().err();
        ctx.fleet.attempt_ended(ctx, &selected, attempt, failure);
        ctx.health
            .attempt_ended(
                ctx,
                &descriptor.service,
                active,
                &selected,
                failure.is_none(),
                failure,
            )
            .await;
        match response {
            Ok(body) => {
                let counts = TokenCounts::default();
                let reason = format!("status_{}", body.status);
                let outcome = Outcome::Done;
                let finish = Finish {
                    outcome,
                    reason,
                    counts,
                    body: Some(body),
                };
                active.run.borrow_mut().complete(attempt, finish);
                return;
            }
            Err(cause) => {
                if !retry(ctx, active, &selected, attempt, &cause).await {
                    return;
                }
            }
        }
    }
}

async fn send_call(
    ctx: &Rc<Ctx>,
    active: &ActiveRequest,
    descriptor: &Descriptor,
    selected: &SelectedEndpoint,
    attempt: AttemptId,
) -> Result<PlainResponse, AttemptFailure> {
    let Call::Plain {
        method,
        path,
        content_type,
        binary,
        repeat,
    } = &descriptor.call
    else {
        return Err(AttemptFailure::Rejected { status: 400 });
    };
    let method: Method = method
        .parse()
        .map_err(|_| AttemptFailure::Rejected { status: 400 })?;
    let left = active.deadline.since(ctx.clock.now());
    let mut headers = vec![
        (header::REQUEST_ID, descriptor.id.to_string()),
        (header::ATTEMPT_ID, attempt.to_string()),
        (header::DEADLINE_MS, left.to_string()),
    ];
    if let Some(content_type) = content_type {
        headers.push(("content-type", content_type.clone()));
    }
    if let Repeat::Once(key) = repeat {
        headers.push((header::IDEMPOTENCY_KEY, key.to_string()));
    }
    let body = if *binary {
        hex::decode(&descriptor.body).map_err(|_| AttemptFailure::Rejected { status: 400 })?
    } else {
        descriptor.body.clone().into_bytes()
    };
    let call = client::Call {
        method,
        path: format!("/{path}"),
        headers,
        body: Some(body.into()),
    };
    let sent = ctx.clock.now();
    let exchange = async {
        let mut answer = client::send(selected.address, call, ctx.options.connect_timeout)
            .await
            .map_err(|error| engine::send_failure(&error))?;
        let (status, headers) = (answer.head.status, &answer.head.headers);
        let endpoint = selected.stated_by();
        statement::attempt_answered(ctx, endpoint, (&active.id, sent), status, headers);
        let status = status.as_u16();
        let not_started = answer.head.headers.contains_key(header::NOT_STARTED);
        if not_started || (matches!(repeat, Repeat::Idempotent) && status >= 500) {
            return Err(engine::status_failure(status, not_started));
        }
        let content_type = answer
            .head
            .headers
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let bytes = answer
            .read_body(MAX_ANSWER_BYTES)
            .await
            .map_err(|_| AttemptFailure::ConnectionLost)?;
        Ok(response_body(status, content_type, &bytes))
    };
    let timeout = Duration::from_millis(left);
    let timeout = match repeat {
        Repeat::Once(_) => timeout,
        Repeat::Idempotent => timeout.min(selected.start_timeout),
    };
    actix_rt::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(AttemptFailure::Stalled))
}

fn response_body(status: u16, content_type: Option<String>, bytes: &[u8]) -> PlainResponse {
    match std::str::from_utf8(bytes) {
        Ok(text) => PlainResponse {
            status,
            content: content_type,
            text: text.into(),
            binary: false,
        },
        Err(_) => PlainResponse {
            status,
            content: content_type,
            text: hex::encode(bytes),
            binary: true,
        },
    }
}
