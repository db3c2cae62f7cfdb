//! Time of one endpoint selection by number of endpoints, with load reports, attempts in flight and a
//! filled prefix index.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use cumin_route::{Dispatch, EndpointInfo, Query, Router, RouterOptions};
use cumin_types::{AttemptId, Cost, Millis, Priority};
use cumin_wire::cloud::Market;
use cumin_wire::engine::{BLOCK_TOKENS, CacheList, Load};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use uuid::Uuid;

/// Blocks indexed for each endpoint.
const INDEXED_BLOCKS: usize = 4000;

fn document(seed: u64, count: usize) -> Vec<u64> {
    let mut last = seed;
    let mut next = || {
        last = xxhash_rust::xxh3::xxh3_64_with_seed(b"block", last);
        last
    };
    (0..count).map(|_| next()).collect()
}

fn query(blocks: Vec<u64>) -> Query {
    Query {
        service: "assist".into(),
        model: Some("model".into()),
        prompt_tokens: (blocks.len() * BLOCK_TOKENS) as u64,
        blocks,
        output_tokens: 200,
        priority: Priority::Normal,
        deadline: Some(Millis(60_000)),
        exclude: vec!["e3".into()],
        place: Some("graz-a".into()),
    }
}

fn router(count: usize) -> Router {
    let mut router = Router::new(RouterOptions::default());
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for number in 0..count {
        let class: u32 = rng.random_range(0..3);
        let name = format!("e{number}").as_str().into();
        router.upsert(EndpointInfo {
            name: format!("e{number}").into(),
            address: "127.0.0.1:9000".parse().expect("an address"),
            service: "assist".into(),
            models: vec!["model".into()],
            place: ["graz-a", "graz-b", "leoben"][number % 3].into(),
            price: Cost(f64::from(class + 1)),
            market: Market::Reclaimable,
            slots: 16,
            life: (class > 0).then_some(Millis(3_600_000)),
        });
        let mut blocks = document(1, 32);
        while blocks.len() < INDEXED_BLOCKS {
            let length = rng.random_range(100..600);
            blocks.extend(document(rng.random_range(2..2000), length));
        }
        router.replace_cache(&name, &CacheList { seq: 1, blocks });
        let load = Load {
            seq: 1,
            queued: 0,
            backlog_tokens: rng.random_range(0..20_000),
            running: rng.random_range(0..16),
            slots: 16,
            free_blocks: 0,
        };
        router.record_load(&name, &load, Millis(1000));
        for send in 0..4 {
            let work = Dispatch {
                attempt: AttemptId(Uuid::from_u128((number * 4 + send) as u128)),
                blocks: Vec::new(),
                prompt_tokens: 500,
                cached_tokens: 0,
                priority: Priority::Normal,
            };
            router.record_sent(&name, &work, Millis(1000));
        }
    }
    router
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for count in [10, 20, 150, 300, 600, 900] {
        let mut router = router(count);
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        // Shared instructions only, a long document that is cached, and a prompt that is not cached.
        for (name, seeds, blocks) in [
            ("shared", 1..2, 32),
            ("document", 2..2000, 500),
            ("new", 5000..6000, 500),
        ] {
            let queries: Vec<Query> = (0..64)
                .map(|_| query(document(rng.random_range(seeds.clone()), blocks)))
                .collect();
            let mut turn = 0;
            group.bench_function(BenchmarkId::new(name, count), |bencher| {
                bencher.iter(|| {
                    turn += 1;
                    let query = &queries[turn % queries.len()];
                    black_box(router.choose(query, Millis(1100), &mut rng))
                });
            });
        }
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    choose(&mut criterion);
    criterion.final_summary();
}
