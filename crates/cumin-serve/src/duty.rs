//! Duties that only the lease holder performs: usage reports and orders of engines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cumin_entry::document::ServiceSpec;
use cumin_entry::duty::{DutyLease, LeaseOptions, Record, Step, StoredRecord};
use cumin_entry::engine::Demand;
use cumin_entry::era::{Era, Marks};
use cumin_entry::fleet::{Endpoint, LAPSE_GRACE};
use cumin_entry::platform::{CloudError, LeaseHolder, StoreError, Stream};
use cumin_entry::scale::{ScaleOptions, Scaler};
use cumin_entry::usage::Settled;
use cumin_types::{FencingToken, LogOffset, Millis, NodeName, Service};
use tokio::time::{MissedTickBehavior, interval};

use crate::era;
use crate::feed;
use crate::node::Node;
use crate::rollout;

/// Time between two checks of the lease and of the duties that are due.
const STEP_INTERVAL: Millis = Millis(250);

/// Time after which the scalers plan again even if the fleet has not changed.
const PLAN_INTERVAL: Millis = Millis(1000);

/// Task that acquires the lease and performs the duties while this node holds it.
struct DutyRunner {
    node: Rc<Node>,
    lease: DutyLease,
    scalers: BTreeMap<Service, Scaler>,
    planned_at: Millis,
    /// Version of the fleet at the last plan.
    planned_version: u64,
    /// Usage window in which this node started. It sums this window, the one before and later ones;
    /// earlier windows are left to nodes that heard all of their counts.
    start_window: u64,
    /// Whether the statuses of roll-outs were read since the lease was acquired.
    statuses_read: bool,
}

/// Acquires the lease when possible and performs the duties while it is held.
///
/// Does not return, except at once on a node without access to the cloud.
pub(crate) async fn run(node: Rc<Node>) {
    if node.platform.cloud.is_none() {
        return;
    }
    let options = LeaseOptions {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
        ..LeaseOptions::default()
    };
    let mut runner = DutyRunner {
        lease: DutyLease::new(options),
        scalers: BTreeMap::new(),
        planned_at: Millis(0),
        planned_version: 0,
        start_window: node.usage_window(),
        statuses_read: false,
        node,
    };
    let mut ticks = interval(STEP_INTERVAL.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = runner.node.stop_notify.notified(), if !runner.node.stopping() => {}
        }
        runner.step().await;
    }
}

impl DutyRunner {
    async fn step(&mut self) {
        let now = self.node.now();
        if self.node.stopping() {
            self.release().await;
            return;
        }
        self.follow_era();
        let (stated, nodes_before) = {
            let peers = self.node.peers.borrow();
            let own = &self.node.settings.node;
            let nodes_before = peers
                .live(now)
                .filter(|peer| peer.digest.node < *own)
                .count();
            let holder = peers.holder(now);
            let stated = holder.and_then(|peer| Some((peer.digest.lease?, peer.heard)));
            (stated, nodes_before as u64)
        };
        let held_elsewhere = stated.is_some();
        if let Some(((token, end), at)) = stated
            && Era::of_token(token) == self.lease.era()
        {
            self.lease.observe_end(end, at);
        }
        match self.lease.next(held_elsewhere, nodes_before, now) {
            Step::Idle => {}
            Step::Read(from) => self.read(from).await,
            Step::Claim(at) => {
                let record = Record::Claim {
                    node: self.node.settings.node.clone(),
                    incarnation: self.node.incarnation,
                };
                if self.append(record, at).await && !self.lease.continued() {
                    self.scalers.clear();
                    self.statuses_read = false;
                }
            }
            Step::Renew(at) => {
                let record = Record::Renew {
                    node: self.node.settings.node.clone(),
                    incarnation: self.node.incarnation,
                };
                self.append(record, at).await;
            }
        }
        let held = self.lease.held(self.node.now());
        let before = self.node.lease.get().map(|(token, _)| token);
        if held != before {
            log::info!(
                "event=lease token={} before={}",
                held.unwrap_or_default(),
                before.unwrap_or_default()
            );
        }
        self.node.lease.set(held.zip(self.lease.last_end()));
        self.mark(held, None);
        if self.lease.may_act(self.node.now()).is_some() {
            self.report().await;
            self.order_engines().await;
            self.decide_rollouts().await;
        }
    }

