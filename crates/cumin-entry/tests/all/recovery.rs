//! End of refusals: all endpoints were bad, then are sound, and nothing runs at them meanwhile.
//!
//! No state that stops requests may depend on requests to end; `docs/design/overload.md` (5) lists
//! the states.

use cumin_entry::fleet::Fleet;
use cumin_entry::selection::{Choice, Need, Selector, SelectorOptions};
use cumin_types::{EndpointName, Millis};

use crate::{endpoint, engines};

/// Time after which refusals by measured rates of engines have ended.
const ENGINE_RECOVERY: u64 = 25_000;

/// Requests of a phase.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u32,
    in_time: u32,
}

impl Served {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

/// A request in flight at the engine that has the index.
struct Running {
    engine: usize,
    attempt: u64,
    first: u64,
    sent: u64,
}

/// Nodes and engines of a service with one prompt at a time each.
struct Site {
    fleet: Fleet,
    nodes: Vec<Selector>,
    /// Times at which the engines have prefilled what they got.
    free: Vec<u64>,
    running: Vec<(usize, Running)>,
    /// Requests sent to engines.
    sent: usize,
}

const GOAL: Millis = Millis(1200);

impl Site {
    fn new(nodes: usize, engines: usize) -> Self {
        let mut fleet = Fleet::default();
        for number in 0..engines {
            fleet.register(endpoint(&format!("e{number}")));
        }
        Self {
            fleet,
            nodes: (0..nodes)
                .map(|_| Selector::new(SelectorOptions::default()))
                .collect(),
            free: vec![0; engines],
            running: Vec::new(),
            sent: 0,
        }
    }

    /// Sends a prompt of `tokens` each 100 ms, to each of the first `used` nodes in turn, while the
    /// engines prefill `rate` tokens a millisecond.
    fn play(&mut self, times: (u64, u64), tokens: u64, rate: u64, used: usize) -> Served {
        let mut served = Served::default();
        for now in (times.0..times.1).step_by(100) {
            self.answer(now, &mut served);
            self.gossip(Millis(now));
            let node = usize::try_from(now / 100).expect("a small number") % used;
            served.asked += 1;
            self.send(node, tokens, rate, now);
        }
        served
    }

    fn send(&mut self, node: usize, tokens: u64, rate: u64, now: u64) {
        let need = Need {
            prompt_tokens: tokens,
            output_tokens: 50,
            goal_left: GOAL,
            time_left: Millis(30_000),
            engine: true,
            once: true,
            ..Need::default()
        };
        let selector = &mut self.nodes[node];
        let chosen = selector.choose(&self.fleet, &engines(), &need, &[], Millis(now));
        let Choice::Use {
            endpoint,
            estimate_ms,
            ..
        } = chosen
        else {
            return;
        };
        let found = self.fleet.get(&endpoint).expect("it is registered");
        let attempt = selector.attempt_sent(found, &need, 300_000, estimate_ms, Millis(now));
        let engine: usize = endpoint.as_str()[1..]
            .parse()
            .expect("the number of an engine");
        let first = self.free[engine].max(now) + tokens / rate + 25;
        self.free[engine] = first;
        self.sent += 1;
        self.running.push((
            node,
            Running {
                engine,
                attempt,
                first,
                sent: now,
            },
        ));
    }

    fn answer(&mut self, now: u64, served: &mut Served) {
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|(_, running)| running.first <= now);
        self.running = running;
        for (node, done) in done {
            let name = EndpointName::from(format!("e{}", done.engine).as_str());
            let (selector, at) = (&mut self.nodes[node], Millis(done.first));
            selector.stream_begun(&engines(), &name, done.attempt, at);
            for event in 1..=20 {
                let at = Millis(done.first + event * 5);
                selector.events_heard(&engines(), &name, done.attempt, 1, at);
            }
            selector.attempt_ended(&name, done.attempt, true, Millis(done.first + 100));
            served.in_time += u32::from(done.first - done.sent <= GOAL.0);
        }
    }

    fn gossip(&mut self, now: Millis) {
        for from in 0..self.nodes.len() {
            let fits = self.nodes[from].own_fits(now);
            let loads = self.nodes[from].own_loads();
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                self.nodes[to].merge_fits(&from.to_string(), &fits, now);
                self.nodes[to].merge_peer(&from.to_string(), &loads, &[], 0, now);
            }
        }
        for node in &mut self.nodes {
            node.combine_fits(now);
        }
    }
}

