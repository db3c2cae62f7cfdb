//! Completions: from the caller's body to an accepted request and its answer.

use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use cumin_admit::AdmissionRequest;
use cumin_request::{Finish, Transcript};
use cumin_retry::Verdict;
use cumin_types::{
    Call, Descriptor, Epoch, Millis, Model, Organisation, Outcome, Position, Priority, RequestId,
    TokenCount,
};
use cumin_wire::completion::{self as wire, Answer, AnswerChoice, Message, Usage};
use cumin_wire::header;
use serde_json::{Map, Value};

use super::reply::{self, Problem};
use super::{BodyError, read_body, stream, text};
use crate::node::Ctx;
use crate::request::{self, Live, place_second};

/// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
pub(super) async fn serve(
    ctx: &Rc<Ctx>,
    mut request: Request,
    org: Organisation,
    chat: bool,
) -> Result<Response<BoxBody>, Problem> {
    let left = super::deadline(&request, ctx.options.completion_deadline)?;
    let limit = ctx.settings.limits.body_bytes;
    let bytes = read_body(&mut request, limit)
        .await
        .map_err(|error| refuse(error, limit))?;
    let (body, sent) = parse(&bytes, chat)?;
    let model = Model::from(body.model.as_str());
    let default = if body.stream {
        Priority::Live
    } else {
        Priority::Normal
    };
    let priority = super::priority(&request, default)?;
    let service = {
        let document = ctx.document();
        let found = document.service_of_model(&model);
        found
            .map(|(service, _)| service.clone())
            .ok_or_else(|| Problem::not_found(format!("no service serves the model {model}")))?
    };
    let stream = body.stream;
    let descriptor = Descriptor {
        id: RequestId::now(),
        org,
        service,
        call: Call::Completion {
            model,
            chat,
            stream,
        },
        body: sent,
        priority,
        left,
        epoch: Epoch(0),
        owner: ctx.settings.name.clone(),
    };
    let live = accept(ctx, descriptor).await?;
    if text(&request, "prefer").is_some_and(|value| value.contains("respond-async")) {
        return Ok(accepted(&live));
    }
    answer(ctx, live, Position(0)).await
}

pub(super) fn refuse(error: BodyError, limit: usize) -> Problem {
    match error {
        BodyError::TooLarge => Problem::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body exceeds {limit} bytes"),
        ),
        BodyError::Broken => Problem::invalid("the body broke off"),
    }
}

/// Checks a body; returns what we read of it and its text without fields that are ours.
fn parse(bytes: &[u8], chat: bool) -> Result<(wire::Request, String), Problem> {
    let body: wire::Request = serde_json::from_slice(bytes).map_err(|error| {
        Problem::invalid(format!("the body is not a completion request: {error}"))
    })?;
    if body.model.is_empty() {
        return Err(Problem::invalid("`model` is missing"));
    }
    if chat && body.messages.as_ref().is_none_or(Vec::is_empty) {
        return Err(Problem::invalid("`messages` is missing or empty"));
    }
    if !chat && body.prompt.is_none() {
        return Err(Problem::invalid("`prompt` is missing"));
    }
    if body.max_tokens == Some(0) {
        return Err(Problem::invalid(
            "`max_tokens` is 0; at least 1 is accepted",
        ));
    }
    let mut fields: Map<String, Value> = serde_json::from_slice(bytes)
        .map_err(|error| Problem::invalid(format!("the body is not an object: {error}")))?;
    // Only this system resumes answers; a caller resumes by request id.
    fields.remove("resume");
    Ok((body, reply::to_json(&fields)))
}

/// Admits a request, has it held by a second node and starts it.
pub(super) async fn accept(ctx: &Rc<Ctx>, descriptor: Descriptor) -> Result<Rc<Live>, Problem> {
    let id = descriptor.id;
    if ctx.members.is_leaving() {
        let problem = Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            "this entry is leaving; use another address of /v1/entries",
        );
        return Err(problem.of(id));
    }
    let live = Live::new(descriptor, Transcript::default(), ctx.clock.now());
    if let Verdict::Rejected(rejection) = ctx.health.check(&live.print, ctx.clock.now()) {
        ctx.decisions.note("quarantine", &id, &rejection);
        let finish = Finish::without_answer(Outcome::Failed, request::QUARANTINED);
        return Err(Problem::ended(id, &finish).retry(rejection.retry_after));
    }
    let ticket = ctx.gate.enter(ctx, ask(&live)).await.map_err(|denied| {
        ctx.metrics.refused_requests.inc();
        Problem::denied(&denied).of(id)
    })?;
    live.admit(ticket);
    place_second(ctx, &live, None).await;
    request::start(ctx, Rc::clone(&live));
    Ok(live)
}

