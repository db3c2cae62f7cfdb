//! In-memory store, scripted endpoints, and an entry that uses them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cumin_entry::era::Era;
use cumin_entry::platform::{
    Appended, Cloud, CloudError, LeaseHolder, LocalFuture, Order, Page, Record, Store, StoreError,
    Stream,
};
use cumin_entry::quota::Tolerance;
use cumin_entry::rollout::exposure::ExposeBounds;
use cumin_entry::settings::{Bounds, Settings};
use cumin_platform::{HttpDialect, JsonCodec};
use cumin_serve::{BootClock, Platform};
use cumin_types::{FencingToken, LogOffset, Millis, NodeName, Organisation, Place, Region};
use futures_util::FutureExt as _;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Interval at which endpoints renew their registrations.
pub const HEARTBEAT: Millis = Millis(1200);

/// Timeout of each exchange and condition in these tests.
pub const LIMIT: Duration = Duration::from_secs(10);

/// Store in memory; it refuses reads while `down` is set.
#[derive(Clone, Default)]
pub struct MemoryStore {
    records: Rc<RefCell<Vec<(Stream, Record)>>>,
    era: Rc<Cell<Era>>,
    pub down: Rc<Cell<bool>>,
    /// Whether the connection for registrations is silent: the read in progress, or else the next
    /// one, is lost, and the one after it uses a new connection.
    pub silent: Rc<Cell<bool>>,
}

/// Time after which a read without an answer is lost, in addition to the time that it waits.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

impl MemoryStore {
    pub fn put(&self, stream: Stream, key: &str, value: &Value) {
        self.push(stream, Some(key), Some(Bytes::from(value.to_string())));
    }

    pub fn remove(&self, stream: Stream, key: &str) {
        self.push(stream, Some(key), None);
    }

    fn push(&self, stream: Stream, key: Option<&str>, value: Option<Bytes>) -> LogOffset {
        let mut records = self.records.borrow_mut();
        let offset = LogOffset(records.iter().filter(|(s, _)| *s == stream).count() as u64);
        let key = key.map(str::to_owned);
        records.push((stream, Record { offset, key, value }));
        offset
    }

    /// Returns the newest value of a key.
    pub fn value(&self, stream: Stream, key: &str) -> Option<Value> {
        let records = self.records.borrow();
        let of_key =
            |(s, record): &&(Stream, Record)| *s == stream && record.key.as_deref() == Some(key);
        let (_, record) = records.iter().rev().find(of_key)?;
        serde_json::from_slice(record.value.as_ref()?).ok()
    }

    /// Returns a copy of all records, for [`restore`](Self::restore).
    pub fn copy(&self) -> Vec<(Stream, Record)> {
        self.records.borrow().clone()
    }

    /// Replaces all records by an older copy, which begins an era.
    pub fn restore(&self, copy: Vec<(Stream, Record)>) {
        *self.records.borrow_mut() = copy;
        self.set_era(self.era.get().0 + 1);
    }

    /// Sets the era that answers state from now on.
    pub fn set_era(&self, era: u64) {
        self.era.set(Era(era));
    }

    /// Returns the newest value of each key of a stream that was not removed.
    pub fn values(&self, stream: Stream) -> BTreeMap<String, Bytes> {
        let mut values = BTreeMap::new();
        for record in self.page(stream, LogOffset(0)).records {
            let key = record.key.unwrap_or_default();
            match record.value.filter(|value| !value.is_empty()) {
                Some(value) => values.insert(key, value),
                None => values.remove(&key),
            };
        }
        values
    }

    fn end(&self, stream: Stream) -> LogOffset {
        let records = self.records.borrow();
        LogOffset(records.iter().filter(|(s, _)| *s == stream).count() as u64)
    }

    fn page(&self, stream: Stream, from: LogOffset) -> Page {
        let records = self.records.borrow();
        let all = records.iter().filter(|(s, _)| *s == stream);
        let records: Vec<Record> = all
            .map(|(_, record)| record.clone())
            .filter(|record| record.offset >= from)
            .collect();
        let end = LogOffset(from.0 + records.len() as u64);
        Page {
            records,
            end,
            era: self.era.get(),
        }
    }
}