/// Plays a slow spell of all engines between sound phases; returns the served share before, and
/// after the recovery. The last `silent` nodes get no requests after the spell.
fn play_spell(nodes: usize, silent: usize, tokens: u64, rate: u64) -> (f64, f64) {
    let mut site = Site::new(nodes, 3);
    site.play((0, 40_000), tokens, rate, nodes);
    let before = site.play((40_000, 60_000), tokens, rate, nodes);
    let slow = site.play((60_000, 460_000), tokens, rate / 8, nodes);
    assert!(slow.share() < 0.5, "{slow:?} while the engines are slow");
    let used = nodes - silent;
    let last = site
        .free
        .iter()
        .max()
        .copied()
        .unwrap_or_default()
        .max(460_000);
    let sound = last.div_ceil(100) * 100;
    site.play((460_000, sound), tokens, rate, used);
    let since = sound + ENGINE_RECOVERY;
    site.play((sound, since), tokens, rate, used);
    let after = site.play((since, since + 20_000), tokens, rate, used);
    (before.share(), after.share())
}

/// Rates of engines that were measured while all were slow refused all requests for good: the
/// node's own fit had no age, and refused requests bring no samples.
#[test]
fn slow_engines() {
    for (nodes, silent) in [(1, 0), (3, 0), (3, 2)] {
        let (before, after) = play_spell(nodes, silent, 8000, 40);
        assert!(before > 0.9, "{before} before");
        assert!(
            after > 0.9 * before,
            "{after} after, {before} before; {silent} of {nodes} nodes without requests"
        );
    }
}

/// A service of which all prompts are too long for the assumed rate was refused from the start and
/// for good, although its engines were fast enough.
#[test]
fn faster_than_assumed() {
    let mut site = Site::new(1, 5);
    site.play((0, 60_000), 60_000, 200, 1);
    let served = site.play((60_000, 80_000), 60_000, 200, 1);
    assert!(served.share() > 0.9, "{served:?}");
}

/// Prompts that no engine can prefill in time must not take the engines' time: few of them run as
/// trials, and none while prompts are admitted and answered.
#[test]
fn few_trials() {
    let mut site = Site::new(1, 3);
    let long = site.play((0, 100_000), 60_000, 40, 1);
    let sent = u32::try_from(site.sent).expect("a small number");
    assert!(sent > 0 && sent * 10 <= long.asked, "{sent} of {long:?}");
    for now in (100_000..160_000).step_by(1000) {
        // Lengths differ, so that the learned rate can be told from the time before the prefill.
        let before = site.sent;
        site.play((now, now + 400), 2000, 40, 1);
        site.play((now + 400, now + 900), 4000, 40, 1);
        let short = site.sent - before;
        site.play((now + 900, now + 1000), 60_000, 40, 1);
        if now >= 110_000 {
            assert_eq!(short, 9, "all short prompts run at {now}");
            assert_eq!(site.sent, before + short, "a trial at {now}");
        }
    }
}

/// While short prompts are admitted and answered now and then, there are no trials: long prompts that
/// were refused since a slow spell must not wait until 192 short ones have been answered.
#[test]
fn few_short_prompts() {
    const RECOVERY: u64 = 480_000;
    let mut site = Site::new(1, 3);
    site.play((0, 40_000), 8000, 40, 1);
    site.play((40_000, 440_000), 8000, 5, 1);
    let sound = 500_000;
    let mut long = (0, 0);
    for step in 0..(RECOVERY + 90_000) / 9000 {
        let now = sound + step * 9000;
        site.play((now, now + 100), 400 + step % 2 * 100, 40, 1);
        let before = site.sent;
        site.play((now + 5000, now + 5100), 8000, 40, 1);
        if step * 9000 > RECOVERY {
            long = (long.0 + 1, long.1 + site.sent - before);
        }
    }
    assert!(
        long.1 * 10 > long.0 * 9,
        "{} of {} long prompts",
        long.1,
        long.0
    );
}

/// Connections to all endpoints failed, and requests to all of them were not answered: one of them
/// is still chosen, at once and later.
#[test]
fn all_failed() {
    let mut selector = Selector::new(SelectorOptions::default());
    let site = Site::new(1, 3);
    let need = Need {
        goal_left: GOAL,
        time_left: Millis(3000),
        ..Need::default()
    };
    for endpoint in site.fleet.all() {
        for step in 0..20 {
            selector.connection_failed(&endpoint.name, Millis(step * 100));
            selector.attempt_sent(endpoint, &need, 0, 50.0, Millis(step * 100));
        }
    }
    for now in [2000, 2500, 6000, 60_000].map(Millis) {
        let chosen = selector.choose(&site.fleet, &engines(), &need, &[], now);
        assert!(matches!(chosen, Choice::Use { .. }), "{chosen:?} at {now}");
    }
}
