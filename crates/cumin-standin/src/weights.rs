//! Stand-in for the weight store: loads are queued and run one at a time.

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

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// Duration of one load.
    pub load_time: Duration,
    /// Faults that are active at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            load_time: Duration::from_millis(50),
            faults: Faults::default(),
        }
    }
}

/// Faults that a test injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Outage that affects every call.
    pub outage: Option<Outage>,
    /// Number of answers to lose after the load was queued.
    pub lost_answers: u64,
    /// Delay before a call takes effect.
    pub effect_delay: Duration,
}

/// Counters of the weight store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Loads queued.
    pub loads: u64,
    /// Calls whose client token had already queued the same load.
    pub repeats: u64,
    /// Calls whose client token had already queued a load of another model or version.
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
    load_time: Duration,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    /// Loads in the order of their calls, each with the time at which it completes.
    loads: RefCell<Vec<(LoadCall, Instant)>>,
}

impl Weights {
    /// Starts the weight store.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            load_time: options.load_time,
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

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.shared.stats.borrow()
    }

    /// Changes the active faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Starts to serve again on the same address; queued loads are kept.
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
        if let Some(reply) = host::apply_outage(faults.outage).await {
            return reply;
        }
        host::delay(faults.effect_delay).await;
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
            _ => host::not_found(&call),
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
            loads.push((call, free + self.load_time));
        }
        if host::take_fault(&mut self.faults.borrow_mut().lost_answers) {
            self.stats.borrow_mut().lost += 1;
            return host::lose_answer();
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
