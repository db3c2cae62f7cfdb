//! Starts and stops a node, and answers the calls of other nodes.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_config::{Document, Settings};
use cumin_http::Server;
use cumin_request::{ReplicaStore, ReplicaStoreOptions};
use cumin_types::{Incarnation, Millis};
use derive_more::{Display, Error};
use tokio::sync::Notify;

use crate::admission::AdmissionControl;
use crate::caller;
use crate::clock::{Clock, wall};
use crate::config::{self, Configuration};
use crate::explain::Decisions;
use crate::fleet::Fleet;
use crate::health::Health;
use crate::http;
use crate::member::{Member, Members};
use crate::metrics::Metrics;
use crate::op;
use crate::peer::{self, ClientPool, FoundRequest, Inbox, PeerCall, PeerClient};
use crate::record::{Recorders, Records};
use crate::request::{self, Replicator, RequestTable};
use crate::statement::Statements;
use crate::task::Tasks;

/// Time for the last bytes of a response to leave the socket after its body was written.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for callers to read which node continues their requests.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeouts and periods that a deployment has no reason to change; tests change them.
#[derive(Clone, Debug)]
pub struct Options {
    /// Longest wait for the first frame of an attempt.
    pub start_timeout: Duration,
    /// Longest wait between two frames of an attempt.
    pub stall_timeout: Duration,
    /// Timeout of a call to another node.
    pub peer_timeout: Duration,
    /// Timeout for opening a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Time from acceptance to the deadline of a completion whose caller sets none.
    pub completion_deadline: Millis,
    /// Time from acceptance to the deadline of a plain call whose caller sets none.
    pub plain_deadline: Millis,
    /// Time for which a request continues while no caller reads its answer.
    pub abandon_after: Millis,
    /// Period of polling the platform's lists and the endpoints' reports.
    pub poll_period: Duration,
    /// Time for which an endpoint may get requests after an answer stated that it leaves.
    pub leave_time: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            start_timeout: Duration::from_secs(20),
            stall_timeout: Duration::from_secs(2),
            peer_timeout: Duration::from_millis(500),
            connect_timeout: Duration::from_millis(500),
            completion_deadline: Millis(120_000),
            plain_deadline: Millis(10_000),
            abandon_after: Millis(30_000),
            poll_period: Duration::from_millis(200),
            leave_time: Millis(2_000),
        }
    }
}

/// Reason why a node could not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[display("can't bind {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The settings have neither `secret` nor a readable `secret_file`.
    #[display("settings name no shared secret: set secret_file")]
    #[error(ignore)]
    Secret,
}

/// State shared by a node's tasks; each field is written by one module only.
pub(crate) struct Ctx {
    pub(crate) tasks: Tasks,
    pub(crate) settings: Settings,
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    pub(crate) document: RefCell<Rc<Document>>,
    pub(crate) config: Configuration,
    pub(crate) members: Members,
    /// Clients for calls to other nodes.
    pub(crate) peer_clients: ClientPool,
    /// Clients with a longer timeout, for calls that wait for the log or for a takeover.
    pub(crate) slow_clients: ClientPool,
    /// HTTP client that keeps connections open and reuses them.
    pub(crate) pooled: awc::Client,
    /// HTTP client that opens a new connection for each call.
    pub(crate) unpooled: awc::Client,
    pub(crate) table: RequestTable,
    pub(crate) replica_store: RefCell<ReplicaStore>,
    pub(crate) replicator: Replicator,
    pub(crate) fleet: Fleet,
    pub(crate) admission: AdmissionControl,
    pub(crate) health: Health,
    pub(crate) statements: Statements,
    pub(crate) records: Records,
    pub(crate) recorders: Recorders,
    pub(crate) decisions: Decisions,
    pub(crate) metrics: Metrics,
    pub(crate) ready: Cell<bool>,
    /// Notified when this node's own instance is reclaimed, or an operator drains the node.
    pub(crate) reclaimed: Notify,
}

impl Ctx {
    /// Returns true when callers should use this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
            && self.config.is_ready()
            && self.admission.has_settled()
            && self.members.is_trusted(self.clock.now())
    }

    pub(crate) fn document(&self) -> Rc<Document> {
        Rc::clone(&self.document.borrow())
    }
}

/// A running node.
pub struct Node {
    ctx: Rc<Ctx>,
    callers: Server,
    peers: Server,
}

