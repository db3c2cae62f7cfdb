//! What endpoints state in their answers to this node: that they leave, or for how long they want
//! nothing.
//!
//! Both hold for one process of the endpoint. A new process is known by a new address, or by a
//! refused connection to the old one. The platform's list takes neither back.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderName};
use cumin_http::statement::{parse_leaving, parse_wait};
use cumin_retry::{Leaving, Waits};
use cumin_types::{AnswerLeaving, AnswerWait, EndpointName, Millis};
use cumin_wire::header;

use crate::clock::wall;
use crate::node::Ctx;

/// The process of an endpoint, as far as this node can tell processes apart.
#[derive(Clone, Copy, Debug)]
struct Process {
    address: SocketAddr,
    /// Time at which it was first listed, by this node's clock.
    started: Millis,
    stopped: bool,
}

/// Whether an endpoint may get requests, by what it stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It stated nothing that holds.
    Open,
    /// It leaves, and is used if no other endpoint can be.
    LastChoice,
    /// It has left, or wants nothing at present.
    Closed,
}

/// The statements that hold.
#[derive(Default)]
pub(crate) struct Statements {
    processes: RefCell<BTreeMap<EndpointName, Process>>,
    waits: RefCell<Waits>,
    leaving: RefCell<Leaving>,
}

impl Statements {
    /// Records that an endpoint is listed with an address and in use again.
    pub(crate) fn listed(&self, name: &EndpointName, address: SocketAddr, now: Millis) {
        let mut processes = self.processes.borrow_mut();
        let known = processes.get(name);
        if known.is_none_or(|known| known.stopped || known.address != address) {
            // Higher than that of the last process, even within the same millisecond.
            let earliest = known.map_or(Millis(0), |known| known.started.plus(1));
            let process = Process {
                address,
                started: now.max(earliest),
                stopped: false,
            };
            processes.insert(name.clone(), process);
        }
    }

    /// Records that the process of an endpoint has stopped, so that the next one is a new one.
    pub(crate) fn stopped(&self, name: &EndpointName) {
        if let Some(process) = self.processes.borrow_mut().get_mut(name) {
            process.stopped = true;
        }
    }

    /// Removes what is known of endpoints that are not listed, once it no longer matters.
    pub(crate) fn trim(&self, is_listed: impl Fn(&EndpointName) -> bool, now: Millis) {
        let (mut leaving, mut waits) = (self.leaving.borrow_mut(), self.waits.borrow_mut());
        leaving.trim(&is_listed, now);
        waits.trim(&is_listed, now);
        self.processes.borrow_mut().retain(|name, process| {
            let started = process.started.0;
            is_listed(name)
                || leaving.until(name, started).is_some()
                || waits.stated_left(name, started, now) > Millis(0)
        });
    }

    /// Returns the number by which statements of the endpoint's processes are told apart.
    pub(crate) fn process(&self, name: &EndpointName) -> u64 {
        let processes = self.processes.borrow();
        processes.get(name).map_or(0, |process| process.started.0)
    }

    /// Returns whether an endpoint stated that it leaves.
    pub(crate) fn is_leaving(&self, name: &EndpointName) -> bool {
        let process = self.process(name);
        self.leaving.borrow().until(name, process).is_some()
    }

    /// Returns whether an endpoint wants nothing at present.
    pub(crate) fn is_waiting(&self, name: &EndpointName, now: Millis) -> bool {
        let process = self.process(name);
        self.waits.borrow().left(name, process, now) > Millis(0)
    }

    /// Returns the time for which an endpoint still wants nothing.
    pub(crate) fn wait_left(&self, name: &EndpointName, now: Millis) -> Millis {
        let process = self.process(name);
        self.waits.borrow().stated_left(name, process, now)
    }

    /// Returns whether the time in which an endpoint that leaves may get requests is over.
    pub(crate) fn has_left(&self, name: &EndpointName, now: Millis) -> bool {
        let process = self.process(name);
        let until = self.leaving.borrow().until(name, process);
        until.is_some_and(|until| now >= until)
    }

    /// Returns whether an endpoint may get requests.
    pub(crate) fn standing(&self, name: &EndpointName, now: Millis) -> Standing {
        if self.is_waiting(name, now) || self.has_left(name, now) {
            Standing::Closed
        } else if self.is_leaving(name) {
            Standing::LastChoice
        } else {
            Standing::Open
        }
    }

    /// Returns the endpoints that leave and may still be used, and those that get nothing at
    /// present.
    pub(crate) fn restricted(&self, now: Millis) -> (Vec<EndpointName>, Vec<EndpointName>) {
        let (leaving, waits) = (self.leaving.borrow(), self.waits.borrow());
        let stated: BTreeSet<_> = leaving.names().chain(waits.names()).collect();
        let (mut last, mut closed) = (Vec::new(), Vec::new());
        for name in stated {
            match self.standing(name, now) {
                Standing::Open => {}
                Standing::LastChoice => last.push(name.clone()),
                Standing::Closed => closed.push(name.clone()),
            }
        }
        (last, closed)
    }

