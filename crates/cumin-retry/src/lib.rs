//! Decides whether a failed attempt is repeated, which endpoints are left out, and which
//! requests are not run again because they crash endpoints.
//!
//! [`RetryPolicy`] and [`Ejector`] exist once for each service, [`Quarantine`] once for each
//! node. Nothing here does input or output: time is a parameter, randomness comes from the
//! caller, and each decision is a value that prints itself as key=value pairs.

mod eject;
mod policy;
mod quarantine;
mod records;
mod reservations;
mod verdict;

pub use eject::{EjectOptions, EjectReason, Ejector, Report, Usable};
pub use policy::{
    Decision, Failure, Fault, GiveUp, Hedge, HedgeDecision, RetryOptions, RetryPolicy,
};
pub use quarantine::{Quarantine, QuarantineOptions};
pub use records::{Quarantined, State};
pub use verdict::{Candidate, Choice, Crash, End, Rejection, Verdict, WaitReason};
