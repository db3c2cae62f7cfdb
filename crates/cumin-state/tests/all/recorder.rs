//! Recorder: verdicts without an append, loss of the shard, outages of the log, and takeover.

use cumin_state::batch::Stream;
use cumin_state::claim::{Answer, Claim, Ending, HeldClaim, Refusal, Settle, Stage};
use cumin_state::entry::{Call, Step};
use cumin_state::fold::Retention;
use cumin_state::pace::Pace;
use cumin_state::recorder::{Command, Effect, Input, Options, Recorder, Ticket, Unsent, Verdict};
use cumin_state::writer;
use cumin_types::{Millis, Outcome, WallMillis};
use rand_chacha::ChaCha8Rng;

use crate::model::{Log, START, author, fingerprint, id, key, rng, wall};

/// One log, and recorders whose requests it serves at once unless it is `down`.
struct Harness {
    log: Log,
    recorders: Vec<Recorder>,
    now: u64,
    down: bool,
    rng: ChaCha8Rng,
    verdicts: Vec<(usize, Ticket, Verdict)>,
}

impl Harness {
    fn new(recorders: u64, options: Options) -> Self {
        let recorders = (0..recorders)
            .map(|n| Recorder::new(options, 0, author(n, 1)))
            .collect();
        let (log, verdicts) = (Log::default(), Vec::new());
        Self {
            log,
            recorders,
            now: 0,
            down: false,
            rng: rng(1),
            verdicts,
        }
    }

    fn submit(&mut self, recorder: usize, command: Command) -> Ticket {
        let now = Millis(self.now);
        self.recorders[recorder].submit(now, wall(now), command, now.plus(1_000))
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += 1;
            let now = Millis(self.now);
            for (index, recorder) in self.recorders.iter_mut().enumerate() {
                for effect in recorder.poll(now, wall(now), &mut Pace::unlimited(), &mut self.rng) {
                    match effect {
                        Effect::Append { batch, attempt, .. } if self.down => {
                            let input = Input::Append(writer::Input::Lost { batch, attempt });
                            recorder.handle_input(now, input, &mut self.rng);
                        }
                        Effect::Append { batch, body, .. } => {
                            let offset = self.log.append(Stream::Record(0), body, wall(now));
                            let input = writer::Input::Appended { batch, offset };
                            recorder.handle_input(now, Input::Append(input), &mut self.rng);
                        }
                        Effect::Read { purpose, .. } if self.down => {
                            recorder.handle_input(
                                now,
                                Input::ReadFailed { purpose },
                                &mut self.rng,
                            );
                        }
                        Effect::Read {
                            stream,
                            from,
                            limit,
                            purpose,
                        } => {
                            let page = &self.log.read(stream, from, limit);
                            recorder.handle_input(
                                now,
                                Input::Read {
                                    purpose,
                                    from,
                                    page,
                                },
                                &mut self.rng,
                            );
                        }
                        Effect::Answer { ticket, verdict } => {
                            self.verdicts.push((index, ticket, verdict));
                        }
                    }
                }
            }
        }
    }

    fn submit_and_wait(&mut self, recorder: usize, command: Command) -> Verdict {
        let ticket = self.submit(recorder, command);
        self.run(1_100);
        self.verdict_of(recorder, ticket)
    }

    fn verdict_of(&self, recorder: usize, ticket: Ticket) -> Verdict {
        let verdicts: Vec<_> = self
            .verdicts
            .iter()
            .filter(|(by, one, _)| (*by, *one) == (recorder, ticket))
            .collect();
        assert_eq!(verdicts.len(), 1, "each submission gets one verdict");
        verdicts[0].2.clone()
    }
}

fn claim(number: u64) -> Claim {
    let key = key(7, WallMillis(START));
    Claim {
        id: id(number),
        key,
        author: author(number, 1),
        fingerprint: fingerprint("same"),
    }
}

fn settle(claim: &Claim, ending: Ending) -> Command {
    let (key, author) = (claim.key.clone(), claim.author.clone());
    Command::Settle(Settle {
        claim: claim.id,
        key,
        author,
        ending,
    })
}

