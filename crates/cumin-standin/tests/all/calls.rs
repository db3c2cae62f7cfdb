//! Helpers that call a stand-in as its client.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use cumin_standin::engine::{Engine, Options};
use cumin_wire::completion::Chunk;
use cumin_wire::sse::Reader;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Sends a call; returns `None` when the connection closes or no answer comes within two seconds.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&'static str, &str)],
    body: impl Serialize,
) -> Option<(StatusCode, String)> {
    let method: Method = method.parse().expect("a method");
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(2))
        .finish();
    let mut request = client.request(method, format!("http://{address}{path}"));
    for &(name, value) in headers {
        request = request.insert_header((name, value));
    }
    let body = serde_json::to_string(&body).expect("JSON");
    let mut answer = request.send_body(body).await.ok()?;
    let body = answer.body().await.ok()?;
    let text = String::from_utf8(body.to_vec()).expect("text");
    Some((answer.status(), text))
}

/// Sends a call that must be answered with a 2xx status, and parses the answer.
pub async fn ok<T: DeserializeOwned>(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: impl Serialize,
) -> T {
    let answer = call(address, method, path, &[], body).await;
    let (status, text) = answer.expect("an answer");
    assert!(status.is_success(), "{method} {path}: {status} {text}");
    serde_json::from_str(&text).expect("the wire type")
}

/// Returns the status of a call that must be answered.
pub async fn status(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: impl Serialize,
) -> StatusCode {
    let answer = call(address, method, path, &[], body).await;
    answer.expect("an answer").0
}

/// Starts an engine that generates without pauses, after `change` has adjusted its options.
pub fn engine(change: impl FnOnce(&mut Options)) -> Engine {
    let mut options = Options {
        token_delay: Duration::ZERO,
        ..Options::default()
    };
    change(&mut options);
    Engine::start(options).expect("a free port")
}

/// Polls until `holds` returns true; panics after five seconds.
pub async fn until(mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..2500 {
        if holds().await {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("the condition did not come to hold");
}

/// The part of a streamed answer that was received.
#[derive(Debug, Default)]
pub struct Streamed {
    /// Position and chunk of each event.
    pub chunks: Vec<(u64, Chunk)>,
    /// True when `[DONE]` was received.
    pub done: bool,
}

impl Streamed {
    /// Returns the positions of all events.
    pub fn positions(&self) -> Vec<u64> {
        self.chunks.iter().map(|(position, _)| *position).collect()
    }

    /// Returns the text of the events of one attempt.
    pub fn text(&self, attempt: &str) -> String {
        let own = self.chunks.iter().map(|(_, chunk)| chunk);
        own.filter(|chunk| chunk.attempt.as_deref() == Some(attempt))
            .map(Chunk::content)
            .collect()
    }
}

/// Time without an event after which reading a stream stops.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a stream until it ends, breaks or is idle for [`IDLE_TIMEOUT`].
pub async fn stream(
    address: SocketAddr,
    attempt: &str,
    priority: &str,
    body: serde_json::Value,
) -> Streamed {
    let client = awc::Client::new();
    let request = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("x-attempt-id", attempt))
        .insert_header(("x-priority", priority));
    let mut streamed = Streamed::default();
    let sent = actix_rt::time::timeout(IDLE_TIMEOUT, request.send_json(&body)).await;
    let Ok(Ok(mut answer)) = sent else {
        return streamed;
    };
    assert_eq!(answer.status(), StatusCode::OK);
    let mut reader = Reader::default();
    while let Ok(Some(Ok(bytes))) = actix_rt::time::timeout(IDLE_TIMEOUT, answer.next()).await {
        reader.push(&bytes).expect("events of a sane size");
        while let Some(event) = reader.next_event().expect("UTF-8") {
            if event.data == "[DONE]" {
                streamed.done = true;
                continue;
            }
            let id = event.id.and_then(|id| id.parse().ok()).expect("a position");
            let chunk = serde_json::from_str(&event.data).expect("a chunk");
            streamed.chunks.push((id, chunk));
        }
    }
    streamed
}
