//! Stand-ins for the systems outside: model engine, plain service, log, cloud API, weight store.
//!
//! Each speaks its protocol over a real loopback socket, keeps its state in memory and runs in
//! the calling `actix-rt` system. Faults are values that a test changes at any time; counters
//! tell what a stand-in saw. Dropping a stand-in closes its listener and all its connections.

pub mod cloud;
pub mod engine;
mod host;
pub mod log;
pub mod service;
pub mod weights;

/// How a stand-in is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Answers 503 without any effect.
    Unavailable,
    /// Accepts calls and never answers; they have no effect.
    Hang,
}
