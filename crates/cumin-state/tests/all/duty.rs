//! The recorder's duty: what is answered without the log, on loss of duty and on take-over.

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

/// One log and recorders that reach it at once, unless `down`.
struct Bench {
    log: Log,
    recorders: Vec<Recorder>,
    now: u64,
    down: bool,
    rng: ChaCha8Rng,
    answers: Vec<(usize, Ticket, Verdict)>,
}

impl Bench {
    fn new(recorders: u64, options: Options) -> Self {
        let recorders = (0..recorders)
            .map(|n| Recorder::new(options, 0, author(n, 1)))
            .collect();
        let (log, answers) = (Log::default(), Vec::new());
        Self {
            log,
            recorders,
            now: 0,
            down: false,
            rng: rng(1),
            answers,
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
                            self.answers.push((index, ticket, verdict));
                        }
                    }
                }
            }
        }
    }

    fn ask(&mut self, recorder: usize, command: Command) -> Verdict {
        let ticket = self.submit(recorder, command);
        self.run(1_100);
        self.answered(recorder, ticket)
    }

    fn answered(&self, recorder: usize, ticket: Ticket) -> Verdict {
        let answers: Vec<_> = self
            .answers
            .iter()
            .filter(|(by, one, _)| (*by, *one) == (recorder, ticket))
            .collect();
        assert_eq!(answers.len(), 1, "one answer a submission");
        answers[0].2.clone()
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

/// Two nodes that both believe they record the shard must not both grant.
#[test]
fn two_recorders_one_grant() {
    let mut bench = Bench::new(2, Options::default());
    bench.run(10);
    let first = bench.submit(0, Command::Claim(claim(1)));
    let second = bench.submit(1, Command::Claim(claim(2)));
    bench.run(50);
    let verdicts = [bench.answered(0, first), bench.answered(1, second)];
    let granted = verdicts
        .iter()
        .filter(|verdict| **verdict == Verdict::Granted)
        .count();
    assert_eq!(granted, 1, "{verdicts:?}");
}

/// The same claim sent to another recorder after a time-out is still the author's own.
#[test]
fn resubmitted_elsewhere_granted() {
    let mut bench = Bench::new(2, Options::default());
    assert_eq!(bench.ask(0, Command::Claim(claim(1))), Verdict::Granted);
    assert_eq!(bench.ask(1, Command::Claim(claim(1))), Verdict::Granted);
    let answer = Answer::new(200, None, "booked".into(), 99);
    assert_eq!(
        bench.ask(1, settle(&claim(1), Ending::Done { answer })),
        Verdict::Recorded
    );
    for recorder in 0..2 {
        let Verdict::Exists(held) = bench.ask(recorder, Command::Claim(claim(2))) else {
            panic!("the key is held")
        };
        assert!(matches!(held.stage, Stage::Done { .. }));
    }
}

/// Asking again while a call is in flight must cost no append, and must see a key that its
/// author freed through another recorder.
#[test]
fn held_answered_by_read() {
    let mut bench = Bench::new(2, Options::default());
    bench.ask(0, Command::Claim(claim(1)));
    bench.ask(1, Command::Claim(claim(2)));
    let appends = bench.log.next(Stream::Record(0));
    assert!(matches!(
        bench.ask(0, Command::Claim(claim(2))),
        Verdict::Exists(_)
    ));
    assert_eq!(bench.log.next(Stream::Record(0)), appends);
    assert_eq!(
        bench.ask(1, settle(&claim(1), Ending::NotRun)),
        Verdict::Recorded
    );
    assert_eq!(bench.ask(0, Command::Claim(claim(2))), Verdict::Granted);
    assert_eq!(
        bench.ask(0, Command::Claim(claim(1))),
        Verdict::Refused(Refusal::Freed)
    );
}

/// On loss of duty, what was not sent must be answered at once and what was sent rightly.
#[test]
fn duty_lost() {
    let mut bench = Bench::new(1, Options::default());
    bench.run(10);
    let sent = bench.submit(0, Command::Claim(claim(1)));
    bench.recorders[0].lose_shard();
    let late = bench.submit(0, Command::Claim(claim(2)));
    bench.run(50);
    assert_eq!(bench.answered(0, sent), Verdict::Granted);
    assert_eq!(
        bench.answered(0, late),
        Verdict::Unsent(Unsent::NotRecorder)
    );
    assert!(bench.recorders[0].is_finished());
}

/// In an outage claims must wait up to their deadline and the bound, and the duty must go on
/// after it.
#[test]
fn outage_bounded() {
    let mut bench = Bench::new(
        1,
        Options {
            max_pending: 2,
            ..Options::default()
        },
    );
    bench.run(10);
    bench.down = true;
    let first = bench.submit(0, Command::Claim(claim(1)));
    bench.run(1);
    // Its deadline is past that of what was sent, so it is not sent while the log is down.
    let queued = bench.submit(0, settle(&claim(2), Ending::NotRun));
    let over = bench.submit(0, Command::Claim(claim(3)));
    bench.run(1_100);
    assert_eq!(bench.answered(0, first), Verdict::Uncertain, "it was sent");
    assert_eq!(bench.answered(0, queued), Verdict::Unsent(Unsent::Deadline));
    assert_eq!(bench.answered(0, over), Verdict::Unsent(Unsent::Full));
    bench.down = false;
    assert_eq!(
        bench.ask(0, settle(&claim(1), Ending::NotRun)),
        Verdict::Recorded
    );
    assert_eq!(bench.ask(0, Command::Claim(claim(4))), Verdict::Granted);
}

/// Before its first fold a recorder must not answer from an empty state.
#[test]
fn take_over_refolds() {
    let mut bench = Bench::new(1, Options::default());
    bench.ask(0, Command::Claim(claim(1)));
    bench
        .recorders
        .push(Recorder::new(Options::default(), 0, author(1, 1)));
    assert!(matches!(
        bench.ask(1, Command::Claim(claim(2))),
        Verdict::Exists(_)
    ));
    let mut expired = claim(3);
    expired.key = key(8, WallMillis(START - 25 * 3_600_000));
    assert_eq!(
        bench.ask(1, Command::Claim(expired)),
        Verdict::Refused(Refusal::Expired)
    );
}

/// The duty must write snapshots by itself, and one of them must be enough to take over.
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
    let mut bench = Bench::new(1, options);
    let other = |number| Claim {
        key: key(number, WallMillis(START)),
        ..claim(number)
    };
    for number in 0..20 {
        assert_eq!(
            bench.ask(0, Command::Claim(other(number))),
            Verdict::Granted
        );
    }
    bench.log.expire(Stream::Record(0));
    let kept = bench.log.next(Stream::Record(0)) - bench.log.first(Stream::Record(0));
    assert!(kept <= retention.records, "{kept} records are needed");
    bench.recorders[0] = Recorder::new(options, 0, author(1, 1));
    // The new recorder's tickets begin again.
    bench.answers.clear();
    let again = Claim {
        id: id(99),
        author: author(1, 1),
        ..other(3)
    };
    assert!(matches!(
        bench.ask(0, Command::Claim(again)),
        Verdict::Exists(_)
    ));
    assert_eq!(bench.recorders[0].fold().counts().loaded, 1);
}

/// A call that ends without its own claim must free that claim: a copy of it may land when
/// the key's present holder has freed the key, and nobody would run it.
#[test]
fn abandoned_claim_freed() {
    let mut shard = Bench::new(1, Options::default());
    shard.ask(0, Command::Claim(claim(1)));
    let Verdict::Exists(held) = shard.ask(0, Command::Claim(claim(2))) else {
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
