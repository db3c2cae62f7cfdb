//! Validation of keys, types and ranges against the JSON schema.
//!
//! The schema that editors use is the only definition of what a key accepts. An invalid value is
//! reported and then replaced by a placeholder, so that the consistency checks between keys can run
//! as well and the operator sees all problems at once.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::{Map, Value};

use crate::path::KeyPath;
use crate::pattern;
use crate::problem::Problem;
use crate::source::Source;

/// Validator that reports invalid values and replaces them by placeholders.
pub(crate) struct Validator<'a> {
    pub(crate) source: &'a Source<'a>,
    pub(crate) problems: Vec<Problem>,
    /// Paths of invalid or missing values, whose consequences are not reported as further problems.
    pub(crate) invalid: Vec<KeyPath>,
}

impl Validator<'_> {
    pub(crate) fn check(&mut self, path: &KeyPath, value: &mut Value, schema: &Value) {
        let accepted = describe(path, schema);
        let enum_texts = enum_texts(schema);
        if !enum_texts.is_empty() {
            if !value
                .as_str()
                .is_some_and(|text| enum_texts.contains(&text))
            {
                self.replace(path, value, schema, accepted);
            }
            return;
        }
        match (text(schema, "type"), &mut *value) {
            ("object", Value::Object(fields)) => self.object(path, fields, schema),
            ("array", Value::Array(items)) => self.array(path, items, schema),
            ("string", Value::String(given)) => {
                let min_chars = schema["minLength"].as_u64().unwrap_or(0);
                let count = u64::try_from(given.chars().count()).unwrap_or(u64::MAX);
                let pattern = text(schema, "pattern");
                if count < min_chars || !(pattern.is_empty() || pattern::matches(pattern, given).0)
                {
                    self.replace(path, value, schema, accepted);
                }
            }
            ("integer" | "number", Value::Number(given)) => {
                let is_integer = given.as_i64().is_some();
                let number = given.as_f64().unwrap_or(f64::NAN);
                let from = schema["minimum"].as_f64().unwrap_or(f64::MIN);
                let to = schema["maximum"].as_f64().unwrap_or(f64::MAX);
                if (text(schema, "type") == "integer" && !is_integer)
                    || !(from..=to).contains(&number)
                {
                    self.replace(path, value, schema, accepted);
                }
            }
            ("boolean", Value::Bool(_)) => {}
            _ => self.replace(path, value, schema, accepted),
        }
    }

    fn object(&mut self, path: &KeyPath, fields: &mut Map<String, Value>, schema: &Value) {
        let empty = Map::new();
        let known = schema["properties"].as_object().unwrap_or(&empty);
        let additional = schema
            .get("additionalProperties")
            .filter(|additional| additional.is_object());
        let names = text(&schema["propertyNames"], "pattern");
        let mut unknown = Vec::new();
        for (key, value) in fields.iter_mut() {
            let path = path.join(key);
            match (known.get(key), additional) {
                (Some(schema), _) => self.check(&path, value, schema),
                (None, Some(schema)) => {
                    let (valid, accepted) = pattern::matches(names, key);
                    if !valid {
                        self.report(&path, format!("the name {key:?}"), accepted.into());
                        self.invalid.push(path.clone());
                    }
                    self.check(&path, value, schema);
                }
                (None, None) => unknown.push(key.clone()),
            }
        }
        for key in unknown {
            let keys: Vec<&str> = known.keys().map(String::as_str).collect();
            self.report(
                &path.join(&key),
                "an unknown key".into(),
                format!("one of {}", keys.join(", ")),
            );
            fields.remove(&key);
        }
        for key in schema["required"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
        {
            if !fields.contains_key(key) {
                let path = path.join(key);
                self.report(&path, "nothing".into(), describe(&path, &known[key]));
                self.invalid.push(path);
                fields.insert(key.into(), placeholder(&known[key]));
            }
        }
        let least = schema["minProperties"].as_u64().unwrap_or(0);
        if least > 0 && fields.is_empty() {
            self.report(path, "an empty table".into(), "at least one entry".into());
            self.invalid.push(path.clone());
        }
    }

    fn array(&mut self, path: &KeyPath, items: &mut Vec<Value>, schema: &Value) {
        if items.is_empty() && schema["minItems"].as_u64().unwrap_or(0) > 0 {
            self.report(path, "an empty list".into(), "at least one entry".into());
            self.invalid.push(path.clone());
        }
        let mut seen = BTreeSet::new();
        for (at, item) in items.iter_mut().enumerate() {
            let path = path.index(at);
            if schema["uniqueItems"] == true && !seen.insert(item.to_string()) {
                let found = self.source.shown(&path, item);
                self.report(&path, found, "each entry once".into());
            }
            self.check(&path, item, &schema["items"]);
        }
        let is_invalid = |at| {
            self.invalid
                .iter()
                .any(|invalid| path.index(at).overlaps(invalid))
        };
        let keep: Vec<bool> = (0..items.len()).map(|at| !is_invalid(at)).collect();
        if keep.contains(&false) {
            let mut keep = keep.into_iter();
            items.retain(|_| keep.next().unwrap_or(true));
            self.invalid.push(path.clone());
        }
    }

    fn replace(&mut self, path: &KeyPath, value: &mut Value, schema: &Value, accepted: String) {
        let found = self.source.shown(path, value);
        self.report(path, found, accepted);
        self.invalid.push(path.clone());
        *value = placeholder(schema);
    }

    fn report(&mut self, path: &KeyPath, value: String, accepted: String) {
        self.problems.push(Problem {
            line: self.source.line(path),
            key: path.to_string(),
            value,
            accepted,
        });
    }
}

