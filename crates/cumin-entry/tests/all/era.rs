//! Eras of the store: what holds when it is restored from an older copy.

use std::collections::BTreeMap;

use cumin_entry::duty::{DutyLease, LeaseOptions, Record, Step, StoredRecord};
use cumin_entry::era::{CopyRevision, Era, EraOrder, Eras, Marks};
use cumin_entry::fleet::{Change, Fleet, LAPSE_GRACE};
use cumin_entry::relay::{PageFit, RelayedPage};
use cumin_types::{FencingToken, Incarnation, LogOffset, Millis, NodeName, Revision};
use proptest::prelude::*;

use crate::endpoint;

/// Length of a usage window in these tests.
const WINDOW: u64 = 1000;

/// Number of past windows that are still reported, more than in the shell, so that more of them were
/// sent before a change of the holder.
const PAST_WINDOWS: u64 = 6;

/// Time from the end of a window until it is reported.
const SETTLE: u64 = 300;

fn window(now: Millis) -> u64 {
    now.0 / WINDOW
}

/// The stream of the lease in a store that can be restored.
#[derive(Default)]
struct Log {
    era: Era,
    records: Vec<StoredRecord>,
}

impl Log {
    /// Loses the last `lost` records and begins an era.
    fn restore(&mut self, lost: usize) {
        self.records
            .truncate(self.records.len().saturating_sub(lost));
        self.era.0 += 1;
    }

    fn end(&self) -> LogOffset {
        LogOffset(self.records.len() as u64)
    }

    fn append(&mut self, record: &StoredRecord, at: LogOffset) -> Option<LogOffset> {
        (at == self.end()).then(|| {
            self.records.push(record.clone());
            at
        })
    }
}

/// A node that follows the lease as the shell around it does.
struct Node {
    lease: DutyLease,
    name: NodeName,
    incarnation: Incarnation,
    marks: Marks,
}

impl Node {
    fn new(name: &str, incarnation: u64) -> Self {
        let options = LeaseOptions {
            node: NodeName::from(name),
            incarnation: Incarnation(incarnation),
            ..LeaseOptions::default()
        };
        Self {
            lease: DutyLease::new(options),
            name: NodeName::from(name),
            incarnation: Incarnation(incarnation),
            marks: Marks::default(),
        }
    }

    /// Learns of an era from an answer; returns whether it was a new one.
    fn notice(&mut self, era: Era, now: Millis) -> bool {
        let is_new = era > self.lease.era();
        if is_new {
            self.lease.enter_era(era, window(now), now);
        }
        is_new
    }

    fn read(&mut self, log: &Log, from: LogOffset, now: Millis) {
        self.lease.read_sent(now);
        if self.notice(log.era, now) {
            return;
        }
        if from > log.end() {
            self.lease.enter_era(log.era, window(now), now);
            return;
        }
        let records: Vec<(LogOffset, StoredRecord)> = (0..)
            .map(LogOffset)
            .zip(log.records.iter().cloned())
            .filter(|(offset, _)| *offset >= from)
            .collect();
        self.lease.apply_read(&records, log.end(), now);
    }

    /// Appends a record, whose answer gets lost if `lost`. Returns whether it was confirmed.
    fn append(
        &mut self,
        log: &mut Log,
        record: Record,
        at: LogOffset,
        lost: bool,
        now: Millis,
    ) -> bool {
        self.lease.observe_token(self.marks.token);
        let stored = self.lease.stored(record, at);
        let appended = log.append(&stored, at);
        let Some(offset) = appended.filter(|_| !lost) else {
            self.lease.mark_stale();
            return false;
        };
        if self.notice(log.era, now) {
            return false;
        }
        self.lease.appended(&stored, offset, now, now);
        true
    }

