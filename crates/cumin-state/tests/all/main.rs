//! Tests of the folds and duties over an in-memory log.

mod append;
mod append_rate;
mod claim_fuzz;
mod claim_oracle;
mod claim_world;
mod claims;
mod config_fuzz;
mod duty;
mod fold_fuzz;
mod handover;
mod lease_clock;
mod lease_fuzz;
mod model;
mod net;
mod writer_fuzz;
