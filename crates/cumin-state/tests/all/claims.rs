//! The fold of a shard: who may free a key, what a late copy does, and what bounds the state.

use cumin_state::batch::{Author, Stream, encode};
use cumin_state::claim::{
    Answer, Claim, Claims, Ending, Event, Lookup, MAX_FREED, Options, Record, RecordedBody,
    Refusal, Settle, Stage,
};
use cumin_state::fold::{LogPosition, State};
use cumin_types::{LogOffset, WallMillis};

use crate::model::{Log, START, author, body, fingerprint, id, key};

const HOUR: u64 = 3_600_000;

struct Shard {
    claims: Claims,
    offset: u64,
    wall: u64,
}

impl Shard {
    fn new(options: Options) -> Self {
        Self {
            claims: Claims::new(options),
            offset: 0,
            wall: START,
        }
    }

    fn apply(&mut self, record: Record) -> Event {
        let at = LogPosition {
            offset: LogOffset(self.offset),
            wall: WallMillis(self.wall),
        };
        self.offset += 1;
        self.claims.advance(at);
        self.claims.apply(at, &author(0, 1), record)
    }

    fn claim(&mut self, claim: &Claim) -> Event {
        self.apply(Record::Claim(claim.clone()))
    }

    fn settle(&mut self, claim: &Claim, author: &Author, ending: Ending) -> Event {
        let (claim, key, author) = (claim.id, claim.key.clone(), author.clone());
        self.apply(Record::Settle(Settle {
            claim,
            key,
            author,
            ending,
        }))
    }
}

fn claim(number: u64, node: u64, made: u64) -> Claim {
    let key = key(7, WallMillis(made));
    Claim {
        id: id(number),
        key,
        author: author(node, 1),
        fingerprint: fingerprint("same"),
    }
}

fn done(text: &str) -> Ending {
    Ending::Done {
        answer: Answer::new(200, None, text.into(), usize::MAX),
    }
}

/// Another node, or a later incarnation of the same node, must not free a key.
#[test]
fn only_author_frees() {
    let mut shard = Shard::new(Options::default());
    let first = claim(1, 0, START);
    assert_eq!(shard.claim(&first), Event::Granted);
    for other in [author(1, 1), author(0, 2)] {
        let event = shard.settle(&first, &other, Ending::NotRun);
        assert_eq!(event, Event::Refused(Refusal::NotAuthor));
    }
    assert_eq!(shard.claim(&claim(2, 1, START)), Event::Taken);
    assert_eq!(
        shard.settle(&first, &author(0, 1), Ending::NotRun),
        Event::Settled
    );
    assert_eq!(shard.claim(&claim(2, 1, START)), Event::Granted);
}

/// A claim that was reported as not run must have no effect when a copy lands later.
#[test]
fn late_copy_void() {
    let mut shard = Shard::new(Options::default());
    let late = claim(1, 0, START);
    assert_eq!(
        shard.settle(&late, &late.author, Ending::NotRun),
        Event::Settled
    );
    assert_eq!(shard.claim(&late), Event::Refused(Refusal::Freed));
    assert_eq!(shard.claim(&claim(2, 1, START)), Event::Granted);
    assert_eq!(shard.claim(&late), Event::Refused(Refusal::Freed));
    let stranger = Claim {
        author: author(5, 1),
        ..claim(3, 0, START)
    };
    let mut other = Shard::new(Options::default());
    other.settle(&stranger, &author(6, 1), Ending::NotRun);
    assert_eq!(
        other.claim(&stranger),
        Event::Granted,
        "freed by somebody else"
    );
}

/// A call that ended, or may have run, must never be freed.
#[test]
fn ended_stays() {
    for ending in [done("booked"), Ending::Unknown] {
        let mut shard = Shard::new(Options::default());
        let first = claim(1, 0, START);
        shard.claim(&first);
        assert_eq!(shard.settle(&first, &first.author, ending), Event::Settled);
        let event = shard.settle(&first, &first.author, Ending::NotRun);
        assert_eq!(event, Event::Refused(Refusal::Superseded));
        assert_eq!(shard.claim(&claim(2, 1, START)), Event::Taken);
    }
}

/// The endpoint's answer settles an unknown outcome, once.
#[test]
fn answer_settles_unknown() {
    let mut shard = Shard::new(Options::default());
    let first = claim(1, 0, START);
    shard.claim(&first);
    shard.settle(&first, &first.author, Ending::Unknown);
    assert_eq!(
        shard.settle(&first, &author(2, 1), done("booked")),
        Event::Settled
    );
    let event = shard.settle(&first, &first.author, done("twice"));
    assert_eq!(event, Event::Refused(Refusal::Superseded));
    let Lookup::Held(held) = shard.claims.lookup(&first) else {
        panic!("held")
    };
    let Stage::Done { answer } = held.stage else {
        panic!("{:?}", held.stage)
    };
    assert_eq!(answer.body, RecordedBody::Whole("booked".into()));
}

