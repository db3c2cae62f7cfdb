//! Minimal HTTP/1.1: messages of the stand-ins, and answers as a caller sees them.

use std::io::{self, Read};
use std::net::TcpStream;

/// A request, or an answer that was read to its end.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path with the query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns the value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }
}

/// Why a message could not be read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// The channel ended before a byte of the message.
    Closed,
    /// The channel ended, failed or timed out within the message; what was read of it.
    Cut(Box<Message>, String),
    /// Bytes that are no message; what was read of it, and the bytes.
    Invalid(Box<Message>, String),
}

/// Reads one message; `buffer` keeps bytes that follow it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Result<Message, ReadError> {
    let mut message = Message::default();
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end;
        }
        match fill(stream, buffer) {
            Ok(0) if buffer.is_empty() => return Err(ReadError::Closed),
            Ok(0) => return Err(ReadError::Cut(message.into(), "end of file".into())),
            Ok(_) => {}
            Err(_) if buffer.is_empty() => return Err(ReadError::Closed),
            Err(error) => return Err(ReadError::Cut(message.into(), error.to_string())),
        }
    };
    let head: Vec<u8> = buffer.drain(..end + 4).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    message.start = lines.next().unwrap_or_default().to_owned();
    if !message.start.contains("HTTP/1.") {
        let text = message.start.clone();
        return Err(ReadError::Invalid(message.into(), text));
    }
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let pair = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(pair);
    }
    let chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message
        .header("content-length")
        .and_then(|n| n.parse().ok());
    if !chunked {
        let length: usize = length.unwrap_or(0);
        if let Err(error) = fill_to(stream, buffer, length) {
            message.body = std::mem::take(buffer);
            return Err(ReadError::Cut(message.into(), error.to_string()));
        }
        message.body = buffer.drain(..length).collect();
        return Ok(message);
    }
    loop {
        let end = loop {
            if let Some(end) = find(buffer, b"\r\n") {
                break end;
            }
            if let Err(error) = fill_to(stream, buffer, buffer.len() + 1) {
                return Err(ReadError::Cut(message.into(), error.to_string()));
            }
        };
        let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return Err(ReadError::Invalid(message.into(), line));
        };
        if let Err(error) = fill_to(stream, buffer, end + 2 + size + 2) {
            return Err(ReadError::Cut(message.into(), error.to_string()));
        }
        message
            .body
            .extend_from_slice(&buffer[end + 2..end + 2 + size]);
        buffer.drain(..end + 2 + size + 2);
        if size == 0 {
            return Ok(message);
        }
    }
}

/// Encodes an answer with a length.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 64 * 1024];
    let count = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count)
}

fn fill_to(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<()> {
    while buffer.len() < length {
        if fill(stream, buffer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}
