//! HTTP/1.1 connections of callers: reads requests, writes answers and detects disconnects.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Request, RequestHead, Response, StatusCode, Version};
use bytes::{Buf as _, Bytes, BytesMut};
use cumin_entry::document::Limits;
use cumin_http::connection::has_body;
use cumin_types::Millis;
use derive_more::Display;
use futures_util::future::{Either, select};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::timeout;

use crate::node::Node;

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Requests of callers.
    Callers,
    /// The readiness probe.
    Ready,
    /// The directory, where callers look up entries.
    Directory,
    /// Metrics.
    Metrics,
}

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

/// A complete request of a caller.
pub(crate) struct Inbound {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) has_body: bool,
    /// Time at which its last byte was read.
    pub(crate) received_at: Millis,
}

/// Identifies a request by the connection of its caller and its position there.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{connection}/{position}")]
pub(crate) struct ExchangeNumber {
    connection: u64,
    position: u32,
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
    version: Version,
    /// Whether the answer that was begun ends with the connection.
    until_close: bool,
}

/// Time after which a write to a caller that does not read fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a caller has to close its side after the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes that are read ahead while a request is served.
const READ_AHEAD_BYTES: usize = 64 * 1024;

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

/// Serves one connection until it ends.
pub(crate) async fn serve(node: Rc<Node>, stream: TcpStream, role: Role) {
    let ended = serve_requests(&node, stream, role).await;
    if let Err(error) = ended {
        log::debug!("event=connection_ended role={role:?} error={error}");
    }
}

async fn serve_requests(node: &Rc<Node>, mut stream: TcpStream, role: Role) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut codec = Codec::new(node.http_config.clone());
    let mut input = BytesMut::new();
    let (mut reader, mut writer) = stream.split();
    let mut exchange = ExchangeNumber {
        connection: node.next_connection(),
        position: 0,
    };
    loop {
        let limits = node
            .table()
            .map_or_else(Limits::default, |table| table.document().limits.clone());
        let inbound = read_request(
            node,
            &mut reader,
            &mut writer,
            &mut codec,
            &mut input,
            &limits,
        )
        .await?;
        exchange.position += 1;
        let inbound = match inbound {
            ReadOutcome::Request(inbound) => *inbound,
            ReadOutcome::Closed => return Ok(()),
            ReadOutcome::Invalid(status) => {
                let mut reply = Reply::new(&mut writer, &mut codec, true, exchange);
                reply
                    .refuse(status, None, "the request can't be read")
                    .await?;
                return lingering_close(&mut reader, &mut writer).await;
            }
        };
        let closing = node.stopping() || !codec.keep_alive();
        let mut reply = Reply::new(&mut writer, &mut codec, closing, exchange);
        reply.version = inbound.head.version;
        let end = {
            let served = pin!(serve_request(node, &inbound, &mut reply, role));
            let disconnected = pin!(read_ahead(&mut reader, &mut input));
            match select(served, disconnected).await {
                Either::Left((end, _)) => Some(end?),
                Either::Right(((), _)) => None,
            }
        };
        let Some(end) = end else {
            let request = node.platform.dialect.parse_request(&inbound.head);
            log::info!(
                "event=caller_left id={} {}",
                request.id.unwrap_or_default(),
                reply.written()
            );
            return Ok(());
        };
        if !end.is_complete() {
            return Ok(());
        }
        if closing || !codec.keep_alive() {
            return lingering_close(&mut reader, &mut writer).await;
        }
    }
}

