//! A stream whose channel to its worker is reset, and whose resumption another worker answers with
//! a failure.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::entry::{Entry, Ports, free_address};
use crate::http::{self, Message, ReadError};
use crate::worker::{self, Proxy};
use crate::{Case, HOST, KEY, Record, Verdict, connect, loopback};

/// Number of requests, one after the other.
const REQUESTS: u64 = 12;

/// Number of events in a stream, and the event after which its channel is reset.
const EVENTS: u64 = 6;
const RESET_AFTER: u64 = 3;

const GAP: Duration = Duration::from_millis(30);

pub fn run(case: &Case) -> Verdict {
    case.publish(
        &format!(
            "{{\"name\":\"r\",\"host\":\"{HOST}\",\"path_prefix\":\"/check/\",\
             \"route_type\":\"streaming\",\"stream_resume\":true,\"timeout_ms\":4000,\
             \"target_latency_ms\":1000,\"gap_aim_ms\":1000,\"priority\":0,\"max_attempts\":2,\
             \"service\":\"assist\",\"public\":false}}"
        ),
        "{\"name\":\"assist\",\"health_path\":\"/health\",\"max_connections\":100}",
    );
    for host in 50..54 {
        start_worker(case, host);
    }
    let entry = Entry::start(
        "front-1",
        Ports::find(loopback(1)),
        case.platform,
        &case.folder,
    );
    if !entry.wait_ready(Duration::from_secs(20)) {
        return Verdict::Unable("the entry is not ready");
    }
    // The registrations are read after the document.
    std::thread::sleep(Duration::from_secs(1));
    let mut whole = 0;
    let mut broken = 0;
    for number in 0..REQUESTS {
        match send(entry.ports.front, number, &case.record) {
            Some(true) => whole += 1,
            Some(false) => broken += 1,
            None => {}
        }
    }
    case.record.write(&format!(
        "whole streams: {whole}; answers that are none: {broken}"
    ));
    if broken > 0 {
        Verdict::Broken
    } else if case.trouble || whole == REQUESTS {
        Verdict::Held
    } else {
        Verdict::Unable("streams are not whole without the disruption")
    }
}

/// Starts a worker behind a proxy, which resets the channel of each stream that begins there. A
/// stream that is resumed there fails with status 500.
fn start_worker(case: &Case, host: u8) {
    let (listen, proxied) = (free_address(loopback(host)), free_address(loopback(host)));
    let proxy = Proxy::start(proxied, listen);
    let name = format!("i-{host}");
    worker::register(case.store.clone(), name.clone(), "assist", 16, proxied);
    let (record, trouble) = (case.record.clone(), case.trouble);
    let answer = move |request: &Message, stream: &mut TcpStream| {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        record.write(&format!("{name} runs {id}, last event {last:?}"));
        if trouble && last.is_some() {
            let headers = format!("X-Attempt-Id: {id}\r\nX-Response-Seal: seal-{name}-{id}\r\n");
            record.write(&format!("{name} answers {id} with 500 and its MAC"));
            let answer = http::answer(500, &headers, b"the run failed");
            return stream.write_all(&answer).is_ok();
        }
        let mut sent = stream.write_all(worker::stream_head(id, &name).as_bytes());
        for event in last.unwrap_or(0) + 1..=EVENTS {
            std::thread::sleep(GAP);
            sent = sent.and_then(|()| stream.write_all(worker::event(id, event).as_bytes()));
            if trouble && event == RESET_AFTER {
                std::thread::sleep(GAP);
                record.write(&format!("the channel of {id} to {name} is reset"));
                proxy.reset();
                return false;
            }
        }
        sent.and_then(|()| stream.write_all(b"0\r\n\r\n")).is_ok()
    };
    worker::serve(listen, Arc::new(answer));
}

/// Sends a request on a channel of its own. Returns whether the answer was whole, or `None` if it
/// ended early; `Some(false)` for bytes that are no answer.
fn send(entry: SocketAddr, number: u64, record: &Record) -> Option<bool> {
    let id = format!("request-{number}");
    let mut stream = connect(entry, Duration::from_secs(5))?;
    let request = format!(
        "POST /check/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    record.write(&format!("the caller sends {id}"));
    stream.write_all(request.as_bytes()).ok()?;
    match http::read_message(&mut stream, &mut Vec::new()) {
        Ok(answer) => {
            let events = String::from_utf8_lossy(&answer.body)
                .matches("id: ")
                .count() as u64;
            let status = answer.status();
            record.write(&format!("{id} gets {status} with {events} events, whole"));
            Some(status == 200 && events == EVENTS)
        }
        Err(ReadError::Closed) => {
            record.write(&format!("{id} gets no answer"));
            None
        }
        Err(ReadError::Cut(answer, error)) => {
            record.write(&format!("{id} gets {}, cut: {error}", answer.start));
            None
        }
        Err(ReadError::Invalid(answer, bytes)) => {
            let (start, body) = (&answer.start, String::from_utf8_lossy(&answer.body));
            record.write(&format!(
                "{id} gets {start}, then {body:?}, then no chunk: {bytes:?}"
            ));
            Some(false)
        }
    }
}
