//! A caller: keeps the list of entries, streams answers and resumes them elsewhere.
//!
//! It speaks only the public interface. A stream that breaks, or is told that its request has
//! moved, is resumed by request id and position at the second node or any other entry; the
//! tokens that come twice or out of order are counted, which tests and the load tool report.

mod plain;
mod stream;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use cumin_types::Outcome;
use derive_more::{Display, Error};
use rand::seq::IndexedRandom;
use serde::Deserialize;

pub use plain::{PlainAnswer, PlainCall};
pub use stream::Streamed;

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// The organisation's key.
    pub key: String,
    /// Entries to ask first.
    pub entries: Vec<SocketAddr>,
    /// Tries of a call, resumes of a stream included.
    pub tries: u32,
    /// Longest wait for a connection or the next event.
    pub timeout: Duration,
    /// Pause before a call goes to another entry.
    pub pause: Duration,
    /// Longest `retry-after` that is waited for when a call is refused as not run.
    pub patience: Duration,
    /// True to use no entry that is not on a loopback address, whoever names it.
    pub loopback: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            key: String::new(),
            entries: Vec::new(),
            tries: 20,
            timeout: Duration::from_secs(15),
            pause: Duration::from_millis(100),
            patience: Duration::ZERO,
            loopback: false,
        }
    }
}

/// A call without an answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// The system refused or ended the call.
    #[display("status {status}, outcome {}: {body}", outcome.map_or("none".into(), |outcome| outcome.to_string()))]
    Refused {
        /// HTTP status.
        status: u16,
        /// What became of the call, where the answer says so.
        outcome: Option<Outcome>,
        /// The body of the answer.
        body: String,
        /// Time after which a new try can succeed, where the answer says so.
        after: Option<Duration>,
    },
    /// No entry could be reached, or every one broke off.
    #[display("no entry gave an answer: {reason}")]
    Unreachable {
        /// What happened last.
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

/// A caller with a list of entries.
pub struct Client {
    http: awc::Client,
    options: Options,
    entries: RefCell<Vec<SocketAddr>>,
}

impl Client {
    /// Makes a client.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let connector = awc::Connector::new()
            .timeout(Duration::from_secs(1))
            .limit(8192);
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

    /// Asks the entries for the present list; false when none answers.
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
            entries.retain(|entry| self.allowed(*entry));
            if entries.is_empty() {
                continue;
            }
            *self.entries.borrow_mut() = entries;
            return true;
        }
        false
    }

    /// Returns the entries that the client would use now.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.borrow().clone()
    }

    fn allowed(&self, entry: SocketAddr) -> bool {
        !self.options.loopback || entry.ip().is_loopback()
    }

    fn any(&self) -> Option<SocketAddr> {
        self.entries.borrow().choose(&mut rand::rng()).copied()
    }

    /// Drops an entry that did not answer until the next refresh.
    fn avoid(&self, entry: SocketAddr) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() > 1 {
            entries.retain(|known| *known != entry);
        }
    }

    async fn pause(&self) {
        actix_rt::time::sleep(self.options.pause).await;
        self.refresh().await;
    }
}

impl Client {
    /// Waits as a refusal asks; false when it asks for more than this client's patience.
    async fn wait(&self, after: Option<Duration>) -> bool {
        let Some(after) = after.filter(|after| *after <= self.options.patience) else {
            return false;
        };
        actix_rt::time::sleep(after).await;
        true
    }
}

/// Reads after what time an answer allows a new try.
fn retry_after<S>(answer: &awc::ClientResponse<S>) -> Option<Duration> {
    let value = answer.headers().get("retry-after")?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}

/// Reads what an answer says of the outcome.
fn outcome<S>(answer: &awc::ClientResponse<S>) -> Option<Outcome> {
    let value = answer
        .headers()
        .get(cumin_wire::header::OUTCOME)?
        .to_str()
        .ok()?;
    serde_json::from_value(serde_json::Value::String(value.into())).ok()
}
