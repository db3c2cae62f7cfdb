//! Duties of one node at a time: the lease, reports of usage, orders of engines.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use cumin_entry::document::ServiceSpec;
use cumin_entry::duty::{DutyLease, LeaseOptions, Record, Step};
use cumin_entry::fleet::Endpoint;
use cumin_entry::platform::{CloudError, LeaseHolder, StoreError, Stream};
use cumin_entry::scale::{ScaleOptions, Scaler};
use cumin_types::{FencingToken, LogOffset, Millis, Service};
use tokio::time::{MissedTickBehavior, interval};

use crate::feed;
use crate::node::Node;

/// Time between two looks at what is due.
const PERIOD: Millis = Millis(250);

/// Time after a window's end at which it is summed: digests of all nodes have come by then.
const SETTLE: Millis = Millis(1500);

/// Windows back from the running one that are still reported.
const BACK: u64 = 3;

/// Time between two looks at the orders.
const ORDERS: Millis = Millis(1000);

struct Holder {
    node: Rc<Node>,
    duty: DutyLease,
    scalers: BTreeMap<Service, Scaler>,
    planned: Millis,
    /// Version of the fleet that was last planned for.
    version: u64,
    /// The first window that this node can sum: it heard all of it.
    since: u64,
}

/// Holds the duties when it is this node's turn, for ever.
pub(crate) async fn run(node: Rc<Node>) {
    if node.platform.cloud.is_none() {
        return;
    }
    let options = LeaseOptions {
        node: node.settings.node.clone(),
        incarnation: node.life,
        ..LeaseOptions::default()
    };
    let mut holder = Holder {
        duty: DutyLease::new(options),
        scalers: BTreeMap::new(),
        planned: Millis(0),
        version: 0,
        since: node.window(),
        node,
    };
    let mut ticks = interval(PERIOD.duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = holder.node.stopped.notified(), if !holder.node.stopping() => {}
        }
        holder.step().await;
    }
}

impl Holder {
    async fn step(&mut self) {
        let now = self.node.now();
        if self.node.stopping() {
            self.release().await;
            return;
        }
        let (holder, before) = {
            let peers = self.node.peers.borrow();
            let own = &self.node.settings.node;
            let before = peers.live(now).filter(|p| p.digest.node < *own).count();
            let holder = peers.holder(now);
            let stated = holder.and_then(|peer| Some((peer.digest.lease?.1, peer.heard)));
            (stated, before as u64)
        };
        let heard = holder.is_some();
        if let Some((end, at)) = holder {
            self.duty.observe_end(end, at);
        }
        match self.duty.next(heard, before, now) {
            Step::Idle => {}
            Step::Read(from) => self.read(from).await,
            Step::Claim(at) => {
                let record = Record::Claim {
                    node: self.node.settings.node.clone(),
                    incarnation: self.node.life,
                };
                if self.append(record, at).await {
                    self.scalers.clear();
                }
            }
            Step::Renew(at) => {
                let record = Record::Renew {
                    node: self.node.settings.node.clone(),
                    incarnation: self.node.life,
                };
                self.append(record, at).await;
            }
        }
        let held = self.duty.held(self.node.now());
        let before = self.node.lease.get().map(|(token, _)| token);
        if held != before {
            log::info!(
                "event=lease token={} before={}",
                held.unwrap_or_default(),
                before.unwrap_or_default()
            );
        }
        self.node.lease.set(held.zip(self.duty.last_end()));
        if self.duty.may_act(self.node.now()).is_some() {
            self.report().await;
            self.order().await;
        }
    }

