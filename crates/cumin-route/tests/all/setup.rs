//! Endpoints, queries and dispatches shared by the tests.

use cumin_route::{Dispatch, EndpointInfo, Query};
use cumin_types::{AttemptId, Cost, Priority};
use cumin_wire::cloud::Market;
use cumin_wire::engine::{BLOCK_TOKENS, BlockChain};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use uuid::Uuid;

pub fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

pub fn endpoint(name: &str) -> EndpointInfo {
    EndpointInfo {
        name: name.into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        service: "kampfrichter".into(),
        models: vec!["referee".into()],
        place: "graz-a".into(),
        price: Cost(2.0),
        market: Market::Reclaimable,
        slots: 8,
        life: None,
    }
}

/// Returns the hashes of the first `count` blocks of a document.
pub fn document(seed: u64, count: usize) -> Vec<u64> {
    let mut chain = BlockChain::new(&seed.to_string());
    (0..count * BLOCK_TOKENS)
        .filter_map(|_| chain.push("word "))
        .collect()
}

pub fn query(blocks: Vec<u64>) -> Query {
    Query {
        service: "kampfrichter".into(),
        model: Some("referee".into()),
        prompt_tokens: (blocks.len() * BLOCK_TOKENS) as u64,
        blocks,
        output_tokens: 100,
        priority: Priority::Normal,
        deadline: None,
        exclude: Vec::new(),
        place: None,
    }
}

pub fn dispatch(number: u128, query: &Query) -> Dispatch {
    Dispatch {
        attempt: AttemptId(Uuid::from_u128(number)),
        blocks: query.blocks.clone(),
        prompt_tokens: query.prompt_tokens,
        cached_tokens: 0,
        priority: query.priority,
    }
}