    /// Returns whether the wait of any endpoint is known.
    pub(crate) fn has_waits(&self) -> bool {
        self.waits.borrow().names().next().is_some()
    }

    /// Returns the number of the endpoints that leave, and of those that want nothing.
    pub(crate) fn counts<'a>(
        &self,
        names: impl Iterator<Item = &'a EndpointName>,
        now: Millis,
    ) -> (usize, usize) {
        let count = |(leaving, waiting), name| {
            let leaves = usize::from(self.is_leaving(name));
            let waits = usize::from(self.is_waiting(name, now));
            (leaving + leaves, waiting + waits)
        };
        names.fold((0, 0), count)
    }

    /// Counts a request that is about to be sent.
    pub(crate) fn request_sent(&self, name: &EndpointName, now: Millis) {
        self.waits.borrow_mut().request_sent(name, now);
    }
}

/// Records what the head of an answer of an endpoint's process states.
///
/// `source` is the request or the report that was answered. Returns whether the endpoint asked
/// for a wait.
pub(crate) fn answer_heard(
    ctx: &Ctx,
    endpoint: (&EndpointName, u64),
    source: &dyn Display,
    status: StatusCode,
    headers: &HeaderMap,
) -> bool {
    leaving_heard(ctx, endpoint, source, headers);
    wait_heard(ctx, endpoint, source, status, headers)
}

/// Records what the head of the answer to an attempt states, which was sent at `sent`.
///
/// An answer that asks for no wait ends one that was over when the attempt was sent.
pub(crate) fn attempt_answered(
    ctx: &Ctx,
    endpoint: (&EndpointName, u64),
    (source, sent): (&dyn Display, Millis),
    status: StatusCode,
    headers: &HeaderMap,
) {
    if answer_heard(ctx, endpoint, source, status, headers) {
        return;
    }
    let (name, process) = endpoint;
    let mut waits = ctx.statements.waits.borrow_mut();
    if waits.answered(name, process, sent) {
        let reasons = format!("reason=answered answer={source}");
        ctx.decisions.record("resume_endpoint", name, &reasons);
        ctx.fleet.notify_changed();
    }
}

fn leaving_heard(
    ctx: &Ctx,
    (name, process): (&EndpointName, u64),
    source: &dyn Display,
    headers: &HeaderMap,
) {
    let mut leaving = ctx.statements.leaving.borrow_mut();
    match parse_leaving(headers, &HeaderName::from_static(header::LEAVING)) {
        AnswerLeaving::No => {}
        AnswerLeaving::Leaves => {
            let now = ctx.clock.now();
            let is_first = leaving.until(name, process).is_none();
            // An attempt may be sent this long after its endpoint was chosen.
            let connect_ms = ctx.options.connect_timeout.as_millis();
            let connect_time = Millis(u64::try_from(connect_ms).unwrap_or(u64::MAX));
            let left = Millis(ctx.options.leave_time.since(connect_time));
            leaving.stated(name, process, now.plus(left.0), now);
            if is_first {
                let reasons = format!("reason=stated left_ms={left} answer={source}");
                ctx.decisions.record("leave_endpoint", name, &reasons);
                ctx.fleet.notify_changed();
            }
        }
        AnswerLeaving::Unreadable(value) => {
            if leaving.unreadable(name) {
                log::warn!("event=leaving_ignored endpoint={name} answer={source} value={value:?}");
            }
        }
    }
}

fn wait_heard(
    ctx: &Ctx,
    (name, process): (&EndpointName, u64),
    source: &dyn Display,
    status: StatusCode,
    headers: &HeaderMap,
) -> bool {
    let wait = match parse_wait(status, headers) {
        AnswerWait::None => return false,
        AnswerWait::For(wait) => wait,
        AnswerWait::Until(end) => Millis(end.since(wall())),
        AnswerWait::Unreadable(value) => {
            log::warn!("event=wait_ignored endpoint={name} answer={source} value={value:?}");
            return false;
        }
    };
    if wait == Millis(0) {
        log::warn!("event=wait_ignored endpoint={name} answer={source} value=past");
        return false;
    }
    let now = ctx.clock.now();
    let mut waits = ctx.statements.waits.borrow_mut();
    // The clock leaves out the part of a millisecond in which the answer came.
    let until = now.plus(wait.0).plus(1);
    if waits.stated(name, process, until, now) {
        let reasons = format!("reason=retry_after wait_ms={wait} answer={source}");
        ctx.decisions.record("wait_endpoint", name, &reasons);
    }
    true
}
