use std::time::Duration;

use cumin_types::Outcome;
use futures_util::future::{join, join_all};
use rustix::process::Signal;

use crate::cluster::{Cluster, caller, chat, expected};

/// Streams six chats at one node, which gets SIGTERM meanwhile; returns the resumes of each.
async fn terminate(drain: Duration) -> Vec<u32> {
    let mut cluster = Cluster::start(Duration::from_millis(5), drain).await;
    let requests: Vec<_> = (0..6)
        .map(|number| chat(&format!("check of starter {number}"), 300))
        .collect();
    let client = caller(&[cluster.nodes[0].entry]);
    let before = cluster.bed.engine_stats().generated;
    let stop = async {
        let owner = cluster.streaming(before, 200).await;
        assert_eq!(owner, 0, "the node that the caller uses");
        cluster.nodes[owner].signal(Signal::TERM);
    };
    let chats = join_all(requests.iter().map(|request| client.chat(request)));
    let (answers, ()) = join(chats, stop).await;
    let status = cluster.nodes[0].ended().await;
    assert_eq!(status.code(), Some(0), "{status}");
    let whole = |(request, answer): (_, Result<cumin_client::Streamed, _>)| {
        let streamed = answer.expect("the stream ends");
        assert_eq!(streamed.tokens, expected(request));
        assert_eq!(streamed.outcome, Some(Outcome::Done));
        assert_eq!((streamed.repeated, streamed.skipped), (0, 0));
        streamed.resumes
    };
    requests.iter().zip(answers).map(whole).collect()
}

/// Guards against a planned stop that cuts streams which end within the drain time.
#[actix_rt::test]
async fn sigterm_lets_streams_end() {
    let resumes = terminate(Duration::from_secs(10)).await;
    assert_eq!(resumes, [0; 6], "a stream was interrupted");
}

/// Guards against streams lost at the end of the drain time: each moves, with every token once.
#[actix_rt::test]
async fn sigterm_hands_over_long_streams() {
    let resumes = terminate(Duration::from_millis(300)).await;
    assert!(resumes.iter().all(|&count| count > 0), "{resumes:?}");
}
