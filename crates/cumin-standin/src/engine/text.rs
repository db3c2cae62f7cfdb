//! The text that engines generate, a function of the prompt only.

use std::fmt::Write;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORDS: [&str; 16] = [
    "crust", "crumb", "starter", "levain", "proof", "score", "bake", "flour", "rye", "spelt",
    "axe", "saw", "heat", "ruling", "timber", "verdict",
];

/// Returns the first `max_tokens` tokens of the answer to a prompt.
///
/// Each token depends only on the prompt and its index, so the answer is the same whichever engines
/// produce its parts.
#[must_use]
pub fn answer(prompt_text: &str, max_tokens: u64) -> Vec<String> {
    let script = TokenScript::new(prompt_text);
    (0..max_tokens).map(|index| script.token(index)).collect()
}

/// Generator of the tokens of one answer.
#[derive(Clone, Copy, Debug)]
pub struct TokenScript(u64);

impl TokenScript {
    /// Returns the generator for a prompt.
    pub fn new(prompt: &str) -> Self {
        Self(xxh3_64(prompt.as_bytes()))
    }

    /// Returns a token: a word, four hex digits of a hash and the index, followed by a space.
    pub fn token(self, index: u64) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.0);
        let word = WORDS[usize::try_from(hash % 16).expect("below 16")];
        let mut token = String::with_capacity(24);
        // Words alone would repeat after a few tokens; the digits and the index make tokens unique.
        let _ = write!(token, "{word}-{:04x}-{index} ", (hash >> 16) & 0xffff);
        token
    }

    /// Returns whether `text` is exactly the first `count` tokens of the answer.
    pub fn starts_with(self, text: &str, count: u64) -> bool {
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
