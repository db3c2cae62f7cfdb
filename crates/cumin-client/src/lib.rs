//! A client of the entries: keeps their list, streams answers and resumes them at other entries.
//!
//! It uses only the public interface. When a stream breaks, or an event announces that its request
//! has moved, the client resumes it by request id and position, at the node with the replica or at
//! any other entry. Repeated and skipped tokens are counted for the tests and the load tool.

mod plain;
mod stream;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use cumin_types::Outcome;
use derive_more::{Display, Error};
use rand::seq::IndexedRandom;
use serde::Deserialize;

pub use plain::{PlainAnswer, PlainCall};
pub use stream::Streamed;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// API key of the organisation.
    pub key: String,
    /// Entries that are known at the start.
    pub entries: Vec<SocketAddr>,
    /// Most sends of a call, including the resumes of its stream.
    pub max_tries: u32,
    /// Longest time for the start of an answer and between two events of a stream.
    pub timeout: Duration,
    /// Delay before a call is sent to another entry.
    pub retry_delay: Duration,
    /// Longest `retry-after` to wait for when a call is refused as `not_run`; after a longer one
    /// the call is not repeated.
    pub max_wait: Duration,
    /// True to use entries on loopback addresses only, whatever list or header names others.
    pub loopback_only: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            key: String::new(),
            entries: Vec::new(),
            max_tries: 20,
            timeout: Duration::from_secs(15),
            retry_delay: Duration::from_millis(100),
            max_wait: Duration::ZERO,
            loopback_only: false,
        }
    }
}

/// Timeout of a connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Errors of a call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The system refused the call.
    #[display("status {status}, outcome {}: {body}", outcome.map_or("none".into(), |outcome| outcome.to_string()))]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Outcome header of the answer.
        outcome: Option<Outcome>,
        /// The body of the answer.
        body: String,
        /// `retry-after` header of the answer.
        retry_after: Option<Duration>,
    },
    /// No entry could be reached, or each one broke the connection.
    #[display("no entry gave an answer: {reason}")]
    Unreachable {
        /// The last failure.
        reason: String,
    },
}

#[derive(Deserialize)]
struct EntryList {
    entries: Vec<ListedEntry>,
}

#[derive(Deserialize)]
struct ListedEntry {
    address: SocketAddr,
}

/// A client that keeps a list of entries.
pub struct Client {
    http: awc::Client,
    options: Options,
    entries: RefCell<Vec<SocketAddr>>,
}

impl Client {
    /// Creates a client that knows the entries of `options`.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let connector = awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(8192);
        let http = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            http,
            entries: RefCell::new(options.entries.clone()),
            options,
        }
    }

    /// Fetches the current list of entries; returns false when no entry gives a usable one.
    pub async fn refresh(&self) -> bool {
        let known: Vec<_> = self
            .entries
            .borrow()
            .iter()
            .chain(&self.options.entries)
            .copied()
            .collect();
        for entry in known {
            let call = self.http.get(format!("http://{entry}/v1/entries"));
            let Ok(mut answer) = call.timeout(Duration::from_secs(1)).send().await else {
                continue;
            };
            let Ok(list) = answer.json::<EntryList>().await else {
                continue;
            };
            let mut entries: Vec<_> = list.entries.iter().map(|entry| entry.address).collect();
            entries.retain(|entry| self.is_allowed(*entry));
            if entries.is_empty() {
                continue;
            }
            *self.entries.borrow_mut() = entries;
            return true;
        }
        false
    }

    /// Returns the entries that the client chooses from.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.borrow().clone()
    }

    fn is_allowed(&self, entry: SocketAddr) -> bool {
        !self.options.loopback_only || entry.ip().is_loopback()
    }

    fn random_entry(&self) -> Option<SocketAddr> {
        self.entries.borrow().choose(&mut rand::rng()).copied()
    }

    /// Removes an entry that did not answer, until the next refresh; the last one stays.
    fn forget_entry(&self, entry: SocketAddr) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() > 1 {
            entries.retain(|known| *known != entry);
        }
    }

    async fn pause_and_refresh(&self) {
        actix_rt::time::sleep(self.options.retry_delay).await;
        self.refresh().await;
    }
}

impl Client {
    /// Waits for the `retry-after` of a refusal; returns false at once when there is none or it
    /// exceeds `max_wait`.
    async fn wait_to_retry(&self, retry_after: Option<Duration>) -> bool {
        let Some(time) = retry_after.filter(|time| *time <= self.options.max_wait) else {
            return false;
        };
        actix_rt::time::sleep(time).await;
        true
    }
}

/// Reads the `retry-after` header of an answer, in whole seconds.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("retry-after")?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

/// Reads the outcome header of an answer.
fn outcome(headers: &HeaderMap) -> Option<Outcome> {
    let value = headers.get(cumin_wire::header::OUTCOME)?.to_str().ok()?;
    serde_json::from_value(serde_json::Value::String(value.into())).ok()
}
