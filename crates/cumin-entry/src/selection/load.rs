//! Load of an endpoint: requests in flight of this node and its peers, and measured times.

use std::collections::{BTreeMap, HashMap};

use cumin_types::Millis;
use serde::{Deserialize, Serialize};

use super::cache::Cache;
use super::mean_time::MeanTime;
use super::{AttemptNumber, millis};
use crate::learn::Queue;
use crate::trials::Trials;

/// Time for which the load stated by a peer counts: four of its digests.
const PEER_LOAD_TTL: Millis = Millis(1000);

#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) sent: Millis,
    /// Uncached prompt tokens; zero once the answer has begun.
    pub(super) prefill_tokens: f64,
    pub(super) output: f64,
    /// Time of the last event, once the answer has begun.
    pub(super) last_event: Option<Millis>,
    pub(super) estimate_ms: f64,
    /// Whether it runs on a model engine.
    pub(super) engine: bool,
    /// What it found at the engine, unless its times are no sample.
    pub(super) queue: Option<Queue>,
    /// Time to the goal if it is a trial.
    pub(super) trial_goal: Option<f64>,
}

/// Load that one node puts on an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeLoad {
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens still to be prefilled.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
}

#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) started_ms: u64,
    pub(super) attempts: HashMap<AttemptNumber, ActiveAttempt>,
    pub(super) peers: BTreeMap<String, (NodeLoad, Millis)>,
    pub(super) cache: Cache,
    /// Time of the last data from the endpoint to this node.
    pub(super) last_heard: Millis,
    /// End of the cooldown, and the number of failed connections in a row.
    pub(super) cooldown: Option<(Millis, u32)>,
    /// Time of a plain request until its answer begins.
    pub(super) first: MeanTime,
    /// Time of a plain request until its end.
    pub(super) whole: MeanTime,
    /// Requests that may still run as trials: a share of those that would have been refused.
    pub(super) trials: Trials,
}

impl Load {
    pub(super) fn own(&self) -> NodeLoad {
        let prefill_tokens: f64 = self
            .attempts
            .values()
            .map(|attempt| attempt.prefill_tokens)
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates"
        )]
        NodeLoad {
            running: u32::try_from(self.attempts.len()).unwrap_or(u32::MAX),
            prefill_tokens: prefill_tokens as u32,
        }
    }

    /// Returns the requests in flight and the tokens still to be prefilled, of all nodes.
    pub(super) fn total(&self, now: Millis) -> (f64, f64) {
        let fresh = |at: Millis| now.since(at) < PEER_LOAD_TTL.0;
        let peers = self.peers.values().filter(|(_, at)| fresh(*at));
        let own = self.own();
        let start = (f64::from(own.running), f64::from(own.prefill_tokens));
        peers.fold(start, |(running, prefill_tokens), (load, _)| {
            (
                running + f64::from(load.running),
                prefill_tokens + f64::from(load.prefill_tokens),
            )
        })
    }

    pub(super) fn silent(&self, limit: Millis, now: Millis) -> bool {
        let waiting = self
            .attempts
            .values()
            .filter(|attempt| attempt.last_event.is_none());
        let due = |attempt: &ActiveAttempt| {
            let since = attempt.sent.max(self.last_heard);
            millis(Millis(now.since(since))) > attempt.estimate_ms + millis(limit)
        };
        waiting.into_iter().any(due)
    }
}
