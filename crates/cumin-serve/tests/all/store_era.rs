//! A store that returns with an older copy of its records, in a new era.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cumin_entry::platform::Stream;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::support::{
    Endpoint, Entry, LIMIT, MemoryCloud, MemoryStore, answer, body, eventually, get, request, run,
    send,
};

/// Sends a request with a key and returns the status.
async fn status(entry: &Entry, key: &str) -> String {
    let text = request("GET", "/safe/x", "", "").replace("Bearer key", &format!("Bearer {key}"));
    let got = send(entry.callers, &text).await;
    got.get(9..12).unwrap_or_default().to_owned()
}

/// Starts an entry whose store states an era.
async fn start_stated(endpoint: &Endpoint) -> Entry {
    let store = MemoryStore::default();
    store.set_era(1);
    let entry = Entry::start_on(store);
    entry.register("plain-0", "plain", endpoint.address);
    entry.publish(&["key"]);
    entry.wait_ready().await;
    entry
}

/// The copy holds an older document, in which a key that was removed since is valid. The key must
/// stay refused, and the valid key must be served, until the operator has written the document
/// again.
#[test]
fn removed_key() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = start_stated(&endpoint).await;
        entry.publish(&["key", "removed"]);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(status(&entry, "removed").await, "200");
        let copy = entry.store.copy();
        entry.publish(&["key"]);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(status(&entry, "removed").await, "401");
        let newest = entry.store.copy();
        entry.store.restore(copy);
        let restored = Instant::now();
        while restored.elapsed() < Duration::from_millis(1500) {
            assert_eq!(status(&entry, "removed").await, "401");
            assert_eq!(status(&entry, "key").await, "200");
            sleep(Duration::from_millis(50)).await;
        }
        let document = newest.iter().rev().find(|(s, _)| *s == Stream::Document);
        let value = document.unwrap().1.value.clone().unwrap();
        let value: serde_json::Value = serde_json::from_slice(&value).unwrap();
        entry.store.put(Stream::Document, "config", &value);
        let written = Instant::now();
        while written.elapsed() < Duration::from_secs(3) {
            // With a copy that is older than 2 s, a key that is not known is refused with 503.
            assert_ne!(status(&entry, "removed").await, "200");
            assert_eq!(status(&entry, "key").await, "200");
            sleep(Duration::from_millis(100)).await;
        }
    });
}

/// After a loss, an older document may be written again behind a newer one: the newer one must come
/// into force although it is not the last of its page (soak seed 102).
#[test]
fn older_written_last() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = start_stated(&endpoint).await;
        let copy = entry.store.copy();
        entry.publish(&["key", "removed"]);
        sleep(Duration::from_millis(200)).await;
        let older = entry.store.values(Stream::Document)["config"].clone();
        let older = serde_json::from_slice(&older).unwrap();
        entry.store.restore(copy);
        sleep(Duration::from_millis(200)).await;
        entry.publish(&["key"]);
        entry.store.put(Stream::Document, "config", &older);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(status(&entry, "removed").await, "401");
        assert_eq!(status(&entry, "key").await, "200");
    });
}

/// If nobody writes the newest document again, the older copy must not pass for a proof that keys
/// are valid.
#[test]
fn no_proof() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = start_stated(&endpoint).await;
        let copy = entry.store.copy();
        entry.publish(&["key", "another"]);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(status(&entry, "another").await, "200");
        entry.store.restore(copy);
        // `Bounds::revoke_limit` is 2.5 s in these tests, and a read may still be in progress.
        sleep(Duration::from_millis(4500)).await;
        assert_eq!(status(&entry, "another").await, "503");
    });
}

/// An endpoint that registered after the copy was made gets requests all the time, and so does one
/// whose records got other offsets; one that left stays out although the copy shows it.
#[test]
fn endpoints_kept() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let left = Endpoint::start(vec![vec![answer(200, "left")]]).await;
        let entry = start_stated(&endpoint).await;
        let store = &entry.store;
        entry.remove("plain-0");
        entry.register("plain-1", "plain", left.address);
        sleep(Duration::from_millis(300)).await;
        let copy = store.copy();
        let draining = json!({
            "service": "plain", "address": left.address, "zone": "a", "version": "v1", "slots": 6,
            "state": "draining", "cold_remaining_ms": 0, "sequence": 2, "born": 1,
        });
        store.put(Stream::Endpoints, "plain-1", &draining);
        entry.register("plain-2", "plain", endpoint.address);
        sleep(Duration::from_millis(500)).await;
        let sent = left.count();
        assert_eq!(body(&entry.call("GET", "/safe/x", "", "").await), "ok");
        store.restore(copy);
        // Other records take the offsets that the entry has read.
        for _ in 0..5 {
            entry.register("engine-9", "engine", endpoint.address);
        }
        let restored = Instant::now();
        while restored.elapsed() < Duration::from_secs(4) {
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert_eq!(body(&got), "ok", "after {:?}", restored.elapsed());
            sleep(Duration::from_millis(50)).await;
            if restored.elapsed() > Duration::from_millis(1200) {
                entry.register("plain-2", "plain", endpoint.address);
            }
        }
        assert_eq!(left.count(), sent, "requests to an endpoint that left");
    });
}

