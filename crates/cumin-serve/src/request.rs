//! Serves a request: admission, attempts at endpoints, and the final answer or refusal.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use cumin_entry::document::{OrgSpec, Route, RouteKind, ServiceSpec};
use cumin_entry::fleet::Endpoint;
use cumin_entry::limits::Blocked;
use cumin_entry::platform::CallerRequest;
use cumin_entry::rollout::Assignment;
use cumin_entry::selection::{Choice, Need, Room};
use cumin_entry::suspects::Suspicion;
use cumin_types::{EndpointName, Millis, Service, score};

use crate::admit::{
    CRASHES_ENDPOINTS, DEFAULT_RETRY_AFTER, DEFAULT_TIMEOUT, MIN_RETRY_AFTER, Refusal, admit,
    quarantine_detail, refuse,
};
use crate::attempt::AttemptEnd;
use crate::caller::Inbound;
use crate::crash;
use crate::events::EventSplitter;
use crate::metrics::{ReasonLabel, RequestLabels};
use crate::node::Node;
use crate::reply::{Reply, ReplyEnd};
use crate::rollout::{self, Watched};
use crate::waiting::Slot;

/// Number of failed connections after which a request gives up.
const MAX_FAILED_CONNECTIONS: usize = 4;

/// Time over which callers return that were told of the end of an endpoint's wait.
const RETURN_SPREAD: Millis = Millis(500);

/// Time after which a refused request may be retried, reason and detail of the refusal.
pub(crate) type NoAttempt = (Millis, &'static str, String);

/// A request that was admitted and not yet answered.
pub(crate) struct ActiveRequest<'a> {
    pub(crate) node: &'a Rc<Node>,
    pub(crate) inbound: &'a Inbound,
    pub(crate) request: CallerRequest,
    pub(crate) route: &'a Route,
    pub(crate) org: Option<&'a OrgSpec>,
    pub(crate) service: &'a Service,
    pub(crate) spec: Option<&'a ServiceSpec>,
    /// Time at which the limit of the caller or of the route expires.
    pub(crate) deadline: Millis,
    pub(crate) suspicion: Suspicion,
    /// Whether it runs in spite of a quarantine, as a trial: its first attempt is not checked.
    pub(crate) trial: bool,
    /// Number of attempts that were sent; raised to the route's maximum to rule out a retry.
    pub(crate) attempts_sent: u32,
    /// Slot that the first attempt uses, where requests wait for slots.
    pub(crate) slot: Option<Slot>,
    /// Endpoints that were chosen so far, in order.
    pub(crate) tried: Vec<EndpointName>,
    /// Estimated time of the last attempt until its first event or answer.
    pub(crate) estimate_ms: f64,
    /// Measured time from the request until its first event or answer.
    pub(crate) first_ms: Cell<Option<u64>>,
    /// The attempt under way, if it is counted for a roll-out.
    pub(crate) watched: Option<Watched>,
    /// Status of the last complete answer of an endpoint.
    pub(crate) status: Cell<Option<StatusCode>>,
}

/// Counts a request as in progress until dropped.
struct ActiveGuard<'a>(&'a Node);

impl<'a> ActiveGuard<'a> {
    fn new(node: &'a Node) -> Self {
        node.active.set(node.active.get() + 1);
        Self(node)
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

const fn kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::Once => "once",
        RouteKind::Stream => "stream",
        RouteKind::Resumable => "resumable",
    }
}

