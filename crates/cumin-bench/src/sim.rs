//! Discrete-event simulation of a workload under the decisions of one policy at four entries.

mod moving;

use std::collections::{BTreeMap, HashMap, HashSet};

use cumin_route::{Dispatch, EndpointInfo, Finish, Policy, Query, Rates, RouterOptions, Trust};
use cumin_types::{AttemptId, Cost, EndpointName, Millis, Model, Service};
use cumin_wire::cloud::Market;
use cumin_wire::engine::{BLOCK_TOKENS, CacheEvent, CacheList, Load};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use uuid::Uuid;

use crate::engine::{Engine, Job, whole_blocks};
use crate::report::Tally;
use crate::workload::{EngineSpec, Kind, Micros, SECOND, Workload, extend, to_f64, tokens};

/// Number of entries; each has its own view of the engines.
const ENTRIES: usize = 4;

/// Time between two load reports of an engine.
const REPORT_PERIOD: Micros = 250_000;

/// Time between two polls of an engine's cache events by an entry.
const POLL_PERIOD: Micros = 300_000;

/// Probability that the answer of a poll lacks events, and that a load report is lost.
const LOSS_RATE: f64 = 0.04;

/// Time after the last arrival at which unfinished requests count as lost.
const DRAIN_TIME: Micros = 300 * SECOND;

/// What happens to running requests after a reclaim notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReclaimMode {
    /// Requests are ranked; the KV cache of those that fit into the notice is exported, and the rest
    /// resume elsewhere.
    Export,
    /// Requests run until the engine stops; unfinished ones resume where most blocks are cached.
    Drain,
    /// Requests run until the engine stops; unfinished ones resume where the policy chooses.
    Choose,
}

enum Event {
    Arrive {
        session: usize,
        turn: usize,
        text: Vec<u64>,
    },
    Retry(usize),
    Chunk(usize, Micros),
    Finish(usize, u64),
    ReportLoad(usize),
    Loaded(usize, usize, Load),
    Poll(usize, usize),
    Polled(usize, usize, Vec<CacheEvent>),
    Listed(usize, usize, CacheList),
    Notice(usize),
    MarkLeaving(usize, Micros),
    PlanMoves(usize, Micros),
    Stop(usize),
    Start(EngineSpec),
    Export(usize, u64, usize, Micros),
    Import(usize, usize, usize),
    Resume(usize, u64, Option<usize>),
}

struct Request {
    session: usize,
    turn: usize,
    kind: Kind,
    entry: usize,
    /// Blocks of the prompt and the whole answer.
    text: Vec<u64>,
    /// Number of blocks of the prompt.
    prompt_blocks: usize,
    output_tokens: u64,
    arrived: Micros,
    deadline: Micros,
    generated: u64,
    first_token: Option<Micros>,
    moved: bool,
    done: bool,
}

impl Request {
    /// Returns the blocks of the prompt and of the answer generated so far.
    fn known_blocks(&self) -> &[u64] {
        &self.text[..self.prompt_blocks + whole_blocks(self.generated)]
    }
}