/// A claim in flight whose author is gone must be told as unknown.
#[test]
fn gone_author_unknown() {
    let mut shard = Shard::new(Options::default());
    shard.claim(&claim(1, 0, START));
    let Lookup::Held(held) = shard.claims.lookup(&claim(2, 1, START)) else {
        panic!("held")
    };
    assert_eq!(held.effective_stage(|_| false), Stage::InFlight);
    assert_eq!(
        held.effective_stage(|author| author.node.as_str() == "n0"),
        Stage::Unknown
    );
}

/// A long answer must be kept as a digest, whoever wrote the record.
#[test]
fn answer_bounded() {
    let mut shard = Shard::new(Options {
        answer_bytes: 4,
        ..Options::default()
    });
    let first = claim(1, 0, START);
    shard.claim(&first);
    shard.settle(&first, &first.author, done("longer"));
    let Lookup::Held(held) = shard.claims.lookup(&first) else {
        panic!("held")
    };
    let Stage::Done { answer } = held.stage else {
        panic!("{:?}", held.stage)
    };
    assert!(matches!(answer.body, RecordedBody::Digest { bytes: 6, .. }));
}

/// An expired key must be refused for ever, also when the log's time falls or the window
/// grows, and must leave no state.
#[test]
fn expired_for_ever() {
    let mut shard = Shard::new(Options {
        window_ms: 24 * HOUR,
        ..Options::default()
    });
    let first = claim(1, 0, START);
    shard.claim(&first);
    shard.wall += 24 * HOUR - 1;
    assert_eq!(shard.claim(&claim(2, 1, START)), Event::Taken);
    shard.wall += 1;
    assert_eq!(
        shard.claim(&claim(2, 1, START)),
        Event::Refused(Refusal::Expired)
    );
    assert!(shard.claims.is_empty());
    shard.wall = START;
    assert_eq!(shard.claim(&first), Event::Refused(Refusal::Expired));
    let expiry = serde_json::to_value(&shard.claims).expect("JSON");
    assert_eq!(expiry["expiry"].as_array().map(Vec::len), Some(0));
}

/// Keys without a time, or from the future, must be refused.
#[test]
fn key_time_checked() {
    let mut shard = Shard::new(Options::default());
    let future = claim(1, 0, START + 60_001);
    assert_eq!(shard.claim(&future), Event::Refused(Refusal::Future));
    assert_eq!(shard.claim(&claim(1, 0, START + 60_000)), Event::Granted);
    let mut untimed = claim(2, 0, START);
    untimed.key.key = id(5).0;
    assert_eq!(shard.claim(&untimed), Event::Refused(Refusal::Untimed));
}

/// The freed claims of a key must be bounded; beyond the bound the key stays closed.
#[test]
fn freed_bounded() {
    let mut shard = Shard::new(Options::default());
    for number in 0..MAX_FREED as u64 + 5 {
        let one = claim(number, 0, START);
        shard.claim(&one);
        assert_eq!(
            shard.settle(&one, &one.author, Ending::NotRun),
            Event::Settled
        );
    }
    let slot = shard
        .claims
        .slot(&claim(0, 0, START).key)
        .expect("on record");
    assert_eq!(slot.freed.len(), MAX_FREED);
    let event = shard.claim(&claim(1_000, 1, START));
    assert_eq!(event, Event::Refused(Refusal::Closed));
}

/// After a loss of records, a key of that time must not be granted.
#[test]
fn forgotten_refused() {
    let mut log = Log::default();
    let stream = Stream::Record(0);
    let record = |claim: Claim| vec![encode(&Record::Claim(claim))];
    log.append(
        stream,
        body(1, author(0, 1), record(claim(1, 0, START))),
        WallMillis(START),
    );
    log.append(
        stream,
        body(2, author(0, 1), Vec::new()),
        WallMillis(START + 5),
    );
    log.trim(stream, 1);
    let mut fold = cumin_state::fold::Fold::new(Claims::new(Options::default()));
    crate::model::catch_up(&mut fold, &log, stream, 10);
    let look = fold.state().lookup(&claim(2, 1, START));
    assert_eq!(look, Lookup::Refused(Refusal::Forgotten));
    assert_eq!(
        fold.state().lookup(&claim(2, 1, START + 60_006)),
        Lookup::Free
    );
}

/// A record kind of a later version must be skipped and counted.
#[test]
fn unknown_kind_counted() {
    let mut log = Log::default();
    let stream = Stream::Record(0);
    let claim = encode(&Record::Claim(claim(1, 0, START)));
    let records = vec![serde_json::json!({"kind": "later", "x": 1}), claim];
    log.append(stream, body(1, author(0, 1), records), WallMillis(START));
    let mut fold = cumin_state::fold::Fold::new(Claims::new(Options::default()));
    crate::model::catch_up(&mut fold, &log, stream, 10);
    assert_eq!((fold.counts().unknown, fold.counts().applied), (1, 1));
}
