//! Tests of the folds and duties over an in-memory log.

mod append;
mod claim_fuzz;
mod claim_world;
mod config_fuzz;
mod fold_fuzz;
mod lease_fuzz;
mod model;
mod net;
mod writer_fuzz;