/// Returns the accepted texts of an enumeration, or none for other types.
fn enum_texts(schema: &Value) -> Vec<&str> {
    let listed = schema["enum"].as_array().into_iter().flatten();
    let each = schema["oneOf"].as_array().into_iter().flatten();
    listed
        .filter_map(Value::as_str)
        .chain(each.filter_map(|option| option["const"].as_str()))
        .collect()
}

/// Describes the values that the schema accepts at `path`.
fn describe(path: &KeyPath, schema: &Value) -> String {
    let enum_texts = enum_texts(schema);
    if !enum_texts.is_empty() {
        return format!("one of {enum_texts:?}").replace(['[', ']'], "");
    }
    match text(schema, "type") {
        "object" => "a table".into(),
        "array" => format!("a list, each entry {}", describe(path, &schema["items"])),
        "string" => match (text(schema, "pattern"), schema["minLength"].as_u64()) {
            ("", None) => "a text in quotes".into(),
            ("", Some(1)) => "a text in quotes, not empty".into(),
            ("", Some(least)) => format!("a text in quotes of at least {least} characters"),
            (pattern, _) => pattern::matches(pattern, "").1.into(),
        },
        "boolean" => "true or false".into(),
        kind => {
            let noun = if kind == "integer" {
                "a whole number"
            } else {
                "a number"
            };
            let mut text = noun.to_string();
            for (word, bound) in [("from", "minimum"), ("to", "maximum")] {
                if let Some(bound) = schema[bound].as_f64() {
                    let _ = write!(text, " {word} {bound}");
                }
            }
            text + unit(path)
        }
    }
}

/// Returns the unit that the suffix of the key stands for.
fn unit(path: &KeyPath) -> &'static str {
    let units = [
        ("_ms", ", in milliseconds"),
        ("_s", ", in seconds"),
        ("_gib", ", in GiB"),
        ("_bytes", ", in bytes"),
        ("per_hour", ", in currency units an hour"),
    ];
    let key = path.0.iter().rev().find(|part| !part.starts_with('['));
    let unit = units
        .iter()
        .find(|(end, _)| key.is_some_and(|key| key.ends_with(end)));
    unit.map_or("", |(_, unit)| unit)
}

/// Returns a value that can be deserialised in place of an invalid or missing one.
fn placeholder(schema: &Value) -> Value {
    if let Some(first) = enum_texts(schema).first() {
        return Value::from(*first);
    }
    match text(schema, "type") {
        "object" => {
            let required = schema["required"].as_array().into_iter().flatten();
            let keys = required.filter_map(Value::as_str);
            let field = |key: &str| (key.to_string(), placeholder(&schema["properties"][key]));
            Value::Object(keys.map(field).collect())
        }
        "array" => Value::Array(Vec::new()),
        "string" => Value::from(match text(schema, "pattern") {
            pattern::DIGEST => "0".repeat(64),
            pattern::ADDRESS => "0.0.0.0:0".into(),
            _ => String::new(),
        }),
        "boolean" => Value::Bool(false),
        _ => schema
            .get("minimum")
            .cloned()
            .unwrap_or_else(|| Value::from(0)),
    }
}

fn text<'a>(schema: &'a Value, key: &str) -> &'a str {
    schema[key].as_str().unwrap_or_default()
}
