//! Calls of plain services.

use std::net::SocketAddr;

use actix_http::{ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use cumin_http::client;
use cumin_types::Outcome;
use cumin_wire::header;
use uuid::Uuid;

use crate::{CONNECT_TIMEOUT, Client, Error, outcome, retry_after};

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Maximum number of times that a request is followed to the entry it was handed over to.
const MAX_REDIRECTS: usize = 4;

/// A call of a plain service.
#[derive(Clone, Debug, Default)]
pub struct PlainCall {
    /// HTTP method.
    pub method: String,
    /// Name of the service.
    pub service: String,
    /// Path and query, relative to the service.
    pub path: String,
    /// Idempotency key; required for routes that are not idempotent.
    pub key: Option<Uuid>,
    /// Request body, sent as JSON unless it is empty.
    pub body: String,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Outcome header of the answer.
    pub outcome: Option<Outcome>,
    /// Request id; empty when the answer has none.
    pub id: String,
    /// Response body.
    pub body: String,
    /// `retry-after` header of the answer.
    pub retry_after: Option<std::time::Duration>,
}

impl Client {
    /// Sends a call to one entry, without retries.
    ///
    /// # Errors
    /// When the entry can't be reached or breaks the connection.
    pub async fn call_once(&self, call: &PlainCall) -> Result<PlainAnswer, Error> {
        let entry = self
            .random_entry()
            .ok_or_else(|| no_answer("no entry is known"))?;
        let method = call
            .method
            .parse()
            .map_err(|_| no_answer("not an HTTP method"))?;
        let mut headers = vec![("authorization", format!("Bearer {}", self.options.key))];
        if let Some(key) = call.key {
            headers.push((header::IDEMPOTENCY_KEY, key.to_string()));
        }
        if !call.body.is_empty() {
            headers.push(("content-type", "application/json".to_owned()));
        }
        let sent = client::Call {
            method,
            path: format!("/v1/services/{}/{}", call.service, call.path),
            headers,
            body: Some(call.body.clone().into()),
        };
        let (mut head, mut body) = self.exchange(entry, sent).await?;
        for _ in 0..MAX_REDIRECTS {
            let Some((next, path)) = self.redirect(entry, &head) else {
                break;
            };
            let read = client::Call {
                path,
                headers: vec![("authorization", format!("Bearer {}", self.options.key))],
                ..client::Call::default()
            };
            (head, body) = self.exchange(next, read).await?;
        }
        let id = head
            .headers
            .get(header::REQUEST_ID)
            .and_then(|id| id.to_str().ok());
        let id = id.unwrap_or_default().to_owned();
        let (status, outcome) = (head.status.as_u16(), outcome(&head.headers));
        let retry_after = retry_after(&head.headers);
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(PlainAnswer {
            status,
            outcome,
            id,
            body,
            retry_after,
        })
    }

    /// Sends a call to an entry and reads its whole answer.
    async fn exchange(
        &self,
        entry: SocketAddr,
        call: client::Call,
    ) -> Result<(ResponseHead, Bytes), Error> {
        let exchange = async {
            let mut answer = client::send(entry, call, CONNECT_TIMEOUT)
                .await
                .map_err(|error| error.to_string())?;
            let body = answer.read_body(MAX_ANSWER_BYTES).await;
            body.map(|body| (answer.head, body))
                .map_err(|error| error.to_string())
        };
        let result = actix_rt::time::timeout(self.options.timeout, exchange).await;
        let result = result.unwrap_or_else(|_| Err("no whole answer in time".into()));
        result.map_err(|error| {
            self.forget_entry(entry);
            no_answer(&format!("{entry}: {error}"))
        })
    }

    /// Returns the entry and the path where the answer of a request that `entry` has handed over
    /// can be read.
    fn redirect(&self, entry: SocketAddr, head: &ResponseHead) -> Option<(SocketAddr, String)> {
        if head.status != StatusCode::SEE_OTHER || !head.headers.contains_key(header::REQUEST_ID) {
            return None;
        }
        let location: Uri = head.headers.get("location")?.to_str().ok()?.parse().ok()?;
        let next = match location.authority() {
            Some(authority) => authority.as_str().parse().ok()?,
            None => entry,
        };
        let path = location.path_and_query()?.to_string();
        let is_request = path.starts_with("/v1/requests/");
        (is_request && self.is_allowed(next)).then_some((next, path))
    }

    /// Sends a call, with retries at other entries when one breaks the connection, and when the call
    /// was not run and the refusal allows it.
    ///
    /// # Errors
    /// When no entry gave an answer.
    pub async fn call(&self, call: &PlainCall) -> Result<PlainAnswer, Error> {
        let mut last = no_answer("the call was not sent");
        for _ in 0..self.options.max_tries {
            match self.call_once(call).await {
                Ok(answer)
                    if answer.outcome == Some(Outcome::NotRun)
                        && self.wait_to_retry(answer.retry_after).await => {}
                Ok(answer) if answer.outcome == Some(Outcome::NotRun) && answer.status >= 500 => {
                    last = Error::Refused {
                        status: answer.status,
                        outcome: answer.outcome,
                        body: answer.body,
                        retry_after: answer.retry_after,
                    };
                }
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
            self.pause_and_refresh().await;
        }
        Err(last)
    }
}

pub(crate) fn no_answer(reason: &str) -> Error {
    Error::Unreachable {
        reason: reason.into(),
    }
}
