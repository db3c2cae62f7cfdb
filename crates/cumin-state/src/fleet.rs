//! Operator terms, their handover, and plans.
//!
//! A term names the operator whose documents are accepted. A handover takes three signed
//! statements: the offer of the current operator, the acceptance of the next one, and the finish
//! of the current one. The finish includes the other two, so that each stream can verify it by
//! itself: in the `config` stream it fences off the documents of the former operator, in the
//! `fleet` stream the plans.

use std::collections::BTreeMap;

use cumin_types::{Digest, FencingToken};
use derive_more::Display;
use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fold::{LogPosition, State};
use crate::pairs;

mod signature;

pub use signature::{HexError, Key, OperatorSignature, is_signed, sign};

/// Organisation that operates the service for a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Human-readable name.
    pub name: String,
    /// Public key of the operator.
    pub key: Key,
}

impl Operator {
    /// Creates the operator that holds `key`.
    #[must_use]
    pub fn new(name: &str, key: &SigningKey) -> Self {
        Self {
            name: name.into(),
            key: Key(key.verifying_key().to_bytes()),
        }
    }
}

/// Statement that begins the first term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstTerm {
    /// Environment that the signature is for.
    pub environment: String,
    /// The first operator.
    pub operator: Operator,
    /// Signature of the first operator over `operator`.
    #[serde(rename = "seal")]
    pub signature: OperatorSignature,
}

impl FirstTerm {
    /// Signs the statement that begins the first term.
    #[must_use]
    pub fn sign(environment: &str, name: &str, key: &SigningKey) -> Self {
        let operator = Operator::new(name, key);
        let signature = sign(key, "found", environment, &operator);
        Self {
            environment: environment.into(),
            operator,
            signature,
        }
    }
}

/// Offer of the next term by the current operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Current term.
    pub term: u64,
    /// The next operator.
    pub to: Operator,
    /// Signature of the current operator over `(term, to)`.
    #[serde(rename = "seal")]
    pub signature: OperatorSignature,
}

impl Offer {
    /// Signs an offer.
    #[must_use]
    pub fn sign(environment: &str, term: u64, to: Operator, key: &SigningKey) -> Self {
        let signature = sign(key, "offer", environment, &(term, &to));
        Self {
            term,
            to,
            signature,
        }
    }
}

/// Acceptance of an offer by the next operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accept {
    /// The accepted offer.
    pub offer: Offer,
    /// Signature of the next operator over `offer`.
    #[serde(rename = "seal")]
    pub signature: OperatorSignature,
}

impl Accept {
    /// Signs an acceptance.
    #[must_use]
    pub fn sign(environment: &str, offer: Offer, key: &SigningKey) -> Self {
        let signature = sign(key, "accept", environment, &offer);
        Self { offer, signature }
    }
}

/// End of a term, declared by the current operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The acceptance of the offer.
    pub accept: Accept,
    /// Signature of the current operator over `accept`.
    #[serde(rename = "seal")]
    pub signature: OperatorSignature,
}

impl Finish {
    /// Signs the end of a term.
    #[must_use]
    pub fn sign(environment: &str, accept: Accept, key: &SigningKey) -> Self {
        let signature = sign(key, "finish", environment, &accept);
        Self { accept, signature }
    }
}

/// Statement about operator terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Statement {
    /// Begins the first term.
    #[serde(rename = "found")]
    FirstTerm(FirstTerm),
    /// Offers the next term.
    Offer(Offer),
    /// Accepts an offer.
    Accept(Accept),
    /// Ends the term.
    Finish(Finish),
}

/// Reason that a statement or plan has no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The first term has already begun.
    #[display("the first term has begun before")]
    AlreadyBegun,
    /// No term has begun.
    #[display("no term has begun")]
    NotBegun,
    /// The statement names a term other than the current one.
    #[display("it names term {named}, the present term is {present}")]
    Term {
        /// Term named by the statement.
        named: u64,
        /// Current term.
        present: u64,
    },
    /// A signature does not match its operator's key.
    #[display("a signature does not match its operator's key")]
    Signature,
    /// The offer was replaced by another.
    #[display("the offer was replaced by another")]
    Replaced,
    /// A holder with a newer fencing token has already planned.
    #[display("the plan's fencing token is older than {newest}")]
    Stale {
        /// Newest token so far.
        newest: FencingToken,
    },
}

/// Effect of a statement or plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A term began.
    Began {
        /// Number of the term.
        term: u64,
        /// Operator of the term.
        operator: Operator,
    },
    /// The offer was recorded.
    Offered,
    /// The offer was accepted.
    Accepted,
    /// The plan was recorded.
    Planned,
    /// The statement or plan had no effect.
    Refused(Refusal),
}

/// The current term and the pending offer of the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Environment that the signatures are for.
    pub environment: String,
    /// Number of the current term; zero before the first.
    pub term: u64,
    /// Operator of the current term.
    pub operator: Option<Operator>,
    /// Pending offer of the next term.
    pub offer: Option<Offer>,
    /// True when the pending offer has been accepted.
    pub accepted: bool,
}

