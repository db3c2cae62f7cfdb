use cumin_member::{Event, Status};

use crate::net::{Net, name};

/// Guards against a resumed node acting in roles that others have taken over.
#[test]
fn paused_node_untrusted() {
    for seed in 0..20 {
        let mut net = Net::settled(8, seed);
        let before = net.nodes[3].membership.local_member().incarnation;
        net.pause(3, 15_000);
        net.run(14_000);
        assert!(
            net.all_see(3, |held| held == Some(Status::Dead)),
            "{}",
            net.state()
        );
        assert!(
            !net.nodes[3].membership.trusted(net.time(3)),
            "trusted although late"
        );
        net.crash(5);
        net.loss = 1.0;
        net.run(2_000);
        let node = &net.nodes[3];
        assert!(
            node.events
                .iter()
                .any(|(_, event)| matches!(event, Event::Paused { .. }))
        );
        assert!(node.membership.local_member().incarnation > before);
        assert!(
            !node.membership.trusted(net.time(3)),
            "trusted without contact"
        );
        net.loss = 0.0;
        assert!(
            net.run_until(20_000, Net::agree).is_some(),
            "seed {seed}: {}",
            net.state()
        );
    }
}

/// Guards against missing a pause when a message arrives before the first tick after it.
#[test]
fn message_reveals_pause() {
    let mut net = Net::settled(4, 1);
    net.pause(2, 10_000);
    net.run(10_000 - 1);
    let now = net.time(2).plus(1);
    let message = cumin_member::Message {
        from: net.nodes[0]
            .membership
            .record(&name(0))
            .expect("itself")
            .clone(),
        digest: 0,
        records: Vec::new(),
        items: Vec::new(),
        repair: None,
    };
    net.nodes[2].membership.handle_probe(message, now);
    assert!(!net.nodes[2].membership.trusted(now));
    assert!(
        matches!(net.nodes[2].membership.take_events()[0], Event::Paused { gap, .. } if gap > 9_000)
    );
}

/// Guards against deaths or a rejoin after a pause shorter than the suspicion time.
#[test]
fn short_pause_ignored() {
    let mut net = Net::settled(4, 2);
    let before = net.nodes[2].membership.local_member().incarnation;
    net.pause(2, 1_000);
    net.run(5_000);
    assert!(net.agree(), "{}", net.state());
    assert!(
        net.nodes[2]
            .membership
            .local_member()
            .incarnation
            .since(before)
            <= 1,
        "at most one refutation"
    );
    assert_eq!((0..4).map(|index| net.deaths(index)).sum::<usize>(), 0);
}
