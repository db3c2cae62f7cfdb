//! Everything that the next operator takes over, as one document between two logs.

use cumin_types::ClaimKey;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::batch::{Stream, encode};
use crate::claim::{Claims, ExportedKey, Record};
use crate::config::{self, Config};

/// Bytes of claims JSON in one record.
const CHUNK_BYTES: usize = 128 * 1024;

/// State of a deployment, readable by the next operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Export {
    /// Recent revisions, oldest first.
    pub config: Vec<config::Record>,
    /// Claims and outcomes of every shard.
    pub claims: Vec<ExportedKey>,
    /// Descriptors of requests in flight, opaque here.
    pub requests: Vec<Value>,
}

impl Export {
    /// Collects the state of the folds.
    pub fn of<'a>(
        config: &Config,
        shards: impl IntoIterator<Item = &'a Claims>,
        requests: Vec<Value>,
    ) -> Self {
        let claims = shards.into_iter().flat_map(Claims::export).collect();
        Self {
            config: config.export(),
            claims,
            requests,
        }
    }

    /// Returns the records to append to another log with `shards` shards. Records that are
    /// appended twice, or to a log that has part of them, change nothing.
    #[must_use]
    pub fn import(&self, shards: u32) -> Vec<(Stream, Value)> {
        let mut records: Vec<(Stream, Value)> = self
            .config
            .iter()
            .map(|record| (Stream::Config, encode(record)))
            .collect();
        for shard in 0..shards {
            let own = |carried: &&ExportedKey| ClaimKey::shard(&carried.key, shards) == shard;
            let (mut keys, mut bytes) = (Vec::new(), 0);
            for carried in self.claims.iter().filter(own) {
                bytes += encode(carried).to_string().len();
                keys.push(carried.clone());
                if bytes >= CHUNK_BYTES {
                    records.push((Stream::Record(shard), import_record(&mut keys)));
                    bytes = 0;
                }
            }
            if !keys.is_empty() {
                records.push((Stream::Record(shard), import_record(&mut keys)));
            }
        }
        records
    }
}

fn import_record(keys: &mut Vec<ExportedKey>) -> Value {
    encode(&Record::Import {
        keys: std::mem::take(keys),
    })
}
