use cumin_retry::{EjectOptions, EjectReason, Ejector, Report, Usable};
use cumin_types::Millis;

use crate::endpoint;

fn ejector(count: usize) -> Ejector {
    let mut ejector = Ejector::new(EjectOptions::default());
    ejector.members(&(0..count).map(endpoint).collect::<Vec<_>>());
    ejector
}

fn fail(ejector: &mut Ejector, index: usize, times: usize, now: u64) -> Report {
    (0..times)
        .map(|_| ejector.report(&endpoint(index), false, Millis(now)))
        .last()
        .expect("a report")
}

/// Guards against an endpoint that keeps getting work while it only fails, and against one
/// that never returns.
#[test]
fn consecutive_failures_eject() {
    let mut ejector = ejector(10);
    assert_eq!(fail(&mut ejector, 0, 4, 0), Report::Same);
    ejector.report(&endpoint(0), true, Millis(0));
    assert_eq!(
        fail(&mut ejector, 0, 4, 0),
        Report::Same,
        "a success ends the run"
    );
    let Report::Ejected { until, reason, .. } = fail(&mut ejector, 0, 1, 0) else {
        panic!("not ejected")
    };
    assert_eq!((until, reason), (Millis(5000), EjectReason::Consecutive(5)));
    assert_eq!(
        ejector.usable(&endpoint(0), Millis(4999)),
        Usable::No { until }
    );
    assert_eq!(
        ejector.report(&endpoint(0), true, Millis(100)),
        Report::Same,
        "a late result"
    );
    assert_eq!(ejector.usable(&endpoint(0), until), Usable::Probe);
    ejector.probing(&endpoint(0), until);
    assert!(
        matches!(ejector.usable(&endpoint(0), until), Usable::No { .. }),
        "one probe"
    );
    let returned = Report::Returned {
        endpoint: endpoint(0),
    };
    assert_eq!(ejector.report(&endpoint(0), true, until), returned);
    assert_eq!(ejector.usable(&endpoint(0), until), Usable::Yes);
}

/// Guards against an endpoint that is probed at a constant pace although it stays broken, and
/// against a lost probe that keeps it out.
#[test]
fn ejection_time_grows() {
    let mut ejector = ejector(10);
    let mut now = 0;
    let mut last = fail(&mut ejector, 0, 5, now);
    for time in [
        5000, 10_000, 20_000, 40_000, 80_000, 160_000, 300_000, 300_000,
    ] {
        let Report::Ejected { until, .. } = last else {
            panic!("not ejected: {last}")
        };
        assert_eq!(until.0 - now, time);
        ejector.probing(&endpoint(0), until);
        assert_eq!(
            ejector.usable(&endpoint(0), until.plus(30_000)),
            Usable::Probe
        );
        now = until.0;
        last = fail(&mut ejector, 0, 1, now);
    }
}

/// Guards against an endpoint that fails often but not in a row, and against ejection when
/// all fail alike.
#[test]
fn rate_is_compared_with_peers() {
    let mut one = ejector(10);
    let mut reports = Vec::new();
    for round in 0..60 {
        for index in 0..10 {
            let ok = index != 3 || round % 2 == 0;
            reports.push(one.report(&endpoint(index), ok, Millis(round * 100)));
        }
    }
    let ejected: Vec<&Report> = reports
        .iter()
        .filter(|report| **report != Report::Same)
        .collect();
    assert!(matches!(
        ejected[..],
        [Report::Ejected { endpoint: name, reason: EjectReason::Rate { .. }, .. }] if *name == endpoint(3)
    ));
    let mut all = ejector(10);
    for round in 0..60 {
        for index in 0..10 {
            let report = all.report(&endpoint(index), round % 2 == 0, Millis(round * 100));
            assert_eq!(report, Report::Same);
        }
    }
}

/// Guards against a shared fault that takes all endpoints out.
#[test]
fn ejected_share_is_capped() {
    for (count, most) in [(1, 0), (2, 1), (3, 1), (10, 3), (20, 6)] {
        let mut ejector = ejector(count);
        let mut capped = 0;
        for index in 0..count {
            let report = fail(&mut ejector, index, 5, 0);
            capped += usize::from(matches!(report, Report::Capped { .. }));
        }
        assert_eq!(ejector.ejected().len(), most, "of {count}");
        assert_eq!(capped, count - most);
    }
}
