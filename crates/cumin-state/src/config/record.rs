//! What the `config` stream's batches carry.

use cumin_types::{Digest, RecordId, Revision};
use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fleet::{self, Finish, Found, Seal};

/// How a document came to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "way")]
pub enum ChangeKind {
    /// Written for this environment.
    Apply,
    /// The text of an earlier revision again.
    Rollback {
        /// That revision.
        to: Revision,
    },
    /// Tried in the trial environment.
    Promote {
        /// Digest of what was tried, before this environment's overrides.
        tried: Digest,
    },
    /// Not tried.
    Forced {
        /// Why.
        reason: String,
    },
}

/// A change of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Names the change.
    pub id: RecordId,
    /// The revision it was made from.
    pub base: Revision,
    /// Digest of the text.
    pub digest: Digest,
    /// The whole document.
    pub text: String,
    /// Who made it.
    pub by: String,
    /// Keys that differ from the base.
    pub keys: Vec<String>,
    /// How it came to be.
    #[serde(flatten)]
    pub kind: ChangeKind,
    /// By the operator of the present term, see [`Change::sign`].
    pub seal: Option<Seal>,
}

pub(super) const DOCUMENT_PURPOSE: &str = "document";
pub(super) const TRIED_PURPOSE: &str = "tried";
pub(super) const IMPORT_PURPOSE: &str = "carry";

impl Change {
    /// An unsigned change.
    #[must_use]
    pub fn new(id: RecordId, base: Revision, text: String, by: &str, kind: ChangeKind) -> Self {
        let digest = Digest::of(text.as_bytes());
        Self {
            id,
            base,
            digest,
            text,
            by: by.into(),
            keys: Vec::new(),
            kind,
            seal: None,
        }
    }

    pub(super) fn signed_content(&self) -> impl Serialize + '_ {
        (self.id, self.base, self.digest, &self.by, &self.kind)
    }

    /// Signs as the operator of `term`.
    #[must_use]
    pub fn sign(mut self, environment: &str, term: u64, key: &SigningKey) -> Self {
        let seal = fleet::seal(
            key,
            DOCUMENT_PURPOSE,
            environment,
            &(term, self.signed_content()),
        );
        self.seal = Some(seal);
        self
    }
}

/// What the `config` stream's batches carry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A change of the document.
    Change(Change),
    /// The trial environment ran this digest.
    Tried {
        /// Digest of the document.
        digest: Digest,
        /// Who says so.
        by: String,
        /// By the operator of the present term.
        seal: Option<Seal>,
    },
    /// Begins the first term.
    Found(Found),
    /// Ends a term; only the next operator's changes count from here on.
    Finish(Finish),
    /// A revision carried over from another log.
    #[serde(rename = "carry")]
    Import {
        /// Its number there.
        revision: Revision,
        /// The change that made it.
        change: Change,
        /// Who appended it there.
        author: Author,
        /// By the operator of the present term here.
        seal: Option<Seal>,
    },
}

impl Record {
    /// Signs a [`Record::Tried`] or [`Record::Import`] as the operator of `term`.
    #[must_use]
    pub fn sign(mut self, environment: &str, term: u64, key: &SigningKey) -> Self {
        match &mut self {
            Self::Tried { digest, by, seal } => {
                let content = (term, (*digest, &*by));
                *seal = Some(fleet::seal(key, TRIED_PURPOSE, environment, &content));
            }
            Self::Import {
                revision,
                change,
                seal,
                ..
            } => {
                let content = (term, (*revision, change.digest));
                *seal = Some(fleet::seal(key, IMPORT_PURPOSE, environment, &content));
            }
            Self::Change(_) | Self::Found(_) | Self::Finish(_) => {}
        }
        self
    }
}
