use cumin_member::{Membership, Options, Seed, Status};
use cumin_types::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::net::{Net, member};

/// The platform's list lags: it must neither add who does not answer nor drop who does.
#[test]
fn lagging_list_neither_adds_nor_drops() {
    let mut net = Net::settled(4, 1);
    let now = net.time(0);
    net.nodes[0]
        .membership
        .set_seeds([Seed::Member(member(9, 1))], now);
    net.run(10_000);
    assert!(net.agree(), "{}", net.state());
    assert_eq!(net.seen_status(0, 9), None);
}

/// A node without seeds, or whose seeds all fail, must be able to serve alone.
#[test]
fn lone_node_is_trusted() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut membership = Membership::new(member(0, 5), Options::default());
    assert!(!membership.trusted(Millis(0)));
    membership.set_seeds([Seed::Address(member(1, 5).rpc)], Millis(0));
    let effects = membership.tick(Millis(0), &mut rng);
    assert!(!membership.trusted(Millis(0)), "a seed was not heard yet");
    for effect in &effects {
        membership.handle_failure(effect.call(), Millis(10));
    }
    assert!(membership.trusted(Millis(10)));
    assert!(!membership.trusted(Millis(10_000)), "its timer is late");
}

/// An address that now belongs to another node must not keep the former one alive.
#[test]
fn address_taken_over_by_another_node() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut membership = Membership::new(member(0, 5), Options::default());
    let mut other = Membership::new(member(1, 5), Options::default());
    let mut heir = member(2, 6);
    heir.rpc = other.local_member().rpc;
    let mut heir = Membership::new(heir, Options::default());
    membership.set_seeds([Seed::Address(other.local_member().rpc)], Millis(0));
    for time in (0..20_000).step_by(50) {
        for effect in membership.tick(Millis(time), &mut rng) {
            let (call, message) = match effect {
                cumin_member::Effect::Probe { call, message, .. }
                | cumin_member::Effect::Push { call, message, .. }
                | cumin_member::Effect::Relay { call, message, .. } => (call, message),
            };
            let by = if time < 5_000 { &mut other } else { &mut heir };
            let answer = by.handle_probe(message, Millis(time));
            membership.handle_answer(call, &answer, Millis(time));
        }
    }
    let held = |index| {
        membership
            .record(&crate::net::name(index))
            .map(|record| record.status)
    };
    assert_eq!(
        (held(1), held(2)),
        (Some(Status::Dead), Some(Status::Alive))
    );
}

/// Nodes that start while all seeds are down serve alone, and must meet by the platform's list.
#[test]
fn strangers_meet_by_the_platforms_list() {
    let mut net = Net::settled(5, 3);
    (0..5).for_each(|index| net.crash(index));
    net.restart(3, 0);
    net.run(1_000);
    net.platform_list = true;
    net.restart(4, 0);
    assert!(
        net.run_until(5_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
}
