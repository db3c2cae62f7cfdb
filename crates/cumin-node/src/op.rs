//! Operators' calls: apply a document, its history, the state of the system, reasons, drain.

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
use crate::peer::{Client, PeerClient};

/// Longest wait for an answer to an operator: above the time in which a change is settled.
const TIMEOUT: Duration = Duration::from_secs(12);

/// A change of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The whole document, TOML.
    pub text: String,
    /// The revision it was made from; the present one when none is named.
    pub base: Option<Revision>,
    /// Who makes the change.
    pub by: String,
    /// How it came to be.
    #[serde(rename = "way")]
    pub kind: ChangeKind,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ApplyOutcome {
    /// It was read back as the winner.
    Accepted {
        /// Its revision.
        revision: Revision,
        /// Digest of the text.
        digest: Digest,
    },
    /// Another change on the same base came first.
    Conflict {
        /// The revision that won.
        winner: Revision,
        /// Who made it.
        by: String,
        /// When the log took it.
        at: WallMillis,
        /// Keys in which winner and loser differ.
        keys: Vec<String>,
    },
    /// It is in the log and has no effect.
    Refused {
        /// Why.
        reason: String,
    },
    /// The document is not accepted; nothing was sent to the log.
    Invalid {
        /// Every problem.
        problems: Vec<String>,
    },
    /// The log did not take it, and it can't take effect later.
    Unavailable {
        /// Why.
        reason: String,
    },
    /// It may have taken effect, or may yet.
    Uncertain {
        /// What is known.
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

/// One accepted revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Its number.
    pub revision: Revision,
    /// Digest of the text.
    pub digest: Digest,
    /// Who made it.
    pub by: String,
    /// The node that appended it.
    pub node: NodeName,
    /// When the log took it.
    pub at: WallMillis,
    /// How it came to be.
    #[serde(flatten)]
    pub kind: ChangeKind,
    /// Keys that differ from the revision before.
    pub keys: Vec<String>,
}

/// A member as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: NodeName,
    /// Its data centre.
    pub place: Place,
    /// `alive`, `suspect`, `dead`, `leaving` or `left`.
    pub status: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where nodes and operators connect.
    pub rpc: SocketAddr,
}

/// The state of the system as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node that answers.
    pub node: NodeName,
    /// The revision it runs; zero for a document of its command line.
    pub revision: Revision,
    /// Digest of that revision's text, none for revision 0.
    pub digest: Option<Digest>,
    /// True when callers should use it.
    pub ready: bool,
    /// True when it is leaving.
    pub leaving: bool,
    /// Requests that it runs.
    pub running: usize,
    /// Requests that wait at it.
    pub queued: usize,
    /// Every member, the answering node first.
    pub members: Vec<MemberStatus>,
    /// Endpoints by service.
    pub endpoints: BTreeMap<Service, usize>,
}

/// A decision and the node that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDecision {
    /// The node.
    pub node: NodeName,
    /// What it decided.
    pub decision: Decision,
}

/// Decisions about one subject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The decisions, oldest first.
    pub decisions: Vec<NodeDecision>,
    /// Nodes that did not answer, whose decisions are missing.
    pub silent: Vec<NodeName>,
}

type Reply<T> = oneshot::Sender<T>;

/// A call of an operator, or of a node that fetches the document.
pub(crate) enum Op {
    Fetch(Reply<Option<DocumentRevision>>),
    Apply(Box<ApplyRequest>, Reply<ApplyOutcome>),
    History(Reply<Vec<HistoryEntry>>),
    Status(Reply<StatusReport>),
    Explain(String, bool, Reply<Explanation>),
    Drain(Reply<NodeName>),
}

