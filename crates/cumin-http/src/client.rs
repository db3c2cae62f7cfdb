//! Calls with a connection each, for services whose answers carry no id of their call.
//!
//! On a reused connection, a late copy of an answer would be taken for the answer to the next call.
//! `awc` is not used because it reports a body that ends early as complete, one without a length as
//! empty, and an informational answer as the answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{
    HOST, HeaderMap, HeaderName, HeaderValue, InvalidHeaderName, InvalidHeaderValue,
};
use actix_http::{Method, ServiceConfig, Uri};
use bytes::Bytes;
use derive_more::{Display, Error};

use crate::connection::{Answer, Connection, Outbound};

/// A call of a service.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Names and values of headers other than `host`.
    pub headers: Vec<(&'static str, String)>,
    /// Body, if the call has one.
    pub body: Option<Bytes>,
}

/// Errors of a call without an answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// The call has a path or a header that can't be sent.
    #[display("the call can't be sent: {_0}")]
    Invalid(#[error(not(source))] String),
    /// No connection was established, so no byte of the call was sent.
    #[display("no connection: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The call was sent at least in part, and no answer was received.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
}

impl From<InvalidHeaderName> for CallError {
    fn from(error: InvalidHeaderName) -> Self {
        Self::Invalid(error.to_string())
    }
}

impl From<InvalidHeaderValue> for CallError {
    fn from(error: InvalidHeaderValue) -> Self {
        Self::Invalid(error.to_string())
    }
}

/// Sends a call on a new connection and reads the head of its answer.
///
/// # Errors
/// When the call can't be sent, no connection is established within `connect_timeout`, or the
/// connection fails before the head of an answer.
pub async fn send(
    address: SocketAddr,
    call: Call,
    connect_timeout: Duration,
) -> Result<Answer, CallError> {
    let uri: Uri = call
        .path
        .parse()
        .map_err(|error| CallError::Invalid(format!("path {:?}: {error}", call.path)))?;
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string())?);
    for (name, value) in call.headers {
        headers.insert(
            HeaderName::from_bytes(name.as_bytes())?,
            HeaderValue::from_str(&value)?,
        );
    }
    let connection = Connection::connect(address, connect_timeout)
        .await
        .map_err(|error| CallError::NotSent(error.to_string()))?;
    let has_body = call.body.is_some();
    let outbound = Outbound {
        method: call.method,
        uri,
        headers,
        body: call.body.unwrap_or_default(),
        has_body,
        close: true,
    };
    connection
        .exchange(&ServiceConfig::default(), outbound, |_| true)
        .await
        .map_err(|error| CallError::NoAnswer(error.to_string()))
}
