//! Requests that wait for capacity: tasks of callers wait here until the decisions of
//! `cumin_entry::waiting` end their waits.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use cumin_entry::document::Document;
use cumin_entry::selection::Need;
use cumin_entry::waiting::{
    Estimate, Position, StatedPressure, WaitDecision, WaitEnd, WaitLimit, WaitNumber, WaitOptions,
    WaitRequest, Waiting, ranked_services,
};
use cumin_types::{Millis, NodeName, Organisation, Service};
use tokio::sync::{Notify, oneshot};

use crate::admit::{DEFAULT_RETRY_AFTER, MIN_RETRY_AFTER, REVOKE_MARGIN};
use crate::metrics::{OrgLabels, RankLabels};
use crate::node::Node;
use crate::request::{ActiveRequest, NoAttempt};

/// Longest time between two releases while requests wait.
const RELEASE_INTERVAL: Millis = Millis(25);

/// Shortest time between two releases: many peers send digests, and each of them wakes the task.
const RELEASE_PAUSE: Millis = Millis(5);

/// Maximum number of organisations with metrics of their own.
const MAX_ORG_LABELS: usize = 32;

/// How a wait ended.
type WaitResult = Result<(Slot, Position), (Millis, &'static str)>;

/// A caller's task that waits.
struct Waiter {
    service: Service,
    rank: u8,
    end: oneshot::Sender<WaitResult>,
}

/// The waiting requests of a node.
pub(crate) struct WaitRoom {
    state: RefCell<Waiting>,
    waiters: RefCell<HashMap<WaitNumber, Waiter>>,
    /// Notified when waiting requests may be released.
    released: Notify,
    /// Notified when a document comes into force.
    document: Notify,
    /// Organisations with metrics of their own.
    labels: RefCell<Vec<Organisation>>,
    limit: WaitLimit,
}

impl WaitRoom {
    pub(crate) fn new(node: &NodeName) -> Self {
        let options = WaitOptions::default();
        Self {
            limit: options.limit,
            state: RefCell::new(Waiting::new(node, options)),
            waiters: RefCell::default(),
            released: Notify::new(),
            document: Notify::new(),
            labels: RefCell::default(),
        }
    }

    /// Applies a document. Requests of services that no longer have waiting requests are refused;
    /// the others check whether they are still admitted.
    pub(crate) fn apply_document(&self, document: &Document) {
        let services = ranked_services(document);
        let removed = self.state.borrow_mut().set_services(&services);
        self.refuse(&removed, "document");
        self.document.notify_waiters();
    }

    /// Refuses all waiting requests because the node stops.
    pub(crate) fn stop(&self) {
        let removed = self.state.borrow_mut().remove_all();
        self.refuse(&removed, "stopping");
    }

    fn refuse(&self, numbers: &[WaitNumber], reason: &'static str) {
        for number in numbers {
            let waiter = self.waiters.borrow_mut().remove(number);
            if let Some(waiter) = waiter {
                // A caller that left needs no answer.
                let _ = waiter.end.send(Err((MIN_RETRY_AFTER, reason)));
            }
        }
    }

    /// Returns what this node states to its peers.
    pub(crate) fn stated(&self) -> Vec<StatedPressure> {
        self.state.borrow().stated()
    }

    /// Merges what a peer states.
    pub(crate) fn merge_peer(&self, node: &NodeName, stated: &[StatedPressure], now: Millis) {
        self.state.borrow_mut().merge_peer(node, stated, now);
        self.wake();
    }

    /// Lets waiting requests be released soon.
    fn wake(&self) {
        if !self.waiters.borrow().is_empty() {
            self.released.notify_one();
        }
    }

    /// Returns the label of an organisation; those beyond the maximum share one.
    fn label(&self, org: &Organisation) -> String {
        let mut labels = self.labels.borrow_mut();
        if !labels.contains(org) {
            if labels.len() >= MAX_ORG_LABELS {
                return "other".into();
            }
            labels.push(org.clone());
        }
        org.to_string()
    }
}

/// Permission to send a request, which occupies a slot from its sending until dropped.
pub(crate) struct Slot {
    node: Rc<Node>,
    service: Service,
    rank: u8,
    sent: Cell<Option<Millis>>,
}

impl Slot {
    /// Records that the request was sent to an endpoint.
    pub(crate) fn sent(&self) {
        let now = self.node.now();
        if self.sent.replace(Some(now)).is_none() {
            self.node.waiting.state.borrow_mut().sent(&self.service);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.now();
        let room = &self.node.waiting;
        let mut state = room.state.borrow_mut();
        match self.sent.get() {
            Some(sent) => {
                let held = Millis(now.since(sent));
                state.ended(&self.service, held);
            }
            None => state.unused(&self.service, self.rank, now),
        }
        drop(state);
        room.wake();
    }
}

/// Removes a waiting request when its caller's task ends.
struct WaitGuard<'a> {
    room: &'a WaitRoom,
    number: WaitNumber,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.room.waiters.borrow_mut().remove(&self.number);
        self.room.state.borrow_mut().remove(self.number);
    }
}

