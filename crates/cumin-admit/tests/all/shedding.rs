use cumin_admit::{Admission, Capacity, Decision, DropReason, Options, Quota, RefusalReason};
use cumin_types::{Millis, Priority, Service, TokenCount};

use crate::{admission, quotas, request};

const PRIORITIES: [Priority; 3] = [Priority::Live, Priority::Normal, Priority::Batch];

fn service() -> Service {
    Service::from("crumb-assist")
}

/// Guards against refusing or delaying urgent work while batch work stays queued.
#[test]
fn batch_shed_first() {
    let mut admission = admission(&[("bakers", Quota::default())]);
    admission.set_capacity(
        &service(),
        Capacity {
            slots: 0,
            token_rate: 1000.0,
        },
        Millis(0),
    );
    let mut id = 0;
    let mut push = |admission: &mut Admission, priority, count| {
        let mut refused = 0;
        for _ in 0..count {
            id += 1;
            let mut one = request(id, "bakers");
            one.priority = priority;
            one.deadline = Millis(2100);
            refused += usize::from(matches!(
                admission.admit(&one, Millis(0)),
                Decision::Refuse(_)
            ));
        }
        refused
    };
    // 2 s of capacity is 20 requests of 100 tokens.
    assert_eq!(push(&mut admission, Priority::Batch, 15), 0);
    assert_eq!(push(&mut admission, Priority::Normal, 10), 0);
    let shed = admission.expire(Millis(0));
    assert_eq!(shed.len(), 4);
    assert!(shed.iter().all(|one| one.priority == Priority::Batch));
    assert!(shed.iter().all(|one| one.reason == DropReason::Late));
    assert_eq!(push(&mut admission, Priority::Live, 18), 0);
    let shed = admission.expire(Millis(0));
    let normal = shed
        .iter()
        .filter(|one| one.priority == Priority::Normal)
        .count();
    assert_eq!((shed.len(), normal), (18, 7));
    assert_eq!(push(&mut admission, Priority::Live, 10), 7);
    assert_eq!(admission.load(&service()).1, 21);
}

/// Guards against a full queue of one organisation that refuses requests of another.
#[test]
fn full_queue_displaces() {
    let options = Options {
        queue_limit: 4,
        ..Options::default()
    };
    let mut admission = Admission::new(options);
    let both = [("bakers", Quota::default()), ("judges", Quota::default())];
    admission.configure(&quotas(&both), Millis(0));
    admission.set_capacity(
        &service(),
        Capacity {
            slots: 0,
            token_rate: 0.0,
        },
        Millis(0),
    );
    for id in 1..=4 {
        assert!(matches!(
            admission.admit(&request(id, "bakers"), Millis(0)),
            Decision::Queue(_)
        ));
    }
    assert!(matches!(
        admission.admit(&request(5, "bakers"), Millis(0)),
        Decision::Refuse(refusal) if refusal.reason == RefusalReason::QueueFull
    ));
    assert!(matches!(
        admission.admit(&request(6, "judges"), Millis(0)),
        Decision::Queue(_)
    ));
    let dropped = admission.expire(Millis(0));
    assert_eq!(dropped.len(), 1);
    assert_eq!(
        (dropped[0].id, dropped[0].reason),
        (request(4, "bakers").id, DropReason::Displaced)
    );
}

/// Guards against batch work that never runs while requests of higher priority are queued.
#[test]
fn starved_work_served() {
    let mut admission = admission(&[("bakers", Quota::default())]);
    admission.set_capacity(
        &service(),
        Capacity {
            slots: 0,
            token_rate: 0.0,
        },
        Millis(0),
    );
    for id in 0..600_u128 {
        let mut one = request(id, "bakers");
        one.priority = PRIORITIES[usize::try_from(id % 3).expect("small")];
        assert!(matches!(
            admission.admit(&one, Millis(0)),
            Decision::Queue(_)
        ));
    }
    admission.set_capacity(
        &service(),
        Capacity {
            slots: 1,
            token_rate: 0.0,
        },
        Millis(0),
    );
    let mut served = |now, count| {
        let mut counts = [0; 3];
        for _ in 0..count {
            let ticket = admission.next_ticket(Millis(now)).expect("many wait");
            counts[ticket.priority as usize] += 1;
            admission.finish(ticket, TokenCount(100), Millis(now));
        }
        counts
    };
    assert_eq!(served(0, 90), [90, 0, 0], "nothing is starved yet");
    let counts = served(5000, 90);
    assert_eq!(counts[0], 80);
    assert_eq!(counts[1] + counts[2], 10);
}
