//! What the two operators' callers send, from a seed.

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

/// Whose workload it is.
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
    /// A long document reviewed, or a verdict drafted.
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

/// An engine as the workload's fleet has it.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub place: &'static str,
    /// Currency units an hour.
    pub price: f64,
    pub reclaimable: bool,
    /// Tokens a second.
    pub prefill: f64,
    /// Time of one token of a stream.
    pub step: Micros,
    pub slots: usize,
    /// Blocks of the prefix cache.
    pub cache: usize,
}

/// A caller: one request, or the turns of a chat.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub at: Micros,
    pub kind: Kind,
    /// Blocks that other scripts begin with, too.
    pub shared: Vec<u64>,
    /// Blocks that each turn adds.
    pub add: usize,
    /// Tokens of each answer.
    pub output: u64,
    pub turns: usize,
    /// Time between an answer and the next turn.
    pub think: Micros,
    /// Time that each answer has.
    pub due: Micros,
}

/// A place that is reclaimed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    pub at: Micros,
    pub place: &'static str,
    /// Time of the notice.
    pub notice: Micros,
    /// Time from the notice until replacements serve.
    pub back: Micros,
}

/// All that happens to a fleet from outside.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub machines: Vec<Machine>,
    pub scripts: Vec<Script>,
    pub losses: Vec<Loss>,
    /// Transfer out of one instance, bytes a second.
    pub bandwidth: f64,
    pub cost: f64,
    pub recompute: f64,
    /// Blocks that tell the documents apart.
    pub depth: usize,
}

/// Parameters that differ between the operators.
struct Shape {
    places: [&'static str; 3],
    engines: usize,
    documents: u64,
    /// Blocks of a document, least and most.
    length: (usize, usize),
    /// Blocks of the instructions before every document.
    rules: usize,
    /// New scripts a second: reviews, checks, chats.
    rates: [f64; 3],
    turns: usize,
    /// Time between turns, least, seconds.
    think: u64,
    weights: (f64, f64),
}

impl Workload {
    pub(crate) fn new(user: User, options: &Options) -> Self {
        let shape = match user {
            User::Bakers => Shape {
                places: ["hamilton", "cambridge", "te-awamutu"],
                engines: 10,
                documents: 60,
                length: (300, 800),
                rules: 24,
                rates: [1.6, 4.0, 1.0],
                turns: 8,
                think: 5,
                weights: (2.0, 1.0),
            },
            User::Judges => Shape {
                places: ["graz-a", "graz-b", "leoben"],
                engines: 20,
                documents: 90,
                length: (250, 650),
                rules: 120,
                rates: [3.0, 7.0, 2.5],
                turns: 10,
                think: 2,
                weights: (1.0, 2.0),
            },
        };
        shape.build(options)
    }
}

impl Shape {
    fn build(&self, options: &Options) -> Workload {
        let rng = &mut ChaCha8Rng::seed_from_u64(options.seed);
        let seconds = options.seconds;
        let mut scripts = Vec::new();
        for (kind, rate) in Kind::ALL.into_iter().zip(self.rates) {
            let mut at = 0.0;
            loop {
                // Exponential gaps between arrivals.
                at -= (1.0 - rng.random::<f64>()).ln() / rate;
                let micros = micros(at);
                if micros >= seconds * SECOND {
                    break;
                }
                scripts.push(self.script(kind, micros, rng));
            }
        }
        let turns = (1..).take_while(|turn| turn * options.every < seconds);
        let order = [0, 2, 1].into_iter().cycle();
        let losses = turns.zip(order).map(|(turn, index)| Loss {
            at: turn * options.every * SECOND,
            place: self.places[index],
            notice: options.notice * SECOND,
            back: 30 * SECOND,
        });
        Workload {
            machines: (0..self.engines).map(|index| self.machine(index)).collect(),
            scripts,
            losses: losses.collect(),
            bandwidth: real(options.bandwidth),
            cost: self.weights.0,
            recompute: self.weights.1,
            depth: self.rules + 16,
        }
    }

    fn machine(&self, index: usize) -> Machine {
        let fast = index % 4 == 3;
        let place = index % 3;
        let reclaimable = index >= 3;
        let zone = [1.0, 1.15, 0.9][place];
        let class = if fast { 3.4 } else { 2.0 };
        Machine {
            place: self.places[place],
            price: class * zone * if reclaimable { 1.0 } else { 2.2 },
            reclaimable,
            prefill: if fast { 14_000.0 } else { 8000.0 },
            step: if fast { 18_000 } else { 25_000 },
            slots: if fast { 24 } else { 16 },
            cache: if fast { 10_000 } else { 7500 },
        }
    }

    fn script(&self, kind: Kind, at: Micros, rng: &mut ChaCha8Rng) -> Script {
        match kind {
            Kind::Review => {
                // A few documents are asked for much more often than the rest.
                let skew = rng.random::<f64>() * rng.random::<f64>();
                let number = whole(skew * real(self.documents));
                let mut length = ChaCha8Rng::seed_from_u64(number);
                let count = length.random_range(self.length.0..self.length.1);
                let mut shared = prefix(1, self.rules);
                extend(&mut shared, 1000 + number, count);
                Script {
                    at,
                    kind,
                    shared,
                    add: 4,
                    output: rng.random_range(500..1200),
                    turns: 1,
                    think: 0,
                    due: 60 * SECOND,
                }
            }
            Kind::Check => Script {
                at,
                kind,
                shared: prefix(2, self.rules / 2),
                add: rng.random_range(8..32),
                output: rng.random_range(30..90),
                turns: 1,
                think: 0,
                due: 6 * SECOND,
            },
            Kind::Chat => Script {
                at,
                kind,
                shared: prefix(3, self.rules),
                add: rng.random_range(4..20),
                output: rng.random_range(80..200),
                turns: rng.random_range(2..=self.turns),
                think: rng.random_range(self.think..3 * self.think) * SECOND,
                due: 10 * SECOND,
            },
        }
    }
}

/// Appends `count` blocks whose content is named by `seed`.
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

/// Returns the tokens in `blocks` blocks.
pub(crate) fn tokens(blocks: usize) -> u64 {
    (blocks * BLOCK_TOKENS) as u64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn whole(value: f64) -> u64 {
    value.max(0.0) as u64
}

pub(crate) fn micros(seconds: f64) -> Micros {
    whole(seconds * 1e6)
}

/// Converts a count; those met here are far below 2^53.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn real(count: u64) -> f64 {
    count as f64
}
