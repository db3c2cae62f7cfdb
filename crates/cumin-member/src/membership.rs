//! The machine: its state, its inputs and the rules by which beliefs change.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{Millis, NodeName, rank};
use rand::Rng;

use crate::gossip::{self, GossipQueue, Subject};
use crate::items::{HeldItem, Items};
use crate::probe::{ActiveProbes, PendingCall};
use crate::table::{Table, item_key, low_bits};
use crate::{CallId, Effect, Event, Item, ItemError, Member, Message, Record, Status};

/// Doublings that a small cluster is counted with. Two nodes that lose one message in five each way
/// lose a third of their calls; less time than this declared live ones dead within minutes.
const MIN_DOUBLINGS: u64 = 3;

/// With one message in five lost, one round failed for 7% of the probes of live members. At 330
/// nodes their suspicions filled all messages, and a leave took 33 s to be everywhere.
const RELAY_ROUNDS: u32 = 4;

/// Settings. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time between probes.
    pub probe_period: u64,
    /// Wait for an answer from the same region; an indirect probe waits twice as long.
    pub near_timeout: u64,
    /// Wait for an answer from another region.
    pub far_timeout: u64,
    /// Members asked to probe a silent one.
    pub relays: usize,
    /// Rounds of indirect probes before suspicion.
    pub relay_rounds: u32,
    /// Suspicion time in periods for each doubling of the members.
    pub suspicion_periods: u64,
    /// Sends of a change for each doubling of the members.
    pub send_factor: u32,
    /// Longest message as JSON, bytes.
    pub message_bytes: usize,
    /// Bytes of changes and items that a period allows, whatever the number of messages.
    pub gossip_bytes: usize,
    /// How long a dead member is remembered and probed now and then.
    pub dead_retention: u64,
    /// How long a member that left is remembered.
    pub left_retention: u64,
    /// Periods between probes of a dead member or an unknown seed.
    pub reconnect_periods: u64,
    /// Periods between comparisons of the whole table.
    pub compare_periods: u64,
    /// Most items held.
    pub max_items: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_period: 200,
            near_timeout: 150,
            far_timeout: 500,
            relays: 3,
            relay_rounds: RELAY_ROUNDS,
            suspicion_periods: 4,
            send_factor: 3,
            message_bytes: 1400,
            gossip_bytes: 1600,
            dead_retention: 3_600_000,
            left_retention: 600_000,
            reconnect_periods: 10,
            compare_periods: 5,
            max_items: 4096,
        }
    }
}

/// Where members may be found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seed {
    /// An rpc address from the settings.
    Address(SocketAddr),
    /// A member as the platform's lagging list has it.
    Member(Member),
}

/// How far this node has a list of the members from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncState {
    Needed,
    Pulling(CallId),
    Done,
}

/// Membership as one node sees it. One task owns it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) local: Record,
    /// Length of `me` as JSON.
    pub(crate) local_bytes: usize,
    pub(crate) options: Options,
    pub(crate) table: Table,
    pub(crate) items: Items,
    pub(crate) gossip: GossipQueue,
    pub(crate) calls: BTreeMap<CallId, PendingCall>,
    pub(crate) call_serial: u64,
    pub(crate) active_probes: ActiveProbes,
    /// Members whose state another node contradicts, with what it said.
    pub(crate) contested: BTreeMap<NodeName, Record>,
    /// Seeds, and whether a call to each failed since the start or the last pause.
    pub(crate) seeds: BTreeMap<SocketAddr, bool>,
    pub(crate) sync: SyncState,
    /// Something urgent is to be pushed at the next tick.
    pub(crate) push_now: bool,
    /// Bytes of news that may be sent now.
    pub(crate) gossip_budget: usize,
    /// Immediate pushes that may be made now.
    pub(crate) push_tokens: u32,
    /// Members to be told again that this node leaves, with the tries left.
    pub(crate) leave_sends: BTreeMap<NodeName, u32>,
    pub(crate) last_tick: Option<Millis>,
    pub(crate) next_period: Millis,
    pub(crate) period_count: u64,
    pub(crate) last_compare: u64,
    pub(crate) events: Vec<Event>,
}

impl Membership {
    /// Starts as `me`, whose incarnation is the wall clock in milliseconds.
    #[must_use]
    pub fn new(local: Member, options: Options) -> Self {
        let local = Record {
            started: local.incarnation,
            member: local,
            status: Status::Alive,
        };
        let mut table = Table::default();
        table.toggle_record(&local);
        Self {
            local_bytes: local.bytes(),
            local,
            options,
            table,
            items: Items::default(),
            gossip: GossipQueue::default(),
            calls: BTreeMap::new(),
            call_serial: 0,
            active_probes: BTreeMap::new(),
            contested: BTreeMap::new(),
            seeds: BTreeMap::new(),
            sync: SyncState::Needed,
            push_now: false,
            gossip_budget: 0,
            push_tokens: 0,
            leave_sends: BTreeMap::new(),
            last_tick: None,
            next_period: Millis(0),
            period_count: 0,
            last_compare: 0,
            events: Vec::new(),
        }
    }

