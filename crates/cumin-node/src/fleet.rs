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
use cumin_route::{Choice, Dispatch, Finish, NoEndpoint, Query, Router, RouterOptions};
use cumin_types::{AttemptId, Call, EndpointName, Millis, Position, RequestId, Service};
use cumin_wire::engine::Load;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::node::Ctx;
use crate::request::ActiveRequest;
use crate::statement::Standing;

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
    /// Number of its process, from [`Statements::process`](crate::statement::Statements::process).
    process: u64,
}

impl SelectedEndpoint {
    /// Returns what identifies its process in statements.
    pub(crate) fn stated_by(&self) -> (&EndpointName, u64) {
        (&self.name, self.process)
    }
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
        let (leaving, closed) = ctx.statements.restricted(now);
        let mut avoided = ctx.health.avoided(&query.service, now);
        avoided.extend(closed);
        let imported =
            preferred.filter(|name| !avoided.contains(name) && !self.is_leaving(ctx, name));
        if let Some(selected) =
            imported.and_then(|name| self.endpoint(ctx, name, query.prompt_tokens))
        {
            let reasons = format!("endpoint={} why=kv_imported", selected.name);
            ctx.decisions.record("route", &active.id, &reasons);
            return Ok(selected);
        }
        let chosen = self.choose(&mut query, &avoided, &leaving, now);
        let choice = chosen.map_err(|error| {
            let (leaving, waiting) = self.stated_counts(ctx, &query.service, now);
            format!("reason=no_endpoint {error} stated_leaving={leaving} waiting={waiting}")
        })?;
        ctx.decisions.record("route", &active.id, &choice);
        Ok(SelectedEndpoint {
            name: choice.endpoint().clone(),
            address: choice.address,
            start_timeout: ctx.options.start_timeout,
            cached_tokens: choice.cached_tokens(),
            process: ctx.statements.process(choice.endpoint()),
        })
    }

    /// Chooses an endpoint other than those to avoid; one that was tried before, or leaves, only if
    /// there is no other.
    fn choose(
        &self,
        query: &mut Query,
        avoided: &[EndpointName],
        leaving: &[EndpointName],
        now: Millis,
    ) -> Result<Choice, NoEndpoint> {
        let tried = std::mem::take(&mut query.exclude);
        let mut router = self.router.borrow_mut();
        let mut rng = rand::rng();
        let mut choose = |tried: &[EndpointName], leaving: &[EndpointName]| {
            query.exclude = [avoided, tried, leaving].concat();
            router.choose(query, now, &mut rng)
        };
        choose(&tried, leaving)
            .or_else(|_| choose(&[], leaving))
            .or_else(|_| choose(&tried, &[]))
            .or_else(|_| choose(&[], &[]))
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
            process: ctx.statements.process(name),
        })
    }

    /// Returns how many endpoints of a service stated that they leave, and how many want nothing.
    fn stated_counts(&self, ctx: &Ctx, service: &Service, now: Millis) -> (usize, usize) {
        let services = self.services.borrow();
        let names = services.get(service).into_iter().flatten();
        ctx.statements.counts(names, now)
    }

    /// Returns the time after which the first endpoint wants requests again, if all that could run
    /// a request want nothing for a time that they stated.
    ///
    /// Returns `None` for a request that has begun: it is held until an endpoint can go on.
    pub(crate) fn all_waiting(
        &self,
        ctx: &Ctx,
        active: &ActiveRequest,
        now: Millis,
    ) -> Option<Millis> {
        if active.run_progress().0 > Position(0) || !ctx.statements.has_waits() {
            return None;
        }
        let query = Query {
            exclude: Vec::new(),
            ..Self::query(ctx, active)
        };
        let usable = self.router.borrow().usable(&query);
        let left = usable
            .iter()
            .filter(|name| !ctx.statements.has_left(name, now))
            .map(|name| ctx.statements.wait_left(name, now));
        left.min().filter(|left| *left > Millis(0))
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
        let now = ctx.clock.now();
        let standing = |name: &EndpointName| ctx.statements.standing(name, now);
        let mut targets: Vec<_> = targets
            .filter(|target| !target.leaving && !ctx.health.is_dead(&target.endpoint))
            .filter(|target| standing(&target.endpoint) != Standing::Closed)
            .collect();
        if targets
            .iter()
            .any(|target| standing(&target.endpoint) == Standing::Open)
        {
            targets.retain(|target| standing(&target.endpoint) == Standing::Open);
        }
        targets
            .into_iter()
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

    /// Returns the endpoints of a service that may be used, at once or later.
    pub(crate) fn candidates(&self, ctx: &Ctx, service: &Service) -> Vec<EndpointName> {
        let now = ctx.clock.now();
        let services = self.services.borrow();
        let names = services.get(service).into_iter().flatten();
        names
            .filter(|name| !self.is_reclaimed(name) && !ctx.statements.has_left(name, now))
            .cloned()
            .collect()
    }

    /// Returns the request slots and the tokens per second of each service.
    pub(crate) fn capacities(&self, ctx: &Ctx, document: &Document) -> Vec<(Service, usize, f64)> {
        let services = self.services.borrow();
        let capacity = |(service, names): (&Service, &Vec<EndpointName>)| {
            let spec = document.services.get(service)?;
            let usable = names
                .iter()
                .filter(|name| !self.is_leaving(ctx, name))
                .count();
            let slots = usable * spec.worker.concurrent_requests as usize;
            #[expect(clippy::cast_precision_loss, reason = "the document bounds both")]
            let rate = (usable as u64 * spec.worker.tokens_per_second.unwrap_or(0)) as f64;
            Some((service.clone(), slots, rate))
        };
        services.iter().filter_map(capacity).collect()
    }

    /// Returns whether an endpoint leaves, as the platform or the endpoint itself stated.
    pub(crate) fn is_leaving(&self, ctx: &Ctx, name: &EndpointName) -> bool {
        self.is_reclaimed(name) || ctx.statements.is_leaving(name)
    }

    /// Returns whether the platform stated that it reclaims an endpoint.
    fn is_reclaimed(&self, name: &EndpointName) -> bool {
        self.leaving.borrow().contains_key(name)
    }

    /// Wakes requests that wait for an endpoint.
    pub(crate) fn notify_changed(&self) {
        self.changed.notify_waiters();
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
        ctx: &Ctx,
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
        ctx.statements.request_sent(&selected.name, now);
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
