//! The environment document: replays the log's `config` stream and appends changes to it.
//!
//! The active revision never decreases. The log is authoritative; while it can't be read, a node
//! adopts a higher revision from its peers.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use cumin_config::{
    Budget, Document, Entry as EntrySpec, Environment, EnvironmentKind, Objective, Quota,
};
use cumin_member::Item;
use cumin_state::batch::{Author, Stream, encode, new_id};
use cumin_state::config::{
    AcceptedRevision, ActiveRevision, Change, ChangeKind, Config, Record, Refusal, Verdict,
};
use cumin_state::fold::{Fold, Retention};
use cumin_state::pace::Pace;
use cumin_state::writer::{Effect, Fate, Input, Options, Ticket, Writer};
use cumin_types::{Cost, Digest, LogOffset, Millis, Revision, TokenCount};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{Notify, oneshot};

use crate::clock::wall;
use crate::log_client::{self, AppendError};
use crate::node::Ctx;
use crate::op::ApplyOutcome;
use crate::peer::PeerClient;
use crate::record::SHARDS;

/// Largest number of records in one read of the stream.
const PAGE_RECORDS: u32 = 500;
/// Shortest pause between two reads of the stream. Up to the same time is added at random, so
/// that nodes that started together don't read at the same time.
const POLL_PERIOD_MS: u64 = 2_000;
/// The same pause until the node has a confirmed document.
const START_POLL_PERIOD_MS: u64 = 100;
/// Time to live of the membership item that announces the revision; the item is published again
/// after it expires.
const ITEM_TTL_MS: u64 = 600_000;
/// Longest time for appending a change. With the reads before and after it, which take at most
/// 2 s each, the result arrives before an operator's call times out after 10 s.
const APPEND_TIMEOUT_MS: u64 = 4_000;
/// Longest time for reading a change back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest pause between two polls of the log writer.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A revision of the document, as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRevision {
    /// Number of the revision.
    pub revision: Revision,
    /// Digest of the text.
    pub digest: Digest,
    /// The document, TOML.
    pub text: String,
}

/// State of the `config` stream and of the active document.
pub(crate) struct Configuration {
    fold: RefCell<Fold<Config>>,
    active: RefCell<ActiveRevision>,
    /// Text of the active revision; none for a document from the command line.
    active_text: RefCell<Option<Rc<str>>>,
    /// True when the node has a document from any source.
    has_document: Cell<bool>,
    /// True once the log, or the peers that answered, confirmed the active revision.
    confirmed: Cell<bool>,
    refresh_wake: Notify,
    writer: RefCell<Writer>,
    pace: RefCell<Pace>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Fate>>>,
    writer_wake: Notify,
}

impl Configuration {
    /// Creates the state; `has_document` is true when the node was started with a document, which
    /// is revision 0.
    pub(crate) fn new(author: Author, has_document: bool) -> Self {
        Self {
            fold: RefCell::new(Fold::new(Config::new(false))),
            active: RefCell::default(),
            active_text: RefCell::default(),
            has_document: Cell::new(has_document),
            confirmed: Cell::default(),
            refresh_wake: Notify::new(),
            writer: RefCell::new(Writer::new(Options::default(), Stream::Config, author)),
            pace: RefCell::new(Pace::share(SHARDS, SHARDS)),
            waiters: RefCell::default(),
            writer_wake: Notify::new(),
        }
    }

    /// Returns true when the node has a confirmed document.
    pub(crate) fn is_ready(&self) -> bool {
        self.has_document.get() && self.confirmed.get()
    }

    /// Returns true when the node has a document from any source, confirmed or not.
    pub(crate) fn has_document(&self) -> bool {
        self.has_document.get()
    }

    /// Returns the active revision and its digest; revision 0 without a digest for a document from
    /// the command line.
    pub(crate) fn revision(&self) -> (Revision, Option<Digest>) {
        self.active.borrow().current()
    }

    /// Returns the active revision with its text, for a peer; none below revision 1.
    pub(crate) fn active_document(&self) -> Option<DocumentRevision> {
        let (revision, digest) = self.revision();
        Some(DocumentRevision {
            revision,
            digest: digest?,
            text: self.active_text.borrow().as_ref()?.to_string(),
        })
    }

    /// Requests a read of the stream without waiting for the next period.
    pub(crate) fn request_refresh(&self) {
        self.refresh_wake.notify_one();
    }

