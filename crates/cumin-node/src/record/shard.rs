//! The recorders of this node: drives their state machines and performs their log operations.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use cumin_state::batch::Author;
use cumin_state::pace::Pace;
use cumin_state::recorder::{Command, Effect, Input, Options, Recorder, Ticket, Unsent, Verdict};
use cumin_state::writer;
use cumin_types::Millis;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot};

use super::SHARDS;
use crate::clock::wall;
use crate::log_client::{self, AppendError};
use crate::member::Member;
use crate::node::Ctx;

/// Longest sleep of the driver, and so the longest delay until it acts on a change of the member
/// list.
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// A command for one shard, sent by an entry to the shard's recorder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Number of the shard.
    pub shard: u32,
    /// The command to submit.
    #[serde(rename = "ask")]
    pub command: Command,
    /// Time left until the verdict is needed.
    #[serde(rename = "left")]
    pub time_left: Millis,
}

/// The recorders of this node, by shard.
pub(crate) struct Recorders {
    author: Author,
    shards: RefCell<BTreeMap<u32, Recorder>>,
    waiters: RefCell<HashMap<(u32, Ticket), oneshot::Sender<Verdict>>>,
    pace: RefCell<Pace>,
    wake: Notify,
}

/// Returns the node that is the recorder of a shard by this node's member list.
pub(crate) fn recorder_of(ctx: &Ctx, shard: u32) -> Option<Member> {
    ctx.members.duty_node(&format!("record/{shard}"))
}

impl Recorders {
    pub(crate) fn new(author: Author) -> Self {
        Self {
            author,
            shards: RefCell::default(),
            waiters: RefCell::default(),
            pace: RefCell::new(Pace::share(SHARDS, SHARDS)),
            wake: Notify::new(),
        }
    }

    /// Submits to a recorder of this node and waits for the verdict.
    pub(crate) async fn submit(&self, ctx: &Ctx, submission: Submission) -> Verdict {
        let now = ctx.clock.now();
        let (sender, receiver) = oneshot::channel();
        {
            let mut shards = self.shards.borrow_mut();
            let Some(recorder) = shards.get_mut(&submission.shard) else {
                return Verdict::Unsent(Unsent::NotRecorder);
            };
            let deadline = now.plus(submission.time_left.0);
            let ticket = recorder.submit(now, wall(), submission.command, deadline);
            self.waiters
                .borrow_mut()
                .insert((submission.shard, ticket), sender);
        }
        self.wake.notify_one();
        receiver.await.unwrap_or(Verdict::Uncertain)
    }

    /// Resumes the recorders after a pause of this node; they give no verdict before a fresh read
    /// of the log.
    pub(crate) fn resume(&self) {
        for recorder in self.shards.borrow_mut().values_mut() {
            recorder.resume();
        }
        self.wake.notify_one();
    }

    /// Drives the recorders; never returns.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        loop {
            ctx.recorders.follow_members(&ctx);
            let wake = ctx.recorders.poll_recorders(&ctx);
            let now = ctx.clock.now();
            let sleep = wake.map_or(MAX_SLEEP, |at| Duration::from_millis(at.since(now)));
            tokio::select! {
                () = ctx.recorders.wake.notified() => {}
                () = actix_rt::time::sleep(sleep.clamp(Duration::from_millis(1), MAX_SLEEP)) => {}
            }
        }
    }

    /// Starts and stops recording shards according to the member list.
    fn follow_members(&self, ctx: &Ctx) {
        if !ctx.members.is_trusted(ctx.clock.now()) {
            return;
        }
        let is_own =
            |shard| recorder_of(ctx, shard).is_some_and(|member| member.name == ctx.settings.name);
        let mut shards = self.shards.borrow_mut();
        let mut own_shards = 0;
        for shard in 0..SHARDS {
            let should_record = is_own(shard);
            own_shards += u32::from(should_record);
            match (shards.get_mut(&shard), should_record) {
                (None, true) => {
                    ctx.decisions.record(
                        "take_shard",
                        &ctx.settings.name,
                        &format!("shard={shard}"),
                    );
                    let recorder = Recorder::new(Options::default(), shard, self.author.clone());
                    shards.insert(shard, recorder);
                }
                (Some(recorder), true) if !recorder.is_active() => recorder.take_shard(),
                (Some(recorder), false) if recorder.is_active() => {
                    ctx.decisions.record(
                        "lose_shard",
                        &ctx.settings.name,
                        &format!("shard={shard}"),
                    );
                    recorder.lose_shard();
                }
                _ => {}
            }
        }
        shards.retain(|_, recorder| !recorder.is_finished());
        self.pace
            .borrow_mut()
            .adjust(ctx.clock.now(), own_shards, SHARDS);
    }

    /// Performs everything that is due and returns the time when the next effect is due.
    fn poll_recorders(&self, ctx: &Rc<Ctx>) -> Option<Millis> {
        let mut shards = self.shards.borrow_mut();
        let mut order: Vec<_> = shards
            .iter()
            .map(|(shard, recorder)| (recorder.waiting_since(), *shard))
            .collect();
        // The appends of all recorders share one rate limit; the recorder that has waited longest
        // goes first.
        order.sort_by_key(|(since, shard)| (since.unwrap_or(Millis(u64::MAX)), *shard));
        let mut pace = self.pace.borrow_mut();
        for (_, shard) in order {
            let Some(recorder) = shards.get_mut(&shard) else {
                continue;
            };
            let effects = recorder.poll(ctx.clock.now(), wall(), &mut pace, &mut rand::rng());
            for effect in effects {
                self.perform(ctx, shard, effect);
            }
        }
        shards.values().filter_map(Recorder::wake_at).min()
    }

    fn perform(&self, ctx: &Rc<Ctx>, shard: u32, effect: Effect) {
        let ctx = Rc::clone(ctx);
        match effect {
            Effect::Answer { ticket, verdict } => {
                if let Some(waiter) = self.waiters.borrow_mut().remove(&(shard, ticket)) {
                    let _ = waiter.send(verdict);
                }
            }
            Effect::Append {
                stream,
                batch,
                attempt,
                body,
            } => {
                ctx.metrics.appends.inc();
                let tasks = ctx.tasks.clone();
                tasks.spawn(async move {
                    let result = log_client::append(&ctx, &stream.to_string(), &body).await;
                    let input = match result {
                        Ok(offset) => writer::Input::Appended { batch, offset },
                        Err(AppendError::Refused) => writer::Input::Refused { batch, attempt },
                        Err(AppendError::Lost) => writer::Input::Lost { batch, attempt },
                    };
                    ctx.recorders
                        .handle_input(&ctx, shard, Input::Append(input));
                });
            }
            Effect::Read {
                stream,
                from,
                limit,
                purpose,
            } => {
                let tasks = ctx.tasks.clone();
                tasks.spawn(async move {
                    let page = log_client::read(&ctx, &stream.to_string(), from, limit).await;
                    let input = match &page {
                        Some(page) => Input::Read {
                            purpose,
                            from,
                            page,
                        },
                        None => Input::ReadFailed { purpose },
                    };
                    ctx.recorders.handle_input(&ctx, shard, input);
                });
            }
        }
    }

    fn handle_input(&self, ctx: &Ctx, shard: u32, input: Input<'_>) {
        if let Some(recorder) = self.shards.borrow_mut().get_mut(&shard) {
            recorder.handle_input(ctx.clock.now(), input, &mut rand::rng());
        }
        self.wake.notify_one();
    }
}
