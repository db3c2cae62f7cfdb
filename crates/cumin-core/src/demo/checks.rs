//! The checks without a lost engine or node, and the order of all checks.

use std::time::Duration;

use cumin_client::{Client, Error, PlainAnswer, PlainCall, Streamed};
use cumin_standin::Outage;
use cumin_standin::engine::{self, Cross};
use cumin_standin::service::{Looked, Service};
use cumin_testbed::Testbed;
use cumin_types::Outcome;
use cumin_wire::completion::{Message, Request};
use futures_util::future::{join, join_all};
use uuid::Uuid;

use super::{Promise, REVIEW_TOKENS, REVIEWER, faults};

/// Demo keys of organisations in the embedded document.
const KEYS: [&str; 4] = [
    "demo-hamilton-ovens-1",
    "demo-cambridge-loaves-1",
    "demo-te-awamutu-growers-1",
    "demo-raglan-bread-club-1",
];

/// What a check observed: `Ok` when it meets the promise.
pub(super) type Observation = Result<String, String>;

fn promise(promise: &str, seen: Observation) -> Promise {
    let held = seen.is_ok();
    Promise {
        promise: promise.into(),
        seen: seen.unwrap_or_else(|seen| seen),
        held,
    }
}

/// Runs all checks, in sequence where one could disturb another.
pub(super) async fn run_all(
    testbed: &Testbed,
    text: &str,
    progress: &mut dyn FnMut(&str),
) -> Vec<Promise> {
    let mut promises = Vec::new();
    progress("12 chats at once, with late and crossed frames from the engines");
    promises.push(promise(
        "every caller gets its own answer, whole",
        concurrent_chats(testbed).await,
    ));
    progress("a long review");
    promises.push(promise(
        "a long review is read and answered whole",
        long_review(testbed, text).await,
    ));
    progress(
        "engines are reclaimed and one crashes in the middle of streams; plain calls meanwhile",
    );
    let (engines, plain) = join(faults::lose_engines(testbed), plain_calls(testbed)).await;
    promises.push(promise(
        "a stream survives its engine's reclaim",
        engines.reclaimed,
    ));
    promises.push(promise(
        "a stream survives its engine's crash",
        engines.crashed,
    ));
    promises.push(promise(
        "a leaving engine gets no new work after 3 s",
        engines.after_notice,
    ));
    promises.extend(plain);
    progress("a node is stopped in the middle of a stream");
    let (stream, listing) = faults::node_stop(testbed).await;
    promises.push(promise(
        "a planned stop of a node cuts off no stream",
        stream,
    ));
    promises.push(promise("callers are not sent to a stopped node", listing));
    progress("a node crashes in the middle of a stream");
    promises.push(promise(
        "a stream survives its node's crash",
        faults::node_crash(testbed).await,
    ));
    promises
}

/// Runs the checks of plain services, which need no engine.
async fn plain_calls(testbed: &Testbed) -> Vec<Promise> {
    vec![
        promise(
            "a look-up is answered and changes nothing",
            lookup(testbed).await,
        ),
        promise(
            "a booking sent twice takes effect once",
            repeated_booking(testbed).await,
        ),
        promise(
            "a booking sent to two entries at once takes effect once",
            concurrent_booking(testbed).await,
        ),
        promise(
            "an action in a log outage is told as not run and was not run",
            log_outage(testbed).await,
        ),
        promise(
            "a wrong key is refused and runs nothing",
            wrong_key(testbed).await,
        ),
    ]
}

pub(crate) fn chat(model: &str, prompt: &str, tokens: u64) -> Request {
    let message = Message {
        role: "user".into(),
        content: prompt.into(),
    };
    Request {
        model: model.into(),
        messages: Some(vec![message]),
        max_tokens: Some(tokens),
        ..Request::default()
    }
}

pub(super) fn patient_client(testbed: &Testbed) -> Client {
    // Keeps to the quota of the organisation: the client waits while it is used up.
    testbed.patient_client(KEYS[0])
}

