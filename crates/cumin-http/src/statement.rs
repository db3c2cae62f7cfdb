//! What the head of an endpoint's answer states about further requests: that the endpoint leaves,
//! or for how long it wants none.

use std::time::{SystemTime, UNIX_EPOCH};

use actix_http::StatusCode;
use actix_http::header::{self, HeaderMap, HeaderName};
use cumin_types::{AnswerLeaving, AnswerWait, Millis, WallMillis};

/// Maximum number of bytes of an unreadable value that are logged.
const MAX_LOGGED_BYTES: usize = 40;

/// Returns whether an answer states in the header `name` that its endpoint leaves.
#[must_use]
pub fn parse_leaving(headers: &HeaderMap, name: &HeaderName) -> AnswerLeaving {
    let mut unreadable = None;
    for value in headers.get_all(name) {
        // An intermediary may combine repeated headers to a list.
        for item in value.as_bytes().split(|byte| *byte == b',') {
            match item.trim_ascii() {
                b"1" => return AnswerLeaving::Leaves,
                b"0" | b"" => {}
                other => {
                    unreadable.get_or_insert_with(|| cut_short(other));
                }
            }
        }
    }
    unreadable.map_or(AnswerLeaving::No, AnswerLeaving::Unreadable)
}

/// Returns the time for which an answer with status 503 wants no further request.
#[must_use]
pub fn parse_wait(status: StatusCode, headers: &HeaderMap) -> AnswerWait {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return AnswerWait::None;
    }
    let mut longest = AnswerWait::None;
    for value in headers.get_all(&header::RETRY_AFTER) {
        let parsed = parse_retry_after(value.as_bytes());
        longest = match (longest, parsed) {
            (AnswerWait::For(known), Some(AnswerWait::For(new))) => AnswerWait::For(known.max(new)),
            (AnswerWait::None | AnswerWait::Unreadable(_), Some(new)) => new,
            (AnswerWait::None, None) => AnswerWait::Unreadable(cut_short(value.as_bytes())),
            (known, _) => known,
        };
    }
    longest
}

/// Parses a number of seconds above zero, or a date.
fn parse_retry_after(value: &[u8]) -> Option<AnswerWait> {
    let text = std::str::from_utf8(value).ok()?.trim();
    if text.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
        // The cast saturates, so a number that is too large becomes the longest time.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast from float saturates"
        )]
        let wait_ms = (text.parse::<f64>().ok()? * 1000.0).ceil() as u64;
        return (wait_ms > 0).then_some(AnswerWait::For(Millis(wait_ms)));
    }
    let date = SystemTime::from(text.parse::<header::HttpDate>().ok()?);
    let since = date.duration_since(UNIX_EPOCH).ok()?;
    let wall_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    Some(AnswerWait::Until(WallMillis(wall_ms)))
}

/// Returns the beginning of a value for the log.
fn cut_short(value: &[u8]) -> String {
    String::from_utf8_lossy(&value[..value.len().min(MAX_LOGGED_BYTES)]).into()
}
