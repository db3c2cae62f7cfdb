//! The lifecycle of one request: attempts, frames, replication, takeover and the result cache.
//!
//! [`Run`] is the state of a request at its owner: it decides which frames of which attempt become
//! part of the answer, and what follows when an attempt fails. [`ReplicaStore`] is the state at
//! the second node: it keeps the descriptors and tokens of requests that other nodes own, fences
//! off superseded owners, and keeps finished results for a while. Neither does any I/O; sockets
//! and timers belong to the node.

mod finish;
mod replica;
mod run;
mod transcript;

pub use finish::{Finish, PlainResponse, TokenCounts};
pub use replica::{Ack, Progress, Refused, Replica, ReplicaStore, ReplicaStoreOptions};
pub use run::{AttemptFailure, DroppedFrames, FrameResult, NextStep, Run};
pub use transcript::{PositionError, Transcript};
