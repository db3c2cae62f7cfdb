//! Key paths of TOML values.

use std::fmt;

use toml::de::{DeTable, DeValue};

/// Keys from the root to a value; `[n]` stands for an element of a list, counted from 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct KeyPath(pub(crate) Vec<String>);

impl KeyPath {
    pub(crate) fn of(parts: &[&str]) -> Self {
        Self(parts.iter().map(ToString::to_string).collect())
    }

    pub(crate) fn join(&self, part: impl Into<String>) -> Self {
        let mut parts = self.0.clone();
        parts.push(part.into());
        Self(parts)
    }

    pub(crate) fn index(&self, index: usize) -> Self {
        self.join(format!("[{index}]"))
    }

    /// Returns whether the paths are equal or one is an ancestor of the other.
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0) || other.0.starts_with(&self.0)
    }

    /// Parses a dotted key in TOML notation.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        if text.contains(['\n', '\r', '#']) {
            return None;
        }
        let line = format!("{text}=0");
        let root = DeTable::parse(&line).ok()?.into_inner();
        let mut parts = Vec::new();
        let mut table = &root;
        loop {
            let (key, value) = table.iter().next()?;
            parts.push(key.get_ref().to_string());
            match value.get_ref() {
                DeValue::Table(inner) => table = inner,
                DeValue::Integer(_) => return Some(Self(parts)),
                _ => return None,
            }
        }
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            if index > 0 && !part.starts_with('[') {
                f.write_str(".")?;
            }
            let is_bare = |c: char| c.is_ascii_alphanumeric() || "-_[]".contains(c);
            if part.is_empty() || !part.chars().all(is_bare) {
                write!(f, "{part:?}")?;
            } else {
                f.write_str(part)?;
            }
        }
        Ok(())
    }
}
