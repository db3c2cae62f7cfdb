//! Probes, indirect probes and suspicion of those who stay silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{Incarnation, Millis, NodeName};
use rand::Rng;
use rand::seq::IteratorRandom as _;

use crate::membership::{Membership, SyncState};
use crate::table::Entry;
use crate::{CallId, Effect, Message, Reason, Record, Repair, Status};

/// How long an answer to a call is still taken, milliseconds.
const CALL_LIFETIME_MS: u64 = 10_000;

/// Most immediate pushes in a burst. One more is allowed in each comparison interval, so that
/// lasting change cannot exceed the byte budget.
const MAX_PUSH_TOKENS: u32 = 6;

/// Probes of members under suspicion in a period, which bounds the load when a place is lost.
const SUSPECT_PROBES: usize = 2;

/// A call that was not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) to: SocketAddr,
    /// Whose answer is expected; none for a seed.
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

/// Probes under way by the member probed.
pub(crate) type ActiveProbes = BTreeMap<NodeName, ActiveProbe>;

/// A probe whose failure leads to suspicion.
#[derive(Clone, Debug)]
pub(crate) struct ActiveProbe {
    incarnation: Incarnation,
    deadline: Millis,
    /// Rounds of indirect probes sent; zero while the first direct one is waited for.
    round: u32,
    /// Indirect probes sent.
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

    /// Wait for an answer of a member.
    fn answer_timeout(&self, record: &Record) -> u64 {
        let near = record.member.region == self.local.member.region;
        if near {
            self.options.near_timeout
        } else {
            self.options.far_timeout
        }
    }

    /// What one period sends.
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
        let silent = |entry: &&Entry| entry.own_suspicion && entry.deadline.is_some();
        let retries = self
            .table
            .iter()
            .filter(silent)
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
        for name in retries {
            effects.extend(self.probe(&name, None, None, false, now));
        }
        if let Some((name, claim)) = contested {
            effects.extend(self.probe(&name, Some(claim), None, false, now));
        }
        effects.extend(self.find_members(now, rng));
        effects
    }

    /// Probes a member. `said` is what others believe of it, for it to refute.
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

    /// Looks for members where none are known: at seeds and at the addresses of the dead.
    fn find_members(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        let lost = self.sync == SyncState::Needed;
        if !lost
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
            .filter(|address| lost || !known(address));
        let others = self.table.iter().filter(|entry| {
            entry.record.status == Status::Dead || (lost && !entry.record.status.is_gone())
        });
        let others = others.map(|entry| entry.record.member.rpc);
        let chosen = seeds
            .chain(others)
            .choose_multiple(rng, if lost { 2 } else { 1 });
        let mut effects = Vec::new();
        for to in chosen {
            let name = self
                .table
                .iter()
                .find(|entry| entry.record.member.rpc == to);
            let name = name.map(|entry| entry.record.member.name.clone());
            let pulls = lost && self.sync == SyncState::Needed;
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

    /// Ends waits that are over: asks others, then suspects.
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
            // Others are already at work on a suspect; those who suspected it keep probing it.
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

    /// Probes a silent member through others and, in case the first probe was lost, directly.
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

    /// Draws the conclusions from an answer.
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

    /// Draws the conclusions from a failed call: a direct probe need not be waited for.
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

    /// Pushes news to two random members at once, within the allowance.
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

    /// Pushes that this node leaves to those who have not answered yet.
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