    fn claim(&self) -> Record {
        Record::Claim {
            node: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    fn renew(&self) -> Record {
        Record::Renew {
            node: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    fn fixed(&self, window: u64, requests: u64) -> Record {
        Record::Report {
            node: self.name.clone(),
            incarnation: self.incarnation,
            window,
            counts: BTreeMap::from([("org".into(), requests)]),
        }
    }

    /// Makes the next call that the lease needs.
    fn drive(&mut self, log: &mut Log, lost: bool, now: Millis) {
        match self.lease.next(false, 0, now) {
            Step::Idle => {}
            Step::Read(from) => self.read(log, from, now),
            Step::Claim(at) => {
                self.append(log, self.claim(), at, lost, now);
            }
            Step::Renew(at) => {
                self.append(log, self.renew(), at, lost, now);
            }
        }
    }

    /// Makes calls until the node may act.
    fn acquire(&mut self, log: &mut Log, now: Millis) -> FencingToken {
        for _ in 0..8 {
            self.drive(log, false, now);
        }
        self.lease.may_act(now).expect("the lease")
    }

    /// Reports the windows that are due as the shell does; returns the counts that it sends.
    fn report(&mut self, log: &mut Log, lost: bool, now: Millis) -> Vec<(u64, u64)> {
        let mut sent = Vec::new();
        let settled = window(Millis(now.0.saturating_sub(SETTLE)));
        for number in settled.saturating_sub(PAST_WINDOWS)..settled {
            if self.lease.delivered(number) || self.lease.may_act(now).is_none() {
                continue;
            }
            if self.lease.report(number).is_none() {
                let Some(at) = self.lease.end() else { break };
                let remembered = self.lease.remembered(number).map(|counts| counts["org"]);
                if remembered.is_none() && !self.lease.may_fix(number, self.marks.window) {
                    self.lease.mark_delivered(number, now);
                    continue;
                }
                // Each node counts something else.
                let own = now.0 * 10 + self.incarnation.0;
                let record = self.fixed(number, remembered.unwrap_or(own));
                if !self.append(log, record, at, lost, now) {
                    break;
                }
            }
            self.marks.window = self.marks.window.max(Some(number));
            let counts = self.lease.report(number).expect("fixed counts")["org"];
            sent.push((number, counts));
            // Whether the platform took the report is known only if its answer arrives.
            if !lost {
                self.lease.mark_delivered(number, now);
            }
        }
        sent
    }
}

/// Answers that arrive out of order over two connections must not bring an era back, and the first
/// era that a node sees is not a loss.
#[test]
fn out_of_order() {
    let mut eras = Eras::default();
    let mut observe = |era, at| eras.observe(Era(era), Millis(at));
    assert_eq!(observe(4, 10), EraOrder::Same);
    assert_eq!(observe(5, 20), EraOrder::New);
    assert_eq!(observe(4, 30), EraOrder::Old);
    assert_eq!(observe(5, 40), EraOrder::Same);
    assert_eq!(observe(7, 50), EraOrder::New);
    assert_eq!((eras.newest(), eras.noticed()), (Era(7), Millis(50)));
}

/// Tokens of a later era must be higher, whatever the offsets; without eras they are what they were
/// before.
#[test]
fn token_order() {
    let token = |era, offset| Era(era).token(LogOffset(offset));
    assert_eq!(token(0, 0), FencingToken(1));
    assert_eq!(token(0, 41), FencingToken(42));
    assert!(token(1, 0) > token(0, 1 << 31));
    assert!(token(2, 3) > token(1, 9_000_000));
    assert_eq!(Era::of_token(token(3, 17)), Era(3));
    let last = Era::MAX.token(LogOffset((1 << 32) - 2));
    assert!(last.0 < 1 << 53, "{last}");
}

/// Marks only rise, in whichever order they are heard.
#[test]
fn marks_rise() {
    let marks = |token, window| Marks {
        token: FencingToken(token),
        window,
    };
    let mut known = marks(5, None);
    known.merge(marks(3, Some(7)));
    known.merge(marks(9, Some(6)));
    known.merge(marks(1, None));
    assert_eq!(known, marks(9, Some(7)));
}

/// A restored store with an older document must not prove that a key which was removed since is
/// still valid.
#[test]
fn older_document() {
    let copy = |stored, highest, heard| CopyRevision {
        stored: Revision(stored),
        highest: Revision(highest),
        heard,
    };
    assert!(!copy(11, 12, true).proves(Era(1)));
    assert!(!copy(0, 12, true).proves(Era(1)));
    assert!(copy(12, 12, true).proves(Era(1)));
    assert!(copy(13, 12, true).proves(Era(1)));
    // Peers that know a newer one have not been heard yet.
    assert!(!copy(12, 12, false).proves(Era(1)));
    assert!(copy(11, 12, false).proves(Era(0)));
}

/// A relayed page of another era has other records at the same offsets.
#[test]
fn relayed_eras() {
    let page = RelayedPage {
        documents: false,
        from: LogOffset(10),
        end: LogOffset(20),
        records: Vec::new(),
        partial: false,
        regained: None,
        era: Era(2),
    };
    let at = Some(LogOffset(15));
    assert_eq!(page.fit_in(Era(2), at), PageFit::Next);
    assert_eq!(page.fit_in(Era(3), at), PageFit::Old);
    assert_eq!(page.fit_in(Era(1), at), PageFit::Gap);
}

/// An endpoint that registered after the copy was made is missing from the restored store until its
/// next heartbeat, and must go on getting requests.
#[test]
fn missing_endpoint() {
    let mut fleet = Fleet::default();
    for name in ["old", "new"] {
        fleet.register(endpoint(name));
    }
    let now = Millis(50_000);
    let changes = fleet.apply_restored(vec![endpoint("old")], now);
    assert_eq!(changes, [Change::Lapsed("new".into())]);
    let soon = now.plus(LAPSE_GRACE.0 - 1);
    assert!(fleet.remove_expired(soon).is_empty());
    assert_eq!(fleet.usable(&crate::engines(), soon).count(), 2);
    let change = fleet.register(endpoint("new"));
    assert_eq!(change, Change::Returned("new".into()));
    assert!(fleet.remove_expired(now.plus(60_000)).is_empty());
}

/// An endpoint that is gone for good, but known, ends with the grace.
#[test]
fn lost_endpoint() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("gone"));
    let now = Millis(50_000);
    fleet.apply_restored(Vec::new(), now);
    let end = now.plus(LAPSE_GRACE.0);
    assert_eq!(fleet.usable(&crate::engines(), end).count(), 0);
    let gone = vec![Change::Gone("gone".into())];
    assert_eq!(fleet.remove_expired(end), gone);
}

/// The copy shows endpoints as they were before they began to leave: they must get nothing more.
#[test]
fn leaving_kept() {
    let mut fleet = Fleet::default();
    for name in ["drains", "states", "left"] {
        fleet.register(endpoint(name));
    }
    let draining = |name| cumin_entry::fleet::Endpoint {
        draining: true,
        ..endpoint(name)
    };
    fleet.register(draining("drains"));
    fleet.register(draining("left"));
    fleet.unregister(&"left".into(), Millis(900));
    fleet.leaving_stated(&"states".into(), 1, Millis(1000), Millis(500));
    let now = Millis(2000);
    let copy = ["drains", "states", "left"].map(endpoint).to_vec();
    fleet.apply_restored(copy, now);
    assert_eq!(fleet.usable(&crate::engines(), now).count(), 0);
}

/// An endpoint left while the store returned with older copies, and got requests 2.6 s later: each
/// new era extended its grace (soak seed 2).
#[test]
fn grace_ends() {
    let mut fleet = Fleet::default();
    for name in ["missing", "leaves"] {
        fleet.register(endpoint(name));
    }
    fleet.apply_restored(vec![endpoint("leaves")], Millis(1000));
    let gone = fleet.unregister(&"leaves".into(), Millis(1400));
    assert_eq!(gone, Change::Gone("leaves".into()));
    fleet.apply_restored(Vec::new(), Millis(2000));
    let end = Millis(1000).plus(LAPSE_GRACE.0);
    assert_eq!(fleet.usable(&crate::engines(), end).count(), 0);
}

/// The copy shows an endpoint whose registration had ended. It got requests again for the grace of
/// 2.2 s, long after the bound on its leaving.
#[test]
fn ended_registration() {
    let mut fleet = Fleet::default();
    fleet.register(endpoint("left"));
    fleet.unregister(&"left".into(), Millis(1000));
    let now = Millis(9000);
    fleet.apply_restored(vec![endpoint("left")], now);
    assert_eq!(fleet.usable(&crate::engines(), now).count(), 0);
    // It lives after all, and registers again.
    fleet.register(endpoint("left"));
    assert_eq!(fleet.usable(&crate::engines(), now).count(), 1);
}

/// The copy shows an earlier start of an endpoint: taking it for a restart would suspect requests
/// of a crash and send requests to a process that has ended.
#[test]
fn earlier_start() {
    let started = |started_ms| cumin_entry::fleet::Endpoint {
        started_ms,
        ..endpoint("e")
    };
    let mut fleet = Fleet::default();
    fleet.register(started(7));
    let changes = fleet.apply_restored(vec![started(3)], Millis(50_000));
    assert_eq!(changes, [Change::Lapsed("e".into())]);
    assert_eq!(fleet.get(&"e".into()).unwrap().started_ms, 7);
    let changes = fleet.apply_restored(vec![started(9)], Millis(51_000));
    assert_eq!(changes, [Change::New("e".into())]);
}

/// Records of the version before eras must read, and without eras the bytes must be the same.
#[test]
fn record_bytes() {
    let old = r#"{"kind":"claim","node":"a","life":3}"#;
    let read: StoredRecord = serde_json::from_str(old).unwrap();
    assert_eq!(read.era, Era(0));
    assert_eq!(serde_json::to_string(&read).unwrap(), old);
    let report = r#"{"kind":"report","node":"a","life":3,"window":8,"counts":{"org":5}}"#;
    let read: StoredRecord = serde_json::from_str(report).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), report);
    // The version before eras reads what this one writes.
    let node = Node::new("a", 3);
    let mut lease = node.lease;
    lease.enter_era(Era(2), 9, Millis(0));
    lease.observe_token(FencingToken(u64::MAX >> 11));
    let record = Record::Claim {
        node: node.name,
        incarnation: node.incarnation,
    };
    let stored = lease.stored(record.clone(), LogOffset(4));
    assert_eq!(stored.token, Some(FencingToken((u64::MAX >> 11) + 1)));
    let text = serde_json::to_string(&stored).unwrap();
    assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record);
    assert_eq!(serde_json::from_str::<StoredRecord>(&text).unwrap(), stored);
}

