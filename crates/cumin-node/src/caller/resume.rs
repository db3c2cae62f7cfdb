//! Reads and cancels requests by id. A request that another node runs, or whose owner is gone, is
//! taken over when its caller asks for the answer here.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use cumin_request::Replica;
use cumin_types::{Call, Organisation, Outcome, Position, RequestId};
use cumin_wire::header;
use serde::Serialize;

use super::completion::{finished_response, stream_response, whole_response};
use super::reply::{self, Problem};
use super::{header_text, stream};
use crate::member::Member;
use crate::node::Ctx;
use crate::peer::PeerClient;
use crate::request::{self, ActiveRequest, Command};

#[derive(Serialize)]
struct RunningState {
    id: String,
    status: &'static str,
    position: Position,
}

/// Where a request was found, with its state there.
enum Location {
    Running(Rc<ActiveRequest>),
    /// Another node runs the request and has tokens up to this position.
    Elsewhere(Position),
    Ended(Box<Replica>),
}

/// Serves `GET /v1/requests/{id}`.
///
/// With `Last-Event-ID` or `accept: text/event-stream` the response is the stream from that
/// position; with `?wait=true` the whole answer once it is complete; otherwise the current state.
pub(super) async fn read(
    ctx: &Rc<Ctx>,
    request: &Request,
    org: &Organisation,
    id: &str,
) -> Result<Response<BoxBody>, Problem> {
    let id = parse(id)?;
    let from = position(request)?;
    let wants_stream =
        header_text(request, "accept").is_some_and(|value| value.contains("text/event-stream"));
    let wait = request
        .uri()
        .query()
        .is_some_and(|query| query.contains("wait=true"));
    let options = ReadOptions {
        from: from.unwrap_or_default(),
        follow: wants_stream || from.is_some() || wait,
    };
    match locate(ctx, id, org, options).await? {
        Location::Elsewhere(position) => {
            let state = RunningState {
                id: id.to_string(),
                status: "running",
                position,
            };
            Ok(reply::json(StatusCode::ACCEPTED, &state))
        }
        Location::Ended(replica) => ended_response(&replica, from, wants_stream),
        Location::Running(active) => {
            let completion = matches!(
                active.run.borrow().descriptor().call,
                Call::Completion { .. }
            );
            let stored = active.run.borrow().transcript().position();
            if from.is_some_and(|from| from > stored) {
                return Err(position_gap(id, from.unwrap_or_default(), stored));
            }
            if completion && (wants_stream || from.is_some()) {
                Ok(stream_response(ctx, active, from.unwrap_or_default()))
            } else if wait {
                whole_response(ctx, &active).await
            } else {
                let state = RunningState {
                    id: id.to_string(),
                    status: "running",
                    position: active.acked(),
                };
                Ok(reply::json(StatusCode::ACCEPTED, &state))
            }
        }
    }
}

/// Serves `DELETE /v1/requests/{id}`, which cancels the request.
pub(super) fn cancel(
    ctx: &Ctx,
    org: &Organisation,
    id: &str,
) -> Result<Response<BoxBody>, Problem> {
    let id = parse(id)?;
    let active = ctx
        .table
        .get(id)
        .filter(|active| active.run.borrow().descriptor().org == *org);
    let active = active.ok_or_else(|| missing(id))?;
    if active.run.borrow().at_most_once() {
        return Err(Problem::not_run(
            StatusCode::CONFLICT,
            "not_cancellable",
            "a call that is not idempotent can't be cancelled",
        )
        .with_outcome(Outcome::Unknown)
        .with_id(id));
    }
    active.send_command(Command::Cancel);
    Ok(reply::text(StatusCode::ACCEPTED, "cancelling"))
}

fn parse(id: &str) -> Result<RequestId, Problem> {
    id.parse()
        .map_err(|_| Problem::invalid(format!("{id:?} is not a request id")))
}

fn missing(id: RequestId) -> Problem {
    Problem::not_found(format!("no node holds the request {id}"))
        .with_outcome(Outcome::Unknown)
        .with_id(id)
}

fn position_gap(id: RequestId, from: Position, stored: Position) -> Problem {
    Problem::not_run(
        StatusCode::CONFLICT,
        "position_not_held",
        format!("position {from} is past the {stored} tokens held"),
    )
    .with_outcome(Outcome::Failed)
    .with_id(id)
}

