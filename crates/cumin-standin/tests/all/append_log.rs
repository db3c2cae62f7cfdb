use std::time::Duration;

use actix_http::StatusCode;
use cumin_standin::Outage;
use cumin_standin::log::{Log, Options};
use cumin_wire::log::{Appended, Records};
use serde_json::json;

use crate::calls::{call, ok, status, until};

const APPEND: &str = "/v1/streams/record/3/append";

fn log(change: impl FnOnce(&mut Options)) -> Log {
    let mut options = Options::default();
    change(&mut options);
    Log::start(options).expect("a free port")
}

async fn read(log: &Log, query: &str) -> Records {
    let path = format!("/v1/streams/record/3/records?{query}");
    ok(log.address(), "GET", &path, ()).await
}

/// Guards against offsets that change or repeat after old records are deleted.
#[actix_rt::test]
async fn offsets_outlive_retention() {
    let log = log(|_| {});
    for index in 0..5 {
        let at: Appended = ok(log.address(), "POST", APPEND, json!({"n": index})).await;
        assert_eq!(at.offset, index);
    }
    let some = read(&log, "from=1&limit=2").await;
    assert_eq!((some.first, some.next), (0, 5));
    let bodies: Vec<_> = some.records.iter().map(|record| &record.body).collect();
    assert_eq!(bodies, [&json!({"n": 1}), &json!({"n": 2})]);
    log.expire("record/3", 3);
    let left = read(&log, "from=0").await;
    assert_eq!((left.first, left.next, left.records[0].offset), (3, 5, 3));
    log.expire("record/3", 9);
    let empty = read(&log, "from=0").await;
    assert_eq!((empty.first, empty.next, empty.records.len()), (5, 5, 0));
    assert_eq!(log.append("record/3", json!(1)), 5);
    assert_eq!(log.records("record/3").len(), 1);
    assert!(log.records("other").is_empty());
    let bad = call(log.address(), "POST", "/v1/streams//append", &[], 1).await;
    assert_eq!(bad.expect("an answer").0, StatusCode::NOT_FOUND);
    assert_eq!((log.stats().appends, log.stats().bytes), (5, 5 * 7));
}

/// Guards against records that are kept beyond the retention.
#[actix_rt::test]
async fn records_age() {
    let log = log(|options| options.retention = Duration::from_millis(400));
    log.append("record/3", json!(1));
    assert_eq!(read(&log, "").await.records.len(), 1);
    actix_rt::time::sleep(Duration::from_millis(450)).await;
    log.append("record/3", json!(2));
    let left = read(&log, "").await;
    assert_eq!((left.first, left.records.len()), (1, 1));
}

/// Guards against an append rate that is not enforced.
#[actix_rt::test]
async fn appends_are_limited() {
    let log = log(|options| options.append_rate = 3);
    let mut limited = 0;
    for _ in 0..5 {
        let got = status(log.address(), "POST", APPEND, 1).await;
        limited += u64::from(got == StatusCode::TOO_MANY_REQUESTS);
    }
    assert_eq!((limited, log.stats().limited), (2, 2));
    assert_eq!(log.records("record/3").len(), 3);
    actix_rt::time::sleep(Duration::from_millis(1010)).await;
    let again = status(log.address(), "POST", APPEND, 1).await;
    assert_eq!(again, StatusCode::OK);
}

/// Guards against a lost answer whose append has no effect, and an outage during which one has.
#[actix_rt::test]
async fn lost_answers_and_outages() {
    let log = log(|options| options.seed = 3);
    log.fault(|faults| faults.lost_answers = 1);
    assert!(call(log.address(), "POST", APPEND, &[], 1).await.is_none());
    assert_eq!(log.records("record/3").len(), 1);
    log.fault(|faults| faults.loss_rate = 0.5);
    let mut lost = 0;
    for _ in 0..20 {
        lost += u64::from(call(log.address(), "POST", APPEND, &[], 1).await.is_none());
    }
    assert!((1..20).contains(&lost) && log.stats().lost == lost + 1);
    assert_eq!(log.records("record/3").len(), 21);
    log.fault(|faults| faults.outage = Some(Outage::Unavailable));
    let down = status(log.address(), "POST", APPEND, 1).await;
    assert_eq!(down, StatusCode::SERVICE_UNAVAILABLE);
    log.fault(|faults| faults.outage = Some(Outage::Hang));
    let limit = Duration::from_millis(50);
    let hung = call(log.address(), "POST", APPEND, &[], 1);
    assert!(actix_rt::time::timeout(limit, hung).await.is_err());
    log.crash();
    log.fault(|faults| faults.outage = None);
    assert!(call(log.address(), "POST", APPEND, &[], 1).await.is_none());
    log.restart().await.expect("the same port");
    assert_eq!(read(&log, "").await.next, 21);
    // The client stops waiting, and the append takes effect later.
    log.fault(|faults| (faults.effect_delay, faults.loss_rate) = (limit * 8, 0.0));
    let gone = call(log.address(), "POST", APPEND, &[], 1);
    assert!(actix_rt::time::timeout(limit, gone).await.is_err());
    assert_eq!(log.records("record/3").len(), 21);
    until(async || log.records("record/3").len() == 22).await;
    log.fault(|faults| (faults.effect_delay, faults.answer_delay) = (Duration::ZERO, limit * 8));
    let late = call(log.address(), "POST", APPEND, &[], 1);
    assert!(actix_rt::time::timeout(limit * 4, late).await.is_err());
    assert_eq!(log.records("record/3").len(), 23);
}
