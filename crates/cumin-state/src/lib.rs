//! State that all nodes agree on, replicated through the platform's append-only log.
//!
//! This crate performs no I/O. The state machines for appending ([`writer`]) and for recording
//! claims ([`recorder`]) return effects that a driver carries out, and take the log's responses
//! as inputs. The state of each stream is a deterministic fold of its records ([`fold`]). Time
//! inside a fold is the log's own timestamp, so two nodes that fold the same prefix have the
//! same state.

pub mod batch;
pub mod claim;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod fold;
pub mod lease;
pub mod pace;
mod pairs;
pub mod recorder;
pub mod snapshot;
pub mod transfer;
pub mod writer;
