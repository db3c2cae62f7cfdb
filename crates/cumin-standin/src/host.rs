//! The HTTP server of a stand-in, and helpers that read requests and build answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use cumin_http::{Handler, Options, Server};
use cumin_types::Outcome;
use cumin_wire::completion::{ErrorBody, ErrorDetail};
use cumin_wire::header;
use futures_util::{FutureExt, StreamExt, stream};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Outage;

/// HTTP response of a stand-in.
pub type Reply = Response<BoxBody>;

/// Largest body that a stand-in reads, bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Loopback address with a port that the operating system chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Returns options under which a call ends when its client disconnects. Effects that must outlive
/// the call run in tasks of their own.
fn server_options() -> Options {
    Options {
        half_closed: false,
        ..Options::default()
    }
}

/// Handles the calls of one stand-in.
pub trait Answer: 'static {
    /// Answers one call; its body has been read.
    fn answer(self: Rc<Self>, call: Call) -> impl Future<Output = Reply>;
}

/// The server of one stand-in; it can crash and start again on the same address.
pub struct Host {
    address: SocketAddr,
    server: RefCell<Server>,
    handler: Handler,
    crashes: Cell<u64>,
}

impl Host {
    /// Binds `address` and serves calls with `state`.
    pub fn start<T: Answer>(address: SocketAddr, state: &Rc<T>) -> io::Result<Rc<Self>> {
        let state = Rc::clone(state);
        let handler: Handler = Rc::new(move |request| {
            let state = Rc::clone(&state);
            async move {
                match Call::read(request).await {
                    Ok(call) => state.answer(call).await,
                    Err(reply) => reply,
                }
            }
            .boxed_local()
        });
        let server = Server::bind(address, server_options(), Rc::clone(&handler))?;
        Ok(Rc::new(Self {
            address: server.address(),
            server: RefCell::new(server),
            handler,
            crashes: Cell::new(0),
        }))
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&self) {
        self.crashes.set(self.crashes.get() + 1);
        self.server.borrow().abort();
    }

    /// Serves again on the same address after a crash.
    pub async fn restart(&self) -> io::Result<()> {
        self.crash();
        // The aborted accept task drops the listener only when the runtime polls it again.
        actix_rt::task::yield_now().await;
        actix_rt::time::sleep(Duration::from_millis(1)).await;
        let server = Server::bind(self.address, server_options(), Rc::clone(&self.handler))?;
        *self.server.borrow_mut() = server;
        Ok(())
    }
}

/// Lets the state of a stand-in crash its own server, which it does not own.
#[derive(Default)]
pub struct CrashHandle(RefCell<Weak<Host>>);

impl CrashHandle {
    /// Attaches the handle to `host`.
    pub fn attach(&self, host: &Rc<Host>) {
        *self.0.borrow_mut() = Rc::downgrade(host);
    }

    /// Returns the number of crashes so far. Work that began before the latest crash must have no
    /// effect.
    pub fn crashes(&self) -> u64 {
        let host = self.0.borrow().upgrade();
        host.map_or(u64::MAX, |host| host.crashes.get())
    }

    /// Crashes the server from within one of its calls, which is never answered.
    pub async fn crash(&self) -> Reply {
        if let Some(host) = self.0.borrow().upgrade() {
            host.crash();
        }
        hang().await
    }
}

/// One HTTP call with its whole body.
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query parameters by name, not decoded.
    pub query: HashMap<String, String>,
    /// Request body.
    pub body: Bytes,
    request: Request,
}

impl Call {
    async fn read(mut request: Request) -> Result<Self, Reply> {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|error| {
                refuse(
                    StatusCode::BAD_REQUEST,
                    "invalid_body",
                    &format!("the body can't be read: {error}"),
                )
            })?;
            if body.len() + part.len() > MAX_BODY_BYTES {
                return Err(refuse(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body_too_large",
                    &format!("the body exceeds {MAX_BODY_BYTES} bytes"),
                ));
            }
            body.extend_from_slice(&part);
        }
        let query = request.uri().query().unwrap_or("");
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.into(), value.into()))
            .collect();
        Ok(Self {
            method: request.method().as_str().into(),
            path: request.path().into(),
            query,
            body: body.freeze(),
            request,
        })
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.headers().get(name)?.to_str().ok()
    }

    /// Returns a query parameter as a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns the method and the path segments, for matching.
    pub fn route(&self) -> (&str, Vec<&str>) {
        let parts = self.path.split('/').filter(|part| !part.is_empty());
        (&self.method, parts.collect())
    }

    /// Parses the body as JSON; a failure is the answer to send.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| {
            refuse(
                StatusCode::BAD_REQUEST,
                "invalid_body",
                &format!("the body is not valid for {}: {error}", self.path),
            )
        })
    }
}

/// Builds an answer with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_string(value).expect("wire types have text keys");
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(body)
        .map_body(|_, body| body.boxed())
}

/// Builds an error answer for a call that had no effect.
pub fn refuse(status: StatusCode, code: &str, message: &str) -> Reply {
    let body = ErrorBody {
        error: ErrorDetail {
            message: message.into(),
            kind: "standin_error".into(),
            code: code.into(),
            outcome: Outcome::NotRun,
        },
    };
    let mut reply = json(status, &body);
    reply.headers_mut().insert(
        actix_http::header::HeaderName::from_static(header::NOT_STARTED),
        actix_http::header::HeaderValue::from_static("true"),
    );
    reply
}

/// Builds the answer for a call without a route.
pub fn not_found(call: &Call) -> Reply {
    let message = format!("{} {} does not exist", call.method, call.path);
    refuse(StatusCode::NOT_FOUND, "not_found", &message)
}

/// Closes the connection before any byte of an answer is sent.
pub fn lose_answer() -> Reply {
    // The dispatcher polls the body before it flushes the head; an error there drops both.
    let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("answer lost")) });
    Response::ok().set_body(BodyStream::new(Box::pin(broken)).boxed())
}

/// Never answers.
pub async fn hang() -> Reply {
    futures_util::future::pending().await
}

/// Applies `outage` to a call; returns `None` when there is no outage.
pub async fn apply_outage(outage: Option<Outage>) -> Option<Reply> {
    match outage? {
        Outage::Unavailable => Some(refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            "the service is unavailable",
        )),
        Outage::Hang => Some(hang().await),
    }
}

/// Sleeps for `time`; returns without yielding when it is zero.
pub async fn delay(time: Duration) {
    if !time.is_zero() {
        actix_rt::time::sleep(time).await;
    }
}

/// Decrements a count of pending faults; returns whether there was one.
pub fn take_fault(count: &mut u64) -> bool {
    let pending = *count > 0;
    *count = count.saturating_sub(1);
    pending
}
