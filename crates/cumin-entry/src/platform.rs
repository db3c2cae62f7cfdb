//! What an entry needs from the platform around it, as traits that an adapter implements.
//!
//! An adapter only translates: headers, records and calls in the platform's words on one side,
//! these types on the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead};
use bytes::Bytes;
use cumin_types::{
    EndpointName, FencingToken, LogOffset, Millis, Organisation, Place, Service, WallMillis,
};
use derive_more::{Display, Error};
use futures_util::future::LocalBoxFuture;

use crate::document::Document;
use crate::fleet::Endpoint;
use crate::selection::Part;

/// A stream of records in the platform's store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Stream {
    /// The operator's documents.
    #[display("document")]
    Document,
    /// What endpoints say of themselves, by name.
    #[display("endpoints")]
    Endpoints,
    /// Entries that have started, by name.
    #[display("entries")]
    Entries,
    /// Leases of duties, and what their holders did.
    #[display("duty")]
    Duty,
}

/// A record that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream.
    pub offset: LogOffset,
    /// Its key, in a stream that keeps the newest record of each.
    pub key: Option<String>,
    /// Its content; `None` removes the key.
    pub value: Option<Bytes>,
}

/// Records that one call read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records in order.
    pub records: Vec<Record>,
    /// First offset after the last record of the stream, or from which to read on.
    pub end: LogOffset,
}

/// A store call without a result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store did nothing and may be asked again later.
    #[display("the store refused the call: {_0}")]
    Refused(#[error(not(source))] String),
    /// The stream did not end where the append expected.
    #[display("the stream ends at {end}")]
    Conflict {
        /// Where it ends.
        end: LogOffset,
    },
    /// Records that were asked for are gone.
    #[display("the first record kept is {first}")]
    Trimmed {
        /// The oldest offset that can be read.
        first: LogOffset,
    },
    /// No answer came; an append may have taken effect, or may still.
    #[display("no answer from the store: {_0}")]
    Lost(#[error(not(source))] String),
    /// The answer can't be read.
    #[display("the store's answer can't be read: {_0}")]
    Garbled(#[error(not(source))] String),
}

/// A future on the thread of its caller.
pub type LocalFuture<'a, T> = LocalBoxFuture<'a, T>;

/// The platform's store.
pub trait Store {
    /// Reads from `from` on; waits up to `wait` for a first record.
    fn read(
        &self,
        stream: Stream,
        from: LogOffset,
        wait: Millis,
    ) -> LocalFuture<'_, Result<Page, StoreError>>;

    /// Reads the newest record of each key. Reading on from the page's end misses none.
    fn newest(&self, stream: Stream) -> LocalFuture<'_, Result<Page, StoreError>>;

    /// Appends one record; with `at`, only where the stream ends there. Returns its offset.
    fn append(
        &self,
        stream: Stream,
        key: Option<&str>,
        value: Bytes,
        at: Option<LogOffset>,
    ) -> LocalFuture<'_, Result<LogOffset, StoreError>>;
}

/// A call to the cloud without success.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CloudError {
    /// What was ordered is not to be had now.
    #[display("none are available")]
    Unavailable,
    /// The call was refused or not answered.
    #[display("{_0}")]
    Failed(#[error(not(source))] String),
}

/// Who orders, and by which lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The node that holds the duty.
    pub node: Arc<str>,
    /// Token of its lease.
    pub token: FencingToken,
}

/// Order of endpoints of one kind in one place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Service,
    /// The place.
    pub place: Place,
    /// Whether the endpoints can be reclaimed.
    pub spot: bool,
    /// How many are wanted.
    pub count: u32,
}

/// The platform's calls for duties.
pub trait Cloud {
    /// Reports how many requests of each organisation began in a window.
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

/// What a caller asks for, apart from its path and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerRequest {
    /// Identifier of the attempt of the caller.
    pub id: Option<Arc<str>>,
    /// Host that it names.
    pub host: String,
    /// Key that it presents.
    pub key: Option<String>,
    /// How long it waits.
    pub timeout: Option<Millis>,
    /// Prompt tokens and the most output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Estimate of the number of output tokens.
    pub output_hint: Option<u64>,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
}

/// What an attempt tells its endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attempt {
    /// The only endpoint that may run it.
    pub endpoint: Option<EndpointName>,
    /// How long the caller still waits.
    pub time_left: Option<Millis>,
    /// Organisation of the key.
    pub org: Option<Organisation>,
    /// Urgency, 0 to 9; 0 is first.
    pub urgency: Option<u8>,
    /// Identifier of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Identifier of the attempt that it answers.
    pub id: Option<String>,
    /// Whether it bears the endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether another instance than the one named has the address.
    pub misdirected: bool,
    /// Time that the endpoint keeps an idle connection.
    pub keep_alive: Option<Millis>,
}

/// Request and response heads, as callers and endpoints write them.
pub trait Dialect {
    /// Reads the head of a request.
    fn parse_request(&self, head: &RequestHead) -> CallerRequest;

    /// Writes the headers of an attempt from those of the caller.
    fn attempt_headers(&self, inbound: &HeaderMap, attempt: &Attempt) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn parse_answer(&self, head: &ResponseHead) -> AnswerHead;

    /// Returns the headers of an endpoint's answer that go on to the caller.
    fn forwarded_headers(&self, head: &ResponseHead) -> HeaderMap;

    /// Answers a question for addresses; `None` when the path is another.
    fn directory(&self, path: &str, addresses: &[SocketAddr], ttl: Millis) -> Option<Bytes>;

    /// Returns whether the path asks if the node is ready.
    fn is_readiness(&self, path: &str) -> bool;
}

/// A record that is not what its stream should hold.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{_0}")]
pub struct Unreadable(#[error(not(source))] pub String);

/// Content of the platform's own streams.
pub trait Codec {
    /// Key of the operator's document in its stream.
    fn document_key(&self) -> &str;

    /// Reads a document.
    ///
    /// # Errors
    /// What is missing or of another type.
    fn decode_document(&self, value: &[u8]) -> Result<Document, Unreadable>;

    /// Decodes the registration of an endpoint; relative times in it count from `now`.
    ///
    /// # Errors
    /// A field is missing or of another type.
    fn decode_endpoint(&self, key: &str, value: &[u8], now: Millis)
    -> Result<Endpoint, Unreadable>;
}

/// Time of day and a clock that counts suspension.
pub trait Clock {
    /// Milliseconds since some start; goes on while the machine is suspended.
    fn now(&self) -> Millis;

    /// Time of day, which may jump.
    fn wall(&self) -> WallMillis;
}
