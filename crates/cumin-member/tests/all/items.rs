use cumin_member::{Item, ItemError};

use crate::net::{Net, item};

/// Guards against items that take longer than 3 s: by an invariant of the design, a leaving endpoint
/// gets no work after that. Several rounds on few nodes check that gossip is not cut short when
/// small groups agree: items once took 8 s.
#[test]
fn item_reaches_all() {
    for (count, seed) in [(4, 1), (16, 2), (64, 3), (128, 4), (330, 5)] {
        let mut net = Net::settled(count, seed);
        net.loss = 0.2;
        for round in 0..(800 / count).clamp(3, 50) {
            let key = format!("endpoint/oven-{round}");
            net.publish(count / 2, item(&key, 1));
            let told = net.run_until(3_000, |net| net.all_have(&key, 1));
            assert!(told.is_some(), "{count} nodes, round {round}");
        }
    }
}

/// Guards against items that stay missing after gossip of them ended under heavy loss.
#[test]
fn comparison_repairs_gossip() {
    let mut net = Net::settled(16, 6);
    net.loss = 0.95;
    (0..200).for_each(|number| net.publish(number % 16, item(&format!("quota/{number}"), 1)));
    net.run(20_000);
    net.loss = 0.0;
    let told = net.run_until(60_000, |net| {
        (0..200).all(|number| net.all_have(&format!("quota/{number}"), 1))
    });
    assert!(told.is_some(), "{}", net.state());
    assert!(
        net.run_until(20_000, Net::agree).is_some(),
        "{}",
        net.state()
    );
}

/// Guards against nodes that keep different versions or values, depending on publisher and order of
/// arrival.
#[test]
fn last_version_wins() {
    let mut net = Net::settled(16, 7);
    net.loss = 0.2;
    for version in 1..=20 {
        net.publish(
            usize::try_from(version).expect("small") % 16,
            item("revision", version * 1000),
        );
        net.run(150);
        assert!(
            net.run_until(5_000, |net| net.all_have("revision", version * 1000))
                .is_some()
        );
    }
    let same = Item {
        value: serde_json::json!(1),
        ..item("revision", 20_000)
    };
    let other = Item {
        value: serde_json::json!(2),
        ..same.clone()
    };
    net.publish(
        0,
        Item {
            version: 20_001,
            ..same
        },
    );
    net.publish(
        9,
        Item {
            version: 20_001,
            ..other
        },
    );
    assert!(
        net.run_until(10_000, Net::agree).is_some(),
        "same version, two values: {}",
        net.state()
    );
}

/// Guards against a copy in flight at expiry that revives the item.
#[test]
fn item_expires_everywhere() {
    let mut net = Net::settled(16, 8);
    net.loss = 0.2;
    net.publish(
        3,
        Item {
            ttl: 4_000,
            ..item("eject/loaf", 1)
        },
    );
    net.run(3_000);
    assert!(net.all_have("eject/loaf", 1));
    net.run(4_000);
    let held = |net: &Net| {
        net.nodes
            .iter()
            .any(|node| node.membership.item("eject/loaf").is_some())
    };
    assert!(!held(&net), "held after it expired");
    net.run(30_000);
    assert!(!held(&net), "revived after it expired");
}

/// Guards against an item that fits no message and blocks others, and an old one that replaces a
/// newer one.
#[test]
fn invalid_items_rejected() {
    let mut net = Net::settled(2, 9);
    let now = net.time(0);
    let membership = &mut net.nodes[0].membership;
    let long = Item {
        value: serde_json::json!("x".repeat(2_000)),
        ..item("long", 1)
    };
    assert!(matches!(
        membership.publish(long, now),
        Err(ItemError::Large { .. })
    ));
    membership.publish(item("twice", 2), now).expect("new");
    let error = membership
        .publish(item("twice", 1), now)
        .expect_err("older");
    assert_eq!(
        error.to_string(),
        "item \"twice\" version 1 is not above the held version 2"
    );
}

/// Guards against a late copy that revives an expired item, and against ignoring a newer version.
#[test]
fn expired_copy_ignored() {
    let mut net = Net::settled(2, 10);
    net.publish(
        1,
        Item {
            ttl: 500,
            ..item("eject/loaf", 4)
        },
    );
    net.run(3_000);
    let from = net.nodes[1]
        .membership
        .record(&crate::net::name(1))
        .expect("itself")
        .clone();
    let late = |version| cumin_member::Message {
        from: from.clone(),
        digest: 0,
        records: Vec::new(),
        items: vec![Item {
            ttl: 300,
            ..item("eject/loaf", version)
        }],
        repair: None,
    };
    let now = net.time(0);
    let membership = &mut net.nodes[0].membership;
    membership.handle_probe(late(4), now);
    assert_eq!(membership.item("eject/loaf"), None);
    membership.handle_probe(late(5), now);
    assert!(membership.item("eject/loaf").is_some());
}