/// Releases waiting requests; does not return.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        let notified = node.waiting.released.notified();
        if node.waiting.waiters.borrow().is_empty() {
            notified.await;
        } else {
            // A timeout is one of the two reasons to go on.
            let _ = tokio::time::timeout(RELEASE_INTERVAL.duration(), notified).await;
        }
        release(&node);
        tokio::time::sleep(RELEASE_PAUSE.duration()).await;
    }
}

fn release(node: &Rc<Node>) {
    let now = node.now();
    let room = &node.waiting;
    let services: Vec<Service> = room.state.borrow().busy_services().cloned().collect();
    for service in &services {
        observe(node, service, now);
    }
    let ended = room.state.borrow_mut().release(now);
    for (number, end) in ended {
        let waiter = room.waiters.borrow_mut().remove(&number);
        let Some(waiter) = waiter else { continue };
        let result = match end {
            WaitEnd::Send { turn } => {
                let slot = Slot {
                    node: node.clone(),
                    service: waiter.service,
                    rank: waiter.rank,
                    sent: Cell::new(None),
                };
                Ok((slot, turn))
            }
            WaitEnd::Refuse {
                retry_after,
                reason,
            } => Err((retry_after, reason)),
        };
        // The slot of a caller that left is returned when it is dropped.
        drop(waiter.end.send(result));
    }
}

/// Observes the capacity of a service unless that was done just before.
fn observe(node: &Node, service: &Service, now: Millis) {
    if !node.waiting.state.borrow().needs_capacity(service, now) {
        return;
    }
    let fleet = node.fleet.borrow();
    let capacity = node.selector.borrow().capacity(&fleet, service, now);
    let nodes = node.peers.borrow().live(now).count() + 1;
    let mut state = node.waiting.state.borrow_mut();
    state.observe(service, capacity, nodes, now);
}

