//! Log writer: group commit, limits, lost responses, and faults found by the fuzz test.

use cumin_state::batch::Stream;
use cumin_state::pace::Pace;
use cumin_state::writer::{Effect, Fate, Input, Options, Ticket, Writer};
use cumin_types::{LogOffset, Millis, RecordId};
use cumin_wire::log::{Record, Records};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::model::{author, rng, wall};

const STREAM: Stream = Stream::Record(0);

struct Harness {
    writer: Writer,
    rng: ChaCha8Rng,
}

impl Harness {
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

    fn handle_input(&mut self, now: u64, input: Input<'_>) {
        self.writer.handle_input(Millis(now), input, &mut self.rng);
    }

    /// Polls until the next append is sent, from `now` until `until`.
    fn poll_until_sent(&mut self, now: u64, until: u64) -> (u64, RecordId, u64, Value) {
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
                        self.handle_input(at, Input::Read { from, page: &page });
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

/// Guards against one append per item: items that are submitted during an append must share the
/// next batch, up to its limit.
#[test]
fn next_batch_collects() {
    let mut harness = Harness::new(Options {
        batch_records: 3,
        ..Options::default()
    });
    harness.submit(0, 0, 1_000);
    let (_, batch, ..) = harness.poll_until_sent(0, 1);
    for number in 1..=5 {
        harness.submit(1, number, 1_000);
    }
    assert!(harness.poll(2).is_empty(), "one append at a time");
    harness.handle_input(
        5,
        Input::Appended {
            batch,
            offset: LogOffset(0),
        },
    );
    let (_, _, _, body) = harness.poll_until_sent(5, 6);
    assert_eq!(
        body["records"].as_array().map(Vec::len),
        Some(3),
        "up to the limit"
    );
}

/// Guards against an item larger than a batch that blocks the queue; it must be sent alone.
#[test]
fn oversized_item_alone() {
    let mut harness = Harness::new(Options {
        batch_bytes: 10,
        ..Options::default()
    });
    harness.submit(0, 0, 1_000);
    harness.submit(0, 1, 1_000);
    let (_, batch, _, body) = harness.poll_until_sent(0, 1);
    assert_eq!(body["records"].as_array().map(Vec::len), Some(1));
    harness.handle_input(
        1,
        Input::Appended {
            batch,
            offset: LogOffset(0),
        },
    );
    harness.poll_until_sent(1, 2);
}

/// The queue must be bounded, and the error must state the limit.
#[test]
fn queue_bounded() {
    let mut harness = Harness::new(Options {
        max_pending: 1,
        ..Options::default()
    });
    harness.submit(0, 0, 10);
    let full = harness
        .writer
        .submit(Millis(0), vec![json!(1)], Millis(10))
        .unwrap_err();
    assert_eq!(
        full.to_string(),
        "1 items wait for the log, which is the bound"
    );
}

/// An append whose response was lost must be settled by reading when the batch is in the log.
#[test]
fn lost_response_found() {
    let mut harness = Harness::new(Options::default());
    let ticket = harness.submit(0, 0, 10_000);
    let (_, batch, attempt, body) = harness.poll_until_sent(0, 1);
    harness.handle_input(1, Input::Lost { batch, attempt });
    let effects = harness.poll(100);
    let [Effect::Read { from, .. }] = effects[..] else {
        panic!("{effects:?}")
    };
    let page = Records {
        first: 0,
        next: 1,
        records: vec![Record {
            offset: 0,
            appended_ms: 0,
            body,
        }],
    };
    harness.handle_input(101, Input::Read { from, page: &page });
    let settled = fates(&harness.poll(101));
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

/// An append whose response was lost must be repeated with the same id when the batch is not in the
/// log.
#[test]
fn lost_response_repeated() {
    let mut harness = Harness::new(Options::default());
    harness.submit(0, 0, 10_000);
    let (_, batch, attempt, first) = harness.poll_until_sent(0, 1);
    harness.handle_input(1, Input::Lost { batch, attempt });
    let (_, _, again, second) = harness.poll_until_sent(1, 200);
    assert_ne!(attempt, again);
    assert_eq!(first, second);
}

/// Guards against a flood of requests during a long outage, and against a writer that gives up an
/// item before its deadline.
#[test]
fn long_outage_waits() {
    let mut harness = Harness::new(Options::default());
    let ticket = harness.submit(0, 0, u64::MAX);
    let hours = 6 * 3_600_000;
    let (mut now, mut requests) = (0, 0);
    while now < hours {
        for effect in harness.poll(now) {
            match effect {
                Effect::Append { batch, attempt, .. } => {
                    requests += 1;
                    harness.handle_input(now, Input::Lost { batch, attempt });
                }
                Effect::Read { .. } => {
                    requests += 1;
                    harness.handle_input(now, Input::ReadFailed);
                }
                Effect::Settled { .. } => panic!("settled during the outage"),
            }
        }
        now = harness
            .writer
            .wake_at()
            .map_or(now + 1, |at| at.0.max(now + 1));
    }
    // The shortest delay is half of the longest back-off.
    assert!(requests <= hours / 1_000 + 20, "{requests} requests");
    let (at, batch, ..) = harness.poll_until_sent(now, now + 10_000);
    harness.handle_input(
        at,
        Input::Appended {
            batch,
            offset: LogOffset(0),
        },
    );
    assert_eq!(
        fates(&harness.poll(at)),
        [(
            ticket,
            Fate::Appended {
                offset: LogOffset(0)
            }
        )]
    );
}

/// Guards against a second fate, and a second append, of an item whose deadline passed while its
/// append was in flight and was then refused by the log. Found by `writer_fuzz`.
#[test]
fn refused_after_deadline() {
    let mut harness = Harness::new(Options::default());
    let ticket = harness.submit(0, 0, 5);
    let (_, batch, attempt, _) = harness.poll_until_sent(0, 1);
    assert_eq!(fates(&harness.poll(5)), [(ticket, Fate::Uncertain)]);
    harness.handle_input(6, Input::Refused { batch, attempt });
    for now in 6..200 {
        assert!(harness.poll(now).is_empty());
    }
    assert!(harness.writer.is_idle());
}

/// An item that was never sent, or whose attempts were all refused, must be reported as not sent.
#[test]
fn refused_is_not_sent() {
    let mut harness = Harness::new(Options::default());
    let first = harness.submit(0, 0, 15);
    let (_, batch, attempt, _) = harness.poll_until_sent(0, 1);
    let second = harness.submit(1, 1, 12);
    harness.handle_input(1, Input::Refused { batch, attempt });
    let mut settled = Vec::new();
    for now in 1..40 {
        for effect in harness.poll(now) {
            match effect {
                Effect::Append { batch, attempt, .. } => {
                    harness.handle_input(now, Input::Refused { batch, attempt });
                }
                Effect::Settled { ticket, fate } => settled.push((ticket, fate)),
                Effect::Read { .. } => panic!("nothing is uncertain"),
            }
        }
    }
    settled.sort_by_key(|(ticket, _)| *ticket);
    assert_eq!(settled, [(first, Fate::NotSent), (second, Fate::NotSent)]);
}
