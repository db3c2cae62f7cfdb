//! The append machine: group commit, bounds, and faults found by the fuzz test.

use cumin_state::batch::Stream;
use cumin_state::pace::Pace;
use cumin_state::writer::{Effect, Fate, Input, Options, Ticket, Writer};
use cumin_types::{LogOffset, Millis, RecordId};
use cumin_wire::log::{Record, Records};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::model::{author, rng, wall};

const STREAM: Stream = Stream::Record(0);

struct Bench {
    writer: Writer,
    rng: ChaCha8Rng,
}

impl Bench {
    fn new(options: Options) -> Self {
        Self {
            writer: Writer::new(options, STREAM, author(0, 1)),
            rng: rng(1),
        }
    }

    fn poll(&mut self, now: u64) -> Vec<Effect> {
        let now = Millis(now);
        self.writer
            .poll(now, wall(now), &mut Pace::unlimited(), &mut self.rng)
    }

    fn submit(&mut self, now: u64, number: u64, deadline: u64) -> Ticket {
        let records = vec![json!({"kind": "item", "number": number})];
        self.writer
            .submit(Millis(now), records, Millis(deadline))
            .expect("room")
    }

    fn on(&mut self, now: u64, input: Input<'_>) {
        self.writer.handle_input(Millis(now), input, &mut self.rng);
    }

    /// Polls until the next append is sent, at most `until`.
    fn sent(&mut self, now: u64, until: u64) -> (u64, RecordId, u64, Value) {
        for at in now..until {
            for effect in self.poll(at) {
                match effect {
                    Effect::Append {
                        batch,
                        attempt,
                        body,
                        ..
                    } => return (at, batch, attempt, body),
                    Effect::Read { from, .. } => {
                        let page = Records {
                            first: 0,
                            next: from.0,
                            records: Vec::new(),
                        };
                        self.on(at, Input::Read { from, page: &page });
                    }
                    Effect::Settled { .. } => {}
                }
            }
        }
        panic!("nothing was sent until {until}");
    }
}

fn fates(effects: &[Effect]) -> Vec<(Ticket, Fate)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Settled { ticket, fate } => Some((*ticket, *fate)),
            _ => None,
        })
        .collect()
}

/// What is submitted during an append must travel together in the next one.
#[test]
fn next_batch_collects() {
    let mut bench = Bench::new(Options {
        records: 3,
        ..Options::default()
    });
    bench.submit(0, 0, 1_000);
    let (_, batch, ..) = bench.sent(0, 1);
    for number in 1..=5 {
        bench.submit(1, number, 1_000);
    }
    assert!(bench.poll(2).is_empty(), "one append at a time");
    bench.on(
        5,
        Input::Appended {
            batch,
            offset: LogOffset(0),
        },
    );
    let (_, _, _, body) = bench.sent(5, 6);
    assert_eq!(
        body["records"].as_array().map(Vec::len),
        Some(3),
        "up to the bound"
    );
}

/// An item larger than a batch must travel alone and not block the queue.
#[test]
fn oversized_item_alone() {
    let mut bench = Bench::new(Options {
        bytes: 10,
        ..Options::default()
    });
    bench.submit(0, 0, 1_000);
    bench.submit(0, 1, 1_000);
    let (_, batch, _, body) = bench.sent(0, 1);
    assert_eq!(body["records"].as_array().map(Vec::len), Some(1));
    bench.on(
        1,
        Input::Appended {
            batch,
            offset: LogOffset(0),
        },
    );
    bench.sent(1, 2);
}

/// The queue must be bounded, and the error must carry the bound.
#[test]
fn queue_bounded() {
    let mut bench = Bench::new(Options {
        max_pending: 1,
        ..Options::default()
    });
    bench.submit(0, 0, 10);
    let full = bench
        .writer
        .submit(Millis(0), vec![json!(1)], Millis(10))
        .unwrap_err();
    assert_eq!(
        full.to_string(),
        "1 items wait for the log, which is the bound"
    );
}

