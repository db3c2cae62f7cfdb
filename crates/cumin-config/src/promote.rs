//! Promotion of a tested trial document to production by applying overrides.
//!
//! Overrides are a second TOML text with the keys of a document. A table is merged with that of the
//! trial document key by key, any other value replaces the one of the trial document, and the list
//! `remove` names key paths that production doesn't have. Overrides may only change what differs
//! between environments: identity, places, offers, counts of instances, organisations, limits and
//! budget. What was tested (services, routes, models, classes, promises, objective) is promoted
//! unchanged. The result is checked like any other document.

use serde_json::{Map, Value};

use crate::diff::{Change, changes, diff, to_map};
use crate::document::Document;
use crate::parse::check_document;
use crate::path::KeyPath;
use crate::problem::{Problem, Problems};
use crate::source::Source;

/// Key paths that overrides may change; `*` matches any name.
pub const OVERRIDABLE: [&[&str]; 9] = [
    &["environment"],
    &["regions"],
    &["places"],
    &["offers"],
    &["entry", "nodes"],
    &["services", "*", "workers"],
    &["organisations"],
    &["limits"],
    &["budget"],
];

const REMOVE_KEY: &str = "remove";

/// Creates the production document from `trial` and the text of its overrides.
///
/// # Errors
/// All problems, with their lines in `overrides` where they come from it: keys that may not be
/// overridden, paths to remove that don't exist, and what [`Document::parse`] finds in the result.
pub fn promote(trial: &Document, overrides: &str) -> Result<Document, Problems> {
    let (source, value, mut problems) = Source::read(overrides, true).map_err(Problems)?;
    let Value::Object(mut given) = value else {
        unreachable!("the root of a TOML text is a table");
    };
    let mut merged = to_map(trial);
    if let Some(list) = given.remove(REMOVE_KEY) {
        problems.extend(remove_paths(&mut merged, &list, &source));
    }
    problems.extend(retain_overridable(&mut given, &KeyPath::default(), &source));
    merge(&mut merged, given);
    check_document(&source, Value::Object(merged), problems, Some(trial))
}

/// Returns how `doc` differs from the promotion of `trial` with `overrides`; empty if it doesn't.
///
/// # Errors
/// The problems of [`promote`].
pub fn promotion_diff(
    trial: &Document,
    overrides: &str,
    doc: &Document,
) -> Result<Vec<Change>, Problems> {
    Ok(diff(&promote(trial, overrides)?, doc))
}

/// Returns the changes from `trial` to `doc` that overrides can't make and that were not tested.
#[must_use]
pub fn untested_changes(trial: &Document, doc: &Document) -> Vec<Change> {
    let all = changes(trial, doc).into_iter();
    all.filter(|(path, _)| !is_overridable(path))
        .map(|(_, change)| change)
        .collect()
}

fn is_overridable(path: &KeyPath) -> bool {
    OVERRIDABLE.iter().any(|allowed| {
        let same = |(pattern, part): (&&str, &String)| *pattern == "*" || pattern == part;
        path.0.len() >= allowed.len() && allowed.iter().zip(&path.0).all(same)
    })
}

/// Removes and reports the keys that overrides may not change.
fn retain_overridable(
    fields: &mut Map<String, Value>,
    path: &KeyPath,
    source: &Source<'_>,
) -> Vec<Problem> {
    let mut problems = Vec::new();
    fields.retain(|key, value| {
        let path = path.join(key);
        match value {
            _ if is_overridable(&path) => true,
            Value::Object(inner) if !inner.is_empty() => {
                problems.extend(retain_overridable(inner, &path, source));
                !inner.is_empty()
            }
            _ => {
                problems.push(not_overridable(&path, source.shown(&path, value), source));
                false
            }
        }
    });
    problems
}

fn not_overridable(path: &KeyPath, value: String, source: &Source<'_>) -> Problem {
    let allowed: Vec<String> = OVERRIDABLE.iter().map(|path| path.join(".")).collect();
    Problem {
        line: source.line(path),
        key: path.to_string(),
        value,
        accepted: format!(
            "the tested value; overrides may change {}",
            allowed.join(", ")
        ),
    }
}

fn remove_paths(
    merged: &mut Map<String, Value>,
    list: &Value,
    source: &Source<'_>,
) -> Vec<Problem> {
    let at = KeyPath::of(&[REMOVE_KEY]);
    let mut problems = Vec::new();
    let mut report = |at: &KeyPath, value: &Value| {
        problems.push(Problem {
            line: source.line(at),
            key: at.to_string(),
            value: source.shown(at, value),
            accepted: "key paths of the tested document that overrides may change, such as \
                       \"organisations.test\""
                .into(),
        });
    };
    let Value::Array(items) = list else {
        report(&at, list);
        return problems;
    };
    for (index, item) in items.iter().enumerate() {
        let path = item.as_str().and_then(KeyPath::parse);
        let removed = path
            .filter(is_overridable)
            .is_some_and(|path| remove_path(merged, &path.0));
        if !removed {
            report(&at.index(index), item);
        }
    }
    problems
}

fn remove_path(fields: &mut Map<String, Value>, path: &[String]) -> bool {
    match path {
        [] => false,
        [key] => fields.remove(key).is_some(),
        [key, rest @ ..] => match fields.get_mut(key) {
            Some(Value::Object(inner)) => remove_path(inner, rest),
            _ => false,
        },
    }
}

fn merge(fields: &mut Map<String, Value>, given: Map<String, Value>) {
    for (key, value) in given {
        match (fields.get_mut(&key), value) {
            (Some(Value::Object(inner)), Value::Object(value)) => merge(inner, value),
            (_, value) => drop(fields.insert(key, value)),
        }
    }
}
