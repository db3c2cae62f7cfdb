//! The machine: its state, its inputs and the rules by which beliefs change.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{Millis, NodeName, rank};
use rand::Rng;

use crate::items::{Held, Items};
use crate::news::{self, News, Subject};
use crate::probe::{Checks, Pending};
use crate::table::{Table, item_key, low};
use crate::{Call, Effect, Event, Item, ItemError, Member, Message, Record, Status};

/// Doublings that a small cluster is counted with. Two nodes that lose one message in five each way
/// lose a third of their calls; less time than this declared live ones dead within minutes.
const FEW_DOUBLINGS: u64 = 3;

/// With one message in five lost, one round failed for 7% of the probes of live members. At 330
/// nodes their suspicions filled all messages, and a leave took 33 s to be everywhere.
const ROUNDS: u32 = 4;

/// Settings. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time between probes.
    pub period: u64,
    /// Wait for an answer from the same region; an indirect probe waits twice as long.
    pub timeout: u64,
    /// Wait for an answer from another region.
    pub far: u64,
    /// Members asked to probe a silent one.
    pub relays: usize,
    /// Rounds of indirect probes before suspicion.
    pub rounds: u32,
    /// Suspicion time in periods for each doubling of the members.
    pub suspicion: u64,
    /// Sends of a change for each doubling of the members.
    pub spread: u32,
    /// Longest message as JSON, bytes.
    pub bytes: usize,
    /// Bytes of changes and items that a period allows, whatever the number of messages.
    pub news: usize,
    /// How long a dead member is remembered and probed now and then.
    pub dead: u64,
    /// How long a member that left is remembered.
    pub left: u64,
    /// Periods between probes of a dead member or an unknown seed.
    pub revive: u64,
    /// Periods between comparisons of the whole table.
    pub compare: u64,
    /// Most items held.
    pub items: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            period: 200,
            timeout: 150,
            far: 500,
            relays: 3,
            rounds: ROUNDS,
            suspicion: 4,
            spread: 3,
            bytes: 1400,
            news: 1600,
            dead: 3_600_000,
            left: 600_000,
            revive: 10,
            compare: 5,
            items: 4096,
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
pub(crate) enum Sync {
    Needed,
    Pulling(Call),
    Done,
}

/// Membership as one node sees it. One task owns it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) me: Record,
    /// Length of `me` as JSON.
    pub(crate) me_bytes: usize,
    pub(crate) options: Options,
    pub(crate) table: Table,
    pub(crate) items: Items,
    pub(crate) news: News,
    pub(crate) calls: BTreeMap<Call, Pending>,
    pub(crate) serial: u64,
    pub(crate) checks: Checks,
    /// Members whose state another node contradicts, with what it said.
    pub(crate) contested: BTreeMap<NodeName, Record>,
    /// Seeds, and whether a call to each failed since the start or the last pause.
    pub(crate) seeds: BTreeMap<SocketAddr, bool>,
    pub(crate) sync: Sync,
    /// Something urgent is to be pushed at the next tick.
    pub(crate) eager: bool,
    /// Bytes of news that may be sent now.
    pub(crate) allowance: usize,
    /// Immediate pushes that may be made now.
    pub(crate) tokens: u32,
    /// Members to be told again that this node leaves, with the tries left.
    pub(crate) farewell: BTreeMap<NodeName, u32>,
    pub(crate) last: Option<Millis>,
    pub(crate) due: Millis,
    pub(crate) count: u64,
    pub(crate) compared: u64,
    pub(crate) events: Vec<Event>,
}

