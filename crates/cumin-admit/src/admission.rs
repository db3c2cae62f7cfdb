//! The admission state of one node.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use cumin_types::{
    Millis, NodeName, Organisation, Priority, RequestId, Service, TokenCount, WallMillis,
};

use crate::org::Org;
use crate::queue::{Entry, FIRST, Guard, Key, Lane};
use crate::{
    Ask, Capacity, Decision, Demand, DropReason, Dropped, Grant, Quota, Reason, Refusal,
    ShareOptions, Shares, Ticket, Wait,
};

/// Settings of [`Admission`].
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// This node.
    pub node: NodeName,
    /// When this process started; reports are numbered from it, so that a restarted node's
    /// reports supersede those of its previous life.
    pub started: WallMillis,
    /// Requests in a burst, as time at the granted rate.
    pub burst: Millis,
    /// Tokens in a burst, as time at the granted rate.
    pub token_burst: Millis,
    /// Most requests that wait for one service.
    pub queue: usize,
    /// How far an organisation that used less than its part goes ahead of the others, as
    /// time at the service's rate.
    pub credit: Millis,
    /// A waiting request of a lower priority is starved after this time.
    pub patience: Millis,
    /// While a request is starved, one of every `guard + 1` served is a starved one.
    pub guard: u32,
    /// Time constant of the demand that is reported.
    pub smoothing: Millis,
    /// How limits are divided between nodes.
    pub shares: ShareOptions,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            node: NodeName::from("node"),
            started: WallMillis(0),
            burst: Millis(2000),
            token_burst: Millis(10_000),
            queue: 1024,
            credit: Millis(100),
            patience: Millis(5000),
            guard: 8,
            smoothing: Millis(2000),
            shares: ShareOptions::default(),
        }
    }
}

/// Admission state of one node.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    shares: Shares,
    orgs: BTreeMap<Organisation, Org>,
    lanes: BTreeMap<Service, Lane>,
    queued: HashMap<RequestId, (Service, Priority, Key, Millis)>,
    running: HashSet<RequestId>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    dropped: Vec<Dropped>,
    /// The service served last.
    turn: Option<Service>,
    reported: Millis,
}

