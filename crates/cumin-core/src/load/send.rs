//! Sends the scheduled calls.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep_until, timeout};
use cumin_client::{Client, Error, PlainCall, Streamed};
use cumin_types::Outcome;
use futures_util::future::join_all;
use uuid::Uuid;

use super::{Arrival, Kind, Options};
use crate::demo::chat;

/// Time after the end of the arrivals in which calls may finish.
const FINISH_TIMEOUT: Duration = Duration::from_mins(1);

/// Measurements of one call. Times count from when it was due.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) arrival: Arrival,
    /// Delay from when the call was due until it was sent.
    pub(super) lag: Duration,
    /// `done`, `failed`, `not_run`, `unknown`, `refused`, `unreachable` or `unfinished`.
    pub(super) outcome: &'static str,
    /// Time to the end of the call.
    pub(super) total: Duration,
    /// Time to the first token.
    pub(super) first_token: Option<Duration>,
    /// Times from one token to the next.
    pub(super) token_gaps: Vec<Duration>,
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
            first_token: None,
            token_gaps: Vec::new(),
            tokens: 0,
            repeated: 0,
            skipped: 0,
            resumes: 0,
        }
    }

    fn record_stream(&mut self, streamed: &Streamed) {
        let arrivals = &streamed.token_times;
        self.first_token = streamed.first_token.map(|first| self.lag + first);
        self.token_gaps = arrivals
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .collect();
        self.tokens = streamed.tokens.len() as u64;
        self.repeated = streamed.repeated;
        self.skipped = streamed.skipped;
        self.resumes = streamed.resumes;
    }
}

/// Sends each call when it is due and returns the samples when the last call has ended.
pub(super) async fn send_all(
    client: &Rc<Client>,
    options: &Options,
    plan: Vec<Arrival>,
) -> Vec<Sample> {
    let start = Instant::now() + Duration::from_millis(50);
    let end = start + Duration::from_secs(options.seconds) + FINISH_TIMEOUT;
    let calls = plan.into_iter().enumerate().map(|(number, arrival)| {
        let client = Rc::clone(client);
        let (model, service) = (options.model.clone(), options.service.clone());
        actix_rt::spawn(async move {
            let due = start + arrival.at;
            sleep_until(due).await;
            let mut sample = Sample::new(arrival);
            sample.lag = due.elapsed();
            let call = send_one(&client, &mut sample, number, &model, &service);
            let outcome = timeout(end.saturating_duration_since(Instant::now()), call).await;
            sample.outcome = outcome.unwrap_or("unfinished");
            sample.total = due.elapsed();
            sample
        })
    });
    let calls: Vec<_> = calls.collect();
    join_all(calls).await.into_iter().flatten().collect()
}

/// Sends a call and returns its outcome in the report.
async fn send_one(
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
        Kind::Lookup => return send_plain(client, "GET", service, "slots", None).await,
        Kind::Action => {
            return send_plain(client, "POST", service, "bookings", Some(Uuid::now_v7())).await;
        }
    };
    let prompt = format!(
        "{} {number}: {}",
        sample.arrival.kind,
        "rye loaf ".repeat(words / 2)
    );
    match client.chat(&chat(model, &prompt, tokens)).await {
        Ok(streamed) => {
            sample.record_stream(&streamed);
            outcome_label(streamed.outcome)
        }
        Err(error) => error_label(&error),
    }
}

async fn send_plain(
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
    // Not retried: a retry would hide that the call was refused.
    match client.call_once(&call).await {
        Ok(answer) if answer.outcome.is_none() && answer.status >= 400 => "refused",
        Ok(answer) => outcome_label(answer.outcome),
        Err(error) => error_label(&error),
    }
}

fn outcome_label(outcome: Option<Outcome>) -> &'static str {
    match outcome {
        Some(Outcome::Done) => "done",
        Some(Outcome::Failed) => "failed",
        Some(Outcome::NotRun) => "not_run",
        Some(Outcome::Unknown) | None => "unknown",
    }
}

fn error_label(error: &Error) -> &'static str {
    match error {
        Error::Refused { outcome: None, .. } => "refused",
        Error::Refused { outcome, .. } => outcome_label(*outcome),
        Error::Unreachable { .. } => "unreachable",
    }
}
