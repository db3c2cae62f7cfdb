use crate::net::{Net, item};

/// Guards against messages that grow with the cluster and exceed the byte budget of a node.
#[test]
fn message_size_bounded() {
    for (count, seed) in [(4, 1), (64, 2), (200, 3)] {
        let mut net = Net::settled(count, seed);
        (net.loss, net.count_bytes) = (0.2, true);
        for number in 0..300 {
            net.publish(
                number % count,
                item(&format!("quota/organisation-{number}"), 1),
            );
        }
        (0..count / 4).for_each(|index| net.crash(index));
        net.run(20_000);
        assert!(net.largest <= 1_400, "{count} nodes: {} bytes", net.largest);
    }
}

/// Guards against load per node that grows with the number of nodes.
#[test]
fn idle_load_constant() {
    for (count, seed) in [(4, 1), (64, 2), (200, 3)] {
        let mut net = Net::settled(count, seed);
        net.run(30_000);
        net.count_bytes = true;
        let (messages, bytes) = (net.messages, net.bytes);
        net.run(20_000);
        let nodes = 20 * count as u64;
        // Five probes and five answers a second, and a margin for comparisons.
        assert!(
            (net.messages - messages) / nodes <= 12,
            "{count} nodes: {} messages",
            net.messages - messages
        );
        assert!(
            (net.bytes - bytes) / nodes <= 4_000,
            "{count} nodes: {} bytes",
            net.bytes - bytes
        );
    }
}

/// Guards against rejecting messages of a later version, which may have further fields.
#[test]
fn unknown_fields_ignored() {
    let net = Net::settled(2, 4);
    let from = net.nodes[0]
        .membership
        .record(&crate::net::name(0))
        .expect("itself");
    let text = serde_json::json!({"from": from, "digest": 1, "later": true}).to_string();
    let message: cumin_member::Message = serde_json::from_str(&text).expect("parses");
    assert_eq!(&message.from, from);
}
