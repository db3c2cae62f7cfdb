//! Endpoints that state in their answers that they leave.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use cumin_client::PlainAnswer;
use cumin_testbed::{Options, Testbed};
use cumin_types::{Millis, Outcome};
use cumin_wire::cloud::Kind;

use crate::scripted::{Script, Scripted, Step, answer, answer_with, chunk};
use crate::support::{KEY, bare_desk, call, chat, document, metric, quote, testbed};

/// Time for which a node may use an endpoint that leaves, in these tests.
const LEAVE_TIME: Duration = Duration::from_millis(600);

fn options() -> Options {
    let mut options = Options::default();
    options.node.leave_time = Millis(600);
    // An attempt may be sent this long after its endpoint was chosen.
    options.node.connect_timeout = Duration::from_millis(100);
    options
}

fn desk(bed: &Testbed, script: Script) -> Scripted {
    let service = Scripted::start(script);
    service.register(bed, Kind::Plain, "oven-desk", "hamilton");
    service
}

/// Returns a script whose answers have a status and state that the endpoint leaves.
fn leaving(status: u16, value: &'static str) -> Script {
    Rc::new(move |_, _| {
        vec![Step::Send(answer_with(
            status,
            ("X-Leaving", value),
            "quoted",
        ))]
    })
}

fn sound() -> Script {
    Rc::new(|_, _| vec![Step::Send(answer(200, "quoted"))])
}

async fn call_for(bed: &Testbed, time: Duration) -> Vec<PlainAnswer> {
    let started = Instant::now();
    let mut answers = Vec::new();
    while started.elapsed() < time {
        answers.push(call(bed, &quote(answers.len())).await);
        sleep(Duration::from_millis(10)).await;
    }
    answers
}

/// Guards against an endpoint that leaves and gets requests although another one could take them,
/// whatever the status of the answer that stated it.
#[actix_rt::test]
async fn last_choice() {
    for status in [200, 404, 503] {
        let bed = bare_desk(options()).await;
        let leaving = desk(&bed, leaving(status, "1"));
        let _other = desk(&bed, sound());
        call_for(&bed, Duration::from_secs(1)).await;
        let requests = leaving.requests.borrow().len();
        assert_eq!(requests, 1, "after {status}");
    }
}

/// Guards against a service that stops although its only endpoint may still be used, and against
/// requests to that endpoint after its time, while the cloud lists it as live.
#[actix_rt::test]
async fn only_endpoint() {
    let bed = bare_desk(options()).await;
    let service = desk(&bed, leaving(200, "1"));
    assert_eq!(call(&bed, &quote(0)).await.status, 200);
    let stated = Instant::now();
    while stated.elapsed() < LEAVE_TIME / 4 {
        assert_eq!(call(&bed, &quote(1)).await.status, 200);
    }
    sleep(LEAVE_TIME).await;
    let requests = service.requests.borrow().len();
    assert!(requests > 1);
    let unserved = call(&bed, &quote(2)).await;
    assert_eq!(unserved.outcome, Some(Outcome::NotRun), "{unserved:?}");
    assert_eq!(service.requests.borrow().len(), requests);
}

/// Guards against an endpoint that stays out of use after its process started again.
#[actix_rt::test]
async fn new_process() {
    let bed = bare_desk(options()).await;
    let service = desk(&bed, leaving(200, "1"));
    assert_eq!(call(&bed, &quote(0)).await.status, 200);
    sleep(LEAVE_TIME).await;
    let reserved = service.stop().await;
    sleep(Duration::from_millis(500)).await;
    let service = Scripted::start_on(reserved, sound());
    assert_eq!(call(&bed, &quote(1)).await.status, 200);
    assert_eq!(service.requests.borrow().len(), 1);
}

/// Guards against a statement at the start of a stream that counts only from its end on.
#[actix_rt::test]
async fn stream_head() {
    let options = Options {
        node_count: 1,
        engine_count: Some(2),
        ..options()
    };
    let bed = testbed(options).await;
    let document = document();
    let name = document.service_of_model(&"crumb-8b".into());
    let name = name.expect("a service").0.as_str();
    let script: Script = Rc::new(|_, _| {
        let head = "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\nx-leaving: 1\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let first = r#"{"id":"e","object":"chat.completion.chunk","model":"crumb-8b","choices":[{"index":0,"delta":{"content":"rye "},"finish_reason":null}]}"#;
        let event = chunk(&format!("data: {first}\n\n"));
        // The stream then stalls.
        vec![Step::Send([head.as_bytes(), &event].concat())]
    });
    let engine = Scripted::start(script);
    engine.register(&bed, Kind::Engine, name, "hamilton");
    let started = Instant::now();
    while engine.requests.borrow().is_empty() && started.elapsed() < Duration::from_secs(3) {
        let client = bed.client(KEY);
        actix_rt::spawn(async move { client.chat(&chat("rye", 6)).await.map(drop) });
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(50)).await;
    let before = engine.requests.borrow().len();
    assert!(before > 0);
    for number in 0..40 {
        let client = bed.client(KEY);
        let body = chat(&format!("spelt {number}"), 6);
        actix_rt::spawn(async move { client.chat(&body).await.map(drop) });
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(engine.requests.borrow().len(), before);
}

/// Guards against values other than `1` that take an endpoint out of use.
#[actix_rt::test]
async fn other_values() {
    for value in ["0", "", "yes", "1.0", "NaN"] {
        let bed = bare_desk(options()).await;
        let service = desk(&bed, leaving(200, value));
        assert_eq!(call(&bed, &quote(0)).await.status, 200);
        sleep(LEAVE_TIME + Duration::from_millis(50)).await;
        assert_eq!(call(&bed, &quote(1)).await.status, 200, "{value:?}");
        assert_eq!(service.requests.borrow().len(), 2, "{value:?}");
    }
}

/// Guards against a statement in the answer to a report that does not count, although no request
/// was sent to the endpoint.
#[actix_rt::test]
async fn report_counts() {
    let options = Options {
        node_count: 1,
        engine_count: Some(4),
        ..options()
    };
    let bed = testbed(options).await;
    let serves = |name: &&String| bed.engines[*name].served().model == "crumb-8b";
    let names: Vec<_> = bed.engines.keys().filter(serves).collect();
    assert!(names.len() > 1, "{names:?}");
    let leaving = &bed.engines[names[0]];
    leaving.fault(|faults| faults.leaving = Some("1"));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(metric(&bed, "endpoints_leaving").await, 1);
    for number in 0..20 {
        let made = chat(&format!("spelt {number}"), 6);
        let streamed = bed.client(KEY).chat(&made).await;
        let streamed = streamed.expect("an answer of the entry");
        assert_eq!(streamed.outcome, Some(Outcome::Done));
    }
    assert_eq!(leaving.stats().attempts, 0);
}
