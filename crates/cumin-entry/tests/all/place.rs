//! Choice of endpoints, and the demand that requests make.

use cumin_entry::place::{Need, PlaceOptions, Placement};
use cumin_types::Millis;

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
