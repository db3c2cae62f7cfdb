//! One request: which route, whose key, within which quota, at which endpoint, and its answer.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use cumin_entry::document::{OrgSpec, Route, RouteKind, ServiceSpec};
use cumin_entry::fleet::Endpoint;
use cumin_entry::platform::CallerRequest;
use cumin_entry::selection::{Choice, Need};
use cumin_entry::suspects::Fingerprint;
use cumin_types::{EndpointName, Millis, Service};

use crate::admit::{LATER, Refusal, SOON, admit, refuse};
use crate::attempt::Tried;
use crate::caller::{End, Inbound, Reply};
use crate::events::Events;
use crate::metrics::{Finished, Why};
use crate::node::Node;

/// Endpoints that are tried without having been sent the request.
const MOST_UNSENT: usize = 4;

/// A request on its way through the node.
pub(crate) struct Job<'a> {
    pub(crate) node: &'a Rc<Node>,
    pub(crate) inbound: &'a Inbound,
    pub(crate) ask: CallerRequest,
    pub(crate) route: &'a Route,
    pub(crate) org: Option<&'a OrgSpec>,
    pub(crate) service: &'a Service,
    pub(crate) spec: Option<&'a ServiceSpec>,
    /// When the caller's time or the route's is over.
    pub(crate) deadline: Millis,
    pub(crate) print: Fingerprint,
    pub(crate) sends: u32,
    pub(crate) avoid: Vec<EndpointName>,
    /// Estimate of the last attempt's first event or answer, milliseconds.
    pub(crate) estimate: f64,
    /// Time from the request to its first event or answer.
    pub(crate) first: Cell<Option<u64>>,
}

struct Active<'a>(&'a Node);

