//! The membership state machine: its state, inputs and queries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{Millis, NodeName, rank};
use rand::Rng;

use crate::gossip::{self, GossipQueue, Subject};
use crate::items::{HeldItem, Items};
use crate::probe::{ActiveProbes, PendingCall};
use crate::table::{Table, item_key, low_bits};
use crate::{CallId, Effect, Event, Item, ItemError, Member, Message, Record, Status};

/// Minimum of `log2(n)` in the suspicion time. Two nodes that lose one message in five each way
/// lose a third of their calls; a shorter suspicion time declared live nodes dead within minutes.
const MIN_DOUBLINGS: u64 = 3;

/// Rounds of indirect probes before suspicion. With one message in five lost, a single round failed
/// for 7% of the probes of live members. At 330 nodes the resulting suspicions filled all messages,
/// and a leave took 33 s to reach all nodes.
const RELAY_ROUNDS: u32 = 4;

/// Settings of the protocol. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time between probes.
    pub probe_period: u64,
    /// Timeout of a probe within the region; an indirect probe has twice as long.
    pub near_timeout: u64,
    /// Timeout of a probe to another region.
    pub far_timeout: u64,
    /// Number of members that send an indirect probe in each round.
    pub relays: usize,
    /// Rounds of indirect probes before suspicion.
    pub relay_rounds: u32,
    /// Suspicion time, in probe periods for each doubling of the members.
    pub suspicion_periods: u64,
    /// Maximum sends of a change for each doubling of the members.
    pub send_factor: u32,
    /// Maximum length of a message as JSON.
    pub message_bytes: usize,
    /// Bytes of gossip that a probe period allows, over all messages.
    pub gossip_bytes: usize,
    /// Time for which a dead member is kept, and probed at intervals.
    pub dead_retention: u64,
    /// Time for which a member that left, or the tombstone of an item, is kept.
    pub left_retention: u64,
    /// Probe periods between probes of a dead member or an unknown seed.
    pub reconnect_periods: u64,
    /// Probe periods between comparisons of the whole table.
    pub compare_periods: u64,
    /// Maximum number of items.
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

/// Address at which a member may be found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seed {
    /// RPC address from the settings.
    Address(SocketAddr),
    /// Member from the platform's list, which lags behind.
    Member(Member),
}

/// Progress of fetching the whole table from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncState {
    Needed,
    Pulling(CallId),
    Done,
}

/// Membership state machine of one node, owned by a single task.
#[derive(Debug)]
pub struct Membership {
    pub(crate) local: Record,
    /// Length of `local` as JSON.
    pub(crate) local_bytes: usize,
    pub(crate) options: Options,
    pub(crate) table: Table,
    pub(crate) items: Items,
    pub(crate) gossip: GossipQueue,
    pub(crate) calls: BTreeMap<CallId, PendingCall>,
    pub(crate) call_serial: u64,
    pub(crate) active_probes: ActiveProbes,
    /// Members whose status another node or the platform's list contradicts, with the record to be
    /// refuted.
    pub(crate) contested: BTreeMap<NodeName, Record>,
    /// Whether a call to each seed failed since the start or the last pause.
    pub(crate) seeds: BTreeMap<SocketAddr, bool>,
    pub(crate) sync: SyncState,
    /// Whether an urgent change is to be pushed at the next tick.
    pub(crate) push_now: bool,
    /// Bytes of gossip that may be sent now.
    pub(crate) gossip_budget: usize,
    /// Number of urgent pushes that may be made now.
    pub(crate) push_tokens: u32,
    /// Members that have not acknowledged this node's leave, with the number of sends left.
    pub(crate) leave_sends: BTreeMap<NodeName, u32>,
    pub(crate) last_tick: Option<Millis>,
    pub(crate) next_period: Millis,
    pub(crate) period_count: u64,
    pub(crate) last_compare: u64,
    pub(crate) events: Vec<Event>,
}

impl Membership {
    /// Creates the state machine of `local`, whose incarnation is the wall clock in milliseconds.
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

    /// Replaces the seeds. An unknown member in the list is probed before it is added; a known
    /// member that is missing from the list is kept.
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

    /// Schedules a probe of a member that the platform lists and this node has as dead.
    fn contest_dead(&mut self, listed: &Member) {
        if let Some(entry) = self.table.get(&listed.name)
            && entry.record.status == Status::Dead
        {
            self.contested
                .insert(listed.name.clone(), entry.record.clone());
        }
    }

