//! All entries are killed and start again, and soon afterwards the worker of a plain service is slow
//! for some seconds.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::entry::{Entry, Ports, free_address};
use crate::http::{self, Message};
use crate::{Case, HOST, KEY, Record, Verdict, connect, loopback, worker};

/// Slow spell of the worker (`srv_slow`): its length, and the factor by which requests take longer.
const SLOW_TIME: Duration = Duration::from_millis(6500);
const SLOW_FACTOR: f64 = 4.0;

/// Requests that the worker runs at once, and further ones that wait there.
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Time for which the entries are away (`down_s` of `kill_all`), and from their start to the slow
/// spell.
const DOWN_TIME: Duration = Duration::from_millis(1400);
const SLOW_DELAY: Duration = Duration::from_secs(2);

/// Bound `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which the share of served requests is measured, before and after.
const MEASURED: Duration = Duration::from_secs(10);

/// Service times of requests at the worker in milliseconds: the mean and the spread of a log-normal
/// distribution, a tail of longer ones, and the maximum. The route's aim is 300 ms.
const WORK_MS: f64 = 100.0;
const WORK_SPREAD: f64 = 0.5;
const TAIL_SHARE: f64 = 0.01;
const TAIL_FACTOR: f64 = 5.0;
const MAX_WORK_MS: f64 = 450.0;

/// Time budget of a request.
const BUDGET: Duration = Duration::from_secs(3);

/// Number of entries.
const ENTRIES: u8 = 2;

/// Callers, each with one request at a time, and their mean pause between two requests, in
/// milliseconds.
const CALLERS: u64 = 12;
const PAUSE_MS: u64 = 600;

/// Returns a number from 0 to 1 for each draw.
fn unit(draw: u64) -> f64 {
    let mut bits = draw.wrapping_add(u64::from(std::process::id()) << 32);
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53_u64] {
        bits = (bits ^ bits >> 33).wrapping_mul(factor);
    }
    (bits >> 40) as f64 / (1_u64 << 24) as f64
}

/// Returns a pause of half to one and a half of the mean.
fn pause(draw: u64) -> Duration {
    Duration::from_secs_f64(PAUSE_MS as f64 * (0.5 + unit(draw)) / 1000.0)
}

/// Returns the service time of a request.
fn service_time(draw: u64) -> Duration {
    let [first, second, third] = [0, 1, 2].map(|index| unit(draw * 3 + index));
    let angle = std::f64::consts::TAU * second;
    let normal = (-2.0 * first.max(1e-9).ln()).sqrt() * angle.cos();
    let median = WORK_MS * (-WORK_SPREAD * WORK_SPREAD / 2.0).exp();
    let tail = if third < TAIL_SHARE { TAIL_FACTOR } else { 1.0 };
    let time_ms = (median * (WORK_SPREAD * normal).exp() * tail).min(MAX_WORK_MS);
    Duration::from_secs_f64(time_ms / 1000.0)
}

/// Requests of one phase.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
}

#[derive(Default)]
struct Shared {
    counts: Mutex<Arc<Counts>>,
    stopped: AtomicBool,
}

impl Shared {
    /// Counts for some time, and returns the share of served requests in percent.
    fn measure(&self, record: &Record, phase: &str, time: Duration) -> u64 {
        let counts = Arc::new(Counts::default());
        *self.counts.lock().expect("the lock of the counts") = counts.clone();
        std::thread::sleep(time);
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let (sent, served) = (read(&counts.sent), read(&counts.served));
        let refused = read(&counts.refused);
        record.write(&format!(
            "{phase}: {sent} requests, {served} served, {refused} refused"
        ));
        100 * served / sent.max(1)
    }
}