/// The holder goes on with a higher token as soon as it has read the restored stream, whether or not
/// its claim is still there; nobody else may claim before its old lease has expired.
#[test]
fn holder_goes_on() {
    for lost in [0, 1, 5, 100] {
        let mut log = Log {
            era: Era(1),
            ..Log::default()
        };
        let (mut holder, mut other) = (Node::new("a", 1), Node::new("b", 2));
        holder.drive(&mut log, false, Millis(0));
        let start = Millis(3000);
        for _ in 0..4 {
            holder.drive(&mut log, false, Millis(0));
        }
        let token = holder.acquire(&mut log, start);
        for beat in 1..6 {
            holder.drive(&mut log, false, start.plus(beat * 900));
        }
        let now = start.plus(5 * 900 + 100);
        assert_eq!(holder.lease.may_act(now), Some(token), "lost {lost}");
        log.restore(lost);
        other.drive(&mut log, false, now);
        for _ in 0..4 {
            other.drive(&mut log, false, now.plus(500));
        }
        assert_eq!(other.lease.held(now.plus(500)), None);
        let later = now.plus(1000);
        holder.notice(log.era, later);
        assert_eq!(holder.lease.may_act(later), None);
        let next = holder.acquire(&mut log, later);
        assert!(next > token, "lost {lost}");
        assert!(holder.lease.continued());
    }
}

