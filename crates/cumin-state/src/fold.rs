//! The deterministic fold of one stream.
//!
//! A fold applies pages of the log in order. It skips a batch whose id it has seen. The number of
//! remembered ids is bounded; beyond it, safety rests on the records themselves, each of which
//! names the state that it replaces or is idempotent. When retention has dropped records past the
//! fold's position, the fold scans the remaining records for the latest snapshot and continues
//! from the offset that the snapshot covers.

use std::collections::{HashSet, VecDeque};
use std::fmt::Debug;

use cumin_types::{LogOffset, RecordId, WallMillis};
use cumin_wire::log::Records;
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::batch::{Author, Batch, encode, new_id};
use crate::snapshot::{self, Collector, Part, Snapshot};

/// Most batch ids that a fold remembers.
pub const MAX_IDS: usize = 1024;

/// Position of a record in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Timestamp that the log gave the record.
    pub wall: WallMillis,
}

/// State built from the records of one stream.
pub trait State: Clone + Debug + PartialEq + Serialize + DeserializeOwned {
    /// Record type of the stream.
    type Record: DeserializeOwned;
    /// Effect of a record.
    type Event: Debug;

    /// Advances the time of the state; called before the records of each batch are applied.
    fn advance(&mut self, _at: LogPosition) {}

    /// Applies one record of a batch by `author`.
    fn apply(&mut self, at: LogPosition, author: &Author, record: Self::Record) -> Self::Event;

    /// Handles the loss of records below `at`, which retention dropped and no snapshot covers.
    fn mark_lost(&mut self, at: LogPosition);
}

/// Retention limits of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// How long a record is kept.
    pub age_ms: u64,
    /// Most records that are kept.
    pub records: u64,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            age_ms: 48 * 3_600_000,
            records: 100_000,
        }
    }
}

/// Counters of applied and skipped records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Records applied.
    pub applied: u64,
    /// Batches skipped because their id was seen before.
    pub duplicates: u64,
    /// Log records that hold no batch, and snapshots that cannot be decoded.
    pub malformed: u64,
    /// Records of a kind unknown to this version.
    pub unknown: u64,
    /// Number of times that retention passed the fold's position.
    pub gaps: u64,
    /// Snapshots loaded.
    pub loaded: u64,
}

/// Result of applying a page.
#[derive(Debug)]
pub struct Progress<E> {
    /// Effects of the records, each with the position and id of its batch.
    pub events: Vec<(LogPosition, RecordId, E)>,
    /// The fold has applied every record that the log had when it served the page.
    pub current: bool,
    /// Retention passed the position and no snapshot covers the gap.
    pub lost: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct Ids {
    order: VecDeque<RecordId>,
    #[serde(skip)]
    known: HashSet<RecordId>,
}

impl Ids {
    fn insert(&mut self, id: RecordId) -> bool {
        if !self.known.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_IDS
            && let Some(old) = self.order.pop_front()
        {
            self.known.remove(&old);
        }
        true
    }
}

#[derive(Serialize)]
struct SnapshotBodyRef<'a, S> {
    state: &'a S,
    ids: &'a Ids,
}

#[derive(Deserialize)]
struct SnapshotBody<S> {
    state: S,
    ids: Ids,
}

/// Scan of the remaining records for the latest snapshot.
#[derive(Clone, Debug, Default)]
struct SnapshotScan {
    next: LogOffset,
    parts: Collector,
    latest: Option<Snapshot>,
}

/// Fold of one stream.
#[derive(Clone, Debug)]
pub struct Fold<S> {
    state: S,
    position: LogOffset,
    ids: Ids,
    scan: Option<SnapshotScan>,
    /// The next record is the first after lost ones.
    lost: bool,
    /// Position that the latest snapshot covers, or of the first applied record if there is none.
    snapshot_base: Option<LogPosition>,
    parts: Collector,
    counts: Counts,
}

/// Two folds are equal when they hold the same state of the same prefix.
impl<S: PartialEq> PartialEq for Fold<S> {
    fn eq(&self, other: &Self) -> bool {
        self.position == other.position
            && self.ids.order == other.ids.order
            && self.state == other.state
    }
}

impl<S: State> Fold<S> {
    /// Creates a fold that starts at offset zero with `state`.
    #[must_use]
    pub fn new(state: S) -> Self {
        Self {
            state,
            position: LogOffset(0),
            ids: Ids::default(),
            scan: None,
            lost: false,
            snapshot_base: None,
            parts: Collector::default(),
            counts: Counts::default(),
        }
    }

    /// Returns the state after every record below [`Self::position`].
    #[must_use]
    pub const fn state(&self) -> &S {
        &self.state
    }

    /// Returns the next offset to apply.
    #[must_use]
    pub const fn position(&self) -> LogOffset {
        self.position
    }

    /// Returns the offset to read the next page from.
    #[must_use]
    pub fn read_from(&self) -> LogOffset {
        self.scan.as_ref().map_or(self.position, |scan| scan.next)
    }

    /// Returns the counters of applied and skipped records.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns true while the fold scans for a snapshot and its state is not usable.
    #[must_use]
    pub const fn is_scanning(&self) -> bool {
        self.scan.is_some()
    }

