//! TOML text as a JSON value with the line of each key.

use std::collections::HashMap;
use std::ops::Range;

use serde_json::{Map, Number, Value};
use toml::Spanned;
use toml::de::{DeInteger, DeTable, DeValue};

use crate::path::KeyPath;
use crate::problem::Problem;

// Longer values would fill the operator's screen.
const SHOWN_CHARS: usize = 60;

/// A text that was read.
pub(crate) struct Source<'a> {
    text: &'a str,
    spans: HashMap<KeyPath, Range<usize>>,
    values: HashMap<KeyPath, Range<usize>>,
    /// Whether keys that are not in the text could be in another one.
    partial: bool,
}

impl<'a> Source<'a> {
    /// Reads `text`.
    ///
    /// Values that JSON doesn't have (dates, infinities, integers over 64 bits) become null, which
    /// no schema accepts.
    ///
    /// # Errors
    /// Faults of syntax, by line.
    pub(crate) fn read(
        text: &'a str,
        partial: bool,
    ) -> Result<(Self, Value, Vec<Problem>), Vec<Problem>> {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut source = Self {
            text,
            spans: HashMap::new(),
            values: HashMap::new(),
            partial,
        };
        let mut problems: Vec<Problem> = errors.iter().map(|error| source.syntax(error)).collect();
        problems.sort();
        // After a repeated key the rest of the text is still read as written; after any other
        // fault, tables and keys can be in the wrong place.
        if errors.iter().any(|error| !is_repeat(error)) {
            return Err(problems);
        }
        let value = source.table(&KeyPath::default(), root.get_ref());
        Ok((source, value, problems))
    }

    /// Returns the line of `path`, or of the nearest key above it.
    pub(crate) fn line(&self, path: &KeyPath) -> Option<usize> {
        let mut path = path.clone();
        while !path.0.is_empty() {
            if let Some(span) = self.spans.get(&path) {
                return Some(self.line_at(span.start));
            }
            path.0.pop();
        }
        (!self.partial).then_some(1)
    }

    /// Returns `value` as the text has it; secrets and digests that are none are not shown.
    pub(crate) fn shown(&self, path: &KeyPath, value: &Value) -> String {
        let hidden = |part: &String| part == "secret" || part == "key_digests";
        match value {
            Value::Object(_) => return "a table".into(),
            Value::Array(items) => return format!("a list of {}", items.len()),
            _ if path.0.iter().any(hidden) => {
                let count = value.as_str().map_or(0, |text| text.chars().count());
                return format!("a text of {count} characters (not shown)");
            }
            _ => {}
        }
        let text = match self.values.get(path) {
            Some(span) => self.text[span.clone()].to_string(),
            None => value.to_string(),
        };
        let short: String = text.chars().take(SHOWN_CHARS).collect();
        if short.len() < text.len() {
            format!("{short}…")
        } else {
            short
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        before.split(|&byte| byte == b'\n').count()
    }

    // The faulty text itself is not shown, as it could be a secret.
    fn syntax(&self, error: &toml::de::Error) -> Problem {
        let span = error.span().unwrap_or_default();
        let key = if is_repeat(error) {
            self.written_path(&span)
        } else {
            "(syntax)".into()
        };
        let accepted = if is_repeat(error) {
            "each name and key once in its table"
        } else {
            "TOML"
        };
        Problem {
            line: Some(self.line_at(span.start)),
            key,
            value: error.message().into(),
            accepted: accepted.into(),
        }
    }

    /// Returns the path of a repeated key from the lines around it.
    ///
    /// The parser keeps only the first of two equal keys, so the path isn't in the parsed table.
    fn written_path(&self, span: &Range<usize>) -> String {
        let key = self.text.get(span.clone()).unwrap_or_default().trim();
        let before = self.text.get(..span.start).unwrap_or_default();
        let (above, line) = before.rsplit_once('\n').unwrap_or(("", before));
        let line = line.trim_start();
        if let Some(outer) = line.strip_prefix('[') {
            return format!("{}{key}", outer.trim_start_matches('['));
        }
        let mut parts = Vec::new();
        let mut headers = above.lines().rev().map(str::trim_start);
        if let Some(header) = headers.find_map(|line| line.strip_prefix('[')) {
            let header = header.trim_start_matches('[');
            parts.push(header.split(']').next().unwrap_or_default().trim());
        }
        if let Some((outer, _)) = line.split_once('=') {
            parts.push(outer.trim());
        }
        parts.push(key);
        parts.join(".")
    }

    fn table(&mut self, path: &KeyPath, table: &DeTable<'_>) -> Value {
        let mut fields = Map::new();
        for (key, value) in table {
            let path = path.join(key.get_ref().as_ref());
            self.spans.insert(path.clone(), key.span());
            let value = self.value(&path, value);
            fields.insert(key.get_ref().to_string(), value);
        }
        Value::Object(fields)
    }

    fn value(&mut self, path: &KeyPath, value: &Spanned<DeValue<'_>>) -> Value {
        self.values.insert(path.clone(), value.span());
        match value.get_ref() {
            DeValue::String(text) => Value::String(text.to_string()),
            DeValue::Integer(number) => integer(number).map_or(Value::Null, Value::from),
            DeValue::Float(number) => {
                let number = number.as_str().parse::<f64>().ok();
                // The sum turns a negative zero, which has another digest, into zero.
                let number = number.and_then(|number| Number::from_f64(number + 0.0));
                number.map_or(Value::Null, Value::Number)
            }
            DeValue::Boolean(flag) => Value::Bool(*flag),
            DeValue::Datetime(_) => Value::Null,
            DeValue::Array(items) => {
                let items = items.iter().enumerate().map(|(at, item)| {
                    let path = path.index(at);
                    self.spans.insert(path.clone(), item.span());
                    self.value(&path, item)
                });
                Value::Array(items.collect())
            }
            DeValue::Table(table) => self.table(path, table),
        }
    }
}

fn integer(number: &DeInteger<'_>) -> Option<i64> {
    i64::from_str_radix(number.as_str(), number.radix()).ok()
}

fn is_repeat(error: &toml::de::Error) -> bool {
    error.message().starts_with("duplicate key")
}
