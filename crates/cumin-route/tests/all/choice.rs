//! The terms and rules that decide between endpoints.

use cumin_route::policy::{Baseline, Strategy};
use cumin_route::{EndpointInfo, Finish, Policy, Query, Rates, Router, RouterOptions};
use cumin_types::{Cost, Millis};
use cumin_wire::engine::Load;

use crate::setup::{dispatch, document, endpoint, query, rng};

fn pair(left: EndpointInfo, right: EndpointInfo, options: RouterOptions) -> Router {
    let mut router = Router::new(options);
    router.upsert(left);
    router.upsert(right);
    router
}

/// Returns the endpoint chosen, and fails unless 21 choices agree; a random choice would differ.
fn stable_choice(router: &mut Router, query: &Query, now: Millis) -> String {
    let mut rng = rng();
    let mut choose = || router.choose(query, now, &mut rng).unwrap();
    let first = choose().endpoint().to_string();
    for _ in 0..20 {
        assert_eq!(choose().endpoint().as_str(), first);
    }
    first
}

/// Guards against sending a prompt to an endpoint that caches nothing of it.
#[test]
fn cache_wins() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let query = query(document(1, 100));
    router.record_sent(&"b".into(), &dispatch(1, &query), Millis(0));
    assert_eq!(stable_choice(&mut router, &query, Millis(5000)), "b");
    let choice = router.choose(&query, Millis(5000), &mut rng()).unwrap();
    assert_eq!(choice.cached_tokens(), 1600);
}

/// Guards against preferring a cached prefix when the wait costs more than the prefill.
#[test]
fn queue_outweighs() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let query = query(document(1, 10));
    router.record_sent(&"b".into(), &dispatch(1, &query), Millis(0));
    let load = Load {
        seq: 1,
        backlog_tokens: 80_000,
        slots: 8,
        ..Load::default()
    };
    router.record_load(&"b".into(), &load, Millis(1000));
    assert_eq!(stable_choice(&mut router, &query, Millis(1000)), "a");
    // The prefill of the backlog takes 10 s; without a new report the backlog ages.
    assert_eq!(stable_choice(&mut router, &query, Millis(12_000)), "b");
}

/// Guards against sending all requests between two load reports to one endpoint.
#[test]
fn own_counts() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let (mut rng, mut counts) = (rng(), [0, 0]);
    for number in 0..40 {
        let query = query(document(number, 50));
        let choice = router.choose(&query, Millis(10), &mut rng).unwrap();
        let name = choice.endpoint().clone();
        counts[usize::from(name.as_str() == "b")] += 1;
        router.record_sent(&name, &dispatch(u128::from(number), &query), Millis(10));
    }
    assert_eq!(counts, [20, 20]);
}

/// Guards against a late load report that replaces a newer one.
#[test]
fn late_report() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let load = |seq, backlog| Load {
        seq,
        backlog_tokens: backlog,
        slots: 8,
        ..Load::default()
    };
    router.record_load(&"a".into(), &load(2, 0), Millis(100));
    router.record_load(&"a".into(), &load(1, 90_000), Millis(110));
    router.record_load(&"b".into(), &load(1, 20_000), Millis(110));
    assert_eq!(
        stable_choice(&mut router, &query(Vec::new()), Millis(110)),
        "a"
    );
}

/// Guards against choosing an endpoint without free slots because its prefill queue is empty.
#[test]
fn slots_full() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let load = Load {
        seq: 1,
        running: 8,
        slots: 8,
        ..Load::default()
    };
    router.record_load(&"a".into(), &load, Millis(100));
    assert_eq!(
        stable_choice(&mut router, &query(Vec::new()), Millis(100)),
        "b"
    );
}

/// Guards against a price weight without effect.
#[test]
fn price_weight() {
    let expensive = EndpointInfo {
        price: Cost(6.0),
        ..endpoint("a")
    };
    let mut router = pair(expensive, endpoint("b"), RouterOptions::default());
    let query = query(document(1, 100));
    assert_eq!(stable_choice(&mut router, &query, Millis(0)), "b");
    // A wait of 500 ms outweighs the price at a low weight, not at a high one.
    let load = Load {
        seq: 1,
        backlog_tokens: 4000,
        slots: 8,
        ..Load::default()
    };
    router.record_load(&"b".into(), &load, Millis(200));
    router.set_weights(0.1, 1.0);
    assert_eq!(stable_choice(&mut router, &query, Millis(0)), "a");
    router.set_weights(10.0, 1.0);
    assert_eq!(stable_choice(&mut router, &query, Millis(0)), "b");
}

/// Guards against a long request at an endpoint that is expected to be reclaimed before it ends.
#[test]
fn short_life() {
    let short = EndpointInfo {
        life: Some(Millis(60_000)),
        price: Cost(0.1),
        ..endpoint("a")
    };
    let mut router = pair(short, endpoint("b"), RouterOptions::default());
    let long = Query {
        output_tokens: 4000,
        ..query(document(1, 10))
    };
    let brief = Query {
        output_tokens: 10,
        ..query(document(2, 1))
    };
    assert_eq!(stable_choice(&mut router, &long, Millis(0)), "b");
    assert_eq!(stable_choice(&mut router, &brief, Millis(0)), "a");
    router.mark_leaving(&"b".into(), Millis(1));
    assert_eq!(stable_choice(&mut router, &long, Millis(0)), "a");
}

