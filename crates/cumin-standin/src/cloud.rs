//! Stand-in for the cloud API: offers, instances and reclaim notices.
//!
//! It starts no processes. A hook is called when an instance becomes live and when it stops; the
//! test then starts or crashes the program of the instance and sets its address with
//! [`Cloud::set_address`].

mod fleet;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::StatusCode;
use cumin_wire::cloud::{Instance, Kind, Market, Offer, Start, State};

use crate::Outage;
use crate::host::{self, Answer, Call, Host, Reply};
use fleet::Fleet;

/// Callback for an instance that became live or has stopped; its `state` distinguishes the two.
pub type Hook = Rc<dyn Fn(&Instance)>;

/// Settings of the cloud API.
#[derive(Clone)]
pub struct Options {
    /// Address to bind.
    pub address: SocketAddr,
    /// Offers of instances.
    pub offers: Vec<Offer>,
    /// Names of plain services. `entry` is for entries, and any other name is an engine.
    pub plain_services: Vec<String>,
    /// Time from a start until the instance is live.
    pub boot_time: Duration,
    /// Age of the listing of instances.
    pub listing_lag: Duration,
    /// Time that a stopped instance stays listed.
    pub stopped_retention: Duration,
    /// Callback for starts and stops.
    pub hook: Option<Hook>,
    /// Faults that are active at the start.
    pub faults: Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: host::LOOPBACK,
            offers: Vec::new(),
            plain_services: Vec::new(),
            boot_time: Duration::ZERO,
            listing_lag: Duration::ZERO,
            stopped_retention: Duration::from_mins(1),
            hook: None,
            faults: Faults::default(),
        }
    }
}

/// Faults that a test injects.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Outage that affects every call.
    pub outage: Option<Outage>,
    /// Number of starts to refuse with 409.
    pub refusals: u64,
    /// Offers whose starts are refused with 409.
    pub refused_offers: BTreeSet<String>,
    /// Number of answers to starts and stops to lose after the effect.
    pub lost_answers: u64,
    /// Delay before a call takes effect.
    pub effect_delay: Duration,
}

/// Counters of the cloud API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Calls received.
    pub calls: u64,
    /// Instances started by calls.
    pub starts: u64,
    /// Starts whose client token had already started an instance.
    pub repeats: u64,
    /// Starts refused.
    pub refused: u64,
    /// Instances stopped by calls.
    pub stops: u64,
    /// Instances reclaimed.
    pub reclaims: u64,
    /// Answers lost after the effect.
    pub lost: u64,
}

/// A running cloud API.
pub struct Cloud {
    host: Rc<Host>,
    shared: Rc<Shared>,
}

struct Shared {
    weak_self: Weak<Self>,
    options: Options,
    hook: RefCell<Option<Hook>>,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    fleet: RefCell<Fleet>,
}

impl Cloud {
    /// Starts the cloud API.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn start(options: Options) -> io::Result<Self> {
        let address = options.address;
        let shared = Rc::new_cyclic(|shared| Shared {
            weak_self: Weak::clone(shared),
            hook: RefCell::new(options.hook.clone()),
            faults: RefCell::new(options.faults.clone()),
            stats: RefCell::default(),
            fleet: RefCell::new(Fleet::new(options.offers.clone())),
            options,
        });
        let host = Host::start(address, &shared)?;
        Ok(Self { host, shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.shared.stats.borrow()
    }

    /// Changes the active faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.borrow_mut());
    }

    /// Replaces the hook.
    pub fn set_hook(&self, hook: Hook) {
        *self.shared.hook.borrow_mut() = Some(hook);
    }

    /// Replaces the offers, such as after a change of prices.
    pub fn set_offers(&self, offers: Vec<Offer>) {
        self.shared.fleet.borrow_mut().offers = offers;
    }

    /// Adds an instance that the test runs itself, or replaces the one with the same id.
    pub fn register(&self, instance: Instance) {
        let mut fleet = self.shared.fleet.borrow_mut();
        fleet.instances.retain(|(old, _)| old.id != instance.id);
        fleet.instances.push((instance, None));
        fleet.record_listing();
    }