    /// Begins an era of the store that was noticed, by this task or another one.
    fn follow_era(&mut self) {
        let node = &self.node;
        let era = node.eras.get().newest();
        if era > self.lease.era() {
            let held = self.lease.held(node.now()).unwrap_or_default();
            log::info!("event=duty_era era={era} token={held}");
            self.lease.enter_era(era, node.usage_window(), node.now());
        }
        self.lease.observe_token(node.marks.get().token);
    }

    /// Reads the stream of the lease from an offset.
    async fn read(&mut self, from: LogOffset) {
        let node = self.node.clone();
        self.lease.read_sent(node.now());
        let result = node
            .platform
            .store
            .read(Stream::Duty, from, Millis(0))
            .await;
        feed::count_call(&node, Stream::Duty, "read", &result);
        match era::checked(&node, result) {
            // The offset belongs to an older era.
            Ok(page) if page.era != self.lease.era() => self.follow_era(),
            Ok(page) => {
                let records: Vec<(LogOffset, StoredRecord)> = page
                    .records
                    .iter()
                    .filter_map(|record| {
                        let value = record.value.as_deref()?;
                        match serde_json::from_slice(value) {
                            Ok(parsed) => Some((record.offset, parsed)),
                            Err(error) => {
                                log::error!(
                                    "event=duty_unreadable offset={} error={error}",
                                    record.offset
                                );
                                None
                            }
                        }
                    })
                    .collect();
                self.lease.apply_read(&records, page.end, node.now());
            }
            Err(StoreError::Trimmed { first }) => self.lease.skip_trimmed(first),
            Err(StoreError::Beyond) => {
                log::info!("event=records_lost stream={} at={from}", Stream::Duty);
                let era = self.lease.era();
                self.lease.enter_era(era, node.usage_window(), node.now());
            }
            Err(error) => log::warn!("event=duty_unread error={error:?}"),
        }
    }

