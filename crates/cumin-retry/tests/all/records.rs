use cumin_retry::{End, Quarantine, QuarantineOptions, Quarantined, State, Verdict};
use cumin_types::{Millis, NodeName};

use crate::{endpoint, print};

fn node(name: &str) -> Quarantine {
    Quarantine::new(QuarantineOptions {
        node: NodeName::from(name),
        ..QuarantineOptions::default()
    })
}

/// Crashes `count` endpoints under request 1 alone, and returns the time of its judgement.
fn crash(node: &mut Quarantine, count: usize, now: u64) -> Millis {
    for index in 0..count {
        node.started(&print(1), &endpoint(index));
        node.crashed(&endpoint(index), Millis(now));
    }
    Millis(now + 3000)
}

/// Guards against a poisonous request that runs again, on any node, and against one that is
/// never accepted again.
#[test]
fn two_lone_crashes_quarantine() {
    let mut first = node("n1");
    let mut second = node("n2");
    let judged = crash(&mut first, 2, 0);
    assert_eq!(
        first.check(&print(1), Millis(100)),
        Verdict::Hold { until: judged }
    );
    let Verdict::Rejected(rejection) = first.check(&print(1), judged) else {
        panic!("not rejected")
    };
    assert_eq!(rejection.crashes, 2);
    second.merge(&first.gossip(judged), judged);
    assert!(matches!(
        second.check(&print(1), judged),
        Verdict::Rejected(_)
    ));
    assert_eq!(second.check(&print(2), judged), Verdict::Clear);
    assert_eq!(second.list(judged).len(), 1);
    let over = judged.plus(600_000);
    assert_eq!(first.check(&print(1), over), Verdict::Clear);
    assert_eq!(second.check(&print(1), over), Verdict::Clear);
}

/// Guards against a release by the operator that other nodes undo.
#[test]
fn release_reaches_all_nodes() {
    let mut first = node("n1");
    let mut second = node("n2");
    let judged = crash(&mut first, 2, 0);
    first.check(&print(1), judged);
    let old = first.gossip(judged);
    second.merge(&old, judged);
    second.release(&print(1), judged);
    assert_eq!(second.check(&print(1), judged), Verdict::Clear);
    first.merge(&second.gossip(judged), judged);
    second.merge(&old, judged);
    assert_eq!(first.check(&print(1), judged), Verdict::Clear);
    assert_eq!(
        second.check(&print(1), judged),
        Verdict::Clear,
        "an old record came back"
    );
}

/// Guards against records whose order or repetition matters.
#[test]
fn merge_order_does_not_matter() {
    let mut first = node("n1");
    first.started(&print(1), &endpoint(0));
    first.started(&print(2), &endpoint(0));
    first.crashed(&endpoint(0), Millis(0));
    let suspects = first.gossip(Millis(0));
    first.started(&print(2), &endpoint(1));
    first.ended(&print(2), &endpoint(1), End::Done, Millis(100));
    let cleared: Vec<Quarantined> = first
        .gossip(Millis(100))
        .into_iter()
        .filter(|record| record.state == State::Cleared)
        .collect();
    assert_eq!(cleared.len(), 1);
    for order in [[&suspects, &cleared], [&cleared, &suspects]] {
        let mut second = node("n2");
        for records in order.into_iter().chain(order) {
            second.merge(records, Millis(200));
        }
        assert_eq!(second.check(&print(2), Millis(200)), Verdict::Clear);
        assert_eq!(
            second.check(&print(1), Millis(200)),
            Verdict::Suspect { crashes: 1 }
        );
    }
}

/// Guards against memory that grows with crashes, and against quarantines that are forgotten
/// for new suspects.
#[test]
fn memory_is_bounded() {
    let mut one = Quarantine::new(QuarantineOptions {
        records: 500,
        ..QuarantineOptions::default()
    });
    let judged = crash(&mut one, 2, 0);
    one.check(&print(1), judged);
    for id in 0..5000 {
        let at = Millis(10_000 + id * 20);
        for other in 0..5 {
            one.started(&print(100 + id * 5 + other), &endpoint(9));
        }
        one.crashed(&endpoint(9), at);
        assert!(one.records() <= 500);
        assert!(one.gossip(at).len() <= 32);
    }
    assert!(matches!(
        one.check(&print(1), Millis(110_000)),
        Verdict::Rejected(_)
    ));
}

/// Guards against suspects of endpoints that die together because their place is gone.
#[test]
fn outage_makes_no_suspects() {
    let mut one = node("n1");
    for index in 0..8 {
        for id in 0..5 {
            one.started(
                &print(index * 5 + id),
                &endpoint(usize::try_from(index).expect("small")),
            );
        }
    }
    for index in 0..8 {
        one.crashed(&endpoint(index), Millis(100));
    }
    for id in 0..40 {
        assert_eq!(
            one.check(&print(id), Millis(100)),
            Verdict::Clear,
            "request {id}"
        );
    }
}

/// Guards against quarantines that fill every message for as long as they last, and against
/// nodes that join later and never learn of them.
#[test]
fn old_quarantines_take_turns() {
    let mut one = node("n1");
    for (index, now) in [(0, 0), (1, 20_000)] {
        for id in 0..10 {
            let name = endpoint(usize::try_from(id).expect("small") * 2 + index);
            one.started(&print(id), &name);
            one.crashed(&name, Millis(now + id * 2000));
        }
    }
    let now = Millis(60_000);
    assert!((0..10).all(|id| matches!(one.check(&print(id), now), Verdict::Rejected(_))));
    for _ in 0..100 {
        one.gossip(now);
    }
    let mut other = node("n2");
    for _ in 0..10 {
        let records = one.gossip(now);
        assert_eq!(records.len(), 1);
        other.merge(&records, now);
    }
    assert_eq!(other.list(now).len(), 10);
}