impl Store for MemoryStore {
    fn read(
        &self,
        stream: Stream,
        from: LogOffset,
        wait: Millis,
    ) -> LocalFuture<'_, Result<Page, StoreError>> {
        async move {
            let step = Duration::from_millis(10);
            let until = Instant::now() + wait.duration();
            loop {
                if self.silent.get() && stream == Stream::Endpoints {
                    sleep_until(until + ANSWER_TIMEOUT).await;
                    self.silent.set(false);
                    return Err(StoreError::Lost("silent".into()));
                }
                if self.down.get() {
                    return Err(StoreError::Refused("down".into()));
                }
                if from > self.end(stream) {
                    return Err(StoreError::Beyond);
                }
                let page = self.page(stream, from);
                if !page.records.is_empty() || Instant::now() >= until {
                    return Ok(page);
                }
                sleep(step).await;
            }
        }
        .boxed_local()
    }

    fn newest(&self, stream: Stream) -> LocalFuture<'_, Result<Page, StoreError>> {
        let down = self.down.get();
        let page = self.page(stream, LogOffset(0));
        async move {
            if down {
                return Err(StoreError::Refused("down".into()));
            }
            Ok(page)
        }
        .boxed_local()
    }

    fn append(
        &self,
        stream: Stream,
        key: Option<&str>,
        value: Bytes,
        at: Option<LogOffset>,
    ) -> LocalFuture<'_, Result<Appended, StoreError>> {
        let end = self.end(stream);
        let result = if at.is_some_and(|at| at != end) {
            Err(StoreError::Conflict { end })
        } else {
            Ok(Appended {
                offset: self.push(stream, key, Some(value)),
                era: self.era.get(),
            })
        };
        async move { result }.boxed_local()
    }
}

/// Reports of usage that entries made: token, author, window and counts.
type Reports = Vec<(FencingToken, Arc<str>, u64, BTreeMap<Organisation, u64>)>;

/// Cloud that records the reports of usage.
#[derive(Clone, Default)]
pub struct MemoryCloud {
    pub reports: Rc<RefCell<Reports>>,
}

impl Cloud for MemoryCloud {
    fn report_usage(
        &self,
        holder: &LeaseHolder,
        window: u64,
        counts: &BTreeMap<Organisation, u64>,
    ) -> LocalFuture<'_, Result<(), CloudError>> {
        let report = (holder.token, holder.node.clone(), window, counts.clone());
        self.reports.borrow_mut().push(report);
        async move { Ok(()) }.boxed_local()
    }

    fn order(&self, _: &LeaseHolder, _: &Order) -> LocalFuture<'_, Result<(), CloudError>> {
        async move { Ok(()) }.boxed_local()
    }
}

/// Cloud that accepts every call.
struct IdleCloud;

impl Cloud for IdleCloud {
    fn report_usage(
        &self,
        _holder: &LeaseHolder,
        _window: u64,
        _counts: &BTreeMap<Organisation, u64>,
    ) -> LocalFuture<'_, Result<(), CloudError>> {
        async { Ok(()) }.boxed_local()
    }

    fn order(
        &self,
        _holder: &LeaseHolder,
        _order: &Order,
    ) -> LocalFuture<'_, Result<(), CloudError>> {
        async { Ok(()) }.boxed_local()
    }
}

/// A request as received by an endpoint.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().skip(1);
        let line = lines.find(|line| {
            let (key, _) = line.split_once(':').unwrap_or_default();
            key.eq_ignore_ascii_case(name)
        })?;
        Some(line.split_once(':')?.1.trim().to_owned())
    }
}

/// A step of an endpoint's script.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes text in which `ID` is replaced by the request's identifier.
    Write(String),
    /// Waits for a number of milliseconds.
    Wait(u64),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Writes text over and over until the peer closes the connection, then sets `closed`.
    Repeat(String),
    /// Writes text every so many milliseconds until the peer closes the connection, then sets
    /// `closed`.
    Trickle(String, u64),
    /// Sends nothing until the peer closes the connection, then sets `closed`.
    Hold,
}

/// Endpoint that runs one script per request; the last script is repeated.
pub struct Endpoint {
    pub address: SocketAddr,
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
    pub closed: Rc<Cell<bool>>,
}

