//! Reports of usage windows while a peer is cut off.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cumin_entry::peer::{Digest, Extension};
use cumin_entry::platform::{Cloud, CloudError, LeaseHolder, LocalFuture, Order};
use cumin_entry::quota::TakenUnits;
use cumin_entry::settings::{Bounds, Settings};
use cumin_entry::usage::{StatedSpan, Windows};
use cumin_types::{Incarnation, Millis, NodeName, Organisation, Place, Revision, WallMillis};
use futures_util::FutureExt as _;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use crate::support::{Entry, MemoryStore, free_ports, metrics, run, settings};

const LENGTH: u64 = 1000;
const DUE: u64 = 6000;

/// Counts and time of each report, by window.
type Reports = Rc<RefCell<BTreeMap<u64, (BTreeMap<Organisation, u64>, u64)>>>;

/// Cloud that keeps the first report of each window.
struct Recorder(Reports);

impl Cloud for Recorder {
    fn report_usage(
        &self,
        _holder: &LeaseHolder,
        window: u64,
        counts: &BTreeMap<Organisation, u64>,
    ) -> LocalFuture<'_, Result<(), CloudError>> {
        let mut reports = self.0.borrow_mut();
        let first = reports.entry(window);
        first.or_insert_with(|| (counts.clone(), wall()));
        async { Ok(()) }.boxed_local()
    }

    fn order(
        &self,
        _holder: &LeaseHolder,
        _order: &Order,
    ) -> LocalFuture<'_, Result<(), CloudError>> {
        async { Ok(()) }.boxed_local()
    }
}

fn wall() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// Returns a datagram of a peer that has had one request in each window since `first`.
fn datagram(first: u64, sequence: u64) -> Vec<u8> {
    let now = wall();
    let current = now / LENGTH;
    let counts = BTreeMap::from([(Organisation::from("org"), 1)]);
    let windows = (first..=current).map(|window| (window, counts.clone()));
    let digest = Digest {
        node: NodeName::from("n2"),
        incarnation: Incarnation(1),
        sequence,
        place: Place::from("a"),
        address: SocketAddr::from(([127, 0, 2, 2], 1)),
        ready: true,
        revision: Revision(1),
        wall: WallMillis(now),
        loads: Vec::new(),
        sent: Vec::new(),
        usage: Windows(windows.collect()),
        taken: TakenUnits::default(),
        suspects: Vec::new(),
        lease: None,
        busy: Vec::new(),
    };
    let span = StatedSpan {
        // It had no requests before.
        first: first - 8,
        current,
        stopping: false,
    };
    let payload = postcard::to_stdvec(&digest).unwrap();
    let mut payload = postcard::to_extend(&Extension::default(), payload).unwrap();
    // No parts, limits, reads, leaving endpoints and era.
    payload.extend([0; 5]);
    postcard::to_extend(&Some(span), payload).unwrap()
}

/// Windows that ended while a peer was cut off were reported without its counts 1.5 s after their
/// end, although the peer was back before the reports were due.
#[test]
fn peer_returns() {
    run(async {
        let reports = Reports::default();
        let local = IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1));
        let plain = settings("n1", local, free_ports(), Vec::new());
        let bounds = Bounds {
            usage_window: Millis(LENGTH),
            usage_due: Millis(DUE),
            ..plain.bounds
        };
        let settings = Settings { bounds, ..plain };
        let to = SocketAddr::new(local, settings.base_port);
        let cloud = Box::new(Recorder(reports.clone()));
        let entry = Entry::start_with(MemoryStore::default(), settings, Some(cloud));
        entry.publish(&["key"]);
        let socket = UdpSocket::bind("127.0.2.2:0").await.unwrap();
        let (first, started) = (wall() / LENGTH, Instant::now());
        let cut_off = Duration::from_secs(3)..Duration::from_secs(6);
        for sequence in 0..100 {
            if !cut_off.contains(&started.elapsed()) {
                let _ = socket.send_to(&datagram(first, sequence), to).await;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let last = wall() / LENGTH - 3;
        let reports = reports.take();
        for window in first..=last {
            let (counts, at) = reports.get(&window).expect("the window is reported");
            let count = counts.get(&Organisation::from("org"));
            assert_eq!(count, Some(&1), "{window} of {first}..={last}");
            let late = at - (window + 1) * LENGTH;
            assert!(late < DUE - 1000, "{window}: {late} ms");
        }
        let text = metrics(&entry).await;
        let incomplete = text
            .lines()
            .find(|line| line.contains("usage_incomplete_total"));
        assert_eq!(incomplete, Some("cumin_usage_incomplete_total 0"));
    });
}
