//! Endpoint selection, the prefix-cache index, the ranking of a reclaim, and baselines.
//!
//! Nothing here does input or output. The node feeds a [`Router`] with what it learns about the
//! endpoints; [`Router::choose`] estimates the time to the first token at the candidates and
//! returns the best as a [`Choice`] that prints its terms. [`rank_reclaim`] orders the steps that
//! save running requests from an endpoint under notice. The baselines of [`policy`] see the same
//! inputs, so that one harness compares them.

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
