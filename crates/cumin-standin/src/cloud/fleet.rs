//! State of the cloud: offers, instances, notices and past listings.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use actix_rt::time::Instant;
use cumin_wire::cloud::{Instance, Instances, Kind, Notice, Notices, Offer, Start, State};

/// State of the cloud.
#[derive(Default)]
pub struct Fleet {
    /// Offers of instances.
    pub offers: Vec<Offer>,
    /// Number in the id of the last instance that a call started.
    pub last_number: u64,
    /// All instances, with the time at which each stopped.
    pub instances: Vec<(Instance, Option<Instant>)>,
    /// Id of the instance that each client token started.
    pub tokens: HashMap<String, String>,
    /// All notices, with the time at which each was issued.
    pub notices: Vec<(Instant, Notice)>,
    /// Past listings, newest last. The first is the newest one that is at least as old as the lag
    /// of the last call.
    past_listings: VecDeque<(Instant, Instances)>,
}

impl Fleet {
    /// Returns a fleet without instances.
    pub fn new(offers: Vec<Offer>) -> Self {
        Self {
            offers,
            ..Self::default()
        }
    }

    /// Returns an instance.
    pub fn get(&mut self, id: &str) -> Option<&mut Instance> {
        let mut all = self.instances.iter_mut();
        all.find(|(instance, _)| instance.id == id)
            .map(|(instance, _)| instance)
    }

    /// Removes the instances that stopped more than `retention` ago.
    pub fn drop_stopped(&mut self, retention: Duration) {
        let before = self.instances.len();
        self.instances
            .retain(|(_, stopped)| stopped.is_none_or(|at| at.elapsed() <= retention));
        if self.instances.len() < before {
            self.record_listing();
        }
    }

    /// Records the current listing; called after each change.
    pub fn record_listing(&mut self) {
        let instances = self.instances.iter();
        let instances = instances.map(|(instance, _)| instance.clone()).collect();
        self.past_listings
            .push_back((Instant::now(), Instances { instances }));
    }

    /// Returns the newest listing that is at least `lag` old.
    pub fn listing(&mut self, lag: Duration) -> Instances {
        while self
            .past_listings
            .get(1)
            .is_some_and(|(at, _)| at.elapsed() >= lag)
        {
            self.past_listings.pop_front();
        }
        match self.past_listings.front() {
            Some((at, listing)) if at.elapsed() >= lag => listing.clone(),
            _ => Instances::default(),
        }
    }

    /// Adds an instance in state `Starting`.
    pub fn create(&mut self, start: &Start, offer: Offer, kind: Kind) -> Instance {
        self.last_number += 1;
        let instance = Instance {
            id: format!("i-{}", self.last_number),
            token: start.token.clone(),
            kind,
            service: start.service.clone(),
            place: offer.place,
            class: offer.class,
            market: offer.market,
            price: offer.price,
            state: State::Starting,
            address: None,
        };
        let (token, id) = (start.token.clone(), instance.id.clone());
        self.tokens.insert(token, id);
        self.instances.push((instance.clone(), None));
        self.record_listing();
        instance
    }

    /// Marks an instance as stopped; returns `None` when it does not run.
    pub fn stop(&mut self, id: &str) -> Option<Instance> {
        let mut all = self.instances.iter_mut();
        let (instance, stopped) = all.find(|(instance, _)| instance.id == id)?;
        if instance.state == State::Stopped {
            return None;
        }
        instance.state = State::Stopped;
        *stopped = Some(Instant::now());
        let stopped = instance.clone();
        self.record_listing();
        Some(stopped)
    }

    /// Issues a reclaim notice.
    pub fn notify(&mut self, instance: &str, left: Duration) {
        let notice = Notice {
            seq: self.notices.len() as u64 + 1,
            instance: instance.into(),
            grace_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            age_ms: 0,
        };
        self.notices.push((Instant::now(), notice));
    }

    /// Returns the notices after sequence number `after`, oldest first.
    pub fn notices(&self, after: u64) -> Notices {
        let later = self.notices.iter().filter(|(_, notice)| notice.seq > after);
        let notices = later.map(|(at, notice)| Notice {
            age_ms: u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX),
            ..notice.clone()
        });
        Notices {
            notices: notices.collect(),
        }
    }
}
