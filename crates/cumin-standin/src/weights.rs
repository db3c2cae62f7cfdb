//! Stand-in for the weight store: loads wait their turn and finish one after another.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::Instant;
use cumin_wire::weights::{LoadCall, LoadState};

use crate::Outage;
use crate::host::{self, Answer, Call, Host, Reply};

/// How the weight store behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// Time that one load takes.
    pub time: Duration,
    /// Faults at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            time: Duration::from_millis(50),
            faults: Faults::default(),
        }
    }
}

/// Faults that a test switches on and off.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Unavailable, for every call.
    pub outage: Option<Outage>,
    /// Answers of calls for a load yet to be lost after the load was queued.
    pub lose: u64,
    /// Delay before a call takes effect.
    pub slow: Duration,
}

/// What the weight store saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Loads queued.
    pub loads: u64,
    /// Calls whose client token had queued a load before.
    pub repeats: u64,
    /// Calls whose client token had queued another model or version.
    pub conflicts: u64,
    /// Answers lost after the load was queued.
    pub lost: u64,
}

/// A running weight store.
pub struct Weights {
    host: Rc<Host>,
    shared: Rc<Shared>,
}

struct Shared {
    time: Duration,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    /// Loads in the order of their calls, with the time at which each is done.
    loads: RefCell<Vec<(LoadCall, Instant)>>,
}

impl Weights {
    /// Starts the weight store.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            time: options.time,
            faults: RefCell::new(options.faults),
            stats: RefCell::default(),
            loads: RefCell::default(),
        });
        let host = Host::start(options.address, &shared)?;
        Ok(Self { host, shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns what the weight store saw so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.shared.stats.borrow()
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Serves again on the same address, with its loads.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.host.restart().await
    }
}

impl Answer for Shared {
    async fn answer(self: Rc<Self>, call: Call) -> Reply {
        let faults = self.faults.borrow().clone();
        if let Some(reply) = host::pass(faults.outage).await {
            return reply;
        }
        host::delay(faults.slow).await;
        let (method, parts) = call.route();
        match (method, parts.as_slice()) {
            ("POST", ["v1", "loads"]) => match call.json() {
                Ok(load) => self.load(load),
                Err(reply) => reply,
            },
            ("GET", ["v1", "loads", token]) => match self.state(token) {
                Some(state) => host::json(StatusCode::OK, &state),
                None => host::refuse(
                    StatusCode::NOT_FOUND,
                    "no_load",
                    &format!("no load has the token {token:?}"),
                ),
            },
            _ => host::missing(&call),
        }
    }
}

impl Shared {
    fn load(&self, call: LoadCall) -> Reply {
        let known = self.find(&call.token);
        if known.as_ref().is_some_and(|known| *known != call) {
            self.stats.borrow_mut().conflicts += 1;
            let message = format!("token {:?} asked for another load", call.token);
            return host::refuse(StatusCode::CONFLICT, "token_used", &message);
        }
        let token = call.token.clone();
        if known.is_some() {
            self.stats.borrow_mut().repeats += 1;
        } else {
            self.stats.borrow_mut().loads += 1;
            let mut loads = self.loads.borrow_mut();
            let now = Instant::now();
            let free = loads.last().map_or(now, |(_, done)| (*done).max(now));
            loads.push((call, free + self.time));
        }
        if host::take(&mut self.faults.borrow_mut().lose) {
            self.stats.borrow_mut().lost += 1;
            return host::lost();
        }
        host::json(StatusCode::ACCEPTED, &self.state(&token))
    }

    fn find(&self, token: &str) -> Option<LoadCall> {
        let loads = self.loads.borrow();
        let mut all = loads.iter().map(|(call, _)| call);
        all.find(|call| call.token == token).cloned()
    }

    fn state(&self, token: &str) -> Option<LoadState> {
        let loads = self.loads.borrow();
        let now = Instant::now();
        let at = loads.iter().position(|(call, _)| call.token == token)?;
        let ahead = loads[..at].iter().filter(|(_, done)| *done > now);
        Some(LoadState {
            ahead: ahead.count() as u64,
            done: loads[at].1 <= now,
        })
    }
}
