//! Newtypes of numbers, one for each unit or kind of counter.

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
            /// Adds `count`, saturating at the maximum.
            #[must_use]
            pub const fn plus(self, count: u64) -> Self {
                Self(self.0.saturating_add(count))
            }

            /// Returns the difference to `earlier`, or 0 if `self` is not larger.
            #[must_use]
            pub const fn since(self, earlier: Self) -> u64 {
                self.0.saturating_sub(earlier.0)
            }
        }
    };
}

number! {
    /// Milliseconds on a monotonic clock that starts with the process, or a length of time.
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
    /// The offset of a record in a log stream.
    LogOffset
}
number! {
    /// The log offset of the record that granted a lease; a higher token supersedes a lower one.
    FencingToken
}
number! {
    /// Tells two starts of a node apart; a restart or the refutation of a suspicion increases it.
    Incarnation
}
number! {
    /// A number of tokens.
    TokenCount
}
number! {
    /// A position in an answer, as the number of tokens before it.
    Position
}

impl Millis {
    /// Returns the value as a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// A price in currency units per hour.
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
