//! HTTP/1.1 connection to an endpoint, without pipelining.
//!
//! An endpoint can answer twice, late, partially or without a length, and bytes after a complete
//! answer belong to no request, so the reuse of each connection must be decided here. The pool of
//! `awc` decides that itself; this module uses the codec of `actix-http` on a plain socket instead.

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode,
    Uri, Version,
};
use bytes::{Buf as _, Bytes, BytesMut};
use cumin_types::Millis;
use derive_more::{Display, Error};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::chunks::{ChunkDecoder, Piece};

/// Returns whether an answer with this status may have a body. The encoder leaves out the framing
/// header of the others, but not the bytes of a body or of its last chunk.
#[must_use]
pub const fn has_body(status: StatusCode) -> bool {
    !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Errors of an exchange that yielded no complete answer.
#[derive(Debug, Display, Error)]
pub enum AnswerError {
    /// The connection was closed or failed.
    #[display("the connection ended: {_0}")]
    Closed(io::Error),
    /// The endpoint sent bytes that are not a valid answer.
    #[display("the answer can't be read: {_0}")]
    Malformed(#[error(not(source))] String),
    /// A stream made no progress for longer than its caller waits.
    #[display("no event for {_0} ms")]
    Stalled(#[error(not(source))] Millis),
}

/// Informational answers that are skipped before one answer.
const MAX_INFORMATIONAL: usize = 16;

/// Answers to other requests that are skipped before one answer.
const MAX_STRAY_ANSWERS: usize = 4;

/// Maximum size of the body of such an answer.
const MAX_STRAY_BYTES: usize = 1024 * 1024;

/// Maximum number of bytes between two pieces of a body: sizes of chunks, extensions and trailers.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

/// Sizes of the first read of a connection, which most heads fit in, and of the largest one. A size
/// that was filled is doubled for the next read.
const READ_BYTES: RangeInclusive<usize> = 512..=16 * 1024;

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    input: BytesMut,
    /// Size of the next read.
    read_size: usize,
    /// Unwritten part of a request's head.
    output: BytesMut,
    /// Unwritten part of a request's body. It shares the memory of the caller's body.
    body: Bytes,
    /// Whether the connection must not be reused for another request.
    unusable: bool,
    /// Whether a write failed. Later reads do not report a reset again, but a regular end.
    write_failed: bool,
    /// Number of requests sent on it.
    pub requests: u32,
    /// Time since which it is idle, and the time that the endpoint keeps it open.
    pub idle: (Millis, Option<Millis>),
    /// Identifier of the request that was answered last on it.
    pub answered: Option<Arc<str>>,
}

/// A request to an endpoint.
#[derive(Debug)]
pub struct Outbound {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, with `host`.
    pub headers: HeaderMap,
    /// Body; empty if there is none.
    pub body: Bytes,
    /// Whether the caller sent a body, even an empty one.
    pub has_body: bool,
    /// Whether the endpoint should close the connection after its answer.
    pub close: bool,
}

/// The unread part of an answer's body.
enum Body {
    None,
    Sized(Box<ClientPayloadCodec>),
    Chunked(ChunkDecoder),
    UntilClose,
}

/// An answer whose head was read.
pub struct Answer {
    connection: Connection,
    body: Body,
    keep_alive: bool,
    /// Whether the body has no framing and ends with the connection.
    pub until_close: bool,
    /// Status and headers.
    pub head: ResponseHead,
}

impl Connection {
    /// Connects to an endpoint within `limit`.
    ///
    /// # Errors
    /// When no connection is established in time.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            read_size: *READ_BYTES.start(),
            output: BytesMut::new(),
            body: Bytes::new(),
            unusable: false,
            write_failed: false,
            requests: 0,
            idle: (Millis(0), None),
            answered: None,
        })
    }

    /// Returns whether an idle connection is still open and without unsolicited input.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.unsolicited(), Ok(0))
    }

    /// Reads the input of an idle connection, and returns its size in bytes, of at most 4 KiB. With
    /// any input it must not be reused.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub fn unsolicited(&self) -> io::Result<usize> {
        let mut bytes = [0; 4096];
        match self.stream.try_read(&mut bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            read => read,
        }
    }

    /// Sends a request and reads up to the first answer head that `is_own` accepts.
    ///
    /// Other answers are read to their end and discarded, up to a number of them.
    ///
    /// # Errors
    /// When the connection fails or the bytes received are no answer.
    pub async fn exchange(
        mut self,
        config: &ServiceConfig,
        outbound: Outbound,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Answer, AnswerError> {
        self.requests += 1;
        let mut codec = ClientCodec::new(config.clone());
        let mut head = RequestHead::default();
        head.method = outbound.method.clone();
        head.uri = outbound.uri;
        head.headers = outbound.headers;
        if outbound.close {
            head.set_connection_type(ConnectionType::Close);
        }
        let size = if outbound.has_body {
            BodySize::Sized(outbound.body.len() as u64)
        } else {
            BodySize::None
        };
        let message = Message::Item((RequestHeadType::Owned(head), size));
        codec
            .encode(message, &mut self.output)
            .map_err(AnswerError::Closed)?;
        self.body = outbound.body;
        let without_body = outbound.method == Method::HEAD;
        let (mut informational, mut stray) = (0, 0);
        loop {
            let answer = self.read_head(codec, without_body).await?;
            if answer.head.status.is_informational() {
                informational += 1;
                if informational > MAX_INFORMATIONAL {
                    return Err(AnswerError::Malformed("informational answers only".into()));
                }
                (self, codec) = (answer.connection, ClientCodec::new(config.clone()));
                continue;
            }
            if is_own(&answer.head) {
                return Ok(answer);
            }
            stray += 1;
            if stray > MAX_STRAY_ANSWERS {
                return Err(AnswerError::Malformed(
                    "answers to other requests only".into(),
                ));
            }
            self = answer.discard().await?;
            // The answer to this request may follow, but no other request may be sent after it.
            self.unusable = true;
            codec = ClientCodec::new(config.clone());
        }
    }

    async fn read_head(
        mut self,
        mut codec: ClientCodec,
        without_body: bool,
    ) -> Result<Answer, AnswerError> {
        loop {
            let decoded = codec.decode(&mut self.input);
            if let Some(head) =
                decoded.map_err(|error| AnswerError::Malformed(error.to_string()))?
            {
                let keep_alive = codec.keep_alive();
                let body = unread_body(codec, &head, without_body);
                return Ok(Answer {
                    connection: self,
                    until_close: matches!(body, Body::UntilClose),
                    body,
                    keep_alive,
                    head,
                });
            }
            self.transfer().await?;
        }
    }

    /// Returns whether an end of the input that was read is the end of an answer without a length.
    ///
    /// An endpoint that closes its connection before it was sent the whole request resets it, but
    /// the regular end of its output may arrive first.
    fn ended_regularly(&self) -> bool {
        let sent = self.output.is_empty() && self.body.is_empty();
        sent && !self.write_failed && matches!(self.stream.take_error(), Ok(None))
    }

    /// Waits for input while writing the rest of the request, and returns its size in bytes.
    async fn transfer(&mut self) -> Result<usize, AnswerError> {
        // Without this a read takes 64 bytes once the data of earlier ones were handed out.
        self.input.reserve(self.read_size);
        let read = {
            let (mut reader, mut writer) = self.stream.split();
            loop {
                if self.output.is_empty() && self.body.is_empty() {
                    // An empty slice of the body would keep its memory.
                    self.body = Bytes::new();
                    break reader.read_buf(&mut self.input).await;
                }
                let mut unwritten = (&mut self.output).chain(&mut self.body);
                tokio::select! {
                    biased;
                    written = writer.write_buf(&mut unwritten) => if written.is_err() {
                        // The endpoint may have answered and closed before it read a long body.
                        self.output.clear();
                        self.body = Bytes::new();
                        self.unusable = true;
                        self.write_failed = true;
                    },
                    read = reader.read_buf(&mut self.input) => break read,
                }
            }
        };
        match read {
            Ok(0) => Err(AnswerError::Closed(io::ErrorKind::UnexpectedEof.into())),
            Ok(length) => {
                if length >= self.read_size {
                    self.read_size = (self.read_size * 2).min(*READ_BYTES.end());
                }
                Ok(length)
            }
            Err(error) => Err(AnswerError::Closed(error)),
        }
    }
}

