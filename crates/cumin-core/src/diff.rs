//! `cuminctl diff`: lists the keys that differ between two documents.

use std::ffi::OsString;
use std::path::PathBuf;

use cumin_config::Change;

use crate::args::Args;
use crate::ctl::{self, Failure, FileError};
use crate::{Status, Terminal, UsageError};

pub(crate) const HELP: &str = "\
Lists the keys whose values differ between two documents.

usage: cuminctl diff [--json] OLD NEW

  --json  print the changes as JSON

exit status: 0 the documents are equal, 1 they differ, 2 one is not accepted";

/// Options of `cuminctl diff`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// File with the old document.
    pub old: PathBuf,
    /// File with the new document.
    pub new: PathBuf,
    /// Prints JSON.
    pub json: bool,
}

/// The changes, one for each key that differs.
pub type Outcome = Vec<Change>;

impl Options {
    fn read(args: Vec<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, &["--json", "--help"])?;
        let json = args.flag("--json");
        let [old, new] = args.files(["OLD", "NEW"])?;
        Ok(Self { old, new, json })
    }
}

/// Compares the documents.
///
/// # Errors
/// Returns an error when a document can't be read or is not accepted.
pub fn diff(options: &Options) -> Result<Outcome, FileError> {
    let (old, new) = (
        ctl::read_document(&options.old)?,
        ctl::read_document(&options.new)?,
    );
    Ok(cumin_config::diff(&old, &new))
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    let options = Options::read(args)?;
    let changes = diff(&options)?;
    if options.json {
        terminal.json(&changes);
    } else {
        for change in &changes {
            terminal.print(change);
        }
    }
    Ok(if changes.is_empty() {
        Status::Done
    } else {
        Status::Failed
    })
}
