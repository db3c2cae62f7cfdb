//! Order of the steps that save running requests from endpoints under notice.
//!
//! Requests that end in time by themselves stay. Those whose KV cache saves most tokens per second of transfer are exported first, as long
//! as they fit before the notice runs out. The rest resume by re-prefill, the most urgent deadline
//! first, each where most of its text is cached: streams as late as the margin allows, the others
//! at once. The ranking is a function of its arguments alone
//! and takes what is done into account, so a node that takes over midway gets the steps left.

use std::collections::HashMap;

use cumin_types::{AttemptId, EndpointName, Millis, Model, Place, Priority};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::view::real;

/// How far the move of a request has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveProgress {
    /// Nothing is done.
    #[default]
    Waiting,
    /// The endpoint has named its KV cache; it is still to be imported.
    Exported {
        /// The handle that the endpoint gave.
        handle: String,
        /// Where it is to go.
        to: EndpointName,
    },
    /// It runs elsewhere or has ended.
    Moved,
}

/// A request that runs at an endpoint under notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Its attempt.
    pub attempt: AttemptId,
    /// The endpoint under notice.
    pub endpoint: EndpointName,
    /// The model that it runs.
    pub model: Model,
    /// Tokens in its KV cache: prompt and answer so far.
    pub tokens: u64,
    /// Size of its KV cache, bytes.
    pub bytes: u64,
    /// Urgency.
    pub priority: Priority,
    /// When the whole answer is due.
    pub deadline: Option<Millis>,
    /// Time until it ends where it is, if its answer takes all the tokens allowed; none where
    /// that is not known.
    #[serde(rename = "rest")]
    pub remaining: Option<Millis>,
    /// Whether it generates; else it waits or is in prefill.
    #[serde(rename = "streams")]
    pub generating: bool,
    /// Leading tokens of its text that other endpoints cache.
    pub cached: Vec<(EndpointName, u64)>,
    /// How far its move has come.
    #[serde(rename = "step")]
    pub progress: MoveProgress,
}

/// An endpoint that can take requests over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveTarget {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its place.
    pub place: Place,
    /// Models that it serves.
    pub models: Vec<Model>,
    /// Requests that it has room for.
    #[serde(rename = "free")]
    pub free_slots: u64,
    /// True when it is leaving itself; it then takes nothing.
    pub leaving: bool,
}

/// Time and bandwidth of a reclaim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReclaimOptions {
    /// Time until the endpoint stops.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// Transfer out of one endpoint, bytes a second.
    pub bandwidth: f64,
    /// Time before the stop by which every transfer has ended.
    pub margin: Millis,
    /// Time of one transfer beside its bytes: the two calls.
    #[serde(rename = "call")]
    pub call_time: Millis,
}

impl Default for ReclaimOptions {
    fn default() -> Self {
        Self {
            time_left: Millis(30_000),
            bandwidth: 1.25e9,
            margin: Millis(1000),
            call_time: Millis(5),
        }
    }
}

/// What to do with a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveMethod {
    /// Leave it: it ends before the notice runs out.
    #[display("stay")]
    Stay,
    /// Export its KV cache, import it at the target, resume there.
    #[display("export")]
    Export,
    /// Import the cache that is exported already, resume there.
    #[display("import handle={handle}")]
    Import {
        /// The handle of the export.
        handle: String,
    },
    /// Resume by prefill of its text.
    #[display("resume")]
    Resume,
}

/// One step of a reclaim.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display(
    "attempt={attempt} from={from} to={} how={how} saved={saved_tokens} prefill={prefill_tokens} \
     transfer_ms={transfer_ms:.1} rate={rate:.0} \
     starts_ms={starts_ms:.1} ends_ms={ends_ms:.1}",
    to.as_ref().map_or("none", |to| to.as_str())
)]
pub struct Move {
    /// The request's attempt.
    pub attempt: AttemptId,
    /// The endpoint under notice.
    pub from: EndpointName,
    /// The endpoint that takes it over; none when it stays or no target serves its model.
    pub to: Option<EndpointName>,
    /// What to do.
    pub how: MoveMethod,
    /// Tokens that the transfer saves.
    #[serde(rename = "saved")]
    pub saved_tokens: u64,
    /// Tokens to prefill at the target.
    #[serde(rename = "prefill")]
    pub prefill_tokens: u64,
    /// Time of the transfer, milliseconds.
    #[serde(rename = "transfer")]
    pub transfer_ms: f64,
    /// Tokens saved per second of transfer.
    pub rate: f64,
    /// When to begin, milliseconds from now.
    #[serde(rename = "starts")]
    pub starts_ms: f64,
    /// When the transfer ends, milliseconds from now.
    #[serde(rename = "ends")]
    pub ends_ms: f64,
}