/// Serves a request of a caller.
pub(crate) async fn serve(
    node: &Rc<Node>,
    inbound: &Inbound,
    reply: &mut Reply<'_, '_>,
) -> io::Result<ReplyEnd> {
    let _active = ActiveGuard::new(node);
    let request = node.platform.dialect.parse_request(&inbound.head);
    let table = node.table();
    let id = request.id.clone().unwrap_or_default();
    let admitted = match table.as_deref() {
        Some(table) => admit(node, inbound, request, table),
        None => Err(Refusal::unavailable(
            DEFAULT_RETRY_AFTER,
            "no_document",
            String::new(),
        )),
    };
    let mut active = match admitted {
        Ok(active) => active,
        Err(refusal) => return refuse(node, &id, refusal, reply).await,
    };
    let time_left = Millis(active.deadline.since(node.now()));
    let served = tokio::time::timeout(time_left.duration(), active.run(reply)).await;
    let ended = if let Ok(ended) = served {
        ended
    } else {
        let status = StatusCode::GATEWAY_TIMEOUT;
        let refused = reply.refuse(status, None, "the time is over").await;
        refused.map(|end| (end, end.outcome("timeout", "cut_deadline")))
    };
    if active.trial && active.attempts_sent == 0 {
        node.suspects.borrow_mut().trial_unsent(&active.suspicion);
    }
    active.record(ended.as_ref().map_or("unwritten", |ended| ended.1), reply);
    ended.map(|(end, _)| end)
}

