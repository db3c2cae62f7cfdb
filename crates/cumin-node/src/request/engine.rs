//! Client of a model engine: sends the request of one attempt and reads the events of the answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, ResponseHead};
use cumin_http::client::{self, CallError};
use cumin_http::connection::Answer;
use cumin_request::{AttemptFailure, TokenCounts, Transcript};
use cumin_types::{AttemptId, Descriptor, Millis, Position};
use cumin_wire::completion::{Chunk, Resume};
use cumin_wire::{header, sse};
use serde_json::{Map, Value};

/// An event of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// One token.
    Token {
        attempt: Option<AttemptId>,
        end: Position,
        text: String,
    },
    /// The answer is complete.
    End {
        attempt: Option<AttemptId>,
        reason: String,
        counts: TokenCounts,
    },
}

/// The stream of events from an engine.
pub(crate) struct EventStream {
    answer: Answer,
    reader: sse::Reader,
    expected: Position,
}

/// Options of [`open`].
pub(crate) struct Options<'a> {
    pub(crate) connect_timeout: Duration,
    pub(crate) address: SocketAddr,
    pub(crate) descriptor: &'a Descriptor,
    pub(crate) transcript: &'a Transcript,
    pub(crate) attempt: AttemptId,
    pub(crate) time_left: Millis,
    pub(crate) chat: bool,
    /// Receives the head of the answer.
    pub(crate) heard: &'a dyn Fn(&ResponseHead),
}

/// Sends the request; the engine continues after the tokens in the transcript.
pub(crate) async fn open(options: Options<'_>) -> Result<EventStream, AttemptFailure> {
    // Engines have options that this node doesn't know, so the caller's body is forwarded as it is,
    // except for the fields `stream` and `resume`. It was parsed when the request was accepted.
    let mut body: Map<String, Value> = serde_json::from_str(&options.descriptor.body)
        .map_err(|_| AttemptFailure::Rejected { status: 400 })?;
    body.insert("stream".into(), true.into());
    let from = options.transcript.position();
    if from > Position(0) {
        let text = options.transcript.text().to_owned();
        let resume = Resume {
            text,
            position: from.0,
        };
        let resume =
            serde_json::to_value(resume).map_err(|_| AttemptFailure::Rejected { status: 400 })?;
        body.insert("resume".into(), resume);
    }
    let path = if options.chat {
        "chat/completions"
    } else {
        "completions"
    };
    let call = client::Call {
        method: Method::POST,
        path: format!("/v1/{path}"),
        headers: vec![
            (header::REQUEST_ID, options.descriptor.id.to_string()),
            (header::ATTEMPT_ID, options.attempt.to_string()),
            (header::PRIORITY, options.descriptor.priority.to_string()),
            (header::DEADLINE_MS, options.time_left.to_string()),
            ("content-type", "application/json".to_owned()),
        ],
        body: Some(Value::Object(body).to_string().into()),
    };
    let answer = client::send(options.address, call, options.connect_timeout)
        .await
        .map_err(|error| send_failure(&error))?;
    (options.heard)(&answer.head);
    let status = answer.head.status.as_u16();
    if status == 200 {
        return Ok(EventStream {
            answer,
            reader: sse::Reader::default(),
            expected: from,
        });
    }
    Err(status_failure(
        status,
        answer.head.headers.contains_key(header::NOT_STARTED),
    ))
}

/// Returns the failure that a status other than 200 stands for.
pub(crate) fn status_failure(status: u16, not_started: bool) -> AttemptFailure {
    match status {
        _ if not_started => AttemptFailure::NotStarted,
        400..=499 if status != 429 => AttemptFailure::Rejected { status },
        _ => AttemptFailure::ErrorStatus { status },
    }
}

/// Returns the failure for an error on sending, by whether a byte may have reached the endpoint.
pub(crate) fn send_failure(error: &CallError) -> AttemptFailure {
    match error {
        CallError::Invalid(_) => AttemptFailure::Rejected { status: 400 },
        CallError::NotSent(_) => AttemptFailure::NotConnected,
        CallError::NoAnswer(_) => AttemptFailure::ConnectionLost,
    }
}

impl EventStream {
    /// Returns the next event.
    pub(crate) async fn next(&mut self) -> Result<Event, AttemptFailure> {
        loop {
            while let Some(event) = self
                .reader
                .next_event()
                .map_err(|_| AttemptFailure::ConnectionLost)?
            {
                if event.data == "[DONE]" {
                    continue;
                }
                if let Some(event) = self.parse(&event)? {
                    return Ok(event);
                }
            }
            match self.answer.next().await {
                Ok(Some(bytes)) => self
                    .reader
                    .push(&bytes)
                    .map_err(|_| AttemptFailure::ConnectionLost)?,
                Ok(None) | Err(_) => return Err(AttemptFailure::ConnectionLost),
            }
        }
    }

    fn parse(&mut self, event: &sse::Event) -> Result<Option<Event>, AttemptFailure> {
        let chunk: Chunk =
            serde_json::from_str(&event.data).map_err(|_| AttemptFailure::ConnectionLost)?;
        let attempt = chunk.attempt.as_deref().and_then(|id| id.parse().ok());
        if let Some(reason) = chunk.finish() {
            let usage = chunk.usage.unwrap_or_default();
            let counts = TokenCounts {
                prompt: usage.prompt_tokens,
                completion: usage.completion_tokens,
                cached: usage.cached_tokens,
            };
            return Ok(Some(Event::End {
                attempt,
                reason: reason.into(),
                counts,
            }));
        }
        if chunk.content().is_empty() {
            return Ok(None);
        }
        // An engine that sends no event ids sends one token per event, in order.
        let end = match event.id.as_deref().map(str::parse) {
            Some(Ok(end)) => Position(end),
            Some(Err(_)) => return Err(AttemptFailure::ConnectionLost),
            None => self.expected.plus(1),
        };
        self.expected = end;
        Ok(Some(Event::Token {
            attempt,
            end,
            text: chunk.content().into(),
        }))
    }
}
