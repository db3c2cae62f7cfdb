//! Handover between operators: whose documents are accepted, and what the next operator imports.

use cumin_state::batch::{Stream, encode};
use cumin_state::claim::{self, Answer, Claim, Claims, Ending, Lookup, Refusal, Settle, Stage};
use cumin_state::config::{Change, ChangeKind, Config, Event, Record, Verdict};
use cumin_state::fleet::{
    self, Accept, Finish, FirstTerm, Offer, Operator, Plan, PlanRecord, Statement, Terms,
};
use cumin_state::fold::{Fold, LogPosition, State};
use cumin_state::transfer::Export;
use cumin_types::{Digest, FencingToken, LogOffset, Revision, WallMillis};
use ed25519_dalek::SigningKey;

use crate::model::{Log, START, author, body, catch_up, fingerprint, id, key};

const HERE: &str = "production";

fn keys() -> [SigningKey; 3] {
    [1, 2, 3].map(|seed| SigningKey::from_bytes(&[seed; 32]))
}

fn founded(environment: &str, key: &SigningKey) -> Terms {
    let mut terms = Terms::default();
    terms.apply(Statement::FirstTerm(FirstTerm::sign(
        environment,
        "bakers",
        key,
    )));
    terms
}

fn at(offset: u64) -> LogPosition {
    LogPosition {
        offset: LogOffset(offset),
        wall: WallMillis(START + offset),
    }
}

fn apply(config: &mut Config, offset: u64, record: Record) -> Event {
    config.apply(at(offset), &author(0, 1), record)
}

/// Offer, accept and finish must begin the next operator's term exactly once.
#[test]
fn term_passes_on() {
    let [old, new, _] = keys();
    let mut terms = founded(HERE, &old);
    let offer = Offer::sign(HERE, 1, Operator::new("judges", &new), &old);
    let accept = Accept::sign(HERE, offer.clone(), &new);
    let finish = Finish::sign(HERE, accept.clone(), &old);
    assert_eq!(terms.apply(Statement::Offer(offer)), fleet::Event::Offered);
    assert_eq!(
        terms.apply(Statement::Accept(accept)),
        fleet::Event::Accepted
    );
    let began = terms.apply(Statement::Finish(finish.clone()));
    assert_eq!(
        began,
        fleet::Event::Began {
            term: 2,
            operator: Operator::new("judges", &new)
        }
    );
    let again = terms.apply(Statement::Finish(finish));
    let refusal = fleet::Refusal::Term {
        named: 1,
        present: 2,
    };
    assert_eq!(again, fleet::Event::Refused(refusal));
}

/// Guards against statements that are signed by the wrong key or for another environment.
#[test]
fn forged_refused() {
    let [old, new, other] = keys();
    let refused = fleet::Event::Refused(fleet::Refusal::Signature);
    let to = || Operator::new("judges", &new);
    for offer in [
        Offer::sign(HERE, 1, to(), &other),
        Offer::sign("trial", 1, to(), &old),
    ] {
        assert_eq!(founded(HERE, &old).apply(Statement::Offer(offer)), refused);
    }
    let offer = Offer::sign(HERE, 1, to(), &old);
    let forged = Accept::sign(HERE, offer.clone(), &other);
    assert_eq!(
        founded(HERE, &old).apply(Statement::Accept(forged.clone())),
        refused
    );
    let unaccepted = Finish::sign(HERE, forged, &old);
    assert_eq!(
        founded(HERE, &old).apply(Statement::Finish(unaccepted)),
        refused
    );
    let unfinished = Finish::sign(HERE, Accept::sign(HERE, offer, &new), &new);
    assert_eq!(
        founded(HERE, &old).apply(Statement::Finish(unfinished)),
        refused
    );
    let second = FirstTerm::sign(HERE, "other", &other);
    let founded_before = fleet::Event::Refused(fleet::Refusal::AlreadyBegun);
    assert_eq!(
        founded(HERE, &old).apply(Statement::FirstTerm(second)),
        founded_before
    );
}

