//! The requests that this node runs, with the state that their tasks share.

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

/// A command to the task that runs a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Command {
    /// Cancels the request, which its caller no longer needs.
    Cancel,
    /// Stops the request: another node has taken it over.
    Supersede,
    /// Continues the request at another endpoint, at `to` if possible.
    Move {
        /// The endpoint that is leaving. The command is ignored if another endpoint now runs the
        /// request.
        from: EndpointName,
        /// The endpoint that imported the KV cache.
        to: Option<EndpointName>,
    },
}

/// A request that this node runs.
pub(crate) struct ActiveRequest {
    pub(crate) id: RequestId,
    pub(crate) run: RefCell<Run>,
    /// Deadline, after which the answer is useless to the caller.
    pub(crate) deadline: Millis,
    /// Fingerprint, the same each time that a caller sends this request.
    pub(crate) fingerprint: Fingerprint,
    /// Features of the prompt that the router uses.
    pub(crate) prompt: Prompt,
    ticket: RefCell<Option<Ticket>>,
    second: RefCell<Option<Member>>,
    // Nodes that may also take the request over and have not yet agreed to this node.
    contenders: RefCell<Vec<NodeName>>,
    acked: Cell<Position>,
    finish_acked: Cell<bool>,
    superseded: Cell<bool>,
    changed: Notify,
    command: RefCell<Option<Command>>,
    command_ready: Notify,
    readers: Cell<u32>,
    // When the first token arrived at this node; zero before that.
    first_token: Cell<Millis>,
    // When the answer last had a reader, as of the latest check.
    last_read: Cell<Millis>,
}

impl ActiveRequest {
    pub(crate) fn new(descriptor: Descriptor, transcript: Transcript, now: Millis) -> Rc<Self> {
        Rc::new(Self {
            id: descriptor.id,
            fingerprint: fingerprint_of(&descriptor),
            prompt: Prompt::of(&descriptor.call, &descriptor.body),
            deadline: now.plus(descriptor.time_left.0),
            run: RefCell::new(Run::new(descriptor, transcript)),
            ticket: RefCell::default(),
            second: RefCell::default(),
            contenders: RefCell::default(),
            acked: Cell::default(),
            finish_acked: Cell::default(),
            superseded: Cell::default(),
            changed: Notify::new(),
            command: RefCell::default(),
            command_ready: Notify::new(),
            readers: Cell::default(),
            first_token: Cell::default(),
            last_read: Cell::new(now),
        })
    }

    /// Stores the admission ticket, to be returned when the request ends.
    pub(crate) fn set_ticket(&self, ticket: Ticket) {
        *self.ticket.borrow_mut() = Some(ticket);
    }

    /// Takes the admission ticket, with the number of tokens that the request used.
    pub(crate) fn take_ticket(&self) -> Option<(Ticket, TokenCount)> {
        let ticket = self.ticket.borrow_mut().take()?;
        let run = self.run.borrow();
        let used = match run.descriptor().call {
            Call::Completion { .. } => self.prompt.tokens + run.transcript().position().0,
            Call::Plain { .. } => 1,
        };
        Some((ticket, TokenCount(used)))
    }

    /// Returns a copy of the request to send to another node or to store.
    pub(crate) fn to_replica(&self, now: Millis) -> Replica {
        let run = self.run.borrow();
        let mut descriptor = run.descriptor().clone();
        descriptor.time_left = Millis(self.deadline.since(now));
        Replica {
            descriptor,
            transcript: run.transcript().clone(),
            finish: run.finish().cloned(),
            beside: self.takeover_candidates(),
        }
    }

    /// Records the arrival of a token.
    pub(crate) fn record_token(&self, now: Millis) {
        if self.first_token.get() == Millis(0) {
            self.first_token.set(now);
        }
    }

    /// Returns the estimated time until the answer ends, from the token rate so far and the
    /// caller's token limit; `None` before the second token.
    pub(crate) fn remaining_time(&self, now: Millis) -> Option<Millis> {
        let position = self.run.borrow().transcript().position().0;
        let first_token = self.first_token.get();
        if position < 2 || first_token == Millis(0) {
            return None;
        }
        let left = self.prompt.output_tokens.saturating_sub(position);
        Some(Millis(now.since(first_token) * left / (position - 1)))
    }

    /// Returns the second node, which stores a replica of the request.
    pub(crate) fn second(&self) -> Option<Member> {
        self.second.borrow().clone()
    }

    /// Returns the number of tokens received, and whether the run has ended.
    pub(crate) fn run_progress(&self) -> (Position, bool) {
        let run = self.run.borrow();
        (run.transcript().position(), run.finish().is_some())
    }

