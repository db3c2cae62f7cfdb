//! The lease of the duties, on a stream with conditional appends.

use std::collections::BTreeMap;

use cumin_entry::duty::{DutyLease, LeaseOptions, Record, Step, StoredRecord};
use cumin_types::{Incarnation, LogOffset, Millis, NodeName};
use proptest::prelude::*;

/// A stream of the store. An append succeeds only at the end of the stream.
#[derive(Default)]
struct Log(Vec<Record>);

impl Log {
    fn append(&mut self, record: Record, at: LogOffset) -> Option<LogOffset> {
        let end = self.0.len() as u64;
        (at.0 == end).then(|| {
            self.0.push(record);
            LogOffset(end)
        })
    }

    fn read(&self, lease: &mut DutyLease, from: LogOffset, now: Millis) {
        let records: Vec<(LogOffset, StoredRecord)> = (from.0..)
            .zip(
                self.0
                    .iter()
                    .skip(usize::try_from(from.0).unwrap())
                    .cloned(),
            )
            .map(|(offset, record)| (LogOffset(offset), record.into()))
            .collect();
        lease.read_sent(now);
        lease.apply_read(&records, LogOffset(self.0.len() as u64), now);
    }
}

fn options(name: &str) -> LeaseOptions {
    LeaseOptions {
        node: NodeName::from(name),
        incarnation: Incarnation(1),
        ..LeaseOptions::default()
    }
}

fn claim(name: &str) -> Record {
    Record::Claim {
        node: NodeName::from(name),
        incarnation: Incarnation(1),
    }
}

fn renew(name: &str) -> Record {
    Record::Renew {
        node: NodeName::from(name),
        incarnation: Incarnation(1),
    }
}

fn report(name: &str, window: u64, requests: u64) -> Record {
    Record::Report {
        node: NodeName::from(name),
        incarnation: Incarnation(1),
        window,
        counts: BTreeMap::from([("org".into(), requests)]),
    }
}

/// Makes the next call that the lease needs; returns whether there was one.
fn drive(lease: &mut DutyLease, log: &mut Log, name: &str, now: Millis) -> bool {
    let (record, at) = match lease.next(false, 0, now) {
        Step::Idle => return false,
        Step::Read(from) => {
            log.read(lease, from, now);
            return true;
        }
        Step::Claim(at) => (claim(name), at),
        Step::Renew(at) => (renew(name), at),
    };
    match log.append(record.clone(), at) {
        Some(offset) => lease.appended(&record.into(), offset, now, now),
        None => lease.mark_stale(),
    }
    true
}

/// A new holder knew the end of the stream from its predecessor's digests but had not read the
/// predecessor's reports, and reported a window again with other counts (hackbrett trouble-2).
#[test]
fn reports_read_first() {
    let mut log = Log::default();
    let mut second = DutyLease::new(options("b"));
    log.append(claim("a"), LogOffset(0)).unwrap();
    log.append(report("a", 7, 10), LogOffset(1)).unwrap();
    second.observe_end(LogOffset(2), Millis(1000));
    let now = Millis(10_000);
    assert_eq!(second.next(false, 0, now), Step::Claim(LogOffset(2)));
    let offset = log.append(claim("b"), LogOffset(2)).unwrap();
    second.appended(&claim("b").into(), offset, now, now);
    assert_eq!(second.may_act(now), None);
    assert_eq!(second.next(false, 0, now), Step::Read(LogOffset(0)));
    log.read(&mut second, LogOffset(0), now);
    assert!(second.may_act(now).is_some());
    assert_eq!(second.report(7).unwrap()["org"], 10);
}

/// A node must not take over the lease from a holder that renews it: the claim is appended at an
/// outdated end and fails.
#[test]
fn renewal_keeps() {
    let mut log = Log::default();
    let mut first = DutyLease::new(options("a"));
    let mut second = DutyLease::new(options("b"));
    drive(&mut first, &mut log, "a", Millis(0));
    drive(&mut first, &mut log, "a", Millis(0));
    assert!(first.may_act(Millis(0)).is_some());
    log.read(&mut second, LogOffset(0), Millis(100));
    assert!(drive(&mut first, &mut log, "a", Millis(1500)));
    let step = second.next(false, 0, Millis(5000));
    assert_eq!(step, Step::Claim(LogOffset(1)));
    assert!(log.append(claim("b"), LogOffset(1)).is_none());
}

/// A holder that was suspended beyond its lease must not act when it resumes, even if its own
/// record is still the last one.
#[test]
fn suspended_stops() {
    let mut log = Log::default();
    let mut first = DutyLease::new(options("a"));
    drive(&mut first, &mut log, "a", Millis(0));
    drive(&mut first, &mut log, "a", Millis(0));
    assert!(first.may_act(Millis(1000)).is_some());
    assert!(first.may_act(Millis(7000)).is_none());
}

/// A released lease can be claimed at once, without waiting for its length.
#[test]
fn release_follows() {
    let mut log = Log::default();
    let mut second = DutyLease::new(options("b"));
    let release = Record::Release {
        node: "a".into(),
        incarnation: Incarnation(1),
    };
    log.append(claim("a"), LogOffset(0)).unwrap();
    log.append(release, LogOffset(1)).unwrap();
    log.read(&mut second, LogOffset(0), Millis(100));
    assert_eq!(
        second.next(false, 0, Millis(100)),
        Step::Claim(LogOffset(2))
    );
}

/// A node whose claim took effect without an answer must not act before it has renewed the lease.
#[test]
fn lost_answer() {
    let mut log = Log::default();
    let mut first = DutyLease::new(options("a"));
    log.read(&mut first, LogOffset(0), Millis(0));
    log.append(claim("a"), LogOffset(0)).unwrap();
    first.mark_stale();
    let now = Millis(5000);
    assert!(drive(&mut first, &mut log, "a", now));
    assert_eq!(first.may_act(now), None);
    assert!(drive(&mut first, &mut log, "a", now));
    assert!(first.may_act(now).is_some());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// With three nodes that are paused and lose answers, at most one may act at any time, and no
    /// window is fixed twice.
    #[test]
    fn one_holder(steps in prop::collection::vec((0usize..3, 0u64..900, 0u8..10), 1..300)) {
        let names = ["a", "b", "c"];
        let mut log = Log::default();
        let mut leases: Vec<DutyLease> = names.iter().map(|name| DutyLease::new(options(name))).collect();
        let mut now = Millis(0);
        let mut fixed: BTreeMap<u64, u64> = BTreeMap::new();
        for (node, pass, luck) in steps {
            now = now.plus(pass);
            let name = names[node];
            if luck == 0 {
                // The append takes effect and its answer is lost.
                if let Step::Claim(at) | Step::Renew(at) = leases[node].next(false, 0, now) {
                    log.append(renew(name), at);
                    leases[node].mark_stale();
                }
            } else {
                drive(&mut leases[node], &mut log, name, now);
            }
            let acting = leases.iter().filter(|lease| lease.may_act(now).is_some());
            prop_assert!(acting.count() <= 1);
            if leases[node].may_act(now).is_some() {
                let window = now.0 / 1000;
                if leases[node].report(window).is_none() {
                    let record = report(name, window, now.0);
                    let at = leases[node].end().unwrap();
                    if let Some(offset) = log.append(record.clone(), at) {
                        leases[node].appended(&record.into(), offset, now, now);
                        prop_assert_eq!(fixed.insert(window, now.0), None);
                    } else {
                        leases[node].mark_stale();
                    }
                }
            }
        }
    }
}
