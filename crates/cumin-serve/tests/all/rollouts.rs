//! Roll-outs on an entry: from the operator's order to the status in the store.

use std::time::Duration;

use cumin_entry::platform::Stream;
use cumin_entry::rollout::exposure::ExposeBounds;
use cumin_types::Millis;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::support::{Endpoint, Entry, MemoryStore, answer, body, run};

const BOUNDS: ExposeBounds = ExposeBounds {
    share: 0.1,
    slack: 50.0,
    rollback: Millis(5000),
};

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(10);

fn register(store: &MemoryStore, name: &str, version: &str, endpoint: &Endpoint) {
    let value = json!({
        "service": "plain", "address": endpoint.address, "zone": "a", "version": version,
        "slots": 6, "state": "ready", "born": 1,
    });
    store.put(Stream::Endpoints, name, &value);
}

fn order(store: &MemoryStore, target: &str, seconds: f64) {
    let value = json!({"service": "plain", "target": target, "duration_s": seconds});
    store.put(Stream::Document, "rollout/plain", &value);
}

fn state(store: &MemoryStore) -> String {
    let status = store.value(Stream::Status, "rollout/plain");
    let state = status.map(|status| status["state"].as_str().unwrap_or_default().to_owned());
    state.unwrap_or_default()
}

struct Site {
    store: MemoryStore,
    entry: Entry,
    old: [Endpoint; 2],
    new: [Endpoint; 2],
}

impl Site {
    /// Starts an entry with two endpoints of each version; the new ones answer with `status`.
    async fn start(status: u16) -> Self {
        let store = MemoryStore::default();
        let start = |status| Endpoint::start(vec![vec![answer(status, "ran")]]);
        let old = [start(200).await, start(200).await];
        let new = [start(status).await, start(status).await];
        for (number, endpoint) in old.iter().enumerate() {
            register(&store, &format!("old-{number}"), "v1", endpoint);
        }
        let entry = Entry::start_exposing(store.clone(), BOUNDS);
        entry.publish(&["key"]);
        entry.wait_ready().await;
        Self {
            store,
            entry,
            old,
            new,
        }
    }

    fn new_count(&self) -> usize {
        self.new.iter().map(Endpoint::count).sum()
    }

    /// Sends requests for a time or until `done`, and returns their number.
    async fn serve(&self, time: Duration, done: impl Fn() -> bool) -> usize {
        let end = Instant::now() + time;
        let mut count = 0;
        while Instant::now() < end && !done() {
            let got = self.entry.call("GET", "/safe/x", "", "").await;
            assert_eq!(body(&got), "ran", "{got}");
            count += 1;
            sleep(PAUSE).await;
        }
        count
    }
}

/// A version that answers with errors is rolled back within its bound, no caller notices it, and it
/// gets nothing afterwards. Its endpoints registered before the order arrived.
#[test]
fn failing_version() {
    run(async {
        let site = Site::start(500).await;
        site.serve(Duration::from_millis(300), || false).await;
        for (number, endpoint) in site.new.iter().enumerate() {
            register(&site.store, &format!("new-{number}"), "v2", endpoint);
        }
        site.serve(Duration::from_millis(500), || false).await;
        assert_eq!(site.new_count(), 0, "used before the order");
        order(&site.store, "v2", 60.0);
        let rolled_back = || state(&site.store) == "rolled_back";
        let count = site.serve(Duration::from_secs(30), rolled_back).await;
        assert!(rolled_back(), "{}", state(&site.store));
        let exposed = site.new_count();
        assert!(exposed * 10 <= count + 250, "{exposed} of {count}");
        site.serve(Duration::from_secs(1), || false).await;
        assert_eq!(site.new_count(), exposed, "used after the verdict");
    });
}

/// A good version gets the traffic and is completed in time; then the old one gets nothing.
#[test]
fn good_version() {
    run(async {
        let site = Site::start(200).await;
        order(&site.store, "v2", 12.0);
        for (number, endpoint) in site.new.iter().enumerate() {
            register(&site.store, &format!("new-{number}"), "v2", endpoint);
        }
        let completed = || state(&site.store) == "completed";
        site.serve(Duration::from_secs(12), completed).await;
        assert!(completed(), "{}", state(&site.store));
        let before: usize = site.old.iter().map(Endpoint::count).sum();
        site.serve(Duration::from_millis(500), || false).await;
        let after: usize = site.old.iter().map(Endpoint::count).sum();
        assert_eq!(before, after, "the old version was used after the verdict");
        let status = site.store.value(Stream::Status, "rollout/plain").unwrap();
        assert_eq!(status["target"], "v2");
    });
}

/// An order that can't be carried out is rolled back with a status, and the entry goes on: of an
/// unknown service, and without a duration. One that can't be read changes nothing.
#[test]
fn invalid_orders() {
    run(async {
        let site = Site::start(200).await;
        let put = |key: &str, value| site.store.put(Stream::Document, key, &value);
        put("rollout/plain", json!({"service": "other", "target": "v2"}));
        put("rollout/plain", json!(7));
        put(
            "rollout/nowhere",
            json!({"service": "nowhere", "target": "v2", "duration_s": 0}),
        );
        put(
            "rollout/plain",
            json!({"service": "plain", "target": "v9", "duration_s": "soon"}),
        );
        let rolled_back = || state(&site.store) == "rolled_back";
        site.serve(Duration::from_secs(10), rolled_back).await;
        assert!(rolled_back(), "{}", state(&site.store));
        let nowhere = site.store.value(Stream::Status, "rollout/nowhere");
        assert_eq!(nowhere.unwrap()["state"], "rolled_back");
        site.serve(Duration::from_millis(300), || false).await;
    });
}
