//! The batching queue: who generates, who waits, and what the load report says of it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::Instant;
use cumin_types::Priority;
use cumin_wire::engine::Load;
use tokio::sync::Notify;

/// Place in the queue: urgency, then arrival.
type Key = (Priority, u64);

/// Requests that wait and run, and the reports of them.
pub struct Batch {
    slots: usize,
    lag: Duration,
    state: RefCell<State>,
}

struct State {
    arrivals: u64,
    waiting: BTreeMap<Key, Rc<Notify>>,
    /// Tokens that each running or waiting request has yet to prefill.
    backlog: BTreeMap<Key, u64>,
    running: BTreeSet<Key>,
    /// When the prefill of all admitted requests ends.
    prefilled: Instant,
    seq: u64,
    free: u64,
    reports: VecDeque<(Instant, Load)>,
}

impl Batch {
    /// Makes an empty queue in front of `slots`, with reports `lag` old.
    pub fn new(slots: usize, lag: Duration, free: u64) -> Self {
        let now = Instant::now();
        let idle = Load {
            slots: slots as u64,
            free_blocks: free,
            ..Load::default()
        };
        Self {
            slots,
            lag,
            state: RefCell::new(State {
                arrivals: 0,
                waiting: BTreeMap::new(),
                backlog: BTreeMap::new(),
                running: BTreeSet::new(),
                prefilled: now,
                seq: 0,
                free,
                reports: VecDeque::from([(now, idle)]),
            }),
        }
    }

    /// Returns whether a further request would be one too many in a queue of `limit`.
    pub fn full(&self, limit: usize) -> bool {
        let state = self.state.borrow();
        state.running.len() >= self.slots && state.waiting.len() >= limit
    }

    /// Enters a request with `tokens` to prefill.
    pub fn enter(self: &Rc<Self>, priority: Priority, tokens: u64) -> Ticket {
        let mut state = self.state.borrow_mut();
        state.arrivals += 1;
        let key = (priority, state.arrivals);
        let granted = Rc::new(Notify::new());
        state.waiting.insert(key, Rc::clone(&granted));
        state.backlog.insert(key, tokens);
        drop(state);
        self.admit();
        Ticket {
            batch: Rc::clone(self),
            key,
            granted,
        }
    }

    fn admit(&self) {
        let mut state = self.state.borrow_mut();
        while state.running.len() < self.slots
            && let Some((key, granted)) = state.waiting.pop_first()
        {
            state.running.insert(key);
            granted.notify_one();
        }
        drop(state);
        self.report();
    }

    /// Notes the number of free blocks for the coming reports.
    pub fn set_free(&self, free: u64) {
        self.state.borrow_mut().free = free;
    }

    fn report(&self) {
        let mut state = self.state.borrow_mut();
        state.seq += 1;
        let load = Load {
            seq: state.seq,
            queued: state.waiting.len() as u64,
            backlog_tokens: state.backlog.values().sum(),
            running: state.running.len() as u64,
            slots: self.slots as u64,
            free_blocks: state.free,
        };
        state.reports.push_back((Instant::now(), load));
        prune(&mut state.reports, self.lag);
    }

    /// Returns the newest report that is at least as old as the lag.
    pub fn load(&self) -> Load {
        let mut state = self.state.borrow_mut();
        prune(&mut state.reports, self.lag);
        state.reports[0].1
    }
}

/// Drops reports that a newer one with the age of the lag replaces.
fn prune(reports: &mut VecDeque<(Instant, Load)>, lag: Duration) {
    while reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
        reports.pop_front();
    }
}

/// A request's place among those that wait or run; dropping it leaves.
pub struct Ticket {
    batch: Rc<Batch>,
    key: Key,
    granted: Rc<Notify>,
}

impl Ticket {
    /// Waits for a slot.
    pub async fn slot(&self) {
        self.granted.notified().await;
    }

    /// Waits until `time` of prefill is done; prefills of one engine run one after another.
    pub async fn prefill(&self, tokens: u64, time: Duration) {
        let end = {
            let mut state = self.batch.state.borrow_mut();
            state.backlog.insert(self.key, tokens);
            let end = state.prefilled.max(Instant::now()) + time;
            state.prefilled = end;
            end
        };
        if !time.is_zero() {
            actix_rt::time::sleep_until(end).await;
        }
        self.batch.state.borrow_mut().backlog.remove(&self.key);
        self.batch.report();
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.batch.state.borrow_mut();
        state.waiting.remove(&self.key);
        state.running.remove(&self.key);
        state.backlog.remove(&self.key);
        drop(state);
        self.batch.admit();
    }
}
