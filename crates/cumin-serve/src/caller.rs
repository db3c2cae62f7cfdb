//! Connections of callers: reads requests, writes answers, and notices callers that leave.

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
use bytes::{Bytes, BytesMut};
use cumin_entry::document::Limits;
use cumin_types::Millis;
use futures_util::future::{Either, select};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::timeout;

use crate::node::Node;

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Requests of callers.
    Callers,
    /// Whether the node is ready.
    Ready,
    /// Where to connect.
    Directory,
    /// Metrics.
    Metrics,
}

/// How an exchange left the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The answer is whole.
    Whole,
    /// The answer is not whole; the connection is closed so that it does not look so.
    Cut,
}

/// A request that was read.
pub(crate) struct Inbound {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) has_body: bool,
    /// When its last byte came.
    pub(crate) at: Millis,
}

/// Writes the answer to one request.
pub(crate) struct Reply<'a, 'b> {
    writer: &'a mut WriteHalf<'b>,
    codec: &'a mut Codec,
    output: BytesMut,
    /// Whether a head was written.
    pub(crate) begun: bool,
    closing: bool,
}

/// Time for a caller that does not read to take what is written.
const SLOW_READER: Duration = Duration::from_secs(5);

/// Time for a caller to close after an answer that ends the connection.
const LINGER: Duration = Duration::from_millis(300);

/// Bytes read ahead while a request is served.
const READ_AHEAD: usize = 64 * 1024;

impl Reply<'_, '_> {
    fn head(&mut self, status: StatusCode, headers: HeaderMap, size: BodySize) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        if self.closing {
            response
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
        }
        self.begun = true;
        self.codec
            .encode(Message::Item((response, size)), &mut self.output)
    }

    /// Sends a whole answer.
    pub(crate) async fn full(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &Bytes,
    ) -> io::Result<()> {
        self.head(status, headers, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            let chunk = Message::Chunk(Some(body.clone()));
            self.codec.encode(chunk, &mut self.output)?;
        }
        self.flush().await
    }

    /// Starts an answer whose length is not known.
    pub(crate) fn begin(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
        self.head(status, headers, BodySize::Stream)
    }

    /// Sends a part of the body.
    pub(crate) async fn part(&mut self, bytes: Bytes) -> io::Result<()> {
        let chunk = Message::Chunk(Some(bytes));
        self.codec.encode(chunk, &mut self.output)?;
        self.flush().await
    }

    /// Ends the body.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.output)?;
        self.flush().await
    }

    /// Refuses a request, which did not run and will not.
    pub(crate) async fn refuse(
        &mut self,
        status: StatusCode,
        again: Option<Millis>,
        why: &str,
    ) -> io::Result<()> {
        let mut headers = HeaderMap::new();
        if let Some(again) = again {
            let text = format!("{:.3}", again.duration().as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(HeaderName::from_static("retry-after"), value);
            }
        }
        let body = Bytes::from(format!("{{\"error\":\"{why}\"}}"));
        self.full(status, headers, &body).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        let written = timeout(SLOW_READER, self.writer.write_all(&self.output)).await;
        self.output.clear();
        written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

/// Serves one connection until it ends.
pub(crate) async fn serve(node: Rc<Node>, stream: TcpStream, role: Role) {
    let ended = connection(&node, stream, role).await;
    if let Err(error) = ended {
        log::debug!("event=connection_ended role={role:?} error={error}");
    }
}

async fn connection(node: &Rc<Node>, mut stream: TcpStream, role: Role) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut codec = Codec::new(node.http.clone());
    let mut input = BytesMut::new();
    let (mut reader, mut writer) = stream.split();
    loop {
        let limits = node
            .table()
            .map_or_else(Limits::default, |table| table.document().limits.clone());
        let inbound = next(
            node,
            &mut reader,
            &mut writer,
            &mut codec,
            &mut input,
            &limits,
        )
        .await?;
        let inbound = match inbound {
            Next::Request(inbound) => *inbound,
            Next::Closed => return Ok(()),
            Next::Bad(status) => {
                let mut reply = Reply::new(&mut writer, &mut codec, true);
                reply
                    .refuse(status, None, "the request can't be read")
                    .await?;
                return linger(&mut reader, &mut writer).await;
            }
        };
        let closing = node.stopping() || !codec.keep_alive();
        let mut reply = Reply::new(&mut writer, &mut codec, closing);
        let end = {
            let served = pin!(answer(node, &inbound, &mut reply, role));
            let gone = pin!(watch(&mut reader, &mut input));
            match select(served, gone).await {
                Either::Left((end, _)) => end?,
                Either::Right(((), _)) => {
                    log::debug!("event=caller_left path={}", inbound.head.uri.path());
                    return Ok(());
                }
            }
        };
        if end == End::Cut {
            return Ok(());
        }
        if closing || !codec.keep_alive() {
            return linger(&mut reader, &mut writer).await;
        }
    }
}

impl<'a, 'b> Reply<'a, 'b> {
    fn new(writer: &'a mut WriteHalf<'b>, codec: &'a mut Codec, closing: bool) -> Self {
        Self {
            writer,
            codec,
            output: BytesMut::new(),
            begun: false,
            closing,
        }
    }
}

