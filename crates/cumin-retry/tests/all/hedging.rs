use cumin_retry::{GiveUp, Hedge, HedgeDecision, RetryOptions, RetryPolicy};
use cumin_types::{Millis, RequestId};
use uuid::Uuid;

use crate::endpoint;

fn hedge() -> Hedge {
    Hedge {
        request: RequestId(Uuid::from_u128(1)),
        idempotent: true,
        waited: Millis(900),
        expected: Millis(800),
        tried: vec![endpoint(0)],
        candidates: vec![endpoint(0), endpoint(1)],
        deadline: Millis(10_000),
        estimate: Millis(500),
    }
}

/// Guards against a hedge that runs a call twice, too early, nowhere else, or too late.
#[test]
fn hedge_needs_a_reason() {
    let no = |hedge: &Hedge| match RetryPolicy::new(RetryOptions::default()).hedge(hedge, Millis(0))
    {
        HedgeDecision::No { reason, .. } => Some(reason),
        _ => None,
    };
    let idempotent = false;
    assert_eq!(
        no(&Hedge {
            idempotent,
            ..hedge()
        }),
        Some(GiveUp::NotIdempotent)
    );
    assert_eq!(
        no(&Hedge {
            deadline: Millis(400),
            ..hedge()
        }),
        Some(GiveUp::Deadline)
    );
    assert_eq!(
        no(&Hedge {
            candidates: vec![endpoint(0)],
            ..hedge()
        }),
        Some(GiveUp::NoEndpoint)
    );
    let early = Hedge {
        waited: Millis(300),
        ..hedge()
    };
    let decision = RetryPolicy::new(RetryOptions::default()).hedge(&early, Millis(0));
    assert!(matches!(
        decision,
        HedgeDecision::Wait {
            after: Millis(500),
            ..
        }
    ));
}

/// Guards against hedges that exceed the budget of retries, or leave nothing for them.
#[test]
fn hedges_share_the_budget() {
    let mut policy = RetryPolicy::new(RetryOptions::default());
    let mut started = 0;
    for now in 0..10_000 {
        policy.first(Millis(now));
        let decision = policy.hedge(&hedge(), Millis(now));
        started += u32::from(matches!(decision, HedgeDecision::Start { .. }));
    }
    assert!((900..1100).contains(&started), "{started}");
    assert!(policy.budget() > 2.0);
}
