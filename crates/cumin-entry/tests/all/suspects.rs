//! Requests that crash their endpoints.

use cumin_entry::suspects::{CRASH_LIMIT, Fingerprint, Suspects};
use cumin_types::Millis;

/// Crashes an endpoint at `now` while it runs the requests `fingerprints`.
fn crash(suspects: &mut Suspects, endpoint: &str, fingerprints: &[Fingerprint], now: Millis) {
    for fingerprint in fingerprints {
        suspects.attempt_broke(&endpoint.into(), 1, *fingerprint, now);
    }
    suspects.endpoint_unreachable(&endpoint.into(), now.plus(100));
}

/// Delivers the digests of all nodes to all nodes.
fn exchange(nodes: &mut [Suspects], now: Millis) {
    let stated: Vec<_> = nodes.iter().map(|node| node.stated(now)).collect();
    for node in nodes {
        for stated in &stated {
            node.merge_peer(stated, now);
        }
    }
}

/// A request that crashed one endpoint at each of three nodes reaches the limit at all of them.
#[test]
fn over_nodes() {
    let poison = Fingerprint::new("org", "/path", b"poison");
    let mut nodes: [Suspects; 3] = Default::default();
    let now = Millis(1000);
    for (index, node) in nodes.iter_mut().enumerate() {
        crash(node, &format!("e{index}"), &[poison], now);
    }
    assert!(nodes[0].crashes(poison, now) < CRASH_LIMIT);
    exchange(&mut nodes, now);
    exchange(&mut nodes, now);
    assert!(
        nodes
            .iter()
            .all(|node| node.crashes(poison, now) == CRASH_LIMIT)
    );
}

/// Identical look-ups from four nodes were in progress at one endpoint; its single crash counted
/// four times, and the look-ups were refused for minutes (soak, seed 143).
#[test]
fn one_crash() {
    let look_up = Fingerprint::new("org", "/path", b"");
    let mut nodes: [Suspects; 4] = Default::default();
    let now = Millis(1000);
    for node in &mut nodes {
        crash(node, "e", &[look_up], now);
    }
    exchange(&mut nodes, now);
    assert!(nodes.iter().all(|node| node.crashes(look_up, now) == 1));
}

/// Crashes of several starts under the same name count separately.
#[test]
fn same_name() {
    let poison = Fingerprint::new("org", "/path", b"poison");
    let mut suspects = Suspects::default();
    for started_ms in 1..=3 {
        let now = Millis(started_ms * 1000);
        suspects.attempt_broke(&"e".into(), started_ms, poison, now);
        suspects.endpoint_unreachable(&"e".into(), now.plus(100));
    }
    assert_eq!(suspects.crashes(poison, Millis(4000)), CRASH_LIMIT);
}

/// Requests that ran beside the one that crashes the endpoints are cleared at all nodes once they
/// complete at any node.
#[test]
fn innocent() {
    let poison = Fingerprint::new("org", "/path", b"poison");
    let good = Fingerprint::new("org", "/path", b"good");
    let mut nodes: [Suspects; 3] = Default::default();
    for round in 0..3 {
        let now = Millis(1000 * (round + 1));
        let endpoint = format!("e{round}");
        crash(&mut nodes[0], &endpoint, &[poison, good], now);
        exchange(&mut nodes, now);
        nodes[1].completed(good, now);
        exchange(&mut nodes, now);
    }
    let now = Millis(4000);
    assert!(nodes.iter().all(|node| node.crashes(good, now) == 0));
    assert!(
        nodes
            .iter()
            .all(|node| node.crashes(poison, now) == CRASH_LIMIT)
    );
}

/// Nodes that repeat a suspect to each other must not keep it from expiring.
#[test]
fn lapses() {
    let fingerprint = Fingerprint::new("org", "/path", b"x");
    let mut nodes: [Suspects; 2] = Default::default();
    crash(&mut nodes[0], "e", &[fingerprint], Millis(1000));
    for second in 1..200 {
        exchange(&mut nodes, Millis(second * 1000));
    }
    let now = Millis(200_000);
    assert!(nodes.iter().all(|node| node.crashes(fingerprint, now) == 0));
    assert!(nodes.iter().all(|node| node.stated(now).is_empty()));
}

/// A broken connection makes no suspect unless the endpoint is unreachable soon after.
#[test]
fn no_crash() {
    let fingerprint = Fingerprint::new("org", "/path", b"x");
    let mut suspects = Suspects::default();
    suspects.attempt_broke(&"e1".into(), 1, fingerprint, Millis(1000));
    let late = suspects.endpoint_unreachable(&"e1".into(), Millis(9000));
    assert!(late.is_empty());
    assert_eq!(suspects.crashes(fingerprint, Millis(9000)), 0);
}

/// Requests that differ in organisation, path or body must have different fingerprints.
#[test]
fn told_apart() {
    let fingerprint = Fingerprint::new("org", "/path", b"x");
    assert_ne!(fingerprint, Fingerprint::new("other", "/path", b"x"));
    assert_ne!(fingerprint, Fingerprint::new("org", "/other", b"x"));
    assert_ne!(fingerprint, Fingerprint::new("org", "/path", b"y"));
}
