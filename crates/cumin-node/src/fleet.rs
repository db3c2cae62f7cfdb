//! The endpoints, as this node sees them: where to send, what runs there, who is leaving.

mod reclaim;
mod watch;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_request::Broke;
use cumin_route::{Finish, NoEndpoint, Options, Query, Router, Work};
use cumin_types::{AttemptId, Call, EndpointName, Millis, RequestId};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::node::Ctx;
use crate::request::Live;

/// Attempts of a request before it is given up; the retry budget usually ends it earlier.
const MAX_ATTEMPTS: usize = 8;
/// Expected length of an answer whose caller names no limit, tokens.
const EXPECTED_OUTPUT: u64 = 256;

/// The endpoint of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Picked {
    pub(crate) name: EndpointName,
    pub(crate) address: SocketAddr,
    /// Longest wait for the first frame.
    pub(crate) patience: Duration,
    cached: u64,
}

/// What a request's prompt means to the router; computed once a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prompt {
    blocks: Vec<u64>,
    tokens: u64,
    output: u64,
}

impl Prompt {
    /// Reads the prompt of a completion; empty for a plain call.
    pub(crate) fn of(call: &Call, body: &str) -> Self {
        let Call::Completion { model, .. } = call else {
            return Self::default();
        };
        let Ok(body) = serde_json::from_str::<cumin_wire::completion::Request>(body) else {
            return Self::default();
        };
        let text = body.prompt_text();
        Self {
            blocks: cumin_wire::engine::block_hashes(model.as_str(), &text),
            tokens: cumin_wire::engine::tokens(&text).count() as u64,
            output: body.max_tokens.unwrap_or(EXPECTED_OUTPUT),
        }
    }
}

struct Sent {
    endpoint: EndpointName,
    request: RequestId,
}

/// Endpoints and this node's attempts at them.
pub(crate) struct Fleet {
    router: RefCell<Router>,
    attempts: RefCell<HashMap<AttemptId, Sent>>,
    leaving: RefCell<BTreeMap<EndpointName, Millis>>,
    notice: Cell<u64>,
    changed: Notify,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            router: RefCell::new(Router::new(Options::default())),
            attempts: RefCell::default(),
            leaving: RefCell::default(),
            notice: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Completes at the next change of the endpoints.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Chooses an endpoint for the next attempt of a request.
    pub(crate) fn pick(
        &self,
        ctx: &Ctx,
        live: &Live,
        prefer: Option<&EndpointName>,
        now: Millis,
    ) -> Result<Picked, String> {
        let query = self.query(ctx, live);
        let mut router = self.router.borrow_mut();
        if let Some(name) = prefer
            && let Some(info) = router.info(name)
            && !self.leaving.borrow().contains_key(name)
        {
            let picked = Picked {
                name: name.clone(),
                address: info.address,
                patience: ctx.options.patience,
                cached: query.prompt,
            };
            ctx.decisions.note(
                "route",
                &live.id,
                &format!("endpoint={name} why=kv_imported"),
            );
            return Ok(picked);
        }
        let mut rng = rand::rng();
        let chosen = router.choose(&query, now, &mut rng).or_else(|error| {
            // Every endpoint was tried: any of them is better than none.
            let NoEndpoint { excluded, .. } = error;
            if excluded == 0 {
                return Err(error);
            }
            router.choose(
                &Query {
                    exclude: Vec::new(),
                    ..query.clone()
                },
                now,
                &mut rng,
            )
        });
        let choice = chosen.map_err(|error| format!("reason=no_endpoint {error}"))?;
        ctx.decisions.note("route", &live.id, &choice);
        Ok(Picked {
            name: choice.endpoint().clone(),
            address: choice.address,
            patience: ctx.options.patience,
            cached: choice.cached(),
        })
    }

    fn query(&self, ctx: &Ctx, live: &Live) -> Query {
        let run = live.run.borrow();
        let descriptor = run.descriptor();
        let model = match &descriptor.call {
            Call::Completion { model, .. } => Some(model.clone()),
            Call::Plain { .. } => None,
        };
        Query {
            service: descriptor.service.clone(),
            model,
            blocks: live.prompt.blocks.clone(),
            prompt: live.prompt.tokens + run.transcript().position().0,
            output: live
                .prompt
                .output
                .saturating_sub(run.transcript().position().0),
            priority: descriptor.priority,
            deadline: Some(live.deadline),
            exclude: run.tried().to_vec(),
            place: Some(ctx.settings.place.clone()),
        }
    }

    /// Counts an attempt that is about to be sent.
    pub(crate) fn started(&self, picked: &Picked, live: &Live, attempt: AttemptId, now: Millis) {
        let sent = Sent {
            endpoint: picked.name.clone(),
            request: live.id,
        };
        self.attempts.borrow_mut().insert(attempt, sent);
        let work = Work {
            attempt,
            blocks: live.prompt.blocks.clone(),
            prompt: live.prompt.tokens,
            cached: picked.cached,
        };
        self.router.borrow_mut().sent(&picked.name, &work, now);
    }

    /// Takes an attempt off; `broke` says why when it gave no whole answer.
    pub(crate) fn ended(
        &self,
        ctx: &Ctx,
        picked: &Picked,
        attempt: AttemptId,
        broke: Option<&Broke>,
    ) {
        self.attempts.borrow_mut().remove(&attempt);
        let finish = match broke {
            Some(cause) if cause.harmless() => Finish::NotStarted,
            _ => Finish::Ran,
        };
        let now = ctx.clock.now();
        self.router
            .borrow_mut()
            .finished(&picked.name, attempt, finish, now);
        if let Some(cause) = broke {
            log::info!(
                "event=attempt_broke attempt={attempt} endpoint={} cause={cause}",
                picked.name
            );
        }
    }

    /// Decides whether a request whose attempt broke is tried again, and after what delay.
    pub(crate) fn retry(
        &self,
        ctx: &Ctx,
        live: &Live,
        picked: &Picked,
        cause: &Broke,
    ) -> Result<Duration, String> {
        let tried = live.run.borrow().tried().len();
        let reasons = format!("cause={cause} endpoint={} tried={tried}", picked.name);
        if tried >= MAX_ATTEMPTS {
            ctx.decisions
                .note("retry", &live.id, &format!("{reasons} granted=false"));
            return Err(cause.to_string());
        }
        ctx.decisions
            .note("retry", &live.id, &format!("{reasons} granted=true"));
        Ok(Duration::ZERO)
    }

    /// Returns the requests of this node that run at `endpoint`.
    fn running_at(&self, ctx: &Rc<Ctx>, endpoint: &EndpointName) -> Vec<(AttemptId, Rc<Live>)> {
        let attempts = self.attempts.borrow();
        let mut running: Vec<_> = attempts
            .iter()
            .filter(|(_, sent)| sent.endpoint == *endpoint)
            .filter_map(|(attempt, sent)| Some((*attempt, ctx.table.get(sent.request)?)))
            .collect();
        running.sort_by_key(|(attempt, _)| *attempt);
        running
    }
}
