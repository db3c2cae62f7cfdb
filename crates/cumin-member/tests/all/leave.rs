use cumin_member::{Event, Status};

use crate::net::Net;

fn not_live(held: Option<Status>) -> bool {
    held.is_some_and(|status| !status.is_live())
}

/// Guards against a leave that takes longer than 3 s: by an invariant of the design, a leaving
/// endpoint gets no work after that. The time under loss before the leave shows whether false
/// suspicions fill all messages: at 330 nodes a leave once took 33 s.
#[test]
fn leave_reaches_all() {
    for (count, seed) in [(4, 1), (16, 2), (64, 3), (128, 4), (330, 5)] {
        let mut net = Net::settled(count, seed);
        net.loss = 0.2;
        net.run(4_000);
        net.leave(1);
        let told = net.run_until(3_000, |net| net.all_see(1, not_live));
        assert!(told.is_some(), "{count} nodes: {}", net.state());
    }
}

/// Guards against giving up a leaving node that still answers, and against declaring one dead that
/// stopped after its leave.
#[test]
fn leaving_becomes_left() {
    let mut net = Net::settled(16, 6);
    net.loss = 0.2;
    net.leave(1);
    net.run(60_000);
    assert!(
        net.all_see(1, |held| held == Some(Status::Leaving)),
        "{}",
        net.state()
    );
    net.crash(1);
    let left = net.run_until(20_000, |net| {
        net.all_see(1, |held| held == Some(Status::Left))
    });
    assert!(left.is_some(), "{}", net.state());
    for index in net.serving() {
        let wrong = net.nodes[index]
            .events
            .iter()
            .any(|(_, event)| match event {
                Event::Dead { member, .. } | Event::Suspected { member, .. } => {
                    member.name == crate::net::name(1)
                }
                _ => false,
            });
        assert!(!wrong, "node {index} suspected a leaving node");
    }
}

/// Guards against rejecting a new process because its predecessor left.
#[test]
fn rejoin_after_leave() {
    let mut net = Net::settled(16, 7);
    net.leave(1);
    net.run(1_000);
    net.crash(1);
    net.run(1_000);
    assert!(net.all_see(1, not_live), "{}", net.state());
    net.restart(1, 0);
    assert!(
        net.run_until(5_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
}

/// Guards against lost leaves when many nodes leave at once.
#[test]
fn half_cluster_leaves() {
    let mut net = Net::settled(64, 8);
    net.loss = 0.2;
    (0..64).step_by(2).for_each(|index| net.leave(index));
    let told = net.run_until(3_000, |net| {
        (0..64).step_by(2).all(|index| net.all_see(index, not_live))
    });
    assert!(told.is_some(), "{}", net.state());
}
