//! Everything that nodes must agree on, decided over the platform's append-only log.
//!
//! Nothing here does input or output. An append machine ([`writer`]) and a duty
//! ([`recorder`]) emit effects for the shell and take the log's answers as inputs. Each
//! stream's state is a deterministic fold of its records ([`fold`]); time inside a fold is the
//! log's own time stamp, so that two nodes that fold the same prefix have the same state.

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
