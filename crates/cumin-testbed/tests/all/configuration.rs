use std::io::ErrorKind;
use std::time::{Duration, Instant};

use cumin_client::{Client, Error};
use cumin_node::{ApplyOutcome, ApplyRequest, ChangeKind, Operator};
use cumin_standin::Outage;
use cumin_testbed::{Options, Testbed};
use cumin_types::Revision;

use crate::support::{KEY, chat, document, start};

const TEXT: &str = include_str!("../../../../examples/bakers.toml");
const HAMILTON: &str =
    "quota = { requests_per_second = 30.0, concurrent_requests = 120, tokens_per_minute = 480000 }";
const CAMBRIDGE: &str =
    "quota = { requests_per_second = 20.0, concurrent_requests = 80, tokens_per_minute = 360000 }";
/// Target time for a change to take effect at all nodes.
const PROPAGATION_TARGET: Duration = Duration::from_secs(5);

async fn bed() -> Testbed {
    start(document(), Options::default()).await
}

fn operator(bed: &Testbed, number: usize) -> Operator {
    bed.operator(number).expect("the node runs")
}

/// Returns the example document with the quota `old` replaced.
fn with_quota(old: &str, requests: u32, tokens: u64) -> String {
    let new = format!(
        "quota = {{ requests_per_second = {requests}.0, concurrent_requests = 50, tokens_per_minute = {tokens} }}"
    );
    assert_eq!(TEXT.matches(old).count(), 1, "the example has {old}");
    TEXT.replace(old, &new)
}

fn change(text: String, base: Option<u64>, by: &str) -> ApplyRequest {
    ApplyRequest {
        text,
        base: base.map(Revision),
        by: by.into(),
        kind: ChangeKind::Apply,
    }
}

/// Returns the revision of an accepted change.
fn accepted_revision(applied: &ApplyOutcome) -> u64 {
    match applied {
        ApplyOutcome::Accepted { revision, .. } => revision.0,
        other => panic!("not accepted: {other:?}"),
    }
}

async fn apply(bed: &Testbed, number: usize, apply: ApplyRequest) -> ApplyOutcome {
    let answer = operator(bed, number).apply(apply).await;
    answer.expect("the node answers")
}

async fn revision(bed: &Testbed, number: usize) -> u64 {
    let report = operator(bed, number).status().await;
    report.expect("the node answers").revision.0
}

