//! The clocks of a lease's holder and observers.

use cumin_state::batch::Author;
use cumin_state::fold::{LogPosition, State};
use cumin_state::lease::{
    Event, Holder, Leases, MAX_TTL, Observer, Options, Record, Refusal, Stop,
};
use cumin_types::{FencingToken, LogOffset, Millis, WallMillis};

use crate::model::{author, id, rng, wall};

struct Bench {
    leases: Leases,
    observer: Observer,
    offset: u64,
}

impl Bench {
    fn apply(&mut self, now: u64, record: Record) -> Event {
        let at = LogPosition {
            offset: LogOffset(self.offset),
            wall: wall(Millis(now)),
        };
        self.offset += 1;
        self.leases.advance(at);
        let event = self.leases.apply(at, &author(0, 1), record);
        self.observer.note(Millis(now), &self.leases, true);
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

/// A holder that was granted `planner` at time 0, at offset 7.
fn held() -> (Bench, Holder) {
    let observer = Observer::default();
    let mut bench = Bench {
        leases: Leases::default(),
        observer,
        offset: 7,
    };
    bench.observer.note(Millis(0), &bench.leases, true);
    let mut holder = Holder::new(Options::default(), "planner", author(0, 1));
    let grant = bench.poll(&mut holder, 0).expect("a grant");
    bench.apply(50, grant);
    holder.folded(&bench.leases);
    (bench, holder)
}

fn may_act(holder: &mut Holder, now: u64) -> Result<FencingToken, Stop> {
    holder.may_act(Millis(now), wall(Millis(now)))
}

fn grant(number: u64, holder: Author, after: Option<u64>) -> Record {
    let (lease, ttl) = ("planner".into(), Options::default().ttl);
    let after = after.map(LogOffset);
    Record::Grant {
        id: id(number),
        lease,
        holder,
        after,
        lost: false,
        ttl,
    }
}

/// The holder must stop by the margin before the end, counted from before the append.
#[test]
fn stops_by_margin() {
    let (_, mut holder) = held();
    let Options { ttl, .. } = Options::default();
    let margin = Options::default().margin();
    assert_eq!(
        may_act(&mut holder, 60),
        Ok(FencingToken(7)),
        "the token is the offset"
    );
    assert!(may_act(&mut holder, ttl - margin - 1).is_ok());
    let stop = may_act(&mut holder, ttl - margin);
    assert_eq!(
        stop,
        Err(Stop::Margin {
            left: margin,
            margin
        })
    );
}

/// A renewal that lands between an observer's read and its grant must void the grant.
#[test]
fn renewal_voids_grant() {
    let (mut bench, mut holder) = held();
    let renew = bench
        .poll(&mut holder, 5_000)
        .expect("a renewal after a third");
    assert_eq!(
        bench.apply(20_000, renew),
        Event::Renewed {
            lease: "planner".into()
        }
    );
    let stale = bench.apply(20_001, grant(1, author(1, 1), Some(7)));
    assert_eq!(stale, Event::Refused(Refusal::Overtaken));
    let early = bench.apply(20_002, grant(2, author(1, 1), Some(8)));
    assert_eq!(early, Event::Refused(Refusal::Held));
    holder.folded(&bench.leases);
    let late = may_act(&mut holder, 20_003);
    assert!(
        late.is_err(),
        "a renewal that landed late gives no time: {late:?}"
    );
}

/// An observer must wait for the whole lease by its own clock, from when it read it.
#[test]
fn observer_waits() {
    let (mut bench, _) = held();
    let mut next = Holder::new(Options::default(), "planner", author(1, 1));
    assert!(bench.poll(&mut next, 15_049).is_none());
    let grant = bench.poll(&mut next, 15_050 + 151).expect("vacant");
    assert!(matches!(bench.apply(15_300, grant), Event::Granted { .. }));
}

/// A pause must end the right to act, whether the monotonic clock counted it or not.
#[test]
fn pause_ends_right() {
    let (_, mut holder) = held();
    assert!(may_act(&mut holder, 100).is_ok());
    let (now, wall_after) = (Millis(200), WallMillis(wall(Millis(200)).0 + 3_000));
    assert_eq!(
        holder.may_act(now, wall_after),
        Err(Stop::Paused { late: 3_000 })
    );
    let after = holder.may_act(Millis(201), WallMillis(wall_after.0 + 1));
    assert_eq!(after, Err(Stop::NotHeld));

    let (_, mut holder) = held();
    // Each pause is too short to be noticed alone.
    let stops = (1..10).find(|count| {
        let wall = WallMillis(wall(Millis(100)).0 + count * 1_900);
        holder.may_act(Millis(100 + count), wall).is_err()
    });
    assert!(stops.is_some_and(|count| count <= 7), "{stops:?}");
}

/// Release, and a later incarnation of the holder's node.
#[test]
fn released_and_later_life() {
    let (mut bench, mut holder) = held();
    let early = bench.apply(60, grant(1, author(0, 2), Some(7)));
    assert_eq!(
        early,
        Event::Refused(Refusal::Held),
        "another incarnation is another holder"
    );
    let release = holder.release(wall(Millis(70)), &mut rng(1)).expect("held");
    assert!(may_act(&mut holder, 71).is_err());
    bench.apply(80, release.clone());
    assert_eq!(bench.apply(81, release), Event::Refused(Refusal::Stale));
    let taken = bench.apply(82, grant(2, author(1, 1), Some(9)));
    assert!(
        matches!(taken, Event::Granted { .. }),
        "the release was at offset 9"
    );
}

/// After a loss of records no lease may be granted until the longest one has run out.
#[test]
fn forgotten_waits() {
    let (mut bench, _) = held();
    bench.leases.mark_lost(LogPosition {
        offset: LogOffset(9),
        wall: wall(Millis(100)),
    });
    let early = bench.apply(101, grant(1, author(1, 1), None));
    assert_eq!(early, Event::Refused(Refusal::Forgotten));
    let later = bench.apply(100 + MAX_TTL, grant(2, author(1, 1), None));
    assert!(matches!(later, Event::Granted { .. }));
    let long = Record::Grant {
        id: id(3),
        lease: "other".into(),
        holder: author(1, 1),
        after: None,
        lost: true,
        ttl: MAX_TTL + 1,
    };
    assert_eq!(
        bench.apply(101 + MAX_TTL, long),
        Event::Refused(Refusal::TooLong)
    );
}
