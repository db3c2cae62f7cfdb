//! Error responses in the format of the completion protocol, and helpers for text and JSON
//! responses.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use cumin_request::Finish;
use cumin_types::{Millis, Outcome, RequestId};
use cumin_wire::completion::{ErrorBody, ErrorDetail};
use cumin_wire::header;
use serde::Serialize;

use crate::admission::Denied;
use crate::request::{ENDPOINTS_WAIT, QUARANTINED};

/// An error response to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    status: StatusCode,
    code: String,
    message: String,
    outcome: Outcome,
    id: Option<RequestId>,
    retry_after: Option<Millis>,
}

impl Problem {
    /// Creates an error for a request that was not sent to an endpoint.
    pub(crate) fn not_run(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            code: code.into(),
            message: message.into(),
            outcome: Outcome::NotRun,
            id: None,
            retry_after: None,
        }
    }

    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    pub(crate) fn not_found(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "not_found", message)
    }

    pub(crate) fn unauthorised(message: &str) -> Self {
        Self::not_run(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
    }

    /// Creates the error for a request that was not admitted.
    pub(crate) fn denied(denied: &Denied) -> Self {
        let (status, code, retry_after) = match denied {
            Denied::Refused(refusal) => (
                refusal.status(),
                refusal.reason.to_string(),
                refusal.retry_after,
            ),
            Denied::Dropped(dropped) => (
                dropped.reason.status(),
                dropped.reason.to_string(),
                dropped.retry_after,
            ),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let message = format!("the request was not admitted: {code}");
        Self::not_run(status, &code, message).with_retry(retry_after)
    }

    /// Creates the error for a request that ended without a complete answer.
    pub(crate) fn ended(id: RequestId, finish: &Finish) -> Self {
        let (status, message) = match finish.outcome {
            _ if finish.reason == QUARANTINED => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "endpoints crashed while they ran this request",
            ),
            Outcome::NotRun | Outcome::Failed if finish.reason == ENDPOINTS_WAIT => (
                StatusCode::SERVICE_UNAVAILABLE,
                "all endpoints that could run the request asked to wait",
            ),
            Outcome::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "the request was not run"),
            Outcome::Unknown => (StatusCode::BAD_GATEWAY, "the request may have taken effect"),
            _ if finish.reason == "deadline" => (
                StatusCode::GATEWAY_TIMEOUT,
                "the deadline passed before the whole answer",
            ),
            _ => (StatusCode::BAD_GATEWAY, "no endpoint gave the whole answer"),
        };
        Self {
            status: rejection_status(&finish.reason).unwrap_or(status),
            code: finish.reason.clone(),
            message: format!("{message}: {}", finish.reason),
            outcome: finish.outcome,
            id: Some(id),
            retry_after: None,
        }
    }

    /// Sets the id of the request.
    pub(crate) fn with_id(self, id: RequestId) -> Self {
        Self {
            id: Some(id),
            ..self
        }
    }

    /// Sets the outcome of the request.
    pub(crate) fn with_outcome(self, outcome: Outcome) -> Self {
        Self { outcome, ..self }
    }

    /// Sets how long the caller should wait before it sends the request again.
    pub(crate) fn with_retry(self, retry_after: Millis) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Returns the body of the response.
    pub(crate) fn body(&self) -> ErrorBody {
        let kind = if self.status.is_client_error() {
            "invalid_request_error"
        } else {
            "server_error"
        };
        ErrorBody {
            error: ErrorDetail {
                message: self.message.clone(),
                kind: kind.into(),
                code: self.code.clone(),
                outcome: self.outcome,
            },
        }
    }

    /// Returns the HTTP response.
    pub(crate) fn response(&self) -> Response<BoxBody> {
        let mut response = Response::build(self.status);
        response.insert_header((header::OUTCOME, self.outcome.to_string()));
        response.insert_header(("content-type", "application/json"));
        if let Some(id) = self.id {
            response.insert_header((header::REQUEST_ID, id.to_string()));
        }
        if let Some(retry_after) = self.retry_after {
            // The header is in whole seconds; a fraction is rounded up.
            response.insert_header(("retry-after", retry_after.0.div_ceil(1000).to_string()));
        }
        response.body(to_json(&self.body())).map_into_boxed_body()
    }
}

/// Returns the status with which an endpoint rejected the request, from the reason of the end.
fn rejection_status(reason: &str) -> Option<StatusCode> {
    let status = reason.strip_prefix("rejected_")?.parse().ok()?;
    StatusCode::from_u16(status).ok()
}

/// Serialises a value of this crate as JSON.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    // All values have string keys and finite numbers only.
    serde_json::to_string(value).expect("every response body serialises as JSON")
}

/// Returns a plain text response.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .body(text.to_owned())
        .map_into_boxed_body()
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(to_json(value))
        .map_into_boxed_body()
}
