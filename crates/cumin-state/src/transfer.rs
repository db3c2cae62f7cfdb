//! Export and import of the state that the next operator of an environment takes over.

use cumin_types::ClaimKey;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::batch::{Stream, encode};
use crate::claim::{Claims, ExportedKey, Record};
use crate::config::{self, Config};

/// Size of the JSON of the claims in one record; a record is closed once it reaches this size.
const CHUNK_BYTES: usize = 128 * 1024;

/// Exported state of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Export {
    /// Recent revisions of the document, oldest first.
    pub config: Vec<config::Record>,
    /// Keys of every shard, with their claims and outcomes.
    pub claims: Vec<ExportedKey>,
    /// Descriptors of the requests in flight, opaque to this crate.
    pub requests: Vec<Value>,
}

impl Export {
    /// Collects the state of the given folds.
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

    /// Returns the records that import the state into another log with `shards` shards. The import
    /// is idempotent: records that the log already has change nothing.
    #[must_use]
    pub fn import(&self, shards: u32) -> Vec<(Stream, Value)> {
        let mut records: Vec<(Stream, Value)> = self
            .config
            .iter()
            .map(|record| (Stream::Config, encode(record)))
            .collect();
        for shard in 0..shards {
            let own = |exported: &&ExportedKey| ClaimKey::shard(&exported.key, shards) == shard;
            let (mut keys, mut bytes) = (Vec::new(), 0);
            for exported in self.claims.iter().filter(own) {
                bytes += encode(exported).to_string().len();
                keys.push(exported.clone());
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
