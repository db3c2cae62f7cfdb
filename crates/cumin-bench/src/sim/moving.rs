//! Moves of running requests when a place is reclaimed.

use cumin_route::{
    Finish, MoveMethod, MoveProgress, MoveTarget, ReclaimOptions, RunningRequest, rank_reclaim,
};
use cumin_types::Millis;

use super::{Event, ReclaimMode, Sim, id, model};
use crate::engine::{Engine, Job, whole_blocks};
use crate::workload::{Kind, Micros, SECOND, micros, to_f64, tokens};

/// Time from a notice until every entry has received it.
const NOTICE_DELAY: Micros = 100_000;

/// Size of the KV cache of one token, bytes.
const TOKEN_BYTES: u64 = 131_072;

impl Sim<'_> {
    /// Issues the reclaim notice for a place.
    pub(super) fn notice(&mut self, index: usize) {
        let reclaim = self.workload.reclaims[index];
        let stop = self.now + reclaim.notice_time;
        for engine in self.serving_engines(reclaim.place) {
            self.engines[engine].leaving = true;
            self.schedule(stop, Event::Stop(engine));
            let spec = self.engines[engine].spec.clone();
            self.schedule(self.now + reclaim.replacement_time, Event::Start(spec));
            self.schedule(self.now + NOTICE_DELAY, Event::MarkLeaving(engine, stop));
        }
        self.schedule(self.now + NOTICE_DELAY, Event::PlanMoves(index, stop));
    }

    /// Returns the engines of a place that have not stopped.
    pub(super) fn serving_engines(&self, place: &str) -> Vec<usize> {
        (0..self.engines.len())
            .filter(|engine| {
                let engine = &self.engines[*engine];
                engine.spec.place == place && !engine.stopped
            })
            .collect()
    }

    /// Delivers a notice to the entries.
    pub(super) fn mark_leaving(&mut self, engine: usize, stop: Micros) {
        let name = &self.engines[engine].name;
        for entry in &mut self.entries {
            entry.mark_leaving(name, Millis(stop / 1000));
        }
    }

    /// Schedules the moves of the requests at the engines `sources`, in the order of the ranking.
    pub(super) fn plan_moves(&mut self, sources: &[usize], stop: Micros) {
        let options = ReclaimOptions {
            time_left: Millis((stop - self.now) / 1000),
            bandwidth: self.workload.bandwidth,
            ..ReclaimOptions::default()
        };
        let targets: Vec<MoveTarget> = self.engines.iter().map(target).collect();
        let mut running = Vec::new();
        for index in sources {
            let engine = &self.engines[*index];
            for job in engine.waiting.iter().chain(&engine.running) {
                running.push(self.describe_running(engine, job));
            }
        }
        for step in rank_reclaim(&running, &options, &targets) {
            let from = self.indices[&step.from];
            let attempt = u64::try_from(step.attempt.0.as_u128()).expect("made from a u64");
            let to = step.to.map(|name| self.indices[&name]);
            match (step.how, to) {
                (MoveMethod::Export | MoveMethod::Import { .. }, Some(to)) => {
                    let ends = self.now + micros(step.ends_ms / 1000.0);
                    let begins = self.now + micros((step.ends_ms - step.transfer_ms) / 1000.0);
                    self.schedule(begins, Event::Export(from, attempt, to, ends));
                }
                (MoveMethod::Stay, _) => {}
                (_, to) => {
                    let begins = self.now + micros(step.starts_ms / 1000.0);
                    self.schedule(begins, Event::Resume(from, attempt, to));
                }
            }
        }
    }

    /// Describes a request at an engine for the ranking.
    fn describe_running(&self, engine: &Engine, job: &Job) -> RunningRequest {
        let request = &self.requests[job.request];
        let generated = engine.generated(job, request.output_tokens, self.now);
        let count = match job.stream_start {
            Some(_) => tokens(request.prompt_blocks) + generated,
            None => tokens(job.prefilled_blocks.unwrap_or(0)),
        };
        let blocks = &request.text[..request.prompt_blocks + whole_blocks(generated)];
        let left = max_output(request.kind).saturating_sub(generated);
        let prefill = engine.prefill_wait(job);
        let others = self.engines.iter().filter(|other| !other.leaving);
        RunningRequest {
            attempt: id(job.attempt),
            endpoint: engine.name.clone(),
            model: model(),
            tokens: count,
            bytes: count * TOKEN_BYTES,
            priority: request.kind.priority(),
            deadline: Some(Millis(request.deadline / 1000)),
            remaining: Some(Millis((prefill + left * engine.spec.token_time) / 1000)),
            generating: job.stream_start.is_some(),
            cached: others
                .map(|other| {
                    (
                        other.name.clone(),
                        tokens(other.cache.cached_prefix(blocks)),
                    )
                })
                .collect(),
            progress: MoveProgress::Waiting,
        }
    }

    /// Removes an attempt from an engine; returns its request and the number of whole blocks in its
    /// KV cache.
    pub(super) fn remove_attempt(&mut self, index: usize, attempt: u64) -> Option<(usize, usize)> {
        let now = self.millis();
        let engine = &mut self.engines[index];
        let job = engine.remove(attempt)?;
        let request = &mut self.requests[job.request];
        request.generated = engine.generated(&job, request.output_tokens, self.now);
        request.moved = true;
        let mut blocks = job.prefilled_blocks.unwrap_or(0);
        if let Some(since) = job.stream_start {
            blocks = request.known_blocks().len();
            self.computed
                .extend(&request.text[request.prompt_blocks..blocks]);
            let share = to_f64(self.now - since) / to_f64(engine.spec.slots as u64);
            self.tally.cost += engine.spec.price * share / to_f64(3600 * SECOND);
        }
        self.tally.moves += 1;
        let entry = &mut self.entries[request.entry];
        entry.record_finished(&engine.name, id(attempt), Finish::Ran, now);
        if !engine.stopped {
            self.start_work(index);
        }
        Some((job.request, blocks))
    }

    /// Resumes a moved request at engine `to`, whose cache has received `blocks` blocks of it.
    pub(super) fn resume_at(&mut self, request: usize, to: usize, blocks: usize) {
        if self.engines[to].leaving {
            return self.dispatch(request);
        }
        let text = self.requests[request].text[..blocks].to_vec();
        let engine = &mut self.engines[to];
        engine.cache.add(&text);
        let cached = engine
            .cache
            .cached_prefix(self.requests[request].known_blocks());
        self.send(request, to, tokens(cached));
    }

    /// Stops an engine and moves what still runs there.
    pub(super) fn stop(&mut self, index: usize) {
        self.engines[index].stopped = true;
        if self.reclaim_mode == ReclaimMode::Choose {
            let engine = &self.engines[index];
            let jobs = engine.running.iter().chain(&engine.waiting);
            let left: Vec<u64> = jobs.map(|job| job.attempt).collect();
            for attempt in left {
                if let Some((request, _)) = self.remove_attempt(index, attempt) {
                    self.dispatch(request);
                }
            }
        } else {
            self.plan_moves(&[index], self.now);
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
        place: engine.spec.place.into(),
        models: vec![model()],
        free_slots: engine.spec.slots.saturating_sub(taken) as u64,
        leaving: engine.leaving,
    }
}

/// Returns the `max_tokens` that a caller sets for a kind of request.
fn max_output(kind: Kind) -> u64 {
    match kind {
        Kind::Review => 1200,
        Kind::Check => 90,
        Kind::Chat => 200,
    }
}
