//! Writes the answer to one request of a caller.
//!
//! [`Reply`] alone knows how much of an answer the caller can have. An answer that has begun is
//! completed or truncated, but never followed by another one.

use std::io;
use std::time::Duration;

use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use cumin_http::connection::has_body;
use cumin_types::Millis;
use derive_more::Display;
use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp::WriteHalf;
use tokio::time::timeout;

/// How much of the answer to a request was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Unanswered,
    /// The caller can have the head and a part of the body.
    Begun,
    Complete,
}

/// End of an answer. Only [`Reply`] declares one complete, so that no other code can do so, or
/// follow it with another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplyEnd {
    complete: bool,
}

impl ReplyEnd {
    /// The answer can't be completed. The connection is closed without terminating it, so that the
    /// caller detects the truncation.
    pub(crate) const TRUNCATED: Self = Self { complete: false };

    /// Returns whether the answer is complete.
    pub(crate) const fn is_complete(self) -> bool {
        self.complete
    }

    /// Returns the outcome for the log: `complete`, or `truncated` if the answer is not whole.
    pub(crate) const fn outcome(
        self,
        complete: &'static str,
        truncated: &'static str,
    ) -> &'static str {
        if self.complete { complete } else { truncated }
    }
}

/// Identifies a request by the connection of its caller and its position there.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{connection}/{position}")]
pub(crate) struct ExchangeNumber {
    pub(crate) connection: u64,
    pub(crate) position: u32,
}

/// Writes the answer to one request.
pub(crate) struct Reply<'a, 'b> {
    writer: &'a mut WriteHalf<'b>,
    codec: &'a mut Codec,
    output: BytesMut,
    progress: Progress,
    closing: bool,
    pub(crate) exchange: ExchangeNumber,
    /// Status of the answer, once its head was written.
    status: Option<StatusCode>,
    /// Bytes that were handed to the connection, framing included.
    bytes: usize,
    /// Version of HTTP that the caller speaks; 1.0 has no chunks.
    pub(crate) version: Version,
    /// Whether the answer that was begun ends with the connection.
    until_close: bool,
}

/// Time after which a write to a caller that does not read fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

impl<'a, 'b> Reply<'a, 'b> {
    pub(crate) fn new(
        writer: &'a mut WriteHalf<'b>,
        codec: &'a mut Codec,
        closing: bool,
        exchange: ExchangeNumber,
    ) -> Self {
        Self {
            writer,
            codec,
            output: BytesMut::new(),
            progress: Progress::Unanswered,
            closing,
            exchange,
            status: None,
            bytes: 0,
            version: Version::HTTP_11,
            until_close: false,
        }
    }
}

impl Reply<'_, '_> {
    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
    ) -> io::Result<()> {
        if self.progress != Progress::Unanswered {
            // The caller would take a second head for a part of the first answer's body.
            log::error!(
                "event=second_answer exchange={} status={}",
                self.exchange,
                status.as_u16()
            );
            return Err(io::Error::other("an answer has already begun"));
        }
        let size = if has_body(status) {
            size
        } else {
            BodySize::None
        };
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        self.until_close = self.version == Version::HTTP_10 && size == BodySize::Stream;
        if self.until_close {
            // Where the close ends the answer, only a reset shows that it is truncated, also if the
            // process ends.
            SockRef::from(self.writer.as_ref()).set_linger(Some(Duration::ZERO))?;
        }
        response.head_mut().no_chunking(self.until_close);
        if self.closing || self.until_close {
            response
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
        }
        self.progress = Progress::Begun;
        self.status = Some(status);
        self.codec
            .encode(Message::Item((response, size)), &mut self.output)
    }

    /// Returns the status of an answer that has begun.
    pub(crate) const fn status(&self) -> Option<StatusCode> {
        self.status
    }

    /// Returns whether the caller can have the beginning of an answer.
    pub(crate) fn has_begun(&self) -> bool {
        self.progress != Progress::Unanswered
    }

    /// Sends a complete answer, unless another one has begun, which is truncated: neither an error
    /// nor another endpoint's answer continues it.
    pub(crate) async fn send(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Bytes,
    ) -> io::Result<ReplyEnd> {
        if self.progress == Progress::Begun {
            return Ok(ReplyEnd::TRUNCATED);
        }
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            let chunk = Message::Chunk(Some(body.clone()));
            self.codec.encode(chunk, &mut self.output)?;
        }
        self.complete().await
    }

    /// Starts an answer of unknown length.
    pub(crate) fn begin(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Stream)
    }

    /// Sends a chunk of the body.
    pub(crate) async fn send_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        let chunk = Message::Chunk(Some(bytes));
        self.codec.encode(chunk, &mut self.output)?;
        self.flush().await
    }

    /// Ends the body.
    pub(crate) async fn finish(&mut self) -> io::Result<ReplyEnd> {
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        self.complete().await
    }

    async fn complete(&mut self) -> io::Result<ReplyEnd> {
        self.flush().await?;
        if self.until_close {
            SockRef::from(self.writer.as_ref()).set_linger(None)?;
        }
        self.progress = Progress::Complete;
        Ok(ReplyEnd { complete: true })
    }

    /// Answers with an error and an optional `retry-after` header, unless an answer has begun, which
    /// is truncated.
    pub(crate) async fn refuse(
        &mut self,
        status: StatusCode,
        retry_after: Option<Millis>,
        reason: &str,
    ) -> io::Result<ReplyEnd> {
        let mut headers = HeaderMap::new();
        if let Some(retry_after) = retry_after {
            let text = format!("{:.3}", retry_after.duration().as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(HeaderName::from_static("retry-after"), value);
            }
        }
        let body = Bytes::from(format!("{{\"error\":\"{reason}\"}}"));
        self.send(status, headers, &body).await
    }

    /// Returns what was written, for the log.
    pub(crate) fn written(&self) -> String {
        let status = self.status.map_or(0, |status| status.as_u16());
        format!(
            "exchange={} status={status} bytes={}",
            self.exchange, self.bytes
        )
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.bytes += self.output.len();
        let written = timeout(WRITE_TIMEOUT, self.writer.write_all(&self.output)).await;
        self.output.clear();
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}
