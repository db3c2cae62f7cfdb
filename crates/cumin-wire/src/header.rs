//! Names of the headers that we read or write, lower case.

/// The request's identifier, on each answer to a caller and each attempt.
pub const REQUEST_ID: &str = "x-request-id";
/// How the request ended, where the head is sent after that.
pub const OUTCOME: &str = "x-outcome";
/// The attempt that a frame or call belongs to; endpoints echo it.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// `live`, `normal` or `batch`.
pub const PRIORITY: &str = "x-priority";
/// Milliseconds that are left until the answer is of no use.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The key of a non-idempotent call, UUIDv7.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The number of tokens that the caller already has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The address of the node that holds the request beside the answering one, or `none`.
pub const REPLICA: &str = "x-second";
/// `true` on an endpoint's refusal that ran nothing.
pub const NOT_STARTED: &str = "x-not-started";
