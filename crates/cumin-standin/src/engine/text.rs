//! The text that engines generate: token by token, from the prompt alone.

use std::fmt::Write;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORDS: [&str; 16] = [
    "crust", "crumb", "starter", "levain", "proof", "score", "bake", "flour", "rye", "spelt",
    "axe", "saw", "heat", "ruling", "timber", "verdict",
];

/// Returns the first `max_tokens` tokens of the answer to a prompt.
///
/// Token i depends on the prompt and i only, so the answer is the same whichever engines
/// produced its parts.
#[must_use]
pub fn answer(prompt_text: &str, max_tokens: u64) -> Vec<String> {
    let script = Script::new(prompt_text);
    (0..max_tokens).map(|index| script.token(index)).collect()
}

/// Produces the tokens of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Script(u64);

impl Script {
    /// Makes the script of the answer to a prompt.
    pub fn new(prompt: &str) -> Self {
        Self(xxh3_64(prompt.as_bytes()))
    }

    /// Returns one token: a word, four digits of a hash and the index, with a space after it.
    pub fn token(self, index: u64) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.0);
        let word = WORDS[usize::try_from(hash % 16).expect("below 16")];
        let mut token = String::with_capacity(24);
        // Words alone repeat after a few tokens; digits and index tell any two tokens apart.
        let _ = write!(token, "{word}-{:04x}-{index} ", (hash >> 16) & 0xffff);
        token
    }

    /// Returns whether `text` is the first `count` tokens of the answer.
    pub fn begins(self, text: &str, count: u64) -> bool {
        let mut rest = text;
        (0..count).all(|index| match rest.strip_prefix(&*self.token(index)) {
            Some(after) => {
                rest = after;
                true
            }
            None => false,
        }) && rest.is_empty()
    }
}
