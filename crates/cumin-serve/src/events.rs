//! Splits a stream of server-sent events into complete events.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use bytes::{Bytes, BytesMut};

/// Splitter for the events of one answer, across all attempts of its request.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Hash of the data of the event with `last_id`.
    last_data: u64,
    /// Whether an event with data but without an identifier was returned.
    unnumbered: bool,
    /// Events that the last call of [`push`](Self::push) completed.
    completed: u32,
    /// Bytes at the start of `partial` that hold no end of an event.
    searched: usize,
    /// Whether an attempt broke off within an event that was not returned since.
    owed: bool,
    /// Why no more events of this attempt are returned.
    fault: Option<&'static str>,
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
        let last_line = self.partial.iter().rposition(|byte| *byte == b'\n');
        let id = last_line.and_then(|end| event_id(&self.partial[..end]));
        // A resumption may break off within its copy of the last event, which the caller has.
        let is_copy = id.is_some() && id == self.last_id;
        self.owed |= self.fault.is_none() && may_hold_event(&self.partial) && !is_copy;
        self.partial.clear();
        self.searched = 0;
        self.fault = None;
    }

    /// Returns whether the caller has an event that a resumption could repeat: one without an
    /// identifier.
    pub(crate) const fn is_unnumbered(&self) -> bool {
        self.unnumbered
    }

    /// Returns why the rest of this attempt's stream must not be forwarded, if so.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        let oversized = self.partial.len() > MAX_EVENT_BYTES;
        self.fault
            .or_else(|| oversized.then_some("an event without end"))
    }

    /// Returns why the stream is not complete if it ends here.
    pub(crate) fn end_fault(&self) -> Option<&'static str> {
        if !self.partial.is_empty() {
            Some("the stream ends within an event")
        } else if self.owed {
            Some("the stream ends before an event that had begun")
        } else {
            None
        }
    }

    /// Adds bytes of the stream and returns the events that they complete, except a copy of the last
    /// one that the caller has, up to the first fault.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut complete = BytesMut::new();
        self.completed = 0;
        while let Some(end) = find_event_end(&self.partial[self.searched..]) {
            let event = self.partial.split_to(self.searched + end);
            self.searched = 0;
            let id = event_id(&event);
            if !is_event(&event) {
                self.fault = Some("text that is no event");
            } else if id.is_some() && id < self.last_id {
                // Also the start of a resumption that does not go on at the last event.
                self.fault = Some("the events of another run");
            } else if id.is_some() && id == self.last_id && data_hash(&event) != self.last_data {
                self.fault = Some("another event with the last identifier");
            }
            if self.fault.is_some() {
                break;
            }
            self.unnumbered |= id.is_none() && has_data(&event);
            if id.is_some() && id == self.last_id {
                // A resumption may begin with the event that the caller has last.
                continue;
            }
            self.owed &= !has_data(&event);
            if id.is_some() {
                self.last_id = id;
                self.last_data = data_hash(&event);
            }
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

/// Returns whether text up to an empty line may be an event: it has a field of an event or a
/// comment, and neither a NUL nor the status line of an answer that follows the stream.
fn is_event(text: &[u8]) -> bool {
    const FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];
    let lines = || {
        let lines = text.split(|byte| *byte == b'\n');
        lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
    };
    let is_field = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        FIELDS.contains(&name) || line.starts_with(b":")
    };
    let is_known = lines().any(is_field) || lines().all(<[u8]>::is_empty);
    is_known && !text.contains(&0) && !lines().any(|line| line.starts_with(b"HTTP/1."))
}

/// Returns whether the beginning of an event is more than comments.
fn may_hold_event(partial: &[u8]) -> bool {
    let mut lines = partial.split(|byte| *byte == b'\n');
    lines.any(|line| !line.trim_ascii().is_empty() && !line.starts_with(b":"))
}

fn data_lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.filter(|line| line.starts_with(b"data"))
}

fn has_data(event: &[u8]) -> bool {
    data_lines(event).next().is_some()
}

/// Returns a hash of the data lines; other lines, such as versions of weights, may differ between
/// copies of an event.
fn data_hash(event: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for line in data_lines(event) {
        line.strip_suffix(b"\r").unwrap_or(line).hash(&mut hasher);
    }
    hasher.finish()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
