use cumin_retry::{
    AttemptEnd, Candidate, Quarantine, QuarantineOptions, Selection, Verdict, WaitReason,
};
use cumin_types::{EndpointName, Fingerprint, Millis, NodeName};

use crate::{endpoint, fingerprint};

const HARMLESS: u64 = 1;
const FIRST_POISON: u64 = 2;
const SECOND_POISON: u64 = 3;

fn node(name: &str) -> Quarantine {
    Quarantine::new(QuarantineOptions {
        node: NodeName::from(name),
        ..QuarantineOptions::default()
    })
}

fn crash(node: &mut Quarantine, index: usize, requests: &[u64], now: u64) {
    for id in requests {
        node.attempt_started(&fingerprint(*id), &endpoint(index));
    }
    node.endpoint_crashed(&endpoint(index), Millis(now));
}

fn exchange(one: &mut Quarantine, other: &mut Quarantine, now: u64) {
    let (left, right) = (one.gossip(Millis(now)), other.gossip(Millis(now)));
    one.merge(&right, Millis(now));
    other.merge(&left, Millis(now));
}

fn select(node: &mut Quarantine, id: u64, running: &[u32], left: u64, now: u64) -> Selection {
    let candidates: Vec<Candidate> = running
        .iter()
        .enumerate()
        .map(|(index, running)| Candidate {
            endpoint: endpoint(index),
            running: *running,
        })
        .collect();
    node.select_endpoint(
        &fingerprint(id),
        &candidates,
        Millis(left),
        Millis(1000),
        Millis(now),
    )
}

/// Selects from `now` on until the reservation may be used, 1.5 s later.
fn settle(node: &mut Quarantine, id: u64, running: &[u32], now: u64) -> Selection {
    select(node, id, running, 60_000, now);
    select(node, id, running, 60_000, now + 700);
    select(node, id, running, 60_000, now + 1500)
}

fn rejected(node: &mut Quarantine, id: u64, now: u64) -> bool {
    matches!(
        node.check(&fingerprint(id), Millis(now)),
        Verdict::Rejected(_)
    )
}

/// Guards against a quarantine after two crashes when the request completed alone in
/// between.
#[test]
fn completion_clears_suspect() {
    let mut one = node("n1");
    crash(&mut one, 0, &[HARMLESS, FIRST_POISON], 0);
    one.attempt_started(&fingerprint(HARMLESS), &endpoint(1));
    one.attempt_ended(
        &fingerprint(HARMLESS),
        &endpoint(1),
        AttemptEnd::Done,
        Millis(1000),
    );
    assert_eq!(
        one.check(&fingerprint(HARMLESS), Millis(1000)),
        Verdict::Clear
    );
    crash(&mut one, 2, &[HARMLESS, SECOND_POISON], 2000);
    assert_eq!(
        one.check(&fingerprint(HARMLESS), Millis(20_000)),
        Verdict::Suspect { crashes: 1 }
    );
}

/// Guards against a quarantine of a harmless request that was in two crashes with different
/// poison requests.
#[test]
fn shared_crashes() {
    let mut one = node("n1");
    crash(&mut one, 0, &[HARMLESS, FIRST_POISON], 0);
    crash(&mut one, 1, &[HARMLESS, SECOND_POISON], 1000);
    assert!(!rejected(&mut one, HARMLESS, 4000));
    crash(&mut one, 2, &[FIRST_POISON], 4000);
    crash(&mut one, 3, &[SECOND_POISON], 7000);
    assert!(rejected(&mut one, FIRST_POISON, 20_000));
    assert!(rejected(&mut one, SECOND_POISON, 20_000));
    assert_eq!(
        one.check(&fingerprint(HARMLESS), Millis(20_000)),
        Verdict::Clear,
        "both crashes are attributed to others"
    );
}

/// Guards against a quarantine by the records of one node alone, when the poison request ran from
/// another node at the same two endpoints.
#[test]
fn waits_for_records() {
    let (mut one, mut other) = (node("n1"), node("n2"));
    for (index, now) in [(0, 0), (1, 3000)] {
        crash(&mut one, index, &[HARMLESS], now);
        crash(&mut other, index, &[FIRST_POISON], now);
        exchange(&mut one, &mut other, now + 500);
    }
    for node in [&mut one, &mut other] {
        assert!(!rejected(node, HARMLESS, 6000));
        assert!(!rejected(node, FIRST_POISON, 6000));
    }
    crash(&mut other, 2, &[FIRST_POISON], 7000);
    exchange(&mut one, &mut other, 7500);
    assert!(rejected(&mut one, FIRST_POISON, 10_500));
    assert!(!rejected(&mut one, HARMLESS, 10_500));
}

