use std::time::Duration;

use cumin_client::Streamed;
use cumin_testbed::{Options, Testbed};
use cumin_types::{Millis, Outcome};

use crate::support::{KEY, chat, expected, testbed};

/// Guards against an answer that is cut, mixed or wrongly counted on the plain path.
#[actix_rt::test]
async fn chat_streams_whole() {
    let bed = testbed(Options::default()).await;
    let request = chat("how long does a rye loaf proof at 20 degrees", 50);
    let answer = bed.client(KEY).chat(&request).await.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!(answer.outcome, Some(Outcome::Done));
    assert_eq!((answer.repeated, answer.skipped, answer.resumes), (0, 0, 0));
    assert_eq!(answer.usage.expect("counts").completion_tokens, 50);
}

/// Has the engine that runs a stream of `tokens` tokens reclaimed with a notice of 1 s.
async fn reclaim_under(tokens: u64) -> (Testbed, Streamed) {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let request = chat("a long review of the season", tokens);
    let reclaim = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let busy = bed
            .engines
            .iter()
            .find(|(_, engine)| !engine.attempts().is_empty());
        let busy = busy.expect("an engine runs the stream").0.clone();
        assert!(bed.cloud.reclaim(&busy, Duration::from_secs(1)));
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), reclaim).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped, answer.resumes), (0, 0, 0));
    (bed, answer)
}

/// Guards against a reclaim notice that loses or repeats tokens of a running stream, or that
/// computes its prompt again.
#[actix_rt::test]
async fn reclaim_moves_streams() {
    let (bed, _) = reclaim_under(2000).await;
    assert_eq!(bed.engine_stats().imports, 1, "the KV cache was not moved");
}

/// Guards against a move of a stream that ends within the notice anyway.
#[actix_rt::test]
async fn reclaim_leaves_short_streams() {
    let (bed, _) = reclaim_under(250).await;
    assert_eq!(bed.engine_stats().attempts, 1, "the stream was moved");
}

/// Guards against an endpoint's silent death that loses or repeats tokens.
#[actix_rt::test]
async fn engine_crash_resumes() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let request = chat("narrate the heat", 300);
    let crash = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let busy = bed
            .engines
            .values()
            .find(|engine| !engine.attempts().is_empty());
        busy.expect("an engine runs the stream").crash();
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), crash).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped, answer.resumes), (0, 0, 0));
    assert_eq!(bed.engine_stats().mismatches, 0);
}

/// Guards against a node's silent death that loses a stream: its caller resumes elsewhere.
#[actix_rt::test]
async fn node_crash_resumes() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let request = chat("explain the ruling", 400);
    let crash = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let owner = bed.owner_of_some_request().expect("a node runs the stream");
        bed.crash_node(owner);
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), crash).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped), (0, 0));
    assert!(answer.resumes >= 1, "the stream did not move");
    assert_eq!(bed.engine_stats().mismatches, 0);
}

/// Guards against a planned stop that cuts off a stream.
#[actix_rt::test]
async fn node_stop_finishes() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let request = chat("a check of my starter", 300);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let owner = bed.owner_of_some_request().expect("a node runs the stream");
        bed.stop_node(owner).await;
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), stop).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped, answer.resumes), (0, 0, 0));
}

/// Guards against a planned stop that cuts off streams longer than the drain time.
#[actix_rt::test]
async fn long_streams_handed_over() {
    let options = Options {
        drain: Millis(300),
        ..Options::default()
    };
    let bed = testbed(options).await;
    let client = bed.client(KEY);
    let request = chat("a very long review", 1000);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let owner = bed.owner_of_some_request().expect("a node runs the stream");
        bed.stop_node(owner).await;
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), stop).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped, answer.resumes), (0, 0, 1));
    assert_eq!(bed.engine_stats().mismatches, 0);
}
