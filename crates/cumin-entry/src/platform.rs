//! Traits through which an entry uses the platform it runs on.
//!
//! An adapter implements them and makes no decisions: it converts between the headers, records
//! and calls of the platform and the types of this module.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
pub use cumin_types::{AnswerLeaving, AnswerWait};
use cumin_types::{
    EndpointName, FencingToken, LogOffset, Millis, Organisation, Place, Service, WallMillis,
};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;

use crate::document::Document;
use crate::era::Era;
use crate::fleet::Endpoint;
use crate::rollout::{Status, VersionOrder};
use crate::selection::Part;

/// A stream of records in the platform's store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Stream {
    /// The operator's documents.
    #[display("document")]
    Document,
    /// Registrations of endpoints, keyed by name.
    #[display("endpoints")]
    Endpoints,
    /// Entries that have started, keyed by name.
    #[display("entries")]
    Entries,
    /// The lease of the duties, and the usage reports of its holders.
    #[display("duty")]
    Duty,
    /// Suspects of crashes that are refused, keyed by suspect.
    #[display("quarantine")]
    Quarantine,
    /// Statuses of roll-outs, keyed by service.
    #[display("status")]
    Status,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Key, in a stream that is compacted to the newest record of each key.
    pub key: Option<String>,
    /// Content; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Result of one read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records in stream order.
    pub records: Vec<Record>,
    /// Offset to continue reading from: the end of the stream, or of this page.
    pub end: LogOffset,
    /// Era of the store to which the offsets belong.
    pub era: Era,
}

/// Position of an appended record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Appended {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Era of the store to which the offset belongs.
    pub era: Era,
}

/// Errors of calls to the store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store rejected the call without effect; it may be retried.
    #[display("the store refused the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// A conditional append did not match the end of the stream.
    #[display("the stream ends at {end}")]
    Conflict {
        /// End of the stream.
        end: LogOffset,
    },
    /// The requested records were trimmed.
    #[display("the first record kept is {first}")]
    Trimmed {
        /// Oldest offset that can still be read.
        first: LogOffset,
    },
    /// The requested offset is beyond the end of the stream: the store was restored from an older
    /// copy.
    #[display("the stream ends before the offset")]
    Beyond,
    /// The call got no answer; an append may have taken effect, or may still do so.
    #[display("no answer from the store: {_0}")]
    Lost(#[error(not(source))] String),
    /// The answer could not be parsed.
    #[display("the store's answer can't be read: {_0}")]
    Garbled(#[error(not(source))] String),
}

/// A boxed future that stays on the thread that made it.
pub type LocalFuture<'a, T> = LocalBoxFuture<'a, T>;

/// Client of the platform's log store.
pub trait Store {
    /// Reads records starting at `from`, waiting up to `wait` for the first one.
    fn read(
        &self,
        stream: Stream,
        from: LogOffset,
        wait: Millis,
    ) -> LocalFuture<'_, Result<Page, StoreError>>;

    /// Reads the newest record of each key.
    ///
    /// Continuing with [`read`](Self::read) at the page's end misses no record.
    fn newest(&self, stream: Stream) -> LocalFuture<'_, Result<Page, StoreError>>;

    /// Appends one record and returns its position.
    ///
    /// With `at`, the append succeeds only if the stream ends there.
    fn append(
        &self,
        stream: Stream,
        key: Option<&str>,
        value: Bytes,
        at: Option<LogOffset>,
    ) -> LocalFuture<'_, Result<Appended, StoreError>>;
}

/// Errors of calls to the cloud.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CloudError {
    /// The cloud has no capacity for the order at present.
    #[display("none are available")]
    Unavailable,
    /// The call was rejected or got no answer.
    #[display("{_0}")]
    Failed(#[error(not(source))] String),
}

/// The lease holder on whose behalf a call to the cloud is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Name of the node that holds the lease.
    pub node: Arc<str>,
    /// Fencing token of the lease.
    pub token: FencingToken,
}

/// The number of endpoints wanted of one service, place and market.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service of the endpoints.
    pub service: Service,
    /// Place of the endpoints.
    pub place: Place,
    /// Whether the endpoints run on reclaimable (spot) instances.
    pub spot: bool,
    /// Number wanted in total.
    pub count: u32,
}

/// Calls that the lease holder makes to the cloud.
pub trait Cloud {
    /// Reports the number of requests of each organisation that began in a window.
    fn report_usage(
        &self,
        holder: &LeaseHolder,
        window: u64,
        counts: &BTreeMap<Organisation, u64>,
    ) -> LocalFuture<'_, Result<(), CloudError>>;

