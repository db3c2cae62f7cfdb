//! Whether a request may run here: route, key, quota.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use actix_http::StatusCode;
use cumin_entry::document::Table;
use cumin_entry::platform::CallerRequest;
use cumin_entry::quota::Verdict;
use cumin_entry::suspects::{CRASH_LIMIT, Fingerprint};
use cumin_types::{Millis, Service, score};

use crate::caller::{End, Inbound, Reply};
use crate::metrics::Why;
use crate::node::Node;
use crate::request::Job;

/// Time before the bound at which keys are refused without a newer proof: a request is decided,
/// sent and begun within it.
const REVOKE_MARGIN: Millis = Millis(400);

/// Shortest and usual time after which a refused caller may come back.
pub(crate) const SOON: Millis = Millis(100);
pub(crate) const LATER: Millis = Millis(500);

/// Why a request is not served by this node.
pub(crate) struct Refusal {
    status: StatusCode,
    again: Option<Millis>,
    reason: &'static str,
    detail: String,
}

impl Refusal {
    pub(crate) fn new(
        status: StatusCode,
        again: Option<Millis>,
        reason: &'static str,
        detail: String,
    ) -> Self {
        Self {
            status,
            again,
            reason,
            detail,
        }
    }

    pub(crate) fn busy(again: Millis, reason: &'static str, detail: String) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, Some(again), reason, detail)
    }
}

/// Tells the caller that the request did not run, and why.
pub(crate) async fn refuse(
    node: &Node,
    id: &str,
    refusal: Refusal,
    reply: &mut Reply<'_, '_>,
) -> io::Result<End> {
    let Refusal {
        status,
        again,
        reason,
        detail,
    } = refusal;
    log::info!(
        "event=refused id={id} status={} reason={reason} again_ms={} {detail}",
        status.as_u16(),
        again.unwrap_or_default()
    );
    node.metrics.refusals.get_or_create(&Why { reason }).inc();
    reply.refuse(status, again, reason).await?;
    Ok(End::Whole)
}

/// Decides whether the request may run: route, key, quota.
pub(crate) fn admit<'a>(
    node: &'a Rc<Node>,
    inbound: &'a Inbound,
    ask: CallerRequest,
    table: &'a Table,
) -> Result<Job<'a>, Refusal> {
    let now = node.now();
    let bounds = node.bounds.get();
    let age = node.document.get().age(now).unwrap_or(u64::MAX);
    let seen = || format!("revision={} age_ms={age}", table.document().revision);
    // A document that may be old can't say that something is not there.
    let fresh = age < bounds.apply.0;
    let missing = |status, reason| {
        if fresh {
            Refusal::new(status, None, reason, seen())
        } else {
            Refusal::busy(LATER, "stale_document", seen())
        }
    };
    if !crate::stop::takes(node) {
        return Err(Refusal::busy(SOON, "stopping", seen()));
    }
    let path = inbound.head.uri.path();
    let route = table
        .route(&ask.host, path)
        .ok_or_else(|| missing(StatusCode::NOT_FOUND, "no_route"))?;
    let mut org = None;
    if !route.open && !table.document().orgs.is_empty() {
        let held = ask.key.as_deref().and_then(|key| table.org(key));
        let held = held.ok_or_else(|| missing(StatusCode::UNAUTHORIZED, "no_key"))?;
        if bounds.strict_revoke && age + REVOKE_MARGIN.0 >= bounds.revoke.0 {
            return Err(Refusal::busy(LATER, "stale_keys", seen()));
        }
        org = Some(held);
    }
    let name = org.map_or("", |org| org.name.as_str());
    let print = Fingerprint::new(name, path, &inbound.body);
    let crashes = node.suspects.borrow().crashes(print, now);
    if crashes >= CRASH_LIMIT {
        let detail = format!("crashes={crashes} request={print:?}");
        return Err(Refusal::busy(LONGEST, "crashes_endpoints", detail));
    }
    let wait = route.timeout.into_iter().chain(ask.timeout).min();
    let deadline = inbound.at.plus(wait.unwrap_or(LONGEST).0);
    let id = ask.id.clone().unwrap_or_default();
    let service = target(&route.targets, &id);
    let service = service.ok_or_else(|| Refusal::busy(LATER, "no_service", seen()))?;
    if let Some(org) = org
        && let Verdict::Over {
            retry_after: wait,
            heard_share: part,
        } = node.quotas.borrow_mut().take(org, ask.tokens, now)
    {
        let detail = format!("org={} part={part:.2}", org.name);
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Err(Refusal::new(status, Some(wait.max(SOON)), "quota", detail));
    }
    node.budget(service, |budget| budget.count_first(now));
    Ok(Job {
        node,
        inbound,
        ask,
        route,
        org,
        service,
        spec: table.service(service),
        deadline,
        print,
        sends: 0,
        avoid: Vec::new(),
        estimate: 0.0,
        first: Cell::new(None),
    })
}

/// Longest time that a request without any limit may take.
const LONGEST: Millis = Millis(60_000);

/// Chooses a service by weight; the same attempt always goes to the same one.
fn target<'a>(targets: &'a [(Service, u32)], id: &str) -> Option<&'a Service> {
    let total: u64 = targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
    if total == 0 {
        return targets.first().map(|(service, _)| service);
    }
    let mut point = score(id.as_bytes(), "split") % total;
    for (service, weight) in targets {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service);
        }
        point -= weight;
    }
    None
}
