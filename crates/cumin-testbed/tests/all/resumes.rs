use std::net::SocketAddr;
use std::time::Duration;

use cumin_standin::engine;
use cumin_testbed::{Options, Testbed};

use crate::support::{KEY, OTHER, chat, testbed};

/// Sends an asynchronous chat; returns its request id and the number of its node.
async fn send_async(bed: &Testbed, tokens: u64) -> (String, usize) {
    let entry = bed.entry_address(0).expect("a node");
    let answer = awc::Client::new()
        .post(format!("http://{entry}/v1/chat/completions"))
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .insert_header(("prefer", "respond-async"))
        .send_json(&chat("a review to be read later", tokens))
        .await
        .expect("an answer");
    assert_eq!(answer.status().as_u16(), 202);
    let id = answer.headers().get("x-request-id").expect("an id");
    (id.to_str().expect("text").to_owned(), 0)
}

async fn get(entry: SocketAddr, id: &str, key: &str, extra: (&str, &str)) -> (u16, String) {
    let mut answer = awc::Client::new()
        .get(format!("http://{entry}/v1/requests/{id}"))
        .insert_header(("authorization", format!("Bearer {key}")))
        .insert_header(extra)
        .send()
        .await
        .expect("an answer");
    let status = answer.status().as_u16();
    let body = answer.body().await.unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Guards against a refusal of content that is sent as parts, or of unknown fields.
#[actix_rt::test]
async fn content_parts_accepted() {
    let bed = testbed(Options::default()).await;
    let entry = bed.entry_address(0).expect("a node");
    let parts = serde_json::json!({
        "model": "crumb-8b",
        "max_tokens": 5,
        "temperature": 0.2,
        "messages": [
            {"role": "assistant", "content": null, "tool_calls": []},
            {"role": "user", "name": "ana", "content": [
                {"type": "text", "text": "is it "},
                {"type": "text", "text": "done"},
            ]},
        ],
    });
    let mut answer = awc::Client::new()
        .post(format!("http://{entry}/v1/chat/completions"))
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .send_json(&parts)
        .await
        .expect("an answer");
    let body: serde_json::Value = answer.json().await.expect("JSON");
    let expected = engine::answer("assistant: \nuser: is it done\n", 5).concat();
    assert_eq!(body["choices"][0]["message"]["content"], expected, "{body}");
    assert_eq!(body["usage"]["completion_tokens"], 5);
}

/// Guards against a query of a request's state that moves the request to the queried node.
#[actix_rt::test]
async fn state_moves_nothing() {
    let bed = testbed(Options::default()).await;
    let (id, owner) = send_async(&bed, 300).await;
    for number in 0..4 {
        let entry = bed.entry_address(number).expect("a node");
        let (status, body) = get(entry, &id, KEY, ("accept", "application/json")).await;
        assert_eq!(status, 202, "{body}");
    }
    assert_eq!(bed.busy_node(), Some(owner));
    assert_eq!(bed.engine_stats().attempts, 1);
}

/// Guards against a request that another organisation can read or take over.
#[actix_rt::test]
async fn others_find_nothing() {
    let bed = testbed(Options::default()).await;
    let (id, owner) = send_async(&bed, 200).await;
    for number in 0..4 {
        let entry = bed.entry_address(number).expect("a node");
        let (status, _) = get(entry, &id, OTHER, ("last-event-id", "0")).await;
        assert_eq!(status, 404);
    }
    assert_eq!(bed.busy_node(), Some(owner));
}

/// Guards against a resume from a position that has not been generated yet.
#[actix_rt::test]
async fn unknown_position_refused() {
    let bed = testbed(Options::default()).await;
    let (id, owner) = send_async(&bed, 300).await;
    for number in 0..4 {
        let entry = bed.entry_address(number).expect("a node");
        let (status, body) = get(entry, &id, KEY, ("last-event-id", "5000")).await;
        assert_eq!(status, 409, "{body}");
    }
    assert_eq!(bed.busy_node(), Some(owner));
}

/// Guards against a result that only the node that produced it can return.
#[actix_rt::test]
async fn results_found_everywhere() {
    let bed = testbed(Options::default()).await;
    let (id, _) = send_async(&bed, 20).await;
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    let (_, first) = get(
        bed.entry_address(0).expect("a node"),
        &id,
        KEY,
        ("accept", "*/*"),
    )
    .await;
    assert!(first.contains("chat.completion"), "{first}");
    for number in 1..4 {
        let entry = bed.entry_address(number).expect("a node");
        let (status, body) = get(entry, &id, KEY, ("accept", "*/*")).await;
        assert_eq!((status, body), (200, first.clone()));
    }
}
