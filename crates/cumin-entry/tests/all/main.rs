//! Tests of the decisions of an entry, one file per module.

mod directory;
mod duty;
mod era;
mod fleet;
mod learn;
mod leaving;
mod limits;
mod memory;
mod outage;
mod placement;
mod quota;
mod recovery;
mod refusals;
mod relay;
mod retry;
mod retry_after;
mod rollout;
mod rollout_replay;
mod scale;
mod selection;
mod stop;
mod suspects;
mod usage;
mod waiting;

use std::net::SocketAddr;

use cumin_entry::fleet::Endpoint;
use cumin_types::{EndpointName, Place, Service};

/// Returns an endpoint of the service `engines` in the place `a`.
#[must_use]
pub fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: EndpointName::from(name),
        service: Service::from("engines"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        place: Place::from("a"),
        slots: 64,
        draining: false,
        leaves_at: None,
        spot: false,
        started_ms: 1,
        version: None,
    }
}

/// Returns the service of [`endpoint`].
#[must_use]
pub fn engines() -> Service {
    Service::from("engines")
}
