use std::collections::BTreeMap;

use cumin_admit::{
    Admission, AdmissionRequest, Decision, DemandReport, DropReason, Dropped, Options, Quota,
    RefusalReason, Resource,
};
use cumin_types::{Millis, NodeName, RequestId, TokenCount};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use uuid::Uuid;

use crate::{quotas, request};

const WAIT: Millis = Millis(1500);

fn rate(rate: f64) -> Quota {
    Quota {
        rate: Some(rate),
        ..Quota::default()
    }
}

/// Returns a controller whose requests wait for quotas.
fn patient(names: &[(&str, Quota)]) -> Admission {
    let mut admission = Admission::new(Options {
        node: NodeName::from("n0"),
        quota_wait: WAIT,
        ..Options::default()
    });
    admission.configure(&quotas(names), Millis(0));
    admission
}

/// Returns the ids of the requests that may run at `now`, and ends them.
fn run_ready(admission: &mut Admission, now: u64) -> Vec<RequestId> {
    let mut ids = Vec::new();
    while let Some(ticket) = admission.next_ticket(Millis(now)) {
        ids.push(ticket.id);
        admission.finish(ticket, TokenCount(100), Millis(now));
    }
    ids
}

/// Submits requests with these numbers at once; returns the estimates of those that wait.
fn submit(admission: &mut Admission, numbers: std::ops::Range<u128>, now: u64) -> Vec<u64> {
    let mut waits = Vec::new();
    for number in numbers {
        match admission.admit(&request(number, "bakers"), Millis(now)) {
            Decision::Run(ticket) => admission.finish(ticket, TokenCount(100), Millis(now)),
            Decision::Wait(wait) => waits.push(wait.estimated_wait.0),
            Decision::Queue(position) => panic!("queued: {position}"),
            Decision::Refuse(_) => {}
        }
    }
    waits
}

/// Guards against waiting requests that race for the quota, so that a late one passes and an early
/// one is refused.
#[test]
fn served_in_order() {
    let mut admission = patient(&[("bakers", rate(4.0))]);
    // A burst of two seconds passes; the rest waits for a quarter of a second each.
    let waits = submit(&mut admission, 0..14, 0);
    assert_eq!(waits, [250, 500, 750, 1000, 1250, 1500]);
    let mut order = Vec::new();
    for now in 1..=1500 {
        for id in run_ready(&mut admission, now) {
            order.push((id.0.as_u128(), now));
        }
    }
    let expected: Vec<(u128, u64)> = (8..).zip(waits).collect();
    assert_eq!(order, expected);
    assert_eq!(admission.expire(Millis(1500)), []);
}

