//! Three of four entries are lost, and their callers go to the last one with bodies of the greatest
//! size that the manifest allows; the platform kills a process that exceeds its memory.

use std::collections::HashSet;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry::{Entry, MEMORY_MB, Ports, free_address};
use crate::http::{self, Message};
use crate::{Case, HOST, KEY, MAX_BODY_BYTES, Record, Verdict, connect, loopback, worker};

/// Entries, of which all but the last are lost.
const ENTRIES: u8 = 4;

/// Callers of all entries, each with one request at a time.
const CALLERS: u64 = 36;

/// Callers of streams; the events of a stream, and the pause before each.
const STREAM_CALLERS: u64 = 8;
const EVENTS: u64 = 60;
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Time before the loss, and after it.
const CALM_TIME: Duration = Duration::from_secs(8);
const WATCHED: Duration = Duration::from_secs(12);

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
    /// Requests from kept channels to the last entry that ended without an answer.
    unanswered: Mutex<Vec<String>>,
    answered: AtomicU64,
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
    let mut entries: Vec<Entry> = (1..=ENTRIES)
        .map(|host| {
            let (name, ports) = (format!("front-{host}"), Ports::find(loopback(host)));
            Entry::start(&name, ports, case.platform, &case.folder)
        })
        .collect();
    if !entries
        .iter()
        .all(|entry| entry.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::Unable("an entry is not ready");
    }
    std::thread::sleep(Duration::from_secs(1));
    let fronts: Vec<SocketAddr> = entries.iter().map(|entry| entry.ports.front).collect();
    for caller in 0..CALLERS + STREAM_CALLERS {
        let (shared, fronts) = (shared.clone(), fronts.clone());
        let record = case.record.clone();
        std::thread::spawn(move || call(&shared, &fronts, caller, &record));
    }
    let record = &case.record;
    let started = Instant::now();
    let (mut most, mut killed, mut reduced) = (0, false, false);
    while !killed && started.elapsed() < CALM_TIME + WATCHED {
        if case.trouble && !reduced && started.elapsed() > CALM_TIME {
            entries.drain(..entries.len() - 1);
            reduced = true;
            record.write(&format!(
                "at most {most} kB so far; all entries but one are lost"
            ));
        }
        for entry in &entries {
            let used = entry.memory_kb();
            most = most.max(used);
            if used > MEMORY_MB * 1024 {
                entry.signal("KILL");
                killed = true;
                record.write(&format!(
                    "the platform kills an entry, which uses {used} kB"
                ));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
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
        "at most {most} kB; killed: {killed}; answered: {answered}"
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

/// Sends requests on a kept channel, to the next entry if one can't be reached.
fn call(shared: &Shared, fronts: &[SocketAddr], caller: u64, record: &Record) {
    let body = vec![b'x'; MAX_BODY_BYTES];
    let mut channel: Option<TcpStream> = None;
    let streams = caller >= CALLERS;
    let mut at = usize::try_from(caller).unwrap_or(0) % fronts.len();
    for number in 0.. {
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{caller}-{number}");
        let kept = channel.is_some();
        let Some(mut stream) = channel.take().or_else(|| connect(fronts[at], BUDGET)) else {
            at = (at + 1) % fronts.len();
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
        } else if kept && at + 1 == fronts.len() {
            record.write(&format!("the channel of {id} ends without a whole answer"));
            shared
                .unanswered
                .lock()
                .expect("the lock of the losses")
                .push(id);
        }
    }
}
