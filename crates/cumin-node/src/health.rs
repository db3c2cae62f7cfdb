//! Retries, outlier ejection, and the quarantine of requests that crash endpoints.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::SendRequestError;
use cumin_member::Item;
use cumin_request::AttemptFailure;
use cumin_retry::{
    AttemptEnd, Availability, Candidate, EjectionOptions, Ejector, FailedAttempt, Fault,
    HealthChange, Quarantine, QuarantineOptions, QuarantineRecord, RetryDecision, RetryOptions,
    RetryPolicy, Selection, Verdict,
};
use cumin_types::{EndpointName, Fingerprint, Millis, NodeName, Service, WallMillis};

use crate::fleet::SelectedEndpoint;
use crate::http;
use crate::node::Ctx;
use crate::peer::PeerClient;
use crate::request::ActiveRequest;

/// Timeout of one liveness probe of an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of probes before an endpoint counts as dead.
const MAX_PROBES: u32 = 3;
/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Period of publishing suspects and quarantined requests to the other nodes.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);

/// Retry and ejection state of one service.
struct ServiceHealth {
    retries: RetryPolicy,
    ejector: Ejector,
}

/// Health of endpoints and requests as this node knows it.
pub(crate) struct Health {
    services: RefCell<BTreeMap<Service, ServiceHealth>>,
    quarantine: RefCell<Quarantine>,
    dead: RefCell<BTreeSet<EndpointName>>,
    last_version: Cell<u64>,
}

impl Health {
    pub(crate) fn new(node: NodeName, started: WallMillis) -> Self {
        let options = QuarantineOptions {
            node,
            started,
            ..QuarantineOptions::default()
        };
        Self {
            services: RefCell::default(),
            quarantine: RefCell::new(Quarantine::new(options)),
            dead: RefCell::default(),
            last_version: Cell::new(started.0),
        }
    }

    fn with_service<T>(&self, service: &Service, act: impl FnOnce(&mut ServiceHealth) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let state = services
            .entry(service.clone())
            .or_insert_with(|| ServiceHealth {
                retries: RetryPolicy::new(RetryOptions {
                    service: service.clone(),
                    ..RetryOptions::default()
                }),
                ejector: Ejector::new(EjectionOptions {
                    service: service.clone(),
                    ..EjectionOptions::default()
                }),
            });
        act(state)
    }

    /// Sets the endpoints of a service.
    pub(crate) fn set_endpoints(&self, service: &Service, names: &[EndpointName]) {
        self.with_service(service, |state| state.ejector.set_endpoints(names));
    }

    /// Keeps only the dead endpoints that the platform still lists.
    pub(crate) fn retain_listed(&self, listed: &BTreeSet<EndpointName>) {
        self.dead.borrow_mut().retain(|name| listed.contains(name));
    }

    /// Returns whether and how a request may run.
    pub(crate) fn check(&self, fingerprint: &Fingerprint, now: Millis) -> Verdict {
        self.quarantine.borrow_mut().check(fingerprint, now)
    }

    /// Returns the endpoints that get no ordinary requests: ejected, dead or reserved for suspects.
    pub(crate) fn avoided(&self, service: &Service, now: Millis) -> Vec<EndpointName> {
        let mut avoided = self.quarantine.borrow().reserved_endpoints(now);
        avoided.extend(self.dead.borrow().iter().cloned());
        self.with_service(service, |state| {
            let ejected = state.ejector.ejected();
            avoided.extend(ejected.into_iter().filter(|name| {
                matches!(
                    state.ejector.availability(name, now),
                    Availability::Unavailable { .. }
                )
            }));
        });
        avoided
    }

    /// Chooses the endpoint that runs a suspect.
    pub(crate) fn select_for_suspect(
        &self,
        fingerprint: &Fingerprint,
        candidates: &[Candidate],
        time_left: Millis,
        estimated_duration: Millis,
        now: Millis,
    ) -> Selection {
        self.quarantine.borrow_mut().select_endpoint(
            fingerprint,
            candidates,
            time_left,
            estimated_duration,
            now,
        )
    }

    /// Records that an attempt is about to be sent.
    pub(crate) fn attempt_started(
        &self,
        service: &Service,
        active: &ActiveRequest,
        endpoint: &EndpointName,
        now: Millis,
    ) {
        let first = active.run.borrow().tried().len() == 1;
        self.with_service(service, |state| {
            if first {
                state.retries.record_first(now);
            }
            state.ejector.probe_started(endpoint, now);
        });
        self.quarantine
            .borrow_mut()
            .attempt_started(&active.fingerprint, endpoint);
    }

