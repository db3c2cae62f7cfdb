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

/// Most records in one answer when the reader gives no limit.
const READ_LIMIT: u64 = 1000;

/// Settings of the log.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// Most appends accepted in any second, over all streams.
    pub append_rate: usize,
    /// Age at which a record is deleted.
    pub retention: Duration,
    /// Seed of random faults.
    pub seed: u64,
    /// Faults that are active at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            append_rate: 300,
            retention: Duration::from_hours(7 * 24),
            seed: 0,
            faults: Faults::default(),
        }
    }
}

/// Faults that a test injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Outage that affects reads and appends.
    pub outage: Option<Outage>,
    /// Delay before a call takes effect, even if its client disconnects meanwhile.
    pub effect_delay: Duration,
    /// Delay between the effect of an append and its answer.
    pub answer_delay: Duration,
    /// Number of answers to lose after the append took effect.
    pub lost_answers: u64,
    /// Probability, 0 to 1, that an answer is lost after the append took effect.
    pub loss_rate: f64,
}

/// Counters of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Appends that took effect.
    pub appends: u64,
    /// Body bytes of these appends.
    pub bytes: u64,
    /// Appends refused because of the rate limit.
    pub limited: u64,
    /// Answers lost after the append took effect.
    pub lost: u64,
    /// Reads answered.
    pub reads: u64,
    /// Records read.
    pub records: u64,
    /// Calls during an outage.
    pub outages: u64,
}

/// A running log.
pub struct Log {
    host: Rc<Host>,
    shared: Rc<Shared>,
}

struct Shared {
    append_rate: usize,
    retention: Duration,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    streams: RefCell<HashMap<String, Stream>>,
    /// Times of the appends in the last second.
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

    fn expire(&mut self, is_expired: impl Fn(&Instant, &Record) -> bool) {
        while let Some((at, record)) = self.records.front()
            && is_expired(at, record)
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
            append_rate: options.append_rate,
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

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.shared.stats.borrow()
    }

    /// Changes the active faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Deletes every record of `stream` below `offset`, as retention would.
    pub fn expire(&self, stream: &str, offset: u64) {
        if let Some(stream) = self.shared.streams.borrow_mut().get_mut(stream) {
            stream.expire(|_, record| record.offset < offset);
        }
    }

    /// Returns the retained records of `stream`, without a call.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Record> {
        let mut streams = self.shared.streams.borrow_mut();
        let Some(stream) = streams.get_mut(stream) else {
            return Vec::new();
        };
        self.shared.apply_retention(stream);
        let records = stream.records.iter();
        records.map(|(_, record)| record.clone()).collect()
    }

    /// Returns the names of the streams with at least one append.
    #[must_use]
    pub fn streams(&self) -> Vec<String> {
        self.shared.streams.borrow().keys().cloned().collect()
    }

    /// Appends a record directly, without the rate limit and faults; returns its offset.
    #[expect(clippy::must_use_candidate, reason = "called for its effect")]
    pub fn append(&self, stream: &str, body: Value) -> u64 {
        self.shared.push(stream, body)
    }

    /// Closes the listener and all connections at once; an append that is delayed still takes
    /// effect.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Starts to serve again on the same address; records are kept.
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
        if let Some(reply) = host::apply_outage(faults.outage).await {
            return reply;
        }
        // Runs in a task, so that an append takes effect even if its client stops waiting.
        let task = actix_rt::spawn(async move {
            host::delay(faults.effect_delay).await;
            self.serve(&call, &faults).await
        });
        match task.await {
            Ok(reply) => reply,
            Err(_) => host::lose_answer(),
        }
    }
}

impl Shared {
    async fn serve(&self, call: &Call, faults: &Faults) -> Reply {
        // A stream name may contain slashes, such as `record/3`.
        let Some(rest) = call.path.strip_prefix("/v1/streams/") else {
            return host::not_found(call);
        };
        match (call.method.as_str(), rest.rsplit_once('/')) {
            ("POST", Some((stream, "append"))) if !stream.is_empty() => {
                self.append(call, stream, faults).await
            }
            ("GET", Some((stream, "records"))) if !stream.is_empty() => self.read(call, stream),
            _ => host::not_found(call),
        }
    }

    async fn append(&self, call: &Call, stream: &str, faults: &Faults) -> Reply {
        let body: Value = match call.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        if !self.within_rate() {
            self.stats.borrow_mut().limited += 1;
            let message = format!("more than {} appends in a second", self.append_rate);
            return host::refuse(StatusCode::TOO_MANY_REQUESTS, "rate_limited", &message);
        }
        let offset = self.push(stream, body);
        {
            let mut stats = self.stats.borrow_mut();
            stats.appends += 1;
            stats.bytes += call.body.len() as u64;
        }
        host::delay(faults.answer_delay).await;
        let chance = faults.loss_rate;
        let lost_by_chance = chance > 0.0 && self.rng.borrow_mut().random_bool(chance.min(1.0));
        if host::take_fault(&mut self.faults.borrow_mut().lost_answers) || lost_by_chance {
            self.stats.borrow_mut().lost += 1;
            return host::lose_answer();
        }
        host::json(StatusCode::OK, &Appended { offset })
    }

    fn read(&self, call: &Call, name: &str) -> Reply {
        let mut streams = self.streams.borrow_mut();
        let mut empty = Stream::default();
        let stream = streams.get_mut(name).unwrap_or(&mut empty);
        self.apply_retention(stream);
        let from = call.query_number("from").unwrap_or(0).max(stream.first);
        let limit = call.query_number("limit").unwrap_or(READ_LIMIT);
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

    fn apply_retention(&self, stream: &mut Stream) {
        stream.expire(|at, _| at.elapsed() > self.retention);
    }

    /// Counts an append; returns false when the last second already has as many as the rate allows.
    fn within_rate(&self) -> bool {
        let mut recent = self.recent.borrow_mut();
        while let Some(at) = recent.front()
            && at.elapsed() >= Duration::from_secs(1)
        {
            recent.pop_front();
        }
        let within = recent.len() < self.append_rate;
        if within {
            recent.push_back(Instant::now());
        }
        within
    }
}
