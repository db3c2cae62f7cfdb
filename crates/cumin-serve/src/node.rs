//! State of a node, shared by all of its tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::ServiceConfig;
use cumin_entry::document::{Document, Table};
use cumin_entry::era::{Era, Eras, Marks};
use cumin_entry::fleet::Fleet;
use cumin_entry::limits::RateLimits;
use cumin_entry::memory::{MemoryBudget, MemoryOptions};
use cumin_entry::outage::{Absence, Reads, Timeline};
use cumin_entry::peer::{Peers, spread_addresses};
use cumin_entry::platform::{Clock, Cloud, Codec, Dialect, Store, Stream};
use cumin_entry::quota::Quotas;
use cumin_entry::relay::Stamps;
use cumin_entry::retry::{BudgetOptions, RetryBudget};
use cumin_entry::rollout::{RolloutOptions, Rollouts};
use cumin_entry::selection::{Selector, SelectorOptions};
use cumin_entry::settings::{Bounds, Settings};
use cumin_entry::stop::Stop;
use cumin_entry::suspects::{Suspect, Suspects};
use cumin_entry::usage::Usage;
use cumin_http::connection::Connection;
use cumin_types::{
    EndpointName, FencingToken, Incarnation, LogOffset, Millis, Revision, Service, WallMillis,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::crash::Check;
use crate::metrics::Metrics;
use crate::waiting::WaitRoom;

/// Adapters of the platform that a node runs on.
pub struct Platform {
    /// The platform's store.
    pub store: Box<dyn Store>,
    /// API of the cloud; a node without it never acquires the duty lease.
    pub cloud: Option<Box<dyn Cloud>>,
    /// Decoder of the store's records.
    pub codec: Box<dyn Codec>,
    /// Headers and paths of callers and endpoints.
    pub dialect: Box<dyn Dialect>,
    /// Wall clock and monotonic clock.
    pub clock: Box<dyn Clock>,
    /// Loads the current settings; the error describes the invalid one.
    pub load_settings: Box<dyn Fn() -> Result<Settings, String>>,
}

/// Phase of a node's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Requests are accepted.
    Serving,
    /// A graceful stop is in progress.
    Stopping(Stop),
}

/// How current this node's copy of a stream of the store is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    /// Time at which the copy was last known to be complete.
    pub(crate) as_of: Option<Millis>,
    /// Time for which a read was last answered, whether or not the answer proved the copy complete.
    pub(crate) read_as_of: Option<Millis>,
    /// Time since which reads fail.
    pub(crate) lost_since: Option<Millis>,
}

impl Freshness {
    /// Returns the age of the copy; `None` before the first read.
    pub(crate) fn age_ms(&self, now: Millis) -> Option<u64> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Returns the time since a read was last answered; `None` before the first one.
    pub(crate) fn read_age_ms(&self, now: Millis) -> Option<u64> {
        self.read_as_of.map(|as_of| now.since(as_of))
    }

    /// Records an answered read, which shows the state of the store at `as_of`.
    pub(crate) fn answered(&mut self, as_of: Millis, proves: bool) {
        self.read_as_of = self.read_as_of.max(Some(as_of));
        if proves {
            self.as_of = self.as_of.max(Some(as_of));
        }
        self.lost_since = None;
    }
}

/// Progress in a stream of the store.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    /// Offset to continue reading from; `None` before the first listing.
    pub(crate) at: Cell<Option<LogOffset>>,
    /// Era of the last listing, to which `at` belongs.
    pub(crate) era: Cell<Era>,
    pub(crate) freshness: Cell<Freshness>,
    /// Time of the copy before the last page.
    pub(crate) before: Cell<Option<Millis>>,
    /// Whether a relayed page showed that this node must read by itself.
    pub(crate) wanted: Cell<bool>,
    /// Notified when a relayed page arrives.
    pub(crate) notify: Notify,
}

