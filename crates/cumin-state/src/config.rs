//! Document revisions.
//!
//! A change names its base; the first change in log order on the present revision wins and
//! becomes the next revision. Accepted means read back as the winner. Documents are opaque
//! text here, known by their digest.

use std::collections::VecDeque;

use cumin_types::{Digest, LogOffset, RecordId, Revision, WallMillis};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::batch::Author;
use crate::fleet::{self, Seal, Statement, Terms};
use crate::fold::{LogPosition, State};

mod record;

pub use record::{Change, ChangeKind, Record};
use record::{DOCUMENT_PURPOSE, IMPORT_PURPOSE, TRIED_PURPOSE};

/// Revisions whose metadata is kept.
pub const MAX_HISTORY: usize = 64;
/// Revisions whose text is kept, for rollback and for telling differences.
pub const MAX_TEXTS: usize = 8;

/// One accepted revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevision {
    /// Its number.
    pub revision: Revision,
    /// The change that made it.
    pub id: RecordId,
    /// Digest of the text.
    pub digest: Digest,
    /// Who made it.
    pub by: String,
    /// Who appended it.
    pub author: Author,
    /// Keys that differ from the revision before.
    pub keys: Vec<String>,
    /// How it came to be.
    #[serde(rename = "way")]
    pub kind: ChangeKind,
    /// Where the log put it.
    pub offset: LogOffset,
    /// The log's time.
    pub wall: WallMillis,
    /// Operator's term.
    pub term: u64,
}

/// Why a change has no effect.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another change on the same base came first.
    #[display("the base is revision {base}, the present revision was {present}")]
    Conflict {
        /// The change's base.
        base: Revision,
        /// The present revision.
        present: Revision,
    },
    /// The digest is not that of the text.
    #[display("the digest does not match the text")]
    Digest,
    /// Not signed by the present operator.
    #[display("it is not signed by the operator of term {term}")]
    Operator {
        /// The present term.
        term: u64,
    },
    /// Not tried in the trial environment.
    #[display("the document was not tried in the trial environment")]
    Untried,
    /// Forced without a reason.
    #[display("a forced change needs a reason")]
    NoReason,
    /// The rollback's target is not kept, or has another text.
    #[display("revision {to} is not in the history with this text")]
    NoTarget {
        /// The target.
        to: Revision,
    },
    /// Records of this stream were lost.
    #[display("records of the stream were lost; import an export first")]
    Incomplete,
}

/// What a record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The change is the present revision.
    Accepted(Revision),
    /// The change was seen before.
    Repeated,
    /// A digest is known as tried.
    Tried,
    /// About the operator's term.
    Term(fleet::Event),
    /// No effect.
    Refused(Refusal),
}

/// A change lost to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The winning revision.
    pub winner: AcceptedRevision,
    /// Keys in which winner and loser differ.
    pub keys: Vec<String>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is this revision.
    Accepted(Revision),
    /// Another on the same base came first.
    Conflict(Box<Conflict>),
    /// It has no effect.
    Refused(Refusal),
    /// It is not in the folded part of the stream, or too long ago.
    Unseen,
}

/// State of the `config` stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Only tried documents are accepted.
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
    /// No revision. `tested` when only tried documents are accepted, as in production.
    #[must_use]
    pub fn new(requires_trial: bool) -> Self {
        Self {
            requires_trial,
            ..Self::default()
        }
    }

    /// The present revision, zero before the first.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.current
    }

    /// Digest and text of the present revision.
    #[must_use]
    pub fn document(&self) -> Option<(Digest, &str)> {
        let entry = self.history.back()?;
        Some((entry.digest, self.text(entry.revision)?))
    }

    /// Text of a recent revision.
    #[must_use]
    pub fn text(&self, revision: Revision) -> Option<&str> {
        self.texts
            .iter()
            .find(|(kept, _)| *kept == revision)
            .map(|(_, text)| text.as_str())
    }

    /// Accepted revisions, oldest first.
    #[must_use]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedRevision> + '_ {
        self.history.iter()
    }

    /// The operator's term.
    #[must_use]
    pub const fn terms(&self) -> &Terms {
        &self.terms
    }

    /// True when records were lost and no export was imported since.
    #[must_use]
    pub const fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Says what became of the change `id` with `text`; `diff` names the keys in which two
    /// documents differ.
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
                .map_or_else(|| winner.keys.clone(), |won| diff(won, text));
            return Verdict::Conflict(Box::new(Conflict {
                winner: winner.clone(),
                keys,
            }));
        }
        Verdict::Refused(refusal.clone())
    }

    /// Every kept revision with its text, to carry it to another log.
    #[must_use]
    pub fn export(&self) -> Vec<Record> {
        let carried = |entry: &AcceptedRevision| {
            Some(Record::Import {
                revision: entry.revision,
                seal: None,
                author: entry.author.clone(),
                change: Change {
                    id: entry.id,
                    base: Revision(entry.revision.0.saturating_sub(1)),
                    digest: entry.digest,
                    text: self.text(entry.revision)?.into(),
                    by: entry.by.clone(),
                    keys: entry.keys.clone(),
                    kind: entry.kind.clone(),
                    seal: None,
                },
            })
        };
        self.history.iter().filter_map(carried).collect()
    }

    fn check(&self, change: &Change) -> Result<(), Refusal> {
        if self.incomplete {
            return Err(Refusal::Incomplete);
        }
        if !self
            .terms
            .signed(change.seal, DOCUMENT_PURPOSE, &change.signed_content())
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
        let seen = self.history.iter().any(|entry| entry.id == id)
            || self.refused.iter().any(|(refused, _)| *refused == id);
        if seen {
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
        seal: Option<Seal>,
    ) -> Event {
        if !self
            .terms
            .signed(seal, IMPORT_PURPOSE, &(revision, change.digest))
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
            Record::Tried { digest, by, seal } => {
                if !self.terms.signed(seal, TRIED_PURPOSE, &(digest, &by)) {
                    return Event::Refused(Refusal::Operator {
                        term: self.terms.term,
                    });
                }
                if !self.tried.contains(&digest) {
                    push_bounded(&mut self.tried, digest, MAX_HISTORY);
                }
                Event::Tried
            }
            Record::Found(found) => Event::Term(self.terms.apply(Statement::Found(found))),
            Record::Finish(finish) => Event::Term(self.terms.apply(Statement::Finish(finish))),
            Record::Import {
                revision,
                change,
                author,
                seal,
            } => self.import(at, revision, change, author, seal),
        }
    }

    fn mark_lost(&mut self, _: LogPosition) {
        self.incomplete = true;
    }
}

/// The revision that a node runs; it never falls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ActiveRevision {
    revision: Revision,
    digest: Option<Digest>,
}

impl ActiveRevision {
    /// The revision and its digest.
    #[must_use]
    pub const fn current(&self) -> (Revision, Option<Digest>) {
        (self.revision, self.digest)
    }

    /// Says whether to run `revision`, learned from the log or from a peer. A text that does
    /// not have the digest is never taken.
    pub fn try_advance(&mut self, revision: Revision, digest: Digest, text: &str) -> bool {
        if revision <= self.revision || Digest::of(text.as_bytes()) != digest {
            return false;
        }
        self.revision = revision;
        self.digest = Some(digest);
        true
    }

    /// True when a peer's higher revision should be fetched.
    #[must_use]
    pub fn is_behind(&self, peer: Revision) -> bool {
        peer > self.revision
    }
}
