//! Decides which requests run, which wait, in what order, and which are refused.
//!
//! [`Admission`] holds the quotas of every organisation and one queue for each service. A
//! request is checked against its organisation's quotas and its deadline, then runs or waits.
//! Waiting requests are served by priority, and inside a priority by start-time fair queueing
//! on estimated tokens. Global limits are divided between nodes by [`Shares`], whose sum never
//! exceeds the limit while the nodes agree on who is live.
//!
//! Nothing here does input or output: time is a parameter and each decision is a value that
//! prints itself as key=value pairs.

mod admission;
mod decision;
mod organisation;
mod queue;
mod quota;
mod share;

pub use admission::{Admission, Options};
pub use decision::{
    AdmissionRequest, Capacity, Decision, DropReason, Dropped, QueuePosition, Refusal,
    RefusalReason, Ticket,
};
pub use quota::{Quota, Resource, TokenBucket};
pub use share::{Amounts, DemandReport, Grant, ShareOptions, Shares};
