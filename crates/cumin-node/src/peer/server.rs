//! The server side: checks the secret, dispatches by `jsonrpsee`, answers from the node's task.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use cumin_http::{Handler, Options, Server};
use cumin_member::Message;
use cumin_request::{Ack, Progress, Refused, Replica};
use cumin_retry::QuarantineRecord;
use cumin_state::recorder::Verdict;
use cumin_types::{NodeName, RequestId};
use futures_util::FutureExt;
use jsonrpsee::RpcModule;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use subtle::ConstantTimeEq;
use tokio::sync::{mpsc, oneshot};

use super::rpc::{Found, PeerServer};
use crate::caller::read_body;
use crate::config::DocumentRevision;
use crate::op::{ApplyOutcome, ApplyRequest, Explanation, HistoryEntry, Op, StatusReport};
use crate::record::Submission;

/// Largest body between nodes, bytes: one request with its answer, or a batch of progress.
const MAX_BODY: usize = 64 << 20;
/// JSON-RPC code of a node that is stopping.
const STOPPING: i32 = -32000;

type Reply<T> = oneshot::Sender<T>;

/// A call from another node, answered by the node's own task.
pub(crate) enum Call {
    Probe(Box<Message>, Reply<Message>),
    Relay(SocketAddr, Box<Message>, Reply<Option<Message>>),
    Hold(Box<Replica>, Reply<Result<(), Refused>>),
    Progress(Vec<Progress>, Reply<Vec<Ack>>),
    Find(RequestId, Reply<Option<Found>>),
    Take(RequestId, NodeName, Reply<Option<Replica>>),
    Suspects(Vec<QuarantineRecord>, Reply<()>),
    Submit(Box<Submission>, Reply<Verdict>),
    Give(Vec<Replica>, Reply<Vec<bool>>),
    Op(Op),
}

/// Where calls arrive.
pub(crate) type Inbox = mpsc::UnboundedReceiver<Call>;

struct Forward {
    calls: mpsc::UnboundedSender<Call>,
}

impl Forward {
    // jsonrpsee wants `Send` futures; the node's state is not `Send`, so calls cross a channel.
    async fn ask<T>(&self, call: impl FnOnce(Reply<T>) -> Call) -> RpcResult<T> {
        let stopping = || ErrorObjectOwned::owned(STOPPING, "the node is stopping", None::<()>);
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }
}

#[async_trait]
impl PeerServer for Forward {
    async fn probe(&self, message: Message) -> RpcResult<Message> {
        self.ask(|reply| Call::Probe(Box::new(message), reply))
            .await
    }

    async fn push(&self, message: Message) -> RpcResult<Message> {
        self.probe(message).await
    }

    async fn relay(&self, address: SocketAddr, message: Message) -> RpcResult<Option<Message>> {
        self.ask(|reply| Call::Relay(address, Box::new(message), reply))
            .await
    }

    async fn hold(&self, given: Replica) -> RpcResult<Result<(), Refused>> {
        self.ask(|reply| Call::Hold(Box::new(given), reply)).await
    }

    async fn progress(&self, batch: Vec<Progress>) -> RpcResult<Vec<Ack>> {
        self.ask(|reply| Call::Progress(batch, reply)).await
    }

    async fn find(&self, id: RequestId) -> RpcResult<Option<Found>> {
        self.ask(|reply| Call::Find(id, reply)).await
    }

    async fn take(&self, id: RequestId, taker: NodeName) -> RpcResult<Option<Replica>> {
        self.ask(|reply| Call::Take(id, taker, reply)).await
    }

    async fn suspects(&self, records: Vec<QuarantineRecord>) -> RpcResult<()> {
        self.ask(|reply| Call::Suspects(records, reply)).await
    }

    async fn submit(&self, submission: Submission) -> RpcResult<Verdict> {
        self.ask(|reply| Call::Submit(Box::new(submission), reply))
            .await
    }

    async fn give(&self, given: Vec<Replica>) -> RpcResult<Vec<bool>> {
        self.ask(|reply| Call::Give(given, reply)).await
    }

    async fn config_fetch(&self) -> RpcResult<Option<DocumentRevision>> {
        self.ask(|reply| Call::Op(Op::Fetch(reply))).await
    }

    async fn apply(&self, apply: ApplyRequest) -> RpcResult<ApplyOutcome> {
        self.ask(|reply| Call::Op(Op::Apply(Box::new(apply), reply)))
            .await
    }

    async fn history(&self) -> RpcResult<Vec<HistoryEntry>> {
        self.ask(|reply| Call::Op(Op::History(reply))).await
    }

    async fn status(&self) -> RpcResult<StatusReport> {
        self.ask(|reply| Call::Op(Op::Status(reply))).await
    }

    async fn explain(&self, subject: String, all: bool) -> RpcResult<Explanation> {
        self.ask(|reply| Call::Op(Op::Explain(subject, all, reply)))
            .await
    }

    async fn drain(&self) -> RpcResult<NodeName> {
        self.ask(|reply| Call::Op(Op::Drain(reply))).await
    }
}

/// Binds `address` for calls from other nodes.
///
/// # Errors
/// When the address can't be bound.
pub(crate) fn serve(address: SocketAddr, secret: &str) -> io::Result<(Server, Inbox)> {
    let (calls, inbox) = mpsc::unbounded_channel();
    let module = Rc::new(Forward { calls }.into_rpc());
    let wanted: Rc<str> = format!("Bearer {secret}").into();
    let handler: Handler = Rc::new(move |request| {
        let module = Rc::clone(&module);
        let wanted = Rc::clone(&wanted);
        async move { answer(request, &module, &wanted).await }.boxed_local()
    });
    Ok((Server::bind(address, Options::default(), handler)?, inbox))
}

async fn answer(
    mut request: Request,
    module: &RpcModule<Forward>,
    wanted: &str,
) -> Response<BoxBody> {
    let given = request
        .headers()
        .get("authorization")
        .map_or(&b""[..], |value| value.as_bytes());
    if !bool::from(given.ct_eq(wanted.as_bytes())) {
        return Response::new(StatusCode::UNAUTHORIZED);
    }
    if request.method() != Method::POST {
        return Response::new(StatusCode::METHOD_NOT_ALLOWED);
    }
    let Ok(body) = read_body(&mut request, MAX_BODY).await else {
        return Response::new(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let Ok(text) = std::str::from_utf8(&body) else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    match module.raw_json_request(text, 1).await {
        Ok((answer, _)) => Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(String::from(Box::<str>::from(answer)))
            .map_into_boxed_body(),
        Err(error) => {
            log::warn!("event=peer_call_malformed error={error:?}");
            Response::new(StatusCode::BAD_REQUEST)
        }
    }
}
