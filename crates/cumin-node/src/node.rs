//! Starts and stops a node.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use cumin_config::{Document, Settings};
use cumin_http::Server;
use cumin_request::{Holder, HolderOptions};
use cumin_types::Millis;
use derive_more::{Display, Error};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::caller;
use crate::clock::Clock;
use crate::explain::Decisions;
use crate::fleet::Fleet;
use crate::member::{Member, Members};
use crate::metrics::Metrics;
use crate::peer::{self, Call, Client, Found, Inbox};
use crate::record::Records;
use crate::request::{self, Replicas, Table};

/// Timing that a deployment has no reason to change; tests do.
#[derive(Clone, Debug)]
pub struct Options {
    /// Longest wait for the first frame of an attempt.
    pub patience: Duration,
    /// Longest wait between two frames.
    pub stall: Duration,
    /// Longest wait for another node's answer.
    pub peer_timeout: Duration,
    /// Longest wait for a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Time from acceptance to the deadline, where the caller names none.
    pub deadline: Millis,
    /// Time that a request goes on while nobody reads its answer.
    pub abandon: Millis,
    /// Period of reading the platform's lists and the endpoints' reports.
    pub poll: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(20),
            stall: Duration::from_secs(2),
            peer_timeout: Duration::from_millis(500),
            connect_timeout: Duration::from_millis(500),
            deadline: Millis(120_000),
            abandon: Millis(30_000),
            poll: Duration::from_millis(200),
        }
    }
}

/// A node that could not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address can't be bound.
    #[display("can't bind {address}: {error}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// Neither `secret` nor a readable `secret_file` was given.
    #[display("settings name no shared secret: set secret_file")]
    #[error(ignore)]
    Secret,
}

/// Everything that a node's tasks share; each field is written by one slice only.
pub(crate) struct Ctx {
    pub(crate) settings: Settings,
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    pub(crate) document: RefCell<Rc<Document>>,
    pub(crate) members: Members,
    pub(crate) client: Client,
    /// Towards endpoints, with connections kept open.
    pub(crate) endpoints: awc::Client,
    /// Towards endpoints, with a new connection for each call.
    pub(crate) fresh: awc::Client,
    pub(crate) table: Table,
    pub(crate) holder: RefCell<Holder>,
    pub(crate) replicas: Replicas,
    pub(crate) fleet: Fleet,
    pub(crate) records: Records,
    pub(crate) decisions: Decisions,
    pub(crate) metrics: Metrics,
    pub(crate) ready: Cell<bool>,
    /// Notified when the cloud takes this node's own instance back.
    pub(crate) reclaimed: Notify,
}

impl Ctx {
    pub(crate) fn document(&self) -> Rc<Document> {
        Rc::clone(&self.document.borrow())
    }
}

/// A running node.
pub struct Node {
    ctx: Rc<Ctx>,
    callers: Server,
    peers: Server,
    tasks: Vec<AbortHandle>,
}

