//! Names of the HTTP headers that the system reads or writes, in lower case.

/// Identifier of the request, on each answer to a caller and on each attempt.
pub const REQUEST_ID: &str = "x-request-id";
/// Outcome of the request, on answers whose head is sent after the request ended.
pub const OUTCOME: &str = "x-outcome";
/// Identifier of the attempt that a frame or call belongs to; endpoints echo it.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Priority of the request: `live`, `normal` or `batch`.
pub const PRIORITY: &str = "x-priority";
/// Time to the deadline of the request, milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Idempotency key of a non-idempotent call, UUIDv7.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Number of tokens that the caller has already received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Address of the node that has the replica of the request, or `none`.
pub const REPLICA: &str = "x-second";
/// `true` when an endpoint rejected a call without running any part of it.
pub const NOT_STARTED: &str = "x-not-started";
/// `1` on each answer of an endpoint that leaves.
pub const LEAVING: &str = "x-leaving";