impl Membership {
    /// Starts as `me`, whose incarnation is the wall clock in milliseconds.
    #[must_use]
    pub fn new(me: Member, options: Options) -> Self {
        let me = Record {
            started: me.incarnation,
            member: me,
            status: Status::Alive,
        };
        let mut table = Table::default();
        table.toggle_record(&me);
        Self {
            me_bytes: me.bytes(),
            me,
            options,
            table,
            items: Items::default(),
            news: News::default(),
            calls: BTreeMap::new(),
            serial: 0,
            checks: BTreeMap::new(),
            contested: BTreeMap::new(),
            seeds: BTreeMap::new(),
            sync: Sync::Needed,
            eager: false,
            allowance: 0,
            tokens: 0,
            farewell: BTreeMap::new(),
            last: None,
            due: Millis(0),
            count: 0,
            compared: 0,
            events: Vec::new(),
        }
    }

    /// Replaces the addresses at which members may be found. A listed member that is not known
    /// is probed, never added; one that is missing from the list stays.
    pub fn seeded(&mut self, seeds: impl IntoIterator<Item = Seed>, now: Millis) {
        self.observe(now);
        let old = std::mem::take(&mut self.seeds);
        for seed in seeds {
            let address = match seed {
                Seed::Address(address) => address,
                Seed::Member(member) => {
                    self.contest_dead(&member);
                    member.rpc
                }
            };
            if address != self.me.member.rpc {
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
        self.observe(now);
        self.last = Some(now);
        self.expire(now);
        let mut effects = self.check(now, rng);
        if now >= self.due {
            self.due = now.plus(self.options.period);
            self.count += 1;
            effects.extend(self.period(now, rng));
        }
        effects.extend(self.push_eagerly(now, rng));
        effects
    }

    /// Takes a probe or a push, and returns the answer.
    pub fn probed(&mut self, message: Message, now: Millis) -> Message {
        self.observe(now);
        let from = message.from.member.name.clone();
        let stale = self.take(&message.from, &message, now);
        self.reply(&from, message.digest, message.repair, &stale, now)
    }

    /// Learns from a message that it is asked to relay; the shell sends it on unchanged and
    /// returns the target's answer unchanged.
    pub fn relay_asked(&mut self, message: &Message, now: Millis) {
        self.observe(now);
        self.take(&message.from, message, now);
    }

    /// Takes the answer to a call. Answers to calls from before a pause are ignored.
    pub fn answered(&mut self, call: Call, message: &Message, now: Millis) -> Vec<Effect> {
        self.observe(now);
        let Some(pending) = self.calls.remove(&call) else {
            return Vec::new();
        };
        self.take(&message.from, message, now);
        self.settle(call, &pending, message, now)
    }

    /// Takes note that a call failed or was given up by the shell.
    pub fn failed(&mut self, call: Call, now: Millis) {
        self.observe(now);
        if let Some(pending) = self.calls.remove(&call) {
            self.unanswered(call, &pending, now);
        }
    }

    /// Announces that this node leaves, which is final for its incarnation: to all members of its
    /// place and three of each other place at once, to the others by gossip.
    pub fn leave(&mut self, now: Millis) -> Vec<Effect> {
        self.observe(now);
        if self.me.status == Status::Leaving {
            return Vec::new();
        }
        let mut me = self.me.clone();
        me.status = Status::Leaving;
        self.set_me(me);
        let mut near: BTreeMap<_, Vec<Member>> = BTreeMap::new();
        for entry in self
            .table
            .iter()
            .filter(|entry| !entry.record.status.gone())
        {
            let member = entry.record.member.clone();
            near.entry(member.place.clone()).or_default().push(member);
        }
        for (place, members) in near {
            let some = if place == self.me.member.place {
                members.len()
            } else {
                3
            };
            let order = rank(self.me.member.name.as_str().as_bytes(), members);
            self.farewell
                .extend(order.into_iter().take(some).map(|member| (member.name, 5)));
        }
        self.say_farewell(now)
    }

    /// Publishes an item of this node.
    ///
    /// # Errors
    /// When the item is too long, is not newer than what is held, or the table is full.
    pub fn publish(&mut self, item: Item, now: Millis) -> Result<(), ItemError> {
        let limit = self.item_limit();
        let new = Held::new(item, now);
        if new.bytes > limit {
            return Err(ItemError::Large {
                key: new.item.key,
                bytes: new.bytes,
                limit,
            });
        }
        if !self.items.newer(&new) {
            let held = self.items.version(&new.item.key).unwrap_or_default();
            return Err(ItemError::Old {
                key: new.item.key,
                version: new.item.version,
                held,
            });
        }
        if self.items.full(&new.item.key, self.options.items) {
            return Err(ItemError::Full {
                key: new.item.key,
                limit: self.options.items,
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
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns this node with its present incarnation.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Returns what is believed of a member, this node included.
    #[must_use]
    pub fn record(&self, name: &NodeName) -> Option<&Record> {
        if *name == self.me.member.name {
            return Some(&self.me);
        }
        self.table.get(name).map(|entry| &entry.record)
    }

    /// Returns what is believed of all members, this node first.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        std::iter::once(&self.me).chain(self.table.iter().map(|entry| &entry.record))
    }

    /// Returns the live members, this node first unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.records()
            .filter(|record| record.status.live())
            .map(|record| &record.member)
    }

    /// Returns the first `n` live members that pass `filter`, in rendezvous order of `key`.
    pub fn holders(&self, key: &[u8], n: usize, filter: impl Fn(&Member) -> bool) -> Vec<&Member> {
        let mut order = rank(key, self.live().filter(|member| filter(member)));
        order.truncate(n);
        order
    }

    /// Whether duties may be taken on what this machine believes: it has a list from another
    /// member since its start or last pause, or found nobody else.
    #[must_use]
    pub fn trusted(&self, now: Millis) -> bool {
        let late = self
            .last
            .is_none_or(|last| now.since(last) > self.suspicion());
        !late && (self.sync == Sync::Done || self.alone())
    }

    /// Nobody else lives and no seed answers.
    fn alone(&self) -> bool {
        let others = self.table.iter().any(|entry| entry.record.status.live());
        self.last.is_some() && !others && self.seeds.values().all(|failed| *failed)
    }

    /// Hash of the whole table; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Time from suspicion to death, milliseconds.
    #[must_use]
    pub fn suspicion(&self) -> u64 {
        let doublings = u64::from(self.doublings()).max(FEW_DOUBLINGS);
        self.options.suspicion * self.options.period * doublings
    }

    /// Logarithm to the base two of the number of members, rounded up.
    pub(crate) fn doublings(&self) -> u32 {
        (self.table.here() + 1).next_power_of_two().ilog2().max(1)
    }

    /// Most sends of a change.
    pub(crate) fn sends(&self) -> u32 {
        self.options.spread * self.doublings()
    }

    /// Longest item: two fit a message.
    pub(crate) const fn item_limit(&self) -> usize {
        self.options.bytes / 2 - 150
    }

    /// Detects that this node did not run.
    fn observe(&mut self, now: Millis) {
        let Some(last) = self.last else { return };
        let gap = now.since(last);
        if gap <= self.suspicion() {
            return;
        }
        self.last = Some(now);
        self.calls.clear();
        self.checks.clear();
        self.sync = Sync::Needed;
        self.seeds.values_mut().for_each(|failed| *failed = false);
        for entry in self.table.iter_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline.plus(gap));
        }
        if self.me.status != Status::Leaving {
            let mut me = self.me.clone();
            me.member.incarnation = me.member.incarnation.plus(1);
            self.set_me(me);
        }
        let incarnation = self.me.member.incarnation;
        self.events.push(Event::Paused { gap, incarnation });
    }

    pub(crate) fn set_me(&mut self, me: Record) {
        self.table.toggle_record(&self.me);
        self.table.toggle_record(&me);
        self.me_bytes = me.bytes();
        self.me = me;
    }

    pub(crate) fn set_item(&mut self, new: Held) {
        let key = new.item.key.clone();
        self.table.toggle(item_key(&key), low(new.hash));
        self.news.add(Subject::Item(key.clone()), news::DEAD);
        if let Some(old) = self.items.insert(new) {
            self.table.toggle(item_key(&key), low(old.hash));
        }
        self.eager = true;
    }
}
