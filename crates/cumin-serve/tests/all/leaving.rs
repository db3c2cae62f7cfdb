//! Endpoints that state in their answers that they leave.
//!
//! They must get no request later than [`DRAIN`] after that, whatever the store shows.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cumin_entry::platform::Stream;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::support::{
    Endpoint, Entry, MemoryStore, Step, answer, chunk, eventually, last_chunk, metrics, run,
};

/// The bound of the test entries for endpoints that leave.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for a request and its answer at an idle entry.
const SLACK: Duration = Duration::from_millis(300);

/// Writes a complete answer with further headers, each ended by CRLF.
fn with_headers(status: u16, headers: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: ID\r\n{headers}Content-Length: 1\r\n\r\nx"
    ))
}

/// Writes a signed answer that states that the endpoint leaves.
fn leaving_answer() -> Step {
    with_headers(200, "X-Response-Seal: s\r\nServer-Leaving: 1\r\n")
}

/// Keeps the registrations' connection to the store silent.
fn silence(store: &MemoryStore) {
    let silent = store.silent.clone();
    actix_rt::spawn(async move {
        loop {
            silent.set(true);
            sleep(Duration::from_millis(5)).await;
        }
    });
}

fn register(store: &MemoryStore, name: &str, endpoint: &Endpoint, started_ms: u64) {
    let value = json!({
        "service": "plain", "address": endpoint.address, "zone": "a", "version": "v1", "slots": 6,
        "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": started_ms,
    });
    store.put(Stream::Endpoints, name, &value);
}

/// Sends requests one after the other until a time; returns how many were served.
async fn send_until(entry: &Entry, until: Instant) -> usize {
    let mut served = 0;
    while Instant::now() < until {
        let got = entry.call("GET", "/safe/x", "", "").await;
        served += usize::from(got.starts_with("HTTP/1.1 200"));
        sleep(Duration::from_millis(20)).await;
    }
    served
}

/// An endpoint that said only in an answer that it leaves got requests as long as the store showed
/// its registration.
#[test]
fn store_silent() {
    run(async {
        let scripts = vec![vec![leaving_answer()], vec![answer(200, "x")]];
        let endpoint = Endpoint::start(scripts).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        silence(&entry.store);
        entry.call("GET", "/safe/x", "", "").await;
        let stated = Instant::now();
        let served = send_until(&entry, stated + DRAIN - SLACK).await;
        assert!(served > 10, "its service goes on until then: {served}");
        sleep_until(stated + DRAIN).await;
        let before = endpoint.count();
        send_until(&entry, stated + Duration::from_secs(10)).await;
        assert_eq!(endpoint.count(), before, "requests after the bound");
        let got = entry.call("POST", "/unsafe/x", "", "b").await;
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        assert_eq!(endpoint.count(), before, "requests on another route");
    });
}

/// An endpoint that leaves got as many requests as one that stays.
#[test]
fn last_choice() {
    run(async {
        let scripts = vec![vec![leaving_answer()], vec![answer(200, "x")]];
        let leaving = Endpoint::start(scripts).await;
        let staying = Endpoint::start(vec![vec![answer(200, "x")]]).await;
        let entry = Entry::start(&[&leaving], &[]).await;
        entry.call("GET", "/safe/x", "", "").await;
        entry.register("plain-1", "plain", staying.address);
        sleep(Duration::from_millis(500)).await;
        let served = send_until(&entry, Instant::now() + Duration::from_secs(1)).await;
        assert_eq!((leaving.count(), staying.count()), (1, served));
    });
}

/// Rejections, errors, misdirected, unsigned and stray answers state it too.
#[test]
fn every_answer() {
    let leaving = "Server-Leaving: 1\r\n";
    let stray = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nsErVeR-lEaViNg: 1\r\n\
                 Content-Length: 1\r\n\r\ny";
    let cases = vec![
        vec![with_headers(
            503,
            &format!("X-Not-Executed: 1\r\n{leaving}"),
        )],
        vec![with_headers(
            421,
            &format!("X-Not-Executed: 1\r\n{leaving}"),
        )],
        vec![with_headers(
            500,
            &format!("X-Response-Seal: s\r\n{leaving}"),
        )],
        vec![with_headers(
            404,
            &format!("X-Response-Seal: s\r\n{leaving}"),
        )],
        vec![with_headers(200, leaving)],
        vec![with_headers(
            200,
            &format!("X-Response-Seal: s\r\n{leaving}{leaving}"),
        )],
        vec![Step::Write(stray.into()), answer(200, "x")],
    ];
    run(async move {
        let checks = cases
            .into_iter()
            .enumerate()
            .map(|(case, script)| async move {
                let endpoint = Endpoint::start(vec![script, vec![answer(200, "x")]]).await;
                let entry = Entry::start(&[&endpoint], &[]).await;
                entry.call("GET", "/safe/once/x", "", "").await;
                sleep(DRAIN).await;
                let before = endpoint.count();
                send_until(&entry, Instant::now() + SLACK).await;
                assert_eq!(endpoint.count(), before, "case {case}");
            });
        join_all(checks).await;
    });
}

