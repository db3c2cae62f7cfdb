//! What happens to running requests when a place is reclaimed.

use cumin_route::{
    Finish, MoveMethod, MoveProgress, MoveTarget, ReclaimOptions, RunningRequest, rank_reclaim,
};
use cumin_types::Millis;

use super::{Event, Moving, Sim, id, model};
use crate::engine::{Engine, Job, whole_blocks};
use crate::workload::{Kind, Micros, SECOND, micros, real, tokens};

/// Time until every entry knows of a notice.
const TOLD: Micros = 100_000;

/// Size of the KV cache of one token, bytes.
const KV: u64 = 131_072;

impl Sim<'_> {
    pub(super) fn notice(&mut self, index: usize) {
        let loss = self.load.losses[index];
        let stop = self.now + loss.notice;
        for engine in self.standing(loss.place) {
            self.engines[engine].leaving = true;
            self.at(stop, Event::Stop(engine));
            let machine = self.engines[engine].machine.clone();
            self.at(self.now + loss.back, Event::Start(machine));
            self.at(self.now + TOLD, Event::Told(engine, stop));
        }
        self.at(self.now + TOLD, Event::Rank(index, stop));
    }

    /// Returns the engines of a place that have not stopped.
    pub(super) fn standing(&self, place: &str) -> Vec<usize> {
        (0..self.engines.len())
            .filter(|engine| {
                let engine = &self.engines[*engine];
                engine.machine.place == place && !engine.stopped
            })
            .collect()
    }

    /// The entries learn of a notice.
    pub(super) fn told(&mut self, engine: usize, stop: Micros) {
        let name = &self.engines[engine].name;
        for entry in &mut self.entries {
            entry.mark_leaving(name, Millis(stop / 1000));
        }
    }

    /// Moves what runs at engines under notice, in the order of the ranking.
    pub(super) fn rank(&mut self, lost: &[usize], stop: Micros) {
        let options = ReclaimOptions {
            time_left: Millis((stop - self.now) / 1000),
            bandwidth: self.load.bandwidth,
            ..ReclaimOptions::default()
        };
        let targets: Vec<MoveTarget> = self.engines.iter().map(target).collect();
        let mut running = Vec::new();
        for index in lost {
            let engine = &self.engines[*index];
            for job in engine.waiting.iter().chain(&engine.running) {
                running.push(self.running(engine, job));
            }
        }
        for step in rank_reclaim(&running, &options, &targets) {
            let from = self.names[&step.from];
            let attempt = u64::try_from(step.attempt.0.as_u128()).expect("made from a u64");
            let to = step.to.map(|name| self.names[&name]);
            match (step.how, to) {
                (MoveMethod::Export | MoveMethod::Import { .. }, Some(to)) => {
                    let ends = self.now + micros(step.ends_ms / 1000.0);
                    let begins = self.now + micros((step.ends_ms - step.transfer_ms) / 1000.0);
                    self.at(begins, Event::Detach(from, attempt, to, ends));
                }
                (MoveMethod::Stay, _) => {}
                (_, to) => {
                    let begins = self.now + micros(step.starts_ms / 1000.0);
                    self.at(begins, Event::Resume(from, attempt, to));
                }
            }
        }
    }

    fn running(&self, engine: &Engine, job: &Job) -> RunningRequest {
        let request = &self.requests[job.request];
        let made = engine.generated(job, request.output, self.now);
        let count = match job.since {
            Some(_) => tokens(request.prompt) + made,
            None => tokens(job.done.unwrap_or(0)),
        };
        let blocks = &request.text[..request.prompt + whole_blocks(made)];
        let left = longest(request.kind).saturating_sub(made);
        let prefill = engine.ahead(job);
        let others = self.engines.iter().filter(|other| !other.leaving);
        RunningRequest {
            attempt: id(job.attempt),
            endpoint: engine.name.clone(),
            model: model(),
            tokens: count,
            bytes: count * KV,
            priority: request.kind.priority(),
            deadline: Some(Millis(request.due / 1000)),
            remaining: Some(Millis((prefill + left * engine.machine.step) / 1000)),
            generating: job.since.is_some(),
            cached: others
                .map(|other| (other.name.clone(), tokens(other.cache.depth(blocks))))
                .collect(),
            progress: MoveProgress::Waiting,
        }
    }

    /// Takes a request off an engine; returns it and the whole blocks of its KV cache.
    pub(super) fn detach(&mut self, index: usize, attempt: u64) -> Option<(usize, usize)> {
        let now = self.millis();
        let engine = &mut self.engines[index];
        let job = engine.take(attempt)?;
        let request = &mut self.requests[job.request];
        request.generated = engine.generated(&job, request.output, self.now);
        request.moved = true;
        let mut blocks = job.done.unwrap_or(0);
        if let Some(since) = job.since {
            blocks = request.so_far().len();
            self.seen.extend(&request.text[request.prompt..blocks]);
            let share = real(self.now - since) / real(engine.machine.slots as u64);
            self.tally.cost += engine.machine.price * share / real(3600 * SECOND);
        }
        self.tally.moves += 1;
        let entry = &mut self.entries[request.entry];
        entry.record_finished(&engine.name, id(attempt), Finish::Ran, now);
        if !engine.stopped {
            self.kick(index);
        }
        Some((job.request, blocks))
    }

    /// Resumes a moved request at `to`, whose cache has received `blocks` blocks of it.
    pub(super) fn land(&mut self, request: usize, to: usize, blocks: usize) {
        if self.engines[to].leaving {
            return self.dispatch(request);
        }
        let text = self.requests[request].text[..blocks].to_vec();
        let engine = &mut self.engines[to];
        engine.cache.add(&text);
        let depth = engine.cache.depth(self.requests[request].so_far());
        self.place(request, to, tokens(depth));
    }

    pub(super) fn stop(&mut self, index: usize) {
        self.engines[index].stopped = true;
        if self.moving == Moving::Choose {
            let engine = &self.engines[index];
            let jobs = engine.running.iter().chain(&engine.waiting);
            let left: Vec<u64> = jobs.map(|job| job.attempt).collect();
            for attempt in left {
                if let Some((request, _)) = self.detach(index, attempt) {
                    self.dispatch(request);
                }
            }
        } else {
            self.rank(&[index], self.now);
        }
        for entry in &mut self.entries {
            entry.remove(&self.engines[index].name);
        }
    }
}

fn target(engine: &Engine) -> MoveTarget {
    let taken = engine.running.len() + engine.waiting.len();
    MoveTarget {
        endpoint: engine.name.clone(),
        place: engine.machine.place.into(),
        models: vec![model()],
        free_slots: engine.machine.slots.saturating_sub(taken) as u64,
        leaving: engine.leaving,
    }
}

/// Returns the tokens to which a caller limits an answer.
fn longest(kind: Kind) -> u64 {
    match kind {
        Kind::Review => 1200,
        Kind::Check => 90,
        Kind::Chat => 200,
    }
}
