//! Replays a workload through the decisions of one policy at four entries.

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
use crate::workload::{Kind, Machine, Micros, SECOND, Workload, extend, real, tokens};

/// Entries, each with its own view of the engines.
const ENTRIES: usize = 4;

/// Time between two load reports of an engine.
const SAMPLE: Micros = 250_000;

/// Time between two polls of an engine's cache events by an entry.
const POLL: Micros = 300_000;

/// Share of polls whose answer misses events, and of load reports that are lost.
const GAP: f64 = 0.04;

/// Time after the last arrival at which open requests count as lost.
const GRACE: Micros = 300 * SECOND;

/// What happens to running requests on notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Moving {
    /// Ranked: the KV cache of those that fit is exported, the rest resumed.
    Export,
    /// They run until the engine stops; the rest resume where most is cached.
    Drain,
    /// They run until the engine stops; the rest go where the policy chooses.
    Choose,
}

enum Event {
    Arrive {
        script: usize,
        turn: usize,
        text: Vec<u64>,
    },
    Retry(usize),
    Chunk(usize, Micros),
    Finish(usize, u64),
    Sample(usize),
    Loaded(usize, usize, Load),
    Poll(usize, usize),
    Polled(usize, usize, Vec<CacheEvent>),
    Listed(usize, usize, CacheList),
    Notice(usize),
    Told(usize, Micros),
    Rank(usize, Micros),
    Stop(usize),
    Start(Machine),
    Detach(usize, u64, usize, Micros),
    Land(usize, usize, usize),
    Resume(usize, u64, Option<usize>),
}

struct Request {
    script: usize,
    turn: usize,
    kind: Kind,
    entry: usize,
    /// Prompt and whole answer.
    text: Vec<u64>,
    /// Blocks of the prompt.
    prompt: usize,
    output: u64,
    arrived: Micros,
    due: Micros,
    generated: u64,
    first: Option<Micros>,
    moved: bool,
    done: bool,
}

impl Request {
    /// Returns the blocks of prompt and answer so far.
    fn so_far(&self) -> &[u64] {
        &self.text[..self.prompt + whole_blocks(self.generated)]
    }
}

