//! The checks of a quiet system, and the order of all of them.

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

/// What was seen: `Ok` when it holds the promise.
pub(super) type Seen = Result<String, String>;

fn promise(promise: &str, seen: Seen) -> Promise {
    let held = seen.is_ok();
    Promise {
        promise: promise.into(),
        seen: seen.unwrap_or_else(|seen| seen),
        held,
    }
}

/// Runs all checks, one after the other where one could disturb another.
pub(super) async fn all(bed: &Testbed, text: &str, progress: &mut dyn FnMut(&str)) -> Vec<Promise> {
    let mut found = Vec::new();
    progress("12 chats at once, with late and crossed frames from the engines");
    found.push(promise(
        "every caller gets its own answer, whole",
        chats(bed).await,
    ));
    progress("a long review");
    found.push(promise(
        "a long review is read and answered whole",
        review(bed, text).await,
    ));
    progress(
        "engines are reclaimed and one crashes in the middle of streams; plain calls meanwhile",
    );
    let (engines, plain) = join(faults::engines(bed), plain_calls(bed)).await;
    found.push(promise(
        "a stream survives its engine's reclaim",
        engines.moved,
    ));
    found.push(promise(
        "a stream survives its engine's crash",
        engines.crashed,
    ));
    found.push(promise(
        "a leaving engine gets no new work after 3 s",
        engines.left,
    ));
    found.extend(plain);
    progress("a node is stopped in the middle of a stream");
    let (stream, listing) = faults::node_stop(bed).await;
    found.push(promise(
        "a planned stop of a node cuts off no stream",
        stream,
    ));
    found.push(promise("callers are not sent to a stopped node", listing));
    progress("a node crashes in the middle of a stream");
    found.push(promise(
        "a stream survives its node's crash",
        faults::node_crash(bed).await,
    ));
    found
}