impl Node {
    /// Binds the node's addresses and spawns its tasks.
    ///
    /// `document` serves as revision 0 until the log has a revision. Without either, the node is
    /// not ready.
    ///
    /// # Errors
    /// When an address can't be bound or the settings have no secret.
    pub fn start(
        settings: Settings,
        document: impl Into<Option<Document>>,
        options: Options,
    ) -> Result<Self, StartError> {
        let document = document.into();
        let secret = settings.secret.clone().ok_or(StartError::Secret)?;
        let bind = |address| move |error| StartError::Bind { address, error };
        let (peers, inbox) = peer::serve(settings.peer_listen, secret.expose())
            .map_err(bind(settings.peer_listen))?;
        let listener = cumin_http::bind(settings.listen).map_err(bind(settings.listen))?;
        let bound = listener.local_addr().map_err(bind(settings.listen))?;
        let me = Member {
            name: settings.name.clone(),
            place: settings.place.clone(),
            region: settings.region.clone(),
            caller: settings.advertise.unwrap_or(bound),
            rpc: settings.peer_advertise.unwrap_or(peers.address()),
            // A node that restarts gets a higher incarnation than before.
            incarnation: Incarnation(wall().0),
        };
        let members = Members::new(me, settings.probe_period_ms);
        let author = members.author();
        let store_options = ReplicaStoreOptions {
            max_requests: settings.limits.requests_held,
            ..ReplicaStoreOptions::default()
        };
        let config = Configuration::new(author.clone(), document.is_some());
        let document = document.unwrap_or_else(|| config::empty(&settings.environment));
        let admission = AdmissionControl::new(settings.name.clone(), wall(), &document);
        let ctx = Rc::new(Ctx {
            peer_clients: ClientPool::new(secret.expose(), options.peer_timeout),
            slow_clients: ClientPool::new(secret.expose(), Duration::from_secs(10)),
            pooled: http::client(options.connect_timeout, Duration::from_secs(15)),
            unpooled: http::client(options.connect_timeout, Duration::ZERO),
            tasks: Tasks::default(),
            clock: Clock::start(),
            document: RefCell::new(Rc::new(document)),
            config,
            members,
            table: RequestTable::default(),
            replica_store: RefCell::new(ReplicaStore::new(store_options)),
            replicator: Replicator::default(),
            fleet: Fleet::new(),
            admission,
            health: Health::new(settings.name.clone(), wall()),
            statements: Statements::default(),
            records: Records::new(author.clone()),
            recorders: Recorders::new(author),
            decisions: Decisions::default(),
            metrics: Metrics::new(),
            ready: Cell::new(true),
            reclaimed: Notify::new(),
            settings,
            options,
        });
        let callers = caller::serve(&ctx, listener).map_err(bind(bound))?;
        ctx.tasks.spawn(answer_peers(Rc::clone(&ctx), inbox));
        ctx.tasks.spawn(Fleet::watch(Rc::clone(&ctx)));
        ctx.tasks.spawn(Members::drive(Rc::clone(&ctx)));
        ctx.tasks.spawn(Configuration::drive(Rc::clone(&ctx)));
        ctx.tasks
            .spawn(Configuration::drive_writer(Rc::clone(&ctx)));
        ctx.tasks.spawn(Recorders::drive(Rc::clone(&ctx)));
        ctx.tasks.spawn(AdmissionControl::drive(Rc::clone(&ctx)));
        ctx.tasks.spawn(Health::drive(Rc::clone(&ctx)));
        ctx.tasks.spawn(expire_requests(Rc::clone(&ctx)));
        log::info!(
            "event=started node={} place={} callers={} peers={}",
            ctx.settings.name,
            ctx.settings.place,
            ctx.members.me().caller,
            ctx.members.me().rpc
        );
        Ok(Self {
            ctx,
            callers,
            peers,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address that other nodes connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the caller addresses of the live nodes, as `/v1/entries` does.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.ctx
            .members
            .entries()
            .into_iter()
            .map(|member| member.caller)
            .collect()
    }

    /// Returns true when callers should use this node, as `/readyz` reports.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ctx.is_ready()
    }

    /// Returns true while every other node has received this node's demand.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.ctx.admission.is_settled(&self.ctx)
    }

    /// Returns the number of requests that this node runs.
    #[must_use]
    pub fn running(&self) -> usize {
        self.ctx.table.len()
    }

    /// Returns the number of endpoints that this node knows.
    #[must_use]
    pub fn endpoints(&self) -> usize {
        self.ctx.fleet.endpoint_count()
    }

    /// Completes when this node's instance is reclaimed or an operator drains the node; the owner
    /// should then call [`Node::stop`].
    pub async fn reclaimed(&self) {
        self.ctx.reclaimed.notified().await;
    }

    /// Stops gracefully: lets requests finish within the drain time and hands the others over to
    /// the nodes that hold their replicas.
    pub async fn stop(self) {
        let ctx = &self.ctx;
        log::info!(
            "event=draining node={} running={}",
            ctx.settings.name,
            ctx.table.len()
        );
        ctx.ready.set(false);
        ctx.members.leave(ctx);
        let drain = ctx.settings.drain_ms.duration();
        let idle = async {
            ctx.table.wait_idle().await;
            ctx.records.wait_idle().await;
            self.callers.stop_accepting();
            // Idle keep-alive connections do not count as requests in flight.
            self.callers.wait_idle().await;
            actix_rt::time::sleep(FLUSH_DELAY).await;
        };
        if actix_rt::time::timeout(drain, idle).await.is_err() {
            log::warn!(
                "event=drain_timeout node={} running={}",
                ctx.settings.name,
                ctx.table.len()
            );
            request::hand_over(ctx).await;
            // Callers learn which node continues their requests before their connections close.
            let callers_idle = actix_rt::time::timeout(HAND_OVER_TIMEOUT, self.callers.wait_idle());
            if callers_idle.await.is_err() {
                log::warn!("event=calls_cut node={}", ctx.settings.name);
            }
        }
        log::info!("event=stopped node={}", ctx.settings.name);
    }

