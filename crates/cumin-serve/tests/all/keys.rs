//! Refusals that depend on keys, routes and documents.

use std::time::Duration;

use tokio::time::sleep;

use crate::support::{Endpoint, Entry, answer, body, eventually, request, run, send};

/// Without a document a route is not known to be missing, so the answer is 503, not 404.
#[test]
fn no_document() {
    run(async {
        let entry = Entry::start_bare();
        sleep(Duration::from_millis(100)).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    });
}

/// Requests with an unknown key or route are refused and reach no endpoint.
#[test]
fn unknown() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let wrong = request("GET", "/safe/x", "", "").replace("Bearer key", "Bearer other");
        let got = send(entry.callers, &wrong).await;
        assert!(got.starts_with("HTTP/1.1 401"), "{got}");
        let got = entry.call("GET", "/nowhere/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 404"), "{got}");
        assert_eq!(endpoint.count(), 0);
    });
}

/// Headers that the entry sets must not be taken from the caller, and the key must not reach the
/// endpoint.
#[test]
fn set_by_entry() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        let forged = "X-Tenant: someone\r\nX-Hold: h1\r\nX-Pin-Ms: 9\r\nKv-From: 1.2.3.4:5/x\r\n\
                      X-Model: m\r\nX-Custom: kept\r\n";
        entry.call("GET", "/safe/x?q=1", forged, "").await;
        let received = endpoint.received.borrow();
        let received = &received[0];
        assert!(
            received.head.starts_with("GET /safe/x?q=1 HTTP/1.1"),
            "{received:?}"
        );
        assert_eq!(received.header("x-tenant").as_deref(), Some("org"));
        assert_eq!(
            received.header("x-target-instance").as_deref(),
            Some("plain-0")
        );
        assert_eq!(received.header("x-attempt-id").as_deref(), Some("abc123"));
        assert_eq!(received.header("x-model").as_deref(), Some("m"));
        assert_eq!(received.header("x-custom").as_deref(), Some("kept"));
        for name in [
            "authorization",
            "x-hold",
            "x-pin-ms",
            "kv-from",
            "connection",
        ] {
            assert_eq!(received.header(name), None, "{name}");
        }
        let left: u64 = received.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(left <= 2500 && left > 2000, "{left}");
    });
}

/// An entry that cannot reach the store must not accept keys beyond the bound, since they may have
/// been removed.
#[test]
fn revoked_unreachable() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        assert_eq!(body(&entry.call("GET", "/safe/x", "", "").await), "ok");
        entry.store.down.set(true);
        // `Bounds::revoke` is 2.5 s in these tests.
        sleep(Duration::from_millis(2500)).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        entry.store.down.set(false);
        entry.wait_ready().await;
        assert_eq!(body(&entry.call("GET", "/safe/x", "", "").await), "ok");
    });
}

/// Requests that were refused because the document is too old are served 3 s after the store's
/// return, without any request meanwhile: the users' time to act on what the store holds.
#[test]
fn stale_document_ends() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]; 40]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        entry.store.down.set(true);
        // `Bounds::revoke_limit` is 2.5 s in these tests.
        sleep(Duration::from_millis(4500)).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 503"), "{got}");
        entry.store.down.set(false);
        sleep(Duration::from_secs(3)).await;
        let mut served = 0;
        for _ in 0..20 {
            let got = entry.call("GET", "/safe/x", "", "").await;
            served += u32::from(got.starts_with("HTTP/1.1 200"));
        }
        assert!(served > 18, "{served} of 20");
    });
}

/// A key that a new document removes is refused at once.
#[test]
fn key_removed() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(200, "ok")]]).await;
        let entry = Entry::start(&[&endpoint], &[]).await;
        entry.publish(&["another"]);
        sleep(Duration::from_millis(200)).await;
        let got = entry.call("GET", "/safe/x", "", "").await;
        assert!(got.starts_with("HTTP/1.1 401"), "{got}");
    });
}

/// The route with the longest matching prefix applies.
#[test]
fn longest_prefix() {
    run(async {
        let endpoint = Endpoint::start(vec![vec![answer(500, "no")]]).await;
        let other = Endpoint::start(vec![vec![answer(500, "no")]]).await;
        let entry = Entry::start(&[&endpoint, &other], &[]).await;
        entry.call("GET", "/safe/once/x", "", "").await;
        assert_eq!(endpoint.count() + other.count(), 1);
        entry.call("GET", "/safe/x", "", "").await;
        let retried = || endpoint.count() + other.count() == 3;
        eventually("the idempotent request is sent twice", retried).await;
    });
}
