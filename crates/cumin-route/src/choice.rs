//! A question to the router and its answer.

use std::fmt;
use std::net::SocketAddr;

use cumin_types::{EndpointName, Millis, Model, Place, Priority, Service};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What a request needs from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The service called.
    pub service: Service,
    /// The model asked for; none for a plain service.
    pub model: Option<Model>,
    /// Hashes of the prompt's whole blocks, [`cumin_wire::engine::block_hashes`].
    pub blocks: Vec<u64>,
    /// Tokens of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Tokens that the answer is expected to have.
    #[serde(rename = "output")]
    pub output_tokens: u64,
    /// Urgency.
    pub priority: Priority,
    /// When the whole answer is due, on the clock of `now`.
    pub deadline: Option<Millis>,
    /// Endpoints not to use, such as those already tried.
    pub exclude: Vec<EndpointName>,
    /// Place of the asking node.
    pub place: Option<Place>,
}

impl Query {
    /// Asks for a plain service.
    #[must_use]
    pub fn plain(service: Service) -> Self {
        Self {
            service,
            model: None,
            blocks: Vec::new(),
            prompt_tokens: 0,
            output_tokens: 0,
            priority: Priority::default(),
            deadline: None,
            exclude: Vec::new(),
            place: None,
        }
    }
}

/// Parts of a score, milliseconds; lower is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Wait for a slot and for the prefill of others.
    pub queue: f64,
    /// Prefill of the uncached tokens.
    pub prefill: f64,
    /// Transfer between places.
    pub transfer: f64,
    /// Slower generation in a fuller batch.
    pub crowd: f64,
    /// Engine time at its price, weighted.
    pub price: f64,
    /// Prefill that another endpoint would not have to repeat, weighted.
    pub repeat: f64,
    /// Prefill to repeat after a reclaim, times its probability, weighted.
    pub risk: f64,
}

impl Terms {
    /// Returns the estimated time to the first token, milliseconds.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.queue + self.prefill + self.transfer
    }

    /// Returns the score.
    #[must_use]
    pub fn score(&self) -> f64 {
        self.first_token_ms() + self.crowd + self.price + self.repeat + self.risk
    }
}

impl fmt::Display for Terms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "score={:.1} first_ms={:.1} queue_ms={:.1} prefill_ms={:.1} transfer_ms={:.1} \
             crowd={:.1} price={:.1} repeat={:.1} risk={:.1}",
            self.score(),
            self.first_token_ms(),
            self.queue,
            self.prefill,
            self.transfer,
            self.crowd,
            self.price,
            self.repeat,
            self.risk,
        )
    }
}

/// A candidate and its score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its place.
    pub place: Place,
    /// Tokens of the prompt expected in its prefix cache.
    #[serde(rename = "cached")]
    pub cached_tokens: u64,
    /// True when its expected life is too short for the request.
    pub short: bool,
    /// True when the answer is expected after the deadline.
    pub late: bool,
    /// Parts of its score.
    pub terms: Terms,
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "endpoint={} place={} cached={} short={} late={} {}",
            self.endpoint, self.place, self.cached_tokens, self.short, self.late, self.terms
        )
    }
}

/// The endpoint to use, and why.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// The policy that chose.
    pub policy: &'static str,
    /// The service called.
    pub service: Service,
    /// Where to connect.
    pub address: SocketAddr,
    /// The endpoint and its terms.
    pub best: Candidate,
    /// The next best, best first.
    pub others: Vec<Candidate>,
    /// Endpoints that could serve the request.
    pub eligible: usize,
    /// Endpoints scored.
    pub scored: usize,
}

impl Choice {
    /// Returns the endpoint to use.
    #[must_use]
    pub fn endpoint(&self) -> &EndpointName {
        &self.best.endpoint
    }

    /// Returns the tokens of the prompt expected in its prefix cache.
    #[must_use]
    pub fn cached_tokens(&self) -> u64 {
        self.best.cached_tokens
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "policy={} service={} {} eligible={} scored={} others=",
            self.policy, self.service, self.best, self.eligible, self.scored
        )?;
        if self.others.is_empty() {
            return f.write_str("none");
        }
        for (index, other) in self.others.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{}:{:.1}", other.endpoint, other.terms.score())?;
        }
        Ok(())
    }
}

/// No endpoint can take the request; the counts say why.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "no endpoint of service {service} can take the request: known={known} leaving={leaving} \
     other_model={other_model} excluded={excluded}"
)]
pub struct NoEndpoint {
    /// The service called.
    pub service: Service,
    /// Endpoints of the service.
    pub known: usize,
    /// Of these, endpoints that are leaving.
    pub leaving: usize,
    /// Of the rest, endpoints that do not serve the model.
    #[serde(rename = "other")]
    pub other_model: usize,
    /// Of the rest, endpoints that the query excludes.
    pub excluded: usize,
}
