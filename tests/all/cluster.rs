//! Four node processes and the stand-ins that they use.
//!
//! With `OTHER_BUILD=FILE`, every second node runs this `cuminladder` binary of another build.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use cumin_client::{Client, PlainCall};
use cumin_config::Document;
use cumin_standin::engine;
use cumin_testbed::{Options, Testbed};
use cumin_types::{Outcome, Place};
use cumin_wire::cloud::{Instance, Kind, Market, State};
use cumin_wire::completion::{Message, Request};
use rustix::process::{Pid, Signal, kill_process};
use uuid::Uuid;

/// Demo key of an organisation in `examples/bakers.toml`.
pub const KEY: &str = "demo-hamilton-ovens-1";
/// Longest wait for an expected event.
pub const WAIT_LIMIT: Duration = Duration::from_secs(15);

const DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/bakers.toml");
const SECRET: &str = "process-test-secret-0123456789-0123456789";
/// Attempts to start a node, whose free addresses another process may take before it binds them.
const START_ATTEMPTS: u32 = 5;

/// A node process, which is killed when this value is dropped.
pub struct Process {
    pub entry: SocketAddr,
    pub peer: SocketAddr,
    name: String,
    child: Child,
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process exists");
    }

    /// Kills the process without notice, as a crash of its instance does.
    pub fn crash(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process can be waited for");
    }

    /// Waits until the process ends and returns its status.
    pub async fn exit_status(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a status") {
                return status;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "{} did not end", self.name);
            poll_delay().await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that SIGSTOP has paused. An error means that the process has
        // already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins in the test process, and nodes that each run in a process of their own.
pub struct Cluster {
    pub testbed: Testbed,
    pub nodes: Vec<Process>,
    drain: Duration,
    started: usize,
    document: Document,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        // The logs of the nodes are kept for the analysis of a failure.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Cluster {
    /// Starts the stand-ins and four nodes; engines generate one token per `token_delay`.
    pub async fn start(token_delay: Duration, drain: Duration) -> Self {
        let document = fs::read_to_string(DOCUMENT).expect("the example exists");
        let document = Document::parse(&document).expect("the example is valid");
        let options = Options {
            node_count: 0,
            engine: engine::Options {
                token_delay,
                ..engine::Options::default()
            },
            ..Options::default()
        };
        let testbed = Testbed::start(document.clone(), options).await;
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(Uuid::now_v7().to_string());
        fs::create_dir_all(&dir).expect("a directory for the nodes");
        let mut cluster = Self {
            testbed: testbed.expect("the stand-ins start"),
            nodes: Vec::new(),
            drain,
            started: 0,
            document,
            dir,
        };
        cluster.start_missing().await;
        cluster
    }

