use std::time::Duration;

use cumin_types::Outcome;
use futures_util::future::join;
use rustix::process::Signal;

use crate::cluster::{Cluster, assert_unknown_or_done, booking, caller, wait_until};

/// Guards against a second effect of a call whose node is killed after the dispatch, before it
/// records the outcome.
#[actix_rt::test]
async fn killed_node_effect() {
    let mut cluster = Cluster::start(Duration::from_millis(1), Duration::from_secs(5)).await;
    for service in cluster.testbed.services.values() {
        service.fault(|faults| faults.effect_delay = Duration::from_millis(500));
    }
    let call = booking();
    let client = caller(&[cluster.nodes[0].entry]);
    let before = cluster.service_calls();
    let kill = async {
        wait_until("dispatch", async || cluster.service_calls() > before).await;
        cluster.nodes[0].crash();
    };
    let (answer, ()) = join(client.call_once(&call), kill).await;
    answer.expect_err("the entry was killed before the effect");
    for node in &cluster.nodes[1..] {
        let answer = caller(&[node.entry]).call_once(&call).await;
        assert_unknown_or_done(&answer.expect("an answer"));
    }
    wait_until("effect", async || cluster.effects(&call) > 0).await;
    assert_eq!(cluster.service_calls(), before + 1, "dispatched again");
    assert_eq!(cluster.effects(&call), 1);
}

/// Guards against a node that is paused between its claim and its dispatch, and dispatches the call
/// after another entry has run it or has answered that it was not run.
#[actix_rt::test]
async fn paused_claim_effect() {
    let cluster = Cluster::start(Duration::from_millis(1), Duration::from_secs(5)).await;
    // The log stores the claim, but acknowledges it late, so that the node is paused in between.
    cluster
        .testbed
        .log
        .fault(|faults| faults.answer_delay = Duration::from_secs(1));
    let call = booking();
    let before = cluster.testbed.log.stats().appends;
    let first = caller(&[cluster.nodes[0].entry]);
    let pause = async {
        wait_until("claim in the log", async || {
            cluster.testbed.log.stats().appends > before
        })
        .await;
        cluster.nodes[0].signal(Signal::STOP);
        cluster
            .testbed
            .log
            .fault(|faults| faults.answer_delay = Duration::ZERO);
        assert_eq!(cluster.effects(&call), 0, "stopped after the dispatch");
        let second = caller(&[cluster.nodes[1].entry]);
        let answer = second.call_once(&call).await;
        cluster.nodes[0].signal(Signal::CONT);
        answer
    };
    let (resumed, other) = join(first.call_once(&call), pause).await;
    let effects = cluster.effects(&call);
    assert!(effects <= 1, "{effects} effects: {resumed:?}, {other:?}");
    let resumed = resumed.expect("the resumed node answers");
    let other = other.expect("the other entry answers");
    for answer in [resumed, other] {
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
        assert_unknown_or_done(&again);
    }
    assert!(
        cluster.effects(&call) <= 1,
        "a repeated call ran again: {again:?}"
    );
}
