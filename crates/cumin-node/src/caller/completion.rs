//! Completion endpoints: parse and admit a request, and build its response.

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
use super::{BodyError, header_text, read_body, stream};
use crate::node::Ctx;
use crate::request::{self, ActiveRequest, ENDPOINTS_WAIT, assign_second};

/// Serves `POST /v1/chat/completions` and `POST /v1/completions`.
pub(super) async fn serve(
    ctx: &Rc<Ctx>,
    mut request: Request,
    org: Organisation,
    chat: bool,
) -> Result<Response<BoxBody>, Problem> {
    let left = super::time_left(&request, ctx.options.completion_deadline)?;
    let limit = ctx.settings.limits.body_bytes;
    let bytes = read_body(&mut request, limit)
        .await
        .map_err(|error| body_problem(error, limit))?;
    let (body, forwarded) = parse(&bytes, chat)?;
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
        body: forwarded,
        priority,
        time_left: left,
        epoch: Epoch(0),
        owner: ctx.settings.name.clone(),
    };
    let active = accept(ctx, descriptor).await?;
    if header_text(&request, "prefer").is_some_and(|value| value.contains("respond-async")) {
        return Ok(accepted_response(&active));
    }
    respond(ctx, active, Position(0)).await
}

pub(super) fn body_problem(error: BodyError, limit: usize) -> Problem {
    match error {
        BodyError::TooLarge => Problem::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body exceeds {limit} bytes"),
        ),
        BodyError::ConnectionLost => Problem::invalid("the body broke off"),
    }
}

/// Validates a body. Returns the parsed body, and its text without the field `resume`.
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
    // `resume` is reserved for calls from this system to engines; callers resume by request id.
    fields.remove("resume");
    Ok((body, reply::to_json(&fields)))
}

/// Admits a request, replicates it to a second node and starts it.
pub(super) async fn accept(
    ctx: &Rc<Ctx>,
    descriptor: Descriptor,
) -> Result<Rc<ActiveRequest>, Problem> {
    let id = descriptor.id;
    if ctx.members.is_leaving() {
        let problem = Problem::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            "this entry is leaving; use another address of /v1/entries",
        );
        return Err(problem.with_id(id));
    }
    let active = ActiveRequest::new(descriptor, Transcript::default(), ctx.clock.now());
    if let Verdict::Rejected(rejection) = ctx.health.check(&active.fingerprint, ctx.clock.now()) {
        ctx.decisions.record("quarantine", &id, &rejection);
        let finish = Finish::without_answer(Outcome::Failed, request::QUARANTINED);
        return Err(Problem::ended(id, &finish).with_retry(rejection.retry_after));
    }
    // A call that runs once only may have been run before; its claim tells.
    let at_most_once = active.run.borrow().at_most_once();
    if !at_most_once && let Some(wait) = ctx.fleet.all_waiting(ctx, &active, ctx.clock.now()) {
        let reasons = format!("reason={ENDPOINTS_WAIT} wait_ms={wait}");
        ctx.decisions.record("refuse", &id, &reasons);
        ctx.metrics.refused_requests.inc();
        let finish = Finish::without_answer(Outcome::NotRun, ENDPOINTS_WAIT);
        return Err(Problem::ended(id, &finish).with_retry(wait));
    }
    let ticket = ctx
        .admission
        .admit(ctx, admission_request(&active))
        .await
        .map_err(|denied| {
            ctx.metrics.refused_requests.inc();
            Problem::denied(&denied).with_id(id)
        })?;
    active.set_ticket(ticket);
    assign_second(ctx, &active, None).await;
    request::start(ctx, Rc::clone(&active));
    Ok(active)
}

fn admission_request(active: &ActiveRequest) -> AdmissionRequest {
    let run = active.run.borrow();
    let descriptor = run.descriptor();
    let tokens = match descriptor.call {
        Call::Completion { .. } => active.prompt.tokens + active.prompt.output_tokens,
        Call::Plain { .. } => 1,
    };
    AdmissionRequest {
        id: active.id,
        org: descriptor.org.clone(),
        service: descriptor.service.clone(),
        priority: descriptor.priority,
        estimated_tokens: TokenCount(tokens),
        deadline: active.deadline,
        estimated_duration: Millis(0),
    }
}