    /// Starts nodes until there are four, and waits until each of them lists all nodes and can
    /// serve.
    pub async fn start_missing(&mut self) {
        while self.nodes.len() < 4 {
            let node = self.spawn().await;
            self.nodes.push(node);
        }
        for node in &self.nodes {
            let client = caller(&[node.entry]);
            wait_until("a node that knows all nodes", async || {
                client.refresh().await && client.entries().len() == self.nodes.len()
            })
            .await;
            wait_until(
                "a node whose shares of the quotas follow demand",
                async || gauge(node.entry, "cuminladder_shares_settled").await == 1,
            )
            .await;
            wait_until("a node that knows a plain service", async || {
                let answer = client.call_once(&lookup()).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
            wait_until("a node that knows an engine", async || {
                client.chat(&chat("warm up", 1)).await.is_ok()
            })
            .await;
        }
    }

    async fn spawn(&mut self) -> Process {
        for _ in 0..START_ATTEMPTS {
            if let Some(node) = self.try_spawn().await {
                return node;
            }
        }
        panic!("no node could bind its addresses in {START_ATTEMPTS} starts");
    }

    /// Starts a node; `None` when another process took its addresses first.
    async fn try_spawn(&mut self) -> Option<Process> {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let places: Vec<_> = self.document.places.keys().cloned().collect();
        let place = &places[self.started % places.len()];
        let region = self.document.places[place].region.clone();
        let (entry, peer) = free_addresses();
        let seeds: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.peer.to_string())
            .collect();
        let settings = format!(
            "name = {name:?}\nplace = {:?}\nregion = {:?}\nenvironment = {:?}\n\
             listen = \"{entry}\"\npeer_listen = \"{peer}\"\nseeds = {seeds:?}\n\
             log_address = \"{}\"\ncloud_address = \"{}\"\nsecret = {SECRET:?}\n\
             drain_ms = {}\n",
            place.as_str(),
            region.as_str(),
            self.document.environment.name,
            self.testbed.log.address(),
            self.testbed.cloud.address(),
            self.drain.as_millis(),
        );
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log_path = self.dir.join(format!("{name}.log"));
        let log = File::create(&log_path).expect("a log file");
        let other_build = std::env::var_os("OTHER_BUILD");
        let other_build = other_build.filter(|_| self.started.is_multiple_of(2));
        let this_build = env!("CARGO_BIN_EXE_cuminladder");
        let mut child = Command::new(other_build.unwrap_or_else(|| this_build.into()))
            .arg("--settings")
            .arg(&path)
            .args(["--document", DOCUMENT, "--log", "info"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        let started = Instant::now();
        // The log tells that this node is up. A connection could be to another process that took
        // the address.
        while !fs::read_to_string(&log_path).is_ok_and(|log| log.contains("event=started")) {
            if let Some(status) = child.try_wait().expect("a status") {
                assert_eq!(
                    status.code(),
                    Some(3),
                    "{name} ended, see {}",
                    path.display()
                );
                return None;
            }
            assert!(started.elapsed() < WAIT_LIMIT, "{name} opened no socket");
            poll_delay().await;
        }
        self.testbed
            .cloud
            .register(self.instance(&name, place, peer));
        Some(Process {
            entry,
            peer,
            name,
            child,
        })
    }

    fn instance(&self, name: &str, place: &Place, peer: SocketAddr) -> Instance {
        Instance {
            id: name.into(),
            token: String::new(),
            kind: Kind::Entry,
            service: "entry".into(),
            place: place.to_string(),
            class: self.document.entry.class.to_string(),
            market: Market::Reclaimable,
            price: 0.0,
            state: State::Live,
            address: Some(peer.to_string()),
        }
    }

    /// Returns the caller addresses of all nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.entry).collect()
    }

    /// Waits until the engines have generated `tokens` more than `before`, and returns the index
    /// of a node that has a request in progress.
    pub async fn streaming_node(&self, before: u64, tokens: u64) -> usize {
        wait_until("tokens of a stream", async || {
            self.testbed.engine_stats().generated >= before + tokens
        })
        .await;
        for (index, node) in self.nodes.iter().enumerate() {
            if gauge(node.entry, "cuminladder_requests_running").await > 0 {
                return index;
            }
        }
        panic!("no node has a request in progress");
    }

    /// Waits until the node with index `observer` no longer lists `node`.
    pub async fn wait_removed(&self, observer: usize, node: SocketAddr) {
        let client = caller(&[self.nodes[observer].entry]);
        wait_until("the end of a node to be noticed", async || {
            client.refresh().await && !client.entries().contains(&node)
        })
        .await;
    }

    /// Returns the number of calls that the plain services received.
    pub fn service_calls(&self) -> u64 {
        let services = self.testbed.services.values();
        services.map(|service| service.stats().calls).sum()
    }

    /// Returns the number of effects that a call had, by its key.
    pub fn effects(&self, call: &PlainCall) -> u64 {
        self.testbed
            .effect_count(&call.key.expect("a key").to_string())
    }
}

/// Returns a client that connects to these entries.
pub fn caller(entries: &[SocketAddr]) -> Client {
    Client::new(cumin_client::Options {
        key: KEY.into(),
        entries: entries.to_vec(),
        max_wait: Duration::from_secs(3),
        loopback_only: true,
        ..cumin_client::Options::default()
    })
}

fn free_addresses() -> (SocketAddr, SocketAddr) {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (entry, peer) = (bind(), bind());
    let address = |socket: &TcpListener| socket.local_addr().expect("a bound socket");
    (address(&entry), address(&peer))
}

/// Reads a gauge from the metrics of a node.
async fn gauge(entry: SocketAddr, name: &str) -> i64 {
    let call = awc::Client::default().get(format!("http://{entry}/metrics"));
    let mut answer = call.send().await.expect("metrics");
    let body = answer.body().await.expect("metrics");
    let text = String::from_utf8_lossy(&body);
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let value = value.and_then(|value| value.parse().ok());
    value.unwrap_or_else(|| panic!("the gauge {name}"))
}

/// Waits for one polling interval.
pub async fn poll_delay() {
    actix_rt::time::sleep(Duration::from_millis(10)).await;
}

/// Polls until `condition` holds; panics with `what` after [`WAIT_LIMIT`].
pub async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "no {what} within {WAIT_LIMIT:?}"
        );
        poll_delay().await;
    }
}

pub fn chat(prompt: &str, max_tokens: u64) -> Request {
    Request {
        model: "crumb-8b".into(),
        messages: Some(vec![Message {
            role: "user".into(),
            content: prompt.into(),
        }]),
        stream: true,
        max_tokens: Some(max_tokens),
        ..Request::default()
    }
}

/// Returns what the engines generate for `request`.
pub fn expected(request: &Request) -> Vec<String> {
    let tokens = request.max_tokens.unwrap_or(engine::DEFAULT_TOKENS);
    engine::answer(&request.prompt_text(), tokens)
}

/// Returns a booking with a new key.
pub fn booking() -> PlainCall {
    PlainCall {
        method: "POST".into(),
        service: "oven-desk".into(),
        path: "bookings".into(),
        key: Some(Uuid::now_v7()),
        body: r#"{"oven":"3","slot":"06:00"}"#.into(),
    }
}

fn lookup() -> PlainCall {
    PlainCall {
        method: "GET".into(),
        service: "oven-desk".into(),
        path: "bookings".into(),
        ..PlainCall::default()
    }
}

/// Asserts that a call which another entry has or may have dispatched is answered as unknown, or
/// with the recorded answer.
pub fn assert_unknown_or_done(answer: &cumin_client::PlainAnswer) {
    let allowed = matches!(answer.outcome, Some(Outcome::Unknown | Outcome::Done));
    assert!(
        allowed,
        "a call that was dispatched was answered {answer:?}"
    );
}