fn http_client(options: &Options, keep: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(options.connect_timeout)
        .conn_keep_alive(keep)
        .limit(4096);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

impl Node {
    /// Binds the node's addresses and starts its tasks.
    ///
    /// # Errors
    /// When an address can't be bound or no secret is given.
    pub fn start(
        settings: Settings,
        document: Document,
        options: Options,
    ) -> Result<Self, StartError> {
        let secret = settings.secret.clone().ok_or(StartError::Secret)?;
        let bind = |address| move |error| StartError::Bind { address, error };
        let (peers, inbox) = peer::serve(settings.peer_listen, secret.expose())
            .map_err(bind(settings.peer_listen))?;
        let listener = TcpListener::bind(settings.listen).map_err(bind(settings.listen))?;
        let bound = listener.local_addr().map_err(bind(settings.listen))?;
        let me = Member {
            name: settings.name.clone(),
            place: settings.place.clone(),
            caller: settings.advertise.unwrap_or(bound),
            rpc: settings.peer_advertise.unwrap_or(peers.address()),
        };
        let holder = HolderOptions {
            requests: settings.limits.requests_held,
            ..HolderOptions::default()
        };
        let ctx = Rc::new(Ctx {
            client: Client::new(secret.expose(), options.peer_timeout),
            endpoints: http_client(&options, Duration::from_secs(15)),
            fresh: http_client(&options, Duration::ZERO),
            clock: Clock::start(),
            document: RefCell::new(Rc::new(document)),
            members: Members::new(me),
            table: Table::default(),
            holder: RefCell::new(Holder::new(holder)),
            replicas: Replicas::default(),
            fleet: Fleet::new(),
            records: Records::default(),
            decisions: Decisions::default(),
            metrics: Metrics::new(),
            ready: Cell::new(true),
            reclaimed: Notify::new(),
            settings,
            options,
        });
        let callers = caller::serve(&ctx, listener).map_err(bind(bound))?;
        let tasks = vec![
            actix_rt::spawn(answer_peers(Rc::clone(&ctx), inbox)).abort_handle(),
            actix_rt::spawn(Fleet::watch(Rc::clone(&ctx))).abort_handle(),
            actix_rt::spawn(tidy(Rc::clone(&ctx))).abort_handle(),
        ];
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
            tasks,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for other nodes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Completes when the cloud takes this node's instance back; the node should be stopped.
    pub async fn reclaimed(&self) {
        self.ctx.reclaimed.notified().await;
    }

    /// Stops without cutting off a request: finishes what can finish within the drain time and
    /// hands the rest to second nodes.
    pub async fn stop(self) {
        let ctx = &self.ctx;
        log::info!(
            "event=draining node={} running={}",
            ctx.settings.name,
            ctx.table.len()
        );
        ctx.ready.set(false);
        ctx.members.leave();
        let drain = ctx.settings.drain_ms.duration();
        let idle = async {
            ctx.table.idle().await;
            // Answers may still be on their way to callers.
            self.callers.refuse();
            self.callers.drained().await;
        };
        if actix_rt::time::timeout(drain, idle).await.is_err() {
            log::warn!(
                "event=drain_timeout node={} running={}",
                ctx.settings.name,
                ctx.table.len()
            );
        }
        log::info!("event=stopped node={}", ctx.settings.name);
    }

    /// Stops at once, as a crash would: every connection is closed and every task ends.
    pub fn crash(self) {
        for live in self.ctx.table.all() {
            live.supersede();
        }
        self.callers.abort();
        self.peers.abort();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Answers calls of other nodes, each in a task of its own.
async fn answer_peers(ctx: Rc<Ctx>, mut inbox: Inbox) {
    while let Some(call) = inbox.recv().await {
        let now = ctx.clock.now();
        match call {
            Call::Hold(given, reply) => {
                let _ = reply.send(ctx.holder.borrow_mut().hold(*given, now));
            }
            Call::Progress(batch, reply) => {
                let mut holder = ctx.holder.borrow_mut();
                let acks = batch
                    .into_iter()
                    .map(|progress| holder.progress(progress, now));
                let _ = reply.send(acks.collect());
            }
            Call::Find(id, reply) => {
                let _ = reply.send(found(&ctx, id));
            }
            Call::Take(id, taker, reply) => {
                let given = request::release(&ctx, id, &taker)
                    .or_else(|| ctx.holder.borrow_mut().take(id, &taker, now));
                let _ = reply.send(given);
            }
            Call::Give(given, reply) => {
                let ctx = Rc::clone(&ctx);
                actix_rt::spawn(async move {
                    let mut taken = Vec::with_capacity(given.len());
                    for given in given {
                        request::take_over(&ctx, given, "given").await;
                        taken.push(true);
                    }
                    let _ = reply.send(taken);
                });
            }
        }
    }
}

fn found(ctx: &Ctx, id: cumin_types::RequestId) -> Option<Found> {
    if let Some(live) = ctx.table.get(id) {
        let run = live.run.borrow();
        return Some(Found {
            org: run.descriptor().org.clone(),
            epoch: run.descriptor().epoch,
            position: run.transcript().position(),
            done: live.sealed().is_some(),
            owner: !live.superseded(),
        });
    }
    let held = ctx.holder.borrow().look(id, ctx.clock.now())?;
    Some(Found {
        org: held.descriptor.org,
        epoch: held.descriptor.epoch,
        position: held.transcript.position(),
        done: held.finish.is_some(),
        owner: false,
    })
}

/// Drops what nobody needs any more.
async fn tidy(ctx: Rc<Ctx>) {
    loop {
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let now = ctx.clock.now();
        ctx.holder.borrow_mut().expire(now);
        for live in ctx.table.all() {
            if live.abandoned(now, ctx.options.abandon) {
                ctx.decisions.note("cancel", &live.id, &"reason=abandoned");
                live.order(request::Command::Cancel);
            }
        }
    }
}
