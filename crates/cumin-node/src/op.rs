//! Calls of operators: apply a document, list its history, report status, explain decisions and
//! drain a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_state::config::ChangeKind;
use cumin_types::{Digest, Incarnation, NodeName, Place, Revision, Service, WallMillis};
use derive_more::{Display, Error};
use futures_util::future::join_all;
use jsonrpsee::core::ClientError;
use jsonrpsee_http_client::HttpClient;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::config::{self, DocumentRevision};
use crate::explain::Decision;
use crate::node::Ctx;
use crate::peer::{ClientPool, PeerClient};

/// Timeout of an operator's call: longer than a node needs to apply a change.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Request to change the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The whole document, TOML.
    pub text: String,
    /// The revision that the change is based on; the current one when absent.
    pub base: Option<Revision>,
    /// Name of the person who makes the change.
    pub by: String,
    /// Kind of change.
    #[serde(rename = "way")]
    pub kind: ChangeKind,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApplyOutcome {
    /// The change was read back from the log as accepted.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
        /// Digest of the text.
        digest: Digest,
    },
    /// Another change on the same base was accepted first.
    Conflict {
        /// The revision that was accepted instead.
        winner: Revision,
        /// Who made that revision.
        by: String,
        /// When the log stored it.
        at: WallMillis,
        /// Keys in which the two documents differ.
        keys: Vec<String>,
    },
    /// The change was refused and has no effect.
    Refused {
        /// Reason, for the operator.
        reason: String,
    },
    /// The document is invalid; nothing was sent to the log.
    Invalid {
        /// All problems of the document.
        problems: Vec<String>,
    },
    /// The log did not store the change, and it can't take effect later.
    Unavailable {
        /// Reason, for the operator.
        reason: String,
    },
    /// The change may have taken effect, or may still do so.
    Uncertain {
        /// What is known, for the operator.
        reason: String,
    },
}

impl ApplyOutcome {
    pub(crate) fn refused(reason: &str) -> Self {
        Self::Refused {
            reason: reason.into(),
        }
    }

    pub(crate) fn unavailable(reason: &str) -> Self {
        Self::Unavailable {
            reason: reason.into(),
        }
    }
}

/// An accepted revision in the history of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Number of the revision.
    pub revision: Revision,
    /// Digest of the text.
    pub digest: Digest,
    /// Who made the change.
    pub by: String,
    /// The node that appended the change.
    pub node: NodeName,
    /// When the log stored the change.
    pub at: WallMillis,
    /// Kind of change.
    #[serde(flatten)]
    pub kind: ChangeKind,
    /// Keys that differ from the previous revision.
    pub keys: Vec<String>,
}

/// Status of a member as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: NodeName,
    /// Data centre of the member.
    pub place: Place,
    /// `alive`, `suspect`, `dead`, `leaving` or `left`.
    pub status: String,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address that nodes and operators connect to.
    pub rpc: SocketAddr,
}

/// Status of the system as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node that reports.
    pub node: NodeName,
    /// The active revision; zero for a document from the command line.
    pub revision: Revision,
    /// Digest of that revision's text; none for revision 0.
    pub digest: Option<Digest>,
    /// True when callers should use the node.
    pub ready: bool,
    /// True when the node is leaving.
    pub leaving: bool,
    /// Number of requests that the node runs.
    pub running: usize,
    /// Number of requests in the node's queue.
    pub queued: usize,
    /// All members, the reporting node first.
    pub members: Vec<MemberStatus>,
    /// Number of usable endpoints by service.
    pub endpoints: BTreeMap<Service, usize>,
}

/// A decision with the node that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDecision {
    /// The node that made the decision.
    pub node: NodeName,
    /// The decision.
    pub decision: Decision,
}

/// All decisions about one subject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The decisions, oldest first.
    pub decisions: Vec<NodeDecision>,
    /// Nodes that did not answer, so that their decisions are missing.
    pub silent: Vec<NodeName>,
}

type Reply<T> = oneshot::Sender<T>;

/// A call of an operator, or of a peer that fetches the document.
pub(crate) enum OperatorCall {
    Fetch(Reply<Option<DocumentRevision>>),
    Apply(Box<ApplyRequest>, Reply<ApplyOutcome>),
    History(Reply<Vec<HistoryEntry>>),
    Status(Reply<StatusReport>),
    Explain(String, bool, Reply<Explanation>),
    Drain(Reply<NodeName>),
}

/// Answers a call; calls that wait for other nodes or the log get a task of their own.
pub(crate) fn handle(ctx: &Rc<Ctx>, call: OperatorCall) {
    let tasks = ctx.tasks.clone();
    let ctx = Rc::clone(ctx);
    match call {
        OperatorCall::Fetch(reply) => {
            let _ = reply.send(ctx.config.active_document());
        }
        OperatorCall::Apply(apply, reply) => {
            tasks.spawn(async move {
                let ApplyRequest {
                    text,
                    base,
                    by,
                    kind,
                } = *apply;
                let outcome = config::apply(&ctx, text, base, &by, kind).await;
                log::info!("event=apply by={by:?} outcome={outcome:?}");
                let _ = reply.send(outcome);
            });
        }
        OperatorCall::History(reply) => {
            tasks.spawn(async move {
                // While the log can't be read, the reply is what was replayed before.
                config::catch_up(&ctx).await;
                let _ = reply.send(history(&ctx));
            });
        }
        OperatorCall::Status(reply) => {
            let _ = reply.send(status(&ctx));
        }
        OperatorCall::Explain(subject, all, reply) => {
            tasks.spawn(async move {
                let _ = reply.send(explain(&ctx, &subject, all).await);
            });
        }
        OperatorCall::Drain(reply) => {
            log::info!("event=drain_ordered node={}", ctx.settings.name);
            let _ = reply.send(ctx.settings.name.clone());
            ctx.reclaimed.notify_one();
        }
    }
}

