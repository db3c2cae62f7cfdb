//! Probes, indirect probes and suspicion of those who stay silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{Incarnation, Millis, NodeName};
use rand::Rng;
use rand::seq::IteratorRandom as _;

use crate::membership::{Membership, Sync};
use crate::table::Entry;
use crate::{Call, Effect, Message, Reason, Record, Repair, Status};

/// How long an answer to a call is still taken, milliseconds.
const LATE: u64 = 10_000;

/// Most immediate pushes in a burst. One more is allowed in each comparison interval, so that
/// lasting change cannot exceed the byte budget.
const BURST: u32 = 6;

/// Probes of members under suspicion in a period, which bounds the load when a place is lost.
const RETRIES: usize = 2;

/// A call that was not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) to: SocketAddr,
    /// Whose answer is expected; none for a seed.
    pub(crate) target: Option<NodeName>,
    pub(crate) kind: Kind,
    pub(crate) sent: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Probe,
    Relay,
    Push,
    Farewell,
}

/// Probes under way by the member probed.
pub(crate) type Checks = BTreeMap<NodeName, Check>;

/// A probe whose failure leads to suspicion.
#[derive(Clone, Debug)]
pub(crate) struct Check {
    incarnation: Incarnation,
    deadline: Millis,
    /// Rounds of indirect probes sent; zero while the first direct one is waited for.
    round: u32,
    /// Indirect probes sent.
    relays: usize,
}

impl Membership {
    pub(crate) fn call(
        &mut self,
        kind: Kind,
        to: SocketAddr,
        target: Option<NodeName>,
        now: Millis,
    ) -> Call {
        self.serial += 1;
        let call = Call(self.serial);
        self.calls.insert(
            call,
            Pending {
                to,
                target,
                kind,
                sent: now,
            },
        );
        call
    }

    /// Wait for an answer of a member.
    fn wait(&self, record: &Record) -> u64 {
        let near = record.member.region == self.me.member.region;
        if near {
            self.options.timeout
        } else {
            self.options.far
        }
    }

    /// What one period sends.
    pub(crate) fn period(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        let most = 4 * self.options.bytes;
        self.allowance = (self.allowance + self.options.news).min(most);
        if self.count.is_multiple_of(self.options.compare) {
            self.tokens = (self.tokens + 1).min(BURST);
        }
        self.calls
            .retain(|_, pending| now.since(pending.sent) < LATE);
        let mut effects = self.say_farewell(now);
        let here = |entry: &&Entry| !entry.record.status.gone();
        let name = |entry: &Entry| entry.record.member.name.clone();
        let next = self.table.iter().filter(here).map(name).choose(rng);
        let silent = |entry: &&Entry| entry.own && entry.deadline.is_some();
        let retries = self
            .table
            .iter()
            .filter(silent)
            .map(name)
            .choose_multiple(rng, RETRIES);
        let contested = self.contested.pop_first();
        if let Some(name) = next {
            let compare = self.count - self.compared >= self.options.compare;
            if compare {
                self.compared = self.count;
            }
            effects.extend(self.probe(&name, None, compare.then_some(Repair::Compare), true, now));
        }
        for name in retries {
            effects.extend(self.probe(&name, None, None, false, now));
        }
        if let Some((name, said)) = contested {
            effects.extend(self.probe(&name, Some(said), None, false, now));
        }
        effects.extend(self.seek(now, rng));
        effects
    }

    /// Probes a member. `said` is what others believe of it, for it to refute.
    fn probe(
        &mut self,
        name: &NodeName,
        said: Option<Record>,
        repair: Option<Repair>,
        news: bool,
        now: Millis,
    ) -> Option<Effect> {
        let record = self.table.get(name)?.record.clone();
        if !record.status.gone() && !self.checks.contains_key(name) {
            let incarnation = record.member.incarnation;
            let deadline = now.plus(self.wait(&record));
            self.checks.insert(
                name.clone(),
                Check {
                    incarnation,
                    deadline,
                    round: 0,
                    relays: 0,
                },
            );
        }
        let message = if news {
            self.told(name, repair, now)
        } else {
            self.bare(name, said, repair)
        };
        let to = record.member.rpc;
        let call = self.call(Kind::Probe, to, Some(name.clone()), now);
        Some(Effect::Probe { call, to, message })
    }

