//! The environment document: folds the log's `config` stream and appends changes to it.
//!
//! The revision in force never falls. The log decides; while it can't be read, a node takes a
//! higher revision from its peers.

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
use crate::op::Applied;
use crate::peer::PeerClient;
use crate::record::SHARDS;

/// Records in one read of the stream.
const PAGE: u32 = 500;
/// Period of reading the stream without a hint, milliseconds; up to as much again is added at
/// random, so that nodes that started together don't read together.
const PERIOD_MS: u64 = 2_000;
/// The same until the node has a document that it may use.
const START_PERIOD_MS: u64 = 100;
/// Life of the membership item, milliseconds; it is published again when it has ended.
const ITEM_TTL_MS: u64 = 600_000;
/// Time in which a change must be in the log. With the reads before and after, each of at most
/// 2 s, the answer comes before an operator's call ends after 10 s.
const APPEND_MS: u64 = 4_000;
/// Time for reading a change back.
const READ_BACK: Duration = Duration::from_secs(2);
/// Longest sleep of the append machine's driver.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// A revision as one node gives it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its number.
    pub revision: Revision,
    /// Digest of the text.
    pub digest: Digest,
    /// The document.
    pub text: String,
}

/// The `config` stream as this node sees it.
pub(crate) struct Configuration {
    fold: RefCell<Fold<Config>>,
    running: RefCell<ActiveRevision>,
    /// Text of the revision in force, none for the document of the command line.
    text: RefCell<Option<Rc<str>>>,
    /// True when the node has a document of any source.
    present: Cell<bool>,
    /// True once the log or every peer that answers confirmed the revision.
    settled: Cell<bool>,
    hint: Notify,
    writer: RefCell<Writer>,
    pace: RefCell<Pace>,
    answers: RefCell<HashMap<Ticket, oneshot::Sender<Fate>>>,
    due: Notify,
}

impl Configuration {
    /// `present` when the node was started with a document, which is revision 0.
    pub(crate) fn new(author: Author, present: bool) -> Self {
        Self {
            fold: RefCell::new(Fold::new(Config::new(false))),
            running: RefCell::default(),
            text: RefCell::default(),
            present: Cell::new(present),
            settled: Cell::default(),
            hint: Notify::new(),
            writer: RefCell::new(Writer::new(Options::default(), Stream::Config, author)),
            pace: RefCell::new(Pace::share(SHARDS, SHARDS)),
            answers: RefCell::default(),
            due: Notify::new(),
        }
    }

    /// Returns true when the node has a document that it may use.
    pub(crate) fn is_ready(&self) -> bool {
        self.present.get() && self.settled.get()
    }

    /// Returns true when the node has a document of any source.
    pub(crate) fn present(&self) -> bool {
        self.present.get()
    }

    /// Returns the revision in force and its digest; zero for the document of the command line.
    pub(crate) fn revision(&self) -> (Revision, Option<Digest>) {
        self.running.borrow().current()
    }

    /// Returns the revision in force for a peer; none below revision 1.
    pub(crate) fn held(&self) -> Option<Held> {
        let (revision, digest) = self.revision();
        Some(Held {
            revision,
            digest: digest?,
            text: self.text.borrow().as_ref()?.to_string(),
        })
    }

    /// Has the stream read soon.
    pub(crate) fn hint(&self) {
        self.hint.notify_one();
    }

    /// Reads the stream for ever.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        loop {
            refresh(&ctx).await;
            let period = if ctx.config.is_ready() {
                PERIOD_MS
            } else {
                START_PERIOD_MS
            };
            let pause = rand::rng().random_range(period..=2 * period);
            tokio::select! {
                () = ctx.config.hint.notified() => {}
                () = actix_rt::time::sleep(Duration::from_millis(pause)) => {}
            }
        }
    }

    /// Drives the append machine for ever.
    pub(crate) async fn write(ctx: Rc<Ctx>) {
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
                () = config.due.notified() => {}
                () = actix_rt::time::sleep(sleep.clamp(Duration::from_millis(1), MAX_SLEEP)) => {}
            }
        }
    }

    fn input(&self, ctx: &Ctx, input: Input<'_>) {
        let mut writer = self.writer.borrow_mut();
        writer.handle_input(ctx.clock.now(), input, &mut rand::rng());
        self.due.notify_one();
    }

    /// Puts a revision in force when it is above the present one.
    fn offer(&self, ctx: &Ctx, held: &Held) {
        let mut running = self.running.borrow_mut();
        if !running.is_behind(held.revision) {
            return;
        }
        let document = match parse(ctx, &held.text) {
            Ok(document) => document,
            Err(problems) => {
                log::warn!(
                    "event=revision_not_accepted revision={} problems={}",
                    held.revision,
                    problems.len()
                );
                return;
            }
        };
        if !running.try_advance(held.revision, held.digest, &held.text) {
            return;
        }
        log::info!(
            "event=revision revision={} digest={}",
            held.revision,
            held.digest.short()
        );
        ctx.admission.configure(&document, ctx.clock.now());
        *ctx.document.borrow_mut() = Rc::new(document);
        *self.text.borrow_mut() = Some(held.text.as_str().into());
        self.present.set(true);
    }

    /// Returns the accepted revisions that the fold keeps, oldest first.
    pub(crate) fn history(&self) -> Vec<AcceptedRevision> {
        self.fold.borrow().state().history().cloned().collect()
    }
}

