//! Decisions on roll-outs.

use std::sync::Arc;

use cumin_entry::era::Era;
use cumin_entry::rollout::evidence::Outcome;
use cumin_entry::rollout::exposure::ExposeBounds;
use cumin_entry::rollout::{
    Assignment, Candidate, RolloutOptions, RolloutState, Rollouts, Situation, Status, Verdict,
    Version, VersionOrder,
};
use cumin_types::{EndpointName, Incarnation, LogOffset, Millis, NodeName, Service};

use crate::engines;

const BOUNDS: ExposeBounds = ExposeBounds {
    share: 0.1,
    slack: 50.0,
    rollback: Millis(5000),
};

fn order(target: &str, seconds: u64) -> VersionOrder {
    VersionOrder {
        service: engines(),
        target: Version::from(target),
        duration: (seconds > 0).then_some(Millis(seconds * 1000)),
    }
}

fn named(name: &str) -> Rollouts {
    Rollouts::new(RolloutOptions {
        node: NodeName::from(name),
        incarnation: Incarnation(1),
        started: Millis(0),
    })
}

fn rollouts() -> Rollouts {
    let mut rollouts = named("n");
    rollouts.set_bounds(Some(BOUNDS));
    rollouts.statuses_read(&[], Millis(0));
    rollouts
}

fn endpoints(versions: &[&str]) -> Vec<Candidate> {
    let numbered = versions.iter().enumerate();
    let endpoints = numbered.map(|(number, version)| Candidate {
        name: EndpointName::from(format!("{version}-{number}")),
        version: Some(Version::from(*version)),
    });
    endpoints.collect()
}

fn assign(rollouts: &mut Rollouts, candidates: &[Candidate], now: u64) -> Assignment {
    let route = Arc::from("chat");
    rollouts.assign(&engines(), &route, candidates, false, Millis(now))
}

/// Returns whether requests may reach an endpoint of a version.
fn reaches(rollouts: &mut Rollouts, candidates: &[Candidate], version: &str, now: u64) -> bool {
    (0..200).any(|_| {
        let assignment = assign(rollouts, candidates, now);
        candidates.iter().any(|candidate| {
            candidate.version.as_deref() == Some(version)
                && !assignment.avoid.contains(&candidate.name)
        })
    })
}

/// Lets the holder decide until it has nothing more to write, and returns the last state.
fn decide(rollouts: &mut Rollouts, versions: &[&str], now: u64) -> Option<Status> {
    let versions: Vec<Option<Version>> = versions.iter().map(|v| Some(Version::from(*v))).collect();
    let situation = Situation {
        versions: &versions,
        peers: &[],
    };
    let mut last = None;
    for _ in 0..4 {
        let report = rollouts.decide(&engines(), &situation, Millis(now));
        if let Some(report) = report {
            rollouts.status_known(&report.status, Millis(now));
            last = Some(report.status);
        }
    }
    last
}

fn state(status: Option<Status>) -> Option<RolloutState> {
    status.map(|status| status.state)
}

const OUTCOME: Outcome = Outcome {
    failed: false,
    broken: false,
    first: Some(1.0),
    pace: None,
};

/// Answers requests at both versions for some seconds; a share of the target's are failures.
fn traffic(rollouts: &mut Rollouts, (from, to): (u64, u64), fails: bool) {
    let route: Arc<str> = Arc::from("chat");
    for now in (from..to).step_by(100) {
        for number in 0..20 {
            let version = Version::from(if number < 2 { "v2" } else { "v1" });
            let token = rollouts.sent(&engines(), &route, Some(&version));
            let outcome = Outcome {
                failed: fails && number == 0,
                ..OUTCOME
            };
            if let Some(token) = token {
                rollouts.ended(&engines(), &route, token, Some(outcome));
            }
        }
        rollouts.review(Millis(now));
    }
}

/// Without a share in the settings orders are ignored, so that no version is held back.
#[test]
fn disabled() {
    let mut rollouts = named("n");
    rollouts.order_seen(order("v2", 60), LogOffset(1), 1, None, Millis(10_000));
    assert!(rollouts.take_events()[0].text.contains("reason=no_share"));
    let all = endpoints(&["v1", "v2"]);
    assert_eq!(assign(&mut rollouts, &all, 10_000), Assignment::default());
}

/// A duration of zero is rolled back at once and exposes nothing.
#[test]
fn no_duration() {
    let mut rollouts = rollouts();
    let all = endpoints(&["v1", "v2"]);
    rollouts.order_seen(order("v2", 0), LogOffset(1), 1, None, Millis(10_000));
    assert!(!reaches(&mut rollouts, &all, "v2", 10_000));
    let status = decide(&mut rollouts, &["v1", "v2"], 10_100);
    assert_eq!(state(status), Some(RolloutState::RolledBack));
    assert!(!reaches(&mut rollouts, &all, "v2", 70_000));
}

