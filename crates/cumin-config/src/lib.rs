//! The environment document and the settings of a node: parsing, validation, diff, digest and
//! promotion from trial to production.

mod check;
mod check_settings;
mod diff;
mod document;
mod key;
mod lookup;
mod parse;
mod path;
mod pattern;
mod problem;
mod promote;
mod review;
mod schema;
mod settings;
mod source;
mod validate;

pub use diff::{Change, diff, diff_tables};
pub use document::{
    Budget, ClassSpec, DEFAULT_KEY_RETENTION_S, Document, Entry, Environment, EnvironmentKind,
    Fencing, Market, Method, ModelSpec, Objective, Offer, OrganisationSpec, PlaceSpec, Promises,
    Quota, RegionSpec, Route, ServiceKind, ServiceSpec, WorkerSpec,
};
pub use key::{KEY_PREFIX, generate_key, key_digest};
pub use problem::{Problem, Problems};
pub use promote::{OVERRIDABLE, promote, promotion_diff, untested_changes};
pub use review::{Finding, review};
pub use schema::{schema, settings_schema};
pub use settings::{Limits, MIN_SECRET_CHARS, Secret, SecretError, Settings};
