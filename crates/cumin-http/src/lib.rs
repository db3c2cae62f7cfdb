//! An HTTP/1.1 server on one address with a bounded number of connections and graceful shutdown,
//! and client connections whose reuse their user decides.
//!
//! The accept loop and all connections run as local tasks of the calling `actix-rt` system, so
//! handlers may use state that is not `Send`. Nodes and stand-ins use the same server.

pub mod chunks;
pub mod client;
pub mod connection;
pub mod statement;

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

/// Function that answers one request.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of open connections; further ones are closed as soon as they are accepted.
    pub max_connections: usize,
    /// Time that a client has to send the head of a request.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// True to finish an answer after the client closed its sending side; false to drop the
    /// handler and the body at that point, which tells a stream that its reader left.
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

/// Maximum number of connections that wait to be accepted. With the 128 of the standard library,
/// some of 200 callers that connected at the same time timed out after 1 s.
const BACKLOG: u32 = 4096;

/// Binds a listening socket.
///
/// # Errors
/// When the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<StdListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    // Lets a restarted process bind its address while connections of the old process linger.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// A running server. Dropping it closes the listener and all connections.
pub struct Server {
    address: SocketAddr,
    accept: AbortHandle,
    tracker: Rc<Tracker>,
}

/// Open connections and calls in progress.
#[derive(Default)]
struct Tracker {
    next_id: Cell<u64>,
    tasks: RefCell<HashMap<u64, AbortHandle>>,
    connection_closed: Notify,
    active_calls: Cell<usize>,
    call_ended: Notify,
}

impl Tracker {
    fn track(self: &Rc<Self>, serve: impl Future<Output = ()> + 'static) {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let tracker = Rc::clone(self);
        let task = actix_rt::spawn(async move {
            serve.await;
            tracker.tasks.borrow_mut().remove(&id);
            tracker.connection_closed.notify_waiters();
        });
        self.tasks.borrow_mut().insert(id, task.abort_handle());
    }
}

impl Server {
    /// Binds `address` and starts a server that answers with `handler`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(address: SocketAddr, options: Options, handler: Handler) -> io::Result<Self> {
        Self::listen(bind(address)?, options, handler)
    }

    /// Starts a server on a bound listener that answers with `handler`.
    ///
    /// # Errors
    /// When the listener can't be registered with the event loop.
    pub fn listen(listener: StdListener, options: Options, handler: Handler) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let tracker = Rc::new(Tracker::default());
        let task = actix_rt::spawn(accept(listener, options, handler, Rc::clone(&tracker)));
        Ok(Self {
            address,
            accept: task.abort_handle(),
            tracker,
        })
    }

    /// Returns the bound address, including a port chosen by the system.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.tracker.tasks.borrow().len()
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop_accepting(&self) {
        self.accept.abort();
    }

    /// Closes the listener and all connections immediately, as a crash would.
    pub fn abort(&self) {
        self.accept.abort();
        for (_, task) in self.tracker.tasks.borrow_mut().drain() {
            task.abort();
        }
        self.tracker.connection_closed.notify_waiters();
    }

    /// Waits until no call is in progress; idle connections may remain open.
    pub async fn wait_idle(&self) {
        loop {
            let call_ended = self.tracker.call_ended.notified();
            if self.tracker.active_calls.get() == 0 {
                return;
            }
            call_ended.await;
        }
    }

    /// Waits until no connection is open.
    pub async fn wait_closed(&self) {
        loop {
            let connection_closed = self.tracker.connection_closed.notified();
            if self.connections() == 0 {
                return;
            }
            connection_closed.await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.abort();
    }
}

async fn accept(listener: TcpListener, options: Options, handler: Handler, tracker: Rc<Tracker>) {
    let call_tracker = Rc::clone(&tracker);
    let factory = HttpService::build()
        .client_request_timeout(options.head_timeout)
        .h1_allow_half_closed(options.half_closed)
        .keep_alive(KeepAlive::Timeout(options.idle_timeout))
        .h1(fn_service(move |request: Request| {
            let call = ActiveCall::begin(&call_tracker);
            let answer = handler(request);
            async move {
                Ok::<_, Error>(answer.await.map_body(|_, body| TrackedBody {
                    body,
                    _active: call,
                }))
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
                if tracker.tasks.borrow().len() >= options.max_connections {
                    log::warn!(
                        "event=connection_refused peer={peer} limit={}",
                        options.max_connections
                    );
                    continue;
                }
                serve(&service, stream, peer, &tracker);
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error:?}");
                // Typically out of file descriptors: retrying without a delay would spin.
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn serve<S>(service: &Rc<S>, stream: TcpStream, peer: SocketAddr, tracker: &Rc<Tracker>)
where
    S: Service<TcpStream, Response = ()> + 'static,
    S::Error: std::fmt::Debug,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=nodelay_failed peer={peer} error={error:?}");
    }
    let service = Rc::clone(service);
    tracker.track(async move {
        if let Err(error) = service.call(stream).await {
            log::debug!("event=connection_failed peer={peer} error={error:?}");
        }
    });
}

/// Counts a call from its arrival until the body of its answer was sent or dropped.
struct ActiveCall {
    tracker: Rc<Tracker>,
}

impl ActiveCall {
    fn begin(tracker: &Rc<Tracker>) -> Self {
        tracker.active_calls.set(tracker.active_calls.get() + 1);
        Self {
            tracker: Rc::clone(tracker),
        }
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.tracker
            .active_calls
            .set(self.tracker.active_calls.get() - 1);
        self.tracker.call_ended.notify_waiters();
    }
}

/// Body of an answer that ends its call when it is dropped.
struct TrackedBody {
    body: BoxBody,
    _active: ActiveCall,
}

impl MessageBody for TrackedBody {
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
