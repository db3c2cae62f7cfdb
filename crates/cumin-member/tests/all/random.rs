//! Random sequences of faults, checked against invariants and for convergence afterwards.

use cumin_member::{Event, Status};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use crate::net::{Net, item, name};

const NODES: usize = 7;

#[derive(Clone, Debug)]
enum Fault {
    Run(u64),
    Loss(u8),
    Delay(u64),
    Crash(usize),
    Restart(usize, u64),
    Pause(usize, u64),
    Leave(usize),
    Split(u8),
    Publish(usize, u8),
}

/// Expected state of the nodes after the faults.
#[derive(Clone, Debug)]
struct Expected {
    seed: u64,
    up: [bool; NODES],
    versions: [u64; 4],
}

impl ReferenceStateMachine for Expected {
    type State = Self;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<Self> {
        any::<u64>()
            .prop_map(|seed| Self {
                seed,
                up: [true; NODES],
                versions: [0; 4],
            })
            .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Fault> {
        prop_oneof![
            4 => (10_u64..8_000).prop_map(Fault::Run),
            1 => (0_u8..40).prop_map(Fault::Loss),
            1 => (0_u64..250).prop_map(Fault::Delay),
            2 => (0..NODES).prop_map(Fault::Crash),
            3 => (0..NODES, 0_u64..5_000).prop_map(|(node, slow)| Fault::Restart(node, slow)),
            1 => (0..NODES, 100_u64..12_000).prop_map(|(node, time)| Fault::Pause(node, time)),
            1 => (0..NODES).prop_map(Fault::Leave),
            1 => any::<u8>().prop_map(Fault::Split),
            2 => (0..NODES, 0_u8..4).prop_map(|(node, key)| Fault::Publish(node, key)),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, fault: &Fault) -> bool {
        let others = |node: &usize| (0..NODES).any(|other| other != *node && state.up[other]);
        match fault {
            Fault::Crash(node) | Fault::Leave(node) => state.up[*node] && others(node),
            Fault::Restart(node, _) => !state.up[*node],
            Fault::Pause(node, _) | Fault::Publish(node, _) => state.up[*node],
            Fault::Run(_) | Fault::Loss(_) | Fault::Delay(_) | Fault::Split(_) => true,
        }
    }

    fn apply(mut state: Self, fault: &Fault) -> Self {
        match fault {
            // A node that leaves stops before its name is reused.
            Fault::Crash(node) | Fault::Leave(node) => state.up[*node] = false,
            Fault::Restart(node, _) => state.up[*node] = true,
            Fault::Publish(_, key) => state.versions[usize::from(*key)] += 1,
            _ => {}
        }
        state
    }
}

struct Cluster(Net);

/// Asserts that no process sees an incarnation live again after it saw it leave.
fn assert_leaves_final(net: &Net) {
    for node in &net.nodes {
        let gone = node
            .events
            .iter()
            .enumerate()
            .filter_map(|(at, (_, event))| match event {
                Event::Leaving { member, .. } | Event::Left { member, .. } => Some((at, member)),
                _ => None,
            });
        for (at, member) in gone {
            let back = node.events[at..].iter().any(|(_, event)| match event {
                Event::Joined { member: back, .. } | Event::Refuted { member: back, .. } => {
                    back.name == member.name && back.incarnation <= member.incarnation
                }
                _ => false,
            });
            assert!(
                !back,
                "{} came back as incarnation {}",
                member.name, member.incarnation
            );
        }
    }
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Self;
    type Reference = Expected;

    fn init_test(expected: &Expected) -> Self {
        let mut net = Net::settled(NODES, expected.seed);
        net.count_bytes = true;
        // Without the list, nodes that start while all three seeds are down cannot find each other.
        net.platform_list = true;
        Self(net)
    }

    fn apply(mut cluster: Self, expected: &Expected, fault: Fault) -> Self {
        let net = &mut cluster.0;
        match fault {
            Fault::Run(time) => net.run(time),
            Fault::Loss(percent) => net.loss = f64::from(percent) / 100.0,
            Fault::Delay(delay) => net.max_delay = delay,
            Fault::Crash(node) => net.crash(node),
            Fault::Restart(node, slow) => net.restart(node, slow.min(net.now)),
            Fault::Pause(node, time) => net.pause(node, time),
            Fault::Leave(node) => net.leave(node),
            Fault::Split(sides) => {
                for (index, node) in net.nodes.iter_mut().enumerate() {
                    node.side = (sides >> index) & 1;
                }
            }
            Fault::Publish(node, key) => {
                let version = expected.versions[usize::from(key)];
                let now = net.time(node);
                // The item may be older than one that was received; `publish` then rejects it.
                let _ = net.nodes[node]
                    .membership
                    .publish(item(&format!("key-{key}"), version), now);
            }
        }
        assert_leaves_final(net);
        assert!(net.largest <= 1_400, "message of {} bytes", net.largest);
        cluster
    }

    fn teardown(cluster: Self, expected: Expected) {
        let mut net = cluster.0;
        (net.loss, net.max_delay) = (0.0, 2);
        net.nodes.iter_mut().for_each(|node| node.side = 0);
        // Covers the longest pause; a death by suspicion and the rejoin through a seed follow.
        net.run(12_000);
        let agreed = net.run_until(40_000, Net::agree);
        assert!(
            agreed.is_some(),
            "no agreement after the faults ended: {}",
            net.state()
        );
        assert_leaves_final(&net);
        for node in 0..NODES {
            let serves = net.serving().contains(&node);
            assert_eq!(serves, expected.up[node], "node {node}: {}", net.state());
            if !serves {
                let not_live = |held: Option<Status>| held.is_none_or(|status| !status.is_live());
                assert!(
                    net.all_see(node, not_live),
                    "{} is still seen as live",
                    name(node)
                );
            }
        }
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(200),
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against sequences of faults after which tables differ, live nodes are dead, or nodes
    /// that left are live again.
    #[test]
    fn tables_agree_eventually(sequential 1..25 => Cluster);
}
