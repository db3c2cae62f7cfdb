//! Stand-in for a model engine: batching, prefix cache, streams, KV transfer, reports, orders.
//!
//! What it generates is [`answer`], so a test knows the whole right answer whichever engines
//! produced its parts. `max_tokens` and the usage's `completion_tokens` count the whole answer,
//! a resumed part included. Generation is paced by a clock and driven by the reader: a stream
//! whose reader is slow catches up later and keeps its slot for so long.

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

use crate::host::{self, Fuse, Host};
use batch::Batch;
use cache::Cache;
use generate::Attempt;

pub use text::answer;

/// Tokens that an answer has when the request does not limit it.
pub const DEFAULT_TOKENS: u64 = 32;

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// Requests that generate at once.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are refused.
    pub queue: usize,
    /// Time from one token of a request to the next; zero generates as fast as it can.
    pub token_delay: Duration,
    /// Time to prefill one uncached token.
    pub prefill_delay: Duration,
    /// Most events in one write.
    pub events: usize,
    /// Blocks that the prefix cache holds.
    pub blocks: usize,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age that a cache event has when it is first told.
    pub event_lag: Duration,
    /// Chance that a cache event is never told, 0 to 1.
    pub event_gap: f64,
    /// Seed of the faults that happen by chance.
    pub seed: u64,
    /// Size of a token's KV cache, bytes.
    pub token_bytes: u64,
    /// Bytes of KV cache imported a second; zero imports at once.
    pub transfer: u64,
    /// True to refuse orders with a stale fencing token or generation.
    pub check_tokens: bool,
    /// Key that orders must carry as `authorization: Bearer`, when set.
    pub order_key: Option<String>,
    /// Time from an order to its effect.
    pub order_delay: Duration,
    /// Model served; when empty, any model is.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Faults at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            slots: 8,
            queue: 1024,
            token_delay: Duration::from_millis(2),
            prefill_delay: Duration::from_micros(10),
            events: 32,
            blocks: 4096,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_gap: 0.0,
            seed: 0,
            token_bytes: 128 << 10,
            transfer: 0,
            check_tokens: true,
            order_key: None,
            order_delay: Duration::ZERO,
            model: String::new(),
            version: String::new(),
            faults: Faults::default(),
        }
    }
}

/// Faults that a test switches on and off.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Crashes when a prompt contains this.
    pub poison: Option<String>,
    /// Accepts calls and never answers.
    pub hang: bool,
    /// Tokens of an attempt after which its stream stalls, until this is lifted.
    pub stall: Option<u64>,
    /// Factor on all delays.
    pub slow: f64,
    /// Refuses attempts with 503 and `x-not-started`.
    pub refuse: bool,
    /// Sends events of another attempt.
    pub cross: Cross,
    /// Sends each event twice.
    pub duplicate: bool,
    /// Load to report instead of the true one.
    pub lie: Option<Load>,
    /// Breaks connections in mid-stream.
    pub cut: Option<Cut>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            poison: None,
            hang: false,
            stall: None,
            slow: 1.0,
            refuse: false,
            cross: Cross::Never,
            duplicate: false,
            lie: None,
            cut: None,
        }
    }
}

/// Events that carry another attempt's id and text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cross {
    /// None.
    #[default]
    Never,
    /// One before each right event, with the same position.
    Insert,
    /// In place of each right event.
    Replace,
}

/// When a connection breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Tokens of the attempt that are sent before.
    pub after: u64,
    /// True to break one attempt only, false to break all.
    pub once: bool,
}

/// What the engine saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Attempts started.
    pub attempts: u64,
    /// Attempts refused.
    pub refused: u64,
    /// Attempts whose `resume` was not what this engine would have generated.
    pub mismatches: u64,
    /// Tokens prefilled that the cache did not hold.
    pub prefilled: u64,
    /// Those of them that belong to resumed attempts.
    pub recomputed: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Attempts cancelled by a call.
    pub cancels: u64,
    /// KV caches exported.
    pub exports: u64,
    /// KV caches imported.
    pub imports: u64,
    /// Bytes of these.
    pub imported_bytes: u64,
    /// Orders applied.
    pub orders: u64,
    /// Orders with a fencing token or generation below one seen before, applied or not.
    pub stale_orders: u64,
    /// Orders without the right key.
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
    fence: Cell<(FencingToken, u64)>,
    fuse: Fuse,
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
        let cache = Cache::new(options.blocks, options.event_gap, options.seed);
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
            fence: Cell::default(),
            fuse: Fuse::default(),
            options,
        });
        let host = Host::start(address, &shared)?;
        shared.fuse.arm(&host);
        Ok(Self { host, shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns what the engine saw so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.shared.stats.borrow()
    }

    /// Returns the attempts that wait or run.
    #[must_use]
    pub fn attempts(&self) -> Vec<String> {
        self.shared.attempts.borrow().keys().cloned().collect()
    }

    /// Returns what the engine serves.
    #[must_use]
    pub fn served(&self) -> Served {
        self.shared.served.borrow().clone()
    }

    /// Changes the faults.
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

    /// Serves again on the same address, with an empty prefix cache.
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
    /// Returns a delay as the slow fault lengthens it.
    fn pace(&self, delay: Duration) -> Duration {
        let slow = self.faults.borrow().slow;
        if (slow - 1.0).abs() < f64::EPSILON {
            delay
        } else {
            delay.mul_f64(slow.max(0.0))
        }
    }

    fn add_blocks(&self, blocks: &[u64]) {
        let mut cache = self.cache.borrow_mut();
        cache.add(blocks);
        self.batch.set_free(cache.free());
    }
}