/// Guards against choosing a cheap endpoint when only the expensive one meets the deadline.
#[test]
fn deadline_first() {
    let slow = EndpointInfo {
        price: Cost(0.01),
        ..endpoint("a")
    };
    let mut router = pair(slow, endpoint("b"), RouterOptions::default());
    let rates = Rates {
        decode: 10.0,
        ..Rates::default()
    };
    for _ in 0..40 {
        router.record_rates(&"a".into(), &rates, Millis(0));
    }
    let query = Query {
        deadline: Some(Millis(5000)),
        ..query(document(1, 10))
    };
    router.set_weights(100.0, 1.0);
    assert_eq!(stable_choice(&mut router, &query, Millis(0)), "b");
}

/// Guards against sending all calls of a plain service to one endpoint.
#[test]
fn plain_spread() {
    let plain = |name: &str| EndpointInfo {
        service: "wertung".into(),
        models: Vec::new(),
        ..endpoint(name)
    };
    let mut router = pair(plain("a"), plain("b"), RouterOptions::default());
    let (mut rng, mut counts) = (rng(), [0, 0]);
    let query = Query::plain("wertung".into());
    for number in 0..10 {
        let choice = router.choose(&query, Millis(0), &mut rng).unwrap();
        let name = choice.endpoint().clone();
        counts[usize::from(name.as_str() == "b")] += 1;
        router.record_sent(&name, &dispatch(number, &query), Millis(0));
    }
    assert_eq!(counts, [5, 5]);
}

/// Guards against a late listing that makes a leaving endpoint eligible again.
#[test]
fn leaving_final() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    router.mark_leaving(&"a".into(), Millis(10));
    router.mark_leaving(&"c".into(), Millis(10));
    router.remove(&"a".into());
    for name in ["a", "c"] {
        router.upsert(endpoint(name));
    }
    assert_eq!(
        stable_choice(&mut router, &query(Vec::new()), Millis(99)),
        "b"
    );
}

/// Guards against counting the cache of the previous process after an engine restart.
#[test]
fn new_address() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let query = query(document(1, 20));
    router.record_sent(&"a".into(), &dispatch(1, &query), Millis(0));
    router.record_finished(
        &"a".into(),
        dispatch(1, &query).attempt,
        Finish::Ran,
        Millis(9),
    );
    router.upsert(EndpointInfo {
        address: "127.0.0.1:9999".parse().unwrap(),
        ..endpoint("a")
    });
    assert!(router.cached_tokens(&query.blocks).is_empty());
}

/// Guards against an error that does not tell why no endpoint was chosen.
#[test]
fn no_endpoint() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    router.upsert(EndpointInfo {
        models: vec!["other".into()],
        ..endpoint("c")
    });
    router.mark_leaving(&"a".into(), Millis(1));
    let query = Query {
        exclude: vec!["b".into()],
        ..query(Vec::new())
    };
    let error = router.choose(&query, Millis(0), &mut rng()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "no endpoint of service kampfrichter can take the request: known=3 leaving=1 \
         other_model=1 excluded=1"
    );
}

/// Guards against subtracting an endpoint that is excluded twice from the eligible ones twice; a
/// fault that the tests in `machine` found.
#[test]
fn excluded_twice() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let query = Query {
        exclude: vec!["a".into(), "a".into()],
        ..query(Vec::new())
    };
    let choice = router.choose(&query, Millis(0), &mut rng()).unwrap();
    assert_eq!((choice.endpoint().as_str(), choice.eligible), ("b", 1));
}

/// Guards against a log line without the figures behind the choice.
#[test]
fn choice_line() {
    let mut router = pair(endpoint("a"), endpoint("b"), RouterOptions::default());
    let query = query(document(1, 20));
    router.record_sent(&"a".into(), &dispatch(1, &query), Millis(0));
    let choice = router.choose(&query, Millis(5000), &mut rng()).unwrap();
    let line = choice.to_string();
    for part in [
        "policy=estimate",
        "service=kampfrichter",
        "endpoint=a",
        "cached=320",
        "prefill_ms=0.0",
        "eligible=2",
        "others=b:",
    ] {
        assert!(line.contains(part), "{part} is not in {line}");
    }
}

/// Guards against baselines that choose excluded, leaving or removed endpoints and so cannot be
/// compared with the router.
#[test]
fn baselines_obey() {
    for strategy in [
        Strategy::RoundRobin,
        Strategy::LeastLoaded,
        Strategy::PrefixHash(8),
    ] {
        let mut policy: Box<dyn Policy> =
            Box::new(Baseline::new(strategy, RouterOptions::default()));
        for name in ["a", "b", "c", "d"] {
            policy.upsert(endpoint(name));
        }
        policy.mark_leaving(&"a".into(), Millis(1));
        policy.remove(&"b".into());
        let query = Query {
            exclude: vec!["c".into()],
            ..query(document(1, 4))
        };
        for _ in 0..10 {
            let choice = policy.choose(&query, Millis(0), &mut rng()).unwrap();
            assert_eq!(choice.endpoint().as_str(), "d", "{}", policy.name());
        }
    }
}