/// Returns a client of another organisation, for plain calls.
fn plain_client(testbed: &Testbed) -> Client {
    testbed.patient_client(KEYS[1])
}

/// Checks that an answer is complete and is what the engines generate for the request.
pub(super) fn check_answer(request: &Request, answer: &Result<Streamed, Error>) -> Observation {
    let answer = answer
        .as_ref()
        .map_err(|error| format!("no answer: {error}"))?;
    let expected = engine::answer(
        &request.prompt_text(),
        request.max_tokens.unwrap_or(engine::DEFAULT_TOKENS),
    );
    let Streamed {
        repeated, skipped, ..
    } = answer;
    if (*repeated, *skipped) != (0, 0) {
        return Err(format!("{repeated} tokens repeated, {skipped} skipped"));
    }
    if answer.tokens != expected {
        let pairs = answer.tokens.iter().zip(&expected);
        let equal = pairs
            .filter(|(received, wanted)| received == wanted)
            .count();
        return Err(format!(
            "{} tokens, of which {equal} of {} right",
            answer.tokens.len(),
            expected.len()
        ));
    }
    if answer.outcome != Some(Outcome::Done) {
        return Err(format!("a whole answer with outcome {:?}", answer.outcome));
    }
    Ok(format!("{} tokens, none lost or twice", expected.len()))
}

/// Index of the organisation of each chat: the quotas of the small ones allow one request a second
/// through one entry.
const CHAT_ORGANISATIONS: [usize; 12] = [0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 2, 3];

async fn concurrent_chats(testbed: &Testbed) -> Observation {
    for engine in testbed.engines.values() {
        engine.fault(|faults| {
            faults.cross = Cross::Insert;
            faults.duplicate = true;
        });
    }
    let requests: Vec<_> = (0..12)
        .map(|number| chat("crumb-8b", &format!("how is loaf {number} doing"), 60))
        .collect();
    let clients: Vec<_> = KEYS.iter().map(|key| testbed.patient_client(key)).collect();
    let calls = requests
        .iter()
        .zip(CHAT_ORGANISATIONS)
        .map(|(request, org)| clients[org].chat(request));
    let answers = join_all(calls).await;
    for engine in testbed.engines.values() {
        engine.fault(|faults| {
            faults.cross = Cross::Never;
            faults.duplicate = false;
        });
    }
    for (request, answer) in requests.iter().zip(&answers) {
        check_answer(request, answer)?;
    }
    Ok("12 of 12 chats of 4 organisations right".into())
}

async fn long_review(testbed: &Testbed, text: &str) -> Observation {
    let request = chat(REVIEWER, text, REVIEW_TOKENS);
    let answer = patient_client(testbed).chat(&request).await;
    let seen = check_answer(&request, &answer)?;
    let read = answer.ok().and_then(|answer| answer.usage);
    let read = read.map(|usage| usage.prompt_tokens).unwrap_or_default();
    Ok(format!("{read} words read, {seen}"))
}

fn booking() -> (PlainCall, String) {
    let key = Uuid::now_v7();
    let call = PlainCall {
        method: "POST".into(),
        service: "oven-desk".into(),
        path: "bookings".into(),
        key: Some(key),
        body: r#"{"oven":"3","slot":"06:00"}"#.into(),
    };
    (call, key.to_string())
}

fn total_effects(testbed: &Testbed) -> u64 {
    let stats = testbed.services.values().map(Service::stats);
    stats.map(|stats| stats.effects).sum()
}

async fn lookup(testbed: &Testbed) -> Observation {
    let before = total_effects(testbed);
    let call = PlainCall {
        method: "GET".into(),
        service: "oven-desk".into(),
        path: "slots/oven-3".into(),
        ..PlainCall::default()
    };
    let answer = plain_client(testbed).call(&call).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let lookup: Looked = serde_json::from_str(&answer.body)
        .map_err(|_| format!("status {}: {}", answer.status, answer.body))?;
    let effects = total_effects(testbed) - before;
    let seen = format!(
        "status {}, {}, effects: {effects}",
        answer.status, lookup.path
    );
    let correct = answer.status == 200 && lookup.path == "/slots/oven-3" && effects == 0;
    if correct { Ok(seen) } else { Err(seen) }
}

