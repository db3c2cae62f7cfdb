//! The other nodes, as this one sees them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use cumin_types::{NodeName, Place, RequestId, rank};
use serde::{Deserialize, Serialize};

/// A node as others address it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) name: NodeName,
    pub(crate) place: Place,
    /// Where callers connect.
    pub(crate) caller: SocketAddr,
    /// Where nodes connect.
    pub(crate) rpc: SocketAddr,
}

impl AsRef<str> for Member {
    fn as_ref(&self) -> &str {
        self.name.as_str()
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

    pub(crate) fn set(&self, members: impl IntoIterator<Item = Member>) {
        let others = members
            .into_iter()
            .filter(|member| member.name != self.me.name);
        *self.others.borrow_mut() = others.map(|member| (member.name.clone(), member)).collect();
    }

    /// Returns the live nodes, this one first unless it is leaving.
    pub(crate) fn entries(&self) -> Vec<Member> {
        let me = (!self.leaving.get()).then(|| self.me.clone());
        me.into_iter()
            .chain(self.others.borrow().values().cloned())
            .collect()
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
