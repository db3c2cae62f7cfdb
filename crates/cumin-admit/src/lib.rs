//! Admission control: quotas, deadlines, fair queueing and load shedding.
//!
//! [`Admission`] holds the quotas of every organisation and one queue per service. A request is
//! checked against the quotas of its organisation and its deadline, and then runs, waits or is
//! refused. Queued requests are served by priority, and within a priority by start-time fair
//! queueing on estimated tokens. [`Shares`] divides global limits between nodes; the sum of the
//! shares never exceeds the limit while the nodes agree on which of them are live.
//!
//! [`FairQueue`] is the queue by itself, with any number of ranks and any unit of work.
//!
//! The crate does no I/O: time is a parameter, and each decision is a value whose `Display` form
//! is a list of `key=value` pairs.

mod admission;
mod decision;
mod fair;
mod organisation;
mod queue;
mod quota;
mod share;

pub use admission::{Admission, Options};
pub use decision::{
    AdmissionRequest, Capacity, Decision, DropReason, Dropped, QueuePosition, QuotaWait, Refusal,
    RefusalReason, Ticket,
};
pub use fair::{FairQueue, Position, Queueable, Queued, StarvationGuard, WorkAhead};
pub use quota::{Quota, Resource, TokenBucket};
pub use share::{Amounts, DemandReport, Grant, ShareOptions, Shares};
