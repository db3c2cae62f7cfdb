//! Promotion: a production document is a tested trial document plus overrides.
//!
//! Overrides are a second TOML text with the same keys as a document. A table merges with the
//! tested one key by key, any other value replaces the tested one, and the list `remove` names
//! key paths that production doesn't have. Overrides may only change what differs between
//! environments: identity, places, offers, counts of instances, organisations, limits and budget.
//! What was tested (services, routes, models, classes, promises, objective) is promoted as it is.
//! The result is checked like any document.

use serde_json::{Map, Value};

use crate::diff::{Change, changes, diff, to_map};
use crate::document::Document;
use crate::parse::finish;
use crate::path::KeyPath;
use crate::problem::{Problem, Problems};
use crate::source::Source;

/// Key paths that overrides may change, `*` for any name.
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

const REMOVE: &str = "remove";

/// Makes the production document of `trial` and the text of its overrides.
///
/// # Errors
/// All problems, with lines of `overrides` where they stem from it: keys that may not differ,
/// paths to remove that aren't there, and all that [`Document::parse`] finds in the result.
pub fn promote(trial: &Document, overrides: &str) -> Result<Document, Problems> {
    let (source, value, mut problems) = Source::read(overrides, true).map_err(Problems)?;
    let Value::Object(mut given) = value else {
        unreachable!("the root of a TOML text is a table");
    };
    let mut merged = to_map(trial);
    if let Some(list) = given.remove(REMOVE) {
        problems.extend(remove(&mut merged, &list, &source));
    }
    problems.extend(scope(&mut given, &KeyPath::default(), &source));
    merge(&mut merged, given);
    finish(&source, Value::Object(merged), problems, Some(trial))
}

/// Returns where `doc` differs from `trial` with `overrides`; nothing when it is their promotion.
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

/// Returns the changes from `trial` to `doc` that no overrides can make, so that were not tested.
#[must_use]
pub fn untested_changes(trial: &Document, doc: &Document) -> Vec<Change> {
    let all = changes(trial, doc).into_iter();
    all.filter(|(path, _)| !overridable(path))
        .map(|(_, change)| change)
        .collect()
}

fn overridable(path: &KeyPath) -> bool {
    OVERRIDABLE.iter().any(|allowed| {
        let same = |(want, part): (&&str, &String)| *want == "*" || want == part;
        path.0.len() >= allowed.len() && allowed.iter().zip(&path.0).all(same)
    })
}

/// Reports and drops the keys that overrides may not change.
fn scope(fields: &mut Map<String, Value>, path: &KeyPath, source: &Source<'_>) -> Vec<Problem> {
    let mut problems = Vec::new();
    fields.retain(|key, value| {
        let path = path.join(key);
        match value {
            _ if overridable(&path) => true,
            Value::Object(inner) if !inner.is_empty() => {
                problems.extend(scope(inner, &path, source));
                !inner.is_empty()
            }
            _ => {
                problems.push(problem(&path, source.shown(&path, value), source));
                false
            }
        }
    });
    problems
}

fn problem(path: &KeyPath, value: String, source: &Source<'_>) -> Problem {
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

fn remove(merged: &mut Map<String, Value>, list: &Value, source: &Source<'_>) -> Vec<Problem> {
    let at = KeyPath::of(&[REMOVE]);
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
        let gone = path
            .filter(overridable)
            .is_some_and(|path| take(merged, &path.0));
        if !gone {
            report(&at.index(index), item);
        }
    }
    problems
}

fn take(fields: &mut Map<String, Value>, path: &[String]) -> bool {
    match path {
        [] => false,
        [key] => fields.remove(key).is_some(),
        [key, rest @ ..] => match fields.get_mut(key) {
            Some(Value::Object(inner)) => take(inner, rest),
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
