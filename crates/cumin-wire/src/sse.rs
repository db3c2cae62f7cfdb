//! Server-sent events: an incremental reader and a writer.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of `id:`, when present.
    pub id: Option<String>,
    /// Value of `event:`, when present.
    pub name: Option<String>,
    /// Lines of `data:`, joined by line feeds.
    pub data: String,
}

/// Largest event that the reader collects, bytes; a sender that exceeds it is broken.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// The sender exceeded [`MAX_EVENT_BYTES`] or sent text that is not UTF-8.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Collects bytes and gives back whole events.
#[derive(Debug, Default)]
pub struct Reader {
    pending: Vec<u8>,
    start: usize,
}

impl Reader {
    /// Adds `bytes` as they came from the network.
    ///
    /// # Errors
    /// When an unfinished event grows past the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Malformed> {
        if self.start > 0 {
            self.pending.drain(..self.start);
            self.start = 0;
        }
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES + bytes.len() {
            return Err(Malformed);
        }
        Ok(())
    }

    /// Returns the next whole event, or `None` when more bytes are needed.
    ///
    /// # Errors
    /// When the event is not UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        let rest = &self.pending[self.start..];
        let Some((len, gap)) = event_end(rest) else {
            return Ok(None);
        };
        let text = std::str::from_utf8(&rest[..len]).map_err(|_| Malformed)?;
        let event = parse(text);
        self.start += len + gap;
        Ok(Some(event))
    }
}

/// Finds the blank line that ends an event: the event's length and the length of its end.
fn event_end(bytes: &[u8]) -> Option<(usize, usize)> {
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|&byte| byte == b'\n') {
        let line = at + found;
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
    let mut first = true;
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = Some(value.into()),
            "event" => event.name = Some(value.into()),
            "data" => {
                if !first {
                    event.data.push('\n');
                }
                event.data.push_str(value);
                first = false;
            }
            _ => {}
        }
    }
    event
}

/// Appends an event to `out`.
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