impl Move {
    fn stay(request: &RunningRequest) -> Self {
        Self {
            attempt: request.attempt,
            from: request.endpoint.clone(),
            to: None,
            how: MoveMethod::Stay,
            saved_tokens: request.tokens,
            prefill_tokens: 0,
            transfer_ms: 0.0,
            rate: 0.0,
            starts_ms: 0.0,
            ends_ms: 0.0,
        }
    }
}

/// Orders the steps that are left to save `running`. A request that was to stay and still runs
/// when little time is left is moved by ranking again.
#[must_use]
pub fn rank_reclaim(
    running: &[RunningRequest],
    options: &ReclaimOptions,
    targets: &[MoveTarget],
) -> Vec<Move> {
    let mut plan = Plan::new(options, targets);
    let mut moves = Vec::with_capacity(running.len());
    let mut rest = Vec::new();
    let mut waiting = Vec::new();
    let limit = options.time_left.since(options.margin);
    for request in running {
        match &request.progress {
            MoveProgress::Moved => {}
            MoveProgress::Waiting if request.remaining.is_some_and(|rest| rest.0 <= limit) => {
                moves.push(Move::stay(request));
            }
            MoveProgress::Waiting => waiting.push((plan.rate(request), request)),
            MoveProgress::Exported { handle, to } => match plan.import(request, handle, to) {
                Some(step) => moves.push(step),
                None => rest.push(request),
            },
        }
    }
    waiting.sort_by(|(a, left), (b, right)| {
        b.total_cmp(a)
            .then_with(|| urgency(left).cmp(&urgency(right)))
    });
    for (rate, request) in waiting {
        match plan.export(request, rate) {
            Some(step) => moves.push(step),
            None => rest.push(request),
        }
    }
    rest.sort_by_key(|request| urgency(request));
    moves.extend(rest.into_iter().map(|request| plan.resume(request)));
    moves
}

fn urgency(request: &RunningRequest) -> (Millis, Priority, AttemptId) {
    (
        request.deadline.unwrap_or(Millis(u64::MAX)),
        request.priority,
        request.attempt,
    )
}

struct Plan<'a> {
    options: &'a ReclaimOptions,
    targets: Vec<(&'a MoveTarget, i64)>,
    /// End of the last transfer out of each endpoint, milliseconds from now.
    clocks: HashMap<&'a EndpointName, f64>,
}

impl<'a> Plan<'a> {
    fn new(options: &'a ReclaimOptions, targets: &'a [MoveTarget]) -> Self {
        let room = |target: &MoveTarget| i64::try_from(target.free_slots).unwrap_or(i64::MAX);
        let mut targets: Vec<_> = targets
            .iter()
            .filter(|target| !target.leaving)
            .map(|target| (target, room(target)))
            .collect();
        targets.sort_by(|(a, _), (b, _)| a.endpoint.cmp(&b.endpoint));
        Self {
            options,
            targets,
            clocks: HashMap::new(),
        }
    }

    fn time(&self, request: &RunningRequest) -> f64 {
        let bytes = real(request.bytes) / self.options.bandwidth.max(1.0) * 1000.0;
        bytes + real(self.options.call_time.0)
    }

    /// Returns the most tokens of the request that a target caches.
    fn cached(&self, request: &RunningRequest) -> u64 {
        let usable = |name: &EndpointName| {
            self.targets
                .iter()
                .any(|(target, _)| target.endpoint == *name && serves(target, request))
        };
        let known = request.cached.iter().filter(|(name, _)| usable(name));
        known
            .map(|(_, tokens)| (*tokens).min(request.tokens))
            .max()
            .unwrap_or(0)
    }

