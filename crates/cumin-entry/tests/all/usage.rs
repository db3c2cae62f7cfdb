//! Usage windows around a network partition: a replay of 66 entries, a third of which is cut off
//! for 12 s, with one digest in ten lost.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cumin_entry::peer::{Digest, EXPECTED_TIMEOUT, Extension, Peers};
use cumin_entry::quota::TakenUnits;
use cumin_entry::usage::{Counts, SETTLE_TIME, Settled, StatedSpan, Usage, Windows};
use cumin_types::{Incarnation, Millis, NodeName, Organisation, Place, Revision, WallMillis};

const NODES: usize = 66;
/// The entries from 0 to here are cut off.
const CUT_OFF: usize = 23;
const LENGTH: u64 = 5000;
const DUE: u64 = 10_000;
const DIGEST_INTERVAL: u64 = 250;
const STEP: u64 = 50;
/// Wall-clock time at the start of the replay, the start of a window.
const BASE: u64 = 1_000_000_000;
const FIRST_WINDOW: u64 = BASE / LENGTH;
const PARTITION: u64 = 12_000;
/// Part of a count by which a report may be off.
const TOLERANCE: f64 = 0.05;

/// How windows are settled and clocks corrected.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// A fixed time after the window, and the median clock of the live entries.
    Fixed,
    /// When the counts are complete, and the median clock of all known entries.
    Complete,
}

#[derive(Clone, Copy)]
struct Scenario {
    holder: usize,
    /// Difference of the clocks of the cut-off entries to the others.
    skew: u64,
    partition: u64,
    rule: Rule,
}

struct Node {
    name: NodeName,
    skew: u64,
    drift: i64,
    peers: Peers,
    usage: Usage,
    sequence: u64,
}

impl Node {
    fn wall(&self, now: u64) -> u64 {
        BASE + self.skew + now
    }

    fn corrected(&self, now: u64) -> u64 {
        self.wall(now).saturating_add_signed(self.drift)
    }

    /// Corrects the clock and returns a digest with the counts of the last windows.
    fn digest(&mut self, rule: Rule, now: u64) -> (Digest, StatedSpan) {
        self.sequence += 1;
        let at = Millis(now);
        self.drift = match rule {
            Rule::Complete => self.peers.clock_drift(WallMillis(self.wall(now)), at),
            Rule::Fixed => {
                let own = self.wall(now).cast_signed();
                let live = self
                    .peers
                    .live(at)
                    .map(|peer| (peer.digest.wall.0 + at.since(peer.heard)).cast_signed() - own);
                let mut drifts: Vec<i64> = live.chain([0]).collect();
                drifts.sort_unstable();
                drifts[drifts.len() / 2]
            }
        };
        let window = self.corrected(now) / LENGTH;
        self.usage.trim(window, at);
        let full = self.sequence.is_multiple_of(4);
        let (usage, span) = self.usage.stated(window, full, false);
        let digest = Digest {
            usage,
            ..digest(&self.name, 1, self.sequence, self.wall(now))
        };
        (digest, span)
    }
}