pub(crate) struct Sim<'a> {
    load: &'a Workload,
    moving: Moving,
    entries: Vec<Box<dyn Policy>>,
    engines: Vec<Engine>,
    names: HashMap<EndpointName, usize>,
    requests: Vec<Request>,
    events: BTreeMap<(Micros, u64), Event>,
    now: Micros,
    /// Numbers events and attempts.
    next: u64,
    open: usize,
    /// Blocks that any engine has computed.
    seen: HashSet<u64>,
    net: ChaCha8Rng,
    rng: ChaCha8Rng,
    tally: Tally,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(
        load: &'a Workload,
        moving: Moving,
        seed: u64,
        policy: impl Fn(RouterOptions) -> Box<dyn Policy>,
    ) -> Self {
        let options = RouterOptions {
            price_weight: load.cost,
            recompute_weight: load.recompute,
            ..RouterOptions::default()
        };
        let mut sim = Self {
            load,
            moving,
            entries: (0..ENTRIES).map(|_| policy(options.clone())).collect(),
            engines: Vec::new(),
            names: HashMap::new(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            now: 0,
            next: 0,
            open: load.scripts.len(),
            seen: HashSet::new(),
            net: ChaCha8Rng::seed_from_u64(seed ^ 1),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 2),
            tally: Tally::default(),
        };
        for machine in &load.machines {
            sim.start(machine.clone());
        }
        for (index, script) in load.scripts.iter().enumerate() {
            let arrive = Event::Arrive {
                script: index,
                turn: 0,
                text: script.shared.clone(),
            };
            sim.at(script.at, arrive);
        }
        for (index, loss) in load.losses.iter().enumerate() {
            sim.at(loss.at, Event::Notice(index));
        }
        sim
    }

    pub(crate) fn run(mut self) -> Tally {
        let last = self.load.scripts.iter().map(|script| script.at).max();
        let end = last.unwrap_or(0) + GRACE;
        while self.open > 0
            && let Some(((at, _), event)) = self.events.pop_first()
            && at <= end
        {
            self.now = at;
            self.handle(event);
        }
        self.tally.requests = self.requests.len() as u64;
        // A caller whose turn never ended holds the turns after it.
        self.tally.lost = self.requests.iter().filter(|one| !one.done).count() as u64;
        self.tally
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1000)
    }

    /// Returns when a message sent now arrives as a lagging report.
    fn later(&mut self) -> Micros {
        self.now + self.net.random_range(100_000..350_000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { script, turn, text } => self.arrive(script, turn, text),
            Event::Retry(request) => self.dispatch(request),
            Event::Chunk(engine, spent) => self.chunk(engine, spent),
            Event::Finish(engine, attempt) => self.finish(engine, attempt),
            Event::Sample(engine) => self.sample(engine),
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
                self.at(self.now + POLL, Event::Poll(entry, engine));
            }
            Event::Notice(loss) => self.notice(loss),
            Event::Told(engine, stop) => self.told(engine, stop),
            Event::Rank(index, stop) => {
                if self.moving == Moving::Export {
                    let leaving = self.standing(self.load.losses[index].place);
                    self.rank(&leaving, stop);
                }
            }
            Event::Stop(engine) => self.stop(engine),
            Event::Start(machine) => self.start(machine),
            Event::Detach(engine, attempt, to, lands) => {
                if let Some((request, blocks)) = self.detach(engine, attempt) {
                    self.at(lands, Event::Land(request, to, blocks));
                }
            }
            Event::Land(request, to, blocks) => self.land(request, to, blocks),
            Event::Resume(engine, attempt, to) => {
                if let Some((request, _)) = self.detach(engine, attempt) {
                    match to {
                        Some(to) => self.land(request, to, 0),
                        None => self.dispatch(request),
                    }
                }
            }
        }
    }

    fn start(&mut self, machine: Machine) {
        let index = self.engines.len();
        let name: EndpointName = format!("{}-{index}", machine.place).into();
        let port = 9000 + u16::try_from(index).expect("few engines");
        for entry in &mut self.entries {
            entry.upsert(EndpointInfo {
                name: name.clone(),
                address: ([127, 0, 0, 1], port).into(),
                service: service(),
                models: vec![model()],
                place: machine.place.into(),
                price: Cost(machine.price),
                market: if machine.reclaimable {
                    Market::Reclaimable
                } else {
                    Market::OnDemand
                },
                slots: machine.slots as u64,
                life: machine.reclaimable.then_some(Millis(1_800_000)),
            });
        }
        self.names.insert(name.clone(), index);
        self.engines.push(Engine::new(name, machine));
        let phase = self.net.random_range(0..SAMPLE);
        self.at(self.now + phase, Event::Sample(index));
        for entry in 0..ENTRIES {
            let phase = self.net.random_range(0..POLL);
            self.at(self.now + phase, Event::Poll(entry, index));
        }
    }

    fn sample(&mut self, engine: usize) {
        if self.engines[engine].stopped {
            return;
        }
        let load = self.engines[engine].load();
        for entry in 0..ENTRIES {
            let at = self.later();
            if !self.net.random_bool(GAP) {
                self.at(at, Event::Loaded(entry, engine, load));
            }
        }
        self.at(self.now + SAMPLE, Event::Sample(engine));
    }

    /// Asks an engine for its cache events, or after a gap for its list.
    fn poll(&mut self, entry: usize, engine: usize, last: Option<Trust>) {
        if self.engines[engine].stopped {
            return;
        }
        let name = self.engines[engine].name.clone();
        match last {
            // An answer came and was applied: ask again after a while.
            Some(Trust::Trusted { .. }) => self.at(self.now + POLL, Event::Poll(entry, engine)),
            Some(Trust::Untrusted { .. }) => {
                let blocks = self.engines[engine].cache.list();
                let at = self.later();
                self.tally.gaps += 1;
                self.at(at, Event::Listed(entry, engine, blocks));
            }
            None => {
                let Some(Trust::Trusted { seq }) =
                    self.entries[entry].apply_cache_events(&name, &[])
                else {
                    return;
                };
                let after = usize::try_from(seq).expect("an event count fits");
                let log = &self.engines[engine].cache.log;
                let mut events = log.get(after..).unwrap_or_default().to_vec();
                if self.net.random_bool(GAP) {
                    events.drain(..events.len() / 2);
                }
                let at = self.later();
                self.at(at, Event::Polled(entry, engine, events));
            }
        }
    }

    fn arrive(&mut self, script: usize, turn: usize, mut text: Vec<u64>) {
        let source = &self.load.scripts[script];
        let request = self.requests.len();
        let seed = 1_000_000 + request as u64 * 2;
        // The content is a function of caller and turn, so that every policy sees the same.
        let seed = seed.max((script as u64 + 1) << 24 | (turn as u64) << 1);
        extend(&mut text, seed, source.add);
        let prompt = text.len();
        extend(&mut text, seed + 1, whole_blocks(source.output));
        self.requests.push(Request {
            script,
            turn,
            kind: source.kind,
            entry: self.net.random_range(0..ENTRIES),
            text,
            prompt,
            output: source.output,
            arrived: self.now,
            due: self.now + source.due,
            generated: 0,
            first: None,
            moved: false,
            done: false,
        });
        self.dispatch(request);
    }

    /// Sends a request where its entry's policy says.
    fn dispatch(&mut self, request: usize) {
        let one = &self.requests[request];
        let entry = one.entry;
        let mut query = Query {
            service: service(),
            model: Some(model()),
            blocks: one.so_far().to_vec(),
            prompt_tokens: tokens(one.prompt) + one.generated,
            output_tokens: expected(one.kind),
            priority: one.kind.priority(),
            deadline: Some(Millis(one.due / 1000)),
            exclude: Vec::new(),
            place: None,
        };
        loop {
            let now = self.millis();
            match self.entries[entry].choose(&query, now, &mut self.rng) {
                Err(_) => return self.at(self.now + SECOND / 5, Event::Retry(request)),
                Ok(choice) => {
                    let to = self.names[choice.endpoint()];
                    if !self.engines[to].leaving {
                        return self.place(request, to, choice.cached_tokens());
                    }
                    // An engine under notice refuses to start anything.
                    query.exclude.push(choice.best.endpoint);
                }
            }
        }
    }

    fn place(&mut self, request: usize, to: usize, cached: u64) {
        self.next += 1;
        let (attempt, now, one) = (self.next, self.millis(), &self.requests[request]);
        let work = Dispatch {
            attempt: id(attempt),
            blocks: one.so_far().to_vec(),
            prompt_tokens: tokens(one.prompt) + one.generated,
            cached_tokens: cached,
            priority: one.kind.priority(),
        };
        let engine = &mut self.engines[to];
        self.entries[one.entry].record_sent(&engine.name, &work, now);
        engine.waiting.push(Job {
            attempt,
            request,
            priority: one.kind.priority(),
            rest: one.generated % BLOCK_TOKENS as u64,
            text: work.blocks,
            done: None,
            generated: one.generated,
            since: None,
        });
        self.kick(to);
    }

    fn kick(&mut self, engine: usize) {
        self.engines[engine].admit();
        if let Some(time) = self.engines[engine].chunk() {
            self.at(self.now + time, Event::Chunk(engine, time));
        }
    }

    /// A prefill chunk has ended.
    fn chunk(&mut self, index: usize, spent: Micros) {
        let engine = &mut self.engines[index];
        self.tally.cost += engine.machine.price * real(spent) / real(3600 * SECOND);
        let Some((attempt, blocks)) = engine.serving.take() else {
            return;
        };
        if let Some(job) = engine.running.iter_mut().find(|job| job.attempt == attempt) {
            let from = job.done.expect("set when the chunk began");
            let done = from + blocks;
            job.done = Some(done);
            engine.cache.add(&job.text[from..done]);
            let mut again = 0;
            for block in &job.text[from..done] {
                again += u64::from(!self.seen.insert(*block)) * BLOCK_TOKENS as u64;
            }
            let mut all = tokens(blocks);
            let request = &mut self.requests[job.request];
            if done == job.text.len() {
                engine.cache.add(&job.text);
                // The rest was generated before the request moved here.
                again += job.rest;
                all += job.rest;
                job.since = Some(self.now);
                let kind = request.kind;
                let arrived = request.arrived;
                if request.first.is_none() {
                    request.first = Some(self.now);
                    self.tally.first(kind, self.now - arrived);
                }
                let left = (request.output - job.generated) * engine.machine.step;
                self.next += 1;
                self.events
                    .insert((self.now + left, self.next), Event::Finish(index, attempt));
            }
            self.tally.prefilled += all;
            self.tally.recomputed += again;
            if request.moved {
                self.tally.resumed += again;
            }
        }
        if !self.engines[index].stopped {
            self.kick(index);
        }
    }

    fn finish(&mut self, index: usize, attempt: u64) {
        let now = self.millis();
        let engine = &mut self.engines[index];
        let Some(job) = engine.take(attempt) else {
            return;
        };
        let request = &mut self.requests[job.request];
        request.done = true;
        request.generated = request.output;
        engine.cache.add(&request.text);
        self.seen.extend(&request.text[request.prompt..]);
        let since = job.since.expect("a finished job has streamed");
        let share = real(self.now - since) / real(engine.machine.slots as u64);
        self.tally.cost += engine.machine.price * share / real(3600 * SECOND);
        self.tally.misses += u64::from(self.now > request.due);
        let entry = &mut self.entries[request.entry];
        entry.record_finished(&engine.name, id(attempt), Finish::Ran, now);
        let noise = self.net.random_range(0.9..1.1);
        let rates = Rates {
            prefill: engine.machine.prefill * noise,
            decode: real(SECOND) / real(engine.machine.step) * noise,
            run_ms: 0.0,
        };
        entry.record_rates(&engine.name, &rates, now);
        let (script, turn) = (request.script, request.turn + 1);
        let source = &self.load.scripts[script];
        if turn < source.turns {
            let text = request.text.clone();
            let arrive = Event::Arrive { script, turn, text };
            self.at(self.now + source.think, arrive);
        } else {
            self.open -= 1;
        }
        self.kick(index);
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

/// Returns the tokens that an entry expects of an answer: the mean of its kind.
fn expected(kind: Kind) -> u64 {
    match kind {
        Kind::Review => 850,
        Kind::Check => 60,
        Kind::Chat => 140,
    }
}
