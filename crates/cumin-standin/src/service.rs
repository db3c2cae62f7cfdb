//! Stand-in for a plain service: accepts any method and path, and counts effects.
//!
//! `GET`, `HEAD` and `OPTIONS` are look-ups without an effect; every other call has one. A call
//! that was accepted takes effect even if its client disconnects, as in a service that does not
//! detect disconnects.

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

use crate::host::{self, Answer, Call, CrashHandle, Host, Reply};

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// True to repeat the first answer for a repeated idempotency key, without a second effect.
    pub honour_keys: bool,
    /// Faults that are active at the start.
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

/// Faults that a test injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Text of a body that crashes the service before the effect.
    pub poison: Option<String>,
    /// Number of calls to refuse before the effect, with 503 and `x-not-started`.
    pub refusals: u64,
    /// Number of answers to lose after the effect.
    pub lost_answers: u64,
    /// Number of calls to answer with 500 after the effect.
    pub failures: u64,
    /// Delay before the effect.
    pub effect_delay: Duration,
    /// Delay between the effect and the answer.
    pub answer_delay: Duration,
    /// Calls are accepted, never answered and have no effect.
    pub hang: bool,
    /// Calls take effect and are never answered.
    pub hang_after: bool,
}

/// Counters of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls received, including look-ups.
    pub calls: u64,
    /// Look-ups answered.
    pub lookups: u64,
    /// Effects.
    pub effects: u64,
    /// Calls answered from an earlier effect of the same idempotency key.
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
    /// Number of the effect, counted from 1.
    pub effect: u64,
    /// Idempotency key of the call.
    pub key: Option<String>,
    /// Path of the call.
    pub path: String,
}

/// Answer of a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Looked {
    /// Path of the look-up.
    pub path: String,
    /// Number of effects on this path and below it.
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
    honour_keys: bool,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    answers: RefCell<HashMap<String, Done>>,
    effects: RefCell<Vec<(String, Bytes)>>,
    crash_handle: CrashHandle,
}

impl Service {
    /// Starts the service.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            honour_keys: options.honour_keys,
            faults: RefCell::new(options.faults),
            stats: RefCell::default(),
            answers: RefCell::default(),
            effects: RefCell::default(),
            crash_handle: CrashHandle::default(),
        });
        let host = Host::start(options.address, &shared)?;
        shared.crash_handle.attach(&host);
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
        self.shared.stats.borrow().clone()
    }

    /// Changes the active faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Starts to serve again on the same address; effects are kept.
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
            return self.crash_handle.crash().await;
        }
        if faults.hang {
            return host::hang().await;
        }
        if matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS") {
            host::delay(faults.effect_delay).await;
            return self.look_up(&call);
        }
        if host::take_fault(&mut self.faults.borrow_mut().refusals) {
            self.stats.borrow_mut().refused += 1;
            return host::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused",
                "the service accepts no calls at present",
            );
        }
        // Runs in a task, so that the effect happens even if the client disconnects.
        let crashes = self.crash_handle.crashes();
        let task = actix_rt::spawn(async move {
            host::delay(faults.effect_delay).await;
            if self.crash_handle.crashes() != crashes {
                return host::lose_answer();
            }
            self.run(&call, faults.hang_after, faults.answer_delay)
                .await
        });
        match task.await {
            Ok(reply) => reply,
            Err(_) => host::lose_answer(),
        }
    }
}

impl Shared {
    fn look_up(&self, call: &Call) -> Reply {
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

    async fn run(&self, call: &Call, hang: bool, answer_delay: Duration) -> Reply {
        let done = self.apply_effect(call);
        host::delay(answer_delay).await;
        if hang {
            return host::hang().await;
        }
        if host::take_fault(&mut self.faults.borrow_mut().lost_answers) {
            self.stats.borrow_mut().lost += 1;
            return host::lose_answer();
        }
        if host::take_fault(&mut self.faults.borrow_mut().failures) {
            let body = serde_json::json!({"error": "the service failed"});
            return host::json(StatusCode::INTERNAL_SERVER_ERROR, &body);
        }
        host::json(StatusCode::OK, &done)
    }

    /// Applies the effect of a call, or returns the answer of its idempotency key's first effect.
    fn apply_effect(&self, call: &Call) -> Done {
        let mut stats = self.stats.borrow_mut();
        let key = call.header(header::IDEMPOTENCY_KEY).map(str::to_string);
        if let (true, Some(key)) = (self.honour_keys, &key)
            && let Some(done) = self.answers.borrow().get(key)
        {
            stats.repeats += 1;
            return done.clone();
        }
        stats.effects += 1;
        let call_key = (call.method.clone(), call.path.clone(), call.body.clone());
        *stats.by_call.entry(call_key).or_default() += 1;
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
