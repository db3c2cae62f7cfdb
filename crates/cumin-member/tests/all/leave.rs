use cumin_member::{Event, Status};

use crate::net::Net;

fn out(held: Option<Status>) -> bool {
    held.is_some_and(|status| !status.is_live())
}

/// New work that reaches a leaving node after 3 s breaks the invariant of leaving endpoints. The
/// time under loss beforehand guards against false suspicions that fill all messages: at 330
/// nodes a leave once took 33 s.
#[test]
fn leave_reaches_all_within_three_seconds() {
    for (count, seed) in [(4, 1), (16, 2), (64, 3), (128, 4), (330, 5)] {
        let mut net = Net::settled(count, seed);
        net.loss = 0.2;
        net.run(4_000);
        net.leave(1);
        let told = net.run_until(3_000, |net| net.all_see(1, out));
        assert!(told.is_some(), "{count} nodes: {}", net.state());
    }
}

/// A leaving node that still answers is not given up, and one that stopped is left, not dead.
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

/// A node that leaves cannot come back under the same incarnation, a new process at once.
#[test]
fn new_process_after_leave_joins() {
    let mut net = Net::settled(16, 7);
    net.leave(1);
    net.run(1_000);
    net.crash(1);
    net.run(1_000);
    assert!(net.all_see(1, out), "{}", net.state());
    net.restart(1, 0);
    assert!(
        net.run_until(5_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
}

/// Nodes that leave together must still tell those who stay.
#[test]
fn half_leaves_at_once() {
    let mut net = Net::settled(64, 8);
    net.loss = 0.2;
    (0..64).step_by(2).for_each(|index| net.leave(index));
    let told = net.run_until(3_000, |net| {
        (0..64).step_by(2).all(|index| net.all_see(index, out))
    });
    assert!(told.is_some(), "{}", net.state());
}
