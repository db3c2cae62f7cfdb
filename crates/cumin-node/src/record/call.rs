//! The entry's side of a claim: claims the key, allows one dispatch and has the ending recorded.

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
use crate::request::ActiveRequest;

/// Longest body of an answer that is recorded whole, in bytes.
const MAX_RECORDED_BYTES: usize = 16 * 1024;
/// Longest wait for the ending to be recorded before the caller is answered. Once it is recorded, a
/// repeated call gets the same answer even if this node crashes right after.
const RECORD_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for one verdict.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);

/// Result of a claim.
pub(crate) enum ClaimResult {
    /// The call may be dispatched, once.
    Granted,
    /// The call must not be dispatched and ends with this result.
    Ended(Finish),
}

/// Claims made by this node.
pub(crate) struct Records {
    author: Author,
    dispatched: RefCell<HashMap<RequestId, Call>>,
    pending: Cell<usize>,
    all_recorded: Notify,
}

impl Records {
    pub(crate) fn new(author: Author) -> Self {
        Self {
            author,
            dispatched: RefCell::default(),
            pending: Cell::default(),
            all_recorded: Notify::new(),
        }
    }

    /// Waits until every ending is recorded.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let all_recorded = self.all_recorded.notified();
            if self.pending.get() == 0 {
                return;
            }
            all_recorded.await;
        }
    }

    /// Claims `key`, which permits one dispatch.
    pub(crate) async fn claim(
        &self,
        ctx: &Rc<Ctx>,
        active: &Rc<ActiveRequest>,
        key: Uuid,
    ) -> ClaimResult {
        let claim = {
            let run = active.run.borrow();
            let descriptor = run.descriptor();
            Claim {
                id: new_id(wall(), &mut rand::rng()),
                key: ClaimKey {
                    org: descriptor.org.clone(),
                    service: descriptor.service.clone(),
                    key,
                },
                author: self.author.clone(),
                fingerprint: active.fingerprint,
            }
        };
        let mut call = Call::new(claim, active.deadline);
        loop {
            let now = ctx.clock.now();
            let step = match call.poll(now) {
                Some(Step::Submit(command)) => {
                    let left = Millis(active.deadline.since(now));
                    let verdict = submit(ctx, &command, left).await;
                    call.verdict(ctx.clock.now(), &command, &verdict, |author| {
                        is_gone(ctx, author)
                    })
                }
                step => step,
            };
            let Some(step) = step else {
                let wake = call
                    .wake_at()
                    .unwrap_or(active.deadline)
                    .since(ctx.clock.now());
                actix_rt::time::sleep(Duration::from_millis(wake.max(1))).await;
                continue;
            };
            record_decision(ctx, active, &call, &step);
            let finish = match step {
                Step::Submit(_) => continue,
                Step::Dispatch => {
                    self.dispatched.borrow_mut().insert(active.id, call);
                    return ClaimResult::Granted;
                }
                Step::Replay(answer) => replayed_finish(answer),
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
            // A claim that was submitted but not used has to be freed, which may outlast the call.
            self.record(ctx, call);
            return ClaimResult::Ended(finish);
        }
    }

    /// Has the ending of a dispatched call recorded, and waits for that up to [`RECORD_TIMEOUT`].
    pub(crate) async fn settle(&self, ctx: &Rc<Ctx>, active: &Rc<ActiveRequest>) {
        let Some(mut call) = self.dispatched.borrow_mut().remove(&active.id) else {
            return;
        };
        let ending = {
            let run = active.run.borrow();
            run.finish().map_or(Ending::Unknown, ending_of)
        };
        call.record_ending(ctx.clock.now(), ending);
        let recorded = self.record(ctx, call);
        if actix_rt::time::timeout(RECORD_TIMEOUT, recorded)
            .await
            .is_err()
        {
            log::warn!(
                "event=ending_not_recorded request={} waited={RECORD_TIMEOUT:?}",
                active.id
            );
        }
    }

    /// Submits commands until nothing is left to record; continues if the returned handle is
    /// dropped.
    fn record(&self, ctx: &Rc<Ctx>, mut call: Call) -> actix_rt::task::JoinHandle<()> {
        self.pending.set(self.pending.get() + 1);
        let ctx = Rc::clone(ctx);
        let tasks = ctx.tasks.clone();
        tasks.spawn(async move {
            while !call.is_finished() {
                let now = ctx.clock.now();
                if let Some(Step::Submit(command)) = call.poll(now) {
                    let left =
                        Millis(u64::try_from(VERDICT_TIMEOUT.as_millis()).unwrap_or(u64::MAX));
                    let verdict = submit(&ctx, &command, left).await;
                    call.verdict(ctx.clock.now(), &command, &verdict, |author| {
                        is_gone(&ctx, author)
                    });
                } else {
                    let wake = call.wake_at().unwrap_or(now).since(now);
                    actix_rt::time::sleep(Duration::from_millis(wake.max(1))).await;
                }
            }
            ctx.records.pending.set(ctx.records.pending.get() - 1);
            ctx.records.all_recorded.notify_waiters();
        })
    }
}

