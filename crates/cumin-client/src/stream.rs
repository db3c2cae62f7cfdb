//! Streamed completions with resume.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cumin_types::Outcome;
use cumin_wire::completion::{Chunk, ErrorBody, Request, Usage};
use cumin_wire::{header, sse};
use futures_util::StreamExt;
use serde::Deserialize;

use crate::plain::unreachable;
use crate::{Client, Error, outcome, retry_after};

/// A completion that was streamed to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streamed {
    /// The request's id.
    pub id: String,
    /// The tokens, in order.
    pub tokens: Vec<String>,
    /// What became of the request.
    pub outcome: Option<Outcome>,
    /// `stop`, `length` or an error code.
    pub reason: String,
    /// Token counts that the system told.
    pub usage: Option<Usage>,
    /// The second node that holds the request, as the entry told last.
    pub second: Option<SocketAddr>,
    /// Times that the stream went on at another entry.
    pub resumes: u32,
    /// Tokens that came twice, which must not happen.
    pub repeated: u64,
    /// Tokens that were skipped, which must not happen.
    pub skipped: u64,
    /// Time from the first send to the first token.
    pub first: Option<Duration>,
    /// Longest time between two tokens.
    pub gap: Duration,
    /// Time from the first send to each token.
    pub arrivals: Vec<Duration>,
    /// Time from the first send to the end.
    pub total: Duration,
}

impl Streamed {
    /// Returns the whole text.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.concat()
    }
}

#[derive(Deserialize)]
struct Moved {
    entries: Vec<SocketAddr>,
}

/// Longest wait for the end of a body after its last event.
const LAST_READ: Duration = Duration::from_millis(20);

/// How one connection ended.
enum Ended {
    Whole,
    Moved(Vec<SocketAddr>),
    Broken(String),
}

struct Reading {
    streamed: Streamed,
    started: Instant,
    latest: Option<Instant>,
    second: Option<SocketAddr>,
}

impl Client {
    /// Streams a chat completion to its end, across entries when need be.
    ///
    /// # Errors
    /// When the call is refused, or no entry gives the rest of the answer.
    pub async fn chat(&self, body: &Request) -> Result<Streamed, Error> {
        let body = Request {
            stream: true,
            ..body.clone()
        };
        let mut reading = Reading {
            streamed: Streamed::default(),
            started: Instant::now(),
            latest: None,
            second: None,
        };
        let mut next: Option<SocketAddr> = None;
        let mut reason = String::new();
        for _ in 0..self.options.tries {
            let Some(entry) = next.take().or_else(|| self.any()) else {
                return Err(unreachable("no entry is known"));
            };
            let ended = match self.connect(entry, &body, &mut reading).await {
                Err(Error::Refused {
                    outcome: Some(Outcome::NotRun),
                    after,
                    ..
                }) if self.wait(after).await => {
                    continue;
                }
                ended => ended?,
            };
            match ended {
                Ended::Whole => return Ok(reading.streamed),
                Ended::Moved(entries) => {
                    next = entries.into_iter().find(|entry| self.allowed(*entry));
                    reading.streamed.resumes += 1;
                }
                Ended::Broken(why) => {
                    reason = format!("{entry}: {why}");
                    self.avoid(entry);
                    next = reading.second.take().filter(|second| *second != entry);
                    if !reading.streamed.id.is_empty() {
                        reading.streamed.resumes += 1;
                    }
                    if next.is_none() {
                        self.pause().await;
                    }
                }
            }
        }
        Err(unreachable(&reason))
    }