/// Checks that calls with one booking key had the same answer and one effect.
fn check_single_effect(
    testbed: &Testbed,
    key: &str,
    answers: &[Result<PlainAnswer, Error>],
) -> Observation {
    let mut bodies = Vec::new();
    for answer in answers {
        let answer = answer
            .as_ref()
            .map_err(|error| format!("no answer: {error}"))?;
        if answer.outcome != Some(Outcome::Done) {
            return Err(format!("outcome {:?}: {}", answer.outcome, answer.body));
        }
        bodies.push(&answer.body);
    }
    let same = bodies.windows(2).all(|pair| pair[0] == pair[1]);
    let effects = testbed.effect_count(key);
    let answers = if same {
        "one answer"
    } else {
        "different answers"
    };
    let seen = format!("calls: {}, {answers}, effects: {effects}", bodies.len());
    if same && effects == 1 {
        Ok(seen)
    } else {
        Err(seen)
    }
}

async fn repeated_booking(testbed: &Testbed) -> Observation {
    let (call, key) = booking();
    let client = plain_client(testbed);
    let answers = [client.call(&call).await, client.call(&call).await];
    check_single_effect(testbed, &key, &answers)
}

async fn concurrent_booking(testbed: &Testbed) -> Observation {
    for service in testbed.services.values() {
        service.fault(|faults| faults.answer_delay = Duration::from_millis(100));
    }
    let (call, key) = booking();
    let clients: Vec<_> = testbed
        .entries()
        .into_iter()
        .take(2)
        .map(|entry| {
            Client::new(cumin_client::Options {
                key: KEYS[1].into(),
                entries: vec![entry],
                ..cumin_client::Options::default()
            })
        })
        .collect();
    let answers = join_all(clients.iter().map(|client| client.call_once(&call))).await;
    for service in testbed.services.values() {
        service.fault(|faults| faults.answer_delay = Duration::ZERO);
    }
    check_single_effect(testbed, &key, &answers)
}

async fn log_outage(testbed: &Testbed) -> Observation {
    let client = plain_client(testbed);
    let (call, key) = booking();
    testbed
        .log
        .fault(|faults| faults.outage = Some(Outage::Unavailable));
    let answer = client.call_once(&call).await;
    let effects = testbed.effect_count(&key);
    testbed.log.fault(|faults| faults.outage = None);
    let answer = answer.map_err(|error| error.to_string())?;
    let outcome = answer
        .outcome
        .map_or("nothing".into(), |outcome| outcome.to_string());
    if answer.outcome != Some(Outcome::NotRun) || effects != 0 {
        return Err(format!("told {outcome}, effects: {effects}"));
    }
    let after = check_single_effect(testbed, &key, &[client.call(&call).await])?;
    Ok(format!(
        "told {outcome}, effects: 0; sent again after it: {after}"
    ))
}

async fn wrong_key(testbed: &Testbed) -> Observation {
    let client = testbed.client("not-a-key");
    let (call, key) = booking();
    let request = chat("crumb-8b", "open the door", 10);
    let answer = client.chat(&request).await;
    let booked = client.call_once(&call).await;
    let statuses = match (&answer, &booked) {
        (Err(Error::Refused { status, .. }), Ok(booked)) => (*status, booked.status),
        _ => return Err("a call with a wrong key was answered".into()),
    };
    let effects = testbed.effect_count(&key);
    let seen = format!(
        "status {} and {}, effects: {effects}",
        statuses.0, statuses.1
    );
    if statuses == (401, 401) && effects == 0 {
        Ok(seen)
    } else {
        Err(seen)
    }
}
