use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use cumin_standin::cloud::{Cloud, Options};
use cumin_standin::engine::{self, Engine};
use cumin_wire::cloud::{Instance, Instances, Kind, Market, Notices, Offer, State};
use serde_json::json;

use crate::calls::{call, ok, status, until};

const PATH: &str = "/v1/instances";

fn offer(id: &str, market: Market) -> Offer {
    Offer {
        id: id.into(),
        place: "graz-a".into(),
        class: "small".into(),
        market,
        price: 1.5,
    }
}

fn cloud(change: impl FnOnce(&mut Options)) -> Rc<Cloud> {
    let mut options = Options::default();
    let markets = [("spot", Market::Reclaimable), ("kept", Market::OnDemand)];
    options.offers = markets.map(|(id, market)| offer(id, market)).into();
    change(&mut options);
    Rc::new(Cloud::start(options).expect("a free port"))
}

fn body(token: &str, offer: &str) -> serde_json::Value {
    json!({"token": token, "offer": offer, "service": "kampfrichter"})
}

async fn start(cloud: &Cloud, token: &str, offer: &str) -> Instance {
    ok(cloud.address(), "POST", PATH, body(token, offer)).await
}

async fn list(cloud: &Cloud) -> Vec<Instance> {
    let all: Instances = ok(cloud.address(), "GET", PATH, ()).await;
    all.instances
}

/// Guards against a client token that starts two instances, such as after a lost answer.
#[actix_rt::test]
async fn token_starts_one() {
    let cloud = cloud(|_| {});
    cloud.fault(|faults| faults.lost_answers = 1);
    let lost = call(cloud.address(), "POST", PATH, &[], body("t", "spot")).await;
    assert!(lost.is_none());
    let again = start(&cloud, "t", "spot").await;
    assert_eq!((again.state, again.kind), (State::Live, Kind::Engine));
    assert_eq!(list(&cloud).await, std::slice::from_ref(&again));
    let path = format!("{PATH}/{}", again.id);
    for _ in 0..2 {
        let stopped = status(cloud.address(), "DELETE", &path, ()).await;
        assert_eq!(stopped, StatusCode::OK);
    }
    assert_eq!(start(&cloud, "t", "spot").await.state, State::Stopped);
    let stats = cloud.stats();
    assert_eq!((stats.starts, stats.repeats), (1, 2));
    assert_eq!((stats.stops, stats.lost), (1, 1));
}

/// Guards against a refusal that starts an instance.
#[actix_rt::test]
async fn starts_are_refused() {
    let cloud = cloud(|_| {});
    cloud.fault(|faults| faults.refusals = 1);
    for _ in 0..2 {
        let refused = status(cloud.address(), "POST", PATH, body("t", "spot")).await;
        assert_eq!(refused, StatusCode::CONFLICT);
        cloud.fault(|faults| faults.refused_offers = ["spot".into()].into());
    }
    assert!(list(&cloud).await.is_empty());
    assert_eq!(start(&cloud, "t", "kept").await.market, Market::OnDemand);
    let unknown = status(cloud.address(), "POST", PATH, body("u", "none")).await;
    assert_eq!(unknown, StatusCode::NOT_FOUND);
}

/// Guards against a listing that shows a change before the lag has passed.
#[actix_rt::test]
async fn listing_lags() {
    let lag = Duration::from_millis(100);
    let cloud = cloud(|options| options.listing_lag = lag);
    for state in [State::Live, State::Stopped] {
        let began = Instant::now();
        if state == State::Live {
            start(&cloud, "t", "spot").await;
        } else {
            assert!(cloud.kill("i-1") && !cloud.kill("i-1"));
        }
        until(async || list(&cloud).await.first().map(|first| first.state) == Some(state)).await;
        assert!(began.elapsed() >= lag);
    }
}

/// Guards against a reclaim of a place that misses an instance, stops an on-demand one or does not
/// call the hook.
#[actix_rt::test]
async fn place_is_reclaimed() {
    let boot = Duration::from_millis(20);
    let cloud = cloud(|options| options.boot_time = boot);
    let engines = Rc::new(RefCell::new(HashMap::new()));
    let (weak, running) = (Rc::downgrade(&cloud), Rc::clone(&engines));
    cloud.set_hook(Rc::new(move |instance: &Instance| {
        let mut engines = running.borrow_mut();
        if instance.state == State::Live {
            let engine = Engine::start(engine::Options::default()).expect("a free port");
            let cloud = weak.upgrade().expect("the cloud calls");
            cloud.set_address(&instance.id, engine.address());
            engines.insert(instance.id.clone(), engine);
        } else {
            engines.remove(&instance.id);
        }
    }));
    let taken = start(&cloud, "a", "spot").await;
    let kept = start(&cloud, "b", "kept").await;
    assert_eq!((taken.state, taken.address), (State::Starting, None));
    until(async || engines.borrow().len() == 2).await;
    for instance in list(&cloud).await {
        let address = instance.address.as_deref().unwrap_or("none");
        let address = address.parse().expect("ip:port");
        assert_eq!(status(address, "GET", "/health", ()).await, StatusCode::OK);
    }
    let notice = Duration::from_millis(300);
    let place = cloud.reclaim_place("graz-a", notice);
    assert_eq!(place, std::slice::from_ref(&taken.id));
    assert!(!cloud.reclaim(&taken.id, notice));
    let path = "/v1/notices?after=0";
    let told: Notices = ok(cloud.address(), "GET", path, ()).await;
    let told = &told.notices[0];
    assert_eq!((told.seq, told.grace_ms), (1, 300));
    assert_eq!(told.instance, taken.id);
    assert!(engines.borrow().contains_key(&taken.id));
    until(async || engines.borrow().len() == 1).await;
    let left: Vec<String> = engines.borrow().keys().cloned().collect();
    assert_eq!(left, [kept.id]);
    let none: Notices = ok(cloud.address(), "GET", "/v1/notices?after=1", ()).await;
    assert!(none.notices.is_empty());
}

/// Guards against registered instances that the listing omits or that can't be reclaimed.
#[actix_rt::test]
async fn registered_instances() {
    let cloud = cloud(|_| {});
    let mut entry = start(&cloud, "t", "spot").await;
    (entry.id, entry.kind, entry.state) = ("n1".into(), Kind::Entry, State::Live);
    cloud.register(entry.clone());
    cloud.register(entry.clone());
    assert_eq!(list(&cloud).await[1..], [entry]);
    assert!(cloud.reclaim("n1", Duration::ZERO));
    assert_eq!(cloud.instances()[1].state, State::Stopped);
}