    /// Reads the stream periodically and on request; never returns.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        loop {
            refresh(&ctx).await;
            let period = if ctx.config.is_ready() {
                POLL_PERIOD_MS
            } else {
                START_POLL_PERIOD_MS
            };
            let pause = rand::rng().random_range(period..=2 * period);
            tokio::select! {
                () = ctx.config.refresh_wake.notified() => {}
                () = actix_rt::time::sleep(Duration::from_millis(pause)) => {}
            }
        }
    }

    /// Polls the log writer and performs its effects; never returns.
    pub(crate) async fn drive_writer(ctx: Rc<Ctx>) {
        let config = &ctx.config;
        loop {
            let now = ctx.clock.now();
            let effects = config.writer.borrow_mut().poll(
                now,
                wall(),
                &mut config.pace.borrow_mut(),
                &mut rand::rng(),
            );
            for effect in effects {
                perform(&ctx, effect);
            }
            let wake = config.writer.borrow().wake_at();
            let sleep = wake.map_or(MAX_SLEEP, |at| Duration::from_millis(at.since(now)));
            tokio::select! {
                () = config.writer_wake.notified() => {}
                () = actix_rt::time::sleep(sleep.clamp(Duration::from_millis(1), MAX_SLEEP)) => {}
            }
        }
    }

    fn handle_input(&self, ctx: &Ctx, input: Input<'_>) {
        let mut writer = self.writer.borrow_mut();
        writer.handle_input(ctx.clock.now(), input, &mut rand::rng());
        self.writer_wake.notify_one();
    }

    /// Activates a revision that is above the active one and that this node accepts.
    fn activate(&self, ctx: &Ctx, candidate: &DocumentRevision) {
        let mut active = self.active.borrow_mut();
        if !active.is_behind(candidate.revision) {
            return;
        }
        let document = match parse(ctx, &candidate.text) {
            Ok(document) => document,
            Err(problems) => {
                log::warn!(
                    "event=revision_not_accepted revision={} problems={}",
                    candidate.revision,
                    problems.len()
                );
                return;
            }
        };
        if !active.try_advance(candidate.revision, candidate.digest, &candidate.text) {
            return;
        }
        log::info!(
            "event=revision revision={} digest={}",
            candidate.revision,
            candidate.digest.short()
        );
        ctx.admission.configure(&document, ctx.clock.now());
        *ctx.document.borrow_mut() = Rc::new(document);
        *self.active_text.borrow_mut() = Some(candidate.text.as_str().into());
        self.has_document.set(true);
    }

    /// Returns the accepted revisions that the replayed state retains, oldest first.
    pub(crate) fn history(&self) -> Vec<AcceptedRevision> {
        self.fold.borrow().state().history().cloned().collect()
    }
}

/// Returns a document without services and organisations, for a node that has no document yet.
pub(crate) fn empty(environment: &str) -> Document {
    Document {
        environment: Environment {
            name: environment.into(),
            kind: EnvironmentKind::Production,
            operator: String::new(),
        },
        regions: BTreeMap::new(),
        places: BTreeMap::new(),
        classes: BTreeMap::new(),
        offers: BTreeMap::new(),
        entry: EntrySpec {
            class: "none".into(),
            nodes: BTreeMap::new(),
        },
        models: BTreeMap::new(),
        services: BTreeMap::new(),
        organisations: BTreeMap::new(),
        limits: Quota {
            requests_per_second: 1.0,
            concurrent_requests: 1,
            tokens_per_minute: TokenCount(1),
        },
        objective: Objective {
            cost: 0.0,
            recompute: 0.0,
        },
        budget: Budget {
            currency: String::new(),
            per_hour: Cost(0.0),
        },
    }
}

/// Parses a document for this node's environment; returns every problem.
pub(crate) fn parse(ctx: &Ctx, text: &str) -> Result<Document, Vec<String>> {
    let document = Document::parse(text).map_err(|problems| {
        problems
            .0
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    })?;
    let (found, wanted) = (&document.environment.name, &ctx.settings.environment);
    if found != wanted {
        return Err(vec![format!(
            "environment.name: found \"{found}\"; accepted: \"{wanted}\", the environment of this node"
        )]);
    }
    Ok(document)
}

/// Reads the stream up to its end and activates its latest revision. Returns false when the
/// stream can't be read or has lost records.
pub(crate) async fn catch_up(ctx: &Ctx) -> bool {
    loop {
        let from = ctx.config.fold.borrow().read_from();
        let Some(page) =
            log_client::read(ctx, &Stream::Config.to_string(), from, PAGE_RECORDS).await
        else {
            return false;
        };
        let mut fold = ctx.config.fold.borrow_mut();
        let current = fold.apply(&page).current;
        if current {
            break;
        }
        if fold.read_from() == from {
            return false;
        }
    }
    let latest = {
        let fold = ctx.config.fold.borrow();
        let state = fold.state();
        if state.is_incomplete() {
            return false;
        }
        state.document().map(|(digest, text)| DocumentRevision {
            revision: state.revision(),
            digest,
            text: text.into(),
        })
    };
    if let Some(latest) = latest {
        ctx.config.activate(ctx, &latest);
    }
    true
}

