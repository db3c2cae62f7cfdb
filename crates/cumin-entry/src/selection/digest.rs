//! What nodes state to each other for the placement of requests.

use std::collections::BTreeMap;

use cumin_types::{EndpointName, Millis, Service};
use serde::{Deserialize, Serialize};

use super::cache::SentPart;
use super::load::{NodeLoad, PeerLoad};
use super::speed::StatedSpeed;
use super::{Selector, tokens};

/// Speeds in one digest: with 4 digests a second, those of 60 endpoints take 4 s, less than half of
/// the time for which they count.
const SPEEDS_PER_DIGEST: usize = 4;

/// Time for which the rate of requests that a peer stated counts, as long as its load.
const RATE_TTL: Millis = Millis(1000);

/// State of a node for the placement of requests, in addition to its loads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Output tokens that are still expected, in the order of the stated loads.
    pub output: Vec<u32>,
    /// Speeds of a few endpoints, in turn.
    pub speeds: Vec<StatedSpeed>,
    /// Requests a second to plain services, by service.
    pub rates: Vec<(Service, f32)>,
}

impl Selector {
    /// Returns the load of this node's requests, by endpoint.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(EndpointName, NodeLoad)> {
        let loaded = self.loads.iter().filter(|(_, l)| !l.attempts.is_empty());
        loaded
            .map(|(name, load)| (name.clone(), load.own()))
            .collect()
    }

    /// Returns what a digest states beside the loads, with these speeds; `own_loads` is in the same
    /// order.
    #[must_use]
    pub fn own_placement(&mut self, speeds: Vec<StatedSpeed>, now: Millis) -> Placement {
        let loaded = self.loads.values().filter(|l| !l.attempts.is_empty());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates"
        )]
        let output = loaded.map(|load| load.own_output() as u32).collect();
        self.is_urgent = false;
        Placement {
            output,
            speeds,
            rates: self.own_rates(now),
        }
    }

    /// Returns the speeds of the endpoints that follow those of the last call.
    pub fn next_speeds(&mut self, now: Millis) -> Vec<StatedSpeed> {
        let stated = |(name, load): (&EndpointName, &super::Load)| {
            load.speed.stated(name, load.started_ms, now)
        };
        let last = self.stated_speed.as_ref();
        let later = self
            .loads
            .iter()
            .filter(|(name, _)| last.is_none_or(|last| *name > last));
        let earlier = self
            .loads
            .iter()
            .take_while(|(name, _)| last.is_some_and(|last| *name <= last));
        let speeds: Vec<StatedSpeed> = later
            .chain(earlier)
            .filter_map(stated)
            .take(SPEEDS_PER_DIGEST)
            .collect();
        self.stated_speed = speeds.last().map(|speed| speed.endpoint.clone());
        speeds
    }

    fn own_rates(&self, now: Millis) -> Vec<(Service, f32)> {
        #[expect(clippy::cast_possible_truncation, reason = "digests carry few digits")]
        let rate = |per_ms: f64| (per_ms * 1000.0) as f32;
        let rates = self.plain.iter();
        rates
            .map(|(service, plain)| (service.clone(), rate(plain.rate(now))))
            .collect()
    }

    /// Returns whether a digest should be sent before it is due.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns the parts sent since the last call, for the next digest.
    pub fn take_sent_parts(&mut self) -> Vec<SentPart> {
        std::mem::take(&mut self.sent_parts)
    }

    /// Merges a peer's loads and sent parts. Its loads replace those that it stated before.
    pub fn merge_peer(
        &mut self,
        node: &str,
        loads: &[(EndpointName, NodeLoad)],
        sent: &[SentPart],
        memory_tokens: u64,
        now: Millis,
    ) {
        for load in self.loads.values_mut() {
            load.peers.remove(node);
        }
        for (name, stated) in loads {
            let load = self.loads.entry(name.clone()).or_default();
            let stated = PeerLoad::new(*stated, now);
            load.peers.insert(node.to_owned(), stated);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of a token count"
        )]
        let capacity = (tokens(memory_tokens) * self.options.cached_share) as u64;
        for item in sent {
            let load = self.loads.entry(item.endpoint.clone()).or_default();
            load.cache.touch(item.part, capacity);
        }
    }

    /// Merges what a peer states beside its `loads`, which were merged before.
    pub fn merge_placement(
        &mut self,
        node: &str,
        loads: &[(EndpointName, NodeLoad)],
        placement: &Placement,
        now: Millis,
    ) {
        for ((name, _), output) in loads.iter().zip(&placement.output) {
            let load = self.loads.get_mut(name);
            if let Some(peer) = load.and_then(|load| load.peers.get_mut(node)) {
                peer.output = Some(f64::from(*output));
            }
        }
        for speed in &placement.speeds {
            let load = self.loads.entry(speed.endpoint.clone()).or_default();
            load.speed.merge(node, speed, now);
        }
        let rates = placement.rates.iter().filter(|(_, rate)| rate.is_finite());
        let rates = rates
            .map(|(service, rate)| (service.clone(), f64::from(rate.max(0.0)) / 1000.0))
            .collect::<BTreeMap<_, _>>();
        self.peer_rates.insert(node.to_owned(), (rates, now));
    }

    /// Returns the requests a millisecond of all nodes to a plain service.
    pub(super) fn plain_rate(&self, service: &Service, now: Millis) -> f64 {
        let own = self.plain.get(service);
        let own = own.map_or(0.0, |plain| plain.rate(now));
        let fresh = self
            .peer_rates
            .values()
            .filter(|(_, at)| now.since(*at) < RATE_TTL.0);
        let peers = fresh.filter_map(|(rates, _)| rates.get(service));
        own + peers.sum::<f64>()
    }
}
