use cumin_member::{Membership, Options, Seed, Status};
use cumin_types::Millis;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::net::{Net, member};

/// Guards against following the platform's lagging list: adding members that do not answer, or
/// removing members that do.
#[test]
fn lagging_platform_list() {
    let mut net = Net::settled(4, 1);
    let now = net.time(0);
    net.nodes[0]
        .membership
        .set_seeds([Seed::Member(member(9, 1))], now);
    net.run(10_000);
    assert!(net.agree(), "{}", net.state());
    assert_eq!(net.seen_status(0, 9), None);
}

/// Guards against a node that cannot serve alone when all its seeds fail.
#[test]
fn lone_node_trusted() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut membership = Membership::new(member(0, 5), Options::default());
    assert!(!membership.trusted(Millis(0)));
    membership.set_seeds([Seed::Address(member(1, 5).rpc)], Millis(0));
    let effects = membership.tick(Millis(0), &mut rng);
    assert!(
        !membership.trusted(Millis(0)),
        "a seed has not answered yet"
    );
    for effect in &effects {
        membership.handle_failure(effect.call(), Millis(10));
    }
    assert!(membership.trusted(Millis(10)));
    assert!(!membership.trusted(Millis(10_000)), "its tick is late");
}

/// Guards against counting answers from a reused address for its previous owner.
#[test]
fn address_reused() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut membership = Membership::new(member(0, 5), Options::default());
    let mut previous = Membership::new(member(1, 5), Options::default());
    let mut successor = member(2, 6);
    successor.rpc = previous.local_member().rpc;
    let mut successor = Membership::new(successor, Options::default());
    membership.set_seeds([Seed::Address(previous.local_member().rpc)], Millis(0));
    for time in (0..20_000).step_by(50) {
        for effect in membership.tick(Millis(time), &mut rng) {
            let (call, message) = match effect {
                cumin_member::Effect::Probe { call, message, .. }
                | cumin_member::Effect::Push { call, message, .. }
                | cumin_member::Effect::Relay { call, message, .. } => (call, message),
            };
            let by = if time < 5_000 {
                &mut previous
            } else {
                &mut successor
            };
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

/// Guards against nodes that start while all seeds are down, serve alone and never find each other
/// through the platform's list.
#[test]
fn platform_list_connects() {
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
