//! A caller that stays on one connection, also when the entry tells it to move.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::error::PayloadError;
use bytes::Bytes;
use cumin_wire::completion::{Chunk, Request};
use cumin_wire::{header, sse};
use futures_util::{Stream, StreamExt};

use crate::cluster::KEY;

/// The next thing that happened on the connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    Token(String),
    /// The data of an event without a token.
    Other(String),
    /// No event within the given time.
    Silent,
    /// The connection ended.
    Ended,
}

/// An event stream on one connection.
pub struct EventStream {
    pub id: String,
    body: Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>,
    events: sse::Reader,
}

impl EventStream {
    /// Sends a request and returns its stream.
    pub async fn open(entry: SocketAddr, request: &Request) -> Self {
        let url = format!("http://{entry}/v1/chat/completions");
        let call = client().post(url).bearer_auth(KEY).send_json(request);
        let answer = call.await.expect("the entry answers");
        assert_eq!(answer.status(), 200, "the request is accepted");
        let id = answer.headers().get(header::REQUEST_ID).expect("an id");
        let id = id.to_str().expect("text").to_owned();
        Self {
            id,
            body: Box::pin(answer),
            events: sse::Reader::default(),
        }
    }

    /// Requests the rest of a stream after `position` tokens; `None` when the entry does not have
    /// it yet.
    pub async fn resume(entry: SocketAddr, id: &str, position: usize) -> Option<Self> {
        let call = client()
            .get(format!("http://{entry}/v1/requests/{id}"))
            .bearer_auth(KEY)
            .insert_header(("accept", "text/event-stream"))
            .insert_header((header::LAST_EVENT_ID, position.to_string()));
        let answer = call.send().await.expect("the entry answers");
        (answer.status() == 200).then(|| Self {
            id: id.into(),
            body: Box::pin(answer),
            events: sse::Reader::default(),
        })
    }

    /// Returns the next event, waiting for at most `wait`.
    pub async fn next(&mut self, wait: Duration) -> Next {
        loop {
            match self.events.next_event().expect("valid events") {
                Some(event) => return parse(event.data),
                None => match timeout(wait, self.body.next()).await {
                    Ok(Some(Ok(part))) => self.events.push(&part).expect("valid events"),
                    Ok(Some(Err(_)) | None) => return Next::Ended,
                    Err(_) => return Next::Silent,
                },
            }
        }
    }

    /// Returns at most `limit` tokens, up to the end or the first gap of `wait` without an event.
    pub async fn tokens(&mut self, limit: usize, wait: Duration) -> Vec<String> {
        let mut tokens = Vec::new();
        while tokens.len() < limit {
            match self.next(wait).await {
                Next::Token(token) => tokens.push(token),
                Next::Other(_) => {}
                Next::Silent | Next::Ended => break,
            }
        }
        tokens
    }
}

fn client() -> awc::Client {
    awc::Client::builder().disable_timeout().finish()
}

fn parse(data: String) -> Next {
    let chunk = serde_json::from_str::<Chunk>(&data).ok();
    let text = chunk.as_ref().map(Chunk::content).unwrap_or_default();
    if text.is_empty() {
        Next::Other(data)
    } else {
        Next::Token(text.into())
    }
}
