//! Streamed completions that are resumed at other entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cumin_types::Outcome;
use cumin_wire::completion::{Chunk, ErrorBody, Request, Usage};
use cumin_wire::{header, sse};
use futures_util::StreamExt;
use serde::Deserialize;

use crate::plain::no_answer;
use crate::{Client, Error, outcome, retry_after};

/// A completion that was streamed to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streamed {
    /// Request id.
    pub id: String,
    /// The tokens, in order.
    pub tokens: Vec<String>,
    /// Outcome of the request.
    pub outcome: Option<Outcome>,
    /// `stop`, `length` or an error code.
    pub finish_reason: String,
    /// Token counts as the system reports them.
    pub usage: Option<Usage>,
    /// Node with the replica of the request, as the last answer named it.
    pub replica: Option<SocketAddr>,
    /// Number of times that the client resumed the stream.
    pub resumes: u32,
    /// Tokens received more than once; 0 unless the system has a fault.
    pub repeated: u64,
    /// Tokens missing from the stream; 0 unless the system has a fault.
    pub skipped: u64,
    /// Time from the first send to the first token.
    pub first_token: Option<Duration>,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
    /// Time from the first send to each token.
    pub token_times: Vec<Duration>,
    /// Time from the first send to the end.
    pub total_time: Duration,
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
const BODY_END_TIMEOUT: Duration = Duration::from_millis(20);

/// How one connection ended.
enum Ended {
    Complete,
    Moved(Vec<SocketAddr>),
    Interrupted(String),
}

/// The answer so far and what resuming it needs.
struct Progress {
    streamed: Streamed,
    started: Instant,
    last_token: Option<Instant>,
    replica: Option<SocketAddr>,
}

impl Client {
    /// Streams a chat completion to its end, and resumes it at other entries when a stream breaks.
    ///
    /// # Errors
    /// When the call is refused, or no entry continues the answer.
    pub async fn chat(&self, body: &Request) -> Result<Streamed, Error> {
        let body = Request {
            stream: true,
            ..body.clone()
        };
        let mut progress = Progress {
            streamed: Streamed::default(),
            started: Instant::now(),
            last_token: None,
            replica: None,
        };
        let mut next: Option<SocketAddr> = None;
        let mut reason = String::new();
        for _ in 0..self.options.max_tries {
            let Some(entry) = next.take().or_else(|| self.random_entry()) else {
                return Err(no_answer("no entry is known"));
            };
            let ended = match self.read_stream(entry, &body, &mut progress).await {
                Err(Error::Refused {
                    outcome: Some(Outcome::NotRun),
                    retry_after,
                    ..
                }) if self.wait_to_retry(retry_after).await => {
                    continue;
                }
                ended => ended?,
            };
            match ended {
                Ended::Complete => return Ok(progress.streamed),
                Ended::Moved(entries) => {
                    next = entries.into_iter().find(|entry| self.is_allowed(*entry));
                    progress.streamed.resumes += 1;
                }
                Ended::Interrupted(why) => {
                    reason = format!("{entry}: {why}");
                    self.forget_entry(entry);
                    next = progress.replica.take().filter(|replica| *replica != entry);
                    if !progress.streamed.id.is_empty() {
                        progress.streamed.resumes += 1;
                    }
                    if next.is_none() {
                        self.pause_and_refresh().await;
                    }
                }
            }
        }
        Err(no_answer(&reason))
    }

    /// Sends the request, or resumes it once its id is known, and reads until the stream ends.
    async fn read_stream(
        &self,
        entry: SocketAddr,
        body: &Request,
        progress: &mut Progress,
    ) -> Result<Ended, Error> {
        let bearer = ("authorization", format!("Bearer {}", self.options.key));
        let id = progress.streamed.id.clone();
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
            let position = progress.streamed.tokens.len().to_string();
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
            Ok(Err(error)) => return Ok(Ended::Interrupted(error.to_string())),
            Err(_) => return Ok(Ended::Interrupted("no answer in time".into())),
        };
        let status = answer.status().as_u16();
        if status != 200 {
            let (outcome, retry_after) = (outcome(answer.headers()), retry_after(answer.headers()));
            let body = answer.body().await.unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            // Retries at another entry: the node with the replica may not have detected yet that the
            // owner is gone, and an entry that is leaving refuses new requests.
            let may_retry = !id.is_empty()
                || (status >= 500 && outcome == Some(Outcome::NotRun) && retry_after.is_none());
            if may_retry {
                return Ok(Ended::Interrupted(format!("status {status}: {body}")));
            }
            return Err(Error::Refused {
                status,
                outcome,
                body,
                retry_after,
            });
        }
        let headers = answer.headers();
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        if let Some(id) = text(header::REQUEST_ID) {
            progress.streamed.id = id.into();
        }
        progress.replica = text(header::REPLICA)
            .and_then(|replica| replica.parse().ok())
            .filter(|replica| self.is_allowed(*replica));
        progress.streamed.replica = progress.replica;
        let mut reader = sse::Reader::default();
        loop {
            let part = match actix_rt::time::timeout(self.options.timeout, answer.next()).await {
                Ok(Some(Ok(part))) => part,
                Ok(Some(Err(error))) => return Ok(Ended::Interrupted(error.to_string())),
                Ok(None) => return Ok(Ended::Interrupted("the stream ended early".into())),
                Err(_) => return Ok(Ended::Interrupted("no event in time".into())),
            };
            if reader.push(&part).is_err() {
                return Ok(Ended::Interrupted("malformed event".into()));
            }
            while let Ok(Some(event)) = reader.next_event() {
                if let Some(ended) = progress.handle_event(&event) {
                    progress.streamed.total_time = progress.started.elapsed();
                    // The HTTP client reuses a connection only after its body was read to the end.
                    let _ = actix_rt::time::timeout(BODY_END_TIMEOUT, answer.next()).await;
                    return Ok(ended);
                }
            }
        }
    }
}

impl Progress {
    /// Applies one event; returns how the connection ended when it is the last.
    fn handle_event(&mut self, event: &sse::Event) -> Option<Ended> {
        if event.name.as_deref() == Some("moved") {
            let entries = serde_json::from_str::<Moved>(&event.data).map(|moved| moved.entries);
            return Some(Ended::Moved(entries.unwrap_or_default()));
        }
        if event.data == "[DONE]" {
            return Some(Ended::Complete);
        }
        if let Ok(body) = serde_json::from_str::<ErrorBody>(&event.data) {
            self.streamed.outcome = Some(body.error.outcome);
            self.streamed.finish_reason = body.error.code;
            return Some(Ended::Complete);
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return None;
        };
        if let Some(reason) = chunk.finish() {
            self.streamed.finish_reason = reason.into();
            self.streamed.outcome = Some(Outcome::Done);
            self.streamed.usage = chunk.usage;
            return None;
        }
        self.push_token(
            event.id.as_deref().and_then(|id| id.parse().ok()),
            chunk.content(),
        );
        None
    }

    /// Appends a token unless its position was received before, and records its time.
    fn push_token(&mut self, position: Option<u64>, text: &str) {
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
            .first_token
            .get_or_insert_with(|| now - self.started);
        self.streamed.token_times.push(now - self.started);
        if let Some(last) = self.last_token.replace(now) {
            self.streamed.longest_gap = self.streamed.longest_gap.max(now - last);
        }
    }
}
