//! Entry points: text to checked values, and the canonical forms of a document.

use cumin_types::Digest;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::Document;
use crate::path::KeyPath;
use crate::problem::{Problem, Problems};
use crate::settings::Settings;
use crate::shape::Shape;
use crate::source::Source;
use crate::{check, check_settings, schema};

impl Document {
    /// Parses and checks the text of a document.
    ///
    /// # Errors
    /// All problems of the text, by line.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let (source, value, problems) = Source::read(text, false).map_err(Problems)?;
        finish(&source, value, problems, None)
    }

    /// Returns the digest, independent of comments, white space and order of keys.
    ///
    /// # Panics
    /// Never for a document that was parsed: its values are all finite.
    #[must_use]
    pub fn digest(&self) -> Digest {
        // Fields are in the order of their definition, tables and sets are sorted. A key added in
        // a later version is to be left out while it has its default, so that nodes of both
        // versions compute the same digest.
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
        let (source, value, problems) = Source::read(text, false).map_err(Problems)?;
        let (found, damaged, mut problems) = shaped(&source, value, &schema::SETTINGS, problems);
        if let Some(found) = &found {
            problems.extend(check_settings::settings(found, &source, &damaged));
        }
        conclude(found, problems)
    }
}

/// Checks the values of a document, which was made from `trial` if there is one.
pub(crate) fn finish(
    source: &Source<'_>,
    value: Value,
    problems: Vec<Problem>,
    trial: Option<&Document>,
) -> Result<Document, Problems> {
    let (doc, damaged, mut problems) =
        shaped::<Document>(source, value, &schema::DOCUMENT, problems);
    if let Some(doc) = &doc {
        problems.extend(check::document(doc, trial, source, &damaged));
    }
    conclude(doc, problems)
}

fn shaped<T: DeserializeOwned>(
    source: &Source<'_>,
    mut value: Value,
    schema: &Value,
    problems: Vec<Problem>,
) -> (Option<T>, Vec<KeyPath>, Vec<Problem>) {
    let mut shape = Shape {
        source,
        problems,
        damaged: Vec::new(),
    };
    shape.check(&KeyPath::default(), &mut value, schema);
    let Shape {
        mut problems,
        damaged,
        ..
    } = shape;
    match serde_json::from_value(value) {
        Ok(found) => (Some(found), damaged, problems),
        Err(error) => {
            // The schema is made from the type, so this is a fault of the schema's bounds.
            if problems.is_empty() {
                problems.push(Problem {
                    line: None,
                    key: String::new(),
                    value: error.to_string(),
                    accepted: "values that the schema describes".into(),
                });
            }
            (None, damaged, problems)
        }
    }
}

fn conclude<T>(found: Option<T>, mut problems: Vec<Problem>) -> Result<T, Problems> {
    problems.sort();
    problems.dedup();
    match found {
        Some(found) if problems.is_empty() => Ok(found),
        _ => Err(Problems(problems)),
    }
}
