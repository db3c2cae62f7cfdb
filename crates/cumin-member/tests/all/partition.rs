use cumin_member::Status;

use crate::net::{Net, item};

fn region(index: usize) -> u8 {
    u8::from(index % 6 >= 3)
}

/// Guards against a side that stops serving during a partition of the regions, and against tables
/// that stay apart after it heals.
#[test]
fn region_partition_heals() {
    for (count, seed, time) in [(6, 1, 60_000), (24, 2, 300_000), (96, 3, 120_000)] {
        let mut net = Net::settled(count, seed);
        (0..count).for_each(|index| net.nodes[index].side = region(index));
        net.publish(0, item("here", 1));
        net.publish(3, item("there", 1));
        net.run(time);
        for side in 0..2 {
            let group: Vec<usize> = (0..count).filter(|index| region(*index) == side).collect();
            assert!(net.agree_among(&group), "side {side}: {}", net.state());
        }
        assert_eq!(net.seen_status(0, 3), Some(Status::Dead));
        let before: Vec<usize> = (0..count).map(|index| net.deaths(index)).collect();
        net.nodes.iter_mut().for_each(|node| node.side = 0);
        let healed = net.run_until(60_000, |net| {
            net.agree() && net.all_have("here", 1) && net.all_have("there", 1)
        });
        assert!(healed.is_some(), "{count} nodes: {}", net.state());
        // Deaths recorded during the partition must not kill live members after it heals.
        let after: Vec<usize> = (0..count).map(|index| net.deaths(index)).collect();
        assert_eq!(before, after, "deaths after the partition healed");
    }
}

/// Guards against an isolated node that does not serve alone or does not rejoin.
#[test]
fn isolated_node_rejoins() {
    let mut net = Net::settled(6, 4);
    net.nodes[5].side = 1;
    net.run(60_000);
    assert!(net.agree_among(&[5]), "{}", net.state());
    assert!(net.agree_among(&[0, 1, 2, 3, 4]), "{}", net.state());
    net.nodes[5].side = 0;
    assert!(
        net.run_until(30_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
}

/// Guards against a partition that outlasts the retention of dead members and then cannot heal
/// through the seeds.
#[test]
fn partition_outlasts_retention() {
    let mut net = Net::settled(6, 5);
    (0..6).for_each(|index| net.nodes[index].side = region(index));
    net.run(3_700_000);
    assert_eq!(net.seen_status(0, 3), None, "still in the table");
    net.nodes.iter_mut().for_each(|node| node.side = 0);
    assert!(
        net.run_until(60_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
}
