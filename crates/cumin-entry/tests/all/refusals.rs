//! How right refusals as `full` are, measured against an oracle that knows the endpoints' state.

use cumin_entry::fleet::{Endpoint, Fleet};
use cumin_entry::selection::{Choice, Need, Selector, SelectorOptions};
use cumin_types::{EndpointName, Millis};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::{endpoint, engines};

/// Requests that an endpoint runs at once; more of them wait in the order of their arrival.
const SLOTS: u32 = 4;

/// Shortest and longest time of a request, in milliseconds.
const TOOK_MS: (f64, f64) = (60.0, 140.0);
const MEAN_MS: f64 = 100.0;
const GOAL_MS: u64 = 300;
const RUN_MS: u64 = 60_000;

/// Starts of the spells in which all endpoints are slow, their length and factor.
const SPELLS: [u64; 2] = [10_000, 35_000];
const SPELL_MS: u64 = 6500;
const SLOW: f64 = 4.0;

fn is_slow(spells: &[u64], now: f64) -> bool {
    spells.iter().any(|start| {
        let (start, end) = (as_number(*start), as_number(start + SPELL_MS));
        (start..end).contains(&now)
    })
}

fn as_number(count: u64) -> f64 {
    f64::from(u32::try_from(count).expect("a small number"))
}

/// Times at which the slots of each endpoint become free.
struct Slots<'a> {
    free: Vec<Vec<f64>>,
    spells: &'a [u64],
}

impl<'a> Slots<'a> {
    fn new(endpoints: usize, spells: &'a [u64]) -> Self {
        Self {
            free: vec![vec![0.0; SLOTS as usize]; endpoints],
            spells,
        }
    }

    /// Returns the time at which a request ends that is sent at `now`.
    fn end(&self, endpoint: usize, now: f64, took_ms: f64) -> f64 {
        let free = self.free[endpoint]
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min);
        let start = free.max(now);
        start
            + took_ms
                * if is_slow(self.spells, start) {
                    SLOW
                } else {
                    1.0
                }
    }

    fn take(&mut self, endpoint: usize, now: f64, took_ms: f64) -> f64 {
        let end = self.end(endpoint, now, took_ms);
        let slots = &mut self.free[endpoint];
        let first = (0..slots.len()).min_by(|a, b| slots[*a].total_cmp(&slots[*b]));
        slots[first.expect("an endpoint has slots")] = end;
        end
    }

    /// Takes the endpoint at which a request ends first, if that is in time.
    fn take_best(&mut self, now: f64, took_ms: f64) -> bool {
        let end = |endpoint: &usize| self.end(*endpoint, now, took_ms);
        let best = (0..self.free.len()).min_by(|a, b| end(a).total_cmp(&end(b)));
        let best = best.expect("there are endpoints");
        let in_time = end(&best) <= now + as_number(GOAL_MS);
        if in_time {
            self.take(best, now, took_ms);
        }
        in_time
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    /// Refused ones that the oracle would have served in time, beside all that were sent.
    wrong: u32,
}

/// Sends `load` times the capacity to `endpoints` endpoints, which are slow from each of `spells` on.
fn play(endpoints: usize, load: f64, spells: &[u64], seed: u64) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::default();
    for number in 0..endpoints {
        fleet.register(Endpoint {
            slots: SLOTS,
            ..endpoint(&format!("e{number}"))
        });
    }
    let mut selector = Selector::new(SelectorOptions::default());
    let (mut slots, mut oracle) = (Slots::new(endpoints, spells), Slots::new(endpoints, spells));
    let mut running: Vec<(f64, EndpointName, u64)> = Vec::new();
    let mut counts = Counts::default();
    let each_ms = MEAN_MS / (as_number(endpoints as u64) * f64::from(SLOTS) * load);
    let mut now = 0.0;
    loop {
        now += -each_ms * (1.0 - rng.random::<f64>()).ln();
        if now >= as_number(RUN_MS) {
            return counts;
        }
        running.sort_by(|a, b| a.0.total_cmp(&b.0));
        let done = running.partition_point(|(end, ..)| *end <= now);
        for (end, name, attempt) in running.drain(..done) {
            selector.answer_begun(&name, attempt, whole(end));
            selector.attempt_ended(&name, attempt, true, whole(end));
        }
        let took_ms = rng.random_range(TOOK_MS.0..TOOK_MS.1);
        let need = Need {
            goal_left: Millis(GOAL_MS),
            time_left: Millis(GOAL_MS * 5),
            ..Need::default()
        };
        counts.asked += 1;
        let chosen = selector.choose(&fleet, &engines(), &need, &[], whole(now));
        let Choice::Use {
            endpoint,
            estimate_ms,
            ..
        } = chosen
        else {
            counts.refused += 1;
            counts.wrong += u32::from(oracle.take_best(now, took_ms));
            continue;
        };
        let found = fleet.get(&endpoint).expect("it is registered");
        let attempt = selector.attempt_sent(found, &need, 0, estimate_ms, whole(now));
        let index: usize = endpoint.as_str()[1..]
            .parse()
            .expect("the endpoint's number");
        let end = slots.take(index, now, took_ms);
        oracle.take(index, now, took_ms);
        if end <= now + as_number(GOAL_MS) {
            counts.in_time += 1;
        } else {
            counts.late += 1;
        }
        running.push((end, endpoint, attempt));
    }
}

fn whole(now: f64) -> Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "times are small and not negative"
    )]
    Millis(now as u64)
}

/// Prints for docs/MEASUREMENTS.md which share of the refused requests an oracle would have served
/// in time. It checks only that each request is counted once, and that a seed replays.
#[test]
#[ignore = "a measurement, run by hand"]
fn against_oracle() {
    println!("| endpoints | load | spells | asked | in time | late | refused | wrong |");
    println!("|---|---|---|---|---|---|---|---|");
    for endpoints in [1, 3, 10] {
        for load in [0.5, 1.0, 2.0] {
            for spells in [&[], &SPELLS[..]] {
                print_row(endpoints, load, spells);
            }
        }
    }
}

fn print_row(endpoints: usize, load: f64, spells: &[u64]) {
    let mut sum = Counts::default();
    for seed in 1..=3 {
        let counts = play(endpoints, load, spells, seed);
        assert_eq!(counts.asked, counts.in_time + counts.late + counts.refused);
        if (endpoints, seed) == (1, 1) {
            assert_eq!(counts, play(endpoints, load, spells, seed));
        }
        sum.asked += counts.asked;
        sum.in_time += counts.in_time;
        sum.late += counts.late;
        sum.refused += counts.refused;
        sum.wrong += counts.wrong;
    }
    let share = 100.0 * f64::from(sum.wrong) / f64::from(sum.refused.max(1));
    println!(
        "| {endpoints} | {load} | {} | {} | {} | {} | {} | {} ({share:.0}%) |",
        spells.len(),
        sum.asked,
        sum.in_time,
        sum.late,
        sum.refused,
        sum.wrong
    );
}
