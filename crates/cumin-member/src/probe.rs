//! Failure detection: direct and indirect probes, and suspicion of unresponsive members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{Incarnation, Millis, NodeName};
use rand::Rng;
use rand::seq::IteratorRandom as _;

use crate::membership::{Membership, SyncState};
use crate::table::Entry;
use crate::{CallId, Effect, Message, Reason, Record, Repair, Status};

/// Time for which an answer to a call is accepted.
const CALL_LIFETIME_MS: u64 = 10_000;

/// Capacity of the token bucket for urgent pushes. It gains one token in each comparison interval,
/// so that continuous change cannot exceed the byte budget.
const MAX_PUSH_TOKENS: u32 = 6;

/// Probes of suspects in a period, which bounds the load when a whole place is lost.
const SUSPECT_PROBES: usize = 2;

/// A call that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) to: SocketAddr,
    /// Member whose answer is expected; none for a seed of unknown name.
    pub(crate) target: Option<NodeName>,
    pub(crate) kind: Kind,
    pub(crate) sent_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Probe,
    Relay,
    Push,
    LeaveNotice,
}

/// Probes in flight, by the member probed.
pub(crate) type ActiveProbes = BTreeMap<NodeName, ActiveProbe>;

/// A probe whose failure leads to suspicion.
#[derive(Clone, Debug)]
pub(crate) struct ActiveProbe {
    incarnation: Incarnation,
    deadline: Millis,
    /// Rounds of indirect probes sent; zero while the first direct probe is in flight.
    round: u32,
    /// Number of indirect probes sent.
    relays: usize,
}

impl Membership {
    pub(crate) fn register_call(
        &mut self,
        kind: Kind,
        to: SocketAddr,
        target: Option<NodeName>,
        now: Millis,
    ) -> CallId {
        self.call_serial += 1;
        let call = CallId(self.call_serial);
        self.calls.insert(
            call,
            PendingCall {
                to,
                target,
                kind,
                sent_at: now,
            },
        );
        call
    }

    /// Returns how long to wait for the answer of a member, in milliseconds.
    fn answer_timeout(&self, record: &Record) -> u64 {
        let near = record.member.region == self.local.member.region;
        if near {
            self.options.near_timeout
        } else {
            self.options.far_timeout
        }
    }

    /// Returns the calls of one probe period.
    pub(crate) fn run_period(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        let limit = 4 * self.options.message_bytes;
        self.gossip_budget = (self.gossip_budget + self.options.gossip_bytes).min(limit);
        if self
            .period_count
            .is_multiple_of(self.options.compare_periods)
        {
            self.push_tokens = (self.push_tokens + 1).min(MAX_PUSH_TOKENS);
        }
        self.calls
            .retain(|_, pending| now.since(pending.sent_at) < CALL_LIFETIME_MS);
        let mut effects = self.push_leave(now);
        let present = |entry: &&Entry| !entry.record.status.is_gone();
        let name = |entry: &Entry| entry.record.member.name.clone();
        let next = self.table.iter().filter(present).map(name).choose(rng);
        let suspected = |entry: &&Entry| entry.own_suspicion && entry.deadline.is_some();
        let suspects = self
            .table
            .iter()
            .filter(suspected)
            .map(name)
            .choose_multiple(rng, SUSPECT_PROBES);
        let contested = self.contested.pop_first();
        if let Some(name) = next {
            let compare = self.period_count - self.last_compare >= self.options.compare_periods;
            if compare {
                self.last_compare = self.period_count;
            }
            effects.extend(self.probe(&name, None, compare.then_some(Repair::Compare), true, now));
        }
        for name in suspects {
            effects.extend(self.probe(&name, None, None, false, now));
        }
        if let Some((name, claim)) = contested {
            effects.extend(self.probe(&name, Some(claim), None, false, now));
        }
        effects.extend(self.find_members(now, rng));
        effects
    }

    /// Probes a member. `claim` is the record that another node has of it, for it to refute.
    fn probe(
        &mut self,
        name: &NodeName,
        claim: Option<Record>,
        repair: Option<Repair>,
        with_gossip: bool,
        now: Millis,
    ) -> Option<Effect> {
        let record = self.table.get(name)?.record.clone();
        if !record.status.is_gone() && !self.active_probes.contains_key(name) {
            let incarnation = record.member.incarnation;
            let deadline = now.plus(self.answer_timeout(&record));
            self.active_probes.insert(
                name.clone(),
                ActiveProbe {
                    incarnation,
                    deadline,
                    round: 0,
                    relays: 0,
                },
            );
        }
        let message = if with_gossip {
            self.gossip_message(name, repair, now)
        } else {
            self.probe_message(name, claim, repair)
        };
        let to = record.member.rpc;
        let call = self.register_call(Kind::Probe, to, Some(name.clone()), now);
        Some(Effect::Probe { call, to, message })
    }

