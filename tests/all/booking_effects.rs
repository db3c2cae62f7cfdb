use std::time::Duration;

use cumin_types::Outcome;
use futures_util::future::join;
use rustix::process::Signal;

use crate::cluster::{Cluster, assert_in_doubt_or_recorded, booking, caller, until};

/// Guards against a second effect when the process that dispatched a call is killed before it
/// recorded the outcome.
#[actix_rt::test]
async fn killed_node_leaves_at_most_one_effect() {
    let mut cluster = Cluster::start(Duration::from_millis(1), Duration::from_secs(5)).await;
    for service in cluster.bed.services.values() {
        service.fault(|faults| faults.effect_delay = Duration::from_millis(500));
    }
    let call = booking();
    let client = caller(&[cluster.nodes[0].entry]);
    let before = cluster.service_calls();
    let kill = async {
        until("dispatch", async || cluster.service_calls() > before).await;
        cluster.nodes[0].crash();
    };
    let (answer, ()) = join(client.call_once(&call), kill).await;
    answer.expect_err("the entry was killed before the effect");
    for node in &cluster.nodes[1..] {
        let answer = caller(&[node.entry]).call_once(&call).await;
        assert_in_doubt_or_recorded(&answer.expect("an answer"));
    }
    until("effect", async || cluster.effects(&call) > 0).await;
    assert_eq!(cluster.service_calls(), before + 1, "dispatched again");
    assert_eq!(cluster.effects(&call), 1);
}

/// Guards against a node that was paused between its claim and its dispatch, and runs the call
/// after another entry has run it, or has told the caller that it was not run.
#[actix_rt::test]
async fn paused_claim_leaves_at_most_one_effect() {
    let cluster = Cluster::start(Duration::from_millis(1), Duration::from_secs(5)).await;
    // The claim is in the log, and its author does not know it.
    cluster
        .bed
        .log
        .fault(|faults| faults.answer_delay = Duration::from_secs(1));
    let call = booking();
    let before = cluster.bed.log.stats().appends;
    let first = caller(&[cluster.nodes[0].entry]);
    let pause = async {
        until("claim in the log", async || {
            cluster.bed.log.stats().appends > before
        })
        .await;
        cluster.nodes[0].signal(Signal::STOP);
        cluster
            .bed
            .log
            .fault(|faults| faults.answer_delay = Duration::ZERO);
        assert_eq!(cluster.effects(&call), 0, "stopped after the dispatch");
        let second = caller(&[cluster.nodes[1].entry]);
        let answer = second.call_once(&call).await;
        cluster.nodes[0].signal(Signal::CONT);
        answer
    };
    let (woken, other) = join(first.call_once(&call), pause).await;
    let effects = cluster.effects(&call);
    assert!(effects <= 1, "{effects} effects: {woken:?}, {other:?}");
    let woken = woken.expect("the woken node answers");
    let other = other.expect("the other entry answers");
    for answer in [woken, other] {
        if answer.outcome == Some(Outcome::NotRun) {
            assert_eq!(effects, 0, "not run, but it was: {answer:?}");
        }
        if answer.outcome == Some(Outcome::Done) {
            assert_eq!(effects, 1, "done, but it was not: {answer:?}");
        }
    }
    let third = caller(&[cluster.nodes[2].entry]);
    let again = third.call_once(&call).await.expect("an answer");
    if effects == 1 {
        assert_in_doubt_or_recorded(&again);
    }
    assert!(
        cluster.effects(&call) <= 1,
        "a repeated call ran again: {again:?}"
    );
}