/// The copy was made when the lease had been released: another node must not claim it at once, as
/// its present holder may not have noticed the new era.
#[test]
fn released_in_copy() {
    let mut log = Log {
        era: Era(1),
        ..Log::default()
    };
    let (mut first, mut holder) = (Node::new("a", 1), Node::new("b", 2));
    first.drive(&mut log, false, Millis(0));
    first.drive(&mut log, false, Millis(0));
    first.acquire(&mut log, Millis(3000));
    let release = Record::Release {
        node: first.name.clone(),
        incarnation: first.incarnation,
    };
    let at = first.lease.end().unwrap();
    assert!(first.append(&mut log, release, at, false, Millis(3100)));
    // In the same era the release counts.
    let held = holder.acquire(&mut log, Millis(3200));
    log.restore(1);
    let mut third = Node::new("c", 3);
    for now in [3300, 3400, 3500, 4000, 5000, 5700] {
        third.drive(&mut log, false, Millis(now));
        assert_eq!(third.lease.may_act(Millis(now)), None, "at {now}");
    }
    assert_eq!(holder.lease.may_act(Millis(3500)), Some(held));
    assert!(third.acquire(&mut log, Millis(5900)) > held);
    assert_eq!(holder.lease.may_act(Millis(5900)), None);
}

/// An append that was in flight when the store was restored follows other records than its author
/// has read. It must not be taken for a valid claim, nor its token be used.
#[test]
fn in_flight_claim() {
    let mut log = Log {
        era: Era(1),
        ..Log::default()
    };
    let mut node = Node::new("a", 1);
    node.drive(&mut log, false, Millis(0));
    node.drive(&mut log, false, Millis(0));
    let now = Millis(3000);
    let Step::Claim(at) = node.lease.next(false, 0, now) else {
        panic!("a claim is due");
    };
    log.restore(0);
    let old = node.lease.stored(node.claim(), at);
    for lost in [true, false] {
        assert!(!node.append(&mut log, node.claim(), at, lost, now));
        assert_eq!(node.lease.may_act(now), None);
        log.records.truncate(usize::try_from(at.0).unwrap());
    }
    log.records.push(old);
    for _ in 0..4 {
        node.drive(&mut log, false, now);
        assert_eq!(node.lease.held(now), None);
    }
    let token = node.acquire(&mut log, Millis(6000));
    assert_eq!(Era::of_token(token), Era(2));
}

