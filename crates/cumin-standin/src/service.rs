//! Stand-in for a plain service: any method and path, effects counted.
//!
//! `GET`, `HEAD` and `OPTIONS` look up and have no effect; every other call has one. An effect
//! that began is finished even when the caller goes away, as in a service that does not notice.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use cumin_wire::header;
use serde::{Deserialize, Serialize};

use crate::host::{self, Answer, Call, Fuse, Host, Reply};

/// How the service behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// True to answer a repeated idempotency key again without a second effect.
    pub honour_keys: bool,
    /// Faults at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            honour_keys: false,
            faults: Faults::default(),
        }
    }
}

/// Faults that a test switches on and off.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Crashes before the effect when a body contains this.
    pub poison: Option<String>,
    /// Calls yet to be refused before the effect, 503 with `x-not-started`.
    pub refuse: u64,
    /// Answers yet to be lost after the effect.
    pub lose: u64,
    /// Calls yet to be failed with a plain 500 after the effect.
    pub fail: u64,
    /// Delay before the effect.
    pub slow: Duration,
    /// Delay of the answer after the effect.
    pub late: Duration,
    /// Accepts calls and never answers, without effect.
    pub hang: bool,
    /// Never answers after the effect.
    pub hang_after: bool,
}

/// What the service saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls received, look-ups included.
    pub calls: u64,
    /// Look-ups answered.
    pub lookups: u64,
    /// Effects.
    pub effects: u64,
    /// Calls whose key had its effect before and was honoured.
    pub repeats: u64,
    /// Calls refused before the effect.
    pub refused: u64,
    /// Answers lost after the effect.
    pub lost: u64,
    /// Effects by idempotency key.
    pub by_key: HashMap<String, u64>,
    /// Effects by method, path and body.
    pub by_call: HashMap<(String, String, Bytes), u64>,
}

/// Answer of a call that had an effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Number of the effect, from 1.
    pub effect: u64,
    /// The call's idempotency key.
    pub key: Option<String>,
    /// The call's path.
    pub path: String,
}

/// Answer of a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Looked {
    /// The path looked up.
    pub path: String,
    /// Effects so far on this path and below it.
    pub taken: u64,
    /// Bodies of these effects, oldest first.
    pub slots: Vec<String>,
}

/// A running plain service.
pub struct Service {
    host: Rc<Host>,
    shared: Rc<Shared>,
}

struct Shared {
    honour: bool,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    answers: RefCell<HashMap<String, Done>>,
    effects: RefCell<Vec<(String, Bytes)>>,
    fuse: Fuse,
}

impl Service {
    /// Starts the service.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            honour: options.honour_keys,
            faults: RefCell::new(options.faults),
            stats: RefCell::default(),
            answers: RefCell::default(),
            effects: RefCell::default(),
            fuse: Fuse::default(),
        });
        let host = Host::start(options.address, &shared)?;
        shared.fuse.arm(&host);
        Ok(Self { host, shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns what the service saw so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.shared.stats.borrow().clone()
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Serves again on the same address, with its effects.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.host.restart().await
    }
}

impl Answer for Shared {
    async fn answer(self: Rc<Self>, call: Call) -> Reply {
        self.stats.borrow_mut().calls += 1;
        let faults = self.faults.borrow().clone();
        let body = String::from_utf8_lossy(&call.body);
        if faults.poison.is_some_and(|word| body.contains(&word)) {
            return self.fuse.blow().await;
        }
        if faults.hang {
            return host::hang().await;
        }
        if matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS") {
            host::delay(faults.slow).await;
            return self.look(&call);
        }
        if host::take(&mut self.faults.borrow_mut().refuse) {
            self.stats.borrow_mut().refused += 1;
            return host::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused",
                "the service takes no calls at present",
            );
        }
        // A task of its own: a caller that goes away does not undo the effect.
        let crashes = self.fuse.crashes();
        let task = actix_rt::spawn(async move {
            host::delay(faults.slow).await;
            if self.fuse.crashes() != crashes {
                return host::lost();
            }
            self.run(&call, faults.hang_after, faults.late).await
        });
        match task.await {
            Ok(reply) => reply,
            Err(_) => host::lost(),
        }
    }
}

impl Shared {
    fn look(&self, call: &Call) -> Reply {
        self.stats.borrow_mut().lookups += 1;
        let below = format!("{}/", call.path.trim_end_matches('/'));
        let effects = self.effects.borrow();
        let slots: Vec<String> = effects
            .iter()
            .filter(|(path, _)| *path == call.path || path.starts_with(&below))
            .map(|(_, body)| String::from_utf8_lossy(body).into_owned())
            .collect();
        let looked = Looked {
            path: call.path.clone(),
            taken: slots.len() as u64,
            slots,
        };
        host::json(StatusCode::OK, &looked)
    }

    async fn run(&self, call: &Call, hang: bool, late: Duration) -> Reply {
        let done = self.effect(call);
        host::delay(late).await;
        if hang {
            return host::hang().await;
        }
        if host::take(&mut self.faults.borrow_mut().lose) {
            self.stats.borrow_mut().lost += 1;
            return host::lost();
        }
        if host::take(&mut self.faults.borrow_mut().fail) {
            let body = serde_json::json!({"error": "the service failed"});
            return host::json(StatusCode::INTERNAL_SERVER_ERROR, &body);
        }
        host::json(StatusCode::OK, &done)
    }

    fn effect(&self, call: &Call) -> Done {
        let mut stats = self.stats.borrow_mut();
        let key = call.header(header::IDEMPOTENCY_KEY).map(str::to_string);
        if let (true, Some(key)) = (self.honour, &key)
            && let Some(done) = self.answers.borrow().get(key)
        {
            stats.repeats += 1;
            return done.clone();
        }
        stats.effects += 1;
        let triple = (call.method.clone(), call.path.clone(), call.body.clone());
        *stats.by_call.entry(triple).or_default() += 1;
        self.effects
            .borrow_mut()
            .push((call.path.clone(), call.body.clone()));
        let done = Done {
            effect: stats.effects,
            key: key.clone(),
            path: call.path.clone(),
        };
        if let Some(key) = key {
            *stats.by_key.entry(key.clone()).or_default() += 1;
            self.answers.borrow_mut().insert(key, done.clone());
        }
        done
    }
}