    /// Replaces the addresses at which members may be found. A listed member that is not known
    /// is probed, never added; one that is missing from the list stays.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = Seed>, now: Millis) {
        self.detect_pause(now);
        let old = std::mem::take(&mut self.seeds);
        for seed in seeds {
            let address = match seed {
                Seed::Address(address) => address,
                Seed::Member(member) => {
                    self.contest_dead(&member);
                    member.rpc
                }
            };
            if address != self.local.member.rpc {
                self.seeds
                    .insert(address, old.get(&address).is_some_and(|failed| *failed));
            }
        }
    }

    /// The platform lists a member that is dead here: it is probed soon.
    fn contest_dead(&mut self, listed: &Member) {
        if let Some(entry) = self.table.get(&listed.name)
            && entry.record.status == Status::Dead
        {
            self.contested
                .insert(listed.name.clone(), entry.record.clone());
        }
    }

    /// Advances to `now`; to be called a few times in each period.
    pub fn tick(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Effect> {
        self.detect_pause(now);
        self.last_tick = Some(now);
        self.expire(now);
        let mut effects = self.advance_probes(now, rng);
        if now >= self.next_period {
            self.next_period = now.plus(self.options.probe_period);
            self.period_count += 1;
            effects.extend(self.run_period(now, rng));
        }
        effects.extend(self.push_urgent(now, rng));
        effects
    }

    /// Takes a probe or a push, and returns the answer.
    pub fn handle_probe(&mut self, message: Message, now: Millis) -> Message {
        self.detect_pause(now);
        let from = message.from.member.name.clone();
        let stale = self.apply_message(&message.from, &message, now);
        self.reply(&from, message.digest, message.repair, &stale, now)
    }

    /// Learns from a message that it is asked to relay; the shell sends it on unchanged and
    /// returns the target's answer unchanged.
    pub fn handle_relay(&mut self, message: &Message, now: Millis) {
        self.detect_pause(now);
        self.apply_message(&message.from, message, now);
    }

    /// Takes the answer to a call. Answers to calls from before a pause are ignored.
    pub fn handle_answer(&mut self, call: CallId, message: &Message, now: Millis) -> Vec<Effect> {
        self.detect_pause(now);
        let Some(pending) = self.calls.remove(&call) else {
            return Vec::new();
        };
        self.apply_message(&message.from, message, now);
        self.finish_call(call, &pending, message, now)
    }

    /// Takes note that a call failed or was given up by the shell.
    pub fn handle_failure(&mut self, call: CallId, now: Millis) {
        self.detect_pause(now);
        if let Some(pending) = self.calls.remove(&call) {
            self.fail_call(call, &pending, now);
        }
    }

    /// Announces that this node leaves, which is final for its incarnation: to all members of its
    /// place and three of each other place at once, to the others by gossip.
    pub fn leave(&mut self, now: Millis) -> Vec<Effect> {
        self.detect_pause(now);
        if self.local.status == Status::Leaving {
            return Vec::new();
        }
        let mut local = self.local.clone();
        local.status = Status::Leaving;
        self.set_local(local);
        let mut by_place: BTreeMap<_, Vec<Member>> = BTreeMap::new();
        for entry in self
            .table
            .iter()
            .filter(|entry| !entry.record.status.is_gone())
        {
            let member = entry.record.member.clone();
            by_place
                .entry(member.place.clone())
                .or_default()
                .push(member);
        }
        for (place, members) in by_place {
            let count = if place == self.local.member.place {
                members.len()
            } else {
                3
            };
            let order = rank(self.local.member.name.as_str().as_bytes(), members);
            self.leave_sends
                .extend(order.into_iter().take(count).map(|member| (member.name, 5)));
        }
        self.push_leave(now)
    }

    /// Publishes an item of this node.
    ///
    /// # Errors
    /// When the item is too long, is not newer than what is held, or the table is full.
    pub fn publish(&mut self, item: Item, now: Millis) -> Result<(), ItemError> {
        let limit = self.max_item_bytes();
        let new = HeldItem::new(item, now);
        if new.bytes > limit {
            return Err(ItemError::Large {
                key: new.item.key,
                bytes: new.bytes,
                limit,
            });
        }
        if !self.items.is_newer(&new) {
            let held = self.items.last_version(&new.item.key).unwrap_or_default();
            return Err(ItemError::Old {
                key: new.item.key,
                version: new.item.version,
                held,
            });
        }
        if self.items.is_full(&new.item.key, self.options.max_items) {
            return Err(ItemError::Full {
                key: new.item.key,
                limit: self.options.max_items,
            });
        }
        self.set_item(new);
        Ok(())
    }

    /// Returns an item by its key.
    #[must_use]
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.held.get(key).map(|held| &held.item)
    }

    /// Returns the items in order of their keys, from `prefix` on while they start with it. Their
    /// `ttl` is as received.
    pub fn items<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        let from = self.items.held.range(prefix.to_owned()..);
        from.map(|(_, held)| &held.item)
            .take_while(move |item| item.key.starts_with(prefix))
    }

    /// Returns and removes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns this node with its present incarnation.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.local.member
    }

    /// Returns what is believed of a member, this node included.
    #[must_use]
    pub fn record(&self, name: &NodeName) -> Option<&Record> {
        if *name == self.local.member.name {
            return Some(&self.local);
        }
        self.table.get(name).map(|entry| &entry.record)
    }

    /// Returns what is believed of all members, this node first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.local).chain(self.table.iter().map(|entry| &entry.record))
    }

    /// Returns the live members, this node first unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.records()
            .filter(|record| record.status.is_live())
            .map(|record| &record.member)
    }

    /// Returns the first `n` live members that pass `filter`, in rendezvous order of `key`.
    pub fn top_ranked(
        &self,
        key: &[u8],
        n: usize,
        filter: impl Fn(&Member) -> bool,
    ) -> Vec<&Member> {
        let mut order = rank(key, self.live().filter(|member| filter(member)));
        order.truncate(n);
        order
    }

    /// Whether duties may be taken on what this machine believes: it has a list from another
    /// member since its start or last pause, or found nobody else.
    #[must_use]
    pub fn trusted(&self, now: Millis) -> bool {
        let late = self
            .last_tick
            .is_none_or(|last| now.since(last) > self.suspicion_ms());
        !late && (self.sync == SyncState::Done || self.is_alone())
    }

    /// Nobody else lives and no seed answers.
    fn is_alone(&self) -> bool {
        let others = self.table.iter().any(|entry| entry.record.status.is_live());
        self.last_tick.is_some() && !others && self.seeds.values().all(|failed| *failed)
    }

    /// Hash of the whole table; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Time from suspicion to death, milliseconds.
    #[must_use]
    pub fn suspicion_ms(&self) -> u64 {
        let doublings = u64::from(self.doublings()).max(MIN_DOUBLINGS);
        self.options.suspicion_periods * self.options.probe_period * doublings
    }

    /// Logarithm to the base two of the number of members, rounded up.
    pub(crate) fn doublings(&self) -> u32 {
        (self.table.present() + 1)
            .next_power_of_two()
            .ilog2()
            .max(1)
    }

    /// Most sends of a change.
    pub(crate) fn max_sends(&self) -> u32 {
        self.options.send_factor * self.doublings()
    }

    /// Longest item: two fit a message.
    pub(crate) const fn max_item_bytes(&self) -> usize {
        self.options.message_bytes / 2 - 150
    }

    /// Detects that this node did not run.
    fn detect_pause(&mut self, now: Millis) {
        let Some(last) = self.last_tick else { return };
        let gap = now.since(last);
        if gap <= self.suspicion_ms() {
            return;
        }
        self.last_tick = Some(now);
        self.calls.clear();
        self.active_probes.clear();
        self.sync = SyncState::Needed;
        self.seeds.values_mut().for_each(|failed| *failed = false);
        for entry in self.table.iter_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline.plus(gap));
        }
        if self.local.status != Status::Leaving {
            let mut local = self.local.clone();
            local.member.incarnation = local.member.incarnation.plus(1);
            self.set_local(local);
        }
        let incarnation = self.local.member.incarnation;
        self.events.push(Event::Paused { gap, incarnation });
    }

    pub(crate) fn set_local(&mut self, local: Record) {
        self.table.toggle_record(&self.local);
        self.table.toggle_record(&local);
        self.local_bytes = local.bytes();
        self.local = local;
    }

    pub(crate) fn set_item(&mut self, new: HeldItem) {
        let key = new.item.key.clone();
        self.table.toggle(item_key(&key), low_bits(new.hash));
        self.gossip
            .add(Subject::Item(key.clone()), gossip::DEAD_HEAD_START);
        if let Some(old) = self.items.insert(new) {
            self.table.toggle(item_key(&key), low_bits(old.hash));
        }
        self.push_now = true;
    }
}
