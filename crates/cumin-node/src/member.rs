//! The other nodes, as this one sees them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_state::batch::Author;
use cumin_types::{Incarnation, NodeName, Place, RequestId, rank};
use serde::{Deserialize, Serialize};

use crate::node::Ctx;
use crate::peer::PeerClient;

/// A node as others address it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub(crate) name: NodeName,
    pub(crate) place: Place,
    /// Where callers connect.
    pub(crate) caller: SocketAddr,
    /// Where nodes connect.
    pub(crate) rpc: SocketAddr,
    /// Which life of the node.
    pub(crate) life: Incarnation,
}

impl AsRef<str> for Member {
    fn as_ref(&self) -> &str {
        self.name.as_str()
    }
}

/// Period of greeting the other nodes.
const PERIOD: Duration = Duration::from_millis(200);

/// Greets every node and every seed for ever; a node that does not answer is dropped.
pub(crate) async fn greet(ctx: Rc<Ctx>) {
    loop {
        let known: Vec<_> = ctx.members.others.borrow().values().cloned().collect();
        let seeds = ctx.settings.seeds.iter().copied();
        let mut targets: Vec<_> = seeds.chain(known.iter().map(|member| member.rpc)).collect();
        targets.sort_unstable();
        targets.dedup();
        for target in targets
            .into_iter()
            .filter(|target| *target != ctx.members.me.rpc)
        {
            let Ok(client) = ctx.client.to(target) else {
                continue;
            };
            match client
                .hello(ctx.members.me.clone(), ctx.members.leaving())
                .await
            {
                Ok(members) => {
                    for member in members {
                        if !ctx.members.others.borrow().contains_key(&member.name) {
                            ctx.members.heard(member, false);
                        }
                    }
                }
                Err(_) => ctx
                    .members
                    .others
                    .borrow_mut()
                    .retain(|_, member| member.rpc != target),
            }
        }
        actix_rt::time::sleep(PERIOD).await;
    }
}

/// Members by name, this node among them.
pub(crate) struct Members {
    me: Member,
    leaving: Cell<bool>,
    others: RefCell<BTreeMap<NodeName, Member>>,
}

impl Members {
    pub(crate) fn new(me: Member) -> Self {
        Self {
            me,
            leaving: Cell::new(false),
            others: RefCell::default(),
        }
    }

    pub(crate) fn me(&self) -> &Member {
        &self.me
    }

    pub(crate) fn leave(&self) {
        self.leaving.set(true);
    }

    pub(crate) fn leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Takes in a node that spoke to this one; returns all live nodes.
    pub(crate) fn heard(&self, member: Member, leaving: bool) -> Vec<Member> {
        if leaving {
            self.others.borrow_mut().remove(&member.name);
        } else if member.name != self.me.name {
            self.others.borrow_mut().insert(member.name.clone(), member);
        }
        self.entries()
    }

    /// Returns the live nodes, this one first unless it is leaving.
    pub(crate) fn entries(&self) -> Vec<Member> {
        let me = (!self.leaving.get()).then(|| self.me.clone());
        me.into_iter()
            .chain(self.others.borrow().values().cloned())
            .collect()
    }

    /// Returns true while that incarnation of a node lives, as far as this node knows.
    pub(crate) fn alive(&self, author: &Author) -> bool {
        let others = self.others.borrow();
        let member = if author.node == self.me.name {
            Some(&self.me)
        } else {
            others.get(&author.node)
        };
        member.is_some_and(|member| member.life == author.life)
    }

    /// Returns the live node of that name, other than this one.
    pub(crate) fn named(&self, name: &NodeName) -> Option<Member> {
        self.others.borrow().get(name).cloned()
    }

    /// Returns the live nodes in the order in which they are asked to hold a request: those in
    /// other places first.
    pub(crate) fn order(&self, id: RequestId) -> Vec<Member> {
        let mut order = self.everyone(id);
        order.sort_by_key(|member| member.place == self.me.place);
        order
    }

    /// Returns the other live nodes in rendezvous order for a request.
    pub(crate) fn everyone(&self, id: RequestId) -> Vec<Member> {
        rank(id.0.as_bytes(), self.others.borrow().values().cloned())
    }
}
