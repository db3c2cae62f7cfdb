use std::time::Duration;

use futures_util::future::join;
use rustix::process::Signal;

use crate::cluster::{Cluster, WAIT_LIMIT, chat, expected, wait_until};
use crate::event_stream::{EventStream, Next};

/// Tokens of the stream, which take about 10 s: longer than it takes the other nodes to suspect the
/// paused node and declare it dead.
const STREAM_TOKENS: u64 = 1_000;
/// Time without an event after which the sockets of the paused node hold no more data.
const DRAINED_GAP: Duration = Duration::from_millis(300);
/// Time without an event after which the resumed node is taken to send nothing more.
const LATE_GAP: Duration = Duration::from_secs(2);

/// Guards against a node that is paused until the others have declared it dead, and then still acts
/// as the owner of a request: it sends tokens to the former caller, or dispatches again.
#[actix_rt::test]
async fn resumed_node_silent() {
    let cluster = Cluster::start(Duration::from_millis(10), Duration::from_secs(5)).await;
    let request = chat("a review of the season", STREAM_TOKENS);
    let paused = &cluster.nodes[0];
    let mut old = EventStream::open(paused.entry, &request).await;
    let mut tokens = old.tokens(40, WAIT_LIMIT).await;
    paused.signal(Signal::STOP);
    tokens.extend(old.tokens(usize::MAX, DRAINED_GAP).await);

    let other = cluster.nodes[1].entry;
    let mut new = None;
    wait_until("entry that resumes the stream", async || {
        new = EventStream::resume(other, &old.id, tokens.len()).await;
        new.is_some()
    })
    .await;
    let mut new = new.expect("a stream");
    tokens.extend(new.tokens(1, WAIT_LIMIT).await);
    cluster.wait_removed(1, paused.entry).await;

    let attempts = cluster.testbed.engine_stats().attempts;
    paused.signal(Signal::CONT);
    let late = async {
        let mut late = Vec::new();
        loop {
            match old.next(LATE_GAP).await {
                Next::Silent | Next::Ended => return late,
                next => late.push(next),
            }
        }
    };
    let (late, rest) = join(late, new.tokens(usize::MAX, WAIT_LIMIT)).await;
    tokens.extend(rest);
    assert_eq!(tokens, expected(&request));
    let sent = late.iter().filter(|next| matches!(next, Next::Token(_)));
    assert_eq!(sent.count(), 0, "the resumed node sent {late:?}");
    assert_eq!(
        cluster.testbed.engine_stats().attempts,
        attempts,
        "a second dispatch"
    );
}