fn digest(node: &NodeName, incarnation: u64, sequence: u64, wall: u64) -> Digest {
    Digest {
        node: node.clone(),
        incarnation: Incarnation(incarnation),
        sequence,
        place: Place::from("a"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        ready: true,
        revision: Revision(1),
        wall: WallMillis(wall),
        loads: Vec::new(),
        sent: Vec::new(),
        usage: Windows::default(),
        taken: TakenUnits::default(),
        suspects: Vec::new(),
        lease: None,
        busy: Vec::new(),
    }
}

/// Returns a number from a fixed sequence of pseudo-random ones.
fn next(state: &mut u64) -> usize {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    usize::try_from(*state >> 33).unwrap()
}

fn new_usage() -> Usage {
    Usage::new(Millis(LENGTH), Millis(DUE))
}

/// Returns the largest error of an organisation's count for each window that differs by more than
/// the tolerance, by the time of the window's end.
fn replay(scenario: Scenario) -> BTreeMap<u64, f64> {
    let mut random = 7;
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| Node {
            name: NodeName::from(format!("n{index:02}")),
            skew: if index < CUT_OFF { scenario.skew } else { 0 },
            drift: 0,
            peers: Peers::default(),
            usage: new_usage(),
            sequence: 0,
        })
        .collect();
    let orgs: Vec<Organisation> = (0..6)
        .map(|index| Organisation::from(format!("o{index}")))
        .collect();
    let mut truth: BTreeMap<u64, Counts> = BTreeMap::new();
    let mut reports: BTreeMap<u64, Counts> = BTreeMap::new();
    let address = IpAddr::V4(Ipv4Addr::LOCALHOST);
    for now in (0..60_000).step_by(usize::try_from(STEP).unwrap()) {
        let at = Millis(now);
        for (index, node) in nodes.iter_mut().enumerate() {
            // The first digests correct the clocks before there are requests.
            if now < 2000 {
                break;
            }
            // Most requests of an organisation come to entries of one side.
            let side = if index < CUT_OFF { 0 } else { 3 };
            let org = if next(&mut random).is_multiple_of(5) {
                next(&mut random) % 6
            } else {
                side + next(&mut random) % 3
            };
            node.usage.add(node.corrected(now) / LENGTH, &orgs[org]);
            let counts = truth.entry((BASE + now) / LENGTH).or_default();
            *counts.entry(orgs[org].clone()).or_default() += 1;
        }
        let cut = (scenario.partition..scenario.partition + PARTITION).contains(&now);
        for sender in 0..NODES {
            let phase = u64::try_from(sender).unwrap() * STEP % DIGEST_INTERVAL;
            if now % DIGEST_INTERVAL != phase {
                continue;
            }
            let (digest, span) = nodes[sender].digest(scenario.rule, now);
            for (index, node) in nodes.iter_mut().enumerate() {
                let apart = cut && (index < CUT_OFF) != (sender < CUT_OFF);
                if index == sender || apart || next(&mut random).is_multiple_of(10) {
                    continue;
                }
                if index == scenario.holder {
                    let author = (&digest.node, digest.incarnation);
                    node.usage.merge(author, &digest.usage, span, at);
                }
                let usage = Windows::default();
                let digest = Digest {
                    usage,
                    ..digest.clone()
                };
                node.peers
                    .receive(digest, Extension::default(), address, at);
            }
        }
        let holder = &nodes[scenario.holder];
        let wall = holder.corrected(now);
        for window in holder.usage.past(wall / LENGTH) {
            let since_end = Millis(wall.saturating_sub((window + 1) * LENGTH));
            let settled = match scenario.rule {
                Rule::Fixed => since_end >= SETTLE_TIME,
                Rule::Complete => !matches!(
                    holder.usage.settle(window, since_end, Millis(DUE), at),
                    Settled::Waiting(_)
                ),
            };
            if settled && window >= FIRST_WINDOW && !reports.contains_key(&window) {
                reports.insert(window, holder.usage.total(window));
                let late = (BASE + now).saturating_sub((window + 1) * LENGTH);
                let in_time = late + 1500 <= DUE;
                assert!(
                    in_time || scenario.rule == Rule::Fixed,
                    "{window}: {late} ms"
                );
            }
        }
    }
    let mut wrong = BTreeMap::new();
    // Windows with requests throughout, whose report was due within the replay.
    for window in FIRST_WINDOW + 1..FIRST_WINDOW + 10 {
        let report = reports.get(&window).expect("the window is reported");
        let error = |(org, count): (&Organisation, &u64)| {
            let reported = report.get(org).copied().unwrap_or_default();
            #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
            let error = reported.abs_diff(*count) as f64 / *count as f64;
            error
        };
        let error = truth[&window].iter().map(error).fold(0.0, f64::max);
        if error > TOLERANCE {
            wrong.insert((window + 1) * LENGTH - BASE, error);
        }
    }
    wrong
}

/// Compares the rules for a holder of each side, and for partitions at different times within a
/// window.
fn compare(skew: u64, wrong_before: usize) {
    for (holder, partition) in [(0, 15_300), (40, 18_700)] {
        let scenario = Scenario {
            holder,
            skew,
            partition,
            rule: Rule::Fixed,
        };
        let before = replay(scenario);
        let after = replay(Scenario {
            rule: Rule::Complete,
            ..scenario
        });
        println!("holder {holder} partition {partition}: {before:.2?} -> {after:.2?}");
        assert!(before.len() >= wrong_before, "{before:?}");
        // A window that ended this early in the partition can't be known before its report is due:
        // the report waits for 8 s, and digests take up to 1 s after the partition.
        let unknown = partition..partition + PARTITION - 7000;
        for end in after.keys() {
            assert!(unknown.contains(end), "{after:?}");
        }
    }
}

