//! Registrations of endpoints, also around an outage of the store.

use cumin_entry::fleet::{Change, Fleet, LAPSE_GRACE, read_pause};
use cumin_types::Millis;

use crate::{endpoint, engines};

fn usable(fleet: &Fleet, now: Millis) -> Vec<String> {
    let service = engines();
    let names = fleet.usable(&service, now).map(|e| e.name.to_string());
    names.collect()
}

/// Registrations that expired during an outage of the store must not empty the fleet afterwards.
#[test]
fn lapse_kept() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("e1"));
    fleet.store_regained(Millis(1000));
    let change = fleet.unregister(&"e1".into(), Millis(1100));
    assert_eq!(change, Change::Lapsed("e1".into()));
    assert_eq!(usable(&fleet, Millis(1200)), ["e1"]);
    assert_eq!(
        fleet.register(endpoint("e1")),
        Change::Returned("e1".into())
    );
    assert_eq!(usable(&fleet, Millis(60_000)), ["e1"]);
}

/// An endpoint that left right after an outage got a request 2.1 s later, because its lapse was
/// checked only when the store returned records (hackbrett trouble-1, seed 668587006703).
#[test]
fn lapse_ends() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("e1"));
    fleet.store_regained(Millis(1000));
    fleet.unregister(&"e1".into(), Millis(1100));
    let end = Millis(1000).plus(LAPSE_GRACE.0);
    assert_eq!(usable(&fleet, Millis(end.0 - 1)), ["e1"]);
    assert!(usable(&fleet, end).is_empty());
}

/// Without an outage, a removed registration is dropped at once.
#[test]
fn removal_counts() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("e1"));
    let change = fleet.unregister(&"e1".into(), Millis(1100));
    assert_eq!(change, Change::Gone("e1".into()));
    assert!(usable(&fleet, Millis(1100)).is_empty());
}

/// A draining endpoint is gone as soon as its registration ends, even after an outage.
#[test]
fn draining_goes() {
    let mut fleet = Fleet::default();
    let mut leaving = endpoint("e1");
    fleet.register(leaving.clone());
    leaving.draining = true;
    assert_eq!(fleet.register(leaving), Change::Draining("e1".into()));
    fleet.store_regained(Millis(1000));
    let change = fleet.unregister(&"e1".into(), Millis(1100));
    assert_eq!(change, Change::Gone("e1".into()));
}

/// An endpoint that a full listing lacks is unregistered.
#[test]
fn listing_removes() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("e1"));
    fleet.register(endpoint("e2"));
    let changes = fleet.apply_listing(vec![endpoint("e2")], Millis(5));
    assert_eq!(changes, [Change::Gone("e1".into())]);
}

/// Each of 26 nodes read the registrations as often as each of 4, so the rate of calls to the store
/// grew with the number of nodes.
#[test]
fn reads_stay_few() {
    let drain = Millis(3000);
    let calls = |nodes: usize| 1000 * nodes as u64 / read_pause(nodes, drain).0;
    assert!(calls(4) <= 20, "{}", calls(4));
    assert!(calls(16) <= 20, "{}", calls(16));
    assert!(calls(37) <= 47, "{}", calls(37));
    // The time limit for draining endpoints takes precedence.
    assert!(read_pause(330, Millis(1200)) <= Millis(400));
    assert!(read_pause(330, drain) <= Millis(1000));
}

/// All endpoints lapsed after an outage and expired without a request: each is used from its next
/// registration on, also if its removal came meanwhile.
#[test]
fn all_lapsed() {
    for removed in [false, true] {
        let mut fleet = Fleet::default();
        let names = ["e1", "e2", "e3"];
        for name in names {
            fleet.register(endpoint(name));
        }
        fleet.store_regained(Millis(1000));
        for name in names {
            fleet.unregister(&name.into(), Millis(1100));
        }
        assert!(usable(&fleet, Millis(60_000)).is_empty());
        if removed {
            fleet.remove_expired(Millis(60_000));
        }
        for name in names {
            fleet.register(endpoint(name));
        }
        assert_eq!(usable(&fleet, Millis(60_000)), names);
    }
}
