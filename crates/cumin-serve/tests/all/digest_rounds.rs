//! Digests to many nodes.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use cumin_entry::peer::Digest;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::support::{Entry, MemoryStore, free_ports, run, settings};

/// Number of nodes that get a digest at the same time.
const GROUP_SIZE: usize = 4;

/// A digest that goes to all nodes at one moment occupies a slow link for longer than a request
/// takes. The nodes get theirs in groups, each with a digest of its own, and all get one in each
/// round.
#[test]
fn sent_in_groups() {
    run(async {
        let node = |number| IpAddr::V4(Ipv4Addr::new(127, 0, 3, number));
        let seeds: Vec<IpAddr> = (2..=13).map(node).collect();
        let settings = settings("n1", node(1), free_ports(), seeds.clone());
        let port = settings.base_port;
        let mut sockets = Vec::new();
        for seed in &seeds {
            sockets.push(UdpSocket::bind(SocketAddr::new(*seed, port)).await.unwrap());
        }
        let _entry = Entry::start_with(MemoryStore::default(), settings, None);
        sleep(Duration::from_millis(1500)).await;
        let mut receivers: BTreeMap<u64, usize> = BTreeMap::new();
        let mut buffer = vec![0; 64 * 1024];
        for socket in &sockets {
            let mut digests = 0;
            while let Ok(length) = socket.try_recv(&mut buffer) {
                let (digest, _): (Digest, _) =
                    postcard::take_from_bytes(&buffer[..length]).unwrap();
                *receivers.entry(digest.sequence).or_default() += 1;
                digests += 1;
            }
            // A round takes 100 ms; on a busy machine it takes longer.
            assert!(digests >= 3, "{digests} digests");
        }
        let most = receivers.values().max();
        assert_eq!(most, Some(&GROUP_SIZE), "{receivers:?}");
    });
}