/// State of a node.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// Bounds in force: those of `settings` until the first reload.
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) platform: Platform,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Millis,
    /// Wall-clock time at the origin of the monotonic clock, determined once at the start because
    /// the wall clock may jump.
    pub(crate) origin_ms: i64,
    /// Median difference of the live nodes' wall clocks to that of this node.
    pub(crate) drift_ms: Cell<i64>,
    pub(crate) http_config: ServiceConfig,
    pub(crate) table: RefCell<Option<Rc<Table>>>,
    pub(crate) documents: Feed,
    pub(crate) registrations: Feed,
    pub(crate) eras: Cell<Eras>,
    /// Notified when a new era of the store is noticed.
    pub(crate) era_notify: Notify,
    /// Numbers that must not be used again, as known to this node.
    pub(crate) marks: Cell<Marks>,
    /// Revision of the document that the store has shown in the era of the last listing.
    pub(crate) stored_revision: Cell<Revision>,
    /// Whether the store was last found to hold an older document than is known.
    pub(crate) behind: Cell<bool>,
    /// Reads of the registrations, by this node or by the reader of its place.
    pub(crate) reads: Cell<Reads>,
    /// Reads of the registrations by peers.
    pub(crate) timeline: RefCell<Timeline>,
    /// Time without reads that this node takes for an outage of the store.
    pub(crate) absence: Cell<Option<Absence>>,
    /// Whether this node reads the store for its place.
    pub(crate) reader: Cell<bool>,
    /// Times that peers stated, which prove the age of relayed pages to them.
    pub(crate) stamps: RefCell<Stamps>,
    /// Socket for relayed pages.
    pub(crate) page_socket: UdpSocket,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) selector: RefCell<Selector>,
    pub(crate) quotas: RefCell<Quotas>,
    budgets: RefCell<BTreeMap<Service, RetryBudget>>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) suspects: RefCell<Suspects>,
    /// Suspects whose records this node has removed from the store, and when.
    pub(crate) removed: RefCell<Vec<(Suspect, Millis)>>,
    pub(crate) limits: RefCell<RateLimits>,
    pub(crate) rollouts: RefCell<Rollouts>,
    /// Bytes that are held for callers.
    pub(crate) memory: RefCell<MemoryBudget>,
    /// Requests that wait for capacity.
    pub(crate) waiting: WaitRoom,
    /// Notified when held bytes are returned.
    pub(crate) memory_notify: Notify,
    /// Endpoints of which it is being checked whether they crashed.
    pub(crate) checks: RefCell<HashMap<EndpointName, Check>>,
    pub(crate) peers: RefCell<Peers>,
    /// Fencing token of the lease that this node holds, and the last known end of the lease stream.
    pub(crate) lease: Cell<Option<(FencingToken, LogOffset)>>,
    pub(crate) idle_connections: RefCell<HashMap<EndpointName, Vec<Connection>>>,
    pub(crate) phase: Cell<Phase>,
    /// Requests in progress.
    pub(crate) active: Cell<usize>,
    /// Number of connections that callers opened.
    accepted: Cell<u64>,
    /// Notified at each stage of a graceful stop.
    pub(crate) stop_notify: Notify,
    /// Notified when a digest should be sent before it is due.
    pub(crate) urgent_notify: Notify,
    pub(crate) metrics: Metrics,
}

impl Node {
    pub(crate) fn new(settings: Settings, platform: Platform, page_socket: UdpSocket) -> Self {
        let (now, wall) = (platform.clock.now(), platform.clock.wall());
        let bounds = settings.bounds;
        let memory = MemoryOptions {
            memory_mb: settings.memory_mb,
            ..MemoryOptions::default()
        };
        let options = SelectorOptions {
            place: settings.place.clone(),
            node: settings.node.to_string(),
            ..SelectorOptions::default()
        };
        Self {
            incarnation: Incarnation(wall.0),
            started: now,
            origin_ms: saturating_i64(wall.0) - saturating_i64(now.0),
            drift_ms: Cell::new(0),
            http_config: ServiceConfig::default(),
            table: RefCell::new(None),
            documents: Feed::default(),
            registrations: Feed::default(),
            eras: Cell::default(),
            era_notify: Notify::new(),
            marks: Cell::default(),
            stored_revision: Cell::default(),
            behind: Cell::default(),
            reads: Cell::default(),
            timeline: RefCell::default(),
            absence: Cell::default(),
            reader: Cell::default(),
            stamps: RefCell::default(),
            page_socket,
            fleet: RefCell::default(),
            selector: RefCell::new(Selector::new(options)),
            quotas: RefCell::default(),
            budgets: RefCell::default(),
            usage: RefCell::new(Usage::new(bounds.usage_window, bounds.usage_due)),
            suspects: RefCell::default(),
            removed: RefCell::default(),
            limits: RefCell::new(RateLimits::new(settings.node.clone())),
            rollouts: RefCell::new(Rollouts::new(RolloutOptions {
                node: settings.node.clone(),
                incarnation: Incarnation(wall.0),
                started: now,
            })),
            memory: RefCell::new(MemoryBudget::new(&memory)),
            memory_notify: Notify::new(),
            waiting: WaitRoom::new(&settings.node),
            checks: RefCell::default(),
            peers: RefCell::default(),
            lease: Cell::new(None),
            idle_connections: RefCell::default(),
            phase: Cell::new(Phase::Serving),
            active: Cell::new(0),
            accepted: Cell::new(0),
            stop_notify: Notify::new(),
            urgent_notify: Notify::new(),
            metrics: Metrics::default(),
            bounds: Cell::new(settings.bounds),
            settings,
            platform,
        }
        .with_bounds()
    }

    /// Passes the bounds on to the state that depends on them.
    fn with_bounds(self) -> Self {
        let now = self.now();
        let tolerance = self.bounds.get().quota;
        self.quotas.borrow_mut().set_tolerance(tolerance, now);
        let expose = self.bounds.get().expose;
        self.rollouts.borrow_mut().set_bounds(expose);
        self
    }

