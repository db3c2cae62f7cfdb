//! The operator's document (routes, services, organisations and limits) and an index of it.

use std::collections::HashMap;
use std::sync::Arc;

use cumin_types::{Millis, Organisation, Place, Revision, Service};
use serde::{Deserialize, Serialize};

/// Whether requests of a route may be repeated, and whether their answers are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request that a caller sends.
    Once,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another endpoint may resume.
    Resumable,
}

impl RouteKind {
    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Returns whether a request that may already have run may be sent again.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name for logs.
    pub name: Arc<str>,
    /// Requested host.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Services with their weights.
    pub targets: Vec<(Service, u32)>,
    /// Maximum time for a request.
    pub timeout: Option<Millis>,
    /// Target latency of an answer, or of the first event of a stream.
    pub goal: Millis,
    /// Longest pause between two events of a stream that is still in time.
    #[serde(default)]
    pub pause: Option<Millis>,
    /// Maximum number of endpoints that one request is sent to, at least 1.
    pub attempts: u32,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Whether requests need no key.
    pub open: bool,
}

impl Route {
    /// Returns the time without a new event after which a caller abandons a stream, as the users
    /// state it.
    #[must_use]
    pub fn patience(&self) -> Millis {
        let pause = self.pause.unwrap_or_default();
        Millis((4 * self.goal.0).max(8 * pause.0).max(MIN_PATIENCE.0))
    }
}

/// Minimum time that callers wait for an event.
const MIN_PATIENCE: Millis = Millis(2000);

/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Number of requests that run at once.
    pub slots: u32,
    /// Size of the KV cache, in tokens.
    #[serde(rename = "memory")]
    pub memory_tokens: u64,
    /// Number of tokens in one event.
    #[serde(rename = "stride")]
    pub event_tokens: u32,
}

/// Limits and prices for orders of endpoints of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleLimits {
    /// Minimum number of endpoints in each place.
    #[serde(rename = "least")]
    pub min: u32,
    /// Maximum number of endpoints in each place.
    #[serde(rename = "most")]
    pub max: u32,
    /// Time from an order until the endpoint takes requests.
    #[serde(rename = "boot")]
    pub boot_time: Millis,
    /// Price of a reclaimable endpoint, as a fraction of the list price; `None` if there are none.
    #[serde(rename = "spot")]
    pub spot_price: Option<f64>,
    /// List price in each place, in an arbitrary unit.
    pub prices: Vec<(Place, f64)>,
}

/// A service that routes can target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Service,
    /// Number of connections that one endpoint accepts in total.
    pub connections: u32,
    /// Capacity of the engines, for a service that runs models.
    pub engine: Option<EngineSpec>,
    /// Limits of orders, if endpoints of this service can be ordered.
    pub scale: Option<ScaleLimits>,
}

/// Unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// One unit for each request.
    Requests,
    /// One unit for each prompt or output token.
    Tokens {
        /// Number of tokens that a request counts as if it states none.
        plain: u64,
    },
}

/// An organisation with its keys and quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrgSpec {
    /// Name of the organisation.
    pub name: Organisation,
    /// API keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// Rank that overrides the rank of the route.
    pub rank: Option<u32>,
    /// Unit of the quota.
    pub unit: Unit,
    /// Quota in units per second; `None` is unlimited.
    pub rate: Option<f64>,
    /// Burst size in units.
    pub burst: f64,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request head.
    #[serde(rename = "head")]
    pub head_bytes: usize,
    /// Maximum size of a request body.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    #[serde(rename = "slow")]
    pub head_timeout: Millis,
    /// Maximum idle time of a connection that is kept alive.
    #[serde(rename = "idle")]
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis(3000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// One revision of the operator's document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Revision, which increases with each document.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Organisations; empty where no keys are needed.
    pub orgs: Vec<OrgSpec>,
    /// Limits on callers.
    pub limits: Limits,
}

/// A document indexed by host and prefix, key, and service name.
#[derive(Debug, Default)]
pub struct Table {
    document: Document,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    keys: HashMap<Arc<str>, usize>,
    services: HashMap<Service, usize>,
}

impl Table {
    /// Indexes a document.
    #[must_use]
    pub fn new(document: Document) -> Self {
        let mut routes: HashMap<Arc<str>, HashMap<Arc<str>, usize>> = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            let host = routes.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), index);
        }
        let keys = document.orgs.iter().enumerate();
        let keys = keys
            .flat_map(|(index, org)| org.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        let services = document.services.iter().enumerate();
        let services = services
            .map(|(index, spec)| (spec.name.clone(), index))
            .collect();
        Self {
            document,
            routes,
            keys,
            services,
        }
    }

    /// Returns the document.
    #[must_use]
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.routes.get(host)?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        ends.map(|(end, _)| &path[..=end])
            .find_map(|prefix| prefixes.get(prefix))
            .map(|index| &self.document.routes[*index])
    }

    /// Returns the organisation that `key` belongs to.
    #[must_use]
    pub fn org(&self, key: &str) -> Option<&OrgSpec> {
        let index = self.keys.get(key)?;
        Some(&self.document.orgs[*index])
    }

    /// Returns the service with a name.
    #[must_use]
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        let index = self.services.get(name)?;
        Some(&self.document.services[*index])
    }
}
