//! HTTP/1.1 connections of callers: reads requests, has them answered, and detects disconnects.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_codec::Decoder as _;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Request, RequestHead, StatusCode, Version};
use bytes::{Buf as _, Bytes, BytesMut};
use cumin_entry::document::Limits;
use cumin_entry::memory::Shortage;
use cumin_types::Millis;
use futures_util::future::{Either, select};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::timeout;

use crate::admit::{DEFAULT_RETRY_AFTER, Refusal, refuse};
use crate::memory::{self, Held};
use crate::node::Node;
use crate::reply::{ExchangeNumber, Reply, ReplyEnd};

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

/// A complete request of a caller.
pub(crate) struct Inbound {
    pub(crate) head: RequestHead,
    pub(crate) body: RefCell<HeldBody>,
    pub(crate) has_body: bool,
    /// Time at which its last byte was read.
    pub(crate) received_at: Millis,
}

/// A body of a request and what it takes from the budget.
#[derive(Default)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    /// Returned to the budget when dropped.
    _share: Option<Held>,
}

/// A request whose head was read and whose body is being read.
struct Unread {
    request: Request,
    body: BytesMut,
    share: Option<Held>,
    /// Time that the caller has waited for room for the body.
    waited: Millis,
}

impl Unread {
    fn new(request: Request) -> Self {
        Self {
            request,
            body: BytesMut::new(),
            share: None,
            waited: Millis(0),
        }
    }
}

/// Time that a caller has to close its side after the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes that are read ahead while a request is served.
const READ_AHEAD_BYTES: usize = 64 * 1024;

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
            ReadOutcome::Refused(id, refusal) => {
                let mut reply = Reply::new(&mut writer, &mut codec, true, exchange);
                refuse(node, &id, refusal, &mut reply).await?;
                return lingering_close(&mut reader, &mut writer).await;
            }
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
    /// Identifier of the request, and why its body is not read.
    Refused(Arc<str>, Refusal),
}

/// Reads the next request.
async fn read_request(
    node: &Rc<Node>,
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
    let mut request: Option<Unread> = None;
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
                    let unread = match begin_body(node, head, codec, limits).await {
                        Ok(unread) => unread,
                        Err(outcome) => return Ok(outcome),
                    };
                    let head = unread.request.head();
                    if head.expect() && head.version == Version::HTTP_11 {
                        writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    since = node.now();
                    request = Some(unread);
                }
                (Message::Chunk(Some(bytes)), Some(unread)) => {
                    let too_large = unread.body.len() + bytes.len() > limits.body_bytes;
                    if too_large {
                        let status = StatusCode::PAYLOAD_TOO_LARGE;
                        return Ok(unreadable(node, request.as_ref(), status, "a large body"));
                    }
                    let length = unread.body.len() + bytes.len();
                    if let Some(share) = &mut unread.share
                        && let Err(shortage) = share.grow_to(length)
                    {
                        return Ok(refuse_body(node, &unread.request, length, shortage));
                    }
                    unread.body.extend_from_slice(&bytes);
                }
                (Message::Chunk(None), Some(_)) => {
                    if let Some(unread) = request.take() {
                        return Ok(complete_request(node, unread, true));
                    }
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

/// Takes the bytes of the body that follows a head.
///
/// # Errors
/// If there is no body to read: the request is complete, can't be read, or is refused.
async fn begin_body(
    node: &Rc<Node>,
    request: Request,
    codec: &Codec,
    limits: &Limits,
) -> Result<Unread, ReadOutcome> {
    let mut unread = Unread::new(request);
    let framing = codec.message_type();
    if unread.request.method() == Method::CONNECT || framing == MessageType::Stream {
        let status = StatusCode::BAD_REQUEST;
        return Err(unreadable(node, Some(&unread), status, "a tunnel"));
    }
    if framing == MessageType::None {
        return Err(complete_request(node, unread, false));
    }
    let head = unread.request.head();
    let length = memory::stated_length(&head.headers).unwrap_or_default();
    if length > limits.body_bytes {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(unreadable(node, Some(&unread), status, "a large body"));
    }
    match memory::take_body(node, head, length).await {
        Ok((share, waited)) => {
            unread.share = Some(share);
            unread.waited = waited;
            unread.body.reserve(length);
            Ok(unread)
        }
        Err(shortage) => Err(refuse_body(node, &unread.request, length, shortage)),
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

fn complete_request(node: &Node, unread: Unread, has_body: bool) -> ReadOutcome {
    ReadOutcome::Request(Box::new(Inbound {
        head: unread.request.head().clone(),
        body: RefCell::new(HeldBody {
            bytes: unread.body.freeze(),
            _share: unread.share,
        }),
        has_body,
        received_at: Millis(node.now().since(unread.waited)),
    }))
}

/// Refuses a request as not run because there is no room for its body.
fn refuse_body(node: &Node, request: &Request, bytes: usize, shortage: Shortage) -> ReadOutcome {
    let id = node.platform.dialect.parse_request(request.head()).id;
    let memory = node.memory.borrow();
    let detail = format!(
        "shortage={shortage:?} body_bytes={bytes} held_bytes={} limit_bytes={}",
        memory.held(),
        memory.total()
    );
    let refusal = Refusal::unavailable(DEFAULT_RETRY_AFTER, "memory", detail);
    ReadOutcome::Refused(id.unwrap_or_default(), refusal)
}

/// Logs a request that can't be read, with its identifier if the head was read.
fn unreadable(
    node: &Node,
    request: Option<&Unread>,
    status: StatusCode,
    reason: &str,
) -> ReadOutcome {
    let id = request.and_then(|unread| {
        node.platform
            .dialect
            .parse_request(unread.request.head())
            .id
    });
    log::info!(
        "event=unreadable_request id={} status={} body_bytes={} reason={reason:?}",
        id.as_deref().unwrap_or_default(),
        status.as_u16(),
        request.map_or(0, |unread| unread.body.len())
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