    async fn read(&mut self, from: LogOffset) {
        let node = self.node.clone();
        self.duty.read_sent(node.now());
        let result = node
            .platform
            .store
            .read(Stream::Duty, from, Millis(0))
            .await;
        feed::count(&node, Stream::Duty, "read", &result);
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
                self.duty.apply_read(&records, page.end, node.now());
            }
            Err(StoreError::Trimmed { first }) => self.duty.skip_trimmed(first),
            Err(error) => log::warn!("event=duty_unread error={error:?}"),
        }
    }

    /// Appends a record where the stream ends; returns whether that succeeded.
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
        feed::count(&node, Stream::Duty, "append", &result);
        match result {
            Ok(offset) => {
                self.duty.appended(&record, offset, sent, node.now());
                true
            }
            Err(error) => {
                log::info!("event=duty_append record={record:?} at={at} error={error:?}");
                self.duty.mark_stale();
                false
            }
        }
    }

    fn mandate(&self, token: FencingToken) -> LeaseHolder {
        LeaseHolder {
            node: Arc::from(self.node.settings.node.as_str()),
            token,
        }
    }

    /// Reports the windows that have ended.
    async fn report(&mut self) {
        let node = self.node.clone();
        let length = node.bounds.get().usage_window.0.max(1);
        let settled = node.wall().0.saturating_sub(SETTLE.0) / length;
        for window in settled.saturating_sub(BACK)..settled {
            if self.duty.delivered(window) || window < self.since.saturating_sub(1) {
                continue;
            }
            if self.duty.report(window).is_none() {
                let Some(at) = self.duty.end() else { return };
                let record = Record::Report {
                    node: node.settings.node.clone(),
                    incarnation: node.life,
                    window,
                    counts: node.usage.borrow().total(window),
                };
                // The counts are fixed in the store before they are sent, so that whoever
                // reports the window again reports the same.
                if !self.append(record, at).await {
                    return;
                }
            }
            let now = node.now();
            let (Some(token), Some(cloud)) = (self.duty.may_act(now), &node.platform.cloud) else {
                return;
            };
            let counts = self.duty.report(window).cloned().unwrap_or_default();
            let sent = cloud
                .report_usage(&self.mandate(token), window, &counts)
                .await;
            let total: u64 = counts.values().sum();
            match sent {
                Ok(()) => {
                    log::info!("event=usage window={window} requests={total} token={token}");
                    self.duty.mark_delivered(window, node.now());
                }
                Err(error) => {
                    log::warn!("event=usage_failed window={window} error={error}");
                    return;
                }
            }
        }
    }

    /// Orders engines where the plan has changed.
    async fn order(&mut self) {
        let node = self.node.clone();
        let now = node.now();
        let version = node.fleet.borrow().version();
        if version == self.version && now.since(self.planned) < ORDERS.0 {
            return;
        }
        (self.planned, self.version) = (now, version);
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
        let endpoints: Vec<Endpoint> = {
            let fleet = node.fleet.borrow();
            let ours = fleet.all().filter(|e| e.service == spec.name);
            ours.cloned().collect()
        };
        let endpoints: Vec<&Endpoint> = endpoints.iter().collect();
        let busy = busy(&node, &spec.name, now);
        let scaler = self.scalers.entry(spec.name.clone()).or_insert_with(|| {
            Scaler::new(ScaleOptions::default(), spec.name.clone(), node.started)
        });
        let orders = scaler.plan(limits, &endpoints, busy, now);
        let need = scaler.need();
        for order in orders {
            let Some(token) = self.duty.may_act(node.now()) else {
                return;
            };
            let result = cloud.order(&self.mandate(token), &order).await;
            log::info!(
                "event=order service={} place={} spot={} count={} need={need} busy={busy:.2} \
                 present={} token={token} result={result:?}",
                order.service,
                order.place,
                order.spot,
                order.count,
                endpoints.iter().filter(|e| !e.draining).count()
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

    /// Gives the lease back before the node stops.
    async fn release(&mut self) {
        if self.duty.held(self.node.now()).is_none() {
            return;
        }
        let Some(at) = self.duty.end() else { return };
        let record = Record::Release {
            node: self.node.settings.node.clone(),
            incarnation: self.node.life,
        };
        self.append(record, at).await;
        self.node.lease.set(None);
    }
}

/// Engines that the requests of all nodes keep busy.
fn busy(node: &Node, service: &Service, now: Millis) -> f64 {
    let own = node.placement.borrow().demand(now);
    let own = own.get(service).copied().unwrap_or(0.0);
    let peers = node.peers.borrow();
    let others = peers.live(now).flat_map(|peer| &peer.digest.busy);
    let others = others.filter(|(name, _)| name == service);
    own + others.map(|(_, busy)| busy).sum::<f64>()
}