/// A running simulation.
pub(crate) struct Sim<'a> {
    workload: &'a Workload,
    reclaim_mode: ReclaimMode,
    entries: Vec<Box<dyn Policy>>,
    engines: Vec<Engine>,
    /// Indices of the engines by name.
    indices: HashMap<EndpointName, usize>,
    requests: Vec<Request>,
    events: BTreeMap<(Micros, u64), Event>,
    now: Micros,
    /// Last number given to an event or attempt.
    last_number: u64,
    /// Callers that have not finished their last turn.
    open_sessions: usize,
    /// Blocks that any engine has computed.
    computed: HashSet<u64>,
    /// Randomness of network delays and losses.
    network_rng: ChaCha8Rng,
    /// Randomness of the policies.
    policy_rng: ChaCha8Rng,
    tally: Tally,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(
        workload: &'a Workload,
        reclaim_mode: ReclaimMode,
        seed: u64,
        policy: impl Fn(RouterOptions) -> Box<dyn Policy>,
    ) -> Self {
        let options = RouterOptions {
            price_weight: workload.cost_weight,
            recompute_weight: workload.recompute_weight,
            ..RouterOptions::default()
        };
        let mut sim = Self {
            workload,
            reclaim_mode,
            entries: (0..ENTRIES).map(|_| policy(options.clone())).collect(),
            engines: Vec::new(),
            indices: HashMap::new(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            now: 0,
            last_number: 0,
            open_sessions: workload.sessions.len(),
            computed: HashSet::new(),
            network_rng: ChaCha8Rng::seed_from_u64(seed ^ 1),
            policy_rng: ChaCha8Rng::seed_from_u64(seed ^ 2),
            tally: Tally::default(),
        };
        for spec in &workload.engine_specs {
            sim.start_engine(spec.clone());
        }
        for (index, session) in workload.sessions.iter().enumerate() {
            let arrive = Event::Arrive {
                session: index,
                turn: 0,
                text: session.shared_blocks.clone(),
            };
            sim.schedule(session.at, arrive);
        }
        for (index, reclaim) in workload.reclaims.iter().enumerate() {
            sim.schedule(reclaim.at, Event::Notice(index));
        }
        sim
    }

    pub(crate) fn run(mut self) -> Tally {
        let last = self
            .workload
            .sessions
            .iter()
            .map(|session| session.at)
            .max();
        let end = last.unwrap_or(0) + DRAIN_TIME;
        while self.open_sessions > 0
            && let Some(((at, _), event)) = self.events.pop_first()
            && at <= end
        {
            self.now = at;
            self.handle(event);
        }
        self.tally.requests = self.requests.len() as u64;
        // A lost request also holds back the later turns of its caller, which are not counted.
        self.tally.lost = self.requests.iter().filter(|one| !one.done).count() as u64;
        self.tally
    }

    /// Schedules an event.
    fn schedule(&mut self, at: Micros, event: Event) {
        self.last_number += 1;
        self.events.insert((at, self.last_number), event);
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1000)
    }

    /// Returns the arrival time of a report sent now: 100 to 350 ms later.
    fn delayed_arrival(&mut self) -> Micros {
        self.now + self.network_rng.random_range(100_000..350_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive {
                session,
                turn,
                text,
            } => self.arrive(session, turn, text),
            Event::Retry(request) => self.dispatch(request),
            Event::Chunk(engine, spent) => self.finish_chunk(engine, spent),
            Event::Finish(engine, attempt) => self.finish(engine, attempt),
            Event::ReportLoad(engine) => self.report_load(engine),
            Event::Loaded(entry, engine, load) => {
                let (name, now) = (self.engines[engine].name.clone(), self.millis());
                self.entries[entry].record_load(&name, &load, now);
            }
            Event::Poll(entry, engine) => self.poll(entry, engine, None),
            Event::Polled(entry, engine, events) => {
                let name = self.engines[engine].name.clone();
                let trust = self.entries[entry].apply_cache_events(&name, &events);
                self.poll(entry, engine, trust);
            }
            Event::Listed(entry, engine, list) => {
                let name = self.engines[engine].name.clone();
                self.entries[entry].replace_cache(&name, &list);
                self.schedule(self.now + POLL_PERIOD, Event::Poll(entry, engine));
            }
            Event::Notice(reclaim) => self.notice(reclaim),
            Event::MarkLeaving(engine, stop) => self.mark_leaving(engine, stop),
            Event::PlanMoves(index, stop) => {
                if self.reclaim_mode == ReclaimMode::Export {
                    let leaving = self.serving_engines(self.workload.reclaims[index].place);
                    self.plan_moves(&leaving, stop);
                }
            }
            Event::Stop(engine) => self.stop(engine),
            Event::Start(spec) => self.start_engine(spec),
            Event::Export(engine, attempt, to, import_at) => {
                if let Some((request, blocks)) = self.remove_attempt(engine, attempt) {
                    self.schedule(import_at, Event::Import(request, to, blocks));
                }
            }
            Event::Import(request, to, blocks) => self.resume_at(request, to, blocks),
            Event::Resume(engine, attempt, to) => {
                if let Some((request, _)) = self.remove_attempt(engine, attempt) {
                    match to {
                        Some(to) => self.resume_at(request, to, 0),
                        None => self.dispatch(request),
                    }
                }
            }
        }
    }

    fn start_engine(&mut self, spec: EngineSpec) {
        let index = self.engines.len();
        let name: EndpointName = format!("{}-{index}", spec.place).into();
        let port = 9000 + u16::try_from(index).expect("few engines");
        for entry in &mut self.entries {
            entry.upsert(EndpointInfo {
                name: name.clone(),
                address: ([127, 0, 0, 1], port).into(),
                service: service(),
                models: vec![model()],
                place: spec.place.into(),
                price: Cost(spec.price),
                market: if spec.reclaimable {
                    Market::Reclaimable
                } else {
                    Market::OnDemand
                },
                slots: spec.slots as u64,
                life: spec.reclaimable.then_some(Millis(1_800_000)),
            });
        }
        self.indices.insert(name.clone(), index);
        self.engines.push(Engine::new(name, spec));
        let phase = self.network_rng.random_range(0..REPORT_PERIOD);
        self.schedule(self.now + phase, Event::ReportLoad(index));
        for entry in 0..ENTRIES {
            let phase = self.network_rng.random_range(0..POLL_PERIOD);
            self.schedule(self.now + phase, Event::Poll(entry, index));
        }
    }

    fn report_load(&mut self, engine: usize) {
        if self.engines[engine].stopped {
            return;
        }
        let load = self.engines[engine].load();
        for entry in 0..ENTRIES {
            let at = self.delayed_arrival();
            if !self.network_rng.random_bool(LOSS_RATE) {
                self.schedule(at, Event::Loaded(entry, engine, load));
            }
        }
        self.schedule(self.now + REPORT_PERIOD, Event::ReportLoad(engine));
    }

    /// Polls the cache events of an engine, or its list of blocks after a gap. `last` is the result
    /// of applying the previous answer.
    fn poll(&mut self, entry: usize, engine: usize, last: Option<Trust>) {
        if self.engines[engine].stopped {
            return;
        }
        let name = self.engines[engine].name.clone();
        match last {
            // The previous answer was applied; the next poll follows after the poll period.
            Some(Trust::Trusted { .. }) => {
                self.schedule(self.now + POLL_PERIOD, Event::Poll(entry, engine));
            }
            Some(Trust::Untrusted { .. }) => {
                let blocks = self.engines[engine].cache.list();
                let at = self.delayed_arrival();
                self.tally.gaps += 1;
                self.schedule(at, Event::Listed(entry, engine, blocks));
            }
            None => {
                let Some(Trust::Trusted { seq }) =
                    self.entries[entry].apply_cache_events(&name, &[])
                else {
                    return;
                };
                let after = usize::try_from(seq).expect("an event count fits");
                let log = &self.engines[engine].cache.events;
                let mut events = log.get(after..).unwrap_or_default().to_vec();
                if self.network_rng.random_bool(LOSS_RATE) {
                    events.drain(..events.len() / 2);
                }
                let at = self.delayed_arrival();
                self.schedule(at, Event::Polled(entry, engine, events));
            }
        }
    }

    fn arrive(&mut self, session: usize, turn: usize, mut text: Vec<u64>) {
        let source = &self.workload.sessions[session];
        let request = self.requests.len();
        let seed = 1_000_000 + request as u64 * 2;
        // The content depends on caller and turn only, so that every policy sees the same prompts.
        let seed = seed.max((session as u64 + 1) << 24 | (turn as u64) << 1);
        extend(&mut text, seed, source.turn_blocks);
        let prompt = text.len();
        extend(&mut text, seed + 1, whole_blocks(source.output_tokens));
        self.requests.push(Request {
            session,
            turn,
            kind: source.kind,
            entry: self.network_rng.random_range(0..ENTRIES),
            text,
            prompt_blocks: prompt,
            output_tokens: source.output_tokens,
            arrived: self.now,
            deadline: self.now + source.answer_time,
            generated: 0,
            first_token: None,
            moved: false,
            done: false,
        });
        self.dispatch(request);
    }

    /// Sends a request to the endpoint that its entry's policy chooses.
    fn dispatch(&mut self, request: usize) {
        let one = &self.requests[request];
        let entry = one.entry;
        let mut query = Query {
            service: service(),
            model: Some(model()),
            blocks: one.known_blocks().to_vec(),
            prompt_tokens: tokens(one.prompt_blocks) + one.generated,
            output_tokens: mean_output(one.kind),
            priority: one.kind.priority(),
            deadline: Some(Millis(one.deadline / 1000)),
            exclude: Vec::new(),
            place: None,
        };
        loop {
            let now = self.millis();
            match self.entries[entry].choose(&query, now, &mut self.policy_rng) {
                Err(_) => return self.schedule(self.now + SECOND / 5, Event::Retry(request)),
                Ok(choice) => {
                    let to = self.indices[choice.endpoint()];
                    if !self.engines[to].leaving {
                        return self.send(request, to, choice.cached_tokens());
                    }
                    // An engine under notice refuses new attempts.
                    query.exclude.push(choice.best.endpoint);
                }
            }
        }
    }

    /// Starts an attempt of a request at an engine.
    fn send(&mut self, request: usize, to: usize, cached: u64) {
        self.last_number += 1;
        let (attempt, now, one) = (self.last_number, self.millis(), &self.requests[request]);
        let work = Dispatch {
            attempt: id(attempt),
            blocks: one.known_blocks().to_vec(),
            prompt_tokens: tokens(one.prompt_blocks) + one.generated,
            cached_tokens: cached,
            priority: one.kind.priority(),
        };
        let engine = &mut self.engines[to];
        self.entries[one.entry].record_sent(&engine.name, &work, now);
        engine.waiting.push(Job {
            attempt,
            request,
            priority: one.kind.priority(),
            tail_tokens: one.generated % BLOCK_TOKENS as u64,
            blocks: work.blocks,
            prefilled_blocks: None,
            generated: one.generated,
            stream_start: None,
        });
        self.start_work(to);
    }

    /// Fills free slots of an engine and starts its next prefill chunk.
    fn start_work(&mut self, engine: usize) {
        self.engines[engine].admit();
        if let Some(time) = self.engines[engine].start_chunk() {
            self.schedule(self.now + time, Event::Chunk(engine, time));
        }
    }

    /// Completes a prefill chunk.
    fn finish_chunk(&mut self, index: usize, spent: Micros) {
        let engine = &mut self.engines[index];
        self.tally.cost += engine.spec.price * to_f64(spent) / to_f64(3600 * SECOND);
        let Some((attempt, blocks)) = engine.current_chunk.take() else {
            return;
        };
        if let Some(job) = engine.running.iter_mut().find(|job| job.attempt == attempt) {
            let from = job.prefilled_blocks.expect("set when the chunk began");
            let done = from + blocks;
            job.prefilled_blocks = Some(done);
            engine.cache.add(&job.blocks[from..done]);
            let mut recomputed = 0;
            for block in &job.blocks[from..done] {
                recomputed += u64::from(!self.computed.insert(*block)) * BLOCK_TOKENS as u64;
            }
            let mut prefilled = tokens(blocks);
            let request = &mut self.requests[job.request];
            if done == job.blocks.len() {
                engine.cache.add(&job.blocks);
                // The tokens after the last whole block were generated before the request moved here.
                recomputed += job.tail_tokens;
                prefilled += job.tail_tokens;
                job.stream_start = Some(self.now);
                let kind = request.kind;
                let arrived = request.arrived;
                if request.first_token.is_none() {
                    request.first_token = Some(self.now);
                    self.tally.record_first_token(kind, self.now - arrived);
                }
                let left = (request.output_tokens - job.generated) * engine.spec.token_time;
                self.last_number += 1;
                self.events.insert(
                    (self.now + left, self.last_number),
                    Event::Finish(index, attempt),
                );
            }
            self.tally.prefilled += prefilled;
            self.tally.recomputed += recomputed;
            if request.moved {
                self.tally.resumed += recomputed;
            }
        }
        if !self.engines[index].stopped {
            self.start_work(index);
        }
    }

    fn finish(&mut self, index: usize, attempt: u64) {
        let now = self.millis();
        let engine = &mut self.engines[index];
        let Some(job) = engine.remove(attempt) else {
            return;
        };
        let request = &mut self.requests[job.request];
        request.done = true;
        request.generated = request.output_tokens;
        engine.cache.add(&request.text);
        self.computed.extend(&request.text[request.prompt_blocks..]);
        let since = job.stream_start.expect("a finished job has streamed");
        let share = to_f64(self.now - since) / to_f64(engine.spec.slots as u64);
        self.tally.cost += engine.spec.price * share / to_f64(3600 * SECOND);
        self.tally.misses += u64::from(self.now > request.deadline);
        let entry = &mut self.entries[request.entry];
        entry.record_finished(&engine.name, id(attempt), Finish::Ran, now);
        let noise = self.network_rng.random_range(0.9..1.1);
        let rates = Rates {
            prefill: engine.spec.prefill_rate * noise,
            decode: to_f64(SECOND) / to_f64(engine.spec.token_time) * noise,
            run_ms: 0.0,
        };
        entry.record_rates(&engine.name, &rates, now);
        let (session, turn) = (request.session, request.turn + 1);
        let source = &self.workload.sessions[session];
        if turn < source.turns {
            let text = request.text.clone();
            let arrive = Event::Arrive {
                session,
                turn,
                text,
            };
            self.schedule(self.now + source.think_time, arrive);
        } else {
            self.open_sessions -= 1;
        }
        self.start_work(index);
    }
}

fn id(attempt: u64) -> AttemptId {
    AttemptId(Uuid::from_u128(attempt.into()))
}

fn service() -> Service {
    "assist".into()
}

fn model() -> Model {
    "model".into()
}

/// Returns the number of output tokens that an entry expects, the mean of the request's kind.
fn mean_output(kind: Kind) -> u64 {
    match kind {
        Kind::Review => 850,
        Kind::Check => 60,
        Kind::Chat => 140,
    }
}
