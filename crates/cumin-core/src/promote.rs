//! `cuminctl promote`: makes a production document from a tested one, or verifies it.

use std::ffi::OsString;
use std::path::PathBuf;

use cumin_config::{Change, Document};

use crate::args::Args;
use crate::ctl::{self, Failure, FileError};
use crate::{Status, Terminal, UsageError};

pub(crate) const HELP: &str = "\
Prints the production document: the tested trial document with its overrides.

usage: cuminctl promote [--verify DOCUMENT] TRIAL OVERRIDES

  --verify DOCUMENT  print nothing but the keys in which DOCUMENT is not that promotion

exit status: 0 done, 1 DOCUMENT is not the promotion, 2 a file is not accepted";

/// Options of `cuminctl promote`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// File with the tested document.
    pub trial: PathBuf,
    /// File with the values that differ in production.
    pub overrides: PathBuf,
    /// File with a document to compare with the promotion.
    pub verify: Option<PathBuf>,
}

/// The promotion, or the differences of a document from it.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The production document.
    Promoted(Box<Document>),
    /// The changes from the promotion to the given document; empty when they are equal.
    Compared(Vec<Change>),
}

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, &["--verify", "--help"])?;
        let verify = args.path("--verify")?;
        let [trial, overrides] = args.files(["TRIAL", "OVERRIDES"])?;
        Ok(Self {
            trial,
            overrides,
            verify,
        })
    }
}

/// Makes the promotion, or compares a document with it.
///
/// # Errors
/// Returns an error when a file can't be read, or the tested document, the overrides or the
/// promotion is not accepted.
pub fn promote(options: &Options) -> Result<Outcome, FileError> {
    let trial = ctl::read_document(&options.trial)?;
    let overrides = ctl::read_file(&options.overrides)?;
    let production = cumin_config::promote(&trial, &overrides);
    let production = production.map_err(|problems| FileError::Invalid {
        path: options.overrides.clone(),
        problems,
    })?;
    Ok(match &options.verify {
        None => Outcome::Promoted(Box::new(production)),
        Some(path) => {
            Outcome::Compared(cumin_config::diff(&production, &ctl::read_document(path)?))
        }
    })
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    match promote(&Options::read(args)?)? {
        Outcome::Promoted(document) => terminal.print(document.render().trim_end()),
        Outcome::Compared(changes) => {
            for change in &changes {
                terminal.print(change);
            }
            if !changes.is_empty() {
                return Ok(Status::Failed);
            }
        }
    }
    Ok(Status::Done)
}