fn position(request: &Request) -> Result<Option<Position>, Problem> {
    let Some(value) = header_text(request, header::LAST_EVENT_ID) else {
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
struct ReadOptions {
    /// Position up to which the caller has the tokens.
    from: Position,
    /// Whether the caller wants the answer; a query of the current state causes no takeover.
    follow: bool,
}

/// Finds the request at this node or another one. A request that the caller follows and that
/// another node runs is taken over.
async fn locate(
    ctx: &Rc<Ctx>,
    id: RequestId,
    org: &Organisation,
    options: ReadOptions,
) -> Result<Location, Problem> {
    if let Some(active) = ctx.table.get(id).filter(|active| !active.is_superseded()) {
        let own = active.run.borrow().descriptor().org == *org;
        return if own {
            Ok(Location::Running(active))
        } else {
            Err(missing(id))
        };
    }
    let stored = ctx.replica_store.borrow().snapshot(id, ctx.clock.now());
    if stored
        .as_ref()
        .is_some_and(|stored| stored.descriptor.org != *org)
    {
        return Err(missing(id));
    }
    let replica = match stored {
        Some(stored) if stored.finish.is_some() => stored,
        Some(stored) if !options.follow => {
            return Ok(Location::Elsewhere(stored.transcript.position()));
        }
        // A replica with fewer tokens than the caller has is outdated.
        Some(stored) if stored.transcript.position() >= options.from => {
            take_from_owner(ctx, id, stored)
                .await
                .ok_or_else(|| missing(id))?
        }
        _ => {
            let (member, found) = request::find(ctx, id)
                .await
                .filter(|(_, found)| found.org == *org)
                .ok_or_else(|| missing(id))?;
            if !found.done && !options.follow {
                return Ok(Location::Elsewhere(found.position));
            }
            // Checked before the takeover, which increments the epoch.
            if found.position < options.from {
                return Err(position_gap(id, options.from, found.position));
            }
            take_from(ctx, id, &member)
                .await
                .ok_or_else(|| missing(id))?
        }
    };
    if replica.finish.is_some() {
        return Ok(Location::Ended(Box::new(replica)));
    }
    ctx.metrics.taken_over.inc();
    Ok(Location::Running(
        request::take_over(ctx, replica, "resumed").await,
    ))
}

/// Takes over a request that this node is the second node of: from its owner, or from the local
/// replica when the owner does not answer.
async fn take_from_owner(ctx: &Rc<Ctx>, id: RequestId, stored: Replica) -> Option<Replica> {
    let me = &ctx.settings.name;
    let owner = ctx.members.peer(&stored.descriptor.owner);
    if let Some(owner) = owner
        && let Ok(client) = ctx.peer_clients.get(owner.rpc)
        && let Ok(Some(replica)) = client.take(id, me.clone()).await
    {
        return Some(replica);
    }
    ctx.replica_store
        .borrow_mut()
        .take_over(id, me, ctx.clock.now())
}

/// Takes over a request from another node.
async fn take_from(ctx: &Ctx, id: RequestId, member: &Member) -> Option<Replica> {
    let client = ctx.peer_clients.get(member.rpc).ok()?;
    client.take(id, ctx.settings.name.clone()).await.ok()?
}

fn ended_response(
    replica: &Replica,
    from: Option<Position>,
    wants_stream: bool,
) -> Result<Response<BoxBody>, Problem> {
    let Some(finish) = &replica.finish else {
        return Err(missing(replica.descriptor.id));
    };
    let completion = matches!(replica.descriptor.call, Call::Completion { .. });
    if !completion || !(wants_stream || from.is_some()) {
        return finished_response(&replica.descriptor, &replica.transcript, finish);
    }
    let from = from.unwrap_or_default();
    let stored = replica.transcript.position();
    if from > stored {
        return Err(position_gap(replica.descriptor.id, from, stored));
    }
    let events = stream::finished_events(&replica.descriptor, &replica.transcript, finish, from);
    Ok(Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .insert_header((header::REQUEST_ID, replica.descriptor.id.to_string()))
        .insert_header((header::OUTCOME, finish.outcome.to_string()))
        .body(events)
        .map_into_boxed_body())
}