    /// Stops immediately, as a crash would: closes every connection and aborts every task.
    pub fn crash(self) {
        self.ctx.tasks.abort();
        self.callers.abort();
        self.peers.abort();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.ctx.tasks.abort();
    }
}

/// Answers calls of other nodes; calls that have to wait get a task of their own.
async fn answer_peers(ctx: Rc<Ctx>, mut inbox: Inbox) {
    while let Some(call) = inbox.recv().await {
        let now = ctx.clock.now();
        match call {
            PeerCall::Probe(message, reply) => {
                let _ = reply.send(ctx.members.handle_probe(&ctx, *message));
            }
            PeerCall::Relay(address, message, reply) => {
                ctx.members.handle_relay(&ctx, &message);
                let ctx = Rc::clone(&ctx);
                let tasks = ctx.tasks.clone();
                tasks.spawn(async move {
                    let answer = match ctx.peer_clients.get(address) {
                        Ok(client) => client.probe(*message).await.ok(),
                        Err(_) => None,
                    };
                    let _ = reply.send(answer);
                });
            }
            PeerCall::Hold(replica, reply) => {
                let epoch = replica.descriptor.epoch;
                if let Some(active) = ctx.table.get(replica.descriptor.id)
                    && active.run.borrow().descriptor().epoch < epoch
                {
                    active.supersede();
                }
                let _ = reply.send(ctx.replica_store.borrow_mut().store(*replica, now));
            }
            PeerCall::Progress(batch, reply) => {
                let mut store = ctx.replica_store.borrow_mut();
                let acks = batch
                    .into_iter()
                    .map(|progress| store.append(progress, now));
                let _ = reply.send(acks.collect());
            }
            PeerCall::Find(id, reply) => {
                let _ = reply.send(find_request(&ctx, id));
            }
            PeerCall::Take(id, new_owner, reply) => {
                let stored = || {
                    let mut replica = ctx
                        .replica_store
                        .borrow_mut()
                        .take_over(id, &new_owner, now)?;
                    replica.beside.push(ctx.settings.name.clone());
                    Some(replica)
                };
                let replica = request::release(&ctx, id, &new_owner).or_else(stored);
                let _ = reply.send(replica);
            }
            PeerCall::ShareQuarantine(records, reply) => {
                ctx.health.merge_records(&records, now);
                let _ = reply.send(());
            }
            PeerCall::Submit(submission, reply) => {
                let ctx = Rc::clone(&ctx);
                let tasks = ctx.tasks.clone();
                tasks.spawn(async move {
                    let _ = reply.send(ctx.recorders.submit(&ctx, *submission).await);
                });
            }
            PeerCall::Operator(call) => op::handle(&ctx, call),
            PeerCall::HandOver(replicas, reply) => {
                let ctx = Rc::clone(&ctx);
                let tasks = ctx.tasks.clone();
                tasks.spawn(async move {
                    let mut taken = Vec::with_capacity(replicas.len());
                    for replica in replicas {
                        request::take_over(&ctx, replica, "given").await;
                        taken.push(true);
                    }
                    let _ = reply.send(taken);
                });
            }
        }
    }
}

fn find_request(ctx: &Ctx, id: cumin_types::RequestId) -> Option<FoundRequest> {
    if let Some(active) = ctx.table.get(id) {
        let run = active.run.borrow();
        return Some(FoundRequest {
            org: run.descriptor().org.clone(),
            epoch: run.descriptor().epoch,
            position: run.transcript().position(),
            done: active.acked_finish().is_some(),
            owner: !active.is_superseded(),
        });
    }
    let stored = ctx.replica_store.borrow().snapshot(id, ctx.clock.now())?;
    Some(FoundRequest {
        org: stored.descriptor.org,
        epoch: stored.descriptor.epoch,
        position: stored.transcript.position(),
        done: stored.finish.is_some(),
        owner: false,
    })
}

/// Drops expired replicas and cancels requests whose answer no caller reads.
async fn expire_requests(ctx: Rc<Ctx>) {
    loop {
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let now = ctx.clock.now();
        ctx.replica_store.borrow_mut().expire(now);
        for active in ctx.table.all() {
            if active.is_abandoned(now, ctx.options.abandon_after) {
                ctx.decisions
                    .record("cancel", &active.id, &"reason=abandoned");
                active.send_command(request::Command::Cancel);
            }
        }
    }
}