fn ask(live: &Live) -> AdmissionRequest {
    let run = live.run.borrow();
    let descriptor = run.descriptor();
    let tokens = match descriptor.call {
        Call::Completion { .. } => live.prompt.tokens + live.prompt.output_tokens,
        Call::Plain { .. } => 1,
    };
    AdmissionRequest {
        id: live.id,
        org: descriptor.org.clone(),
        service: descriptor.service.clone(),
        priority: descriptor.priority,
        estimated_tokens: TokenCount(tokens),
        deadline: live.deadline,
        estimated_duration: Millis(0),
    }
}

fn accepted(live: &Live) -> Response<BoxBody> {
    Response::build(StatusCode::ACCEPTED)
        .insert_header((header::REQUEST_ID, live.id.to_string()))
        .insert_header((header::SECOND, second(live)))
        .insert_header(("location", format!("/v1/requests/{}", live.id)))
        .body(())
        .map_into_boxed_body()
}

/// Returns the address of the second node, or `none`.
pub(super) fn second(live: &Live) -> String {
    live.second()
        .map_or_else(|| "none".into(), |second| second.caller.to_string())
}

/// Answers with the stream from `from` on, or with the whole answer when it is there.
pub(super) async fn answer(
    ctx: &Rc<Ctx>,
    live: Rc<Live>,
    from: Position,
) -> Result<Response<BoxBody>, Problem> {
    let descriptor = live.run.borrow().descriptor().clone();
    if let Call::Completion { stream: true, .. } = descriptor.call {
        return Ok(streamed(ctx, live, from));
    }
    whole(&live).await
}

/// Streams the answer from `from` on.
pub(super) fn streamed(ctx: &Rc<Ctx>, live: Rc<Live>, from: Position) -> Response<BoxBody> {
    let mut answer = Response::build(StatusCode::OK);
    answer
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-store"))
        .insert_header((header::REQUEST_ID, live.id.to_string()))
        .insert_header((header::SECOND, second(&live)));
    let events = stream::events(ctx, live, from);
    answer
        .body(BodyStream::new(Box::pin(events)))
        .map_into_boxed_body()
}

/// Waits for the end and answers with the whole.
pub(super) async fn whole(live: &Rc<Live>) -> Result<Response<BoxBody>, Problem> {
    let _reader = live.reader();
    let finish = loop {
        let changed = live.changed();
        if let Some(finish) = live.sealed() {
            break finish;
        }
        if live.superseded() {
            return Ok(moved(live));
        }
        changed.await;
    };
    let run = live.run.borrow();
    result(run.descriptor(), run.transcript(), &finish)
}

/// Sends the caller to the node that goes on with the request.
fn moved(live: &Live) -> Response<BoxBody> {
    let path = format!("/v1/requests/{}?wait=true", live.id);
    let to = live.second().map_or(path.clone(), |second| {
        format!("http://{}{path}", second.caller)
    });
    Response::build(StatusCode::SEE_OTHER)
        .insert_header((header::REQUEST_ID, live.id.to_string()))
        .insert_header(("location", to))
        .body(())
        .map_into_boxed_body()
}

/// Returns the answer of a request that has ended.
pub(super) fn result(
    descriptor: &Descriptor,
    transcript: &Transcript,
    finish: &Finish,
) -> Result<Response<BoxBody>, Problem> {
    if finish.outcome != Outcome::Done {
        return Err(Problem::ended(descriptor.id, finish));
    }
    let Call::Completion { model, chat, .. } = &descriptor.call else {
        return super::plain::result(descriptor.id, finish);
    };
    let content = transcript.text().to_owned();
    let mut choice = AnswerChoice {
        finish_reason: Some(finish.reason.clone()),
        ..AnswerChoice::default()
    };
    if *chat {
        choice.message = Some(Message {
            role: "assistant".into(),
            content,
        });
    } else {
        choice.text = Some(content);
    }
    let object = if *chat {
        "chat.completion"
    } else {
        "text_completion"
    };
    let answer = Answer {
        id: descriptor.id.to_string(),
        object: object.into(),
        model: model.to_string(),
        choices: vec![choice],
        usage: usage(finish, transcript),
    };
    Ok(Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/json"))
        .insert_header((header::REQUEST_ID, descriptor.id.to_string()))
        .insert_header((header::OUTCOME, finish.outcome.to_string()))
        .body(reply::to_json(&answer))
        .map_into_boxed_body())
}

/// Returns the token counts of the whole answer, whatever attempts made it.
pub(super) fn usage(finish: &Finish, transcript: &Transcript) -> Usage {
    let completion = transcript.position().0;
    Usage {
        prompt_tokens: finish.counts.prompt,
        completion_tokens: completion,
        total_tokens: finish.counts.prompt + completion,
        cached_tokens: finish.counts.cached,
    }
}
