//! The entry's side: claim, dispatch at most once, record the ending.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cumin_request::{Finish, PlainResponse, TokenCounts};
use cumin_state::batch::{Author, new_id};
use cumin_state::claim::{Answer, Claim, Ending, RecordedBody};
use cumin_state::entry::{Call, Step};
use cumin_state::recorder::{Command, Unsent, Verdict};
use cumin_types::{ClaimKey, Millis, Outcome, RequestId};
use serde_json::json;
use tokio::sync::Notify;
use uuid::Uuid;

use super::SHARDS;
use super::shard::{Submission, recorder_of};
use crate::clock::wall;
use crate::node::Ctx;
use crate::peer::PeerClient;
use crate::request::Live;

/// Longest body of an answer that is recorded whole, bytes.
const RECORDED_BYTES: usize = 16 * 1024;
/// Longest wait for the ending to be on record before the caller is answered. A repeated call
/// then gets the same answer even when this node crashes right after.
const RECORD_WAIT: Duration = Duration::from_millis(500);
/// Longest wait for one verdict.
const VERDICT_WAIT: Duration = Duration::from_secs(5);

/// Answer to a claim.
pub(crate) enum Claimed {
    /// This request may be dispatched, once.
    Granted,
    /// It may not; this is its answer.
    Ended(Finish),
}

/// Claims made by this node.
pub(crate) struct Records {
    author: Author,
    running: RefCell<HashMap<RequestId, Call>>,
    pending: Cell<usize>,
    settled: Notify,
}

impl Records {
    pub(crate) fn new(author: Author) -> Self {
        Self {
            author,
            running: RefCell::default(),
            pending: Cell::default(),
            settled: Notify::new(),
        }
    }

    /// Completes when every ending is on record.
    pub(crate) async fn idle(&self) {
        loop {
            let settled = self.settled.notified();
            if self.pending.get() == 0 {
                return;
            }
            settled.await;
        }
    }

    /// Claims the right to the one dispatch of `key`.
    pub(crate) async fn claim(&self, ctx: &Rc<Ctx>, live: &Rc<Live>, key: Uuid) -> Claimed {
        let claim = {
            let run = live.run.borrow();
            let descriptor = run.descriptor();
            Claim {
                id: new_id(wall(), &mut rand::rng()),
                key: ClaimKey {
                    org: descriptor.org.clone(),
                    service: descriptor.service.clone(),
                    key,
                },
                author: self.author.clone(),
                fingerprint: live.print,
            }
        };
        let mut call = Call::new(claim, live.deadline);
        loop {
            let now = ctx.clock.now();
            let step = match call.poll(now) {
                Some(Step::Submit(ask)) => {
                    let left = Millis(live.deadline.since(now));
                    let verdict = submit(ctx, &ask, left).await;
                    call.verdict(ctx.clock.now(), &ask, &verdict, |author| gone(ctx, author))
                }
                step => step,
            };
            let Some(step) = step else {
                let wake = call
                    .wake_at()
                    .unwrap_or(live.deadline)
                    .since(ctx.clock.now());
                actix_rt::time::sleep(Duration::from_millis(wake.max(1))).await;
                continue;
            };
            note(ctx, live, &call, &step);
            let finish = match step {
                Step::Submit(_) => continue,
                Step::Dispatch => {
                    self.running.borrow_mut().insert(live.id, call);
                    return Claimed::Granted;
                }
                Step::Replay(answer) => replay(answer),
                Step::Mismatch => Finish::without_answer(Outcome::NotRun, "idempotency_key_reused"),
                Step::Report(outcome, refusal) => {
                    let reason = refusal.map_or_else(
                        || {
                            if outcome == Outcome::NotRun {
                                "log_unavailable".into()
                            } else {
                                "in_doubt".into()
                            }
                        },
                        |refusal| refusal.to_string(),
                    );
                    Finish::without_answer(outcome, &reason)
                }
            };
            // A claim that was sent and is not used is freed, which may take longer than the call.
            self.record(ctx, call);
            return Claimed::Ended(finish);
        }
    }

    /// Has the ending of a dispatched call recorded; waits for it for a while.
    pub(crate) async fn settle(&self, ctx: &Rc<Ctx>, live: &Rc<Live>) {
        let Some(mut call) = self.running.borrow_mut().remove(&live.id) else {
            return;
        };
        let ending = {
            let run = live.run.borrow();
            run.finish().map_or(Ending::Unknown, ending)
        };
        call.record_ending(ctx.clock.now(), ending);
        let recorded = self.record(ctx, call);
        if actix_rt::time::timeout(RECORD_WAIT, recorded)
            .await
            .is_err()
        {
            log::warn!(
                "event=ending_not_recorded request={} waited={RECORD_WAIT:?}",
                live.id
            );
        }
    }

