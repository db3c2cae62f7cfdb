//! Environment document and node settings: parse, check, diff, digest and promotion.

mod document;
mod key;
mod lookup;
mod parse;
mod pattern;
mod problem;
mod settings;

pub use document::{
    Budget, ClassSpec, Document, Entry, Environment, EnvironmentKind, Fencing, KEY_RETENTION_S,
    Market, Method, ModelSpec, Objective, Offer, OrganisationSpec, PlaceSpec, Promises, Quota,
    RegionSpec, Route, ServiceKind, ServiceSpec, WorkerSpec,
};
pub use key::{KEY_PREFIX, generate_key, key_digest};
pub use problem::{Problem, Problems};
pub use settings::{Limits, Secret, Settings};