/// Another node has claimed in the new era: the holder of the old one must not claim over it.
#[test]
fn claimed_by_other() {
    let mut log = Log {
        era: Era(1),
        ..Log::default()
    };
    let mut node = Node::new("a", 1);
    node.drive(&mut log, false, Millis(0));
    node.drive(&mut log, false, Millis(0));
    node.acquire(&mut log, Millis(3000));
    log.restore(0);
    let other = Node::new("b", 2);
    let claim = StoredRecord {
        era: log.era,
        ..other.claim().into()
    };
    log.append(&claim, log.end()).unwrap();
    let now = Millis(3100);
    node.notice(log.era, now);
    for _ in 0..4 {
        node.drive(&mut log, false, now);
    }
    assert_eq!(node.lease.held(now), None);
    assert_eq!(log.records.last(), Some(&claim));
}

/// The store goes back twice within a second: the holder must go on, with tokens that rise.
#[test]
fn twice() {
    let mut log = Log {
        era: Era(1),
        ..Log::default()
    };
    let mut node = Node::new("a", 1);
    node.drive(&mut log, false, Millis(0));
    node.drive(&mut log, false, Millis(0));
    let first = node.acquire(&mut log, Millis(3000));
    log.restore(1);
    node.notice(log.era, Millis(3100));
    log.restore(1);
    node.notice(log.era, Millis(3200));
    let second = node.acquire(&mut log, Millis(3300));
    log.restore(1);
    let third = node.acquire(&mut log, Millis(4500));
    assert!(first < second && second < third);
    assert!(node.lease.continued());
}

/// A window whose record was lost must not be reported again with other counts: neither by a node
/// that has heard of the report, nor by one that has not.
#[test]
fn reported_once() {
    let mut log = Log {
        era: Era(1),
        ..Log::default()
    };
    let mut holder = Node::new("a", 1);
    holder.drive(&mut log, false, Millis(0));
    holder.drive(&mut log, false, Millis(0));
    holder.acquire(&mut log, Millis(3000));
    let sent = holder.report(&mut log, false, Millis(3400));
    assert!(sent.iter().any(|(window, _)| *window == 2), "{sent:?}");
    log.restore(100);
    // The holder is lost with the records.
    for knows in [true, false] {
        let mut copy = Log {
            era: log.era,
            records: log.records.clone(),
        };
        let mut next = Node::new("b", 2);
        if knows {
            next.marks = holder.marks;
        }
        next.drive(&mut copy, false, Millis(3500));
        next.drive(&mut copy, false, Millis(3600));
        next.acquire(&mut copy, Millis(6200));
        let sent = next.report(&mut copy, false, Millis(6200));
        let windows: Vec<u64> = sent.iter().map(|(window, _)| *window).collect();
        assert_eq!(windows, [3, 4], "knows {knows}");
    }
    // The holder survives: it repeats what it has fixed and goes on.
    holder.notice(log.era, Millis(3700));
    holder.acquire(&mut log, Millis(3700));
    let again = holder.report(&mut log, false, Millis(4400));
    let windows: Vec<u64> = again.iter().map(|(window, _)| *window).collect();
    assert_eq!(windows, [3]);
}