async fn refresh(ctx: &Rc<Ctx>) {
    let config = &ctx.config;
    let read = catch_up(ctx).await;
    let key = format!("config/{}", ctx.settings.environment);
    let announced = ctx.members.item(&key);
    let announced = announced.map_or(Revision(0), |item| Revision(item.version));
    let behind = config.active.borrow().is_behind(announced);
    let confirmed = if read && !behind {
        // A revision that this version of the node does not accept leaves the node behind the log.
        config.fold.borrow().state().revision() <= config.revision().0
    } else {
        fetch_from_peers(ctx).await && !config.active.borrow().is_behind(announced)
    };
    if confirmed && config.has_document.get() && !config.confirmed.replace(true) {
        log::info!("event=document_settled revision={}", config.revision().0);
    }
    let (revision, digest) = config.revision();
    if let Some(digest) = digest
        && revision > announced
    {
        let item = Item {
            key,
            version: revision.0,
            value: json!({ "revision": revision, "digest": digest }),
            ttl: ITEM_TTL_MS,
        };
        ctx.members.publish(item, ctx.clock.now());
    }
    if read {
        snapshot(ctx);
    }
}

/// Adopts the highest revision of the other nodes. Returns true when one of them answered, or
/// there is no other node, and this node is not behind any answer.
async fn fetch_from_peers(ctx: &Ctx) -> bool {
    if !ctx.members.is_trusted(ctx.clock.now()) {
        return false;
    }
    let peers = ctx.members.entries().into_iter();
    let peers: Vec<_> = peers
        .filter(|peer| peer.name != ctx.settings.name)
        .collect();
    let answers = peers.iter().map(|peer| async {
        let client = ctx.peer_clients.get(peer.rpc).ok()?;
        client.config_fetch().await.ok()
    });
    let answers: Vec<_> = futures_util::future::join_all(answers).await;
    let mut answered = peers.is_empty();
    let mut highest = Revision(0);
    for document in answers.into_iter().flatten() {
        answered = true;
        if let Some(document) = document {
            highest = highest.max(document.revision);
            ctx.config.activate(ctx, &document);
        }
    }
    answered && !ctx.config.active.borrow().is_behind(highest)
}

/// Appends a snapshot when half of the retention time has passed, if this node has that duty.
fn snapshot(ctx: &Ctx) {
    let config = &ctx.config;
    let fold = config.fold.borrow();
    if !fold.snapshot_due(wall(), Retention::default())
        || !ctx.members.is_trusted(ctx.clock.now())
        || ctx
            .members
            .duty_node("config")
            .is_none_or(|member| member.name != ctx.settings.name)
    {
        return;
    }
    let mut writer = config.writer.borrow_mut();
    if writer.is_idle() {
        let records = fold.snapshot(wall(), &mut rand::rng());
        let now = ctx.clock.now();
        writer.read_to(fold.position());
        if let Err(error) = writer.submit(now, records, now.plus(APPEND_TIMEOUT_MS)) {
            log::warn!("event=snapshot_not_appended error={error}");
        }
        config.writer_wake.notify_one();
    }
}

fn perform(ctx: &Rc<Ctx>, effect: Effect) {
    let ctx = Rc::clone(ctx);
    let tasks = ctx.tasks.clone();
    match effect {
        Effect::Settled { ticket, fate } => {
            if let Some(sender) = ctx.config.waiters.borrow_mut().remove(&ticket) {
                let _ = sender.send(fate);
            }
        }
        Effect::Append {
            stream,
            batch,
            attempt,
            body,
        } => {
            ctx.metrics.appends.inc();
            tasks.spawn(async move {
                let result = log_client::append(&ctx, &stream.to_string(), &body).await;
                let input = match result {
                    Ok(offset) => Input::Appended { batch, offset },
                    Err(AppendError::Refused) => Input::Refused { batch, attempt },
                    Err(AppendError::Lost) => Input::Lost { batch, attempt },
                };
                ctx.config.handle_input(&ctx, input);
            });
        }
        Effect::Read {
            stream,
            from,
            limit,
        } => {
            tasks.spawn(async move {
                let page = log_client::read(&ctx, &stream.to_string(), from, limit).await;
                let input = match &page {
                    Some(page) => Input::Read { from, page },
                    None => Input::ReadFailed,
                };
                ctx.config.handle_input(&ctx, input);
            });
        }
    }
}

