use cumin_retry::{Candidate, Choice, End, Quarantine, QuarantineOptions, Verdict, WaitReason};
use cumin_types::{EndpointName, Fingerprint, Millis, NodeName};

use crate::{endpoint, print};

const GOOD: u64 = 1;
const FIRST: u64 = 2;
const SECOND: u64 = 3;

fn node(name: &str) -> Quarantine {
    Quarantine::new(QuarantineOptions {
        node: NodeName::from(name),
        ..QuarantineOptions::default()
    })
}

fn crash(node: &mut Quarantine, index: usize, aboard: &[u64], now: u64) {
    for id in aboard {
        node.started(&print(*id), &endpoint(index));
    }
    node.crashed(&endpoint(index), Millis(now));
}

fn exchange(one: &mut Quarantine, other: &mut Quarantine, now: u64) {
    let (left, right) = (one.gossip(Millis(now)), other.gossip(Millis(now)));
    one.merge(&right, Millis(now));
    other.merge(&left, Millis(now));
}

fn place(node: &mut Quarantine, id: u64, running: &[u32], left: u64, now: u64) -> Choice {
    let candidates: Vec<Candidate> = running
        .iter()
        .enumerate()
        .map(|(index, running)| Candidate {
            endpoint: endpoint(index),
            running: *running,
        })
        .collect();
    node.place_suspect(
        &print(id),
        &candidates,
        Millis(left),
        Millis(1000),
        Millis(now),
    )
}

/// Asks from `now` on until the reservation is settled, 1.5 s later.
fn settle(node: &mut Quarantine, id: u64, running: &[u32], now: u64) -> Choice {
    place(node, id, running, 60_000, now);
    place(node, id, running, 60_000, now + 700);
    place(node, id, running, 60_000, now + 1500)
}

fn rejected(node: &mut Quarantine, id: u64, now: u64) -> bool {
    matches!(node.check(&print(id), Millis(now)), Verdict::Rejected(_))
}

/// Guards against a quarantine for two crashes when the request completed alone in between.
#[test]
fn completion_forgets_the_crash() {
    let mut one = node("n1");
    crash(&mut one, 0, &[GOOD, FIRST], 0);
    one.started(&print(GOOD), &endpoint(1));
    one.ended(&print(GOOD), &endpoint(1), End::Done, Millis(1000));
    assert_eq!(one.check(&print(GOOD), Millis(1000)), Verdict::Clear);
    crash(&mut one, 2, &[GOOD, SECOND], 2000);
    assert_eq!(
        one.check(&print(GOOD), Millis(20_000)),
        Verdict::Suspect { crashes: 1 }
    );
}

/// Guards against a quarantine for two crashes with different poisonous requests.
#[test]
fn shared_second_crash_is_no_proof() {
    let mut one = node("n1");
    crash(&mut one, 0, &[GOOD, FIRST], 0);
    crash(&mut one, 1, &[GOOD, SECOND], 1000);
    assert!(!rejected(&mut one, GOOD, 4000));
    crash(&mut one, 2, &[FIRST], 4000);
    crash(&mut one, 3, &[SECOND], 7000);
    assert!(rejected(&mut one, FIRST, 20_000));
    assert!(rejected(&mut one, SECOND, 20_000));
    assert_eq!(
        one.check(&print(GOOD), Millis(20_000)),
        Verdict::Clear,
        "both are explained"
    );
}

/// Guards against a judgement on what one node knows: the poisonous request runs at another
/// node, at the same two endpoints.
#[test]
fn other_nodes_are_heard_first() {
    let (mut one, mut other) = (node("n1"), node("n2"));
    for (index, now) in [(0, 0), (1, 3000)] {
        crash(&mut one, index, &[GOOD], now);
        crash(&mut other, index, &[FIRST], now);
        exchange(&mut one, &mut other, now + 500);
    }
    for node in [&mut one, &mut other] {
        assert!(!rejected(node, GOOD, 6000));
        assert!(!rejected(node, FIRST, 6000));
    }
    crash(&mut other, 2, &[FIRST], 7000);
    exchange(&mut one, &mut other, 7500);
    assert!(rejected(&mut one, FIRST, 10_500));
    assert!(!rejected(&mut one, GOOD, 10_500));
}

