//! Answers that carry no result: errors in the shape of the completion protocol, short texts.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use cumin_request::Finish;
use cumin_types::{Millis, Outcome, RequestId};
use cumin_wire::completion::{ErrorBody, ErrorDetail};
use cumin_wire::header;
use serde::Serialize;

use crate::admission::Denied;
use crate::request::QUARANTINED;

/// An error that a caller is told.
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
    /// Makes an error of a request that no endpoint saw.
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

    /// Makes the error of a request that admission turned away; no endpoint saw it.
    pub(crate) fn denied(denied: &Denied) -> Self {
        let (status, code, retry_after) = match denied {
            Denied::Refused(refusal) => (
                refusal.status(),
                refusal.reason.to_string(),
                refusal.retry_after,
            ),
            Denied::Dropped(dropped) => (503, dropped.reason.to_string(), dropped.retry_after),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let message = format!("the request was not admitted: {code}");
        Self::not_run(status, &code, message).with_retry(retry_after)
    }

    /// Makes the error of a request that ended without an answer.
    pub(crate) fn ended(id: RequestId, finish: &Finish) -> Self {
        let (status, message) = match finish.outcome {
            _ if finish.reason == QUARANTINED => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "endpoints crashed while they ran this request",
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

    /// Adds the request's identifier.
    pub(crate) fn with_id(self, id: RequestId) -> Self {
        Self {
            id: Some(id),
            ..self
        }
    }

    /// Sets what became of the request.
    pub(crate) fn with_outcome(self, outcome: Outcome) -> Self {
        Self { outcome, ..self }
    }

    /// Adds a time after which a new try can succeed.
    pub(crate) fn with_retry(self, retry_after: Millis) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Returns the body.
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

    /// Returns the answer.
    pub(crate) fn response(&self) -> Response<BoxBody> {
        let mut response = Response::build(self.status);
        response.insert_header((header::OUTCOME, self.outcome.to_string()));
        response.insert_header(("content-type", "application/json"));
        if let Some(id) = self.id {
            response.insert_header((header::REQUEST_ID, id.to_string()));
        }
        if let Some(retry_after) = self.retry_after {
            // The header counts whole seconds; a fraction rounds up.
            response.insert_header(("retry-after", retry_after.0.div_ceil(1000).to_string()));
        }
        response.body(to_json(&self.body())).map_into_boxed_body()
    }
}

/// Returns the status with which an endpoint rejected the request itself.
fn rejection_status(reason: &str) -> Option<StatusCode> {
    let status = reason.strip_prefix("rejected_")?.parse().ok()?;
    StatusCode::from_u16(status).ok()
}

/// Serialises a message of ours.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    // Our messages have text keys and finite numbers only.
    serde_json::to_string(value).expect("a message of ours serialises")
}

/// Returns a plain text answer.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .body(text.to_owned())
        .map_into_boxed_body()
}

/// Returns a JSON answer.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(to_json(value))
        .map_into_boxed_body()
}