/// A quarantined suspect that only live entries remember must be in the store again, or it would
/// crash three more endpoints after a restart of all entries.
#[test]
fn quarantined_again() {
    run(async {
        let store = MemoryStore::default();
        store.set_era(1);
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let crashes = [1, 2, 3].map(|crash| json!([crash, []]));
        let part = json!({"part": 171, "crashes": crashes, "cleared": [], "age": 0});
        let value = json!({
            "suspect": {"requests": [], "parts": [part]},
            "written": u64::try_from(wall.as_millis()).unwrap(),
        });
        store.put(Stream::Quarantine, "part:ab", &value);
        let entries = Entry::start_group(&store, 2);
        entries[0].publish(&["key"]);
        for entry in &entries {
            entry.wait_ready().await;
            let metrics = || get(entry.metrics, "/metrics");
            let known = async {
                while !metrics().await.contains("cumin_quarantined 1") {
                    sleep(Duration::from_millis(20)).await;
                }
            };
            timeout(LIMIT, known).await.expect("the suspect is known");
        }
        store.restore(Vec::new());
        let stored = || store.values(Stream::Quarantine).contains_key("part:ab");
        eventually("the suspect is in the store again", stored).await;
        sleep(Duration::from_millis(1500)).await;
        let records = store.copy();
        let written = records.iter().filter(|(s, _)| *s == Stream::Quarantine);
        assert_eq!(written.count(), 1, "one entry writes it");
    });
}

/// Whatever the store has lost, a window is reported with one count, a token is used by one entry,
/// tokens rise, and reports go on within the users' time.
#[test]
fn reports_go_on() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let (store, cloud) = (MemoryStore::default(), MemoryCloud::default());
        store.set_era(1);
        let entries = Entry::start_reporting(&store, 3, Some(&cloud));
        entries[0].register("plain-0", "plain", endpoint.address);
        entries[0].publish(&["key"]);
        for entry in &entries {
            entry.wait_ready().await;
        }
        let started = Instant::now();
        let mut copies = VecDeque::new();
        let mut restores = [5000, 7000, 7300, 9000, 11_000].into_iter().peekable();
        let ages = [0, 1000, 1000, 5000, 2000].into_iter();
        let mut ages = ages.map(Duration::from_millis);
        while started.elapsed() < Duration::from_secs(17) {
            let now = started.elapsed();
            copies.push_back((now, store.copy()));
            if restores.peek().is_some_and(|at| now.as_millis() >= *at) {
                restores.next();
                let oldest = now.saturating_sub(ages.next().unwrap());
                copies.retain(|(at, _)| *at <= oldest);
                let (_, copy) = copies.pop_back().unwrap();
                store.restore(copy);
            }
            for entry in &entries {
                assert_eq!(body(&entry.call("GET", "/safe/x", "", "").await), "ok");
            }
            if now.as_millis().is_multiple_of(4) {
                entries[0].register("plain-0", "plain", endpoint.address);
            }
            sleep(Duration::from_millis(50)).await;
        }
        let reports = cloud.reports.borrow();
        let (mut counts, mut authors) = (BTreeMap::new(), BTreeMap::new());
        let mut newest = reports[0].0;
        for (token, author, window, sent) in reports.iter() {
            assert_eq!(
                counts.entry(*window).or_insert(sent),
                &sent,
                "window {window}"
            );
            assert_eq!(
                authors.entry(*token).or_insert(author),
                &author,
                "token {token}"
            );
            assert!(*token >= newest, "{token} after {newest}");
            newest = *token;
        }
        let windows: Vec<u64> = counts.keys().copied().collect();
        let last = windows.last().unwrap();
        let reported = windows.iter().filter(|window| *window + 10 > *last);
        assert_eq!(reported.count(), 10, "{windows:?}");
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        assert!(
            wall.as_secs() - last < 6,
            "the last report is of window {last}"
        );
        // Between two restores that are 300 ms apart no report need be made.
        assert!(authors.len() >= 5, "a token for each era: {authors:?}");
    });
}

/// Each entry writes its address again, or entries that start later would not find it.
#[test]
fn announced_again() {
    run(async {
        let store = MemoryStore::default();
        store.set_era(1);
        let _entries = Entry::start_group(&store, 2);
        let announced = || store.values(Stream::Entries).len() == 2;
        eventually("both entries are announced", announced).await;
        for _ in 0..2 {
            store.restore(Vec::new());
            // Twice within a second.
            sleep(Duration::from_millis(300)).await;
        }
        eventually("both entries are announced again", announced).await;
    });
}