/// Submits a command to the shard's recorder, which may be this node.
async fn submit(ctx: &Rc<Ctx>, command: &Command, left: Millis) -> Verdict {
    let shard = match command {
        Command::Claim(claim) => claim.key.shard(SHARDS),
        Command::Settle(settle) => settle.key.shard(SHARDS),
    };
    let Some(recorder) = recorder_of(ctx, shard) else {
        return Verdict::Unsent(Unsent::NotRecorder);
    };
    let submission = Submission {
        shard,
        command: command.clone(),
        time_left: left,
    };
    let limit = VERDICT_TIMEOUT.min(left.duration());
    let verdict = async {
        if recorder.name == ctx.settings.name {
            return ctx.recorders.submit(ctx, submission).await;
        }
        match ctx.slow_clients.get(recorder.rpc) {
            Ok(client) => client
                .submit(submission)
                .await
                .unwrap_or(Verdict::Uncertain),
            Err(_) => Verdict::Unsent(Unsent::NotRecorder),
        }
    };
    actix_rt::time::timeout(limit, verdict)
        .await
        .unwrap_or(Verdict::Uncertain)
}

fn is_gone(ctx: &Ctx, author: &Author) -> bool {
    !ctx.members.is_alive(author)
}

fn record_decision(ctx: &Ctx, active: &ActiveRequest, call: &Call, step: &Step) {
    let result = match step {
        Step::Submit(_) => return,
        Step::Dispatch => "granted".to_owned(),
        Step::Replay(answer) => format!("replay status={}", answer.status),
        Step::Mismatch => "mismatch".to_owned(),
        Step::Report(outcome, refusal) => match refusal {
            Some(refusal) => format!("refused outcome={outcome} reason={:?}", refusal.to_string()),
            None => format!("refused outcome={outcome}"),
        },
    };
    ctx.decisions.record(
        "claim",
        &active.id,
        &format!(
            "result={result} claim={} key={}",
            call.claim().id,
            call.claim().key
        ),
    );
}

fn ending_of(finish: &Finish) -> Ending {
    match (finish.outcome, &finish.body) {
        (Outcome::Done, Some(body)) => {
            let text = if body.binary {
                format!("hex:{}", body.text)
            } else {
                format!("txt:{}", body.text)
            };
            Ending::Done {
                answer: Answer::new(body.status, body.content.clone(), text, MAX_RECORDED_BYTES),
            }
        }
        (Outcome::NotRun, _) => Ending::NotRun,
        _ => Ending::Unknown,
    }
}

/// Returns the end of a call with the recorded answer of an earlier call with the same key.
fn replayed_finish(answer: Answer) -> Finish {
    let (binary, text, content) = match answer.body {
        RecordedBody::Whole(text) => match text.strip_prefix("hex:") {
            Some(hex) => (true, hex.to_owned(), answer.content_type),
            None => (
                false,
                text.strip_prefix("txt:").unwrap_or(&text).to_owned(),
                answer.content_type,
            ),
        },
        // The answer was too long to be recorded whole; its digest identifies it.
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