/// Guards against a third crash where the second one tells enough: all that ran beside the
/// request were cleared.
#[test]
fn cleared_company_is_proof() {
    let mut one = node("n1");
    crash(&mut one, 0, &[FIRST], 0);
    crash(&mut one, 1, &[FIRST, GOOD], 3000);
    assert!(!rejected(&mut one, FIRST, 6000));
    let wait = place(&mut one, FIRST, &[9, 9, 0, 0], 60_000, 6000);
    let others = WaitReason::Others;
    assert!(
        matches!(wait, Choice::Wait { reason, .. } if reason == others),
        "{wait}"
    );
    let Choice::Alone { endpoint: name } = settle(&mut one, GOOD, &[9, 9, 0, 0], 6000) else {
        panic!("not alone")
    };
    one.started(&print(GOOD), &name);
    one.ended(&print(GOOD), &name, End::Done, Millis(8000));
    assert!(rejected(&mut one, FIRST, 8000));
}

/// Guards against suspects of one crash that run at one endpoint, and against suspects that
/// take all endpoints.
#[test]
fn suspects_run_apart() {
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
            let choice = place(&mut one, id, &running, 60_000, now);
            if let Some(name) = choice.endpoint() {
                assert!(now == 1700, "the reservation is not known yet: {choice}");
                one.started(&print(id), name);
                chosen.push((id, name.clone()));
            }
        }
    }
    // Two of eight endpoints run suspects: one of the first crash each, and beside them one
    // of the second crash each.
    assert_eq!(chosen.len(), 4, "{chosen:?}");
    for (id, name) in &chosen {
        let beside = chosen
            .iter()
            .filter(|(other, at)| at == name && (*other <= 4) == (*id <= 4));
        assert_eq!(beside.count(), 1, "{chosen:?}");
    }
    assert_eq!(one.reserved(Millis(1700)).len(), 2);
}

/// Guards against a suspect that runs beside ordinary work while it has time to wait, and
/// against one that misses its deadline for want of an empty endpoint.
#[test]
fn least_loaded_endpoint_is_emptied() {
    let mut one = node("n1");
    crash(&mut one, 0, &[GOOD], 0);
    let wait = place(&mut one, GOOD, &[9, 5, 2, 7], 60_000, 100);
    let Choice::Wait {
        reason: WaitReason::Draining,
        endpoint: Some(kept),
        ..
    } = wait
    else {
        panic!("{wait}")
    };
    assert_eq!(kept, endpoint(2));
    assert_eq!(one.reserved(Millis(100)), [endpoint(2)]);
    place(&mut one, GOOD, &[9, 1, 2, 7], 60_000, 900);
    let wait = place(&mut one, GOOD, &[9, 0, 2, 7], 60_000, 1800);
    assert!(
        matches!(wait, Choice::Wait { .. }),
        "its endpoint is not empty: {wait}"
    );
    assert_eq!(one.reserved(Millis(1800)), [endpoint(2)]);
    let urgent = place(&mut one, GOOD, &[9, 3, 2, 7], 1500, 1800);
    assert_eq!(
        urgent,
        Choice::Exposed {
            endpoint: endpoint(2),
            running: 2
        }
    );
    let alone = place(&mut one, GOOD, &[9, 3, 0, 7], 60_000, 1800);
    assert_eq!(
        alone,
        Choice::Alone {
            endpoint: endpoint(2)
        }
    );
}

