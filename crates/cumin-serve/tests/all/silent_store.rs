//! Connections to the store that go silent while the store goes on serving.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{Instant, sleep, sleep_until};

use crate::support::{Endpoint, Entry, HEARTBEAT, Step, answer, run};

/// Time after which a node whose connections went silent must act on what the store holds; the
/// users' figure.
const CONTACT: Duration = Duration::from_secs(3);

/// Requests at a time, more than one endpoint has slots.
const CALLERS: usize = 10;

/// Renews a registration until `left` is set, then removes it.
async fn renew(entry: Rc<Entry>, name: &'static str, at: Rc<Endpoint>, left: Rc<Cell<bool>>) {
    loop {
        entry.register(name, "plain", at.address);
        let renewed = Instant::now();
        while renewed.elapsed() < HEARTBEAT.duration() {
            if left.get() {
                entry.remove(name);
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Sends requests, so many at a time that no endpoint is left out.
async fn send_requests(entry: &Entry) {
    for _ in 0..10 {
        let answers = join_all((0..CALLERS).map(|_| entry.call("GET", "/safe/x", "", ""))).await;
        let refused = answers.iter().find(|got| !got.starts_with("HTTP/1.1 200"));
        assert_eq!(refused, None);
    }
}

/// An endpoint that left while its entry's connection to the store was silent was kept for two more
/// seconds, as if the store had been away.
#[test]
fn endpoint_leaves() {
    run(async {
        let script = vec![Step::Wait(100), answer(200, "x")];
        let staying = Rc::new(Endpoint::start(vec![script.clone()]).await);
        let leaving = Rc::new(Endpoint::start(vec![script]).await);
        let entry = Rc::new(Entry::start(&[&staying, &leaving], &[]).await);
        let left = Rc::new(Cell::new(false));
        let stays = Rc::new(Cell::new(false));
        actix_rt::spawn(renew(entry.clone(), "plain-0", staying.clone(), stays));
        actix_rt::spawn(renew(
            entry.clone(),
            "plain-1",
            leaving.clone(),
            left.clone(),
        ));
        send_requests(&entry).await;
        assert!(leaving.count() > 0, "both endpoints are used");
        let silenced = Instant::now();
        entry.store.silent.set(true);
        sleep(Duration::from_millis(100)).await;
        left.set(true);
        sleep_until(silenced + CONTACT).await;
        let (before, served) = (leaving.count(), staying.count());
        send_requests(&entry).await;
        assert_eq!(leaving.count(), before, "requests to an endpoint that left");
        assert_eq!(staying.count(), served + 10 * CALLERS);
    });
}
