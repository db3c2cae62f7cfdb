//! Organisation keys and their digests.

use cumin_types::Digest;
use rand::CryptoRng;

/// Start of every generated key, so that secret scanners recognise one.
pub const KEY_PREFIX: &str = "cumin-";

/// Returns the digest that the document holds for `key`.
#[must_use]
pub fn key_digest(key: &str) -> Digest {
    Digest::of(key.as_bytes())
}

/// Makes a new organisation key of 256 random bits.
#[must_use]
pub fn generate_key(rng: &mut impl CryptoRng) -> String {
    let mut bytes = [0; 32];
    rng.fill_bytes(&mut bytes);
    format!("{KEY_PREFIX}{}", hex::encode(bytes))
}
