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
mod ask;
mod org;
mod queue;
mod quota;
mod share;

pub use admission::{Admission, Options};
pub use ask::{Ask, Capacity, Decision, DropReason, Dropped, Reason, Refusal, Ticket, Wait};
pub use quota::{Bucket, Quota, Resource};
pub use share::{Amounts, Demand, Grant, ShareOptions, Shares};
