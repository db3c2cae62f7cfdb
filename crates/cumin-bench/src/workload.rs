//! Seeded workloads of the two operators.

use cumin_types::Priority;
use cumin_wire::engine::BLOCK_TOKENS;
use derive_more::Display;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Options;

/// Microseconds of simulated time.
pub(crate) type Micros = u64;

/// Microseconds in a second.
pub(crate) const SECOND: Micros = 1_000_000;

/// Operator whose workload is simulated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum User {
    /// 10 engines in 3 places; cost has the higher weight.
    #[display("bakers")]
    Bakers,
    /// 20 engines in 3 places; recomputed tokens have the higher weight.
    #[display("judges")]
    Judges,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The review of a long document, or the draft of a verdict.
    #[display("review")]
    Review,
    /// A short check or explanation.
    #[display("check")]
    Check,
    /// One turn of a live chat or narration.
    #[display("chat")]
    Chat,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Review, Self::Check, Self::Chat];

    pub(crate) fn priority(self) -> Priority {
        match self {
            Self::Review => Priority::Batch,
            Self::Check => Priority::Normal,
            Self::Chat => Priority::Live,
        }
    }
}

/// Properties of an engine and its instance.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpec {
    pub place: &'static str,
    /// Currency units an hour.
    pub price: f64,
    pub reclaimable: bool,
    /// Prefill speed, tokens a second.
    pub prefill_rate: f64,
    /// Time to generate one token of a stream.
    pub token_time: Micros,
    pub slots: usize,
    /// Capacity of the prefix cache, blocks.
    pub cache_blocks: usize,
}

/// The requests of one caller: a single one, or the turns of a chat.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub at: Micros,
    pub kind: Kind,
    /// Leading blocks that other sessions have too.
    pub shared_blocks: Vec<u64>,
    /// Number of blocks that each turn adds.
    pub turn_blocks: usize,
    /// Number of tokens of each answer.
    pub output_tokens: u64,
    pub turns: usize,
    /// Time between an answer and the next turn.
    pub think_time: Micros,
    /// Time until the deadline of each answer.
    pub answer_time: Micros,
}

/// The reclaim of a whole place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reclaim {
    pub at: Micros,
    pub place: &'static str,
    /// Time from the notice until the engines stop.
    pub notice_time: Micros,
    /// Time from the notice until replacements serve.
    pub replacement_time: Micros,
}

/// A fleet, its callers and the reclaims that it meets.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub engine_specs: Vec<EngineSpec>,
    pub sessions: Vec<Session>,
    pub reclaims: Vec<Reclaim>,
    /// Bandwidth out of one instance, bytes a second.
    pub bandwidth: f64,
    pub cost_weight: f64,
    pub recompute_weight: f64,
    /// Number of leading blocks that distinguish the documents.
    pub prefix_blocks: usize,
}

/// Parameters that differ between the operators.
struct Shape {
    places: [&'static str; 3],
    engines: usize,
    documents: u64,
    /// Lower and upper bound of the blocks of a document; the upper one is excluded.
    document_blocks: (usize, usize),
    /// Number of blocks of the instructions before every document.
    instruction_blocks: usize,
    /// New sessions a second, for reviews, checks and chats.
    rates: [f64; 3],
    turns: usize,
    /// Shortest time between turns, seconds; the longest is below three times as much.
    think_seconds: u64,
    weights: (f64, f64),
}

impl Workload {
    pub(crate) fn new(user: User, options: &Options) -> Self {
        let shape = match user {
            User::Bakers => Shape {
                places: ["hamilton", "cambridge", "te-awamutu"],
                engines: 10,
                documents: 60,
                document_blocks: (300, 800),
                instruction_blocks: 24,
                rates: [1.6, 4.0, 1.0],
                turns: 8,
                think_seconds: 5,
                weights: (2.0, 1.0),
            },
            User::Judges => Shape {
                places: ["graz-a", "graz-b", "leoben"],
                engines: 20,
                documents: 90,
                document_blocks: (250, 650),
                instruction_blocks: 120,
                rates: [3.0, 7.0, 2.5],
                turns: 10,
                think_seconds: 2,
                weights: (1.0, 2.0),
            },
        };
        shape.build(options)
    }
}

impl Shape {
    fn build(&self, options: &Options) -> Workload {
        let rng = &mut ChaCha8Rng::seed_from_u64(options.seed);
        let seconds = options.arrival_seconds;
        let mut sessions = Vec::new();
        for (kind, rate) in Kind::ALL.into_iter().zip(self.rates) {
            let mut at = 0.0;
            loop {
                // The times between arrivals are exponentially distributed.
                at -= (1.0 - rng.random::<f64>()).ln() / rate;
                let micros = micros(at);
                if micros >= seconds * SECOND {
                    break;
                }
                sessions.push(self.session(kind, micros, rng));
            }
        }
        let turns = (1..).take_while(|turn| turn * options.reclaim_seconds < seconds);
        let order = [0, 2, 1].into_iter().cycle();
        let reclaims = turns.zip(order).map(|(turn, index)| Reclaim {
            at: turn * options.reclaim_seconds * SECOND,
            place: self.places[index],
            notice_time: options.notice_seconds * SECOND,
            replacement_time: 30 * SECOND,
        });
        Workload {
            engine_specs: (0..self.engines).map(|index| self.spec(index)).collect(),
            sessions,
            reclaims: reclaims.collect(),
            bandwidth: to_f64(options.bandwidth),
            cost_weight: self.weights.0,
            recompute_weight: self.weights.1,
            prefix_blocks: self.instruction_blocks + 16,
        }
    }

