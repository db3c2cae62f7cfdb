//! Stages of a graceful stop.

use cumin_entry::stop::Stop;
use cumin_types::Millis;

const STOP: Stop = Stop {
    since: Millis(28_790),
    grace: Millis(8000),
};

/// A request that came 6.45 s after SIGTERM was forwarded and cut a second later, at the end of the
/// grace period (hackbrett, rolling.toml --vary --seed 127745794224).
#[test]
fn late_request() {
    assert!(!STOP.accepts(Millis(35_241)));
    // The users tolerate lost requests only if they came within 3 s of the signal.
    assert!(!STOP.accepts(Millis(28_790 + 3000)));
    assert!(STOP.accepts(Millis(28_790 + 2500)));
}

/// Idle connections must stay open until callers have learnt of the stop.
#[test]
fn idle_connections() {
    assert!(!STOP.closes_idle(Millis(28_790 + 2900)));
    assert!(STOP.closes_idle(Millis(28_790 + 3300)));
}

/// The process must wait for requests in progress, but exit before the platform kills it.
#[test]
fn exit_time() {
    assert!(!STOP.exits(0, Millis(28_790 + 1000)));
    assert!(STOP.exits(0, Millis(28_790 + 3500)));
    assert!(!STOP.exits(1, Millis(28_790 + 7000)));
    assert!(STOP.exits(1, Millis(28_790 + 7600)));
}
