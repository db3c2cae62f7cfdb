//! Stand-in for a model engine: batching, prefix cache, streams, KV transfer, reports, orders.
//!
//! It generates the tokens of [`answer`], so a test can compute the expected answer, whichever
//! engines produced its parts. `max_tokens` and the usage's `completion_tokens` count the whole
//! answer, including a resumed part. Generation is paced by a clock and driven by the reader: a
//! stream with a slow reader catches up later and keeps its slot until then.

mod batch;
mod cache;
mod calls;
mod generate;
mod text;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_types::FencingToken;
use cumin_wire::engine::{Load, Served};

use crate::host::{self, CrashHandle, Host};
use batch::Batch;
use cache::Cache;
use generate::Attempt;

pub use text::answer;

/// Number of tokens in an answer when the request sets no `max_tokens`.
pub const DEFAULT_TOKENS: u64 = 32;

/// Settings of the engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Most requests that wait for a slot; further ones are refused.
    pub queue_limit: usize,
    /// Time between two tokens of a request; zero generates without pauses.
    pub token_delay: Duration,
    /// Time to prefill one uncached token.
    pub prefill_delay: Duration,
    /// Most events in one write to a stream.
    pub write_events: usize,
    /// Capacity of the prefix cache, blocks.
    pub cache_blocks: usize,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age at which a cache event is first reported.
    pub event_lag: Duration,
    /// Probability, 0 to 1, that a cache event is never reported.
    pub event_loss: f64,
    /// Seed of random faults.
    pub seed: u64,
    /// Size of the KV cache of one token, bytes.
    pub token_bytes: u64,
    /// Bandwidth of KV cache imports, bytes a second; zero imports at once.
    pub import_bandwidth: u64,
    /// True to refuse orders with a stale fencing token or generation.
    pub check_tokens: bool,
    /// Bearer token that orders must have in `authorization`; `None` accepts any order.
    pub order_key: Option<String>,
    /// Time from an order to its effect.
    pub order_delay: Duration,
    /// Name of the served model; an empty name serves any model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Faults that are active at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            slots: 8,
            queue_limit: 1024,
            token_delay: Duration::from_millis(2),
            prefill_delay: Duration::from_micros(10),
            write_events: 32,
            cache_blocks: 4096,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_loss: 0.0,
            seed: 0,
            token_bytes: 128 << 10,
            import_bandwidth: 0,
            check_tokens: true,
            order_key: None,
            order_delay: Duration::ZERO,
            model: String::new(),
            version: String::new(),
            faults: Faults::default(),
        }
    }
}

/// Faults that a test injects.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Text of a prompt that crashes the engine.
    pub poison: Option<String>,
    /// Calls are accepted and never answered.
    pub hang: bool,
    /// Number of tokens of an attempt after which its stream stalls until the fault is removed.
    pub stall_after: Option<u64>,
    /// Factor by which all delays are multiplied.
    pub delay_factor: f64,
    /// Attempts are refused with 503 and `x-not-started`.
    pub refuse: bool,
    /// Streams contain events of another attempt.
    pub cross: Cross,
    /// Each event is sent twice.
    pub duplicate: bool,
    /// Load to report instead of the actual one.
    pub false_load: Option<Load>,
    /// Connections break while a stream is sent.
    pub cut: Option<Cut>,
    /// Value of the header of each answer by which the engine states whether it leaves.
    pub leaving: Option<&'static str>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            poison: None,
            hang: false,
            stall_after: None,
            delay_factor: 1.0,
            refuse: false,
            cross: Cross::Never,
            duplicate: false,
            false_load: None,
            cut: None,
            leaving: None,
        }
    }
}

/// How events with the id and text of another attempt are mixed into a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cross {
    /// No such events.
    #[default]
    Never,
    /// One before each correct event, with the same position.
    Insert,
    /// Instead of each correct event.
    Replace,
}

/// When a connection breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Number of tokens of the attempt that are sent before.
    pub after: u64,
    /// True to break one attempt only; false to break every attempt.
    pub once: bool,
}

/// Counters of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Attempts started.
    pub attempts: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts whose `resume` text differs from what this engine would have generated.
    pub mismatches: u64,
    /// Tokens prefilled because the cache did not hold them.
    pub prefilled: u64,
    /// Prefilled tokens of resumed attempts.
    pub recomputed: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Attempts cancelled by a call.
    pub cancels: u64,
    /// KV caches exported.
    pub exports: u64,
    /// KV caches imported.
    pub imports: u64,
    /// Bytes of the imported KV caches.
    pub imported_bytes: u64,
    /// Orders applied.
    pub orders: u64,
    /// Orders with a fencing token or generation below the highest seen, applied or not.
    pub stale_orders: u64,
    /// Orders without the order key.
    pub unauthorised: u64,
}

/// A running engine.
pub struct Engine {
    host: Rc<Host>,
    shared: Rc<Shared>,
}

struct Shared {
    options: Options,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    cache: RefCell<Cache>,
    batch: Rc<Batch>,
    attempts: RefCell<HashMap<String, Rc<Attempt>>>,
    exports: RefCell<HashMap<String, Vec<u64>>>,
    served: RefCell<Served>,
    /// Highest fencing token seen, with the highest generation under it.
    highest_fence: Cell<(FencingToken, u64)>,
    crash_handle: CrashHandle,
}

impl Engine {
    /// Starts the engine.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let served = Served {
            model: options.model.clone(),
            version: options.version.clone(),
            role: "both".into(),
            ..Served::default()
        };
        let cache = Cache::new(options.cache_blocks, options.event_loss, options.seed);
        let batch = Batch::new(options.slots, options.load_lag, cache.free());
        let address = options.address;
        let shared = Rc::new(Shared {
            faults: RefCell::new(options.faults.clone()),
            stats: RefCell::default(),
            cache: RefCell::new(cache),
            batch: Rc::new(batch),
            attempts: RefCell::default(),
            exports: RefCell::default(),
            served: RefCell::new(served),
            highest_fence: Cell::default(),
            crash_handle: CrashHandle::default(),
            options,
        });
        let host = Host::start(address, &shared)?;
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
        *self.shared.stats.borrow()
    }

    /// Returns the ids of the attempts that wait or run.
    #[must_use]
    pub fn attempts(&self) -> Vec<String> {
        self.shared.attempts.borrow().keys().cloned().collect()
    }

    /// Returns the served model, version, adapters and role.
    #[must_use]
    pub fn served(&self) -> Served {
        self.shared.served.borrow().clone()
    }

    /// Changes the active faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Empties the prefix cache.
    pub fn clear_cache(&self) {
        self.shared.cache.borrow_mut().clear();
    }

    /// Closes the listener and all connections at once.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Starts to serve again on the same address, with an empty prefix cache.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.crash();
        self.clear_cache();
        self.shared.exports.borrow_mut().clear();
        self.host.restart().await
    }
}

impl Shared {
    /// Returns `delay` multiplied by the delay factor.
    fn scale_delay(&self, delay: Duration) -> Duration {
        let factor = self.faults.borrow().delay_factor;
        if (factor - 1.0).abs() < f64::EPSILON {
            delay
        } else {
            delay.mul_f64(factor.max(0.0))
        }
    }

    fn add_blocks(&self, blocks: &[u64]) {
        let mut cache = self.cache.borrow_mut();
        cache.add(blocks);
        self.batch.set_free(cache.free());
    }
}
