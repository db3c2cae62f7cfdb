//! Identifiers, units, outcomes and descriptors that several crates share.
//!
//! The crate performs no I/O. Names are shared immutable strings, numbers that must not be mixed
//! up are newtypes, and the types implement serde's traits so that messages and log records can
//! contain them directly.

mod answer;
mod digest;
mod id;
mod name;
mod rank;
mod request;
mod unit;

pub use answer::{AnswerLeaving, AnswerWait};
pub use digest::{Digest, DigestError};
pub use id::{AttemptId, ClaimKey, RecordId, RequestId};
pub use name::{Class, EndpointName, Model, NodeName, Organisation, Place, Region, Service};
pub use rank::{rank, score};
pub use request::{Call, Descriptor, Epoch, Fingerprint, Outcome, Priority, Repeat};
pub use unit::{
    Cost, FencingToken, Incarnation, LogOffset, Millis, Position, Revision, TokenCount, WallMillis,
};
