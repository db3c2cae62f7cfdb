//! Endpoints that have stated that they leave.

use cumin_entry::fleet::{Fleet, LAPSE_GRACE};
use cumin_entry::leaving::StatedLeaving;
use cumin_entry::selection::{Choice, Need, Selector, SelectorOptions};
use cumin_types::Millis;

use crate::{endpoint, engines};

const UNTIL: Millis = Millis(2000);

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("e1"));
    fleet
}

/// Records the statement of the endpoint's first start.
fn state(fleet: &mut Fleet, until: Millis) -> bool {
    fleet.leaving_stated(&"e1".into(), 1, until, Millis(10))
}

/// Returns whether requests may be sent to the endpoint.
fn accepted(fleet: &Fleet, now: Millis) -> bool {
    let service = engines();
    let usable = fleet.usable(&service, now).count() > 0;
    assert_eq!(usable, fleet.accepts(&"e1".into(), now));
    usable
}

/// An endpoint may get requests until its time is over, and none from then on.
#[test]
fn time_ends() {
    let mut fleet = fleet();
    assert!(state(&mut fleet, UNTIL));
    assert!(accepted(&fleet, Millis(UNTIL.0 - 1)));
    assert!(!accepted(&fleet, UNTIL));
}

/// A later statement, such as that of each further answer, must not extend the time.
#[test]
fn earliest_counts() {
    let mut fleet = fleet();
    state(&mut fleet, UNTIL);
    assert!(!state(&mut fleet, Millis(9000)));
    assert!(!accepted(&fleet, UNTIL));
    assert!(state(&mut fleet, Millis(1000)));
    assert!(!accepted(&fleet, Millis(1000)));
}

/// What the store shows later of the same start does not take a statement back.
#[test]
fn store_ignored() {
    let mut fleet = fleet();
    state(&mut fleet, UNTIL);
    fleet.register(endpoint("e1"));
    assert!(!accepted(&fleet, UNTIL));
    fleet.apply_listing(vec![endpoint("e1")], Millis(100));
    assert!(!accepted(&fleet, UNTIL));
    fleet.store_regained(Millis(1000));
    fleet.unregister(&"e1".into(), Millis(1000));
    assert!(!accepted(&fleet, UNTIL), "in the grace after an outage");
    fleet.remove_expired(Millis(1000 + LAPSE_GRACE.0));
    fleet.register(endpoint("e1"));
    assert!(!accepted(&fleet, Millis(300_000)), "registered again");
}

/// An endpoint that began to drain got requests again when an older record was read.
#[test]
fn draining_stays() {
    let mut fleet = fleet();
    let mut draining = endpoint("e1");
    draining.draining = true;
    fleet.register(draining);
    fleet.apply_listing(vec![endpoint("e1")], Millis(100));
    assert!(!accepted(&fleet, Millis(101)));
    assert!(fleet.get(&"e1".into()).unwrap().draining);
}

/// Another start of the endpoint, or another endpoint, is not concerned; statements of an earlier
/// start that arrive late are not either.
#[test]
fn restart_ends() {
    let mut fleet = fleet();
    state(&mut fleet, UNTIL);
    let mut restarted = endpoint("e1");
    restarted.started_ms = 2;
    fleet.register(restarted);
    assert!(accepted(&fleet, Millis(9000)));
    state(&mut fleet, Millis(0));
    assert!(accepted(&fleet, Millis(9000)));
    fleet.register(endpoint("e2"));
    assert!(fleet.accepts(&"e2".into(), Millis(9000)));
}

/// Peers are told the time that is left, of the registered endpoints.
#[test]
fn time_left_stated() {
    let mut fleet = fleet();
    assert!(fleet.stated_leaving(Millis(0)).is_empty());
    state(&mut fleet, UNTIL);
    let stated = |left| StatedLeaving {
        endpoint: "e1".into(),
        started_ms: 1,
        left,
    };
    assert_eq!(fleet.stated_leaving(Millis(500)), [stated(Millis(1500))]);
    assert_eq!(fleet.stated_leaving(Millis(9000)), [stated(Millis(0))]);
    fleet.unregister(&"e1".into(), Millis(9000));
    assert!(fleet.stated_leaving(Millis(9000)).is_empty());
}

/// An endpoint that leaves counts as lost for the planning of engines at once.
#[test]
fn loss_planned() {
    let mut fleet = fleet();
    let version = fleet.version();
    state(&mut fleet, UNTIL);
    assert!(fleet.version() > version, "a new plan is made");
    let planned = fleet.planned(&engines());
    assert!(planned[0].draining);
}

/// Statements of endpoints that are gone for good must not pile up.
#[test]
fn forgotten_late() {
    let mut fleet = fleet();
    state(&mut fleet, UNTIL);
    fleet.unregister(&"e1".into(), Millis(100));
    fleet.remove_expired(Millis(700_000));
    fleet.register(endpoint("e1"));
    assert!(accepted(&fleet, Millis(700_001)));
}

/// An endpoint that leaves got requests although another one could be used.
#[test]
fn last_choice() {
    let mut fleet = fleet();
    fleet.register(endpoint("e2"));
    state(&mut fleet, UNTIL);
    let mut selector = Selector::new(SelectorOptions::default());
    let need = Need {
        goal_left: Millis(1000),
        time_left: Millis(5000),
        ..Need::default()
    };
    let choose =
        |selector: &mut Selector, now| match selector.choose(&fleet, &engines(), &need, &[], now) {
            Choice::Use { endpoint, .. } => Some(endpoint.to_string()),
            _ => None,
        };
    for _ in 0..20 {
        assert_eq!(choose(&mut selector, Millis(20)).as_deref(), Some("e2"));
    }
    selector.connection_failed(&"e2".into(), Millis(20));
    assert_eq!(choose(&mut selector, Millis(21)).as_deref(), Some("e1"));
    assert_eq!(choose(&mut selector, UNTIL).as_deref(), Some("e2"));
}
