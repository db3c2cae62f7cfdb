//! Conversion of TOML text to a JSON value, with the line of each key.

use std::collections::HashMap;
use std::ops::Range;

use serde_json::{Map, Number, Value};
use toml::Spanned;
use toml::de::{DeInteger, DeTable, DeValue};

use crate::path::KeyPath;
use crate::problem::Problem;

// Longer values would fill the operator's terminal.
const MAX_SHOWN_CHARS: usize = 60;

/// A parsed TOML text.
pub(crate) struct Source<'a> {
    text: &'a str,
    key_spans: HashMap<KeyPath, Range<usize>>,
    value_spans: HashMap<KeyPath, Range<usize>>,
    /// Whether keys that are missing in this text may come from another one.
    partial: bool,
}

impl<'a> Source<'a> {
    /// Parses `text`.
    ///
    /// Values that JSON can't represent (dates, infinities, integers over 64 bits) become null,
    /// which no schema accepts.
    ///
    /// # Errors
    /// All syntax errors, sorted by line.
    pub(crate) fn read(
        text: &'a str,
        partial: bool,
    ) -> Result<(Self, Value, Vec<Problem>), Vec<Problem>> {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut source = Self {
            text,
            key_spans: HashMap::new(),
            value_spans: HashMap::new(),
            partial,
        };
        let mut problems: Vec<Problem> = errors
            .iter()
            .map(|error| source.syntax_problem(error))
            .collect();
        problems.sort();
        // After a duplicate key the rest of the text is still parsed as written; after any other
        // syntax error, keys may end up in the wrong table.
        if errors.iter().any(|error| !is_duplicate_key(error)) {
            return Err(problems);
        }
        let value = source.convert_table(&KeyPath::default(), root.get_ref());
        Ok((source, value, problems))
    }

    /// Returns the line of `path`, or of its nearest ancestor in the text.
    pub(crate) fn line(&self, path: &KeyPath) -> Option<usize> {
        let mut path = path.clone();
        while !path.0.is_empty() {
            if let Some(span) = self.key_spans.get(&path) {
                return Some(self.line_at(span.start));
            }
            path.0.pop();
        }
        (!self.partial).then_some(1)
    }

    /// Returns `value` as written in the text; values of secrets and key digests are not shown.
    pub(crate) fn shown(&self, path: &KeyPath, value: &Value) -> String {
        let is_hidden = |part: &String| part == "secret" || part == "key_digests";
        match value {
            Value::Object(_) => return "a table".into(),
            Value::Array(items) => return format!("a list of {}", items.len()),
            _ if path.0.iter().any(is_hidden) => {
                let count = value.as_str().map_or(0, |text| text.chars().count());
                return format!("a text of {count} characters (not shown)");
            }
            _ => {}
        }
        let text = match self.value_spans.get(path) {
            Some(span) => self.text[span.clone()].to_string(),
            None => value.to_string(),
        };
        let short: String = text.chars().take(MAX_SHOWN_CHARS).collect();
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

    // The invalid text itself is not shown, because it may be a secret.
    fn syntax_problem(&self, error: &toml::de::Error) -> Problem {
        let span = error.span().unwrap_or_default();
        let key = if is_duplicate_key(error) {
            self.duplicate_key_path(&span)
        } else {
            "(syntax)".into()
        };
        let accepted = if is_duplicate_key(error) {
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

    /// Returns the path of a duplicate key, derived from the lines before it.
    ///
    /// The parser keeps only the first of two equal keys, so the parsed table lacks the second.
    fn duplicate_key_path(&self, span: &Range<usize>) -> String {
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

    fn convert_table(&mut self, path: &KeyPath, table: &DeTable<'_>) -> Value {
        let mut fields = Map::new();
        for (key, value) in table {
            let path = path.join(key.get_ref().as_ref());
            self.key_spans.insert(path.clone(), key.span());
            let value = self.convert_value(&path, value);
            fields.insert(key.get_ref().to_string(), value);
        }
        Value::Object(fields)
    }

    fn convert_value(&mut self, path: &KeyPath, value: &Spanned<DeValue<'_>>) -> Value {
        self.value_spans.insert(path.clone(), value.span());
        match value.get_ref() {
            DeValue::String(text) => Value::String(text.to_string()),
            DeValue::Integer(number) => integer(number).map_or(Value::Null, Value::from),
            DeValue::Float(number) => {
                let number = number.as_str().parse::<f64>().ok();
                // Adding zero turns a negative zero, which would have another digest, into zero.
                let number = number.and_then(|number| Number::from_f64(number + 0.0));
                number.map_or(Value::Null, Value::Number)
            }
            DeValue::Boolean(flag) => Value::Bool(*flag),
            DeValue::Datetime(_) => Value::Null,
            DeValue::Array(items) => {
                let items = items.iter().enumerate().map(|(index, item)| {
                    let path = path.index(index);
                    self.key_spans.insert(path.clone(), item.span());
                    self.convert_value(&path, item)
                });
                Value::Array(items.collect())
            }
            DeValue::Table(table) => self.convert_table(path, table),
        }
    }
}

fn integer(number: &DeInteger<'_>) -> Option<i64> {
    i64::from_str_radix(number.as_str(), number.radix()).ok()
}

fn is_duplicate_key(error: &toml::de::Error) -> bool {
    error.message().starts_with("duplicate key")
}
