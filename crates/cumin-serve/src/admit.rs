//! Admission of requests: stop phase, route, key, suspected crashes and quota.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use actix_http::StatusCode;
use cumin_entry::document::Table;
use cumin_entry::platform::CallerRequest;
use cumin_entry::quota::Verdict;
use cumin_entry::selection::{PartList, shared_parts};
use cumin_entry::suspects::{Admission, Fingerprint, Quarantined, Suspicion};
use cumin_types::{Millis, Service, score};

use crate::caller::Inbound;
use crate::crash;
use crate::metrics::ReasonLabel;
use crate::node::Node;
use crate::reply::{Reply, ReplyEnd};
use crate::request::ActiveRequest;

/// Time before the bound on removed keys at which keys are refused if the document was not
/// confirmed since. It covers the admission of a request and the sending and start of its attempt.
pub(crate) const REVOKE_MARGIN: Millis = Millis(400);

/// Minimum time that a refused caller is told to wait.
pub(crate) const MIN_RETRY_AFTER: Millis = Millis(100);

/// Default time that a refused caller is told to wait.
pub(crate) const DEFAULT_RETRY_AFTER: Millis = Millis(500);

/// Refusal of a request that did not run.
pub(crate) struct Refusal {
    status: StatusCode,
    retry_after: Option<Millis>,
    reason: &'static str,
    detail: String,
}

impl Refusal {
    pub(crate) fn new(
        status: StatusCode,
        retry_after: Option<Millis>,
        reason: &'static str,
        detail: String,
    ) -> Self {
        Self {
            status,
            retry_after,
            reason,
            detail,
        }
    }

    /// Creates a refusal that the caller may retry.
    pub(crate) fn unavailable(retry_after: Millis, reason: &'static str, detail: String) -> Self {
        Self::new(
            StatusCode::SERVICE_UNAVAILABLE,
            Some(retry_after),
            reason,
            detail,
        )
    }
}

/// Answers a request that did not run with the reason of its refusal.
pub(crate) async fn refuse(
    node: &Node,
    id: &str,
    refusal: Refusal,
    reply: &mut Reply<'_, '_>,
) -> io::Result<ReplyEnd> {
    let Refusal {
        status,
        retry_after,
        reason,
        detail,
    } = refusal;
    log::info!(
        "event=refused id={id} exchange={} status={} reason={reason} again_ms={} {detail}",
        reply.exchange,
        status.as_u16(),
        retry_after.unwrap_or_default()
    );
    node.metrics
        .refusals
        .get_or_create(&ReasonLabel { reason })
        .inc();
    reply.refuse(status, retry_after, reason).await
}

