//! Endpoints that answer 503 with `Retry-After`, which want nothing from the node for that time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use actix_http::header::HttpDate;
use actix_rt::time::sleep;
use cumin_testbed::{Options, Testbed};
use cumin_types::Outcome;
use cumin_wire::cloud::Kind;
use futures_util::future::join_all;

use crate::engine_answers;
use crate::scripted::{Script, Scripted, Step, answer, answer_with, chunk, chunked_head};
use crate::support::{KEY, bare_desk, booking, call, chat, document, metric, quote, testbed};

/// Times at which requests reached an endpoint.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

/// Returns a script that answers the first request with 503 and `wait`, and the others with 200.
fn waiting_once(wait: &str) -> (Script, Arrivals) {
    let arrivals = Arrivals::default();
    let (seen, wait) = (Rc::clone(&arrivals), wait.to_owned());
    let script: Script = Rc::new(move |_, count| {
        seen.borrow_mut().push(Instant::now());
        vec![Step::Send(match count {
            0 => answer_with(503, ("Retry-After", &wait), "later"),
            _ => answer(200, "quoted"),
        })]
    });
    (script, arrivals)
}

fn desk(bed: &Testbed, script: Script) -> Scripted {
    let service = Scripted::start(script);
    service.register(bed, Kind::Plain, "oven-desk", "hamilton");
    service
}

fn sound() -> Script {
    Rc::new(|_, _| vec![Step::Send(answer(200, "quoted"))])
}

/// Returns the time from the first request to the second.
fn pause(arrivals: &Arrivals) -> Duration {
    let arrivals = arrivals.borrow();
    assert!(arrivals.len() > 1, "the endpoint is used again");
    arrivals[1].duration_since(arrivals[0])
}

/// Guards against calls to a plain service that wants nothing: their first attempts and retries go
/// to the other endpoint, and come back after the time.
#[actix_rt::test]
async fn plain_service() {
    let bed = bare_desk(Options::default()).await;
    let (script, arrivals) = waiting_once("1.5");
    let _waiting = desk(&bed, script);
    let _other = desk(&bed, sound());
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(4) {
        let quoted = call(&bed, &quote(number)).await;
        assert_eq!(quoted.status, 200, "{quoted:?}");
        number += 1;
        sleep(Duration::from_millis(10)).await;
    }
    assert!(pause(&arrivals) >= Duration::from_millis(1500));
}

/// Guards against completions that are sent to an engine that wants nothing, and against a date
/// that is not understood.
#[actix_rt::test]
async fn engine_date() {
    let options = Options {
        node_count: 1,
        engine_count: Some(2),
        ..Options::default()
    };
    let bed = testbed(options).await;
    let document = document();
    let name = document.service_of_model(&"crumb-8b".into());
    let name = name.expect("a service").0.as_str();
    let arrivals = Arrivals::default();
    let seen = Rc::clone(&arrivals);
    let script: Script = Rc::new(move |_, _| {
        seen.borrow_mut().push(Instant::now());
        let date = HttpDate::from(SystemTime::now() + Duration::from_secs(4)).to_string();
        vec![Step::Send(answer_with(503, ("retry-after", &date), "{}"))]
    });
    let engine = Scripted::start(script);
    engine.register(&bed, Kind::Engine, name, "hamilton");
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(3) {
        let streamed = bed
            .client(KEY)
            .chat(&chat(&format!("rye {number}"), 4))
            .await;
        let streamed = streamed.expect("an answer of the entry");
        assert_eq!(streamed.outcome, Some(Outcome::Done));
        number += 1;
    }
    // The date has whole seconds, so the wait is more than 3 s.
    assert_eq!(arrivals.borrow().len(), 1, "of {number} requests");
}

/// Guards against callers that wait for, or reach, a service whose endpoints all want nothing.
#[actix_rt::test]
async fn all_waiting() {
    let bed = bare_desk(Options::default()).await;
    let script: Script = Rc::new(|_, count| {
        let wait = if count == 0 { "5" } else { "30" };
        vec![Step::Send(answer_with(503, ("retry-after", wait), "later"))]
    });
    let first = desk(&bed, Rc::clone(&script));
    let second = desk(&bed, script);
    let started = Instant::now();
    let quoted = call(&bed, &quote(0)).await;
    assert_eq!(quoted.status, 503, "{quoted:?}");
    for made in [quote(1), booking(), quote(2)] {
        let refused = call(&bed, &made).await;
        assert_eq!(refused.outcome, Some(Outcome::NotRun), "{refused:?}");
        assert_eq!(refused.status, 503, "{refused:?}");
        let wait = refused.retry_after.expect("a time");
        assert!((3..=5).contains(&wait.as_secs()), "{wait:?}");
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(metric(&bed, "endpoints_waiting").await, 2);
    assert_eq!(first.requests.borrow().len(), 1);
    assert_eq!(second.requests.borrow().len(), 1);
}

/// Guards against a call that was turned away before it started, and is not reported as not run.
#[actix_rt::test]
async fn turned_away() {
    let bed = bare_desk(Options::default()).await;
    let script: Script = Rc::new(|_, _| {
        let refusal = answer_with(503, ("retry-after", "5"), "later");
        let text = String::from_utf8(refusal).expect("text");
        let text = text.replacen("retry-after", "x-not-started: true\r\nretry-after", 1);
        vec![Step::Send(text.into_bytes())]
    });
    let service = desk(&bed, script);
    for made in [booking(), quote(0)] {
        let refused = call(&bed, &made).await;
        assert_eq!(refused.outcome, Some(Outcome::NotRun), "{refused:?}");
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.retry_after.is_some(), "{refused:?}");
    }
    assert_eq!(service.requests.borrow().len(), 1);
}

