use std::time::Duration;

use cumin_types::Outcome;

use crate::cluster::{Cluster, booking, caller};

/// Guards against answers that are kept only in the memory of nodes. After the loss of all nodes, a
/// repeated call must get the answer recorded in the log.
#[actix_rt::test]
async fn recorded_answers_survive() {
    let mut cluster = Cluster::start(Duration::from_millis(1), Duration::from_secs(5)).await;
    let mut recorded = Vec::new();
    for number in 0..8 {
        let entry = cluster.nodes[number % 4].entry;
        let call = booking();
        let answer = caller(&[entry]).call_once(&call).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.outcome, Some(Outcome::Done), "{answer:?}");
        recorded.push((call, answer));
    }
    for node in &mut cluster.nodes {
        node.crash();
    }
    cluster.nodes.clear();
    cluster.start_missing().await;
    for (number, (call, before)) in recorded.iter().enumerate() {
        let entry = cluster.nodes[number % 4].entry;
        let answer = caller(&[entry]).call_once(call).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.outcome, Some(Outcome::Done), "{answer:?}");
        assert_eq!((answer.status, &answer.body), (before.status, &before.body));
        assert_eq!(cluster.effects(call), 1);
    }
}
