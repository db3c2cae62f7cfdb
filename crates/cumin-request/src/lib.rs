//! One request's life: attempts, frames, positions, takeover and result cache.
//!
//! [`Run`] is the owner's side: it decides which frames of which attempt become part of the
//! answer and what follows when an attempt ends. [`ReplicaStore`] is the second node's side: it keeps
//! descriptors and tokens for other nodes, fences an owner that was superseded, and keeps
//! finished results for a while. Both are pure; sockets and timers belong to the node.

mod finish;
mod replica;
mod run;
mod transcript;

pub use finish::{Finish, PlainResponse, TokenCounts};
pub use replica::{Ack, Progress, Refused, Replica, ReplicaStore, ReplicaStoreOptions};
pub use run::{AttemptFailure, DroppedFrames, FrameResult, NextStep, Run};
pub use transcript::{PositionError, Transcript};
