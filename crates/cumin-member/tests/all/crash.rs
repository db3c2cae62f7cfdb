use cumin_member::Status;

use crate::net::Net;

/// Guards against a crashed node that stays live and keeps receiving descriptors and duties.
#[test]
fn crash_reaches_all() {
    for (count, seed) in [(2, 1), (4, 2), (16, 3), (64, 4), (330, 5)] {
        let mut net = Net::settled(count, seed);
        net.loss = 0.05;
        net.crash(count - 1);
        // The suspicion time, and 30 probe periods to detect the crash and gossip it.
        let limit = net.nodes[0].membership.suspicion_ms() + 30 * 200;
        let seen = net.run_until(limit, |net| {
            net.all_see(count - 1, |held| held == Some(Status::Dead))
        });
        assert!(seen.is_some(), "{count} nodes: {}", net.state());
        net.loss = 0.0;
        assert!(
            net.run_until(20_000, Net::agree).is_some(),
            "{count} nodes: {}",
            net.state()
        );
    }
}

/// Guards against deaths from message loss alone, each of which would move requests and duties.
#[test]
fn loss_kills_none() {
    for (count, seed, time) in [
        (2, 1, 600_000),
        (4, 2, 300_000),
        (16, 3, 120_000),
        (64, 4, 60_000),
        (330, 5, 10_000),
    ] {
        let mut net = Net::settled(count, seed);
        net.loss = 0.2;
        net.run(time);
        assert_eq!(net.wrong_deaths, 0, "{count} nodes: {}", net.state());
        net.loss = 0.0;
        assert!(
            net.run_until(20_000, Net::agree).is_some(),
            "{count} nodes: {}",
            net.state()
        );
    }
}

/// Guards against the deaths of a whole place delaying refutations of the other members.
#[test]
fn place_loss_contained() {
    let mut net = Net::settled(120, 6);
    net.loss = 0.05;
    (0..120).step_by(6).for_each(|index| net.crash(index));
    net.run(net.nodes[1].membership.suspicion_ms() + 30 * 200);
    net.loss = 0.0;
    assert!(
        net.run_until(10_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
    for index in net.serving() {
        assert_eq!(net.deaths(index), 20, "node {index}: {}", net.state());
    }
}
