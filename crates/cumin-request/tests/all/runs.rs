use cumin_request::{AttemptFailure, FrameResult, NextStep, Run, Transcript};
use cumin_types::{EndpointName, Outcome, Position};

use crate::{attempt, descriptor, done, transcript};

fn run(once: bool, epoch: u32) -> Run {
    Run::new(descriptor(1, once, epoch, 0), Transcript::default())
}

fn begin(run: &mut Run, number: u128) -> Position {
    run.begin_attempt(attempt(number), EndpointName::from("oven"))
}

/// Guards against frames of another attempt, repeats and gaps in the answer.
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

/// Guards against a late end of an old attempt that ends the current one.
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

/// Guards against `not_run` where a byte can have reached an endpoint.
#[test]
fn outcome_of_each_break() {
    let causes = [
        (AttemptFailure::NotConnected, false),
        (AttemptFailure::NotStarted, false),
        (AttemptFailure::Rejected { status: 400 }, true),
        (AttemptFailure::ServerError { status: 500 }, true),
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

/// Guards against a harmless break that hides an earlier attempt which can have run.
#[test]
fn earlier_attempt_counts() {
    let mut run = run(false, 0);
    begin(&mut run, 1);
    run.fail_attempt(attempt(1), &AttemptFailure::ConnectionLost);
    begin(&mut run, 2);
    run.fail_attempt(attempt(2), &AttemptFailure::NotConnected);
    assert_eq!(run.give_up("end").outcome, Outcome::Failed);
}

/// Guards against `not_run` after the caller saw tokens, from an endpoint that denies its start.
#[test]
fn tokens_prove_start() {
    let mut run = run(false, 0);
    begin(&mut run, 1);
    run.receive_frame(attempt(1), Position(1), "a");
    run.fail_attempt(attempt(1), &AttemptFailure::NotStarted);
    assert_eq!(run.give_up("end").outcome, Outcome::Failed);
}

/// Guards against a second dispatch of a call that may run once.
#[test]
#[should_panic(expected = "a second dispatch")]
fn second_dispatch_panics() {
    let mut run = run(true, 0);
    begin(&mut run, 1);
    begin(&mut run, 2);
}

/// Guards against a dispatch after takeover, when the former owner may have dispatched.
#[test]
#[should_panic(expected = "a second dispatch")]
fn dispatch_after_takeover_panics() {
    begin(&mut run(true, 1), 1);
}

/// Guards against a claim that clears what this run itself dispatched.
#[test]
fn late_grant_clears_nothing() {
    let mut run = run(true, 1);
    run.claim_granted();
    begin(&mut run, 1);
    run.claim_granted();
    assert_eq!(run.give_up("deadline").outcome, Outcome::Unknown);
}

/// Guards against a grant that does not free a run which took over.
#[test]
fn grant_proves_nothing_ran() {
    let mut run = run(true, 1);
    run.claim_granted();
    assert_eq!(run.give_up("deadline").outcome, Outcome::NotRun);
}

/// Guards against a continued run that starts again from the first token.
#[test]
fn continues_after_tokens() {
    let mut run = Run::new(descriptor(1, false, 1, 0), transcript(&["a", "b"]));
    assert_eq!(begin(&mut run, 1), Position(2));
}
