use cumin_member::Event;

use crate::net::{Net, name};

/// Guards against taking a restarted node for its previous process, whose state it lost.
#[test]
fn restarted_node_joins() {
    let mut net = Net::settled(16, 1);
    for seed in 0..10 {
        let index = 3 + seed;
        net.nodes.iter_mut().for_each(|node| node.events.clear());
        net.crash(index);
        net.run(seed as u64 * 300);
        net.restart(index, 0);
        assert!(
            net.run_until(4_000, Net::agree).is_some(),
            "{}",
            net.state()
        );
        net.run(1_000);
        for other in net.serving().into_iter().filter(|other| *other != index) {
            let joined = net.nodes[other].events.iter().any(|(_, event)| {
                matches!(event, Event::Joined { member, .. } if member.name == name(index))
            });
            assert!(joined, "node {other} did not report the new process");
        }
    }
}

/// Guards against rejecting a new process whose wall clock is behind that of its predecessor.
#[test]
fn slow_clock_joins() {
    let mut net = Net::settled(8, 2);
    net.run(30_000);
    net.leave(3);
    net.run(2_000);
    net.crash(3);
    net.run(10_000);
    net.restart(3, 40_000);
    assert!(
        net.run_until(10_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
}

/// Guards against a cluster that does not form again from its seeds after all nodes restarted.
#[test]
fn whole_cluster_restarts() {
    for (count, seed) in [(4, 3), (64, 4)] {
        let mut net = Net::settled(count, seed);
        (0..count).for_each(|index| net.crash(index));
        net.run(500);
        (0..count).for_each(|index| net.restart(index, 0));
        net.loss = 0.05;
        net.run(5_000);
        net.loss = 0.0;
        assert!(
            net.run_until(5_000, Net::agree).is_some(),
            "{}",
            net.state()
        );
    }
}