impl Terms {
    /// Applies a statement.
    pub fn apply(&mut self, statement: Statement) -> Event {
        let event = match statement {
            Statement::FirstTerm(first) => self.begin_first(first),
            Statement::Offer(offer) => self.check_offer(&offer).map(|()| {
                self.offer = Some(offer);
                self.accepted = false;
                Event::Offered
            }),
            Statement::Accept(accept) => self.check_accept(&accept).and_then(|()| {
                if self.offer.as_ref() != Some(&accept.offer) {
                    return Err(Refusal::Replaced);
                }
                self.accepted = true;
                Ok(Event::Accepted)
            }),
            Statement::Finish(finish) => self.finish(finish),
        };
        event.unwrap_or_else(Event::Refused)
    }

    fn begin(&mut self, operator: Operator) -> Event {
        self.term += 1;
        self.operator = Some(operator.clone());
        self.offer = None;
        self.accepted = false;
        Event::Began {
            term: self.term,
            operator,
        }
    }

    fn begin_first(&mut self, first: FirstTerm) -> Result<Event, Refusal> {
        if self.operator.is_some() {
            return Err(Refusal::AlreadyBegun);
        }
        let FirstTerm {
            environment,
            operator,
            signature,
        } = first;
        if !is_signed(operator.key, signature, "found", &environment, &operator) {
            return Err(Refusal::Signature);
        }
        self.environment = environment;
        Ok(self.begin(operator))
    }

    fn check_offer(&self, offer: &Offer) -> Result<(), Refusal> {
        let operator = self.operator.as_ref().ok_or(Refusal::NotBegun)?;
        if offer.term != self.term {
            return Err(Refusal::Term {
                named: offer.term,
                present: self.term,
            });
        }
        let content = (offer.term, &offer.to);
        is_signed(
            operator.key,
            offer.signature,
            "offer",
            &self.environment,
            &content,
        )
        .then_some(())
        .ok_or(Refusal::Signature)
    }

    fn check_accept(&self, accept: &Accept) -> Result<(), Refusal> {
        self.check_offer(&accept.offer)?;
        is_signed(
            accept.offer.to.key,
            accept.signature,
            "accept",
            &self.environment,
            &accept.offer,
        )
        .then_some(())
        .ok_or(Refusal::Signature)
    }

    fn finish(&mut self, finish: Finish) -> Result<Event, Refusal> {
        self.check_accept(&finish.accept)?;
        let operator = self.operator.as_ref().ok_or(Refusal::NotBegun)?;
        if !is_signed(
            operator.key,
            finish.signature,
            "finish",
            &self.environment,
            &finish.accept,
        ) {
            return Err(Refusal::Signature);
        }
        Ok(self.begin(finish.accept.offer.to))
    }

    /// Returns true when the current operator signed `content`, or when no term has begun.
    #[must_use]
    pub fn is_signed(
        &self,
        signature: Option<OperatorSignature>,
        purpose: &str,
        content: &impl Serialize,
    ) -> bool {
        match (&self.operator, signature) {
            (None, _) => true,
            (Some(operator), Some(signature)) => is_signed(
                operator.key,
                signature,
                purpose,
                &self.environment,
                &(self.term, content),
            ),
            (Some(_), None) => false,
        }
    }
}

/// Plan for one service in one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Lease of the planner, which names service and region.
    pub lease: String,
    /// Fencing token of the planner.
    pub token: FencingToken,
    /// Digest of the plan.
    pub digest: Digest,
    /// Text of the plan, opaque to this crate.
    pub text: String,
}

/// Record of the `fleet` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Record {
    /// Statement about operator terms.
    Statement(Statement),
    /// Plan of a planner.
    Plan(PlanRecord),
}

/// Plan tagged with its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PlanRecord {
    /// Plan of a planner.
    Plan(Plan),
}

/// State of the `fleet` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Operator terms.
    pub terms: Terms,
    /// Latest plan of each lease.
    #[serde(with = "pairs")]
    pub plans: BTreeMap<String, Plan>,
    /// True when records were lost.
    pub incomplete: bool,
}

impl State for Fleet {
    type Record = Record;
    type Event = Event;

    fn apply(&mut self, _: LogPosition, _: &Author, record: Record) -> Event {
        match record {
            Record::Statement(statement) => self.terms.apply(statement),
            Record::Plan(PlanRecord::Plan(plan)) => {
                let newest = self.plans.get(&plan.lease).map(|plan| plan.token);
                if let Some(newest) = newest.filter(|newest| *newest > plan.token) {
                    return Event::Refused(Refusal::Stale { newest });
                }
                self.plans.insert(plan.lease.clone(), plan);
                Event::Planned
            }
        }
    }

    fn mark_lost(&mut self, _: LogPosition) {
        self.incomplete = true;
    }
}
