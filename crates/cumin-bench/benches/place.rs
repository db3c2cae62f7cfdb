//! Time of one choice of an entry among endpoints, with loads of peers.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{BenchmarkId, Criterion};
use cumin_entry::fleet::{Endpoint, Fleet};
use cumin_entry::selection::{Need, NodeLoad, Selector, SelectorOptions};
use cumin_types::{EndpointName, Millis, Place, Service};

const PEERS: u32 = 65;

fn fleet(count: u32) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        fleet.register(Endpoint {
            name: EndpointName::from(format!("e{number}").as_str()),
            service: Service::from("engines"),
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            place: Place::from("a"),
            slots: 64,
            draining: false,
            leaves_at: None,
            spot: false,
            version: None,
            started_ms: 1,
        });
    }
    fleet
}

/// Returns a selector to which each peer has stated loads of some of the endpoints.
fn selector(count: u32) -> Selector {
    let mut selector = Selector::new(SelectorOptions::default());
    selector.set_nodes(PEERS as usize + 1);
    for peer in 0..PEERS {
        let loads: Vec<(EndpointName, NodeLoad)> = (0..10)
            .map(|number| {
                let name = format!("e{}", (peer * 37 + number * 91) % count);
                let load = NodeLoad {
                    running: 2,
                    prefill_tokens: number * 300,
                };
                (EndpointName::from(name.as_str()), load)
            })
            .collect();
        selector.merge_peer(&format!("n{peer}"), &loads, &[], 300_000, Millis(0));
    }
    selector
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    let mut group = criterion.benchmark_group("place");
    for count in [60, 900] {
        let (fleet, mut selector) = (fleet(count), selector(count));
        let service = Service::from("engines");
        let need = Need {
            prompt_tokens: 5000,
            output_tokens: 50,
            goal_left: Millis(1200),
            time_left: Millis(6000),
            engine: true,
            ..Need::default()
        };
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                black_box(selector.choose(&fleet, &service, &need, &[], Millis(10)));
            });
        });
    }
    group.finish();
    criterion.final_summary();
}