/// The checks that need no engine.
async fn plain_calls(bed: &Testbed) -> Vec<Promise> {
    vec![
        promise(
            "a look-up is answered and changes nothing",
            look_up(bed).await,
        ),
        promise("a booking sent twice takes effect once", twice(bed).await),
        promise(
            "a booking sent to two entries at once takes effect once",
            racing(bed).await,
        ),
        promise(
            "an action in a log outage is told as not run and was not run",
            outage(bed).await,
        ),
        promise(
            "a wrong key is refused and runs nothing",
            wrong_key(bed).await,
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

pub(super) fn caller(bed: &Testbed) -> Client {
    // The demo keeps to its organisations' quotas: it waits when one is used up.
    bed.patient_client(KEYS[0])
}

/// Returns the caller of plain calls, which another organisation makes.
fn plain_caller(bed: &Testbed) -> Client {
    bed.patient_client(KEYS[1])
}

/// Compares an answer with what the engines generate for the request.
pub(super) fn whole(request: &Request, answer: &Result<Streamed, Error>) -> Seen {
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
        let right = pairs.filter(|(given, wanted)| given == wanted).count();
        return Err(format!(
            "{} tokens, of which {right} of {} right",
            answer.tokens.len(),
            expected.len()
        ));
    }
    if answer.outcome != Some(Outcome::Done) {
        return Err(format!("a whole answer with outcome {:?}", answer.outcome));
    }
    Ok(format!("{} tokens, none lost or twice", expected.len()))
}

/// The organisation of each chat: the small ones may send one a second through one entry.
const CHATS: [usize; 12] = [0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 2, 3];

async fn chats(bed: &Testbed) -> Seen {
    for engine in bed.engines.values() {
        engine.fault(|faults| {
            faults.cross = Cross::Insert;
            faults.duplicate = true;
        });
    }
    let requests: Vec<_> = (0..12)
        .map(|number| chat("crumb-8b", &format!("how is loaf {number} doing"), 60))
        .collect();
    let clients: Vec<_> = KEYS.iter().map(|key| bed.patient_client(key)).collect();
    let calls = requests
        .iter()
        .zip(CHATS)
        .map(|(request, org)| clients[org].chat(request));
    let answers = join_all(calls).await;
    for engine in bed.engines.values() {
        engine.fault(|faults| {
            faults.cross = Cross::Never;
            faults.duplicate = false;
        });
    }
    for (request, answer) in requests.iter().zip(&answers) {
        whole(request, answer)?;
    }
    Ok("12 of 12 chats of 4 organisations right".into())
}

async fn review(bed: &Testbed, text: &str) -> Seen {
    let request = chat(REVIEWER, text, REVIEW_TOKENS);
    let answer = caller(bed).chat(&request).await;
    let seen = whole(&request, &answer)?;
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

fn all_effects(bed: &Testbed) -> u64 {
    let stats = bed.services.values().map(Service::stats);
    stats.map(|stats| stats.effects).sum()
}

async fn look_up(bed: &Testbed) -> Seen {
    let before = all_effects(bed);
    let call = PlainCall {
        method: "GET".into(),
        service: "oven-desk".into(),
        path: "slots/oven-3".into(),
        ..PlainCall::default()
    };
    let answer = plain_caller(bed).call(&call).await;
    let answer = answer.map_err(|error| error.to_string())?;
    let looked: Looked = serde_json::from_str(&answer.body)
        .map_err(|_| format!("status {}: {}", answer.status, answer.body))?;
    let effects = all_effects(bed) - before;
    let seen = format!(
        "status {}, {}, effects: {effects}",
        answer.status, looked.path
    );
    let right = answer.status == 200 && looked.path == "/slots/oven-3" && effects == 0;
    if right { Ok(seen) } else { Err(seen) }
}

/// Compares the answers and effects of calls that were one booking.
fn once(bed: &Testbed, key: &str, answers: &[Result<PlainAnswer, Error>]) -> Seen {
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
    let effects = bed.effect_count(key);
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

async fn twice(bed: &Testbed) -> Seen {
    let (call, key) = booking();
    let client = plain_caller(bed);
    let answers = [client.call(&call).await, client.call(&call).await];
    once(bed, &key, &answers)
}

async fn racing(bed: &Testbed) -> Seen {
    for service in bed.services.values() {
        service.fault(|faults| faults.answer_delay = Duration::from_millis(100));
    }
    let (call, key) = booking();
    let clients: Vec<_> = bed
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
    for service in bed.services.values() {
        service.fault(|faults| faults.answer_delay = Duration::ZERO);
    }
    once(bed, &key, &answers)
}

async fn outage(bed: &Testbed) -> Seen {
    let client = plain_caller(bed);
    let (call, key) = booking();
    bed.log
        .fault(|faults| faults.outage = Some(Outage::Unavailable));
    let answer = client.call_once(&call).await;
    let during = bed.effect_count(&key);
    bed.log.fault(|faults| faults.outage = None);
    let answer = answer.map_err(|error| error.to_string())?;
    let told = answer
        .outcome
        .map_or("nothing".into(), |outcome| outcome.to_string());
    if answer.outcome != Some(Outcome::NotRun) || during != 0 {
        return Err(format!("told {told}, effects: {during}"));
    }
    let after = once(bed, &key, &[client.call(&call).await])?;
    Ok(format!(
        "told {told}, effects: 0; sent again after it: {after}"
    ))
}

async fn wrong_key(bed: &Testbed) -> Seen {
    let client = bed.client("not-a-key");
    let (call, key) = booking();
    let request = chat("crumb-8b", "open the door", 10);
    let answer = client.chat(&request).await;
    let booked = client.call_once(&call).await;
    let statuses = match (&answer, &booked) {
        (Err(Error::Refused { status, .. }), Ok(booked)) => (*status, booked.status),
        _ => return Err("a call with a wrong key was answered".into()),
    };
    let effects = bed.effect_count(&key);
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
