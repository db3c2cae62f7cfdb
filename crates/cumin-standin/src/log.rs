//! Stand-in for the platform's append-only log, in memory.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_http::StatusCode;
use actix_rt::time::Instant;
use cumin_wire::log::{Appended, Record, Records};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::Outage;
use crate::host::{self, Answer, Call, Host, Reply};

/// Records in one answer, when the reader gives no limit.
const READ_LIMIT: u64 = 1000;

/// How the log behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// Appends taken in any second, over all streams.
    pub rate: usize,
    /// Age after which a record is gone.
    pub retention: Duration,
    /// Seed of the faults that happen by chance.
    pub seed: u64,
    /// Faults at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            rate: 300,
            retention: Duration::from_hours(7 * 24),
            seed: 0,
            faults: Faults::default(),
        }
    }
}

/// Faults that a test switches on and off.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Unavailable, for reads and appends.
    pub outage: Option<Outage>,
    /// Delay before a call takes effect; a caller that goes away does not stop it.
    pub slow: Duration,
    /// Delay of an append's answer after it took effect.
    pub late: Duration,
    /// Answers of appends yet to be lost after the append took effect.
    pub lose: u64,
    /// Chance that the answer of an append is lost after it took effect, 0 to 1.
    pub lose_rate: f64,
}

/// What the log saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Appends that took effect.
    pub appends: u64,
    /// Bytes of these.
    pub bytes: u64,
    /// Appends refused over the rate.
    pub limited: u64,
    /// Answers lost after the append took effect.
    pub lost: u64,
    /// Reads answered.
    pub reads: u64,
    /// Records read.
    pub records: u64,
    /// Calls that met an outage.
    pub outages: u64,
}

/// A running log.
pub struct Log {
    host: Rc<Host>,
    shared: Rc<Shared>,
}

struct Shared {
    rate: usize,
    retention: Duration,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    streams: RefCell<HashMap<String, Stream>>,
    recent: RefCell<VecDeque<Instant>>,
    rng: RefCell<ChaCha8Rng>,
}

#[derive(Default)]
struct Stream {
    first: u64,
    records: VecDeque<(Instant, Record)>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self, gone: impl Fn(&Instant, &Record) -> bool) {
        while let Some((at, record)) = self.records.front()
            && gone(at, record)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

impl Log {
    /// Starts the log.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let shared = Rc::new(Shared {
            rate: options.rate,
            retention: options.retention,
            faults: RefCell::new(options.faults),
            stats: RefCell::default(),
            streams: RefCell::default(),
            recent: RefCell::default(),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(options.seed)),
        });
        let host = Host::start(options.address, &shared)?;
        Ok(Self { host, shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns what the log saw so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.shared.stats.borrow()
    }

    /// Changes the faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Drops every record of `stream` below `offset`, as retention would.
    pub fn expire(&self, stream: &str, offset: u64) {
        if let Some(stream) = self.shared.streams.borrow_mut().get_mut(stream) {
            stream.expire(|_, record| record.offset < offset);
        }
    }

    /// Returns the records of `stream` that are kept.
    #[must_use]
    pub fn peek(&self, stream: &str) -> Vec<Record> {
        let mut streams = self.shared.streams.borrow_mut();
        let Some(stream) = streams.get_mut(stream) else {
            return Vec::new();
        };
        self.shared.retain(stream);
        let records = stream.records.iter();
        records.map(|(_, record)| record.clone()).collect()
    }

    /// Returns the names of the streams that were appended to.
    #[must_use]
    pub fn streams(&self) -> Vec<String> {
        self.shared.streams.borrow().keys().cloned().collect()
    }

    /// Appends without a call, past rate and faults; returns the offset.
    #[expect(clippy::must_use_candidate, reason = "called for its effect")]
    pub fn append(&self, stream: &str, body: Value) -> u64 {
        self.shared.push(stream, body)
    }

    /// Closes the listener and all connections at once; a slow append still takes effect.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Serves again on the same address, with its records.
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
        if faults.outage.is_some() {
            self.stats.borrow_mut().outages += 1;
        }
        if let Some(reply) = host::pass(faults.outage).await {
            return reply;
        }
        // A task of its own: an append that the caller gave up waiting for still takes effect.
        let task = actix_rt::spawn(async move {
            host::delay(faults.slow).await;
            self.serve(&call, &faults).await
        });
        match task.await {
            Ok(reply) => reply,
            Err(_) => host::lost(),
        }
    }
}

impl Shared {
    async fn serve(&self, call: &Call, faults: &Faults) -> Reply {
        // A stream's name may hold slashes, such as `record/3`.
        let Some(rest) = call.path.strip_prefix("/v1/streams/") else {
            return host::missing(call);
        };
        match (call.method.as_str(), rest.rsplit_once('/')) {
            ("POST", Some((stream, "append"))) if !stream.is_empty() => {
                self.append(call, stream, faults).await
            }
            ("GET", Some((stream, "records"))) if !stream.is_empty() => self.read(call, stream),
            _ => host::missing(call),
        }
    }

    async fn append(&self, call: &Call, stream: &str, faults: &Faults) -> Reply {
        let body: Value = match call.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        if !self.within_rate() {
            self.stats.borrow_mut().limited += 1;
            let message = format!("more than {} appends in a second", self.rate);
            return host::refuse(StatusCode::TOO_MANY_REQUESTS, "rate_limited", &message);
        }
        let offset = self.push(stream, body);
        {
            let mut stats = self.stats.borrow_mut();
            stats.appends += 1;
            stats.bytes += call.body.len() as u64;
        }
        host::delay(faults.late).await;
        let chance = faults.lose_rate;
        let unlucky = chance > 0.0 && self.rng.borrow_mut().random_bool(chance.min(1.0));
        if host::take(&mut self.faults.borrow_mut().lose) || unlucky {
            self.stats.borrow_mut().lost += 1;
            return host::lost();
        }
        host::json(StatusCode::OK, &Appended { offset })
    }

    fn read(&self, call: &Call, name: &str) -> Reply {
        let mut streams = self.streams.borrow_mut();
        let mut empty = Stream::default();
        let stream = streams.get_mut(name).unwrap_or(&mut empty);
        self.retain(stream);
        let from = call.number("from").unwrap_or(0).max(stream.first);
        let limit = call.number("limit").unwrap_or(READ_LIMIT);
        let skip = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let records = stream.records.iter().skip(skip).take(limit);
        let records: Vec<Record> = records.map(|(_, record)| record.clone()).collect();
        let mut stats = self.stats.borrow_mut();
        stats.reads += 1;
        stats.records += records.len() as u64;
        let answer = Records {
            first: stream.first,
            next: stream.next(),
            records,
        };
        host::json(StatusCode::OK, &answer)
    }

    fn push(&self, stream: &str, body: Value) -> u64 {
        let mut streams = self.streams.borrow_mut();
        let stream = streams.entry(stream.into()).or_default();
        let offset = stream.next();
        let at = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = at.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        });
        let record = Record {
            offset,
            appended_ms: at,
            body,
        };
        stream.records.push_back((Instant::now(), record));
        offset
    }

    fn retain(&self, stream: &mut Stream) {
        stream.expire(|at, _| at.elapsed() > self.retention);
    }

    /// Counts one append; false when the last second had as many as the rate allows.
    fn within_rate(&self) -> bool {
        let mut recent = self.recent.borrow_mut();
        while let Some(at) = recent.front()
            && at.elapsed() >= Duration::from_secs(1)
        {
            recent.pop_front();
        }
        let within = recent.len() < self.rate;
        if within {
            recent.push_back(Instant::now());
        }
        within
    }
}
