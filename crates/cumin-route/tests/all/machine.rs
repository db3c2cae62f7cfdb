//! Random histories of a router compared with a reference model.

use std::collections::{BTreeMap, BTreeSet};

use cumin_route::{Dispatch, EndpointInfo, Finish, Query, Router, RouterOptions, Trust};
use cumin_types::{AttemptId, EndpointName, Millis, Priority};
use cumin_wire::engine::{BLOCK_TOKENS, CacheChange, CacheEvent, CacheList, Load};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use crate::setup::{document, endpoint, query, rng};

const NAMES: usize = 5;
const DOCS: u64 = 2;
const DEPTH: usize = 6;

/// The cache of an engine and the events that it has published.
#[derive(Clone, Debug, Default)]
struct Engine {
    log: Vec<CacheEvent>,
    depth: BTreeMap<u64, usize>,
}

impl Engine {
    fn push(&mut self, change: CacheChange) {
        let seq = self.log.len() as u64 + 1;
        self.log.push(CacheEvent { seq, change });
    }

    fn list(&self) -> CacheList {
        CacheList {
            seq: self.log.len() as u64,
            blocks: self
                .depth
                .iter()
                .flat_map(|(doc, depth)| document(*doc, *depth))
                .collect(),
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    models: bool,
    trusted: bool,
    seq: u64,
    blocks: BTreeSet<u64>,
    /// Attempts by number: the document, and the blocks indexed only because of the attempt.
    own: BTreeMap<u128, (u64, Vec<u64>)>,
}

#[derive(Clone, Debug, Default)]
struct State {
    known: BTreeMap<usize, Known>,
    engines: BTreeMap<usize, Engine>,
    left: BTreeSet<usize>,
    next: u128,
}

impl State {
    fn eligible(&self, exclude: &[usize]) -> BTreeSet<usize> {
        let open = |(id, known): (&usize, &Known)| {
            (known.models && !self.left.contains(id) && !exclude.contains(id)).then_some(*id)
        };
        self.known.iter().filter_map(open).collect()
    }

    fn events(&self, id: usize, skip: bool) -> Vec<CacheEvent> {
        let seq = self.known.get(&id).map_or(0, |known| known.seq);
        let seq = usize::try_from(seq).unwrap();
        let log = self.engines.get(&id).map_or(&[][..], |engine| &engine.log);
        let start = seq + usize::from(skip);
        log.get(start..).unwrap_or_default().to_vec()
    }

    /// Returns the least and the most tokens of a document that the router may count as cached;
    /// they differ when blocks in the middle are missing.
    fn cached(&self, id: usize, doc: u64) -> (u64, u64) {
        let known = &self.known[&id];
        let blocks = document(doc, DEPTH);
        if !known.trusted || !known.blocks.contains(&blocks[0]) {
            return (0, 0);
        }
        let has = |block: &u64| known.blocks.contains(block);
        let least = blocks.iter().take_while(|block| has(block)).count();
        let most = blocks.iter().rposition(has).unwrap() + 1;
        ((least * BLOCK_TOKENS) as u64, (most * BLOCK_TOKENS) as u64)
    }
}

#[derive(Clone, Debug)]
enum Transition {
    Upsert(usize, bool),
    Remove(usize),
    Leaving(usize),
    Report(usize, u64),
    Send(usize, u64),
    Finish(usize, usize, bool),
    Grow(usize, u64),
    Shrink(usize, u64),
    Events(usize, bool),
    List(usize),
    Choose(u64, Vec<usize>),
}

impl Transition {
    fn target_id(&self) -> Option<usize> {
        match self {
            Self::Upsert(..) | Self::Leaving(_) | Self::Choose(..) => None,
            Self::Remove(id)
            | Self::Report(id, _)
            | Self::Send(id, _)
            | Self::Finish(id, ..)
            | Self::Grow(id, _)
            | Self::Shrink(id, _)
            | Self::Events(id, _)
            | Self::List(id) => Some(*id),
        }
    }
}

struct RouterModel;

impl ReferenceStateMachine for RouterModel {
    type State = State;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<State> {
        Just(State::default()).boxed()
    }

    fn transitions(_: &State) -> BoxedStrategy<Transition> {
        let id = 0..NAMES;
        let doc = 0..DOCS;
        prop_oneof![
            3 => (id.clone(), prop::bool::weighted(0.8)).prop_map(|(a, b)| Transition::Upsert(a, b)),
            1 => id.clone().prop_map(Transition::Remove),
            1 => id.clone().prop_map(Transition::Leaving),
            2 => (id.clone(), 0..20_000u64).prop_map(|(a, b)| Transition::Report(a, b)),
            4 => (id.clone(), doc.clone()).prop_map(|(a, b)| Transition::Send(a, b)),
            4 => (id.clone(), 0..8usize, any::<bool>())
                .prop_map(|(a, b, c)| Transition::Finish(a, b, c)),
            4 => (id.clone(), doc.clone()).prop_map(|(a, b)| Transition::Grow(a, b)),
            2 => (id.clone(), doc.clone()).prop_map(|(a, b)| Transition::Shrink(a, b)),
            4 => (id.clone(), prop::bool::weighted(0.4)).prop_map(|(a, b)| Transition::Events(a, b)),
            2 => id.clone().prop_map(Transition::List),
            6 => (doc, prop::collection::vec(id, 0..3)).prop_map(|(a, b)| Transition::Choose(a, b)),
        ]
        .boxed()
    }

    fn apply(mut state: State, step: &Transition) -> State {
        // A message about an unknown endpoint has no effect.
        if step
            .target_id()
            .is_some_and(|id| !state.known.contains_key(&id))
        {
            return state;
        }
        match step {
            Transition::Upsert(id, models) => {
                let fresh = Known {
                    models: *models,
                    trusted: true,
                    seq: 0,
                    blocks: BTreeSet::new(),
                    own: BTreeMap::new(),
                };
                state.known.entry(*id).or_insert(fresh).models = *models;
            }
            Transition::Remove(id) => {
                state.known.remove(id);
            }
            Transition::Leaving(id) => {
                state.left.insert(*id);
            }
            Transition::Report(..) | Transition::Choose(..) => {}
            Transition::Send(id, doc) => {
                let (number, known) = (state.next, state.known.get_mut(id).unwrap());
                let mut fresh = document(*doc, DEPTH);
                fresh.retain(|block| known.blocks.insert(*block));
                known.own.insert(number, (*doc, fresh));
                state.next += 1;
            }
            Transition::Finish(id, nth, ran) => {
                let known = state.known.get_mut(id).unwrap();
                if let Some(number) = known.own.keys().nth(*nth).copied() {
                    let (_, fresh) = known.own.remove(&number).unwrap();
                    if !ran {
                        known.blocks.retain(|block| !fresh.contains(block));
                    }
                }
            }
            Transition::Grow(id, doc) => {
                let engine = state.engines.entry(*id).or_default();
                let depth = engine.depth.entry(*doc).or_default();
                let end = DEPTH.min(*depth + 2);
                while *depth < end {
                    *depth += 1;
                    let block = document(*doc, *depth)[*depth - 1];
                    let seq = engine.log.len() as u64 + 1;
                    let change = CacheChange::Added(block);
                    engine.log.push(CacheEvent { seq, change });
                }
            }
            Transition::Shrink(id, doc) => {
                let engine = state.engines.entry(*id).or_default();
                let depth = engine.depth.entry(*doc).or_default();
                if *depth > 0 {
                    let block = document(*doc, *depth)[*depth - 1];
                    *depth -= 1;
                    engine.push(CacheChange::Removed(block));
                }
            }
            Transition::Events(id, skip) => {
                let events = state.events(*id, *skip);
                let known = state.known.get_mut(id).unwrap();
                for event in events {
                    if !known.trusted || event.seq != known.seq + 1 {
                        known.trusted = false;
                        break;
                    }
                    known.seq = event.seq;
                    match event.change {
                        CacheChange::Added(block) => known.blocks.insert(block),
                        CacheChange::Removed(block) => known.blocks.remove(&block),
                    };
                }
            }
            Transition::List(id) => {
                let list = state.engines.get(id).map(Engine::list).unwrap_or_default();
                let known = state.known.get_mut(id).unwrap();
                known.trusted = true;
                known.seq = list.seq;
                known.blocks = list.blocks.into_iter().collect();
                for (_, fresh) in known.own.values() {
                    known.blocks.extend(fresh);
                }
            }
        }
        state
    }
}

struct RouterTest {
    router: Router,
    rng: ChaCha8Rng,
    now: Millis,
    seq: u64,
    /// State of the reference model before the next transition.
    before: State,
}

fn name(id: usize) -> EndpointName {
    format!("e{id}").into()
}

fn attempt(number: u128) -> AttemptId {
    AttemptId(Uuid::from_u128(number))
}

impl RouterTest {
    fn choose(&mut self, state: &State, doc: u64, exclude: &[usize]) {
        let query = Query {
            exclude: exclude.iter().map(|id| name(*id)).collect(),
            ..query(document(doc, DEPTH))
        };
        let eligible = state.eligible(exclude);
        match self.router.choose(&query, self.now, &mut self.rng) {
            Err(error) => {
                assert!(
                    eligible.is_empty(),
                    "{eligible:?} are eligible, but: {error}"
                );
                assert_eq!(error.known, state.known.len());
            }
            Ok(choice) => {
                assert_eq!(choice.eligible, eligible.len());
                for scored in std::iter::once(&choice.best).chain(&choice.others) {
                    let id = scored.endpoint.as_str()[1..].parse().unwrap();
                    assert!(
                        eligible.contains(&id),
                        "{id} is not one of the eligible {eligible:?}"
                    );
                    let (least, most) = state.cached(id, doc);
                    assert!((least..=most).contains(&scored.cached_tokens), "{scored}");
                }
            }
        }
    }
}

impl StateMachineTest for RouterTest {
    type SystemUnderTest = Self;
    type Reference = RouterModel;

    fn init_test(state: &State) -> Self {
        Self {
            // With a bound of 3, both complete and bounded sets of candidates occur.
            router: Router::new(RouterOptions {
                candidates: 3,
                ..RouterOptions::default()
            }),
            rng: rng(),
            now: Millis(1000),
            seq: 0,
            before: state.clone(),
        }
    }

    fn apply(mut sut: Self, state: &State, step: Transition) -> Self {
        sut.now = sut.now.plus(10);
        let (router, now) = (&mut sut.router, sut.now);
        match step {
            Transition::Upsert(id, models) => router.upsert(EndpointInfo {
                models: vec![if models { "referee" } else { "other" }.into()],
                ..endpoint(&format!("e{id}"))
            }),
            Transition::Remove(id) => router.remove(&name(id)),
            Transition::Leaving(id) => router.mark_leaving(&name(id), now),
            Transition::Report(id, backlog) => {
                sut.seq += 1;
                let load = Load {
                    seq: sut.seq,
                    backlog_tokens: backlog,
                    running: backlog % 9,
                    slots: 8,
                    ..Load::default()
                };
                router.record_load(&name(id), &load, now);
            }
            Transition::Send(id, doc) => {
                let dispatch = Dispatch {
                    attempt: attempt(sut.before.next),
                    blocks: document(doc, DEPTH),
                    prompt_tokens: 100,
                    cached_tokens: 0,
                    priority: Priority::Normal,
                };
                router.record_sent(&name(id), &dispatch, now);
            }
            Transition::Finish(id, nth, ran) => {
                let own = sut.before.known.get(&id).map(|known| &known.own);
                if let Some(number) = own.and_then(|own| own.keys().nth(nth)) {
                    let finish = if ran { Finish::Ran } else { Finish::NotStarted };
                    router.record_finished(&name(id), attempt(*number), finish, now);
                    router.record_finished(&name(id), attempt(*number), finish, now);
                }
            }
            Transition::Grow(..) | Transition::Shrink(..) => {}
            Transition::Events(id, skip) => {
                let events = sut.before.events(id, skip);
                router.apply_cache_events(&name(id), &events);
            }
            Transition::List(id) => {
                let list = state.engines.get(&id).map(Engine::list).unwrap_or_default();
                router.replace_cache(&name(id), &list);
            }
            Transition::Choose(doc, exclude) => sut.choose(state, doc, &exclude),
        }
        sut.before = state.clone();
        sut
    }

    fn check_invariants(sut: &Self, state: &State) {
        for id in 0..NAMES {
            let Some(known) = state.known.get(&id) else {
                assert_eq!(sut.router.own_load(&name(id)), None);
                continue;
            };
            let load = sut.router.own_load(&name(id)).unwrap();
            assert_eq!(load.requests, known.own.len() as u64);
            let trust = sut.router.trust(&name(id)).unwrap();
            assert_eq!(matches!(trust, Trust::Trusted { .. }), known.trusted);
        }
    }

    fn teardown(mut sut: Self, state: State) {
        for (id, known) in &state.known {
            for number in known.own.keys() {
                sut.router
                    .record_finished(&name(*id), attempt(*number), Finish::Ran, sut.now);
            }
            let load = sut.router.own_load(&name(*id)).unwrap();
            assert_eq!((load.requests, load.tokens), (0, 0));
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against choosing an endpoint that is leaving, removed, excluded or serves another
    /// model, failing while an endpoint is eligible, counting blocks of an untrusted index, and
    /// load that remains after its attempts have ended.
    #[test]
    fn random_histories(sequential 1..120 => RouterTest);
}
