use std::time::Duration;

use cumin_types::Outcome;
use futures_util::future::join;

use crate::cluster::{Cluster, caller, chat, expected};

/// Guards against lost, repeated or wrong tokens when the process that owns a stream is killed
/// without notice.
#[actix_rt::test]
async fn killed_node_tokens() {
    let mut cluster = Cluster::start(Duration::from_millis(5), Duration::from_secs(5)).await;
    let request = chat("a review of the season", 400);
    let client = caller(&cluster.entries());
    let before = cluster.testbed.engine_stats().generated;
    let kill = async {
        let owner = cluster.streaming_node(before, 60).await;
        cluster.nodes[owner].crash();
    };
    let (streamed, ()) = join(client.chat(&request), kill).await;
    let streamed = streamed.expect("the stream ends");
    assert_eq!(streamed.tokens, expected(&request));
    assert_eq!(streamed.outcome, Some(Outcome::Done));
    assert!(streamed.resumes > 0, "the node was killed after the stream");
    assert_eq!((streamed.repeated, streamed.skipped), (0, 0));
}
