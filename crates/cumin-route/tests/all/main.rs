//! Tests of the routing decisions, with time and randomness given.

mod bound;
mod choice;
mod index;
mod machine;
mod reclaim;
mod setup;