    /// Records the end of an attempt. `complete` is true when it returned the whole answer.
    ///
    /// After a lost or failed connection, probes first whether the endpoint died: then every
    /// request in flight there becomes a suspect.
    pub(crate) async fn attempt_ended(
        &self,
        ctx: &Rc<Ctx>,
        service: &Service,
        active: &ActiveRequest,
        selected: &SelectedEndpoint,
        complete: bool,
        failure: Option<&AttemptFailure>,
    ) {
        let disconnected = matches!(
            failure,
            Some(AttemptFailure::ConnectionLost | AttemptFailure::NotConnected)
        );
        if failure == Some(&AttemptFailure::NotConnected) {
            // The request did not reach the endpoint, so it can't have caused the crash. When such
            // requests counted as suspects, an innocent one that another node had sent to a dead
            // endpoint was quarantined.
            let now = ctx.clock.now();
            let mut quarantine = self.quarantine.borrow_mut();
            quarantine.attempt_ended(
                &active.fingerprint,
                &selected.name,
                AttemptEnd::Stopped,
                now,
            );
        }
        if disconnected
            && !ctx.fleet.is_leaving(ctx, &selected.name)
            && self.has_died(ctx, selected).await
        {
            let crash = self
                .quarantine
                .borrow_mut()
                .endpoint_crashed(&selected.name, ctx.clock.now());
            if self.dead.borrow_mut().insert(selected.name.clone()) {
                ctx.decisions.record("crash", &selected.name, &crash);
                ctx.fleet.remove(&selected.name);
            }
        }
        let now = ctx.clock.now();
        let end = if complete {
            AttemptEnd::Done
        } else {
            AttemptEnd::Stopped
        };
        self.quarantine
            .borrow_mut()
            .attempt_ended(&active.fingerprint, &selected.name, end, now);
        let ok = match failure {
            None if !complete => None,
            None | Some(AttemptFailure::Rejected { .. }) => Some(true),
            // Says nothing about the health of the endpoint.
            Some(AttemptFailure::Moved | AttemptFailure::NotStarted) => None,
            // Gets no requests for the time that it stated, and is not ejected for it.
            Some(AttemptFailure::ErrorStatus { status: 503 })
                if ctx.statements.is_waiting(&selected.name, now) =>
            {
                None
            }
            Some(_) => Some(false),
        };
        if let Some(ok) = ok {
            let change = self.with_service(service, |state| {
                state.ejector.record_result(&selected.name, ok, now)
            });
            if change != HealthChange::Unchanged {
                ctx.decisions.record("eject", &selected.name, &change);
            }
        }
    }

    /// Returns true when the endpoint is known to have died or no longer accepts connections.
    async fn has_died(&self, ctx: &Rc<Ctx>, selected: &SelectedEndpoint) -> bool {
        self.is_dead(&selected.name) || !is_reachable(ctx, selected.address).await
    }

    /// Records that an endpoint has stopped; it is used again once it is listed and reachable.
    pub(crate) fn mark_dead(&self, name: &EndpointName) {
        self.dead.borrow_mut().insert(name.clone());
    }

    /// Records that an endpoint is reachable again.
    pub(crate) fn mark_alive(&self, name: &EndpointName) {
        self.dead.borrow_mut().remove(name);
    }

    /// Returns true when the endpoint is known to have died.
    pub(crate) fn is_dead(&self, name: &EndpointName) -> bool {
        self.dead.borrow().contains(name)
    }

    /// Decides whether a request is retried after a failed attempt.
    pub(crate) fn retry(
        &self,
        ctx: &Ctx,
        active: &ActiveRequest,
        selected: &SelectedEndpoint,
        cause: &AttemptFailure,
    ) -> RetryDecision {
        let (service, failure) = {
            let run = active.run.borrow();
            let descriptor = run.descriptor();
            let failure = FailedAttempt {
                request: active.id,
                idempotent: !run.at_most_once(),
                fault: self.fault(selected, cause),
                endpoint: selected.name.clone(),
                attempts: u32::try_from(run.tried().len()).unwrap_or(u32::MAX),
                tried: run.tried().to_vec(),
                candidates: ctx.fleet.candidates(ctx, &descriptor.service),
                deadline: active.deadline,
                estimated_duration: Millis(0),
            };
            (descriptor.service.clone(), failure)
        };
        let now = ctx.clock.now();
        let decision = self.with_service(&service, |state| {
            state.retries.decide(&failure, now, &mut rand::rng())
        });
        ctx.decisions.record("retry", &active.id, &decision);
        decision
    }

