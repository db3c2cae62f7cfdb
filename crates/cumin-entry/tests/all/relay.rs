//! Relays of the store's pages: who reads, what is applied, and how old it is.

use std::net::{IpAddr, SocketAddr};

use cumin_entry::era::Era;
use cumin_entry::peer::{Digest, Extension, Peers};
use cumin_entry::quota::TakenUnits;
use cumin_entry::relay::{
    MAX_READER_AGE, PageFit, Proof, RelayedPage, Stamps, is_reader, self_read_age,
};
use cumin_entry::usage::Windows;
use cumin_types::{Incarnation, LogOffset, Millis, NodeName, Place, Revision, WallMillis};
use proptest::prelude::*;

const PLACES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn place(number: usize) -> Place {
    Place::from(PLACES[number % PLACES.len()])
}

fn name(number: usize) -> NodeName {
    NodeName::from(format!("n{number}"))
}

fn digest(number: usize) -> Digest {
    Digest {
        node: name(number),
        incarnation: Incarnation(1),
        sequence: 1,
        place: place(number),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        ready: true,
        revision: Revision(1),
        wall: WallMillis(0),
        loads: Vec::new(),
        sent: Vec::new(),
        usage: Windows::default(),
        taken: TakenUnits::default(),
        suspects: Vec::new(),
        lease: None,
        busy: Vec::new(),
    }
}

/// Returns the nodes that read, if each hears all others and copies have the given ages.
fn readers(ages: &[Option<Millis>]) -> Vec<usize> {
    let now = Millis(1000);
    let mut reading = Vec::new();
    for (own, age) in ages.iter().enumerate() {
        let mut peers = Peers::default();
        for (number, store_age) in ages.iter().enumerate().filter(|(n, _)| *n != own) {
            let extension = Extension {
                store_age: *store_age,
                ..Extension::default()
            };
            let from = IpAddr::from([10, 0, 0, 1]);
            peers.receive(digest(number), extension, from, now);
        }
        if is_reader(&name(own), &place(own), *age, &peers, now) {
            reading.push(own);
        }
    }
    reading
}

/// At 78 nodes, each node read the store twice a second (umura-ovens-large: 12,315 calls a day).
#[test]
fn one_a_place() {
    for nodes in [5, 78, 300] {
        let reading = readers(&vec![Some(Millis(100)); nodes]);
        assert_eq!(reading.len(), PLACES.len(), "of {nodes} nodes");
        for number in 0..PLACES.len() {
            let here = reading.iter().filter(|node| place(**node) == place(number));
            assert_eq!(here.count(), 1, "place {number} of {nodes} nodes");
        }
    }
}

/// When the reader of a place loses the store, another node takes over; where all have lost it,
/// each tries for itself.
#[test]
fn reader_lost() {
    let mut ages = vec![Some(Millis(100)); 20];
    let before = readers(&ages);
    let lost = *before
        .iter()
        .find(|node| place(**node) == place(0))
        .unwrap();
    ages[lost] = Some(MAX_READER_AGE.plus(1));
    let after = readers(&ages);
    let healthy = after
        .iter()
        .filter(|node| place(**node) == place(0) && **node != lost);
    assert_eq!(healthy.count(), 1);
    for age in [None, Some(Millis(9000))] {
        assert_eq!(readers(&vec![age; 20]).len(), 20);
    }
}

/// When the reader of a place was lost, a node used its copy until it was 2 s old, and sent a
/// request to an endpoint 2,093 ms after that had begun to drain (bound 2,000 ms; ijwi-kigali,
/// hunt-fec8-7).
#[test]
fn reads_in_time() {
    for bound in [1000, 2000, 3000, 4000] {
        for node in 0..78 {
            let age = self_read_age(&name(node), Millis(bound));
            assert!(age.0 * 10 <= bound * 6, "{age} of {bound}");
            assert!(age.0 * 10 >= bound.min(2400) * 4, "{age} of {bound}");
        }
    }
}

fn page(from: u64, end: u64, partial: bool) -> RelayedPage {
    RelayedPage {
        documents: false,
        from: LogOffset(from),
        end: LogOffset(end),
        records: Vec::new(),
        partial,
        regained: None,
        era: Era::default(),
    }
}

/// A page applies only where nothing is missing in between; a lost datagram must show.
#[test]
fn gaps_show() {
    let at = |offset| Some(LogOffset(offset));
    assert_eq!(page(10, 20, false).fit(at(10)), PageFit::Next);
    assert_eq!(page(10, 20, false).fit(at(15)), PageFit::Next);
    assert_eq!(page(10, 20, false).fit(at(20)), PageFit::Next);
    assert_eq!(page(10, 20, false).fit(at(25)), PageFit::Old);
    assert_eq!(page(10, 20, false).fit(at(9)), PageFit::Gap);
    assert_eq!(page(10, 20, false).fit(None), PageFit::Gap);
    assert_eq!(page(10, 20, true).fit(at(10)), PageFit::Gap);
    assert_eq!(page(10, 20, true).fit(at(20)), PageFit::Next);
}

/// A reader woke from a freeze and told of an outage that was its own. The other node of the place
/// kept an endpoint that had left, and sent it a request 2,067 ms later (hackbrett trouble-2).
#[test]
fn suspended_reader() {
    let page = RelayedPage {
        regained: Some(Millis(100)),
        ..page(10, 20, false)
    };
    assert_eq!(page.outage_end(None), None);
    assert_eq!(page.outage_end(Some(Millis(5000))), Some(Millis(100)));
}

proptest! {
    /// Whatever the delays of digests, reads and pages, a page never proves to its receiver that
    /// its copy is newer than the read that produced it.
    #[test]
    fn never_too_new(
        delays in prop::collection::vec(0_u64..6000, 1..40),
        read_at in 0_u64..12_000,
        receiver_offset in 0_u64..1_000_000,
    ) {
        let mut stamps = Stamps::default();
        // The receiver states its own time every 250 ms; digests arrive late and in any order.
        let mut arrivals: Vec<(u64, u64)> = delays
            .iter()
            .enumerate()
            .map(|(number, delay)| (number as u64 * 250 + delay, number as u64 * 250))
            .collect();
        arrivals.sort_unstable();
        for (heard, stated) in arrivals {
            let proof = Proof {
                incarnation: Incarnation(1),
                wall: WallMillis(receiver_offset + stated),
            };
            stamps.heard(&name(1), proof, Millis(heard));
        }
        if let Some(proof) = stamps.proof(&name(1), Millis(read_at)) {
            prop_assert!(proof.wall.0 - receiver_offset <= read_at);
        }
    }
}