/// A holder that fixed counts but did not send them fixes the same ones again.
#[test]
fn fixed_again() {
    let mut log = Log {
        era: Era(1),
        ..Log::default()
    };
    let mut holder = Node::new("a", 1);
    holder.drive(&mut log, false, Millis(0));
    holder.drive(&mut log, false, Millis(0));
    holder.acquire(&mut log, Millis(3000));
    let first = holder.report(&mut log, true, Millis(3400));
    assert!(first.is_empty());
    // The answers were lost; the records are read, and then lost by the store.
    holder.acquire(&mut log, Millis(3400));
    let known = holder.lease.remembered(0).cloned();
    assert!(known.is_some());
    log.restore(100);
    holder.notice(log.era, Millis(3500));
    holder.acquire(&mut log, Millis(3500));
    assert_eq!(holder.lease.report(0), None);
    let sent = holder.report(&mut log, false, Millis(3500));
    assert!(sent.contains(&(0, known.unwrap()["org"])), "{sent:?}");
    assert_eq!(holder.lease.report(0), holder.lease.remembered(0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// With three nodes that are paused, restarted and lose answers, over a store that goes back at
    /// any time: at most one may act at a time, tokens never fall and are used by one node only, and
    /// no window is sent with two counts.
    #[test]
    fn restored_store(
        stated in any::<bool>(),
        steps in prop::collection::vec((0usize..3, 0u64..700, 0u8..24, 0usize..6), 1..400),
    ) {
        let names = ["a", "b", "c"];
        let mut log = Log { era: Era(u64::from(stated)), ..Log::default() };
        let mut incarnation = 3;
        let mut nodes: Vec<Node> = (1..).zip(names).map(|(life, name)| Node::new(name, life)).collect();
        let mut now = Millis(0);
        let mut users: BTreeMap<FencingToken, (NodeName, Incarnation)> = BTreeMap::new();
        let mut newest = FencingToken(0);
        let mut sent: BTreeMap<u64, u64> = BTreeMap::new();
        for (number, pass, luck, lost) in steps {
            now = now.plus(pass);
            match luck {
                0 => log.restore(lost),
                1 if lost == 0 => {
                    incarnation += 1;
                    nodes[number] = Node::new(names[number], incarnation);
                }
                2 => {
                    let marks = nodes[lost % 3].marks;
                    nodes[number].marks.merge(marks);
                }
                3 => nodes[number].drive(&mut log, true, now),
                _ => {
                    let node = &mut nodes[number];
                    node.drive(&mut log, false, now);
                    let reports = node.report(&mut log, luck == 4, now);
                    for (window, counts) in reports {
                        let before = sent.insert(window, counts);
                        prop_assert!(before.is_none_or(|before| before == counts),
                            "window {window}: {before:?}, then {counts}");
                    }
                }
            }
            let acting: Vec<&Node> = nodes.iter().filter(|node| node.lease.may_act(now).is_some()).collect();
            prop_assert!(acting.len() <= 1, "{} act", acting.len());
            if let Some(node) = acting.first() {
                let token = node.lease.may_act(now).unwrap();
                let user = (node.name.clone(), node.incarnation);
                let known = users.entry(token).or_insert_with(|| user.clone()).clone();
                prop_assert_eq!(known, user);
                prop_assert!(token >= newest, "{token} after {newest}");
                newest = token;
            }
        }
    }
}
