//! The methods that nodes offer each other.

use std::net::SocketAddr;

use cumin_member::Message;
use cumin_request::{Ack, Progress, Refused, Replica};
use cumin_retry::QuarantineRecord;
use cumin_state::recorder::Verdict;
use cumin_types::{Epoch, NodeName, Organisation, Position, RequestId};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::config::DocumentRevision;
use crate::op::{ApplyOutcome, ApplyRequest, Explanation, HistoryEntry, StatusReport};
use crate::record::Submission;

/// What a node knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// Whose request it is.
    pub org: Organisation,
    /// The epoch that the node has.
    pub epoch: Epoch,
    /// The number of tokens that the node has.
    pub position: Position,
    /// True when the request has ended.
    pub done: bool,
    /// True when the node runs it.
    pub owner: bool,
}

/// Methods between nodes.
#[rpc(server, client)]
pub trait Peer {
    /// Probes the node; both sides learn from the message and its answer.
    #[method(name = "member_probe")]
    async fn probe(&self, message: Message) -> RpcResult<Message>;

    /// Tells the node of a change that can't wait for a probe.
    #[method(name = "member_push")]
    async fn push(&self, message: Message) -> RpcResult<Message>;

    /// Has the node probe another one; none when that one does not answer.
    #[method(name = "member_relay")]
    async fn relay(&self, address: SocketAddr, message: Message) -> RpcResult<Option<Message>>;

    /// Asks the node to be the second of a request.
    #[method(name = "request_hold")]
    async fn hold(&self, given: Replica) -> RpcResult<Result<(), Refused>>;

    /// Sends new tokens of requests that the node is the second of.
    #[method(name = "request_progress")]
    async fn progress(&self, batch: Vec<Progress>) -> RpcResult<Vec<Ack>>;

    /// Asks what the node knows of a request.
    #[method(name = "request_find")]
    async fn find(&self, id: RequestId) -> RpcResult<Option<Found>>;

    /// Takes a request over; its owner is superseded.
    #[method(name = "request_take")]
    async fn take(&self, id: RequestId, taker: NodeName) -> RpcResult<Option<Replica>>;

    /// Tells of suspects and quarantined requests.
    #[method(name = "quarantine_tell")]
    async fn suspects(&self, records: Vec<QuarantineRecord>) -> RpcResult<()>;

    /// Submits a record to the recorder of its shard.
    #[method(name = "record_submit")]
    async fn submit(&self, submission: Submission) -> RpcResult<Verdict>;

    /// Hands requests over that the sender no longer runs.
    #[method(name = "request_give")]
    async fn give(&self, given: Vec<Replica>) -> RpcResult<Vec<bool>>;

    /// Asks for the document that the node runs; none below revision 1.
    #[method(name = "config_fetch")]
    async fn config_fetch(&self) -> RpcResult<Option<DocumentRevision>>;

    /// Changes the document.
    #[method(name = "op_apply")]
    async fn apply(&self, apply: ApplyRequest) -> RpcResult<ApplyOutcome>;

    /// Asks for the accepted revisions.
    #[method(name = "op_history")]
    async fn history(&self) -> RpcResult<Vec<HistoryEntry>>;

    /// Asks what the node sees.
    #[method(name = "op_status")]
    async fn status(&self) -> RpcResult<StatusReport>;

    /// Asks for the decisions about a subject, those of the other nodes too when `all` is set.
    #[method(name = "op_explain")]
    async fn explain(&self, subject: String, all: bool) -> RpcResult<Explanation>;

    /// Has the node drain and stop, as a reclaim notice does.
    #[method(name = "op_drain")]
    async fn drain(&self) -> RpcResult<NodeName>;
}