impl<'a, 'b> Reply<'a, 'b> {
    fn new(
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

/// Serves one request according to the role of the listener.
async fn serve_request(
    node: &Rc<Node>,
    inbound: &Inbound,
    reply: &mut Reply<'_, '_>,
    role: Role,
) -> io::Result<ReplyEnd> {
    let path = inbound.head.uri.path();
    match role {
        Role::Callers => crate::request::serve(node, inbound, reply).await,
        Role::Ready if node.platform.dialect.is_readiness(path) => {
            let status = if node.ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            reply.send(status, HeaderMap::new(), &Bytes::new()).await
        }
        Role::Directory => {
            let addresses = node.ready_addresses();
            let found = node
                .platform
                .dialect
                .directory(path, &addresses, DIRECTORY_TTL);
            match found {
                Some(_) if addresses.is_empty() => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    reply
                        .refuse(status, Some(DIRECTORY_TTL), "no node is ready")
                        .await
                }
                Some(body) => {
                    let mut headers = HeaderMap::new();
                    let json = HeaderValue::from_static("application/json");
                    headers.insert(HeaderName::from_static("content-type"), json);
                    reply.send(StatusCode::OK, headers, &body).await
                }
                None => {
                    reply
                        .refuse(StatusCode::NOT_FOUND, None, "no such call")
                        .await
                }
            }
        }
        Role::Metrics => {
            crate::gossip::update_gauges(node);
            let body = Bytes::from(node.metrics.render());
            reply.send(StatusCode::OK, HeaderMap::new(), &body).await
        }
        Role::Ready => {
            reply
                .refuse(StatusCode::NOT_FOUND, None, "no such call")
                .await
        }
    }
}

/// Time that callers may cache an answer of the directory. It is short so that callers leave a
/// stopping node within a few seconds, although some cache answers three times as long.
const DIRECTORY_TTL: Millis = Millis(1000);

/// Outcome of reading a request.
enum ReadOutcome {
    Request(Box<Inbound>),
    Closed,
    Invalid(StatusCode),
}

/// Reads the next request.
async fn read_request(
    node: &Node,
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
    codec: &mut Codec,
    input: &mut BytesMut,
    limits: &Limits,
) -> io::Result<ReadOutcome> {
    // A codec remembers the method and version of its last request, also where the next one can't be
    // read.
    *codec = Codec::new(node.http_config.clone());
    let mut since = node.now();
    let mut request: Option<(Request, BytesMut)> = None;
    loop {
        if request.is_none() {
            skip_line_ends(input);
        }
        loop {
            let message = match codec.decode(input) {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(error) => {
                    let status = parse_error_status(&error);
                    return Ok(unreadable(
                        node,
                        request.as_ref(),
                        status,
                        &error.to_string(),
                    ));
                }
            };
            match (message, &mut request) {
                (Message::Item(head), None) => {
                    if matches!(*head.method(), Method::CONNECT)
                        || codec.message_type() == MessageType::Stream
                    {
                        let head = (head, BytesMut::new());
                        let status = StatusCode::BAD_REQUEST;
                        return Ok(unreadable(node, Some(&head), status, "a tunnel"));
                    }
                    if codec.message_type() == MessageType::None {
                        return Ok(complete_request(node, &head, BytesMut::new(), false));
                    }
                    if head.head().expect() && head.version() == Version::HTTP_11 {
                        writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    since = node.now();
                    request = Some((head, BytesMut::new()));
                }
                (Message::Chunk(Some(bytes)), Some((_, body))) => {
                    let too_large = body.len() + bytes.len() > limits.body_bytes;
                    if too_large {
                        let status = StatusCode::PAYLOAD_TOO_LARGE;
                        return Ok(unreadable(node, request.as_ref(), status, "a large body"));
                    }
                    body.extend_from_slice(&bytes);
                }
                (Message::Chunk(None), Some((head, body))) => {
                    return Ok(complete_request(node, head, std::mem::take(body), true));
                }
                (Message::Chunk(_), None) | (Message::Item(_), Some(_)) => {
                    let status = StatusCode::BAD_REQUEST;
                    return Ok(unreadable(node, request.as_ref(), status, "no framing"));
                }
            }
        }
        if request.is_none() && input.len() > limits.head_bytes {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Ok(unreadable(node, None, status, "a large head"));
        }
        let idle = request.is_none() && input.is_empty();
        let allowed = match (&request, idle) {
            (Some(_), _) => BODY_TIMEOUT,
            (None, true) => limits.idle_timeout,
            (None, false) => limits.head_timeout,
        };
        let time_left = Millis(allowed.since(Millis(node.now().since(since))));
        let wait = async {
            let read = timeout(time_left.duration(), reader.read_buf(input));
            if !idle {
                return Some(read.await);
            }
            tokio::select! {
                biased;
                read = read => Some(read),
                () = idle_close(node) => None,
            }
        };
        match wait.await {
            None | Some(Ok(Ok(0))) => return Ok(ReadOutcome::Closed),
            Some(Ok(Ok(_))) => {
                // Line ends do not extend the time for which a connection may be idle.
                if idle && skip_line_ends(input) {
                    since = node.now();
                }
            }
            Some(Ok(Err(error))) => return Err(error),
            Some(Err(_)) if idle => return Ok(ReadOutcome::Closed),
            Some(Err(_)) => {
                let status = StatusCode::REQUEST_TIMEOUT;
                return Ok(unreadable(node, request.as_ref(), status, "slow"));
            }
        }
    }
}

/// Skips line ends before a request, which some callers send after a body, and returns whether
/// anything follows them.
fn skip_line_ends(input: &mut BytesMut) -> bool {
    let is_line_end = |byte: &&u8| matches!(byte, b'\r' | b'\n');
    let count = input.iter().take_while(is_line_end).count();
    input.advance(count);
    !input.is_empty()
}

/// Time after which reading a body fails: the longest time that callers of the users wait.
const BODY_TIMEOUT: Millis = Millis(15_000);

fn complete_request(node: &Node, request: &Request, body: BytesMut, has_body: bool) -> ReadOutcome {
    ReadOutcome::Request(Box::new(Inbound {
        head: request.head().clone(),
        body: body.freeze(),
        has_body,
        received_at: node.now(),
    }))
}

/// Logs a request that can't be read, with its identifier if the head was read.
fn unreadable(
    node: &Node,
    request: Option<&(Request, BytesMut)>,
    status: StatusCode,
    reason: &str,
) -> ReadOutcome {
    let id = request.and_then(|(head, _)| node.platform.dialect.parse_request(head.head()).id);
    log::info!(
        "event=unreadable_request id={} status={} body_bytes={} reason={reason:?}",
        id.as_deref().unwrap_or_default(),
        status.as_u16(),
        request.map_or(0, |(_, body)| body.len())
    );
    ReadOutcome::Invalid(status)
}

fn parse_error_status(error: &ParseError) -> StatusCode {
    match error {
        ParseError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    }
}

/// Completes when idle connections are to be closed because callers have learnt of the stop.
async fn idle_close(node: &Node) {
    loop {
        let changed = node.stop_notify.notified();
        if crate::stop::closes_idle(node) {
            return;
        }
        changed.await;
    }
}

/// Reads ahead while a request is served; completes when the caller has disconnected.
async fn read_ahead(reader: &mut ReadHalf<'_>, input: &mut BytesMut) {
    loop {
        if input.len() >= READ_AHEAD_BYTES {
            return std::future::pending().await;
        }
        match reader.read_buf(input).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Closes the connection after its last answer.
///
/// Input is read until the caller closes: closing with unread bytes would reset the connection, and
/// the caller could lose the answer.
async fn lingering_close(reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>) -> io::Result<()> {
    writer.shutdown().await?;
    let mut unread = BytesMut::new();
    let drained = async {
        while reader.read_buf(&mut unread).await? > 0 {
            unread.clear();
        }
        Ok::<(), io::Error>(())
    };
    within(LINGER_TIMEOUT, drained).await.unwrap_or(Ok(()))
}

async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    timeout(limit, work).await.ok()
}