    /// Returns the other nodes that may take the request over.
    fn takeover_candidates(&self) -> Vec<NodeName> {
        let second = self.second().map(|second| second.name);
        second
            .into_iter()
            .chain(self.contenders.borrow().clone())
            .collect()
    }

    /// Sets the nodes that must agree to this node before a caller sees a token.
    pub(crate) fn set_contenders(&self, contenders: Vec<NodeName>) {
        *self.contenders.borrow_mut() = contenders;
    }

    /// Returns a node that has not yet agreed.
    pub(crate) fn next_contender(&self) -> Option<NodeName> {
        self.contenders.borrow().first().cloned()
    }

    /// Removes a node that has agreed or is dead.
    pub(crate) fn remove_contender(&self, node: &NodeName) {
        self.contenders.borrow_mut().retain(|name| name != node);
    }

    /// Sets the second node, which has all tokens up to `acked`; `None` if no node accepted a
    /// replica.
    pub(crate) fn set_second(&self, second: Option<Member>, acked: Position, finish_acked: bool) {
        *self.second.borrow_mut() = second;
        self.record_ack(acked, finish_acked);
    }

    /// Records that callers may see the tokens up to `acked`, and the end if `finish_acked`: the
    /// second node has stored them, or there is none.
    pub(crate) fn record_ack(&self, acked: Position, finish_acked: bool) {
        if acked > self.acked.get() {
            self.acked.set(acked);
        }
        if finish_acked {
            self.finish_acked.set(true);
        }
        self.changed.notify_waiters();
    }

    /// Returns the number of tokens that a caller may see.
    pub(crate) fn acked(&self) -> Position {
        self.acked.get()
    }

    /// Returns the end of the request once callers may see it.
    pub(crate) fn acked_finish(&self) -> Option<Finish> {
        if !self.finish_acked.get() {
            return None;
        }
        self.run.borrow().finish().cloned()
    }

    /// Records that another node has taken the request over, and stops the request here.
    pub(crate) fn supersede(&self) {
        self.superseded.set(true);
        self.send_command(Command::Supersede);
        self.changed.notify_waiters();
    }

    pub(crate) fn is_superseded(&self) -> bool {
        self.superseded.get()
    }

    /// Completes at the next change of what a caller may see.
    pub(crate) fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Sends a command to the task that runs the request; it replaces one that is still pending.
    pub(crate) fn send_command(&self, command: Command) {
        *self.command.borrow_mut() = Some(command);
        self.command_ready.notify_one();
    }

    /// Waits for the next command.
    pub(crate) async fn next_command(&self) -> Command {
        loop {
            if let Some(command) = self.command.borrow_mut().take() {
                return command;
            }
            self.command_ready.notified().await;
        }
    }

    /// Counts a caller as a reader of the answer until the returned guard is dropped.
    pub(crate) fn add_reader(self: &Rc<Self>) -> ReaderGuard {
        self.readers.set(self.readers.get() + 1);
        ReaderGuard {
            active: Rc::clone(self),
        }
    }

    /// Returns true when the answer has had no reader for longer than `limit`.
    pub(crate) fn is_abandoned(&self, now: Millis, limit: Millis) -> bool {
        if self.readers.get() > 0 {
            self.last_read.set(now);
        }
        now.since(self.last_read.get()) > limit.0
    }
}

/// Returns the fingerprint of a request, which does not depend on its id.
fn fingerprint_of(descriptor: &Descriptor) -> Fingerprint {
    let target = match &descriptor.call {
        Call::Completion { model, .. } => model.to_string(),
        Call::Plain { method, path, .. } => format!("{method} {}/{path}", descriptor.service),
    };
    Fingerprint::of(&descriptor.org, &target, descriptor.body.as_bytes())
}

/// Counts a caller as a reader of the answer while it exists.
pub(crate) struct ReaderGuard {
    active: Rc<ActiveRequest>,
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.active.readers.set(self.active.readers.get() - 1);
    }
}

/// The requests that this node runs, by id.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: RefCell<HashMap<RequestId, Rc<ActiveRequest>>>,
    idle: Notify,
}

impl RequestTable {
    pub(crate) fn insert(&self, active: Rc<ActiveRequest>) {
        self.requests.borrow_mut().insert(active.id, active);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<Rc<ActiveRequest>> {
        self.requests.borrow().get(&id).cloned()
    }

    pub(crate) fn remove(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
        if self.requests.borrow().is_empty() {
            self.idle.notify_waiters();
        }
    }

    pub(crate) fn all(&self) -> Vec<Rc<ActiveRequest>> {
        let mut all: Vec<_> = self.requests.borrow().values().cloned().collect();
        all.sort_by_key(|active| active.id);
        all
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Waits until the table is empty.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.len() == 0 {
                return;
            }
            idle.await;
        }
    }
}
