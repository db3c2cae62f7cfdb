//! Validation errors of documents and settings.

use derive_more::{Display, Error};
use serde::Serialize;

/// A value that is not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{}{key}: found {value}; accepted: {accepted}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
pub struct Problem {
    /// Line of the value, counted from 1; none if the value is not in the parsed text.
    pub line: Option<usize>,
    /// Key path in TOML notation.
    pub key: String,
    /// Description of the value that was found.
    pub value: String,
    /// Description of the values that are accepted.
    pub accepted: String,
}

/// All problems of a text, sorted by line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);
