//! Types of the environment document.
//!
//! Named things are tables (`[services.oven-desk]`), so a name cannot occur twice and every value
//! has a key path that diffs, problems and overrides share. Lists whose order has no meaning are
//! sets. Doc comments of the fields become the descriptions in the JSON schema.

use std::collections::{BTreeMap, BTreeSet};

use cumin_types::{
    Class, Cost, Digest, Millis, Model, Organisation, Place, Region, Service, TokenCount,
};
use derive_more::Display;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::pattern;

/// Seconds that idempotency keys are kept when a service states none: 24 h.
pub const DEFAULT_KEY_RETENTION_S: u64 = 86_400;

/// Everything an environment consists of, one file per environment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Which environment this is and who operates it.
    pub environment: Environment,
    /// Groups of places with low latency between them.
    #[schemars(extend("minProperties" = 1))]
    pub regions: BTreeMap<Region, RegionSpec>,
    /// Data centres.
    #[schemars(extend("minProperties" = 1))]
    pub places: BTreeMap<Place, PlaceSpec>,
    /// Machine classes that offers name.
    #[schemars(extend("minProperties" = 1))]
    pub classes: BTreeMap<Class, ClassSpec>,
    /// Instances that the cloud can start.
    #[schemars(extend("minProperties" = 1))]
    pub offers: BTreeMap<String, Offer>,
    /// Entry instances, which run the node.
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
    /// Limits over all organisations together.
    pub limits: Quota,
    /// Weights of endpoint selection and planning.
    pub objective: Objective,
    /// Upper bound of the spending.
    pub budget: Budget,
}

/// Identity of an environment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Environment {
    /// Name, equal to `environment` in the settings of its nodes.
    #[schemars(regex(pattern = pattern::NAME))]
    pub name: String,
    /// Whether documents are tested here or serve callers.
    pub kind: EnvironmentKind,
    /// Legal name of the operator.
    #[schemars(length(min = 1))]
    pub operator: String,
}

/// Purpose of an environment.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EnvironmentKind {
    /// Documents are tested here.
    #[display("trial")]
    Trial,
    /// Callers are served here.
    #[display("production")]
    Production,
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// One-way latency between two of its places, milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0, max = 1000))]
    pub between_places_ms: Option<f64>,
    /// One-way latency to callers, milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0, max = 1000))]
    pub to_callers_ms: Option<f64>,
}

/// A place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlaceSpec {
    /// Region that it belongs to.
    pub region: Region,
    /// One-way latency to other places where it differs from the region's, milliseconds.
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
    /// Returns whether the accelerators hold `model`.
    #[must_use]
    pub fn fits(&self, model: &ModelSpec) -> bool {
        u64::from(self.accelerators) * u64::from(self.accelerator_memory_gib)
            >= u64::from(model.memory_gib)
    }
}

/// An instance that the cloud can start; its name is the cloud's offer identifier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// Place of the instance.
    pub place: Place,
    /// Machine class.
    pub class: Class,
    /// Kind of contract.
    pub market: Market,
    /// Price in currency units an hour.
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
    /// Version that engines serve; one of `versions`.
    pub version: String,
    /// Versions in the weight store.
    #[schemars(length(min = 1), inner(length(min = 1)))]
    pub versions: BTreeSet<String>,
    /// Adapters that are loaded beside the model.
    #[serde(default)]
    #[schemars(inner(regex(pattern = pattern::NAME)))]
    pub adapters: BTreeSet<String>,
    /// Accelerator memory of one replica with weights, adapters and KV cache, GiB.
    #[schemars(range(min = 1, max = 65536))]
    pub memory_gib: u32,
    /// Longest context, tokens.
    #[schemars(range(min = 128, max = 100_000_000))]
    pub context_tokens: TokenCount,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// What its endpoints run.
    pub kind: ServiceKind,
    /// Machine classes that its workers can run on.
    #[schemars(length(min = 1))]
    pub classes: BTreeSet<Class>,
    /// Models that it serves; model services only.
    #[serde(default)]
    pub models: BTreeSet<Model>,
    /// Routes that may be sent more than once beside `GET`, `HEAD` and `OPTIONS`; plain services
    /// only.
    #[serde(default)]
    pub idempotent: BTreeSet<Route>,
    /// What its endpoints do with the fencing token of an order.
    pub fencing: Fencing,
    /// Whether its endpoints verify the sender of an order.
    #[serde(default)]
    pub verifies_sender: bool,
    /// Whether its endpoints answer a repeated idempotency key with the first result.
    #[serde(default)]
    pub honours_keys: bool,
    /// Target number of workers at each place.
    #[schemars(extend("minProperties" = 1, "additionalProperties" = {"type": "integer", "minimum": 0, "maximum": 100_000}))]
    pub workers: BTreeMap<Place, u32>,
    /// What one worker can do.
    pub worker: WorkerSpec,
    /// What callers are promised.
    pub promises: Promises,
}

impl ServiceSpec {
    /// Returns the time that idempotency keys are kept.
    #[must_use]
    pub fn key_retention(&self) -> Millis {
        let seconds = self
            .promises
            .key_retention_s
            .unwrap_or(DEFAULT_KEY_RETENTION_S);
        Millis(seconds * 1000)
    }

    /// Returns the target number of workers over all places.
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

/// What an endpoint does with the fencing token of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with a stale token are rejected.
    #[display("checked")]
    Checked,
    /// The token is not read.
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
    /// Path below the service; `{name}` matches one segment, a last segment `{name...}` one or
    /// more.
    #[schemars(regex(pattern = pattern::ROUTE))]
    pub path: String,
}

/// HTTP methods that are not idempotent for every route.
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
    /// Requests that run at once.
    #[schemars(range(min = 1, max = 100_000))]
    pub concurrent_requests: u32,
    /// Tokens of prompt and answer a second; model services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 100_000_000))]
    pub tokens_per_second: Option<u64>,
}

/// Promises of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Promises {
    /// Time to the first token at p95, milliseconds; model services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 600_000))]
    pub first_token_ms: Option<Millis>,
    /// Time between two tokens at p95, milliseconds; model services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 60_000))]
    pub between_tokens_ms: Option<Millis>,
    /// Whether capacity for the loss of the largest place is kept.
    pub spare_place: bool,
    /// Time that idempotency keys are kept, seconds, 86400 when absent; plain services only.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 60, max = 2_592_000))]
    pub key_retention_s: Option<u64>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// SHA-256 digests of its keys; several during a rotation.
    #[schemars(length(min = 1))]
    pub key_digests: BTreeSet<Digest>,
    /// Share of the capacity relative to other organisations.
    #[schemars(range(min = 0.01, max = 1000))]
    pub weight: f64,
    /// What it may use at most.
    pub quota: Quota,
}

/// Limits on use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Requests a second.
    #[schemars(range(min = 0.01, max = 1_000_000))]
    pub requests_per_second: f64,
    /// Requests in progress at once.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub concurrent_requests: u32,
    /// Tokens of prompt and answer a minute.
    #[schemars(range(min = 1, max = 100_000_000_000_u64))]
    pub tokens_per_minute: TokenCount,
}

/// Relative weights of the objective.
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

/// Bound of the spending.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// ISO 4217 code of the currency of all prices.
    #[schemars(regex(pattern = pattern::CURRENCY))]
    pub currency: String,
    /// Currency units an hour for all instances together.
    #[schemars(range(min = 0.01, max = 10_000_000))]
    pub per_hour: Cost,
}
