//! Stand-ins for external systems: model engine, plain service, log, cloud API and weight store.
//!
//! Each implements its protocol over a real loopback socket, keeps its state in memory and runs in
//! the calling `actix-rt` system. Faults are values that a test can change at any time; counters
//! record what a stand-in received and did. Dropping a stand-in closes its listener and all its connections.

pub mod cloud;
pub mod engine;
mod host;
pub mod log;
pub mod service;
pub mod weights;

/// Kinds of unavailability.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Calls are answered with 503 and have no effect.
    Unavailable,
    /// Calls are accepted, never answered and have no effect.
    Hang,
}
