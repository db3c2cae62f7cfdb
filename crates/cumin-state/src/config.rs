//! Revisions of the configuration document.
//!
//! A change names the revision that it is based on. The first change in log order on the current
//! revision is accepted and becomes the next revision; a node knows that a change was accepted
//! when it reads it back from the log. Documents are opaque text here, identified by their
//! digest.

use std::collections::VecDeque;

use cumin_types::{Digest, LogOffset, RecordId, Revision, WallMillis};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fleet::{self, OperatorSignature, Statement, Terms};
use crate::fold::{LogPosition, State};

mod record;

pub use record::{Change, ChangeKind, Record};
use record::{DOCUMENT_PURPOSE, IMPORT_PURPOSE, TRIED_PURPOSE};

/// Most revisions whose metadata is kept.
pub const MAX_HISTORY: usize = 64;
/// Most revisions whose text is kept, for rollbacks and for comparing documents.
pub const MAX_TEXTS: usize = 8;

/// Metadata of an accepted revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevision {
    /// Revision number.
    pub revision: Revision,
    /// Id of the accepted change.
    pub id: RecordId,
    /// Digest of the document.
    pub digest: Digest,
    /// Name of the person or organisation that made the change.
    pub by: String,
    /// Node incarnation that appended the change.
    pub author: Author,
    /// Configuration keys that differ from the previous revision.
    pub keys: Vec<String>,
    /// Kind of the change.
    #[serde(rename = "way")]
    pub kind: ChangeKind,
    /// Offset of the change in the log.
    pub offset: LogOffset,
    /// Timestamp of the log.
    pub wall: WallMillis,
    /// Term of the operator.
    pub term: u64,
}

/// Reason that a change has no effect.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another change on the same base came first in the log.
    #[display("the base is revision {base}, the present revision was {present}")]
    Conflict {
        /// Base of the refused change.
        base: Revision,
        /// Current revision at that point of the log.
        present: Revision,
    },
    /// The digest does not match the text.
    #[display("the digest does not match the text")]
    Digest,
    /// The current operator has not signed the change.
    #[display("it is not signed by the operator of term {term}")]
    Operator {
        /// Current term.
        term: u64,
    },
    /// The document was not run in the trial environment.
    #[display("the document was not tried in the trial environment")]
    Untried,
    /// A forced change gives no reason.
    #[display("a forced change needs a reason")]
    NoReason,
    /// The target of the rollback is not in the history, or its document differs.
    #[display("revision {to} is not in the history with this text")]
    NoTarget {
        /// Target revision.
        to: Revision,
    },
    /// Records of the stream were lost.
    #[display("records of the stream were lost; import an export first")]
    Incomplete,
}

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The change was accepted as this revision.
    Accepted(Revision),
    /// The change or revision is already known.
    Repeated,
    /// The digest was recorded as tried.
    Tried,
    /// Event of the operator terms.
    Term(fleet::Event),
    /// The record had no effect.
    Refused(Refusal),
}

/// Conflict between a refused change and the accepted one on the same base.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The accepted revision.
    pub winner: AcceptedRevision,
    /// Configuration keys in which the two documents differ.
    pub keys: Vec<String>,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change was accepted as this revision.
    Accepted(Revision),
    /// Another change on the same base came first in the log.
    Conflict(Box<Conflict>),
    /// The change has no effect.
    Refused(Refusal),
    /// The change is not in the folded part of the stream, or no longer kept.
    Unseen,
}

/// State of the `config` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Accept only documents that were run in the trial environment.
    #[serde(rename = "tested")]
    requires_trial: bool,
    terms: Terms,
    #[serde(rename = "present")]
    current: Revision,
    history: VecDeque<AcceptedRevision>,
    texts: VecDeque<(Revision, String)>,
    tried: VecDeque<Digest>,
    refused: VecDeque<(RecordId, Refusal)>,
    incomplete: bool,
}

fn push_bounded<T>(list: &mut VecDeque<T>, item: T, bound: usize) {
    if list.len() == bound {
        list.pop_front();
    }
    list.push_back(item);
}