/// Guards against two grants for one key when two nodes both act as the shard's recorder.
#[test]
fn two_recorders_one_grant() {
    let mut harness = Harness::new(2, Options::default());
    harness.run(10);
    let first = harness.submit(0, Command::Claim(claim(1)));
    let second = harness.submit(1, Command::Claim(claim(2)));
    harness.run(50);
    let verdicts = [harness.verdict_of(0, first), harness.verdict_of(1, second)];
    let granted = verdicts
        .iter()
        .filter(|verdict| **verdict == Verdict::Granted)
        .count();
    assert_eq!(granted, 1, "{verdicts:?}");
}

/// A claim that is resubmitted to another recorder after a timeout must still be granted to its
/// author.
#[test]
fn resubmitted_elsewhere_granted() {
    let mut harness = Harness::new(2, Options::default());
    assert_eq!(
        harness.submit_and_wait(0, Command::Claim(claim(1))),
        Verdict::Granted
    );
    assert_eq!(
        harness.submit_and_wait(1, Command::Claim(claim(1))),
        Verdict::Granted
    );
    let answer = Answer::new(200, None, "booked".into(), 99);
    assert_eq!(
        harness.submit_and_wait(1, settle(&claim(1), Ending::Done { answer })),
        Verdict::Recorded
    );
    for recorder in 0..2 {
        let Verdict::Exists(held) = harness.submit_and_wait(recorder, Command::Claim(claim(2)))
        else {
            panic!("the key is held")
        };
        assert!(matches!(held.stage, Stage::Done { .. }));
    }
}

/// Guards against an append for each repeated claim on a key that is held, and against a stale
/// verdict after the author has freed the key through another recorder.
#[test]
fn held_needs_no_append() {
    let mut harness = Harness::new(2, Options::default());
    harness.submit_and_wait(0, Command::Claim(claim(1)));
    harness.submit_and_wait(1, Command::Claim(claim(2)));
    let appends = harness.log.next(Stream::Record(0));
    assert!(matches!(
        harness.submit_and_wait(0, Command::Claim(claim(2))),
        Verdict::Exists(_)
    ));
    assert_eq!(harness.log.next(Stream::Record(0)), appends);
    assert_eq!(
        harness.submit_and_wait(1, settle(&claim(1), Ending::NotRun)),
        Verdict::Recorded
    );
    assert_eq!(
        harness.submit_and_wait(0, Command::Claim(claim(2))),
        Verdict::Granted
    );
    assert_eq!(
        harness.submit_and_wait(0, Command::Claim(claim(1))),
        Verdict::Refused(Refusal::Freed)
    );
}

/// On loss of the shard, unsent commands must be refused at once, and commands that were sent must
/// still receive their correct verdict.
#[test]
fn shard_lost() {
    let mut harness = Harness::new(1, Options::default());
    harness.run(10);
    let sent = harness.submit(0, Command::Claim(claim(1)));
    harness.recorders[0].lose_shard();
    let late = harness.submit(0, Command::Claim(claim(2)));
    harness.run(50);
    assert_eq!(harness.verdict_of(0, sent), Verdict::Granted);
    assert_eq!(
        harness.verdict_of(0, late),
        Verdict::Unsent(Unsent::NotRecorder)
    );
    assert!(harness.recorders[0].is_finished());
}

/// Guards against unbounded waiting during an outage of the log, in time and in number, and
/// against a recorder that does not continue after it.
#[test]
fn outage_bounded() {
    let mut harness = Harness::new(
        1,
        Options {
            max_pending: 2,
            ..Options::default()
        },
    );
    harness.run(10);
    harness.down = true;
    let first = harness.submit(0, Command::Claim(claim(1)));
    harness.run(1);
    // Its deadline is later than that of the record that was sent, so it is not sent during the
    // outage.
    let queued = harness.submit(0, settle(&claim(2), Ending::NotRun));
    let over = harness.submit(0, Command::Claim(claim(3)));
    harness.run(1_100);
    assert_eq!(
        harness.verdict_of(0, first),
        Verdict::Uncertain,
        "it was sent"
    );
    assert_eq!(
        harness.verdict_of(0, queued),
        Verdict::Unsent(Unsent::Deadline)
    );
    assert_eq!(harness.verdict_of(0, over), Verdict::Unsent(Unsent::Full));
    harness.down = false;
    assert_eq!(
        harness.submit_and_wait(0, settle(&claim(1), Ending::NotRun)),
        Verdict::Recorded
    );
    assert_eq!(
        harness.submit_and_wait(0, Command::Claim(claim(4))),
        Verdict::Granted
    );
}