    fn spec(&self, index: usize) -> EngineSpec {
        let fast = index % 4 == 3;
        let place = index % 3;
        let reclaimable = index >= 3;
        let zone = [1.0, 1.15, 0.9][place];
        let class = if fast { 3.4 } else { 2.0 };
        EngineSpec {
            place: self.places[place],
            price: class * zone * if reclaimable { 1.0 } else { 2.2 },
            reclaimable,
            prefill_rate: if fast { 14_000.0 } else { 8000.0 },
            token_time: if fast { 18_000 } else { 25_000 },
            slots: if fast { 24 } else { 16 },
            cache_blocks: if fast { 10_000 } else { 7500 },
        }
    }

    fn session(&self, kind: Kind, at: Micros, rng: &mut ChaCha8Rng) -> Session {
        match kind {
            Kind::Review => {
                // The skew makes a few documents much more frequent than the rest.
                let skew = rng.random::<f64>() * rng.random::<f64>();
                let number = truncate(skew * to_f64(self.documents));
                let mut length = ChaCha8Rng::seed_from_u64(number);
                let count = length.random_range(self.document_blocks.0..self.document_blocks.1);
                let mut shared = prefix(1, self.instruction_blocks);
                extend(&mut shared, 1000 + number, count);
                Session {
                    at,
                    kind,
                    shared_blocks: shared,
                    turn_blocks: 4,
                    output_tokens: rng.random_range(500..1200),
                    turns: 1,
                    think_time: 0,
                    answer_time: 60 * SECOND,
                }
            }
            Kind::Check => Session {
                at,
                kind,
                shared_blocks: prefix(2, self.instruction_blocks / 2),
                turn_blocks: rng.random_range(8..32),
                output_tokens: rng.random_range(30..90),
                turns: 1,
                think_time: 0,
                answer_time: 6 * SECOND,
            },
            Kind::Chat => Session {
                at,
                kind,
                shared_blocks: prefix(3, self.instruction_blocks),
                turn_blocks: rng.random_range(4..20),
                output_tokens: rng.random_range(80..200),
                turns: rng.random_range(2..=self.turns),
                think_time: rng.random_range(self.think_seconds..3 * self.think_seconds) * SECOND,
                answer_time: 10 * SECOND,
            },
        }
    }
}

/// Appends the hashes of `count` blocks whose content depends on `seed`.
pub(crate) fn extend(blocks: &mut Vec<u64>, seed: u64, count: usize) {
    let mut last = blocks.last().copied().unwrap_or(0);
    for index in 0..count as u64 {
        let mut content = [0; 16];
        content[..8].copy_from_slice(&seed.to_le_bytes());
        content[8..].copy_from_slice(&index.to_le_bytes());
        last = xxh3_64_with_seed(&content, last);
        blocks.push(last);
    }
}

fn prefix(seed: u64, count: usize) -> Vec<u64> {
    let mut blocks = Vec::new();
    extend(&mut blocks, seed, count);
    blocks
}

/// Returns the number of tokens in `blocks` blocks.
pub(crate) fn tokens(blocks: usize) -> u64 {
    (blocks * BLOCK_TOKENS) as u64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn truncate(value: f64) -> u64 {
    value.max(0.0) as u64
}

pub(crate) fn micros(seconds: f64) -> Micros {
    truncate(seconds * 1e6)
}

/// Converts a count to floating point; the counts here are far below 2^53.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}