impl ActiveRequest<'_> {
    pub(crate) fn id(&self) -> &str {
        self.request.id.as_deref().unwrap_or_default()
    }

    /// Logs and counts the outcome.
    fn record(&self, outcome: &'static str, reply: &Reply<'_, '_>) {
        let took_ms = self.node.now().since(self.inbound.received_at);
        log::info!(
            "event=request id={} route={} service={} org={} outcome={outcome} took_ms={took_ms} \
             first_ms={} estimate_ms={:.0} endpoint={} sends={} {}",
            self.id(),
            self.route.name,
            self.service,
            self.org.map_or("-", |org| org.name.as_str()),
            self.first_ms.get().unwrap_or_default(),
            self.estimate_ms,
            self.tried.last().map_or("-", EndpointName::as_str),
            self.attempts_sent,
            reply.written()
        );
        let metrics = &self.node.metrics;
        let kind = kind_label(self.route.kind);
        metrics
            .requests
            .get_or_create(&RequestLabels { kind, outcome })
            .inc();
        metrics.total_seconds.observe(seconds(took_ms));
    }

    fn need(&self, now: Millis) -> Need {
        let engine = self.spec.is_some_and(|spec| spec.engine.is_some());
        let (prompt_tokens, max_output) = self.request.tokens.unwrap_or_default();
        let elapsed = Millis(now.since(self.inbound.received_at));
        let goal_left = Millis(self.route.goal.since(elapsed));
        Need {
            prompt_tokens,
            output_tokens: self
                .request
                .output_hint
                .unwrap_or(max_output / 2)
                .min(max_output),
            parts: self.request.parts.clone(),
            goal_left,
            time_left: Millis(self.deadline.since(now)),
            engine,
            retry: false,
            once: !self.route.kind.is_repeatable(),
            room: Room::Any,
        }
    }

    /// Makes attempts until the request is answered or refused.
    async fn run(&mut self, reply: &mut Reply<'_, '_>) -> io::Result<(ReplyEnd, &'static str)> {
        let mut events = EventSplitter::default();
        let mut failed_connections = 0;
        let mut may_have_run = false;
        let mut failed: Option<(Box<ResponseHead>, Bytes)> = None;
        loop {
            let now = self.node.now();
            let is_retry = self.attempts_sent > 0 || failed_connections > 0;
            let mut need = self.need(now);
            need.retry = is_retry;
            if is_retry {
                // After a failed attempt a late answer is better than none.
                need.goal_left = need.goal_left.max(Millis(need.time_left.0 / 2));
            }
            let choice = if !is_retry && self.may_wait() {
                self.choose_in_turn(&mut need).await
            } else {
                self.choose(&need, is_retry, now)
            };
            let now = self.node.now();
            let choice = choice.map_err(|refusal| self.refuse_waiting(refusal, now));
            let (endpoint, estimate_ms) = match choice {
                Ok(chosen) => chosen,
                Err((retry_after, reason, detail)) => {
                    if reply.has_begun() {
                        return Ok((ReplyEnd::TRUNCATED, "cut_no_endpoint"));
                    }
                    if let Some((head, body)) = failed {
                        return self.forward(&head, &body, reply).await;
                    }
                    if may_have_run {
                        let status = StatusCode::BAD_GATEWAY;
                        let end = reply.refuse(status, None, "the endpoint broke off").await?;
                        return Ok((end, "broken"));
                    }
                    self.refund_quota();
                    let id = self.request.id.clone().unwrap_or_default();
                    let refusal = Refusal::unavailable(retry_after, reason, detail);
                    let end = refuse(self.node, &id, refusal, reply).await?;
                    return Ok((end, reason));
                }
            };
            self.estimate_ms = estimate_ms;
            self.tried.push(endpoint.name.clone());
            self.watch(&endpoint, estimate_ms);
            let events_before = events.completed();
            let attempt_end = self
                .attempt(&endpoint, &need, estimate_ms, &mut events, reply)
                .await?;
            self.slot = None;
            self.watched_ended(
                &attempt_end,
                events.completed().saturating_sub(events_before),
            );
            let reason = match &attempt_end {
                AttemptEnd::Answered(..) => "answered",
                AttemptEnd::NotSent => "unsent",
                AttemptEnd::NotRun => "unrun",
                AttemptEnd::Broken => "broken",
                AttemptEnd::Failed(..) => "failed",
            };
            self.node
                .metrics
                .attempts
                .get_or_create(&ReasonLabel { reason })
                .inc();
            if !matches!(attempt_end, AttemptEnd::Answered(..)) {
                log::info!(
                    "event=attempt id={} endpoint={} result={reason} sends={} after_ms={} begun={} \
                     last_event={}",
                    self.id(),
                    endpoint.name,
                    self.attempts_sent,
                    self.node.now().since(now),
                    reply.has_begun(),
                    events.last_id().unwrap_or_default()
                );
            }
            match attempt_end {
                AttemptEnd::Answered(end, outcome) => return Ok((end, outcome)),
                AttemptEnd::NotSent => {
                    failed_connections += 1;
                    if failed_connections >= MAX_FAILED_CONNECTIONS {
                        self.attempts_sent = self.attempts_sent.max(self.route.attempts);
                    }
                }
                AttemptEnd::NotRun => {}
                AttemptEnd::Broken => {
                    may_have_run = true;
                    if self.route.kind.is_repeatable() {
                        crash::wait_for_check(self.node, &endpoint.name).await;
                    } else {
                        self.attempts_sent = self.attempts_sent.max(self.route.attempts);
                    }
                }
                AttemptEnd::Failed(head, body) => failed = Some((head, body)),
            }
        }
    }

    /// Chooses an endpoint with a free slot for the first attempt, once it is this request's turn.
    async fn choose_in_turn(&mut self, need: &mut Need) -> Result<(Endpoint, f64), NoAttempt> {
        let mut turn = None;
        for is_last in [false, false, true] {
            let known = self.wait_for_capacity(need, turn).await?;
            turn = Some(known);
            let now = self.node.now();
            *need = self.need(now);
            need.goal_left = self.wait_goal(need);
            let fleet = self.node.fleet.borrow();
            let is_open = fleet.usable(self.service, now).next().is_some();
            drop(fleet);
            if is_open {
                need.room = Room::FreeSlot;
            }
            let choice = self.choose(need, false, now);
            // No endpoint had a free slot, or those that had one were not fast enough.
            let waits =
                |refusal: &NoAttempt| is_open && matches!(refusal.1, "full" | "no_endpoint");
            match choice {
                Err(refusal) if !is_last && waits(&refusal) => {}
                Err(refusal) => {
                    self.slot_refused();
                    return Err(refusal);
                }
                chosen => return chosen,
            }
        }
        Err((DEFAULT_RETRY_AFTER, "full", String::new()))
    }

    /// Chooses an endpoint for an attempt unless the request must be refused.
    fn choose(
        &self,
        need: &Need,
        is_retry: bool,
        now: Millis,
    ) -> Result<(Endpoint, f64), NoAttempt> {
        if self.attempts_sent >= self.route.attempts {
            let detail = format!("sends={}", self.attempts_sent);
            return Err((MIN_RETRY_AFTER, "attempts", detail));
        }
        let first_of_trial = self.trial && self.attempts_sent == 0;
        if !first_of_trial
            && let Some(suspect) = self.node.suspects.borrow().refused(&self.suspicion)
        {
            let detail = quarantine_detail(suspect);
            log::info!("event=retry_refused id={} {detail}", self.id());
            return Err((DEFAULT_TIMEOUT, CRASHES_ENDPOINTS, detail));
        }
        let fleet = self.node.fleet.borrow();
        let mut limits = self.node.limits.borrow_mut();
        let usable = fleet.usable(self.service, now);
        let untried = usable.filter(|endpoint| !self.tried.contains(&endpoint.name));
        let blocked = limits.blocked(untried, now);
        let assigned = self.assign(is_retry, now);
        let mut avoid = [&self.tried[..], &blocked.endpoints[..]].concat();
        let mut selector = self.node.selector.borrow_mut();
        if !blocked.endpoints.is_empty() {
            // The others are alive, so these are not the last resort that `choose` takes them for.
            let usable = fleet.usable(self.service, now).map(|known| &known.name);
            avoid.extend(
                usable
                    .filter(|name| selector.cooling_down(name, now))
                    .cloned(),
            );
        }
        let with = |names: &[EndpointName]| [&avoid[..], names].concat();
        let first = with(&assigned.avoid);
        let mut choice = selector.choose(&fleet, self.service, need, &first, now);
        if !matches!(choice, Choice::Use { .. }) && assigned.fallback != assigned.avoid {
            // The other version takes what this one can't.
            let fallback = with(&assigned.fallback);
            choice = selector.choose(&fleet, self.service, need, &fallback, now);
        }
        let Choice::Use {
            endpoint,
            estimate_ms,
            cached,
        } = choice
        else {
            drop(selector);
            return Err(self.refuse_choice(&choice, &blocked, need, now));
        };
        let chosen = fleet.get(&endpoint).cloned();
        let inputs = chosen.as_ref().map(|chosen| selector.inputs(chosen, now));
        drop(selector);
        let nodes = self.node.sharing_nodes();
        if is_retry
            && self.attempts_sent > 0
            && !self
                .node
                .with_budget(self.service, |budget| budget.try_take(nodes, now))
        {
            return Err((DEFAULT_RETRY_AFTER, "retry_budget", String::new()));
        }
        log::debug!(
            "event=placed id={} endpoint={endpoint} estimate_ms={estimate_ms:.0} cached={cached} \
             prompt_tokens={} goal_left_ms={} blocked={} waiting={} {}",
            self.id(),
            need.prompt_tokens,
            need.goal_left,
            blocked.endpoints.len(),
            blocked.waiting,
            inputs.map_or_else(String::new, |inputs| inputs.to_string())
        );
        limits.request_sent(&endpoint, now);
        let refused = (DEFAULT_RETRY_AFTER, "no_endpoint", String::new());
        chosen
            .map(|endpoint| (endpoint, estimate_ms))
            .ok_or(refused)
    }

    /// Returns the endpoints that the request may not use because of a roll-out.
    fn assign(&self, is_retry: bool, now: Millis) -> Assignment {
        let mut rollouts = self.node.rollouts.borrow_mut();
        if !rollouts.is_enabled() {
            return Assignment::default();
        }
        let candidates = rollout::candidates(self.node, self.service);
        rollouts.assign(self.service, &self.route.name, &candidates, is_retry, now)
    }

    /// Counts the attempt at an endpoint if a roll-out of the service goes on.
    fn watch(&mut self, endpoint: &Endpoint, estimate_ms: f64) {
        let is_engine = self.spec.is_some_and(|spec| spec.engine.is_some());
        // The learned speed of an endpoint, and the estimate for one of a plain service, follow what
        // it took lately, so that a slow one would be as fast as expected.
        let expected_ms = if is_engine {
            estimate_ms / self.node.selector.borrow().time_factor(endpoint)
        } else {
            seconds(self.route.goal.0) * 1000.0
        };
        let names = (self.service, &self.route.name);
        self.watched = Watched::new(self.node, names, endpoint, expected_ms, self.deadline);
    }

    /// Counts the end of the attempt, in which `events` were received.
    fn watched_ended(&mut self, end: &AttemptEnd, events: u32) {
        let Some(watched) = self.watched.take() else {
            return;
        };
        let status = self.status.take();
        // A refusal says that the endpoint is busy or leaves, not that its version is bad.
        let failed = |status: StatusCode| {
            status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE
        };
        match end {
            AttemptEnd::Answered(_, "broken" | "cut_endpoint") | AttemptEnd::Broken => {
                watched.broke();
            }
            AttemptEnd::Answered(..) => watched.answered(status.is_some_and(failed), events),
            AttemptEnd::Failed(head, _) if failed(head.status) => watched.answered(true, 0),
            AttemptEnd::NotSent | AttemptEnd::NotRun | AttemptEnd::Failed(..) => {}
        }
    }

    /// Replaces a refusal by one with the soonest end of a wait, if all endpoints want nothing.
    fn refuse_waiting(&self, refusal: NoAttempt, now: Millis) -> NoAttempt {
        let (_, reason, _) = &refusal;
        if *reason == CRASHES_ENDPOINTS {
            return refusal;
        }
        let fleet = self.node.fleet.borrow();
        let usable = fleet.usable(self.service, now);
        let Some(wait) = self.node.limits.borrow().all_waiting(usable, now) else {
            return refusal;
        };
        let spread = score(self.id().as_bytes(), "return") % RETURN_SPREAD.0;
        let known = fleet.usable(self.service, now).count();
        let detail = format!("waiting={known} wait_ms={wait}");
        (
            wait.plus(spread).max(MIN_RETRY_AFTER),
            "endpoint_wait",
            detail,
        )
    }

    /// Returns why no endpoint was chosen, and counts the request as demand for engines.
    fn refuse_choice(
        &self,
        choice: &Choice,
        blocked: &Blocked,
        need: &Need,
        now: Millis,
    ) -> NoAttempt {
        let bounded =
            |wait: Millis| Millis((need.time_left.0 / 3).min(wait.0)).max(MIN_RETRY_AFTER);
        let is_blocked = !blocked.endpoints.is_empty();
        let is_full = matches!(choice, Choice::Full { .. });
        if need.engine && (is_full || is_blocked) {
            let mut selector = self.node.selector.borrow_mut();
            selector.request_refused(self.service, need, now);
        }
        match choice {
            Choice::Full {
                estimate_ms,
                retry_after,
            } => {
                let detail = format!("estimate_ms={estimate_ms:.0} goal_ms={}", need.goal_left);
                (bounded(*retry_after), "full", detail)
            }
            _ if is_blocked => {
                let count = blocked.endpoints.len();
                let detail = format!("blocked={count} waiting={}", blocked.waiting);
                (bounded(blocked.wait), "endpoint_limit", detail)
            }
            _ => {
                let fleet = self.node.fleet.borrow();
                let known = fleet.usable(self.service, now).count();
                let leaving = fleet.all().filter(|endpoint| {
                    endpoint.service == *self.service && fleet.is_leaving(endpoint)
                });
                let detail = format!("known={known} leaving={}", leaving.count());
                (bounded(DEFAULT_RETRY_AFTER), "no_endpoint", detail)
            }
        }
    }

    /// Refunds the quota units of a request that did not run.
    fn refund_quota(&self) {
        if let Some(org) = self.org {
            let now = self.node.now();
            let mut quotas = self.node.quotas.borrow_mut();
            quotas.refund(org, self.request.tokens, now);
        }
    }

    /// Returns the rank for an engine: that of the organisation, or else of the route.
    pub(crate) fn engine_rank(&self, need: &Need) -> Option<u8> {
        let rank = self.org.and_then(|org| org.rank).unwrap_or(self.route.rank);
        need.engine
            .then(|| u8::try_from(rank).unwrap_or(u8::MAX).min(9))
    }
}

/// Converts milliseconds to seconds.
pub(crate) fn seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}
