//! Pressure: the waiting work that entries state to each other.

use std::collections::BTreeMap;

use cumin_types::{Millis, NodeName, Organisation, Service};
use serde::{Deserialize, Serialize};

use super::rank_index;

/// Maximum number of organisations whose work an entry states for a service.
pub(super) const MAX_STATED_ORGS: usize = 8;

/// Waiting work of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankPressure {
    /// The rank.
    pub rank: u8,
    /// Number of waiting requests.
    pub requests: u32,
    /// Their work, in microseconds.
    pub work_us: u64,
}

/// Waiting work of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrgPressure {
    /// The organisation.
    pub org: Organisation,
    /// Rank of the work.
    pub rank: u8,
    /// The work, in microseconds.
    pub work_us: u64,
}

/// Waiting work of a service, as an entry states it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatedPressure {
    /// The service.
    pub service: Service,
    /// Ranks with waiting work.
    pub ranks: Vec<RankPressure>,
    /// Organisations with most waiting work, at most 8.
    pub orgs: Vec<OrgPressure>,
}

/// Pressure of the peers on one service.
#[derive(Debug, Default)]
pub(super) struct PeerPressure {
    peers: BTreeMap<NodeName, (StatedPressure, Millis)>,
}

impl PeerPressure {
    /// Replaces what a peer stated.
    pub(super) fn merge(&mut self, node: &NodeName, stated: Option<&StatedPressure>, now: Millis) {
        match stated {
            Some(stated) => self.peers.insert(node.clone(), (stated.clone(), now)),
            None => self.peers.remove(node),
        };
    }

    /// Removes statements older than `ttl`.
    pub(super) fn expire(&mut self, ttl: Millis, now: Millis) {
        self.peers.retain(|_, (_, heard)| now.since(*heard) < ttl.0);
    }

    fn ranks(&self) -> impl Iterator<Item = &RankPressure> {
        self.peers.values().flat_map(|(stated, _)| &stated.ranks)
    }

    /// Returns the number of requests that wait at peers in a rank up to `rank`.
    pub(super) fn requests(&self, rank: usize) -> f64 {
        let ranks = self.ranks();
        let matching = ranks.filter(|stated| rank_index(stated.rank) <= rank);
        matching.map(|stated| f64::from(stated.requests)).sum()
    }

    /// Returns the number of requests in a rank up to `rank` that peers stated within `age`.
    pub(super) fn fresh_requests(&self, rank: usize, age: Millis, now: Millis) -> f64 {
        let peers = self.peers.values();
        let fresh = peers.filter(|(_, heard)| now.since(*heard) <= age.0);
        let ranks = fresh.flat_map(|(stated, _)| &stated.ranks);
        let matching = ranks.filter(|stated| rank_index(stated.rank) <= rank);
        matching.map(|stated| f64::from(stated.requests)).sum()
    }

    /// Returns the number of requests of more urgent ranks, and of those of the same rank, that are
    /// served before one of `org`, which with those of `org` ahead of it wants `work_us`.
    ///
    /// Of its own rank, each organisation has at most as much work ahead of it as its own one has.
    pub(super) fn ahead(&self, org: &Organisation, rank: usize, work_us: u64) -> (f64, f64) {
        let same = self.ranks().filter(|s| rank_index(s.rank) == rank);
        let (requests, same_us) = same.fold((0.0, 0), |(requests, work), stated| {
            (requests + f64::from(stated.requests), work + stated.work_us)
        });
        let mut orgs: BTreeMap<&Organisation, u64> = BTreeMap::new();
        for stated in self.peers.values().flat_map(|(stated, _)| &stated.orgs) {
            if rank_index(stated.rank) == rank {
                *orgs.entry(&stated.org).or_default() += stated.work_us;
            }
        }
        let named: u64 = orgs.values().sum();
        let own = work_us + orgs.get(org).copied().unwrap_or_default();
        let limited: u64 = orgs.values().map(|work| (*work).min(own)).sum();
        let ahead_us = limited + same_us.saturating_sub(named);
        let part = super::service::float(ahead_us) / super::service::float(same_us.max(1));
        (self.requests(rank) - requests, requests * part.min(1.0))
    }
}