    fn fault(&self, selected: &SelectedEndpoint, cause: &AttemptFailure) -> Fault {
        match cause {
            AttemptFailure::NotConnected => Fault::Refused,
            AttemptFailure::NotStarted => Fault::NotStarted,
            AttemptFailure::ErrorStatus { status } | AttemptFailure::Rejected { status } => {
                Fault::Status(*status)
            }
            AttemptFailure::Stalled => Fault::Stalled,
            AttemptFailure::Moved => Fault::Moved,
            // A dead endpoint carries no load, so continuing at another one adds none: it counts
            // as a move, not as a retry. When these counted as retries, the requests in flight at
            // one crash exhausted the retry budget and innocent ones failed.
            AttemptFailure::ConnectionLost | AttemptFailure::Gap
                if self.is_dead(&selected.name) =>
            {
                Fault::Moved
            }
            AttemptFailure::ConnectionLost | AttemptFailure::Gap => Fault::Broken,
        }
    }

    /// Publishes suspects and quarantined requests to the other nodes; never returns.
    ///
    /// New records are also sent to every live node by a separate call. A crash creates many
    /// records at once, and next to the demand reports the membership took more than 5 s to spread
    /// them; meanwhile a node without the record ran a quarantined request. Records of a call that
    /// is lost still arrive through the membership.
    pub(crate) async fn drive(ctx: Rc<Ctx>) {
        loop {
            let now = ctx.clock.now();
            let records = ctx.health.quarantine.borrow_mut().gossip(now);
            let changed: Vec<_> = records
                .into_iter()
                .filter(|record| ctx.health.publish(&ctx, record, now))
                .collect();
            if !changed.is_empty() {
                send_records(&ctx, &changed);
            }
            actix_rt::time::sleep(GOSSIP_PERIOD).await;
        }
    }

    /// Publishes a record as a membership item; returns false when the item has this state already.
    fn publish(&self, ctx: &Ctx, record: &QuarantineRecord, now: Millis) -> bool {
        let key = format!(
            "quarantine/{}/{}/{}",
            record.author,
            record.number,
            record.fingerprint.0.short()
        );
        let value = serde_json::to_value(record).unwrap_or_default();
        let known = ctx.members.item(&key);
        if known
            .as_ref()
            .is_some_and(|item| item.value.get("state") == value.get("state"))
        {
            return false;
        }
        // Higher than the known version, which may come from another node.
        let known_version = known.map_or(0, |item| item.version);
        let version = known_version.max(self.last_version.get()) + 1;
        self.last_version.set(version);
        ctx.members.publish(
            Item {
                key,
                version,
                value,
                ttl: record.left.0.max(1000),
            },
            now,
        );
        true
    }

    /// Merges the records that another node sent.
    pub(crate) fn merge_records(&self, records: &[QuarantineRecord], now: Millis) {
        self.quarantine.borrow_mut().merge(records, now);
    }

    /// Merges the record in a membership item.
    pub(crate) fn merge_item(&self, item: &Item, now: Millis) {
        match serde_json::from_value::<QuarantineRecord>(item.value.clone()) {
            Ok(record) => self.quarantine.borrow_mut().merge(&[record], now),
            Err(error) => log::warn!("event=item_malformed key={} error={error:?}", item.key),
        }
    }
}

/// Returns false when nothing accepts connections at an address; a slow endpoint is reachable.
pub(crate) async fn is_reachable(ctx: &Ctx, address: SocketAddr) -> bool {
    for _ in 0..MAX_PROBES {
        let call = ctx.unpooled.get(format!("http://{address}/health"));
        match call.timeout(PROBE_TIMEOUT).send().await {
            Ok(_) | Err(SendRequestError::Timeout) => return true,
            Err(error) if http::is_unsent(&error) => return false,
            // The listener of a dying process may still accept a connection and drop it.
            Err(_) => actix_rt::time::sleep(PROBE_PAUSE).await,
        }
    }
    false
}

/// Sends records to every live node.
fn send_records(ctx: &Rc<Ctx>, records: &[QuarantineRecord]) {
    let me = ctx.settings.name.clone();
    for member in ctx
        .members
        .entries()
        .into_iter()
        .filter(|member| member.name != me)
    {
        let Ok(client) = ctx.peer_clients.get(member.rpc) else {
            continue;
        };
        let records = records.to_vec();
        ctx.tasks.spawn(async move {
            if let Err(error) = client.share_quarantine(records).await {
                log::debug!(
                    "event=suspects_not_told node={} error={error:?}",
                    member.name
                );
            }
        });
    }
}
