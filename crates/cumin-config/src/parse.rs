//! Parsing and checking of texts, and the digest and TOML form of a document.

use cumin_types::Digest;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::Document;
use crate::path::KeyPath;
use crate::problem::{Problem, Problems};
use crate::settings::Settings;
use crate::source::Source;
use crate::validate::Validator;
use crate::{check, check_settings, schema};

impl Document {
    /// Parses and checks the text of a document.
    ///
    /// # Errors
    /// All problems of the text, sorted by line.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let (source, value, problems) = Source::read(text, false).map_err(Problems)?;
        check_document(&source, value, problems, None)
    }

    /// Returns the digest, which does not depend on comments, white space or the order of keys.
    ///
    /// # Panics
    /// Never for a parsed document, as all its numbers are finite.
    #[must_use]
    pub fn digest(&self) -> Digest {
        // Fields are serialised in the order of their definition; tables and sets are sorted. A key
        // that is added in a later version must be skipped while it has its default, so that nodes
        // of both versions compute the same digest.
        let text = serde_json::to_vec(self).expect("a document has text keys and finite numbers");
        Digest::of(&text)
    }

    /// Returns the document as TOML text.
    ///
    /// # Panics
    /// Never for a parsed document, as TOML can represent all its numbers.
    #[must_use]
    pub fn render(&self) -> String {
        toml::to_string(self).expect("a document has text keys and numbers that TOML can hold")
    }
}

impl Settings {
    /// Parses and checks the text of a node's settings.
    ///
    /// # Errors
    /// All problems of the text, sorted by line.
    pub fn parse(text: &str) -> Result<Self, Problems> {
        let (source, value, problems) = Source::read(text, false).map_err(Problems)?;
        let (found, invalid, mut problems) = validate(&source, value, &schema::SETTINGS, problems);
        if let Some(found) = &found {
            problems.extend(check_settings::find_problems(found, &source, &invalid));
        }
        into_result(found, problems)
    }
}

/// Validates and checks a document, which was promoted from `trial` if that is given.
pub(crate) fn check_document(
    source: &Source<'_>,
    value: Value,
    problems: Vec<Problem>,
    trial: Option<&Document>,
) -> Result<Document, Problems> {
    let (doc, invalid, mut problems) =
        validate::<Document>(source, value, &schema::DOCUMENT, problems);
    if let Some(doc) = &doc {
        problems.extend(check::find_problems(doc, trial, source, &invalid));
    }
    into_result(doc, problems)
}

fn validate<T: DeserializeOwned>(
    source: &Source<'_>,
    mut value: Value,
    schema: &Value,
    problems: Vec<Problem>,
) -> (Option<T>, Vec<KeyPath>, Vec<Problem>) {
    let mut validator = Validator {
        source,
        problems,
        invalid: Vec::new(),
    };
    validator.check(&KeyPath::default(), &mut value, schema);
    let Validator {
        mut problems,
        invalid,
        ..
    } = validator;
    match serde_json::from_value(value) {
        Ok(found) => (Some(found), invalid, problems),
        Err(error) => {
            // The schema is generated from the type, so the bounds of the schema are wrong.
            if problems.is_empty() {
                problems.push(Problem {
                    line: None,
                    key: String::new(),
                    value: error.to_string(),
                    accepted: "values that the schema describes".into(),
                });
            }
            (None, invalid, problems)
        }
    }
}

fn into_result<T>(found: Option<T>, mut problems: Vec<Problem>) -> Result<T, Problems> {
    problems.sort();
    problems.dedup();
    match found {
        Some(found) if problems.is_empty() => Ok(found),
        _ => Err(Problems(problems)),
    }
}
