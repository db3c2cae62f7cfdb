//! A planned stop, over time.

use cumin_entry::stop::Stop;
use cumin_types::Millis;

const STOP: Stop = Stop {
    since: Millis(28_790),
    grace: Millis(8000),
};

/// hackbrett, rolling.toml --vary --seed 127745794224: a request that came 6.45 s after SIGTERM
/// was passed on and cut a second later, when the node's time was over.
#[test]
fn late_request() {
    assert!(!STOP.accepts(Millis(35_241)));
    // The users excuse what came within 3 s of the signal only.
    assert!(!STOP.accepts(Millis(28_790 + 3000)));
    assert!(STOP.accepts(Millis(28_790 + 2500)));
}

/// Idle connections stay open until callers know of the stop.
#[test]
fn idle_connections() {
    assert!(!STOP.closes_idle(Millis(28_790 + 2900)));
    assert!(STOP.closes_idle(Millis(28_790 + 3300)));
}

/// The process waits for requests in progress, but ends before the platform ends it.
#[test]
fn exit_time() {
    assert!(!STOP.exits(0, Millis(28_790 + 1000)));
    assert!(STOP.exits(0, Millis(28_790 + 3500)));
    assert!(!STOP.exits(1, Millis(28_790 + 7000)));
    assert!(STOP.exits(1, Millis(28_790 + 7600)));
}
