use cumin_client::{PlainAnswer, PlainCall};
use cumin_config::Document;
use cumin_standin::engine;
use cumin_testbed::{Options, Testbed};
use cumin_types::{Millis, TokenCount};
use cumin_wire::completion::{Message, Request};
use uuid::Uuid;

/// Demo key of the organisation `hamilton-ovens` in `examples/bakers.toml`.
pub const KEY: &str = "demo-hamilton-ovens-1";
/// Demo key of the organisation `cambridge-loaves`.
pub const OTHER: &str = "demo-cambridge-loaves-1";

pub fn document() -> Document {
    let text = include_str!("../../../../examples/bakers.toml");
    Document::parse(text).expect("the example is valid")
}

/// Starts a testbed with quotas that no test reaches; tests of quotas use [`start`].
pub async fn testbed(options: Options) -> Testbed {
    let mut document = document();
    for spec in document.organisations.values_mut() {
        spec.quota.requests_per_second = 10_000.0;
        spec.quota.concurrent_requests = 10_000;
        spec.quota.tokens_per_minute = TokenCount(1_000_000_000);
    }
    start(document, options).await
}

/// Starts a testbed with logging to the test's output.
pub async fn start(document: Document, options: Options) -> Testbed {
    let _ = env_logger::builder().is_test(true).try_init();
    let bed = Testbed::start(document, options).await;
    bed.expect("the testbed starts")
}

pub fn chat(prompt: &str, max_tokens: u64) -> Request {
    Request {
        model: "crumb-8b".into(),
        messages: Some(vec![Message {
            role: "user".into(),
            content: prompt.into(),
        }]),
        max_tokens: Some(max_tokens),
        ..Request::default()
    }
}

/// Returns what the engines generate for `request`.
pub fn expected(request: &Request) -> Vec<String> {
    engine::answer(
        &request.prompt_text(),
        request.max_tokens.unwrap_or(engine::DEFAULT_TOKENS),
    )
}

/// Starts one node without any plain service `oven-desk`, so that a test can register its own.
pub async fn bare_desk(mut options: Options) -> Testbed {
    let mut document = document();
    let desk = document.services.get_mut("oven-desk").expect("a service");
    desk.workers.clear();
    for spec in document.organisations.values_mut() {
        spec.quota.requests_per_second = 10_000.0;
        spec.quota.concurrent_requests = 10_000;
    }
    options.node_count = 1;
    options.engine_count = Some(1);
    options.node.plain_deadline = Millis(3_000);
    start(document, options).await
}

/// Returns a call of `oven-desk` that may be repeated.
pub fn quote(number: usize) -> PlainCall {
    PlainCall {
        method: "POST".into(),
        service: "oven-desk".into(),
        path: "quotes".into(),
        body: format!(r#"{{"quote":{number}}}"#),
        ..PlainCall::default()
    }
}

/// Returns a call of `oven-desk` that must take effect once at most.
pub fn booking() -> PlainCall {
    PlainCall {
        path: "bookings".into(),
        key: Some(Uuid::now_v7()),
        ..quote(0)
    }
}

/// Sends a call to one entry, without retries.
pub async fn call(bed: &Testbed, call: &PlainCall) -> PlainAnswer {
    let answer = bed.client(KEY).call_once(call).await;
    answer.expect("an answer of the entry")
}

/// Returns the value of a metric of the first entry.
pub async fn metric(bed: &Testbed, name: &str) -> i64 {
    let url = format!("http://{}/metrics", bed.entries()[0]);
    let mut answer = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("an answer");
    let body = answer.body().await.expect("a body");
    let text = String::from_utf8_lossy(&body);
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix(&format!("cuminladder_{name} ")));
    value.expect("the metric").parse().expect("a number")
}
