//! Requests that crash their endpoints.

use cumin_entry::suspects::{CRASHES, Print, Suspects};
use cumin_types::Millis;

/// An endpoint ends at `now` while it runs `prints`.
fn crash(suspects: &mut Suspects, endpoint: &str, prints: &[Print], now: Millis) {
    for print in prints {
        suspects.broke(&endpoint.into(), 1, *print, now);
    }
    suspects.unreachable(&endpoint.into(), now.plus(100));
}

/// Has each node hear what the others state.
fn tell(nodes: &mut [Suspects], now: Millis) {
    let stated: Vec<_> = nodes.iter().map(|node| node.stated(now)).collect();
    for node in nodes {
        for stated in &stated {
            node.peer(stated, now);
        }
    }
}

/// A request that crashed three endpoints, at three nodes, is known at each of them.
#[test]
fn over_nodes() {
    let poison = Print::of("org", "/path", b"poison");
    let mut nodes: [Suspects; 3] = Default::default();
    let now = Millis(1000);
    for (index, node) in nodes.iter_mut().enumerate() {
        crash(node, &format!("e{index}"), &[poison], now);
    }
    assert!(nodes[0].crashes(poison, now) < CRASHES);
    tell(&mut nodes, now);
    tell(&mut nodes, now);
    assert!(
        nodes
            .iter()
            .all(|node| node.crashes(poison, now) == CRASHES)
    );
}

/// Soak seed 143: look-ups that are all alike were under way at an endpoint from each of four
/// nodes; its one crash counted four times, and they were refused for minutes.
#[test]
fn one_crash() {
    let look_up = Print::of("org", "/path", b"");
    let mut nodes: [Suspects; 4] = Default::default();
    let now = Millis(1000);
    for node in &mut nodes {
        crash(node, "e", &[look_up], now);
    }
    tell(&mut nodes, now);
    assert!(nodes.iter().all(|node| node.crashes(look_up, now) == 1));
}

/// A start under the same name crashes anew.
#[test]
fn same_name() {
    let poison = Print::of("org", "/path", b"poison");
    let mut suspects = Suspects::default();
    for born in 1..=3 {
        let now = Millis(born * 1000);
        suspects.broke(&"e".into(), born, poison, now);
        suspects.unreachable(&"e".into(), now.plus(100));
    }
    assert_eq!(suspects.crashes(poison, Millis(4000)), CRASHES);
}

/// Requests that were beside it and completed later, at any node, are cleared at all nodes.
#[test]
fn innocent() {
    let poison = Print::of("org", "/path", b"poison");
    let good = Print::of("org", "/path", b"good");
    let mut nodes: [Suspects; 3] = Default::default();
    for round in 0..3 {
        let now = Millis(1000 * (round + 1));
        let endpoint = format!("e{round}");
        crash(&mut nodes[0], &endpoint, &[poison, good], now);
        tell(&mut nodes, now);
        nodes[1].done(good, now);
        tell(&mut nodes, now);
    }
    let now = Millis(4000);
    assert!(nodes.iter().all(|node| node.crashes(good, now) == 0));
    assert!(
        nodes
            .iter()
            .all(|node| node.crashes(poison, now) == CRASHES)
    );
}

/// Nodes that tell each other of a suspect don't keep it alive.
#[test]
fn lapses() {
    let print = Print::of("org", "/path", b"x");
    let mut nodes: [Suspects; 2] = Default::default();
    crash(&mut nodes[0], "e", &[print], Millis(1000));
    for second in 1..200 {
        tell(&mut nodes, Millis(second * 1000));
    }
    let now = Millis(200_000);
    assert!(nodes.iter().all(|node| node.crashes(print, now) == 0));
    assert!(nodes.iter().all(|node| node.stated(now).is_empty()));
}

/// A broken connection to an endpoint that lives on makes no suspect.
#[test]
fn no_crash() {
    let print = Print::of("org", "/path", b"x");
    let mut suspects = Suspects::default();
    suspects.broke(&"e1".into(), 1, print, Millis(1000));
    let late = suspects.unreachable(&"e1".into(), Millis(9000));
    assert!(late.is_empty());
    assert_eq!(suspects.crashes(print, Millis(9000)), 0);
}

/// Another caller, path or body is another request.
#[test]
fn told_apart() {
    let print = Print::of("org", "/path", b"x");
    assert_ne!(print, Print::of("other", "/path", b"x"));
    assert_ne!(print, Print::of("org", "/other", b"x"));
    assert_ne!(print, Print::of("org", "/path", b"y"));
}
