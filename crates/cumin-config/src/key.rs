//! Keys of organisations and their digests.

use cumin_types::Digest;
use rand::CryptoRng;

/// Prefix of generated keys, which secret scanners can search for.
pub const KEY_PREFIX: &str = "cumin-";

/// Returns the digest under which the document lists `key`.
#[must_use]
pub fn key_digest(key: &str) -> Digest {
    Digest::of(key.as_bytes())
}

/// Generates an organisation key of 256 random bits.
#[must_use]
pub fn generate_key(rng: &mut impl CryptoRng) -> String {
    let mut bytes = [0; 32];
    rng.fill_bytes(&mut bytes);
    format!("{KEY_PREFIX}{}", hex::encode(bytes))
}
