//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Splitter for the events of one answer, across all attempts of its request.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Events that the last call of [`push`](Self::push) completed.
    completed: u32,
    /// Bytes at the start of `partial` that hold no end of an event.
    searched: usize,
}

/// Size of the longest end of an event: the LF of its last line and an empty line that ends in CRLF.
const MAX_END_BYTES: usize = 3;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

impl EventSplitter {
    /// Returns the identifier of the last event that was returned.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events that the last call of [`push`](Self::push) returned.
    pub(crate) const fn completed(&self) -> u32 {
        self.completed
    }

    /// Discards the incomplete event of an earlier attempt.
    pub(crate) fn discard_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    /// Returns whether the incomplete event is longer than any event may be.
    pub(crate) fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns whether the stream so far ends with a complete event.
    pub(crate) fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Adds bytes of the stream and returns the events that they complete, except those that the
    /// caller already has.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        self.completed = 0;
        while let Some(end) = find_event_end(&self.partial[self.searched..]) {
            let event = self.partial.split_to(self.searched + end);
            self.searched = 0;
            let id = event_id(&event);
            let delivered = id.is_some_and(|id| self.last_id.is_some_and(|last_id| id <= last_id));
            if delivered {
                continue;
            }
            self.last_id = id.or(self.last_id);
            self.completed += 1;
            complete.extend_from_slice(&event);
        }
        // The end of an event may be split between two calls.
        self.searched = self.partial.len().saturating_sub(MAX_END_BYTES - 1);
        complete.freeze()
    }
}

/// Returns the position after the first empty line, which ends in LF or CRLF.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    ends.map(|(at, _)| at + 1)
        .find_map(|next| match bytes[next..] {
            [b'\n', ..] => Some(next + 1),
            [b'\r', b'\n', ..] => Some(next + 2),
            _ => None,
        })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
