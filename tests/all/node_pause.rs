use std::time::Duration;

use futures_util::future::join;
use rustix::process::Signal;

use crate::cluster::{Cluster, LIMIT, chat, expected, until};
use crate::event_stream::{EventStream, Next};

/// Tokens of the stream, about 10 s: it must outlast the suspicion and the time after it.
const TOKENS: u64 = 1_000;
/// Time without an event after which a stopped node's sockets hold nothing more.
const QUIET: Duration = Duration::from_millis(300);
/// Time that the woken node is watched for.
const WATCH: Duration = Duration::from_secs(2);

/// Guards against a node that was paused past its own death in the eyes of the others and goes
/// on as the owner of a request: tokens to the caller that left, or a second dispatch.
#[actix_rt::test]
async fn woken_node_sends_nothing_of_a_request_that_moved() {
    let cluster = Cluster::start(Duration::from_millis(10), Duration::from_secs(5)).await;
    let request = chat("a review of the season", TOKENS);
    let paused = &cluster.nodes[0];
    let mut old = EventStream::open(paused.entry, &request).await;
    let mut tokens = old.tokens(40, LIMIT).await;
    paused.signal(Signal::STOP);
    tokens.extend(old.tokens(usize::MAX, QUIET).await);

    let other = cluster.nodes[1].entry;
    let mut new = None;
    until("entry that resumes the stream", async || {
        new = EventStream::resume(other, &old.id, tokens.len()).await;
        new.is_some()
    })
    .await;
    let mut new = new.expect("a stream");
    tokens.extend(new.tokens(1, LIMIT).await);
    cluster.forgotten(1, paused.entry).await;

    let attempts = cluster.bed.engine_stats().attempts;
    paused.signal(Signal::CONT);
    let late = async {
        let mut late = Vec::new();
        loop {
            match old.next(WATCH).await {
                Next::Silent | Next::Ended => return late,
                next => late.push(next),
            }
        }
    };
    let (late, rest) = join(late, new.tokens(usize::MAX, LIMIT)).await;
    tokens.extend(rest);
    assert_eq!(tokens, expected(&request));
    let sent = late.iter().filter(|next| matches!(next, Next::Token(_)));
    assert_eq!(sent.count(), 0, "the woken node sent {late:?}");
    assert_eq!(
        cluster.bed.engine_stats().attempts,
        attempts,
        "a second dispatch"
    );
}
