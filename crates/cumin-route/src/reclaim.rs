//! Plans the moves of running requests away from endpoints under notice.
//!
//! Requests that end in time stay. Of the others, those whose KV cache saves most tokens per second
//! of transfer are exported first, as long as the transfers end before the notice does. The rest
//! resume by prefill, the most urgent deadline first, each at the endpoint that caches most of its
//! text: streams as late as the margin allows, the others at once. The plan depends only on its
//! arguments, which include the moves already made, so a node that takes over a reclaim continues
//! with the moves that remain.

use std::collections::HashMap;

use cumin_types::{AttemptId, EndpointName, Millis, Model, Place, Priority};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::view::to_f64;

/// Progress of the move of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveProgress {
    /// The move has not begun.
    #[default]
    Waiting,
    /// The endpoint has exported the KV cache under a handle; the import is outstanding.
    Exported {
        /// Handle of the export.
        handle: String,
        /// The endpoint that imports it.
        to: EndpointName,
    },
    /// The request runs elsewhere or has ended.
    Moved,
}

/// A request at an endpoint under notice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Current attempt of the request.
    pub attempt: AttemptId,
    /// The endpoint under notice.
    pub endpoint: EndpointName,
    /// The model that it runs.
    pub model: Model,
    /// Tokens in its KV cache: the prompt and the answer so far.
    pub tokens: u64,
    /// Size of its KV cache in bytes.
    pub bytes: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// When the whole answer is due.
    pub deadline: Option<Millis>,
    /// Time until it ends at its present endpoint if the answer takes all the tokens allowed; none
    /// when not known.
    #[serde(rename = "rest")]
    pub remaining: Option<Millis>,
    /// Whether it generates tokens; otherwise it waits or is in prefill.
    #[serde(rename = "streams")]
    pub generating: bool,
    /// Leading tokens of its text that other endpoints cache.
    pub cached: Vec<(EndpointName, u64)>,
    /// Progress of its move.
    #[serde(rename = "step")]
    pub progress: MoveProgress,
}

/// An endpoint that requests can be moved to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveTarget {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its place.
    pub place: Place,
    /// Models that it serves.
    pub models: Vec<Model>,
    /// Number of further requests that it can run at once.
    #[serde(rename = "free")]
    pub free_slots: u64,
    /// Whether it is leaving too, in which case nothing is moved to it.
    pub leaving: bool,
}

/// Settings of a reclaim.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReclaimOptions {
    /// Time until the endpoint stops.
    #[serde(rename = "left")]
    pub time_left: Millis,
    /// Transfer rate out of one endpoint, in bytes per second.
    pub bandwidth: f64,
    /// Time between the end of the last transfer and the stop of the endpoint.
    pub margin: Millis,
    /// Fixed time of a transfer, for the export and import calls.
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

/// How a request is handled in a reclaim.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveMethod {
    /// Leaves the request at its endpoint, since it ends before the notice does.
    #[display("stay")]
    Stay,
    /// Exports the KV cache, imports it at the target and resumes there.
    #[display("export")]
    Export,
    /// Imports a KV cache that is exported already and resumes at the target.
    #[display("import handle={handle}")]
    Import {
        /// Handle of the export.
        handle: String,
    },
    /// Resumes at the target by prefill of the text.
    #[display("resume")]
    Resume,
}

