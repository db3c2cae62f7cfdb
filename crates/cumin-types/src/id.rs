//! Identifiers made by their author, unique without coordination.

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
            /// Makes an identifier that carries the present time.
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
    /// One request of a caller, UUIDv7.
    RequestId
}
id! {
    /// One try of a request at an endpoint.
    AttemptId
}
id! {
    /// One record of the log; the fold takes the first with an id.
    RecordId
}

/// What makes a non-idempotent call unique: its organisation, service and idempotency key.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{org}/{service}/{key}")]
pub struct ClaimKey {
    /// Whose call it is.
    pub org: Organisation,
    /// The plain service called.
    pub service: Service,
    /// The caller's key, UUIDv7.
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
