//! I/O of an entry: sockets, timers and tasks around the decisions of `cumin_entry`.
//!
//! A process runs one entry. All state is owned by a single thread: a task reads the state that it
//! needs, calls a decision of `cumin_entry` and carries out the result.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod admit;
mod attempt;
mod caller;
mod clock;
mod crash;
mod duty;
mod era;
mod events;
mod feed;
mod gossip;
mod idle;
mod leaving;
mod limit;
mod memory;
mod metrics;
mod node;
mod quarantine;
mod relay;
mod reply;
mod request;
mod rollout;
pub mod sink;
mod stop;
mod waiting;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::signal::unix::{SignalKind, signal};
use cumin_entry::settings::Settings;
use cumin_types::Millis;
use derive_more::{Display, Error};
use tokio::net::{TcpListener, TcpSocket};

pub use clock::BootClock;
pub use node::Platform;

use caller::Role;
use node::Node;

/// Errors that prevent an entry from starting.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A socket could not be bound.
    #[display("{address} can't be bound: {error}")]
    Bind {
        /// Address of the socket.
        address: SocketAddr,
        /// Error of the system call.
        #[error(source)]
        error: io::Error,
    },
    /// Signal handlers could not be installed.
    #[display("signals can't be received: {_0}")]
    Signals(io::Error),
}

/// Listen backlog. It holds the connections of a burst that arrives while the processor is busy.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// File descriptors reserved for files, the store, peers and endpoints.
const RESERVED_DESCRIPTORS: usize = 1200;

/// Runs an entry until SIGTERM; SIGHUP reloads the settings.
///
/// # Errors
/// A socket could not be bound, or signal handlers could not be installed.
pub async fn run(settings: Settings, platform: Platform) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let metrics = SocketAddr::new(settings.address, settings.base_port + 1);
    let mut listeners = Vec::new();
    for (role, address) in [
        (Role::Callers, settings.caller_address),
        (Role::Ready, settings.readiness_address),
        (Role::Directory, settings.directory_address),
        (Role::Metrics, Some(metrics)),
    ] {
        if let Some(address) = address {
            let listener = listen(address);
            let listener = listener.map_err(|error| StartError::Bind { address, error })?;
            listeners.push((role, listener));
        }
    }
    let pages = relay::bind(&settings).await;
    let page_socket = pages.map_err(|(address, error)| StartError::Bind { address, error })?;
    let node = Rc::new(Node::new(settings, platform, page_socket));
    let address = SocketAddr::new(node.settings.address, node.settings.base_port);
    let socket = gossip::bind(&node).await;
    let socket = Rc::new(socket.map_err(|error| StartError::Bind { address, error })?);
    log::info!(
        "event=start node={} life={} place={}",
        node.settings.node,
        node.incarnation,
        node.settings.place
    );
    for (role, listener) in listeners {
        actix_rt::spawn(accept(node.clone(), listener, role));
    }
    actix_rt::spawn(feed::documents(node.clone()));
    actix_rt::spawn(feed::endpoints(node.clone()));
    actix_rt::spawn(gossip::announce(node.clone()));
    actix_rt::spawn(quarantine::restore(node.clone()));
    actix_rt::spawn(rollout::restore(node.clone()));
    actix_rt::spawn(gossip::send(node.clone(), socket.clone()));
    actix_rt::spawn(gossip::receive(node.clone(), socket));
    actix_rt::spawn(relay::receive(node.clone()));
    actix_rt::spawn(duty::run(node.clone()));
    actix_rt::spawn(waiting::run(node.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => node.reload("signal"),
            () = tokio::time::sleep(RELOAD_INTERVAL.duration()) => node.reload("look"),
        }
    }
    stop::stop(&node).await;
    Ok(())
}

/// Time between two reloads of the settings, which may change without a signal.
const RELOAD_INTERVAL: Millis = Millis(5000);

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

async fn accept(node: Rc<Node>, listener: TcpListener, role: Role) {
    let max_open = node
        .settings
        .max_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(64);
    let open_guard = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open_guard) <= max_open => {
                let guard = open_guard.clone();
                let node = node.clone();
                actix_rt::spawn(async move {
                    caller::serve(node, stream, role).await;
                    drop(guard);
                });
            }
            Ok((stream, peer)) => {
                log::warn!("event=connection_refused from={peer} open={max_open}");
                drop(stream);
            }
            Err(error) => {
                log::warn!("event=accept_failed role={role:?} error={error}");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}