    /// Applies a page that was read from [`Self::read_from`]; records out of order are ignored.
    pub fn apply(&mut self, page: &Records) -> Progress<S::Event> {
        let mut progress = Progress {
            events: Vec::new(),
            current: false,
            lost: false,
        };
        let first = LogOffset(page.first);
        if self.read_from() < first {
            self.start_scan(first);
        }
        if self.scan.is_some() {
            progress.lost = self.scan_page(page);
            return progress;
        }
        for record in &page.records {
            if record.offset < self.position.0 {
                continue;
            }
            // A gap above `first` means that the page was read from a later offset.
            if record.offset > self.position.0 {
                break;
            }
            let at = LogPosition {
                offset: LogOffset(record.offset),
                wall: WallMillis(record.appended_ms),
            };
            self.apply_record(at, &record.body, &mut progress);
            self.position = LogOffset(record.offset + 1);
        }
        progress.current = self.position.0 >= page.next;
        progress
    }

    fn start_scan(&mut self, first: LogOffset) {
        self.counts.gaps += 1;
        let latest = self.scan.take().and_then(|scan| scan.latest);
        self.scan = Some(SnapshotScan {
            next: first,
            parts: Collector::default(),
            latest,
        });
    }

    /// Scans a page. Returns true when the scan has ended without a usable snapshot.
    fn scan_page(&mut self, page: &Records) -> bool {
        let Some(scan) = self.scan.as_mut() else {
            return false;
        };
        for record in &page.records {
            if record.offset != scan.next.0 {
                continue;
            }
            scan.next = LogOffset(record.offset + 1);
            for value in record
                .body
                .get("records")
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
            {
                let snapshot = snapshot_part(value).and_then(|part| scan.parts.add(part));
                if let Some(snapshot) = snapshot
                    && scan
                        .latest
                        .as_ref()
                        .is_none_or(|latest| latest.covers < snapshot.covers)
                {
                    scan.latest = Some(snapshot);
                }
            }
        }
        if scan.next.0 < page.next {
            return false;
        }
        let latest = scan.latest.take();
        self.scan = None;
        if let Some(snapshot) = latest.filter(|snapshot| snapshot.covers.0 >= page.first)
            && self.load_snapshot(&snapshot)
        {
            return false;
        }
        self.position = LogOffset(page.first);
        self.lost = true;
        true
    }

    /// Loads the snapshot if it is ahead of the position and can be decoded; returns whether it
    /// did.
    fn load_snapshot(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.covers <= self.position {
            return false;
        }
        let Ok(body) = serde_json::from_str::<SnapshotBody<S>>(&snapshot.text) else {
            self.counts.malformed += 1;
            return false;
        };
        self.state = body.state;
        self.ids = body.ids;
        self.ids.known = self.ids.order.iter().copied().collect();
        self.position = snapshot.covers;
        self.snapshot_base = None;
        self.lost = false;
        self.parts = Collector::default();
        self.counts.loaded += 1;
        true
    }

    fn apply_record(&mut self, at: LogPosition, body: &Value, progress: &mut Progress<S::Event>) {
        self.snapshot_base.get_or_insert(at);
        if std::mem::take(&mut self.lost) {
            self.state.mark_lost(at);
        }
        let Some(batch) = Batch::read(body) else {
            self.counts.malformed += 1;
            return;
        };
        if !self.ids.insert(batch.id) {
            self.counts.duplicates += 1;
            return;
        }
        self.state.advance(at);
        for value in batch.records {
            if let Some(part) = snapshot_part(&value) {
                if let Some(snapshot) = self.parts.add(part) {
                    self.snapshot_base = Some(LogPosition {
                        offset: snapshot.covers,
                        wall: at.wall,
                    });
                }
                continue;
            }
            match serde_json::from_value::<S::Record>(value) {
                Ok(record) => {
                    self.counts.applied += 1;
                    let event = self.state.apply(at, &batch.author, record);
                    progress.events.push((at, batch.id, event));
                }
                Err(_) => self.counts.unknown += 1,
            }
        }
    }

    /// Returns true when half of the retention has passed since the latest snapshot.
    #[must_use]
    pub fn snapshot_due(&self, wall: WallMillis, retention: Retention) -> bool {
        let Some(base) = self.snapshot_base.filter(|_| self.scan.is_none()) else {
            return false;
        };
        wall.since(base.wall) >= retention.age_ms / 2
            || self.position.since(base.offset) >= (retention.records / 2).max(1)
    }

    /// Returns the records of a snapshot of the current state.
    ///
    /// # Panics
    /// If the state cannot be serialised to JSON. Every state of this crate can.
    pub fn snapshot(&self, wall: WallMillis, rng: &mut impl Rng) -> Vec<Value> {
        let body = SnapshotBodyRef {
            state: &self.state,
            ids: &self.ids,
        };
        let text = serde_json::to_string(&body).expect("a state serialises to JSON");
        let id = new_id(wall, rng);
        snapshot::split(id, self.position, &text)
            .iter()
            .map(encode)
            .collect()
    }
}

fn snapshot_part(value: &Value) -> Option<Part> {
    (value.get("kind")?.as_str()? == "snapshot").then(|| Part::deserialize(value).ok())?
}
