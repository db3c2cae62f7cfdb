//! More callers than usual send requests with bodies of the greatest size that the manifest allows,
//! beside callers of streams; the platform kills a process that exceeds its memory.

use std::collections::HashSet;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry::{Entry, MEMORY_MB, Ports, free_address};
use crate::http::{self, Message};
use crate::{Case, HOST, KEY, MAX_BODY_BYTES, Record, Verdict, connect, loopback, worker};

/// Callers, each with one request at a time; with those of the burst they are at most 1.7 times as
/// many.
const CALLERS: u64 = 14;
const BURST_CALLERS: u64 = 9;

/// Callers of streams; the events of a stream, and the pause before each.
const STREAM_CALLERS: u64 = 8;
const EVENTS: u64 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Time before the burst, and its length.
const CALM_TIME: Duration = Duration::from_secs(10);
const BURST_TIME: Duration = Duration::from_secs(3);

/// Service time of a request at a worker.
const WORK: Duration = Duration::from_millis(60);

/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(3);

/// Requests that may be lost in this way.
const LOST_LIMIT: usize = 3;

#[derive(Default)]
struct Shared {
    /// Requests that a worker has received.
    passed_on: Mutex<HashSet<String>>,
    /// Requests from kept channels that ended without an answer within the time budget.
    unanswered: Mutex<Vec<String>>,
    answered: AtomicU64,
    burst: AtomicBool,
    stopped: AtomicBool,
}

pub fn run(case: &Case) -> Verdict {
    let route = |name: &str, kind: &str, timeout_ms: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
             \"target_latency_ms\":3000,\"gap_aim_ms\":1000,\"priority\":2,\
             \"max_attempts\":1,\"service\":\"desk\",\"public\":false}}"
        )
    };
    case.publish(
        &[
            route("log", "unsafe", 3000),
            route("chat", "streaming", 15_000),
        ]
        .join(","),
        "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":96}",
    );
    let shared = Arc::new(Shared::default());
    for host in 50..53 {
        start_worker(case, host, shared.clone());
    }
    let mut entry = Entry::start(
        "front-1",
        Ports::find(loopback(1)),
        case.platform,
        &case.folder,
    );
    if !entry.wait_ready(Duration::from_secs(20)) {
        return Verdict::Unable("the entry is not ready");
    }
    std::thread::sleep(Duration::from_secs(1));
    for caller in 0..CALLERS + BURST_CALLERS + STREAM_CALLERS {
        let (shared, front) = (shared.clone(), entry.ports.front);
        let record = case.record.clone();
        std::thread::spawn(move || call(&shared, front, caller, &record));
    }
    let record = &case.record;
    let started = Instant::now();
    let (mut most, mut killed) = (0, false);
    while !killed && started.elapsed() < CALM_TIME + BURST_TIME {
        if case.trouble && started.elapsed() > CALM_TIME {
            if !shared.burst.swap(true, Ordering::Relaxed) {
                record.write(&format!("at most {most} kB so far; the burst begins"));
            }
        }
        let used = entry.memory_kb();
        most = most.max(used);
        if used > MEMORY_MB * 1024 {
            entry.signal("KILL");
            killed = true;
            record.write(&format!(
                "the platform kills the entry, which uses {used} kB"
            ));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let running = entry.is_running();
    std::thread::sleep(Duration::from_millis(500));
    shared.stopped.store(true, Ordering::Relaxed);
    let passed_on = shared.passed_on.lock().expect("the lock of the runs");
    let unanswered = shared.unanswered.lock().expect("the lock of the losses");
    let lost: Vec<&String> = unanswered
        .iter()
        .filter(|id| passed_on.contains(*id))
        .collect();
    let answered = shared.answered.load(Ordering::Relaxed);
    record.write(&format!(
        "at most {most} kB; running: {running}; answered: {answered}"
    ));
    record.write(&format!(
        "passed on and without an answer: {} {lost:?}",
        lost.len()
    ));
    if answered == 0 {
        Verdict::Unable("no request is answered")
    } else if lost.len() > LOST_LIMIT {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn start_worker(case: &Case, host: u8, shared: Arc<Shared>) {
    let listen = free_address(loopback(host));
    let name = format!("i-{host}");
    let record = case.record.clone();
    worker::register(case.store.clone(), name.clone(), "desk", 64, listen);
    let answer = move |request: &Message, stream: &mut TcpStream| {
        let id = request.header("x-attempt-id").unwrap_or_default();
        shared
            .passed_on
            .lock()
            .expect("the lock of the runs")
            .insert(id.to_owned());
        record.write(&format!("{name} runs {id}, {} bytes", request.body.len()));
        if request.path().starts_with("/chat/") {
            let mut sent = stream.write_all(worker::stream_head(id, &name).as_bytes());
            for event in 1..=EVENTS {
                std::thread::sleep(EVENT_PAUSE);
                sent = sent.and_then(|()| stream.write_all(worker::event(id, event).as_bytes()));
            }
            return sent.and_then(|()| stream.write_all(b"0\r\n\r\n")).is_ok();
        }
        std::thread::sleep(WORK);
        let headers = format!("X-Attempt-Id: {id}\r\nX-Response-Seal: seal-{name}-{id}\r\n");
        stream
            .write_all(&http::answer(200, &headers, b"logged"))
            .is_ok()
    };
    worker::serve(listen, Arc::new(answer));
}

/// Sends requests on a kept channel.
fn call(shared: &Shared, front: SocketAddr, caller: u64, record: &Record) {
    let body = vec![b'x'; MAX_BODY_BYTES];
    let mut channel: Option<TcpStream> = None;
    let streams = caller >= CALLERS + BURST_CALLERS;
    for number in 0.. {
        while caller >= CALLERS && !streams && !shared.burst.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{caller}-{number}");
        let kept = channel.is_some();
        let Some(mut stream) = channel.take().or_else(|| connect(front, BUDGET)) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        // The first request of a channel is small; later ones come from a kept channel.
        let body = if kept && !streams {
            &body[..]
        } else {
            &body[..2]
        };
        let route = if kept && streams { "chat" } else { "log" };
        let head = format!(
            "POST /{route}/{caller} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
            if streams { 15_000 } else { 3000 },
            body.len()
        );
        let sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(body));
        let answer = sent
            .ok()
            .map(|()| http::read_message(&mut stream, &mut Vec::new()));
        if let Some(Ok(answer)) = answer {
            record.write(&format!("{id} is answered with {}", answer.status()));
            shared.answered.fetch_add(1, Ordering::Relaxed);
            channel = Some(stream);
        } else if kept {
            record.write(&format!("the channel of {id} ends without a whole answer"));
            shared
                .unanswered
                .lock()
                .expect("the lock of the losses")
                .push(id);
        }
    }
}