    /// Sets the address of the program that runs on an instance.
    pub fn set_address(&self, instance: &str, address: SocketAddr) {
        self.shared.change(instance, |instance| {
            instance.address = Some(address.to_string());
        });
    }

    /// Returns the current instances, without the lag of the listing.
    #[must_use]
    pub fn instances(&self) -> Vec<Instance> {
        let fleet = self.shared.fleet.borrow();
        let all = fleet.instances.iter();
        all.map(|(instance, _)| instance.clone()).collect()
    }

    /// Reclaims an instance after `notice`; returns false when it does not run or is being reclaimed.
    #[expect(clippy::must_use_candidate, reason = "called for its effect")]
    pub fn reclaim(&self, instance: &str, notice: Duration) -> bool {
        self.shared.reclaim(instance, notice)
    }

    /// Reclaims every reclaimable instance of a place; returns their ids.
    #[expect(clippy::must_use_candidate, reason = "called for its effect")]
    pub fn reclaim_place(&self, place: &str, notice: Duration) -> Vec<String> {
        let all = self.instances().into_iter();
        all.filter(|instance| instance.place == place && instance.market == Market::Reclaimable)
            .filter(|instance| self.shared.reclaim(&instance.id, notice))
            .map(|instance| instance.id)
            .collect()
    }

    /// Stops an instance at once, without a notice; returns false when it does not run.
    #[expect(clippy::must_use_candidate, reason = "called for its effect")]
    pub fn kill(&self, instance: &str) -> bool {
        self.shared.stop_instance(instance)
    }

    /// Closes the listener and all connections at once; a start that is delayed still takes
    /// effect.
    pub fn crash(&self) {
        self.host.crash();
    }

    /// Starts to serve again on the same address; instances are kept.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.host.restart().await
    }
}

impl Answer for Shared {
    async fn answer(self: Rc<Self>, call: Call) -> Reply {
        self.stats.borrow_mut().calls += 1;
        let faults = self.faults.borrow().clone();
        if let Some(reply) = host::apply_outage(faults.outage).await {
            return reply;
        }
        // Runs in a task, so that a start takes effect even if its client stops waiting.
        let task = actix_rt::spawn(async move {
            host::delay(faults.effect_delay).await;
            self.serve(&call)
        });
        task.await.unwrap_or_else(|_| host::lose_answer())
    }
}

impl Shared {
    fn serve(&self, call: &Call) -> Reply {
        let (method, parts) = call.route();
        match (method, parts.as_slice()) {
            ("GET", ["v1", "offers"]) => host::json(StatusCode::OK, &self.fleet.borrow().offers),
            ("GET", ["v1", "instances"]) => {
                let mut fleet = self.fleet.borrow_mut();
                fleet.drop_stopped(self.options.stopped_retention);
                host::json(StatusCode::OK, &fleet.listing(self.options.listing_lag))
            }
            ("POST", ["v1", "instances"]) => match call.json() {
                Ok(start) => self.start(&start),
                Err(reply) => reply,
            },
            ("DELETE", ["v1", "instances", id]) => self.stop(id),
            ("GET", ["v1", "notices"]) => {
                let after = call.query_number("after").unwrap_or(0);
                host::json(StatusCode::OK, &self.fleet.borrow().notices(after))
            }
            _ => host::not_found(call),
        }
    }

