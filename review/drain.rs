//! The entry's open channels to the store go silent, and at the same time a worker leaves whose
//! registration is removed.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry::{Entry, Ports, free_address};
use crate::http::{self, Message};
use crate::worker::{self, Proxy, Registration, Server};
use crate::{Case, HOST, KEY, Record, Verdict, connect, loopback};

/// Bounds `drain_ms` and `contact_ms`.
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);

/// Time from the silence of the channels to the removal of the registration.
const REMOVE_DELAY: Duration = Duration::from_millis(100);

/// Time for which the worker goes on serving after `DRAIN`, and then exits.
const LINGER: Duration = Duration::from_millis(1500);

/// Time before the disruption, and from the removal to the end.
const CALM_TIME: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(8);

/// Service time of a request, and its time budget.
const WORK: Duration = Duration::from_millis(150);
const BUDGET: Duration = Duration::from_secs(3);

/// Callers, each with one request at a time, and the pause between two requests of the first; that
/// of each further one is a bit longer.
const CALLERS: u64 = 6;
const PAUSE: Duration = Duration::from_millis(70);
const PAUSE_STEP: Duration = Duration::from_millis(17);

/// A request as a caller and as the leaving worker saw it.
#[derive(Default)]
struct Shared {
    /// Requests that reached the leaving worker, with the time.
    reached: Mutex<Vec<(String, Instant)>>,
    /// Requests that callers sent, with the time, and the status of the answer.
    sent: Mutex<Vec<(String, Instant, u16)>>,
    stopped: AtomicBool,
    served: AtomicU64,
}

pub fn run(case: &Case) -> Verdict {
    case.publish(
        &format!(
            "{{\"name\":\"book\",\"host\":\"{HOST}\",\"path_prefix\":\"/book/\",\
             \"route_type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":1000,\
             \"priority\":2,\"max_attempts\":1,\"service\":\"desk\",\"public\":false}}"
        ),
        "{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":96}",
    );
    let shared = Arc::new(Shared::default());
    start_worker(case, 50, None);
    let (leaving, server) = start_worker(case, 51, Some(shared.clone()));
    let [store, cloud] = case.platform;
    let at = free_address(loopback(240));
    let channels = Proxy::start(at, store);
    let entry = Entry::start(
        "front-1",
        Ports::find(loopback(1)),
        [at, cloud],
        &case.folder,
    );
    if !entry.wait_ready(Duration::from_secs(20)) {
        return Verdict::Unable("the entry is not ready");
    }
    std::thread::sleep(Duration::from_secs(1));
    for caller in 0..CALLERS {
        let (shared, front) = (shared.clone(), entry.ports.front);
        let record = case.record.clone();
        std::thread::spawn(move || call(&shared, front, caller, &record));
    }
    std::thread::sleep(CALM_TIME);
    if shared
        .reached
        .lock()
        .expect("the lock of the runs")
        .is_empty()
    {
        return Verdict::Unable("the worker that leaves got no requests before");
    }
    let record = &case.record;
    let silenced = Instant::now();
    if case.trouble {
        channels.silence();
        record.write("the open channels to the store go silent; new ones work");
    }
    std::thread::sleep(REMOVE_DELAY);
    leaving.remove();
    let removed = Instant::now();
    record.write("the registration of i-51 is removed, acknowledged by the store");
    std::thread::sleep(DRAIN + LINGER);
    server.exit();
    record.write("i-51 exits");
    std::thread::sleep(WATCHED.saturating_sub(removed.elapsed()));
    shared.stopped.store(true, Ordering::Relaxed);
    judge(case, &shared, removed, silenced)
}

/// Returns whether requests that were sent while the entry was in touch reached the worker later
/// than `DRAIN` after the removal.
fn judge(case: &Case, shared: &Shared, removed: Instant, silenced: Instant) -> Verdict {
    let in_touch = if case.trouble {
        silenced + CONTACT
    } else {
        removed
    };
    let sent = shared.sent.lock().expect("the lock of the requests");
    let (mut late, mut lost) = (0, 0);
    for (id, at) in shared.reached.lock().expect("the lock of the runs").iter() {
        let found = sent.iter().find(|(known, _, _)| known == id);
        if let Some((_, since, status)) = found
            && *at > removed + DRAIN
            && *since > in_touch
        {
            late += 1;
            lost += u32::from(*status != 200);
            let after = at.duration_since(removed).as_millis();
            case.record.write(&format!(
                "{id} reached i-51 {after} ms after the removal; its caller got status {status}"
            ));
        }
    }
    let served = shared.served.load(Ordering::Relaxed);
    case.record.write(&format!(
        "served: {served}; reached i-51 too late: {late}, lost there: {lost}"
    ));
    if late > 0 {
        Verdict::Broken
    } else if served > 0 {
        Verdict::Held
    } else {
        Verdict::Unable("no request is served")
    }
}

/// Starts a worker; `leaves` is where the one that leaves notes its requests.
fn start_worker(case: &Case, host: u8, leaves: Option<Arc<Shared>>) -> (Registration, Server) {
    let listen = free_address(loopback(host));
    let name = format!("i-{host}");
    let registration = worker::register(case.store.clone(), name.clone(), "desk", 16, listen);
    let record = case.record.clone();
    let answer = move |request: &Message, stream: &mut TcpStream| {
        let id = request.header("x-attempt-id").unwrap_or_default();
        if let Some(shared) = &leaves {
            let mut reached = shared.reached.lock().expect("the lock of the runs");
            reached.push((id.to_owned(), Instant::now()));
        }
        record.write(&format!("{name} runs {id}"));
        std::thread::sleep(WORK);
        let headers = format!("X-Attempt-Id: {id}\r\nX-Response-Seal: seal-{name}-{id}\r\n");
        stream
            .write_all(&http::answer(200, &headers, b"booked"))
            .is_ok()
    };
    (registration, worker::serve(listen, Arc::new(answer)))
}

/// Sends requests on a kept channel.
fn call(shared: &Shared, front: SocketAddr, caller: u64, record: &Record) {
    let mut channel = None;
    for number in 0.. {
        if shared.stopped.load(Ordering::Relaxed) {
            return;
        }
        std::thread::sleep(PAUSE + PAUSE_STEP * u32::try_from(caller).unwrap_or(0));
        let id = format!("{caller}-{number}");
        let Some(mut stream) = channel.take().or_else(|| connect(front, BUDGET)) else {
            continue;
        };
        let request = format!(
            "POST /book/{caller} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 3000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        let at = Instant::now();
        let written = stream.write_all(request.as_bytes());
        let answer = written
            .ok()
            .map(|()| http::read_message(&mut stream, &mut Vec::new()));
        let status = match answer {
            Some(Ok(answer)) => {
                channel = Some(stream);
                answer.status()
            }
            _ => 0,
        };
        if status == 200 {
            shared.served.fetch_add(1, Ordering::Relaxed);
        }
        let took = at.elapsed().as_millis();
        record.write(&format!("{id}: status {status} after {took} ms"));
        shared
            .sent
            .lock()
            .expect("the lock of the requests")
            .push((id, at, status));
    }
}
