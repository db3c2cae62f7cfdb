use std::collections::BTreeMap;

use crate::net::Net;

/// Guards against nodes with equal tables that assign a duty differently, or to a leaving node.
#[test]
fn assignment_skips_leaving() {
    let mut net = Net::settled(12, 1);
    let assignees = |net: &Net, by: usize, key: u32| -> Vec<String> {
        let membership = &net.nodes[by].membership;
        let found = membership.top_ranked(&key.to_be_bytes(), 3, |member| {
            member.region.as_str() == "waikato"
        });
        found.iter().map(|member| member.name.to_string()).collect()
    };
    for key in 0..50 {
        let first = assignees(&net, 0, key);
        assert_eq!(first.len(), 3);
        assert!((1..12).all(|by| assignees(&net, by, key) == first));
    }
    net.leave(1);
    net.run(3_000);
    let mut moved = 0;
    for key in 0..50 {
        assert!(
            (0..12).all(|by| !assignees(&net, by, key).contains(&crate::net::name(1).to_string()))
        );
        moved += usize::from(assignees(&net, 0, key) != assignees(&net, 2, key));
    }
    assert_eq!(moved, 0);
}

/// Guards against a hash that favours some nodes and overloads them.
#[test]
fn duties_spread_evenly() {
    let net = Net::settled(12, 2);
    let mut held: BTreeMap<String, u32> = BTreeMap::new();
    for key in 0..1_200_u32 {
        let first = net.nodes[0]
            .membership
            .top_ranked(&key.to_be_bytes(), 1, |_| true);
        *held.entry(first[0].name.to_string()).or_default() += 1;
    }
    assert!(
        held.values().all(|count| (60..150).contains(count)),
        "{held:?}"
    );
}
