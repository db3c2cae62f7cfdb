//! HTTP interface for callers: authentication, dispatch by path, bounded request bodies.

mod completion;
mod entries;
mod plain;
mod reply;
mod resume;
mod stream;

use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use cumin_http::{Handler, Options, Server};
use cumin_types::{Millis, Organisation, Priority};
use cumin_wire::header;
use futures_util::{FutureExt, StreamExt};

use self::reply::Problem;
use crate::node::Ctx;

/// Serves callers on `listener`.
///
/// # Errors
/// When the listener can't be registered with the event loop.
pub(crate) fn serve(ctx: &Rc<Ctx>, listener: TcpListener) -> io::Result<Server> {
    let options = Options {
        max_connections: ctx.settings.limits.connections,
        // A caller that closes its side of the connection no longer reads the response.
        half_closed: false,
        ..Options::default()
    };
    let ctx = Rc::clone(ctx);
    let handler: Handler = Rc::new(move |request| {
        let ctx = Rc::clone(&ctx);
        async move {
            route(&ctx, request)
                .await
                .unwrap_or_else(|problem| problem.response())
        }
        .boxed_local()
    });
    Server::listen(listener, options, handler)
}

async fn route(ctx: &Rc<Ctx>, request: Request) -> Result<Response<BoxBody>, Problem> {
    let path = request.path().to_owned();
    let method = request.method().clone();
    let public = match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => Some(reply::text(StatusCode::OK, "ok")),
        (&Method::GET, "/readyz") if ctx.is_ready() => Some(reply::text(StatusCode::OK, "ready")),
        (&Method::GET, "/readyz") => {
            Some(reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready"))
        }
        (&Method::GET, "/metrics") => Some(reply::text(StatusCode::OK, &ctx.metrics.text())),
        (&Method::GET, "/v1/entries") => Some(entries::list(ctx)),
        _ => None,
    };
    if let Some(response) = public {
        return Ok(response);
    }
    let org = authenticate(ctx, &request)?;
    match (&method, path.as_str()) {
        (&Method::GET, "/v1/models") => Ok(entries::models(ctx)),
        (&Method::POST, "/v1/chat/completions") => completion::serve(ctx, request, org, true).await,
        (&Method::POST, "/v1/completions") => completion::serve(ctx, request, org, false).await,
        _ => {
            if let Some(rest) = path.strip_prefix("/v1/services/") {
                return plain::serve(ctx, request, org, rest).await;
            }
            match (&method, path.strip_prefix("/v1/requests/")) {
                (&Method::GET, Some(id)) => resume::read(ctx, &request, &org, id).await,
                (&Method::DELETE, Some(id)) => resume::cancel(ctx, &org, id),
                _ => Err(Problem::not_found(format!("no such path: {method} {path}"))),
            }
        }
    }
}

fn authenticate(ctx: &Ctx, request: &Request) -> Result<Organisation, Problem> {
    let value =
        header_text(request, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let key = value.ok_or_else(|| Problem::unauthorised("send `authorization: Bearer KEY`"))?;
    if !ctx.config.has_document() {
        return Err(Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_document",
            "this node has no document yet",
        )
        .with_retry(Millis(1_000)));
    }
    let document = ctx.document();
    let org = document.organisation_for_key(key);
    org.cloned()
        .ok_or_else(|| Problem::unauthorised("the key belongs to no organisation"))
}

/// Returns the value of a header, or `None` when it is missing or not text.
fn header_text<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}

/// Returns the time left until the deadline, from the request's header.
fn time_left(request: &Request, default: Millis) -> Result<Millis, Problem> {
    let Some(value) = header_text(request, header::DEADLINE_MS) else {
        return Ok(default);
    };
    match value.parse() {
        Ok(left @ 1..=MAX_DEADLINE_MS) => Ok(Millis(left)),
        _ => Err(Problem::invalid(format!(
            "{}: {value:?} is not a whole number of milliseconds from 1 to {MAX_DEADLINE_MS}",
            header::DEADLINE_MS
        ))),
    }
}

/// Longest time to the deadline that a caller may set: 1 h.
const MAX_DEADLINE_MS: u64 = 3_600_000;

fn priority(request: &Request, default: Priority) -> Result<Priority, Problem> {
    match header_text(request, header::PRIORITY) {
        None => Ok(default),
        Some("live") => Ok(Priority::Live),
        Some("normal") => Ok(Priority::Normal),
        Some("batch") => Ok(Priority::Batch),
        Some(value) => Err(Problem::invalid(format!(
            "{}: {value:?} is none of live, normal, batch",
            header::PRIORITY
        ))),
    }
}

/// Error on reading a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    ConnectionLost,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// When the body is larger or the connection fails before its end.
pub(crate) async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| BodyError::ConnectionLost)?;
        if body.len() + part.len() > limit {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}
