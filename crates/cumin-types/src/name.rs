//! Names as shared immutable strings, with a newtype for each kind of named object.

use std::sync::Arc;

use derive_more::{AsRef, Display};
use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $ident:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, schemars::JsonSchema,
        )]
        #[serde(transparent)]
        #[as_ref(str)]
        pub struct $ident(Arc<str>);

        impl $ident {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $ident {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $ident {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl std::borrow::Borrow<str> for $ident {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// An availability zone or data centre.
    Place
}
name! {
    /// A group of places with low latency between them.
    Region
}
name! {
    /// A customer, whose callers share a set of keys and a quota.
    Organisation
}
name! {
    /// A set of endpoints that answer the same calls.
    Service
}
name! {
    /// A model, by the name that callers use.
    Model
}
name! {
    /// One node of the system.
    NodeName
}
name! {
    /// One model engine or plain service instance.
    EndpointName
}
name! {
    /// A machine class of the cloud.
    Class
}
