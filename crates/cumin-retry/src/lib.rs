//! Decides whether a failed attempt is retried, which endpoints are ejected, and which requests
//! are quarantined because they crash endpoints.
//!
//! A node has one [`RetryPolicy`] and one [`Ejector`] per service, and one [`Quarantine`], one
//! [`Leaving`] and one [`Waits`] for what endpoints state in their answers. This
//! crate does no input or output: time and the random number generator are parameters, and each
//! decision is a value whose `Display` form consists of key=value pairs.

mod eject;
mod leaving;
mod policy;
mod quarantine;
mod records;
mod reservations;
mod verdict;
mod wait;

pub use eject::{Availability, EjectionOptions, EjectionReason, Ejector, HealthChange};
pub use leaving::Leaving;
pub use policy::{
    FailedAttempt, Fault, GiveUpReason, HedgeDecision, PendingAttempt, RetryDecision, RetryOptions,
    RetryPolicy,
};
pub use quarantine::{Quarantine, QuarantineOptions};
pub use records::{QuarantineRecord, RecordState};
pub use verdict::{AttemptEnd, Candidate, CrashReport, Rejection, Selection, Verdict, WaitReason};
pub use wait::{Wait, Waits};
