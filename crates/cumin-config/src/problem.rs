//! Problems found in a document or in settings.

use derive_more::{Display, Error};
use serde::Serialize;

/// One value that is not accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[display("{}{key}: found {value}; accepted: {accepted}", line.map(|line| format!("line {line}: ")).unwrap_or_default())]
pub struct Problem {
    /// Line of the value, from 1; none when the value is in another text than the one read.
    pub line: Option<usize>,
    /// Path of the key, as TOML writes it.
    pub key: String,
    /// What was found.
    pub value: String,
    /// What is accepted.
    pub accepted: String,
}

/// All problems of one text, by line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);
