//! Messages that are exchanged with callers, endpoints and the platform.
//!
//! All protocols are JSON over HTTP/1.1. Unknown fields of the completion protocol are kept, so
//! that a client's options reach the engine as they were sent. Messages between nodes are defined
//! in the crates of the components that exchange them.

pub mod cloud;
pub mod completion;
pub mod engine;
pub mod header;
pub mod log;
pub mod sse;
pub mod weights;
