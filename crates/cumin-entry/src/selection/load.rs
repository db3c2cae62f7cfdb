//! Load of an endpoint: the work that this node and its peers have sent there and that remains, and
//! measured times.

use std::collections::{BTreeMap, HashMap};

use cumin_types::{Millis, Service};
use serde::{Deserialize, Serialize};

use super::cache::Cache;
use super::mean_time::MeanTime;
use super::speed::Speed;
use super::{AttemptNumber, millis};
use crate::learn::Queue;
use crate::trials::Trials;

/// Time for which the load stated by a peer counts: four of its digests.
const PEER_LOAD_TTL: Millis = Millis(1000);

/// Fraction of its output so far that a stream beyond its expected length is expected to add.
const OVERRUN_SHARE: f64 = 0.2;

/// Output tokens that a request has left on average if its peer does not state them.
const USUAL_OUTPUT: f64 = 64.0;

/// Part of the work of a plain service's endpoint that is assumed to have been done since a peer
/// stated its requests: half of what the endpoint can do. Replays were later with all of it, because
/// an endpoint in a slow spell seems idle, and with none of it, when requests are short.
const DRAINED_SHARE: f64 = 0.5;

#[derive(Clone, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) service: Service,
    pub(super) sent: Millis,
    /// Uncached prompt tokens; zero once the answer has begun.
    pub(super) prefill_tokens: f64,
    /// Expected number of output tokens.
    pub(super) output: f64,
    /// Number of output tokens that the caller expects.
    pub(super) output_hint: f64,
    /// Output tokens heard after the first event, and in how many pieces.
    pub(super) heard: (f64, u32),
    /// Time of the last event, once the answer has begun.
    pub(super) last_event: Option<Millis>,
    pub(super) estimate_ms: f64,
    /// Milliseconds until a slot is free; of a plain service, requests for each slot.
    pub(super) wait: f64,
    /// Whether it runs on a model engine.
    pub(super) engine: bool,
    /// What it found at the engine, unless its times are no sample.
    pub(super) queue: Option<Queue>,
    /// Time to the goal if it is a trial.
    pub(super) trial_goal: Option<f64>,
}

impl ActiveAttempt {
    /// Returns the output tokens that are still expected. A stream that has exceeded its expected
    /// length is expected to continue.
    fn remaining_output(&self) -> f64 {
        let (heard, _) = self.heard;
        (self.output - heard).max(heard * OVERRUN_SHARE)
    }

    /// Returns the output tokens heard, with the first event, whose tokens are not counted.
    pub(super) fn heard_output(&self) -> Option<f64> {
        let (tokens, pieces) = self.heard;
        (pieces > 0).then(|| tokens * (1.0 + 1.0 / f64::from(pieces)))
    }
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

/// Load that a peer stated.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    load: NodeLoad,
    /// Output tokens still expected, if it states them.
    pub(super) output: Option<f64>,
    at: Millis,
}

impl PeerLoad {
    pub(super) fn new(load: NodeLoad, at: Millis) -> Self {
        Self {
            load,
            output: None,
            at,
        }
    }
}

/// Work that remains at an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    /// Requests in flight.
    pub(super) running: f64,
    /// Prompt tokens still to be prefilled.
    pub(super) prefill_tokens: f64,
    /// Output tokens still expected.
    pub(super) output: f64,
}

/// Times of an endpoint by which stated work is reduced as it gets older.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// Milliseconds to prefill a token.
    pub(super) prefill_ms: f64,
    /// Milliseconds of an output token of a stream.
    pub(super) output_ms: f64,
}

#[derive(Debug, Default)]
pub(super) struct Load {
    pub(super) started_ms: u64,
    pub(super) attempts: HashMap<AttemptNumber, ActiveAttempt>,
    pub(super) peers: BTreeMap<String, PeerLoad>,
    pub(super) cache: Cache,
    pub(super) speed: Speed,
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

    /// Returns the output tokens that this node's requests still expect.
    pub(super) fn own_output(&self) -> f64 {
        let attempts = self.attempts.values();
        attempts.map(ActiveAttempt::remaining_output).sum()
    }

    fn fresh_peers(&self, now: Millis) -> impl Iterator<Item = &PeerLoad> {
        let peers = self.peers.values();
        peers.filter(move |peer| now.since(peer.at) < PEER_LOAD_TTL.0)
    }

    /// Returns the requests in flight and the tokens still to be prefilled, of all nodes, as stated.
    pub(super) fn total(&self, now: Millis) -> (f64, f64) {
        let own = self.own();
        let start = (f64::from(own.running), f64::from(own.prefill_tokens));
        self.fresh_peers(now)
            .fold(start, |(running, prefill_tokens), peer| {
                (
                    running + f64::from(peer.load.running),
                    prefill_tokens + f64::from(peer.load.prefill_tokens),
                )
            })
    }

    /// Returns the work that remains at an engine: what peers stated is reduced by what the engine
    /// has done since.
    pub(super) fn backlog(&self, pace: Pace, now: Millis) -> Backlog {
        let own = self.own();
        let (_, queued) = self.total(now);
        let mut sum = Backlog {
            running: f64::from(own.running),
            prefill_tokens: f64::from(own.prefill_tokens),
            output: self.own_output(),
        };
        for peer in self.fresh_peers(now) {
            let age_ms = millis(Millis(now.since(peer.at)));
            let running = f64::from(peer.load.running).max(1.0);
            let output = peer.output.unwrap_or(running * USUAL_OUTPUT);
            let left = |done: f64, of: f64| (1.0 - done / of.max(1.0)).max(0.0);
            let unread = left(age_ms / pace.prefill_ms, queued);
            // Remaining lengths are taken as equally likely between nothing and twice their mean.
            let decoding = left(age_ms / pace.output_ms, 2.0 * output / running);
            sum.prefill_tokens += f64::from(peer.load.prefill_tokens) * unread;
            sum.running += f64::from(peer.load.running) * decoding;
            sum.output += output * decoding * decoding;
        }
        sum
    }

    /// Returns the requests that remain at an endpoint of a plain service, whose requests take
    /// `whole_ms` in one of its slots.
    pub(super) fn plain_running(&self, whole_ms: f64, slots: f64, now: Millis) -> f64 {
        let (total, _) = self.total(now);
        let drain_ms = whole_ms * (total / slots).max(1.0);
        let left = |peer: &PeerLoad| {
            let age_ms = millis(Millis(now.since(peer.at))) * DRAINED_SHARE;
            f64::from(peer.load.running) * (1.0 - age_ms / drain_ms).max(0.0)
        };
        f64::from(self.own().running) + self.fresh_peers(now).map(left).sum::<f64>()
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
