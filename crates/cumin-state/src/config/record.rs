//! Records of the `config` stream.

use cumin_types::{Digest, RecordId, Revision};
use ed25519_dalek::SigningKey;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fleet::{self, Finish, FirstTerm, OperatorSignature};

/// Kind of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "way")]
pub enum ChangeKind {
    /// The document was written for this environment.
    Apply,
    /// The document of an earlier revision is put in force again.
    Rollback {
        /// The earlier revision.
        to: Revision,
    },
    /// The document was run in the trial environment.
    Promote {
        /// Digest of the document that was run there, without the overrides of this environment.
        tried: Digest,
    },
    /// The document was not run in the trial environment.
    Forced {
        /// Reason given by the operator.
        reason: String,
    },
}

/// Change of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the change.
    pub id: RecordId,
    /// Revision that the change is based on.
    pub base: Revision,
    /// Digest of the document.
    pub digest: Digest,
    /// Text of the whole document.
    pub text: String,
    /// Name of the person or organisation that made the change.
    pub by: String,
    /// Configuration keys that differ from the base revision.
    pub keys: Vec<String>,
    /// Kind of the change.
    #[serde(flatten)]
    pub kind: ChangeKind,
    /// Signature of the current operator, see [`Change::sign`].
    #[serde(rename = "seal")]
    pub signature: Option<OperatorSignature>,
}

pub(super) const DOCUMENT_PURPOSE: &str = "document";
pub(super) const TRIED_PURPOSE: &str = "tried";
pub(super) const IMPORT_PURPOSE: &str = "carry";

impl Change {
    /// Creates an unsigned change.
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
            signature: None,
        }
    }

    pub(super) fn signed_content(&self) -> impl Serialize + '_ {
        (self.id, self.base, self.digest, &self.by, &self.kind)
    }

    /// Signs the change as the operator of `term`.
    #[must_use]
    pub fn sign(mut self, environment: &str, term: u64, key: &SigningKey) -> Self {
        let signature = fleet::sign(
            key,
            DOCUMENT_PURPOSE,
            environment,
            &(term, self.signed_content()),
        );
        self.signature = Some(signature);
        self
    }
}

/// Record of the `config` stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// Changes the document.
    Change(Change),
    /// States that a document was run in the trial environment.
    Tried {
        /// Digest of the document.
        digest: Digest,
        /// Who recorded it.
        by: String,
        /// Signature of the current operator.
        #[serde(rename = "seal")]
        signature: Option<OperatorSignature>,
    },
    /// Begins the first operator term.
    #[serde(rename = "found")]
    FirstTerm(FirstTerm),
    /// Ends a term; from here on only changes of the next operator are accepted.
    Finish(Finish),
    /// Imports a revision from another log.
    #[serde(rename = "carry")]
    Import {
        /// Number of the revision in the other log.
        revision: Revision,
        /// The accepted change.
        change: Change,
        /// Node incarnation that appended it to the other log.
        author: Author,
        /// Signature of the current operator of this log.
        #[serde(rename = "seal")]
        signature: Option<OperatorSignature>,
    },
}

impl Record {
    /// Signs a [`Record::Tried`] or [`Record::Import`] as the operator of `term`.
    #[must_use]
    pub fn sign(mut self, environment: &str, term: u64, key: &SigningKey) -> Self {
        match &mut self {
            Self::Tried {
                digest,
                by,
                signature,
            } => {
                let content = (term, (*digest, &*by));
                *signature = Some(fleet::sign(key, TRIED_PURPOSE, environment, &content));
            }
            Self::Import {
                revision,
                change,
                signature,
                ..
            } => {
                let content = (term, (*revision, change.digest));
                *signature = Some(fleet::sign(key, IMPORT_PURPOSE, environment, &content));
            }
            Self::Change(_) | Self::FirstTerm(_) | Self::Finish(_) => {}
        }
        self
    }
}
