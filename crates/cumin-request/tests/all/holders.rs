use cumin_request::{Ack, Holder, HolderOptions, Progress, Refused};
use cumin_types::{Epoch, Millis, Position};

use crate::{descriptor, done, given, id, node};

const NOW: Millis = Millis(0);

pub(crate) fn progress(number: u128, epoch: u32, from: u64, tokens: &[&str]) -> Progress {
    Progress {
        id: id(number),
        epoch: Epoch(epoch),
        from: Position(from),
        tokens: tokens.iter().map(|token| (*token).to_owned()).collect(),
        finish: None,
    }
}

fn end(number: u128, from: u64, tokens: &[&str]) -> Progress {
    Progress {
        finish: Some(done()),
        ..progress(number, 0, from, tokens)
    }
}

fn text(holder: &Holder, number: u128) -> String {
    holder
        .look(id(number), NOW)
        .unwrap()
        .transcript
        .text()
        .into()
}

/// Guards against repeats and reordered messages that repeat, skip or take back tokens.
#[test]
fn late_repeats_harmless() {
    let mut holder = Holder::default();
    holder.hold(given(1, 0, 0, &[]), NOW).unwrap();
    assert_eq!(
        holder.progress(progress(1, 0, 1, &["b"]), NOW),
        Ack::Resend(Position(0))
    );
    for _ in 0..2 {
        let ack = holder.progress(progress(1, 0, 0, &["a", "b"]), NOW);
        assert_eq!(ack, Ack::Stored(Position(2)));
    }
    let ack = holder.progress(progress(1, 0, 1, &["b", "c"]), NOW);
    assert_eq!(ack, Ack::Stored(Position(3)));
    holder.hold(given(1, 0, 0, &["a"]), NOW).unwrap();
    assert_eq!(text(&holder, 1), "abc");
    holder.progress(end(1, 3, &[]), NOW);
    holder.hold(given(1, 0, 0, &["a", "b", "c"]), NOW).unwrap();
    holder.progress(progress(1, 0, 3, &["d"]), NOW);
    assert_eq!(text(&holder, 1), "abc");
    assert!(holder.look(id(1), NOW).unwrap().finish.is_some());
}

/// Guards against tokens held for nobody after a restart of the second node.
#[test]
fn missing_request_told() {
    let ack = Holder::default().progress(progress(1, 0, 0, &["a"]), NOW);
    assert_eq!(ack, Ack::Missing);
}

/// Guards against more requests than the bound, and against results that keep running ones out.
#[test]
fn results_make_room() {
    let mut holder = Holder::new(HolderOptions {
        requests: 2,
        ..HolderOptions::default()
    });
    holder.hold(given(1, 0, 0, &[]), NOW).unwrap();
    holder.hold(given(2, 0, 0, &[]), NOW).unwrap();
    let full = holder.hold(given(3, 0, 0, &[]), NOW);
    assert_eq!(full, Err(Refused::Full { limit: 2 }));
    holder.progress(end(1, 0, &[]), NOW);
    holder.hold(given(3, 0, 0, &[]), NOW).unwrap();
    assert!(holder.look(id(1), NOW).is_none());
    assert_eq!(holder.len(), 2);
}

/// Guards against results that outgrow their memory bound.
#[test]
fn results_bounded_by_bytes() {
    let mut holder = Holder::new(HolderOptions {
        bytes: 3_000,
        ..HolderOptions::default()
    });
    let long = "x".repeat(1_000);
    for number in 0..10_u32 {
        let (at, number) = (Millis(number.into()), number.into());
        holder.hold(given(number, 0, 0, &[]), NOW).unwrap();
        holder.progress(end(number, 0, &[&long]), at);
    }
    // 1,000 bytes of text, 4 of its end and 4 of the reason.
    assert_eq!(holder.len(), 2);
    assert!(holder.look(id(9), NOW).is_some());
}

/// Guards against results or requests that stay forever, or go too early.
#[test]
fn expiry_at_bounds() {
    let options = HolderOptions::default();
    let mut holder = Holder::new(options);
    holder.hold(given(1, 0, 0, &[]), NOW).unwrap();
    holder.hold(given(2, 0, 0, &[]), NOW).unwrap();
    holder.progress(end(2, 0, &[]), NOW);
    let unfinished = descriptor(1, false, 0, 0).time_left.plus(options.linger.0);
    holder.expire(Millis(unfinished.0 - 1));
    assert_eq!(holder.len(), 2);
    holder.expire(unfinished);
    assert!(holder.look(id(1), unfinished).is_none());
    holder.expire(Millis(options.keep.0 - 1));
    assert_eq!(holder.len(), 1);
    holder.expire(options.keep);
    assert!(holder.is_empty());
}

/// Guards against a takeover of finished requests, or of those of other owners.
#[test]
fn owned_by_lists_unfinished() {
    let mut holder = Holder::default();
    for (number, owner) in [(1, 0), (2, 0), (3, 1)] {
        holder.hold(given(number, 0, owner, &[]), NOW).unwrap();
    }
    holder.progress(end(2, 0, &[]), NOW);
    assert_eq!(holder.owned_by(&node(0)), [id(1)]);
}
