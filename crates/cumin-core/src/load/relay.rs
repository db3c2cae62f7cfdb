//! `cuminctl load relay`: measures the latency and the processor time that a node adds to a stream.
//!
//! A stand-in engine without delays is called alternately directly and through a node. The
//! stand-ins run on one thread and each node on another, with an `actix-rt` system for each, so
//! that the processor time of a node is that of its thread.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{self, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cumin_client::Client;
use cumin_config::{Document, Limits, Quota, Secret, Settings};
use cumin_node::Node;
use cumin_standin::cloud::{self, Cloud};
use cumin_standin::engine::{self, Engine};
use cumin_standin::log::{self as log_service, Log};
use cumin_types::TokenCount;
use cumin_wire::cloud::{Instance, Kind, Market, State};
use futures_util::future::join_all;
use serde::Serialize;

use super::report::Latency;
use super::{Error, read_seconds, write};
use crate::args::Args;
use crate::ctl::Failure;
use crate::demo::{self, chat};
use crate::{Status, Terminal};

const MODEL: &str = "crumb-8b";
const KEY: &str = "demo-hamilton-ovens-1";
const SECRET: &str = "relay-secret-0123456789-0123456789";
/// Concurrent streams while tokens are counted.
const STREAMS: u32 = 200;
/// Tokens of each stream while tokens are counted.
const STREAM_TOKENS: u64 = 500;
/// Concurrent calls while calls are counted.
const CALLERS: usize = 32;
/// Target for the latency that a node adds to the first token at p99.
const TARGET_ADDED_MS: f64 = 1.0;
/// Target for the tokens per second of processor time.
const TARGET_TOKENS: f64 = 100_000.0;

/// Time between the tokens of a paced stream, at which 200 streams together reach the target.
const TOKEN_INTERVAL: Duration = Duration::from_millis(2);

/// Results for one number of nodes.
#[derive(Clone, Debug, Serialize)]
struct Figures {
    nodes: usize,
    /// Time to the first token without a node.
    direct: Latency,
    /// Time to the first token through a node.
    through: Latency,
    added_p50_ms: f64,
    added_p99_ms: f64,
    /// Calls with one token, per second of processor time of the entry node.
    calls_per_core: f64,
    /// Results with an engine that generates without delay.
    unpaced: Tokens,
    /// Results with an engine that takes 2 ms for each token of a stream.
    paced: Tokens,
}

/// Token rates of 200 streams.
#[derive(Clone, Debug, Serialize)]
struct Tokens {
    /// Tokens per second of processor time of the entry node.
    entry_core: f64,
    /// Tokens per second of processor time of all nodes.
    all_cores: f64,
    /// Tokens per second that the callers received.
    received: f64,
}

#[derive(Serialize)]
struct Outcome {
    cores: usize,
    figures: Vec<Figures>,
}

pub(super) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let mut args = Args::new(args, &["--seconds", "--json", "--help"])?;
    let time = Duration::from_secs(read_seconds(&mut args)?.unwrap_or(5));
    let json: Option<PathBuf> = args.path("--json")?;
    args.finish()?;
    if let Some(path) = &json {
        write(path, "")?;
    }
    let mut figures = Vec::new();
    for nodes in [1, 2] {
        terminal.progress(format!("measuring with {nodes} nodes"));
        let system = actix_rt::System::new();
        let found = system.block_on(measure(nodes, time))?;
        print(&found, terminal);
        figures.push(found);
    }
    let cores = thread::available_parallelism().map_or(0, Into::into);
    terminal.print(format!(
        "{cores} cores; targets: added at p99 under {TARGET_ADDED_MS} ms, {TARGET_TOKENS} tokens a \
         second a core"
    ));
    if let Some(path) = json {
        let outcome = Outcome { cores, figures };
        let text = serde_json::to_string_pretty(&outcome).unwrap_or_default();
        write(&path, &text)?;
    }
    Ok(Status::Done)
}

