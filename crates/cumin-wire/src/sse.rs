//! Server-sent events: an incremental reader and a writer.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if present.
    pub id: Option<String>,
    /// Value of the `event` field, if present.
    pub name: Option<String>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// Maximum size of an event, bytes; a sender that exceeds it is considered faulty.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error of a sender that exceeded [`MAX_EVENT_BYTES`] or sent text that is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Incremental parser that buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct Reader {
    pending: Vec<u8>,
    consumed: usize,
}

impl Reader {
    /// Appends `bytes` as received from the network.
    ///
    /// # Errors
    /// When the bytes buffered before this call exceed [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Malformed> {
        if self.consumed > 0 {
            self.pending.drain(..self.consumed);
            self.consumed = 0;
        }
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES + bytes.len() {
            return Err(Malformed);
        }
        Ok(())
    }

    /// Returns the next complete event, or `None` when more bytes are needed.
    ///
    /// # Errors
    /// When the event is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        let rest = &self.pending[self.consumed..];
        let Some((len, terminator)) = event_end(rest) else {
            return Ok(None);
        };
        let text = std::str::from_utf8(&rest[..len]).map_err(|_| Malformed)?;
        let event = parse(text);
        self.consumed += len + terminator;
        Ok(Some(event))
    }
}

/// Finds the blank line that ends an event; returns the length of the event and of its terminator.
fn event_end(bytes: &[u8]) -> Option<(usize, usize)> {
    let mut at = 0;
    while let Some(offset) = bytes[at..].iter().position(|&byte| byte == b'\n') {
        let line = at + offset;
        match &bytes[line + 1..] {
            [b'\n', ..] => return Some((line, 2)),
            [b'\r', b'\n', ..] => return Some((line, 3)),
            _ => at = line + 1,
        }
    }
    None
}

fn parse(text: &str) -> Event {
    let mut event = Event::default();
    let mut first_line = true;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value.into()),
            "event" => event.name = Some(value.into()),
            "data" => {
                if !first_line {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                first_line = false;
            }
            _ => {}
        }
    }
    event
}

/// Appends an event to `out` in wire format.
pub fn write(out: &mut Vec<u8>, id: Option<u64>, name: Option<&str>, data: &str) {
    if let Some(id) = id {
        out.extend_from_slice(format!("id: {id}\n").as_bytes());
    }
    if let Some(name) = name {
        out.extend_from_slice(format!("event: {name}\n").as_bytes());
    }
    for line in data.split('\n') {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(line.as_bytes());
        out.push(b'\n');
    }
    out.push(b'\n');
}