fn unread_body(codec: ClientCodec, head: &ResponseHead, without_body: bool) -> Body {
    // The length that such an answer states is that of the body that it leaves out.
    if without_body || !has_body(head.status) {
        return Body::None;
    }
    match codec.message_type() {
        MessageType::None if head.headers.contains_key(CONTENT_LENGTH) => Body::None,
        // The codec treats an answer without a length as empty, but it lasts until the close.
        MessageType::None => Body::UntilClose,
        MessageType::Payload if is_chunked(head) => Body::Chunked(ChunkDecoder::default()),
        MessageType::Payload | MessageType::Stream => {
            Body::Sized(Box::new(codec.into_payload_codec()))
        }
    }
}

/// Returns whether the body comes in chunks. The codec has rejected other encodings, and ignores the
/// header in HTTP/1.0.
fn is_chunked(head: &ResponseHead) -> bool {
    let encoding = head.headers.get(TRANSFER_ENCODING);
    head.version == Version::HTTP_11
        && encoding.is_some_and(|value| {
            let value = value.as_bytes().trim_ascii();
            value.eq_ignore_ascii_case(b"chunked")
        })
}

impl Answer {
    /// Reads the next bytes of the body; returns `None` at its end.
    ///
    /// # Errors
    /// When the connection fails before the end, or the framing is malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>, AnswerError> {
        let mut framing_bytes = 0;
        loop {
            match &mut self.body {
                Body::None => return Ok(None),
                Body::Sized(codec) => match codec.decode(&mut self.connection.input) {
                    Ok(Some(Some(bytes))) => return Ok(Some(bytes)),
                    Ok(Some(None)) => {
                        self.body = Body::None;
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(error) => return Err(AnswerError::Malformed(error.to_string())),
                },
                Body::Chunked(decoder) => match decoder.decode(&mut self.connection.input) {
                    Ok(Piece::Data(bytes)) => return Ok(Some(bytes)),
                    Ok(Piece::End) => {
                        self.body = Body::None;
                        return Ok(None);
                    }
                    Ok(Piece::Incomplete) if framing_bytes > MAX_FRAMING_BYTES => {
                        return Err(AnswerError::Malformed("framing without a body".into()));
                    }
                    Ok(Piece::Incomplete) => {}
                    Err(fault) => return Err(AnswerError::Malformed(fault.into())),
                },
                Body::UntilClose if !self.connection.input.is_empty() => {
                    return Ok(Some(self.connection.input.split().freeze()));
                }
                Body::UntilClose => {}
            }
            match self.connection.transfer().await {
                Ok(length) => framing_bytes += length,
                Err(AnswerError::Closed(error))
                    if error.kind() == io::ErrorKind::UnexpectedEof
                        && matches!(self.body, Body::UntilClose)
                        && self.connection.ended_regularly() =>
                {
                    self.body = Body::None;
                    self.connection.unusable = true;
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads the complete body, of at most `limit` bytes.
    ///
    /// # Errors
    /// When the body is longer, the connection fails before its end, or the framing is malformed.
    pub async fn read_body(&mut self, limit: usize) -> Result<Bytes, AnswerError> {
        let mut first = Bytes::new();
        let mut all = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if first.len() + all.len() + bytes.len() > limit {
                return Err(AnswerError::Malformed(format!(
                    "the body exceeds {limit} bytes"
                )));
            }
            if first.is_empty() {
                first = bytes;
            } else {
                all.extend_from_slice(&bytes);
            }
        }
        if all.is_empty() {
            return Ok(first);
        }
        let mut whole = BytesMut::with_capacity(first.len() + all.len());
        whole.extend_from_slice(&first);
        whole.extend_from_slice(&all);
        Ok(whole.freeze())
    }

    /// Reads and discards the body, of at most [`MAX_STRAY_BYTES`].
    async fn discard(mut self) -> Result<Connection, AnswerError> {
        let mut length = 0;
        while let Some(bytes) = self.next().await? {
            length += bytes.len();
            if length > MAX_STRAY_BYTES {
                return Err(AnswerError::Malformed("a stray answer without end".into()));
            }
        }
        if self.keep_alive && !self.connection.unusable {
            Ok(self.connection)
        } else {
            Err(AnswerError::Closed(io::ErrorKind::UnexpectedEof.into()))
        }
    }

    /// Returns the number of bytes that were read after the end of the answer.
    #[must_use]
    pub fn trailing_bytes(&self) -> usize {
        match self.body {
            Body::None => self.connection.input.len(),
            Body::Sized(_) | Body::Chunked(_) | Body::UntilClose => 0,
        }
    }

    /// Returns the connection if it may be reused: the answer was read to its end, and nothing
    /// follows it.
    #[must_use]
    pub fn into_connection(self) -> Option<Connection> {
        let mut connection = self.connection;
        let complete = matches!(self.body, Body::None);
        let written = connection.output.is_empty() && connection.body.is_empty();
        let clean = connection.input.is_empty() && written && !connection.unusable;
        // An idle connection needs no buffer.
        connection.input = BytesMut::new();
        (complete && self.keep_alive && clean).then_some(connection)
    }
}
