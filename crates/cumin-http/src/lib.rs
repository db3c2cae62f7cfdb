//! Serves HTTP/1.1 on one address with bounded connections and a drain.
//!
//! The accept loop and every connection run as local tasks of the calling `actix-rt` system, so
//! handlers may use state that is not `Send`. The node and the stand-ins share it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{Error, HttpService, KeepAlive, Request, Response};
use actix_rt::net::{TcpListener, TcpSocket, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Answers one request.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Connections open at once; further ones are closed on arrival.
    pub max_connections: usize,
    /// Time that a sender has for a request's head.
    pub head_timeout: Duration,
    /// Time that an idle connection is kept.
    pub idle_timeout: Duration,
    /// True to finish an answer although the sender closed its side; false to drop its handler
    /// and body then, which is how a stream learns that its reader is gone.
    pub half_closed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
            half_closed: true,
        }
    }
}

/// Connections that the system keeps until they are accepted. The 128 of the standard library
/// were too few for 200 callers that connect at once: some timed out after 1 s.
const BACKLOG: u32 = 4096;

/// Binds an address.
///
/// # Errors
/// When the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<StdListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // A restarted process takes its old address while connections of the old one linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// A running server. Dropping it closes everything.
pub struct Server {
    address: SocketAddr,
    accept: AbortHandle,
    open: Rc<Open>,
}

#[derive(Default)]
struct Open {
    next: Cell<u64>,
    tasks: RefCell<HashMap<u64, AbortHandle>>,
    closed: Notify,
    calls: Cell<usize>,
    ended: Notify,
}

impl Open {
    fn track(self: &Rc<Self>, serve: impl Future<Output = ()> + 'static) {
        let id = self.next.replace(self.next.get() + 1);
        let open = Rc::clone(self);
        let task = actix_rt::spawn(async move {
            serve.await;
            open.tasks.borrow_mut().remove(&id);
            open.closed.notify_waiters();
        });
        self.tasks.borrow_mut().insert(id, task.abort_handle());
    }
}

impl Server {
    /// Binds `address` and starts to serve with `handler`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(address: SocketAddr, options: Options, handler: Handler) -> io::Result<Self> {
        Self::listen(bind(address)?, options, handler)
    }

    /// Starts to serve a bound listener with `handler`.
    ///
    /// # Errors
    /// When the listener can't be registered with the event loop.
    pub fn listen(listener: StdListener, options: Options, handler: Handler) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let open = Rc::new(Open::default());
        let task = actix_rt::spawn(accept(listener, options, handler, Rc::clone(&open)));
        Ok(Self {
            address,
            accept: task.abort_handle(),
            open,
        })
    }

    /// Returns the bound address, with the port that the system chose.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.open.tasks.borrow().len()
    }

    /// Stops accepting; open connections continue.
    pub fn stop_accepting(&self) {
        self.accept.abort();
    }

    /// Closes the listener and every connection at once, as a crash would.
    pub fn abort(&self) {
        self.accept.abort();
        for (_, task) in self.open.tasks.borrow_mut().drain() {
            task.abort();
        }
        self.open.closed.notify_waiters();
    }

    /// Completes when no call is in progress; idle connections may stay open.
    pub async fn wait_idle(&self) {
        loop {
            let ended = self.open.ended.notified();
            if self.open.calls.get() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Completes when no connection is open.
    pub async fn wait_closed(&self) {
        loop {
            let closed = self.open.closed.notified();
            if self.connections() == 0 {
                return;
            }
            closed.await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.abort();
    }
}

async fn accept(listener: TcpListener, options: Options, handler: Handler, open: Rc<Open>) {
    let counted = Rc::clone(&open);
    let factory =
        HttpService::build()
            .client_request_timeout(options.head_timeout)
            .h1_allow_half_closed(options.half_closed)
            .keep_alive(KeepAlive::Timeout(options.idle_timeout))
            .h1(fn_service(move |request: Request| {
                let call = Call::begin(&counted);
                let answer = handler(request);
                async move {
                    Ok::<_, Error>(answer.await.map_body(|_, body| Body { body, _call: call }))
                }
            }))
            .tcp();
    let Ok(service) = factory.new_service(()).await else {
        log::error!("event=http_service_failed");
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if open.tasks.borrow().len() >= options.max_connections {
                    log::warn!(
                        "event=connection_refused peer={peer} limit={}",
                        options.max_connections
                    );
                    continue;
                }
                serve(&service, stream, peer, &open);
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error:?}");
                // Out of descriptors: accepting again at once would spin.
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn serve<S>(service: &Rc<S>, stream: TcpStream, peer: SocketAddr, open: &Rc<Open>)
where
    S: Service<TcpStream, Response = ()> + 'static,
    S::Error: std::fmt::Debug,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed peer={peer} error={error:?}");
    }
    let service = Rc::clone(service);
    open.track(async move {
        if let Err(error) = service.call(stream).await {
            log::debug!("event=connection_failed peer={peer} error={error:?}");
        }
    });
}

/// A call from its arrival until its answer's body was sent or dropped.
struct Call {
    open: Rc<Open>,
}

impl Call {
    fn begin(open: &Rc<Open>) -> Self {
        open.calls.set(open.calls.get() + 1);
        Self {
            open: Rc::clone(open),
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.open.calls.set(self.open.calls.get() - 1);
        self.open.ended.notify_waiters();
    }
}

/// The body of an answer, which ends its call when it is dropped.
struct Body {
    body: BoxBody,
    _call: Call,
}

impl MessageBody for Body {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.get_mut().body.as_pin_mut().poll_next(cx)
    }
}
