use std::collections::{BTreeMap, HashSet};

use cumin_admit::{
    Admission, AdmissionRequest, Capacity, Decision, DropReason, Options, Quota, Ticket,
};
use cumin_types::{Millis, Organisation, Priority, RequestId, Service, TokenCount};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use uuid::Uuid;

use crate::quotas;

const ORGS: [&str; 3] = ["bakers", "judges", "unnamed"];
const CLASSES: [Priority; 3] = [Priority::Live, Priority::Normal, Priority::Batch];
const CONCURRENT: [u32; 2] = [6, 3];
const RATE: f64 = 20.0;

#[derive(Clone, Debug)]
enum Step {
    Admit {
        org: usize,
        class: usize,
        tokens: u64,
        left: u64,
        estimate: u64,
    },
    Next,
    Finish {
        index: usize,
        used: u64,
    },
    Cancel {
        index: usize,
    },
    Expire,
    Capacity {
        slots: usize,
        rate: u32,
    },
    Configure {
        document: usize,
    },
    Advance {
        millis: u64,
    },
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => (0..3_usize, 0..3_usize, 1..2000_u64, 0..8000_u64, 0..1000_u64).prop_map(
                |(org, class, tokens, left, estimate)| Step::Admit { org, class, tokens, left, estimate }
            ),
            4 => Just(Step::Next),
            4 => (0..8_usize, 0..3000_u64).prop_map(|(index, used)| Step::Finish { index, used }),
            1 => (0..8_usize).prop_map(|index| Step::Cancel { index }),
            1 => Just(Step::Expire),
            1 => (0..4_usize, 0..3000_u32).prop_map(|(slots, rate)| Step::Capacity { slots, rate }),
            1 => (0..3_usize).prop_map(|document| Step::Configure { document }),
            4 => (0..1500_u64).prop_map(|millis| Step::Advance { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The admission controller under test beside a reference model of plain lists.
struct Model {
    real: Admission,
    now: u64,
    submitted: u128,
    slots: usize,
    /// Organisations in the document and their concurrency limits.
    named: BTreeMap<&'static str, u32>,
    /// Queued requests in order of arrival.
    queued: Vec<AdmissionRequest>,
    running: Vec<Ticket>,
    /// Number of requests admitted for the first organisation.
    admitted: u32,
}

fn service() -> Service {
    Service::from("crumb-assist")
}

impl Model {
    fn configure(&mut self, document: usize) {
        // Document 0 names both organisations, 1 has a lower concurrency limit, and 2 names only one
        // organisation.
        let limit = CONCURRENT[usize::from(document == 1)];
        let quota = Quota {
            rate: Some(RATE),
            concurrent: Some(limit),
            tokens: Some(600_000),
            ..Quota::default()
        };
        let names = &ORGS[..if document == 2 { 1 } else { 2 }];
        let pairs: Vec<(&str, Quota)> = names.iter().map(|name| (*name, quota.clone())).collect();
        self.real.configure(&quotas(&pairs), Millis(self.now));
        self.named = names.iter().map(|name| (*name, limit)).collect();
    }

    fn active(&self, org: &Organisation) -> usize {
        let queued = self
            .queued
            .iter()
            .filter(|request| request.org == *org)
            .count();
        queued
            + self
                .running
                .iter()
                .filter(|ticket| ticket.org == *org)
                .count()
    }

    fn take_dropped(&mut self) {
        let now = self.now;
        for dropped in self.real.expire(Millis(now)) {
            let index = self
                .queued
                .iter()
                .position(|request| request.id == dropped.id);
            let request = self
                .queued
                .remove(index.expect("only a queued request is dropped"));
            let expired = dropped.reason == DropReason::Expired;
            assert!(
                !expired || request.deadline.0 <= now,
                "expired before its deadline"
            );
        }
        assert!(
            self.queued.iter().all(|request| request.deadline.0 > now),
            "an expired request stays"
        );
    }

    fn admit(&mut self, org: usize, class: usize, tokens: u64, left: u64, estimate: u64) {
        self.submitted += 1;
        let request = AdmissionRequest {
            id: RequestId(Uuid::from_u128(self.submitted)),
            org: Organisation::from(ORGS[org]),
            service: service(),
            priority: CLASSES[class],
            estimated_tokens: TokenCount(tokens),
            deadline: Millis(self.now + left),
            estimated_duration: Millis(estimate),
        };
        let before = self.active(&request.org);
        let decision = self.real.admit(&request, Millis(self.now));
        if !matches!(decision, Decision::Refuse(_)) {
            let limit = *self
                .named
                .get(ORGS[org])
                .expect("an unnamed organisation was admitted");
            assert!(before < limit as usize, "more at once than the quota");
            assert!(estimate <= left && left > 0, "admitted too late");
            self.admitted += u32::from(org == 0);
        }
        match decision {
            Decision::Run(ticket) => {
                assert!(self.running.len() < self.slots && self.queued.is_empty());
                self.running.push(ticket);
            }
            Decision::Queue(_) => self.queued.push(request),
            Decision::Wait(wait) => panic!("waits by default: {wait}"),
            Decision::Refuse(_) => {}
        }
    }

    fn next(&mut self) {
        self.take_dropped();
        let free = self.running.len() < self.slots;
        let ticket = self.real.next_ticket(Millis(self.now));
        // Requests that can no longer complete in time are dropped during the call.
        let late: HashSet<RequestId> = self
            .real
            .expire(Millis(self.now))
            .into_iter()
            .map(|dropped| dropped.id)
            .collect();
        for request in self
            .queued
            .iter()
            .filter(|request| late.contains(&request.id))
        {
            assert!(
                self.now + request.estimated_duration.0 > request.deadline.0,
                "dropped in time"
            );
        }
        self.queued.retain(|request| !late.contains(&request.id));
        let Some(ticket) = ticket else {
            assert!(
                !free || self.queued.is_empty(),
                "a slot is free and a request waits"
            );
            return;
        };
        assert!(free, "more run than there are slots");
        let same = |request: &&AdmissionRequest| {
            request.org == ticket.org && request.priority == ticket.priority
        };
        let first = self.queued.iter().find(same).expect("it was queued");
        assert_eq!(
            first.id, ticket.id,
            "overtaken inside an organisation and priority"
        );
        let urgent = self.queued.iter().map(|request| request.priority).min();
        let starved = ticket.waited >= Options::default().starvation_threshold;
        assert!(
            starved || urgent == Some(ticket.priority),
            "priorities are mixed up"
        );
        self.queued.retain(|request| request.id != ticket.id);
        self.running.push(ticket);
    }
}

/// Guards against requests that are lost, run twice, run out of order or counted wrongly in any
/// sequence of operations.
impl StateMachineTest for Model {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        let mut model = Self {
            real: Admission::new(Options {
                queue_limit: 8,
                ..Options::default()
            }),
            now: 0,
            submitted: 0,
            slots: usize::MAX,
            named: BTreeMap::new(),
            queued: Vec::new(),
            running: Vec::new(),
            admitted: 0,
        };
        model.configure(0);
        model
    }

    fn apply(mut model: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Admit {
                org,
                class,
                tokens,
                left,
                estimate,
            } => {
                model.admit(org, class, tokens, left, estimate);
            }
            Step::Next => model.next(),
            Step::Finish { index, used } => {
                if index < model.running.len() {
                    let ticket = model.running.remove(index);
                    model
                        .real
                        .finish(ticket, TokenCount(used), Millis(model.now));
                }
            }
            Step::Cancel { index } => {
                model.take_dropped();
                if index < model.queued.len() {
                    let request = model.queued.remove(index);
                    assert!(model.real.cancel(request.id, Millis(model.now)));
                }
            }
            Step::Expire => {}
            Step::Capacity { slots, rate } => {
                model.slots = slots;
                let capacity = Capacity {
                    slots,
                    token_rate: f64::from(rate),
                };
                model
                    .real
                    .set_capacity(&service(), capacity, Millis(model.now));
            }
            Step::Configure { document } => model.configure(document),
            Step::Advance { millis } => model.now += millis,
        }
        model.take_dropped();
        model
    }

    fn check_invariants(model: &Self, (): &()) {
        let load = model.real.load(&service());
        assert_eq!(load, (model.running.len(), model.queued.len()));
        for org in ORGS.map(Organisation::from) {
            assert_eq!(
                model.real.active_requests(&org) as usize,
                model.active(&org),
                "{org}"
            );
        }
        let first = model.queued.iter().map(|request| request.deadline).min();
        assert_eq!(model.real.next_expiry(), first);
        #[expect(clippy::cast_precision_loss, reason = "a short run")]
        let most = RATE * (model.now as f64 / 1000.0 + 2.0) + 1.0;
        assert!(f64::from(model.admitted) <= most, "more than the rate");
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn admission_matches_model(sequential 1..120 => Model);
}
