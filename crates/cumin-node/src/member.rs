//! The other nodes, as this one sees them: drives the membership machine over calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_member::{Effect, Event, Item, Membership, Message, Options, Record, Seed};
use cumin_state::batch::Author;
use cumin_types::{Incarnation, Millis, NodeName, RequestId, rank};

pub(crate) use cumin_member::Member;

use crate::node::Ctx;
use crate::peer::PeerClient;
use crate::request;

/// Ticks in a probe period: the machine's timeouts are shorter than the period.
const TICKS: u32 = 4;

/// Members by name, this node among them.
pub(crate) struct Members {
    machine: RefCell<Membership>,
    started: Incarnation,
    tick: Duration,
}

impl Members {
    pub(crate) fn new(me: Member, period: Millis) -> Self {
        let started = me.incarnation;
        let options = Options {
            probe_period: period.0,
            ..Options::default()
        };
        let machine = RefCell::new(Membership::new(me, options));
        Self {
            machine,
            started,
            tick: period.duration() / TICKS,
        }
    }

    pub(crate) fn me(&self) -> Member {
        self.machine.borrow().local_member().clone()
    }

    /// Returns this life of the node, as the author of records.
    pub(crate) fn author(&self) -> Author {
        Author {
            node: self.machine.borrow().local_member().name.clone(),
            incarnation: self.started,
        }
    }

    /// Announces that this node leaves.
    pub(crate) fn leave(&self, ctx: &Rc<Ctx>) {
        let effects = self.machine.borrow_mut().leave(ctx.clock.now());
        perform(ctx, effects);
    }

    pub(crate) fn leaving(&self) -> bool {
        let machine = self.machine.borrow();
        machine
            .record(&machine.local_member().name)
            .is_some_and(|record| !record.status.is_live())
    }

    /// Returns true when duties may follow from the list.
    pub(crate) fn trusted(&self, now: Millis) -> bool {
        self.machine.borrow().trusted(now)
    }

    /// Returns the live nodes, this one first unless it is leaving.
    pub(crate) fn entries(&self) -> Vec<Member> {
        self.machine.borrow().live().cloned().collect()
    }

    /// Returns the live node that has a duty.
    pub(crate) fn holder(&self, duty: &str) -> Option<Member> {
        let machine = self.machine.borrow();
        machine
            .top_ranked(duty.as_bytes(), 1, |_| true)
            .first()
            .map(|&member| member.clone())
    }

    /// Returns true until that life of a node is known to have ended; a leaving node still lives.
    pub(crate) fn alive(&self, author: &Author) -> bool {
        let machine = self.machine.borrow();
        let record = machine.record(&author.node);
        record
            .is_some_and(|record| record.started == author.incarnation && !record.status.is_gone())
    }

    /// Returns another node that still answers.
    pub(crate) fn named(&self, name: &NodeName) -> Option<Member> {
        let machine = self.machine.borrow();
        if machine.local_member().name == *name {
            return None;
        }
        let record = machine
            .record(name)
            .filter(|record| !record.status.is_gone());
        record.map(|record| record.member.clone())
    }

    /// Returns the live nodes in the order in which they are asked to hold a request: those in
    /// other places first.
    pub(crate) fn order(&self, id: RequestId) -> Vec<Member> {
        let place = self.machine.borrow().local_member().place.clone();
        let mut order = self.everyone(id);
        order.sort_by_key(|member| member.place == place);
        order
    }

    /// Returns the other live nodes in rendezvous order for a request.
    pub(crate) fn everyone(&self, id: RequestId) -> Vec<Member> {
        let machine = self.machine.borrow();
        let me = &machine.local_member().name;
        rank(
            id.0.as_bytes(),
            machine.live().filter(|member| member.name != *me).cloned(),
        )
    }

    /// Returns what is believed of every node, this one first.
    pub(crate) fn records(&self) -> Vec<Record> {
        self.machine.borrow().records().cloned().collect()
    }

    /// Tells all nodes a value; the last version of a key wins.
    pub(crate) fn publish(&self, item: Item, now: Millis) {
        if let Err(error) = self.machine.borrow_mut().publish(item, now) {
            log::warn!("event=item_not_published error={error:?}");
        }
    }