/// Guards against documents of the former operator after the handover, including those that were
/// signed before it and appended later.
#[test]
fn former_operator_fenced() {
    let [old, new, _] = keys();
    let mut config = Config::new(false);
    apply(
        &mut config,
        0,
        Record::FirstTerm(FirstTerm::sign(HERE, "bakers", &old)),
    );
    let change = |number, base, term, key| {
        let change = Change::new(
            id(number),
            Revision(base),
            format!("{number}"),
            "x",
            ChangeKind::Apply,
        );
        Record::Change(change.sign(HERE, term, key))
    };
    assert_eq!(
        apply(&mut config, 1, change(1, 0, 1, &old)),
        Event::Accepted(Revision(1))
    );
    let offer = Offer::sign(HERE, 1, Operator::new("judges", &new), &old);
    let finish = Finish::sign(HERE, Accept::sign(HERE, offer, &new), &old);
    apply(&mut config, 2, Record::Finish(finish));
    let refused = |event| {
        let operator = cumin_state::config::Refusal::Operator { term: 2 };
        assert_eq!(event, Event::Refused(operator));
    };
    refused(apply(&mut config, 3, change(2, 1, 1, &old)));
    refused(apply(&mut config, 4, change(3, 1, 2, &old)));
    refused(apply(&mut config, 5, change(4, 1, 1, &new)));
    assert_eq!(
        apply(&mut config, 6, change(5, 1, 2, &new)),
        Event::Accepted(Revision(2))
    );
}

/// Guards against a plan whose fencing token is older than the newest one.
#[test]
fn stale_plan_refused() {
    let mut fleet = fleet::Fleet::default();
    let mut plan = |token| {
        let (lease, token) = ("planner".into(), FencingToken(token));
        let plan = Plan {
            lease,
            token,
            digest: Digest::of(b""),
            text: String::new(),
        };
        let record = fleet::Record::Plan(PlanRecord::Plan(plan));
        let read = serde_json::from_value(encode(&record)).expect("reads back");
        fleet.apply(at(0), &author(0, 1), read)
    };
    assert_eq!(plan(8), fleet::Event::Planned);
    let stale = fleet::Refusal::Stale {
        newest: FencingToken(8),
    };
    assert_eq!(plan(5), fleet::Event::Refused(stale));
}

fn claim(number: u64) -> Claim {
    let key = key(number, WallMillis(START));
    Claim {
        id: id(number),
        key,
        author: author(0, 1),
        fingerprint: fingerprint("same"),
    }
}

fn repeated(number: u64) -> Claim {
    Claim {
        id: id(1_000 + number),
        author: author(9, 1),
        ..claim(number)
    }
}

/// After an import into a log with another number of shards, repeated calls must get the same
/// answers and the configuration must be the same. A second import must change nothing.
#[test]
fn import_keeps_answers() {
    const OLD: u32 = 4;
    const NEW: u32 = 7;
    let mut shards: Vec<Claims> = (0..OLD)
        .map(|_| Claims::new(claim::Options::default()))
        .collect();
    for number in 0..40 {
        let one = claim(number);
        let shard = &mut shards[one.key.shard(OLD) as usize];
        shard.advance(at(0));
        shard.apply(at(number), &author(0, 1), claim::Record::Claim(one.clone()));
        let ending = match number % 4 {
            0 => Ending::Done {
                answer: Answer::new(200, None, format!("slot {number}"), 99),
            },
            1 => Ending::Unknown,
            2 => Ending::NotRun,
            _ => continue,
        };
        let settle = Settle {
            claim: one.id,
            key: one.key,
            author: one.author,
            ending,
        };
        shard.apply(at(100), &author(0, 1), claim::Record::Settle(settle));
    }
    let mut config = Config::new(false);
    for number in 0..3 {
        let text = format!("document {number}");
        let change = Change::new(
            id(500 + number),
            Revision(number),
            text,
            "bakers",
            ChangeKind::Apply,
        );
        apply(&mut config, number, Record::Change(change));
    }

    let export = Export::of(&config, &shards, vec![serde_json::json!({"id": 1})]);
    let text = serde_json::to_string(&export).expect("JSON");
    let export: Export = serde_json::from_str(&text).expect("reads back");
    let mut log = Log::default();
    for round in 0..2 {
        for (number, (stream, record)) in (0..).zip(export.import(NEW)) {
            let body = body(10_000 * (round + 1) + number, author(5, 1), vec![record]);
            log.append(stream, body, WallMillis(START + 200));
        }
    }

    let mut imported = Fold::new(Config::new(false));
    catch_up(&mut imported, &log, Stream::Config, 10);
    assert_eq!(imported.state().revision(), config.revision());
    assert_eq!(imported.state().document(), config.document());
    for number in 0..40 {
        let again = repeated(number);
        let shard = again.key.shard(NEW);
        let mut fold = Fold::new(Claims::new(claim::Options::default()));
        catch_up(&mut fold, &log, Stream::Record(shard), 10);
        let old = shards[again.key.shard(OLD) as usize].lookup(&again);
        match (old, fold.state().lookup(&again)) {
            (Lookup::Held(old), Lookup::Held(new)) => {
                assert_eq!((old.stage, old.claim), (new.stage.clone(), new.claim));
                let expected = number % 4 == 3;
                assert_eq!(
                    new.effective_stage(|_| true) != new.stage,
                    expected,
                    "in flight is unknown"
                );
                assert!(!(expected && new.effective_stage(|_| true) != Stage::Unknown));
            }
            (old, new) => assert_eq!((&old, number % 4), (&new, 2), "freed stays free"),
        }
        let freed = fold.state().lookup(&claim(number));
        assert_eq!(freed == Lookup::Refused(Refusal::Freed), number % 4 == 2);
    }
}