impl<'a> Active<'a> {
    fn new(node: &'a Node) -> Self {
        node.active.set(node.active.get() + 1);
        Self(node)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

const fn kind(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::Once => "once",
        RouteKind::Stream => "stream",
        RouteKind::Resumable => "resumable",
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(
    node: &Rc<Node>,
    inbound: &Inbound,
    reply: &mut Reply<'_, '_>,
) -> io::Result<End> {
    let _active = Active::new(node);
    let ask = node.platform.dialect.parse_request(&inbound.head);
    let table = node.table();
    let id = ask.id.clone().unwrap_or_default();
    let job = match table.as_deref() {
        Some(table) => admit(node, inbound, ask, table),
        None => Err(Refusal::busy(LATER, "no_document", String::new())),
    };
    let mut job = match job {
        Ok(job) => job,
        Err(refusal) => return refuse(node, &id, refusal, reply).await,
    };
    let left = Millis(job.deadline.since(node.now()));
    let served = tokio::time::timeout(left.duration(), job.run(reply)).await;
    let (end, outcome) = match served {
        Ok(served) => served?,
        Err(_) if reply.begun => (End::Cut, "cut_deadline"),
        Err(_) => {
            let status = StatusCode::GATEWAY_TIMEOUT;
            reply.refuse(status, None, "the time is over").await?;
            (End::Whole, "timeout")
        }
    };
    job.note(outcome);
    Ok(end)
}

impl Job<'_> {
    pub(crate) fn id(&self) -> &str {
        self.ask.id.as_deref().unwrap_or_default()
    }

    fn note(&self, outcome: &'static str) {
        let took = self.node.now().since(self.inbound.at);
        log::info!(
            "event=request id={} route={} service={} org={} outcome={outcome} took_ms={took} \
             first_ms={} estimate_ms={:.0} endpoint={} sends={}",
            self.id(),
            self.route.name,
            self.service,
            self.org.map_or("-", |org| org.name.as_str()),
            self.first.get().unwrap_or_default(),
            self.estimate,
            self.avoid.last().map_or("-", EndpointName::as_str),
            self.sends
        );
        let metrics = &self.node.metrics;
        let kind = kind(self.route.kind);
        metrics
            .requests
            .get_or_create(&Finished { kind, outcome })
            .inc();
        metrics.total.observe(seconds(took));
    }

    fn need(&self, now: Millis) -> Need {
        let engine = self.spec.is_some_and(|spec| spec.engine.is_some());
        let (prompt, most) = self.ask.tokens.unwrap_or_default();
        let passed = Millis(now.since(self.inbound.at));
        let goal = Millis(self.route.goal.since(passed));
        Need {
            prompt_tokens: prompt,
            output_tokens: self.ask.output_hint.unwrap_or(most / 2).min(most),
            parts: self.ask.parts.clone(),
            goal_left: goal,
            time_left: Millis(self.deadline.since(now)),
            engine,
        }
    }

    /// Runs attempts until the request is answered.
    async fn run(&mut self, reply: &mut Reply<'_, '_>) -> io::Result<(End, &'static str)> {
        let mut events = Events::default();
        let mut unsent = 0;
        let mut ran = false;
        let mut failed: Option<(Box<ResponseHead>, Bytes)> = None;
        loop {
            let now = self.node.now();
            let again = self.sends > 0 || unsent > 0;
            let mut need = self.need(now);
            if again {
                // What was sent already is worth finishing, if late.
                need.goal_left = need.goal_left.max(Millis(need.time_left.0 / 2));
            }
            let choice = self.choose(&need, again, now);
            let (endpoint, estimate) = match choice {
                Ok(chosen) => chosen,
                Err((again, reason, detail)) => {
                    if reply.begun {
                        return Ok((End::Cut, "cut_no_endpoint"));
                    }
                    if let Some((head, body)) = failed {
                        return self.pass(&head, &body, reply).await;
                    }
                    if ran {
                        let status = StatusCode::BAD_GATEWAY;
                        reply.refuse(status, None, "the endpoint broke off").await?;
                        return Ok((End::Whole, "broken"));
                    }
                    self.give_back();
                    let id = self.ask.id.clone().unwrap_or_default();
                    let refusal = Refusal::busy(again, reason, detail);
                    let end = refuse(self.node, &id, refusal, reply).await?;
                    return Ok((end, reason));
                }
            };
            self.estimate = estimate;
            self.avoid.push(endpoint.name.clone());
            let tried = self
                .attempt(&endpoint, &need, estimate, &mut events, reply)
                .await?;
            let reason = match &tried {
                Tried::Answered(..) => "answered",
                Tried::Unsent => "unsent",
                Tried::Unrun => "unrun",
                Tried::Broken => "broken",
                Tried::Failed(..) => "failed",
            };
            self.node
                .metrics
                .attempts
                .get_or_create(&Why { reason })
                .inc();
            if !matches!(tried, Tried::Answered(..)) {
                log::info!(
                    "event=attempt id={} endpoint={} result={reason} sends={} after_ms={}",
                    self.id(),
                    endpoint.name,
                    self.sends,
                    self.node.now().since(now)
                );
            }
            match tried {
                Tried::Answered(end, outcome) => {
                    if outcome == "done" {
                        let now = self.node.now();
                        self.node.suspects.borrow_mut().completed(self.print, now);
                    }
                    return Ok((end, outcome));
                }
                Tried::Unsent => {
                    unsent += 1;
                    if unsent >= MOST_UNSENT {
                        self.sends = self.sends.max(self.route.attempts);
                    }
                }
                Tried::Unrun => {}
                Tried::Broken => {
                    ran = true;
                    let now = self.node.now();
                    let mut suspects = self.node.suspects.borrow_mut();
                    suspects.attempt_broke(&endpoint.name, endpoint.started_ms, self.print, now);
                    if !self.route.kind.is_repeatable() {
                        self.sends = self.sends.max(self.route.attempts);
                    }
                }
                Tried::Failed(head, body) => failed = Some((head, body)),
            }
        }
    }

    /// Chooses an endpoint, or says when to come back and why.
    fn choose(
        &self,
        need: &Need,
        again: bool,
        now: Millis,
    ) -> Result<(Endpoint, f64), (Millis, &'static str, String)> {
        if self.sends >= self.route.attempts {
            return Err((SOON, "attempts", format!("sends={}", self.sends)));
        }
        let fleet = self.node.fleet.borrow();
        let mut placement = self.node.placement.borrow_mut();
        let third = |again: Millis| Millis((need.time_left.0 / 3).min(again.0)).max(SOON);
        match placement.choose(&fleet, self.service, need, &self.avoid, now) {
            Choice::Use {
                endpoint,
                estimate_ms: estimate,
                cached,
            } => {
                let nodes = self.node.nodes();
                if again
                    && self.sends > 0
                    && !self.node.budget(self.service, |b| b.try_take(nodes, now))
                {
                    return Err((LATER, "retry_budget", String::new()));
                }
                log::debug!(
                    "event=placed id={} endpoint={endpoint} estimate_ms={estimate:.0} cached={cached}",
                    self.id()
                );
                let chosen = fleet.get(&endpoint).cloned();
                chosen.map(|endpoint| (endpoint, estimate)).ok_or((
                    LATER,
                    "no_endpoint",
                    String::new(),
                ))
            }
            Choice::Full {
                estimate_ms: estimate,
                retry_after: again,
            } => {
                let work = placement.work_ms(need);
                placement.add_demand(self.service, work, now);
                let detail = format!("estimate_ms={estimate:.0} goal_ms={}", need.goal_left);
                Err((third(again), "full", detail))
            }
            Choice::NoEndpoint => {
                let known = fleet.usable(self.service, now).count();
                Err((third(LATER), "no_endpoint", format!("known={known}")))
            }
        }
    }

    fn give_back(&self) {
        if let Some(org) = self.org {
            let now = self.node.now();
            let mut quotas = self.node.quotas.borrow_mut();
            quotas.refund(org, self.ask.tokens, now);
        }
    }

    /// Urgency for an engine: the organisation's rank goes before the route's.
    pub(crate) fn urgency(&self, need: &Need) -> Option<u8> {
        let rank = self.org.and_then(|org| org.rank).unwrap_or(self.route.rank);
        need.engine
            .then(|| u8::try_from(rank).unwrap_or(u8::MAX).min(9))
    }
}

pub(crate) fn seconds(millis: u64) -> f64 {
    Duration::from_millis(millis).as_secs_f64()
}
