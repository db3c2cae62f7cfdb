use std::time::Duration;

use cumin_types::Outcome;
use futures_util::future::{join, join_all};
use rustix::process::Signal;

use crate::cluster::{Cluster, caller, chat, expected};

/// Sends SIGTERM to a node that streams six chats; returns the number of resumes of each.
async fn terminate(drain: Duration) -> Vec<u32> {
    let mut cluster = Cluster::start(Duration::from_millis(5), drain).await;
    let requests: Vec<_> = (0..6)
        .map(|number| chat(&format!("check of starter {number}"), 300))
        .collect();
    let client = caller(&[cluster.nodes[0].entry]);
    let before = cluster.testbed.engine_stats().generated;
    let stop = async {
        let owner = cluster.streaming_node(before, 200).await;
        assert_eq!(owner, 0, "the node that the caller uses");
        cluster.nodes[owner].signal(Signal::TERM);
    };
    let chats = join_all(requests.iter().map(|request| client.chat(request)));
    let (answers, ()) = join(chats, stop).await;
    let status = cluster.nodes[0].exit_status().await;
    assert_eq!(status.code(), Some(0), "{status}");
    let check_stream = |(request, answer): (_, Result<cumin_client::Streamed, _>)| {
        let streamed = answer.expect("the stream ends");
        assert_eq!(streamed.tokens, expected(request));
        assert_eq!(streamed.outcome, Some(Outcome::Done));
        assert_eq!((streamed.repeated, streamed.skipped), (0, 0));
        streamed.resumes
    };
    requests.iter().zip(answers).map(check_stream).collect()
}

/// Guards against a planned stop that interrupts streams which would end within the drain time.
#[actix_rt::test]
async fn short_streams_end() {
    let resumes = terminate(Duration::from_secs(10)).await;
    assert_eq!(resumes, [0; 6], "a stream was interrupted");
}

/// Guards against streams lost at the end of the drain time: each must be handed over, and deliver
/// every token once.
#[actix_rt::test]
async fn long_streams_resume() {
    let resumes = terminate(Duration::from_millis(300)).await;
    assert!(resumes.iter().all(|&count| count > 0), "{resumes:?}");
}
