//! Admission control of one node: quota checks, per-service queues and load shedding.

mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use cumin_types::{Millis, NodeName, Organisation, RequestId, Service, TokenCount, WallMillis};

use crate::fair::{Position, Queued, StarvationGuard};
use crate::organisation::OrganisationState;
use crate::queue::ServiceQueue;
use crate::{
    AdmissionRequest, Capacity, Decision, DemandReport, DropReason, Dropped, Grant, QueuePosition,
    Quota, Refusal, RefusalReason, ShareOptions, Shares, Ticket,
};

/// Settings of [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Name of this node.
    pub node: NodeName,
    /// When this process started. Demand reports are numbered from it, so that the reports of a
    /// restarted node supersede those of its previous incarnation.
    pub started: WallMillis,
    /// Depth of the request bucket, as time at the granted rate.
    pub request_burst: Millis,
    /// Depth of the token bucket, as time at the granted rate.
    pub token_burst: Millis,
    /// Longest expected time that a request waits for a quota in place of a refusal; zero for none.
    /// A request that is still waiting after twice this time is dropped.
    pub quota_wait: Millis,
    /// Maximum number of requests of an organisation that wait for a quota.
    pub wait_limit: usize,
    /// Maximum number of queued requests per service.
    pub queue_limit: usize,
    /// How far an organisation that used less than its fair share may be scheduled ahead of the
    /// others, as time at the service's token rate.
    pub fairness_credit: Millis,
    /// Queueing time after which a request of a lower priority counts as starved.
    pub starvation_threshold: Millis,
    /// While a request is starved, one of every `starvation_interval + 1` requests served is a
    /// starved one.
    pub starvation_interval: u32,
    /// Time constant of the exponential smoothing of reported demand.
    pub smoothing_time: Millis,
    /// Settings for dividing the limits between nodes.
    pub shares: ShareOptions,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            node: NodeName::from("node"),
            started: WallMillis(0),
            request_burst: Millis(2000),
            token_burst: Millis(10_000),
            quota_wait: Millis(0),
            wait_limit: 256,
            queue_limit: 1024,
            fairness_credit: Millis(100),
            starvation_threshold: Millis(5000),
            starvation_interval: 8,
            smoothing_time: Millis(2000),
            shares: ShareOptions::default(),
        }
    }
}

/// The admission controller of one node.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    shares: Shares,
    orgs: BTreeMap<Organisation, OrganisationState>,
    queues: BTreeMap<Service, ServiceQueue>,
    queued: HashMap<RequestId, (Service, Position, Millis)>,
    running: HashSet<RequestId>,
    /// Requests that wait for a quota, and their organisations.
    waiting: HashMap<RequestId, Organisation>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    dropped: Vec<Dropped>,
    /// The service whose request was started last.
    last_served: Option<Service>,
    reported_at: Millis,
}

