use cumin_member::{Event, Status};

use crate::net::{Net, name};

/// A node that resumes must not act on roles that others took over meanwhile.
#[test]
fn paused_node_is_not_trusted_until_it_heard_others() {
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

/// Messages that arrive before the first tick after a pause must not be taken as from before it.
#[test]
fn message_before_the_tick_shows_the_pause() {
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

/// A pause shorter than the suspicion time is none.
#[test]
fn short_pause_changes_nothing() {
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
