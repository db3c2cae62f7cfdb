//! Guards against folds of one prefix that diverge because of page sizes, repeated appends, unknown
//! records, snapshots in parts, or retention that passes a reader.

use cumin_state::batch::{Author, Stream, encode};
use cumin_state::fold::{Fold, LogPosition, MAX_IDS, Retention, State};
use cumin_types::WallMillis;
use proptest::prelude::*;
use proptest::strategy::BoxedStrategy;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::model::{Log, author, body, catch_up, fuzz_config, rng};

const STREAM: Stream = Stream::Fleet;

/// State that reveals any record that is applied twice, skipped or out of order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    items: Vec<u64>,
    lost: bool,
    padding: String,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename = "item")]
pub struct Item {
    number: u64,
}

impl State for List {
    type Record = Item;
    type Event = ();

    fn apply(&mut self, _: LogPosition, _: &Author, record: Item) {
        self.items.push(record.number);
    }

    fn mark_lost(&mut self, _: LogPosition) {
        self.lost = true;
    }
}

#[derive(Clone, Copy, Debug)]
enum Action {
    /// Appends a new batch with this many records.
    Append {
        records: u64,
    },
    /// Appends the batch that is this far back again.
    Repeat {
        back: u64,
    },
    /// Appends a body that this version cannot read.
    Unreadable {
        kind: u8,
    },
    /// A reader appends a snapshot, possibly in reverse order or with one part missing.
    Snapshot {
        reader: usize,
        drop: Option<usize>,
        reverse: bool,
    },
    /// Retention drops the records that the latest snapshot covers.
    Expire,
    Read {
        reader: usize,
        limit: u32,
    },
    Restart {
        reader: usize,
    },
}

struct Reference;

impl ReferenceStateMachine for Reference {
    /// Item numbers in the order of their first append.
    type State = Vec<u64>;
    type Transition = Action;

    fn init_state() -> BoxedStrategy<Vec<u64>> {
        Just(Vec::new()).boxed()
    }

    fn transitions(_: &Vec<u64>) -> BoxedStrategy<Action> {
        let reader = 0..READERS;
        prop_oneof![
            6 => (1..4u64).prop_map(|records| Action::Append { records }),
            3 => (0..6u64).prop_map(|back| Action::Repeat { back }),
            1 => (0..4u8).prop_map(|kind| Action::Unreadable { kind }),
            3 => (reader.clone(), prop::option::weighted(0.2, 0..4usize), any::<bool>())
                .prop_map(|(reader, drop, reverse)| Action::Snapshot { reader, drop, reverse }),
            2 => Just(Action::Expire),
            8 => (reader.clone(), 1..9u32)
                .prop_map(|(reader, limit)| Action::Read { reader, limit }),
            1 => reader.prop_map(|reader| Action::Restart { reader }),
        ]
        .boxed()
    }

    fn apply(mut list: Vec<u64>, step: &Action) -> Vec<u64> {
        if let Action::Append { records } = step {
            let next = list.len() as u64;
            list.extend(next..next + records);
        }
        list
    }
}

const READERS: usize = 3;

struct System {
    log: Log,
    numbers: u64,
    batches: Vec<serde_json::Value>,
    readers: Vec<Fold<List>>,
    rng: rand_chacha::ChaCha8Rng,
    wall: u64,
}

fn empty() -> Fold<List> {
    // The padding makes a snapshot of several parts.
    Fold::new(List {
        padding: "é".repeat(70_000),
        ..List::default()
    })
}

struct Folds;

impl StateMachineTest for Folds {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(_: &Vec<u64>) -> System {
        let readers = (0..READERS).map(|_| empty()).collect();
        System {
            log: Log::default(),
            numbers: 0,
            batches: Vec::new(),
            readers,
            rng: rng(7),
            wall: 0,
        }
    }

    fn apply(mut system: System, _: &Vec<u64>, step: Action) -> System {
        system.step(step);
        system
    }

    fn teardown(mut system: System, list: Vec<u64>) {
        let next = system.log.next(STREAM);
        let mut fresh = empty();
        catch_up(&mut fresh, &system.log, STREAM, 4);
        for reader in &mut system.readers {
            catch_up(reader, &system.log, STREAM, 3);
            assert_eq!(reader.state().items, list);
            assert!(
                *reader == fresh,
                "a fold from a snapshot differs from one from the start"
            );
            assert_eq!(reader.position().0, next);
        }
        assert!(!fresh.state().lost, "the latest snapshot was not found");
    }
}

impl System {
    fn append(&mut self, body: serde_json::Value) {
        self.wall += 1;
        self.log.append(STREAM, body, WallMillis(self.wall));
    }

    fn step(&mut self, step: Action) {
        match step {
            Action::Append { records } => {
                let numbers = self.numbers..self.numbers + records;
                self.numbers += records;
                let records = numbers.map(|number| encode(&Item { number })).collect();
                let body = body(1_000_000 + self.numbers, author(0, 1), records);
                self.batches.push(body.clone());
                self.append(body);
            }
            Action::Repeat { back } => {
                let index = self
                    .batches
                    .len()
                    .checked_sub(1 + usize::try_from(back).unwrap());
                if let Some(body) = index.map(|index| self.batches[index].clone()) {
                    self.append(body);
                }
            }
            Action::Unreadable { kind } => self.append(match kind {
                0 => json!(null),
                1 => json!({"id": "not an id", "records": []}),
                2 => body(
                    2_000_000 + self.wall,
                    author(1, 1),
                    vec![json!({"kind": "new"})],
                ),
                _ => body(
                    2_000_000 + self.wall,
                    author(1, 1),
                    vec![json!({"kind": "snapshot"})],
                ),
            }),
            Action::Snapshot {
                reader,
                drop,
                reverse,
            } => {
                let reader = &self.readers[reader];
                if reader.is_scanning() {
                    return;
                }
                let mut parts = reader.snapshot(WallMillis(self.wall), &mut self.rng);
                assert!(parts.len() > 1, "the snapshot has several parts");
                if let Some(index) = drop.filter(|index| *index < parts.len()) {
                    parts.remove(index);
                }
                if reverse {
                    parts.reverse();
                }
                for part in parts {
                    self.append(body(3_000_000 + self.wall, author(2, 1), vec![part]));
                }
            }
            Action::Expire => self.log.expire(STREAM),
            Action::Read { reader, limit } => {
                let reader = &mut self.readers[reader];
                let position = reader.position();
                let page = self.log.read(STREAM, reader.read_from(), limit);
                reader.apply(&page);
                assert!(
                    reader.position() >= position,
                    "the position of a fold decreased"
                );
            }
            Action::Restart { reader } => self.readers[reader] = empty(),
        }
    }
}

