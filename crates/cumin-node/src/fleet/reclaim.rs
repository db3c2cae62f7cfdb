//! Moves running requests off an endpoint that is leaving.
//!
//! A request whose KV cache can be transferred before the notice ends is exported and imported at
//! another endpoint; the others resume there by prefilling their text. Every step is safe to
//! repeat: an export that is never imported disappears with its endpoint, and a request that has
//! already moved ignores a late command.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_route::{Move, MoveMethod, MoveProgress, ReclaimOptions, RunningRequest, rank_reclaim};
use cumin_types::{AttemptId, Call, EndpointName, Millis};
use cumin_wire::engine::{Export, Exported, Import, Imported};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::Ctx;
use crate::request::{ActiveRequest, Command};
use crate::statement::Standing;

/// Divides the notice time to get the margin that is kept free after the last transfer. With a
/// fixed margin of 1 s, a notice of 1 s left no time for any transfer.
const MARGIN_DIVISOR: u64 = 5;
/// Longest margin.
const MAX_MARGIN_MS: u64 = 1000;
/// Estimated size of the KV cache per token, used until an export reports the real size.
const KV_BYTES_PER_TOKEN: u64 = 128 << 10;

/// Moves all requests of this node off `endpoint`, which stops after `time_left`.
pub(super) async fn evacuate(ctx: Rc<Ctx>, endpoint: EndpointName, time_left: Millis) {
    let from = ctx
        .fleet
        .router
        .borrow()
        .info(&endpoint)
        .map(|info| info.address);
    let running = ctx.fleet.running_at(&ctx, &endpoint);
    let margin = Millis((time_left.0 / MARGIN_DIVISOR).min(MAX_MARGIN_MS));
    let options = ReclaimOptions {
        time_left,
        margin,
        ..ReclaimOptions::default()
    };
    let steps = plan(&ctx, &endpoint, &running, &options);
    let latest_ms = time_left.since(margin);
    for step in steps {
        let Some((_, active)) = running.iter().find(|(attempt, _)| *attempt == step.attempt) else {
            continue;
        };
        ctx.decisions.record("move", &active.id, &step);
        let (ctx, active, endpoint) = (Rc::clone(&ctx), Rc::clone(active), endpoint.clone());
        if let (MoveMethod::Export, Some(from)) = (&step.how, from) {
            // Transfers run one at a time, in the order of the plan.
            let to = transfer(&ctx, from, &step).await;
            move_request(&ctx, &active, endpoint, to);
        } else {
            let delay_ms = if step.how == MoveMethod::Stay {
                latest_ms
            } else {
                whole_millis(step.starts_ms).min(latest_ms)
            };
            let tasks = ctx.tasks.clone();
            tasks.spawn(async move {
                actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
                move_request(&ctx, &active, endpoint, None);
            });
        }
    }
}

/// Rounds down to whole milliseconds.
fn whole_millis(millis: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "below the notice"
    )]
    let whole = millis.max(0.0) as u64;
    whole
}

/// Tells a request to continue at another endpoint, unless it has ended or moved already.
fn move_request(ctx: &Ctx, active: &ActiveRequest, from: EndpointName, to: Option<EndpointName>) {
    if active.run.borrow().endpoint() == Some(&from) {
        ctx.metrics.moved_requests.inc();
        active.send_command(Command::Move { from, to });
    }
}

fn plan(
    ctx: &Rc<Ctx>,
    endpoint: &EndpointName,
    running: &[(AttemptId, Rc<ActiveRequest>)],
    options: &ReclaimOptions,
) -> Vec<Move> {
    let router = ctx.fleet.router.borrow();
    let mut targets = Vec::new();
    let mut requests = Vec::new();
    for (attempt, active) in running {
        let run = active.run.borrow();
        let descriptor = run.descriptor();
        // A plain call can't move: it ends before the notice does, or its connection breaks.
        let Call::Completion { model, .. } = &descriptor.call else {
            continue;
        };
        if targets.is_empty() {
            targets = router.reclaim_targets(&descriptor.service, model);
            let now = ctx.clock.now();
            for target in &mut targets {
                target.leaving |= ctx.statements.standing(&target.endpoint, now) != Standing::Open;
            }
        }
        let position = run.transcript().position().0;
        let tokens = active.prompt.tokens + position;
        requests.push(RunningRequest {
            attempt: *attempt,
            endpoint: endpoint.clone(),
            model: model.clone(),
            tokens,
            bytes: tokens * KV_BYTES_PER_TOKEN,
            priority: descriptor.priority,
            deadline: Some(active.deadline),
            remaining: active.remaining_time(ctx.clock.now()),
            generating: position > 0,
            cached: router.cached_tokens(&active.prompt.block_hashes),
            progress: MoveProgress::Waiting,
        });
    }
    rank_reclaim(&requests, options, &targets)
}

/// Exports the KV cache and imports it at the target. Returns the target, or none when a step
/// fails.
async fn transfer(ctx: &Rc<Ctx>, from: SocketAddr, step: &Move) -> Option<EndpointName> {
    let to = step.to.clone()?;
    let address = ctx.fleet.router.borrow().info(&to)?.address;
    let export = Export {
        attempt: step.attempt.to_string(),
    };
    let exported: Exported = post(ctx, &format!("http://{from}/v1/kv/export"), &export).await?;
    let import = Import {
        handle: exported.handle,
        from: format!("http://{from}"),
    };
    let imported: Imported = post(ctx, &format!("http://{address}/v1/kv/import"), &import).await?;
    log::info!(
        "event=kv_moved attempt={} to={to} tokens={}",
        step.attempt,
        imported.tokens
    );
    Some(to)
}

async fn post<T: DeserializeOwned>(ctx: &Ctx, url: &str, body: &impl Serialize) -> Option<T> {
    let request = ctx
        .pooled
        .post(url)
        .timeout(Duration::from_secs(5))
        .send_json(body);
    let mut response = match request.await {
        Ok(response) if response.status().is_success() => response,
        Ok(response) => {
            log::warn!(
                "event=kv_move_failed url={url} status={}",
                response.status().as_u16()
            );
            return None;
        }
        Err(error) => {
            log::warn!("event=kv_move_failed url={url} error={error:?}");
            return None;
        }
    };
    response.json().await.ok()
}
