//! Times for which endpoints want nothing from a node.

use cumin_retry::Waits;
use cumin_types::Millis;

use crate::endpoint;

const END: Millis = Millis(3000);

fn left(waits: &Waits, process: u64, now: Millis) -> Millis {
    waits.left(&endpoint(1), process, now)
}

/// A later answer extends the time and never shortens it.
#[test]
fn longest_counts() {
    let mut waits = Waits::default();
    assert!(waits.stated(&endpoint(1), 1, END, Millis(1000)));
    assert_eq!(left(&waits, 1, Millis(1500)), Millis(1500));
    assert!(!waits.stated(&endpoint(1), 1, Millis(2000), Millis(1500)));
    assert_eq!(left(&waits, 1, Millis(2500)), Millis(500));
    assert!(waits.stated(&endpoint(1), 1, Millis(4000), Millis(2500)));
    assert_eq!(left(&waits, 1, END), Millis(1000));
    assert_eq!(left(&waits, 1, Millis(4000)), Millis(0));
    assert_eq!(waits.left(&endpoint(2), 1, Millis(1500)), Millis(0));
}

/// A new process is not bound by what the one before stated, nor by its late answers; a time
/// without end must not overflow.
#[test]
fn new_process() {
    let mut waits = Waits::default();
    assert!(waits.stated(&endpoint(1), 1, Millis(u64::MAX), Millis(1000)));
    assert!(left(&waits, 1, Millis(1 << 40)) > Millis(1 << 60));
    assert_eq!(left(&waits, 2, Millis(1000)), Millis(0));
    assert!(waits.stated(&endpoint(1), 2, END, Millis(1000)));
    assert!(!waits.stated(&endpoint(1), 1, Millis(u64::MAX), Millis(1000)));
    assert_eq!(left(&waits, 2, Millis(2000)), Millis(1000));
}

/// At the end, two requests try first; the others must wait until one that was sent after the end
/// is answered.
#[test]
fn two_first() {
    let mut waits = Waits::default();
    waits.stated(&endpoint(1), 1, END, Millis(1000));
    for _ in 0..2 {
        assert_eq!(left(&waits, 1, END), Millis(0));
        waits.request_sent(&endpoint(1), END);
    }
    assert!(left(&waits, 1, END) > Millis(0));
    assert_eq!(waits.stated_left(&endpoint(1), 1, END), Millis(0));
    assert!(!waits.answered(&endpoint(1), 1, Millis(900)));
    assert!(!waits.answered(&endpoint(1), 2, END));
    assert!(left(&waits, 1, END) > Millis(0));
    assert!(waits.answered(&endpoint(1), 1, END));
    assert_eq!(left(&waits, 1, END), Millis(0));
}

/// What endpoints that are gone stated must not pile up.
#[test]
fn forgotten_late() {
    let mut waits = Waits::default();
    waits.stated(&endpoint(1), 1, Millis(u64::MAX), Millis(1000));
    waits.trim(|_| false, Millis(2000));
    assert!(left(&waits, 1, Millis(2000)) > Millis(0));
    waits.trim(|_| true, Millis(700_000));
    assert!(left(&waits, 1, Millis(700_000)) > Millis(0));
    waits.trim(|_| false, Millis(700_000));
    assert_eq!(left(&waits, 1, Millis(700_000)), Millis(0));
}
