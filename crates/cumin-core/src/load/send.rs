//! Sends the calls of a plan, each when it is due.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep_until, timeout};
use cumin_client::{Client, Error, PlainCall, Streamed};
use cumin_types::Outcome;
use futures_util::future::join_all;
use uuid::Uuid;

use super::{Arrival, Kind, Options};
use crate::demo::chat;

/// Time that the last calls have to end.
const GRACE: Duration = Duration::from_mins(1);

/// What became of one call. Times count from when it was due.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) arrival: Arrival,
    /// How late the call was sent.
    pub(super) lag: Duration,
    /// `done`, `failed`, `not_run`, `unknown`, `refused`, `unreachable` or `unfinished`.
    pub(super) outcome: &'static str,
    pub(super) total: Duration,
    pub(super) first: Option<Duration>,
    pub(super) gaps: Vec<Duration>,
    pub(super) tokens: u64,
    pub(super) repeated: u64,
    pub(super) skipped: u64,
    pub(super) resumes: u32,
}

impl Sample {
    fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            lag: Duration::ZERO,
            outcome: "unfinished",
            total: Duration::ZERO,
            first: None,
            gaps: Vec::new(),
            tokens: 0,
            repeated: 0,
            skipped: 0,
            resumes: 0,
        }
    }

    fn streamed(&mut self, streamed: &Streamed) {
        let arrivals = &streamed.token_times;
        self.first = streamed.first_token.map(|first| self.lag + first);
        self.gaps = arrivals
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .collect();
        self.tokens = streamed.tokens.len() as u64;
        self.repeated = streamed.repeated;
        self.skipped = streamed.skipped;
        self.resumes = streamed.resumes;
    }
}

/// Sends all calls; returns what became of each when the last has ended.
pub(super) async fn all(client: &Rc<Client>, options: &Options, plan: Vec<Arrival>) -> Vec<Sample> {
    let start = Instant::now() + Duration::from_millis(50);
    let end = start + Duration::from_secs(options.seconds) + GRACE;
    let calls = plan.into_iter().enumerate().map(|(number, arrival)| {
        let client = Rc::clone(client);
        let (model, service) = (options.model.clone(), options.service.clone());
        actix_rt::spawn(async move {
            let due = start + arrival.at;
            sleep_until(due).await;
            let mut sample = Sample::new(arrival);
            sample.lag = due.elapsed();
            let call = one(&client, &mut sample, number, &model, &service);
            let outcome = timeout(end.saturating_duration_since(Instant::now()), call).await;
            sample.outcome = outcome.unwrap_or("unfinished");
            sample.total = due.elapsed();
            sample
        })
    });
    let calls: Vec<_> = calls.collect();
    join_all(calls).await.into_iter().flatten().collect()
}

async fn one(
    client: &Client,
    sample: &mut Sample,
    number: usize,
    model: &str,
    service: &str,
) -> &'static str {
    let (words, tokens) = match sample.arrival.kind {
        Kind::Chat => (0, 60),
        Kind::Review => (600, 200),
        Kind::Check => (0, 20),
        Kind::Lookup => return plain(client, "GET", service, "slots", None).await,
        Kind::Action => {
            return plain(client, "POST", service, "bookings", Some(Uuid::now_v7())).await;
        }
    };
    let prompt = format!(
        "{} {number}: {}",
        sample.arrival.kind,
        "rye loaf ".repeat(words / 2)
    );
    match client.chat(&chat(model, &prompt, tokens)).await {
        Ok(streamed) => {
            sample.streamed(&streamed);
            told(streamed.outcome)
        }
        Err(error) => failed(&error),
    }
}

async fn plain(
    client: &Client,
    method: &str,
    service: &str,
    path: &str,
    key: Option<Uuid>,
) -> &'static str {
    let body = if key.is_some() { r#"{"oven":"1"}"# } else { "" };
    let call = PlainCall {
        method: method.into(),
        service: service.into(),
        path: path.into(),
        key,
        body: body.into(),
    };
    // Each call counts once: a retry would hide that it was refused.
    match client.call_once(&call).await {
        Ok(answer) if answer.outcome.is_none() && answer.status >= 400 => "refused",
        Ok(answer) => told(answer.outcome),
        Err(error) => failed(&error),
    }
}

fn told(outcome: Option<Outcome>) -> &'static str {
    match outcome {
        Some(Outcome::Done) => "done",
        Some(Outcome::Failed) => "failed",
        Some(Outcome::NotRun) => "not_run",
        Some(Outcome::Unknown) | None => "unknown",
    }
}

fn failed(error: &Error) -> &'static str {
    match error {
        Error::Refused { outcome: None, .. } => "refused",
        Error::Refused { outcome, .. } => told(*outcome),
        Error::Unreachable { .. } => "unreachable",
    }
}
