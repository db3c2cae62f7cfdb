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
pub enum Step {
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
pub struct Running {
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
    pub rest: Option<Millis>,
    /// Whether it generates; else it waits or is in prefill.
    pub streams: bool,
    /// Leading tokens of its text that other endpoints cache.
    pub cached: Vec<(EndpointName, u64)>,
    /// How far its move has come.
    pub step: Step,
}

/// An endpoint that can take requests over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its place.
    pub place: Place,
    /// Models that it serves.
    pub models: Vec<Model>,
    /// Requests that it has room for.
    pub free: u64,
    /// True when it is leaving itself; it then takes nothing.
    pub leaving: bool,
}

/// Time and bandwidth of a reclaim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReclaimOptions {
    /// Time until the endpoint stops.
    pub left: Millis,
    /// Transfer out of one endpoint, bytes a second.
    pub bandwidth: f64,
    /// Time before the stop by which every transfer has ended.
    pub margin: Millis,
    /// Time of one transfer beside its bytes: the two calls.
    pub call: Millis,
}

impl Default for ReclaimOptions {
    fn default() -> Self {
        Self {
            left: Millis(30_000),
            bandwidth: 1.25e9,
            margin: Millis(1000),
            call: Millis(5),
        }
    }
}

/// What to do with a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
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
    "attempt={attempt} from={from} to={} how={how} saved={saved} prefill={prefill} \
     transfer_ms={transfer:.1} rate={rate:.0} \
     starts_ms={starts:.1} ends_ms={ends:.1}",
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
    pub how: How,
    /// Tokens that the transfer saves.
    pub saved: u64,
    /// Tokens to prefill at the target.
    pub prefill: u64,
    /// Time of the transfer, milliseconds.
    pub transfer: f64,
    /// Tokens saved per second of transfer.
    pub rate: f64,
    /// When to begin, milliseconds from now.
    pub starts: f64,
    /// When the transfer ends, milliseconds from now.
    pub ends: f64,
}

impl Move {
    fn stay(request: &Running) -> Self {
        Self {
            attempt: request.attempt,
            from: request.endpoint.clone(),
            to: None,
            how: How::Stay,
            saved: request.tokens,
            prefill: 0,
            transfer: 0.0,
            rate: 0.0,
            starts: 0.0,
            ends: 0.0,
        }
    }
}

/// Orders the steps that are left to save `running`. A request that was to stay and still runs
/// when little time is left is moved by ranking again.
#[must_use]
pub fn rank_reclaim(
    running: &[Running],
    options: &ReclaimOptions,
    targets: &[Target],
) -> Vec<Move> {
    let mut plan = Plan::new(options, targets);
    let mut moves = Vec::with_capacity(running.len());
    let mut rest = Vec::new();
    let mut waiting = Vec::new();
    let limit = options.left.since(options.margin);
    for request in running {
        match &request.step {
            Step::Moved => {}
            Step::Waiting if request.rest.is_some_and(|rest| rest.0 <= limit) => {
                moves.push(Move::stay(request));
            }
            Step::Waiting => waiting.push((plan.rate(request), request)),
            Step::Exported { handle, to } => match plan.import(request, handle, to) {
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

fn urgency(request: &Running) -> (Millis, Priority, AttemptId) {
    (
        request.deadline.unwrap_or(Millis(u64::MAX)),
        request.priority,
        request.attempt,
    )
}

struct Plan<'a> {
    options: &'a ReclaimOptions,
    targets: Vec<(&'a Target, i64)>,
    /// End of the last transfer out of each endpoint, milliseconds from now.
    clocks: HashMap<&'a EndpointName, f64>,
}

impl<'a> Plan<'a> {
    fn new(options: &'a ReclaimOptions, targets: &'a [Target]) -> Self {
        let room = |target: &Target| i64::try_from(target.free).unwrap_or(i64::MAX);
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

    fn time(&self, request: &Running) -> f64 {
        let bytes = real(request.bytes) / self.options.bandwidth.max(1.0) * 1000.0;
        bytes + real(self.options.call.0)
    }

    /// Returns the most tokens of the request that a target caches.
    fn cached(&self, request: &Running) -> u64 {
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

    fn rate(&self, request: &Running) -> f64 {
        real(request.tokens - self.cached(request)) / (self.time(request) / 1000.0).max(1e-6)
    }

    /// Reserves the transfer if it ends in time; returns when it ends.
    fn reserve(&mut self, request: &'a Running) -> Option<f64> {
        let ends = self.clocks.get(&request.endpoint).unwrap_or(&0.0) + self.time(request);
        (ends <= self.limit()).then(|| {
            self.clocks.insert(&request.endpoint, ends);
            ends
        })
    }

    fn import(&mut self, request: &'a Running, handle: &str, to: &EndpointName) -> Option<Move> {
        let open = |target: &Target| target.endpoint == *to && serves(target, request);
        let index = self.targets.iter().position(|(target, _)| open(target));
        let index = index.or_else(|| self.roomiest(request))?;
        let rate = self.rate(request);
        let ends = self.reserve(request)?;
        let how = How::Import {
            handle: handle.to_owned(),
        };
        Some(self.transfer(request, index, how, rate, ends))
    }

    fn export(&mut self, request: &'a Running, rate: f64) -> Option<Move> {
        let index = self.roomiest(request)?;
        if rate <= 0.0 {
            return None;
        }
        let ends = self.reserve(request)?;
        Some(self.transfer(request, index, How::Export, rate, ends))
    }

    fn transfer(
        &mut self,
        request: &Running,
        index: usize,
        how: How,
        rate: f64,
        ends: f64,
    ) -> Move {
        self.targets[index].1 -= 1;
        Move {
            attempt: request.attempt,
            from: request.endpoint.clone(),
            to: Some(self.targets[index].0.endpoint.clone()),
            how,
            saved: request.tokens - self.cached(request),
            prefill: 0,
            transfer: self.time(request),
            rate,
            starts: ends - self.time(request),
            ends,
        }
    }

    fn resume(&mut self, request: &Running) -> Move {
        let held = |target: &Target| {
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
            how: How::Resume,
            saved: 0,
            prefill: request.tokens - cached,
            transfer: 0.0,
            rate: 0.0,
            // A stream goes on meanwhile, loses nothing, and perhaps ends; a prefill would be
            // repeated in full.
            starts: if request.streams { self.limit() } else { 0.0 },
            ends: 0.0,
        }
    }

    /// Returns the time before the margin, milliseconds.
    fn limit(&self) -> f64 {
        real(self.options.left.since(self.options.margin))
    }

    /// Returns the target with most room.
    fn roomiest(&self, request: &Running) -> Option<usize> {
        (0..self.targets.len())
            .filter(|index| serves(self.targets[*index].0, request))
            .max_by_key(|index| (self.targets[*index].1, std::cmp::Reverse(*index)))
    }
}

fn serves(target: &Target, request: &Running) -> bool {
    target.models.contains(&request.model) && target.endpoint != request.endpoint
}
