//! Roll-outs: the attempts that are counted, the statuses in the store, and log lines.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use cumin_entry::fleet::Endpoint;
use cumin_entry::platform::{Record, StoreError, Stream};
use cumin_entry::rollout::evidence::{Outcome, Side};
use cumin_entry::rollout::{Candidate, Situation, Status};
use cumin_types::{Millis, Service};

use crate::feed;
use crate::node::Node;
use crate::request::seconds;

/// Pause after a failed call to the store, and between checks of the settings.
const RETRY_PAUSE: Millis = Millis(300);

/// Unit of the times of events in a stream. Only their relation between versions matters; engines
/// make an event in 4 to 100 ms.
const EVENT_MS: f64 = 40.0;

/// An attempt that is counted for a roll-out when it is dropped.
pub(crate) struct Watched {
    node: Rc<Node>,
    service: Service,
    route: Arc<str>,
    token: (Side, u64),
    sent: Millis,
    expected_ms: f64,
    /// Time at which the request is given up.
    deadline: Millis,
    /// Time of the first event or of the answer.
    first: Cell<Option<Millis>>,
    /// What became of the attempt; `None` if that says nothing about the version.
    outcome: Cell<Option<Outcome>>,
}

impl Watched {
    /// Counts an attempt that is about to be sent.
    pub(crate) fn new(
        node: &Rc<Node>,
        (service, route): (&Service, &Arc<str>),
        endpoint: &Endpoint,
        expected_ms: f64,
        deadline: Millis,
    ) -> Option<Self> {
        let mut rollouts = node.rollouts.borrow_mut();
        let token = rollouts.sent(service, route, endpoint.version.as_ref())?;
        Some(Self {
            node: node.clone(),
            service: service.clone(),
            route: route.clone(),
            token,
            sent: node.now(),
            expected_ms,
            deadline,
            first: Cell::new(None),
            outcome: Cell::new(None),
        })
    }

    /// Records that the answer has begun.
    pub(crate) fn begun(&self) {
        self.first.set(Some(self.node.now()));
    }

    /// Records that the endpoint answered, with `events` in a stream.
    pub(crate) fn answered(&self, failed: bool, events: u32) {
        let first = self.first.get();
        let span = |from: Millis, to: Millis| seconds(to.since(from)) * 1000.0;
        let ratio = |first| span(self.sent, first) / self.expected_ms.max(1.0);
        let pace = |first| span(first, self.node.now()) / f64::from(events) / EVENT_MS;
        self.outcome.set(Some(Outcome {
            failed,
            broken: false,
            first: first.filter(|_| !failed).map(ratio),
            pace: first.filter(|_| !failed && events > 1).map(pace),
        }));
    }

    /// Records that no complete answer arrived.
    pub(crate) fn broke(&self) {
        self.outcome.set(Some(Outcome {
            failed: false,
            broken: true,
            first: None,
            pace: None,
        }));
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        // A request that is dropped at its deadline got no answer; otherwise its caller left.
        if self.outcome.get().is_none()
            && self.first.get().is_none()
            && self.node.now() >= self.deadline
        {
            self.broke();
        }
        let mut rollouts = self.node.rollouts.borrow_mut();
        let outcome = self.outcome.get();
        rollouts.ended(&self.service, &self.route, self.token, outcome);
    }
}

/// Returns the usable endpoints of a service with their versions.
pub(crate) fn candidates(node: &Node, service: &Service) -> Vec<Candidate> {
    let fleet = node.fleet.borrow();
    let usable = fleet.usable(service, node.now());
    let candidates = usable.map(|endpoint| Candidate {
        name: endpoint.name.clone(),
        version: endpoint.version.clone(),
    });
    candidates.collect()
}