/// Guards against verdicts from an empty state before a new recorder has folded the stream.
#[test]
fn takeover_folds_first() {
    let mut harness = Harness::new(1, Options::default());
    harness.submit_and_wait(0, Command::Claim(claim(1)));
    harness
        .recorders
        .push(Recorder::new(Options::default(), 0, author(1, 1)));
    assert!(matches!(
        harness.submit_and_wait(1, Command::Claim(claim(2))),
        Verdict::Exists(_)
    ));
    let mut expired = claim(3);
    expired.key = key(8, WallMillis(START - 25 * 3_600_000));
    assert_eq!(
        harness.submit_and_wait(1, Command::Claim(expired)),
        Verdict::Refused(Refusal::Expired)
    );
}

/// A recorder must append snapshots without being asked, and one of them must suffice for a
/// takeover after retention has dropped the older records.
#[test]
fn snapshots_written() {
    let retention = Retention {
        age_ms: u64::MAX,
        records: 8,
    };
    let options = Options {
        retention,
        ..Options::default()
    };
    let mut harness = Harness::new(1, options);
    let other = |number| Claim {
        key: key(number, WallMillis(START)),
        ..claim(number)
    };
    for number in 0..20 {
        assert_eq!(
            harness.submit_and_wait(0, Command::Claim(other(number))),
            Verdict::Granted
        );
    }
    harness.log.expire(Stream::Record(0));
    let kept = harness.log.next(Stream::Record(0)) - harness.log.first(Stream::Record(0));
    assert!(kept <= retention.records, "{kept} records are needed");
    harness.recorders[0] = Recorder::new(options, 0, author(1, 1));
    // The tickets of a new recorder start from one again.
    harness.verdicts.clear();
    let again = Claim {
        id: id(99),
        author: author(1, 1),
        ..other(3)
    };
    assert!(matches!(
        harness.submit_and_wait(0, Command::Claim(again)),
        Verdict::Exists(_)
    ));
    assert_eq!(harness.recorders[0].fold().counts().loaded, 1);
}

/// Guards against a key that is held for a call that nobody runs: a call that ends without its
/// claim granted must free the claim, a copy of which may be appended after the holder frees the
/// key.
#[test]
fn abandoned_claim_freed() {
    let mut shard = Harness::new(1, Options::default());
    shard.submit_and_wait(0, Command::Claim(claim(1)));
    let Verdict::Exists(held) = shard.submit_and_wait(0, Command::Claim(claim(2))) else {
        panic!("held")
    };
    let others = HeldClaim {
        fingerprint: fingerprint("another call"),
        ..held.clone()
    };
    let future = Verdict::Refused(Refusal::Future);
    for verdict in [Verdict::Exists(held), Verdict::Exists(others), future] {
        let mut call = Call::new(claim(2), Millis(1_000));
        let Some(Step::Submit(command)) = call.poll(Millis(0)) else {
            panic!("a claim")
        };
        assert!(
            call.verdict(Millis(1), &command, &verdict, |_| true)
                .is_some()
        );
        let Some(Step::Submit(Command::Settle(settle))) = call.poll(Millis(1)) else {
            panic!("not freed after {verdict:?}")
        };
        assert_eq!((settle.claim, settle.ending), (id(2), Ending::NotRun));
    }
    let mut unsent = Call::new(claim(2), Millis(0));
    assert_eq!(
        unsent.poll(Millis(0)),
        Some(Step::Report(Outcome::NotRun, None))
    );
    assert!(
        unsent.is_finished(),
        "a claim that was never sent needs no record"
    );
}