fn print(found: &Figures, terminal: &mut Terminal<'_>) {
    let Figures {
        nodes,
        direct,
        through,
        added_p50_ms,
        added_p99_ms,
        calls_per_core,
        ..
    } = found;
    terminal.print(format!(
        "nodes: {nodes}\n  \
         first token, direct   p50 {:.3}  p99 {:.3} ms\n  \
         first token, through  p50 {:.3}  p99 {:.3} ms\n  \
         added                 p50 {added_p50_ms:.3}  p99 {added_p99_ms:.3} ms\n  \
         calls a second a core {calls_per_core:.0}",
        direct.p50, direct.p99, through.p50, through.p99
    ));
    for (name, tokens) in [("unpaced", &found.unpaced), ("paced", &found.paced)] {
        terminal.print(format!(
            "  tokens a second, {STREAMS} streams, {name:7}  a core of the entry {:.0}, a core of \
             all nodes {:.0}, received {:.0}",
            tokens.entry_core, tokens.all_cores, tokens.received
        ));
    }
}

/// A thread with an `actix-rt` system, which stops when this value is dropped.
struct Worker<T> {
    /// What the thread returned when it had started.
    output: T,
    /// `schedstat` file of the thread, which starts with its processor time.
    schedstat: PathBuf,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Worker<T> {
    /// Starts a thread. `start` runs on it, and returns its output and a value that the thread
    /// keeps until it stops.
    fn start<K: 'static>(
        start: impl FnOnce() -> Result<(T, K), String> + Send + 'static,
    ) -> Result<Self, Error> {
        let (sender, receiver) = mpsc::channel();
        let (stop, stopped) = mpsc::channel();
        let thread = thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                // `/proc/thread-self` is a link to `PID/task/TID`.
                let schedstat = std::fs::read_link("/proc/thread-self")
                    .map(|link| PathBuf::from("/proc").join(link).join("schedstat"))
                    .map_err(|error| format!("the thread's processor time can't be read: {error}"));
                let (result, _kept) = match start() {
                    Ok((output, kept)) => (schedstat.map(|path| (output, path)), Some(kept)),
                    Err(error) => (Err(error), None),
                };
                let _ = sender.send(result);
                while matches!(stopped.try_recv(), Err(mpsc::TryRecvError::Empty)) {
                    actix_rt::time::sleep(Duration::from_millis(50)).await;
                }
            });
        });
        let (output, schedstat) = receiver
            .recv()
            .unwrap_or_else(|_| Err("a thread ended early".into()))
            .map_err(Error::Relay)?;
        Ok(Self {
            output,
            schedstat,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the processor time of the thread so far.
    fn cpu_time(&self) -> Result<Duration, Error> {
        let text = std::fs::read_to_string(&self.schedstat)
            .map_err(|error| Error::Relay(format!("{}: {error}", self.schedstat.display())))?;
        let nanos = text
            .split_whitespace()
            .next()
            .and_then(|field| field.parse().ok());
        nanos
            .map(Duration::from_nanos)
            .ok_or_else(|| Error::Relay(format!("{}: no number", self.schedstat.display())))
    }
}

impl<T> Drop for Worker<T> {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Addresses of the stand-ins.
#[derive(Clone, Copy)]
struct Standins {
    engine: SocketAddr,
    log: SocketAddr,
    cloud: SocketAddr,
}

fn start_standins(token_delay: Duration) -> Result<Worker<Standins>, Error> {
    Worker::start(move || {
        let engine = Engine::start(engine::Options {
            slots: 4096,
            token_delay,
            prefill_delay: Duration::ZERO,
            model: MODEL.into(),
            ..engine::Options::default()
        });
        let engine = engine.map_err(|error| error.to_string())?;
        let log = Log::start(log_service::Options::default()).map_err(|error| error.to_string())?;
        let cloud = Cloud::start(cloud::Options::default()).map_err(|error| error.to_string())?;
        cloud.register(Instance {
            id: "crumb-assist-1".into(),
            token: String::new(),
            kind: Kind::Engine,
            service: "crumb-assist".into(),
            place: "hamilton".into(),
            class: "gpu-1x48".into(),
            market: Market::OnDemand,
            price: 3.42,
            state: State::Live,
            address: Some(engine.address().to_string()),
        });
        let addresses = Standins {
            engine: engine.address(),
            log: log.address(),
            cloud: cloud.address(),
        };
        Ok((addresses, (engine, log, cloud)))
    })
}

/// Returns the demo's document with quotas and capacities that don't limit the measurement.
fn unlimited_document() -> Result<Document, String> {
    let mut document = Document::parse(demo::DOCUMENT).map_err(|error| error.to_string())?;
    let unlimited = Quota {
        requests_per_second: 1e6,
        concurrent_requests: 100_000,
        tokens_per_minute: TokenCount(10_000_000_000),
    };
    for organisation in document.organisations.values_mut() {
        organisation.quota = unlimited;
    }
    document.limits = unlimited;
    // With the document's own capacity, admission would queue most of the streams for the engine.
    for service in document.services.values_mut() {
        service.worker.concurrent_requests = 10_000;
    }
    Ok(document)
}

fn start_node(
    number: usize,
    standins: Standins,
    seeds: Vec<SocketAddr>,
) -> Result<Worker<(SocketAddr, SocketAddr)>, Error> {
    Worker::start(move || {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: format!("entry-{number}").into(),
            place: ["hamilton", "cambridge"][number % 2].into(),
            region: "waikato".into(),
            environment: "bakers".into(),
            listen: local,
            peer_listen: local,
            seeds,
            log_address: standins.log,
            cloud_address: standins.cloud,
            secret: Some(Secret::new(SECRET)),
            limits: Limits {
                // A node keeps an ended request for 120 s and takes no further one when it is full.
                requests_held: 1_000_000,
                ..Limits::default()
            },
            ..Settings::default()
        };
        let node = Node::start(
            settings,
            unlimited_document()?,
            cumin_node::Options::default(),
        );
        let node = node.map_err(|error| error.to_string())?;
        Ok(((node.address(), node.peer_address()), node))
    })
}

fn client(entry: SocketAddr) -> Client {
    Client::new(cumin_client::Options {
        key: KEY.into(),
        entries: vec![entry],
        max_tries: 1,
        ..cumin_client::Options::default()
    })
}

/// Threads of the stand-ins and the nodes.
struct Threads {
    standins: Worker<Standins>,
    nodes: Vec<Worker<(SocketAddr, SocketAddr)>>,
}

impl Threads {
    async fn start(count: usize, token_delay: Duration) -> Result<Self, Error> {
        let standins = start_standins(token_delay)?;
        let mut nodes: Vec<Worker<(SocketAddr, SocketAddr)>> = Vec::new();
        for number in 0..count {
            let seeds = nodes.iter().map(|node| node.output.1).collect();
            nodes.push(start_node(number, standins.output, seeds)?);
        }
        wait_until_ready(nodes[0].output.0, count).await?;
        Ok(Self { standins, nodes })
    }

    fn entry(&self) -> SocketAddr {
        self.nodes[0].output.0
    }

    fn cpu_times(&self) -> Result<Vec<Duration>, Error> {
        self.nodes.iter().map(Worker::cpu_time).collect()
    }

    async fn token_rates(&self, time: Duration) -> Result<Tokens, Error> {
        let before = self.cpu_times()?;
        let (tokens, wall) = count_tokens(self.entry(), self.nodes.len() > 1, time).await?;
        let after = self.cpu_times()?;
        let used = after
            .iter()
            .zip(&before)
            .map(|(end, begin)| end.saturating_sub(*begin));
        let used: Vec<Duration> = used.collect();
        Ok(Tokens {
            entry_core: tokens / used[0].as_secs_f64(),
            all_cores: tokens / used.iter().sum::<Duration>().as_secs_f64(),
            received: tokens / wall.as_secs_f64(),
        })
    }
}

async fn measure(count: usize, time: Duration) -> Result<Figures, Error> {
    let threads = Threads::start(count, Duration::ZERO).await?;
    let entry = threads.entry();
    let (direct, through) = measure_latencies(threads.standins.output.engine, entry, time).await?;
    let before = threads.nodes[0].cpu_time()?;
    let calls = count_calls(entry, time).await?;
    let calls_per_core = calls
        / threads.nodes[0]
            .cpu_time()?
            .saturating_sub(before)
            .as_secs_f64();
    let unpaced = threads.token_rates(time).await?;
    drop(threads);
    let paced = Threads::start(count, TOKEN_INTERVAL)
        .await?
        .token_rates(time)
        .await?;
    Ok(Figures {
        nodes: count,
        added_p50_ms: through.p50 - direct.p50,
        added_p99_ms: through.p99 - direct.p99,
        direct,
        through,
        calls_per_core,
        unpaced,
        paced,
    })
}

/// Waits until the entry lists all nodes and answers a chat.
async fn wait_until_ready(entry: SocketAddr, nodes: usize) -> Result<(), Error> {
    let ready = async {
        loop {
            let client = client(entry);
            if client.refresh().await && client.entries().len() == nodes {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        client(entry).chat(&chat(MODEL, "ready", 8)).await
    };
    let answer = actix_rt::time::timeout(Duration::from_secs(10), ready).await;
    let answer = answer.map_err(|_| Error::Relay("the nodes were not ready in 10 s".into()))?;
    answer.map(drop).map_err(call_failed)
}

#[expect(clippy::needless_pass_by_value, reason = "for map_err")]
fn call_failed(error: cumin_client::Error) -> Error {
    Error::Relay(format!("a call of the measurement failed: {error}"))
}

/// Measures times to the first token with one call at a time, alternately to the engine and the
/// entry.
async fn measure_latencies(
    engine: SocketAddr,
    entry: SocketAddr,
    time: Duration,
) -> Result<(Latency, Latency), Error> {
    let clients = [client(engine), client(entry)];
    let mut times = [Vec::new(), Vec::new()];
    for warm in 0..50 {
        for client in &clients {
            client
                .chat(&chat(MODEL, &format!("warm {warm}"), 8))
                .await
                .map_err(call_failed)?;
        }
    }
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < time {
        number += 1;
        for (client, times) in clients.iter().zip(&mut times) {
            let request = chat(MODEL, &format!("question {number}"), 8);
            let answer = client.chat(&request).await.map_err(call_failed)?;
            times.extend(answer.first_token);
        }
    }
    let [direct, through] = times;
    Ok((Latency::new(direct), Latency::new(through)))
}

/// Returns the number of calls with one token that were begun within `time`; each must succeed.
async fn count_calls(entry: SocketAddr, time: Duration) -> Result<f64, Error> {
    let client = client(entry);
    let start = Instant::now();
    let callers = (0..CALLERS).map(async |caller| {
        let mut done = 0.0;
        while start.elapsed() < time {
            let request = chat(MODEL, &format!("caller {caller} call {done}"), 1);
            client.chat(&request).await.map_err(call_failed)?;
            done += 1.0;
        }
        Ok(done)
    });
    let done: Vec<Result<f64, Error>> = join_all(callers).await;
    done.into_iter().sum()
}

/// Returns the number of tokens that the streams received, and the time that they took. Each stream
/// must be complete and, if `replicated`, have a replica at a second node.
async fn count_tokens(
    entry: SocketAddr,
    replicated: bool,
    time: Duration,
) -> Result<(f64, Duration), Error> {
    let client = client(entry);
    let start = Instant::now();
    let streams = (0..STREAMS).map(async |stream| {
        let mut tokens = 0.0;
        // Connections that are all opened at once can exceed the entry's listen backlog of 128.
        actix_rt::time::sleep(Duration::from_millis(1) * stream).await;
        while start.elapsed() < time {
            let request = chat(
                MODEL,
                &format!("stream {stream} after {tokens}"),
                STREAM_TOKENS,
            );
            let answer = client.chat(&request).await.map_err(call_failed)?;
            if replicated && answer.replica.is_none() {
                return Err(Error::Relay("a stream was held by no second node".into()));
            }
            if answer.tokens != engine::answer(&request.prompt_text(), STREAM_TOKENS) {
                return Err(Error::Relay("an answer was not whole".into()));
            }
            tokens += f64::from(u32::try_from(answer.tokens.len()).unwrap_or(u32::MAX));
        }
        Ok(tokens)
    });
    let tokens: Vec<Result<f64, Error>> = join_all(streams).await;
    let tokens = tokens.into_iter().sum::<Result<f64, Error>>()?;
    Ok((tokens, start.elapsed()))
}
