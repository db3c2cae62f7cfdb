//! Duties that only the lease holder performs: usage reports and orders of engines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cumin_entry::document::ServiceSpec;
use cumin_entry::duty::{DutyLease, LeaseOptions, Record, Step};
use cumin_entry::engine::Demand;
use cumin_entry::fleet::Endpoint;
use cumin_entry::platform::{CloudError, LeaseHolder, StoreError, Stream};
use cumin_entry::scale::{ScaleOptions, Scaler};
use cumin_types::{FencingToken, LogOffset, Millis, Service};
use tokio::time::{MissedTickBehavior, interval};

use crate::feed;
use crate::node::Node;
use crate::rollout;

/// Time between two checks of the lease and of the duties that are due.
const STEP_INTERVAL: Millis = Millis(250);

/// Time from the end of a usage window until it is summed: the digests of all nodes have arrived by
/// then.
const SETTLE_TIME: Millis = Millis(1500);

/// Number of past usage windows that are still reported.
const MAX_PAST_WINDOWS: u64 = 3;

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
        let (stated, nodes_before) = {
            let peers = self.node.peers.borrow();
            let own = &self.node.settings.node;
            let nodes_before = peers
                .live(now)
                .filter(|peer| peer.digest.node < *own)
                .count();
            let holder = peers.holder(now);
            let stated = holder.and_then(|peer| Some((peer.digest.lease?.1, peer.heard)));
            (stated, nodes_before as u64)
        };
        let held_elsewhere = stated.is_some();
        if let Some((end, at)) = stated {
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
                if self.append(record, at).await {
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
        if self.lease.may_act(self.node.now()).is_some() {
            self.report().await;
            self.order_engines().await;
            self.decide_rollouts().await;
        }
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
        match result {
            Ok(page) => {
                let records: Vec<(LogOffset, Record)> = page
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
            Err(error) => log::warn!("event=duty_unread error={error:?}"),
        }
    }

    /// Appends a record at `at`, the end of the stream. Returns whether the store confirmed it.
    async fn append(&mut self, record: Record, at: LogOffset) -> bool {
        let node = self.node.clone();
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
        match result {
            Ok(offset) => {
                self.lease.appended(&record, offset, sent, node.now());
                true
            }
            Err(error) => {
                log::info!("event=duty_append record={record:?} at={at} error={error:?}");
                self.lease.mark_stale();
                false
            }
        }
    }

    fn lease_holder(&self, token: FencingToken) -> LeaseHolder {
        LeaseHolder {
            node: Arc::from(self.node.settings.node.as_str()),
            token,
        }
    }

    /// Reports the usage windows that have ended.
    async fn report(&mut self) {
        let node = self.node.clone();
        let length_ms = node.bounds.get().usage_window.0.max(1);
        let settled = node.wall().0.saturating_sub(SETTLE_TIME.0) / length_ms;
        for window in settled.saturating_sub(MAX_PAST_WINDOWS)..settled {
            if self.lease.delivered(window) || window < self.start_window.saturating_sub(1) {
                continue;
            }
            if self.lease.report(window).is_none() {
                let Some(at) = self.lease.end() else { return };
                let record = Record::Report {
                    node: node.settings.node.clone(),
                    incarnation: node.incarnation,
                    window,
                    counts: node.usage.borrow().total(window),
                };
                // The counts are fixed in the store before they are sent, so that a later holder
                // that repeats the report sends the same counts.
                if !self.append(record, at).await {
                    return;
                }
            }
            let now = node.now();
            let (Some(token), Some(cloud)) = (self.lease.may_act(now), &node.platform.cloud) else {
                return;
            };
            let counts = self.lease.report(window).cloned().unwrap_or_default();
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

    /// Decides on the roll-outs, after the statuses that earlier holders wrote were read.
    async fn decide_rollouts(&mut self) {
        let node = self.node.clone();
        if node.rollouts.borrow().running() == 0 {
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
