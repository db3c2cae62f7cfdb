//! Server for calls from other nodes: checks the secret, dispatches with `jsonrpsee` and forwards
//! the calls to the node's task.

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

use super::rpc::{FoundRequest, PeerServer};
use crate::caller::read_body;
use crate::config::DocumentRevision;
use crate::op::{
    ApplyOutcome, ApplyRequest, Explanation, HistoryEntry, OperatorCall, StatusReport,
};
use crate::record::Submission;

/// Largest body between nodes, in bytes: one request with its answer, or a batch of progress.
const MAX_BODY_BYTES: usize = 64 << 20;
/// JSON-RPC error code of a node that is stopping.
const STOPPING_CODE: i32 = -32000;

type Reply<T> = oneshot::Sender<T>;

/// A call from another node, with the channel on which the node's task replies.
pub(crate) enum PeerCall {
    Probe(Box<Message>, Reply<Message>),
    Relay(SocketAddr, Box<Message>, Reply<Option<Message>>),
    Hold(Box<Replica>, Reply<Result<(), Refused>>),
    Progress(Vec<Progress>, Reply<Vec<Ack>>),
    Find(RequestId, Reply<Option<FoundRequest>>),
    Take(RequestId, NodeName, Reply<Option<Replica>>),
    ShareQuarantine(Vec<QuarantineRecord>, Reply<()>),
    Submit(Box<Submission>, Reply<Verdict>),
    HandOver(Vec<Replica>, Reply<Vec<bool>>),
    Operator(OperatorCall),
}

/// Receiver of the calls from other nodes.
pub(crate) type Inbox = mpsc::UnboundedReceiver<PeerCall>;

struct Forwarder {
    calls: mpsc::UnboundedSender<PeerCall>,
}

impl Forwarder {
    // jsonrpsee requires `Send` futures and the node's state is not `Send`, so calls go through a
    // channel.
    async fn forward<T>(&self, call: impl FnOnce(Reply<T>) -> PeerCall) -> RpcResult<T> {
        let stopping =
            || ErrorObjectOwned::owned(STOPPING_CODE, "the node is stopping", None::<()>);
        let (reply, receiver) = oneshot::channel();
        self.calls.send(call(reply)).map_err(|_| stopping())?;
        receiver.await.map_err(|_| stopping())
    }
}

#[async_trait]
impl PeerServer for Forwarder {
    async fn probe(&self, message: Message) -> RpcResult<Message> {
        self.forward(|reply| PeerCall::Probe(Box::new(message), reply))
            .await
    }

    async fn push(&self, message: Message) -> RpcResult<Message> {
        self.probe(message).await
    }

    async fn relay(&self, address: SocketAddr, message: Message) -> RpcResult<Option<Message>> {
        self.forward(|reply| PeerCall::Relay(address, Box::new(message), reply))
            .await
    }

    async fn hold(&self, replica: Replica) -> RpcResult<Result<(), Refused>> {
        self.forward(|reply| PeerCall::Hold(Box::new(replica), reply))
            .await
    }

    async fn progress(&self, batch: Vec<Progress>) -> RpcResult<Vec<Ack>> {
        self.forward(|reply| PeerCall::Progress(batch, reply)).await
    }

    async fn find(&self, id: RequestId) -> RpcResult<Option<FoundRequest>> {
        self.forward(|reply| PeerCall::Find(id, reply)).await
    }

    async fn take(&self, id: RequestId, new_owner: NodeName) -> RpcResult<Option<Replica>> {
        self.forward(|reply| PeerCall::Take(id, new_owner, reply))
            .await
    }

    async fn share_quarantine(&self, records: Vec<QuarantineRecord>) -> RpcResult<()> {
        self.forward(|reply| PeerCall::ShareQuarantine(records, reply))
            .await
    }

    async fn submit(&self, submission: Submission) -> RpcResult<Verdict> {
        self.forward(|reply| PeerCall::Submit(Box::new(submission), reply))
            .await
    }

    async fn hand_over(&self, replicas: Vec<Replica>) -> RpcResult<Vec<bool>> {
        self.forward(|reply| PeerCall::HandOver(replicas, reply))
            .await
    }

    async fn config_fetch(&self) -> RpcResult<Option<DocumentRevision>> {
        self.forward(|reply| PeerCall::Operator(OperatorCall::Fetch(reply)))
            .await
    }

    async fn apply(&self, apply: ApplyRequest) -> RpcResult<ApplyOutcome> {
        self.forward(|reply| PeerCall::Operator(OperatorCall::Apply(Box::new(apply), reply)))
            .await
    }

    async fn history(&self) -> RpcResult<Vec<HistoryEntry>> {
        self.forward(|reply| PeerCall::Operator(OperatorCall::History(reply)))
            .await
    }

    async fn status(&self) -> RpcResult<StatusReport> {
        self.forward(|reply| PeerCall::Operator(OperatorCall::Status(reply)))
            .await
    }

    async fn explain(&self, subject: String, all: bool) -> RpcResult<Explanation> {
        self.forward(|reply| PeerCall::Operator(OperatorCall::Explain(subject, all, reply)))
            .await
    }

    async fn drain(&self) -> RpcResult<NodeName> {
        self.forward(|reply| PeerCall::Operator(OperatorCall::Drain(reply)))
            .await
    }
}

/// Binds `address` for calls from other nodes.
///
/// # Errors
/// When the address can't be bound.
pub(crate) fn serve(address: SocketAddr, secret: &str) -> io::Result<(Server, Inbox)> {
    let (calls, inbox) = mpsc::unbounded_channel();
    let module = Rc::new(Forwarder { calls }.into_rpc());
    let expected: Rc<str> = format!("Bearer {secret}").into();
    let handler: Handler = Rc::new(move |request| {
        let module = Rc::clone(&module);
        let expected = Rc::clone(&expected);
        async move { respond(request, &module, &expected).await }.boxed_local()
    });
    Ok((Server::bind(address, Options::default(), handler)?, inbox))
}

async fn respond(
    mut request: Request,
    module: &RpcModule<Forwarder>,
    expected: &str,
) -> Response<BoxBody> {
    let received = request
        .headers()
        .get("authorization")
        .map_or(&b""[..], |value| value.as_bytes());
    if !bool::from(received.ct_eq(expected.as_bytes())) {
        return Response::new(StatusCode::UNAUTHORIZED);
    }
    if request.method() != Method::POST {
        return Response::new(StatusCode::METHOD_NOT_ALLOWED);
    }
    let Ok(body) = read_body(&mut request, MAX_BODY_BYTES).await else {
        return Response::new(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let Ok(text) = std::str::from_utf8(&body) else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    match module.raw_json_request(text, 1).await {
        Ok((response, _)) => Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(String::from(Box::<str>::from(response)))
            .map_into_boxed_body(),
        Err(error) => {
            log::warn!("event=peer_call_malformed error={error:?}");
            Response::new(StatusCode::BAD_REQUEST)
        }
    }
}
