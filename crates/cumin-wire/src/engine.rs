//! Protocol of model engines apart from completions: load, KV transfer, cache events and orders.

use cumin_types::FencingToken;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Answer of `GET /v1/load`; it may lag behind the state of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequence number of the report.
    pub seq: u64,
    /// Number of requests waiting for a slot.
    pub queued: u64,
    /// Number of prompt tokens waiting for prefill.
    #[serde(rename = "backlog")]
    pub backlog_tokens: u64,
    /// Number of requests that are generating.
    pub running: u64,
    /// Number of requests that can generate at the same time.
    pub slots: u64,
    /// Number of free blocks in the prefix cache.
    #[serde(rename = "free")]
    pub free_blocks: u64,
}

/// Body of `POST /v1/kv/export`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Attempt whose KV cache is exported.
    pub attempt: String,
}

/// Answer of `POST /v1/kv/export`; the handle is valid until the exporting engine stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exported {
    /// Identifier of the exported cache.
    pub handle: String,
    /// Number of tokens that the cache covers.
    pub tokens: u64,
    /// Size of the transfer, bytes.
    pub bytes: u64,
}

/// Body of `POST /v1/kv/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Handle returned by the export.
    pub handle: String,
    /// Address of the exporting engine, `http://ip:port`.
    pub from: String,
}

/// Answer of `POST /v1/kv/import`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Imported {
    /// Number of imported tokens that the prefix cache now contains.
    pub tokens: u64,
}

/// A change of the prefix cache; `seq` increases by one, so a larger step means lost events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
}

/// Kind of change and the affected block, given as the hash of the whole prefix up to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was added to the cache.
    Added(u64),
    /// The block was evicted from the cache.
    Removed(u64),
}

/// Answer of `GET /v1/cache/events?after=seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events with a higher sequence number than `after` that the engine still keeps.
    pub events: Vec<CacheEvent>,
}

/// Answer of `GET /v1/cache`, a snapshot of the prefix cache as of `seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheList {
    /// Sequence number of the last event that the snapshot includes.
    pub seq: u64,
    /// Hashes of the cached blocks.
    pub blocks: Vec<u64>,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Fencing token, which proves that the sender holds the lease; some engines ignore it.
    pub token: FencingToken,
    /// Number of the desired state, which increases with each change.
    pub generation: u64,
    /// The order itself.
    pub order: Order,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Serve this version of a model.
    Load {
        /// Name of the model.
        model: String,
        /// Version of the model.
        version: String,
    },
    /// Serve this adapter in addition to the model.
    Adapter(String),
    /// Take this role: `prefill`, `decode` or `both`.
    Role(String),
}

/// State of an engine, the answer of `GET /v1/orders` and of each order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Highest generation that was applied.
    pub generation: u64,
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapters served in addition to the model.
    pub adapters: Vec<String>,
    /// `prefill`, `decode` or `both`.
    pub role: String,
}

/// Number of prompt tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// Splits text into tokens as the stand-in engines do: words with the white space after them.
pub fn tokens(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(char::is_whitespace)
}

/// Computes the hashes of prefix cache blocks, each chained to the hash of the block before.
///
/// Two prompts share a block exactly when they share the model and the whole prefix up to the
/// block's end.
#[derive(Clone, Debug)]
pub struct BlockChain {
    hash: u64,
    partial_block: String,
    token_count: usize,
}

impl BlockChain {
    /// Creates an empty chain; the model is hashed in, so different models share no block.
    #[must_use]
    pub fn new(model: &str) -> Self {
        Self {
            hash: xxh3_64(model.as_bytes()),
            partial_block: String::new(),
            token_count: 0,
        }
    }

    /// Adds a token and returns the hash of the block if the token completes one.
    pub fn push(&mut self, token: &str) -> Option<u64> {
        self.partial_block.push_str(token);
        self.token_count += 1;
        if self.token_count < BLOCK_TOKENS {
            return None;
        }
        self.hash = xxh3_64_with_seed(self.partial_block.as_bytes(), self.hash);
        self.partial_block.clear();
        self.token_count = 0;
        Some(self.hash)
    }
}

/// Returns the hashes of the complete blocks of `text` in their order.
#[must_use]
pub fn block_hashes(model: &str, text: &str) -> Vec<u64> {
    let mut chain = BlockChain::new(model);
    tokens(text).filter_map(|token| chain.push(token)).collect()
}
