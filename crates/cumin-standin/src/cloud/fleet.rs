//! What the cloud knows: offers, instances, notices and past listings.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use actix_rt::time::Instant;
use cumin_wire::cloud::{Instance, Instances, Kind, Notice, Notices, Offer, Start, State};

/// What the cloud knows.
#[derive(Default)]
pub struct Fleet {
    /// What can be started.
    pub offers: Vec<Offer>,
    /// Number of the last instance started by a call.
    pub next: u64,
    /// All instances, with the time of their stop.
    pub instances: Vec<(Instance, Option<Instant>)>,
    /// Instance that each client token started.
    pub tokens: HashMap<String, String>,
    /// All notices, with the time of their issue.
    pub notices: Vec<(Instant, Notice)>,
    /// Past listings, newest last; the first is the newest that has the age of the listing.
    past: VecDeque<(Instant, Instances)>,
}

impl Fleet {
    /// Makes an empty fleet.
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

    /// Drops instances that stopped long ago.
    pub fn forget(&mut self, keep: Duration) {
        let before = self.instances.len();
        self.instances
            .retain(|(_, stopped)| stopped.is_none_or(|at| at.elapsed() <= keep));
        if self.instances.len() < before {
            self.note();
        }
    }

    /// Notes the listing as it is now.
    pub fn note(&mut self) {
        let instances = self.instances.iter();
        let instances = instances.map(|(instance, _)| instance.clone()).collect();
        self.past
            .push_back((Instant::now(), Instances { instances }));
    }

    /// Returns the newest listing that is at least `lag` old.
    pub fn listing(&mut self, lag: Duration) -> Instances {
        while self.past.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.past.pop_front();
        }
        match self.past.front() {
            Some((at, listing)) if at.elapsed() >= lag => listing.clone(),
            _ => Instances::default(),
        }
    }

    /// Adds a starting instance.
    pub fn create(&mut self, start: &Start, offer: Offer, kind: Kind) -> Instance {
        self.next += 1;
        let instance = Instance {
            id: format!("i-{}", self.next),
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
        self.note();
        instance
    }

    /// Marks an instance as stopped; `None` when it does not run.
    pub fn stop(&mut self, id: &str) -> Option<Instance> {
        let mut all = self.instances.iter_mut();
        let (instance, stopped) = all.find(|(instance, _)| instance.id == id)?;
        if instance.state == State::Stopped {
            return None;
        }
        instance.state = State::Stopped;
        *stopped = Some(Instant::now());
        let ended = instance.clone();
        self.note();
        Some(ended)
    }

    /// Issues a notice.
    pub fn notify(&mut self, instance: &str, left: Duration) {
        let notice = Notice {
            seq: self.notices.len() as u64 + 1,
            instance: instance.into(),
            grace_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            age_ms: 0,
        };
        self.notices.push((Instant::now(), notice));
    }

    /// Returns the notices after `after`, oldest first.
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
