//! The node: sockets, timers and tasks around the decision crates.
//!
//! [`Node::start`] brings up everything that one entry instance runs, as local tasks of the
//! calling `actix-rt` system: the caller interface, the calls between nodes, and the views of
//! members, endpoints and the document. Each slice owns its state; decisions come from the
//! pure crates and are logged with their reasons.

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
mod task;

pub use config::DocumentRevision;
pub use cumin_state::config::ChangeKind;
pub use explain::Decision;
pub use node::{Node, Options, StartError};
pub use op::{
    ApplyOutcome, ApplyRequest, Explanation, HistoryEntry, MemberStatus, NodeDecision, Operator,
    OperatorError, StatusReport,
};
