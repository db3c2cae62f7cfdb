//! Learning of engine models from answers.

use cumin_entry::engine::EngineModel;
use cumin_entry::learn::{Fit, LearnOptions, Learner, Queue};
use cumin_types::Millis;
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// A service of which the engines answer as `model` says, some of them more slowly.
struct Engines {
    model: EngineModel,
    slots: u32,
    slow_share: f64,
    rng: ChaCha8Rng,
}

impl Engines {
    fn new(prefill_rate: f64, step_ms: f64, slots: u32, seed: u64) -> Self {
        Self {
            model: EngineModel {
                prefill_rate,
                step_ms,
                request_ms: step_ms / 50.0,
                first_ms: 10.0,
                ..EngineModel::default()
            },
            slots,
            slow_share: 0.1,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Answers one request, with noise.
    fn answer(&mut self, learner: &mut Learner, now: Millis) {
        let rng = &mut self.rng;
        let slow = if rng.random_bool(self.slow_share) {
            3.0
        } else {
            1.0
        };
        let tokens = rng.random_range(200.0..12_000.0);
        let running = f64::from(rng.random_range(0..self.slots));
        let noise = rng.random_range(0.95..1.05) * slow;
        let first_ms = self.model.first_event_ms(tokens, 0.0, running) * noise;
        learner.first_event(Queue { tokens, running }, first_ms, now);
        let token_ms = self.model.step_ms + self.model.request_ms * running;
        let noise = rng.random_range(0.95..1.05) * slow;
        learner.event_gap(running, token_ms * noise, now);
    }
}

fn assert_close(what: &str, learned: f64, actual: f64) {
    let error = learned / actual - 1.0;
    assert!(error.abs() < 0.15, "{what}: {learned:.2} of {actual:.2}");
}

/// Checks the times that selection uses.
fn assert_learned(learned: &EngineModel, actual: &EngineModel) {
    for (tokens, ahead, running) in [(4000.0, 0.0, 4.0), (8000.0, 4000.0, 8.0)] {
        let time = |model: &EngineModel| model.first_event_ms(tokens, ahead, running);
        assert_close("first event", time(learned), time(actual));
    }
    let step = |model: &EngineModel| model.step_ms + model.request_ms * 8.0;
    assert_close("step", step(learned), step(actual));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// The model of a service that no code knows is learned from 200 answers.
    #[test]
    fn unknown_service(
        rate in 10.0..200.0_f64,
        step_ms in 1.0..20.0_f64,
        slots in 8..256_u32,
        seed in any::<u64>(),
    ) {
        let mut engines = Engines::new(rate, step_ms, slots, seed);
        let mut learner = Learner::new(LearnOptions::default());
        for number in 0..200 {
            engines.answer(&mut learner, Millis(number * 10));
        }
        assert_learned(learner.model(), &engines.model);
    }
}

/// A node that starts knows the model from its peers, before its own first answer.
#[test]
fn from_peers() {
    let mut engines = Engines::new(85.0, 2.8, 32, 1);
    let mut peer = Learner::new(LearnOptions::default());
    for number in 0..100 {
        engines.answer(&mut peer, Millis(number * 10));
    }
    let mut started = Learner::new(LearnOptions::default());
    started.merge_peer("peer", peer.own(), Millis(1000));
    started.combine(Millis(1000));
    assert_learned(started.model(), &engines.model);
}

/// A peer that is gone, or that states impossible values, does not count.
#[test]
fn bad_peers() {
    let options = LearnOptions::default();
    let mut learner = Learner::new(options.clone());
    let fit = Fit {
        firsts: 100,
        gaps: 100,
        prefill_ms: 10.0,
        first_ms: 5.0,
        step_ms: 3.0,
        request_ms: 0.1,
    };
    for (node, prefill_ms) in [("a", f32::NAN), ("b", -1.0), ("c", f32::INFINITY)] {
        learner.merge_peer(node, Fit { prefill_ms, ..fit }, Millis(0));
    }
    learner.combine(Millis(0));
    assert_eq!(*learner.model(), options.prior);
    learner.merge_peer("d", fit, Millis(0));
    learner.combine(Millis(0));
    assert_ne!(*learner.model(), options.prior);
    learner.combine(options.peer_ttl);
    assert_eq!(*learner.model(), options.prior);
}

/// Samples that cannot be measurements do not move the model.
#[test]
fn impossible_samples() {
    let mut engines = Engines::new(40.0, 4.0, 32, 2);
    let mut learner = Learner::new(LearnOptions::default());
    let queue = |tokens| Queue {
        tokens,
        running: 1.0,
    };
    for number in 0..200 {
        let now = Millis(number * 10);
        engines.answer(&mut learner, now);
        for took_ms in [0.0, -5.0, f64::NAN, f64::INFINITY, 1e9] {
            learner.first_event(queue(1000.0), took_ms, now);
            learner.event_gap(1.0, took_ms, now);
        }
        learner.first_event(queue(0.0), 50.0, now);
        learner.first_event(queue(-7.0), 50.0, now);
        learner.event_gap(-1.0, 50.0, now);
    }
    assert_learned(learner.model(), &engines.model);
}

/// A node that was suspended sees all answers of that time late; this does not move the model much.
#[test]
fn suspended_node() {
    let mut engines = Engines::new(40.0, 4.0, 32, 3);
    let mut learner = Learner::new(LearnOptions::default());
    for number in 0..150 {
        engines.answer(&mut learner, Millis(number * 10));
    }
    for _ in 0..20 {
        let queue = Queue {
            tokens: 2000.0,
            running: 5.0,
        };
        learner.first_event(queue, 4000.0, Millis(5500));
    }
    for number in 0..30 {
        engines.answer(&mut learner, Millis(5500 + number * 10));
    }
    assert_learned(learner.model(), &engines.model);
}