/// A lost answer must be settled by reading on when the batch is there.
#[test]
fn lost_answer_found() {
    let mut bench = Bench::new(Options::default());
    let ticket = bench.submit(0, 0, 10_000);
    let (_, batch, attempt, body) = bench.sent(0, 1);
    bench.on(1, Input::Lost { batch, attempt });
    let effects = bench.poll(100);
    let [Effect::Read { from, .. }] = effects[..] else {
        panic!("{effects:?}")
    };
    let page = Records {
        first: 0,
        next: 1,
        records: vec![Record {
            offset: 0,
            at: 0,
            body,
        }],
    };
    bench.on(101, Input::Read { from, page: &page });
    let settled = fates(&bench.poll(101));
    assert_eq!(
        settled,
        [(
            ticket,
            Fate::Appended {
                offset: LogOffset(0)
            }
        )]
    );
}

/// A lost answer must be repeated with the same id when the batch is not there.
#[test]
fn lost_answer_repeated() {
    let mut bench = Bench::new(Options::default());
    bench.submit(0, 0, 10_000);
    let (_, batch, attempt, first) = bench.sent(0, 1);
    bench.on(1, Input::Lost { batch, attempt });
    let (_, _, again, second) = bench.sent(1, 200);
    assert_ne!(attempt, again);
    assert_eq!(first, second);
}

/// Waiting through an outage must not flood the log, nor end.
#[test]
fn outage_of_hours() {
    let mut bench = Bench::new(Options::default());
    let ticket = bench.submit(0, 0, u64::MAX);
    let hours = 6 * 3_600_000;
    let (mut now, mut sends) = (0, 0);
    while now < hours {
        for effect in bench.poll(now) {
            match effect {
                Effect::Append { batch, attempt, .. } => {
                    sends += 1;
                    bench.on(now, Input::Lost { batch, attempt });
                }
                Effect::Read { .. } => {
                    sends += 1;
                    bench.on(now, Input::ReadFailed);
                }
                Effect::Settled { .. } => panic!("settled during the outage"),
            }
        }
        now = bench
            .writer
            .wake_at()
            .map_or(now + 1, |wake| wake.0.max(now + 1));
    }
    // Half of the longest back-off is the shortest wait.
    assert!(sends <= hours / 1_000 + 20, "{sends} requests");
    let (at, batch, ..) = bench.sent(now, now + 10_000);
    bench.on(
        at,
        Input::Appended {
            batch,
            offset: LogOffset(0),
        },
    );
    assert_eq!(
        fates(&bench.poll(at)),
        [(
            ticket,
            Fate::Appended {
                offset: LogOffset(0)
            }
        )]
    );
}

/// Found by `writer_fuzz`: an item whose deadline passed while its append was at the log got a
/// second fate, and could be sent again, when the log then refused the append.
#[test]
fn refused_after_deadline() {
    let mut bench = Bench::new(Options::default());
    let ticket = bench.submit(0, 0, 5);
    let (_, batch, attempt, _) = bench.sent(0, 1);
    assert_eq!(fates(&bench.poll(5)), [(ticket, Fate::Uncertain)]);
    bench.on(6, Input::Refused { batch, attempt });
    for now in 6..200 {
        assert!(bench.poll(now).is_empty());
    }
    assert!(bench.writer.idle());
}

/// An item that was never sent must be reported as such, and so must one whose every send
/// was refused.
#[test]
fn refused_is_not_sent() {
    let mut bench = Bench::new(Options::default());
    let first = bench.submit(0, 0, 15);
    let (_, batch, attempt, _) = bench.sent(0, 1);
    let second = bench.submit(1, 1, 12);
    bench.on(1, Input::Refused { batch, attempt });
    let mut settled = Vec::new();
    for now in 1..40 {
        for effect in bench.poll(now) {
            match effect {
                Effect::Append { batch, attempt, .. } => {
                    bench.on(now, Input::Refused { batch, attempt });
                }
                Effect::Settled { ticket, fate } => settled.push((ticket, fate)),
                Effect::Read { .. } => panic!("nothing is uncertain"),
            }
        }
    }
    settled.sort_by_key(|(ticket, _)| *ticket);
    assert_eq!(settled, [(first, Fate::NotSent), (second, Fate::NotSent)]);
}
