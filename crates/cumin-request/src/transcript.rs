//! The generated tokens of an answer, addressed by position.

use cumin_types::Position;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The tokens generated so far, in one buffer with the end offset of each token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transcript {
    text: String,
    ends: Vec<u32>,
}

/// The requested position is past the last token.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("position {asked} is past the {held} tokens held")]
pub struct PositionError {
    /// The requested position.
    pub asked: Position,
    /// The number of tokens in the transcript.
    pub held: Position,
}

impl Transcript {
    /// Returns the position after the last token, which is the number of tokens.
    #[must_use]
    pub fn position(&self) -> Position {
        Position(self.ends.len() as u64)
    }

    /// Returns the whole text.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Appends one token.
    ///
    /// # Panics
    /// Panics if the text exceeds 4 GiB. The node limits answers to far less.
    pub fn push(&mut self, token: &str) {
        self.text.push_str(token);
        self.ends
            .push(u32::try_from(self.text.len()).expect("an answer under 4 GiB"));
    }

    /// Returns the tokens from `from` on.
    ///
    /// # Errors
    /// Fails if `from` is past the last token.
    pub fn tokens_from(&self, from: Position) -> Result<impl Iterator<Item = &str>, PositionError> {
        let error = PositionError {
            asked: from,
            held: self.position(),
        };
        let skip = usize::try_from(from.0).map_err(|_| error)?;
        if skip > self.ends.len() {
            return Err(error);
        }
        Ok((skip..self.ends.len()).map(|index| self.token(index)))
    }

    fn token(&self, index: usize) -> &str {
        let start = if index == 0 {
            0
        } else {
            self.ends[index - 1] as usize
        };
        &self.text[start..self.ends[index] as usize]
    }

    /// Returns true if one of the two transcripts is a prefix of the other.
    #[must_use]
    pub fn agrees_with(&self, other: &Self) -> bool {
        let count = self.ends.len().min(other.ends.len());
        let end = count
            .checked_sub(1)
            .map_or(0, |last| self.ends[last] as usize);
        self.ends[..count] == other.ends[..count]
            && self.text.as_bytes()[..end] == other.text.as_bytes()[..end]
    }

    /// Returns the memory in use, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.text.len() + self.ends.len() * size_of::<u32>()
    }
}