/// Only `1` states it; other values must not take an endpoint out of service.
#[test]
fn other_values() {
    let cases = ["0", "", "yes", "1.0", "NaN", "1e308", &"1".repeat(3000)].map(str::to_owned);
    run(async move {
        let checks = cases.into_iter().map(|value| async move {
            let headers = format!("X-Response-Seal: s\r\nServer-Leaving: {value}\r\n");
            let endpoint = Endpoint::start(vec![vec![with_headers(200, &headers)]]).await;
            let entry = Entry::start(&[&endpoint], &[]).await;
            let first = entry.call("GET", "/safe/x", "", "").await;
            assert!(first.starts_with("HTTP/1.1 200"), "{first}");
            sleep(DRAIN).await;
            let later = entry.call("GET", "/safe/x", "", "").await;
            assert!(later.starts_with("HTTP/1.1 200"), "{later}");
        });
        join_all(checks).await;
    });
}

/// The time counts from the head of a stream, and the stream itself is not cut.
#[test]
fn stream_head_counts() {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\
                    Server-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut script = vec![Step::Write(head.into())];
        for id in 1..=6 {
            script.push(chunk(&format!("id: {id}\ndata: x\n\n")));
            script.push(Step::Wait(500));
        }
        script.push(last_chunk());
        let endpoint = Endpoint::start(vec![script]).await;
        let entry = Rc::new(Entry::start(&[], &[&endpoint]).await);
        let (caller, ended) = (entry.clone(), Rc::new(Cell::new(false)));
        let done = ended.clone();
        actix_rt::spawn(async move {
            let headers = "X-Deadline-Ms: 9000\r\n";
            let text = crate::support::request("POST", "/paced/x", "", "b");
            let text = text.replace("X-Deadline-Ms: 2500\r\n", headers);
            let got = crate::support::send(caller.callers, &text).await;
            assert!(got.contains("id: 6") && got.ends_with("0\r\n\r\n"), "{got}");
            done.set(true);
        });
        sleep(DRAIN + SLACK).await;
        assert!(!ended.get(), "the stream goes on");
        entry.call("POST", "/paced/x", "", "b").await;
        assert_eq!(endpoint.count(), 1);
        eventually("the stream ends", || ended.get()).await;
    });
}

/// A registration that is renewed, or that ends and returns, is of the same boot; another start or
/// another endpoint at the address is not.
#[test]
fn new_boot_ends() {
    run(async {
        let scripts = vec![vec![leaving_answer()], vec![answer(200, "x")]];
        let endpoint = Endpoint::start(scripts).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        entry.call("GET", "/safe/x", "", "").await;
        sleep(DRAIN).await;
        for gone in [false, true] {
            if gone {
                entry.remove("plain-0");
                sleep(SLACK).await;
            }
            register(&entry.store, "plain-0", &endpoint, 1);
            sleep(SLACK).await;
            let before = endpoint.count();
            send_until(&entry, Instant::now() + SLACK).await;
            assert_eq!(endpoint.count(), before, "gone: {gone}");
        }
        for (name, started_ms) in [("plain-0", 2), ("plain-9", 1)] {
            entry.remove("plain-0");
            register(&entry.store, name, &endpoint, started_ms);
            sleep(SLACK).await;
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert!(got.starts_with("HTTP/1.1 200"), "{name}: {got}");
        }
    });
}

/// Idle connections to an endpoint that left stayed open until it closed them.
#[test]
fn idle_closed() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![leaving_answer(), Step::Hold]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        entry.call("GET", "/safe/x", "", "").await;
        let closed = endpoint.closed.clone();
        sleep(DRAIN + SLACK).await;
        assert!(closed.get(), "the idle connection is closed");
    });
}

/// The other entries must spare an endpoint that told only one of them that it leaves.
#[test]
fn peers_told() {
    run(async {
        let store = MemoryStore::default();
        let scripts = vec![vec![leaving_answer()], vec![answer(200, "x")]];
        let leaving = Endpoint::start(scripts).await;
        let entries = Entry::start_group(&store, 2);
        register(&store, "plain-0", &leaving, 1);
        entries[0].publish(&["key"]);
        for entry in &entries {
            entry.wait_ready().await;
        }
        sleep(SLACK).await;
        entries[0].call("GET", "/safe/x", "", "").await;
        let stated = Instant::now();
        sleep(SLACK).await;
        let within = entries[1].call("GET", "/safe/x", "", "").await;
        assert!(within.starts_with("HTTP/1.1 200"), "{within}");
        sleep_until(stated + DRAIN + SLACK).await;
        let before = leaving.count();
        let later = entries[1].call("GET", "/safe/x", "", "").await;
        assert!(later.starts_with("HTTP/1.1 503"), "{later}");
        assert_eq!(leaving.count(), before);
    });
}

/// Endpoints that leave could not be told from the metrics.
#[test]
fn leaving_gauge() {
    run(async {
        let leaving = Endpoint::start(vec![vec![leaving_answer()]]).await;
        let other = Endpoint::start(vec![vec![answer(200, "x")]]).await;
        let entry = Entry::start(&[&leaving, &other], &[]).await;
        let shows = async |count: usize| {
            let line = format!("cumin_leaving_endpoints {count}");
            metrics(&entry).await.lines().any(|shown| shown == line)
        };
        assert!(shows(0).await);
        while leaving.count() == 0 {
            entry.call("GET", "/safe/x", "", "").await;
        }
        let heard = Instant::now();
        while !shows(1).await {
            assert!(heard.elapsed() < Duration::from_secs(3), "not counted");
            sleep(Duration::from_millis(50)).await;
        }
    });
}
