//! The bound on the number of candidates and the quality of the bounded choice.

use cumin_route::{EndpointInfo, Rates, Router, RouterOptions};
use cumin_types::{Cost, Millis};
use cumin_wire::engine::Load;
use rand::Rng;

use crate::setup::{dispatch, document, endpoint, query, rng};

const FLEET: usize = 900;

/// Returns two routers with the same view of a mixed fleet: one with the default bound on
/// candidates and one that scores all endpoints.
fn routers() -> [Router; 2] {
    let bounded = RouterOptions::default();
    let all = RouterOptions {
        candidates: FLEET,
        ..RouterOptions::default()
    };
    [bounded, all].map(|options| {
        let (mut router, mut rng) = (Router::new(options), rng());
        for number in 0..FLEET {
            let class: u32 = rng.random_range(0..3);
            let name = format!("e{number}");
            router.upsert(EndpointInfo {
                place: ["graz-a", "graz-b", "leoben"][rng.random_range(0..3)].into(),
                price: Cost(f64::from(class + 1)),
                life: (class > 0).then_some(Millis(3_600_000)),
                ..endpoint(&name)
            });
            let name = name.as_str().into();
            let rates = Rates {
                prefill: rng.random_range(7000.0..9000.0),
                ..Rates::default()
            };
            router.record_rates(&name, &rates, Millis(0));
            let running = rng.random_range(0..9);
            let load = Load {
                seq: 1,
                queued: if running == 8 { 2 } else { 0 },
                backlog_tokens: rng.random_range(0..20_000),
                running,
                slots: 8,
                free_blocks: 0,
            };
            router.record_load(&name, &load, Millis(1000));
            for send in 0..2 {
                let query = query(document(rng.random_range(0..300), rng.random_range(1..200)));
                let id = (number * 2 + send) as u128;
                router.record_sent(&name, &dispatch(id, &query), Millis(1000));
            }
        }
        router
    })
}

/// Guards against the cost of a choice growing with the fleet, and against a bound that misses
/// good endpoints: 99% of the choices must be within 5% of the best score of all endpoints.
#[test]
fn scored_bounded() {
    let [mut bounded, mut all] = routers();
    let mut rng = rng();
    let mut worse = 0;
    for number in 0..400 {
        let query = query(document(number % 320, 200));
        let some = bounded.choose(&query, Millis(1100), &mut rng).unwrap();
        let best = all.choose(&query, Millis(1100), &mut rng).unwrap();
        assert!(some.scored <= RouterOptions::default().candidates);
        assert_eq!((best.scored, some.eligible), (FLEET, FLEET));
        let lowest = |choice: &cumin_route::Choice| {
            let others = choice.others.iter().map(|other| other.terms.score());
            others.fold(choice.best.terms.score(), f64::min)
        };
        worse += usize::from(lowest(&some) > lowest(&best) * 1.05 + 1.0);
    }
    assert!(
        worse <= 4,
        "{worse} of 400 choices score more than 5% worse than the best endpoint"
    );
}
