use cumin_config::Document;
use cumin_standin::engine;
use cumin_testbed::{Options, Testbed};
use cumin_types::TokenCount;
use cumin_wire::completion::{Message, Request};

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
