//! Calls of plain services.

use cumin_types::Outcome;
use cumin_wire::header;
use uuid::Uuid;

use crate::{Client, Error, outcome, retry_after};

/// A call of a plain service.
#[derive(Clone, Debug, Default)]
pub struct PlainCall {
    /// HTTP method.
    pub method: String,
    /// The service.
    pub service: String,
    /// Path and query below the service.
    pub path: String,
    /// Idempotency key, for calls that are not idempotent.
    pub key: Option<Uuid>,
    /// Body, sent as JSON when not empty.
    pub body: String,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// What became of the call.
    pub outcome: Option<Outcome>,
    /// The request's id.
    pub id: String,
    /// The body.
    pub body: String,
    /// Time after which a new try can succeed, when the call was refused.
    pub after: Option<std::time::Duration>,
}

impl Client {
    /// Makes one call at one entry, without a retry.
    ///
    /// # Errors
    /// When the entry can't be reached or breaks off.
    pub async fn call_once(&self, call: &PlainCall) -> Result<PlainAnswer, Error> {
        let entry = self.any().ok_or_else(|| unreachable("no entry is known"))?;
        let method = call
            .method
            .parse()
            .map_err(|_| unreachable("not an HTTP method"))?;
        let url = format!("http://{entry}/v1/services/{}/{}", call.service, call.path);
        let mut request = self
            .http
            .request(method, url)
            .timeout(self.options.timeout)
            .insert_header(("authorization", format!("Bearer {}", self.options.key)));
        if let Some(key) = call.key {
            request = request.insert_header((header::IDEMPOTENCY_KEY, key.to_string()));
        }
        if !call.body.is_empty() {
            request = request.insert_header(("content-type", "application/json"));
        }
        let sent = request.send_body(call.body.clone()).await;
        let mut answer = sent.map_err(|error| {
            self.avoid(entry);
            unreachable(&format!("{entry}: {error}"))
        })?;
        let id = answer
            .headers()
            .get(header::REQUEST_ID)
            .and_then(|id| id.to_str().ok());
        let id = id.unwrap_or_default().to_owned();
        let (status, outcome) = (answer.status().as_u16(), outcome(&answer));
        let after = retry_after(&answer);
        let body = answer
            .body()
            .await
            .map_err(|error| unreachable(&error.to_string()))?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(PlainAnswer {
            status,
            outcome,
            id,
            body,
            after,
        })
    }

    /// Makes a call, again at other entries when one breaks off or the call was not run.
    ///
    /// # Errors
    /// When no try gave an answer.
    pub async fn call(&self, call: &PlainCall) -> Result<PlainAnswer, Error> {
        let mut last = unreachable("no try was made");
        for _ in 0..self.options.tries {
            match self.call_once(call).await {
                Ok(answer)
                    if answer.outcome == Some(Outcome::NotRun) && self.wait(answer.after).await => {
                }
                Ok(answer) if answer.outcome == Some(Outcome::NotRun) && answer.status >= 500 => {
                    last = Error::Refused {
                        status: answer.status,
                        outcome: answer.outcome,
                        body: answer.body,
                        after: answer.after,
                    };
                }
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
            self.pause().await;
        }
        Err(last)
    }
}

pub(crate) fn unreachable(reason: &str) -> Error {
    Error::Unreachable {
        reason: reason.into(),
    }
}