    /// Sends the request, or asks for the rest of it, and reads until the connection ends.
    async fn connect(
        &self,
        entry: SocketAddr,
        body: &Request,
        reading: &mut Reading,
    ) -> Result<Ended, Error> {
        let bearer = ("authorization", format!("Bearer {}", self.options.key));
        let id = reading.streamed.id.clone();
        let sent = if id.is_empty() {
            let call = self
                .http
                .post(format!("http://{entry}/v1/chat/completions"));
            actix_rt::time::timeout(
                self.options.timeout,
                call.insert_header(bearer).send_json(body),
            )
            .await
        } else {
            let position = reading.streamed.tokens.len().to_string();
            let call = self
                .http
                .get(format!("http://{entry}/v1/requests/{id}"))
                .insert_header(bearer)
                .insert_header(("accept", "text/event-stream"))
                .insert_header((header::LAST_EVENT_ID, position));
            actix_rt::time::timeout(self.options.timeout, call.send()).await
        };
        let mut answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Ok(Ended::Broken(error.to_string())),
            Err(_) => return Ok(Ended::Broken("no answer in time".into())),
        };
        let status = answer.status().as_u16();
        if status != 200 {
            let (outcome, after) = (outcome(&answer), retry_after(&answer));
            let body = answer.body().await.unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            // The second may not have noticed the owner's end yet, and a leaving entry refuses.
            let again = !id.is_empty()
                || (status >= 500 && outcome == Some(Outcome::NotRun) && after.is_none());
            if again {
                return Ok(Ended::Broken(format!("status {status}: {body}")));
            }
            return Err(Error::Refused {
                status,
                outcome,
                body,
                after,
            });
        }
        let headers = answer.headers();
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        if let Some(id) = text(header::REQUEST_ID) {
            reading.streamed.id = id.into();
        }
        reading.second = text(header::REPLICA)
            .and_then(|second| second.parse().ok())
            .filter(|second| self.allowed(*second));
        reading.streamed.second = reading.second;
        let mut reader = sse::Reader::default();
        loop {
            let part = match actix_rt::time::timeout(self.options.timeout, answer.next()).await {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(error))) => return Ok(Ended::Broken(error.to_string())),
                Ok(None) => return Ok(Ended::Broken("the stream ended early".into())),
                Err(_) => return Ok(Ended::Broken("no event in time".into())),
            };
            if reader.push(&part).is_err() {
                return Ok(Ended::Broken("malformed event".into()));
            }
            while let Ok(Some(event)) = reader.next_event() {
                if let Some(ended) = reading.take(&event) {
                    reading.streamed.total = reading.started.elapsed();
                    // A connection whose body was not read to its end is closed, not reused.
                    let _ = actix_rt::time::timeout(LAST_READ, answer.next()).await;
                    return Ok(ended);
                }
            }
        }
    }
}

impl Reading {
    fn take(&mut self, event: &sse::Event) -> Option<Ended> {
        if event.name.as_deref() == Some("moved") {
            let entries = serde_json::from_str::<Moved>(&event.data).map(|moved| moved.entries);
            return Some(Ended::Moved(entries.unwrap_or_default()));
        }
        if event.data == "[DONE]" {
            return Some(Ended::Whole);
        }
        if let Ok(body) = serde_json::from_str::<ErrorBody>(&event.data) {
            self.streamed.outcome = Some(body.error.outcome);
            self.streamed.reason = body.error.code;
            return Some(Ended::Whole);
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return None;
        };
        if let Some(reason) = chunk.finish() {
            self.streamed.reason = reason.into();
            self.streamed.outcome = Some(Outcome::Done);
            self.streamed.usage = chunk.usage;
            return None;
        }
        self.token(
            event.id.as_deref().and_then(|id| id.parse().ok()),
            chunk.content(),
        );
        None
    }

    fn token(&mut self, position: Option<u64>, text: &str) {
        let now = Instant::now();
        let expected = self.streamed.tokens.len() as u64 + 1;
        match position.unwrap_or(expected) {
            position if position < expected => self.streamed.repeated += 1,
            position => {
                self.streamed.skipped += position - expected;
                self.streamed.tokens.push(text.into());
            }
        }
        self.streamed
            .first
            .get_or_insert_with(|| now - self.started);
        self.streamed.arrivals.push(now - self.started);
        if let Some(latest) = self.latest.replace(now) {
            self.streamed.gap = self.streamed.gap.max(now - latest);
        }
    }
}
