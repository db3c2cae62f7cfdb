//! Identifiers that a node generates by itself and that are unique without coordination.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{Organisation, Service};

macro_rules! id {
    ($(#[$doc:meta])* $ident:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $ident(pub Uuid);

        impl $ident {
            /// Generates a UUIDv7, which contains the current time.
            #[must_use]
            pub fn now() -> Self {
                Self(Uuid::now_v7())
            }
        }

        impl std::str::FromStr for $ident {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Uuid::parse_str(text).map(Self)
            }
        }
    };
}

id! {
    /// Identifier of a caller's request, UUIDv7.
    RequestId
}
id! {
    /// Identifier of an attempt, which is one send of a request to an endpoint.
    AttemptId
}
id! {
    /// Identifier of a log record; of records with the same one, the fold applies only the first.
    RecordId
}

/// Identity of a non-idempotent call: its organisation, service and idempotency key.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{org}/{service}/{key}")]
pub struct ClaimKey {
    /// Organisation of the caller.
    pub org: Organisation,
    /// Plain service that is called.
    pub service: Service,
    /// Idempotency key chosen by the caller, UUIDv7.
    pub key: Uuid,
}

impl ClaimKey {
    /// Returns the shard of `count` shards that holds this key.
    ///
    /// # Panics
    /// When `count` is zero.
    #[must_use]
    pub fn shard(&self, count: u32) -> u32 {
        assert!(count > 0, "at least one shard");
        let hash = xxhash_rust::xxh3::xxh3_64(self.to_string().as_bytes());
        u32::try_from(hash % u64::from(count)).expect("a remainder of a u32 fits")
    }
}
