//! One attempt at an endpoint: connection, request, answer, and what the answer is worth.

use std::io;
use std::time::Duration;

use actix_http::ResponseHead;
use bytes::Bytes;
use cumin_entry::fleet::Endpoint;
use cumin_entry::platform::{AnswerHead, Attempt};
use cumin_entry::selection::{AttemptNumber, Need};
use cumin_types::{EndpointName, Millis, Organisation};

use crate::caller::{End, Reply};
use crate::connection::{Answer, Connection, Fault, Sending};
use crate::events::Events;
use crate::node::Node;
use crate::request::{Job, seconds};

/// Time for a connection to an endpoint: several times the delay between places, and less than
/// the second after which a lost first packet is sent again.
const CONNECT: Duration = Duration::from_millis(300);

/// Longest answer that is held back until it is whole.
const MOST_BODY: usize = 8 * 1024 * 1024;

/// An idle connection is used within this part of the time that its endpoint keeps it: the
/// endpoint may close it while the request is on its way.
const KEEP_PART: u64 = 2;

/// Idle connections are used for this long where the endpoint does not say.
const KEEP_USUAL: Millis = Millis(2000);

/// An idempotent request is sent elsewhere when no answer has begun after this part of its goal
/// beyond the estimate, and never sooner than `PATIENCE_LEAST`.
const PATIENCE_PART: f64 = 1.0;
const PATIENCE_LEAST: f64 = 250.0;

/// How an attempt went, as far as the next step depends on it.
pub(crate) enum Tried {
    /// The request is answered.
    Answered(End, &'static str),
    /// No byte was sent.
    Unsent,
    /// The endpoint says that it did not run.
    Unrun,
    /// It may have run, and no answer is there.
    Broken,
    /// It ran and failed; the answer may be passed on.
    Failed(Box<ResponseHead>, Bytes),
}

/// Ends the attempt's part in the load when it is dropped.
struct Flight<'a> {
    node: &'a Node,
    endpoint: EndpointName,
    /// Start of the endpoint.
    born: u64,
    id: AttemptNumber,
    answered: bool,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut placement = self.node.placement.borrow_mut();
        placement.attempt_ended(&self.endpoint, self.id, self.answered, now);
    }
}