/// Guards against a stream that is truncated since the only engine that could resume it asked to
/// wait, and against a resumption within that time.
#[actix_rt::test]
async fn stream_held() {
    let arrivals = Arrivals::default();
    let seen = Rc::clone(&arrivals);
    let script: Script = Rc::new(move |request, count| {
        seen.borrow_mut().push(Instant::now());
        let (from, prompt) = engine_answers::asked(request);
        match count {
            0 => {
                let events = chunk(&engine_answers::tokens(&prompt, from, 2));
                vec![Step::Send([chunked_head(), events].concat()), Step::Close]
            }
            1 => vec![Step::Send(answer_with(503, ("retry-after", "1"), "{}"))],
            _ => vec![Step::Send(engine_answers::rest(request))],
        }
    });
    let (bed, _engine) = engine_answers::scripted(script).await;
    let streamed = engine_answers::stream(&bed, "rye").await;
    assert_eq!(streamed.outcome, Some(Outcome::Done));
    assert_eq!(streamed.tokens, engine_answers::expected("rye"));
    let arrivals = arrivals.borrow();
    assert_eq!(arrivals.len(), 3);
    let pause = arrivals[2].duration_since(arrivals[1]);
    assert!(pause >= Duration::from_secs(1), "{pause:?}");
}

/// Guards against values that are no time, or not above zero, and keep an endpoint out of use.
#[actix_rt::test]
async fn no_time() {
    for value in ["0", "-1", "soon", "NaN", ""] {
        let bed = bare_desk(Options::default()).await;
        let (script, _) = waiting_once(value);
        let _service = desk(&bed, script);
        let quoted = call(&bed, &quote(0)).await;
        assert_eq!(quoted.status, 200, "{value:?}: {quoted:?}");
    }
}

/// Guards against a shorter time that an answer states later and that ends a longer one.
#[actix_rt::test]
async fn never_shortened() {
    let bed = bare_desk(Options::default()).await;
    let arrivals = Arrivals::default();
    let seen = Rc::clone(&arrivals);
    let script: Script = Rc::new(move |_, count| {
        let late = Instant::now();
        seen.borrow_mut().push(late);
        let times = ["2", "0.1", "0.1"];
        vec![Step::Send(match times.get(count) {
            Some(time) => answer_with(503, ("retry-after", time), "later"),
            None => answer(200, "quoted"),
        })]
    });
    let _service = desk(&bed, script);
    let together: Vec<_> = (0..3).map(quote).collect();
    join_all(together.iter().map(|made| call(&bed, made))).await;
    let before = arrivals.borrow().len();
    assert!(before <= 3, "{before} requests");
    let started = arrivals.borrow()[0];
    while started.elapsed() < Duration::from_millis(1800) {
        call(&bed, &quote(9)).await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(arrivals.borrow().len(), before);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(call(&bed, &quote(10)).await.status, 200);
}

/// Guards against a burst at the end of the time: two requests try first, and the others, which
/// are held meanwhile, follow once they are answered.
#[actix_rt::test]
async fn two_first() {
    let bed = bare_desk(Options::default()).await;
    let (script, arrivals) = waiting_once("0.5");
    let slow: Script = Rc::new(move |request, count| {
        let steps = script(request, count);
        let [Step::Send(sent)] = &steps[..] else {
            return steps;
        };
        // The head is complete 5 ms after the request, so that requests overlap.
        let (start, rest) = sent.split_at(16);
        vec![Step::Send(start.to_vec()), Step::Send(rest.to_vec())]
    });
    let service = desk(&bed, slow);
    call(&bed, &quote(0)).await;
    sleep(Duration::from_millis(600)).await;
    let together: Vec<_> = (1..=20).map(quote).collect();
    let started = Instant::now();
    let answers = join_all(together.iter().map(|made| call(&bed, made))).await;
    assert!(
        answers.iter().all(|answer| answer.status == 200),
        "{answers:?}"
    );
    assert!(started.elapsed() < Duration::from_secs(1));
    let arrivals = arrivals.borrow();
    let third = arrivals[3].duration_since(arrivals[1]);
    assert!(third >= Duration::from_millis(5), "{third:?}");
    assert_eq!(service.requests.borrow().len(), 21);
}

/// Guards against a time, however long, that outlives the process which stated it.
#[actix_rt::test]
async fn new_process() {
    let bed = bare_desk(Options::default()).await;
    let (script, _) = waiting_once("1e308");
    let service = desk(&bed, script);
    assert_eq!(call(&bed, &quote(0)).await.status, 503);
    let reserved = service.stop().await;
    sleep(Duration::from_millis(300)).await;
    let service = Scripted::start_on(reserved, sound());
    assert_eq!(call(&bed, &quote(1)).await.status, 200);
    assert_eq!(service.requests.borrow().len(), 1);
}