/// An order for the version in use does not take its endpoints out of use, and is completed.
#[test]
fn version_in_use() {
    for seconds in [60, 0] {
        let mut rollouts = rollouts();
        let all = endpoints(&["v1"]);
        assign(&mut rollouts, &all, 1000);
        rollouts.order_seen(order("v1", seconds), LogOffset(1), 1, None, Millis(10_000));
        for now in [10_000, 11_000] {
            assert_eq!(assign(&mut rollouts, &all, now).avoid, []);
        }
        let early = decide(&mut rollouts, &["v1"], 11_000);
        let status = decide(&mut rollouts, &["v1"], 15_000).or(early);
        assert_eq!(state(status), Some(RolloutState::Completed), "{seconds}");
        assert_eq!(assign(&mut rollouts, &all, 16_000).avoid, []);
    }
}

/// A version without endpoints, or of an unknown service, is waited for until the time is almost
/// over, then rolled back.
#[test]
fn unknown_version() {
    let mut rollouts = rollouts();
    rollouts.order_seen(order("v9", 30), LogOffset(1), 1, None, Millis(10_000));
    let status = decide(&mut rollouts, &["v1"], 20_000);
    assert_eq!(state(status), Some(RolloutState::Running));
    assert_eq!(decide(&mut rollouts, &["v1"], 30_000), None);
    let status = decide(&mut rollouts, &["v1"], 39_000);
    assert_eq!(state(status), Some(RolloutState::RolledBack));
}

/// A failing version is rolled back, and is not used again until it is ordered again.
#[test]
fn failing() {
    let mut rollouts = rollouts();
    let all = endpoints(&["v1", "v1", "v2", "v2"]);
    rollouts.order_seen(order("v2", 60), LogOffset(1), 1, None, Millis(10_000));
    assert!(reaches(&mut rollouts, &all, "v2", 19_900));
    traffic(&mut rollouts, (20_000, 24_000), true);
    assert!(!reaches(&mut rollouts, &all, "v2", 24_000));
    let status = decide(&mut rollouts, &["v1", "v2"], 24_000);
    assert_eq!(state(status), Some(RolloutState::RolledBack));
    assert!(!reaches(&mut rollouts, &all, "v2", 90_000));
    rollouts.order_seen(order("v2", 60), LogOffset(2), 1, None, Millis(100_000));
    assert!(reaches(&mut rollouts, &all, "v2", 109_900));
}

/// A bad verdict of a peer takes effect without any other message, and outlives its sender.
#[test]
fn verdict_spreads() {
    let (mut first, mut second) = (rollouts(), rollouts());
    let all = endpoints(&["v1", "v1", "v2", "v2"]);
    for node in [&mut first, &mut second] {
        node.order_seen(order("v2", 60), LogOffset(1), 2, None, Millis(10_000));
        assign(node, &all, 10_000);
    }
    traffic(&mut first, (10_000, 14_000), true);
    let stated = first.stated(Millis(14_000));
    assert_eq!(stated[0].verdict, Verdict::Bad);
    let node = NodeName::from("first");
    second.merge_peer(&node, Incarnation(1), &stated, Millis(14_000));
    assert!(!reaches(&mut second, &all, "v2", 19_900));
    assert_eq!(second.stated(Millis(14_000))[0].verdict, Verdict::Bad);
}

/// A good version is completed after the work at the old one has ended, within the duration.
#[test]
fn good() {
    let mut rollouts = rollouts();
    let all = endpoints(&["v1", "v1", "v2", "v2"]);
    rollouts.order_seen(order("v2", 60), LogOffset(1), 1, None, Millis(10_000));
    assign(&mut rollouts, &all, 10_000);
    traffic(&mut rollouts, (10_000, 50_000), false);
    let status = decide(&mut rollouts, &["v1", "v2"], 50_000);
    assert_eq!(state(status), Some(RolloutState::Running));
    let route = Arc::from("chat");
    let old = Version::from("v1");
    let running = rollouts.sent(&engines(), &route, Some(&old)).unwrap();
    decide(&mut rollouts, &["v1", "v2"], 55_000);
    assert_eq!(decide(&mut rollouts, &["v1", "v2"], 60_000), None);
    assert!(!reaches(&mut rollouts, &all, "v1", 60_000));
    rollouts.ended(&engines(), &route, running, Some(OUTCOME));
    let status = decide(&mut rollouts, &["v1", "v2"], 60_500);
    assert_eq!(state(status), Some(RolloutState::Completed));
}

