//! Differences between two documents.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::document::Document;
use crate::path::KeyPath;

/// A key whose value differs.
#[derive(Clone, Debug, Display, PartialEq, Serialize, Deserialize)]
#[display("{key}: {} -> {}", display_side(old.as_ref()), display_side(new.as_ref()))]
pub struct Change {
    /// Key path in TOML notation.
    pub key: String,
    /// Value in the old document, none if the key was added.
    pub old: Option<Value>,
    /// Value in the new document, none if the key was removed.
    pub new: Option<Value>,
}

fn display_side(value: Option<&Value>) -> String {
    value.map_or_else(|| "(absent)".into(), Value::to_string)
}

/// Returns the keys that differ, sorted by path; an added or removed table is a single change.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    changes(old, new)
        .into_iter()
        .map(|(_, change)| change)
        .collect()
}

pub(crate) fn changes(old: &Document, new: &Document) -> Vec<(KeyPath, Change)> {
    sorted_changes(&to_map(old), &to_map(new))
}

/// Returns the keys that differ between two tables, sorted; each with the parts of its path.
#[must_use]
pub fn diff_tables(
    old: &Map<String, Value>,
    new: &Map<String, Value>,
) -> Vec<(Vec<String>, Change)> {
    let changes = sorted_changes(old, new).into_iter();
    changes.map(|(path, change)| (path.0, change)).collect()
}

fn sorted_changes(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<(KeyPath, Change)> {
    let mut found = Vec::new();
    tables(&KeyPath::default(), old, new, &mut found);
    found.sort_by(|(left, _), (right, _)| left.cmp(right));
    found
}

/// Converts the document to a JSON object.
pub(crate) fn to_map(doc: &Document) -> Map<String, Value> {
    match serde_json::to_value(doc) {
        Ok(Value::Object(fields)) => fields,
        other => unreachable!("a document is a table with text keys: {other:?}"),
    }
}

fn tables(
    path: &KeyPath,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    found: &mut Vec<(KeyPath, Change)>,
) {
    for (key, left) in old {
        let path = path.join(key);
        match (left, new.get(key)) {
            (Value::Object(left), Some(Value::Object(right))) => tables(&path, left, right, found),
            (left, Some(right)) if left == right => {}
            (left, right) => found.push(change(path, Some(left), right)),
        }
    }
    for (key, right) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        found.push(change(path.join(key), None, Some(right)));
    }
}

fn change(path: KeyPath, old: Option<&Value>, new: Option<&Value>) -> (KeyPath, Change) {
    let change = Change {
        key: path.to_string(),
        old: old.cloned(),
        new: new.cloned(),
    };
    (path, change)
}
