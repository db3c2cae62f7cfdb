//! Requests that wait in the entry for a slot of an engine.

use std::env;
use std::process::Command;
use std::time::Duration;

use cumin_entry::platform::Stream;
use rustix::process::{Signal, getpid, kill_process};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::support::{
    Endpoint, Entry, Step, chunk, eventually, last_chunk, metrics, request, run, send, stream_head,
};

/// Time that the engine takes for a request.
const WORK: Duration = Duration::from_millis(400);

/// Returns a document whose engine service has routes of two ranks.
fn document(version: u64, keys: &[&str], second_rank: u32) -> Value {
    let route = |prefix: &str, rank: u32, timeout_ms: u64, goal_ms: u64| {
        json!({
            "name": prefix, "host": "h.example", "path_prefix": prefix, "route_type": "streaming",
            "timeout_ms": timeout_ms, "target_latency_ms": goal_ms, "priority": rank,
            "service": "engine", "max_attempts": 1, "public": false, "stream_resume": false,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/urgent/", 0, 3000, 1000),
            route("/later/", second_rank, 3000, 2000),
            route("/short/", second_rank, 300, 2000),
        ],
        "services": [
            {"name": "engine", "health_path": "/health", "max_connections": 100, "engine":
                {"slots": 1, "kv_tokens": 300_000, "stride": 4}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100_000,
            "header_timeout_ms": 500, "idle_timeout_ms": 5000},
        "tenants": [{"name": "org", "api_keys": keys, "unit": "tokens", "plain_tokens": 1,
            "rate_per_s": 0, "burst": 0}],
    })
}

/// Starts an engine with one slot that takes `work` for a request, and an entry before it.
async fn start(work: Duration, second_rank: u32) -> (Entry, Endpoint) {
    let script = vec![
        stream_head(),
        chunk("id: 1\ndata: x\n\n"),
        Step::Wait(u64::try_from(work.as_millis()).unwrap()),
        last_chunk(),
    ];
    let engine = Endpoint::start(vec![script]).await;
    let entry = Entry::start_bare();
    let registration = json!({
        "service": "engine", "address": engine.address, "zone": "a", "version": "v1", "slots": 1,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    entry
        .store
        .put(Stream::Endpoints, "engine-0", &registration);
    let first = document(1, &["key"], second_rank);
    entry.store.put(Stream::Document, "config", &first);
    entry.wait_ready().await;
    (entry, engine)
}

/// Sends a request whose answer is read by a task.
fn call(entry: &Entry, path: &str) -> actix_rt::task::JoinHandle<String> {
    let (address, text) = (entry.callers, request("POST", path, "", "prompt"));
    actix_rt::spawn(async move { send(address, &text).await })
}

/// Returns the number of requests that wait.
async fn waiting(entry: &Entry) -> u32 {
    let text = metrics(entry).await;
    let lines = text
        .lines()
        .filter(|line| line.starts_with("cumin_queued{"));
    let counts = lines.map(|line| line.rsplit(' ').next().unwrap().parse::<u32>().unwrap());
    counts.sum()
}

/// Waits until `count` requests wait.
async fn until_waiting(entry: &Entry, count: u32) {
    let until = Instant::now() + Duration::from_secs(5);
    while waiting(entry).await != count {
        assert!(Instant::now() < until, "{count} requests wait");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Requests for which there was no free slot were sent into the queue of the engine, where a more
/// urgent one that came later could not overtake them.
#[test]
fn served_in_turn() {
    run(async {
        let (entry, engine) = start(WORK, 5).await;
        let first = call(&entry, "/later/first");
        eventually("the first request is sent", || engine.count() == 1).await;
        let second = call(&entry, "/later/second");
        until_waiting(&entry, 1).await;
        let urgent = call(&entry, "/urgent/third");
        until_waiting(&entry, 2).await;
        assert_eq!(engine.count(), 1, "nothing is sent while the slot is taken");
        for call in [first, urgent, second] {
            let answer = call.await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        }
        let received = engine.received.borrow();
        let paths: Vec<&str> = received
            .iter()
            .map(|r| r.head.lines().next().unwrap())
            .collect();
        assert!(paths[1].contains("/urgent/third"), "{paths:?}");
        assert!(paths[2].contains("/later/second"), "{paths:?}");
    });
}

/// Where all routes have one rank, requests are sent to the engine at once, as before.
#[test]
fn single_rank() {
    run(async {
        let (entry, engine) = start(WORK, 0).await;
        let calls = [call(&entry, "/later/first"), call(&entry, "/urgent/second")];
        eventually("both requests are sent", || engine.count() == 2).await;
        for call in calls {
            let answer = call.await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        }
    });
}

/// A request of a caller that disconnected while it waited must not be sent afterwards.
#[test]
fn caller_leaves() {
    run(async {
        let (entry, engine) = start(WORK, 5).await;
        let first = call(&entry, "/later/first");
        eventually("the first request is sent", || engine.count() == 1).await;
        let mut caller = TcpStream::connect(entry.callers).await.unwrap();
        let text = request("POST", "/later/second", "", "prompt");
        caller.write_all(text.as_bytes()).await.unwrap();
        until_waiting(&entry, 1).await;
        drop(caller);
        until_waiting(&entry, 0).await;
        assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));
        sleep(WORK).await;
        assert_eq!(engine.count(), 1, "nothing is sent afterwards");
    });
}

/// A request that can no longer be served before the timeout of its route is refused as not run
/// before that, with a time to come back, and is not sent afterwards.
#[test]
fn timeout_passes() {
    run(async {
        let (entry, engine) = start(WORK * 3, 5).await;
        let first = call(&entry, "/later/first");
        eventually("the first request is sent", || engine.count() == 1).await;
        let since = Instant::now();
        let answer = call(&entry, "/short/second").await.unwrap();
        let took = since.elapsed();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(
            answer.to_ascii_lowercase().contains("retry-after"),
            "{answer:?}"
        );
        assert!(took < Duration::from_millis(400), "{took:?}");
        assert_eq!(waiting(&entry).await, 0);
        assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));
        sleep(WORK).await;
        assert_eq!(engine.count(), 1, "nothing is sent afterwards");
    });
}

/// A request whose key is removed while it waits must be refused at once, and not be sent.
#[test]
fn key_removed() {
    run(async {
        let (entry, engine) = start(WORK * 3, 5).await;
        let first = call(&entry, "/later/first");
        eventually("the first request is sent", || engine.count() == 1).await;
        let second = call(&entry, "/later/second");
        until_waiting(&entry, 1).await;
        let other = document(2, &["other"], 5);
        entry.store.put(Stream::Document, "config", &other);
        let answer = second.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert_eq!(engine.count(), 1, "the engine was busy all the time");
        assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));
        sleep(WORK).await;
        assert_eq!(engine.count(), 1, "nothing is sent afterwards");
    });
}