/// Guards against an imported revision that the current operator has not signed.
#[test]
fn import_needs_signature() {
    let [old, other, _] = keys();
    let mut config = Config::new(false);
    apply(
        &mut config,
        0,
        Record::FirstTerm(FirstTerm::sign(HERE, "bakers", &old)),
    );
    let change = Change::new(id(1), Revision(8), "x".into(), "x", ChangeKind::Apply);
    let import = Record::Import {
        revision: Revision(9),
        change,
        author: author(0, 1),
        signature: None,
    };
    for record in [import.clone(), import.clone().sign(HERE, 1, &other)] {
        assert!(matches!(apply(&mut config, 1, record), Event::Refused(_)));
    }
    let event = apply(&mut config, 2, import.sign(HERE, 1, &old));
    assert_eq!(event, Event::Accepted(Revision(9)));
}

/// The author of a refused change must learn the accepted revision and the keys that differ.
#[test]
fn conflict_reported() {
    let mut config = Config::new(false);
    let change = |number, base, text: &str, way| {
        Record::Change(Change::new(
            id(number),
            Revision(base),
            text.into(),
            "aroha",
            way,
        ))
    };
    apply(&mut config, 0, change(1, 0, "a=1", ChangeKind::Apply));
    apply(&mut config, 1, change(2, 0, "a=2", ChangeKind::Apply));
    let diff = |winning: &str, losing: &str| vec![format!("{winning} {losing}")];
    let Verdict::Conflict(conflict) = config.verdict(id(2), "a=2", diff) else {
        panic!("conflict")
    };
    assert_eq!(
        (conflict.winner.by.as_str(), conflict.keys),
        ("aroha", vec!["a=1 a=2".into()])
    );
    assert_eq!(
        config.verdict(id(1), "a=1", diff),
        Verdict::Accepted(Revision(1))
    );
    assert_eq!(config.verdict(id(9), "", diff), Verdict::Unseen);

    apply(&mut config, 2, change(3, 1, "a=3", ChangeKind::Apply));
    let back = apply(
        &mut config,
        3,
        change(4, 2, "a=1", ChangeKind::Rollback { to: Revision(1) }),
    );
    assert_eq!(
        back,
        Event::Accepted(Revision(3)),
        "a rollback is a new revision"
    );
    let wrong = apply(
        &mut config,
        4,
        change(5, 3, "a=9", ChangeKind::Rollback { to: Revision(1) }),
    );
    assert!(
        matches!(wrong, Event::Refused(_)),
        "a rollback has the text of its target"
    );
}

/// Guards against untried documents in production, unless forced with a reason.
#[test]
fn untried_refused() {
    let tried = Digest::of(b"tried");
    let mut config = Config::new(true);
    let change = |number, base, way| {
        Record::Change(Change::new(
            id(number),
            Revision(base),
            "text".into(),
            "x",
            way,
        ))
    };
    let untried = Event::Refused(cumin_state::config::Refusal::Untried);
    assert_eq!(
        apply(&mut config, 0, change(1, 0, ChangeKind::Apply)),
        untried
    );
    assert_eq!(
        apply(&mut config, 1, change(2, 0, ChangeKind::Promote { tried })),
        untried
    );
    let silent = ChangeKind::Forced { reason: " ".into() };
    let no_reason = Event::Refused(cumin_state::config::Refusal::NoReason);
    assert_eq!(apply(&mut config, 2, change(3, 0, silent)), no_reason);
    let forced = ChangeKind::Forced {
        reason: "heat starts in 5 min".into(),
    };
    assert_eq!(
        apply(&mut config, 3, change(4, 0, forced)),
        Event::Accepted(Revision(1))
    );
    apply(
        &mut config,
        4,
        Record::Tried {
            digest: tried,
            by: "x".into(),
            signature: None,
        },
    );
    let promoted = apply(&mut config, 5, change(5, 1, ChangeKind::Promote { tried }));
    assert_eq!(promoted, Event::Accepted(Revision(2)));
    config.mark_lost(at(6));
    let lost = Event::Refused(cumin_state::config::Refusal::Incomplete);
    assert_eq!(
        apply(&mut config, 7, change(6, 2, ChangeKind::Promote { tried })),
        lost
    );
}