    /// Submits until nothing is left to record; goes on when the returned handle is dropped.
    fn record(&self, ctx: &Rc<Ctx>, mut call: Call) -> actix_rt::task::JoinHandle<()> {
        self.pending.set(self.pending.get() + 1);
        let ctx = Rc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move {
            while !call.is_finished() {
                let now = ctx.clock.now();
                if let Some(Step::Submit(ask)) = call.poll(now) {
                    let left = Millis(u64::try_from(VERDICT_WAIT.as_millis()).unwrap_or(u64::MAX));
                    let verdict = submit(&ctx, &ask, left).await;
                    call.verdict(ctx.clock.now(), &ask, &verdict, |author| gone(&ctx, author));
                } else {
                    let wake = call.wake_at().unwrap_or(now).since(now);
                    actix_rt::time::sleep(Duration::from_millis(wake.max(1))).await;
                }
            }
            ctx.records.pending.set(ctx.records.pending.get() - 1);
            ctx.records.settled.notify_waiters();
        })
    }
}

/// Submits to the shard's recorder, which may be this node.
async fn submit(ctx: &Rc<Ctx>, ask: &Command, left: Millis) -> Verdict {
    let shard = match ask {
        Command::Claim(claim) => claim.key.shard(SHARDS),
        Command::Settle(settle) => settle.key.shard(SHARDS),
    };
    let Some(recorder) = recorder_of(ctx, shard) else {
        return Verdict::Unsent(Unsent::NotRecorder);
    };
    let submission = Submission {
        shard,
        ask: ask.clone(),
        left,
    };
    let limit = VERDICT_WAIT.min(left.duration());
    let answer = async {
        if recorder.name == ctx.settings.name {
            return ctx.recorders.submit(ctx, submission).await;
        }
        match ctx.slow_client.to(recorder.rpc) {
            Ok(client) => client
                .submit(submission)
                .await
                .unwrap_or(Verdict::Uncertain),
            Err(_) => Verdict::Unsent(Unsent::NotRecorder),
        }
    };
    actix_rt::time::timeout(limit, answer)
        .await
        .unwrap_or(Verdict::Uncertain)
}

fn gone(ctx: &Ctx, author: &Author) -> bool {
    !ctx.members.is_alive(author)
}

fn note(ctx: &Ctx, live: &Live, call: &Call, step: &Step) {
    let what = match step {
        Step::Submit(_) => return,
        Step::Dispatch => "granted".to_owned(),
        Step::Replay(answer) => format!("replay status={}", answer.status),
        Step::Mismatch => "mismatch".to_owned(),
        Step::Report(outcome, refusal) => match refusal {
            Some(refusal) => format!("refused outcome={outcome} reason={:?}", refusal.to_string()),
            None => format!("refused outcome={outcome}"),
        },
    };
    ctx.decisions.note(
        "claim",
        &live.id,
        &format!(
            "result={what} claim={} key={}",
            call.claim().id,
            call.claim().key
        ),
    );
}

fn ending(finish: &Finish) -> Ending {
    match (finish.outcome, &finish.body) {
        (Outcome::Done, Some(body)) => {
            let text = if body.binary {
                format!("hex:{}", body.text)
            } else {
                format!("txt:{}", body.text)
            };
            Ending::Done {
                answer: Answer::new(body.status, body.content.clone(), text, RECORDED_BYTES),
            }
        }
        (Outcome::NotRun, _) => Ending::NotRun,
        _ => Ending::Unknown,
    }
}

/// Returns the recorded answer of an earlier call with the same key.
fn replay(answer: Answer) -> Finish {
    let (binary, text, content) = match answer.body {
        RecordedBody::Whole(text) => match text.strip_prefix("hex:") {
            Some(hex) => (true, hex.to_owned(), answer.content_type),
            None => (
                false,
                text.strip_prefix("txt:").unwrap_or(&text).to_owned(),
                answer.content_type,
            ),
        },
        // The answer was too long to be recorded; its digest proves which one it was.
        RecordedBody::Digest { digest, bytes } => {
            let text = json!({ "recorded_digest": digest, "bytes": bytes }).to_string();
            (false, text, Some("application/json".into()))
        }
    };
    Finish {
        outcome: Outcome::Done,
        reason: "recorded".into(),
        counts: TokenCounts::default(),
        body: Some(PlainResponse {
            status: answer.status,
            content,
            text,
            binary,
        }),
    }
}
