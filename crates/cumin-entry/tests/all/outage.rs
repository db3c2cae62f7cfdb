//! Outages of the store, told from the loss of a node's own connections to it.

use cumin_entry::outage::{Absence, ReadSpan, Reads, Timeline};
use cumin_types::Millis;
use proptest::prelude::*;

const HEARTBEAT: Millis = Millis(1200);

/// Interval between two reads, in milliseconds.
const READ_INTERVAL: u64 = 400;

/// Plays the reads of a node that gets no answers within `[from, to)`. Returns its last absence and
/// its reads.
fn play(from: u64, to: u64, until: u64) -> (Option<Absence>, Reads) {
    let mut reads = Reads::default();
    let mut last = None;
    let step = usize::try_from(READ_INTERVAL).unwrap();
    for at in (0..until).step_by(step) {
        if !(from..to).contains(&at) {
            last = reads.answered(HEARTBEAT, Millis(at)).or(last);
        }
    }
    (last, reads)
}

/// The span of another node's reads, as a digest states it at `at`.
fn stated(reads: &Reads, at: u64) -> ReadSpan {
    let span = reads.span().unwrap();
    // The peer's clock is ahead by ten seconds.
    let offset = 10_000;
    let ahead = |time: Millis| Millis(time.0 + offset);
    let span = ReadSpan {
        first: ahead(span.first),
        last: ahead(span.last),
    };
    span.stated(Millis(at + offset)).heard(Millis(at))
}

/// Returns whether the spans of peers cover an absence.
fn covered(absence: Absence, spans: &[ReadSpan]) -> bool {
    let mut timeline = Timeline::default();
    for span in spans {
        timeline.add(*span, HEARTBEAT);
    }
    timeline.covers(absence, HEARTBEAT)
}

/// An endpoint left right after the connection of its only entry went silent (review/3): no
/// registration expires in the 2.7 s until a waiting read is lost.
#[test]
fn silent_connection() {
    let (absence, _) = play(5000, 7750, 9000);
    assert_eq!(absence, None);
}

/// A node is cut off for long; the others read the store all the while.
#[test]
fn own_cut() {
    let (absence, _) = play(5000, 10_500, 11_000);
    let absence = absence.unwrap();
    let (_, peer) = play(0, 0, 10_500);
    assert!(covered(absence, &[stated(&peer, 10_600)]));
}

/// In an outage no node reads; one that reads again earlier, or that was started since, shows
/// nothing about the time before.
#[test]
fn common_outage() {
    let (absence, _) = play(5000, 10_500, 11_000);
    let absence = absence.unwrap();
    for (peer, at) in [
        (play(5100, 20_000, 10_400).1, 10_400),
        (play(5100, 9800, 10_500).1, 10_600),
        (play(0, 8000, 10_500).1, 10_600),
    ] {
        assert!(!covered(absence, &[stated(&peer, at)]));
    }
}

/// A peer whose last read was before the outage must not refute it while its own reads wait.
#[test]
fn stale_peer() {
    let (absence, _) = play(5000, 9000, 9500);
    let absence = absence.unwrap();
    let (_, peer) = play(0, 0, 5000);
    assert!(!covered(absence, &[stated(&peer, 8900)]));
}

/// Every node is cut off for a while or restarted, but never all of them (hackbrett, a series of
/// cuts, kills and freezes of the nodes that acted last).
#[test]
fn by_turns() {
    let (absence, _) = play(57_000, 66_500, 67_000);
    let absence = absence.unwrap();
    let span = |first, last| ReadSpan {
        first: Millis(first),
        last: Millis(last),
    };
    let restarted = [
        span(57_900, 61_700),
        span(58_800, 62_000),
        span(59_700, 66_000),
    ];
    assert!(covered(absence, &restarted));
    let earlier = [span(40_000, 59_000), span(60_000, 66_400)];
    assert!(covered(absence, &earlier));
    let outage = [span(40_000, 59_000), span(62_700, 66_400)];
    assert!(!covered(absence, &outage));
}

proptest! {
    /// No peer refutes an outage in which registrations can expire, whenever its digest was sent.
    #[test]
    fn outage_kept(from in 3000_u64..6000, lasts in 4000_u64..9000, late in 0_u64..2000,
                   sent in 2000_u64..16_000) {
        let to = from + lasts;
        let (absence, _) = play(from, to + late, to + late + 1000);
        let absence = absence.unwrap();
        prop_assume!(sent <= absence.to.0 + 1500);
        let (_, peer) = play(from, to, sent);
        prop_assert!(!covered(absence, &[stated(&peer, sent)]));
    }

    /// A loss of a node's own connections is refuted by the first digest of a node that reads.
    #[test]
    fn own_loss(from in 3000_u64..6000, lasts in 500_u64..9000, after in 0_u64..1000) {
        let (absence, _) = play(from, from + lasts, from + lasts + 1000);
        if let Some(absence) = absence {
            let sent = absence.to.0 + after;
            let (_, peer) = play(0, 0, sent);
            prop_assert!(covered(absence, &[stated(&peer, sent)]));
        }
    }
}
