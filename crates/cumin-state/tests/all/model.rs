//! In-memory log, and helpers shared by the tests.

use std::collections::BTreeMap;

use cumin_state::batch::{Author, Batch, Stream};
use cumin_state::fold::{Fold, State};
use cumin_state::snapshot::Collector;
use cumin_types::{
    ClaimKey, Digest, Fingerprint, Incarnation, LogOffset, Millis, RecordId, WallMillis,
};
use cumin_wire::log::{Record, Records};
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use uuid::Uuid;

/// Wall-clock time at which each test begins, in milliseconds.
pub const START: u64 = 1_800_000_000_000;

/// Every record that was ever appended, and the first offset that retention has kept.
#[derive(Clone, Debug, Default)]
pub struct Log {
    pub streams: BTreeMap<Stream, Vec<Record>>,
    pub first: BTreeMap<Stream, u64>,
}

impl Log {
    pub fn append(&mut self, stream: Stream, body: Value, wall: WallMillis) -> LogOffset {
        let records = self.streams.entry(stream).or_default();
        let offset = records.len() as u64;
        records.push(Record {
            offset,
            appended_ms: wall.0,
            body,
        });
        LogOffset(offset)
    }

    pub fn next(&self, stream: Stream) -> u64 {
        self.streams
            .get(&stream)
            .map_or(0, |records| records.len() as u64)
    }

    pub fn first(&self, stream: Stream) -> u64 {
        self.first.get(&stream).copied().unwrap_or(0)
    }

    pub fn trim(&mut self, stream: Stream, first: u64) {
        let first = first.min(self.next(stream)).max(self.first(stream));
        self.first.insert(stream, first);
    }

    /// Drops every record that the latest complete snapshot covers.
    pub fn expire(&mut self, stream: Stream) {
        let mut parts = Collector::default();
        let mut covers = 0;
        let first = self.first(stream);
        for record in self.streams.get(&stream).into_iter().flatten() {
            let batch = Batch::read(&record.body).filter(|_| record.offset >= first);
            for value in batch.into_iter().flat_map(|batch| batch.records) {
                if let Ok(part) = serde_json::from_value(value)
                    && let Some(snapshot) = parts.add(part)
                {
                    covers = covers.max(snapshot.covers.0);
                }
            }
        }
        self.trim(stream, covers);
    }

    pub fn read(&self, stream: Stream, from: LogOffset, limit: u32) -> Records {
        let first = self.first(stream);
        let kept = self.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        let records = kept
            .iter()
            .skip(usize::try_from(from.0.max(first)).expect("a test log is small"))
            .take(limit as usize)
            .cloned()
            .collect();
        Records {
            first,
            next: self.next(stream),
            records,
        }
    }

    /// Folds the first `count` records, including those that retention has dropped.
    pub fn replay<S: State>(&self, stream: Stream, state: S, count: u64) -> Fold<S> {
        let mut fold = Fold::new(state);
        let records = self.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        let records = records
            .iter()
            .take(usize::try_from(count).expect("small"))
            .cloned()
            .collect();
        fold.apply(&Records {
            first: 0,
            next: count,
            records,
        });
        fold
    }
}

/// Reads until the fold is current; returns the number of records read.
pub fn catch_up<S: State>(fold: &mut Fold<S>, log: &Log, stream: Stream, limit: u32) -> u64 {
    let mut read = 0;
    loop {
        let page = log.read(stream, fold.read_from(), limit);
        read += page.records.len() as u64;
        if fold.apply(&page).current {
            return read;
        }
    }
}

pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn author(node: u64, incarnation: u64) -> Author {
    Author {
        node: format!("n{node}").as_str().into(),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns a record id made from a number, for tests that refer to their records.
pub fn id(number: u64) -> RecordId {
    RecordId(Uuid::from_u128(u128::from(number)))
}

/// Returns a key created at `wall`.
pub fn key(number: u64, wall: WallMillis) -> ClaimKey {
    let mut bytes = [0; 10];
    bytes[2..].copy_from_slice(&number.to_be_bytes());
    ClaimKey {
        org: "rua".into(),
        service: "oven-desk".into(),
        key: uuid::Builder::from_unix_timestamp_millis(wall.0, &bytes).into_uuid(),
    }
}

pub fn fingerprint(text: &str) -> Fingerprint {
    Fingerprint(Digest::of(text.as_bytes()))
}

pub const fn wall(now: Millis) -> WallMillis {
    WallMillis(START + now.0)
}

/// Returns the body of one batch.
pub fn body(number: u64, author: Author, records: Vec<Value>) -> Value {
    Batch {
        version: 1,
        id: id(number),
        author,
        records,
    }
    .body()
}

/// Returns a configuration with a fixed seed unless `PROPTEST_RNG_SEED` sets another, and with 256
/// cases unless `PROPTEST_CASES` sets another number.
pub fn fuzz_config() -> Config {
    let mut config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if matches!(config.rng_seed, RngSeed::Random) {
        config.rng_seed = RngSeed::Fixed(20_261_204);
    }
    config.max_shrink_iters = 20_000;
    config
}