    /// Looks for members where none are known: at seeds and at the addresses of the dead.
    fn seek(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        let lost = self.sync == Sync::Needed;
        if !lost && !self.count.is_multiple_of(self.options.revive) {
            return Vec::new();
        }
        let known = |address: &SocketAddr| {
            self.table
                .iter()
                .any(|entry| !entry.record.status.gone() && entry.record.member.rpc == *address)
        };
        let seeds = self
            .seeds
            .keys()
            .copied()
            .filter(|address| lost || !known(address));
        let others = self.table.iter().filter(|entry| {
            entry.record.status == Status::Dead || (lost && !entry.record.status.gone())
        });
        let others = others.map(|entry| entry.record.member.rpc);
        let some = seeds
            .chain(others)
            .choose_multiple(rng, if lost { 2 } else { 1 });
        let mut effects = Vec::new();
        for to in some {
            let name = self
                .table
                .iter()
                .find(|entry| entry.record.member.rpc == to);
            let name = name.map(|entry| entry.record.member.name.clone());
            let pulls = lost && self.sync == Sync::Needed;
            let repair = pulls.then_some(Repair::Page(0));
            let message = match &name {
                Some(name) => self.bare(name, None, repair),
                None => self.first(repair),
            };
            let call = self.call(Kind::Probe, to, name, now);
            if pulls {
                self.sync = Sync::Pulling(call);
            }
            effects.push(Effect::Probe { call, to, message });
        }
        effects
    }

    /// Ends waits that are over: asks others, then suspects.
    pub(crate) fn check(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        if let Sync::Pulling(call) = self.sync {
            let late = |pending: &Pending| now.since(pending.sent) >= self.options.far;
            if self.calls.get(&call).is_none_or(late) {
                if let Some(to) = self.calls.get(&call).map(|pending| pending.to) {
                    self.seeds.entry(to).and_modify(|failed| *failed = true);
                }
                self.sync = Sync::Needed;
            }
        }
        let lost = |(call, pending): (&Call, &Pending)| {
            let late = now.since(pending.sent) >= self.options.far;
            (pending.kind == Kind::Farewell && late).then_some(*call)
        };
        let unheard: Vec<Call> = self.calls.iter().filter_map(lost).collect();
        for call in unheard {
            self.calls.remove(&call);
        }
        let over = |(name, check): (&NodeName, &Check)| {
            (check.deadline <= now).then(|| (name.clone(), check.clone()))
        };
        let due: Vec<(NodeName, Check)> = self.checks.iter().filter_map(over).collect();
        let mut effects = Vec::new();
        for (name, check) in due {
            self.checks.remove(&name);
            let Some(record) = self.table.get(&name).map(|entry| entry.record.clone()) else {
                continue;
            };
            // Others are already at work on a suspect; those who suspected it keep probing it.
            let suspect = record.status == Status::Suspect;
            let changed = record.member.incarnation != check.incarnation;
            if changed || suspect || record.status.gone() {
                continue;
            }
            if check.round < self.options.rounds {
                effects.extend(self.ask_others(&record, &check, now, rng));
            } else {
                self.silent(&record, check.relays, now);
            }
        }
        effects
    }

