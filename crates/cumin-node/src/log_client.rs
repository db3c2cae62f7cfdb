//! Calls of the platform's log service.

use std::time::Duration;

use cumin_types::LogOffset;
use cumin_wire::log::{Appended, Records};
use serde_json::Value;

use crate::http;
use crate::node::Ctx;

/// Longest wait for an answer; after that an append may still take effect.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest page, bytes.
const MAX_PAGE_BYTES: usize = 64 << 20;

/// An append without an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// It did not take effect and never will.
    Refused,
    /// It may have taken effect, or may yet.
    Lost,
}

/// Appends one record to a stream.
pub(crate) async fn append(
    ctx: &Ctx,
    stream: &str,
    body: &Value,
) -> Result<LogOffset, AppendError> {
    let url = format!(
        "http://{}/v1/streams/{stream}/append",
        ctx.settings.log_address
    );
    // A pooled connection that the log closed would make an append uncertain for no reason.
    let sent = ctx
        .unpooled
        .post(url)
        .timeout(TIMEOUT)
        .send_json(body)
        .await;
    let mut response = match sent {
        Ok(response) => response,
        Err(error) if http::unsent(&error) => return Err(AppendError::Refused),
        Err(_) => return Err(AppendError::Lost),
    };
    match response.status().as_u16() {
        200 => {
            let appended: Appended = response.json().await.map_err(|_| AppendError::Lost)?;
            Ok(LogOffset(appended.offset))
        }
        429 => Err(AppendError::Refused),
        _ => Err(AppendError::Lost),
    }
}

/// Reads records of a stream from `from` on.
pub(crate) async fn read(ctx: &Ctx, stream: &str, from: LogOffset, limit: u32) -> Option<Records> {
    let url = format!(
        "http://{}/v1/streams/{stream}/records?from={from}&limit={limit}",
        ctx.settings.log_address
    );
    let mut response = ctx.endpoints.get(url).timeout(TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().limit(MAX_PAGE_BYTES).await.ok()
}