pub fn run(case: &Case) -> Verdict {
    let slow = Arc::new(AtomicBool::new(false));
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":1500,\"target_latency_ms\":300,\
             \"priority\":2,\"max_attempts\":{attempts},\"service\":\"desk\",\"public\":false}}"
        )
    };
    case.publish(
        &[route("record", "unsafe", 1), route("read", "safe", 2)].join(","),
        "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":110}",
    );
    let runs = Arc::new(AtomicU64::new(0));
    start_worker(case, 50, runs.clone(), slow.clone());
    let ports: Vec<Ports> = (1..=ENTRIES)
        .map(|host| Ports::find(loopback(host)))
        .collect();
    let start = || -> Vec<Entry> {
        let named = ports.iter().zip(1..);
        let start = |(ports, number): (&Ports, u8)| {
            Entry::start(
                &format!("front-{number}"),
                ports.clone(),
                case.platform,
                &case.folder,
            )
        };
        named.map(start).collect()
    };
    let mut entries = start();
    if !all_ready(&entries, Duration::from_secs(20)) {
        return Verdict::Unable("an entry is not ready");
    }
    std::thread::sleep(Duration::from_secs(1));
    let shared = Arc::new(Shared::default());
    for caller in 0..CALLERS {
        let (shared, record) = (shared.clone(), case.record.clone());
        let fronts: Vec<SocketAddr> = ports.iter().map(|ports| ports.front).collect();
        std::thread::spawn(move || call(&shared, &fronts, caller, &record));
    }
    let record = &case.record;
    let before = shared.measure(record, "before", MEASURED);
    if case.trouble {
        entries.clear();
        record.write("all entries are killed");
        std::thread::sleep(DOWN_TIME);
        entries = start();
        record.write("the entries start again");
        let back = Instant::now();
        shared.measure(record, "after the start", SLOW_DELAY);
        slow.store(true, Ordering::Relaxed);
        record.write("the worker is slow");
        shared.measure(record, "while the worker is slow", SLOW_TIME);
        slow.store(false, Ordering::Relaxed);
        record.write("the worker is no longer slow");
        let rest = RECOVERY.saturating_sub(back.elapsed());
        shared.measure(record, "rest of the recovery", rest);
    } else {
        shared.measure(record, "instead of the disruption", RECOVERY);
    }
    let runs_before = runs.load(Ordering::Relaxed);
    let after = shared.measure(record, "after the recovery", MEASURED);
    let ran = runs.load(Ordering::Relaxed) - runs_before;
    let ready = all_ready(&entries, Duration::from_millis(500));
    record.write(&format!(
        "after the recovery: the workers ran {ran}; entries ready: {ready}"
    ));
    shared.stopped.store(true, Ordering::Relaxed);
    if before < 25 {
        Verdict::Unable("less than a quarter is served before the disruption")
    } else if after < 25 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn all_ready(entries: &[Entry], limit: Duration) -> bool {
    entries.iter().all(|entry| entry.wait_ready(limit))
}

fn start_worker(case: &Case, host: u8, runs: Arc<AtomicU64>, slow: Arc<AtomicBool>) {
    let listen = free_address(loopback(host));
    let name = format!("i-{host}");
    worker::register(case.store.clone(), name.clone(), "desk", SLOTS, listen);
    let (slots, record) = (Slots::default(), case.record.clone());
    let answer = move |request: &Message, stream: &mut TcpStream| {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let headers = format!("X-Attempt-Id: {id}\r\n");
        if !slots.enter() {
            let headers = format!("{headers}X-Not-Executed: 1\r\n");
            return stream
                .write_all(&http::answer(503, &headers, b"full"))
                .is_ok();
        }
        let run = runs.fetch_add(1, Ordering::Relaxed);
        record.write(&format!("{name} runs {id}"));
        let factor = if slow.load(Ordering::Relaxed) {
            SLOW_FACTOR
        } else {
            1.0
        };
        std::thread::sleep(service_time(run).mul_f64(factor));
        slots.leave();
        let headers = format!("{headers}X-Response-Seal: seal-{name}-{id}\r\n");
        stream
            .write_all(&http::answer(200, &headers, b"booked"))
            .is_ok()
    };
    worker::serve(listen, Arc::new(answer));
}

/// Slots of the worker.
#[derive(Default)]
struct Slots {
    /// Requests that run, and that wait.
    taken: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    /// Waits for a slot; returns whether there was room to wait.
    fn enter(&self) -> bool {
        let mut taken = self.taken.lock().expect("the lock of the slots");
        if taken.1 >= QUEUE {
            return false;
        }
        taken.1 += 1;
        while taken.0 >= SLOTS {
            taken = self.freed.wait(taken).expect("the lock of the slots");
        }
        taken.0 += 1;
        taken.1 -= 1;
        true
    }

    fn leave(&self) {
        self.taken.lock().expect("the lock of the slots").0 -= 1;
        self.freed.notify_one();
    }
}

/// Sends requests, each to the next entry, on a channel of its own.
fn call(shared: &Shared, fronts: &[SocketAddr], caller: u64, record: &Record) {
    for number in 0.. {
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        std::thread::sleep(pause(caller * 1000 + number));
        let counts = shared
            .counts
            .lock()
            .expect("the lock of the counts")
            .clone();
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let id = format!("{caller}-{number}");
        let sent = Instant::now();
        let front = fronts[usize::try_from(caller + number).unwrap_or(0) % fronts.len()];
        let stream = connect(front, BUDGET);
        let status = stream.map_or(0, |mut stream| exchange(&mut stream, &id, number % 3 == 0));
        let took = sent.elapsed();
        match status {
            200 if took <= BUDGET => counts.served.fetch_add(1, Ordering::Relaxed),
            429 | 503 => counts.refused.fetch_add(1, Ordering::Relaxed),
            _ => 0,
        };
        record.write(&format!(
            "{id} at {front}: status {status} after {} ms",
            took.as_millis()
        ));
    }
}

/// Sends one request and returns the status of its answer; 0 without a whole one.
fn exchange(stream: &mut TcpStream, id: &str, read: bool) -> u16 {
    let start = if read {
        "GET /read/1"
    } else {
        "POST /record/1"
    };
    let request = format!(
        "{start} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let answer = http::read_message(stream, &mut Vec::new());
    answer.map_or(0, |answer| answer.status())
}
