use cumin_request::{AttemptFailure, FrameResult, NextStep, Run, Transcript};
use cumin_types::{EndpointName, Outcome, Position};

use crate::{attempt, descriptor, done, transcript};

fn run(once: bool, epoch: u32) -> Run {
    Run::new(descriptor(1, once, epoch, 0), Transcript::default())
}

fn begin(run: &mut Run, number: u128) -> Position {
    run.begin_attempt(attempt(number), EndpointName::from("oven"))
}

/// Guards against frames of another attempt, duplicates and gaps in the answer.
#[test]
fn wrong_frames_dropped() {
    let mut run = run(false, 0);
    begin(&mut run, 1);
    assert_eq!(
        run.receive_frame(attempt(1), Position(1), "a"),
        FrameResult::Accepted
    );
    assert_eq!(
        run.fail_attempt(attempt(1), &AttemptFailure::Stalled),
        NextStep::Retry
    );
    assert_eq!(begin(&mut run, 2), Position(1));
    assert_eq!(
        run.receive_frame(attempt(1), Position(2), "x"),
        FrameResult::Stale
    );
    assert_eq!(
        run.receive_frame(attempt(2), Position(1), "x"),
        FrameResult::Duplicate
    );
    assert_eq!(
        run.receive_frame(attempt(2), Position(3), "x"),
        FrameResult::Gap
    );
    assert_eq!(
        run.receive_frame(attempt(2), Position(2), "b"),
        FrameResult::Accepted
    );
    assert_eq!(run.transcript().text(), "ab");
    let dropped = run.dropped_frames();
    assert_eq!((dropped.stale, dropped.duplicate, dropped.gap), (1, 1, 1));
}

/// Guards against the end of a previous attempt ending the current one.
#[test]
fn late_end_ignored() {
    let mut run = run(false, 0);
    begin(&mut run, 1);
    run.fail_attempt(attempt(1), &AttemptFailure::ConnectionLost);
    begin(&mut run, 2);
    assert!(!run.complete(attempt(1), done()));
    assert_eq!(
        run.fail_attempt(attempt(1), &AttemptFailure::ConnectionLost),
        NextStep::Ignore
    );
    assert!(run.complete(attempt(2), done()));
    assert_eq!(
        run.receive_frame(attempt(2), Position(1), "x"),
        FrameResult::Stale
    );
    assert_eq!(run.give_up("deadline").outcome, Outcome::Done);
}

/// Guards against reporting `not_run` when an endpoint may have received a byte.
#[test]
fn outcome_per_failure() {
    let causes = [
        (AttemptFailure::NotConnected, false),
        (AttemptFailure::NotStarted, false),
        (AttemptFailure::Rejected { status: 400 }, true),
        (AttemptFailure::ErrorStatus { status: 500 }, true),
        (AttemptFailure::ConnectionLost, true),
        (AttemptFailure::Stalled, true),
        (AttemptFailure::Moved, true),
        (AttemptFailure::Gap, true),
    ];
    for (cause, reached) in causes {
        for once in [false, true] {
            let mut run = run(once, 0);
            begin(&mut run, 1);
            run.fail_attempt(attempt(1), &cause);
            let expected = match (reached, once) {
                (false, _) => Outcome::NotRun,
                (true, false) => Outcome::Failed,
                (true, true) => Outcome::Unknown,
            };
            assert_eq!(
                run.give_up("end").outcome,
                expected,
                "{cause}, once: {once}"
            );
        }
    }
}

/// Guards against an attempt that never started hiding an earlier one that may have run.
#[test]
fn earlier_attempt_counts() {
    let mut run = run(false, 0);
    begin(&mut run, 1);
    run.fail_attempt(attempt(1), &AttemptFailure::ConnectionLost);
    begin(&mut run, 2);
    run.fail_attempt(attempt(2), &AttemptFailure::NotConnected);
    assert_eq!(run.give_up("end").outcome, Outcome::Failed);
}

/// Guards against reporting `not_run` after tokens arrived from an endpoint that then reports that
/// it did not start.
#[test]
fn tokens_prove_start() {
    let mut run = run(false, 0);
    begin(&mut run, 1);
    run.receive_frame(attempt(1), Position(1), "a");
    run.fail_attempt(attempt(1), &AttemptFailure::NotStarted);
    assert_eq!(run.give_up("end").outcome, Outcome::Failed);
}

/// Guards against a second dispatch of a call that may run at most once.
#[test]
#[should_panic(expected = "a second dispatch")]
fn second_dispatch_panics() {
    let mut run = run(true, 0);
    begin(&mut run, 1);
    begin(&mut run, 2);
}

/// Guards against a dispatch after a takeover, when the previous owner may have dispatched.
#[test]
#[should_panic(expected = "a second dispatch")]
fn dispatch_after_takeover_panics() {
    begin(&mut run(true, 1), 1);
}

/// Guards against a late claim grant that clears the record of what this run itself dispatched.
#[test]
fn late_grant_ineffective() {
    let mut run = run(true, 1);
    run.claim_granted();
    begin(&mut run, 1);
    run.claim_granted();
    assert_eq!(run.give_up("deadline").outcome, Outcome::Unknown);
}

/// Guards against a claim grant that does not let a run after a takeover report `not_run`.
#[test]
fn grant_proves_unsent() {
    let mut run = run(true, 1);
    run.claim_granted();
    assert_eq!(run.give_up("deadline").outcome, Outcome::NotRun);
}

/// Guards against a continued run that restarts from the first token.
#[test]
fn continues_after_tokens() {
    let mut run = Run::new(descriptor(1, false, 1, 0), transcript(&["a", "b"]));
    assert_eq!(begin(&mut run, 1), Position(2));
}