impl Job<'_> {
    /// Sends the request to an endpoint and relays its answer.
    pub(crate) async fn attempt(
        &mut self,
        endpoint: &Endpoint,
        need: &Need,
        estimate: f64,
        events: &mut Events,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<Tried> {
        let node = self.node;
        let link = match self.link(endpoint).await {
            Ok(link) => link,
            Err(error) => {
                crashed(node, &endpoint.name);
                let rest = node
                    .placement
                    .borrow_mut()
                    .connection_failed(&endpoint.name, node.now());
                log::info!(
                    "event=endpoint_unreachable endpoint={} error={error} rest_ms={rest}",
                    endpoint.name
                );
                return Ok(Tried::Unsent);
            }
        };
        let now = node.now();
        let memory = self.memory();
        let id = node
            .placement
            .borrow_mut()
            .attempt_sent(endpoint, need, memory, estimate, now);
        let flight = Flight {
            node,
            endpoint: endpoint.name.clone(),
            born: endpoint.started_ms,
            id,
            answered: false,
        };
        self.sends += 1;
        let dialect = &node.platform.dialect;
        let attempt = Attempt {
            endpoint: Some(endpoint.name.clone()),
            time_left: Some(Millis(self.deadline.since(now))),
            org: self.org.map(|org| org.name.clone()),
            urgency: self.urgency(need),
            last_event: events.last(),
        };
        let inbound = &self.inbound.head;
        let sending = Sending {
            method: inbound.method.clone(),
            uri: inbound.uri.clone(),
            headers: dialect.attempt_headers(&inbound.headers, &attempt),
            body: &self.inbound.body,
            has_body: self.inbound.has_body,
        };
        let mine = |head: &ResponseHead| {
            self.ask.id.is_none()
                || dialect.parse_answer(head).id.as_deref() == self.ask.id.as_deref()
        };
        let exchange = link.exchange(&node.http, sending, mine);
        let patience = self.patience(need, estimate);
        let answer = match patience {
            Some(limit) => match tokio::time::timeout(limit, exchange).await {
                Ok(answer) => answer,
                Err(_) => return Ok(Tried::Broken),
            },
            None => exchange.await,
        };
        match answer {
            Ok(answer) => self.received(answer, flight, events, reply).await,
            Err(fault) => {
                log::debug!(
                    "event=attempt_fault endpoint={} error={fault}",
                    endpoint.name
                );
                Ok(Tried::Broken)
            }
        }
    }

    /// Judges an answer by its head, and passes it on.
    async fn received(
        &self,
        mut answer: Answer,
        mut flight: Flight<'_>,
        events: &mut Events,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<Tried> {
        let node = self.node;
        let endpoint = flight.endpoint.clone();
        let marks = node.platform.dialect.parse_answer(&answer.head);
        if marks.not_run {
            node.placement
                .borrow_mut()
                .endpoint_heard(&endpoint, node.now());
            if marks.misdirected {
                node.placement
                    .borrow_mut()
                    .connection_failed(&endpoint, node.now());
            }
            return Ok(Tried::Unrun);
        }
        if !marks.signed {
            log::warn!(
                "event=unsealed_answer id={} endpoint={} status={}",
                self.id(),
                endpoint,
                answer.head.status.as_u16()
            );
            return Ok(Tried::Broken);
        }
        let streams = self.route.kind.is_stream() && answer.head.status.is_success();
        if streams {
            return self.relay(answer, &marks, &mut flight, events, reply).await;
        }
        self.begun(&flight);
        let body = match answer.whole(MOST_BODY).await {
            Ok(body) => body,
            Err(fault) => {
                log::debug!("event=torn_answer endpoint={endpoint} error={fault}");
                return Ok(Tried::Broken);
            }
        };
        flight.answered = true;
        let head = Box::new(answer.head.clone());
        self.keep(&endpoint, answer, &marks);
        let again = self.route.kind.is_repeatable() && head.status.is_server_error();
        if again && self.sends < self.route.attempts {
            return Ok(Tried::Failed(head, body));
        }
        drop(flight);
        let (end, outcome) = self.pass(&head, &body, reply).await?;
        Ok(Tried::Answered(end, outcome))
    }

    fn memory(&self) -> u64 {
        let engine = self.spec.and_then(|spec| spec.engine.as_ref());
        engine.map_or(0, |engine| engine.memory_tokens)
    }

    /// Time for an answer to begin before an idempotent request is sent elsewhere.
    fn patience(&self, need: &Need, estimate: f64) -> Option<Duration> {
        let last = self.sends >= self.route.attempts;
        if !self.route.kind.is_repeatable() || last {
            return None;
        }
        let goal = seconds(self.route.goal.0) * 1000.0;
        let wait = (estimate + goal * PATIENCE_PART).max(PATIENCE_LEAST);
        let left = seconds(need.time_left.0) * 1000.0;
        (wait < left).then(|| Duration::from_secs_f64(wait / 1000.0))
    }

    fn begun(&self, flight: &Flight<'_>) {
        let node = self.node;
        let now = node.now();
        node.placement
            .borrow_mut()
            .answer_begun(&flight.endpoint, flight.id, now);
        let first = now.since(self.inbound.at);
        self.first.set(Some(first));
        node.metrics.first.observe(seconds(first));
        if let Some(org) = self.org {
            count_usage(node, &org.name);
        }
    }

    /// Sends a whole answer of an endpoint to the caller.
    pub(crate) async fn pass(
        &self,
        head: &ResponseHead,
        body: &Bytes,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<(End, &'static str)> {
        let headers = self.node.platform.dialect.forwarded_headers(head);
        reply.full(head.status, headers, body).await?;
        let outcome = if head.status.is_success() {
            "done"
        } else {
            "failed"
        };
        Ok((End::Whole, outcome))
    }

    /// Relays a stream of events. Only whole events go to the caller.
    async fn relay(
        &self,
        mut answer: Answer,
        marks: &AnswerHead,
        flight: &mut Flight<'_>,
        events: &mut Events,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<Tried> {
        let node = self.node;
        let mut first = true;
        events.restart();
        loop {
            let bytes = match answer.next().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(fault) => return Ok(self.torn(&fault, flight, reply)),
            };
            let now = node.now();
            node.placement
                .borrow_mut()
                .endpoint_heard(&flight.endpoint, now);
            let whole = events.push(&bytes);
            if whole.is_empty() {
                continue;
            }
            if first {
                first = false;
                self.begun(flight);
            }
            if !reply.begun {
                let headers = node.platform.dialect.forwarded_headers(&answer.head);
                reply.begin(answer.head.status, headers)?;
            }
            reply.part(whole).await?;
        }
        if !events.whole() {
            let fault = Fault::Garbled("the stream ends within an event".into());
            return Ok(self.torn(&fault, flight, reply));
        }
        if !reply.begun {
            let headers = node.platform.dialect.forwarded_headers(&answer.head);
            reply.begin(answer.head.status, headers)?;
        }
        flight.answered = true;
        self.keep(&flight.endpoint, answer, marks);
        reply.finish().await?;
        Ok(Tried::Answered(End::Whole, "done"))
    }

    fn torn(&self, fault: &Fault, flight: &Flight<'_>, reply: &Reply<'_, '_>) -> Tried {
        log::info!(
            "event=torn_stream id={} endpoint={} error={fault}",
            self.id(),
            flight.endpoint
        );
        if reply.begun && !self.route.kind.is_repeatable() {
            let now = self.node.now();
            let mut suspects = self.node.suspects.borrow_mut();
            suspects.attempt_broke(&flight.endpoint, flight.born, self.print, now);
            return Tried::Answered(End::Cut, "cut_endpoint");
        }
        Tried::Broken
    }

    /// Returns an idle connection to the endpoint, or a new one.
    async fn link(&self, endpoint: &Endpoint) -> io::Result<Connection> {
        let now = self.node.now();
        loop {
            let link = {
                let mut links = self.node.links.borrow_mut();
                links.get_mut(&endpoint.name).and_then(Vec::pop)
            };
            let Some(link) = link else { break };
            if usable(&link, now) && link.quiet() {
                return Ok(link);
            }
        }
        self.node.metrics.connections.inc();
        Connection::connect(endpoint.address, CONNECT).await
    }

    fn keep(&self, endpoint: &EndpointName, answer: Answer, marks: &AnswerHead) {
        if let Some(mut link) = answer.into_link() {
            link.idle = (self.node.now(), marks.keep_alive);
            let mut links = self.node.links.borrow_mut();
            links.entry(endpoint.clone()).or_default().push(link);
        }
    }
}

/// Notes that an endpoint can't be reached any more.
pub(crate) fn crashed(node: &Node, endpoint: &EndpointName) {
    let mut suspects = node.suspects.borrow_mut();
    for print in suspects.endpoint_unreachable(endpoint, node.now()) {
        log::info!(
            "event=suspect endpoint={endpoint} request={print:?} crashes={}",
            suspects.crashes(print, node.now())
        );
    }
}

/// Returns whether an idle connection may carry another request.
pub(crate) fn usable(link: &Connection, now: Millis) -> bool {
    let (since, keep) = link.idle;
    let most = keep.map_or(KEEP_USUAL.0, |keep| keep.0 / KEEP_PART);
    now.since(since) < most
}

fn count_usage(node: &Node, org: &Organisation) {
    node.usage.borrow_mut().add(node.window(), org);
}
