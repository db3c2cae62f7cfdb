//! A single attempt at an endpoint: connection, request, and classification of the answer.

use std::io;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use cumin_entry::fleet::Endpoint;
use cumin_entry::limits::AnswerLimit;
use cumin_entry::platform::{AnswerHead, Attempt};
use cumin_entry::selection::{AttemptNumber, Need, PartList, shared_parts};
use cumin_entry::suspects::BEGIN_WINDOW;
use cumin_http::connection::{Answer, AnswerError, Outbound};
use cumin_types::{EndpointName, Millis, Organisation};
use tokio::time::Instant;

use crate::crash;
use crate::events::EventSplitter;
use crate::leaving;
use crate::limit;
use crate::memory::{Held, stated_length};
use crate::node::Node;
use crate::reply::{Reply, ReplyEnd};
use crate::request::{ActiveRequest, seconds};

/// Maximum size of an answer that is buffered until it is complete.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// An attempt of an idempotent request is abandoned, and the request retried, if no answer has
/// begun after the estimate plus this fraction of the route's goal.
const ANSWER_GOAL_SHARE: f64 = 1.0;

/// Minimum time until such an attempt is abandoned.
const MIN_ANSWER_TIMEOUT_MS: f64 = 250.0;

/// Outcome of an attempt, which decides whether the request is retried.
pub(crate) enum AttemptEnd {
    /// The caller was answered.
    Answered(ReplyEnd, &'static str),
    /// No connection could be opened, so nothing was sent.
    NotSent,
    /// The endpoint stated that it did not run the request.
    NotRun,
    /// No complete and valid answer arrived in time; the request may have run.
    Broken,
    /// The endpoint answered with a server error, which can be forwarded if no retry succeeds.
    Failed(Box<ResponseHead>, Bytes),
}

/// Counts an attempt as load of its endpoint until dropped.
struct InFlight<'a> {
    node: &'a Node,
    endpoint: EndpointName,
    /// Time of the endpoint's start, which tells its incarnations apart.
    started_ms: u64,
    id: AttemptNumber,
    sent: Millis,
    /// Time of the first event or of the head of the answer.
    begun: Option<Millis>,
    /// Whether the request is known not to crash its endpoint.
    ran: bool,
    /// Whether the endpoint answered completely.
    answered: bool,
}

impl InFlight<'_> {
    /// Returns the limit that the head of the attempt's answer states.
    fn stated(&self, head: &AnswerHead) -> AnswerLimit {
        AnswerLimit {
            endpoint: self.endpoint.clone(),
            started_ms: self.started_ms,
            rate: head.rate_limit,
            sent: self.sent,
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut selector = self.node.selector.borrow_mut();
        selector.attempt_ended(&self.endpoint, self.id, self.answered, now);
    }
}

