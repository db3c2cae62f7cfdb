use std::time::Duration;

use cumin_client::Streamed;
use cumin_testbed::{Options, Testbed};
use cumin_types::{Millis, Outcome};

use crate::support::{KEY, chat, expected, testbed};

/// Guards against a truncated, mixed up or wrongly counted answer when nothing fails.
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

/// Streams `tokens` tokens and reclaims the engine after 200 ms, with a notice of 1 s.
async fn stream_with_reclaim(tokens: u64) -> (Testbed, Streamed) {
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

/// Guards against a reclaim that loses or repeats tokens of a running stream, or that recomputes
/// its prompt.
#[actix_rt::test]
async fn reclaim_moves_streams() {
    let (bed, _) = stream_with_reclaim(2000).await;
    assert_eq!(bed.engine_stats().imports, 1, "the KV cache was not moved");
}

/// Guards against moving a stream that ends within the notice.
#[actix_rt::test]
async fn short_streams_stay() {
    let (bed, _) = stream_with_reclaim(250).await;
    assert_eq!(bed.engine_stats().attempts, 1, "the stream was moved");
}

/// Guards against an endpoint crash that loses or repeats tokens.
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

/// Guards against a node crash that loses a stream, which its caller should resume at another node.
#[actix_rt::test]
async fn node_crash_resumes() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let request = chat("explain the ruling", 400);
    let crash = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let owner = bed.busy_node().expect("a node runs the stream");
        bed.crash_node(owner);
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), crash).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped), (0, 0));
    assert!(answer.resumes >= 1, "the stream did not move");
    assert_eq!(bed.engine_stats().mismatches, 0);
}

/// Guards against a planned stop that interrupts a stream shorter than the drain time.
#[actix_rt::test]
async fn node_stop_finishes() {
    let bed = testbed(Options::default()).await;
    let client = bed.client(KEY);
    let request = chat("a check of my starter", 300);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let owner = bed.busy_node().expect("a node runs the stream");
        bed.stop_node(owner).await;
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), stop).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped, answer.resumes), (0, 0, 0));
}

/// Guards against a planned stop that loses a stream longer than the drain time, instead of handing
/// it over.
#[actix_rt::test]
async fn long_streams_handed_over() {
    let options = Options {
        drain_time: Millis(300),
        ..Options::default()
    };
    let bed = testbed(options).await;
    let client = bed.client(KEY);
    let request = chat("a very long review", 1000);
    let stop = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let owner = bed.busy_node().expect("a node runs the stream");
        bed.stop_node(owner).await;
    };
    let (answer, ()) = futures_util::future::join(client.chat(&request), stop).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.tokens, expected(&request));
    assert_eq!((answer.repeated, answer.skipped, answer.resumes), (0, 0, 1));
    assert_eq!(bed.engine_stats().mismatches, 0);
}
