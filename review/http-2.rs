//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which a socket that makes no progress is given up.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(20);

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        let target = self.start.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.start.split(' ').nth(1)?.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }
}

/// Reads one message; `Ok(None)` if the connection ends before it begins.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at;
        }
        if fill(stream, buffer)? == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        read_chunks(stream, buffer, &mut message.body)?;
        return Ok(Some(message));
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if fill(stream, buffer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let end = loop {
            if let Some(at) = find(buffer, b"\r\n") {
                break at;
            }
            if fill(stream, buffer)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        buffer.drain(..end + 2);
        while buffer.len() < size + 2 {
            if fill(stream, buffer)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend(buffer.drain(..size));
        buffer.drain(..2);
        if size == 0 {
            return Ok(());
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut bytes = [0; 16 * 1024];
    let length = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..length]);
    Ok(length)
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Connects within `limit`.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SOCKET_TIMEOUT))?;
    stream.set_write_timeout(Some(SOCKET_TIMEOUT))?;
    Ok(stream)
}

/// Sends a request on a new connection and reads its answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8]) -> io::Result<Message> {
    let mut stream = connect(address, Duration::from_secs(1))?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
