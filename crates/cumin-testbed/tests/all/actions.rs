use std::time::Duration;

use cumin_client::PlainCall;
use cumin_standin::Outage;
use cumin_testbed::{Options, Testbed};
use cumin_types::Outcome;
use uuid::Uuid;

use crate::support::{KEY, testbed};

fn booking(key: Uuid) -> PlainCall {
    PlainCall {
        method: "POST".into(),
        service: "oven-desk".into(),
        path: "bookings".into(),
        key: Some(key),
        body: r#"{"oven":"3","slot":"06:00"}"#.into(),
    }
}

fn effects(bed: &Testbed, key: Uuid) -> u64 {
    bed.effect_count(&key.to_string())
}

/// Guards against a repeated booking that takes effect twice or is answered differently.
#[actix_rt::test]
async fn repeat_replays_answer() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let call = booking(Uuid::now_v7());
    let key = call.key.expect("a key");
    let first = client.call(&call).await.expect("an answer");
    assert_eq!(
        (first.status, first.outcome),
        (200, Some(Outcome::Done)),
        "{first:?}"
    );
    for _ in 0..4 {
        let again = client.call(&call).await.expect("an answer");
        assert_eq!(again.body, first.body);
        assert_eq!(again.outcome, Some(Outcome::Done));
    }
    assert_eq!(effects(&bed, key), 1);
}

/// Guards against concurrent calls with one key at different nodes that run more than once.
#[actix_rt::test]
async fn racing_calls_run_once() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    for _ in 0..10 {
        let call = booking(Uuid::now_v7());
        let answers = futures_util::future::join_all((0..6).map(|_| client.call(&call))).await;
        let bodies: Vec<_> = answers
            .into_iter()
            .map(|answer| answer.expect("an answer").body)
            .collect();
        assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
        assert_eq!(effects(&bed, call.key.expect("a key")), 1);
    }
}

/// Guards against an idempotency key that is accepted with a different body.
#[actix_rt::test]
async fn reused_key_refused() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let call = booking(Uuid::now_v7());
    client.call(&call).await.expect("an answer");
    let other = PlainCall {
        body: r#"{"oven":"4"}"#.into(),
        ..call.clone()
    };
    let answer = client.call_once(&other).await.expect("an answer");
    assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
    assert_eq!(effects(&bed, call.key.expect("a key")), 1);
}

/// Guards against calls that run without a UUIDv7 key, or with one older than the retention.
#[actix_rt::test]
async fn unusable_keys_refused() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let old = Uuid::new_v7(uuid::Timestamp::from_unix(
        uuid::NoContext,
        1_600_000_000,
        0,
    ));
    for key in [None, Some(Uuid::new_v4()), Some(old)] {
        let call = PlainCall {
            key,
            ..booking(Uuid::nil())
        };
        let answer = client.call_once(&call).await.expect("an answer");
        assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
    }
    assert_eq!(
        bed.services
            .values()
            .map(|service| service.stats().effects)
            .sum::<u64>(),
        0
    );
}

/// Guards against an action that runs without a claim in the log during an outage of the log, and
/// against an outage that stops model calls.
#[actix_rt::test]
async fn log_outage_refuses_actions() {
    let mut options = Options::default();
    options.node.plain_deadline = cumin_types::Millis(600);
    let bed = testbed(options).await;
    let client = bed.client(KEY);
    client
        .call(&booking(Uuid::now_v7()))
        .await
        .expect("an answer before the outage");
    for outage in [Outage::Unavailable, Outage::Hang] {
        bed.log.fault(|faults| faults.outage = Some(outage));
        let call = booking(Uuid::now_v7());
        let answer = client.call_once(&call).await.expect("an answer");
        assert_eq!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
        assert_eq!(effects(&bed, call.key.expect("a key")), 0);
        let request = crate::support::chat("a check of my starter", 20);
        let chat = client.chat(&request).await.expect("model calls go on");
        assert_eq!(chat.tokens, crate::support::expected(&request));
        bed.log.fault(|faults| faults.outage = None);
        let again = client
            .call(&call)
            .await
            .expect("an answer after the outage");
        assert_eq!(again.outcome, Some(Outcome::Done), "{again:?}");
        assert_eq!(effects(&bed, call.key.expect("a key")), 1);
    }
}

/// Guards against an append that took effect being treated as failed when its answer was lost.
#[actix_rt::test]
async fn lost_appends_settled() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    for _ in 0..5 {
        bed.log.fault(|faults| faults.lost_answers = 2);
        let call = booking(Uuid::now_v7());
        let answer = client.call(&call).await.expect("an answer");
        assert_eq!(answer.outcome, Some(Outcome::Done), "{answer:?}");
        assert_eq!(effects(&bed, call.key.expect("a key")), 1);
    }
}

/// Guards against a second dispatch after the service's answer was lost, when the action may have
/// taken effect.
#[actix_rt::test]
async fn lost_answer_is_unknown() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    for service in bed.services.values() {
        service.fault(|faults| faults.lost_answers = 1);
    }
    let call = booking(Uuid::now_v7());
    let answer = client.call_once(&call).await.expect("an answer");
    assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
    let again = client.call_once(&call).await.expect("an answer");
    assert_eq!(again.outcome, Some(Outcome::Unknown), "{again:?}");
    assert_eq!(effects(&bed, call.key.expect("a key")), 1);
}

/// Guards against a second dispatch after the node that sent the action crashed.
#[actix_rt::test]
async fn dispatcher_crash_unknown() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    for service in bed.services.values() {
        service.fault(|faults| faults.answer_delay = Duration::from_millis(500));
    }
    let call = booking(Uuid::now_v7());
    let key = call.key.expect("a key");
    let crash = async {
        while effects(&bed, key) == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        bed.crash_node(bed.busy_node().expect("a node runs the call"));
    };
    let (answer, ()) = futures_util::future::join(client.call(&call), crash).await;
    let answer = answer.expect("another node answers");
    assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
    assert_eq!(effects(&bed, key), 1);
}

/// Guards against outcomes that are lost when all nodes are replaced.
#[actix_rt::test]
async fn all_nodes_replaced() {
    let bed = testbed(Options::default()).await;
    let call = booking(Uuid::now_v7());
    let first = bed.client(KEY).call(&call).await.expect("an answer");
    for number in 0..4 {
        bed.crash_node(number);
    }
    for _ in 0..4 {
        bed.add_node().expect("a new node starts");
    }
    let again = bed.client(KEY).call(&call).await.expect("an answer");
    assert_eq!(again.body, first.body);
    assert_eq!(effects(&bed, call.key.expect("a key")), 1);
}

/// Guards against a call that is handed over in a planned stop and whose caller gets a redirect
/// instead of the answer.
#[actix_rt::test]
async fn handed_over_call() {
    let options = Options {
        drain_time: cumin_types::Millis(300),
        ..Options::default()
    };
    let bed = testbed(options).await;
    let client = bed.client(KEY);
    for service in bed.services.values() {
        service.fault(|faults| faults.answer_delay = Duration::from_secs(1));
    }
    let call = PlainCall {
        path: "quotes".into(),
        key: None,
        ..booking(Uuid::nil())
    };
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let owner = bed.busy_node().expect("a node runs the call");
        bed.stop_node(owner).await;
    };
    let (answer, ()) = futures_util::future::join(client.call(&call), stop).await;
    let answer = answer.expect("an answer");
    assert_eq!(
        (answer.status, answer.outcome),
        (200, Some(Outcome::Done)),
        "{answer:?}"
    );
}
