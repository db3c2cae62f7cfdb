//! Messages of the protocols towards callers, endpoints and the platform.
//!
//! JSON over HTTP/1.1 throughout. Unknown fields of the completion protocol are kept, so that a
//! client's options reach the engine as they were sent. Messages between our own nodes live in
//! the crate of the duty that they belong to.

pub mod cloud;
pub mod completion;
pub mod engine;
pub mod header;
pub mod log;
pub mod sse;
pub mod weights;