    /// Reloads the settings. Bounds take effect at once, addresses only at the next start.
    pub(crate) fn reload(&self, cause: &str) {
        match (self.platform.load_settings)() {
            Ok(new) => {
                let changed = new.bounds != self.bounds.get();
                if changed || cause == "signal" {
                    log::info!("event=reload cause={cause} changed={changed}");
                }
                self.bounds.set(new.bounds);
                let mut quotas = self.quotas.borrow_mut();
                quotas.set_tolerance(new.bounds.quota, self.now());
                self.rollouts.borrow_mut().set_bounds(new.bounds.expose);
            }
            Err(error) => log::error!("event=reload cause={cause} error={error:?}"),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.platform.clock.now()
    }

    /// Returns the number of a connection that a caller has opened.
    pub(crate) fn next_connection(&self) -> u64 {
        self.accepted.update(|count| count + 1);
        self.accepted.get()
    }

    /// Returns the wall-clock time without its jumps, not corrected for drift.
    pub(crate) fn steady_wall(&self) -> WallMillis {
        WallMillis(saturating_u64(
            self.origin_ms + saturating_i64(self.now().0),
        ))
    }

    /// Returns the wall-clock time, corrected to the median of the live nodes.
    pub(crate) fn wall(&self) -> WallMillis {
        WallMillis(saturating_u64(
            saturating_i64(self.steady_wall().0) + self.drift_ms.get(),
        ))
    }

    /// Returns the number of the current usage window.
    pub(crate) fn usage_window(&self) -> u64 {
        self.wall().0 / self.bounds.get().usage_window.0.max(1)
    }

    /// Returns the progress in a relayed stream.
    pub(crate) const fn feed(&self, stream: Stream) -> &Feed {
        match stream {
            Stream::Document => &self.documents,
            _ => &self.registrations,
        }
    }

    /// Records an answered read of the registrations.
    pub(crate) fn registrations_read(&self) -> Option<Absence> {
        let mut reads = self.reads.get();
        let absence = reads.answered(self.bounds.get().heartbeat, self.now());
        self.reads.set(reads);
        absence
    }

    /// Returns the time since both streams were last read; `None` before the first reads.
    pub(crate) fn store_age(&self) -> Option<Millis> {
        let now = self.now();
        let age = |feed: &Feed| feed.freshness.get().read_age_ms(now);
        Some(Millis(age(&self.documents)?.max(age(&self.registrations)?)))
    }

    pub(crate) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Puts a document in force if its revision is newer than the current one.
    pub(crate) fn apply_document(&self, document: Document, source: &str) {
        let old = self.table().map(|table| table.document().revision);
        if old.is_some_and(|old| old >= document.revision) {
            return;
        }
        log::info!(
            "event=document revision={} from={} source={source} routes={} orgs={}",
            document.revision,
            old.unwrap_or_default(),
            document.routes.len(),
            document.orgs.len()
        );
        self.quotas
            .borrow_mut()
            .set_organisations(&document.orgs, self.now());
        self.metrics
            .revision
            .set(saturating_i64(document.revision.0));
        let table = Rc::new(Table::new(document));
        *self.table.borrow_mut() = Some(table.clone());
        self.waiting.apply_document(table.document());
    }

    /// Calls `f` with the retry budget of a service.
    pub(crate) fn with_budget<T>(
        &self,
        service: &Service,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let bounds = self.bounds.get();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(BudgetOptions {
                ratio: bounds.budget_ratio,
                window: bounds.budget_window,
                slack: bounds.budget_slack,
                ..BudgetOptions::default()
            })
        });
        f(budget)
    }

    /// Returns the number of nodes that share quotas and retry budgets, including this one.
    pub(crate) fn sharing_nodes(&self) -> usize {
        self.peers.borrow().sharing(self.now()).len() + 1
    }

    pub(crate) fn stopping(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    /// Returns whether callers should use this node.
    ///
    /// A node that cannot tell whether keys are still valid will refuse them soon, so it becomes
    /// unready before that and the directory sends callers to other nodes.
    pub(crate) fn ready(&self) -> bool {
        let age_ms = self
            .documents
            .freshness
            .get()
            .age_ms(self.now())
            .unwrap_or(u64::MAX);
        let bound_ms = self.bounds.get().revoke_limit.0 * UNREADY_TENTHS / 10;
        let known =
            self.table.borrow().is_some() && self.registrations.freshness.get().as_of.is_some();
        !self.stopping() && known && (!self.bounds.get().strict_revoke || age_ms < bound_ms)
    }

    /// Returns the addresses of the nodes that callers should use.
    pub(crate) fn ready_addresses(&self) -> Vec<SocketAddr> {
        let own = self.settings.caller_address.filter(|_| self.ready());
        let peers = self.peers.borrow();
        let live = peers.live(self.now()).filter(|peer| peer.digest.ready);
        let mut addresses: Vec<SocketAddr> =
            live.map(|peer| peer.digest.address).chain(own).collect();
        spread_addresses(&self.settings.node, &mut addresses);
        addresses
    }
}

/// Age of the document, in tenths of the bound on removed keys, at which a node becomes unready:
/// the users no longer rely on a node beyond it.
const UNREADY_TENTHS: u64 = 6;

/// Converts to `i64`, saturating at its maximum.
pub(crate) fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Converts to `u64`; negative values become zero.
pub(crate) fn saturating_u64(value: i64) -> u64 {
    u64::try_from(value).unwrap_or_default()
}
