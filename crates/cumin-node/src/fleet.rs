//! The endpoints as this node sees them: routing, the attempts in flight, and which are leaving.

mod reclaim;
mod watch;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_config::Document;
use cumin_request::AttemptFailure;
use cumin_retry::Candidate;
use cumin_route::{Dispatch, Finish, Query, Router, RouterOptions};
use cumin_types::{AttemptId, Call, EndpointName, Millis, RequestId, Service};
use cumin_wire::engine::Load;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::node::Ctx;
use crate::request::ActiveRequest;

/// Expected length of a completion whose caller sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// The endpoint selected for an attempt.
#[derive(Clone, Debug)]
pub(crate) struct SelectedEndpoint {
    pub(crate) name: EndpointName,
    pub(crate) address: SocketAddr,
    /// Longest wait for the first frame of the answer.
    pub(crate) start_timeout: Duration,
    cached_tokens: u64,
}

/// Features of a prompt that the router uses, computed once per request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prompt {
    pub(crate) block_hashes: Vec<u64>,
    pub(crate) tokens: u64,
    pub(crate) output_tokens: u64,
}

impl Prompt {
    /// Computes the features of a completion; empty for a plain call.
    pub(crate) fn of(call: &Call, body: &str) -> Self {
        let Call::Completion { model, .. } = call else {
            return Self::default();
        };
        let Ok(body) = serde_json::from_str::<cumin_wire::completion::Request>(body) else {
            return Self::default();
        };
        let text = body.prompt_text();
        Self {
            block_hashes: cumin_wire::engine::block_hashes(model.as_str(), &text),
            tokens: cumin_wire::engine::tokens(&text).count() as u64,
            output_tokens: body.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        }
    }
}

struct SentAttempt {
    endpoint: EndpointName,
    request: RequestId,
}

/// The known endpoints and this node's attempts at them.
pub(crate) struct Fleet {
    router: RefCell<Router>,
    attempts: RefCell<HashMap<AttemptId, SentAttempt>>,
    leaving: RefCell<BTreeMap<EndpointName, Millis>>,
    endpoint_count: Cell<usize>,
    services: RefCell<BTreeMap<Service, Vec<EndpointName>>>,
    loads: RefCell<HashMap<EndpointName, Load>>,
    last_notice: Cell<u64>,
    changed: Notify,
}

