//! Entry points: text to checked values, and the canonical forms of a document.

use cumin_types::Digest;
use serde::de::DeserializeOwned;

use crate::document::Document;
use crate::problem::{Problem, Problems};
use crate::settings::Settings;

impl Document {
    /// Parses and checks the text of a document.
    ///
    /// # Errors
    /// All problems of the text, by line.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        read(text)
    }

    /// Returns the digest, independent of comments, white space and order of keys.
    ///
    /// # Panics
    /// Never for a document that was parsed: its values are all finite.
    #[must_use]
    pub fn digest(&self) -> Digest {
        // Fields are in the order of their definition, tables and sets are sorted.
        let text = serde_json::to_vec(self).expect("a document has text keys and finite numbers");
        Digest::of(&text)
    }

    /// Returns the document as TOML text.
    ///
    /// # Panics
    /// Never for a document that was parsed: all its numbers fit.
    #[must_use]
    pub fn render(&self) -> String {
        toml::to_string(self).expect("a document has text keys and numbers that TOML can hold")
    }
}

impl Settings {
    /// Parses and checks the text of a node's settings.
    ///
    /// # Errors
    /// All problems of the text, by line.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        read(text)
    }
}

fn read<T: DeserializeOwned>(text: &str) -> Result<T, Problems> {
    toml::from_str(text).map_err(|error| {
        let line = error
            .span()
            .map(|span| text[..span.start].matches('\n').count() + 1);
        Problems(vec![Problem {
            line,
            key: String::new(),
            value: error.message().into(),
            accepted: "a valid document".into(),
        }])
    })
}
