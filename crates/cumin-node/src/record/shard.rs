//! The recorders of this node: drives their machines against the log.

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

/// Longest sleep of the driver; duties follow the member list with at most this delay.
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// Records for one shard, from an entry to the shard's recorder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// The shard.
    pub shard: u32,
    /// What to record.
    pub ask: Command,
    /// Time in which it must be settled.
    pub left: Millis,
}

/// The recorders of this node.
pub(crate) struct Recorders {
    author: Author,
    shards: RefCell<BTreeMap<u32, Recorder>>,
    answers: RefCell<HashMap<(u32, Ticket), oneshot::Sender<Verdict>>>,
    pace: RefCell<Pace>,
    due: Notify,
}

/// Returns the node that records a shard, as this node sees it.
pub(crate) fn recorder_of(ctx: &Ctx, shard: u32) -> Option<Member> {
    ctx.members.duty_node(&format!("record/{shard}"))
}

impl Recorders {
    pub(crate) fn new(author: Author) -> Self {
        Self {
            author,
            shards: RefCell::default(),
            answers: RefCell::default(),
            pace: RefCell::new(Pace::share(SHARDS, SHARDS)),
            due: Notify::new(),
        }
    }

    /// Submits to a recorder of this node and waits for the verdict.
    pub(crate) async fn submit(&self, ctx: &Ctx, submission: Submission) -> Verdict {
        let now = ctx.clock.now();
        let (sender, answer) = oneshot::channel();
        {
            let mut shards = self.shards.borrow_mut();
            let Some(recorder) = shards.get_mut(&submission.shard) else {
                return Verdict::Unsent(Unsent::NotRecorder);
            };
            let deadline = now.plus(submission.left.0);
            let ticket = recorder.submit(now, wall(), submission.ask, deadline);
            self.answers
                .borrow_mut()
                .insert((submission.shard, ticket), sender);
        }
        self.due.notify_one();
        answer.await.unwrap_or(Verdict::Uncertain)
    }

    /// After a pause of this node: nothing is answered before a fresh read.
    pub(crate) fn resume(&self) {
        for recorder in self.shards.borrow_mut().values_mut() {
            recorder.resume();
        }
        self.due.notify_one();
    }

    /// Drives the recorders for ever.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        loop {
            ctx.recorders.follow_members(&ctx);
            let wake = ctx.recorders.step(&ctx);
            let now = ctx.clock.now();
            let sleep = wake.map_or(MAX_SLEEP, |at| Duration::from_millis(at.since(now)));
            tokio::select! {
                () = ctx.recorders.due.notified() => {}
                () = actix_rt::time::sleep(sleep.clamp(Duration::from_millis(1), MAX_SLEEP)) => {}
            }
        }
    }

    /// Takes and loses duties as the member list says.
    fn follow_members(&self, ctx: &Ctx) {
        if !ctx.members.is_trusted(ctx.clock.now()) {
            return;
        }
        let mine =
            |shard| recorder_of(ctx, shard).is_some_and(|member| member.name == ctx.settings.name);
        let mut shards = self.shards.borrow_mut();
        let mut own = 0;
        for shard in 0..SHARDS {
            let duty = mine(shard);
            own += u32::from(duty);
            match (shards.get_mut(&shard), duty) {
                (None, true) => {
                    ctx.decisions
                        .note("take_shard", &ctx.settings.name, &format!("shard={shard}"));
                    let recorder = Recorder::new(Options::default(), shard, self.author.clone());
                    shards.insert(shard, recorder);
                }
                (Some(recorder), true) if !recorder.is_active() => recorder.take_shard(),
                (Some(recorder), false) if recorder.is_active() => {
                    ctx.decisions
                        .note("lose_shard", &ctx.settings.name, &format!("shard={shard}"));
                    recorder.lose_shard();
                }
                _ => {}
            }
        }
        shards.retain(|_, recorder| !recorder.is_finished());
        self.pace.borrow_mut().adjust(ctx.clock.now(), own, SHARDS);
    }

    /// Does everything that is due now; returns when the next thing is.
    fn step(&self, ctx: &Rc<Ctx>) -> Option<Millis> {
        let mut shards = self.shards.borrow_mut();
        let mut order: Vec<_> = shards
            .iter()
            .map(|(shard, recorder)| (recorder.waiting_since(), *shard))
            .collect();
        // Whoever has waited longest takes the next append of the shared rate.
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
                if let Some(answer) = self.answers.borrow_mut().remove(&(shard, ticket)) {
                    let _ = answer.send(verdict);
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
                    let answer = log_client::append(&ctx, &stream.to_string(), &body).await;
                    let input = match answer {
                        Ok(offset) => writer::Input::Appended { batch, offset },
                        Err(AppendError::Refused) => writer::Input::Refused { batch, attempt },
                        Err(AppendError::Lost) => writer::Input::Lost { batch, attempt },
                    };
                    ctx.recorders.input(&ctx, shard, Input::Append(input));
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
                    ctx.recorders.input(&ctx, shard, input);
                });
            }
        }
    }

    fn input(&self, ctx: &Ctx, shard: u32, input: Input<'_>) {
        if let Some(recorder) = self.shards.borrow_mut().get_mut(&shard) {
            recorder.handle_input(ctx.clock.now(), input, &mut rand::rng());
        }
        self.due.notify_one();
    }
}
