//! Identifiers, units, outcomes and descriptors that several crates share.
//!
//! Nothing here does input or output. Names are shared immutable strings, numbers that must
//! not be mixed are newtypes, and every type derives serde so that it can cross the network or
//! enter the log as it is.

mod digest;
mod id;
mod name;
mod rank;
mod request;
mod unit;

pub use digest::{Digest, DigestError};
pub use id::{AttemptId, ClaimKey, RecordId, RequestId};
pub use name::{Class, EndpointName, Model, NodeName, Organisation, Place, Region, Service};
pub use rank::{rank, score};
pub use request::{Call, Descriptor, Epoch, Fingerprint, Outcome, Priority, Repeat};
pub use unit::{
    Cost, FencingToken, Incarnation, LogOffset, Millis, Position, Revision, TokenCount, WallMillis,
};