impl Config {
    /// Returns a state without revisions. With `requires_trial`, as in production, only documents
    /// that were run in the trial environment are accepted.
    #[must_use]
    pub fn new(requires_trial: bool) -> Self {
        Self {
            requires_trial,
            ..Self::default()
        }
    }

    /// Returns the current revision, zero before the first.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.current
    }

    /// Returns digest and text of the current revision.
    #[must_use]
    pub fn document(&self) -> Option<(Digest, &str)> {
        let entry = self.history.back()?;
        Some((entry.digest, self.text(entry.revision)?))
    }

    /// Returns the text of `revision` if it is still kept.
    #[must_use]
    pub fn text(&self, revision: Revision) -> Option<&str> {
        self.texts
            .iter()
            .find(|(kept, _)| *kept == revision)
            .map(|(_, text)| text.as_str())
    }

    /// Returns the accepted revisions that are kept, oldest first.
    #[must_use]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedRevision> + '_ {
        self.history.iter()
    }

    /// Returns the operator terms.
    #[must_use]
    pub const fn terms(&self) -> &Terms {
        &self.terms
    }

    /// Returns true when records were lost and no export has been imported since.
    #[must_use]
    pub const fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Returns the outcome of the change `id` with the document `text`. `diff` returns the keys in
    /// which two documents differ.
    pub fn verdict(
        &self,
        id: RecordId,
        text: &str,
        diff: impl FnOnce(&str, &str) -> Vec<String>,
    ) -> Verdict {
        if let Some(entry) = self.history.iter().find(|entry| entry.id == id) {
            return Verdict::Accepted(entry.revision);
        }
        let Some((_, refusal)) = self.refused.iter().find(|(refused, _)| *refused == id) else {
            return Verdict::Unseen;
        };
        if let Refusal::Conflict { base, .. } = refusal
            && let Some(winner) = self
                .history
                .iter()
                .find(|entry| entry.revision == base.plus(1))
        {
            let keys = self
                .text(winner.revision)
                .map_or_else(|| winner.keys.clone(), |winning| diff(winning, text));
            return Verdict::Conflict(Box::new(Conflict {
                winner: winner.clone(),
                keys,
            }));
        }
        Verdict::Refused(refusal.clone())
    }

    /// Returns every revision whose text is kept, for import into another log.
    #[must_use]
    pub fn export(&self) -> Vec<Record> {
        let exported = |entry: &AcceptedRevision| {
            Some(Record::Import {
                revision: entry.revision,
                signature: None,
                author: entry.author.clone(),
                change: Change {
                    id: entry.id,
                    base: Revision(entry.revision.0.saturating_sub(1)),
                    digest: entry.digest,
                    text: self.text(entry.revision)?.into(),
                    by: entry.by.clone(),
                    keys: entry.keys.clone(),
                    kind: entry.kind.clone(),
                    signature: None,
                },
            })
        };
        self.history.iter().filter_map(exported).collect()
    }

    fn check(&self, change: &Change) -> Result<(), Refusal> {
        if self.incomplete {
            return Err(Refusal::Incomplete);
        }
        if !self
            .terms
            .is_signed(change.signature, DOCUMENT_PURPOSE, &change.signed_content())
        {
            return Err(Refusal::Operator {
                term: self.terms.term,
            });
        }
        if change.base != self.current {
            return Err(Refusal::Conflict {
                base: change.base,
                present: self.current,
            });
        }
        if change.digest != Digest::of(change.text.as_bytes()) {
            return Err(Refusal::Digest);
        }
        match &change.kind {
            ChangeKind::Apply if self.requires_trial && !self.tried.contains(&change.digest) => {
                Err(Refusal::Untried)
            }
            ChangeKind::Promote { tried } if !self.tried.contains(tried) => Err(Refusal::Untried),
            ChangeKind::Forced { reason } if reason.trim().is_empty() => Err(Refusal::NoReason),
            ChangeKind::Rollback { to } => self
                .history
                .iter()
                .any(|entry| entry.revision == *to && entry.digest == change.digest)
                .then_some(())
                .ok_or(Refusal::NoTarget { to: *to }),
            _ => Ok(()),
        }
    }

    fn change(&mut self, at: LogPosition, author: &Author, change: Change) -> Event {
        let id = change.id;
        let known = self.history.iter().any(|entry| entry.id == id)
            || self.refused.iter().any(|(refused, _)| *refused == id);
        if known {
            return Event::Repeated;
        }
        if let Err(refusal) = self.check(&change) {
            push_bounded(&mut self.refused, (id, refusal.clone()), MAX_HISTORY);
            return Event::Refused(refusal);
        }
        let revision = self.current.plus(1);
        self.accept(at, author.clone(), revision, change);
        Event::Accepted(revision)
    }

    fn import(
        &mut self,
        at: LogPosition,
        revision: Revision,
        change: Change,
        author: Author,
        signature: Option<OperatorSignature>,
    ) -> Event {
        if !self
            .terms
            .is_signed(signature, IMPORT_PURPOSE, &(revision, change.digest))
        {
            return Event::Refused(Refusal::Operator {
                term: self.terms.term,
            });
        }
        if revision <= self.current {
            return Event::Repeated;
        }
        if change.digest != Digest::of(change.text.as_bytes()) {
            return Event::Refused(Refusal::Digest);
        }
        self.incomplete = false;
        self.accept(at, author, revision, change);
        Event::Accepted(revision)
    }

    fn accept(&mut self, at: LogPosition, author: Author, revision: Revision, change: Change) {
        self.current = revision;
        let Change {
            id,
            digest,
            by,
            keys,
            kind,
            text,
            ..
        } = change;
        let term = self.terms.term;
        let (offset, wall) = (at.offset, at.wall);
        let entry = AcceptedRevision {
            revision,
            id,
            digest,
            by,
            author,
            keys,
            kind,
            offset,
            wall,
            term,
        };
        push_bounded(&mut self.history, entry, MAX_HISTORY);
        push_bounded(&mut self.texts, (revision, text), MAX_TEXTS);
    }
}