/// Guards against a needless third crash, when all requests that were in the second crash of the
/// poison request were cleared.
#[test]
fn cleared_suspects_suffice() {
    let mut one = node("n1");
    crash(&mut one, 0, &[FIRST_POISON], 0);
    crash(&mut one, 1, &[FIRST_POISON, HARMLESS], 3000);
    assert!(!rejected(&mut one, FIRST_POISON, 6000));
    let wait = select(&mut one, FIRST_POISON, &[9, 9, 0, 0], 60_000, 6000);
    let others = WaitReason::OthersFirst;
    assert!(
        matches!(wait, Selection::Wait { reason, .. } if reason == others),
        "{wait}"
    );
    let Selection::Alone { endpoint: name } = settle(&mut one, HARMLESS, &[9, 9, 0, 0], 6000)
    else {
        panic!("not alone")
    };
    one.attempt_started(&fingerprint(HARMLESS), &name);
    one.attempt_ended(
        &fingerprint(HARMLESS),
        &name,
        AttemptEnd::Done,
        Millis(8000),
    );
    assert!(rejected(&mut one, FIRST_POISON, 8000));
}

/// Guards against suspects of one crash that share an endpoint, and against suspects that occupy
/// all endpoints.
#[test]
fn suspects_are_separated() {
    let mut one = node("n1");
    crash(&mut one, 0, &[1, 2, 3, 4], 0);
    crash(&mut one, 1, &[5, 6], 0);
    let mut chosen: Vec<(u64, EndpointName)> = Vec::new();
    for now in [100, 800, 1700] {
        for id in 1..=6 {
            let running: Vec<u32> = (0..8)
                .map(|index| {
                    let there = chosen
                        .iter()
                        .filter(|(_, name)| *name == endpoint(index))
                        .count();
                    u32::try_from(there).expect("small")
                })
                .collect();
            let selection = select(&mut one, id, &running, 60_000, now);
            if let Some(name) = selection.endpoint() {
                assert!(
                    now == 1700,
                    "the reservation is not settled yet: {selection}"
                );
                one.attempt_started(&fingerprint(id), name);
                chosen.push((id, name.clone()));
            }
        }
    }
    // Two of eight endpoints run suspects: each runs one of the first crash and one of the second.
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    for (id, name) in &chosen {
        let beside = chosen
            .iter()
            .filter(|(other, at)| at == name && (*other <= 4) == (*id <= 4));
        assert_eq!(beside.count(), 1, "{chosen:?}");
    }
    assert_eq!(one.reserved_endpoints(Millis(1700)).len(), 2);
}

/// Guards against a suspect that runs beside other requests although it has time to wait, and
/// against one that misses its deadline because no endpoint is idle.
#[test]
fn least_loaded_drains() {
    let mut one = node("n1");
    crash(&mut one, 0, &[HARMLESS], 0);
    let wait = select(&mut one, HARMLESS, &[9, 5, 2, 7], 60_000, 100);
    let Selection::Wait {
        reason: WaitReason::Draining,
        endpoint: Some(reserved),
        ..
    } = wait
    else {
        panic!("{wait}")
    };
    assert_eq!(reserved, endpoint(2));
    assert_eq!(one.reserved_endpoints(Millis(100)), [endpoint(2)]);
    select(&mut one, HARMLESS, &[9, 1, 2, 7], 60_000, 900);
    let wait = select(&mut one, HARMLESS, &[9, 0, 2, 7], 60_000, 1800);
    assert!(
        matches!(wait, Selection::Wait { .. }),
        "its endpoint is not idle: {wait}"
    );
    assert_eq!(one.reserved_endpoints(Millis(1800)), [endpoint(2)]);
    let urgent = select(&mut one, HARMLESS, &[9, 3, 2, 7], 1500, 1800);
    assert_eq!(
        urgent,
        Selection::Exposed {
            endpoint: endpoint(2),
            running: 2
        }
    );
    let alone = select(&mut one, HARMLESS, &[9, 3, 0, 7], 60_000, 1800);
    assert_eq!(
        alone,
        Selection::Alone {
            endpoint: endpoint(2)
        }
    );
}

