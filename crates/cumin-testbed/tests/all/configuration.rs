use std::io::ErrorKind;
use std::time::{Duration, Instant};

use cumin_client::{Client, Error};
use cumin_node::{Applied, Apply, ChangeKind, Operator};
use cumin_standin::Outage;
use cumin_testbed::{Options, Testbed};
use cumin_types::Revision;

use crate::support::{KEY, chat, document, start};

const TEXT: &str = include_str!("../../../../examples/bakers.toml");
const HAMILTON: &str =
    "quota = { requests_per_second = 30.0, concurrent_requests = 120, tokens_per_minute = 480000 }";
const CAMBRIDGE: &str =
    "quota = { requests_per_second = 20.0, concurrent_requests = 80, tokens_per_minute = 360000 }";
/// Target for a change to be in force at all nodes.
const IN_FORCE: Duration = Duration::from_secs(5);

async fn bed() -> Testbed {
    start(document(), Options::default()).await
}

fn operator(bed: &Testbed, number: usize) -> Operator {
    bed.operator(number).expect("the node runs")
}

/// The example with another quota in the place of `old`.
fn changed(old: &str, requests: u32, tokens: u64) -> String {
    let new = format!(
        "quota = {{ requests_per_second = {requests}.0, concurrent_requests = 50, tokens_per_minute = {tokens} }}"
    );
    assert_eq!(TEXT.matches(old).count(), 1, "the example has {old}");
    TEXT.replace(old, &new)
}

fn change(text: String, base: Option<u64>, by: &str) -> Apply {
    Apply {
        text,
        base: base.map(Revision),
        by: by.into(),
        way: ChangeKind::Apply,
    }
}

fn accepted(applied: &Applied) -> u64 {
    match applied {
        Applied::Accepted { revision, .. } => revision.0,
        other => panic!("not accepted: {other:?}"),
    }
}

async fn apply(bed: &Testbed, number: usize, apply: Apply) -> Applied {
    let answer = operator(bed, number).apply(apply).await;
    answer.expect("the node answers")
}

async fn revision(bed: &Testbed, number: usize) -> u64 {
    let report = operator(bed, number).status().await;
    report.expect("the node answers").revision.0
}