/// A planned move of a request in a reclaim.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display(
    "attempt={attempt} from={from} to={} how={how} saved={saved_tokens} prefill={prefill_tokens} \
     transfer_ms={transfer_ms:.1} rate={rate:.0} \
     starts_ms={starts_ms:.1} ends_ms={ends_ms:.1}",
    to.as_ref().map_or("none", |to| to.as_str())
)]
pub struct Move {
    /// Current attempt of the request.
    pub attempt: AttemptId,
    /// The endpoint under notice.
    pub from: EndpointName,
    /// The target endpoint; none when the request stays or no target serves its model.
    pub to: Option<EndpointName>,
    /// How the request is handled.
    pub how: MoveMethod,
    /// Tokens that need no prefill at the target because of the transfer.
    #[serde(rename = "saved")]
    pub saved_tokens: u64,
    /// Tokens to prefill at the target.
    #[serde(rename = "prefill")]
    pub prefill_tokens: u64,
    /// Duration of the transfer.
    #[serde(rename = "transfer")]
    pub transfer_ms: f64,
    /// Tokens saved per second of transfer.
    pub rate: f64,
    /// When the move begins, relative to now.
    #[serde(rename = "starts")]
    pub starts_ms: f64,
    /// When the transfer ends, relative to now.
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

/// Returns the remaining moves for `running`, in the order in which to make them. A request that
/// was left to end in time but still runs late in the notice is moved when this is called again.
#[must_use]
pub fn rank_reclaim(
    running: &[RunningRequest],
    options: &ReclaimOptions,
    targets: &[MoveTarget],
) -> Vec<Move> {
    let mut planner = Planner::new(options, targets);
    let mut moves = Vec::with_capacity(running.len());
    let mut to_resume = Vec::new();
    let mut to_export = Vec::new();
    let limit_ms = options.time_left.since(options.margin);
    for request in running {
        match &request.progress {
            MoveProgress::Moved => {}
            MoveProgress::Waiting
                if request
                    .remaining
                    .is_some_and(|remaining| remaining.0 <= limit_ms) =>
            {
                moves.push(Move::stay(request));
            }
            MoveProgress::Waiting => to_export.push((planner.saved_rate(request), request)),
            MoveProgress::Exported { handle, to } => match planner.import(request, handle, to) {
                Some(transfer) => moves.push(transfer),
                None => to_resume.push(request),
            },
        }
    }
    to_export.sort_by(|(a, first), (b, second)| {
        b.total_cmp(a)
            .then_with(|| urgency(first).cmp(&urgency(second)))
    });
    for (rate, request) in to_export {
        match planner.export(request, rate) {
            Some(transfer) => moves.push(transfer),
            None => to_resume.push(request),
        }
    }
    to_resume.sort_by_key(|request| urgency(request));
    moves.extend(to_resume.into_iter().map(|request| planner.resume(request)));
    moves
}

/// Returns the sort key of a request: earliest deadline first, then priority.
fn urgency(request: &RunningRequest) -> (Millis, Priority, AttemptId) {
    (
        request.deadline.unwrap_or(Millis(u64::MAX)),
        request.priority,
        request.attempt,
    )
}

/// Assigns requests to targets within the slots and the transfer time that are left.
struct Planner<'a> {
    options: &'a ReclaimOptions,
    /// Targets that are not leaving, each with its free slots; negative when overbooked.
    targets: Vec<(&'a MoveTarget, i64)>,
    /// End of the last transfer planned out of each endpoint, in milliseconds from now.
    transfer_ends: HashMap<&'a EndpointName, f64>,
}

impl<'a> Planner<'a> {
    fn new(options: &'a ReclaimOptions, targets: &'a [MoveTarget]) -> Self {
        let free_slots = |target: &MoveTarget| i64::try_from(target.free_slots).unwrap_or(i64::MAX);
        let mut targets: Vec<_> = targets
            .iter()
            .filter(|target| !target.leaving)
            .map(|target| (target, free_slots(target)))
            .collect();
        targets.sort_by(|(a, _), (b, _)| a.endpoint.cmp(&b.endpoint));
        Self {
            options,
            targets,
            transfer_ends: HashMap::new(),
        }
    }

    fn transfer_ms(&self, request: &RunningRequest) -> f64 {
        let copy_ms = to_f64(request.bytes) / self.options.bandwidth.max(1.0) * 1000.0;
        copy_ms + to_f64(self.options.call_time.0)
    }

