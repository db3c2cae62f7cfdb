use cumin_admit::{Capacity, Decision, DropReason, Quota, RefusalReason};
use cumin_types::{Millis, Organisation, Priority, RequestId, Service, TokenCount};
use uuid::Uuid;

use crate::{admission, request};

/// Guards against admitting a request that cannot complete before its deadline.
#[test]
fn late_request_refused() {
    let mut admission = admission(&[("bakers", Quota::default())]);
    let mut late = request(1, "bakers");
    late.deadline = Millis(150);
    let Decision::Refuse(refusal) = admission.admit(&late, Millis(100)) else {
        panic!("not refused")
    };
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    assert_eq!(refusal.status(), 503);
    assert_eq!(
        refusal.to_string(),
        "decision=refuse request=00000000-0000-0000-0000-000000000001 org=bakers \
         reason=deadline retry_after_ms=0 estimate_ms=100 left_ms=50"
    );
}

/// Guards against a completion estimate that ignores queued requests, and against a `retry_after`
/// at which the same request is refused again.
#[test]
fn queued_work_counted() {
    let mut admission = admission(&[("bakers", Quota::default())]);
    let capacity = Capacity {
        slots: 1,
        token_rate: 1000.0,
    };
    let service = Service::from("crumb-assist");
    admission.set_capacity(&service, capacity, Millis(0));
    let Decision::Run(mut ticket) = admission.admit(&request(1, "bakers"), Millis(0)) else {
        panic!("not run")
    };
    for id in 2..=6 {
        assert!(matches!(
            admission.admit(&request(id, "bakers"), Millis(0)),
            Decision::Queue(_)
        ));
    }
    let mut tight = request(7, "bakers");
    tight.deadline = Millis(400);
    // The 500 queued tokens take 500 ms, and the request itself takes 100 ms.
    let Decision::Refuse(refusal) = admission.admit(&tight, Millis(0)) else {
        panic!("not refused")
    };
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (RefusalReason::Deadline, Millis(200))
    );
    for now in [100, 200] {
        admission.finish(ticket, TokenCount(100), Millis(now));
        ticket = admission.next_ticket(Millis(now)).expect("one waits");
    }
    tight.deadline = Millis(600);
    assert!(matches!(
        admission.admit(&tight, Millis(200)),
        Decision::Queue(_)
    ));
}

/// Guards against an expired request that runs, stays queued or keeps its quota.
#[test]
fn expired_requests_dropped() {
    let quota = Quota {
        concurrent: Some(2),
        ..Quota::default()
    };
    let mut admission = admission(&[("bakers", quota)]);
    admission.set_capacity(
        &Service::from("crumb-assist"),
        Capacity {
            slots: 1,
            token_rate: 0.0,
        },
        Millis(0),
    );
    let Decision::Run(ticket) = admission.admit(&request(1, "bakers"), Millis(0)) else {
        panic!("not run")
    };
    let mut short = request(2, "bakers");
    short.deadline = Millis(500);
    assert!(matches!(
        admission.admit(&short, Millis(0)),
        Decision::Queue(_)
    ));
    assert_eq!(admission.next_expiry(), Some(Millis(500)));
    assert!(admission.expire(Millis(499)).is_empty());
    let dropped = admission.expire(Millis(500));
    assert_eq!(dropped.len(), 1);
    assert_eq!(
        (dropped[0].id, dropped[0].reason),
        (short.id, DropReason::Expired)
    );
    assert_eq!(admission.active_requests(&Organisation::from("bakers")), 1);
    admission.finish(ticket, TokenCount(1), Millis(501));
    assert_eq!(admission.next_ticket(Millis(501)), None);
}

/// Guards against a cancelled request that runs or keeps its quota.
#[test]
fn cancelled_request_removed() {
    let mut admission = admission(&[("bakers", Quota::default())]);
    admission.set_capacity(
        &Service::from("crumb-assist"),
        Capacity {
            slots: 0,
            token_rate: 0.0,
        },
        Millis(0),
    );
    let mut batch = request(1, "bakers");
    batch.priority = Priority::Batch;
    assert!(matches!(
        admission.admit(&batch, Millis(0)),
        Decision::Queue(_)
    ));
    assert!(matches!(
        admission.admit(&batch, Millis(0)),
        Decision::Refuse(refusal) if refusal.reason == RefusalReason::Duplicate
    ));
    assert!(admission.cancel(batch.id, Millis(1)));
    assert!(!admission.cancel(RequestId(Uuid::from_u128(1)), Millis(1)));
    admission.set_capacity(
        &Service::from("crumb-assist"),
        Capacity::default(),
        Millis(2),
    );
    assert_eq!(admission.next_ticket(Millis(2)), None);
    assert_eq!(admission.active_requests(&Organisation::from("bakers")), 0);
    assert!(admission.expire(Millis(2_000_000)).is_empty());
}
