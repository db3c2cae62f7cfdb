use cumin_admit::{Admission, Decision, Quota, RefusalReason, Resource, Ticket};
use cumin_types::{Millis, NodeName, Organisation, TokenCount};

use crate::{admission, quotas, request};

fn run(decision: Decision) -> Ticket {
    match decision {
        Decision::Run(ticket) => ticket,
        other => panic!("not run: {other}"),
    }
}

fn refused(decision: Decision) -> (RefusalReason, Millis) {
    match decision {
        Decision::Refuse(refusal) => (refusal.reason, refusal.retry_after),
        other => panic!("not refused: {other}"),
    }
}

/// Guards against a rate above the quota, and against a `retry_after` that is too short.
#[test]
fn rate_enforced() {
    let quota = Quota {
        rate: Some(10.0),
        ..Quota::default()
    };
    let mut admission = admission(&[("bakers", quota)]);
    let mut admitted = 0;
    for i in 0..10_000_u64 {
        if let Decision::Run(ticket) = admission.admit(&request(u128::from(i), "bakers"), Millis(i))
        {
            admitted += 1;
            admission.finish(ticket, TokenCount(100), Millis(i));
        }
    }
    // Ten seconds at 10 requests per second, and a burst of two seconds.
    assert!((118..=120).contains(&admitted), "{admitted}");
    let _last = admission.admit(&request(19_999, "bakers"), Millis(10_000));
    let (reason, after) = refused(admission.admit(&request(20_000, "bakers"), Millis(10_000)));
    assert_eq!(reason, RefusalReason::Quota(Resource::Requests));
    let later = Millis(10_000 + after.0);
    let _ticket = run(admission.admit(&request(20_001, "bakers"), later));
}

/// Guards against more concurrent requests than the quota allows.
#[test]
fn concurrency_enforced() {
    let quota = Quota {
        concurrent: Some(2),
        ..Quota::default()
    };
    let mut admission = admission(&[("bakers", quota)]);
    let first = run(admission.admit(&request(1, "bakers"), Millis(0)));
    let _second = run(admission.admit(&request(2, "bakers"), Millis(0)));
    let (reason, after) = refused(admission.admit(&request(3, "bakers"), Millis(0)));
    assert_eq!(reason, RefusalReason::Quota(Resource::Concurrent));
    assert!(after > Millis(0));
    admission.finish(first, TokenCount(1), Millis(1));
    let _third = run(admission.admit(&request(3, "bakers"), Millis(1)));
}

/// Guards against a quota that charges the estimated instead of the used tokens.
#[test]
fn used_tokens_settled() {
    let quota = Quota {
        tokens: Some(6000),
        ..Quota::default()
    };
    let mut admission = admission(&[("bakers", quota)]);
    let mut large = request(1, "bakers");
    // The bucket holds 1000 tokens; a larger request is admitted when it is full.
    large.estimated_tokens = TokenCount(3000);
    let ticket = run(admission.admit(&large, Millis(0)));
    let (reason, after) = refused(admission.admit(&request(2, "bakers"), Millis(0)));
    assert_eq!(reason, RefusalReason::Quota(Resource::Tokens));
    assert_eq!(after, Millis(21_000));
    admission.finish(ticket, TokenCount(500), Millis(0));
    let _second = run(admission.admit(&request(2, "bakers"), Millis(0)));
}

/// Guards against a new document that loses requests in flight or leaves old limits in force.
#[test]
fn configure_keeps_requests() {
    let old = Quota {
        concurrent: Some(8),
        ..Quota::default()
    };
    let new = Quota {
        concurrent: Some(1),
        ..Quota::default()
    };
    let mut admission = admission(&[("bakers", old.clone()), ("judges", old)]);
    let bakers = run(admission.admit(&request(1, "bakers"), Millis(0)));
    let judges = run(admission.admit(&request(2, "judges"), Millis(0)));
    admission.configure(&quotas(&[("bakers", new)]), Millis(1));
    assert_eq!(admission.active_requests(&Organisation::from("judges")), 1);
    let (reason, _) = refused(admission.admit(&request(3, "judges"), Millis(1)));
    assert_eq!(reason, RefusalReason::UnknownOrganisation);
    refused(admission.admit(&request(3, "bakers"), Millis(1)));
    admission.finish(judges, TokenCount(1), Millis(2));
    admission.finish(bakers, TokenCount(1), Millis(2));
    assert_eq!(admission.active_requests(&Organisation::from("judges")), 0);
    let _next = run(admission.admit(&request(3, "bakers"), Millis(2)));
}

/// Guards against shares that are computed but not applied. Two nodes together must admit at most
/// the limit, and a node with all the demand must get most of it.
#[test]
fn shares_limit_admission() {
    let quota = Quota {
        rate: Some(100.0),
        ..Quota::default()
    };
    let names = [NodeName::from("n0"), NodeName::from("n1")];
    let mut nodes: Vec<Admission> = names
        .iter()
        .map(|name| {
            let mut node = Admission::new(cumin_admit::Options {
                node: name.clone(),
                ..cumin_admit::Options::default()
            });
            node.configure(&quotas(&[("bakers", quota.clone())]), Millis(0));
            node.rebalance(&[], &names, Millis(0));
            node
        })
        .collect();
    let mut admitted = 0_u32;
    for now in 0..20_000_u64 {
        if now % 200 == 0 {
            let reports: Vec<_> = names
                .iter()
                .cloned()
                .zip(nodes.iter_mut().map(|node| node.demand_report(Millis(now))))
                .collect();
            for node in &mut nodes {
                node.rebalance(&reports, &names, Millis(now));
            }
        }
        let id = u128::from(now);
        if let Decision::Run(ticket) = nodes[0].admit(&request(id, "bakers"), Millis(now)) {
            admitted += u32::from(now >= 10_000);
            nodes[0].finish(ticket, TokenCount(100), Millis(now));
        }
    }
    println!("admitted by the busy node of two in 10 s at 100 a second: {admitted}");
    assert!((850..=1000).contains(&admitted), "{admitted}");
}