/// A document without services and organisations, for a node that has none yet.
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

/// Reads the stream up to its end and puts its revision in force; returns false when it can't be
/// read or records of it are lost.
pub(crate) async fn catch_up(ctx: &Ctx) -> bool {
    loop {
        let from = ctx.config.fold.borrow().read_from();
        let Some(page) = log_client::read(ctx, &Stream::Config.to_string(), from, PAGE).await
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
    let held = {
        let fold = ctx.config.fold.borrow();
        let state = fold.state();
        if state.is_incomplete() {
            return false;
        }
        state.document().map(|(digest, text)| Held {
            revision: state.revision(),
            digest,
            text: text.into(),
        })
    };
    if let Some(held) = held {
        ctx.config.offer(ctx, &held);
    }
    true
}

async fn refresh(ctx: &Rc<Ctx>) {
    let config = &ctx.config;
    let read = catch_up(ctx).await;
    let key = format!("config/{}", ctx.settings.environment);
    let told = ctx.members.item(&key);
    let told = told.map_or(Revision(0), |item| Revision(item.version));
    let behind = config.running.borrow().is_behind(told);
    let confirmed = if read && !behind {
        // A text that this version does not accept leaves the node below the log.
        config.fold.borrow().state().revision() <= config.revision().0
    } else {
        ask_peers(ctx).await && !config.running.borrow().is_behind(told)
    };
    if confirmed && config.present.get() && !config.settled.replace(true) {
        log::info!("event=document_settled revision={}", config.revision().0);
    }
    let (revision, digest) = config.revision();
    if let Some(digest) = digest
        && revision > told
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

/// Takes the highest revision of the other nodes; returns true when one of them answered, or
/// there is none, and this node is not below any answer.
async fn ask_peers(ctx: &Ctx) -> bool {
    if !ctx.members.trusted(ctx.clock.now()) {
        return false;
    }
    let peers = ctx.members.entries().into_iter();
    let peers: Vec<_> = peers
        .filter(|peer| peer.name != ctx.settings.name)
        .collect();
    let answers = peers.iter().map(|peer| async {
        let client = ctx.client.get(peer.rpc).ok()?;
        client.config_fetch().await.ok()
    });
    let answers: Vec<_> = futures_util::future::join_all(answers).await;
    let mut answered = peers.is_empty();
    let mut highest = Revision(0);
    for held in answers.into_iter().flatten() {
        answered = true;
        if let Some(held) = held {
            highest = highest.max(held.revision);
            ctx.config.offer(ctx, &held);
        }
    }
    answered && !ctx.config.running.borrow().is_behind(highest)
}

/// Appends a snapshot when half of the retention has passed; one node does.
fn snapshot(ctx: &Ctx) {
    let config = &ctx.config;
    let fold = config.fold.borrow();
    if !fold.snapshot_due(wall(), Retention::default())
        || !ctx.members.trusted(ctx.clock.now())
        || ctx
            .members
            .holder("config")
            .is_none_or(|member| member.name != ctx.settings.name)
    {
        return;
    }
    let mut writer = config.writer.borrow_mut();
    if writer.is_idle() {
        let records = fold.snapshot(wall(), &mut rand::rng());
        let now = ctx.clock.now();
        writer.read_to(fold.position());
        if let Err(error) = writer.submit(now, records, now.plus(APPEND_MS)) {
            log::warn!("event=snapshot_not_appended error={error}");
        }
        config.due.notify_one();
    }
}

fn perform(ctx: &Rc<Ctx>, effect: Effect) {
    let ctx = Rc::clone(ctx);
    let tasks = ctx.tasks.clone();
    match effect {
        Effect::Settled { ticket, fate } => {
            if let Some(answer) = ctx.config.answers.borrow_mut().remove(&ticket) {
                let _ = answer.send(fate);
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
                let answer = log_client::append(&ctx, &stream.to_string(), &body).await;
                let input = match answer {
                    Ok(offset) => Input::Appended { batch, offset },
                    Err(AppendError::Refused) => Input::Refused { batch, attempt },
                    Err(AppendError::Lost) => Input::Lost { batch, attempt },
                };
                ctx.config.input(&ctx, input);
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
                ctx.config.input(&ctx, input);
            });
        }
    }
}

/// Returns the keys in which two texts differ.
fn keys(old: &str, new: &str) -> Vec<String> {
    match (Document::parse(old), Document::parse(new)) {
        (Ok(old), Ok(new)) => differing(&old, &new),
        _ => Vec::new(),
    }
}

fn differing(old: &Document, new: &Document) -> Vec<String> {
    let changes = cumin_config::diff(old, new).into_iter();
    changes.map(|change| change.key).collect()
}

/// Appends a change and reads it back.
pub(crate) async fn apply(
    ctx: &Ctx,
    text: String,
    base: Option<Revision>,
    by: &str,
    way: ChangeKind,
) -> Applied {
    let document = match parse(ctx, &text) {
        Ok(document) => document,
        Err(problems) => return Applied::Invalid { problems },
    };
    if by.trim().is_empty() {
        return Applied::refused("a change needs the name of who makes it");
    }
    // Nothing is sent while the log can't be read, so an outage leaves no change that lands late.
    let read = catch_up(ctx).await;
    let (incomplete, logged) = {
        let fold = ctx.config.fold.borrow();
        (fold.state().is_incomplete(), fold.state().revision())
    };
    if incomplete {
        return Applied::refused(&Refusal::Incomplete.to_string());
    }
    if !read {
        return Applied::unavailable("the config stream can't be read; nothing was changed");
    }
    let running = ctx.config.revision().0;
    if running > logged {
        // No node would take the new revision, because the revision in force never falls.
        return Applied::refused(&format!(
            "the nodes run revision {running}, the log has revision {logged}; import an export first"
        ));
    }
    let id = new_id(wall(), &mut rand::rng());
    let change = {
        let fold = ctx.config.fold.borrow();
        let state = fold.state();
        let base = base.unwrap_or_else(|| state.revision());
        let mut change = Change::new(id, base, text.clone(), by, way);
        if let Some(old) = state.text(base) {
            change.keys = keys(old, &text);
        } else if base == Revision(0) && ctx.config.revision().0 == base && ctx.config.present() {
            change.keys = differing(&ctx.document(), &document);
        }
        change
    };
    let (sender, fate) = oneshot::channel();
    {
        let mut writer = ctx.config.writer.borrow_mut();
        writer.read_to(ctx.config.fold.borrow().position());
        let now = ctx.clock.now();
        let records = vec![encode(&Record::Change(change))];
        match writer.submit(now, records, now.plus(APPEND_MS)) {
            Ok(ticket) => ctx.config.answers.borrow_mut().insert(ticket, sender),
            Err(full) => return Applied::unavailable(&format!("{full}; nothing was changed")),
        };
    }
    ctx.config.due.notify_one();
    let fate = fate.await.unwrap_or(Fate::Uncertain);
    let offset = match fate {
        Fate::NotSent => {
            return Applied::unavailable("the log did not take the change; nothing was changed");
        }
        Fate::Appended { offset } => Some(offset),
        Fate::Uncertain => None,
    };
    let read = actix_rt::time::timeout(READ_BACK, read_back(ctx, offset)).await;
    let fold = ctx.config.fold.borrow();
    let verdict = fold.state().verdict(id, &text, keys);
    ctx.config.hint();
    match verdict {
        Verdict::Accepted(revision) => Applied::Accepted {
            revision,
            digest: Digest::of(text.as_bytes()),
        },
        Verdict::Conflict(conflict) => Applied::Conflict {
            winner: conflict.winner.revision,
            by: conflict.winner.by,
            at: conflict.winner.wall,
            keys: conflict.keys,
        },
        Verdict::Refused(refusal) => Applied::refused(&refusal.to_string()),
        Verdict::Unseen => Applied::Uncertain {
            reason: format!(
                "the change {id} was not read back{}; it may take effect later, see the history",
                if read.is_err() { " in time" } else { "" }
            ),
        },
    }
}

/// Reads until the fold has passed `offset`; once when it is not known.
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
