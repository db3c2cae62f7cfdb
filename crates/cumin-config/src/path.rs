//! Paths of keys.

use std::fmt;

use toml::de::{DeTable, DeValue};

/// Keys from the root to a value; an element of a list is written `[n]`, from 0.
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

    pub(crate) fn index(&self, at: usize) -> Self {
        self.join(format!("[{at}]"))
    }

    /// Returns whether one of both paths contains the other.
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        self.0.starts_with(&other.0) || other.0.starts_with(&self.0)
    }

    /// Reads a dotted key as TOML writes it.
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
        for (at, part) in self.0.iter().enumerate() {
            if at > 0 && !part.starts_with('[') {
                f.write_str(".")?;
            }
            let bare = |c: char| c.is_ascii_alphanumeric() || "-_[]".contains(c);
            if part.is_empty() || !part.chars().all(bare) {
                write!(f, "{part:?}")?;
            } else {
                f.write_str(part)?;
            }
        }
        Ok(())
    }
}
