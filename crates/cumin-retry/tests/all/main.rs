//! Tests of retries, hedging, ejection and quarantine.

mod budget;
mod ejection;
mod fuzz;
mod hedging;
mod poison_request;
mod records;
mod suspects;
mod waits;

use cumin_types::{EndpointName, Fingerprint, Organisation};

fn endpoint(index: usize) -> EndpointName {
    EndpointName::from(format!("e{index:02}"))
}

fn fingerprint(id: u64) -> Fingerprint {
    Fingerprint::of(&Organisation::from("bakers"), "crumb", &id.to_le_bytes())
}
