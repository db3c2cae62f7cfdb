//! Client of the platform's log service.

use std::time::Duration;

use cumin_types::LogOffset;
use cumin_wire::log::{Appended, Records};
use serde_json::Value;

use crate::http;
use crate::node::Ctx;

/// Longest wait for a response. An append that times out may still take effect.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response to a read.
const MAX_PAGE_BYTES: usize = 64 << 20;

/// Error of an append for which the log returned no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The append did not take effect and never will.
    Refused,
    /// The append may have taken effect, or may still do so.
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
    // Each append gets a new connection: on a pooled one that the log has closed meanwhile, the
    // append would fail with an unknown outcome.
    let result = ctx
        .unpooled
        .post(url)
        .timeout(TIMEOUT)
        .send_json(body)
        .await;
    let mut response = match result {
        Ok(response) => response,
        Err(error) if http::is_unsent(&error) => return Err(AppendError::Refused),
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

/// Reads up to `limit` records of a stream, starting at offset `from`; none when the read fails.
pub(crate) async fn read(ctx: &Ctx, stream: &str, from: LogOffset, limit: u32) -> Option<Records> {
    let url = format!(
        "http://{}/v1/streams/{stream}/records?from={from}&limit={limit}",
        ctx.settings.log_address
    );
    let mut response = ctx.pooled.get(url).timeout(TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    response.json().limit(MAX_PAGE_BYTES).await.ok()
}
