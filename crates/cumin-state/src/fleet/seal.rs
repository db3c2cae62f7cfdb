//! Ed25519 keys and seals, in text as hexadecimal digits.

use std::fmt;

use derive_more::{Display, Error};
use ed25519_dalek::{Signature, Signer as _, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};

macro_rules! hexadecimal {
    ($(#[$doc:meta])* $ident:ident, $len:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $ident(pub [u8; $len]);

        impl fmt::Display for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(self.0))
            }
        }

        impl fmt::Debug for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($ident), hex::encode(&self.0[..4]))
            }
        }

        impl From<$ident> for String {
            fn from(value: $ident) -> Self {
                value.to_string()
            }
        }

        impl TryFrom<String> for $ident {
            type Error = HexError;

            fn try_from(text: String) -> Result<Self, HexError> {
                let mut bytes = [0; $len];
                hex::decode_to_slice(&text, &mut bytes)
                    .map_err(|_| HexError { digits: $len * 2, text })?;
                Ok(Self(bytes))
            }
        }
    };
}

/// The text is not the expected number of hexadecimal digits.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{text:?} is not {digits} hexadecimal digits")]
pub struct HexError {
    /// Digits expected.
    pub digits: usize,
    /// What was read.
    pub text: String,
}

hexadecimal! {
    /// An Ed25519 public key.
    Key, 32
}
hexadecimal! {
    /// An Ed25519 signature.
    Seal, 64
}

/// The bytes that a seal signs: purpose, environment and content.
fn statement(purpose: &str, environment: &str, content: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(&("cuminladder", purpose, environment, content)).unwrap_or_default()
}

/// Signs `content` for one purpose in one environment.
#[must_use]
pub fn seal(key: &SigningKey, purpose: &str, environment: &str, content: &impl Serialize) -> Seal {
    Seal(
        key.sign(&statement(purpose, environment, content))
            .to_bytes(),
    )
}

/// Checks a seal.
#[must_use]
pub fn sealed(
    key: Key,
    seal: Seal,
    purpose: &str,
    environment: &str,
    content: &impl Serialize,
) -> bool {
    VerifyingKey::from_bytes(&key.0).is_ok_and(|key| {
        let signature = Signature::from_bytes(&seal.0);
        key.verify_strict(&statement(purpose, environment, content), &signature)
            .is_ok()
    })
}