impl Admission {
    /// Makes an admission state that knows no organisation. It acts as the only node until
    /// `rebalance` is called, which a node does before it becomes ready.
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
            lanes: BTreeMap::new(),
            queued: HashMap::new(),
            running: HashSet::new(),
            deadlines: BTreeSet::new(),
            dropped: Vec::new(),
            turn: None,
            reported: Millis(0),
        }
    }

    /// Takes the quotas of a new document. Requests in flight or queued stay; organisations
    /// that are no longer named get no new ones.
    pub fn configure(&mut self, quotas: &BTreeMap<Organisation, Quota>, now: Millis) {
        for (name, org) in &mut self.orgs {
            org.quota = quotas.get(name).cloned();
        }
        for (name, quota) in quotas {
            self.orgs
                .entry(name.clone())
                .or_insert_with(|| Org::new(quota.clone(), now));
        }
        self.orgs
            .retain(|_, org| org.quota.is_some() || org.active > 0);
        self.grant(now);
    }

    /// Sets what this node may use of a service.
    pub fn capacity(&mut self, service: &Service, capacity: Capacity, now: Millis) {
        self.lane(service).capacity = capacity;
        self.shed(service, FIRST, 0, now);
    }

    /// Decides on a request. Call `expire` afterwards for requests shed in its favour.
    pub fn ask(&mut self, ask: &Ask, now: Millis) -> Decision {
        let left = Millis(ask.deadline.since(now));
        if self.queued.contains_key(&ask.id) || self.running.contains(&ask.id) {
            return refuse(ask, Reason::Duplicate, ask.estimate, left, ask.estimate);
        }
        let Some(org) = self.orgs.get_mut(&ask.org) else {
            return refuse(ask, Reason::Unknown, Millis(0), left, ask.estimate);
        };
        let Some(quota) = &org.quota else {
            return refuse(ask, Reason::Unknown, Millis(0), left, ask.estimate);
        };
        let weight = quota.weight;
        org.count(ask);
        if ask.estimate > left || left == Millis(0) {
            return refuse(ask, Reason::Deadline, Millis(0), left, ask.estimate);
        }
        if let Some((resource, wait)) = org.short(ask, now) {
            return refuse(ask, Reason::Quota(resource), wait, left, ask.estimate);
        }
        let Options {
            queue: limit,
            credit,
            ..
        } = self.options;
        let lane = self
            .lanes
            .entry(ask.service.clone())
            .or_insert_with(|| Lane::new(ask.service.clone(), credit));
        if lane.free() && lane.queued() == 0 {
            lane.idle();
            lane.running += 1;
            self.running.insert(ask.id);
            org.take(ask, now);
            return Decision::Run(ticket(ask, Millis(0)));
        }
        let ahead = lane.ahead(&ask.org, ask.priority);
        let wait = lane.time(ahead.tokens);
        let end = wait.plus(ask.estimate.0);
        if end > left {
            return refuse(ask, Reason::Deadline, Millis(end.since(left)), left, end);
        }
        if lane.queued() >= limit {
            let Some((priority, key)) = lane.last_after(ask.priority, ahead.key) else {
                return refuse(ask, Reason::Full, wait.max(Millis(1)), left, end);
            };
            self.drop_entry(&ask.service, priority, key, DropReason::Full, now);
        }
        if let Some(org) = self.orgs.get_mut(&ask.org) {
            org.take(ask, now);
        }
        let key = self.lane(&ask.service).push(ask.clone(), weight, now);
        self.queued.insert(
            ask.id,
            (ask.service.clone(), ask.priority, key, ask.deadline),
        );
        self.deadlines.insert((ask.deadline, ask.id));
        self.shed(&ask.service, (ask.priority, key), ahead.tokens, now);
        Decision::Queue(Wait {
            id: ask.id,
            org: ask.org.clone(),
            priority: ask.priority,
            ahead: ahead.entries,
            tokens: TokenCount(ahead.tokens),
            wait,
        })
    }

    /// Returns the next queued request that may run, if a service has a free slot. Services
    /// take turns. Call it until it returns `None` after every `ask`, `finish`, `cancel`,
    /// `expire` and `capacity`.
    pub fn next(&mut self, now: Millis) -> Option<Ticket> {
        let guard = Guard {
            patience: self.options.patience,
            every: self.options.guard,
        };
        let after = self.turn.take();
        let mut order: Vec<Service> = self
            .lanes
            .values()
            .filter(|lane| lane.free() && lane.queued() > 0)
            .map(|lane| lane.service.clone())
            .collect();
        let split = order.partition_point(|name| Some(name) <= after.as_ref());
        order.rotate_left(split);
        for service in order {
            while let Some(entry) = self.lane(&service).pop(guard, now) {
                let Entry { ask, since } = entry;
                self.queued.remove(&ask.id);
                self.deadlines.remove(&(ask.deadline, ask.id));
                if now.plus(ask.estimate.0) > ask.deadline {
                    let late = if now >= ask.deadline {
                        DropReason::Expired
                    } else {
                        DropReason::Late
                    };
                    self.give_back(Entry { ask, since }, late, now);
                    continue;
                }
                self.lane(&service).running += 1;
                self.running.insert(ask.id);
                self.turn = Some(service);
                return Some(ticket(&ask, Millis(now.since(since))));
            }
        }
        self.turn = after;
        None
    }

    /// Ends a running request that used `used` tokens; the quota is corrected by the
    /// difference from the estimate.
    pub fn finish(&mut self, ticket: Ticket, used: TokenCount, now: Millis) {
        let Ticket {
            id,
            org,
            service,
            tokens,
            ..
        } = ticket;
        if !self.running.remove(&id) {
            return;
        }
        let lane = self.lane(&service);
        lane.running = lane.running.saturating_sub(1);
        if let Some(state) = self.orgs.get_mut(&org) {
            state.give(tokens, used, now);
        }
        self.forget(&org);
    }

    /// Removes a queued request that its caller gave up; false when it is not queued.
    pub fn cancel(&mut self, id: RequestId, now: Millis) -> bool {
        let Some((service, priority, key, deadline)) = self.queued.remove(&id) else {
            return false;
        };
        self.deadlines.remove(&(deadline, id));
        let Some(entry) = self.lane(&service).remove(priority, key) else {
            return false;
        };
        let Ask { org, tokens, .. } = entry.ask;
        if let Some(state) = self.orgs.get_mut(&org) {
            state.give(tokens, TokenCount(0), now);
        }
        self.forget(&org);
        true
    }

    /// Returns the queued requests that were dropped since the last call: their deadline
    /// passed or they were shed. None of them was run.
    pub fn expire(&mut self, now: Millis) -> Vec<Dropped> {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            let (service, priority, key, _) = self.queued[&id].clone();
            self.drop_entry(&service, priority, key, DropReason::Expired, now);
        }
        std::mem::take(&mut self.dropped)
    }

    /// Returns when the next queued request expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns this node's report for the other nodes; each call makes a new one.
    pub fn demand(&mut self, now: Millis) -> Demand {
        #[expect(clippy::cast_precision_loss, reason = "2^53 ms is longer than any run")]
        let passed = now.since(self.reported).max(1) as f64;
        self.reported = now;
        #[expect(clippy::cast_precision_loss, reason = "a time constant")]
        let keep = (-passed / self.options.smoothing.0.max(1) as f64).exp();
        for org in self.orgs.values_mut() {
            org.smooth(passed, keep);
        }
        let wants = self
            .orgs
            .iter()
            .filter_map(|(name, org)| Some((name, org.quota.as_ref()?, org.demand)));
        self.shares.demand(wants)
    }

    /// Recomputes this node's shares from the last known reports of all nodes and the live
    /// nodes, and returns them.
    pub fn rebalance(
        &mut self,
        reports: &[(NodeName, Demand)],
        live: &[NodeName],
        now: Millis,
    ) -> BTreeMap<Organisation, Grant> {
        self.shares.rebalance(reports, live, now);
        self.grant(now);
        self.orgs
            .iter()
            .map(|(name, org)| (name.clone(), org.grant))
            .collect()
    }

    /// Returns the requests that run and wait for a service.
    #[must_use]
    pub fn load(&self, service: &Service) -> (usize, usize) {
        self.lanes
            .get(service)
            .map_or((0, 0), |lane| (lane.running, lane.queued()))
    }

    /// Returns the requests of an organisation that are queued or running.
    #[must_use]
    pub fn active(&self, org: &Organisation) -> u32 {
        self.orgs.get(org).map_or(0, |org| org.active)
    }

    fn lane(&mut self, service: &Service) -> &mut Lane {
        let credit = self.options.credit;
        self.lanes
            .entry(service.clone())
            .or_insert_with(|| Lane::new(service.clone(), credit))
    }

    fn grant(&mut self, now: Millis) {
        for (name, org) in &mut self.orgs {
            let Some(quota) = &org.quota else { continue };
            let grant = self.shares.grant(name, quota);
            org.set(grant, self.options.burst, self.options.token_burst, now);
        }
    }

    /// Drops the requests from `from` on that can not be completed in time, when `tokens` are
    /// ahead of them.
    fn shed(&mut self, service: &Service, from: (Priority, Key), tokens: u64, now: Millis) {
        for (priority, key) in self.lane(service).late(from, tokens, now) {
            self.drop_entry(service, priority, key, DropReason::Late, now);
        }
    }

    fn drop_entry(
        &mut self,
        service: &Service,
        priority: Priority,
        key: Key,
        reason: DropReason,
        now: Millis,
    ) {
        if let Some(entry) = self.lane(service).remove(priority, key) {
            self.queued.remove(&entry.ask.id);
            self.deadlines.remove(&(entry.ask.deadline, entry.ask.id));
            self.give_back(entry, reason, now);
        }
    }

    /// Records a queued request as dropped and returns what it took from the quotas.
    fn give_back(&mut self, entry: Entry, reason: DropReason, now: Millis) {
        let Entry { ask, since } = entry;
        if let Some(state) = self.orgs.get_mut(&ask.org) {
            state.give(ask.tokens, TokenCount(0), now);
        }
        self.forget(&ask.org);
        let ahead = self.lane(&ask.service).ahead(&ask.org, ask.priority);
        let retry_after = self.lane(&ask.service).time(ahead.tokens);
        self.dropped.push(Dropped {
            id: ask.id,
            org: ask.org,
            service: ask.service,
            priority: ask.priority,
            reason,
            waited: Millis(now.since(since)),
            retry_after,
        });
    }

    /// Drops the state of an organisation that the document no longer names.
    fn forget(&mut self, org: &Organisation) {
        if self
            .orgs
            .get(org)
            .is_some_and(|org| org.quota.is_none() && org.active == 0)
        {
            self.orgs.remove(org);
        }
    }
}

fn ticket(ask: &Ask, waited: Millis) -> Ticket {
    Ticket {
        id: ask.id,
        org: ask.org.clone(),
        service: ask.service.clone(),
        priority: ask.priority,
        tokens: ask.tokens,
        waited,
    }
}

fn refuse(
    ask: &Ask,
    reason: Reason,
    retry_after: Millis,
    left: Millis,
    estimate: Millis,
) -> Decision {
    Decision::Refuse(Refusal {
        id: ask.id,
        org: ask.org.clone(),
        reason,
        retry_after,
        estimate,
        left,
    })
}