    /// Probes a silent member through others and, in case the first probe was lost, directly.
    fn ask_others(
        &mut self,
        record: &Record,
        before: &Check,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let target = record.member.name.clone();
        let able = |entry: &&Entry| {
            entry.record.status == Status::Alive && entry.record.member.name != target
        };
        let via = self
            .table
            .iter()
            .filter(able)
            .map(|entry| entry.record.clone());
        let via = via.choose_multiple(rng, self.options.relays);
        let wait = via.iter().map(|via| self.wait(via)).max().unwrap_or(0) + self.wait(record);
        let check = Check {
            incarnation: before.incarnation,
            deadline: now.plus(wait),
            round: before.round + 1,
            relays: before.relays + via.len(),
        };
        self.checks.insert(target.clone(), check);
        let address = record.member.rpc;
        let mut effects = Vec::new();
        for via in via {
            let message = self.bare(&target, None, None);
            let via = via.member.rpc;
            let call = self.call(Kind::Relay, via, Some(target.clone()), now);
            effects.push(Effect::Relay {
                call,
                via,
                target: target.clone(),
                address,
                message,
            });
        }
        let message = self.bare(&target, None, None);
        let call = self.call(Kind::Probe, address, Some(target), now);
        effects.push(Effect::Probe {
            call,
            to: address,
            message,
        });
        effects
    }

    fn silent(&mut self, old: &Record, relays: usize, now: Millis) {
        let deadline = now.plus(self.suspicion());
        if old.status == Status::Alive {
            let new = Record {
                status: Status::Suspect,
                ..old.clone()
            };
            self.believe(new, Some(old), &Reason::Silent { relays }, now);
        }
        if let Some(entry) = self.table.get_mut(&old.member.name) {
            entry.own = true;
            entry.deadline = entry.deadline.or(Some(deadline));
        }
    }

    /// Draws the conclusions from an answer.
    pub(crate) fn settle(
        &mut self,
        call: Call,
        pending: &Pending,
        message: &Message,
        now: Millis,
    ) -> Vec<Effect> {
        let from = &message.from.member.name;
        if pending.target.as_ref().is_some_and(|target| target != from) {
            self.unanswered(call, pending, now);
        } else {
            self.checks.remove(from);
            self.farewell.remove(from);
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
        self.compare(call, pending.to, message, now)
    }

    /// Draws the conclusions from a failed call: a direct probe need not be waited for.
    pub(crate) fn unanswered(&mut self, call: Call, pending: &Pending, now: Millis) {
        self.seeds
            .entry(pending.to)
            .and_modify(|failed| *failed = true);
        if self.sync == Sync::Pulling(call) {
            self.sync = Sync::Needed;
        }
        if pending.kind == Kind::Probe
            && let Some(target) = &pending.target
            && let Some(check) = self.checks.get_mut(target)
            && check.round == 0
        {
            check.deadline = now;
        }
    }

    /// Pushes news to two random members at once, within the allowance.
    pub(crate) fn push_eagerly(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        if !std::mem::take(&mut self.eager) {
            return Vec::new();
        }
        let live = self.table.iter().filter(|entry| entry.record.status.live());
        let live = live.map(|entry| entry.record.member.clone());
        let some = live.choose_multiple(rng, 2);
        let mut effects = Vec::new();
        for member in some {
            if self.tokens == 0 {
                break;
            }
            self.tokens -= 1;
            let message = self.told(&member.name, None, now);
            let call = self.call(Kind::Push, member.rpc, Some(member.name), now);
            effects.push(Effect::Push {
                call,
                to: member.rpc,
                message,
            });
        }
        effects
    }

    /// Pushes that this node leaves to those who have not answered yet.
    pub(crate) fn say_farewell(&mut self, now: Millis) -> Vec<Effect> {
        let waiting = |name: &NodeName| {
            self.calls.values().any(|pending| {
                pending.kind == Kind::Farewell && pending.target.as_ref() == Some(name)
            })
        };
        let names: Vec<NodeName> = self
            .farewell
            .keys()
            .filter(|name| !waiting(name))
            .cloned()
            .collect();
        let mut effects = Vec::new();
        for name in names {
            let tries = self.farewell.remove(&name).unwrap_or(0);
            let Some(to) = self.table.get(&name).map(|entry| entry.record.member.rpc) else {
                continue;
            };
            if tries > 1 {
                self.farewell.insert(name.clone(), tries - 1);
            }
            let message = self.told(&name, None, now);
            let call = self.call(Kind::Farewell, to, Some(name), now);
            effects.push(Effect::Push { call, to, message });
        }
        effects
    }
}
