//! Tests of admission control: quotas, deadlines, fairness, shares and load shedding.

mod deadline;
mod fairness;
mod fuzz;
mod quota_wait;
mod quotas;
mod shares;
mod shedding;

use std::collections::BTreeMap;

use cumin_admit::{Admission, AdmissionRequest, Options, Quota};
use cumin_types::{Millis, Organisation, Priority, RequestId, Service, TokenCount};
use uuid::Uuid;

/// Returns a request of `org` with 100 estimated tokens, 100 ms duration and a distant deadline.
fn request(id: u128, org: &str) -> AdmissionRequest {
    AdmissionRequest {
        id: RequestId(Uuid::from_u128(id)),
        org: Organisation::from(org),
        service: Service::from("crumb-assist"),
        priority: Priority::Normal,
        estimated_tokens: TokenCount(100),
        deadline: Millis(1_000_000),
        estimated_duration: Millis(100),
    }
}

fn quotas(names: &[(&str, Quota)]) -> BTreeMap<Organisation, Quota> {
    let pair = |(name, quota): &(&str, Quota)| (Organisation::from(*name), quota.clone());
    names.iter().map(pair).collect()
}

/// Returns a controller with the default options and the given quotas.
fn admission(names: &[(&str, Quota)]) -> Admission {
    let mut admission = Admission::new(Options::default());
    admission.configure(&quotas(names), Millis(0));
    admission
}