/// Counts that lacked the entries of the other side were sent 1.5 s after their window, although
/// they could have been known in time.
#[test]
fn partition() {
    compare(0, 2);
}

/// During a partition the sides agreed on different clocks, so that entries whose clocks were ahead
/// counted requests in later windows. Those were off until long after the partition.
#[test]
fn clocks_apart() {
    compare(17_000, 4);
}

fn span(first: u64, current: u64) -> StatedSpan {
    StatedSpan {
        first,
        current,
        stopping: false,
    }
}

const WINDOW: u64 = 100;

/// Returns how window 100 is settled this long after its end, by a node that got these digests of
/// node `a` at time 0: incarnation and span.
fn settled(digests: &[(u64, StatedSpan)], since_end: u64, now: u64) -> Settled {
    let mut usage = new_usage();
    let node = NodeName::from("a");
    for (incarnation, span) in digests {
        let author = (&node, Incarnation(*incarnation));
        usage.merge(author, &Windows::default(), *span, Millis(0));
    }
    usage.settle(WINDOW, Millis(since_end), Millis(DUE), Millis(now))
}

/// A digest that was sent before the end of a window, or leaves it out, does not complete it.
#[test]
fn statements() {
    let missing = || vec![NodeName::from("a")];
    let cases = [
        (vec![(1, span(99, 100))], Settled::Waiting(missing())),
        (vec![(1, span(101, 102))], Settled::Waiting(missing())),
        (vec![(1, span(100, 101))], Settled::Complete),
        (vec![(1, span(96, 102))], Settled::Complete),
        // The counts of an incarnation that ended can't be stated any more.
        (
            vec![(1, span(99, 100)), (2, span(100, 101))],
            Settled::Complete,
        ),
        // An old incarnation says nothing about the present one.
        (
            vec![(2, span(99, 100)), (1, span(100, 101))],
            Settled::Waiting(missing()),
        ),
        // A clock that was corrected backwards stated windows that had not ended.
        (
            vec![(1, span(100, 104)), (1, span(99, 100))],
            Settled::Waiting(missing()),
        ),
        (vec![(1, StatedSpan::assumed(101))], Settled::Complete),
        (
            vec![(1, StatedSpan::assumed(100))],
            Settled::Waiting(missing()),
        ),
    ];
    for (digests, expected) in cases {
        assert_eq!(settled(&digests, 2000, 500), expected, "{digests:?}");
    }
}

/// A report must not wait beyond its time, nor for entries that stopped or are gone for good, and
/// it waits for digests of entries that are not known yet.
#[test]
fn waits() {
    let before = [(1, span(99, 100))];
    let missing = vec![NodeName::from("a")];
    let waiting = Settled::Waiting(missing.clone());
    assert_eq!(settled(&before, 7999, 7999), waiting);
    assert_eq!(settled(&before, 8000, 8000), Settled::Incomplete(missing));
    assert_eq!(settled(&[], 1499, 1499), Settled::Waiting(Vec::new()));
    assert_eq!(settled(&[], 1500, 1500), Settled::Complete);
    let gone = EXPECTED_TIMEOUT.0;
    assert_eq!(settled(&before, 2000, gone), Settled::Complete);
    let stopping = StatedSpan {
        stopping: true,
        ..span(99, 100)
    };
    assert_eq!(settled(&[(1, stopping)], 2000, 1400), waiting);
    assert_eq!(settled(&[(1, stopping)], 2000, 1500), Settled::Complete);
}

/// With short windows and late reports, counts were dropped before their report was due.
#[test]
fn short_windows() {
    let mut usage = Usage::new(Millis(1000), Millis(DUE));
    let org = Organisation::from("o");
    usage.add(WINDOW, &org);
    usage.add(WINDOW + 8, &org);
    usage.trim(WINDOW + 9, Millis(0));
    assert_eq!(usage.total(WINDOW).get(&org), Some(&1));
    assert!(usage.past(WINDOW + 9).contains(&WINDOW));
}