    fn start(&self, start: &Start) -> Reply {
        let known = self.fleet.borrow().tokens.get(&start.token).cloned();
        if let Some(id) = known {
            self.stats.borrow_mut().repeats += 1;
            return match self.fleet.borrow_mut().get(&id) {
                Some(instance) => self.confirm(instance),
                None => host::refuse(
                    StatusCode::CONFLICT,
                    "token_used",
                    &format!("token {:?} started {id}, which has stopped", start.token),
                ),
            };
        }
        let offers = self.fleet.borrow().offers.clone();
        let Some(offer) = offers.into_iter().find(|offer| offer.id == start.offer) else {
            let message = format!("offer {:?} does not exist", start.offer);
            return host::refuse(StatusCode::NOT_FOUND, "no_offer", &message);
        };
        let mut faults = self.faults.borrow_mut();
        if faults.refused_offers.contains(&offer.id) || host::take_fault(&mut faults.refusals) {
            self.stats.borrow_mut().refused += 1;
            let message = format!("offer {:?} has no capacity", offer.id);
            return host::refuse(StatusCode::CONFLICT, "no_capacity", &message);
        }
        drop(faults);
        self.stats.borrow_mut().starts += 1;
        let kind = match start.service.as_str() {
            "entry" => Kind::Entry,
            name if self
                .options
                .plain_services
                .iter()
                .any(|plain| plain == name) =>
            {
                Kind::Plain
            }
            _ => Kind::Engine,
        };
        let instance = self.fleet.borrow_mut().create(start, offer, kind);
        self.boot(instance.id.clone());
        let now = self.fleet.borrow_mut().get(&instance.id).cloned();
        self.confirm(&now.unwrap_or(instance))
    }

    /// Makes an instance live after the boot time, or at once when that is zero.
    fn boot(&self, id: String) {
        let time = self.options.boot_time;
        if time.is_zero() {
            return self.set_live(&id);
        }
        let weak = Weak::clone(&self.weak_self);
        actix_rt::spawn(async move {
            host::delay(time).await;
            if let Some(shared) = weak.upgrade() {
                shared.set_live(&id);
            }
        });
    }

    fn set_live(&self, id: &str) {
        let starting = |instance: &mut Instance| {
            let starting = instance.state == State::Starting;
            if starting {
                instance.state = State::Live;
            }
            starting.then(|| instance.clone())
        };
        if let Some(Some(instance)) = self.change(id, starting) {
            self.call_hook(&instance);
        }
    }

    fn stop(&self, id: &str) -> Reply {
        if self.fleet.borrow_mut().get(id).is_none() {
            let message = format!("instance {id:?} does not exist");
            return host::refuse(StatusCode::NOT_FOUND, "no_instance", &message);
        }
        if self.stop_instance(id) {
            self.stats.borrow_mut().stops += 1;
        }
        match self.fleet.borrow_mut().get(id) {
            Some(instance) => self.confirm(instance),
            None => host::json(StatusCode::OK, &serde_json::json!({})),
        }
    }

    /// Answers with the instance, unless the answer is lost by a fault.
    fn confirm(&self, instance: &Instance) -> Reply {
        if host::take_fault(&mut self.faults.borrow_mut().lost_answers) {
            self.stats.borrow_mut().lost += 1;
            return host::lose_answer();
        }
        host::json(StatusCode::OK, instance)
    }

    fn reclaim(&self, id: &str, notice: Duration) -> bool {
        let leave = |instance: &mut Instance| {
            let runs = matches!(instance.state, State::Starting | State::Live);
            if runs {
                instance.state = State::Leaving;
            }
            runs
        };
        if self.change(id, leave) != Some(true) {
            return false;
        }
        self.stats.borrow_mut().reclaims += 1;
        self.fleet.borrow_mut().notify(id, notice);
        if notice.is_zero() {
            return self.stop_instance(id);
        }
        let (weak, id) = (Weak::clone(&self.weak_self), id.to_string());
        actix_rt::spawn(async move {
            host::delay(notice).await;
            if let Some(shared) = weak.upgrade() {
                shared.stop_instance(&id);
            }
        });
        true
    }

    fn stop_instance(&self, id: &str) -> bool {
        let ended = self.fleet.borrow_mut().stop(id);
        if let Some(instance) = &ended {
            self.call_hook(instance);
        }
        ended.is_some()
    }

    fn change<T>(&self, id: &str, change: impl FnOnce(&mut Instance) -> T) -> Option<T> {
        let mut fleet = self.fleet.borrow_mut();
        let result = change(fleet.get(id)?);
        fleet.record_listing();
        Some(result)
    }

    /// Calls the hook while no state is borrowed, so that the hook can call the cloud.
    fn call_hook(&self, instance: &Instance) {
        let hook = self.hook.borrow().clone();
        if let Some(hook) = hook {
            hook(instance);
        }
    }
}
