//! Times for which endpoints want nothing from this node.

use cumin_entry::fleet::{Endpoint, Fleet};
use cumin_entry::limits::{AnswerLimit, RateLimits};
use cumin_types::{Millis, NodeName};

use crate::endpoint;

const END: Millis = Millis(3000);

fn limits() -> RateLimits {
    RateLimits::new(NodeName::from("n1"))
}

/// Records that the endpoint wants nothing until a time, as heard at another.
fn state(limits: &mut RateLimits, until: Millis, now: Millis) -> bool {
    limits.wait_stated(&"e1".into(), 1, until, now)
}

/// Returns the time until a request may be sent to the endpoint.
fn left(limits: &mut RateLimits, endpoint: &Endpoint, now: Millis) -> Millis {
    let all = limits.all_waiting([endpoint].into_iter(), now);
    let blocked = limits.blocked([endpoint].into_iter(), now);
    assert_eq!(
        blocked.endpoints.len(),
        usize::from(blocked.wait > Millis(0))
    );
    assert_eq!(all.unwrap_or_default(), blocked.wait);
    blocked.wait
}

/// Requests are held back to the end of the time; a later answer extends it and never shortens it.
#[test]
fn longest_counts() {
    let (mut limits, endpoint) = (limits(), endpoint("e1"));
    assert!(state(&mut limits, END, Millis(1000)));
    assert_eq!(left(&mut limits, &endpoint, Millis(1500)), Millis(1500));
    assert!(!state(&mut limits, Millis(2000), Millis(1500)));
    assert_eq!(left(&mut limits, &endpoint, Millis(2500)), Millis(500));
    assert!(state(&mut limits, Millis(4000), Millis(2000)));
    assert_eq!(left(&mut limits, &endpoint, END), Millis(1000));
    assert_eq!(left(&mut limits, &endpoint, Millis(4000)), Millis(0));
}

/// All requests that waited for the end were sent at once.
#[test]
fn two_first() {
    let (mut limits, endpoint) = (limits(), endpoint("e1"));
    state(&mut limits, END, Millis(1000));
    let name = &endpoint.name;
    for _ in 0..2 {
        assert_eq!(left(&mut limits, &endpoint, END), Millis(0));
        limits.request_sent(name, END);
    }
    assert!(left(&mut limits, &endpoint, END) > Millis(0));
    // The answer to a request that was on its way when the wait was stated says nothing.
    limits.wait_ended(name, 1, Millis(900));
    assert!(left(&mut limits, &endpoint, END) > Millis(0));
    // A request without an answer must not keep the endpoint out of use.
    assert_eq!(left(&mut limits, &endpoint, Millis(3500)), Millis(0));
    limits.wait_ended(name, 1, END);
    for _ in 0..20 {
        assert_eq!(left(&mut limits, &endpoint, Millis(3001)), Millis(0));
        limits.request_sent(name, Millis(3001));
    }
}

/// Another start of the endpoint is not concerned, however long the time.
#[test]
fn restart_ends() {
    let (mut limits, mut endpoint) = (limits(), endpoint("e1"));
    state(&mut limits, Millis(u64::MAX), Millis(1000));
    assert!(left(&mut limits, &endpoint, Millis(1 << 50)) > Millis(0));
    endpoint.started_ms = 2;
    assert_eq!(left(&mut limits, &endpoint, Millis(1001)), Millis(0));
}

/// An endpoint whose registration lapsed and returned wants nothing still.
#[test]
fn lapse_ignored() {
    let (mut limits, endpoint) = (limits(), endpoint("e1"));
    state(&mut limits, Millis(u64::MAX), Millis(1000));
    limits.trim(&Fleet::default(), Millis(100_000));
    assert!(left(&mut limits, &endpoint, Millis(100_001)) > Millis(0));
    limits.trim(&Fleet::default(), Millis(700_000));
    assert_eq!(left(&mut limits, &endpoint, Millis(700_001)), Millis(0));
}

/// The wait of an endpoint with a limit counts too, and the later of both ends.
#[test]
fn limit_and_wait() {
    let (mut limits, endpoint) = (limits(), endpoint("e1"));
    let stated = AnswerLimit {
        endpoint: endpoint.name.clone(),
        started_ms: 1,
        rate: Some(1000.0),
        sent: Millis(900),
    };
    limits.answer_heard(&stated, Millis(1000));
    state(&mut limits, END, Millis(1000));
    let blocked = limits.blocked([&endpoint].into_iter(), Millis(2000));
    assert_eq!((blocked.waiting, blocked.wait), (1, Millis(1000)));
    assert_eq!((limits.count(), limits.waiting(Millis(2000))), (1, 1));
}

/// A service of which only some endpoints want nothing is not refused.
#[test]
fn one_free() {
    let mut limits = limits();
    let (first, second) = (endpoint("e1"), endpoint("e2"));
    state(&mut limits, END, Millis(1000));
    let all = [&first, &second];
    assert_eq!(limits.all_waiting(all.into_iter(), Millis(1000)), None);
    limits.wait_stated(&second.name, 1, Millis(2000), Millis(1000));
    let soonest = limits.all_waiting(all.into_iter(), Millis(1500));
    assert_eq!(soonest, Some(Millis(500)));
    assert_eq!(limits.all_waiting([].into_iter(), Millis(1500)), None);
}

/// All endpoints of a service wanted nothing, and nothing was sent to them meanwhile: a second after
/// the end of their times all requests are sent.
#[test]
fn all_waited() {
    let mut limits = limits();
    let all = ["e1", "e2", "e3"].map(endpoint);
    for endpoint in &all {
        limits.wait_stated(&endpoint.name, 1, END, Millis(1000));
    }
    let mut refused = 0;
    let mut answers = Vec::new();
    for now in (60_000..70_000).step_by(50).map(Millis) {
        for (name, sent, at) in std::mem::take(&mut answers) {
            if at <= now {
                limits.wait_ended(&name, 1, sent);
            } else {
                answers.push((name, sent, at));
            }
        }
        let blocked = limits.blocked(all.iter(), now);
        let free = all.iter().find(|e| !blocked.endpoints.contains(&e.name));
        if let Some(endpoint) = free {
            limits.request_sent(&endpoint.name, now);
            answers.push((endpoint.name.clone(), now, now.plus(300)));
        } else {
            refused += u32::from(now >= Millis(61_000));
        }
    }
    assert_eq!(refused, 0);
}