/// Set in the process of its own that [`entry_stops`] starts.
const STOP_PROCESS: &str = "CUMIN_TEST_STOP_PROCESS";

/// An entry that stops must refuse its waiting requests as not run at once, and not send them. The
/// signal ends all entries of a process, so the test runs in one of its own.
#[test]
fn entry_stops() {
    if env::var_os(STOP_PROCESS).is_none() {
        let mut command = Command::new(env::current_exe().unwrap());
        command.args(["--exact", "waiting::entry_stops", "--nocapture"]);
        let status = command.env(STOP_PROCESS, "1").status().unwrap();
        assert!(status.success(), "{status}");
        return;
    }
    run(async {
        let (entry, engine) = start(WORK * 3, 5).await;
        let first = call(&entry, "/later/first");
        eventually("the first request is sent", || engine.count() == 1).await;
        let second = call(&entry, "/later/second");
        until_waiting(&entry, 1).await;
        kill_process(getpid(), Signal::TERM).unwrap();
        let since = Instant::now();
        let answer = second.await.unwrap();
        let took = since.elapsed();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
        assert!(took < Duration::from_millis(300), "{took:?}");
        assert!(first.await.unwrap().starts_with("HTTP/1.1 200"));
        sleep(WORK).await;
        assert_eq!(engine.count(), 1, "nothing is sent afterwards");
    });
}