/// Returns the keys in which two texts differ.
fn changed_keys(old: &str, new: &str) -> Vec<String> {
    match (Document::parse(old), Document::parse(new)) {
        (Ok(old), Ok(new)) => diff_keys(&old, &new),
        _ => Vec::new(),
    }
}

fn diff_keys(old: &Document, new: &Document) -> Vec<String> {
    let changes = cumin_config::diff(old, new).into_iter();
    changes.map(|change| change.key).collect()
}

/// Appends a change to the log and reads it back to learn whether it was accepted.
pub(crate) async fn apply(
    ctx: &Ctx,
    text: String,
    base: Option<Revision>,
    by: &str,
    kind: ChangeKind,
) -> ApplyOutcome {
    let document = match parse(ctx, &text) {
        Ok(document) => document,
        Err(problems) => return ApplyOutcome::Invalid { problems },
    };
    if by.trim().is_empty() {
        return ApplyOutcome::refused("a change needs the name of who makes it");
    }
    // Nothing is appended while the log can't be read, so that no change takes effect only after
    // an outage.
    let read = catch_up(ctx).await;
    let (incomplete, logged) = {
        let fold = ctx.config.fold.borrow();
        (fold.state().is_incomplete(), fold.state().revision())
    };
    if incomplete {
        return ApplyOutcome::refused(&Refusal::Incomplete.to_string());
    }
    if !read {
        return ApplyOutcome::unavailable("the config stream can't be read; nothing was changed");
    }
    let running = ctx.config.revision().0;
    if running > logged {
        // No node would activate the new revision, because the active revision never decreases.
        return ApplyOutcome::refused(&format!(
            "the nodes run revision {running}, the log has revision {logged}; import an export first"
        ));
    }
    let id = new_id(wall(), &mut rand::rng());
    let change = {
        let fold = ctx.config.fold.borrow();
        let state = fold.state();
        let base = base.unwrap_or_else(|| state.revision());
        let mut change = Change::new(id, base, text.clone(), by, kind);
        if let Some(old) = state.text(base) {
            change.keys = changed_keys(old, &text);
        } else if base == Revision(0)
            && ctx.config.revision().0 == base
            && ctx.config.has_document()
        {
            change.keys = diff_keys(&ctx.document(), &document);
        }
        change
    };
    let (sender, fate) = oneshot::channel();
    {
        let mut writer = ctx.config.writer.borrow_mut();
        writer.read_to(ctx.config.fold.borrow().position());
        let now = ctx.clock.now();
        let records = vec![encode(&Record::Change(change))];
        match writer.submit(now, records, now.plus(APPEND_TIMEOUT_MS)) {
            Ok(ticket) => ctx.config.waiters.borrow_mut().insert(ticket, sender),
            Err(full) => return ApplyOutcome::unavailable(&format!("{full}; nothing was changed")),
        };
    }
    ctx.config.writer_wake.notify_one();
    let fate = fate.await.unwrap_or(Fate::Uncertain);
    let offset = match fate {
        Fate::NotSent => {
            return ApplyOutcome::unavailable(
                "the log did not take the change; nothing was changed",
            );
        }
        Fate::Appended { offset } => Some(offset),
        Fate::Uncertain => None,
    };
    let read = actix_rt::time::timeout(READ_BACK_TIMEOUT, read_back(ctx, offset)).await;
    let fold = ctx.config.fold.borrow();
    let verdict = fold.state().verdict(id, &text, changed_keys);
    ctx.config.request_refresh();
    match verdict {
        Verdict::Accepted(revision) => ApplyOutcome::Accepted {
            revision,
            digest: Digest::of(text.as_bytes()),
        },
        Verdict::Conflict(conflict) => ApplyOutcome::Conflict {
            winner: conflict.winner.revision,
            by: conflict.winner.by,
            at: conflict.winner.wall,
            keys: conflict.keys,
        },
        Verdict::Refused(refusal) => ApplyOutcome::refused(&refusal.to_string()),
        Verdict::Unseen => ApplyOutcome::Uncertain {
            reason: format!(
                "the change {id} was not read back{}; it may take effect later, see the history",
                if read.is_err() { " in time" } else { "" }
            ),
        },
    }
}

/// Reads the stream until `offset` has been replayed; until one read succeeds when the offset is
/// not known.
async fn read_back(ctx: &Ctx, offset: Option<LogOffset>) {
    loop {
        let read = catch_up(ctx).await;
        let passed = offset.is_none_or(|offset| ctx.config.fold.borrow().position() > offset);
        if read && passed {
            return;
        }
        actix_rt::time::sleep(Millis(50).duration()).await;
    }
}
