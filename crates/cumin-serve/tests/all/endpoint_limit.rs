//! Limits on requests that endpoints state for all entries together.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use crate::support::{Entry, MemoryStore, read_request, register, request, run, send};

/// The users' bound on the time in which all entries must know of a limit.
const CONTACT: Duration = Duration::from_secs(3);

/// Window in which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Multiple of a limit that an endpoint may get in a window, and requests that it may get beyond.
const ALLOWED_SHARE: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;

/// Duration of a request at an endpoint.
const WORK: Duration = Duration::from_millis(10);

/// An endpoint that may state a limit, and the arrivals of its requests.
#[derive(Default)]
struct Endpoint {
    limit: Cell<Option<f64>>,
    /// Whether it rejects all but every eighth request, without stating a limit.
    rejects: Cell<bool>,
    arrivals: RefCell<Vec<Instant>>,
}

impl Endpoint {
    async fn start(store: &MemoryStore, name: &str) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        register(store, name, "plain", listener.local_addr().unwrap());
        let endpoint = Rc::new(Self::default());
        let accepting = endpoint.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(accepting.clone().serve(stream));
            }
        });
        endpoint
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(received) = read_request(&mut stream).await {
            self.arrivals.borrow_mut().push(Instant::now());
            let number = self.arrivals.borrow().len();
            sleep(WORK).await;
            let id = received.header("x-attempt-id").unwrap_or_default();
            if self.rejects.get() && !number.is_multiple_of(8) {
                let text = format!(
                    "HTTP/1.1 503 X\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let limit = self.limit.get();
            let limit = limit.map_or(String::new(), |rate| format!("Server-Limit: {rate}\r\n"));
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n{limit}\
                 Content-Length: 2\r\n\r\nok"
            );
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn count(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals
            .iter()
            .filter(|at| **at >= from && **at < to)
            .count()
    }

    /// Returns the most requests of any window between two times.
    fn most(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.borrow().clone();
        let starts = arrivals.into_iter().filter(|at| *at >= from);
        let counts = starts.map(|at| self.count(at, to.min(at + WINDOW)));
        counts.max().unwrap_or(0)
    }
}

/// Returns the most requests that an endpoint with a limit may get in a window.
fn allowed(rate: f64) -> f64 {
    rate * WINDOW.as_secs_f64() * ALLOWED_SHARE + ALLOWED_EXTRA
}

fn share(part: usize, whole: usize) -> f64 {
    f64::from(u32::try_from(part).unwrap()) / f64::from(u32::try_from(whole.max(1)).unwrap())
}

/// Sends a request every `pause` until `until`. Returns how many were sent and how many served, and
/// how many were refused without a time to come back.
async fn send_requests(entry: SocketAddr, pause: Duration, until: Instant) -> [usize; 3] {
    let mut tasks = Vec::new();
    while Instant::now() < until {
        let text = request("GET", "/safe/x", "", "");
        tasks.push(actix_rt::spawn(async move { send(entry, &text).await }));
        sleep(pause).await;
    }
    let mut counts = [tasks.len(), 0, 0];
    for task in tasks {
        let answer = task.await.expect("the answer is read");
        if answer.starts_with("HTTP/1.1 200") {
            counts[1] += 1;
        } else if !answer.to_ascii_lowercase().contains("retry-after") {
            counts[2] += 1;
        }
    }
    counts
}

/// Sends requests to all entries until `until`, and returns the sums of what [`send_requests`] does.
async fn send_to_all(entries: &[Entry], pause: Duration, until: Instant) -> [usize; 3] {
    let callers = entries
        .iter()
        .map(|entry| send_requests(entry.callers, pause, until));
    let counts = futures_util::future::join_all(callers).await;
    [0, 1, 2].map(|index| counts.iter().map(|counts| counts[index]).sum())
}

/// Starts four entries in front of `count` endpoints.
async fn start(count: usize) -> (Vec<Entry>, Vec<Rc<Endpoint>>) {
    let store = MemoryStore::default();
    let entries = Entry::start_group(&store, 4);
    let mut endpoints = Vec::new();
    for number in 0..count {
        endpoints.push(Endpoint::start(&store, &format!("plain-{number}")).await);
    }
    entries[0].publish(&["key"]);
    for entry in &entries {
        entry.wait_ready().await;
    }
    (entries, endpoints)
}

/// Entries sent an endpoint as much as before after it had stated a limit, 20 requests in 4 s where
/// 11 were allowed.
#[test]
fn sum_of_entries() {
    const RATE: f64 = 1.0;
    run(async {
        let (entries, endpoints) = start(3).await;
        endpoints[0].limit.set(Some(RATE));
        let from = Instant::now() + CONTACT;
        let end = from + WINDOW + WINDOW / 2;
        let pause = Duration::from_millis(50);
        let [sent, served, _] = send_to_all(&entries, pause, end).await;
        let most = endpoints[0].most(from, end);
        println!("most {most} in a window, {served} of {sent} served");
        assert!(
            share(most, 1) <= allowed(RATE),
            "{most} requests in a window"
        );
        assert!(share(served, sent) >= 0.95, "{served} of {sent} are served");
    });
}

/// A rejection without a limit must not end the limit that the endpoint stated.
#[test]
fn rejections() {
    const RATE: f64 = 1.0;
    run(async {
        let (entries, endpoints) = start(1).await;
        endpoints[0].limit.set(Some(RATE));
        endpoints[0].rejects.set(true);
        let from = Instant::now() + CONTACT;
        let end = from + WINDOW + WINDOW / 2;
        let pause = Duration::from_millis(20);
        send_to_all(&entries, pause, end).await;
        let most = endpoints[0].most(from, end);
        println!("most {most} in a window");
        assert!(
            share(most, 1) <= allowed(RATE),
            "{most} requests in a window"
        );
    });
}

/// While the endpoints of a service have no room, requests must not go to others that refuse
/// connections: they took all of them, up to four connections a request.
#[test]
fn dead_endpoint() {
    const SECONDS: u64 = 8;
    // Cooldowns double from 0.5 s to 4 s; callers of one moment may all try when one ends.
    const MAX_UNSENT: usize = 20;
    run(async {
        let (entries, endpoints) = start(1).await;
        endpoints[0].limit.set(Some(1.0));
        let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let dead = unused.local_addr().unwrap();
        drop(unused);
        entries[0].register("plain-dead", "plain", dead);
        let end = Instant::now() + Duration::from_secs(SECONDS);
        let pause = Duration::from_millis(50);
        send_to_all(&entries, pause, end).await;
        for entry in &entries {
            let text = crate::support::metrics(entry).await;
            let line = text.lines().find(|line| line.contains("reason=\"unsent\""));
            let unsent = line.and_then(|line| line.split(' ').next_back());
            let unsent: usize = unsent.map_or(0, |count| count.parse().unwrap());
            println!("{unsent} attempts without a connection");
            assert!(
                unsent <= MAX_UNSENT,
                "{unsent} attempts without a connection"
            );
        }
    });
}

/// Callers of a service whose only endpoint states a limit are served up to that limit, the others
/// are told at once when to come back, and all are served once it states none.
#[test]
fn only_endpoint() {
    const RATE: f64 = 20.0;
    run(async {
        let (entries, endpoints) = start(1).await;
        endpoints[0].limit.set(Some(RATE));
        let from = Instant::now() + CONTACT;
        let end = from + WINDOW + WINDOW / 2;
        let pause = Duration::from_millis(100);
        let [_, _, without_time] = send_to_all(&entries, pause, end).await;
        let most = endpoints[0].most(from, end);
        let used = share(endpoints[0].count(from, end), 1) / (end - from).as_secs_f64();
        println!("most {most} in a window, {used:.1} a second, {without_time} without a time");
        assert!(
            share(most, 1) <= allowed(RATE),
            "{most} requests in a window"
        );
        assert!(used >= RATE * 0.7, "{used:.1} requests a second of {RATE}");
        assert_eq!(without_time, 0, "refusals state when to come back");
        endpoints[0].limit.set(None);
        send_to_all(&entries, pause, Instant::now() + WINDOW / 4).await;
        let [sent, served, _] = send_to_all(&entries, pause, Instant::now() + WINDOW / 4).await;
        println!("{served} of {sent} served from a second after the end of the limit");
        assert!(share(served, sent) >= 0.95, "{served} of {sent} are served");
    });
}
