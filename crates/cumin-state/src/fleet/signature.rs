//! Ed25519 keys and signatures, represented as hexadecimal text.

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

/// Error for text that is not the expected number of hexadecimal digits.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{text:?} is not {digits} hexadecimal digits")]
pub struct HexError {
    /// Expected number of digits.
    pub digits: usize,
    /// The rejected text.
    pub text: String,
}

hexadecimal! {
    /// Ed25519 public key of an operator.
    Key, 32
}
hexadecimal! {
    /// Ed25519 signature of an operator.
    OperatorSignature, 64
}

/// Returns the bytes to sign: purpose, environment and content.
fn signed_bytes(purpose: &str, environment: &str, content: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(&("cuminladder", purpose, environment, content)).unwrap_or_default()
}

/// Signs `content` for one purpose in one environment.
#[must_use]
pub fn sign(
    key: &SigningKey,
    purpose: &str,
    environment: &str,
    content: &impl Serialize,
) -> OperatorSignature {
    OperatorSignature(
        key.sign(&signed_bytes(purpose, environment, content))
            .to_bytes(),
    )
}

/// Returns true when `signature` is valid for `content`, purpose and environment under `key`.
#[must_use]
pub fn is_signed(
    key: Key,
    signature: OperatorSignature,
    purpose: &str,
    environment: &str,
    content: &impl Serialize,
) -> bool {
    VerifyingKey::from_bytes(&key.0).is_ok_and(|key| {
        let signature = Signature::from_bytes(&signature.0);
        key.verify_strict(&signed_bytes(purpose, environment, content), &signature)
            .is_ok()
    })
}