    /// Returns the value of a key.
    pub(crate) fn item(&self, key: &str) -> Option<Item> {
        self.machine.borrow().item(key).cloned()
    }

    /// Returns the values whose key starts with `prefix`.
    pub(crate) fn items(&self, prefix: &str) -> Vec<Item> {
        self.machine.borrow().items(prefix).cloned().collect()
    }

    /// Names addresses at which other nodes may be found.
    pub(crate) fn seed(&self, addresses: impl IntoIterator<Item = SocketAddr>, now: Millis) {
        let seeds = addresses.into_iter().map(Seed::Address);
        self.machine.borrow_mut().set_seeds(seeds, now);
    }

    /// Takes a probe or push of another node.
    pub(crate) fn probed(&self, ctx: &Rc<Ctx>, message: Message) -> Message {
        let answer = self
            .machine
            .borrow_mut()
            .handle_probe(message, ctx.clock.now());
        settle(ctx);
        answer
    }

    /// Learns from a message that this node relays.
    pub(crate) fn relayed(&self, ctx: &Rc<Ctx>, message: &Message) {
        self.machine
            .borrow_mut()
            .handle_relay(message, ctx.clock.now());
        settle(ctx);
    }

    /// Probes for ever.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        ctx.members
            .seed(ctx.settings.seeds.iter().copied(), ctx.clock.now());
        loop {
            let now = ctx.clock.now();
            let effects = ctx.members.machine.borrow_mut().tick(now, &mut rand::rng());
            perform(&ctx, effects);
            settle(&ctx);
            actix_rt::time::sleep(ctx.members.tick).await;
        }
    }
}

/// Sends calls; each answer or failure returns to the machine.
fn perform(ctx: &Rc<Ctx>, effects: Vec<Effect>) {
    for effect in effects {
        let number = effect.call();
        let ctx = Rc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move {
            let answer = send(&ctx, effect).await;
            let now = ctx.clock.now();
            let effects = {
                let mut machine = ctx.members.machine.borrow_mut();
                if let Some(message) = answer {
                    machine.handle_answer(number, &message, now)
                } else {
                    machine.handle_failure(number, now);
                    Vec::new()
                }
            };
            perform(&ctx, effects);
            settle(&ctx);
        });
    }
}

async fn send(ctx: &Ctx, effect: Effect) -> Option<Message> {
    match effect {
        Effect::Probe { to, message, .. } => ctx.client.get(to).ok()?.probe(message).await.ok(),
        Effect::Push { to, message, .. } => ctx.client.get(to).ok()?.push(message).await.ok(),
        Effect::Relay {
            via,
            address,
            message,
            ..
        } => ctx
            .client
            .get(via)
            .ok()?
            .relay(address, message)
            .await
            .ok()?,
    }
}

/// Acts on what the machine reports.
fn settle(ctx: &Rc<Ctx>) {
    let events = ctx.members.machine.borrow_mut().take_events();
    for event in events {
        match &event {
            Event::Item { .. } => log::debug!("{event}"),
            _ => log::info!("{event}"),
        }
        match event {
            Event::Dead { member, .. } | Event::Left { member, .. } => inherit(ctx, &member),
            Event::Paused { .. } => ctx.recorders.resume(),
            Event::Item { key, .. } if key.starts_with("quarantine/") => {
                if let Some(item) = ctx.members.item(&key) {
                    ctx.health.merge(&item, ctx.clock.now());
                }
            }
            Event::Item { key, .. } if key.starts_with("config/") => ctx.config.hint(),
            _ => {}
        }
    }
}

/// Goes on with the requests that a node left to this one.
fn inherit(ctx: &Rc<Ctx>, owner: &Member) {
    let ids = ctx.replica_store.borrow().owned_by(&owner.name);
    for id in ids {
        let given =
            ctx.replica_store
                .borrow_mut()
                .take_over(id, &ctx.settings.name, ctx.clock.now());
        let Some(given) = given else {
            continue;
        };
        let ctx = Rc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move {
            ctx.metrics.taken.inc();
            request::take_over(&ctx, given, "owner_dead").await;
        });
    }
}
