use cumin_retry::{
    AttemptEnd, Quarantine, QuarantineOptions, QuarantineRecord, RecordState, Verdict,
};
use cumin_types::{Millis, NodeName};

use crate::{endpoint, fingerprint};

fn node(name: &str) -> Quarantine {
    Quarantine::new(QuarantineOptions {
        node: NodeName::from(name),
        ..QuarantineOptions::default()
    })
}

/// Crashes `count` endpoints that run only request 1. Returns the time from which it can be
/// quarantined.
fn crash(node: &mut Quarantine, count: usize, now: u64) -> Millis {
    for index in 0..count {
        node.attempt_started(&fingerprint(1), &endpoint(index));
        node.endpoint_crashed(&endpoint(index), Millis(now));
    }
    Millis(now + 3000)
}

/// Guards against a poison request that runs again at any node, and against a quarantine that
/// never ends.
#[test]
fn repeated_crash_quarantines() {
    let mut first = node("n1");
    let mut second = node("n2");
    let confirmed_at = crash(&mut first, 2, 0);
    assert_eq!(
        first.check(&fingerprint(1), Millis(100)),
        Verdict::Hold {
            until: confirmed_at
        }
    );
    let Verdict::Rejected(rejection) = first.check(&fingerprint(1), confirmed_at) else {
        panic!("not rejected")
    };
    assert_eq!(rejection.crashes, 2);
    second.merge(&first.gossip(confirmed_at), confirmed_at);
    assert!(matches!(
        second.check(&fingerprint(1), confirmed_at),
        Verdict::Rejected(_)
    ));
    assert_eq!(second.check(&fingerprint(2), confirmed_at), Verdict::Clear);
    assert_eq!(second.quarantined_requests(confirmed_at).len(), 1);
    let quarantine_end = confirmed_at.plus(600_000);
    assert_eq!(first.check(&fingerprint(1), quarantine_end), Verdict::Clear);
    assert_eq!(
        second.check(&fingerprint(1), quarantine_end),
        Verdict::Clear
    );
}

/// Guards against records of other nodes that undo a release by the operator.
#[test]
fn release_is_final() {
    let mut first = node("n1");
    let mut second = node("n2");
    let confirmed_at = crash(&mut first, 2, 0);
    first.check(&fingerprint(1), confirmed_at);
    let old = first.gossip(confirmed_at);
    second.merge(&old, confirmed_at);
    second.release(&fingerprint(1), confirmed_at);
    assert_eq!(second.check(&fingerprint(1), confirmed_at), Verdict::Clear);
    first.merge(&second.gossip(confirmed_at), confirmed_at);
    second.merge(&old, confirmed_at);
    assert_eq!(first.check(&fingerprint(1), confirmed_at), Verdict::Clear);
    assert_eq!(
        second.check(&fingerprint(1), confirmed_at),
        Verdict::Clear,
        "an old record was restored"
    );
}

/// Guards against results that depend on the order or repetition of merged records.
#[test]
fn merge_is_commutative() {
    let mut first = node("n1");
    first.attempt_started(&fingerprint(1), &endpoint(0));
    first.attempt_started(&fingerprint(2), &endpoint(0));
    first.endpoint_crashed(&endpoint(0), Millis(0));
    let suspects = first.gossip(Millis(0));
    first.attempt_started(&fingerprint(2), &endpoint(1));
    first.attempt_ended(&fingerprint(2), &endpoint(1), AttemptEnd::Done, Millis(100));
    let cleared: Vec<QuarantineRecord> = first
        .gossip(Millis(100))
        .into_iter()
        .filter(|record| record.state == RecordState::Cleared)
        .collect();
    assert_eq!(cleared.len(), 1);
    for order in [[&suspects, &cleared], [&cleared, &suspects]] {
        let mut second = node("n2");
        for records in order.into_iter().chain(order) {
            second.merge(records, Millis(200));
        }
        assert_eq!(second.check(&fingerprint(2), Millis(200)), Verdict::Clear);
        assert_eq!(
            second.check(&fingerprint(1), Millis(200)),
            Verdict::Suspect { crashes: 1 }
        );
    }
}

/// Guards against memory use that grows with the number of crashes, and against quarantines that
/// are evicted in favour of new suspects.
#[test]
fn memory_is_bounded() {
    let mut one = Quarantine::new(QuarantineOptions {
        max_records: 500,
        ..QuarantineOptions::default()
    });
    let confirmed_at = crash(&mut one, 2, 0);
    one.check(&fingerprint(1), confirmed_at);
    for id in 0..5000 {
        let at = Millis(10_000 + id * 20);
        for other in 0..5 {
            one.attempt_started(&fingerprint(100 + id * 5 + other), &endpoint(9));
        }
        one.endpoint_crashed(&endpoint(9), at);
        assert!(one.record_count() <= 500);
        assert!(one.gossip(at).len() <= 32);
    }
    assert!(matches!(
        one.check(&fingerprint(1), Millis(110_000)),
        Verdict::Rejected(_)
    ));
}

/// Guards against suspects when many endpoints crash at once because their place fails.
#[test]
fn outage_makes_no_suspects() {
    let mut one = node("n1");
    for index in 0..8 {
        for id in 0..5 {
            one.attempt_started(
                &fingerprint(index * 5 + id),
                &endpoint(usize::try_from(index).expect("small")),
            );
        }
    }
    for index in 0..8 {
        one.endpoint_crashed(&endpoint(index), Millis(100));
    }
    for id in 0..40 {
        assert_eq!(
            one.check(&fingerprint(id), Millis(100)),
            Verdict::Clear,
            "request {id}"
        );
    }
}

/// Guards against quarantines that fill every message until they expire, and against nodes that
/// never learn of them because they joined later.
#[test]
fn quarantines_take_turns() {
    let mut one = node("n1");
    for (index, now) in [(0, 0), (1, 20_000)] {
        for id in 0..10 {
            let name = endpoint(usize::try_from(id).expect("small") * 2 + index);
            one.attempt_started(&fingerprint(id), &name);
            one.endpoint_crashed(&name, Millis(now + id * 2000));
        }
    }
    let now = Millis(60_000);
    assert!((0..10).all(|id| matches!(one.check(&fingerprint(id), now), Verdict::Rejected(_))));
    for _ in 0..100 {
        one.gossip(now);
    }
    let mut other = node("n2");
    for _ in 0..10 {
        let records = one.gossip(now);
        assert_eq!(records.len(), 1);
        other.merge(&records, now);
    }
    assert_eq!(other.quarantined_requests(now).len(), 10);
}