prop_state_machine! {
    #![proptest_config(fuzz_config())]

    #[test]
    fn equal_prefix_equal_state(sequential 10..60 => Folds);
}

/// Guards against an old snapshot that replaces newer state.
#[test]
fn older_snapshot_ignored() {
    let mut log = Log::default();
    let mut fold = Fold::new(List::default());
    let mut rng = rng(1);
    let item = |number| body(number, author(0, 1), vec![encode(&Item { number })]);
    log.append(STREAM, item(1), WallMillis(1));
    catch_up(&mut fold, &log, STREAM, 10);
    let old = fold.snapshot(WallMillis(1), &mut rng);
    log.append(STREAM, item(2), WallMillis(2));
    log.append(STREAM, body(3, author(0, 1), old), WallMillis(3));
    catch_up(&mut fold, &log, STREAM, 10);
    assert_eq!(fold.state().items, [1, 2]);
    assert_eq!(fold.counts().loaded, 0);
}

/// Guards against a memory of batch ids that grows with the stream.
#[test]
fn ids_bounded() {
    let mut log = Log::default();
    let count = MAX_IDS as u64 + 10;
    for number in 0..count {
        log.append(
            STREAM,
            body(number, author(0, 1), Vec::new()),
            WallMillis(1),
        );
    }
    log.append(
        STREAM,
        body(count - 1, author(0, 1), Vec::new()),
        WallMillis(1),
    );
    let mut fold = Fold::new(List::default());
    catch_up(&mut fold, &log, STREAM, 100);
    assert_eq!(fold.counts().duplicates, 1);
    let text = fold.snapshot(WallMillis(1), &mut rng(1))[0].to_string();
    assert!(
        text.len() < MAX_IDS * 48,
        "{} bytes for {MAX_IDS} ids",
        text.len()
    );
}

/// A fold must report that it has lost records.
#[test]
fn loss_reported() {
    let mut log = Log::default();
    for number in 0..4 {
        let records = vec![encode(&Item { number })];
        log.append(
            STREAM,
            body(number, author(0, 1), records),
            WallMillis(number),
        );
    }
    log.trim(STREAM, 2);
    let mut fold = Fold::new(List::default());
    let progress = fold.apply(&log.read(STREAM, fold.read_from(), 10));
    assert!(progress.lost);
    catch_up(&mut fold, &log, STREAM, 10);
    assert!(fold.state().lost);
    assert_eq!(fold.state().items, [2, 3]);
}

/// The next snapshot must be due at half of the retention, by age or by count, and not before.
#[test]
fn snapshot_due() {
    let retention = Retention {
        age_ms: 1_000,
        records: 8,
    };
    let mut log = Log::default();
    let mut fold = Fold::new(List::default());
    assert!(
        !fold.snapshot_due(WallMillis(9_999), retention),
        "nothing to keep"
    );
    log.append(STREAM, body(0, author(0, 1), Vec::new()), WallMillis(100));
    catch_up(&mut fold, &log, STREAM, 10);
    assert!(!fold.snapshot_due(WallMillis(599), retention));
    assert!(fold.snapshot_due(WallMillis(600), retention));
    for number in 1..4 {
        log.append(
            STREAM,
            body(number, author(0, 1), Vec::new()),
            WallMillis(100),
        );
    }
    catch_up(&mut fold, &log, STREAM, 10);
    assert!(fold.snapshot_due(WallMillis(100), retention));
    let parts = fold.snapshot(WallMillis(100), &mut rng(1));
    log.append(STREAM, body(9, author(0, 1), parts), WallMillis(700));
    catch_up(&mut fold, &log, STREAM, 10);
    assert!(!fold.snapshot_due(WallMillis(1_199), retention));
    assert!(fold.snapshot_due(WallMillis(1_200), retention));
}

/// Guards against the use of a snapshot whose digest does not match its text.
#[test]
fn damaged_snapshot_ignored() {
    let mut log = Log::default();
    let mut fold = Fold::new(List::default());
    let records = vec![encode(&Item { number: 1 })];
    log.append(STREAM, body(1, author(0, 1), records), WallMillis(1));
    catch_up(&mut fold, &log, STREAM, 10);
    let mut parts = fold.snapshot(WallMillis(1), &mut rng(1));
    let text = parts[0]["text"]
        .as_str()
        .expect("text")
        .replace("[1]", "[2]");
    parts[0]["text"] = text.into();
    log.append(STREAM, body(2, author(0, 1), parts), WallMillis(2));
    log.trim(STREAM, 1);
    let mut fresh = Fold::new(List::default());
    catch_up(&mut fresh, &log, STREAM, 10);
    assert!(fresh.state().lost && fresh.state().items.is_empty());
}
