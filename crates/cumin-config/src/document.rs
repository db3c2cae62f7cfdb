//! Types of the environment document.
//!
//! Named objects are tables (`[services.oven-desk]`), so that a name cannot occur twice and diffs,
//! problems and overrides refer to a value by the same key path. Lists without a meaningful order
//! are sets. Doc comments of the types and fields become the descriptions in the JSON schema.

use std::collections::{BTreeMap, BTreeSet};

use cumin_types::{
    Class, Cost, Digest, Millis, Model, Organisation, Place, Region, Service, TokenCount,
};
use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::pattern;

/// Retention of idempotency keys for services that do not set one, seconds: 24 h.
pub const DEFAULT_KEY_RETENTION_S: u64 = 86_400;

/// Definition of an environment; each environment has one file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Identity, purpose and operator of the environment.
    pub environment: Environment,
    /// Groups of places with low latency between them.
    #[schemars(extend("minProperties" = 1))]
    pub regions: BTreeMap<Region, RegionSpec>,
    /// Data centres.
    #[schemars(extend("minProperties" = 1))]
    pub places: BTreeMap<Place, PlaceSpec>,
    /// Machine classes that offers refer to.
    #[schemars(extend("minProperties" = 1))]
    pub classes: BTreeMap<Class, ClassSpec>,
    /// Instance types that the cloud can start.
    #[schemars(extend("minProperties" = 1))]
    pub offers: BTreeMap<String, Offer>,
    /// Entry instances, which callers connect to.
    pub entry: Entry,
    /// Models that services serve.
    #[serde(default)]
    pub models: BTreeMap<Model, ModelSpec>,
    /// Model services and plain services.
    #[schemars(extend("minProperties" = 1))]
    pub services: BTreeMap<Service, ServiceSpec>,
    /// Organisations whose callers are served.
    #[schemars(extend("minProperties" = 1))]
    pub organisations: BTreeMap<Organisation, OrganisationSpec>,
    /// Limits on the use by all organisations together.
    pub limits: Quota,
    /// Weights of the objective of endpoint selection and capacity planning.
    pub objective: Objective,
    /// Limit on the cost of all instances.
    pub budget: Budget,
}

/// Identity of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Environment {
    /// Name, the same as `environment` in the settings of its nodes.
    #[schemars(regex(pattern = pattern::NAME))]
    pub name: String,
    /// Whether the environment tests documents or serves callers.
    pub kind: EnvironmentKind,
    /// Legal name of the operator.
    #[schemars(length(min = 1))]
    pub operator: String,
}

/// Purpose of an environment.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EnvironmentKind {
    /// The environment tests documents.
    #[display("trial")]
    Trial,
    /// The environment serves callers.
    #[display("production")]
    Production,
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// One-way latency between places of the region, milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0, max = 1000))]
    pub between_places_ms: Option<f64>,
    /// One-way latency between the region and its callers, milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0, max = 1000))]
    pub to_callers_ms: Option<f64>,
}

/// A place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlaceSpec {
    /// Region that the place belongs to.
    pub region: Region,
    /// One-way latency to other places, where it differs from that of the region, milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[schemars(extend("additionalProperties" = {"type": "number", "minimum": 0, "maximum": 1000}))]
    pub latency_ms: BTreeMap<Place, f64>,
}

/// A machine class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Number of accelerators.
    #[schemars(range(max = 64))]
    pub accelerators: u32,
    /// Memory of each accelerator, GiB.
    #[schemars(range(max = 4096))]
    pub accelerator_memory_gib: u32,
    /// Main memory, GiB.
    #[schemars(range(min = 1, max = 65536))]
    pub memory_gib: u32,
}

impl ClassSpec {
    /// Returns whether the accelerator memory is enough for `model`.
    #[must_use]
    pub fn fits(&self, model: &ModelSpec) -> bool {
        u64::from(self.accelerators) * u64::from(self.accelerator_memory_gib)
            >= u64::from(model.memory_gib)
    }
}

/// An instance type that the cloud can start; its key is the offer identifier of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// Place of the instance.
    pub place: Place,
    /// Machine class.
    pub class: Class,
    /// Kind of contract.
    pub market: Market,
    /// Price in currency units per hour.
    #[schemars(range(min = 0.0001, max = 100_000))]
    pub price_per_hour: Cost,
}

/// Kind of contract of an instance.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Market {
    /// The cloud can reclaim the instance after a notice.
    #[display("reclaimable")]
    Reclaimable,
    /// The instance runs until the operator stops it.
    #[display("on_demand")]
    OnDemand,
}

