use std::time::Duration;

use cumin_types::Outcome;

use crate::cluster::{Cluster, caller, chat, expected};

/// Guards against a binary that does not serve as a process of its own: with settings from a file,
/// sockets between processes, and the replica of a request in another process.
#[actix_rt::test]
async fn chat_streams_whole() {
    let cluster = Cluster::start(Duration::from_millis(1), Duration::from_secs(5)).await;
    for node in &cluster.nodes {
        let request = chat("why is the crumb so close", 64);
        let streamed = caller(&[node.entry]).chat(&request).await;
        let streamed = streamed.expect("the stream ends");
        assert_eq!(streamed.tokens, expected(&request));
        assert_eq!(streamed.outcome, Some(Outcome::Done));
        assert!(
            streamed.replica.is_some(),
            "a second process holds the request"
        );
        assert_eq!((streamed.repeated, streamed.skipped), (0, 0));
    }
}
