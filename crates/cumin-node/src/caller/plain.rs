//! Calls to plain services: from the HTTP request to the service's response.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use cumin_config::ServiceKind;
use cumin_request::Finish;
use cumin_types::{
    Call, Descriptor, Epoch, Organisation, Outcome, Priority, Repeat, RequestId, Service,
};
use cumin_wire::header;
use uuid::Uuid;

use super::completion::{accept, body_problem, whole_response};
use super::reply::Problem;
use super::{header_text, read_body};
use crate::node::Ctx;

/// Serves any method on `/v1/services/{service}/{path...}`; `rest` is the path from the service on.
pub(super) async fn serve(
    ctx: &Rc<Ctx>,
    mut request: Request,
    org: Organisation,
    rest: &str,
) -> Result<Response<BoxBody>, Problem> {
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = Service::from(name);
    let method = request.method().to_string();
    let document = ctx.document();
    if document
        .services
        .get(&service)
        .is_none_or(|spec| spec.kind != ServiceKind::Plain)
    {
        return Err(Problem::not_found(format!(
            "no plain service is named {name:?}"
        )));
    }
    let repeat = if document.is_idempotent(&service, &method, &format!("/{path}")) {
        Repeat::Idempotent
    } else {
        Repeat::Once(idempotency_key(&request)?)
    };
    let path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let left = super::time_left(&request, ctx.options.plain_deadline)?;
    let priority = super::priority(&request, Priority::Live)?;
    let content_type = header_text(&request, "content-type").map(str::to_owned);
    let limit = ctx.settings.limits.body_bytes;
    let bytes = read_body(&mut request, limit)
        .await
        .map_err(|error| body_problem(error, limit))?;
    let (body, binary) = match std::str::from_utf8(&bytes) {
        Ok(text) => (text.to_owned(), false),
        Err(_) => (hex::encode(&bytes), true),
    };
    let descriptor = Descriptor {
        id: RequestId::now(),
        org,
        service,
        call: Call::Plain {
            method,
            path,
            content_type,
            binary,
            repeat,
        },
        body,
        priority,
        time_left: left,
        epoch: Epoch(0),
        owner: ctx.settings.name.clone(),
    };
    let active = accept(ctx, descriptor).await?;
    whole_response(ctx, &active).await
}

fn idempotency_key(request: &Request) -> Result<Uuid, Problem> {
    let Some(value) = header_text(request, header::IDEMPOTENCY_KEY) else {
        return Err(Problem::not_run(
            StatusCode::BAD_REQUEST,
            "idempotency_key_missing",
            "this call is not idempotent: send `idempotency-key` with a UUIDv7",
        ));
    };
    let key = Uuid::parse_str(value)
        .ok()
        .filter(|key| key.get_version_num() == 7);
    key.ok_or_else(|| {
        Problem::not_run(
            StatusCode::BAD_REQUEST,
            "idempotency_key_invalid",
            format!("idempotency-key: {value:?} is not a UUIDv7"),
        )
    })
}

/// Returns the response of the plain service.
pub(super) fn plain_response(id: RequestId, finish: &Finish) -> Result<Response<BoxBody>, Problem> {
    let Some(body) = &finish.body else {
        return Err(Problem::ended(id, finish).with_outcome(Outcome::Unknown));
    };
    let status = StatusCode::from_u16(body.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::build(status);
    response
        .insert_header((header::REQUEST_ID, id.to_string()))
        .insert_header((header::OUTCOME, finish.outcome.to_string()));
    if let Some(content_type) = &body.content {
        response.insert_header(("content-type", content_type.as_str()));
    }
    let bytes = if body.binary {
        hex::decode(&body.text).unwrap_or_default()
    } else {
        body.text.clone().into_bytes()
    };
    Ok(response.body(bytes).map_into_boxed_body())
}
