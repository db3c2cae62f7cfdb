//! Decisions of an entry that serves routes by host and path prefix.
//!
//! Nothing here does input or output. Time comes in as [`Millis`](cumin_types::Millis) of a clock
//! that counts suspension, and each decision is a value that says why. `platform` holds the
//! interfaces that an adapter of a platform implements.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod document;
pub mod duty;
pub mod engine;
pub mod fleet;
pub mod peer;
pub mod platform;
pub mod quota;
pub mod retry;
pub mod scale;
pub mod selection;
pub mod settings;
pub mod stop;
pub mod suspects;
pub mod usage;
