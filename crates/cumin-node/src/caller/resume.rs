//! Reads a request by its identifier, wherever it is, and goes on with it when need be.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use cumin_request::Replica;
use cumin_types::{Call, Organisation, Outcome, Position, RequestId};
use cumin_wire::header;
use serde::Serialize;

use super::completion::{result, streamed, whole};
use super::reply::{self, Problem};
use super::{stream, text};
use crate::member::Member;
use crate::node::Ctx;
use crate::peer::PeerClient;
use crate::request::{self, Command, Live};

#[derive(Serialize)]
struct Running {
    id: String,
    status: &'static str,
    position: Position,
}

/// A request as this node can answer for it.
enum Source {
    Running(Rc<Live>),
    /// Another node runs it and has so many tokens.
    Elsewhere(Position),
    Ended(Box<Replica>),
}

/// Answers `GET /v1/requests/{id}`.
///
/// With `Last-Event-ID` or `accept: text/event-stream` the answer is the stream from there; with
/// `?wait=true` the whole answer, once it is there; else the present state.
pub(super) async fn read(
    ctx: &Rc<Ctx>,
    request: &Request,
    org: &Organisation,
    id: &str,
) -> Result<Response<BoxBody>, Problem> {
    let id = parse(id)?;
    let from = position(request)?;
    let accept = text(request, "accept").is_some_and(|value| value.contains("text/event-stream"));
    let wait = request
        .uri()
        .query()
        .is_some_and(|query| query.contains("wait=true"));
    let reading = Reading {
        from: from.unwrap_or_default(),
        follow: accept || from.is_some() || wait,
    };
    match locate(ctx, id, org, reading).await? {
        Source::Elsewhere(position) => {
            let state = Running {
                id: id.to_string(),
                status: "running",
                position,
            };
            Ok(reply::json(StatusCode::ACCEPTED, &state))
        }
        Source::Ended(given) => ended(&given, from, accept),
        Source::Running(live) => {
            let completion = matches!(live.run.borrow().descriptor().call, Call::Completion { .. });
            let held = live.run.borrow().transcript().position();
            if from.is_some_and(|from| from > held) {
                return Err(gap(id, from.unwrap_or_default(), held));
            }
            if completion && (accept || from.is_some()) {
                Ok(streamed(ctx, live, from.unwrap_or_default()))
            } else if wait {
                whole(&live).await
            } else {
                let state = Running {
                    id: id.to_string(),
                    status: "running",
                    position: live.acked(),
                };
                Ok(reply::json(StatusCode::ACCEPTED, &state))
            }
        }
    }
}

/// Answers `DELETE /v1/requests/{id}`: the caller gives the request up.
pub(super) fn cancel(
    ctx: &Ctx,
    org: &Organisation,
    id: &str,
) -> Result<Response<BoxBody>, Problem> {
    let id = parse(id)?;
    let live = ctx
        .table
        .get(id)
        .filter(|live| live.run.borrow().descriptor().org == *org);
    let live = live.ok_or_else(|| missing(id))?;
    if live.run.borrow().at_most_once() {
        return Err(Problem::not_run(
            StatusCode::CONFLICT,
            "not_cancellable",
            "a call that is not idempotent can't be cancelled",
        )
        .outcome(Outcome::Unknown)
        .of(id));
    }
    live.order(Command::Cancel);
    Ok(reply::text(StatusCode::ACCEPTED, "cancelling"))
}

fn parse(id: &str) -> Result<RequestId, Problem> {
    id.parse()
        .map_err(|_| Problem::invalid(format!("{id:?} is not a request id")))
}

fn missing(id: RequestId) -> Problem {
    Problem::not_found(format!("no node holds the request {id}"))
        .outcome(Outcome::Unknown)
        .of(id)
}

fn gap(id: RequestId, from: Position, held: Position) -> Problem {
    Problem::not_run(
        StatusCode::CONFLICT,
        "position_not_held",
        format!("position {from} is past the {held} tokens held"),
    )
    .outcome(Outcome::Failed)
    .of(id)
}