/// Answers a call, in a task of its own where it waits for others.
pub(crate) fn handle(ctx: &Rc<Ctx>, op: Op) {
    let tasks = ctx.tasks.clone();
    let ctx = Rc::clone(ctx);
    match op {
        Op::Fetch(reply) => {
            let _ = reply.send(ctx.config.active_document());
        }
        Op::Apply(apply, reply) => {
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
        Op::History(reply) => {
            tasks.spawn(async move {
                // While the log can't be read, what was folded before is told.
                config::catch_up(&ctx).await;
                let _ = reply.send(history(&ctx));
            });
        }
        Op::Status(reply) => {
            let _ = reply.send(status(&ctx));
        }
        Op::Explain(subject, all, reply) => {
            tasks.spawn(async move {
                let _ = reply.send(explain(&ctx, &subject, all).await);
            });
        }
        Op::Drain(reply) => {
            log::info!("event=drain_ordered node={}", ctx.settings.name);
            let _ = reply.send(ctx.settings.name.clone());
            ctx.reclaimed.notify_one();
        }
    }
}

fn history(ctx: &Ctx) -> Vec<HistoryEntry> {
    let entries = ctx.config.history().into_iter();
    let past = entries.map(|entry| HistoryEntry {
        revision: entry.revision,
        digest: entry.digest,
        by: entry.by,
        node: entry.author.node,
        at: entry.wall,
        kind: entry.kind,
        keys: entry.keys,
    });
    past.collect()
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
    let endpoints = services.map(|service| (service.clone(), ctx.fleet.candidates(service).len()));
    StatusReport {
        node: ctx.settings.name.clone(),
        revision,
        digest,
        ready: ctx.is_ready(),
        leaving: ctx.members.is_leaving(),
        running: ctx.table.len(),
        queued: ctx.gate.queued(),
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
        peers.filter(|record| record.member.name != ctx.settings.name && !record.status.gone());
    let answers = join_all(peers.map(|peer| async move {
        let explanation = match ctx.client.to(peer.member.rpc) {
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

/// A call of an operator without an answer.
#[derive(Debug, Display, Error)]
pub enum OperatorError {
    /// The node does not answer, or not with this secret.
    #[display("{node}: {error}")]
    Call {
        /// The node's address.
        node: SocketAddr,
        /// What went wrong.
        error: ClientError,
    },
}

/// Calls a node as its operator.
pub struct Operator {
    node: SocketAddr,
    client: Client,
}

impl Operator {
    /// Calls the node whose `peer_listen` address is `node`, with the secret that the nodes share.
    #[must_use]
    pub fn new(node: SocketAddr, secret: &str) -> Self {
        Self {
            node,
            client: Client::new(secret, TIMEOUT),
        }
    }

    fn client(&self) -> Result<HttpClient, OperatorError> {
        self.client
            .to(self.node)
            .map_err(|error| self.failed(error))
    }

    fn failed(&self, error: ClientError) -> OperatorError {
        OperatorError::Call {
            node: self.node,
            error,
        }
    }

    /// Changes the document. An error leaves open whether the change took effect.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn apply(&self, apply: ApplyRequest) -> Result<ApplyOutcome, OperatorError> {
        let answer = self.client()?.apply(apply).await;
        answer.map_err(|error| self.failed(error))
    }

    /// Returns the accepted revisions, oldest first.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, OperatorError> {
        let answer = self.client()?.history().await;
        answer.map_err(|error| self.failed(error))
    }

    /// Returns the state of the system as the node sees it.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn status(&self) -> Result<StatusReport, OperatorError> {
        let answer = self.client()?.status().await;
        answer.map_err(|error| self.failed(error))
    }

    /// Returns the decisions of all nodes about a request, endpoint, instance or node.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn explain(&self, subject: &str) -> Result<Explanation, OperatorError> {
        let answer = self.client()?.explain(subject.into(), true).await;
        answer.map_err(|error| self.failed(error))
    }

    /// Has the node drain and stop; returns its name.
    ///
    /// # Errors
    /// When the node does not answer.
    pub async fn drain(&self) -> Result<NodeName, OperatorError> {
        let answer = self.client()?.drain().await;
        answer.map_err(|error| self.failed(error))
    }
}