impl ActiveRequest<'_> {
    /// Returns whether the first attempt waits for capacity.
    pub(crate) fn may_wait(&self) -> bool {
        !self.trial && self.node.waiting.state.borrow().is_on(self.service)
    }

    /// Returns the time left until the first event must be expected.
    pub(crate) fn wait_goal(&self, need: &Need) -> Millis {
        match self.node.waiting.limit {
            WaitLimit::Goal => need.goal_left,
            WaitLimit::Deadline => need.time_left,
        }
    }

    /// Waits until the request may be sent, and returns its turn.
    ///
    /// `turn` is that of a request for which no endpoint could be used.
    pub(crate) async fn wait_for_capacity(
        &mut self,
        need: &Need,
        turn: Option<Position>,
    ) -> Result<Position, NoAttempt> {
        let node = self.node;
        let room = &node.waiting;
        let now = node.now();
        let is_held = turn.is_some();
        self.slot = None;
        observe(node, self.service, now);
        let request = self.wait_request(need, now);
        let rank = request.rank;
        let decision = {
            let mut state = room.state.borrow_mut();
            state.decide(self.service, request, turn, now)
        };
        let (number, estimate) = match decision {
            WaitDecision::Send { turn } => {
                self.slot = Some(Slot {
                    node: node.clone(),
                    service: self.service.clone(),
                    rank,
                    sent: Cell::new(None),
                });
                return Ok(turn);
            }
            WaitDecision::Refuse {
                estimate,
                retry_after,
                reason,
            } => return Err(self.refuse_wait(need, rank, retry_after, reason, &estimate)),
            WaitDecision::Wait { number, estimate } => (number, estimate),
        };
        let guard = WaitGuard { room, number };
        if node.stopping() {
            drop(guard);
            return Err(self.refuse_wait(need, rank, MIN_RETRY_AFTER, "stopping", &estimate));
        }
        log::info!(
            "event=wait id={} service={} rank={rank} org={} {estimate}",
            self.id(),
            self.service,
            self.org.map_or("-", |org| org.name.as_str())
        );
        if !is_held {
            self.count(rank, "waited");
        }
        let (end, ended) = oneshot::channel();
        let waiter = Waiter {
            service: self.service.clone(),
            rank,
            end,
        };
        room.waiters.borrow_mut().insert(number, waiter);
        room.wake();
        let result = self.wait_end(ended).await;
        drop(guard);
        let waited_ms = node.now().since(now);
        let reason = result
            .as_ref()
            .map_or_else(|(_, reason)| *reason, |_| "sent");
        log::info!(
            "event=wait_ended id={} rank={rank} result={reason} waited_ms={waited_ms}",
            self.id()
        );
        match result {
            Ok((slot, turn)) => {
                self.slot = Some(slot);
                Ok(turn)
            }
            Err((retry_after, reason)) => {
                Err(self.refuse_wait(need, rank, retry_after, reason, &estimate))
            }
        }
    }

    /// Waits for the end of the wait, or until the request is no longer admitted.
    async fn wait_end(&self, mut ended: oneshot::Receiver<WaitResult>) -> WaitResult {
        loop {
            let changed = self.node.waiting.document.notified();
            tokio::select! {
                biased;
                end = &mut ended => {
                    let end = end.unwrap_or(Err((DEFAULT_RETRY_AFTER, "stopping")))?;
                    self.check_admitted()?;
                    return Ok(end);
                }
                () = changed => self.check_admitted()?,
            }
        }
    }

    /// Checks whether a request that waited would still be admitted.
    fn check_admitted(&self) -> Result<(), (Millis, &'static str)> {
        let node = self.node;
        if !crate::stop::accepts(node) {
            return Err((MIN_RETRY_AFTER, "stopping"));
        }
        let Some(table) = node.table() else {
            return Err((DEFAULT_RETRY_AFTER, "document"));
        };
        let route = table.route(&self.request.host, self.inbound.head.uri.path());
        if route != Some(self.route) || table.service(self.service) != self.spec {
            return Err((MIN_RETRY_AFTER, "document"));
        }
        let needs_key = !self.route.open && !table.document().orgs.is_empty();
        if !needs_key {
            return Ok(());
        }
        let key = self.request.key.as_deref();
        let org = key.and_then(|key| table.org(key));
        let identity = |org: &cumin_entry::document::OrgSpec| (org.name.clone(), org.rank);
        if org.is_none() || org.map(identity) != self.org.map(identity) {
            return Err((DEFAULT_RETRY_AFTER, "key_removed"));
        }
        let bounds = node.bounds.get();
        let age_ms = node.documents.freshness.get().age_ms(node.now());
        let age_ms = age_ms.unwrap_or(u64::MAX);
        if bounds.strict_revoke && age_ms.saturating_add(REVOKE_MARGIN.0) >= bounds.revoke_limit.0 {
            return Err((DEFAULT_RETRY_AFTER, "stale_keys"));
        }
        Ok(())
    }

    fn wait_request(&self, need: &Need, now: Millis) -> WaitRequest {
        let selector = self.node.selector.borrow();
        let slots = self.spec.and_then(|spec| spec.engine.as_ref());
        let slots = slots.map_or(1.0, |engine| f64::from(engine.slots));
        let (first, work_us) = selector.expected_work(self.service, need, slots);
        WaitRequest {
            org: self
                .org
                .map_or_else(|| Organisation::from(""), |org| org.name.clone()),
            rank: self.engine_rank(need).unwrap_or_default(),
            work_us,
            first,
            goal: now.plus(need.goal_left.0),
            deadline: self.deadline,
            fingerprint: self.suspicion.fingerprint,
        }
    }

    /// Returns the refusal of a request that may not wait, and counts it as demand for engines.
    fn refuse_wait(
        &self,
        need: &Need,
        rank: u8,
        retry_after: Millis,
        reason: &'static str,
        estimate: &Estimate,
    ) -> NoAttempt {
        let node = self.node;
        let now = node.now();
        node.selector
            .borrow_mut()
            .request_refused(self.service, need, now);
        self.count(rank, "refused");
        // A third of the time that the caller has left.
        let left = Millis(self.deadline.since(now) / 3);
        let retry_after = retry_after.min(left).max(MIN_RETRY_AFTER);
        (retry_after, reason, format!("rank={rank} {estimate}"))
    }

    /// Records that the request was sent to an endpoint.
    pub(crate) fn slot_sent(&self) {
        if let Some(slot) = &self.slot {
            slot.sent();
            self.count(slot.rank, "served");
        }
    }

    /// Counts a request that is refused although there was capacity.
    pub(crate) fn slot_refused(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.count(slot.rank, "refused");
        }
    }

    fn count(&self, rank: u8, result: &'static str) {
        let metrics = &self.node.metrics;
        let rank = u32::from(rank);
        metrics
            .waits
            .get_or_create(&RankLabels { rank, result })
            .inc();
        if let Some(org) = self.org {
            let org = self.node.waiting.label(&org.name);
            metrics
                .org_waits
                .get_or_create(&OrgLabels { org, result })
                .inc();
        }
    }
}

/// Updates the gauges before the metrics are read.
pub(crate) fn update_gauges(node: &Node) {
    let mut ranks: HashMap<u8, usize> = HashMap::new();
    for (_, count) in node.waiting.state.borrow().counts() {
        *ranks.entry(count.rank).or_default() += count.waiting;
    }
    for (rank, waiting) in ranks {
        let labels = RankLabels {
            rank: u32::from(rank),
            result: "waiting",
        };
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        node.metrics.queued.get_or_create(&labels).set(waiting);
    }
}
