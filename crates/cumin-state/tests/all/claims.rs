//! Fold of a shard's claims: who may free a key, late copies of a claim, and bounded state.

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

fn claim(number: u64, node: u64, created: u64) -> Claim {
    let key = key(7, WallMillis(created));
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

/// Guards against a key that is freed by another node, or by a later incarnation of the author.
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

/// Guards against a claim that takes effect after its caller was told `not_run`, because a copy
/// of it is appended later.
#[test]
fn late_copy_ignored() {
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
        "freed by another node"
    );
}

/// Guards against freeing the key of a call that has run or may have run.
#[test]
fn ended_never_freed() {
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

/// An endpoint's answer must resolve an unknown outcome, and must not be replaced by another.
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

/// A claim in flight whose author is gone must be reported as unknown, not as in flight.
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

/// Guards against unbounded state: the fold must keep only the digest of a long answer, even if
/// the recording node sent the whole body.
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

/// Guards against a second run of an expired key when the log's time goes back, and against
/// state that remains after the expiry.
#[test]
fn expired_refused_forever() {
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

/// Guards against keys that never expire: without a creation time, or with one in the future.
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

/// Guards against unbounded growth of a key's freed claims; at the limit the key must be closed.
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
        .expect("the key has a state");
    assert_eq!(slot.freed.len(), MAX_FREED);
    let event = shard.claim(&claim(1_000, 1, START));
    assert_eq!(event, Event::Refused(Refusal::Closed));
}

/// Guards against a second run after records were lost: a key from that time must be refused.
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
    let lookup = fold.state().lookup(&claim(2, 1, START));
    assert_eq!(lookup, Lookup::Refused(Refusal::Forgotten));
    assert_eq!(
        fold.state().lookup(&claim(2, 1, START + 60_006)),
        Lookup::Free
    );
}

/// A record kind of a later version must be skipped and counted, and must not stop the fold.
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