impl State for Config {
    type Record = Record;
    type Event = Event;

    fn apply(&mut self, at: LogPosition, author: &Author, record: Record) -> Event {
        match record {
            Record::Change(change) => self.change(at, author, change),
            Record::Tried {
                digest,
                by,
                signature,
            } => {
                if !self
                    .terms
                    .is_signed(signature, TRIED_PURPOSE, &(digest, &by))
                {
                    return Event::Refused(Refusal::Operator {
                        term: self.terms.term,
                    });
                }
                if !self.tried.contains(&digest) {
                    push_bounded(&mut self.tried, digest, MAX_HISTORY);
                }
                Event::Tried
            }
            Record::FirstTerm(first) => Event::Term(self.terms.apply(Statement::FirstTerm(first))),
            Record::Finish(finish) => Event::Term(self.terms.apply(Statement::Finish(finish))),
            Record::Import {
                revision,
                change,
                author,
                signature,
            } => self.import(at, revision, change, author, signature),
        }
    }

    fn mark_lost(&mut self, _: LogPosition) {
        self.incomplete = true;
    }
}

/// Revision in force at a node; never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveRevision {
    revision: Revision,
    digest: Option<Digest>,
}

impl ActiveRevision {
    /// Returns the revision in force and its digest.
    #[must_use]
    pub const fn current(&self) -> (Revision, Option<Digest>) {
        (self.revision, self.digest)
    }

    /// Puts `revision`, received from the log or from a peer, in force if it is newer and `text`
    /// matches `digest`. Returns whether it did.
    pub fn try_advance(&mut self, revision: Revision, digest: Digest, text: &str) -> bool {
        if revision <= self.revision || Digest::of(text.as_bytes()) != digest {
            return false;
        }
        self.revision = revision;
        self.digest = Some(digest);
        true
    }

    /// Returns true when `peer` is a newer revision, which should be fetched.
    #[must_use]
    pub fn is_behind(&self, peer: Revision) -> bool {
        peer > self.revision
    }
}
