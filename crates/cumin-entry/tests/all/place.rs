//! Choice of endpoints, and the demand that requests make.

use std::collections::BTreeMap;

use cumin_entry::fleet::Fleet;
use cumin_entry::place::{Choice, Need, Part, PlaceOptions, Placement};
use cumin_types::{EndpointName, Millis};

use crate::{endpoint, engines};

fn placement() -> Placement {
    Placement::new(PlaceOptions::default())
}

fn need(prompt: u64) -> Need {
    Need {
        prompt,
        output: 50,
        goal: Millis(1200),
        left: Millis(6000),
        engine: true,
        ..Need::default()
    }
}

/// hackbrett-grown scale-1: traffic starts at its full rate, and the demand was taken for a
/// quarter of what it was during the first seconds.
#[test]
fn demand_known_early() {
    let mut placement = placement();
    let (engine, need) = (endpoint("one"), need(5000));
    for step in 0..=15 {
        let now = Millis(step * 100);
        placement.sent(&engine, &need, 300_000, 100.0, now);
    }
    let model = PlaceOptions::default().model;
    let true_rate = model.work(5000.0, 50.0) * 10.0 / 1000.0;
    let rate = placement.demand(Millis(1500))[&engines()];
    assert!(
        (rate / true_rate - 1.0).abs() < 0.25,
        "{rate} of {true_rate}"
    );
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.put(endpoint(&format!("e{number}")));
    }
    fleet
}

/// Chooses, counts what is sent, and returns where; `None` when it is refused.
fn place(
    placement: &mut Placement,
    fleet: &Fleet,
    need: &Need,
    now: Millis,
) -> Option<EndpointName> {
    match placement.choose(fleet, &engines(), need, &[], now) {
        Choice::Use {
            endpoint, estimate, ..
        } => {
            let found = fleet.get(&endpoint).expect("it is there");
            placement.sent(found, need, 300_000, estimate, now);
            Some(endpoint)
        }
        Choice::Full { .. } | Choice::Empty => None,
    }
}

/// Grown sites: 26 nodes saw the same idle engine until they heard of each other's requests, and
/// all of them used it.
#[test]
fn no_herd() {
    const NODES: usize = 26;
    let fleet = fleet(90);
    let mut used: BTreeMap<EndpointName, usize> = BTreeMap::new();
    for node in 0..NODES {
        let mut placement = Placement::new(PlaceOptions {
            node: format!("n{node}"),
            ..PlaceOptions::default()
        });
        placement.share(NODES);
        // What a node places between two digests.
        for _ in 0..7 {
            let endpoint = place(&mut placement, &fleet, &need(5000), Millis(0));
            *used.entry(endpoint.expect("all are idle")).or_default() += 1;
        }
    }
    // 182 requests on 90 engines; drawn at random, the fullest gets about eight.
    let most = used.values().max().copied().unwrap_or_default();
    assert!(most <= 10, "{most} requests at one engine");
    assert!(used.len() >= 60, "{} engines used", used.len());
}

/// Few large prompts among many small ones: engines are judged by the tokens that they still
/// have to read.
#[test]
fn by_tokens() {
    let fleet = fleet(2);
    let mut placement = placement();
    let large = place(&mut placement, &fleet, &need(30_000), Millis(0)).expect("idle");
    for _ in 0..8 {
        let small = place(&mut placement, &fleet, &need(500), Millis(0));
        assert_ne!(small, Some(large.clone()));
    }
}

/// Many requests of one session: they go where it is cached, until the tokens ahead there take
/// longer than reading it elsewhere.
#[test]
fn follows_cache() {
    let fleet = fleet(3);
    let mut placement = placement();
    let part = |id, tokens| Part { id, tokens };
    let session = |own| Need {
        parts: vec![part(1, 2500), part(2, 3800), part(own, 500)],
        ..need(6800)
    };
    let home = place(&mut placement, &fleet, &session(10), Millis(0)).expect("idle");
    let same = (11..16)
        .filter(|own| {
            let chosen = place(&mut placement, &fleet, &session(*own), Millis(0));
            chosen.as_ref() == Some(&home)
        })
        .count();
    assert!(same >= 3, "{same} of 5");
    let mut others = 0;
    for own in 16..60 {
        let chosen = place(&mut placement, &fleet, &session(own), Millis(0));
        others += usize::from(chosen.is_some_and(|chosen| chosen != home));
    }
    assert!(others > 0, "one engine got all of a hot session");
}

/// More work than the engines can take: what can't begin within its goal is refused at once, with
/// a time after which there is room.
#[test]
fn full_at_once() {
    let fleet = fleet(2);
    let mut placement = placement();
    let mut placed = 0;
    while place(&mut placement, &fleet, &need(9000), Millis(0)).is_some() {
        placed += 1;
        assert!(placed < 100, "nothing is refused");
    }
    // 1,200 ms of reading at 36.7 tokens a millisecond take at most 4.9 such prompts an engine.
    assert!((6..=10).contains(&placed), "{placed}");
    let refused = placement.choose(&fleet, &engines(), &need(9000), &[], Millis(0));
    let Choice::Full { again, .. } = refused else {
        panic!("{refused:?}");
    };
    assert!(again > Millis(0) && again < Millis(1200), "{again}");
}

/// An endpoint that swallows requests comes last.
#[test]
fn silent_last() {
    let fleet = fleet(2);
    let mut placement = placement();
    let swallows = place(&mut placement, &fleet, &need(500), Millis(0)).expect("idle");
    let now = Millis(2000);
    for _ in 0..5 {
        let chosen = place(&mut placement, &fleet, &need(500), now);
        assert_ne!(chosen, Some(swallows.clone()));
    }
}

/// An endpoint that refuses connections rests, unless all do.
#[test]
fn resting_left_out() {
    let fleet = fleet(2);
    let mut placement = placement();
    placement.refused(&"e0".into(), Millis(0));
    for _ in 0..5 {
        let chosen = place(&mut placement, &fleet, &need(500), Millis(100));
        assert_eq!(chosen, Some("e1".into()));
    }
    placement.refused(&"e1".into(), Millis(100));
    assert!(place(&mut placement, &fleet, &need(500), Millis(150)).is_some());
}