    fn rate(&self, request: &RunningRequest) -> f64 {
        real(request.tokens - self.cached(request)) / (self.time(request) / 1000.0).max(1e-6)
    }

    /// Reserves the transfer if it ends in time; returns when it ends.
    fn reserve(&mut self, request: &'a RunningRequest) -> Option<f64> {
        let ends = self.clocks.get(&request.endpoint).unwrap_or(&0.0) + self.time(request);
        (ends <= self.limit()).then(|| {
            self.clocks.insert(&request.endpoint, ends);
            ends
        })
    }

    fn import(
        &mut self,
        request: &'a RunningRequest,
        handle: &str,
        to: &EndpointName,
    ) -> Option<Move> {
        let open = |target: &MoveTarget| target.endpoint == *to && serves(target, request);
        let index = self.targets.iter().position(|(target, _)| open(target));
        let index = index.or_else(|| self.roomiest(request))?;
        let rate = self.rate(request);
        let ends = self.reserve(request)?;
        let how = MoveMethod::Import {
            handle: handle.to_owned(),
        };
        Some(self.transfer(request, index, how, rate, ends))
    }

    fn export(&mut self, request: &'a RunningRequest, rate: f64) -> Option<Move> {
        let index = self.roomiest(request)?;
        if rate <= 0.0 {
            return None;
        }
        let ends = self.reserve(request)?;
        Some(self.transfer(request, index, MoveMethod::Export, rate, ends))
    }

    fn transfer(
        &mut self,
        request: &RunningRequest,
        index: usize,
        how: MoveMethod,
        rate: f64,
        ends: f64,
    ) -> Move {
        self.targets[index].1 -= 1;
        Move {
            attempt: request.attempt,
            from: request.endpoint.clone(),
            to: Some(self.targets[index].0.endpoint.clone()),
            how,
            saved_tokens: request.tokens - self.cached(request),
            prefill_tokens: 0,
            transfer_ms: self.time(request),
            rate,
            starts_ms: ends - self.time(request),
            ends_ms: ends,
        }
    }

    fn resume(&mut self, request: &RunningRequest) -> Move {
        let held = |target: &MoveTarget| {
            let known = request.cached.iter();
            known
                .filter(|(name, _)| *name == target.endpoint)
                .map(|(_, tokens)| (*tokens).min(request.tokens))
                .max()
                .unwrap_or(0)
        };
        let best = (0..self.targets.len())
            .filter(|index| serves(self.targets[*index].0, request))
            .max_by_key(|index| {
                let (target, free) = self.targets[*index];
                (free > 0, held(target), free, std::cmp::Reverse(*index))
            });
        let cached = best.map_or(0, |index| held(self.targets[index].0));
        if let Some(index) = best {
            self.targets[index].1 -= 1;
        }
        Move {
            attempt: request.attempt,
            from: request.endpoint.clone(),
            to: best.map(|index| self.targets[index].0.endpoint.clone()),
            how: MoveMethod::Resume,
            saved_tokens: 0,
            prefill_tokens: request.tokens - cached,
            transfer_ms: 0.0,
            rate: 0.0,
            // A stream goes on meanwhile, loses nothing, and perhaps ends; a prefill would be
            // repeated in full.
            starts_ms: if request.generating {
                self.limit()
            } else {
                0.0
            },
            ends_ms: 0.0,
        }
    }

    /// Returns the time before the margin, milliseconds.
    fn limit(&self) -> f64 {
        real(self.options.time_left.since(self.options.margin))
    }

    /// Returns the target with most room.
    fn roomiest(&self, request: &RunningRequest) -> Option<usize> {
        (0..self.targets.len())
            .filter(|index| serves(self.targets[*index].0, request))
            .max_by_key(|index| (self.targets[*index].1, std::cmp::Reverse(*index)))
    }
}

fn serves(target: &MoveTarget, request: &RunningRequest) -> bool {
    target.models.contains(&request.model) && target.endpoint != request.endpoint
}