    /// Probes a random seed that is not a known member, or a dead member. Until it has the table of
    /// another node, this node probes two random seeds or members instead, and fetches the table.
    fn find_members(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        let unsynced = self.sync == SyncState::Needed;
        if !unsynced
            && !self
                .period_count
                .is_multiple_of(self.options.reconnect_periods)
        {
            return Vec::new();
        }
        let known = |address: &SocketAddr| {
            self.table
                .iter()
                .any(|entry| !entry.record.status.is_gone() && entry.record.member.rpc == *address)
        };
        let seeds = self
            .seeds
            .keys()
            .copied()
            .filter(|address| unsynced || !known(address));
        let others = self.table.iter().filter(|entry| {
            entry.record.status == Status::Dead || (unsynced && !entry.record.status.is_gone())
        });
        let others = others.map(|entry| entry.record.member.rpc);
        let chosen = seeds
            .chain(others)
            .choose_multiple(rng, if unsynced { 2 } else { 1 });
        let mut effects = Vec::new();
        for to in chosen {
            let name = self
                .table
                .iter()
                .find(|entry| entry.record.member.rpc == to);
            let name = name.map(|entry| entry.record.member.name.clone());
            let pulls = unsynced && self.sync == SyncState::Needed;
            let repair = pulls.then_some(Repair::Page(0));
            let message = match &name {
                Some(name) => self.probe_message(name, None, repair),
                None => self.first_message(repair),
            };
            let call = self.register_call(Kind::Probe, to, name, now);
            if pulls {
                self.sync = SyncState::Pulling(call);
            }
            effects.push(Effect::Probe { call, to, message });
        }
        effects
    }

    /// Advances probes whose timeout has expired: to the next round of indirect probes, then to
    /// suspicion.
    pub(crate) fn advance_probes(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        if let SyncState::Pulling(call) = self.sync {
            let late =
                |pending: &PendingCall| now.since(pending.sent_at) >= self.options.far_timeout;
            if self.calls.get(&call).is_none_or(late) {
                if let Some(to) = self.calls.get(&call).map(|pending| pending.to) {
                    self.seeds.entry(to).and_modify(|failed| *failed = true);
                }
                self.sync = SyncState::Needed;
            }
        }
        let lost = |(call, pending): (&CallId, &PendingCall)| {
            let late = now.since(pending.sent_at) >= self.options.far_timeout;
            (pending.kind == Kind::LeaveNotice && late).then_some(*call)
        };
        let lost_calls: Vec<CallId> = self.calls.iter().filter_map(lost).collect();
        for call in lost_calls {
            self.calls.remove(&call);
        }
        let expired = |(name, probe): (&NodeName, &ActiveProbe)| {
            (probe.deadline <= now).then(|| (name.clone(), probe.clone()))
        };
        let due: Vec<(NodeName, ActiveProbe)> =
            self.active_probes.iter().filter_map(expired).collect();
        let mut effects = Vec::new();
        for (name, probe) in due {
            self.active_probes.remove(&name);
            let Some(record) = self.table.get(&name).map(|entry| entry.record.clone()) else {
                continue;
            };
            // The nodes that suspect the member already keep probing it.
            let suspect = record.status == Status::Suspect;
            let changed = record.member.incarnation != probe.incarnation;
            if changed || suspect || record.status.is_gone() {
                continue;
            }
            if probe.round < self.options.relay_rounds {
                effects.extend(self.probe_indirectly(&record, &probe, now, rng));
            } else {
                self.suspect(&record, probe.relays, now);
            }
        }
        effects
    }

