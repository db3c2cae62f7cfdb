//! The requests that this node runs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use cumin_request::{Finish, Given, Run, Transcript};
use cumin_types::{Descriptor, EndpointName, Millis, Position, RequestId};
use tokio::sync::Notify;

use crate::fleet::Prompt;
use crate::member::Member;

/// What the runner of a request is told from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// The caller gave the request up.
    Cancel,
    /// Another node took the request over.
    Supersede,
    /// Go on elsewhere, at `to` when it can be had.
    Move {
        /// The endpoint that is leaving; ignored when another one runs the request by now.
        from: EndpointName,
        /// The endpoint that imported the KV cache.
        to: Option<EndpointName>,
    },
}

/// A request that this node runs.
pub(crate) struct Live {
    pub(crate) id: RequestId,
    pub(crate) run: RefCell<Run>,
    /// When the answer is of no more use.
    pub(crate) deadline: Millis,
    /// What the prompt means to the choice of an endpoint.
    pub(crate) prompt: Prompt,
    second: RefCell<Option<Member>>,
    acked: Cell<Position>,
    sealed: Cell<bool>,
    superseded: Cell<bool>,
    changed: Notify,
    command: RefCell<Option<Command>>,
    commanded: Notify,
    readers: Cell<u32>,
    // When somebody last read the answer, as of the latest look.
    read: Cell<Millis>,
}

impl Live {
    pub(crate) fn new(descriptor: Descriptor, transcript: Transcript, now: Millis) -> Rc<Self> {
        Rc::new(Self {
            id: descriptor.id,
            prompt: Prompt::of(&descriptor.call, &descriptor.body),
            deadline: now.plus(descriptor.left.0),
            run: RefCell::new(Run::new(descriptor, transcript)),
            second: RefCell::default(),
            acked: Cell::default(),
            sealed: Cell::default(),
            superseded: Cell::default(),
            changed: Notify::new(),
            command: RefCell::default(),
            commanded: Notify::new(),
            readers: Cell::default(),
            read: Cell::new(now),
        })
    }

    /// Returns the request as another node needs it.
    pub(crate) fn given(&self, now: Millis) -> Given {
        let run = self.run.borrow();
        let mut descriptor = run.descriptor().clone();
        descriptor.left = Millis(self.deadline.since(now));
        Given {
            descriptor,
            transcript: run.transcript().clone(),
            finish: run.finish().cloned(),
        }
    }

    /// Returns the node that holds the request beside this one.
    pub(crate) fn second(&self) -> Option<Member> {
        self.second.borrow().clone()
    }

    /// Names the node that now holds the request, with all tokens up to `acked`.
    pub(crate) fn set_second(&self, second: Option<Member>, acked: Position, sealed: bool) {
        *self.second.borrow_mut() = second;
        self.confirm(acked, sealed);
    }

    /// Records that tokens up to `acked`, and the end when `sealed`, are held elsewhere.
    pub(crate) fn confirm(&self, acked: Position, sealed: bool) {
        if acked > self.acked.get() {
            self.acked.set(acked);
        }
        if sealed {
            self.sealed.set(true);
        }
        self.changed.notify_waiters();
    }

    /// Returns the number of tokens that a caller may see.
    pub(crate) fn acked(&self) -> Position {
        self.acked.get()
    }

    /// Returns the end, once it is held elsewhere too.
    pub(crate) fn sealed(&self) -> Option<Finish> {
        if !self.sealed.get() {
            return None;
        }
        self.run.borrow().finish().cloned()
    }

    /// Records that another node took the request over.
    pub(crate) fn supersede(&self) {
        self.superseded.set(true);
        self.order(Command::Supersede);
        self.changed.notify_waiters();
    }

    pub(crate) fn superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Completes at the next change of what a caller may see.
    pub(crate) fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Tells the runner; a later command replaces one that it has not seen.
    pub(crate) fn order(&self, command: Command) {
        *self.command.borrow_mut() = Some(command);
        self.commanded.notify_one();
    }

    /// Completes when a command is there.
    pub(crate) async fn commanded(&self) -> Command {
        loop {
            if let Some(command) = self.command.borrow_mut().take() {
                return command;
            }
            self.commanded.notified().await;
        }
    }

    /// Counts a caller that reads the answer, until the guard is dropped.
    pub(crate) fn reader(self: &Rc<Self>) -> Reader {
        self.readers.set(self.readers.get() + 1);
        Reader {
            live: Rc::clone(self),
        }
    }

    /// Returns true when nobody has read the answer since before `limit`.
    pub(crate) fn abandoned(&self, now: Millis, limit: Millis) -> bool {
        if self.readers.get() > 0 {
            self.read.set(now);
        }
        now.since(self.read.get()) > limit.0
    }
}

/// A caller that reads the answer.
pub(crate) struct Reader {
    live: Rc<Live>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.live.readers.set(self.live.readers.get() - 1);
    }
}

/// Requests that this node runs, by identifier.
#[derive(Default)]
pub(crate) struct Table {
    requests: RefCell<HashMap<RequestId, Rc<Live>>>,
    idle: Notify,
}

impl Table {
    pub(crate) fn insert(&self, live: Rc<Live>) {
        self.requests.borrow_mut().insert(live.id, live);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<Rc<Live>> {
        self.requests.borrow().get(&id).cloned()
    }

    pub(crate) fn remove(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
        if self.requests.borrow().is_empty() {
            self.idle.notify_waiters();
        }
    }

    pub(crate) fn all(&self) -> Vec<Rc<Live>> {
        let mut all: Vec<_> = self.requests.borrow().values().cloned().collect();
        all.sort_by_key(|live| live.id);
        all
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Completes when no request is left.
    pub(crate) async fn idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.len() == 0 {
                return;
            }
            idle.await;
        }
    }
}
