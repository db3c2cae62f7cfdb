//! Tests of the folds, recorders and writers against an in-memory log.

mod append;
mod append_rate;
mod claim_fuzz;
mod claim_oracle;
mod claim_world;
mod claims;
mod config_fuzz;
mod fold_fuzz;
mod handover;
mod lease_clock;
mod lease_fuzz;
mod model;
mod net;
mod recorder;
mod writer_fuzz;
