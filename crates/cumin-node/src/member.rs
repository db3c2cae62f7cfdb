//! Membership of the cluster as this node sees it: runs the membership protocol over RPC.

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

/// Ticks in a probe period; more than one, because the timeouts of the membership protocol are
/// shorter than the period.
const TICKS_PER_PERIOD: u32 = 4;

/// The known nodes, including this one.
pub(crate) struct Members {
    membership: RefCell<Membership>,
    incarnation: Incarnation,
    tick: Duration,
}

impl Members {
    pub(crate) fn new(me: Member, period: Millis) -> Self {
        let incarnation = me.incarnation;
        let options = Options {
            probe_period: period.0,
            ..Options::default()
        };
        let membership = RefCell::new(Membership::new(me, options));
        Self {
            membership,
            incarnation,
            tick: period.duration() / TICKS_PER_PERIOD,
        }
    }

    pub(crate) fn me(&self) -> Member {
        self.membership.borrow().local_member().clone()
    }

    /// Returns this incarnation of the node, as the author of log records.
    pub(crate) fn author(&self) -> Author {
        Author {
            node: self.membership.borrow().local_member().name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Announces that this node is leaving.
    pub(crate) fn leave(&self, ctx: &Rc<Ctx>) {
        let effects = self.membership.borrow_mut().leave(ctx.clock.now());
        perform(ctx, effects);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        let membership = self.membership.borrow();
        membership
            .record(&membership.local_member().name)
            .is_some_and(|record| !record.status.is_live())
    }

    /// Returns true when the view of the members is reliable enough to assign duties from it.
    pub(crate) fn is_trusted(&self, now: Millis) -> bool {
        self.membership.borrow().trusted(now)
    }

    /// Returns the live nodes, this one first unless it is leaving.
    pub(crate) fn entries(&self) -> Vec<Member> {
        self.membership.borrow().live().cloned().collect()
    }

    /// Returns the live node that rendezvous hashing assigns to a duty.
    pub(crate) fn duty_node(&self, duty: &str) -> Option<Member> {
        let membership = self.membership.borrow();
        membership
            .top_ranked(duty.as_bytes(), 1, |_| true)
            .first()
            .map(|&member| member.clone())
    }

    /// Returns true until that incarnation of a node is known to have ended. A leaving node is
    /// still alive.
    pub(crate) fn is_alive(&self, author: &Author) -> bool {
        let membership = self.membership.borrow();
        let record = membership.record(&author.node);
        record
            .is_some_and(|record| record.started == author.incarnation && !record.status.is_gone())
    }

    /// Returns another node by name, unless it is dead or has left.
    pub(crate) fn peer(&self, name: &NodeName) -> Option<Member> {
        let membership = self.membership.borrow();
        if membership.local_member().name == *name {
            return None;
        }
        let record = membership
            .record(name)
            .filter(|record| !record.status.is_gone());
        record.map(|record| record.member.clone())
    }

    /// Returns the other live nodes in the order in which they are asked to hold a replica of a
    /// request: nodes in other places first.
    pub(crate) fn replica_candidates(&self, id: RequestId) -> Vec<Member> {
        let place = self.membership.borrow().local_member().place.clone();
        let mut order = self.ranked_peers(id);
        order.sort_by_key(|member| member.place == place);
        order
    }

    /// Returns the other live nodes in rendezvous order for a request.
    pub(crate) fn ranked_peers(&self, id: RequestId) -> Vec<Member> {
        let membership = self.membership.borrow();
        let me = &membership.local_member().name;
        rank(
            id.0.as_bytes(),
            membership
                .live()
                .filter(|member| member.name != *me)
                .cloned(),
        )
    }

    /// Returns the membership record of every known node, this one first.
    pub(crate) fn records(&self) -> Vec<Record> {
        self.membership.borrow().records().cloned().collect()
    }

    /// Publishes an item to all nodes; the highest version of a key wins.
    pub(crate) fn publish(&self, item: Item, now: Millis) {
        if let Err(error) = self.membership.borrow_mut().publish(item, now) {
            log::warn!("event=item_not_published error={error:?}");
        }
    }

    /// Returns the item with a key.
    pub(crate) fn item(&self, key: &str) -> Option<Item> {
        self.membership.borrow().item(key).cloned()
    }

    /// Returns the items whose key starts with `prefix`.
    pub(crate) fn items(&self, prefix: &str) -> Vec<Item> {
        self.membership.borrow().items(prefix).cloned().collect()
    }

    /// Adds addresses at which other nodes may be reached.
    pub(crate) fn add_seeds(&self, addresses: impl IntoIterator<Item = SocketAddr>, now: Millis) {
        let seeds = addresses.into_iter().map(Seed::Address);
        self.membership.borrow_mut().set_seeds(seeds, now);
    }

    /// Handles a probe or push of another node and returns the reply.
    pub(crate) fn handle_probe(&self, ctx: &Rc<Ctx>, message: Message) -> Message {
        let answer = self
            .membership
            .borrow_mut()
            .handle_probe(message, ctx.clock.now());
        handle_events(ctx);
        answer
    }

    /// Applies the news in a message that this node relays.
    pub(crate) fn handle_relay(&self, ctx: &Rc<Ctx>, message: &Message) {
        self.membership
            .borrow_mut()
            .handle_relay(message, ctx.clock.now());
        handle_events(ctx);
    }

    /// Runs the membership protocol; never returns.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        ctx.members
            .add_seeds(ctx.settings.seeds.iter().copied(), ctx.clock.now());
        loop {
            let now = ctx.clock.now();
            let effects = ctx
                .members
                .membership
                .borrow_mut()
                .tick(now, &mut rand::rng());
            perform(&ctx, effects);
            handle_events(&ctx);
            actix_rt::time::sleep(ctx.members.tick).await;
        }
    }
}

/// Sends the calls of `effects` and passes each reply or failure back to the protocol.
fn perform(ctx: &Rc<Ctx>, effects: Vec<Effect>) {
    for effect in effects {
        let number = effect.call();
        let ctx = Rc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move {
            let answer = send(&ctx, effect).await;
            let now = ctx.clock.now();
            let effects = {
                let mut membership = ctx.members.membership.borrow_mut();
                if let Some(message) = answer {
                    membership.handle_answer(number, &message, now)
                } else {
                    membership.handle_failure(number, now);
                    Vec::new()
                }
            };
            perform(&ctx, effects);
            handle_events(&ctx);
        });
    }
}

