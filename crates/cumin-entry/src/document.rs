//! The operator's document: routes, services, organisations and limits, and its look-ups.

use std::collections::HashMap;
use std::sync::Arc;

use cumin_types::{Millis, Organisation, Place, Revision, Service};
use serde::{Deserialize, Serialize};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
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

    /// Returns whether a request may run again after it may have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A route from host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name in logs.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services with their weights.
    pub targets: Vec<(Service, u32)>,
    /// Longest time that a request is kept waiting.
    pub timeout: Option<Millis>,
    /// Time within which an answer, or its first event, has its full worth.
    pub goal: Millis,
    /// Endpoints that one request may be sent to, at least 1.
    pub attempts: u32,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Whether requests need no key.
    pub open: bool,
}

/// Memory and batch of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory, in tokens.
    #[serde(rename = "memory")]
    pub memory_tokens: u64,
    /// Tokens that one event holds.
    #[serde(rename = "stride")]
    pub event_tokens: u32,
}

/// How many endpoints of a service can be ordered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleLimits {
    /// Fewest endpoints in each place.
    #[serde(rename = "least")]
    pub min: u32,
    /// Most endpoints in each place.
    #[serde(rename = "most")]
    pub max: u32,
    /// Time from an order to the first request.
    #[serde(rename = "boot")]
    pub boot_time: Millis,
    /// Price of a reclaimable endpoint, as a part of the list price.
    #[serde(rename = "spot")]
    pub spot_price: Option<f64>,
    /// List price by place, relative to each other.
    pub prices: Vec<(Place, f64)>,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name.
    pub name: Service,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// Engines, for a service that runs models.
    pub engine: Option<EngineSpec>,
    /// Limits of orders, if endpoints of this service can be ordered.
    pub scale: Option<ScaleLimits>,
}

/// Unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// One for each request.
    Requests,
    /// Prompt and output tokens; `plain` for a request that states none.
    Tokens {
        /// Tokens of a request that states none.
        plain: u64,
    },
}

/// An organisation with its keys and quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrgSpec {
    /// Name.
    pub name: Organisation,
    /// Keys that its callers present.
    pub keys: Vec<Arc<str>>,
    /// Rank that takes precedence over that of a route.
    pub rank: Option<u32>,
    /// Unit of the quota.
    pub unit: Unit,
    /// Quota in units a second; `None` is no limit.
    pub rate: Option<f64>,
    /// Units above the rate that can be taken at once.
    pub burst: f64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a request head.
    #[serde(rename = "head")]
    pub head_bytes: usize,
    /// Bytes of a request body.
    #[serde(rename = "body")]
    pub body_bytes: usize,
    /// Time for a request head.
    #[serde(rename = "slow")]
    pub head_timeout: Millis,
    /// Time that a kept connection may be idle.
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
    /// Revision; a later document has a higher one.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Organisations; empty where no keys are needed.
    pub orgs: Vec<OrgSpec>,
    /// Limits of callers.
    pub limits: Limits,
}

/// A document with its look-ups.
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

    /// Returns the route with the longest prefix of `path` on `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.routes.get(host)?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        ends.map(|(end, _)| &path[..=end])
            .find_map(|prefix| prefixes.get(prefix))
            .map(|index| &self.document.routes[*index])
    }

    /// Returns the organisation that holds `key`.
    #[must_use]
    pub fn org(&self, key: &str) -> Option<&OrgSpec> {
        let index = self.keys.get(key)?;
        Some(&self.document.orgs[*index])
    }

    /// Returns the service of a name.
    #[must_use]
    pub fn service(&self, name: &Service) -> Option<&ServiceSpec> {
        let index = self.services.get(name)?;
        Some(&self.document.services[*index])
    }
}
