//! Numbers with a unit.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! number {
    ($(#[$doc:meta])* $ident:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $ident(pub u64);

        impl $ident {
            /// Adds `count`, stopping at the largest value.
            #[must_use]
            pub const fn plus(self, count: u64) -> Self {
                Self(self.0.saturating_add(count))
            }

            /// Returns how far this is past `other`, zero when it is not.
            #[must_use]
            pub const fn since(self, other: Self) -> u64 {
                self.0.saturating_sub(other.0)
            }
        }
    };
}

number! {
    /// Milliseconds on a monotonic clock whose origin is the process start.
    Millis
}
number! {
    /// Milliseconds since the Unix epoch.
    WallMillis
}
number! {
    /// A revision of an environment's document.
    Revision
}
number! {
    /// A position in a log stream.
    LogOffset
}
number! {
    /// The offset of a lease record; a higher one supersedes a lower one.
    FencingToken
}
number! {
    /// One life of a node; a restarted or refuting node uses a higher one.
    Incarnation
}
number! {
    /// A number of tokens.
    TokenCount
}
number! {
    /// The number of tokens that precede a point in an answer.
    Position
}

impl Millis {
    /// Returns the value as a duration since the clock's origin.
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// Currency units an hour.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
pub struct Cost(pub f64);
