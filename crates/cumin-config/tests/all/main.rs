//! Tests of documents, settings, promotion and lookups.

mod bad_input;
mod bad_settings;
mod diff;
mod lookup;
mod promote;
mod render;
mod schema;

use cumin_config::{Document, Problem, Problems};

const BAKERS: &str = include_str!("../../../../examples/bakers.toml");
const BAKERS_TRIAL: &str = include_str!("../../../../examples/bakers-trial.toml");
const BAKERS_OVERRIDES: &str = include_str!("../../../../examples/bakers-overrides.toml");
const JUDGES: &str = include_str!("../../../../examples/judges.toml");
const JUDGES_TRIAL: &str = include_str!("../../../../examples/judges-trial.toml");
const JUDGES_OVERRIDES: &str = include_str!("../../../../examples/judges-overrides.toml");

/// Parses a document that must be valid.
fn parse_valid(text: &str) -> Document {
    Document::parse(text).unwrap_or_else(|problems| panic!("{problems}"))
}

/// Text to replace, its replacement, and of the expected problem: the key, a part of its line and
/// a part of what is accepted.
type Row = (
    &'static str,
    &'static str,
    &'static str,
    &'static str,
    &'static str,
);

/// Replaces the first occurrence of `from`, which must be in `text`.
fn edit(text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "{from:?} is not in the text");
    text.replacen(from, to, 1)
}

/// Asserts that there is exactly one problem, for `key` and on a line that contains `at`.
fn one_problem<T>(
    found: Result<T, Problems>,
    text: &str,
    key: &str,
    at: &str,
    accepted: &str,
) -> Problem {
    let Err(Problems(problems)) = found else {
        panic!("{key} was accepted");
    };
    let [problem] = &problems[..] else {
        panic!("{key}: {problems:#?}");
    };
    assert_eq!(problem.key, key, "{problem}");
    let line = text
        .lines()
        .nth(problem.line.expect("a line") - 1)
        .expect("in the text");
    assert!(line.contains(at), "{problem} is at {line:?}");
    assert!(problem.accepted.contains(accepted), "{problem}");
    problem.clone()
}