/// Polls until `done` holds, for at most `limit`.
async fn within(limit: Duration, what: &str, mut done: impl AsyncFnMut() -> bool) {
    let begin = Instant::now();
    while !done().await {
        assert!(begin.elapsed() < limit, "not within {limit:?}: {what}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns what `GET /v1/entries` answers.
async fn entries(bed: &Testbed, number: usize) -> String {
    let address = bed.entry(number).expect("the node runs");
    let stream = actix_rt::net::TcpStream::connect(address).await;
    let stream = stream.expect("the node accepts");
    stream.writable().await.expect("the connection is open");
    let call = b"GET /v1/entries HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n";
    assert_eq!(stream.try_write(call).expect("it fits"), call.len());
    let mut whole = Vec::new();
    loop {
        stream.readable().await.expect("the connection is open");
        let mut part = [0; 4096];
        match stream.try_read(&mut part) {
            Ok(0) => return String::from_utf8(whole).expect("text"),
            Ok(length) => whole.extend_from_slice(&part[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => panic!("{error}"),
        }
    }
}

/// Guards against a change that some nodes don't take before they are restarted, or whose
/// quota is not enforced although the revision is told.
#[actix_rt::test]
async fn applied_quota_is_in_force_everywhere() {
    let bed = bed().await;
    let clients: Vec<_> = bed
        .entries()
        .into_iter()
        .map(|entry| {
            Client::new(cumin_client::Options {
                key: KEY.into(),
                entries: vec![entry],
                max_tries: 1,
                ..cumin_client::Options::default()
            })
        })
        .collect();
    for client in &clients {
        client.chat(&chat("hello", 5)).await.expect("an answer");
    }
    let applied = apply(&bed, 0, change(changed(HAMILTON, 30, 1), None, "anahera")).await;
    assert_eq!(accepted(&applied), 1);
    let begin = Instant::now();
    for (number, client) in clients.iter().enumerate() {
        let left = IN_FORCE.saturating_sub(begin.elapsed());
        within(left, "the quota refuses", async || {
            let answer = client.chat(&chat("hello", 50)).await;
            matches!(answer, Err(Error::Refused { status: 429, .. }))
        })
        .await;
        let list = entries(&bed, number).await;
        assert!(list.contains(r#""revision":1,"#), "{list}");
    }
}

/// Guards against two changes on one base that both take effect, and against a loser that is not
/// told who won and what differs.
#[actix_rt::test]
async fn same_base_conflicts() {
    let bed = bed().await;
    let first = change(changed(HAMILTON, 25, 480_000), Some(0), "anahera");
    let second = change(changed(CAMBRIDGE, 15, 360_000), Some(0), "wiremu");
    let (first, second) =
        futures_util::future::join(apply(&bed, 0, first), apply(&bed, 1, second)).await;
    let (won, lost, winner) = match &first {
        Applied::Accepted { .. } => (&first, &second, "anahera"),
        _ => (&second, &first, "wiremu"),
    };
    assert_eq!(accepted(won), 1);
    let Applied::Conflict {
        winner: revision,
        by,
        keys,
        ..
    } = lost
    else {
        panic!("no conflict: {lost:?}");
    };
    assert_eq!((revision.0, by.as_str()), (1, winner));
    for org in ["hamilton-ovens", "cambridge-loaves"] {
        let key = format!("organisations.{org}.quota.requests_per_second");
        assert!(keys.contains(&key), "{key} is not among {keys:?}");
    }
    let history = operator(&bed, 2).history().await.expect("an answer");
    assert_eq!(history.len(), 1);
    assert_eq!(history[0].by, winner);
}

/// Guards against a change that is in the log and reported as failed, or appended as two.
#[actix_rt::test]
async fn lost_answer_is_settled() {
    let bed = bed().await;
    bed.log.fault(|faults| faults.lose = 1);
    let text = changed(HAMILTON, 25, 480_000);
    let applied = apply(&bed, 0, change(text, None, "anahera")).await;
    assert_eq!(accepted(&applied), 1);
    let history = operator(&bed, 1).history().await.expect("an answer");
    assert_eq!(history.len(), 1);
}

/// Guards against an apply that hangs during an outage of the log, and against a change that was
/// reported as refused and takes effect after the outage.
#[actix_rt::test]
async fn outage_refuses_and_changes_nothing() {
    let bed = bed().await;
    for outage in [Outage::Unavailable, Outage::Hang] {
        bed.log.fault(|faults| faults.outage = Some(outage));
        let begin = Instant::now();
        let text = changed(HAMILTON, 25, 480_000);
        let applied = apply(&bed, 0, change(text, None, "anahera")).await;
        assert!(
            matches!(applied, Applied::Unavailable { .. }),
            "{outage:?}: {applied:?}"
        );
        // The time in which an operator's call is answered.
        assert!(begin.elapsed() < Duration::from_secs(10));
        bed.log.fault(|faults| faults.outage = None);
        actix_rt::time::sleep(Duration::from_secs(5)).await;
        assert!(bed.log.peek("config").is_empty());
        for number in 0..4 {
            assert_eq!(revision(&bed, number).await, 0);
        }
    }
}

/// Guards against a revision that lives in the nodes only: a replaced node that runs the
/// document of its command line, or that is ready during an outage of the log with an older
/// revision than its peers.
#[actix_rt::test]
async fn replaced_nodes_keep_revision() {
    let bed = bed().await;
    let text = changed(HAMILTON, 25, 480_000);
    let applied = apply(&bed, 0, change(text, None, "anahera")).await;
    assert_eq!(accepted(&applied), 1);
    within(IN_FORCE, "revision 1 at every node", async || {
        let mut all = true;
        for number in 0..4 {
            all &= revision(&bed, number).await == 1;
        }
        all
    })
    .await;
    for old in 0..4 {
        if old == 2 {
            bed.log
                .fault(|faults| faults.outage = Some(Outage::Unavailable));
        }
        let new = bed.add_node().expect("a node starts");
        within(
            Duration::from_secs(10),
            "the new node is ready",
            async || {
                let ready = bed.is_ready(new);
                assert!(!ready || revision(&bed, new).await == 1);
                ready
            },
        )
        .await;
        bed.stop_node(old).await;
    }
    for number in 4..8 {
        assert_eq!(revision(&bed, number).await, 1);
    }
}

/// Guards against a node without any document that takes callers, and against one that does not
/// become ready when the log has a revision.
#[actix_rt::test]
async fn node_without_document_waits() {
    let bed = bed().await;
    let new = bed.add_node_with(None).expect("a node starts");
    for _ in 0..40 {
        assert!(!bed.is_ready(new));
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let client = Client::new(cumin_client::Options {
        key: KEY.into(),
        entries: bed.entry(new).into_iter().collect(),
        max_tries: 1,
        ..cumin_client::Options::default()
    });
    let answer = client.chat(&chat("hello", 5)).await;
    assert!(
        matches!(answer, Err(Error::Refused { status: 503, .. })),
        "{answer:?}"
    );
    let applied = apply(&bed, 0, change(TEXT.into(), None, "anahera")).await;
    assert_eq!(accepted(&applied), 1);
    within(IN_FORCE, "the node is ready", async || bed.is_ready(new)).await;
}

/// Guards against a document that is taken with faults, for another environment or without an
/// author, and against an answer that does not name every problem.
#[actix_rt::test]
async fn bad_documents_change_nothing() {
    let bed = bed().await;
    let two = TEXT
        .replace("currency = ", "money = ")
        .replace("requests_per_second = 30.0", "requests_per_second = -1.0");
    let Applied::Invalid { problems } = apply(&bed, 0, change(two, None, "anahera")).await else {
        panic!("accepted");
    };
    let all = problems.join("\n");
    assert!(all.contains("money") && all.contains("-1"), "{all}");
    let elsewhere = TEXT.replace("name = \"bakers\"", "name = \"growers\"");
    let applied = apply(&bed, 0, change(elsewhere, None, "anahera")).await;
    assert!(matches!(applied, Applied::Invalid { .. }), "{applied:?}");
    let applied = apply(&bed, 0, change(TEXT.into(), None, " ")).await;
    assert!(matches!(applied, Applied::Refused { .. }), "{applied:?}");
    assert!(bed.log.peek("config").is_empty());
}

/// Guards against operator calls that anyone but the operator can make.
#[actix_rt::test]
async fn callers_key_opens_no_operator_call() {
    let bed = bed().await;
    let caller = bed.operator_with(0, KEY).expect("the node runs");
    let text = changed(HAMILTON, 25, 480_000);
    assert!(caller.apply(change(text, None, "mallory")).await.is_err());
    assert!(caller.history().await.is_err());
    assert!(caller.status().await.is_err());
    assert!(caller.explain("entry-1").await.is_err());
    assert!(caller.drain().await.is_err());
    assert!(!bed.drain_ordered(0));
    assert!(bed.log.peek("config").is_empty());
}

/// Guards against a status that misses members or endpoints, reasons of one node only, and a
/// drain that is not ordered.
#[actix_rt::test]
async fn status_explain_and_drain() {
    let bed = bed().await;
    let report = operator(&bed, 0).status().await.expect("an answer");
    assert!(report.ready && !report.leaving);
    assert_eq!(report.members.len(), 4);
    assert!(report.members.iter().all(|member| member.status == "alive"));
    let endpoints: usize = report.endpoints.values().sum();
    assert_eq!(endpoints, bed.engines.len() + bed.services.len());
    // Every node takes shards of the log and notes that about itself.
    for node in ["entry-1", "entry-2"] {
        let explained = operator(&bed, 0).explain(node).await.expect("an answer");
        assert!(explained.silent.is_empty());
        let told = explained.decisions.iter();
        assert!(
            told.into_iter().any(|told| told.node.as_str() == node),
            "{node}"
        );
    }
    let name = operator(&bed, 3).drain().await.expect("an answer");
    assert_eq!(name.as_str(), "entry-4");
    assert!(bed.drain_ordered(3));
}