fn accepted_response(active: &ActiveRequest) -> Response<BoxBody> {
    Response::build(StatusCode::ACCEPTED)
        .insert_header((header::REQUEST_ID, active.id.to_string()))
        .insert_header((header::REPLICA, second_address(active)))
        .insert_header(("location", format!("/v1/requests/{}", active.id)))
        .body(())
        .map_into_boxed_body()
}

/// Returns the address of the second node, or `none`.
pub(super) fn second_address(active: &ActiveRequest) -> String {
    active
        .second()
        .map_or_else(|| "none".into(), |second| second.caller.to_string())
}

/// Responds with a stream from position `from`, or waits for the end and responds with the whole
/// answer.
pub(super) async fn respond(
    ctx: &Rc<Ctx>,
    active: Rc<ActiveRequest>,
    from: Position,
) -> Result<Response<BoxBody>, Problem> {
    let descriptor = active.run.borrow().descriptor().clone();
    if let Call::Completion { stream: true, .. } = descriptor.call {
        return Ok(stream_response(ctx, active, from));
    }
    whole_response(ctx, &active).await
}

/// Returns a response that streams the answer from position `from`.
pub(super) fn stream_response(
    ctx: &Rc<Ctx>,
    active: Rc<ActiveRequest>,
    from: Position,
) -> Response<BoxBody> {
    let mut response = Response::build(StatusCode::OK);
    response
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-store"))
        .insert_header((header::REQUEST_ID, active.id.to_string()))
        .insert_header((header::REPLICA, second_address(&active)));
    let events = stream::events(ctx, active, from);
    response
        .body(BodyStream::new(Box::pin(events)))
        .map_into_boxed_body()
}

/// Waits for the end of the request and returns a response with the whole answer.
pub(super) async fn whole_response(
    ctx: &Ctx,
    active: &Rc<ActiveRequest>,
) -> Result<Response<BoxBody>, Problem> {
    let _reader = active.add_reader();
    let finish = loop {
        let changed = active.changed();
        if let Some(finish) = active.acked_finish() {
            break finish;
        }
        if active.is_superseded() {
            return Ok(redirect(active));
        }
        changed.await;
    };
    let wait = (finish.reason == ENDPOINTS_WAIT)
        .then(|| ctx.fleet.all_waiting(ctx, active, ctx.clock.now()))
        .flatten();
    let run = active.run.borrow();
    let response = finished_response(run.descriptor(), run.transcript(), &finish);
    response.map_err(|problem| match wait {
        Some(wait) => problem.with_retry(wait),
        None => problem,
    })
}

/// Redirects the caller to the node that continues the request.
fn redirect(active: &ActiveRequest) -> Response<BoxBody> {
    let path = format!("/v1/requests/{}?wait=true", active.id);
    let to = active.second().map_or(path.clone(), |second| {
        format!("http://{}{path}", second.caller)
    });
    Response::build(StatusCode::SEE_OTHER)
        .insert_header((header::REQUEST_ID, active.id.to_string()))
        .insert_header(("location", to))
        .body(())
        .map_into_boxed_body()
}

/// Returns the response for a request that has ended.
pub(super) fn finished_response(
    descriptor: &Descriptor,
    transcript: &Transcript,
    finish: &Finish,
) -> Result<Response<BoxBody>, Problem> {
    if finish.outcome != Outcome::Done {
        return Err(Problem::ended(descriptor.id, finish));
    }
    let Call::Completion { model, chat, .. } = &descriptor.call else {
        return super::plain::plain_response(descriptor.id, finish);
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

/// Returns the token counts of the whole answer, over all attempts.
pub(super) fn usage(finish: &Finish, transcript: &Transcript) -> Usage {
    let completion = transcript.position().0;
    Usage {
        prompt_tokens: finish.counts.prompt,
        completion_tokens: completion,
        total_tokens: finish.counts.prompt + completion,
        cached_tokens: finish.counts.cached,
    }
}
