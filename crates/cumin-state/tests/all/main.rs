//! Tests of the folds and duties over an in-memory log.

mod claim_fuzz;
mod claim_world;
mod model;