fn history(ctx: &Ctx) -> Vec<HistoryEntry> {
    let accepted = ctx.config.history().into_iter();
    let entries = accepted.map(|entry| HistoryEntry {
        revision: entry.revision,
        digest: entry.digest,
        by: entry.by,
        node: entry.author.node,
        at: entry.wall,
        kind: entry.kind,
        keys: entry.keys,
    });
    entries.collect()
}

fn status(ctx: &Ctx) -> StatusReport {
    let (revision, digest) = ctx.config.revision();
    let members = ctx
        .members
        .records()
        .into_iter()
        .map(|record| MemberStatus {
            name: record.member.name,
            place: record.member.place,
            status: record.status.to_string(),
            incarnation: record.member.incarnation,
            caller: record.member.caller,
            rpc: record.member.rpc,
        });
    let document = ctx.document();
    let services = document.services.keys();
    let endpoints =
        services.map(|service| (service.clone(), ctx.fleet.candidates(ctx, service).len()));
    StatusReport {
        node: ctx.settings.name.clone(),
        revision,
        digest,
        ready: ctx.is_ready(),
        leaving: ctx.members.is_leaving(),
        running: ctx.table.len(),
        queued: ctx.admission.queued(),
        members: members.collect(),
        endpoints: endpoints.collect(),
    }
}

async fn explain(ctx: &Ctx, subject: &str, all: bool) -> Explanation {
    let own = ctx.decisions.about(subject).into_iter();
    let mut merged = Explanation {
        decisions: own
            .map(|decision| NodeDecision {
                node: ctx.settings.name.clone(),
                decision,
            })
            .collect(),
        silent: Vec::new(),
    };
    if !all {
        return merged;
    }
    let peers = ctx.members.records().into_iter();
    let peers =
        peers.filter(|record| record.member.name != ctx.settings.name && !record.status.is_gone());
    let answers = join_all(peers.map(|peer| async move {
        let explanation = match ctx.peer_clients.get(peer.member.rpc) {
            Ok(client) => client.explain(subject.into(), false).await.ok(),
            Err(_) => None,
        };
        (peer.member.name, explanation)
    }));
    for (name, explanation) in answers.await {
        match explanation {
            Some(explanation) => merged.decisions.extend(explanation.decisions),
            None => merged.silent.push(name),
        }
    }
    merged.decisions.sort_by_key(|entry| entry.decision.at);
    merged
}

/// Error of an operator's call.
#[derive(Debug, Display, Error)]
pub enum OperatorError {
    /// The node did not answer, or rejected the secret.
    #[display("{node}: {error}")]
    Call {
        /// Address of the node.
        node: SocketAddr,
        /// Error of the RPC client.
        error: ClientError,
    },
}

/// Client for operators of a node.
pub struct Operator {
    node: SocketAddr,
    client: ClientPool,
}

impl Operator {
    /// Creates a client of the node whose `peer_listen` address is `node`, with the secret that the
    /// nodes share.
    #[must_use]
    pub fn new(node: SocketAddr, secret: &str) -> Self {
        Self {
            node,
            client: ClientPool::new(secret, TIMEOUT),
        }
    }

    fn client(&self) -> Result<HttpClient, OperatorError> {
        self.client
            .get(self.node)
            .map_err(|error| self.failed(error))
    }

    fn failed(&self, error: ClientError) -> OperatorError {
        OperatorError::Call {
            node: self.node,
            error,
        }
    }

    /// Changes the document. After an error, the change may or may not have taken effect.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn apply(&self, apply: ApplyRequest) -> Result<ApplyOutcome, OperatorError> {
        let result = self.client()?.apply(apply).await;
        result.map_err(|error| self.failed(error))
    }

    /// Returns the accepted revisions, oldest first.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, OperatorError> {
        let result = self.client()?.history().await;
        result.map_err(|error| self.failed(error))
    }

    /// Returns the status of the system as the node sees it.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn status(&self) -> Result<StatusReport, OperatorError> {
        let result = self.client()?.status().await;
        result.map_err(|error| self.failed(error))
    }

    /// Returns the decisions of all nodes about a request, endpoint, instance or node.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn explain(&self, subject: &str) -> Result<Explanation, OperatorError> {
        let result = self.client()?.explain(subject.into(), true).await;
        result.map_err(|error| self.failed(error))
    }

    /// Tells the node to drain and stop; returns its name.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn drain(&self) -> Result<NodeName, OperatorError> {
        let result = self.client()?.drain().await;
        result.map_err(|error| self.failed(error))
    }
}