impl ActiveRequest<'_> {
    /// Sends the request to an endpoint and relays its answer.
    pub(crate) async fn attempt(
        &mut self,
        endpoint: &Endpoint,
        need: &Need,
        estimate_ms: f64,
        events: &mut EventSplitter,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<AttemptEnd> {
        let node = self.node;
        let connection = match self.acquire(endpoint).await {
            Ok(connection) => connection,
            Err(error) => {
                crash::endpoint_unreachable(node, &endpoint.name, &error);
                return Ok(AttemptEnd::NotSent);
            }
        };
        let now = node.now();
        if !node.fleet.borrow().accepts(&endpoint.name, now) {
            // It left while the connection was opened.
            return Ok(AttemptEnd::NotSent);
        }
        let memory_tokens = self.memory_tokens();
        let id = node.selector.borrow_mut().attempt_sent(
            endpoint,
            need,
            memory_tokens,
            estimate_ms,
            now,
        );
        if node.selector.borrow().is_urgent() {
            node.urgent_notify.notify_one();
        }
        let flight = InFlight {
            node,
            endpoint: endpoint.name.clone(),
            started_ms: endpoint.started_ms,
            id,
            sent: now,
            begun: None,
            ran: false,
            answered: false,
        };
        self.slot_sent();
        self.attempts_sent += 1;
        let is_last = self.attempts_sent >= self.route.attempts;
        let last_event = events.last_id();
        let outbound = self.outbound(endpoint, need, last_event, now);
        let dialect = &node.platform.dialect;
        let is_own = |head: &ResponseHead| {
            let answered = dialect.parse_answer(head).id;
            let own = answered.as_deref() == self.request.id.as_deref();
            if !own {
                log::warn!(
                    "event=stray_answer id={} endpoint={} status={} answered={:?}",
                    self.id(),
                    endpoint.name,
                    head.status.as_u16(),
                    cut(answered.as_deref().unwrap_or_default())
                );
            }
            own
        };
        let id = self.id();
        let heard = |head: &ResponseHead| {
            leaving::answer_heard(node, endpoint, head, id);
            let is_own = is_own(head);
            limit::wait_heard(node, endpoint, head, (id, now), is_own);
            is_own
        };
        let exchange = connection.exchange(&node.http_config, outbound, heard);
        let timeout = self.answer_timeout(need, estimate_ms);
        let answer = match timeout {
            Some(limit) => {
                let Ok(answer) = tokio::time::timeout(limit, exchange).await else {
                    self.attempt_broke(&flight);
                    return Ok(AttemptEnd::Broken);
                };
                answer
            }
            None => exchange.await,
        };
        if is_last {
            self.inbound.body.take();
        }
        match answer {
            Ok(answer) => {
                self.handle_answer(answer, timeout, flight, events, reply)
                    .await
            }
            Err(error) => {
                self.attempt_failed("attempt_fault", &flight, &error);
                Ok(AttemptEnd::Broken)
            }
        }
    }

    /// Returns the request as it is sent to an endpoint.
    fn outbound(
        &self,
        endpoint: &Endpoint,
        need: &Need,
        last_event: Option<u64>,
        now: Millis,
    ) -> Outbound {
        let attempt = Attempt {
            endpoint: Some(endpoint.name.clone()),
            time_left: Some(Millis(self.deadline.since(now))),
            org: self.org.map(|org| org.name.clone()),
            rank: self.engine_rank(need),
            last_event,
        };
        let inbound = &self.inbound.head;
        let dialect = &self.node.platform.dialect;
        Outbound {
            method: inbound.method.clone(),
            uri: inbound.uri.clone(),
            headers: dialect.attempt_headers(&inbound.headers, &attempt),
            body: self.outbound_body(self.attempts_sent >= self.route.attempts),
            has_body: self.inbound.has_body,
            close: false,
        }
    }

    /// Returns the body for an attempt. After the last one nothing is sent again, so the body is
    /// freed as soon as it is written.
    fn outbound_body(&self, is_last: bool) -> Bytes {
        let mut body = self.inbound.body.borrow_mut();
        if is_last {
            std::mem::take(&mut body.bytes)
        } else {
            body.bytes.clone()
        }
    }

    /// Logs an attempt without a complete answer. An endpoint that sent bytes that are no answer
    /// gets a cooldown: more of them would follow.
    fn attempt_failed(&self, event: &str, flight: &InFlight<'_>, error: &AnswerError) {
        log::info!(
            "event={event} id={} endpoint={} request={:?} parts={} error={error}",
            self.id(),
            flight.endpoint,
            self.suspicion.fingerprint,
            PartList(shared_parts(&self.request.parts))
        );
        if matches!(error, AnswerError::Malformed(_)) {
            let now = self.node.now();
            let mut selector = self.node.selector.borrow_mut();
            selector.connection_failed(&flight.endpoint, now);
        }
        self.attempt_broke(flight);
    }

    /// Makes the request a suspect in case the endpoint crashed when its answer began.
    fn attempt_broke(&self, flight: &InFlight<'_>) {
        let now = self.node.now();
        let running = flight
            .begun
            .is_some_and(|at| now.since(at) > BEGIN_WINDOW.0);
        if !flight.ran && !running {
            crash::attempt_broke(
                self.node,
                &flight.endpoint,
                flight.started_ms,
                &self.suspicion,
            );
        }
        crash::check_endpoint(self.node, &flight.endpoint, None);
    }

    /// Records that the request ran without crashing its endpoint.
    ///
    /// An answer that ended with its connection shows that only if the endpoint is still there.
    fn request_ran(&self, flight: &mut InFlight<'_>, until_close: bool) {
        if flight.ran {
            return;
        }
        let node = self.node;
        if until_close {
            crash::attempt_broke(node, &flight.endpoint, flight.started_ms, &self.suspicion);
            crash::check_endpoint(node, &flight.endpoint, Some(&self.suspicion));
        } else {
            flight.ran = true;
            node.suspects.borrow_mut().ran(&self.suspicion, node.now());
        }
    }

    /// Classifies an answer by its head and forwards it.
    async fn handle_answer(
        &self,
        mut answer: Answer,
        timeout: Option<Duration>,
        mut flight: InFlight<'_>,
        events: &mut EventSplitter,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<AttemptEnd> {
        let node = self.node;
        let endpoint = flight.endpoint.clone();
        let answer_head = node.platform.dialect.parse_answer(&answer.head);
        if answer_head.not_run {
            node.selector
                .borrow_mut()
                .endpoint_heard(&endpoint, node.now());
            if answer_head.misdirected {
                node.selector
                    .borrow_mut()
                    .connection_failed(&endpoint, node.now());
            }
            // A rejection may come from what protects the endpoint, so it does not end a limit.
            if !answer_head.misdirected && answer_head.rate_limit.is_some() {
                limit::answer_heard(node, &flight.stated(&answer_head), self.id());
            }
            return Ok(AttemptEnd::NotRun);
        }
        if !answer_head.signed {
            log::warn!(
                "event=unsealed_answer id={} endpoint={} status={}",
                self.id(),
                endpoint,
                answer.head.status.as_u16()
            );
            self.attempt_broke(&flight);
            return Ok(AttemptEnd::Broken);
        }
        limit::answer_heard(node, &flight.stated(&answer_head), self.id());
        let is_stream = self.route.kind.is_stream() && answer.head.status.is_success();
        if is_stream {
            return self
                .relay_stream(answer, &answer_head, &mut flight, events, reply)
                .await;
        }
        self.answer_begun(&mut flight);
        let org = self.org.map(|org| &org.name);
        let stated = stated_length(&answer.head.headers).unwrap_or_default();
        let mut share = Held::passed_on(node, org, stated.min(MAX_BODY_BYTES));
        let reading = answer.read_body(MAX_BODY_BYTES);
        let read = match timeout {
            Some(limit) => tokio::time::timeout(limit, reading).await,
            None => Ok(reading.await),
        };
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                self.attempt_failed("attempt_fault", &flight, &error);
                return Ok(AttemptEnd::Broken);
            }
            Err(_) => {
                log::info!(
                    "event=attempt_fault id={} endpoint={endpoint} error=\"slow body\"",
                    self.id()
                );
                self.attempt_broke(&flight);
                return Ok(AttemptEnd::Broken);
            }
        };
        share.raise(body.len());
        flight.answered = true;
        let head = Box::new(answer.head.clone());
        self.status.set(Some(head.status));
        if head.status.is_success() {
            self.request_ran(&mut flight, answer.until_close);
        }
        self.release(&endpoint, answer, &answer_head);
        let is_repeatable = self.route.kind.is_repeatable();
        let refused = node.platform.dialect.is_refusal(&head);
        let may_retry = is_repeatable && (head.status.is_server_error() || refused);
        if may_retry && self.attempts_sent < self.route.attempts {
            return Ok(AttemptEnd::Failed(head, body));
        }
        drop(flight);
        if refused && !is_repeatable {
            // It may have run, so its caller must not be promised that it has not.
            log::info!(
                "event=unproven_refusal id={} endpoint={endpoint} status={}",
                self.id(),
                head.status.as_u16()
            );
            let status = StatusCode::BAD_GATEWAY;
            let end = reply.refuse(status, None, "the endpoint refused").await?;
            return Ok(AttemptEnd::Answered(end, "broken"));
        }
        let (end, outcome) = self.forward(&head, &body, reply).await?;
        Ok(AttemptEnd::Answered(end, outcome))
    }

    /// Returns the size of the KV cache of an engine of the service; zero for a plain service.
    fn memory_tokens(&self) -> u64 {
        let engine = self.spec.and_then(|spec| spec.engine.as_ref());
        engine.map_or(0, |engine| engine.memory_tokens)
    }

    /// Returns the time without a new event after which a stream is given up: when its caller
    /// leaves, or half of that if it can go on at another endpoint.
    fn stall_limit(&self) -> Millis {
        let patience = self.route.patience();
        if self.route.kind.is_repeatable() && self.attempts_sent < self.route.attempts {
            Millis(patience.0 / 2)
        } else {
            patience
        }
    }

    /// Returns the number of tokens in one event of the service's streams.
    fn event_tokens(&self) -> u32 {
        let engine = self.spec.and_then(|spec| spec.engine.as_ref());
        engine.map_or(0, |engine| engine.event_tokens)
    }

    /// Returns the time after which the attempt is abandoned if no answer has begun; `None` if the
    /// request cannot be retried.
    fn answer_timeout(&self, need: &Need, estimate_ms: f64) -> Option<Duration> {
        let last = self.attempts_sent >= self.route.attempts;
        if !self.route.kind.is_repeatable() || last {
            return None;
        }
        let goal_ms = seconds(self.route.goal.0) * 1000.0;
        let wait_ms = (estimate_ms + goal_ms * ANSWER_GOAL_SHARE).max(MIN_ANSWER_TIMEOUT_MS);
        let left_ms = seconds(need.time_left.0) * 1000.0;
        (wait_ms < left_ms).then(|| Duration::from_secs_f64(wait_ms / 1000.0))
    }

    /// Records that the answer of an attempt has begun.
    fn answer_begun(&self, flight: &mut InFlight<'_>) {
        let node = self.node;
        let now = node.now();
        flight.begun = Some(now);
        if let Some(watched) = &self.watched {
            watched.begun();
        }
        node.selector
            .borrow_mut()
            .stream_begun(self.service, &flight.endpoint, flight.id, now);
        if self.first_ms.get().is_none() {
            let first_ms = now.since(self.inbound.received_at);
            self.first_ms.set(Some(first_ms));
            node.metrics.first_seconds.observe(seconds(first_ms));
            if self.estimate_ms > 0.0 {
                let took_ms = seconds(now.since(flight.sent)) * 1000.0;
                let ratio = took_ms / self.estimate_ms;
                node.metrics.estimate_ratio.observe(ratio);
            }
        }
        if let Some(org) = self.org {
            count_usage(node, &org.name);
        }
    }

    /// Forwards a complete answer of an endpoint to the caller.
    pub(crate) async fn forward(
        &self,
        head: &ResponseHead,
        body: &Bytes,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<(ReplyEnd, &'static str)> {
        let headers = self.node.platform.dialect.forwarded_headers(head);
        let end = reply.send(head.status, headers, body).await?;
        if !end.is_complete() {
            log::info!(
                "event=resumption_failed id={} endpoint={} status={}",
                self.id(),
                self.tried.last().map_or("-", EndpointName::as_str),
                head.status.as_u16()
            );
        }
        let outcome = if head.status.is_success() {
            "done"
        } else {
            "failed"
        };
        Ok((end, end.outcome(outcome, "cut_failed")))
    }

    /// Relays a stream of events to the caller; an incomplete event is not forwarded.
    async fn relay_stream(
        &self,
        mut answer: Answer,
        answer_head: &AnswerHead,
        flight: &mut InFlight<'_>,
        events: &mut EventSplitter,
        reply: &mut Reply<'_, '_>,
    ) -> io::Result<AttemptEnd> {
        let node = self.node;
        if reply
            .status()
            .is_some_and(|begun| begun != answer.head.status)
        {
            let error = AnswerError::Malformed("another status than the stream began with".into());
            return Ok(self.stream_broke(&error, flight, events, reply));
        }
        let mut is_first = true;
        events.discard_partial();
        let limit = self.stall_limit();
        let mut progress = Instant::now();
        loop {
            if let Some(fault) = events.fault() {
                let error = AnswerError::Malformed(fault.into());
                return Ok(self.stream_broke(&error, flight, events, reply));
            }
            let next = tokio::time::timeout_at(progress + limit.duration(), answer.next()).await;
            let bytes = match next.unwrap_or(Err(AnswerError::Stalled(limit))) {
                Ok(Some(bytes)) => bytes,
                Ok(None) => break,
                Err(error) => return Ok(self.stream_broke(&error, flight, events, reply)),
            };
            let now = node.now();
            node.selector
                .borrow_mut()
                .endpoint_heard(&flight.endpoint, now);
            let last_id = events.last_id();
            let complete = events.push(&bytes);
            if complete.is_empty() {
                continue;
            }
            let is_progress = events.last_id() != last_id;
            if is_first {
                is_first = false;
                self.answer_begun(flight);
            } else {
                let tokens = events.completed().saturating_mul(self.event_tokens());
                node.selector.borrow_mut().events_heard(
                    self.service,
                    &flight.endpoint,
                    flight.id,
                    tokens,
                    now,
                );
            }
            if flight
                .begun
                .is_some_and(|at| now.since(at) > BEGIN_WINDOW.0)
            {
                self.request_ran(flight, false);
            }
            if !reply.has_begun() {
                let headers = node.platform.dialect.forwarded_headers(&answer.head);
                reply.begin(answer.head.status, headers)?;
            }
            reply.send_chunk(complete).await?;
            // Bytes without a new event are no progress; the time that the caller takes to read
            // does not count against the endpoint.
            if is_progress {
                progress = Instant::now();
            }
        }
        if let Some(fault) = events.end_fault() {
            let error = AnswerError::Malformed(fault.into());
            return Ok(self.stream_broke(&error, flight, events, reply));
        }
        if answer.until_close && is_first {
            // The connection of an endpoint that crashes ends in the same way.
            let error = AnswerError::Closed(io::ErrorKind::UnexpectedEof.into());
            return Ok(self.stream_broke(&error, flight, events, reply));
        }
        self.request_ran(flight, answer.until_close);
        if !reply.has_begun() {
            let headers = node.platform.dialect.forwarded_headers(&answer.head);
            reply.begin(answer.head.status, headers)?;
        }
        flight.answered = true;
        self.release(&flight.endpoint, answer, answer_head);
        Ok(AttemptEnd::Answered(reply.finish().await?, "done"))
    }

    /// Classifies a broken stream: the answer is truncated if the caller already has a part of it
    /// that cannot be resumed.
    fn stream_broke(
        &self,
        error: &AnswerError,
        flight: &InFlight<'_>,
        events: &EventSplitter,
        reply: &Reply<'_, '_>,
    ) -> AttemptEnd {
        self.attempt_failed("torn_stream", flight, error);
        let resumable = self.route.kind.is_repeatable() && !events.is_unnumbered();
        if reply.has_begun() && !resumable {
            return AttemptEnd::Answered(ReplyEnd::TRUNCATED, "cut_endpoint");
        }
        AttemptEnd::Broken
    }
}

/// Maximum number of characters of an endpoint's text in a log line.
const MAX_LOGGED_CHARS: usize = 64;

fn cut(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_LOGGED_CHARS);
    &text[..end.map_or(text.len(), |(at, _)| at)]
}

fn count_usage(node: &Node, org: &Organisation) {
    node.usage.borrow_mut().add(node.usage_window(), org);
}
