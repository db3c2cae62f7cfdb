//! Endpoint selection, the prefix-cache index, reclaim ranking and baselines.
//!
//! This crate performs no I/O. The node records what it learns about the endpoints in a [`Router`];
//! [`Router::choose`] estimates the time to the first token at the candidates and returns the best
//! as a [`Choice`], which prints the terms of its score. [`rank_reclaim`] orders the moves of
//! running requests away from an endpoint under notice. The baselines in [`policy`] take the same
//! inputs, so that one harness can compare them with the router.

mod choice;
mod index;
mod info;
mod pool;
mod reclaim;
mod router;
mod view;

pub mod policy;

pub use choice::{Candidate, Choice, NoEndpoint, Query, Terms};
pub use index::Trust;
pub use info::{Dispatch, EndpointInfo, Finish, OwnLoad, Rates, RouterOptions};
pub use policy::Policy;
pub use reclaim::{
    Move, MoveMethod, MoveProgress, MoveTarget, ReclaimOptions, RunningRequest, rank_reclaim,
};
pub use router::Router;
