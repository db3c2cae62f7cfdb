//! What entries state to each other of their roll-outs.

use std::collections::BTreeMap;

use cumin_types::{Incarnation, LogOffset, Millis, NodeName, Service};
use serde::{Deserialize, Serialize};

use super::evidence::Counts;
use super::{Rollouts, Verdict, Version, sum_into};

/// A roll-out as one node states it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stated {
    /// The service.
    pub service: Service,
    /// The target version.
    pub target: Version,
    /// Offset of the order.
    pub order: LogOffset,
    /// Time since the order was first seen.
    pub age: Millis,
    /// Judgement of the version.
    pub verdict: Verdict,
    /// Whether all new work of the sender goes to the target version.
    pub moved: bool,
    /// Attempts of the sender that run at the old version.
    pub old_running: u32,
    /// Whether it has seen endpoints of another version.
    pub old_seen: bool,
    /// Its counts since the order or since its start.
    pub counts: Counts,
}

/// What one peer has stated.
#[derive(Clone, Debug)]
struct Heard {
    incarnation: Incarnation,
    stated: Stated,
}

/// What all peers have stated of one roll-out.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerCounts {
    peers: BTreeMap<NodeName, Heard>,
    /// Counts of incarnations that have ended.
    ended: Counts,
    old_seen: bool,
}

impl PeerCounts {
    fn receive(&mut self, node: &NodeName, incarnation: Incarnation, stated: &Stated) {
        self.old_seen |= stated.old_seen;
        let heard = Heard {
            incarnation,
            stated: stated.clone(),
        };
        match self.peers.get_mut(node) {
            Some(known) if known.incarnation > incarnation => {}
            Some(known) => {
                if known.incarnation < incarnation {
                    sum_into(&mut self.ended, &known.stated.counts);
                }
                *known = heard;
            }
            None => {
                self.peers.insert(node.clone(), heard);
            }
        }
    }

    /// Adds all counts to a sum.
    pub(super) fn add_to(&self, sum: &mut Counts) {
        sum_into(sum, &self.ended);
        for heard in self.peers.values() {
            sum_into(sum, &heard.stated.counts);
        }
    }

    /// Returns whether a peer has seen endpoints of another version than the target.
    pub(super) const fn old_seen(&self) -> bool {
        self.old_seen
    }

    /// Returns whether a peer has moved its traffic, and how much still runs at the old version.
    pub(super) fn progress(&self, node: &NodeName) -> Option<(bool, u32)> {
        let heard = self.peers.get(node)?;
        Some((heard.stated.moved, heard.stated.old_running))
    }
}

impl Rollouts {
    /// Returns what this node states to its peers. After the end of a roll-out only its verdict is
    /// stated, for as long as the order is the newest one.
    #[must_use]
    pub fn stated(&self, now: Millis) -> Vec<Stated> {
        let states = self.services.values();
        let runs = states.filter_map(|state| state.current.as_ref());
        runs.map(|run| {
            let is_final = run.verdict.is_final();
            Stated {
                service: run.order.service.clone(),
                target: run.order.target.clone(),
                order: run.offset,
                age: run.age(now),
                verdict: run.verdict,
                moved: run.has_moved(now),
                old_running: run.old_running,
                old_seen: run.old_seen,
                counts: if is_final {
                    Counts::new()
                } else {
                    run.own.clone()
                },
            }
        })
        .collect()
    }

    /// Applies what a peer states.
    pub fn merge_peer(
        &mut self,
        node: &NodeName,
        incarnation: Incarnation,
        stated: &[Stated],
        now: Millis,
    ) {
        for stated in stated {
            let Some(state) = self.services.get_mut(&stated.service) else {
                continue;
            };
            if stated.verdict.is_final() {
                state.last_final = state.last_final.max(Some(stated.order));
            }
            let last_final = state.last_final;
            let Some(run) = &mut state.current else {
                continue;
            };
            if run.order.target != stated.target {
                continue;
            }
            // An operator may repeat an order: nodes that started since know the later record only.
            let same = run.offset == stated.order;
            let is_older = stated.order < run.offset && last_final < Some(stated.order);
            if !(same || is_older || stated.order > run.offset) || run.verdict.is_final() {
                continue;
            }
            if stated.verdict.is_final() && !same {
                continue;
            }
            run.began = run.began.min(Millis(now.since(stated.age)));
            if !stated.verdict.is_final() {
                run.heard.receive(node, incarnation, stated);
            }
            if stated.verdict > run.verdict {
                self.adopt(&stated.service, stated.verdict, now);
            }
        }
    }
}