async fn send(ctx: &Ctx, effect: Effect) -> Option<Message> {
    match effect {
        Effect::Probe { to, message, .. } => {
            ctx.peer_clients.get(to).ok()?.probe(message).await.ok()
        }
        Effect::Push { to, message, .. } => ctx.peer_clients.get(to).ok()?.push(message).await.ok(),
        Effect::Relay {
            via,
            address,
            message,
            ..
        } => ctx
            .peer_clients
            .get(via)
            .ok()?
            .relay(address, message)
            .await
            .ok()?,
    }
}

/// Acts on the events of the membership protocol.
fn handle_events(ctx: &Rc<Ctx>) {
    let events = ctx.members.membership.borrow_mut().take_events();
    for event in events {
        match &event {
            Event::Item { .. } => log::debug!("{event}"),
            _ => log::info!("{event}"),
        }
        match event {
            Event::Dead { member, .. } | Event::Left { member, .. } => take_over_from(ctx, &member),
            Event::Paused { .. } => ctx.recorders.resume(),
            Event::Item { key, .. } if key.starts_with("quarantine/") => {
                if let Some(item) = ctx.members.item(&key) {
                    ctx.health.merge_item(&item, ctx.clock.now());
                }
            }
            Event::Item { key, .. } if key.starts_with("config/") => ctx.config.request_refresh(),
            _ => {}
        }
    }
}

/// Takes over the requests of a dead or departed node whose replicas this node holds.
fn take_over_from(ctx: &Rc<Ctx>, owner: &Member) {
    let ids = ctx.replica_store.borrow().owned_by(&owner.name);
    for id in ids {
        let replica =
            ctx.replica_store
                .borrow_mut()
                .take_over(id, &ctx.settings.name, ctx.clock.now());
        let Some(replica) = replica else {
            continue;
        };
        let ctx = Rc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move {
            ctx.metrics.taken_over.inc();
            request::take_over(&ctx, replica, "owner_dead").await;
        });
    }
}