    /// Returns the most tokens of the request that any usable target caches.
    fn most_cached(&self, request: &RunningRequest) -> u64 {
        let usable = |name: &EndpointName| {
            self.targets
                .iter()
                .any(|(target, _)| target.endpoint == *name && can_take(target, request))
        };
        let known = request.cached.iter().filter(|(name, _)| usable(name));
        known
            .map(|(_, tokens)| (*tokens).min(request.tokens))
            .max()
            .unwrap_or(0)
    }

    fn saved_rate(&self, request: &RunningRequest) -> f64 {
        to_f64(request.tokens - self.most_cached(request))
            / (self.transfer_ms(request) / 1000.0).max(1e-6)
    }

    /// Reserves the transfer if it ends in time, and returns its end in milliseconds from now.
    fn reserve(&mut self, request: &'a RunningRequest) -> Option<f64> {
        let ends =
            self.transfer_ends.get(&request.endpoint).unwrap_or(&0.0) + self.transfer_ms(request);
        (ends <= self.limit_ms()).then(|| {
            self.transfer_ends.insert(&request.endpoint, ends);
            ends
        })
    }

    fn import(
        &mut self,
        request: &'a RunningRequest,
        handle: &str,
        to: &EndpointName,
    ) -> Option<Move> {
        let can_import = |target: &MoveTarget| target.endpoint == *to && can_take(target, request);
        let index = self
            .targets
            .iter()
            .position(|(target, _)| can_import(target));
        let index = index.or_else(|| self.most_free(request))?;
        let rate = self.saved_rate(request);
        let ends = self.reserve(request)?;
        let how = MoveMethod::Import {
            handle: handle.to_owned(),
        };
        Some(self.transfer_to(request, index, how, rate, ends))
    }

    fn export(&mut self, request: &'a RunningRequest, rate: f64) -> Option<Move> {
        let index = self.most_free(request)?;
        if rate <= 0.0 {
            return None;
        }
        let ends = self.reserve(request)?;
        Some(self.transfer_to(request, index, MoveMethod::Export, rate, ends))
    }

    fn transfer_to(
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
            saved_tokens: request.tokens - self.most_cached(request),
            prefill_tokens: 0,
            transfer_ms: self.transfer_ms(request),
            rate,
            starts_ms: ends - self.transfer_ms(request),
            ends_ms: ends,
        }
    }

    fn resume(&mut self, request: &RunningRequest) -> Move {
        let cached_at = |target: &MoveTarget| {
            let known = request.cached.iter();
            known
                .filter(|(name, _)| *name == target.endpoint)
                .map(|(_, tokens)| (*tokens).min(request.tokens))
                .max()
                .unwrap_or(0)
        };
        let best = (0..self.targets.len())
            .filter(|index| can_take(self.targets[*index].0, request))
            .max_by_key(|index| {
                let (target, free) = self.targets[*index];
                (free > 0, cached_at(target), free, std::cmp::Reverse(*index))
            });
        let cached = best.map_or(0, |index| cached_at(self.targets[index].0));
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
            // Until the margin a stream continues without loss and may end. A prefill moves at
            // once, because all of it has to be repeated.
            starts_ms: if request.generating {
                self.limit_ms()
            } else {
                0.0
            },
            ends_ms: 0.0,
        }
    }

    /// Returns the time until the margin begins, in milliseconds from now.
    fn limit_ms(&self) -> f64 {
        to_f64(self.options.time_left.since(self.options.margin))
    }

    /// Returns the index of the target with most free slots.
    fn most_free(&self, request: &RunningRequest) -> Option<usize> {
        (0..self.targets.len())
            .filter(|index| can_take(self.targets[*index].0, request))
            .max_by_key(|index| (self.targets[*index].1, std::cmp::Reverse(*index)))
    }
}

fn can_take(target: &MoveTarget, request: &RunningRequest) -> bool {
    target.models.contains(&request.model) && target.endpoint != request.endpoint
}
