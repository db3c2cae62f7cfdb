//! The deterministic fold of one stream.
//!
//! A fold takes pages of the log in order. It ignores a batch whose id it has seen; the memory
//! of ids is bounded, and beyond it safety rests on the records themselves, each of which names
//! what it replaces or is harmless twice. When retention has passed the fold's position, the
//! fold scans what is kept for the latest snapshot and continues from the offset it covers.

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

/// Batch ids that a fold remembers.
pub const MAX_IDS: usize = 1024;

/// Where and when the log put a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Its offset.
    pub offset: LogOffset,
    /// The log's time.
    pub wall: WallMillis,
}

/// State that one stream's records build.
pub trait State: Clone + Debug + PartialEq + Serialize + DeserializeOwned {
    /// What the stream's batches carry.
    type Record: DeserializeOwned;
    /// What a record did.
    type Event: Debug;

    /// Moves the state's time on; called before the records of each batch.
    fn advance(&mut self, _at: LogPosition) {}

    /// Applies one record of a batch by `author`.
    fn apply(&mut self, at: LogPosition, author: &Author, record: Self::Record) -> Self::Event;

    /// Records below `at` were lost: retention dropped them and no snapshot covers them.
    fn mark_lost(&mut self, at: LogPosition);
}

/// How long the log keeps records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Milliseconds that a record is kept.
    pub age_ms: u64,
    /// Records that are kept.
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

/// What was skipped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Records applied.
    pub applied: u64,
    /// Batches whose id was seen before.
    pub duplicates: u64,
    /// Bodies that are no batch.
    pub malformed: u64,
    /// Records of a kind that this version does not know.
    pub unknown: u64,
    /// Times that retention passed the position.
    pub gaps: u64,
    /// Snapshots loaded.
    pub loaded: u64,
}

/// What a page led to.
#[derive(Debug)]
pub struct Progress<E> {
    /// What the records did, with the id of their batch.
    pub events: Vec<(LogPosition, RecordId, E)>,
    /// The fold holds everything that the page's sender had.
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

/// A scan of everything kept for the latest snapshot.
#[derive(Clone, Debug, Default)]
struct SnapshotScan {
    next: LogOffset,
    parts: Collector,
    best: Option<Snapshot>,
}

/// The fold of one stream.
#[derive(Clone, Debug)]
pub struct Fold<S> {
    state: S,
    position: LogOffset,
    ids: Ids,
    seek: Option<SnapshotScan>,
    /// The next record is the first after a loss.
    lost: bool,
    /// Offset and time from which the next snapshot counts.
    snapshot_base: Option<LogPosition>,
    parts: Collector,
    counts: Counts,
}

/// Equal when both folds hold the same state of the same prefix.
impl<S: PartialEq> PartialEq for Fold<S> {
    fn eq(&self, other: &Self) -> bool {
        self.position == other.position
            && self.ids.order == other.ids.order
            && self.state == other.state
    }
}

impl<S: State> Fold<S> {
    /// Starts at offset zero with `state`.
    #[must_use]
    pub fn new(state: S) -> Self {
        Self {
            state,
            position: LogOffset(0),
            ids: Ids::default(),
            seek: None,
            lost: false,
            snapshot_base: None,
            parts: Collector::default(),
            counts: Counts::default(),
        }
    }

    /// The state of every record below [`Self::position`].
    #[must_use]
    pub const fn state(&self) -> &S {
        &self.state
    }

    /// The next offset to be applied.
    #[must_use]
    pub const fn position(&self) -> LogOffset {
        self.position
    }

    /// The offset to read from.
    #[must_use]
    pub fn read_from(&self) -> LogOffset {
        self.seek.as_ref().map_or(self.position, |seek| seek.next)
    }

    /// What was applied and skipped.
    #[must_use]
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// True while the fold scans for a snapshot and its state is not usable.
    #[must_use]
    pub const fn is_scanning(&self) -> bool {
        self.seek.is_some()
    }

    /// Applies a page that was read from [`Self::read_from`]; records out of turn are ignored.
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
        if self.seek.is_some() {
            progress.lost = self.scan_page(page);
            return progress;
        }
        for record in &page.records {
            if record.offset < self.position.0 {
                continue;
            }
            // A hole above `first` would mean a page read from further on: not applied.
            if record.offset > self.position.0 {
                break;
            }
            let at = LogPosition {
                offset: LogOffset(record.offset),
                wall: WallMillis(record.at),
            };
            self.apply_record(at, &record.body, &mut progress);
            self.position = LogOffset(record.offset + 1);
        }
        progress.current = self.position.0 >= page.next;
        progress
    }

    fn start_scan(&mut self, first: LogOffset) {
        self.counts.gaps += 1;
        let best = self.seek.take().and_then(|seek| seek.best);
        self.seek = Some(SnapshotScan {
            next: first,
            parts: Collector::default(),
            best,
        });
    }

    /// Scans a page; returns true when the scan ended without a snapshot.
    fn scan_page(&mut self, page: &Records) -> bool {
        let Some(seek) = self.seek.as_mut() else {
            return false;
        };
        for record in &page.records {
            if record.offset != seek.next.0 {
                continue;
            }
            seek.next = LogOffset(record.offset + 1);
            for value in record
                .body
                .get("records")
                .and_then(Value::as_array)
                .into_iter()
                .flatten()
            {
                let whole = snapshot_part(value).and_then(|part| seek.parts.add(part));
                if let Some(whole) = whole
                    && seek
                        .best
                        .as_ref()
                        .is_none_or(|best| best.covers < whole.covers)
                {
                    seek.best = Some(whole);
                }
            }
        }
        if seek.next.0 < page.next {
            return false;
        }
        let best = seek.best.take();
        self.seek = None;
        if let Some(whole) = best.filter(|whole| whole.covers.0 >= page.first)
            && self.load_snapshot(&whole)
        {
            return false;
        }
        self.position = LogOffset(page.first);
        self.lost = true;
        true
    }

    /// Loads a snapshot when it is ahead of the position.
    fn load_snapshot(&mut self, whole: &Snapshot) -> bool {
        if whole.covers <= self.position {
            return false;
        }
        let Ok(image) = serde_json::from_str::<SnapshotBody<S>>(&whole.text) else {
            self.counts.malformed += 1;
            return false;
        };
        self.state = image.state;
        self.ids = image.ids;
        self.ids.known = self.ids.order.iter().copied().collect();
        self.position = whole.covers;
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
                if let Some(whole) = self.parts.add(part) {
                    self.snapshot_base = Some(LogPosition {
                        offset: whole.covers,
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

    /// True when half of the retention has passed since the last snapshot.
    #[must_use]
    pub fn snapshot_due(&self, wall: WallMillis, retention: Retention) -> bool {
        let Some(base) = self.snapshot_base.filter(|_| self.seek.is_none()) else {
            return false;
        };
        wall.since(base.wall) >= retention.age_ms / 2
            || self.position.since(base.offset) >= (retention.records / 2).max(1)
    }

    /// Returns the records of a snapshot of the present state.
    ///
    /// # Panics
    /// When the state has no JSON form, which no state of this crate lacks.
    pub fn snapshot(&self, wall: WallMillis, rng: &mut impl Rng) -> Vec<Value> {
        let image = SnapshotBodyRef {
            state: &self.state,
            ids: &self.ids,
        };
        let text = serde_json::to_string(&image).expect("a state has a JSON form");
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