/// Decides whether a request may run.
///
/// The quota is checked last because the check takes units.
pub(crate) fn admit<'a>(
    node: &'a Rc<Node>,
    inbound: &'a Inbound,
    request: CallerRequest,
    table: &'a Table,
) -> Result<ActiveRequest<'a>, Refusal> {
    let now = node.now();
    let bounds = node.bounds.get();
    let age_ms = node
        .documents
        .freshness
        .get()
        .age_ms(now)
        .unwrap_or(u64::MAX);
    let document_state = || format!("revision={} age_ms={age_ms}", table.document().revision);
    // A stale document does not show that a route or key does not exist.
    let fresh = age_ms < bounds.apply_limit.0;
    let missing = |status, reason| {
        if fresh {
            Refusal::new(status, None, reason, document_state())
        } else {
            Refusal::unavailable(DEFAULT_RETRY_AFTER, "stale_document", document_state())
        }
    };
    if !crate::stop::accepts(node) {
        return Err(Refusal::unavailable(
            MIN_RETRY_AFTER,
            "stopping",
            document_state(),
        ));
    }
    let path = inbound.head.uri.path();
    let route = table
        .route(&request.host, path)
        .ok_or_else(|| missing(StatusCode::NOT_FOUND, "no_route"))?;
    let mut org = None;
    if !route.open && !table.document().orgs.is_empty() {
        let found = request.key.as_deref().and_then(|key| table.org(key));
        let found = found.ok_or_else(|| missing(StatusCode::UNAUTHORIZED, "no_key"))?;
        if bounds.strict_revoke && age_ms + REVOKE_MARGIN.0 >= bounds.revoke_limit.0 {
            return Err(Refusal::unavailable(
                DEFAULT_RETRY_AFTER,
                "stale_keys",
                document_state(),
            ));
        }
        org = Some(found);
    }
    let name = org.map_or("", |org| org.name.as_str());
    let fingerprint = Fingerprint::new(name, path, &inbound.body.borrow().bytes);
    let suspicion = Suspicion::new(fingerprint, &request.parts);
    let trial = check_suspects(node, &request, &suspicion)?;
    let limit = route.timeout.into_iter().chain(request.timeout).min();
    let deadline = inbound.received_at.plus(limit.unwrap_or(DEFAULT_TIMEOUT).0);
    let id = request.id.clone().unwrap_or_default();
    let service = choose_service(&route.targets, &id);
    let service = service
        .ok_or_else(|| Refusal::unavailable(DEFAULT_RETRY_AFTER, "no_service", document_state()))?;
    if let Some(org) = org
        && let Verdict::Over {
            retry_after,
            heard_share,
            units,
            level,
            rate,
        } = node.quotas.borrow_mut().take(org, request.tokens, now)
    {
        let detail = format!(
            "org={} part={heard_share:.2} units={units:.0} level={level:.0} rate={rate:.0}",
            org.name
        );
        if trial {
            node.suspects.borrow_mut().trial_unsent(&suspicion);
        }
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Err(Refusal::new(
            status,
            Some(retry_after.max(MIN_RETRY_AFTER)),
            "quota",
            detail,
        ));
    }
    node.with_budget(service, |budget| budget.count_first(now));
    Ok(ActiveRequest {
        node,
        inbound,
        request,
        route,
        org,
        service,
        spec: table.service(service),
        deadline,
        suspicion,
        trial,
        attempts_sent: 0,
        slot: None,
        tried: Vec::new(),
        estimate_ms: 0.0,
        first_ms: Cell::new(None),
        watched: None,
        status: Cell::new(None),
    })
}

/// Refuses a request that is suspected of crashing endpoints, unless it runs as a trial; returns
/// whether it does.
fn check_suspects(
    node: &Node,
    request: &CallerRequest,
    suspicion: &Suspicion,
) -> Result<bool, Refusal> {
    let mut suspects = node.suspects.borrow_mut();
    let is_chosen = |suspect| crash::makes_trials(node, suspect);
    match suspects.admit(suspicion, node.now(), is_chosen) {
        Admission::Free => Ok(false),
        Admission::Trial => {
            log::info!(
                "event=quarantine_trial id={} request={:?} parts={}",
                request.id.as_deref().unwrap_or_default(),
                suspicion.fingerprint,
                PartList(shared_parts(&request.parts))
            );
            Ok(true)
        }
        Admission::Refused(item) => Err(Refusal::unavailable(
            DEFAULT_TIMEOUT,
            CRASHES_ENDPOINTS,
            quarantine_detail(&item),
        )),
    }
}

/// Reason of the refusal of a request that is suspected of crashing endpoints.
pub(crate) const CRASHES_ENDPOINTS: &str = "crashes_endpoints";

/// Returns the fields that name a quarantined suspect in a log line.
pub(crate) fn quarantine_detail(item: &Quarantined) -> String {
    format!("suspect={} crashes={}", item.suspect, item.crashes)
}

/// Time limit of a request for which neither the route nor the caller sets one.
pub(crate) const DEFAULT_TIMEOUT: Millis = Millis(60_000);

/// Chooses a service by weight; the same request identifier always maps to the same service.
fn choose_service<'a>(targets: &'a [(Service, u32)], id: &str) -> Option<&'a Service> {
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