impl Endpoint {
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Rc::new(RefCell::new(Vec::new()));
        let closed = Rc::new(Cell::new(false));
        let (requests, peer_closed) = (received.clone(), closed.clone());
        actix_rt::spawn(async move {
            let scripts = Rc::new(scripts);
            while let Ok((stream, _)) = listener.accept().await {
                let (requests, peer_closed, scripts) =
                    (requests.clone(), peer_closed.clone(), scripts.clone());
                actix_rt::spawn(run_script(stream, scripts, requests, peer_closed));
            }
        });
        Self {
            address,
            received,
            closed,
        }
    }

    pub fn count(&self) -> usize {
        self.received.borrow().len()
    }
}

async fn run_script(
    mut stream: TcpStream,
    scripts: Rc<Vec<Vec<Step>>>,
    requests: Rc<RefCell<Vec<ReceivedRequest>>>,
    peer_closed: Rc<Cell<bool>>,
) {
    while let Some(received) = read_request(&mut stream).await {
        let id = received.header("x-attempt-id").unwrap_or_default();
        let index = requests.borrow().len().min(scripts.len() - 1);
        requests.borrow_mut().push(received);
        for step in &scripts[index] {
            match step {
                Step::Write(text) => {
                    let text = text.replace("ID", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::Wait(ms) => sleep(Duration::from_millis(*ms)).await,
                Step::Close => return,
                Step::Reset => {
                    // With a linger time of zero the close sends a reset.
                    let _ = stream.set_zero_linger();
                    return;
                }
                Step::Repeat(text) => {
                    let block = text.repeat(4096 / text.len() + 1);
                    while stream.write_all(block.as_bytes()).await.is_ok() {}
                    peer_closed.set(true);
                    return;
                }
                Step::Trickle(text, ms) => {
                    while stream.write_all(text.as_bytes()).await.is_ok() {
                        sleep(Duration::from_millis(*ms)).await;
                    }
                    peer_closed.set(true);
                    return;
                }
                Step::Hold => {
                    let mut unread = Vec::new();
                    let _ = stream.read_to_end(&mut unread).await;
                    peer_closed.set(true);
                    return;
                }
            }
        }
    }
}

pub async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut received = ReceivedRequest {
        head,
        body: bytes.split_off(end),
    };
    let length: usize = received
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    while received.body.len() < length {
        if stream.read_buf(&mut received.body).await.ok()? == 0 {
            return None;
        }
    }
    Some(received)
}

/// Writes a complete, signed answer.
pub fn answer(status: u16, body: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: seal-{status}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Writes the head of a signed, chunked event stream.
pub fn stream_head() -> Step {
    Step::Write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: seal-s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            .into(),
    )
}

/// Writes a chunk.
pub fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Writes the last chunk.
pub fn last_chunk() -> Step {
    Step::Write("0\r\n\r\n".into())
}

/// Registers an endpoint in the store.
pub fn register(store: &MemoryStore, name: &str, service: &str, address: SocketAddr) {
    let value = json!({
        "service": service, "address": address, "zone": "a", "version": "v1", "slots": 6,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    store.put(Stream::Endpoints, name, &value);
}

/// An entry in front of endpoints of the services `plain` and `engine`.
pub struct Entry {
    pub store: MemoryStore,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub metrics: SocketAddr,
    version: Cell<u64>,
}

/// Returns a port that no other socket of the tests takes before the entry binds it.
///
/// Ports are handed out one by one from below the range that the system gives to sockets without a
/// port of their own. Processes start at different ports; a port that is in use is skipped.
fn free_port() -> u16 {
    const FIRST_PORT: u16 = 10_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let number = (std::process::id().wrapping_mul(997).wrapping_add(number)) % PORTS;
        let port = FIRST_PORT + u16::try_from(number).unwrap();
        let unused = |port| StdListener::bind(("127.0.0.1", port)).is_ok();
        if unused(port) {
            return port;
        }
    }
}

/// Returns a free port that two more follow, for the metrics and the relayed pages.
pub fn free_ports() -> u16 {
    loop {
        let ports = [free_port(), free_port(), free_port()];
        if ports[1] == ports[0] + 1 && ports[2] == ports[0] + 2 {
            return ports[0];
        }
    }
}

fn bounds() -> Bounds {
    Bounds {
        apply_limit: Millis(2000),
        revoke_limit: Millis(2500),
        strict_revoke: true,
        grace: Millis(8000),
        drain: Millis(2000),
        budget_ratio: 0.2,
        budget_window: Millis(10_000),
        budget_slack: 50.0,
        heartbeat: HEARTBEAT,
        usage_window: Millis(5000),
        usage_due: Millis(10_000),
        lease: Millis(3000),
        quota: Tolerance::default(),
        expose: None,
        directory_ttl: Millis(5000),
    }
}

/// Returns the settings of an entry.
pub fn settings(name: &str, local: IpAddr, port: u16, seeds: Vec<IpAddr>) -> Settings {
    let address = || SocketAddr::new(local, free_port());
    Settings {
        node: NodeName::from(name),
        place: Place::from("a"),
        region: Region::from("r"),
        address: local,
        caller_address: Some(address()),
        readiness_address: Some(address()),
        directory_address: Some(address()),
        base_port: port,
        seeds,
        store_address: address(),
        cloud_address: None,
        record_bytes: 1 << 18,
        max_descriptors: 4000,
        memory_mb: 300,
        bounds: bounds(),
    }
}

impl Entry {
    /// Starts an entry and waits until it is ready.
    pub async fn start(plain: &[&Endpoint], engines: &[&Endpoint]) -> Self {
        let entry = Self::start_bare();
        for (service, endpoints) in [("plain", plain), ("engine", engines)] {
            for (index, endpoint) in endpoints.iter().enumerate() {
                entry.register(&format!("{service}-{index}"), service, endpoint.address);
            }
        }
        entry.publish(&["key"]);
        entry.wait_ready().await;
        entry
    }

    /// Starts an entry without a document.
    pub fn start_bare() -> Self {
        Self::start_on(MemoryStore::default())
    }

    /// Starts an entry that uses a store of other entries. It does not hear them.
    pub fn start_on(store: MemoryStore) -> Self {
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        Self::start_at(store, "n1", local, free_ports(), Vec::new(), None)
    }

    /// Starts an entry that may expose new versions, and holds the duty lease.
    pub fn start_exposing(store: MemoryStore, expose: ExposeBounds) -> Self {
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let mut settings = settings("n1", local, free_ports(), Vec::new());
        settings.bounds.expose = Some(expose);
        // The users' bound: a record that ends a read leaves its copy as old as that read when the
        // next one is sent, so that 2,500 ms may pass.
        settings.bounds.revoke_limit = Millis(5000);
        Self::start_with(store, settings, Some(Box::new(IdleCloud)))
    }

    /// Starts entries that use one store and hear each other.
    pub fn start_group(store: &MemoryStore, count: u8) -> Vec<Self> {
        Self::start_reporting(store, count, None)
    }

    /// Starts entries that report usage to a cloud, for windows of a second.
    pub fn start_reporting(
        store: &MemoryStore,
        count: u8,
        cloud: Option<&MemoryCloud>,
    ) -> Vec<Self> {
        let port = free_ports();
        let address = |number| IpAddr::V4(Ipv4Addr::new(127, 0, 1, number));
        let seeds: Vec<IpAddr> = (1..=count).map(address).collect();
        let start = |number| {
            let name = format!("n{number}");
            let seeds = seeds.clone();
            Self::start_at(
                store.clone(),
                &name,
                address(number),
                port,
                seeds,
                cloud.cloned(),
            )
        };
        (1..=count).map(start).collect()
    }

    fn start_at(
        store: MemoryStore,
        name: &str,
        local: IpAddr,
        port: u16,
        seeds: Vec<IpAddr>,
        cloud: Option<MemoryCloud>,
    ) -> Self {
        let mut settings = settings(name, local, port, seeds);
        if cloud.is_some() {
            settings.bounds.usage_window = Millis(1000);
        }
        let cloud = cloud.map(|cloud| Box::new(cloud) as Box<dyn Cloud>);
        Self::start_with(store, settings, cloud)
    }

    /// Starts an entry with these settings, and with access to the cloud if one is given.
    pub fn start_with(
        store: MemoryStore,
        settings: Settings,
        cloud: Option<Box<dyn Cloud>>,
    ) -> Self {
        let entry = Self {
            store: store.clone(),
            callers: settings.caller_address.unwrap(),
            directory: settings.directory_address.unwrap(),
            metrics: SocketAddr::new(settings.address, settings.base_port + 1),
            version: Cell::new(0),
        };
        let platform = Platform {
            store: Box::new(store),
            cloud,
            codec: Box::new(JsonCodec),
            dialect: Box::new(HttpDialect),
            clock: Box::new(BootClock),
            load_settings: Box::new(|| Err("there is no file".into())),
        };
        actix_rt::spawn(async move {
            cumin_serve::run(settings, platform).await.unwrap();
        });
        entry
    }

    pub fn register(&self, name: &str, service: &str, address: SocketAddr) {
        register(&self.store, name, service, address);
    }

    pub fn remove(&self, name: &str) {
        self.store.remove(Stream::Endpoints, name);
    }

    /// Publishes a document with `keys` as the valid keys.
    pub fn publish(&self, keys: &[&str]) {
        self.publish_limited(keys, 100_000);
    }

    /// Publishes a document with `keys` as the valid keys, and a maximum size of bodies.
    pub fn publish_limited(&self, keys: &[&str], body_bytes: usize) {
        self.version.set(self.version.get() + 3);
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32, resume: bool| {
            json!({
                "name": prefix, "host": "h.example", "path_prefix": prefix, "route_type": kind,
                "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1, "service": service,
                "max_attempts": attempts, "public": false, "stream_resume": resume,
            })
        };
        // Routes of streams whose events follow each other quickly.
        let paced = |prefix: &str, attempts: u32, resume: bool| {
            let mut value = route(prefix, "streaming", "engine", attempts, resume);
            value["timeout_ms"] = json!(9000);
            value["target_latency_ms"] = json!(200);
            value["gap_aim_ms"] = json!(100);
            value
        };
        let value = json!({
            "version": self.version.get(),
            "routes": [
                route("/safe/", "safe", "plain", 2, false),
                route("/safe/once/", "unsafe", "plain", 1, false),
                route("/unsafe/", "unsafe", "plain", 1, false),
                route("/stream/", "streaming", "engine", 1, false),
                route("/resume/", "streaming", "engine", 2, true),
                route("/resume/thrice/", "streaming", "engine", 3, true),
                paced("/paced/", 1, false),
                paced("/paced/resume/", 2, true),
            ],
            "services": [
                {"name": "plain", "health_path": "/health", "max_connections": 100},
                {"name": "engine", "health_path": "/health", "max_connections": 100, "engine":
                    {"slots": 64, "kv_tokens": 300_000, "stride": 4}},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": body_bytes,
                "header_timeout_ms": 500, "idle_timeout_ms": 5000},
            "tenants": [{"name": "org", "api_keys": keys, "unit": "tokens", "plain_tokens": 1,
                "rate_per_s": 0, "burst": 0}],
        });
        self.store.put(Stream::Document, "config", &value);
    }

    pub async fn wait_ready(&self) {
        let ready = async {
            loop {
                let text = get(self.directory, "/resolve?name=h").await;
                if text.starts_with("HTTP/1.1 200") && text.contains(&self.callers.to_string()) {
                    // The last registrations may not have been read yet.
                    sleep(Duration::from_millis(50)).await;
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LIMIT, ready).await.expect("the entry gets ready");
    }

    /// Sends a request with the default headers on a new connection and reads the answer.
    pub async fn call(&self, method: &str, path: &str, extra: &str, body: &str) -> String {
        send(self.callers, &request(method, path, extra, body)).await
    }
}

/// Returns the text of a request with the default headers.
pub fn request(method: &str, path: &str, extra: &str, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: abc123\r\n\
         X-Deadline-Ms: 2500\r\nAuthorization: Bearer key\r\nConnection: close\r\n\
         {length}{extra}\r\n{body}"
    )
}

/// Sends bytes on a new connection and reads until it is closed.
pub async fn send(address: SocketAddr, text: &str) -> String {
    let exchange = async {
        // An entry that was just started may not listen yet.
        let mut stream = loop {
            match TcpStream::connect(address).await {
                Ok(stream) => break stream,
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        };
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        // A reset also ends the answer.
        let _ = stream.read_to_end(&mut bytes).await;
        String::from_utf8_lossy(&bytes).into_owned()
    };
    timeout(LIMIT, exchange).await.expect("the connection ends")
}

pub async fn get(address: SocketAddr, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    send(address, &text).await
}

/// Reads the metrics of an entry.
pub async fn metrics(entry: &Entry) -> String {
    get(entry.metrics, "/metrics").await
}

pub fn body(answer: &str) -> &str {
    answer.split_once("\r\n\r\n").map_or("", |(_, body)| body)
}

/// Waits until `done` returns true.
pub async fn eventually(what: &str, done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(LIMIT, wait).await.expect(what);
}

/// Runs a test on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}
