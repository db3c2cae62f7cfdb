//! What model engines speak beside the completion protocol.

use cumin_types::FencingToken;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Answer of `GET /v1/load`; lags behind the engine's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of the report.
    pub seq: u64,
    /// Requests that wait for a slot.
    pub queued: u64,
    /// Tokens of prompt that wait for prefill.
    #[serde(rename = "backlog")]
    pub backlog_tokens: u64,
    /// Requests that generate.
    pub running: u64,
    /// Requests that can generate at once.
    pub slots: u64,
    /// Free blocks of the prefix cache.
    #[serde(rename = "free")]
    pub free_blocks: u64,
}

/// Body of `POST /v1/kv/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The attempt whose KV cache is wanted.
    pub attempt: String,
}

/// Answer of an export; the handle is good until the exporting engine stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exported {
    /// Names the exported cache.
    pub handle: String,
    /// Tokens that it covers.
    pub tokens: u64,
    /// Size to transfer, bytes.
    pub bytes: u64,
}

/// Body of `POST /v1/kv/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Handle given by the export.
    pub handle: String,
    /// Address of the engine that exported, `http://ip:port`.
    pub from: String,
}

/// Answer of an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Imported {
    /// Tokens now in the prefix cache.
    pub tokens: u64,
}

/// A change of the prefix cache; `seq` rises by one, a jump is a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub seq: u64,
    /// What happened.
    pub change: CacheChange,
}

/// A block of the prefix cache, by the hash of the whole prefix up to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block is cached.
    Added(u64),
    /// The block is gone.
    Removed(u64),
}

/// Answer of `GET /v1/cache/events?after=seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events after the asked one that the engine still has.
    pub events: Vec<CacheEvent>,
}

/// Answer of `GET /v1/cache`: all blocks as of `seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheList {
    /// The last event that the list contains.
    pub seq: u64,
    /// Hashes of the cached blocks.
    pub blocks: Vec<u64>,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Proves that the sender holds the lease; some engines ignore it.
    pub token: FencingToken,
    /// Rises with each desired state.
    pub generation: u64,
    /// What to do.
    pub order: Order,
}

/// Orders to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Serve this version of a model.
    Load {
        /// Name of the model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Serve an adapter beside the model.
    Adapter(String),
    /// `prefill`, `decode` or `both`.
    Role(String),
}

/// What an engine serves, answer of `GET /v1/orders` and of each order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Highest generation applied.
    pub generation: u64,
    /// Model and version.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// Role.
    pub role: String,
}

/// Tokens of prompt that one block of the prefix cache holds.
pub const BLOCK_TOKENS: usize = 16;

/// Splits text into tokens as the stand-ins count them: a word with the space before it.
pub fn tokens(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(char::is_whitespace)
}

/// Hashes tokens into blocks of the prefix cache, each chained to the one before it.
///
/// Two prompts share a block exactly when they share the model and the whole prefix up to the
/// block's end.
#[derive(Clone, Debug)]
pub struct BlockChain {
    hash: u64,
    pending: String,
    count: usize,
}

impl BlockChain {
    /// Starts an empty chain; caches of different models share no block.
    #[must_use]
    pub fn new(model: &str) -> Self {
        Self {
            hash: xxh3_64(model.as_bytes()),
            pending: String::new(),
            count: 0,
        }
    }

    /// Adds one token; returns the hash of the block that it completes.
    pub fn push(&mut self, token: &str) -> Option<u64> {
        self.pending.push_str(token);
        self.count += 1;
        if self.count < BLOCK_TOKENS {
            return None;
        }
        self.hash = xxh3_64_with_seed(self.pending.as_bytes(), self.hash);
        self.pending.clear();
        self.count = 0;
        Some(self.hash)
    }
}

/// Returns the hashes of the whole blocks of `text`, first block first.
#[must_use]
pub fn block_hashes(model: &str, text: &str) -> Vec<u64> {
    let mut chain = BlockChain::new(model);
    tokens(text).filter_map(|token| chain.push(token)).collect()
}
