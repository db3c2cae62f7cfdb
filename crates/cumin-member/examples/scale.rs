//! Measures the load and the propagation time of membership for clusters of several sizes, simulated
//! in one process.
//!
//! Arguments: rounds of the propagation measurement, then numbers of nodes.

#[path = "../tests/all/net.rs"]
mod net;

use std::time::Duration;

use net::{Net, item};

/// Messages, bytes and microseconds of processor time, each per node and second.
struct Load {
    messages: f64,
    bytes: f64,
    busy: f64,
}

fn load(net: &mut Net, run: impl FnOnce(&mut Net)) -> Load {
    let (start, messages, bytes, busy) = (net.now, net.messages, net.bytes, net.cpu_time);
    run(net);
    #[allow(clippy::cast_precision_loss)] // counts far below 2^52
    let share =
        |count: u64| count as f64 * 1000.0 / (net.now - start) as f64 / net.nodes.len() as f64;
    Load {
        messages: share(net.messages - messages),
        bytes: share(net.bytes - bytes),
        busy: share(u64::try_from(net.cpu_time.saturating_sub(busy).as_nanos()).expect("short"))
            / 1000.0,
    }
}

/// Applies ten changes a minute, in turn an item, a leave and a crash; nodes restart after 3 s.
fn change(net: &mut Net, minutes: usize) {
    for round in 0..minutes * 10 {
        let node = round % net.nodes.len();
        match round % 3 {
            0 => net.publish(node, item(&format!("endpoint/{round}"), net.now)),
            1 => net.leave(node),
            _ => net.crash(node),
        }
        net.run(3_000);
        if round % 3 > 0 {
            net.restart(node, 0);
        }
        net.run(3_000);
    }
}

/// Returns the median and the 99th percentile of the times until the last node has a change.
fn propagation(
    net: &mut Net,
    rounds: usize,
    mut once: impl FnMut(&mut Net, usize) -> u64,
) -> (u64, u64) {
    let mut times: Vec<u64> = (0..rounds).map(|round| once(net, round)).collect();
    times.sort_unstable();
    (
        times[times.len() / 2],
        times[(times.len() * 99).div_ceil(100) - 1],
    )
}

fn main() {
    let numbers: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let rounds = numbers.first().copied().unwrap_or(100);
    let counts = if numbers.len() > 1 {
        &numbers[1..]
    } else {
        &[4, 16, 64, 128, 330]
    };
    println!("rounds={rounds} loss=0.2 for leave and item");
    for count in counts.iter().copied() {
        let mut net = Net::settled(count, 42);
        (net.count_bytes, net.measure_cpu) = (true, true);
        net.run(60_000);
        net.cpu_time = Duration::ZERO;
        let quiet = load(&mut net, |net| net.run(60_000));
        let busy = load(&mut net, |net| change(net, 3));
        net.run(20_000);
        let lost = load(&mut net, |net| {
            (0..net.nodes.len())
                .step_by(6)
                .for_each(|node| net.crash(node));
            net.run(10_000);
        });
        (0..count).step_by(6).for_each(|node| net.restart(node, 0));
        net.run(30_000);
        net.measure_cpu = false;
        net.count_bytes = false;
        net.loss = 0.2;
        let leave = propagation(&mut net, rounds, |net, round| {
            let node = round * 7 % net.nodes.len();
            net.leave(node);
            let not_live =
                |held: Option<cumin_member::Status>| held.is_none_or(|status| !status.is_live());
            let time = net
                .run_until(60_000, |net| net.all_see(node, not_live))
                .expect("a leave reaches all nodes");
            net.crash(node);
            net.run(500);
            net.restart(node, 0);
            net.run(5_000);
            time
        });
        let item_times = propagation(&mut net, rounds, |net, round| {
            let key = format!("told/{round}");
            net.publish(round * 5 % net.nodes.len(), item(&key, 1));
            let time = net
                .run_until(60_000, |net| net.all_have(&key, 1))
                .expect("an item reaches all nodes");
            net.run(1_000);
            time
        });
        net.loss = 0.0;
        let settled = net.run_until(60_000, Net::agree).is_some();
        let wrong = net.wrong_deaths;
        (0..count).for_each(|node| net.nodes[node].side = u8::from(node % 6 >= 3));
        net.run(60_000);
        net.nodes.iter_mut().for_each(|node| node.side = 0);
        let heal = net.run_until(120_000, Net::agree);
        println!(
            "nodes={count} quiet: messages={:.1} bytes={:.0} cpu_us={:.0} | changes: messages={:.1} \
             bytes={:.0} cpu_us={:.0} | place lost: bytes={:.0} cpu_us={:.0} | leave_ms p50={} p99={} \
             | item_ms p50={} p99={} | settled={settled} wrong_deaths={wrong} heal_ms={heal:?} wrong_deaths_after={}",
            quiet.messages,
            quiet.bytes,
            quiet.busy,
            busy.messages,
            busy.bytes,
            busy.busy,
            lost.bytes,
            lost.busy,
            leave.0,
            leave.1,
            item_times.0,
            item_times.1,
            net.wrong_deaths - wrong,
        );
    }
}
