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

pub use eject::{Availability, EjectionOptions, EjectionReason, Ejector, HealthChange};
pub use policy::{
    FailedAttempt, Fault, GiveUpReason, HedgeDecision, PendingAttempt, RetryDecision, RetryOptions,
    RetryPolicy,
};
pub use quarantine::{Quarantine, QuarantineOptions};
pub use records::{QuarantineRecord, RecordState};
pub use verdict::{AttemptEnd, Candidate, CrashReport, Rejection, Selection, Verdict, WaitReason};
