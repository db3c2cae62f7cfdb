use std::time::Duration;

use cumin_client::Error;
use cumin_standin::engine;
use cumin_testbed::Options;
use cumin_types::{Millis, Outcome};

use crate::support::{KEY, OTHER, chat, document, expected, start, testbed};

/// Guards against a quota that is not enforced across all nodes, and against a refusal without the
/// outcome `not_run`.
#[actix_rt::test]
async fn quota_refuses_not_run() {
    let mut document = document();
    let org = document
        .organisations
        .get_mut("hamilton-ovens")
        .expect("the organisation");
    org.quota.requests_per_second = 4.0;
    let bed = start(document, Options::default()).await;
    // The nodes' shares of the quota are stable after two exchanges of demand.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let client = bed.client(KEY);
    let requests: Vec<_> = (0..60)
        .map(|number| chat(&format!("check {number}"), 2))
        .collect();
    let answers = futures_util::future::join_all(requests.iter().map(|one| client.chat(one))).await;
    let done = answers.iter().filter(|answer| answer.is_ok()).count();
    // 4 a second with a burst of 2 seconds, plus the refill while the test runs.
    assert!((4..=24).contains(&done), "{done} of 60 ran");
    for answer in answers {
        if let Err(Error::Refused {
            status, outcome, ..
        }) = answer
        {
            assert_eq!((status, outcome), (429, Some(Outcome::NotRun)));
        }
    }
    let other = bed
        .client(OTHER)
        .chat(&chat("hello", 5))
        .await
        .expect("another organisation runs");
    assert_eq!(other.tokens.len(), 5);
}

/// Guards against retries that multiply load while every endpoint fails.
#[actix_rt::test]
async fn retries_are_limited() {
    let mut options = Options::default();
    // Requests wait for the retry budget until their deadline.
    options.node.completion_deadline = Millis(4_000);
    let bed = testbed(options).await;
    for engine in bed.engines.values() {
        engine.fault(|faults| {
            faults.cut = Some(engine::Cut {
                after: 0,
                once: false,
            });
        });
    }
    let client = bed.client(KEY);
    let requests: Vec<_> = (0..200)
        .map(|number| chat(&format!("check {number}"), 4))
        .collect();
    let answers = futures_util::future::join_all(requests.iter().map(|one| client.chat(one))).await;
    for answer in answers.iter().flatten() {
        assert_ne!(answer.outcome, Some(Outcome::Done));
    }
    let attempts = bed.engine_stats().attempts;
    // 1.2 attempts per request, plus the retry budget with which each of 4 nodes starts.
    assert!(attempts <= 240 + 20, "{attempts} attempts for 200 requests");
}

/// Guards against a request that crashes every endpoint it reaches and is sent to one after
/// another.
#[actix_rt::test]
async fn poison_is_quarantined() {
    let options = Options {
        engine_count: Some(20),
        ..Options::default()
    };
    let bed = testbed(options).await;
    for engine in bed.engines.values() {
        engine.fault(|faults| faults.poison = Some("POISON".into()));
    }
    let client = bed.client(KEY);
    let good: Vec<_> = (0..200)
        .map(|number| chat(&format!("a good check {number}"), 40))
        .collect();
    let bad = chat("POISON in the dough", 40);
    let poison = async {
        let mut ends = Vec::new();
        for _ in 0..20 {
            ends.push(client.chat(&bad).await);
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        ends
    };
    let good_calls = futures_util::future::join_all(good.iter().map(|one| client.chat(one)));
    let (answers, ends) = futures_util::future::join(good_calls, poison).await;
    for (request, answer) in good.iter().zip(answers) {
        let answer = answer.expect("a good request completes");
        assert_eq!(
            answer.tokens,
            expected(request),
            "outcome {:?}",
            answer.outcome
        );
    }
    for answer in ends.iter().flatten() {
        assert_ne!(answer.outcome, Some(Outcome::Done));
    }
    let last = ends.last().expect("20 sends");
    assert!(
        matches!(
            last,
            Err(Error::Refused {
                status: 422,
                outcome: Some(Outcome::Failed),
                ..
            })
        ),
        "{last:?}"
    );
    let crashed = bed.crashed_engines();
    assert!(crashed <= 3, "{crashed} of 20 engines crashed");
}

/// Guards against duplicate events and events of another attempt that reach a caller.
#[actix_rt::test]
async fn crossed_events_dropped() {
    let bed = testbed(Options::default()).await;
    for engine in bed.engines.values() {
        engine.fault(|faults| {
            faults.cross = engine::Cross::Insert;
            faults.duplicate = true;
        });
    }
    let client = bed.client(KEY);
    let requests: Vec<_> = (0..20)
        .map(|number| chat(&format!("check {number}"), 30))
        .collect();
    let answers = futures_util::future::join_all(requests.iter().map(|one| client.chat(one))).await;
    for (request, answer) in requests.iter().zip(answers) {
        assert_eq!(answer.expect("an answer").tokens, expected(request));
    }
}