    /// Appends a record at `at`, the end of the stream. Returns whether the store confirmed it.
    async fn append(&mut self, record: Record, at: LogOffset) -> bool {
        let node = self.node.clone();
        let record = self.lease.stored(record, at);
        let value = match serde_json::to_vec(&record) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                log::error!("event=duty_unwritten error={error}");
                return false;
            }
        };
        let sent = node.now();
        let store = &node.platform.store;
        let result = store.append(Stream::Duty, None, value, Some(at)).await;
        feed::count_call(&node, Stream::Duty, "append", &result);
        match era::checked(&node, result) {
            // The record follows others than those that were read.
            Ok(appended) if appended.era != self.lease.era() => {
                self.follow_era();
                false
            }
            Ok(appended) => {
                self.lease
                    .appended(&record, appended.offset, sent, node.now());
                true
            }
            Err(error) => {
                let record = record.record;
                log::info!("event=duty_append record={record:?} at={at} error={error:?}");
                self.lease.mark_stale();
                false
            }
        }
    }

    /// Remembers numbers that this node uses, which digests state to the others.
    fn mark(&self, token: Option<FencingToken>, window: Option<u64>) {
        let mut marks = self.node.marks.get();
        marks.merge(Marks {
            token: token.unwrap_or_default(),
            window,
        });
        self.node.marks.set(marks);
    }

    fn lease_holder(&self, token: FencingToken) -> LeaseHolder {
        LeaseHolder {
            node: Arc::from(self.node.settings.node.as_str()),
            token,
        }
    }

    /// Reports the usage windows that have ended and whose counts are complete or can wait no longer.
    async fn report(&mut self) {
        let node = self.node.clone();
        let current = node.usage_window();
        let past = node.usage.borrow().past(current);
        for window in past {
            if self.lease.delivered(window) || window < self.start_window.saturating_sub(1) {
                continue;
            }
            if self.lease.report(window).is_none() {
                let Some(missing) = self.settle(window) else {
                    if self.lease.era().is_unknown() {
                        continue;
                    }
                    // After a restore, a report stands for all windows before it.
                    return;
                };
                let Some(at) = self.lease.end() else { return };
                let remembered = self.lease.remembered(window).cloned();
                let reported = node.marks.get().window;
                if remembered.is_none() && !self.lease.may_fix(window, reported) {
                    self.skip(window);
                    continue;
                }
                let total = || node.usage.borrow().total(window);
                let record = Record::Report {
                    node: node.settings.node.clone(),
                    incarnation: node.incarnation,
                    window,
                    counts: remembered.unwrap_or_else(total),
                };
                // The counts are fixed in the store before they are sent, so that a later holder
                // that repeats the report sends the same counts.
                if !self.append(record, at).await {
                    return;
                }
                self.log_settled(window, &missing);
            }
            let now = node.now();
            let (Some(token), Some(cloud)) = (self.lease.may_act(now), &node.platform.cloud) else {
                return;
            };
            let counts = self.lease.report(window).cloned().unwrap_or_default();
            self.mark(None, Some(window));
            let sent = cloud
                .report_usage(&self.lease_holder(token), window, &counts)
                .await;
            let total: u64 = counts.values().sum();
            match sent {
                Ok(()) => {
                    log::info!("event=usage window={window} requests={total} token={token}");
                    self.lease.mark_delivered(window, node.now());
                }
                Err(error) => {
                    log::warn!("event=usage_failed window={window} error={error}");
                    return;
                }
            }
        }
    }

    /// Gives up a window whose report may have been sent from a record that the store has lost.
    fn skip(&mut self, window: u64) {
        log::warn!(
            "event=usage_skipped window={window} era={} reported={:?}",
            self.lease.era(),
            self.node.marks.get().window
        );
        self.lease.mark_delivered(window, self.node.now());
    }

    /// Returns whether the known endpoints are those that exist, as far as the store shows.
    ///
    /// A node that takes over the lease in a new era waits until live endpoints have registered
    /// again, or it would order others in their place.
    fn fleet_known(&self) -> bool {
        let node = &self.node;
        let (eras, now) = (node.eras.get(), node.now());
        let listed = node.registrations.era.get() == eras.newest();
        let settled = now.since(eras.noticed()) >= LAPSE_GRACE.0;
        eras.newest().is_unknown() || (listed && (settled || self.lease.continued()))
    }

    /// Returns the nodes whose counts of a window may be lacking if the counts are to be fixed now.
    fn settle(&self, window: u64) -> Option<Vec<NodeName>> {
        let node = &self.node;
        let due = node.bounds.get().usage_due;
        let usage = node.usage.borrow();
        match usage.settle(window, self.since_end(window), due, node.now()) {
            Settled::Waiting(_) => None,
            Settled::Complete => Some(Vec::new()),
            Settled::Incomplete(missing) => Some(missing),
        }
    }

    /// Returns the time since the end of a window.
    fn since_end(&self, window: u64) -> Millis {
        let length_ms = self.node.bounds.get().usage_window.0.max(1);
        let end = (window + 1).saturating_mul(length_ms);
        Millis(self.node.wall().0.saturating_sub(end))
    }

    fn log_settled(&self, window: u64, missing: &[NodeName]) {
        let since_end = self.since_end(window);
        if missing.is_empty() {
            log::info!(
                "event=usage_settled window={window} state=complete since_end_ms={since_end}"
            );
            return;
        }
        self.node.metrics.incomplete_windows.inc();
        let names: Vec<&str> = missing.iter().map(NodeName::as_str).collect();
        log::warn!(
            "event=usage_settled window={window} state=incomplete since_end_ms={since_end} \
             missing={} nodes={}",
            names.len(),
            names.join(",")
        );
    }

    /// Decides on the roll-outs, after the statuses that earlier holders wrote were read.
    async fn decide_rollouts(&mut self) {
        let node = self.node.clone();
        if node.rollouts.borrow().open_services().is_empty() {
            return;
        }
        if !self.statuses_read {
            match rollout::read_statuses(&node).await {
                Ok(()) => self.statuses_read = true,
                Err(error) => {
                    log::warn!("event=rollout decision=statuses_unread error={error:?}");
                    return;
                }
            }
        }
        let lease = &self.lease;
        rollout::decide(&node, || lease.may_act(node.now()).is_some()).await;
    }

    /// Plans the engines of all scaled services and orders the changes.
    async fn order_engines(&mut self) {
        let node = self.node.clone();
        let now = node.now();
        if !self.fleet_known() {
            return;
        }
        let version = node.fleet.borrow().version();
        if version == self.planned_version && now.since(self.planned_at) < PLAN_INTERVAL.0 {
            return;
        }
        (self.planned_at, self.planned_version) = (now, version);
        let Some(table) = node.table() else { return };
        let services = &table.document().services;
        let scaled = services.iter().filter(|spec| spec.scale.is_some());
        for spec in scaled {
            self.order_service(spec).await;
        }
    }

    async fn order_service(&mut self, spec: &ServiceSpec) {
        let node = self.node.clone();
        let now = node.now();
        let (Some(limits), Some(cloud)) = (&spec.scale, &node.platform.cloud) else {
            return;
        };
        let endpoints = node.fleet.borrow().planned(&spec.name);
        let endpoints: Vec<&Endpoint> = endpoints.iter().collect();
        let demand = total_demand(&node, &spec.name, now);
        let model = node.selector.borrow().model(&spec.name).clone();
        let slots = spec.engine.as_ref().map_or(1, |engine| engine.slots);
        let scaler = self.scalers.entry(spec.name.clone()).or_insert_with(|| {
            Scaler::new(ScaleOptions::default(), spec.name.clone(), node.started)
        });
        let working = endpoints.iter().copied().filter(|e| !e.draining);
        let limited = node.limits.borrow().taken_shares(working, now);
        let orders = scaler.plan(limits, &endpoints, (&model, slots), demand, &limited, now);
        let need = scaler.need();
        for order in orders {
            let Some(token) = self.lease.may_act(node.now()) else {
                return;
            };
            let result = cloud.order(&self.lease_holder(token), &order).await;
            log::info!(
                "event=order service={} place={} spot={} count={} need={need} \
                 prefilling={:.2} output_rate={:.1} present={} limited={} token={token} \
                 result={result:?}",
                order.service,
                order.place,
                order.spot,
                order.count,
                demand.prefilling,
                demand.output_rate,
                endpoints.iter().filter(|e| !e.draining).count(),
                limited.len()
            );
            let Some(scaler) = self.scalers.get_mut(&spec.name) else {
                return;
            };
            match result {
                Ok(()) => scaler.order_accepted(&order, node.now()),
                Err(CloudError::Unavailable | CloudError::Failed(_)) => {
                    scaler.order_refused(&order, node.now());
                }
            }
        }
    }

    /// Releases the lease before the node stops, so that another node need not wait for its expiry.
    async fn release(&mut self) {
        if self.lease.held(self.node.now()).is_none() {
            return;
        }
        let Some(at) = self.lease.end() else { return };
        let record = Record::Release {
            node: self.node.settings.node.clone(),
            incarnation: self.node.incarnation,
        };
        self.append(record, at).await;
        self.node.lease.set(None);
    }
}

/// Returns the demand of all nodes for engines of a service.
fn total_demand(node: &Node, service: &Service, now: Millis) -> Demand {
    let own = node.selector.borrow().demand(now);
    let own = own.get(service).copied().unwrap_or_default();
    own.plus(node.peers.borrow().demand(service, now))
}
