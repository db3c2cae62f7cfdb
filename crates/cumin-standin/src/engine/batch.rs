//! The batching queue: running requests, waiting requests and the load reports about them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::Instant;
use cumin_types::Priority;
use cumin_wire::engine::Load;
use tokio::sync::Notify;

/// Order in the queue: by priority, then by arrival.
type Key = (Priority, u64);

/// Waiting and running requests, and the load reports about them.
pub struct Batch {
    slots: usize,
    lag: Duration,
    state: RefCell<State>,
}

struct State {
    arrivals: u64,
    waiting: BTreeMap<Key, Rc<Notify>>,
    /// Tokens that each running or waiting request still has to prefill.
    backlog: BTreeMap<Key, u64>,
    running: BTreeSet<Key>,
    /// Time at which all prefills that have started are done.
    prefill_end: Instant,
    seq: u64,
    free: u64,
    reports: VecDeque<(Instant, Load)>,
}

impl Batch {
    /// Returns an empty queue for `slots` slots whose reports are `lag` old.
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
                prefill_end: now,
                seq: 0,
                free,
                reports: VecDeque::from([(now, idle)]),
            }),
        }
    }

    /// Returns whether all slots are taken and at least `limit` requests wait.
    pub fn is_full(&self, limit: usize) -> bool {
        let state = self.state.borrow();
        state.running.len() >= self.slots && state.waiting.len() >= limit
    }

    /// Enqueues a request that has `tokens` tokens to prefill.
    pub fn enqueue(self: &Rc<Self>, priority: Priority, tokens: u64) -> Ticket {
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

    /// Moves waiting requests to free slots.
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

    /// Sets the number of free cache blocks for later reports.
    pub fn set_free(&self, free: u64) {
        self.state.borrow_mut().free = free;
    }

    /// Adds a load report with the current state.
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

    /// Returns the newest report that is at least as old as the lag, or the oldest one kept.
    pub fn load(&self) -> Load {
        let mut state = self.state.borrow_mut();
        prune(&mut state.reports, self.lag);
        state.reports[0].1
    }
}

/// Drops the reports before the newest one that is at least as old as the lag.
fn prune(reports: &mut VecDeque<(Instant, Load)>, lag: Duration) {
    while reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
        reports.pop_front();
    }
}

/// A waiting or running request; dropping it frees its slot.
pub struct Ticket {
    batch: Rc<Batch>,
    key: Key,
    granted: Rc<Notify>,
}

impl Ticket {
    /// Waits for a slot.
    pub async fn wait_slot(&self) {
        self.granted.notified().await;
    }

    /// Waits for a prefill of `tokens` tokens that takes `time`. An engine runs one prefill at a time.
    pub async fn prefill(&self, tokens: u64, time: Duration) {
        let end = {
            let mut state = self.batch.state.borrow_mut();
            state.backlog.insert(self.key, tokens);
            let end = state.prefill_end.max(Instant::now()) + time;
            state.prefill_end = end;
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