/// Guards against two nodes that reserve the same endpoint and wait for each other.
#[test]
fn contested_reservation() {
    let (mut one, mut other) = (node("n1"), node("n2"));
    crash(&mut one, 0, &[HARMLESS], 0);
    crash(&mut other, 0, &[FIRST_POISON], 0);
    for node in [(&mut one, HARMLESS), (&mut other, FIRST_POISON)] {
        let wait = select(node.0, node.1, &[9, 0, 9, 9, 9, 9, 9, 9], 60_000, 100);
        assert!(matches!(wait, Selection::Wait { .. }), "{wait}");
    }
    exchange(&mut one, &mut other, 500);
    let running = [9, 0, 5, 9, 9, 9, 9, 9];
    for now in [600, 1300] {
        select(&mut one, HARMLESS, &running, 60_000, now);
        select(&mut other, FIRST_POISON, &running, 60_000, now);
    }
    let alone = Selection::Alone {
        endpoint: endpoint(1),
    };
    assert_eq!(select(&mut one, HARMLESS, &running, 60_000, 1600), alone);
    let wait = select(&mut other, FIRST_POISON, &running, 60_000, 1600);
    assert!(matches!(wait, Selection::Wait { .. }), "{wait}");
    assert_eq!(
        other.reserved_endpoints(Millis(1600)),
        [endpoint(1), endpoint(2)]
    );
}

/// Guards against a service whose only endpoint is reserved for suspects, and against suspects of
/// one service that wait for those of another.
#[test]
fn services_stay_available() {
    let mut one = node("n1");
    crash(&mut one, 0, &[1, 2], 0);
    let exposed = Selection::Exposed {
        endpoint: endpoint(0),
        running: 7,
    };
    assert_eq!(select(&mut one, 1, &[7], 60_000, 100), exposed);
    one.attempt_started(&fingerprint(1), &endpoint(0));
    let wait = select(&mut one, 2, &[7], 60_000, 100);
    assert!(
        matches!(wait, Selection::Wait { .. }),
        "it would run beside a suspect of the same crash: {wait}"
    );
    assert_eq!(one.reserved_endpoints(Millis(100)), []);

    crash(&mut one, 20, &[3], 5000);
    crash(&mut one, 21, &[4], 5000);
    let other = |index: usize| Candidate {
        endpoint: endpoint(30 + index),
        running: 5,
    };
    let others: Vec<Candidate> = (0..3).map(other).collect();
    let (left, estimate) = (Millis(60_000), Millis(1000));
    let draining = |selection| {
        matches!(
            selection,
            Selection::Wait {
                endpoint: Some(_),
                ..
            }
        )
    };
    assert!(draining(select(&mut one, 3, &[9, 9, 5, 5], 60_000, 5100)));
    let selection = one.select_endpoint(&fingerprint(4), &others, left, estimate, Millis(5100));
    assert!(
        draining(selection),
        "the reservation of the other service must not count"
    );
}

/// Guards against simultaneous attempts of one suspect, from one node or from two.
#[test]
fn suspect_runs_once() {
    let (mut one, mut other) = (node("n1"), node("n2"));
    crash(&mut one, 0, &[HARMLESS], 0);
    exchange(&mut one, &mut other, 100);
    let reason = |selection| match selection {
        Selection::Wait { reason, .. } => Some(reason),
        _ => None,
    };
    let there = select(&mut other, HARMLESS, &[0, 0], 60_000, 200);
    assert_eq!(reason(there), Some(WaitReason::OtherNode));
    let Selection::Alone { endpoint: name } = settle(&mut one, HARMLESS, &[9, 0], 200) else {
        panic!("not alone")
    };
    one.attempt_started(&fingerprint(HARMLESS), &name);
    assert_eq!(
        reason(select(&mut one, HARMLESS, &[9, 0, 0], 60_000, 1800)),
        Some(WaitReason::AlreadyRunning)
    );
    let late = settle(&mut other, HARMLESS, &[0, 0], 6000);
    assert!(late.endpoint().is_some(), "{late}");
}

/// Guards against log lines that lack the details an operator needs.
#[test]
fn decision_log_lines() {
    let mut one = node("n1");
    let short = |id: u64| -> String { Fingerprint(fingerprint(id).0).0.short() };
    one.attempt_started(&fingerprint(HARMLESS), &endpoint(0));
    let first = one.endpoint_crashed(&endpoint(0), Millis(0));
    assert_eq!(
        first.to_string(),
        format!("event=crash endpoint=e00 suspects=1 {}=1", short(HARMLESS))
    );
    crash(&mut one, 1, &[HARMLESS], 1000);
    let verdict = one.check(&fingerprint(HARMLESS), Millis(4000));
    assert_eq!(
        verdict.to_string(),
        format!(
            "decision=reject reason=quarantined fingerprint={} crashes=2 left_ms=600000",
            short(HARMLESS)
        )
    );
}
