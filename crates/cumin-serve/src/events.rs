//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Splitter for the events of one answer, across all attempts of its request.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    /// Events that the last call of [`push`](Self::push) completed.
    completed: u32,
}

const EVENT_END: &[u8] = b"\n\n";

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
        while let Some(end) = find_event_end(&self.partial) {
            let event = self.partial.split_to(end + EVENT_END.len());
            let id = event_id(&event);
            let delivered = id.is_some_and(|id| self.last_id.is_some_and(|last_id| id <= last_id));
            if delivered {
                continue;
            }
            self.last_id = id.or(self.last_id);
            self.completed += 1;
            complete.extend_from_slice(&event);
        }
        complete.freeze()
    }
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes
        .windows(EVENT_END.len())
        .position(|pair| pair == EVENT_END)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