/// Entry instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Machine class of an entry instance.
    pub class: Class,
    /// Number of entry instances at each place.
    #[schemars(extend("minProperties" = 1, "additionalProperties" = {"type": "integer", "minimum": 0, "maximum": 10_000}))]
    pub nodes: BTreeMap<Place, u32>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version that engines serve, one of `versions`.
    pub version: String,
    /// Versions that the weight store has.
    #[schemars(length(min = 1), inner(length(min = 1)))]
    pub versions: BTreeSet<String>,
    /// Adapters that are loaded in addition to the model.
    #[serde(default)]
    #[schemars(inner(regex(pattern = pattern::NAME)))]
    pub adapters: BTreeSet<String>,
    /// Accelerator memory for one copy of the model with weights, adapters and KV cache, GiB.
    #[schemars(range(min = 1, max = 65536))]
    pub memory_gib: u32,
    /// Maximum context length, tokens.
    #[schemars(range(min = 128, max = 100_000_000))]
    pub context_tokens: TokenCount,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Whether its endpoints are model engines or other HTTP services.
    pub kind: ServiceKind,
    /// Machine classes that workers can run on.
    #[schemars(length(min = 1))]
    pub classes: BTreeSet<Class>,
    /// Models that the service serves; model services only.
    #[serde(default)]
    pub models: BTreeSet<Model>,
    /// Idempotent routes, whose calls may be sent more than once as those of `GET`, `HEAD` and
    /// `OPTIONS`; plain services only.
    #[serde(default)]
    pub idempotent: BTreeSet<Route>,
    /// Whether endpoints check the fencing token of an order.
    pub fencing: Fencing,
    /// Whether endpoints verify the sender of an order.
    #[serde(default)]
    pub verifies_sender: bool,
    /// Whether endpoints answer a repeated idempotency key with the first result; plain services
    /// only.
    #[serde(default)]
    pub honours_keys: bool,
    /// Target number of workers at each place.
    #[schemars(extend("minProperties" = 1, "additionalProperties" = {"type": "integer", "minimum": 0, "maximum": 100_000}))]
    pub workers: BTreeMap<Place, u32>,
    /// Capacity of one worker.
    pub worker: WorkerSpec,
    /// Service levels promised to callers.
    pub promises: Promises,
}

impl ServiceSpec {
    /// Returns how long idempotency keys are kept.
    #[must_use]
    pub fn key_retention(&self) -> Millis {
        let seconds = self
            .promises
            .key_retention_s
            .unwrap_or(DEFAULT_KEY_RETENTION_S);
        Millis(seconds * 1000)
    }

    /// Returns the target number of workers in all places.
    #[must_use]
    pub fn worker_count(&self) -> u64 {
        self.workers.values().map(|&count| u64::from(count)).sum()
    }
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    #[display("model")]
    Model,
    /// Any other HTTP service.
    #[display("plain")]
    Plain,
}

/// Treatment of the fencing token of an order by an endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with a stale token are rejected.
    #[display("checked")]
    Checked,
    /// The token is ignored.
    #[display("ignored")]
    Ignored,
}

/// A route of a plain service.
#[derive(
    Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
#[display("{method} {path}")]
pub struct Route {
    /// HTTP method.
    pub method: Method,
    /// Path below that of the service; `{name}` matches one segment, a final `{name...}` one or
    /// more.
    #[schemars(regex(pattern = pattern::ROUTE))]
    pub path: String,
}

/// HTTP methods whose routes can be declared idempotent.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    JsonSchema,
)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// `POST`.
    #[display("POST")]
    Post,
    /// `PUT`.
    #[display("PUT")]
    Put,
    /// `PATCH`.
    #[display("PATCH")]
    Patch,
    /// `DELETE`.
    #[display("DELETE")]
    Delete,
}

/// Capacity of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Maximum number of concurrent requests.
    #[schemars(range(min = 1, max = 100_000))]
    pub concurrent_requests: u32,
    /// Throughput in prompt and answer tokens per second; model services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 100_000_000))]
    pub tokens_per_second: Option<u64>,
}

/// Service levels of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Promises {
    /// 95th percentile of the time to the first token, milliseconds; model services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 600_000))]
    pub first_token_ms: Option<Millis>,
    /// 95th percentile of the time between tokens, milliseconds; model services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 60_000))]
    pub between_tokens_ms: Option<Millis>,
    /// Whether spare capacity is kept for the loss of the largest place.
    pub spare_place: bool,
    /// Retention of idempotency keys, seconds; 86400 if absent; plain services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 60, max = 2_592_000))]
    pub key_retention_s: Option<u64>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// SHA-256 digests of its keys; more than one during a key rotation.
    #[schemars(length(min = 1))]
    pub key_digests: BTreeSet<Digest>,
    /// Weight of its share of the capacity relative to other organisations.
    #[schemars(range(min = 0.01, max = 1000))]
    pub weight: f64,
    /// Limits on its use.
    pub quota: Quota,
}

/// Limits on the use of services.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Maximum number of requests per second.
    #[schemars(range(min = 0.01, max = 1_000_000))]
    pub requests_per_second: f64,
    /// Maximum number of concurrent requests.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub concurrent_requests: u32,
    /// Maximum number of prompt and answer tokens per minute.
    #[schemars(range(min = 1, max = 100_000_000_000_u64))]
    pub tokens_per_minute: TokenCount,
}

/// Relative weights of the terms of the objective.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Weight of cost.
    #[schemars(range(min = 0, max = 1))]
    pub cost: f64,
    /// Weight of recomputed tokens.
    #[schemars(range(min = 0, max = 1))]
    pub recompute: f64,
}

/// Limit on cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// ISO 4217 currency code of all prices.
    #[schemars(regex(pattern = pattern::CURRENCY))]
    pub currency: String,
    /// Limit for all instances together, in currency units per hour.
    #[schemars(range(min = 0.01, max = 10_000_000))]
    pub per_hour: Cost,
}