fn position(request: &Request) -> Result<Option<Position>, Problem> {
    let Some(value) = text(request, header::LAST_EVENT_ID) else {
        return Ok(None);
    };
    let parsed = value.parse().map(|count| Some(Position(count)));
    parsed.map_err(|_| {
        Problem::invalid(format!(
            "{}: {value:?} is not a position",
            header::LAST_EVENT_ID
        ))
    })
}

/// How a caller wants to read a request.
#[derive(Clone, Copy)]
struct Reading {
    /// The tokens that the caller has.
    from: Position,
    /// False when only the present state is asked for, which moves nothing.
    follow: bool,
}

/// Finds the request here or elsewhere; one that is followed and not run here is run here from
/// now on.
async fn locate(
    ctx: &Rc<Ctx>,
    id: RequestId,
    org: &Organisation,
    reading: Reading,
) -> Result<Source, Problem> {
    if let Some(live) = ctx.table.get(id).filter(|live| !live.superseded()) {
        let own = live.run.borrow().descriptor().org == *org;
        return if own {
            Ok(Source::Running(live))
        } else {
            Err(missing(id))
        };
    }
    let held = ctx.replica_store.borrow().snapshot(id, ctx.clock.now());
    if held
        .as_ref()
        .is_some_and(|held| held.descriptor.org != *org)
    {
        return Err(missing(id));
    }
    let given = match held {
        Some(held) if held.finish.is_some() => held,
        Some(held) if !reading.follow => return Ok(Source::Elsewhere(held.transcript.position())),
        // A copy with fewer tokens than the caller has is an old one.
        Some(held) if held.transcript.position() >= reading.from => {
            from_owner(ctx, id, held).await.ok_or_else(|| missing(id))?
        }
        _ => {
            let (member, found) = request::find(ctx, id)
                .await
                .filter(|(_, found)| found.org == *org)
                .ok_or_else(|| missing(id))?;
            if !found.done && !reading.follow {
                return Ok(Source::Elsewhere(found.position));
            }
            // Checked before the take, which raises the epoch.
            if found.position < reading.from {
                return Err(gap(id, reading.from, found.position));
            }
            from(ctx, id, &member).await.ok_or_else(|| missing(id))?
        }
    };
    if given.finish.is_some() {
        return Ok(Source::Ended(Box::new(given)));
    }
    ctx.metrics.taken_over.inc();
    Ok(Source::Running(
        request::take_over(ctx, given, "resumed").await,
    ))
}

/// Takes a request over whose second node this is: from its owner, or from what is held here
/// when the owner does not answer.
async fn from_owner(ctx: &Rc<Ctx>, id: RequestId, held: Replica) -> Option<Replica> {
    let me = &ctx.settings.name;
    let owner = ctx.members.peer(&held.descriptor.owner);
    if let Some(owner) = owner
        && let Ok(client) = ctx.client.to(owner.rpc)
        && let Ok(Some(given)) = client.take(id, me.clone()).await
    {
        return Some(given);
    }
    ctx.replica_store
        .borrow_mut()
        .take_over(id, me, ctx.clock.now())
}

/// Takes a request from another node.
async fn from(ctx: &Ctx, id: RequestId, member: &Member) -> Option<Replica> {
    let client = ctx.client.to(member.rpc).ok()?;
    client.take(id, ctx.settings.name.clone()).await.ok()?
}

fn ended(
    given: &Replica,
    from: Option<Position>,
    accept: bool,
) -> Result<Response<BoxBody>, Problem> {
    let Some(finish) = &given.finish else {
        return Err(missing(given.descriptor.id));
    };
    let completion = matches!(given.descriptor.call, Call::Completion { .. });
    if !completion || !(accept || from.is_some()) {
        return result(&given.descriptor, &given.transcript, finish);
    }
    let from = from.unwrap_or_default();
    let held = given.transcript.position();
    if from > held {
        return Err(gap(given.descriptor.id, from, held));
    }
    let events = stream::finished(&given.descriptor, &given.transcript, finish, from);
    Ok(Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .insert_header((header::REQUEST_ID, given.descriptor.id.to_string()))
        .insert_header((header::OUTCOME, finish.outcome.to_string()))
        .body(events)
        .map_into_boxed_body())
}
