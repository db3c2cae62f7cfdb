//! Lists of the entries that callers may use and of the available models.

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use cumin_config::ServiceKind;
use cumin_wire::completion::{ModelEntry, ModelList};
use serde::Serialize;

use super::reply;
use crate::node::Ctx;

/// How long callers may cache the list; a leaving node drains for longer than this.
const LIST_TTL_MS: u64 = 5_000;

#[derive(Serialize)]
struct Entries {
    revision: u64,
    ttl_ms: u64,
    #[serde(rename = "entries")]
    addresses: Vec<EntryAddress>,
}

#[derive(Serialize)]
struct EntryAddress {
    address: String,
    place: String,
    weight: u32,
}

/// Serves `GET /v1/entries`.
pub(super) fn list(ctx: &Ctx) -> Response<BoxBody> {
    let entries = ctx
        .members
        .entries()
        .into_iter()
        .map(|member| EntryAddress {
            address: member.caller.to_string(),
            place: member.place.to_string(),
            weight: 1,
        });
    let list = Entries {
        revision: ctx.config.revision().0.0,
        ttl_ms: LIST_TTL_MS,
        addresses: entries.collect(),
    };
    reply::json(StatusCode::OK, &list)
}

/// Serves `GET /v1/models`.
pub(super) fn models(ctx: &Ctx) -> Response<BoxBody> {
    let document = ctx.document();
    let services = document
        .services
        .iter()
        .filter(|(_, spec)| spec.kind == ServiceKind::Model);
    let data = services.flat_map(|(service, spec)| {
        spec.models.iter().map(move |model| ModelEntry {
            id: model.to_string(),
            object: "model".into(),
            owned_by: service.to_string(),
        })
    });
    reply::json(
        StatusCode::OK,
        &ModelList {
            object: "list".into(),
            data: data.collect(),
        },
    )
}
