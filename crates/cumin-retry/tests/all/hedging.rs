use cumin_retry::{GiveUpReason, HedgeDecision, PendingAttempt, RetryOptions, RetryPolicy};
use cumin_types::{Millis, RequestId};
use uuid::Uuid;

use crate::endpoint;

fn pending() -> PendingAttempt {
    PendingAttempt {
        request: RequestId(Uuid::from_u128(1)),
        idempotent: true,
        elapsed: Millis(900),
        expected_latency: Millis(800),
        tried: vec![endpoint(0)],
        candidates: vec![endpoint(0), endpoint(1)],
        deadline: Millis(10_000),
        estimated_duration: Millis(500),
    }
}

/// Guards against hedges of calls that must run once, and against hedges that start too early,
/// without another endpoint, or too late for the deadline.
#[test]
fn hedge_conditions() {
    let skip_reason = |pending: &PendingAttempt| match RetryPolicy::new(RetryOptions::default())
        .hedge(pending, Millis(0))
    {
        HedgeDecision::Skip { reason, .. } => Some(reason),
        _ => None,
    };
    let idempotent = false;
    assert_eq!(
        skip_reason(&PendingAttempt {
            idempotent,
            ..pending()
        }),
        Some(GiveUpReason::NotIdempotent)
    );
    assert_eq!(
        skip_reason(&PendingAttempt {
            deadline: Millis(400),
            ..pending()
        }),
        Some(GiveUpReason::Deadline)
    );
    assert_eq!(
        skip_reason(&PendingAttempt {
            candidates: vec![endpoint(0)],
            ..pending()
        }),
        Some(GiveUpReason::NoEndpoint)
    );
    let early = PendingAttempt {
        elapsed: Millis(300),
        ..pending()
    };
    let decision = RetryPolicy::new(RetryOptions::default()).hedge(&early, Millis(0));
    assert!(matches!(
        decision,
        HedgeDecision::Wait {
            recheck_after: Millis(500),
            ..
        }
    ));
}

/// Guards against hedges that exceed the retry budget, or use it up.
#[test]
fn hedges_share_the_budget() {
    let mut policy = RetryPolicy::new(RetryOptions::default());
    let mut hedges = 0;
    for now in 0..10_000 {
        policy.record_first(Millis(now));
        let decision = policy.hedge(&pending(), Millis(now));
        hedges += u32::from(matches!(decision, HedgeDecision::Start { .. }));
    }
    assert!((900..1100).contains(&hedges), "{hedges}");
    assert!(policy.budget() > 2.0);
}
