use std::time::Duration;

use actix_http::StatusCode;
use cumin_standin::service::{Done, Looked, Options, Service};

use crate::calls::{call, ok, status, until};

const PATH: &str = "/ovens/3/slots";

fn service(honour_keys: bool) -> Service {
    let options = Options {
        honour_keys,
        ..Options::default()
    };
    Service::start(options).expect("a free port")
}

async fn book(service: &Service, key: &str) -> Option<Done> {
    let key = [("idempotency-key", key)];
    let (status, text) = call(service.address(), "POST", PATH, &key, "9:00").await?;
    assert_eq!(status, StatusCode::OK, "{text}");
    Some(serde_json::from_str(&text).expect("the effect"))
}

/// Guards against a repeated effect that is not counted, and an honoured key that has one.
#[actix_rt::test]
async fn effects_are_counted() {
    for (honour, effects) in [(true, 1), (false, 2)] {
        let service = service(honour);
        let first = book(&service, "k").await.expect("booked");
        let second = book(&service, "k").await.expect("booked");
        assert_eq!(first == second, honour);
        let stats = service.stats();
        assert_eq!((stats.effects, stats.by_key["k"]), (effects, effects));
        assert_eq!(stats.by_call.values().sum::<u64>(), effects);
        let looked: Looked = ok(service.address(), "GET", "/ovens/3", ()).await;
        assert_eq!((looked.taken, &*looked.slots[0]), (effects, "\"9:00\""));
        let other: Looked = ok(service.address(), "GET", "/ovens/30", ()).await;
        assert_eq!(other.taken, 0);
    }
}

/// Guards against faults that act before the effect instead of after it, or the reverse.
#[actix_rt::test]
async fn faults_around_effect() {
    let service = service(true);
    service.fault(|faults| faults.refusals = 1);
    let refused = call(service.address(), "POST", PATH, &[], "9:00").await;
    let (refused, _) = refused.expect("an answer");
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(service.stats().effects, 0);
    service.fault(|faults| faults.lost_answers = 1);
    assert_eq!(book(&service, "k").await, None);
    assert_eq!((service.stats().effects, service.stats().lost), (1, 1));
    let same = book(&service, "k").await.expect("the same effect");
    assert_eq!(same.effect, 1);
    service.fault(|faults| faults.failures = 1);
    let failed = status(service.address(), "PUT", PATH, "10:00").await;
    assert_eq!(failed, StatusCode::INTERNAL_SERVER_ERROR);
    service.fault(|faults| faults.hang = true);
    let limit = Duration::from_millis(100);
    let hung = actix_rt::time::timeout(limit, book(&service, "h")).await;
    assert!(hung.is_err() && service.stats().effects == 2);
    service.fault(|faults| (faults.hang, faults.hang_after) = (false, true));
    let hung = actix_rt::time::timeout(limit, book(&service, "h")).await;
    assert!(hung.is_err() && service.stats().effects == 3);
}

/// Guards against a delayed effect that a client's time-out prevents, or that a crash does not
/// prevent.
#[actix_rt::test]
async fn slow_effects_and_crashes() {
    let service = service(false);
    let slow = Duration::from_millis(400);
    for (crash, effects) in [(false, 1), (true, 1)] {
        service.fault(|faults| faults.effect_delay = slow);
        let gone = actix_rt::time::timeout(slow / 4, book(&service, "k")).await;
        assert!(gone.is_err());
        if crash {
            service.crash();
            actix_rt::time::sleep(slow).await;
        }
        until(async || service.stats().effects == effects).await;
    }
    assert_eq!(book(&service, "k").await, None);
    service.restart().await.expect("the same port");
    service.fault(|faults| faults.poison = Some("9:00".into()));
    assert_eq!(book(&service, "k").await, None);
    assert_eq!(service.stats().effects, 1);
}