async fn answer(
    node: &Rc<Node>,
    inbound: &Inbound,
    reply: &mut Reply<'_, '_>,
    role: Role,
) -> io::Result<End> {
    let path = inbound.head.uri.path();
    match role {
        Role::Callers => return crate::request::serve(node, inbound, reply).await,
        Role::Ready if node.platform.dialect.is_readiness(path) => {
            let status = if node.ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            reply.full(status, HeaderMap::new(), &Bytes::new()).await?;
        }
        Role::Directory => {
            let addresses = node.addresses();
            let found = node.platform.dialect.directory(path, &addresses, TTL);
            match found {
                Some(_) if addresses.is_empty() => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    reply.refuse(status, Some(TTL), "no node is ready").await?;
                }
                Some(body) => {
                    let mut headers = HeaderMap::new();
                    let json = HeaderValue::from_static("application/json");
                    headers.insert(HeaderName::from_static("content-type"), json);
                    reply.full(StatusCode::OK, headers, &body).await?;
                }
                None => {
                    reply
                        .refuse(StatusCode::NOT_FOUND, None, "no such call")
                        .await?;
                }
            }
        }
        Role::Metrics => {
            crate::gossip::gauge(node);
            let body = Bytes::from(node.metrics.text());
            reply.full(StatusCode::OK, HeaderMap::new(), &body).await?;
        }
        Role::Ready => {
            reply
                .refuse(StatusCode::NOT_FOUND, None, "no such call")
                .await?;
        }
    }
    Ok(End::Whole)
}

/// Time that callers keep an answer of the directory: short, so that they leave a node that
/// stops within a few seconds, though some keep it three times as long.
const TTL: Millis = Millis(1000);

enum Next {
    Request(Box<Inbound>),
    Closed,
    Bad(StatusCode),
}

/// Reads the next request.
async fn next(
    node: &Node,
    reader: &mut ReadHalf<'_>,
    writer: &mut WriteHalf<'_>,
    codec: &mut Codec,
    input: &mut BytesMut,
    limits: &Limits,
) -> io::Result<Next> {
    let mut since = node.now();
    let mut request: Option<(Request, BytesMut)> = None;
    loop {
        loop {
            let message = match codec.decode(input) {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(error) => return Ok(Next::Bad(status(&error))),
            };
            match (message, &mut request) {
                (Message::Item(head), None) => {
                    if matches!(*head.method(), Method::CONNECT)
                        || codec.message_type() == MessageType::Stream
                    {
                        return Ok(Next::Bad(StatusCode::BAD_REQUEST));
                    }
                    if codec.message_type() == MessageType::None {
                        return Ok(request_read(node, &head, BytesMut::new(), false));
                    }
                    if head.head().expect() && head.version() == Version::HTTP_11 {
                        writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    since = node.now();
                    request = Some((head, BytesMut::new()));
                }
                (Message::Chunk(Some(bytes)), Some((_, body))) => {
                    if body.len() + bytes.len() > limits.body_bytes {
                        return Ok(Next::Bad(StatusCode::PAYLOAD_TOO_LARGE));
                    }
                    body.extend_from_slice(&bytes);
                }
                (Message::Chunk(None), Some((head, body))) => {
                    return Ok(request_read(node, head, std::mem::take(body), true));
                }
                (Message::Chunk(_), None) | (Message::Item(_), Some(_)) => {
                    return Ok(Next::Bad(StatusCode::BAD_REQUEST));
                }
            }
        }
        if request.is_none() && input.len() > limits.head_bytes {
            return Ok(Next::Bad(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
        }
        let idle = request.is_none() && input.is_empty();
        let allowed = match (&request, idle) {
            (Some(_), _) => SLOW_BODY,
            (None, true) => limits.idle_timeout,
            (None, false) => limits.head_timeout,
        };
        let left = Millis(allowed.since(Millis(node.now().since(since))));
        let wait = async {
            let read = timeout(left.duration(), reader.read_buf(input));
            if !idle {
                return Some(read.await);
            }
            tokio::select! {
                biased;
                read = read => Some(read),
                () = stopped(node) => None,
            }
        };
        match wait.await {
            None | Some(Ok(Ok(0))) => return Ok(Next::Closed),
            Some(Ok(Ok(_))) => {
                if idle {
                    since = node.now();
                }
            }
            Some(Ok(Err(error))) => return Err(error),
            Some(Err(_)) if idle => return Ok(Next::Closed),
            Some(Err(_)) => return Ok(Next::Bad(StatusCode::REQUEST_TIMEOUT)),
        }
    }
}

/// Time for a body, as long as the longest time that callers of the users wait.
const SLOW_BODY: Millis = Millis(15_000);

fn request_read(node: &Node, request: &Request, body: BytesMut, has_body: bool) -> Next {
    Next::Request(Box::new(Inbound {
        head: request.head().clone(),
        body: body.freeze(),
        has_body,
        at: node.now(),
    }))
}

fn status(error: &ParseError) -> StatusCode {
    match error {
        ParseError::TooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    }
}

/// Ends when idle connections are to be closed: callers have learnt that this node stops.
async fn stopped(node: &Node) {
    loop {
        let changed = node.stopped.notified();
        if crate::stop::closes_idle(node) {
            return;
        }
        changed.await;
    }
}

/// Reads ahead while a request is served; ends when the caller has left.
async fn watch(reader: &mut ReadHalf<'_>, input: &mut BytesMut) {
    loop {
        if input.len() >= READ_AHEAD {
            return std::future::pending().await;
        }
        match reader.read_buf(input).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Closes after an answer: unread bytes would reset the connection and take the answer along.
async fn linger(reader: &mut ReadHalf<'_>, writer: &mut WriteHalf<'_>) -> io::Result<()> {
    writer.shutdown().await?;
    let mut rest = BytesMut::new();
    let drained = async {
        while reader.read_buf(&mut rest).await? > 0 {
            rest.clear();
        }
        Ok::<(), io::Error>(())
    };
    within(LINGER, drained).await.unwrap_or(Ok(()))
}

async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    timeout(limit, work).await.ok()
}