/// Guards against two nodes that keep the same endpoint free and wait for each other.
#[test]
fn one_node_keeps_a_contested_endpoint() {
    let (mut one, mut other) = (node("n1"), node("n2"));
    crash(&mut one, 0, &[GOOD], 0);
    crash(&mut other, 0, &[FIRST], 0);
    for node in [(&mut one, GOOD), (&mut other, FIRST)] {
        let wait = place(node.0, node.1, &[9, 0, 9, 9, 9, 9, 9, 9], 60_000, 100);
        assert!(matches!(wait, Choice::Wait { .. }), "{wait}");
    }
    exchange(&mut one, &mut other, 500);
    let running = [9, 0, 5, 9, 9, 9, 9, 9];
    for now in [600, 1300] {
        place(&mut one, GOOD, &running, 60_000, now);
        place(&mut other, FIRST, &running, 60_000, now);
    }
    let alone = Choice::Alone {
        endpoint: endpoint(1),
    };
    assert_eq!(place(&mut one, GOOD, &running, 60_000, 1600), alone);
    let wait = place(&mut other, FIRST, &running, 60_000, 1600);
    assert!(matches!(wait, Choice::Wait { .. }), "{wait}");
    assert_eq!(other.reserved(Millis(1600)), [endpoint(1), endpoint(2)]);
}

/// Guards against a service whose only endpoint is kept free for suspects, and against
/// suspects of one service that wait for those of another.
#[test]
fn services_keep_running() {
    let mut one = node("n1");
    crash(&mut one, 0, &[1, 2], 0);
    let exposed = Choice::Exposed {
        endpoint: endpoint(0),
        running: 7,
    };
    assert_eq!(place(&mut one, 1, &[7], 60_000, 100), exposed);
    one.started(&print(1), &endpoint(0));
    let wait = place(&mut one, 2, &[7], 60_000, 100);
    assert!(
        matches!(wait, Choice::Wait { .. }),
        "beside one of the same crash: {wait}"
    );
    assert_eq!(one.reserved(Millis(100)), []);

    crash(&mut one, 20, &[3], 5000);
    crash(&mut one, 21, &[4], 5000);
    let other = |index: usize| Candidate {
        endpoint: endpoint(30 + index),
        running: 5,
    };
    let others: Vec<Candidate> = (0..3).map(other).collect();
    let (left, estimate) = (Millis(60_000), Millis(1000));
    let draining = |choice| {
        matches!(
            choice,
            Choice::Wait {
                endpoint: Some(_),
                ..
            }
        )
    };
    assert!(draining(place(&mut one, 3, &[9, 9, 5, 5], 60_000, 5100)));
    let choice = one.place_suspect(&print(4), &others, left, estimate, Millis(5100));
    assert!(
        draining(choice),
        "the other service's reservation is not for it"
    );
}

/// Guards against two runs of one suspect at once, at one node or at two.
#[test]
fn suspect_runs_once_at_a_time() {
    let (mut one, mut other) = (node("n1"), node("n2"));
    crash(&mut one, 0, &[GOOD], 0);
    exchange(&mut one, &mut other, 100);
    let reason = |choice| match choice {
        Choice::Wait { reason, .. } => Some(reason),
        _ => None,
    };
    let there = place(&mut other, GOOD, &[0, 0], 60_000, 200);
    assert_eq!(reason(there), Some(WaitReason::Other));
    let Choice::Alone { endpoint: name } = settle(&mut one, GOOD, &[9, 0], 200) else {
        panic!("not alone")
    };
    one.started(&print(GOOD), &name);
    assert_eq!(
        reason(place(&mut one, GOOD, &[9, 0, 0], 60_000, 1800)),
        Some(WaitReason::Same)
    );
    let late = settle(&mut other, GOOD, &[0, 0], 6000);
    assert!(late.endpoint().is_some(), "{late}");
}

/// Guards against a log line without the facts that an operator needs.
#[test]
fn decisions_print_their_reasons() {
    let mut one = node("n1");
    let short = |id: u64| -> String { Fingerprint(print(id).0).0.short() };
    one.started(&print(GOOD), &endpoint(0));
    let first = one.crashed(&endpoint(0), Millis(0));
    assert_eq!(
        first.to_string(),
        format!("event=crash endpoint=e00 suspects=1 {}=1", short(GOOD))
    );
    crash(&mut one, 1, &[GOOD], 1000);
    let verdict = one.check(&print(GOOD), Millis(4000));
    assert_eq!(
        verdict.to_string(),
        format!(
            "decision=reject reason=quarantined fingerprint={} crashes=2 left_ms=600000",
            short(GOOD)
        )
    );
}
