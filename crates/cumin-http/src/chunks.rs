//! Decoder of bodies in chunks.
//!
//! The decoder of `actix-http` yields each chunk by itself, so a body in chunks of a few bytes costs
//! far more processor time than its size suggests. This one accepts the same input and yields the
//! data of all chunks that were received, without copying them to another buffer.

use bytes::{Buf as _, Bytes, BytesMut};

/// Part of a body in chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Data of one or more chunks.
    Data(Bytes),
    /// The end of the body.
    End,
    /// More input is needed.
    Incomplete,
}

/// The byte that is expected next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    SizeStart,
    Size,
    SizeSpace,
    Extension,
    SizeLf,
    Data,
    DataCr,
    DataLf,
    Trailer,
    TrailerLf,
    EndCr,
    EndLf,
    End,
}

/// Decoder of one body.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    state: State,
    /// Size of the chunk, or the part of it that is still to be read.
    left: usize,
    fault: Option<&'static str>,
}

impl ChunkDecoder {
    /// Takes the decoded part of `input`, and returns the data in it.
    ///
    /// # Errors
    /// When the framing is malformed; data before that place are returned first.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<Piece, &'static str> {
        let bytes = &mut input[..];
        let (mut at, mut start, mut length) = (0, 0, 0);
        while at < bytes.len() {
            if self.state == State::Data {
                let taken = self.left.min(bytes.len() - at);
                if length == 0 {
                    start = at;
                } else {
                    // Overwrites the framing between two chunks.
                    bytes.copy_within(at..at + taken, start + length);
                }
                at += taken;
                length += taken;
                self.left -= taken;
                if self.left > 0 {
                    break;
                }
                if let Some((size, framing)) = next_size(&bytes[at..]) {
                    self.left = size;
                    at += framing;
                } else {
                    self.state = State::DataCr;
                }
            } else if self.state == State::End || self.fault.is_some() {
                break;
            } else {
                match self.next(bytes[at]) {
                    Ok(state) => self.state = state,
                    Err(fault) => self.fault = Some(fault),
                }
                at += 1;
            }
        }
        if length > 0 {
            let mut data = input.split_to(at);
            data.advance(start);
            data.truncate(length);
            return Ok(Piece::Data(data.freeze()));
        }
        input.advance(at);
        match (self.fault, self.state) {
            (Some(fault), _) => Err(fault),
            (None, State::End) => Ok(Piece::End),
            (None, _) => Ok(Piece::Incomplete),
        }
    }

    /// Returns the state after a byte that is not data.
    fn next(&mut self, byte: u8) -> Result<State, &'static str> {
        if let (State::SizeStart | State::Size, Some(value)) = (self.state, digit(byte)) {
            if self.state == State::SizeStart {
                self.left = 0;
            }
            let size = self.left.checked_mul(16).ok_or("a chunk is too large")?;
            self.left = size + usize::from(value);
            return Ok(State::Size);
        }
        let state = match (self.state, byte) {
            (State::Size | State::SizeSpace, b'\t' | b' ') => State::SizeSpace,
            (State::Size | State::SizeSpace, b';')
            | (State::Extension, b'\t' | b' '..=b'~' | 0x80..) => State::Extension,
            (State::Size | State::SizeSpace | State::Extension, b'\r') => State::SizeLf,
            (State::SizeLf, b'\n') if self.left == 0 => State::EndCr,
            (State::SizeLf, b'\n') => State::Data,
            (State::DataCr, b'\r') => State::DataLf,
            (State::DataLf, b'\n') => State::SizeStart,
            (State::Trailer, b'\r') => State::TrailerLf,
            (State::TrailerLf, b'\n') => State::EndCr,
            (State::EndCr, b'\r') => State::EndLf,
            (State::Trailer | State::EndCr, _) => State::Trailer,
            (State::EndLf, b'\n') => State::End,
            _ => return Err("the framing of a chunk is malformed"),
        };
        Ok(state)
    }
}

/// Reads the usual framing between two chunks: line end, size, line end. Returns the size and the
/// length of the framing, or `None` if there is anything else, which is then read byte by byte.
fn next_size(bytes: &[u8]) -> Option<(usize, usize)> {
    /// Longer sizes, which might overflow, are read byte by byte.
    const MAX_DIGITS: usize = 7;
    if bytes.len() < 5 || bytes[0] != b'\r' || bytes[1] != b'\n' {
        return None;
    }
    let (mut at, mut size) = (2, 0);
    while at < bytes.len().min(2 + MAX_DIGITS) {
        let Some(value) = digit(bytes[at]) else {
            break;
        };
        size = size * 16 + usize::from(value);
        at += 1;
    }
    let is_plain = size > 0 && at + 1 < bytes.len() && bytes[at] == b'\r' && bytes[at + 1] == b'\n';
    is_plain.then_some((size, at + 2))
}

/// Returns the value of a hexadecimal digit.
const fn digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        b'A'..=b'F' => Some(byte - b'A' + 10),
        _ => None,
    }
}
