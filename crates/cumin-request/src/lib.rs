//! One request's life: attempts, frames, positions, takeover and result cache.
//!
//! [`Run`] is the owner's side: it decides which frames of which attempt become part of the
//! answer and what follows when an attempt ends. [`Holder`] is the second node's side: it keeps
//! descriptors and tokens for other nodes, fences an owner that was superseded, and keeps
//! finished results for a while. Both are pure; sockets and timers belong to the node.

mod finish;
mod holder;
mod run;
mod transcript;

pub use finish::{Body, Counts, Finish};
pub use holder::{Ack, Given, Holder, HolderOptions, Progress, Refused};
pub use run::{Broke, Dropped, Frame, Next, Run};
pub use transcript::{Gap, Transcript};