    /// Sets the wanted number of endpoints.
    fn order(&self, holder: &LeaseHolder, order: &Order)
    -> LocalFuture<'_, Result<(), CloudError>>;
}

/// Parsed head of a caller's request, without method and path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerRequest {
    /// Identifier that the caller gave to this request.
    pub id: Option<Arc<str>>,
    /// Requested host.
    pub host: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// Time that the caller waits for the answer.
    pub timeout: Option<Millis>,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Caller's estimate of the number of output tokens.
    pub output_hint: Option<u64>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
}

/// Values for the headers of an attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempt {
    /// The only endpoint that may run the request.
    pub endpoint: Option<EndpointName>,
    /// Time that the caller still waits.
    pub time_left: Option<Millis>,
    /// Organisation that the key belongs to.
    pub org: Option<Organisation>,
    /// Rank of the request, from 0 (most urgent) to 9.
    pub rank: Option<u8>,
    /// Identifier of the last event that the caller received.
    pub last_event: Option<u64>,
}

/// Parsed head of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Identifier of the request that was answered.
    pub id: Option<String>,
    /// Whether the answer carries the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the address now belongs to another endpoint than the one named.
    pub misdirected: bool,
    /// Time that the endpoint keeps an idle connection open.
    pub keep_alive: Option<Millis>,
    /// Requests a second that the endpoint takes from all nodes together, if it states a limit.
    pub rate_limit: Option<f64>,
}

/// The headers and paths that callers and endpoints of the platform use.
pub trait Dialect {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &RequestHead) -> CallerRequest;

    /// Returns the headers of an attempt, based on those of the caller.
    fn attempt_headers(&self, inbound: &HeaderMap, attempt: &Attempt) -> HeaderMap;

    /// Parses the head of an endpoint's answer.
    fn parse_answer(&self, head: &ResponseHead) -> AnswerHead;

    /// Returns whether an answer promises callers that their request has not run and never will.
    fn is_refusal(&self, head: &ResponseHead) -> bool;

    /// Returns whether an answer, to whichever request, states that the endpoint leaves.
    fn parse_leaving(&self, head: &ResponseHead) -> AnswerLeaving;

    /// Returns the time for which an answer, to whichever request, wants no further request.
    fn parse_wait(&self, head: &ResponseHead) -> AnswerWait;

    /// Returns the headers of an endpoint's answer that are forwarded to the caller.
    fn forwarded_headers(&self, head: &ResponseHead) -> HeaderMap;

    /// Returns the directory's answer with the addresses; `None` if `path` is not the directory's.
    fn directory(&self, path: &str, addresses: &[SocketAddr], ttl: Millis) -> Option<Bytes>;

    /// Returns whether `path` is the readiness probe.
    fn is_readiness(&self, path: &str) -> bool;
}

/// A record that could not be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{_0}")]
pub struct Unreadable(#[error(not(source))] pub String);

/// Decoder for records of the platform's streams.
pub trait Codec {
    /// Returns the key of the operator's document in its stream.
    fn document_key(&self) -> &str;

    /// Decodes a document.
    ///
    /// # Errors
    /// A field is missing or of another type.
    fn decode_document(&self, value: &[u8]) -> Result<Document, Unreadable>;

    /// Decodes an order of a roll-out; `None` if the key is not one of such an order.
    ///
    /// # Errors
    /// A field is missing or of another type. A duration that is not positive is no error.
    fn decode_rollout(&self, key: &str, value: &[u8]) -> Option<Result<VersionOrder, Unreadable>>;

    /// Encodes the status of a roll-out as a key and a value.
    fn encode_status(&self, status: &Status, wall: WallMillis) -> (String, Bytes);

    /// Decodes the status of a roll-out, as of the time `wall`.
    ///
    /// # Errors
    /// A field is missing or of another type.
    fn decode_status(
        &self,
        key: &str,
        value: &[u8],
        wall: WallMillis,
    ) -> Result<Status, Unreadable>;

    /// Decodes the registration of an endpoint; relative times in it count from `now`.
    ///
    /// # Errors
    /// A field is missing or of another type.
    fn decode_endpoint(&self, key: &str, value: &[u8], now: Millis)
    -> Result<Endpoint, Unreadable>;
}

/// Wall clock and a monotonic clock that counts suspension.
pub trait Clock {
    /// Returns the time since a fixed origin; it advances while the machine is suspended.
    fn now(&self) -> Millis;

    /// Returns the wall-clock time, which may jump.
    fn wall(&self) -> WallMillis;
}
