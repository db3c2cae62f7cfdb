//! Parts of prompts, and which of them endpoints are assumed to have cached.

use std::collections::{HashMap, VecDeque};
use std::fmt;

use cumin_types::EndpointName;
use serde::{Deserialize, Serialize};

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Identifier of the content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Returns the parts that other prompts may share: all but the last one.
#[must_use]
pub fn shared_parts(parts: &[Part]) -> &[Part] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Formats the identifiers of parts for a log line.
#[derive(Clone, Copy, Debug)]
pub struct PartList<'a>(pub &'a [Part]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (index, part) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{:x}", part.id)?;
        }
        Ok(())
    }
}

/// A prompt part that was sent to an endpoint, as stated to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SentPart {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The part.
    pub part: Part,
}

/// Prompt parts that an endpoint is assumed to have cached, evicted in least recently used order.
#[derive(Debug, Default)]
pub(super) struct Cache {
    /// Token count and latest stamp of each part, by its identifier.
    parts: HashMap<u64, (u32, u64)>,
    /// Identifier and stamp of each use, oldest first.
    order: VecDeque<(u64, u64)>,
    tokens: u64,
    stamp: u64,
}

impl Cache {
    pub(super) fn touch(&mut self, part: Part, capacity: u64) {
        self.stamp += 1;
        let old = self.parts.insert(part.id, (part.tokens, self.stamp));
        if old.is_none() {
            self.tokens += u64::from(part.tokens);
        }
        self.order.push_back((part.id, self.stamp));
        while self.tokens > capacity || self.order.len() > 4 * self.parts.len() + 16 {
            let Some((id, stamp)) = self.order.pop_front() else {
                break;
            };
            if self
                .parts
                .get(&id)
                .is_some_and(|(_, newest)| *newest == stamp)
                && let Some((tokens, _)) = self.parts.remove(&id)
            {
                self.tokens -= u64::from(tokens);
            }
        }
    }

    /// Returns the tokens of the longest cached prefix.
    pub(super) fn cached_prefix(&self, parts: &[Part]) -> u64 {
        let cached = parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        cached.map(|part| u64::from(part.tokens)).sum()
    }
}
