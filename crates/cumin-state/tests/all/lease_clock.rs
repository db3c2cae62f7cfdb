//! Clocks of a lease's holder and observers.

use cumin_state::batch::Author;
use cumin_state::fold::{LogPosition, State};
use cumin_state::lease::{
    Event, Holder, Leases, MAX_TTL_MS, Observer, Options, Record, Refusal, StopReason,
};
use cumin_types::{FencingToken, LogOffset, Millis, WallMillis};

use crate::model::{author, id, rng, wall};

struct Harness {
    leases: Leases,
    observer: Observer,
    offset: u64,
}

impl Harness {
    fn apply(&mut self, now: u64, record: Record) -> Event {
        let at = LogPosition {
            offset: LogOffset(self.offset),
            wall: wall(Millis(now)),
        };
        self.offset += 1;
        self.leases.advance(at);
        let event = self.leases.apply(at, &author(0, 1), record);
        self.observer.observe(Millis(now), &self.leases, true);
        event
    }

    fn poll(&mut self, holder: &mut Holder, now: u64) -> Option<Record> {
        let now = Millis(now);
        holder.poll(
            now,
            wall(now),
            &self.leases,
            &self.observer,
            &mut rng(now.0),
        )
    }
}

/// Returns a holder that was granted the lease `planner` at time 0 and offset 7.
fn granted() -> (Harness, Holder) {
    let observer = Observer::default();
    let mut harness = Harness {
        leases: Leases::default(),
        observer,
        offset: 7,
    };
    harness.observer.observe(Millis(0), &harness.leases, true);
    let mut holder = Holder::new(Options::default(), "planner", author(0, 1));
    let grant = harness.poll(&mut holder, 0).expect("a grant");
    harness.apply(50, grant);
    holder.observe(&harness.leases);
    (harness, holder)
}

fn may_act(holder: &mut Holder, now: u64) -> Result<FencingToken, StopReason> {
    holder.may_act(Millis(now), wall(Millis(now)))
}

fn grant(number: u64, holder: Author, after: Option<u64>) -> Record {
    let (lease, ttl_ms) = ("planner".into(), Options::default().ttl_ms);
    let after = after.map(LogOffset);
    Record::Grant {
        id: id(number),
        lease,
        holder,
        after,
        lost: false,
        ttl_ms,
    }
}

/// Guards against a holder that acts within the margin before the end of its lease, measured from
/// before the append.
#[test]
fn stops_by_margin() {
    let (_, mut holder) = granted();
    let Options { ttl_ms, .. } = Options::default();
    let margin = Options::default().margin_ms();
    assert_eq!(
        may_act(&mut holder, 60),
        Ok(FencingToken(7)),
        "the token is the offset"
    );
    assert!(may_act(&mut holder, ttl_ms - margin - 1).is_ok());
    let stop = may_act(&mut holder, ttl_ms - margin);
    assert_eq!(
        stop,
        Err(StopReason::Margin {
            left: margin,
            margin
        })
    );
}

/// Guards against two holders when a renewal is appended between an observer's read and its grant;
/// the grant must be void.
#[test]
fn renewal_voids_grant() {
    let (mut harness, mut holder) = granted();
    let renew = harness
        .poll(&mut holder, 5_000)
        .expect("a renewal after a third");
    assert_eq!(
        harness.apply(20_000, renew),
        Event::Renewed {
            lease: "planner".into()
        }
    );
    let stale = harness.apply(20_001, grant(1, author(1, 1), Some(7)));
    assert_eq!(stale, Event::Refused(Refusal::Overtaken));
    let early = harness.apply(20_002, grant(2, author(1, 1), Some(8)));
    assert_eq!(early, Event::Refused(Refusal::Held));
    holder.observe(&harness.leases);
    let late = may_act(&mut holder, 20_003);
    assert!(
        late.is_err(),
        "a renewal that was appended late gives no time: {late:?}"
    );
}

/// Guards against an early grant: an observer must wait for the whole lease on its own clock, from
/// when it read the record.
#[test]
fn observer_waits() {
    let (mut harness, _) = granted();
    let mut next = Holder::new(Options::default(), "planner", author(1, 1));
    assert!(harness.poll(&mut next, 15_049).is_none());
    let grant = harness.poll(&mut next, 15_050 + 151).expect("vacant");
    assert!(matches!(
        harness.apply(15_300, grant),
        Event::Granted { .. }
    ));
}

/// Guards against a holder that acts after a pause, whether or not the monotonic clock counted it.
#[test]
fn pause_ends_lease() {
    let (_, mut holder) = granted();
    assert!(may_act(&mut holder, 100).is_ok());
    let (now, wall_after) = (Millis(200), WallMillis(wall(Millis(200)).0 + 3_000));
    assert_eq!(
        holder.may_act(now, wall_after),
        Err(StopReason::Paused { late: 3_000 })
    );
    let after = holder.may_act(Millis(201), WallMillis(wall_after.0 + 1));
    assert_eq!(after, Err(StopReason::NotHeld));

    let (_, mut holder) = granted();
    // Each pause alone is too short to be detected.
    let stops = (1..10).find(|count| {
        let wall = WallMillis(wall(Millis(100)).0 + count * 1_900);
        holder.may_act(Millis(100 + count), wall).is_err()
    });
    assert!(stops.is_some_and(|count| count <= 7), "{stops:?}");
}

/// A released lease must be vacant at once, and a later incarnation of the holder's node must not
/// inherit the lease.
#[test]
fn release_and_restart() {
    let (mut harness, mut holder) = granted();
    let early = harness.apply(60, grant(1, author(0, 2), Some(7)));
    assert_eq!(
        early,
        Event::Refused(Refusal::Held),
        "another incarnation is another holder"
    );
    let release = holder.release(wall(Millis(70)), &mut rng(1)).expect("held");
    assert!(may_act(&mut holder, 71).is_err());
    harness.apply(80, release.clone());
    assert_eq!(harness.apply(81, release), Event::Refused(Refusal::Stale));
    let taken = harness.apply(82, grant(2, author(1, 1), Some(9)));
    assert!(
        matches!(taken, Event::Granted { .. }),
        "the release was at offset 9"
    );
}

/// Guards against two holders after a loss of records: no lease may be granted until the longest
/// possible one has expired.
#[test]
fn lost_records_wait() {
    let (mut harness, _) = granted();
    harness.leases.mark_lost(LogPosition {
        offset: LogOffset(9),
        wall: wall(Millis(100)),
    });
    let early = harness.apply(101, grant(1, author(1, 1), None));
    assert_eq!(early, Event::Refused(Refusal::Forgotten));
    let later = harness.apply(100 + MAX_TTL_MS, grant(2, author(1, 1), None));
    assert!(matches!(later, Event::Granted { .. }));
    let long = Record::Grant {
        id: id(3),
        lease: "other".into(),
        holder: author(1, 1),
        after: None,
        lost: true,
        ttl_ms: MAX_TTL_MS + 1,
    };
    assert_eq!(
        harness.apply(101 + MAX_TTL_MS, long),
        Event::Refused(Refusal::TooLong)
    );
}
