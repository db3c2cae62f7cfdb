//! The query for an endpoint and the choice that answers it.

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
    /// The model requested; none for a plain service.
    pub model: Option<Model>,
    /// Hashes of the whole blocks of the prompt, see [`cumin_wire::engine::block_hashes`].
    pub blocks: Vec<u64>,
    /// Length of the prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Expected length of the answer.
    #[serde(rename = "output")]
    pub output_tokens: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// When the whole answer is due, on the same clock as the `now` of the call.
    pub deadline: Option<Millis>,
    /// Endpoints that must not be chosen, such as those already tried.
    pub exclude: Vec<EndpointName>,
    /// Place of the node that sends the request.
    pub place: Option<Place>,
}

impl Query {
    /// Creates a query for an endpoint of a plain service.
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

/// Terms of a score, in milliseconds; the lowest sum is best.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Wait for a slot and for the prefill of earlier requests.
    pub queue: f64,
    /// Prefill of the uncached tokens.
    pub prefill: f64,
    /// Transfer between places.
    pub transfer: f64,
    /// Wait that this request causes for later ones when slots are nearly used up.
    pub crowd: f64,
    /// Price of the engine time relative to the mean price of the service, weighted.
    pub price: f64,
    /// Prefill of tokens that the candidate with the longest cached prefix would not recompute,
    /// weighted.
    pub repeat: f64,
    /// Prefill to repeat after a reclaim, times the probability of the reclaim, weighted.
    pub risk: f64,
}

impl Terms {
    /// Returns the estimated time to the first token.
    #[must_use]
    pub fn first_token_ms(&self) -> f64 {
        self.queue + self.prefill + self.transfer
    }

    /// Returns the sum of all terms.
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

/// An endpoint considered for a choice, with the terms of its score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Its place.
    pub place: Place,
    /// Leading tokens of the prompt expected in its prefix cache.
    #[serde(rename = "cached")]
    pub cached_tokens: u64,
    /// Whether the expected life of the endpoint is too short for the request.
    pub short: bool,
    /// Whether the answer is expected after the deadline.
    pub late: bool,
    /// Terms of its score.
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

/// The chosen endpoint, with the figures behind the choice.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Choice {
    /// Name of the policy that chose.
    pub policy: &'static str,
    /// The service called.
    pub service: Service,
    /// Address of the chosen endpoint.
    pub address: SocketAddr,
    /// The chosen endpoint and its terms.
    pub best: Candidate,
    /// The best alternatives, best first.
    pub others: Vec<Candidate>,
    /// Number of endpoints that can take the request.
    pub eligible: usize,
    /// Number of endpoints that were scored.
    pub scored: usize,
}

impl Choice {
    /// Returns the name of the chosen endpoint.
    #[must_use]
    pub fn endpoint(&self) -> &EndpointName {
        &self.best.endpoint
    }

    /// Returns the leading tokens of the prompt expected in the prefix cache of the endpoint.
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

/// Error returned when no endpoint can take the request, with counts of the reasons.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "no endpoint of service {service} can take the request: known={known} leaving={leaving} \
     other_model={other_model} excluded={excluded}"
)]
pub struct NoEndpoint {
    /// The service called.
    pub service: Service,
    /// Known endpoints of the service.
    pub known: usize,
    /// Known endpoints that are leaving.
    pub leaving: usize,
    /// Endpoints among the rest that do not serve the model.
    #[serde(rename = "other")]
    pub other_model: usize,
    /// Endpoints among the rest that the query excludes.
    pub excluded: usize,
}
