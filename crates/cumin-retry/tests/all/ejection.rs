use cumin_retry::{Availability, EjectionOptions, EjectionReason, Ejector, HealthChange};
use cumin_types::Millis;

use crate::endpoint;

fn ejector(count: usize) -> Ejector {
    let mut ejector = Ejector::new(EjectionOptions::default());
    ejector.set_endpoints(&(0..count).map(endpoint).collect::<Vec<_>>());
    ejector
}

fn fail(ejector: &mut Ejector, index: usize, times: usize, now: u64) -> HealthChange {
    (0..times)
        .map(|_| ejector.record_result(&endpoint(index), false, Millis(now)))
        .last()
        .expect("at least one failure")
}

/// Guards against an endpoint that gets requests although it always fails, and against one that
/// is never used again after it recovers.
#[test]
fn consecutive_failures_eject() {
    let mut ejector = ejector(10);
    assert_eq!(fail(&mut ejector, 0, 4, 0), HealthChange::Unchanged);
    ejector.record_result(&endpoint(0), true, Millis(0));
    assert_eq!(
        fail(&mut ejector, 0, 4, 0),
        HealthChange::Unchanged,
        "a success resets the count"
    );
    let HealthChange::Ejected { until, reason, .. } = fail(&mut ejector, 0, 1, 0) else {
        panic!("not ejected")
    };
    assert_eq!(
        (until, reason),
        (Millis(5000), EjectionReason::ConsecutiveFailures(5))
    );
    assert_eq!(
        ejector.availability(&endpoint(0), Millis(4999)),
        Availability::Unavailable { until }
    );
    assert_eq!(
        ejector.record_result(&endpoint(0), true, Millis(100)),
        HealthChange::Unchanged,
        "a late result is ignored"
    );
    assert_eq!(
        ejector.availability(&endpoint(0), until),
        Availability::ProbeOnly
    );
    ejector.probe_started(&endpoint(0), until);
    assert!(
        matches!(
            ejector.availability(&endpoint(0), until),
            Availability::Unavailable { .. }
        ),
        "only one probe is in flight"
    );
    let restored = HealthChange::Restored {
        endpoint: endpoint(0),
    };
    assert_eq!(ejector.record_result(&endpoint(0), true, until), restored);
    assert_eq!(
        ejector.availability(&endpoint(0), until),
        Availability::Available
    );
}

/// Guards against an endpoint that is probed at a constant interval although it keeps failing,
/// and against a lost probe that keeps it ejected.
#[test]
fn cooldown_doubles() {
    let mut ejector = ejector(10);
    let mut now = 0;
    let mut last = fail(&mut ejector, 0, 5, now);
    for cooldown in [
        5000, 10_000, 20_000, 40_000, 80_000, 160_000, 300_000, 300_000,
    ] {
        let HealthChange::Ejected { until, .. } = last else {
            panic!("not ejected: {last}")
        };
        assert_eq!(until.0 - now, cooldown);
        ejector.probe_started(&endpoint(0), until);
        assert_eq!(
            ejector.availability(&endpoint(0), until.plus(30_000)),
            Availability::ProbeOnly
        );
        now = until.0;
        last = fail(&mut ejector, 0, 1, now);
    }
}

/// Guards against an endpoint that stays in use because its many failures are not consecutive,
/// and against ejections when all endpoints fail at the same rate.
#[test]
fn failure_rate_ejects() {
    let mut single = ejector(10);
    let mut changes = Vec::new();
    for round in 0..60 {
        for index in 0..10 {
            let ok = index != 3 || round % 2 == 0;
            changes.push(single.record_result(&endpoint(index), ok, Millis(round * 100)));
        }
    }
    let ejected: Vec<&HealthChange> = changes
        .iter()
        .filter(|change| **change != HealthChange::Unchanged)
        .collect();
    assert!(matches!(
        ejected[..],
        [HealthChange::Ejected { endpoint: name, reason: EjectionReason::FailureRate { .. }, .. }] if *name == endpoint(3)
    ));
    let mut common = ejector(10);
    for round in 0..60 {
        for index in 0..10 {
            let change =
                common.record_result(&endpoint(index), round % 2 == 0, Millis(round * 100));
            assert_eq!(change, HealthChange::Unchanged);
        }
    }
}

/// Guards against a common fault that ejects all endpoints.
#[test]
fn ejections_are_capped() {
    for (count, limit) in [(1, 0), (2, 1), (3, 1), (10, 3), (20, 6)] {
        let mut ejector = ejector(count);
        let mut capped = 0;
        for index in 0..count {
            let change = fail(&mut ejector, index, 5, 0);
            capped += usize::from(matches!(change, HealthChange::Capped { .. }));
        }
        assert_eq!(ejector.ejected().len(), limit, "ejected of {count}");
        assert_eq!(capped, count - limit);
    }
}
