//! What the stand-ins share: a server, and helpers to read requests and write answers.

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

/// Answer of a stand-in.
pub type Reply = Response<BoxBody>;

/// Largest body that a stand-in reads, bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Loopback, with a port that the system chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A caller that goes away ends its call at once; effects that must outlive it run in tasks.
fn server_options() -> Options {
    Options {
        half_closed: false,
        ..Options::default()
    }
}

/// Answers the calls of one stand-in.
pub trait Answer: 'static {
    /// Answers one call whose body was read.
    fn answer(self: Rc<Self>, call: Call) -> impl Future<Output = Reply>;
}

/// The server of one stand-in; can be crashed and started again on the same address.
pub struct Host {
    address: SocketAddr,
    server: RefCell<Server>,
    handler: Handler,
    crashes: Cell<u64>,
}

impl Host {
    /// Binds `address` and answers with `state`.
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
        // The aborted accept task drops the listener when the system next polls it.
        actix_rt::task::yield_now().await;
        actix_rt::time::sleep(Duration::from_millis(1)).await;
        let server = Server::bind(self.address, server_options(), Rc::clone(&self.handler))?;
        *self.server.borrow_mut() = server;
        Ok(())
    }
}

/// Lets a stand-in's state crash its own server without owning it.
#[derive(Default)]
pub struct Fuse(RefCell<Weak<Host>>);

impl Fuse {
    /// Connects the fuse to `host`.
    pub fn arm(&self, host: &Rc<Host>) {
        *self.0.borrow_mut() = Rc::downgrade(host);
    }

    /// Returns the number of crashes so far; work that began before one must have no effect.
    pub fn crashes(&self) -> u64 {
        let host = self.0.borrow().upgrade();
        host.map_or(u64::MAX, |host| host.crashes.get())
    }

    /// Crashes the host from within one of its calls, which never answers.
    pub async fn blow(&self) -> Reply {
        if let Some(host) = self.0.borrow().upgrade() {
            host.crash();
        }
        hang().await
    }
}

/// One call, with its body read.
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Parameters of the query.
    pub query: HashMap<String, String>,
    /// The body.
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

    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request.headers().get(name)?.to_str().ok()
    }

    /// Returns a number of the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns method and path segments, to match on.
    pub fn route(&self) -> (&str, Vec<&str>) {
        let parts = self.path.split('/').filter(|part| !part.is_empty());
        (&self.method, parts.collect())
    }

    /// Parses the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| {
            refuse(
                StatusCode::BAD_REQUEST,
                "invalid_body",
                &format!("the body is not what {} takes: {error}", self.path),
            )
        })
    }
}

/// Answers with `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_string(value).expect("wire types have text keys");
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(body)
        .map_body(|_, body| body.boxed())
}

/// Answers with an error that ran nothing.
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

/// Answers that `call` has no route.
pub fn missing(call: &Call) -> Reply {
    let message = format!("{} {} does not exist", call.method, call.path);
    refuse(StatusCode::NOT_FOUND, "not_found", &message)
}

/// Closes the connection without a byte of answer.
pub fn lost() -> Reply {
    // The dispatcher polls the body before it flushes the head; an error there drops both.
    let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("answer lost")) });
    Response::ok().set_body(BodyStream::new(Box::pin(broken)).boxed())
}

/// Never answers.
pub async fn hang() -> Reply {
    futures_util::future::pending().await
}

/// Behaves as `outage` says; nothing when there is none.
pub async fn pass(outage: Option<Outage>) -> Option<Reply> {
    match outage? {
        Outage::Unavailable => Some(refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            "the service is unavailable",
        )),
        Outage::Hang => Some(hang().await),
    }
}

/// Waits, where `time` is not zero.
pub async fn delay(time: Duration) {
    if !time.is_zero() {
        actix_rt::time::sleep(time).await;
    }
}

/// Takes one from a count of coming faults; true when there was one.
pub fn take(count: &mut u64) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