/// A version that turns bad while the traffic moves is rolled back.
#[test]
fn bad_while_moving() {
    let mut rollouts = rollouts();
    let all = endpoints(&["v1", "v1", "v2", "v2"]);
    rollouts.order_seen(order("v2", 60), LogOffset(1), 1, None, Millis(10_000));
    assign(&mut rollouts, &all, 10_000);
    traffic(&mut rollouts, (10_000, 55_000), false);
    decide(&mut rollouts, &["v1", "v2"], 55_000);
    assert!(reaches(&mut rollouts, &all, "v2", 59_000));
    traffic(&mut rollouts, (55_000, 59_000), true);
    assert!(!reaches(&mut rollouts, &all, "v2", 59_000));
    let status = decide(&mut rollouts, &["v1", "v2"], 59_000);
    assert_eq!(state(status), Some(RolloutState::RolledBack));
}

/// Without a request a version is completed in time.
#[test]
fn no_traffic() {
    let mut rollouts = rollouts();
    rollouts.order_seen(order("v2", 20), LogOffset(1), 1, None, Millis(10_000));
    let mut last = None;
    for now in (10_000..30_000).step_by(250) {
        last = decide(&mut rollouts, &["v1", "v2"], now).or(last);
    }
    assert_eq!(state(last), Some(RolloutState::Completed));
}

/// Another order during a roll-out ends that one first; then it begins.
#[test]
fn superseded() {
    let mut rollouts = rollouts();
    let all = endpoints(&["v1", "v2", "v3"]);
    rollouts.order_seen(order("v2", 60), LogOffset(1), 1, None, Millis(10_000));
    assign(&mut rollouts, &all, 10_000);
    rollouts.order_seen(order("v3", 60), LogOffset(2), 1, None, Millis(20_000));
    assert!(!reaches(&mut rollouts, &all, "v2", 20_000));
    let status = decide(&mut rollouts, &["v1", "v2", "v3"], 20_000).unwrap();
    assert_eq!(&*status.target, "v3");
    assert_eq!(status.state, RolloutState::Running);
    assert!(!reaches(&mut rollouts, &all, "v2", 29_900));
    assert!(reaches(&mut rollouts, &all, "v3", 29_900));
}

/// A node that restarts exposes nothing before it has read the statuses, nor a version that was
/// rolled back.
#[test]
fn restart() {
    let mut rollouts = named("n");
    rollouts.set_bounds(Some(BOUNDS));
    let all = endpoints(&["v1", "v2"]);
    rollouts.order_seen(order("v2", 60), LogOffset(1), 1, None, Millis(1000));
    assert!(!reaches(&mut rollouts, &all, "v2", 9900));
    let status = Status {
        service: Service::from("engines"),
        target: Version::from("v2"),
        state: RolloutState::RolledBack,
        order: LogOffset(1),
        age: Millis(30_000),
    };
    rollouts.statuses_read(&[status], Millis(9900));
    assert!(!reaches(&mut rollouts, &all, "v2", 9900));
}

/// Endpoints of a new version that register before the order arrives get no requests.
#[test]
fn early_endpoints() {
    let mut rollouts = rollouts();
    assign(&mut rollouts, &endpoints(&["v1"]), 1000);
    let all = endpoints(&["v1", "v2"]);
    assert!(!reaches(&mut rollouts, &all, "v2", 10_000));
    assert!(reaches(&mut rollouts, &all, "v2", 15_000));
}

/// After a restore of the store, the operator's order that is written again would have exposed a
/// version that was rolled back, and the status would have been lost.
#[test]
fn store_restored() {
    let mut rollouts = rollouts();
    let all = endpoints(&["v1", "v2"]);
    let versions = ["v1", "v2"];
    let see = |rollouts: &mut Rollouts, era: u64, offset: u64, now: u64| {
        let position = Era(era).position(LogOffset(offset));
        rollouts.order_seen(order("v2", 0), position, 1, None, Millis(now));
    };
    see(&mut rollouts, 1, 5, 10_000);
    let status = decide(&mut rollouts, &versions, 10_500);
    assert_eq!(state(status), Some(RolloutState::RolledBack));
    rollouts.store_restored();
    see(&mut rollouts, 2, 3, 11_000);
    let status = decide(&mut rollouts, &versions, 11_500);
    assert_eq!(state(status), Some(RolloutState::RolledBack));
    assert!(!reaches(&mut rollouts, &all, "v2", 12_000));
    // A further order of the same era is a new one.
    rollouts.take_events();
    see(&mut rollouts, 2, 4, 12_500);
    let events = rollouts.take_events();
    assert!(events.iter().any(|e| e.text.contains("decision=begun")));
}
