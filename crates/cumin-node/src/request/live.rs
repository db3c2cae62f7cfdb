//! The requests that this node runs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use cumin_admit::Ticket;
use cumin_request::{Finish, Replica, Run, Transcript};
use cumin_types::{
    Call, Descriptor, EndpointName, Fingerprint, Millis, NodeName, Position, RequestId, TokenCount,
};
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
    /// What is the same when the caller sends the request again.
    pub(crate) print: Fingerprint,
    /// What the prompt means to the choice of an endpoint.
    pub(crate) prompt: Prompt,
    ticket: RefCell<Option<Ticket>>,
    second: RefCell<Option<Member>>,
    // Nodes that may take the request over as well, until they agree to this one.
    beside: RefCell<Vec<NodeName>>,
    acked: Cell<Position>,
    sealed: Cell<bool>,
    superseded: Cell<bool>,
    changed: Notify,
    command: RefCell<Option<Command>>,
    commanded: Notify,
    readers: Cell<u32>,
    // When the first token arrived here; zero before.
    first: Cell<Millis>,
    // When somebody last read the answer, as of the latest look.
    read: Cell<Millis>,
}

impl Live {
    pub(crate) fn new(descriptor: Descriptor, transcript: Transcript, now: Millis) -> Rc<Self> {
        Rc::new(Self {
            id: descriptor.id,
            print: print_of(&descriptor),
            prompt: Prompt::of(&descriptor.call, &descriptor.body),
            deadline: now.plus(descriptor.left.0),
            run: RefCell::new(Run::new(descriptor, transcript)),
            ticket: RefCell::default(),
            second: RefCell::default(),
            beside: RefCell::default(),
            acked: Cell::default(),
            sealed: Cell::default(),
            superseded: Cell::default(),
            changed: Notify::new(),
            command: RefCell::default(),
            commanded: Notify::new(),
            readers: Cell::default(),
            first: Cell::default(),
            read: Cell::new(now),
        })
    }

    /// Keeps the right to run; it is given back when the request ends.
    pub(crate) fn admit(&self, ticket: Ticket) {
        *self.ticket.borrow_mut() = Some(ticket);
    }

    /// Takes the right to run, with the tokens that the request used.
    pub(crate) fn release(&self) -> Option<(Ticket, TokenCount)> {
        let ticket = self.ticket.borrow_mut().take()?;
        let run = self.run.borrow();
        let used = match run.descriptor().call {
            Call::Completion { .. } => self.prompt.tokens + run.transcript().position().0,
            Call::Plain { .. } => 1,
        };
        Some((ticket, TokenCount(used)))
    }

    /// Returns the request as another node needs it.
    pub(crate) fn given(&self, now: Millis) -> Replica {
        let run = self.run.borrow();
        let mut descriptor = run.descriptor().clone();
        descriptor.left = Millis(self.deadline.since(now));
        Replica {
            descriptor,
            transcript: run.transcript().clone(),
            finish: run.finish().cloned(),
            beside: self.others(),
        }
    }

    /// Records that a token arrived.
    pub(crate) fn beat(&self, now: Millis) {
        if self.first.get() == Millis(0) {
            self.first.set(now);
        }
    }

    /// Returns the time until the answer ends at its present speed, when all the tokens that the
    /// caller allows are generated; none before two tokens.
    pub(crate) fn rest(&self, now: Millis) -> Option<Millis> {
        let position = self.run.borrow().transcript().position().0;
        let first = self.first.get();
        if position < 2 || first == Millis(0) {
            return None;
        }
        let left = self.prompt.output_tokens.saturating_sub(position);
        Some(Millis(now.since(first) * left / (position - 1)))
    }

    /// Returns the node that holds the request beside this one.
    pub(crate) fn second(&self) -> Option<Member> {
        self.second.borrow().clone()
    }

    /// Returns the position that the run has reached, and whether it ended.
    pub(crate) fn reached(&self) -> (Position, bool) {
        let run = self.run.borrow();
        (run.transcript().position(), run.finish().is_some())
    }

    /// Returns the nodes that may take the request over besides this one.
    fn others(&self) -> Vec<NodeName> {
        let second = self.second().map(|second| second.name);
        second
            .into_iter()
            .chain(self.beside.borrow().clone())
            .collect()
    }

    /// Names the nodes that have to agree before a token is shown.
    pub(crate) fn set_beside(&self, beside: Vec<NodeName>) {
        *self.beside.borrow_mut() = beside;
    }

    /// Returns a node that has not agreed yet.
    pub(crate) fn unsettled(&self) -> Option<NodeName> {
        self.beside.borrow().first().cloned()
    }

    /// Records that a node agreed, or is dead.
    pub(crate) fn agreed(&self, node: &NodeName) {
        self.beside.borrow_mut().retain(|name| name != node);
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

/// Returns what is the same in two sendings of one request.
fn print_of(descriptor: &Descriptor) -> Fingerprint {
    let target = match &descriptor.call {
        Call::Completion { model, .. } => model.to_string(),
        Call::Plain { method, path, .. } => format!("{method} {}/{path}", descriptor.service),
    };
    Fingerprint::of(&descriptor.org, &target, descriptor.body.as_bytes())
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
