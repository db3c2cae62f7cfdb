//! Runs a call of a plain service: idempotent ones with retries, others under a claim.

use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use cumin_request::{AttemptFailure, Finish, PlainResponse, TokenCounts};
use cumin_types::{AttemptId, Call, Descriptor, Outcome, Repeat};
use cumin_wire::header;

use super::completion::{give_up, retry};
use super::{Live, engine};
use crate::fleet::SelectedEndpoint;
use crate::node::Ctx;
use crate::record::Claimed;

/// Largest answer of a plain service, bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Runs `live` to its end.
pub(super) async fn run(ctx: &Rc<Ctx>, live: &Rc<Live>) {
    let descriptor = live.run.borrow().descriptor().clone();
    let Call::Plain { repeat, .. } = descriptor.call else {
        give_up(ctx, live, "not_a_plain_call");
        return;
    };
    if let Repeat::Once(key) = repeat {
        match ctx.records.claim(ctx, live, key).await {
            // The log has no other claim, so nobody dispatched this call before.
            Claimed::Granted => live.run.borrow_mut().claim_granted(),
            Claimed::Ended(finish) => {
                live.run.borrow_mut().finish_with(finish);
                return;
            }
        }
        attempts(ctx, live, &descriptor).await;
        ctx.records.settle(ctx, live).await;
    } else {
        attempts(ctx, live, &descriptor).await;
    }
}

async fn attempts(ctx: &Rc<Ctx>, live: &Rc<Live>, descriptor: &Descriptor) {
    loop {
        let now = ctx.clock.now();
        if now >= live.deadline {
            give_up(ctx, live, "deadline");
            return;
        }
        let picked = match ctx.fleet.select(ctx, live, None, now) {
            Ok(picked) => picked,
            Err(reason) => {
                ctx.decisions.note("wait", &live.id, &reason);
                let left = Duration::from_millis(live.deadline.since(now));
                tokio::select! {
                    () = ctx.fleet.changed() => {}
                    () = actix_rt::time::sleep(left.min(Duration::from_millis(250))) => {}
                }
                continue;
            }
        };
        let attempt = AttemptId::now();
        live.run
            .borrow_mut()
            .begin_attempt(attempt, picked.name.clone());
        ctx.metrics.attempts.inc();
        ctx.fleet
            .attempt_started(&picked, live, attempt, ctx.clock.now());
        ctx.health
            .attempt_started(&descriptor.service, live, &picked.name, ctx.clock.now());
        let answer = call(ctx, live, descriptor, &picked, attempt).await;
        let broke = answer.as_ref().err();
        ctx.fleet.attempt_ended(ctx, &picked, attempt, broke);
        ctx.health
            .attempt_ended(
                ctx,
                &descriptor.service,
                live,
                &picked,
                broke.is_none(),
                broke,
            )
            .await;
        match answer {
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
                live.run.borrow_mut().complete(attempt, finish);
                return;
            }
            Err(cause) => {
                if !retry(ctx, live, &picked, attempt, &cause).await {
                    return;
                }
            }
        }
    }
}

async fn call(
    ctx: &Rc<Ctx>,
    live: &Live,
    descriptor: &Descriptor,
    picked: &SelectedEndpoint,
    attempt: AttemptId,
) -> Result<PlainResponse, AttemptFailure> {
    let Call::Plain {
        method,
        path,
        content,
        binary,
        repeat,
    } = &descriptor.call
    else {
        return Err(AttemptFailure::Rejected { status: 400 });
    };
    let method: Method = method
        .parse()
        .map_err(|_| AttemptFailure::Rejected { status: 400 })?;
    // A connection that the endpoint closed while it was idle would break a call after its
    // first byte, so a call that may run once gets a new connection.
    let client = match repeat {
        Repeat::Once(_) => &ctx.unpooled,
        Repeat::Idempotent => &ctx.endpoints,
    };
    let left = live.deadline.since(ctx.clock.now());
    let mut call = client
        .request(method, format!("http://{}/{path}", picked.address))
        .insert_header((header::REQUEST_ID, descriptor.id.to_string()))
        .insert_header((header::ATTEMPT_ID, attempt.to_string()))
        .insert_header((header::DEADLINE_MS, left.to_string()));
    if let Some(content) = content {
        call = call.insert_header(("content-type", content.as_str()));
    }
    if let Repeat::Once(key) = repeat {
        call = call.insert_header((header::IDEMPOTENCY_KEY, key.to_string()));
    }
    let body = if *binary {
        hex::decode(&descriptor.body).map_err(|_| AttemptFailure::Rejected { status: 400 })?
    } else {
        descriptor.body.clone().into_bytes()
    };
    let exchange = async {
        let mut answer = call
            .send_body(body)
            .await
            .map_err(|error| engine::broke(&error))?;
        let status = answer.status().as_u16();
        let unstarted = answer.headers().contains_key(header::NOT_STARTED);
        if unstarted || (matches!(repeat, Repeat::Idempotent) && status >= 500) {
            return Err(engine::refusal(status, unstarted));
        }
        let content = answer
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let bytes = answer
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|_| AttemptFailure::ConnectionLost)?;
        Ok(body_of(status, content, &bytes))
    };
    let patience = Duration::from_millis(left);
    let patience = match repeat {
        Repeat::Once(_) => patience,
        Repeat::Idempotent => patience.min(picked.start_timeout),
    };
    actix_rt::time::timeout(patience, exchange)
        .await
        .unwrap_or(Err(AttemptFailure::Stalled))
}

fn body_of(status: u16, content: Option<String>, bytes: &[u8]) -> PlainResponse {
    match std::str::from_utf8(bytes) {
        Ok(text) => PlainResponse {
            status,
            content,
            text: text.into(),
            binary: false,
        },
        Err(_) => PlainResponse {
            status,
            content,
            text: hex::encode(bytes),
            binary: true,
        },
    }
}