/// Applies an order in the stream of documents. Returns whether the record is one.
pub(crate) fn apply_order(node: &Node, record: &Record) -> bool {
    let (Some(key), Some(value)) = (&record.key, &record.value) else {
        return false;
    };
    let Some(decoded) = node.platform.codec.decode_rollout(key, value) else {
        return false;
    };
    match decoded {
        Ok(order) => {
            let nodes = node.sharing_nodes();
            let mut rollouts = node.rollouts.borrow_mut();
            let earliest = node.documents.before.get();
            let position = node.documents.era.get().position(record.offset);
            rollouts.order_seen(order, position, nodes, earliest, node.now());
            drop(rollouts);
            log_events(node);
        }
        Err(error) => log::error!(
            "event=rollout decision=unreadable key={key} offset={} error={error:?}",
            record.offset
        ),
    }
    true
}

/// Logs the decisions that were made.
pub(crate) fn log_events(node: &Node) {
    for event in node.rollouts.borrow_mut().take_events() {
        log::info!("event=rollout service={} {}", event.service, event.text);
    }
}

/// Judges the versions by the newest counts.
pub(crate) fn review(node: &Node, summarise: bool) {
    let now = node.now();
    let peers = node.peers.borrow();
    let heard = peers.live(now).count() + 1;
    let nodes = (peers.sharing(now).len() + 1).max(heard);
    drop(peers);
    let mut rollouts = node.rollouts.borrow_mut();
    rollouts.set_heard(nodes, heard);
    rollouts.review(now);
    if summarise {
        for (service, text) in rollouts.summaries(now) {
            log::info!("event=rollout service={service} decision=progress {text}");
        }
    }
    drop(rollouts);
    log_events(node);
}

/// Reads the statuses in the store.
pub(crate) async fn read_statuses(node: &Node) -> Result<(), StoreError> {
    let listed = node.platform.store.newest(Stream::Status).await;
    feed::count_call(node, Stream::Status, "newest", &listed);
    let mut statuses: Vec<Status> = Vec::new();
    for record in listed?.records {
        let (Some(key), Some(value)) = (&record.key, &record.value) else {
            continue;
        };
        match node.platform.codec.decode_status(key, value, node.wall()) {
            Ok(status) => statuses.push(status),
            Err(error) => {
                log::warn!("event=rollout decision=status_unreadable key={key} error={error:?}");
            }
        }
    }
    let now = node.now();
    node.rollouts.borrow_mut().statuses_read(&statuses, now);
    log_events(node);
    Ok(())
}

/// Reads the statuses at the start, if roll-outs are enabled, or as soon as they are.
pub(crate) async fn restore(node: Rc<Node>) {
    loop {
        if node.rollouts.borrow().is_enabled() {
            match read_statuses(&node).await {
                Ok(()) => return,
                Err(error) => log::warn!("event=rollout decision=statuses_unread error={error:?}"),
            }
        }
        tokio::time::sleep(RETRY_PAUSE.duration()).await;
    }
}

/// Decides on the roll-outs for the holder of the duty lease, and writes the statuses that are due.
///
/// `may_act` says whether the lease is still held.
pub(crate) async fn decide(node: &Node, may_act: impl Fn() -> bool) {
    let services = node.rollouts.borrow().open_services();
    for service in services {
        let candidates = candidates(node, &service);
        let versions: Vec<_> = candidates.into_iter().map(|c| c.version).collect();
        let peers = node.peers.borrow().sharing(node.now());
        let situation = Situation {
            versions: &versions,
            peers: &peers,
        };
        let now = node.now();
        let due = node.rollouts.borrow_mut().decide(&service, &situation, now);
        log_events(node);
        let Some(report) = due.filter(|_| may_act()) else {
            continue;
        };
        let codec = &node.platform.codec;
        let (key, value) = codec.encode_status(&report.status, node.wall());
        let store = &node.platform.store;
        let appended = store.append(Stream::Status, Some(&key), value, None).await;
        feed::count_call(node, Stream::Status, "append", &appended);
        log::info!(
            "event=rollout service={service} decision=status target={} state={:?} age_ms={} \
             reason=\"{}\" result={:?}",
            report.status.target,
            report.status.state,
            report.status.age,
            report.reason,
            appended.as_ref().map(|appended| appended.offset.0)
        );
        if appended.is_ok() {
            let now = node.now();
            node.rollouts.borrow_mut().status_known(&report.status, now);
            log_events(node);
        }
    }
}
