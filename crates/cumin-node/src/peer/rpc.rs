//! The JSON-RPC methods that nodes call on each other.

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

/// State of a request at the node that was asked for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundRequest {
    /// Organisation that the request belongs to.
    pub org: Organisation,
    /// Epoch of the node's copy.
    pub epoch: Epoch,
    /// Number of tokens in the node's copy.
    pub position: Position,
    /// Whether the request has ended.
    pub done: bool,
    /// Whether the node runs the request.
    pub owner: bool,
}

/// Methods that a node serves to other nodes.
#[rpc(server, client)]
pub trait Peer {
    /// Probes the node; the message and its response carry membership updates both ways.
    #[method(name = "member_probe")]
    async fn probe(&self, message: Message) -> RpcResult<Message>;

    /// Sends the node a change that can't wait for the next probe.
    #[method(name = "member_push")]
    async fn push(&self, message: Message) -> RpcResult<Message>;

    /// Has the node probe another one; returns `None` when that one does not answer.
    #[method(name = "member_relay")]
    async fn relay(&self, address: SocketAddr, message: Message) -> RpcResult<Option<Message>>;

    /// Asks the node to store a replica of a request.
    #[method(name = "request_hold")]
    async fn hold(
        &self,
        #[argument(rename = "given")] replica: Replica,
    ) -> RpcResult<Result<(), Refused>>;

    /// Sends the new tokens of requests that the node is the second node of.
    #[method(name = "request_progress")]
    async fn progress(&self, batch: Vec<Progress>) -> RpcResult<Vec<Ack>>;

    /// Returns the state of a request at the node, or `None` when the node does not have it.
    #[method(name = "request_find")]
    async fn find(&self, id: RequestId) -> RpcResult<Option<FoundRequest>>;

    /// Takes a request over from the node, which stops running it.
    #[method(name = "request_take")]
    async fn take(
        &self,
        id: RequestId,
        #[argument(rename = "taker")] new_owner: NodeName,
    ) -> RpcResult<Option<Replica>>;

    /// Sends records of suspect and quarantined requests.
    #[method(name = "quarantine_tell")]
    async fn share_quarantine(&self, records: Vec<QuarantineRecord>) -> RpcResult<()>;

    /// Submits a command to the recorder of its shard.
    #[method(name = "record_submit")]
    async fn submit(&self, submission: Submission) -> RpcResult<Verdict>;

    /// Hands over requests that the sender no longer runs.
    #[method(name = "request_give")]
    async fn hand_over(
        &self,
        #[argument(rename = "given")] replicas: Vec<Replica>,
    ) -> RpcResult<Vec<bool>>;

    /// Returns the document that the node runs, or `None` below revision 1.
    #[method(name = "config_fetch")]
    async fn config_fetch(&self) -> RpcResult<Option<DocumentRevision>>;

    /// Applies a change of the document.
    #[method(name = "op_apply")]
    async fn apply(&self, apply: ApplyRequest) -> RpcResult<ApplyOutcome>;

    /// Returns the accepted revisions.
    #[method(name = "op_history")]
    async fn history(&self) -> RpcResult<Vec<HistoryEntry>>;

    /// Returns the node's view of members, endpoints and load.
    #[method(name = "op_status")]
    async fn status(&self) -> RpcResult<StatusReport>;

    /// Returns the decisions about a subject, also those of the other nodes if `all` is set.
    #[method(name = "op_explain")]
    async fn explain(&self, subject: String, all: bool) -> RpcResult<Explanation>;

    /// Has the node drain and stop, as after a reclaim notice.
    #[method(name = "op_drain")]
    async fn drain(&self) -> RpcResult<NodeName>;
}