/// Polls until `done` holds, for at most `limit`.
async fn wait_until(limit: Duration, what: &str, mut done: impl AsyncFnMut() -> bool) {
    let begin = Instant::now();
    while !done().await {
        assert!(begin.elapsed() < limit, "not within {limit:?}: {what}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the raw answer to `GET /v1/entries`.
async fn entries(bed: &Testbed, number: usize) -> String {
    let address = bed.entry_address(number).expect("the node runs");
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

/// Guards against a change that some nodes apply only after a restart, and against a quota that is
/// not enforced although the node reports its revision.
#[actix_rt::test]
async fn quota_applied_everywhere() {
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
    let applied = apply(
        &bed,
        0,
        change(with_quota(HAMILTON, 30, 1), None, "anahera"),
    )
    .await;
    assert_eq!(accepted_revision(&applied), 1);
    let begin = Instant::now();
    for (number, client) in clients.iter().enumerate() {
        let left = PROPAGATION_TARGET.saturating_sub(begin.elapsed());
        wait_until(left, "the quota refuses", async || {
            let answer = client.chat(&chat("hello", 50)).await;
            matches!(answer, Err(Error::Refused { status: 429, .. }))
        })
        .await;
        let list = entries(&bed, number).await;
        assert!(list.contains(r#""revision":1,"#), "{list}");
    }
}

/// Guards against two changes on one base revision that both take effect, and against a conflict
/// that does not name the winner and the keys that differ.
#[actix_rt::test]
async fn same_base_conflicts() {
    let bed = bed().await;
    let first = change(with_quota(HAMILTON, 25, 480_000), Some(0), "anahera");
    let second = change(with_quota(CAMBRIDGE, 15, 360_000), Some(0), "wiremu");
    let (first, second) =
        futures_util::future::join(apply(&bed, 0, first), apply(&bed, 1, second)).await;
    let (accepted, rejected, winner) = match &first {
        ApplyOutcome::Accepted { .. } => (&first, &second, "anahera"),
        _ => (&second, &first, "wiremu"),
    };
    assert_eq!(accepted_revision(accepted), 1);
    let ApplyOutcome::Conflict {
        winner: revision,
        by,
        keys,
        ..
    } = rejected
    else {
        panic!("no conflict: {rejected:?}");
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

/// Guards against a change whose append lost its answer being reported as failed, or appended
/// twice.
#[actix_rt::test]
async fn lost_answer_is_settled() {
    let bed = bed().await;
    bed.log.fault(|faults| faults.lost_answers = 1);
    let text = with_quota(HAMILTON, 25, 480_000);
    let applied = apply(&bed, 0, change(text, None, "anahera")).await;
    assert_eq!(accepted_revision(&applied), 1);
    let history = operator(&bed, 1).history().await.expect("an answer");
    assert_eq!(history.len(), 1);
}

/// Guards against an apply that hangs during an outage of the log, and against a change that takes
/// effect after the outage although it was reported as unavailable.
#[actix_rt::test]
async fn outage_changes_nothing() {
    let bed = bed().await;
    for outage in [Outage::Unavailable, Outage::Hang] {
        bed.log.fault(|faults| faults.outage = Some(outage));
        let begin = Instant::now();
        let text = with_quota(HAMILTON, 25, 480_000);
        let applied = apply(&bed, 0, change(text, None, "anahera")).await;
        assert!(
            matches!(applied, ApplyOutcome::Unavailable { .. }),
            "{outage:?}: {applied:?}"
        );
        // The time limit of an operator's call.
        assert!(begin.elapsed() < Duration::from_secs(10));
        bed.log.fault(|faults| faults.outage = None);
        actix_rt::time::sleep(Duration::from_secs(5)).await;
        assert!(bed.log.records("config").is_empty());
        for number in 0..4 {
            assert_eq!(revision(&bed, number).await, 0);
        }
    }
}

/// Guards against a revision that is lost with the nodes: a new node that keeps the document of its
/// command line, or one that becomes ready during an outage of the log with an older revision than
/// its peers.
#[actix_rt::test]
async fn replaced_nodes_keep_revision() {
    let bed = bed().await;
    let text = with_quota(HAMILTON, 25, 480_000);
    let applied = apply(&bed, 0, change(text, None, "anahera")).await;
    assert_eq!(accepted_revision(&applied), 1);
    wait_until(PROPAGATION_TARGET, "revision 1 at every node", async || {
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
        wait_until(
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

/// Guards against a node without a document that is ready for callers, and against one that does
/// not become ready once the log has a revision.
#[actix_rt::test]
async fn missing_document_waits() {
    let bed = bed().await;
    let new = bed.add_node_with(None).expect("a node starts");
    for _ in 0..40 {
        assert!(!bed.is_ready(new));
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let client = Client::new(cumin_client::Options {
        key: KEY.into(),
        entries: bed.entry_address(new).into_iter().collect(),
        max_tries: 1,
        ..cumin_client::Options::default()
    });
    let answer = client.chat(&chat("hello", 5)).await;
    assert!(
        matches!(answer, Err(Error::Refused { status: 503, .. })),
        "{answer:?}"
    );
    let applied = apply(&bed, 0, change(TEXT.into(), None, "anahera")).await;
    assert_eq!(accepted_revision(&applied), 1);
    wait_until(PROPAGATION_TARGET, "the node is ready", async || {
        bed.is_ready(new)
    })
    .await;
}

/// Guards against a document that is accepted with errors, for another environment or without an
/// author, and against an answer that does not list every problem.
#[actix_rt::test]
async fn bad_documents_refused() {
    let bed = bed().await;
    let two = TEXT
        .replace("currency = ", "money = ")
        .replace("requests_per_second = 30.0", "requests_per_second = -1.0");
    let ApplyOutcome::Invalid { problems } = apply(&bed, 0, change(two, None, "anahera")).await
    else {
        panic!("accepted");
    };
    let all = problems.join("\n");
    assert!(all.contains("money") && all.contains("-1"), "{all}");
    let elsewhere = TEXT.replace("name = \"bakers\"", "name = \"growers\"");
    let applied = apply(&bed, 0, change(elsewhere, None, "anahera")).await;
    assert!(
        matches!(applied, ApplyOutcome::Invalid { .. }),
        "{applied:?}"
    );
    let applied = apply(&bed, 0, change(TEXT.into(), None, " ")).await;
    assert!(
        matches!(applied, ApplyOutcome::Refused { .. }),
        "{applied:?}"
    );
    assert!(bed.log.records("config").is_empty());
}

/// Guards against operator calls that succeed with an organisation's key.
#[actix_rt::test]
async fn caller_keys_refused() {
    let bed = bed().await;
    let caller = bed.operator_with_secret(0, KEY).expect("the node runs");
    let text = with_quota(HAMILTON, 25, 480_000);
    assert!(caller.apply(change(text, None, "mallory")).await.is_err());
    assert!(caller.history().await.is_err());
    assert!(caller.status().await.is_err());
    assert!(caller.explain("entry-1").await.is_err());
    assert!(caller.drain().await.is_err());
    assert!(!bed.take_drain_order(0));
    assert!(bed.log.records("config").is_empty());
}

/// Guards against a status that omits members or endpoints, an explanation with the decisions of
/// one node only, and a drain that is not ordered.
#[actix_rt::test]
async fn status_explain_and_drain() {
    let bed = bed().await;
    let report = operator(&bed, 0).status().await.expect("an answer");
    assert!(report.ready && !report.leaving);
    assert_eq!(report.members.len(), 4);
    assert!(report.members.iter().all(|member| member.status == "alive"));
    let endpoints: usize = report.endpoints.values().sum();
    assert_eq!(endpoints, bed.engines.len() + bed.services.len());
    // Every node acquires shards of the log and records a decision about itself for that.
    for node in ["entry-1", "entry-2"] {
        let explained = operator(&bed, 0).explain(node).await.expect("an answer");
        assert!(explained.silent.is_empty());
        let decisions = explained.decisions.iter();
        assert!(
            decisions
                .into_iter()
                .any(|decision| decision.node.as_str() == node),
            "{node}"
        );
    }
    let name = operator(&bed, 3).drain().await.expect("an answer");
    assert_eq!(name.as_str(), "entry-4");
    assert!(bed.take_drain_order(3));
}
