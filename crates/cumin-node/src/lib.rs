//! The node runtime: sockets, timers and tasks around the decision crates.
//!
//! [`Node::start`] starts everything that one entry instance runs, as local tasks of the calling
//! `actix-rt` system: the caller interface, the RPC between nodes, and the views of members,
//! endpoints and the environment document. Each module owns its state. Decisions are made by
//! the crates without I/O and logged with their reasons.

mod admission;
mod caller;
mod clock;
mod config;
mod explain;
mod fleet;
mod health;
mod http;
mod log_client;
mod member;
mod metrics;
mod node;
mod op;
mod peer;
mod record;
mod request;
mod statement;
mod task;

pub use config::DocumentRevision;
pub use cumin_state::config::ChangeKind;
pub use explain::Decision;
pub use node::{Node, Options, StartError};
pub use op::{
    ApplyOutcome, ApplyRequest, Explanation, HistoryEntry, MemberStatus, NodeDecision, Operator,
    OperatorError, StatusReport,
};
