//! Decisions of an entry that serves routes by host and path prefix.
//!
//! The crate does no I/O. Callers pass the time as [`Millis`](cumin_types::Millis) of a clock that
//! keeps running during suspension, and each decision is returned as a value with its reason.
//! [`platform`] holds the traits that an adapter of a platform implements.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod document;
pub mod duty;
pub mod engine;
pub mod era;
pub mod fleet;
pub mod learn;
pub mod leaving;
pub mod limits;
pub mod memory;
pub mod outage;
pub mod peer;
pub mod platform;
pub mod quota;
pub mod relay;
pub mod retry;
pub mod review;
pub mod rollout;
pub mod scale;
pub mod selection;
pub mod settings;
pub mod stop;
pub mod suspects;
mod trials;
pub mod usage;
pub mod waiting;
