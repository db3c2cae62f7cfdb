//! The operator's term, its handover under contract, and plans.
//!
//! A term names the operator whose documents count. It passes on by three signed statements:
//! the present operator's offer, the next operator's acceptance, and the present operator's
//! finish. The finish carries the other two, so that any stream can check it alone: the
//! `config` stream takes it as the fence for documents, the `fleet` stream for plans.

use std::collections::BTreeMap;

use cumin_types::{Digest, FencingToken};
use derive_more::Display;
use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fold::{LogPosition, State};
use crate::pairs;

mod seal;

pub use seal::{HexError, Key, Seal, seal, sealed};

/// A body that operates the service for a term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operator {
    /// Name, for people.
    pub name: String,
    /// Its public key.
    pub key: Key,
}

impl Operator {
    /// Names the holder of `key`.
    #[must_use]
    pub fn new(name: &str, key: &SigningKey) -> Self {
        Self {
            name: name.into(),
            key: Key(key.verifying_key().to_bytes()),
        }
    }
}

/// Begins the first term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// Environment that the seals are for.
    pub environment: String,
    /// The first operator.
    pub operator: Operator,
    /// By the first operator, over `operator`.
    pub seal: Seal,
}

impl Found {
    /// Signs the beginning of the first term.
    #[must_use]
    pub fn sign(environment: &str, name: &str, key: &SigningKey) -> Self {
        let operator = Operator::new(name, key);
        let seal = seal(key, "found", environment, &operator);
        Self {
            environment: environment.into(),
            operator,
            seal,
        }
    }
}

/// The present operator offers the next term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The present term.
    pub term: u64,
    /// The next operator.
    pub to: Operator,
    /// By the present operator, over `(term, to)`.
    pub seal: Seal,
}

impl Offer {
    /// Signs an offer.
    #[must_use]
    pub fn sign(environment: &str, term: u64, to: Operator, key: &SigningKey) -> Self {
        let seal = seal(key, "offer", environment, &(term, &to));
        Self { term, to, seal }
    }
}

/// The next operator accepts an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accept {
    /// What is accepted.
    pub offer: Offer,
    /// By the next operator, over `offer`.
    pub seal: Seal,
}

impl Accept {
    /// Signs an acceptance.
    #[must_use]
    pub fn sign(environment: &str, offer: Offer, key: &SigningKey) -> Self {
        let seal = seal(key, "accept", environment, &offer);
        Self { offer, seal }
    }
}

/// The present operator ends its term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finish {
    /// The accepted offer.
    pub accept: Accept,
    /// By the present operator, over `accept`.
    pub seal: Seal,
}

impl Finish {
    /// Signs the end of a term.
    #[must_use]
    pub fn sign(environment: &str, accept: Accept, key: &SigningKey) -> Self {
        let seal = seal(key, "finish", environment, &accept);
        Self { accept, seal }
    }
}

/// A statement about terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Statement {
    /// Begins the first term.
    Found(Found),
    /// Offers the next term.
    Offer(Offer),
    /// Accepts an offer.
    Accept(Accept),
    /// Ends the term.
    Finish(Finish),
}

/// Why a statement or plan has no effect.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// A term has begun before.
    #[display("the first term has begun before")]
    Founded,
    /// No term has begun.
    #[display("no term has begun")]
    Unfounded,
    /// It names another term than the present one.
    #[display("it names term {named}, the present term is {present}")]
    Term {
        /// Named by the statement.
        named: u64,
        /// The present one.
        present: u64,
    },
    /// A signature does not match.
    #[display("a signature does not match its operator's key")]
    Seal,
    /// The offer was replaced.
    #[display("the offer was replaced by another")]
    Replaced,
    /// A newer holder planned before.
    #[display("the plan's fencing token is older than {newest}")]
    Stale {
        /// Newest token seen.
        newest: FencingToken,
    },
}

/// What a statement or plan did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A term began.
    Began {
        /// Its number.
        term: u64,
        /// Its operator.
        operator: Operator,
    },
    /// An offer stands.
    Offered,
    /// The offer is accepted.
    Accepted,
    /// A plan is on record.
    Planned,
    /// No effect.
    Refused(Refusal),
}

/// The present term, and the offer that stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Environment that the seals are for.
    pub environment: String,
    /// Number of the present term; zero before the first.
    pub term: u64,
    /// Operator of the present term.
    pub operator: Option<Operator>,
    /// The offer that stands.
    pub offer: Option<Offer>,
    /// True when the offer is accepted.
    pub accepted: bool,
}

impl Terms {
    /// Applies a statement.
    pub fn apply(&mut self, statement: Statement) -> Event {
        let done = match statement {
            Statement::Found(found) => self.found(found),
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
        done.unwrap_or_else(Event::Refused)
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

    fn found(&mut self, found: Found) -> Result<Event, Refusal> {
        if self.operator.is_some() {
            return Err(Refusal::Founded);
        }
        let Found {
            environment,
            operator,
            seal,
        } = found;
        if !sealed(operator.key, seal, "found", &environment, &operator) {
            return Err(Refusal::Seal);
        }
        self.environment = environment;
        Ok(self.begin(operator))
    }

    fn check_offer(&self, offer: &Offer) -> Result<(), Refusal> {
        let operator = self.operator.as_ref().ok_or(Refusal::Unfounded)?;
        if offer.term != self.term {
            return Err(Refusal::Term {
                named: offer.term,
                present: self.term,
            });
        }
        let content = (offer.term, &offer.to);
        sealed(
            operator.key,
            offer.seal,
            "offer",
            &self.environment,
            &content,
        )
        .then_some(())
        .ok_or(Refusal::Seal)
    }

    fn check_accept(&self, accept: &Accept) -> Result<(), Refusal> {
        self.check_offer(&accept.offer)?;
        sealed(
            accept.offer.to.key,
            accept.seal,
            "accept",
            &self.environment,
            &accept.offer,
        )
        .then_some(())
        .ok_or(Refusal::Seal)
    }

    fn finish(&mut self, finish: Finish) -> Result<Event, Refusal> {
        self.check_accept(&finish.accept)?;
        let operator = self.operator.as_ref().ok_or(Refusal::Unfounded)?;
        if !sealed(
            operator.key,
            finish.seal,
            "finish",
            &self.environment,
            &finish.accept,
        ) {
            return Err(Refusal::Seal);
        }
        Ok(self.begin(finish.accept.offer.to))
    }

    /// True when the present operator, if there is one, signed `content`.
    #[must_use]
    pub fn signed(&self, seal: Option<Seal>, purpose: &str, content: &impl Serialize) -> bool {
        match (&self.operator, seal) {
            (None, _) => true,
            (Some(operator), Some(seal)) => sealed(
                operator.key,
                seal,
                purpose,
                &self.environment,
                &(self.term, content),
            ),
            (Some(_), None) => false,
        }
    }
}

/// A plan for one service in one region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The planner's lease, which names service and region.
    pub lease: String,
    /// The planner's fencing token.
    pub token: FencingToken,
    /// Digest of the text.
    pub digest: Digest,
    /// The plan, opaque here.
    pub text: String,
}

/// What the `fleet` stream's batches carry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Record {
    /// About terms.
    Statement(Statement),
    /// A plan.
    Plan(PlanRecord),
}

/// A plan with its kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum PlanRecord {
    /// A plan.
    Plan(Plan),
}

/// State of the `fleet` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The operator's term.
    pub terms: Terms,
    /// Latest plan by lease.
    #[serde(with = "pairs")]
    pub plans: BTreeMap<String, Plan>,
    /// Records were lost.
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
