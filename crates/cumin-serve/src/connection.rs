//! A connection to an endpoint, one request at a time.
//!
//! `awc` pools connections behind its own rules; here each must be judged: an endpoint can answer
//! twice, late, in part or without a length, and bytes after a complete answer belong to nothing.
//! So this drives the codec of `actix-http` over a plain socket.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Uri,
};
use bytes::{Bytes, BytesMut};
use cumin_types::Millis;
use derive_more::{Display, Error};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// An answer that did not come whole.
#[derive(Debug, Display, Error)]
pub(crate) enum Fault {
    /// The connection ended.
    #[display("the connection ended: {_0}")]
    Ended(io::Error),
    /// Bytes are not an answer.
    #[display("the answer can't be read: {_0}")]
    Garbled(#[error(not(source))] String),
}

/// A connection.
#[derive(Debug)]
pub(crate) struct Connection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    /// Must not be used for another request.
    spent: bool,
    /// Requests that it has carried.
    pub(crate) used: u32,
    /// When it became idle, and how long the endpoint keeps it then.
    pub(crate) idle: (Millis, Option<Millis>),
}

/// What is sent.
#[derive(Debug)]
pub(crate) struct Sending<'a> {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: &'a Bytes,
    /// Whether the caller sent a body, be it empty.
    pub(crate) has_body: bool,
}

enum Body {
    None,
    Framed(Box<ClientPayloadCodec>),
    UntilClose,
}

/// An answer whose head has come.
pub(crate) struct Answer {
    link: Connection,
    body: Body,
    keep: bool,
    pub(crate) head: ResponseHead,
}

impl Connection {
    /// Connects within `limit`.
    pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            spent: false,
            used: 0,
            idle: (Millis(0), None),
        })
    }

    /// Returns whether an idle connection is open and has no bytes that nobody asked for.
    pub(crate) fn quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of an answer that `mine` accepts.
    ///
    /// Answers to other requests are read to their end and dropped.
    pub(crate) async fn exchange(
        mut self,
        config: &ServiceConfig,
        sending: Sending<'_>,
        mine: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Answer, Fault> {
        self.used += 1;
        let mut codec = ClientCodec::new(config.clone());
        let mut head = RequestHead::default();
        head.method = sending.method.clone();
        head.uri = sending.uri;
        head.headers = sending.headers;
        let size = if sending.has_body {
            BodySize::Sized(sending.body.len() as u64)
        } else {
            BodySize::None
        };
        let message = Message::Item((RequestHeadType::Owned(head), size));
        codec
            .encode(message, &mut self.output)
            .map_err(Fault::Ended)?;
        self.output.extend_from_slice(sending.body);
        let bare = sending.method == Method::HEAD;
        loop {
            let answer = self.head(codec, bare).await?;
            if answer.head.status.is_informational() {
                (self, codec) = (answer.link, ClientCodec::new(config.clone()));
                continue;
            }
            if mine(&answer.head) {
                return Ok(answer);
            }
            log::warn!("event=stray_answer status={}", answer.head.status.as_u16());
            self = answer.skip().await?;
            // What follows is the answer to this request; nothing may follow that.
            self.spent = true;
            codec = ClientCodec::new(config.clone());
        }
    }

    async fn head(mut self, mut codec: ClientCodec, bare: bool) -> Result<Answer, Fault> {
        loop {
            let decoded = codec.decode(&mut self.input);
            if let Some(head) = decoded.map_err(|error| Fault::Garbled(error.to_string()))? {
                let keep = codec.keep_alive();
                let body = body(codec, &head, bare);
                return Ok(Answer {
                    link: self,
                    body,
                    keep,
                    head,
                });
            }
            self.pump().await?;
        }
    }

    /// Reads some bytes, writing what is left of the request meanwhile.
    async fn pump(&mut self) -> Result<(), Fault> {
        let read = {
            let (mut reader, mut writer) = self.stream.split();
            loop {
                if self.output.is_empty() {
                    break reader.read_buf(&mut self.input).await;
                }
                tokio::select! {
                    biased;
                    written = writer.write_buf(&mut self.output) => if written.is_err() {
                        // An endpoint may answer before it has read a long body, and close.
                        self.output.clear();
                        self.spent = true;
                    },
                    read = reader.read_buf(&mut self.input) => break read,
                }
            }
        };
        match read {
            Ok(0) => Err(Fault::Ended(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(error) => Err(Fault::Ended(error)),
        }
    }
}

fn body(codec: ClientCodec, head: &ResponseHead, bare: bool) -> Body {
    let bodiless = bare
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    match codec.message_type() {
        MessageType::None if bodiless || head.headers.contains_key(CONTENT_LENGTH) => Body::None,
        // The codec takes an answer without a length as empty.
        MessageType::None => Body::UntilClose,
        MessageType::Payload | MessageType::Stream => {
            Body::Framed(Box::new(codec.into_payload_codec()))
        }
    }
}

impl Answer {
    /// Reads the next bytes of the body; `None` at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Fault> {
        loop {
            match &mut self.body {
                Body::None => return Ok(None),
                Body::Framed(codec) => match codec.decode(&mut self.link.input) {
                    Ok(Some(Some(bytes))) => return Ok(Some(bytes)),
                    Ok(Some(None)) => {
                        self.body = Body::None;
                        return Ok(None);
                    }
                    Ok(None) => {}
                    Err(error) => return Err(Fault::Garbled(error.to_string())),
                },
                Body::UntilClose if !self.link.input.is_empty() => {
                    return Ok(Some(self.link.input.split().freeze()));
                }
                Body::UntilClose => {}
            }
            match self.link.pump().await {
                Ok(()) => {}
                Err(Fault::Ended(error))
                    if error.kind() == io::ErrorKind::UnexpectedEof
                        && matches!(self.body, Body::UntilClose) =>
                {
                    self.body = Body::None;
                    self.link.spent = true;
                    return Ok(None);
                }
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Reads the whole body, at most `limit` bytes.
    pub(crate) async fn whole(&mut self, limit: usize) -> Result<Bytes, Fault> {
        let Some(first) = self.next().await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.next().await? else {
            return Ok(first);
        };
        let mut all = BytesMut::from(first.as_ref());
        all.extend_from_slice(&second);
        while let Some(bytes) = self.next().await? {
            if all.len() + bytes.len() > limit {
                return Err(Fault::Garbled(format!("the body exceeds {limit} bytes")));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(all.freeze())
    }

    async fn skip(mut self) -> Result<Connection, Fault> {
        while self.next().await?.is_some() {}
        if self.keep && !self.link.spent {
            Ok(self.link)
        } else {
            Err(Fault::Ended(io::ErrorKind::UnexpectedEof.into()))
        }
    }

    /// Returns the connection for another request, if it is in order and the answer was read.
    pub(crate) fn into_link(self) -> Option<Connection> {
        let link = self.link;
        let whole = matches!(self.body, Body::None);
        let clean = link.input.is_empty() && link.output.is_empty() && !link.spent;
        (whole && self.keep && clean).then_some(link)
    }
}