    /// Probes an unresponsive member through others and, in case the first probe was lost, directly.
    fn probe_indirectly(
        &mut self,
        record: &Record,
        previous: &ActiveProbe,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let target = record.member.name.clone();
        let alive = |entry: &&Entry| {
            entry.record.status == Status::Alive && entry.record.member.name != target
        };
        let via = self
            .table
            .iter()
            .filter(alive)
            .map(|entry| entry.record.clone());
        let via = via.choose_multiple(rng, self.options.relays);
        let wait = via
            .iter()
            .map(|via| self.answer_timeout(via))
            .max()
            .unwrap_or(0)
            + self.answer_timeout(record);
        let probe = ActiveProbe {
            incarnation: previous.incarnation,
            deadline: now.plus(wait),
            round: previous.round + 1,
            relays: previous.relays + via.len(),
        };
        self.active_probes.insert(target.clone(), probe);
        let address = record.member.rpc;
        let mut effects = Vec::new();
        for via in via {
            let message = self.probe_message(&target, None, None);
            let via = via.member.rpc;
            let call = self.register_call(Kind::Relay, via, Some(target.clone()), now);
            effects.push(Effect::Relay {
                call,
                via,
                target: target.clone(),
                address,
                message,
            });
        }
        let message = self.probe_message(&target, None, None);
        let call = self.register_call(Kind::Probe, address, Some(target), now);
        effects.push(Effect::Probe {
            call,
            to: address,
            message,
        });
        effects
    }

    fn suspect(&mut self, old: &Record, relays: usize, now: Millis) {
        let deadline = now.plus(self.suspicion_ms());
        if old.status == Status::Alive {
            let new = Record {
                status: Status::Suspect,
                ..old.clone()
            };
            self.set_record(new, Some(old), &Reason::Silent { relays }, now);
        }
        if let Some(entry) = self.table.get_mut(&old.member.name) {
            entry.own_suspicion = true;
            entry.deadline = entry.deadline.or(Some(deadline));
        }
    }

    /// Updates probes, seeds and deadlines after an answer, and continues the table exchange.
    pub(crate) fn finish_call(
        &mut self,
        call: CallId,
        pending: &PendingCall,
        message: &Message,
        now: Millis,
    ) -> Vec<Effect> {
        let from = &message.from.member.name;
        if pending.target.as_ref().is_some_and(|target| target != from) {
            self.fail_call(call, pending, now);
        } else {
            self.active_probes.remove(from);
            self.leave_sends.remove(from);
            self.seeds
                .entry(pending.to)
                .and_modify(|failed| *failed = false);
            if let Some(entry) = self.table.get_mut(from)
                && entry.record.status == Status::Leaving
            {
                entry.deadline = None;
            }
        }
        if pending.kind == Kind::Relay {
            return Vec::new();
        }
        self.continue_repair(call, pending.to, message, now)
    }

    /// Updates seeds after a failed call, and ends the wait for a direct probe at once.
    pub(crate) fn fail_call(&mut self, call: CallId, pending: &PendingCall, now: Millis) {
        self.seeds
            .entry(pending.to)
            .and_modify(|failed| *failed = true);
        if self.sync == SyncState::Pulling(call) {
            self.sync = SyncState::Needed;
        }
        if pending.kind == Kind::Probe
            && let Some(target) = &pending.target
            && let Some(probe) = self.active_probes.get_mut(target)
            && probe.round == 0
        {
            probe.deadline = now;
        }
    }

    /// Pushes gossip to two random members if an urgent change is queued and tokens are left.
    pub(crate) fn push_urgent(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        if !std::mem::take(&mut self.push_now) {
            return Vec::new();
        }
        let live = self
            .table
            .iter()
            .filter(|entry| entry.record.status.is_live());
        let live = live.map(|entry| entry.record.member.clone());
        let chosen = live.choose_multiple(rng, 2);
        let mut effects = Vec::new();
        for member in chosen {
            if self.push_tokens == 0 {
                break;
            }
            self.push_tokens -= 1;
            let message = self.gossip_message(&member.name, None, now);
            let call = self.register_call(Kind::Push, member.rpc, Some(member.name), now);
            effects.push(Effect::Push {
                call,
                to: member.rpc,
                message,
            });
        }
        effects
    }

    /// Pushes the leave of this node to members that have not acknowledged it.
    pub(crate) fn push_leave(&mut self, now: Millis) -> Vec<Effect> {
        let waiting = |name: &NodeName| {
            self.calls.values().any(|pending| {
                pending.kind == Kind::LeaveNotice && pending.target.as_ref() == Some(name)
            })
        };
        let names: Vec<NodeName> = self
            .leave_sends
            .keys()
            .filter(|name| !waiting(name))
            .cloned()
            .collect();
        let mut effects = Vec::new();
        for name in names {
            let sends = self.leave_sends.remove(&name).unwrap_or(0);
            let Some(to) = self.table.get(&name).map(|entry| entry.record.member.rpc) else {
                continue;
            };
            if sends > 1 {
                self.leave_sends.insert(name.clone(), sends - 1);
            }
            let message = self.gossip_message(&name, None, now);
            let call = self.register_call(Kind::LeaveNotice, to, Some(name), now);
            effects.push(Effect::Push { call, to, message });
        }
        effects
    }
}