/// Guards against a request that waits although its turn is known to come too late.
#[test]
fn long_waits_refused() {
    let mut admission = patient(&[("bakers", rate(4.0))]);
    submit(&mut admission, 0..14, 0);
    let Decision::Refuse(refusal) = admission.admit(&request(14, "bakers"), Millis(0)) else {
        panic!("not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::Quota(Resource::Requests));
    assert_eq!(refusal.retry_after, Millis(1750));
    // A request whose deadline comes before its turn is refused as well.
    let mut admission = patient(&[("bakers", rate(4.0))]);
    submit(&mut admission, 0..8, 0);
    let hurried = AdmissionRequest {
        deadline: Millis(300),
        ..request(8, "bakers")
    };
    let decision = admission.admit(&hurried, Millis(0));
    assert!(matches!(decision, Decision::Refuse(_)), "{decision}");
}

/// Two nodes of which the first has reported, and the second not yet.
struct Pair {
    first: Admission,
    second: Admission,
    names: [NodeName; 2],
}

impl Pair {
    fn new(quota: &Quota) -> Self {
        let names = [NodeName::from("n0"), NodeName::from("n1")];
        let node = |name: &NodeName| {
            let mut node = Admission::new(Options {
                node: name.clone(),
                quota_wait: WAIT,
                ..Options::default()
            });
            node.configure(&quotas(&[("bakers", quota.clone())]), Millis(0));
            node.rebalance(&[], &names, Millis(0));
            node
        };
        Self {
            first: node(&names[0]),
            second: node(&names[1]),
            names,
        }
    }

    fn exchange(&mut self, now: Millis) {
        let reports: Vec<(NodeName, DemandReport)> = vec![
            (self.names[0].clone(), self.first.demand_report(now)),
            (self.names[1].clone(), self.second.demand_report(now)),
        ];
        self.first.rebalance(&reports, &self.names, now);
        self.second.rebalance(&reports, &self.names, now);
    }
}

/// Guards against requests within the quota that are refused because a peer has not confirmed this
/// node's demand yet.
#[test]
fn unconfirmed_share() {
    let mut pair = Pair::new(&rate(30.0));
    let waits = submit(&mut pair.first, 0..6, 0);
    // The part of the floor is 1.5 requests per second, with a burst of three.
    assert_eq!(waits.len(), 3);
    assert_eq!(run_ready(&mut pair.first, 400).len(), 0);
    pair.exchange(Millis(400));
    pair.exchange(Millis(800));
    let served: usize = (801..1500)
        .map(|now| run_ready(&mut pair.first, now).len())
        .sum();
    assert_eq!(served, 3);
}

/// Guards against requests that wait without end, or are called late, when no peer confirms the
/// demand of this node.
#[test]
fn never_confirmed() {
    let mut pair = Pair::new(&rate(0.5));
    let waits = submit(&mut pair.first, 0..4, 0);
    assert_eq!(waits, [1500; 3]);
    assert_eq!(pair.first.expire(Millis(3000)), []);
    let dropped = pair.first.expire(Millis(3001));
    assert_eq!(dropped.len(), 3);
    for Dropped { reason, .. } in dropped {
        assert_eq!(reason, DropReason::Quota(Resource::Requests));
        assert_eq!(reason.status(), 429);
    }
}

/// Guards against requests that are lost while they wait: by their caller, their deadline or a new
/// document.
#[test]
fn waits_end() {
    let mut admission = patient(&[("bakers", rate(1.0)), ("judges", rate(1.0))]);
    submit(&mut admission, 0..3, 0);
    let id = |number| RequestId(Uuid::from_u128(number));
    let decision = admission.admit(&request(2, "bakers"), Millis(0));
    assert!(matches!(decision, Decision::Refuse(refusal)
        if refusal.reason == RefusalReason::Duplicate));
    assert!(admission.cancel(id(2), Millis(1)));
    assert!(!admission.cancel(id(2), Millis(1)));
    let short = AdmissionRequest {
        deadline: Millis(1200),
        ..request(3, "bakers")
    };
    let decision = admission.admit(&short, Millis(1));
    assert!(matches!(decision, Decision::Wait(_)), "{decision}");
    assert_eq!(admission.next_expiry(), Some(Millis(1200)));
    let reasons = |dropped: Vec<Dropped>| dropped.iter().map(|one| one.reason).collect::<Vec<_>>();
    assert_eq!(
        reasons(admission.expire(Millis(1200))),
        [DropReason::Expired]
    );
    submit(&mut admission, 4..7, 1200);
    admission.configure(&quotas(&[("judges", rate(1.0))]), Millis(1201));
    let dropped = reasons(admission.expire(Millis(1201)));
    assert!(!dropped.is_empty());
    assert!(
        dropped
            .iter()
            .all(|reason| *reason == DropReason::UnknownOrganisation)
    );
    assert_eq!(admission.next_ticket(Millis(5000)), None);
}

/// Returns a request whose duration is not known.
fn untimed(number: u128) -> AdmissionRequest {
    AdmissionRequest {
        estimated_duration: Millis(0),
        ..request(number, "bakers")
    }
}

/// Guards against a line for concurrency without end where the duration of requests is not known:
/// no more wait than run.
#[test]
fn untimed_slots() {
    let quota = Quota {
        concurrent: Some(2),
        ..Quota::default()
    };
    let mut admission = patient(&[("bakers", quota)]);
    let mut running = Vec::new();
    for number in 0..2 {
        match admission.admit(&untimed(number), Millis(0)) {
            Decision::Run(ticket) => running.push(ticket),
            other => panic!("not run: {other}"),
        }
    }
    for number in 2..4 {
        let decision = admission.admit(&untimed(number), Millis(0));
        assert!(matches!(decision, Decision::Wait(_)), "{decision}");
    }
    let decision = admission.admit(&untimed(4), Millis(0));
    assert!(matches!(decision, Decision::Refuse(_)), "{decision}");
    admission.finish(running.remove(0), TokenCount(1), Millis(10));
    let next = admission.next_ticket(Millis(10)).expect("a free place");
    assert_eq!(next.id, untimed(2).id);
    assert_eq!(admission.next_ticket(Millis(10)), None);
}

/// Guards against a claim that leaves out the requests that wait, so that the share never rises to
/// what they need.
#[test]
fn waiting_demand() {
    let quota = Quota {
        concurrent: Some(4),
        ..Quota::default()
    };
    let mut admission = patient(&[("bakers", quota)]);
    let mut running = Vec::new();
    for number in 0..7 {
        if let Decision::Run(ticket) = admission.admit(&untimed(number), Millis(0)) {
            running.push(ticket);
        }
    }
    assert_eq!(running.len(), 4);
    let report = admission.demand_report(Millis(60_000));
    let claim = report.orgs.values().next().expect("an organisation");
    assert!(claim.concurrent > 6.9, "{claim:?}");
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against waiting requests that are lost, overtaken, ended twice or run above the rate.
    #[test]
    fn each_ends_once(steps in prop::collection::vec((0..400_u64, 0..6_u8, 1..2000_u64), 1..80)) {
        let quota = Quota {
            rate: Some(10.0),
            tokens: Some(60_000),
            ..Quota::default()
        };
        let mut admission = patient(&[("bakers", quota)]);
        let (mut now, mut number, mut ran) = (0, 0_u128, 0_u32);
        let mut waiting: Vec<RequestId> = Vec::new();
        let mut ended: BTreeMap<RequestId, u32> = BTreeMap::new();
        for (millis, step, tokens) in steps {
            now += millis;
            if step < 4 {
                number += 1;
                let new = AdmissionRequest {
                    estimated_tokens: TokenCount(tokens),
                    ..request(number, "bakers")
                };
                match admission.admit(&new, Millis(now)) {
                    Decision::Run(ticket) => {
                        prop_assert!(waiting.is_empty(), "overtaken");
                        ran += 1;
                        admission.finish(ticket, TokenCount(tokens), Millis(now));
                    }
                    Decision::Wait(wait) => {
                        prop_assert_eq!(wait.requests_ahead, waiting.len());
                        prop_assert!(wait.estimated_wait <= WAIT);
                        waiting.push(new.id);
                    }
                    Decision::Queue(_) | Decision::Refuse(_) => {}
                }
            } else if step == 4 && !waiting.is_empty() {
                let id = waiting.remove(0);
                prop_assert!(admission.cancel(id, Millis(now)));
                *ended.entry(id).or_default() += 1;
            }
            for dropped in admission.expire(Millis(now)) {
                waiting.retain(|id| *id != dropped.id);
                *ended.entry(dropped.id).or_default() += 1;
            }
            for id in run_ready(&mut admission, now) {
                prop_assert_eq!(waiting.remove(0), id);
                ran += 1;
                *ended.entry(id).or_default() += 1;
            }
            #[expect(clippy::cast_precision_loss, reason = "a short run")]
            let most = 10.0 * (now as f64 / 1000.0 + 2.0) + 1.0;
            prop_assert!(f64::from(ran) <= most, "more than the rate");
        }
        prop_assert!(ended.values().all(|count| *count == 1));
        now += 100_000;
        let ends = admission.expire(Millis(now)).len() + run_ready(&mut admission, now).len();
        prop_assert_eq!(ends, waiting.len());
    }
}
