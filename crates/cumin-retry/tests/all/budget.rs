use cumin_retry::{FailedAttempt, Fault, GiveUpReason, RetryDecision, RetryOptions, RetryPolicy};
use cumin_types::{Millis, RequestId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use uuid::Uuid;

use crate::endpoint;

fn failure(fault: Fault) -> FailedAttempt {
    FailedAttempt {
        request: RequestId(Uuid::from_u128(1)),
        idempotent: true,
        fault,
        endpoint: endpoint(0),
        attempts: 1,
        tried: vec![endpoint(0)],
        candidates: (0..4).map(endpoint).collect(),
        deadline: Millis(30_000),
        estimated_duration: Millis(100),
    }
}

/// Guards against a retry storm: when every endpoint fails, there are less than 1.2 attempts per
/// request at 2 to 1000 requests per second, both steady and in bursts.
#[test]
fn budget_bounds_attempts() {
    for (seed, gap) in [(0, 1), (1, 10), (2, 100), (3, 500), (4, 1), (5, 20)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut policy = RetryPolicy::new(RetryOptions::default());
        let requests = 10_000_u64;
        let burst = if seed >= 4 { 1000 } else { 1 };
        let mut waiting = BinaryHeap::new();
        for id in 0..requests {
            waiting.push(Reverse((id / burst * burst * gap, id, 0_u32)));
        }
        let mut attempts = 0_u64;
        let mut retries = 0_u64;
        while let Some(Reverse((now, id, previous))) = waiting.pop() {
            attempts += 1;
            if previous == 0 {
                policy.record_first(Millis(now));
            }
            let fault = [Fault::Broken, Fault::Refused, Fault::Stalled][rng.random_range(0..3)];
            let failed = FailedAttempt {
                attempts: previous + 1,
                deadline: Millis(id / burst * burst * gap + 30_000),
                ..failure(fault)
            };
            if let RetryDecision::Retry { delay, .. } =
                policy.decide(&failed, Millis(now), &mut rng)
            {
                retries += 1;
                waiting.push(Reverse((now + delay.0.max(1), id, previous + 1)));
            }
        }
        println!(
            "gap {gap} ms, burst {burst}: {attempts} attempts of {requests} requests, {retries} retries"
        );
        assert!(attempts * 10 < requests * 12, "gap {gap}: {attempts}");
        assert!(retries > requests / 20, "the budget was not used");
    }
}

/// Guards against retries of a non-idempotent call that may have taken effect.
#[test]
fn non_idempotent_retries() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (fault, retried) in [
        (Fault::Refused, true),
        (Fault::NotStarted, true),
        (Fault::Broken, false),
        (Fault::Stalled, false),
        (Fault::Status(500), false),
        (Fault::Status(503), false),
        (Fault::Moved, false),
    ] {
        let mut policy = RetryPolicy::new(RetryOptions::default());
        let failed = FailedAttempt {
            idempotent: false,
            ..failure(fault)
        };
        match policy.decide(&failed, Millis(0), &mut rng) {
            RetryDecision::Retry { .. } => assert!(retried, "{fault}"),
            RetryDecision::GiveUp { reason, .. } => {
                assert!(!retried, "{fault}");
                assert_eq!(reason, GiveUpReason::NotIdempotent);
            }
        }
    }
}

/// Guards against a retry at an endpoint that failed while an untried one is available.
#[test]
fn excludes_tried_endpoints() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut excluded = |tried: &[usize], candidates: usize| {
        let failed = FailedAttempt {
            tried: tried.iter().copied().map(endpoint).collect(),
            candidates: (0..candidates).map(endpoint).collect(),
            ..failure(Fault::Broken)
        };
        let mut policy = RetryPolicy::new(RetryOptions::default());
        match policy.decide(&failed, Millis(0), &mut rng) {
            RetryDecision::Retry { exclude, .. } => Ok(exclude),
            RetryDecision::GiveUp { reason, .. } => Err(reason),
        }
    };
    assert_eq!(excluded(&[1, 0], 3), Ok(vec![endpoint(1), endpoint(0)]));
    assert_eq!(
        excluded(&[1, 0], 2),
        Ok(vec![endpoint(0)]),
        "all were tried, so only the last one is excluded"
    );
    assert_eq!(
        excluded(&[0], 1),
        Ok(vec![]),
        "the only candidate is not excluded"
    );
    assert_eq!(excluded(&[0], 0), Err(GiveUpReason::NoEndpoint));
}

/// Guards against retries after the deadline, and against back-off without jitter.
#[test]
fn backoff_respects_deadline() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut delays = Vec::new();
    for attempts in 1..=12 {
        for _ in 0..200 {
            let mut policy = RetryPolicy::new(RetryOptions::default());
            let failed = FailedAttempt {
                attempts,
                deadline: Millis(1000),
                ..failure(Fault::Broken)
            };
            match policy.decide(&failed, Millis(0), &mut rng) {
                RetryDecision::Retry { delay, .. } => {
                    assert!(delay.0 + 100 <= 1000);
                    assert!(delay.0 <= 50 << (attempts - 1));
                    delays.push(delay.0);
                }
                RetryDecision::GiveUp { reason, .. } => assert_eq!(reason, GiveUpReason::Deadline),
            }
        }
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 100, "the delays are not spread");
}

/// Guards against failed requests when one crash interrupts more of them than the budget covers.
/// The others must wait for the budget instead.
#[test]
fn crash_burst_waits() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut policy = RetryPolicy::new(RetryOptions::default());
    for now in 0..1000 {
        policy.record_first(Millis(now * 20));
    }
    let mut delays: Vec<u64> = (0..35)
        .map(
            |_| match policy.decide(&failure(Fault::Broken), Millis(20_000), &mut rng) {
                RetryDecision::Retry { delay, .. } => delay.0,
                RetryDecision::GiveUp { reason, .. } => panic!("given up: {reason}"),
            },
        )
        .collect();
    delays.sort_unstable();
    println!(
        "35 retries at 50 requests a second: the last starts after {} ms",
        delays[34]
    );
    // The budget holds 20 retries. 15 more take about 3 s at 10% of 50 requests per second.
    assert!(delays[34] < 5000);
    assert!(delays[19] <= 50);
}

/// Guards against announced moves that use up the retry budget.
#[test]
fn moves_are_free() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut policy = RetryPolicy::new(RetryOptions::default());
    for _ in 0..1000 {
        let moved = policy.decide(&failure(Fault::Moved), Millis(0), &mut rng);
        assert!(matches!(
            moved,
            RetryDecision::Retry {
                delay: Millis(0),
                ..
            }
        ));
    }
    assert!((policy.budget() - 5.0).abs() < 1e-9);
}
