//! State of a node, one part for each duty, and what a task sees of it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::ServiceConfig;
use cumin_entry::document::{Document, Table};
use cumin_entry::fleet::Fleet;
use cumin_entry::peer::Peers;
use cumin_entry::platform::{Clock, Cloud, Codec, Dialect, Store};
use cumin_entry::quota::Quotas;
use cumin_entry::retry::{BudgetOptions, RetryBudget};
use cumin_entry::selection::{Selector, SelectorOptions};
use cumin_entry::settings::{Bounds, Settings};
use cumin_entry::stop::Stop;
use cumin_entry::suspects::Suspects;
use cumin_entry::usage::Usage;
use cumin_types::{
    EndpointName, FencingToken, Incarnation, LogOffset, Millis, Service, WallMillis,
};
use tokio::sync::Notify;

use crate::connection::Connection;
use crate::metrics::Metrics;

/// What the node needs from the platform.
pub struct Platform {
    /// The store.
    pub store: Box<dyn Store>,
    /// The cloud, where duties need it.
    pub cloud: Option<Box<dyn Cloud>>,
    /// Content of the store's streams.
    pub codec: Box<dyn Codec>,
    /// Headers of callers and endpoints.
    pub dialect: Box<dyn Dialect>,
    /// Time.
    pub clock: Box<dyn Clock>,
    /// Reads the settings again; the error says what is wrong with them.
    pub load_settings: Box<dyn Fn() -> Result<Settings, String>>,
}

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// Stopping.
    Stopping(Stop),
}

/// When a stream of the store was last known to hold what this node has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Proof {
    /// When the last answered read was sent.
    pub(crate) at: Option<Millis>,
    /// Whether reads fail.
    pub(crate) lost: Option<Millis>,
}

impl Proof {
    pub(crate) fn age(&self, now: Millis) -> Option<u64> {
        self.at.map(|at| now.since(at))
    }
}

pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// Bounds in force; those of `settings` until they are read again.
    pub(crate) bounds: Cell<Bounds>,
    pub(crate) platform: Platform,
    pub(crate) life: Incarnation,
    pub(crate) started: Millis,
    /// Time of day at the clock's origin, fixed at the start: the time of day may jump.
    wall: i64,
    /// Difference to the peers' median.
    pub(crate) drift: Cell<i64>,
    pub(crate) http: ServiceConfig,
    pub(crate) table: RefCell<Option<Rc<Table>>>,
    pub(crate) document: Cell<Proof>,
    pub(crate) registry: Cell<Proof>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) placement: RefCell<Selector>,
    pub(crate) quotas: RefCell<Quotas>,
    budgets: RefCell<BTreeMap<Service, RetryBudget>>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) suspects: RefCell<Suspects>,
    pub(crate) peers: RefCell<Peers>,
    /// Token of the lease, and where its stream ends.
    pub(crate) lease: Cell<Option<(FencingToken, LogOffset)>>,
    pub(crate) links: RefCell<HashMap<EndpointName, Vec<Connection>>>,
    pub(crate) phase: Cell<Phase>,
    /// Requests in progress.
    pub(crate) active: Cell<usize>,
    /// Wakes who waits for the steps of a stop.
    pub(crate) stopped: Notify,
    pub(crate) metrics: Metrics,
}

impl Node {
    pub(crate) fn new(settings: Settings, platform: Platform) -> Self {
        let (now, wall) = (platform.clock.now(), platform.clock.wall());
        let place = SelectorOptions {
            place: settings.place.clone(),
            node: settings.node.to_string(),
            ..SelectorOptions::default()
        };
        Self {
            life: Incarnation(wall.0),
            started: now,
            wall: signed(wall.0) - signed(now.0),
            drift: Cell::new(0),
            http: ServiceConfig::default(),
            table: RefCell::new(None),
            document: Cell::default(),
            registry: Cell::default(),
            fleet: RefCell::default(),
            placement: RefCell::new(Selector::new(place)),
            quotas: RefCell::default(),
            budgets: RefCell::default(),
            usage: RefCell::default(),
            suspects: RefCell::default(),
            peers: RefCell::default(),
            lease: Cell::new(None),
            links: RefCell::default(),
            phase: Cell::new(Phase::Serving),
            active: Cell::new(0),
            stopped: Notify::new(),
            metrics: Metrics::default(),
            bounds: Cell::new(settings.bounds),
            settings,
            platform,
        }
    }

    /// Reads the settings again. Bounds change at once; addresses hold until the next start.
    pub(crate) fn reload(&self, cause: &str) {
        match (self.platform.load_settings)() {
            Ok(new) => {
                let changed = new.bounds != self.bounds.get();
                if changed || cause == "signal" {
                    log::info!("event=reload cause={cause} changed={changed}");
                }
                self.bounds.set(new.bounds);
            }
            Err(error) => log::error!("event=reload cause={cause} error={error:?}"),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.platform.clock.now()
    }

    /// Time of day without its jumps, before the peers' correction.
    pub(crate) fn steady_wall(&self) -> WallMillis {
        WallMillis(unsigned(self.wall + signed(self.now().0)))
    }

    /// Time of day, as most nodes have it.
    pub(crate) fn wall(&self) -> WallMillis {
        WallMillis(unsigned(signed(self.steady_wall().0) + self.drift.get()))
    }

    /// Returns the number of the usage window that is running.
    pub(crate) fn window(&self) -> u64 {
        self.wall().0 / self.bounds.get().usage_window.0.max(1)
    }

    pub(crate) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Puts a document in force, if it is newer than the one that is.
    pub(crate) fn apply(&self, document: Document, source: &str) {
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
        self.metrics.revision.set(signed(document.revision.0));
        *self.table.borrow_mut() = Some(Rc::new(Table::new(document)));
    }

    /// Runs `f` on the retry budget of a service.
    pub(crate) fn budget<T>(&self, service: &Service, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
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

    /// Number of nodes that share limits, this one included.
    pub(crate) fn nodes(&self) -> usize {
        self.peers.borrow().sharing(self.now()).len() + 1
    }

    pub(crate) fn stopping(&self) -> bool {
        self.phase.get() != Phase::Serving
    }

    /// Whether callers should use this node.
    ///
    /// A node that is about to refuse keys, because it can't tell whether they still hold, sends
    /// callers elsewhere before that.
    pub(crate) fn ready(&self) -> bool {
        let age = self.document.get().age(self.now()).unwrap_or(u64::MAX);
        let bound = self.bounds.get().revoke.0 * CONTACT_TENTHS / 10;
        let known = self.table.borrow().is_some() && self.registry.get().at.is_some();
        !self.stopping() && known && (!self.bounds.get().strict_revoke || age < bound)
    }

    /// Addresses that callers should use.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let own = self.settings.caller_address.filter(|_| self.ready());
        let peers = self.peers.borrow();
        let live = peers.live(self.now()).filter(|peer| peer.digest.ready);
        live.map(|peer| peer.digest.address).chain(own).collect()
    }
}

/// Tenths of the bound on removed keys after which a node without news sends callers elsewhere:
/// the users no longer count on a node then.
const CONTACT_TENTHS: u64 = 6;

pub(crate) fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn unsigned(value: i64) -> u64 {
    u64::try_from(value).unwrap_or_default()
}
