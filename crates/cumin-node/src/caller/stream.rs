//! The answer as server-sent events, up to the last token that callers may see.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cumin_request::{Finish, Transcript};
use cumin_types::{Call, Descriptor, Outcome, Position};
use cumin_wire::completion::{Chunk, Delta};
use cumin_wire::sse;
use futures_util::Stream;
use serde::Serialize;

use super::completion::usage;
use super::reply::{Problem, to_json};
use crate::node::Ctx;
use crate::request::{ActiveRequest, ReaderGuard};

/// Interval of the comments that keep an idle stream open at the caller and at proxies in between.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Event that tells a caller at which entries it can continue its stream.
#[derive(Serialize)]
struct Moved {
    entries: Vec<String>,
}

/// The last chunk of a complete answer.
#[derive(Serialize)]
struct LastChunk {
    #[serde(flatten)]
    chunk: Chunk,
    outcome: Outcome,
}

struct StreamState {
    ctx: Rc<Ctx>,
    active: Rc<ActiveRequest>,
    descriptor: Rc<Descriptor>,
    sent: Position,
    ended: bool,
    _reader: ReaderGuard,
}

/// Returns the events of a request from position `from` on.
pub(super) fn events(
    ctx: &Rc<Ctx>,
    active: Rc<ActiveRequest>,
    from: Position,
) -> impl Stream<Item = Result<Bytes, Infallible>> + use<> {
    let mut descriptor = active.run.borrow().descriptor().clone();
    descriptor.body = String::new();
    let state = StreamState {
        ctx: Rc::clone(ctx),
        descriptor: Rc::new(descriptor),
        _reader: active.add_reader(),
        active,
        sent: from,
        ended: false,
    };
    futures_util::stream::unfold(state, |mut state| async move {
        if state.ended {
            return None;
        }
        let bytes = state.next().await;
        Some((Ok(bytes.into()), state))
    })
}

impl StreamState {
    async fn next(&mut self) -> Vec<u8> {
        loop {
            let active = Rc::clone(&self.active);
            let changed = active.changed();
            let out = self.pending_events();
            if !out.is_empty() {
                return out;
            }
            if actix_rt::time::timeout(KEEP_ALIVE, changed).await.is_err() {
                return b":\n\n".to_vec();
            }
        }
    }

    /// Returns the events that the caller may see and that were not sent yet.
    fn pending_events(&mut self) -> Vec<u8> {
        let mut out = Vec::new();
        let finish = self.active.acked_finish();
        let run = self.active.run.borrow();
        let acked = if finish.is_some() {
            run.transcript().position()
        } else {
            self.active.acked()
        };
        self.sent = write_tokens(
            &mut out,
            &self.descriptor,
            run.transcript(),
            self.sent,
            acked,
        );
        if let Some(finish) = finish {
            write_end(&mut out, &self.descriptor, run.transcript(), &finish);
            self.ended = true;
        } else if self.active.is_superseded() {
            let second = self.active.second().map(|member| member.caller.to_string());
            let others = self.ctx.members.entries();
            let others = others.iter().map(|member| member.caller.to_string());
            let entries = second.into_iter().chain(others).collect();
            sse::write(&mut out, None, Some("moved"), &to_json(&Moved { entries }));
            self.ended = true;
        }
        out
    }
}

/// Writes the tokens from `from` to `to`; returns the new position.
fn write_tokens(
    out: &mut Vec<u8>,
    descriptor: &Descriptor,
    transcript: &Transcript,
    from: Position,
    to: Position,
) -> Position {
    let Call::Completion { model, chat, .. } = &descriptor.call else {
        return from;
    };
    let Ok(new) = transcript.tokens_from(from) else {
        return from;
    };
    let id = descriptor.id.to_string();
    let mut position = from;
    let count = usize::try_from(to.since(from)).unwrap_or(usize::MAX);
    for token in new.take(count) {
        let mut chunk = Chunk::text(&id, model.as_str(), *chat, token);
        if position == Position(0)
            && let Some(Delta { role, .. }) = &mut chunk.choices[0].delta
        {
            *role = Some("assistant".into());
        }
        position = position.plus(1);
        sse::write(out, Some(position.0), None, &to_json(&chunk));
    }
    position
}

/// Writes the events that end the stream.
fn write_end(out: &mut Vec<u8>, descriptor: &Descriptor, transcript: &Transcript, finish: &Finish) {
    if finish.outcome != Outcome::Done {
        let problem = Problem::ended(descriptor.id, finish);
        sse::write(out, None, None, &to_json(&problem.body()));
        return;
    }
    let Call::Completion { model, chat, .. } = &descriptor.call else {
        return;
    };
    let mut chunk = Chunk::text(&descriptor.id.to_string(), model.as_str(), *chat, "");
    let choice = &mut chunk.choices[0];
    choice.finish_reason = Some(finish.reason.clone());
    if *chat {
        choice.delta = Some(Delta::default());
    }
    chunk.usage = Some(usage(finish, transcript));
    sse::write(
        out,
        None,
        None,
        &to_json(&LastChunk {
            chunk,
            outcome: finish.outcome,
        }),
    );
    sse::write(out, None, None, "[DONE]");
}

/// Returns the events of a request that has ended, from position `from` on.
pub(super) fn finished_events(
    descriptor: &Descriptor,
    transcript: &Transcript,
    finish: &Finish,
    from: Position,
) -> Vec<u8> {
    let mut out = Vec::new();
    write_tokens(
        &mut out,
        descriptor,
        transcript,
        from,
        transcript.position(),
    );
    write_end(&mut out, descriptor, transcript, finish);
    out
}