    /// Advances the clock to `now`; to be called a few times in each probe period.
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

    /// Handles a probe or a push, and returns the answer.
    pub fn handle_probe(&mut self, message: Message, now: Millis) -> Message {
        self.detect_pause(now);
        let from = message.from.member.name.clone();
        let stale = self.apply_message(&message.from, &message, now);
        self.reply(&from, message.digest, message.repair, &stale, now)
    }

    /// Handles a message that this node is asked to relay. The driver forwards it unchanged, and
    /// returns the target's answer unchanged.
    pub fn handle_relay(&mut self, message: &Message, now: Millis) {
        self.detect_pause(now);
        self.apply_message(&message.from, message, now);
    }

    /// Handles the answer to a call. Answers to calls from before a pause are ignored.
    pub fn handle_answer(&mut self, call: CallId, message: &Message, now: Millis) -> Vec<Effect> {
        self.detect_pause(now);
        let Some(pending) = self.calls.remove(&call) else {
            return Vec::new();
        };
        self.apply_message(&message.from, message, now);
        self.finish_call(call, &pending, message, now)
    }

    /// Handles a call that failed or that the driver gave up.
    pub fn handle_failure(&mut self, call: CallId, now: Millis) {
        self.detect_pause(now);
        if let Some(pending) = self.calls.remove(&call) {
            self.fail_call(call, &pending, now);
        }
    }

    /// Announces that this node leaves, which is final for its incarnation. The notice is pushed to
    /// all members of its place and to three of each other place; the others receive it by gossip.
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

    /// Publishes an item to all nodes.
    ///
    /// # Errors
    /// Fails if the item is too long or not newer than the one that is held, or if the table is full.
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

    /// Returns the item of a key.
    #[must_use]
    pub fn item(&self, key: &str) -> Option<&Item> {
        self.items.held.get(key).map(|held| &held.item)
    }

    /// Returns the items whose key starts with `prefix`, in order of their keys. Their `ttl` is as
    /// received, not the time that remains.
    pub fn items<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        let from = self.items.held.range(prefix.to_owned()..);
        from.map(|(_, held)| &held.item)
            .take_while(move |item| item.key.starts_with(prefix))
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns this node with its current incarnation.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.local.member
    }

    /// Returns the record of a member, which may be this node.
    #[must_use]
    pub fn record(&self, name: &NodeName) -> Option<&Record> {
        if *name == self.local.member.name {
            return Some(&self.local);
        }
        self.table.get(name).map(|entry| &entry.record)
    }

    /// Returns the records of all members, this node first.
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

    /// Returns whether this node may assume duties on its view of the members: it ticks in time, and
    /// has fetched the table of another member since its start or last pause, or is alone.
    #[must_use]
    pub fn trusted(&self, now: Millis) -> bool {
        let late = self
            .last_tick
            .is_none_or(|last| now.since(last) > self.suspicion_ms());
        !late && (self.sync == SyncState::Done || self.is_alone())
    }

    /// Returns whether no other member is live and no seed answers.
    fn is_alone(&self) -> bool {
        let others = self.table.iter().any(|entry| entry.record.status.is_live());
        self.last_tick.is_some() && !others && self.seeds.values().all(|failed| *failed)
    }

    /// Returns the hash of the whole table; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the time after which a suspect is declared dead, in milliseconds.
    #[must_use]
    pub fn suspicion_ms(&self) -> u64 {
        let doublings = u64::from(self.doublings()).max(MIN_DOUBLINGS);
        self.options.suspicion_periods * self.options.probe_period * doublings
    }

    /// Returns `log2` of the number of members, rounded up.
    pub(crate) fn doublings(&self) -> u32 {
        (self.table.present() + 1)
            .next_power_of_two()
            .ilog2()
            .max(1)
    }

    /// Returns the maximum number of sends of a change.
    pub(crate) fn max_sends(&self) -> u32 {
        self.options.send_factor * self.doublings()
    }

    /// Returns the maximum length of an item, of which two fit a message.
    pub(crate) const fn max_item_bytes(&self) -> usize {
        self.options.message_bytes / 2 - 150
    }

    /// Detects that this node did not run for longer than the suspicion time. Suspicions are extended
    /// by the gap, calls in flight are dropped, and the table has to be fetched again.
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
