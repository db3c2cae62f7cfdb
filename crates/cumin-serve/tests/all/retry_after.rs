//! Endpoints that reject a request with 503 and the time for which they want nothing.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use actix_http::header::HttpDate;
use futures_util::future::join_all;
use tokio::time::{Instant, sleep, sleep_until};

use crate::support::{Endpoint, Entry, Step, answer, run};

/// Time after the answer in which requests may still arrive.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Writes a rejection with a `Retry-After` header.
fn rejection(value: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 503 X\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nRetry-After: {value}\r\n\
         Content-Length: 0\r\n\r\n"
    ))
}

/// Starts an endpoint that rejects its first request, and an entry that has sent it.
async fn rejected(value: &str, later: Vec<Step>) -> (Endpoint, Rc<Entry>, Instant) {
    let endpoint = Endpoint::start(vec![vec![rejection(value)], later]).await;
    let entry = Rc::new(Entry::start(&[&endpoint], &[]).await);
    entry.call("GET", "/safe/x", "", "").await;
    (endpoint, entry, Instant::now())
}

fn retry_after(answer: &str) -> f64 {
    let lower = answer.to_ascii_lowercase();
    let line = lower.lines().find(|line| line.starts_with("retry-after:"));
    let value = line.and_then(|line| line.split_once(':')?.1.trim().parse().ok());
    value.unwrap_or(f64::NAN)
}

/// An endpoint that wanted nothing for a while got all requests of its callers meanwhile.
#[test]
fn nothing_sent() {
    run(async {
        let (endpoint, entry, stated) = rejected("2", vec![answer(200, "x")]).await;
        let end = stated + Duration::from_secs(2);
        let (mut calls, mut before) = (Vec::new(), None);
        while Instant::now() < end + Duration::from_secs(1) {
            if before.is_none() && Instant::now() > stated + ON_THE_WAY {
                before = Some(endpoint.count());
            }
            if Instant::now() < end - Duration::from_millis(50) {
                assert!(endpoint.count() <= before.unwrap_or(usize::MAX - 2).saturating_add(2));
            }
            let entry = entry.clone();
            calls.push(actix_rt::spawn(async move {
                let sent = Instant::now();
                (sent, entry.call("GET", "/safe/x", "", "").await)
            }));
            sleep(Duration::from_millis(5)).await;
        }
        let (mut refused, mut served, mut last_refused) = (0, 0, stated);
        for call in calls {
            let (sent, got) = call.await.unwrap();
            if got.starts_with("HTTP/1.1 200") {
                served += 1;
                continue;
            }
            assert!(got.starts_with("HTTP/1.1 503"), "{got}");
            (refused, last_refused) = (refused + 1, sent);
            let left = end.saturating_duration_since(sent).as_secs_f64();
            let told = retry_after(&got);
            assert!(told > left - 0.2 && told < left + 0.7, "{told} for {left}");
        }
        println!("{refused} refused, {served} served");
        assert!(refused > 100 && served > 50, "{refused} {served}");
        assert!(last_refused < end + Duration::from_millis(500));
    });
}

/// Requests go elsewhere at once, and only there.
#[test]
fn others_used() {
    run(async {
        let waiting = Endpoint::start(vec![vec![rejection("1.5")], vec![answer(200, "x")]]).await;
        let other = Endpoint::start(vec![vec![answer(200, "x")]]).await;
        let entry = Entry::start(&[&waiting, &other], &[]).await;
        while waiting.count() == 0 {
            let calls = (0..10).map(|_| entry.call("GET", "/safe/x", "", ""));
            join_all(calls).await;
        }
        let end = Instant::now() + Duration::from_millis(1300);
        let before = waiting.count();
        while Instant::now() < end {
            let calls = (0..10).map(|_| entry.call("GET", "/safe/x", "", ""));
            for got in join_all(calls).await {
                assert!(got.starts_with("HTTP/1.1 200"), "{got}");
            }
        }
        assert_eq!(waiting.count(), before);
    });
}

/// At the end of the time two requests try first, and the rest follows when they are answered.
#[test]
fn two_first() {
    run(async {
        let later = vec![Step::Wait(300), answer(200, "x")];
        let (endpoint, entry, stated) = rejected("1", later).await;
        sleep_until(stated + Duration::from_millis(1050)).await;
        let callers = entry.clone();
        let calls = actix_rt::spawn(async move {
            join_all((0..20).map(|_| callers.call("GET", "/safe/x", "", ""))).await
        });
        sleep(Duration::from_millis(200)).await;
        assert_eq!(endpoint.count(), 1 + 2);
        calls.await.unwrap();
        let calls = (0..10).map(|_| entry.call("GET", "/safe/x", "", ""));
        for got in join_all(calls).await {
            assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        }
    });
}

/// Values that are no time from above zero leave the endpoint in use.
#[test]
fn other_values() {
    run(async {
        let long = "x".repeat(3000);
        let past = HttpDate::from(SystemTime::now() - Duration::from_mins(1)).to_string();
        let values = ["0", "-1", "", "NaN", "inf", "soon", "0x10", &long, &past];
        let checks = values.into_iter().map(|value| async move {
            let (_endpoint, entry, _) = rejected(value, vec![answer(200, "x")]).await;
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert!(got.starts_with("HTTP/1.1 200"), "{value}: {got}");
        });
        join_all(checks).await;
    });
}

/// A date and a time that is longer than any test are obeyed.
#[test]
fn dates_and_long_times() {
    run(async {
        let date = HttpDate::from(SystemTime::now() + Duration::from_secs(30)).to_string();
        let values = [date.as_str(), "1e308", "99999999999999999999999"];
        let checks = values.into_iter().map(|value| async move {
            let (endpoint, entry, _) = rejected(value, vec![answer(200, "x")]).await;
            sleep(Duration::from_secs(1)).await;
            let got = entry.call("GET", "/safe/x", "", "").await;
            assert!(got.starts_with("HTTP/1.1 503"), "{value}: {got}");
            assert_eq!(endpoint.count(), 1);
        });
        join_all(checks).await;
    });
}