impl Fleet {
    pub(crate) fn new() -> Self {
        Self {
            router: RefCell::new(Router::new(RouterOptions::default())),
            attempts: RefCell::default(),
            leaving: RefCell::default(),
            endpoint_count: Cell::default(),
            services: RefCell::default(),
            loads: RefCell::default(),
            last_notice: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the number of known endpoints.
    pub(crate) fn endpoint_count(&self) -> usize {
        self.endpoint_count.get()
    }

    /// Completes at the next change of the endpoints or their load.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Selects an endpoint for the next attempt of a request that is not a suspect.
    ///
    /// `preferred` is the endpoint that imported the KV cache of the request.
    pub(crate) fn select(
        &self,
        ctx: &Ctx,
        active: &ActiveRequest,
        preferred: Option<&EndpointName>,
        now: Millis,
    ) -> Result<SelectedEndpoint, String> {
        let mut query = Self::query(ctx, active);
        let avoided = ctx.health.avoided(&query.service, now);
        let imported = preferred.filter(|name| !avoided.contains(name) && !self.is_leaving(name));
        if let Some(selected) =
            imported.and_then(|name| self.endpoint(ctx, name, query.prompt_tokens))
        {
            let reasons = format!("endpoint={} why=kv_imported", selected.name);
            ctx.decisions.record("route", &active.id, &reasons);
            return Ok(selected);
        }
        let tried = query.exclude.clone();
        query.exclude.extend(avoided.iter().cloned());
        let mut router = self.router.borrow_mut();
        let mut rng = rand::rng();
        let mut chosen = router.choose(&query, now, &mut rng);
        // An endpoint that was tried before is better than none; an avoided one is not.
        if chosen.is_err() && !tried.is_empty() {
            query.exclude = avoided;
            chosen = router.choose(&query, now, &mut rng);
        }
        let choice = chosen.map_err(|error| format!("reason=no_endpoint {error}"))?;
        ctx.decisions.record("route", &active.id, &choice);
        Ok(SelectedEndpoint {
            name: choice.endpoint().clone(),
            address: choice.address,
            start_timeout: ctx.options.start_timeout,
            cached_tokens: choice.cached_tokens(),
        })
    }

    /// Returns an endpoint by name, for an attempt that has to go there.
    pub(crate) fn endpoint(
        &self,
        ctx: &Ctx,
        name: &EndpointName,
        cached_tokens: u64,
    ) -> Option<SelectedEndpoint> {
        let router = self.router.borrow();
        let info = router.info(name)?;
        Some(SelectedEndpoint {
            name: name.clone(),
            address: info.address,
            start_timeout: ctx.options.start_timeout,
            cached_tokens,
        })
    }

    /// Returns the endpoints that could run a suspect, with the number of requests that all nodes
    /// run there.
    pub(crate) fn suspect_candidates(&self, ctx: &Ctx, active: &ActiveRequest) -> Vec<Candidate> {
        let query = Self::query(ctx, active);
        let Some(model) = &query.model else {
            return Vec::new();
        };
        let router = self.router.borrow();
        let loads = self.loads.borrow();
        let targets = router.reclaim_targets(&query.service, model).into_iter();
        targets
            .filter(|target| !target.leaving && !ctx.health.is_dead(&target.endpoint))
            .map(|target| {
                let own = router
                    .own_load(&target.endpoint)
                    .map_or(0, |load| load.requests);
                let reported = loads
                    .get(&target.endpoint)
                    .map_or(0, |load| load.running + load.queued);
                let running = u32::try_from(own.max(reported)).unwrap_or(u32::MAX);
                Candidate {
                    endpoint: target.endpoint,
                    running,
                }
            })
            .collect()
    }

    /// Returns the endpoints of a service that are not leaving.
    pub(crate) fn candidates(&self, service: &Service) -> Vec<EndpointName> {
        let services = self.services.borrow();
        let names = services.get(service).into_iter().flatten();
        names
            .filter(|name| !self.is_leaving(name))
            .cloned()
            .collect()
    }

    /// Returns the request slots and the tokens per second of each service.
    pub(crate) fn capacities(&self, document: &Document) -> Vec<(Service, usize, f64)> {
        let services = self.services.borrow();
        let capacity = |(service, names): (&Service, &Vec<EndpointName>)| {
            let spec = document.services.get(service)?;
            let usable = names.iter().filter(|name| !self.is_leaving(name)).count();
            let slots = usable * spec.worker.concurrent_requests as usize;
            #[expect(clippy::cast_precision_loss, reason = "the document bounds both")]
            let rate = (usable as u64 * spec.worker.tokens_per_second.unwrap_or(0)) as f64;
            Some((service.clone(), slots, rate))
        };
        services.iter().filter_map(capacity).collect()
    }

    pub(crate) fn is_leaving(&self, name: &EndpointName) -> bool {
        self.leaving.borrow().contains_key(name)
    }

    /// Stops routing to an endpoint that died, until the watcher finds it reachable again.
    pub(crate) fn remove(&self, name: &EndpointName) {
        self.router.borrow_mut().remove(name);
        self.changed.notify_waiters();
    }

    fn query(ctx: &Ctx, active: &ActiveRequest) -> Query {
        let run = active.run.borrow();
        let descriptor = run.descriptor();
        let model = match &descriptor.call {
            Call::Completion { model, .. } => Some(model.clone()),
            Call::Plain { .. } => None,
        };
        Query {
            service: descriptor.service.clone(),
            model,
            blocks: active.prompt.block_hashes.clone(),
            prompt_tokens: active.prompt.tokens + run.transcript().position().0,
            output_tokens: active
                .prompt
                .output_tokens
                .saturating_sub(run.transcript().position().0),
            priority: descriptor.priority,
            deadline: Some(active.deadline),
            exclude: run.tried().to_vec(),
            place: Some(ctx.settings.place.clone()),
        }
    }

    /// Records that an attempt is about to be sent.
    pub(crate) fn attempt_started(
        &self,
        selected: &SelectedEndpoint,
        active: &ActiveRequest,
        attempt: AttemptId,
        now: Millis,
    ) {
        let sent = SentAttempt {
            endpoint: selected.name.clone(),
            request: active.id,
        };
        self.attempts.borrow_mut().insert(attempt, sent);
        let work = Dispatch {
            attempt,
            blocks: active.prompt.block_hashes.clone(),
            prompt_tokens: active.prompt.tokens,
            cached_tokens: selected.cached_tokens,
            priority: active.run.borrow().descriptor().priority,
        };
        self.router
            .borrow_mut()
            .record_sent(&selected.name, &work, now);
    }

    /// Records the end of an attempt; `failure` is the reason when its answer is not complete.
    pub(crate) fn attempt_ended(
        &self,
        ctx: &Ctx,
        selected: &SelectedEndpoint,
        attempt: AttemptId,
        failure: Option<&AttemptFailure>,
    ) {
        self.attempts.borrow_mut().remove(&attempt);
        let finish = match failure {
            Some(cause) if cause.never_started() => Finish::NotStarted,
            _ => Finish::Ran,
        };
        let now = ctx.clock.now();
        self.router
            .borrow_mut()
            .record_finished(&selected.name, attempt, finish, now);
        if let Some(cause) = failure {
            log::info!(
                "event=attempt_broke attempt={attempt} endpoint={} cause={cause}",
                selected.name
            );
        }
    }

    /// Returns this node's attempts at `endpoint`, with their requests.
    fn running_at(
        &self,
        ctx: &Rc<Ctx>,
        endpoint: &EndpointName,
    ) -> Vec<(AttemptId, Rc<ActiveRequest>)> {
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