impl Admission {
    /// Creates a controller without any organisation.
    ///
    /// It applies the whole limits, as the only node would, until [`Self::rebalance`] is called;
    /// a node calls that before it becomes ready.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let shares = Shares::new(
            options.shares.clone(),
            options.node.clone(),
            options.started.0,
        );
        Self {
            options,
            shares,
            orgs: BTreeMap::new(),
            queues: BTreeMap::new(),
            queued: HashMap::new(),
            running: HashSet::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            dropped: Vec::new(),
            last_served: None,
            reported_at: Millis(0),
        }
    }

    /// Applies the quotas of a new document.
    ///
    /// Queued and running requests are kept. New requests of organisations that the document no
    /// longer names are refused.
    pub fn configure(&mut self, quotas: &BTreeMap<Organisation, Quota>, now: Millis) {
        for (name, org) in &mut self.orgs {
            org.quota = quotas.get(name).cloned();
        }
        for (name, quota) in quotas {
            self.orgs
                .entry(name.clone())
                .or_insert_with(|| OrganisationState::new(quota.clone(), now));
        }
        self.orgs
            .retain(|_, org| org.quota.is_some() || org.is_in_use());
        self.apply_grants(now);
    }

    /// Sets the capacity of a service that this node may use, and sheds queued requests that can
    /// no longer complete in time.
    pub fn set_capacity(&mut self, service: &Service, capacity: Capacity, now: Millis) {
        self.service_queue(service).set_capacity(capacity);
        self.shed_late(service, Position::FIRST, 0, now);
    }

    /// Decides whether a request runs, waits or is refused.
    ///
    /// Call [`Self::expire`] afterwards to collect the requests that were shed in its favour.
    pub fn admit(&mut self, request: &AdmissionRequest, now: Millis) -> Decision {
        let left = Millis(request.deadline.since(now));
        let duration = request.estimated_duration;
        let is_known = self.queued.contains_key(&request.id)
            || self.running.contains(&request.id)
            || self.waiting.contains_key(&request.id);
        if is_known {
            return refuse(request, RefusalReason::Duplicate, duration, left, duration);
        }
        let Some(org) = self.orgs.get_mut(&request.org) else {
            return refuse(
                request,
                RefusalReason::UnknownOrganisation,
                Millis(0),
                left,
                duration,
            );
        };
        if org.quota.is_none() {
            return refuse(
                request,
                RefusalReason::UnknownOrganisation,
                Millis(0),
                left,
                duration,
            );
        }
        org.record_demand(request);
        if duration > left || left == Millis(0) {
            return refuse(request, RefusalReason::Deadline, Millis(0), left, duration);
        }
        if let Some((limit, wait)) = org.exceeded_at_end(request, now) {
            return self
                .wait_for_quota(request, limit, wait, now)
                .unwrap_or_else(|| {
                    refuse(request, RefusalReason::Quota(limit), wait, left, duration)
                });
        }
        self.enqueue(request, now)
    }

    /// Runs, queues or refuses a request that is within the quotas.
    fn enqueue(&mut self, request: &AdmissionRequest, now: Millis) -> Decision {
        let left = Millis(request.deadline.since(now));
        let duration = request.estimated_duration;
        let Some(org) = self.orgs.get_mut(&request.org) else {
            return refuse(
                request,
                RefusalReason::UnknownOrganisation,
                Millis(0),
                left,
                duration,
            );
        };
        let weight = org.quota.as_ref().map_or(1, |quota| quota.weight);
        let Options {
            queue_limit,
            fairness_credit,
            ..
        } = self.options;
        let queue = self
            .queues
            .entry(request.service.clone())
            .or_insert_with(|| ServiceQueue::new(request.service.clone(), fairness_credit));
        if queue.has_slot() && queue.queue.is_empty() {
            queue.queue.reset_fairness();
            queue.running += 1;
            self.running.insert(request.id);
            org.charge(request, now);
            return Decision::Run(ticket(request, Millis(0)));
        }
        let ahead = queue
            .queue
            .work_ahead(&request.org, request.priority as usize);
        let wait = queue.queue.service_time(ahead.work);
        let completion = wait.plus(duration.0);
        if completion > left {
            return refuse(
                request,
                RefusalReason::Deadline,
                Millis(completion.since(left)),
                left,
                completion,
            );
        }
        if queue.queue.len() >= queue_limit {
            let Some(last) = queue.queue.last_after(ahead.position) else {
                return refuse(
                    request,
                    RefusalReason::QueueFull,
                    wait.max(Millis(1)),
                    left,
                    completion,
                );
            };
            self.drop_queued(&request.service, last, DropReason::Displaced, now);
        }
        if let Some(org) = self.orgs.get_mut(&request.org) {
            org.charge(request, now);
        }
        let position =
            self.service_queue(&request.service)
                .queue
                .push(request.clone(), weight, now);
        self.queued.insert(
            request.id,
            (request.service.clone(), position, request.deadline),
        );
        self.deadlines.insert((request.deadline, request.id));
        self.shed_late(&request.service, position, ahead.work, now);
        Decision::Queue(QueuePosition {
            id: request.id,
            org: request.org.clone(),
            priority: request.priority,
            requests_ahead: ahead.requests,
            tokens_ahead: TokenCount(ahead.work),
            estimated_wait: wait,
        })
    }

    /// Returns the ticket of the next queued request that may run, if a service has a free slot.
    ///
    /// Services are served round-robin. Call it until it returns `None` after every
    /// [`Self::admit`], [`Self::finish`], [`Self::cancel`], [`Self::expire`] and
    /// [`Self::set_capacity`].
    pub fn next_ticket(&mut self, now: Millis) -> Option<Ticket> {
        if let Some(ticket) = self.next_waiting(now) {
            return Some(ticket);
        }
        let guard = StarvationGuard {
            threshold: self.options.starvation_threshold,
            interval: self.options.starvation_interval,
            ranks: 0,
        };
        let last_served = self.last_served.take();
        let mut order: Vec<Service> = self
            .queues
            .values()
            .filter(|queue| queue.has_slot() && !queue.queue.is_empty())
            .map(|queue| queue.service.clone())
            .collect();
        let split = order.partition_point(|name| Some(name) <= last_served.as_ref());
        order.rotate_left(split);
        for service in order {
            while let Some(queued) = self.service_queue(&service).queue.pop(guard, now) {
                let request = &queued.request;
                self.queued.remove(&request.id);
                self.deadlines.remove(&(request.deadline, request.id));
                if now.plus(request.estimated_duration.0) > request.deadline {
                    let reason = if now >= request.deadline {
                        DropReason::Expired
                    } else {
                        DropReason::Late
                    };
                    self.record_drop(queued, reason, now);
                    continue;
                }
                self.service_queue(&service).running += 1;
                self.running.insert(request.id);
                self.last_served = Some(service);
                let waited = Millis(now.since(queued.queued_at));
                return Some(ticket(&queued.request, waited));
            }
        }
        self.last_served = last_served;
        None
    }

    /// Ends a running request that used `used` tokens, and corrects the token quota by the
    /// difference from what was charged.
    pub fn finish(&mut self, ticket: Ticket, used: TokenCount, now: Millis) {
        let Ticket {
            id,
            org,
            service,
            charged_tokens,
            ..
        } = ticket;
        if !self.running.remove(&id) {
            return;
        }
        let queue = self.service_queue(&service);
        queue.running = queue.running.saturating_sub(1);
        if let Some(state) = self.orgs.get_mut(&org) {
            state.settle(charged_tokens, used, now);
        }
        self.remove_unnamed(&org);
    }

    /// Removes a queued request that its caller abandoned. Returns false if it is not queued.
    pub fn cancel(&mut self, id: RequestId, now: Millis) -> bool {
        let Some((service, position, deadline)) = self.queued.remove(&id) else {
            return self.cancel_waiting(id);
        };
        self.deadlines.remove(&(deadline, id));
        let Some(queued) = self.service_queue(&service).queue.remove(position) else {
            return false;
        };
        let AdmissionRequest {
            org,
            estimated_tokens,
            ..
        } = queued.request;
        if let Some(state) = self.orgs.get_mut(&org) {
            state.settle(estimated_tokens, TokenCount(0), now);
        }
        self.remove_unnamed(&org);
        true
    }

    /// Drops the queued requests whose deadline has passed, and returns all requests that were
    /// dropped or shed since the last call. None of them was run.
    pub fn expire(&mut self, now: Millis) -> Vec<Dropped> {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let (service, position, _) = self.queued[&id].clone();
            self.drop_queued(&service, position, DropReason::Expired, now);
        }
        self.expire_waiting(now);
        std::mem::take(&mut self.dropped)
    }

    /// Returns the earliest deadline of the queued and waiting requests.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        let waiting = self.orgs.values().flat_map(|org| &org.waiting);
        let waiting = waiting.map(|waiting| waiting.request.deadline);
        let queued = self.deadlines.first().map(|(deadline, _)| *deadline);
        queued.into_iter().chain(waiting).min()
    }

    /// Returns a new demand report of this node for the other nodes.
    pub fn demand_report(&mut self, now: Millis) -> DemandReport {
        #[expect(clippy::cast_precision_loss, reason = "2^53 ms is longer than any run")]
        let elapsed_ms = now.since(self.reported_at).max(1) as f64;
        self.reported_at = now;
        #[expect(clippy::cast_precision_loss, reason = "a time constant")]
        let decay = (-elapsed_ms / self.options.smoothing_time.0.max(1) as f64).exp();
        for org in self.orgs.values_mut() {
            org.update_demand(elapsed_ms, decay);
        }
        let demands = self
            .orgs
            .iter()
            .filter_map(|(name, org)| Some((name, org.quota.as_ref()?, org.smoothed_demand)));
        self.shares.next_report(demands)
    }

    /// Recomputes this node's shares from the latest known reports and the set of live nodes, and
    /// returns them.
    pub fn rebalance(
        &mut self,
        reports: &[(NodeName, DemandReport)],
        live: &[NodeName],
        now: Millis,
    ) -> BTreeMap<Organisation, Grant> {
        self.shares.rebalance(reports, live, now);
        self.apply_grants(now);
        self.orgs
            .iter()
            .map(|(name, org)| (name.clone(), org.grant))
            .collect()
    }

    /// Returns true while each node in `live` has confirmed the demand of this node, so that its
    /// shares follow demand.
    #[must_use]
    pub fn is_settled(&self, live: &[NodeName]) -> bool {
        self.shares.is_settled(live)
    }

    /// Returns the numbers of running and of queued requests of a service.
    #[must_use]
    pub fn load(&self, service: &Service) -> (usize, usize) {
        self.queues
            .get(service)
            .map_or((0, 0), |queue| (queue.running, queue.queue.len()))
    }

    /// Returns the number of queued and running requests of an organisation.
    #[must_use]
    pub fn active_requests(&self, org: &Organisation) -> u32 {
        self.orgs.get(org).map_or(0, |org| org.active_requests)
    }

    fn service_queue(&mut self, service: &Service) -> &mut ServiceQueue {
        let fairness_credit = self.options.fairness_credit;
        self.queues
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue::new(service.clone(), fairness_credit))
    }

    fn apply_grants(&mut self, now: Millis) {
        for (name, org) in &mut self.orgs {
            let Some(quota) = &org.quota else { continue };
            let grant = self.shares.grant(name, quota);
            org.set_grant(
                grant,
                self.options.request_burst,
                self.options.token_burst,
                now,
            );
        }
    }

    /// Drops the queued requests from `from` on that cannot complete before their deadline, given
    /// `tokens` of work ahead of them.
    fn shed_late(&mut self, service: &Service, from: Position, tokens: u64, now: Millis) {
        let late = self
            .service_queue(service)
            .queue
            .late_requests(from, tokens, now);
        for position in late {
            self.drop_queued(service, position, DropReason::Late, now);
        }
    }

    fn drop_queued(
        &mut self,
        service: &Service,
        position: Position,
        reason: DropReason,
        now: Millis,
    ) {
        if let Some(queued) = self.service_queue(service).queue.remove(position) {
            self.queued.remove(&queued.request.id);
            self.deadlines
                .remove(&(queued.request.deadline, queued.request.id));
            self.record_drop(queued, reason, now);
        }
    }

    /// Records a request as dropped and returns its charge to the token quota.
    fn record_drop(&mut self, queued: Queued<AdmissionRequest>, reason: DropReason, now: Millis) {
        let Queued {
            request, queued_at, ..
        } = queued;
        if let Some(state) = self.orgs.get_mut(&request.org) {
            state.settle(request.estimated_tokens, TokenCount(0), now);
        }
        self.remove_unnamed(&request.org);
        let ahead = self
            .service_queue(&request.service)
            .queue
            .work_ahead(&request.org, request.priority as usize);
        let retry_after = self
            .service_queue(&request.service)
            .queue
            .service_time(ahead.work);
        self.dropped.push(Dropped {
            id: request.id,
            org: request.org,
            service: request.service,
            priority: request.priority,
            reason,
            waited: Millis(now.since(queued_at)),
            retry_after,
        });
    }

    /// Removes the state of an organisation that the document no longer names, once none of its
    /// requests is queued or running.
    fn remove_unnamed(&mut self, org: &Organisation) {
        if self
            .orgs
            .get(org)
            .is_some_and(|org| org.quota.is_none() && !org.is_in_use())
        {
            self.orgs.remove(org);
        }
    }
}

fn ticket(request: &AdmissionRequest, waited: Millis) -> Ticket {
    Ticket {
        id: request.id,
        org: request.org.clone(),
        service: request.service.clone(),
        priority: request.priority,
        charged_tokens: request.estimated_tokens,
        waited,
    }
}

fn refuse(
    request: &AdmissionRequest,
    reason: RefusalReason,
    retry_after: Millis,
    time_left: Millis,
    estimated_completion: Millis,
) -> Decision {
    Decision::Refuse(Refusal {
        id: request.id,
        org: request.org.clone(),
        reason,
        retry_after,
        estimated_completion,
        time_left,
    })
}
